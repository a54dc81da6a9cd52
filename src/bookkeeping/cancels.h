/* Cancellations that this life has learned of and that another member may not have
 * read yet. A committed one is final: it may be passed on as a fact, with its revision,
 * to a member that the state service refuses. */
#ifndef FC_BOOKKEEPING_CANCELS_H
#define FC_BOOKKEEPING_CANCELS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "protocol/frame.h"

typedef struct fc_cancel {
  char job[32];
  uint64_t revision; /* of the record that says so */
  double at;         /* no user was told of it before this */
} fc_cancel;

typedef struct fc_cancels fc_cancels;

fc_cancels *fc_cancels_new(void);
void fc_cancels_free(fc_cancels *c);
/* True: it is news. */
bool fc_cancels_note(fc_cancels *c, const char *job, uint64_t revision, double at);
/* All that are newer than `revision`, the oldest first. False: some older ones have been
 * dropped, so that the list is not all there is. */
bool fc_cancels_since(const fc_cancels *c, uint64_t revision, const fc_cancel **first, size_t *count);
/* The same as a frame passes them on; the caller frees it. */
fc_frame_cancel *fc_cancels_frame(const fc_cancel *first, size_t count, double now);
/* Everybody has read everything up to `revision`. */
void fc_cancels_read(fc_cancels *c, uint64_t revision);

#endif
