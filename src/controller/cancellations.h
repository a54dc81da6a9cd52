/* Committed cancellations that this process has learned of. They take effect at once, and are
 * forwarded to peers that may not have read them from the key-value store. */
#ifndef FC_CONTROLLER_CANCELLATIONS_H
#define FC_CONTROLLER_CANCELLATIONS_H

#include <stdbool.h>
#include <stdint.h>

#include "bookkeeping/cancellation_log.h"
#include "bookkeeping/cluster.h"
#include "controller/wakeups.h"

typedef struct fc_cancellations fc_cancellations;

/* The arguments must outlive the result, which the caller frees with fc_cancellations_free(). */
fc_cancellations *fc_cancellations_new(fc_cluster *cluster, fc_wakeups *wakeups);
void fc_cancellations_free(fc_cancellations *cancellations);

/* Applies a committed cancellation that this process has written, read, or received from a peer: no
 * task of the job is started any more, running tasks are stopped, and peers are informed. `revision` is
 * that of its transaction; `since` is the earliest monotonic time at which a user may have had it
 * confirmed. */
void fc_cancellations_learned(fc_cancellations *cancellations, const char *job, uint64_t revision, double since);
/* Applies cancellations that a peer has sent. */
void fc_cancellations_learned_from_peer(fc_cancellations *cancellations, const fc_frame_cancellation *list,
                                        size_t count);
/* The monotonic time at which the last one was learned of, or at which this object was created. */
double fc_cancellations_learned_at(const fc_cancellations *cancellations);
/* Lists the cancellations newer than the revision as a peer frame carries them: *count entries in
 * *list, which the caller frees with g_free(). False if newer ones were dropped from the log, so that
 * the list is incomplete. */
bool fc_cancellations_since(const fc_cancellations *cancellations, uint64_t revision, fc_frame_cancellation **list,
                            size_t *count);
/* Drops the cancellations up to the revision, which every controller has read. */
void fc_cancellations_trim(fc_cancellations *cancellations, uint64_t revision);

#endif
