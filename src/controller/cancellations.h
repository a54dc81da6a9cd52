/* Cancellations that this process has learned of: they take effect at once, and are passed on to
 * peers that may not have read them from the key-value store. */
#ifndef FC_CONTROLLER_CANCELLATIONS_H
#define FC_CONTROLLER_CANCELLATIONS_H

#include <stdbool.h>
#include <stdint.h>

#include "bookkeeping/cancellation_log.h"
#include "bookkeeping/cluster.h"
#include "controller/wakeups.h"

typedef struct fc_cancellations fc_cancellations;

/* The arguments have to outlive it. The caller frees it with fc_cancellations_free(). */
fc_cancellations *fc_cancellations_new(fc_cluster *cluster, fc_wakeups *wakeups);
void fc_cancellations_free(fc_cancellations *cancellations);

/* A cancellation is committed: we wrote it, have read it, or learned of it from a peer. From here
 * on nothing of the job is started, its tasks are stopped, and the peers are informed. `since`: no
 * user had it confirmed before that steady time. */
void fc_cancellations_learned(fc_cancellations *cancellations, const char *job, uint64_t revision, double since);
/* The same of those that a peer has sent. */
void fc_cancellations_learned_from_peer(fc_cancellations *cancellations, const fc_frame_cancellation *list,
                                        size_t count);
/* When we last learned of one, or started, in steady time. */
double fc_cancellations_learned_at(const fc_cancellations *cancellations);
/* Those newer than a revision, in the form that a peer frame carries: *count of them, which the
 * caller frees with g_free(). Returns whether they are all that we know of. */
bool fc_cancellations_since(const fc_cancellations *cancellations, uint64_t revision, fc_frame_cancellation **list,
                            size_t *count);
/* Every controller has read everything up to the revision. */
void fc_cancellations_trim(fc_cancellations *cancellations, uint64_t revision);

#endif
