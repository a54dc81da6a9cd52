#include "controller/worker_commands.h"

#include "bookkeeping/cluster_machines.h"
#include "coordination/leader_lease.h"
#include "protocol/worker_api.h"
#include "transport/routine.h"

#define GRACE_CHECKPOINT_FACTOR 1.2  /* times the duration of a checkpoint */
#define GRACE_MARGIN_HEARTBEATS 0.25 /* on top of that */

struct fc_worker_commands {
  const fc_cluster *cluster;
  fc_task_completion *completion;
};

/* How commands are sent. */
typedef struct command_route {
  bool direct;            /* by a direct call */
  uint64_t sequence;      /* otherwise with the response to this heartbeat */
  uint64_t fencing_token; /* that the call or response carries */
} command_route;

fc_worker_commands *fc_worker_commands_new(const fc_cluster *cluster, fc_task_completion *completion) {
  fc_worker_commands *commands = g_new(fc_worker_commands, 1);
  *commands = (fc_worker_commands){.cluster = cluster, .completion = completion};
  return commands;
}

void fc_worker_commands_free(fc_worker_commands *commands) {
  g_free(commands);
}

bool fc_worker_commands_task_unwanted(const fc_cluster *cluster, const fc_placement *placement) {
  const fc_job *job = placement->job;
  if (job) return !fc_job_runnable(job) || fc_job_task_done(job, placement->index);
  /* A job that is missing in the cluster state, although the store has been read since, has ended. */
  return placement->created_at + cluster->settings->heartbeat_s < cluster->sync.read_at ||
         fc_cluster_is_cancelled(cluster, placement->job_id);
}

void fc_worker_commands_request_stop(const fc_settings *settings, fc_placement *placement) {
  placement->stop.requested = true;
  placement->stop.grace_s =
      placement->job->spec.save_s * GRACE_CHECKPOINT_FACTOR + settings->heartbeat_s * GRACE_MARGIN_HEARTBEATS;
}

/* Whether the worker may forget the task, once it refuses copies of the start. */
static bool is_forgettable(const fc_placement *placement) {
  return placement->status.state == FC_TASK_EXITED && placement->end_recorded &&
         placement->start.direct == FC_DIRECT_START_NONE;
}

/* Fills in the command to forget an exited task. Returns false if it must not be forgotten yet: a copy of the start
 * would run the task again. */
static bool forget_command(fc_worker_commands *commands, fc_placement *placement, const command_route *route,
                           fc_command *command) {
  fc_task_completion_update(commands->completion, placement);
  if (!is_forgettable(placement) || fc_placement_start_repeatable(placement, route->fencing_token)) return false;
  command->op = FC_COMMAND_FORGET;
  return true;
}

/* Fills in the command to stop a task. Returns false if its start was never sent: no stop is needed then, and the
 * placement is removed unless an earlier copy of the start may still be executed. */
static bool stop_command(const fc_worker_commands *commands, fc_placement *placement, fc_command *command) {
  if (!placement->start.sent) {
    if (!fc_placement_copy_outstanding(placement)) fc_placement_remove(placement);
    return false;
  }
  /* This includes a task that no heartbeat has listed yet: the worker ignores a stop of a task that it doesn't have. */
  command->op = FC_COMMAND_STOP;
  /* If the job is cancelled while the task writes a checkpoint, a second stop ends it at once. */
  command->grace_s = fc_worker_commands_task_unwanted(commands->cluster, placement) ? 0 : placement->stop.grace_s;
  return true;
}

/* Whether the task waits for its start to be sent with the answer to a heartbeat. */
static bool awaits_start(const fc_placement *placement) {
  return fc_placement_active(placement) && !placement->status.reported && !placement->start.sent &&
         !placement->stop.requested;
}

static bool any_awaits_start(const fc_machine *machine) {
  for (guint i = 0; i < machine->placements->len; i++)
    if (awaits_start(machine->placements->pdata[i])) return true;
  return false;
}

bool fc_worker_commands_solicit_heartbeat(const fc_cluster *cluster, const fc_machine *machine, double now) {
  double spacing_s = cluster->settings->lease_s * FC_TOKEN_REPORT_SPACING_LEASES * (1 + 2 * FC_CLOCK_DRIFT);
  if (now < machine->worker.token_raised_at + spacing_s || !fc_cluster_raises_tokens(cluster)) return false;
  if (!machine->worker.epoch_shown || machine->held_heartbeat || !any_awaits_start(machine)) return false;
  uint64_t token = fc_machine_fencing_token(cluster, machine);
  return fc_fencing_token_raise(token, cluster->membership.term.number) > token;
}

bool fc_worker_commands_any_urgent(const fc_machine *machine) {
  for (guint i = 0; i < machine->placements->len; i++) {
    const fc_placement *placement = machine->placements->pdata[i];
    bool stops = fc_placement_active(placement) && placement->stop.requested;
    if (stops || awaits_start(placement)) return true;
  }
  return false;
}

/* Fills in the command to start a task that no heartbeat has listed yet, and marks it as sent. Returns false if it is
 * not to be sent on this route: a direct call may be executed minutes later, by a worker that has restarted and knows
 * no fencing token, when neither this controller nor the task's place is the same any more. An answer to a heartbeat
 * is not executed late. */
static bool start_command(fc_placement *placement, const command_route *route, fc_command *command) {
  if (route->direct) return false;
  command->op = FC_COMMAND_START;
  placement->start.sent = true;
  placement->start.heartbeat_sequence = route->sequence;
  placement->start.sent_at = fc_now();
  return true;
}

/* Logs a start or stop with its fencing token, epoch and route. */
static void log_command(const fc_cluster *cluster, const fc_placement *placement, const command_route *route,
                        const fc_command *command) {
  if (command->op == FC_COMMAND_FORGET) return;
  const fc_machine *machine = placement->machine;
  g_debug("send command=%s task=%s/%u attempt=%" G_GUINT64_FORMAT " machine=%s term=%" G_GUINT64_FORMAT
          " epoch=%" G_GUINT64_FORMAT " by=%s sequence=%" G_GUINT64_FORMAT,
          command->op == FC_COMMAND_START ? "start_task" : "stop_task", placement->job_id, placement->index,
          (guint64)placement->attempt, machine->id, (guint64)cluster->membership.term.number,
          (guint64)machine->worker.epoch, route->direct ? "direct_call" : "answer", (guint64)route->sequence);
}

/* Fills in the next command for a placement. Returns false if there is none; the placement may be gone then. */
static bool next_command(fc_worker_commands *commands, fc_placement *placement, const command_route *route,
                         fc_command *command) {
  *command = (fc_command){.job = placement->job_id, .index = placement->index, .attempt = placement->attempt};
  bool exited = placement->status.state == FC_TASK_EXITED;
  /* Checked right before a start is sent: the job may have been cancelled since the scheduling round. */
  if (!exited && !placement->status.reported && !placement->stop.requested &&
      fc_worker_commands_task_unwanted(commands->cluster, placement)) {
    placement->stop.requested = true;
    placement->stop.grace_s = 0;
  }
  if (exited) return forget_command(commands, placement, route, command);
  if (placement->stop.requested) return stop_command(commands, placement, command);
  return !placement->status.reported && start_command(placement, route, command);
}

static GArray *list_commands(fc_worker_commands *commands, fc_machine *machine, const command_route *route) {
  GArray *list = g_array_new(FALSE, TRUE, sizeof(fc_command));
  /* Backwards, as placements may be removed meanwhile. */
  for (guint i = machine->placements->len; i-- > 0;) {
    fc_command command;
    fc_placement *placement = machine->placements->pdata[i];
    if (!next_command(commands, placement, route, &command)) continue;
    log_command(commands->cluster, placement, route, &command);
    g_array_append_val(list, command);
  }
  return list;
}

GArray *fc_worker_commands_for_call(fc_worker_commands *commands, fc_machine *machine, uint64_t fencing_token) {
  /* A call names the epoch. Whether a start under an epoch that the worker has not shown was executed could never be
   * proved. */
  if (!machine->worker.epoch_shown) return g_array_new(FALSE, TRUE, sizeof(fc_command));
  return list_commands(commands, machine, &(command_route){.direct = true, .fencing_token = fencing_token});
}

GArray *fc_worker_commands_for_answer(fc_worker_commands *commands, fc_machine *machine, uint64_t sequence,
                                      uint64_t fencing_token) {
  return list_commands(commands, machine, &(command_route){.sequence = sequence, .fencing_token = fencing_token});
}

/* Returns whether the next answer to the worker has to revoke the direct copy of the start: its outcome is unknown, it
 * is still in flight although the task must not run, or the worker is to forget the task or has lost it in a restart.
 */
static bool revokes_start(const fc_cluster *cluster, const fc_placement *placement) {
  bool lost = placement->status.reported && !placement->status.listed;
  if (lost || is_forgettable(placement)) return true;
  if (placement->start.direct == FC_DIRECT_START_IN_FLIGHT) return fc_worker_commands_task_unwanted(cluster, placement);
  return placement->start.direct == FC_DIRECT_START_UNACKNOWLEDGED;
}

uint64_t fc_worker_commands_answer_token(const fc_worker_commands *commands, const fc_machine *machine,
                                         uint64_t shown) {
  const fc_cluster *cluster = commands->cluster;
  uint64_t term = cluster->membership.term.number;
  uint64_t token = MAX(fc_machine_fencing_token(cluster, machine), fc_fencing_token_accepted(shown, term));
  if (!fc_cluster_raises_tokens(cluster)) return token;
  for (guint i = 0; i < machine->placements->len; i++) {
    const fc_placement *placement = machine->placements->pdata[i];
    if (fc_placement_start_repeatable(placement, token) && revokes_start(cluster, placement))
      return fc_fencing_token_raise(token, term);
  }
  return token;
}
