/* Log of committed cancellations that this incarnation has learned of and that a peer may not have
 * read yet. A committed cancellation is final: it may be passed on as a fact, with its revision,
 * to a peer whose requests the key-value store refuses. Nothing here suspends the calling
 * routine. */
#ifndef FC_BOOKKEEPING_CANCELLATION_LOG_H
#define FC_BOOKKEEPING_CANCELLATION_LOG_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "protocol/peer_frame.h"

typedef struct fc_cancellation {
  char job[32];
  uint64_t revision; /* of the transaction that stored it */
  double since;      /* fc_now(): no client had it acknowledged before this time */
} fc_cancellation;

typedef struct fc_cancellation_log fc_cancellation_log;

/* The caller frees the log with fc_cancellation_log_free(). */
fc_cancellation_log *fc_cancellation_log_new(void);
/* NULL is allowed. */
void fc_cancellation_log_free(fc_cancellation_log *log);

/* Inserts the cancellation at its revision. True: it was not listed, nor is its revision among the
 * dropped ones. At more than FC_FRAME_CANCELLATIONS_MAX entries the oldest revision is dropped. */
bool fc_cancellation_log_add(fc_cancellation_log *log, const char *job, uint64_t revision, double since);

/* All entries newer than `revision`, the oldest first: *count of them from *first on (NULL if there
 * are none), owned by the log and valid until it next changes. False: entries newer than `revision`
 * have been dropped, so that the list is incomplete. */
bool fc_cancellation_log_since(const fc_cancellation_log *log, uint64_t revision, const fc_cancellation **first,
                               size_t *count);

/* The entries in the form that a peer frame carries, with their ages at `now`. The caller frees the
 * array with g_free(). */
fc_frame_cancellation *fc_cancellations_to_frame(const fc_cancellation *first, size_t count, double now);

/* Drops the entries up to and including `revision`: every peer has read them. */
void fc_cancellation_log_trim(fc_cancellation_log *log, uint64_t revision);

#endif
