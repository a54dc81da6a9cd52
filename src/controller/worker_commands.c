#include "controller/worker_commands.h"

#include "protocol/worker_api.h"
#include "transport/routine.h"

#define GRACE_CHECKPOINT_TIMES 1.2   /* of the time that a checkpoint takes */
#define GRACE_MARGIN_HEARTBEATS 0.25 /* on top of that */

struct fc_worker_commands {
  const fc_cluster *cluster;
  fc_task_completion *completion;
};

/* How the commands travel. */
typedef struct delivery {
  bool direct;       /* by a direct call */
  uint64_t sequence; /* else with the answer to this heartbeat */
} delivery;

fc_worker_commands *fc_worker_commands_new(const fc_cluster *cluster, fc_task_completion *completion) {
  fc_worker_commands *commands = g_new(fc_worker_commands, 1);
  *commands = (fc_worker_commands){.cluster = cluster, .completion = completion};
  return commands;
}

void fc_worker_commands_free(fc_worker_commands *commands) {
  g_free(commands);
}

bool fc_worker_commands_unwanted(const fc_cluster *cluster, const fc_placement *placement) {
  const fc_job *job = placement->job;
  if (job) return !fc_job_runnable(job) || fc_job_task_done(job, placement->index);
  /* A job that is not in memory, though everything has been read since, has ended. */
  return placement->created_at + cluster->settings->heartbeat_s < cluster->sync.read_at ||
         fc_cluster_is_cancelled(cluster, placement->job_id);
}

void fc_worker_commands_request_stop(const fc_settings *settings, fc_placement *placement) {
  placement->stop.requested = true;
  placement->stop.grace_s =
      placement->job->spec.save_s * GRACE_CHECKPOINT_TIMES + settings->heartbeat_s * GRACE_MARGIN_HEARTBEATS;
}

/* Fills in the command to forget an exited task; false: it is not to be forgotten yet. */
static bool forget_command(fc_worker_commands *commands, fc_placement *placement, fc_command *command) {
  fc_task_completion_update(commands->completion, placement);
  /* Once a worker has forgotten a task, a late copy of the start would run it again. */
  if (!placement->end_recorded || placement->start.direct) return false;
  command->op = FC_COMMAND_FORGET;
  return true;
}

/* Fills in the command to stop a task. One whose start was never sent needs none: its placement is
 * removed, unless an earlier copy of the start may still be carried out. */
static bool stop_command(const fc_worker_commands *commands, fc_placement *placement, fc_command *command) {
  if (!placement->start.sent) {
    if (!fc_placement_copy_outstanding(placement)) fc_placement_remove(placement);
    return false;
  }
  /* Sent but never listed: the worker ignores a stop of what it has not got. */
  command->op = FC_COMMAND_STOP;
  /* A task that is writing a checkpoint when its job is cancelled is ended at once by a second
   * stop. */
  command->grace_s = fc_worker_commands_unwanted(commands->cluster, placement) ? 0 : placement->stop.grace_s;
  return true;
}

/* Fills in the command to start a task that no heartbeat has listed yet, and marks it as sent. */
static bool start_command(const fc_worker_commands *commands, fc_placement *placement, const delivery *way,
                          fc_command *command) {
  /* One direct copy is enough to keep track of; others travel with answers to heartbeats. */
  if (way->direct && placement->start.direct != FC_DIRECT_START_NONE) return false;
  command->op = FC_COMMAND_START;
  placement->start.sent = true;
  if (way->direct) {
    placement->start.direct = FC_DIRECT_START_IN_FLIGHT;
    placement->start.direct_token = commands->cluster->membership.term.number;
    placement->start.direct_epoch = placement->machine->agent.epoch;
  } else {
    placement->start.heartbeat_sequence = way->sequence;
    placement->start.sent_at = fc_now();
  }
  return true;
}

/* Under which token and epoch a start or stop goes, and by what. */
static void log_command(const fc_cluster *cluster, const fc_placement *placement, const delivery *way,
                        const fc_command *command) {
  if (command->op == FC_COMMAND_FORGET) return;
  const fc_machine *machine = placement->machine;
  g_debug("send command=%s task=%s/%u attempt=%" G_GUINT64_FORMAT " machine=%s term=%" G_GUINT64_FORMAT
          " epoch=%" G_GUINT64_FORMAT " by=%s sequence=%" G_GUINT64_FORMAT,
          command->op == FC_COMMAND_START ? "start_task" : "stop_task", placement->job_id, placement->index,
          (guint64)placement->attempt, machine->id, (guint64)cluster->membership.term.number,
          (guint64)machine->agent.epoch, way->direct ? "direct_call" : "answer", (guint64)way->sequence);
}

/* Fills in the next command for a placement; false: there is none, and the placement may have been
 * removed. */
static bool next_command(fc_worker_commands *commands, fc_placement *placement, const delivery *way,
                         fc_command *command) {
  *command = (fc_command){.job = placement->job_id, .index = placement->index, .attempt = placement->attempt};
  bool exited = placement->status.state == FC_TASK_EXITED;
  /* Decided right before it is sent: its job may have been cancelled since the scheduling round. */
  if (!exited && !placement->status.reported && !placement->stop.requested &&
      fc_worker_commands_unwanted(commands->cluster, placement)) {
    placement->stop.requested = true;
    placement->stop.grace_s = 0;
  }
  if (exited) return forget_command(commands, placement, command);
  if (placement->stop.requested) return stop_command(commands, placement, command);
  return !placement->status.reported && start_command(commands, placement, way, command);
}

static GArray *list_commands(fc_worker_commands *commands, fc_machine *machine, const delivery *way) {
  GArray *list = g_array_new(FALSE, TRUE, sizeof(fc_command));
  /* From the last to the first, as placements may be removed meanwhile. */
  for (guint i = machine->placements->len; i-- > 0;) {
    fc_command command;
    fc_placement *placement = machine->placements->pdata[i];
    if (!next_command(commands, placement, way, &command)) continue;
    log_command(commands->cluster, placement, way, &command);
    g_array_append_val(list, command);
  }
  return list;
}

GArray *fc_worker_commands_for_call(fc_worker_commands *commands, fc_machine *machine) {
  /* A call names an epoch: no proof would cover a start under one that the worker has not shown. */
  if (!machine->agent.epoch_shown) return g_array_new(FALSE, TRUE, sizeof(fc_command));
  return list_commands(commands, machine, &(delivery){.direct = true});
}

GArray *fc_worker_commands_for_answer(fc_worker_commands *commands, fc_machine *machine, uint64_t sequence) {
  return list_commands(commands, machine, &(delivery){.sequence = sequence});
}
