/* Former starts: for tasks of a job whose last attempt was started by a direct call and has ended without
 * completing, what is logged when the task is placed again, or when its machine lists that attempt once
 * more. The number of tasks is bounded; further ones are left out. */
#ifndef FC_BOOKKEEPING_FORMER_STARTS_H
#define FC_BOOKKEEPING_FORMER_STARTS_H

#include <glib.h>

#include "bookkeeping/placement.h"
#include "protocol/records.h"

typedef struct fc_former_start {
  uint64_t attempt;
  uint64_t fencing_token; /* that the direct start carried */
  char machine[FC_NAME_SIZE];
} fc_former_start;

typedef struct fc_former_starts fc_former_starts;

/* Records the placement's attempt, if it was started by a direct call. Creates *starts if it is NULL; the caller frees
 * it with fc_former_starts_free(). */
void fc_former_starts_record(fc_former_starts **starts, const fc_placement *placement);
/* The former start of the task with that index; NULL: none is known. Valid until the next call of
 * fc_former_starts_record(). `starts` may be NULL. */
const fc_former_start *fc_former_starts_find(const fc_former_starts *starts, uint32_t index);
void fc_former_starts_free(fc_former_starts *starts);

#endif
