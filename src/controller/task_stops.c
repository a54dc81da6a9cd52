#include "controller/task_stops.h"

#include "bookkeeping/cluster_machines.h"
#include "controller/worker_commands.h"

/* A heartbeat counts as late after this many intervals. */
#define LATE_HEARTBEATS 1.25

/* After this many intervals without a heartbeat, the task is placed elsewhere. */
#define UNSENT_HEARTBEATS 1.5

struct fc_task_stops {
  fc_cluster *cluster;
  fc_worker_calls *calls;
};

fc_task_stops *fc_task_stops_new(fc_cluster *cluster, fc_worker_calls *calls) {
  fc_task_stops *stops = g_new(fc_task_stops, 1);
  *stops = (fc_task_stops){.cluster = cluster, .calls = calls};
  return stops;
}

/* Whether the task waits for a gang that has lost another task before its start, and so can't become complete. */
static bool is_orphaned(const fc_placement *placement) {
  const fc_job *job = placement->job;
  return job && job->spec.kind == FC_JOB_GANG && placement->status.state == FC_TASK_WAITING &&
         job->placements->len < job->spec.tasks - job->completion.count;
}

bool fc_task_stops_request_unwanted(fc_task_stops *stops, fc_machine *machine) {
  bool any = false;
  for (guint i = 0; i < machine->placements->len; i++) {
    fc_placement *placement = machine->placements->pdata[i];
    bool stopping_at_once = placement->stop.requested && placement->stop.grace_s <= 0;
    if (placement->status.state == FC_TASK_EXITED || stopping_at_once) continue;
    if (!is_orphaned(placement) && !fc_worker_commands_task_unwanted(stops->cluster, placement)) continue;
    placement->stop.requested = true;
    placement->stop.grace_s = 0;
    any = true;
  }
  return any;
}

/* Whether all tasks of the gang can be sent the stop now. */
static bool can_stop_whole_gang(const fc_cluster *cluster, const fc_job *job) {
  for (guint i = 0; i < job->placements->len; i++) {
    const fc_machine *machine = ((const fc_placement *)job->placements->pdata[i])->machine;
    if (!fc_machine_owned_by_self(cluster, machine) || !fc_machine_reconciled(cluster, machine) ||
        machine->command_in_flight)
      return false;
  }
  return true;
}

/* Stops a gang with a checkpoint: all tasks are sent the stop at the same time, by direct calls, since stopping one
 * alone would lose the work of the others. If some are on another member's machines (after a change of term) the gang
 * runs on. */
static void stop_gang(fc_task_stops *stops, const fc_job *job) {
  if (!can_stop_whole_gang(stops->cluster, job)) return;
  for (guint i = 0; i < job->placements->len; i++) {
    fc_placement *placement = job->placements->pdata[i];
    if (!fc_placement_active(placement) || placement->stop.requested) continue;
    fc_worker_commands_request_stop(stops->cluster->settings, placement);
    fc_worker_calls_send(stops->calls, placement->machine);
  }
  g_debug("stop gang job=%s", job->spec.id);
}

/* A running task without checkpoints may still end in time, and would lose its work if it was moved. */
static bool is_worth_moving(const fc_placement *placement) {
  const fc_job_spec *spec = &placement->job->spec;
  return spec->checkpoint_s > 0 || spec->kind == FC_JOB_SERVICE || placement->status.state != FC_TASK_RUNNING;
}

bool fc_task_stops_drain(fc_task_stops *stops, fc_machine *machine) {
  bool any = false;
  if (!machine->drain.spot_notice_until && !machine->health.faulty) return false;
  for (guint i = 0; i < machine->placements->len; i++) {
    fc_placement *placement = machine->placements->pdata[i];
    if (placement->status.state == FC_TASK_EXITED || placement->stop.requested || !placement->job) continue;
    if (!is_worth_moving(placement)) continue;
    if (placement->job->spec.kind == FC_JOB_GANG) {
      stop_gang(stops, placement->job);
      continue;
    }
    fc_worker_commands_request_stop(stops->cluster->settings, placement);
    any = true;
  }
  return any;
}

bool fc_task_stops_withdraw_unsent(fc_task_stops *stops, fc_machine *machine, double now) {
  const fc_cluster *cluster = stops->cluster;
  if (fc_machine_reachable(cluster, machine, now)) return false;
  bool any = false;
  double placed_before = now - cluster->settings->heartbeat_s * UNSENT_HEARTBEATS;
  for (guint i = machine->placements->len; i-- > 0;) {
    fc_placement *placement = machine->placements->pdata[i];
    if (placement->status.reported || placement->start.sent || placement->created_at > placed_before ||
        fc_placement_copy_outstanding(placement))
      continue;
    g_debug("withdraw task=%s/%u machine=%s", placement->job_id, placement->index, machine->id);
    fc_placement_remove(placement);
    any = true;
  }
  return any;
}

bool fc_task_stops_call_due(const fc_task_stops *stops, const fc_machine *machine, double now) {
  if (!machine->worker.epoch_shown) return false; /* a call would carry no commands */
  if (fc_worker_commands_solicit_heartbeat(stops->cluster, machine, now)) return true;
  bool late = now > machine->worker.heard_at + stops->cluster->settings->heartbeat_s * LATE_HEARTBEATS;
  for (guint i = 0; i < machine->placements->len; i++) {
    const fc_placement *placement = machine->placements->pdata[i];
    if (late && placement->stop.requested && placement->start.sent && fc_placement_active(placement)) return true;
  }
  return false;
}
