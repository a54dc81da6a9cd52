#include "bookkeeping/placement.h"

#include "bookkeeping/job_state.h"
#include "bookkeeping/machine_state.h"

bool fc_placement_active(const fc_placement *placement) {
  return placement->status.state != FC_TASK_EXITED;
}

bool fc_placement_copy_outstanding(const fc_placement *placement) {
  return placement->start.direct != FC_DIRECT_START_NONE || placement->start.outdated_copy;
}

bool fc_placement_abandoned_start(const fc_placement *placement) {
  return placement->stop.requested && !placement->status.reported &&
         placement->start.direct != FC_DIRECT_START_IN_FLIGHT && fc_placement_copy_outstanding(placement);
}

bool fc_placement_start_outdated(const fc_placement *placement, uint64_t lowest_epoch) {
  return placement->start.direct == FC_DIRECT_START_NONE || placement->start.direct_epoch < lowest_epoch;
}

bool fc_placement_start_repeatable(const fc_placement *placement, uint64_t token) {
  const fc_placement_start *start = &placement->start;
  return start->direct_token != 0 && start->direct_token >= token &&
         start->direct_epoch >= placement->machine->worker.epoch;
}

bool fc_placement_outlives_worker(const fc_placement *placement) {
  return fc_placement_active(placement) && fc_placement_copy_outstanding(placement) &&
         placement->created_at > placement->machine->owned_since;
}

void fc_placement_mark_copy_outdated(fc_placement *placement) {
  if (placement->start.direct != FC_DIRECT_START_UNACKNOWLEDGED) return;
  placement->start.direct = FC_DIRECT_START_NONE;
  placement->start.outdated_copy = true;
}

void fc_placement_reset_start(fc_placement *placement) {
  placement->start.sent = false;
  placement->start.heartbeat_sequence = 0;
  placement->status = (fc_placement_status){.state = FC_TASK_FETCHING};
}

void fc_placement_remove(fc_placement *placement) {
  if (placement->job) g_ptr_array_remove_fast(placement->job->placements, placement);
  g_ptr_array_remove_fast(placement->machine->placements, placement);
  g_free(placement);
}
