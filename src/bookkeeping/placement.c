#include "bookkeeping/placement.h"

#include "bookkeeping/job_state.h"
#include "bookkeeping/machine_state.h"

bool fc_placement_active(const fc_placement *placement) {
  return placement->status.state != FC_TASK_EXITED;
}

bool fc_placement_abandoned_start(const fc_placement *placement) {
  return placement->stop.requested && !placement->status.reported &&
         placement->start.direct == FC_DIRECT_START_UNACKNOWLEDGED;
}

bool fc_placement_start_ruled_out(const fc_placement *placement, uint64_t lowest_epoch) {
  return placement->start.direct == FC_DIRECT_START_NONE || placement->start.direct_epoch < lowest_epoch;
}

void fc_placement_remove(fc_placement *placement) {
  if (placement->job) g_ptr_array_remove_fast(placement->job->placements, placement);
  g_ptr_array_remove_fast(placement->machine->placements, placement);
  g_free(placement);
}
