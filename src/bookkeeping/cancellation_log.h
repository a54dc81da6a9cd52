/* Log of committed cancellations that this incarnation knows of and that some peer may not have
 * read yet. A committed cancellation is final, so it may be forwarded with its revision to a peer
 * whose requests the key-value store refuses. Nothing here suspends the calling routine. */
#ifndef FC_BOOKKEEPING_CANCELLATION_LOG_H
#define FC_BOOKKEEPING_CANCELLATION_LOG_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "protocol/peer_frame.h"

typedef struct fc_cancellation {
  char job[FC_JOB_ID_SIZE];
  uint64_t revision; /* revision of the transaction that stored it */
  double since;      /* lower bound of when a client saw it acknowledged, by fc_now() */
} fc_cancellation;

typedef struct fc_cancellation_log fc_cancellation_log;

/* The caller frees the log with fc_cancellation_log_free(). */
fc_cancellation_log *fc_cancellation_log_new(void);
/* NULL is allowed. */
void fc_cancellation_log_free(fc_cancellation_log *log);

/* Inserts the cancellation in order of revision. Returns false if it is listed already or its
 * revision has been dropped. Beyond FC_FRAME_CANCELLATIONS_MAX entries, those of the oldest
 * revision are dropped. */
bool fc_cancellation_log_add(fc_cancellation_log *log, const char *job, uint64_t revision, double since);

/* Returns all entries newer than `revision` in ascending order: *count entries from *first on (NULL
 * if there are none), owned by the log and valid until its next change. Returns false if entries
 * newer than `revision` have been dropped, that is, if the list is incomplete. */
bool fc_cancellation_log_since(const fc_cancellation_log *log, uint64_t revision, const fc_cancellation **first,
                               size_t *count);

/* Converts entries to the form used in a peer frame, with their ages at `now`. The caller frees the
 * array with g_free(). */
fc_frame_cancellation *fc_cancellations_to_frame(const fc_cancellation *first, size_t count, double now);

/* Drops the entries up to and including `revision`, which every peer has read. */
void fc_cancellation_log_trim(fc_cancellation_log *log, uint64_t revision);

#endif
