/* Workers: their reports, the commands they are owed, fencing and adoption. */
#include <math.h>
#include <string.h>

#include "bookkeeping/cluster_machines.h"
#include "bookkeeping/dependencies.h"
#include "bookkeeping/reconciliation_progress.h"
#include "bookkeeping/shard_ownership.h"
#include "controller/controller.h"
#include "controller/machine_reachability.h"
#include "coordination/assignment.h"
#include "coordination/leader_lease.h"

#define FAILS_BY_JOB 3u     /* machines that one job may fail on before it is to blame */
#define FAILS_BY_MACHINE 2u /* jobs that fail on a machine before it is */

/* Whose fault is it? A machine that fails tasks of several jobs is faulty; a job
 * that fails on several machines is at fault itself and condemns no more. */
static void note_failure(fc_controller *controller, fc_job *job, fc_machine *machine) {
  if (!job) return;
  if (!job->failures.machines) job->failures.machines = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  bool first_here = g_hash_table_add(job->failures.machines, g_strdup(machine->id));
  /* Where it failed everywhere it may try everywhere again, ever more slowly. */
  job->failures.count++;
  job->queue.blocked_until =
      fc_now() + controller->settings->heartbeat_s * (double)(1u << MIN(job->failures.count, 6u)) * 0.25;
  if (g_hash_table_size(job->failures.machines) > FAILS_BY_JOB) {
    g_hash_table_remove_all(job->failures.machines);
    return;
  }
  if (first_here && ++machine->health.failed_jobs >= FAILS_BY_MACHINE && !machine->health.faulty) {
    {
      machine->health.faulty = true;
      fc_machine_cordon(machine);
    }
    g_info("faulty machine=%s", machine->id);
  }
}

static void note_exit(fc_controller *controller, fc_placement *placement) {
  fc_job *job = placement->job;
  fc_machine *machine = placement->machine;
  if (placement->status.cause == FC_CAUSE_ERROR) {
    note_failure(controller, job, machine);
  } else if (placement->status.cause == FC_CAUSE_DONE) {
    if (machine->health.failed_jobs > 0) machine->health.failed_jobs--;
    if (job) job->failures.count = 0;
  }
  g_debug("exit task=%s/%u attempt=%" G_GUINT64_FORMAT " machine=%s cause=%d", placement->job_id, placement->index,
          (guint64)placement->attempt, machine->id, placement->status.cause);
  fc_wakeups_raise(controller->wakeups, FC_WAKEUP_SCHEDULE);
}

/* A finished task's end has to be in the state service before it is cleared. */
static void update_recorded(fc_controller *controller, fc_placement *placement) {
  if (placement->status.state != FC_TASK_EXITED || placement->end_recorded) return;
  const fc_job *job = placement->job;
  bool done = placement->status.cause == FC_CAUSE_DONE;
  if (done && job && job->phase == FC_PHASE_ACCEPTED && !fc_job_task_done(job, placement->index)) {
    fc_workers_record(controller, placement->job_id);
    return;
  }
  /* With no such job any more it was over long ago, if all has been read since. */
  if (done && !job && placement->created_at + controller->settings->heartbeat_s >= controller->cluster->sync.read_at)
    return;
  placement->end_recorded = true;
}

static void update_placement(fc_controller *controller, fc_placement *placement, const fc_task_status *task,
                             double now) {
  bool exited = placement->status.state != FC_TASK_EXITED && task->state == FC_TASK_EXITED;
  placement->status.reported = placement->start.sent = true;
  if (task->state == FC_TASK_RUNNING && !placement->status.running_since) {
    placement->status.running_since = now;
    fc_metrics_time(controller->metrics, FC_TIME_START, now - placement->created_at);
    g_debug("running task=%s/%u machine=%s", placement->job_id, placement->index, placement->machine->id);
  }
  if (task->state == FC_TASK_RUNNING && placement->job)
    fc_machine_touch_image(placement->machine, placement->job->spec.image);
  if (placement->status.state != task->state || placement->status.cause != task->cause)
    fc_wakeups_raise(controller->wakeups, FC_WAKEUP_REPLICATE);
  placement->status.state = task->state;
  placement->status.cause = task->cause;
  if (exited) note_exit(controller, placement);
  update_recorded(controller, placement);
}

/* What a message from the worker says of the machine itself. */
static void adopt_state(fc_machine *machine, const fc_heartbeat *heartbeat, bool new_session, double now) {
  /* Commands with a token below the worker's, or to an earlier session, are refused: a lost
   * start can't arrive any more once the worker has shown a higher token than it carried. That
   * of the machine's last report is not the measure: a controller that keeps a machine through
   * a change of term sends its first start before the worker has shown the new token, and the
   * next report, which does, was taken for proof; the copy came after the task had been
   * cleared, and ran (fault test, seed 1106). */
  for (guint i = 0; i < machine->placements->len; i++) {
    fc_placement *placement = machine->placements->pdata[i];
    if (new_session || heartbeat->fencing_token > placement->start.direct_token)
      placement->start.direct = FC_DIRECT_START_NONE;
  }
  if (!machine->agent.reported || heartbeat->epoch != machine->agent.epoch || !machine->agent.sequence)
    machine->agent.epoch_began_at = now;
  machine->agent.epoch = heartbeat->epoch;
  machine->agent.sequence = heartbeat->sequence;
  machine->agent.fencing_token = heartbeat->fencing_token;
  machine->agent.reported = true;
  machine->agent.heard_at = now;
  if (heartbeat->spot_notice_s >= 0 && !machine->drain.spot_notice_until)
    machine->drain.spot_notice_until = now + heartbeat->spot_notice_s;
  if (heartbeat->endpoint[0]) g_strlcpy(machine->record.endpoint, heartbeat->endpoint, sizeof machine->record.endpoint);
}

/* How a worker's list was come by. */
typedef struct list_origin {
  double asked_at;  /* by a direct call that was sent then; 0: by a report */
  bool settles;     /* it is the first that is fenced in this term */
  bool new_session; /* the worker has given up everything since the last */
} list_origin;

/* Is a task that the list does not name certainly gone from the machine? */
static bool is_gone(fc_placement *placement, const fc_heartbeat *heartbeat, const list_origin *from) {
  if (from->settles) return true;           /* fenced: what it does not list can't start any more */
  if (!placement->start.sent) return false; /* only planned so far */
  if (from->new_session || placement->status.reported) return true;
  /* Sent, never seen, and no direct copy of the start is still on its way. The report after
   * the answer that carried it decides; so does the answer to a question that was sent when
   * the worker would have dropped that answer. A machine started anew is believed by its
   * direct answers alone: such a start was never decided there, used its team's limit, and a
   * gang waited behind it for ever (fault test with meetings, seed 241). A start that was not
   * carried out is sent again, or dropped when it is not wanted any more. */
  if (placement->start.direct) return false;
  if (from->asked_at <= 0 && heartbeat->sequence <= placement->start.heartbeat_sequence) return false;
  if (from->asked_at > 0 && placement->start.heartbeat_sequence &&
      from->asked_at < placement->start.sent_at + FC_WORKER_REQUEST_TIMEOUT_S * (1 + 2 * FC_CLOCK_DRIFT))
    return false;
  if (!placement->stop.requested) placement->start.sent = false;
  return placement->stop.requested;
}

/* The worker's list replaces what we thought is on the machine. */
static void adopt_tasks(fc_controller *controller, fc_machine *machine, const fc_heartbeat *heartbeat,
                        const list_origin *from, double now) {
  fc_cluster *cluster = controller->cluster;
  for (guint i = 0; i < machine->placements->len; i++)
    ((fc_placement *)machine->placements->pdata[i])->status.listed = false;
  for (size_t i = 0; i < heartbeat->task_count; i++) {
    const fc_task_status *task = &heartbeat->tasks[i];
    fc_placement *placement = fc_machine_find_placement(machine, task->job, task->index, task->attempt);
    if (!placement) placement = fc_cluster_add_placement(cluster, machine, task->job, task->index, task->attempt, now);
    update_placement(controller, placement, task, now);
    placement->status.listed = true;
  }
  for (guint i = machine->placements->len; i-- > 0;) {
    fc_placement *placement = machine->placements->pdata[i];
    if (placement->status.listed || !is_gone(placement, heartbeat, from)) continue;
    fc_placement_remove(placement);
    fc_wakeups_raise(controller->wakeups, FC_WAKEUP_SCHEDULE);
    fc_wakeups_raise(controller->wakeups, FC_WAKEUP_REPLICATE);
  }
}

/* From here on nothing can start on the machine but what we send in this term. */
static void settle(fc_controller *controller, fc_machine *machine) {
  fc_cluster *cluster = controller->cluster;
  machine->reconciled_term = cluster->membership.term.number;
  /* No view so far has shown the machine as settled, and only that is taken: a slice
   * was handed over to one who had acknowledged a view without it, and started there
   * again (fault test, seed 285). */
  for (guint i = 0; i < machine->placements->len; i++)
    ((fc_placement *)machine->placements->pdata[i])->first_view = cluster->view_number + 1;
  fc_wakeups_raise(controller->wakeups, FC_WAKEUP_REPLICATE);
  g_debug("settled machine=%s term=%" G_GUINT64_FORMAT " tasks=%u", machine->id,
          (guint64)cluster->membership.term.number, machine->placements->len);
  (void)fc_cluster_update_reconciled(cluster);
  fc_wakeups_raise(controller->wakeups, FC_WAKEUP_SCHEDULE);
}

/* Takes the worker's list for what is on the machine. `asked_at`: it answers a direct call
 * that was sent then; 0: it came as a report. */
static void adopt(fc_controller *controller, fc_machine *machine, const fc_heartbeat *heartbeat, double asked_at) {
  const fc_cluster *cluster = controller->cluster;
  double now = fc_now();
  const list_origin from = {
      .asked_at = asked_at,
      .settles =
          !fc_machine_reconciled(cluster, machine) && heartbeat->fencing_token == cluster->membership.term.number,
      .new_session = machine->agent.reported && heartbeat->epoch > machine->agent.epoch,
  };
  adopt_state(machine, heartbeat, from.new_session, now);
  if (asked_at > 0 || from.settles)
    machine->reachability.unidirectional_since = 0;   /* it answers us, or has this term's token */
  if (from.settles) machine->agent.restarted = false; /* its earlier incarnation never had this token */
  if (!fc_machine_reconciled(cluster, machine) && !from.settles) return; /* not fenced: proves nothing yet */
  adopt_tasks(controller, machine, heartbeat, &from, now);
  if (from.settles) settle(controller, machine);
  if (!fc_machine_vacant(machine)) {
    machine->idle_since = 0;
  } else if (!machine->idle_since) {
    machine->idle_since = now;
  }
}

/* The order holds over owners and terms: a copy of a report may come minutes
 * late, also to a member that has just taken the machine over. */
static bool is_newer(const fc_machine *machine, const fc_heartbeat *heartbeat) {
  if (heartbeat->fencing_token < machine->agent.fencing_token) return false; /* a worker's tokens only rise */
  return heartbeat->epoch > machine->agent.epoch ||
         (heartbeat->epoch == machine->agent.epoch && heartbeat->sequence > machine->agent.sequence);
}

bool fc_workers_unwanted(const fc_controller *controller, const fc_placement *placement) {
  const fc_job *job = placement->job;
  if (job) return !fc_job_runnable(job) || fc_job_task_done(job, placement->index);
  return placement->created_at + controller->settings->heartbeat_s < controller->cluster->sync.read_at ||
         fc_cluster_is_cancelled(controller->cluster, placement->job_id);
}

/* Decides whether an exited task is to be forgotten by the worker, and fills in the command. */
static bool forget_command(fc_controller *controller, fc_placement *placement, fc_command *cmd) {
  update_recorded(controller, placement);
  /* After a forget command, a late copy of the start would run it again. */
  if (!placement->end_recorded || placement->start.direct) return false;
  cmd->op = FC_COMMAND_FORGET;
  return true;
}

/* Fills in the stop command of a task that is stopping. One whose start was never sent
 * needs none: its placement is removed from the table. */
static bool stop_command(fc_controller *controller, fc_placement *placement, fc_command *cmd) {
  if (!placement->start.sent) {
    fc_placement_remove(placement);
    return false;
  }
  /* Sent but not seen: the worker ignores a stop of what it has not got. */
  cmd->op = FC_COMMAND_STOP;
  /* What is being saved when its job is cancelled is ended at once by a second halt. */
  cmd->grace_s = fc_workers_unwanted(controller, placement) ? 0 : placement->stop.grace_s;
  return true;
}

/* Fills in the start command of a task that no report has named yet, and marks it as sent:
 * directly under `token`, or with the answer to report `seq`. */
static bool start_command(fc_placement *placement, uint64_t token, bool direct, uint64_t seq, fc_command *cmd) {
  /* One direct copy is enough to keep track of; the rest goes with reports. */
  if (direct && placement->start.direct != FC_DIRECT_START_NONE) return false;
  cmd->op = FC_COMMAND_START;
  placement->start.sent = true;
  if (direct) {
    placement->start.direct = FC_DIRECT_START_IN_FLIGHT;
    placement->start.direct_token = token;
  } else {
    placement->start.heartbeat_sequence = seq;
    placement->start.sent_at = fc_now();
  }
  return true;
}

/* Fills in the command that a placement is owed; false if there is none. The placement may
 * be removed from the table meanwhile. */
static bool command_for(fc_controller *controller, fc_placement *placement, bool direct, uint64_t seq,
                        fc_command *cmd) {
  *cmd = (fc_command){.job = placement->job_id, .index = placement->index, .attempt = placement->attempt};
  /* Judged here, right before it is sent: the round may be a while back, and its job
   * cancelled since. */
  if (placement->status.state != FC_TASK_EXITED && !placement->status.reported && !placement->stop.requested &&
      fc_workers_unwanted(controller, placement)) {
    placement->stop.requested = true;
    placement->stop.grace_s = 0;
  }
  if (placement->status.state == FC_TASK_EXITED) return forget_command(controller, placement, cmd);
  if (placement->stop.requested) return stop_command(controller, placement, cmd);
  return !placement->status.reported &&
         start_command(placement, controller->cluster->membership.term.number, direct, seq, cmd);
}

/* Lists the commands owed to a settled machine, for a direct call or for the answer to
 * report `seq`. Starts are marked as sent. */
static GArray *commands_for(fc_controller *controller, fc_machine *machine, bool direct, uint64_t seq) {
  GArray *out = g_array_new(FALSE, TRUE, sizeof(fc_command));
  for (guint i = machine->placements->len; i-- > 0;) {
    fc_command cmd;
    if (command_for(controller, machine->placements->pdata[i], direct, seq, &cmd)) g_array_append_val(out, cmd);
  }
  return out;
}

/* A worker without an answer for FC_WORKER_REQUEST_TIMEOUT_S reports to the next member, and
 * no request comes on a connection before the last answer was read there. So one that
 * is here again sooner than that, or on the same connection, has heard our last
 * answer; that its reports arrive shows nothing (a machine may be deaf). Where reports
 * are further apart than that patience, time alone never shows it, and every machine was
 * asked directly between any two of its reports. */
static void note_hearing(const fc_controller *controller, fc_machine *machine, uint64_t connection) {
  double now = fc_now(), gap = now - machine->lease.answered_at;
  bool soon = gap < FC_WORKER_REQUEST_TIMEOUT_S, same = connection && connection == machine->lease.connection;
  if (machine->lease.answered_at && (soon || same) && gap < controller->settings->heartbeat_s * 2) {
    machine->reachability.unidirectional_since = 0;
  } else if (!machine->reachability.unidirectional_since) {
    machine->reachability.unidirectional_since = now;
  }
}

/* Asks a machine directly whether it hears: one whose reports come without a
 * sign that it has heard us, one that others keep, or one that may have been started anew. */
bool fc_workers_doubt(const fc_controller *controller, fc_machine *machine) {
  if (!machine->agent.reported || !fc_machine_reconciled(controller->cluster, machine)) return false;
  double now = fc_now();
  if (machine->reachability.unidirectional_since &&
      now > machine->reachability.unidirectional_since + controller->settings->lease_s * 0.2)
    machine->probe.wanted = true;
  /* Another keeps it and sends it to us once we are in touch with it again. */
  if (machine->reachability.peer_bidirectional_at > now - controller->settings->heartbeat_s * 2 &&
      fc_machine_suspect(controller->cluster, machine, now))
    machine->probe.wanted = true;
  /* A member that has ended may have kept it: is it there? */
  if (fc_reachability_may_be_renewed(controller->leadership, controller->settings, now) &&
      fc_machine_suspect(controller->cluster, machine, now))
    machine->probe.wanted = true;
  return machine->probe.wanted;
}

typedef struct announce_arg {
  fc_controller *c;
  char id[64];
} announce_arg;

/* Adds the machine's address to its record. Only then is anything started on
 * it: a taker-over can reach every machine that may hold something, and knows
 * that the others hold nothing. */
static void announce_main(void *arg) {
  announce_arg a = *(announce_arg *)arg;
  g_free(arg);
  fc_controller *controller = a.c;
  fc_machine *machine = fc_cluster_find_machine(controller->cluster, a.id);
  if (!machine) return;
  fc_write *write = fc_machine_record_write(a.id, machine->record_version, controller->cluster->membership.term_version,
                                            &machine->record);
  uint64_t revision = 0;
  if (fc_group_commit_write(controller->commit, write, FC_WRITE_PRIORITY_HEARTBEAT,
                            fc_now() + controller->settings->heartbeat_s, &revision) == FC_KV_OK)
    (void)fc_kv_watch_wait_revision(controller->watch, revision, fc_now() + controller->settings->heartbeat_s);
  machine = fc_cluster_find_machine(controller->cluster, a.id);
  if (machine) machine->announcing = false;
  fc_wakeups_raise(controller->wakeups, FC_WAKEUP_SCHEDULE);
}

static void announce(fc_controller *controller, fc_machine *machine) {
  if (machine->announced || machine->announcing || machine->record_write_pending || !machine->record.endpoint[0])
    return;
  announce_arg *a = g_new0(announce_arg, 1);
  a->c = controller;
  g_strlcpy(a->id, machine->id, sizeof a->id);
  machine->announcing = true;
  if (!fc_routine_spawn(announce_main, a)) {
    machine->announcing = false;
    g_free(a);
  }
}

/* Is there really such a machine? A report without a record may be a late rental,
 * or a late copy from a machine that was returned: only the machine itself can
 * tell. Without this a returned machine came back into the table. */
static bool is_there(fc_controller *controller, const fc_heartbeat *heartbeat) {
  fc_endpoint at;
  fc_heartbeat now;
  if (!fc_endpoint_parse(heartbeat->endpoint, &at)) return false;
  fc_worker_call_result res = fc_worker_call(&at, controller->cluster->membership.term.number, heartbeat->epoch, NULL,
                                             0, fc_now() + controller->settings->heartbeat_s * 0.5, &now);
  if (!fc_worker_call_answered(res)) return false;
  bool same = strcmp(now.machine, heartbeat->machine) == 0;
  fc_heartbeat_clear(&now);
  return same;
}

static bool known_place(const fc_controller *controller, const fc_heartbeat *heartbeat) {
  int type = fc_cluster_find_machine_type(controller->cluster, heartbeat->type);
  if (type < 0) return false;
  const fc_machine_type *machine_type = controller->cluster->machine_types->pdata[type];
  return g_strv_contains((const gchar *const *)machine_type->zones, heartbeat->zone);
}

static bool record_machine(fc_controller *controller, const fc_heartbeat *heartbeat) {
  fc_cluster *cluster = controller->cluster;
  /* Of a type or zone that nobody knows: never used; the sweep returns it. */
  if (!known_place(controller, heartbeat) || !is_there(controller, heartbeat) ||
      !fc_leadership_held(controller->leadership))
    return false;
  fc_machine *machine = fc_cluster_ensure_machine(cluster, heartbeat->machine, fc_now());
  if (machine->record_write_pending) return false;
  machine->record_write_pending = true;
  fc_machine_record rec = {.spot = heartbeat->spot};
  g_strlcpy(rec.endpoint, heartbeat->endpoint, sizeof rec.endpoint);
  g_strlcpy(rec.type, heartbeat->type, sizeof rec.type);
  g_strlcpy(rec.zone, heartbeat->zone, sizeof rec.zone);
  /* Those on their way count too: a fleet that reports at once, all for the first time,
   * went by hundreds to whoever had the fewest a moment ago. */
  unsigned count[FC_MEMBERS_MAX];
  for (size_t i = 0; i < FC_MEMBERS_MAX; i++) count[i] = controller->giving[i] * 1000;
  g_strlcpy(
      rec.owner,
      fc_cluster_balanced_owner(cluster, heartbeat->machine, heartbeat->type, heartbeat->zone, heartbeat->spot, count),
      sizeof rec.owner);
  int to = fc_term_find(&cluster->membership.term, rec.owner);
  if (to >= 0) controller->giving[to]++;
  fc_write *write = fc_machine_record_write(heartbeat->machine, 0, cluster->membership.term_version, &rec);
  /* Carried out late, it must not bring back the record of a machine that has been
   * recorded, used and returned since. */
  fc_write_compare(write, FC_KEY_RETURNED, cluster->returns_version);
  uint64_t revision = 0;
  fc_kv_result res =
      fc_group_commit_write(controller->commit, write, FC_WRITE_PRIORITY_HEARTBEAT, fc_now() + 2.0, &revision);
  if (to >= 0) controller->giving[to]--;
  /* The table may have changed meanwhile: look the machine up again. */
  machine = fc_cluster_find_machine(cluster, heartbeat->machine);
  if (machine) machine->record_write_pending = false;
  if (res == FC_KV_OK) return fc_kv_watch_wait_revision(controller->watch, revision, fc_now() + 1.5);
  (void)fc_kv_watch_wait_fresh(controller->watch, fc_now() + 1.0);
  machine = fc_cluster_find_machine(cluster, heartbeat->machine);
  return machine && machine->record_version;
}

static void refuse(int *status, GString *out) {
  *status = 503;
  g_string_truncate(out, 0);
  fc_error_answer(out, "not entitled now");
}

/* Should the worker be sent to its owner? Not when we do not hear of the owner,
 * and not when the worker has just come back from there in vain. */
static bool owner_reachable(fc_controller *controller, const fc_machine *machine, const fc_heartbeat *heartbeat) {
  double now = fc_now();
  const fc_peer *owner = fc_peers_of_member(controller->peers, machine->owner);
  if (!owner || now > owner->heard_at + controller->settings->heartbeat_s * 1.5) return false;
  if (heartbeat->task_count > 0) {
    /* An owner that has not settled it yet, or not heard of it lately, asks it directly all
     * the time, and shows it when it gets through. Until then another try there only takes
     * from its lease, and from the time after which its owner takes it for lost; with a
     * third member gone it took more than there was (scene out_of_reach). Where the owner
     * never gets through though reports do, it is sent there in the end. */
    bool settled = fc_machine_reconciled(controller->cluster, machine);
    if (!settled && now < fc_leadership_term_since(controller->leadership) + controller->settings->lease_s * 0.6)
      return false;
    if (machine->reachability.owner_suspects &&
        now < machine->reachability.owner_suspects_since + controller->settings->lease_s * 3)
      return false;
    if ((!settled || machine->reachability.owner_suspects) &&
        now > machine->lease.answered_at + controller->settings->heartbeat_s * 2)
      return false;
  }
  return now > machine->lease.redirected_at + controller->settings->lease_s * 0.6;
}

/* Any member with authority may keep a worker's lease alive and stop what must not
 * run; starting and clearing are the owner's alone. */
static void keep(fc_controller *controller, fc_machine *machine, const fc_heartbeat *heartbeat, uint64_t connection,
                 GString *out) {
  note_hearing(controller, machine, connection);
  machine->agent.epoch = heartbeat->epoch;
  machine->agent.sequence = heartbeat->sequence;
  GArray *commands = g_array_new(FALSE, TRUE, sizeof(fc_command));
  for (size_t i = 0; i < heartbeat->task_count; i++) {
    const fc_task_status *task = &heartbeat->tasks[i];
    if (task->state == FC_TASK_EXITED || !fc_cluster_is_cancelled(controller->cluster, task->job)) continue;
    fc_command cmd = {.op = FC_COMMAND_STOP, .job = task->job, .index = task->index, .attempt = task->attempt};
    g_array_append_val(commands, cmd);
  }
  machine->lease.answered_at = fc_now();
  machine->lease.connection = connection;
  g_debug("keep machine=%s owner=%d", machine->id, machine->owner);
  fc_heartbeat_answer(out, controller->cluster->membership.term.number, (const fc_command *)commands->data,
                      commands->len);
  g_array_free(commands, TRUE);
}

/* Does the report name the machine that the record describes? */
static bool agrees(fc_machine *machine, const fc_heartbeat *heartbeat) {
  if (strcmp(machine->record.type, heartbeat->type) == 0 && strcmp(machine->record.zone, heartbeat->zone) == 0 &&
      machine->record.spot == heartbeat->spot)
    return true;
  if (!machine->agent.mismatch_logged)
    g_warning("report contradicts the record machine=%s type=%s zone=%s", machine->id, heartbeat->type,
              heartbeat->zone);
  machine->agent.mismatch_logged = true;
  return false;
}

/* Finds the machine that a report is from, recording it first if nobody has. NULL if this
 * member may not answer for it now. */
static fc_machine *machine_of_report(fc_controller *controller, const fc_heartbeat *heartbeat) {
  fc_cluster *cluster = controller->cluster;
  if (!fc_leadership_held(controller->leadership)) return NULL;
  fc_machine *machine = fc_cluster_find_machine(cluster, heartbeat->machine);
  if ((!machine || !machine->record_version) &&
      (!record_machine(controller, heartbeat) || !fc_leadership_held(controller->leadership)))
    return NULL;
  machine = fc_cluster_find_machine(cluster, heartbeat->machine);
  /* A fencing token above ours: somebody is entitled that we have not heard of. A 200
   * would be dropped and hold the worker here while its lease runs out. */
  if (!machine || !machine->record_version || heartbeat->fencing_token > cluster->membership.term.number) return NULL;
  if (machine->record_write_pending) return NULL; /* it may belong to another already */
  return agrees(machine, heartbeat) ? machine : NULL;
}

/* Answers the report of another member's machine: the worker is sent to its owner, or its
 * lease is kept alive here. False if the report is to be refused. */
static bool answer_for_owner(fc_controller *controller, fc_machine *machine, const fc_heartbeat *heartbeat,
                             uint64_t connection, int *status, GString *out) {
  if (owner_reachable(controller, machine, heartbeat)) {
    /* It may show on its way that it has heard us; that it doesn't would show nothing. */
    if (is_newer(machine, heartbeat) && fc_now() < machine->lease.answered_at + FC_WORKER_REQUEST_TIMEOUT_S)
      note_hearing(controller, machine, connection);
    machine->lease.redirected_at = fc_now();
    *status = 421;
    fc_worker_redirect(out, controller->cluster->membership.term.members[machine->owner].name);
    return true;
  }
  if (!is_newer(machine, heartbeat)) return false; /* a copy: no sign of life, and nobody waits for the answer */
  keep(controller, machine, heartbeat, connection, out);
  *status = 200;
  return true;
}

/* Asks the worker directly what its machine holds. */
static void probe(fc_controller *controller, fc_machine *machine) {
  machine->probe.wanted = true;
  fc_workers_push(controller, machine);
}

/* Takes in the report of a machine of ours. False if the report is to be refused. */
static bool take_report(fc_controller *controller, fc_machine *machine, const fc_heartbeat *heartbeat,
                        uint64_t connection) {
  if (machine->agent.restarted && fc_machine_reconciled(controller->cluster, machine)) {
    /* A late report of its earlier incarnation would look newer than its own: only its
     * answers to direct commands tell what it holds (fault test, seed 38). */
    note_hearing(controller, machine, connection);
    machine->lease.answered_at = fc_now();
    probe(controller, machine);
    return true;
  }
  if (is_newer(machine, heartbeat)) {
    note_hearing(controller, machine, connection);
    adopt(controller, machine, heartbeat, 0);
    machine->lease.answered_at = fc_now();
    return true;
  }
  /* A direct command's answer has overtaken it, or it is a late copy, or the
   * machine was started anew and counts from the beginning: ask it. */
  probe(controller, machine);
  if (heartbeat->epoch != machine->agent.epoch) return false; /* from an incarnation that is over */
  /* Answered without commands: a copy's answer reaches nobody, and a start
   * would count as sent. The lease runs from when the report was sent, which
   * is before what we heard last: a copy does not push its end back. */
  machine->lease.answered_at = MAX(machine->lease.answered_at, machine->agent.heard_at);
  return true;
}

/* Answers the report of a machine of ours, with the commands it is owed once it is settled.
 * False if the report is to be refused. */
static bool answer_as_owner(fc_controller *controller, fc_machine *machine, const fc_heartbeat *heartbeat,
                            uint64_t connection, int *status, GString *out) {
  const fc_cluster *cluster = controller->cluster;
  bool commands_too =
      is_newer(machine, heartbeat) || machine->agent.restarted; /* as it was before the report is taken in */
  if (!take_report(controller, machine, heartbeat, connection)) return false;
  announce(controller, machine);
  machine->lease.connection = connection;
  *status = 200;
  if (!commands_too || !fc_machine_reconciled(cluster, machine)) {
    fc_heartbeat_answer(out, cluster->membership.term.number, NULL, 0);
    return true;
  }
  GArray *commands = commands_for(controller, machine, false, heartbeat->sequence);
  fc_heartbeat_answer(out, cluster->membership.term.number, (const fc_command *)commands->data, commands->len);
  g_array_free(commands, TRUE);
  return true;
}

/* Answers a well-formed report; false if it is to be refused. */
static bool answer_report(fc_controller *controller, const fc_heartbeat *heartbeat, uint64_t connection, int *status,
                          GString *out) {
  fc_machine *machine = machine_of_report(controller, heartbeat);
  if (!machine) return false;
  if (!fc_machine_owned_by_self(controller->cluster, machine))
    return answer_for_owner(controller, machine, heartbeat, connection, status, out);
  return answer_as_owner(controller, machine, heartbeat, connection, status, out);
}

void fc_workers_report(fc_controller *controller, const fc_http_request *req, int *status, GString *out) {
  fc_heartbeat heartbeat;
  char error[200];
  if (!fc_heartbeat_parse(req->body, req->body_len, &heartbeat, error, sizeof error)) {
    *status = 400;
    fc_error_answer(out, "malformed report");
    g_info("malformed report: %s", error);
    return;
  }
  controller->metrics->counters.heartbeats++;
  if (!answer_report(controller, &heartbeat, req->connection, status, out)) refuse(status, out);
  fc_heartbeat_clear(&heartbeat);
}

typedef struct push_arg {
  fc_controller *c;
  char id[64];
} push_arg;

/* What became of the starts that this push carried. */
static void decide_strays(fc_machine *machine, fc_worker_call_result result) {
  for (guint i = 0; i < machine->placements->len; i++) {
    fc_placement *placement = machine->placements->pdata[i];
    if (placement->start.direct != FC_DIRECT_START_IN_FLIGHT) continue;
    /* Without an answer the start may still arrive, minutes late. */
    placement->start.direct = result == FC_WORKER_CALL_UNKNOWN ? FC_DIRECT_START_UNACKNOWLEDGED : FC_DIRECT_START_NONE;
    if (result != FC_WORKER_CALL_DONE && result != FC_WORKER_CALL_UNKNOWN && !placement->status.reported)
      placement->start.sent = placement->start.heartbeat_sequence != 0;
  }
}

/* What the machine's earlier incarnation held is gone; only a direct start that may
 * still arrive, and would be carried out, stays. */
static void forget_incarnation(fc_machine *machine, const fc_heartbeat *heartbeat) {
  for (guint i = 0; i < machine->placements->len; i++) {
    fc_placement *placement = machine->placements->pdata[i];
    if (placement->start.sent)
      placement->status.reported =
          placement->start.direct == FC_DIRECT_START_NONE; /* reported, and now not listed: gone */
  }
  machine->agent.epoch = heartbeat->epoch;
  machine->agent.sequence = heartbeat->sequence - 1;
  machine->agent.fencing_token = heartbeat->fencing_token;
  machine->agent.restarted = true;
  machine->agent.epoch_began_at = fc_now();
}

/* What a direct call was made for. */
typedef struct direct_call {
  uint64_t term;         /* its fencing token */
  bool fencing, probing; /* the machine was not settled in the term; it was to be asked */
  double asked_at;
} direct_call;

/* Notes how a direct call to the machine ended. */
static void note_call_end(fc_machine *machine, const direct_call *call, fc_worker_call_result result) {
  decide_strays(machine, result);
  if (!call->fencing && !call->probing) return;
  machine->probe.sent_at = call->asked_at;
  machine->probe.answered = fc_worker_call_answered(result);
}

void fc_workers_called(fc_controller *controller, fc_machine *machine, const fc_heartbeat *heartbeat, double asked_at) {
  /* Every word of a worker is newer than what we had heard when we asked; if
   * not, it was started anew and counts from the beginning. */
  if (!is_newer(machine, heartbeat) && asked_at > machine->agent.heard_at) {
    if (!machine->agent.restarted) g_info("started anew machine=%s tasks=%u", machine->id, machine->placements->len);
    forget_incarnation(machine, heartbeat);
  }
  if (!is_newer(machine, heartbeat)) return;
  adopt(controller, machine, heartbeat, asked_at);
  machine->probe.confirmed_at = asked_at;
}

/* Takes in the report with which a worker answered a direct call. True if the machine is to
 * be fenced with what it has told. */
static bool take_call_answer(fc_controller *controller, fc_machine *machine, const direct_call *call,
                             fc_worker_call_result result, const fc_heartbeat *heartbeat) {
  const fc_cluster *cluster = controller->cluster;
  if (cluster->membership.term.number != call->term || !fc_machine_owned_by_self(cluster, machine) ||
      strcmp(heartbeat->machine, machine->id) != 0)
    return false;
  fc_workers_called(controller, machine, heartbeat, call->asked_at);
  /* A new session, or the first word from this machine: fence with it. */
  return call->fencing && result == FC_WORKER_CALL_REFUSED && heartbeat->fencing_token <= call->term &&
         machine->reconciled_term != call->term;
}

/* Calls the machine's worker once: fences it, asks it, or sends the commands it is owed; none
 * of these to do, no call. True if another call is to fence it with what it has told. */
static bool call_worker(fc_controller *controller, const char *id, uint64_t term) {
  fc_cluster *cluster = controller->cluster;
  fc_machine *machine = fc_cluster_find_machine(cluster, id);
  fc_endpoint at;
  if (!machine || !fc_machine_owned_by_self(cluster, machine) || cluster->membership.term.number != term ||
      !fc_leadership_held(controller->leadership))
    return false;
  if (!fc_endpoint_parse(machine->record.endpoint, &at)) return false;
  const direct_call call = {.term = term,
                            .fencing = machine->reconciled_term != term,
                            .probing = machine->probe.wanted,
                            .asked_at = fc_now()};
  machine->probe.wanted = false;
  GArray *commands =
      call.fencing ? g_array_new(FALSE, TRUE, sizeof(fc_command)) : commands_for(controller, machine, true, 0);
  fc_worker_call_result result = FC_WORKER_CALL_UNSENT;
  fc_heartbeat heartbeat;
  if (call.fencing || call.probing || commands->len > 0)
    result = fc_worker_call(&at, term, machine->agent.epoch, (const fc_command *)commands->data, commands->len,
                            fc_now() + controller->settings->heartbeat_s * 0.75, &heartbeat);
  g_array_free(commands, TRUE);
  controller->metrics->counters.worker_calls += result != FC_WORKER_CALL_UNSENT;
  machine = fc_cluster_find_machine(cluster, id); /* it may be gone by now */
  if (machine) note_call_end(machine, &call, result);
  if (!fc_worker_call_answered(result)) return false;
  bool again = machine && take_call_answer(controller, machine, &call, result, &heartbeat);
  fc_heartbeat_clear(&heartbeat);
  return again;
}

/* The routine of a direct call: a second one fences with what the first has told. */
static void push_main(void *arg) {
  push_arg a = *(push_arg *)arg;
  g_free(arg);
  fc_controller *controller = a.c;
  fc_metrics_enter_duty(controller->metrics, FC_DUTY_COMMANDS);
  uint64_t term = controller->cluster->membership.term.number;
  for (int calls = 0; calls < 2; calls++)
    if (!call_worker(controller, a.id, term)) break;
  fc_machine *machine = fc_cluster_find_machine(controller->cluster, a.id);
  if (machine) machine->command_in_flight = false;
  controller->worker_calls--;
}

/* Direct calls take a socket each, and those to machines that say nothing keep it for
 * as long as a call may take: after a takeover in a fleet of thousands they would take
 * all there are, those to the state service too. Fences and questions get half of the
 * eighth kept for calls, so that starts and stops always find some; what finds none is
 * called in a later round. */
bool fc_workers_may_push(const fc_controller *controller, const fc_machine *machine) {
  unsigned most = MAX(controller->settings->fd_limit / 8, 2);
  return controller->worker_calls <
         (fc_machine_reconciled(controller->cluster, machine) && !machine->probe.wanted ? most : most / 2);
}

void fc_workers_push(fc_controller *controller, fc_machine *machine) {
  if (machine->command_in_flight || !fc_machine_owned_by_self(controller->cluster, machine) ||
      !machine->record.endpoint[0] || !fc_workers_may_push(controller, machine))
    return;
  push_arg *a = g_new0(push_arg, 1);
  a->c = controller;
  g_strlcpy(a->id, machine->id, sizeof a->id);
  machine->command_in_flight = true;
  controller->worker_calls++;
  if (!fc_routine_spawn(push_main, a)) {
    machine->command_in_flight = false;
    controller->worker_calls--;
    g_free(a);
  }
}

void fc_workers_stop(const fc_controller *controller, fc_placement *placement) {
  placement->stop.requested = true;
  placement->stop.grace_s = placement->job->spec.save_s * 1.2 + controller->settings->heartbeat_s * 0.25;
}
