#include "bookkeeping/former_starts.h"

#include "bookkeeping/machine_state.h"

#define TASKS_MAX 64u /* of one job */

struct fc_former_starts {
  GHashTable *by_index; /* task index -> fc_former_start */
};

static fc_former_starts *new_starts(void) {
  fc_former_starts *starts = g_new(fc_former_starts, 1);
  starts->by_index = g_hash_table_new_full(NULL, NULL, NULL, g_free);
  return starts;
}

void fc_former_starts_record(fc_former_starts **starts, const fc_placement *placement) {
  if (placement->start.direct_token == 0) return;
  if (!*starts) *starts = new_starts();
  gpointer key = GUINT_TO_POINTER(placement->index);
  GHashTable *by_index = (*starts)->by_index;
  if (g_hash_table_size(by_index) >= TASKS_MAX && !g_hash_table_contains(by_index, key)) return;
  fc_former_start *former = g_new0(fc_former_start, 1);
  former->attempt = placement->attempt;
  former->fencing_token = placement->start.direct_token;
  g_strlcpy(former->machine, placement->machine->id, sizeof former->machine);
  g_hash_table_replace(by_index, key, former);
}

const fc_former_start *fc_former_starts_find(const fc_former_starts *starts, uint32_t index) {
  return starts ? g_hash_table_lookup(starts->by_index, GUINT_TO_POINTER(index)) : NULL;
}

void fc_former_starts_free(fc_former_starts *starts) {
  if (!starts) return;
  g_hash_table_destroy(starts->by_index);
  g_free(starts);
}
