/* Cancellations that this life has learned of and that another member may not have
 * read yet. A committed one is final: it may be passed on as a fact, with its revision,
 * to a member that the state service refuses. */
#ifndef FC_BOOKKEEPING_CANCELLATION_LOG_H
#define FC_BOOKKEEPING_CANCELLATION_LOG_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "protocol/peer_frame.h"

typedef struct fc_cancellation {
  char job[32];
  uint64_t revision; /* of the record that says so */
  double since;      /* no user was told of it before this */
} fc_cancellation;

typedef struct fc_cancellation_log fc_cancellation_log;

fc_cancellation_log *fc_cancellation_log_new(void);
void fc_cancellation_log_free(fc_cancellation_log *cancellations);
/* True: it is news. */
bool fc_cancellation_log_add(fc_cancellation_log *cancellations, const char *job, uint64_t revision, double at);
/* All that are newer than `revision`, the oldest first. False: some older ones have been
 * dropped, so that the list is not all there is. */
bool fc_cancellation_log_since(const fc_cancellation_log *cancellations, uint64_t revision,
                               const fc_cancellation **first, size_t *count);
/* The same as a frame passes them on; the caller frees it. */
fc_frame_cancellation *fc_cancellations_to_frame(const fc_cancellation *first, size_t count, double now);
/* Everybody has read everything up to `revision`. */
void fc_cancellation_log_trim(fc_cancellation_log *cancellations, uint64_t revision);

#endif
