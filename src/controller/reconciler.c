#include "controller/reconciler.h"

#include "bookkeeping/cluster_machines.h"
#include "bookkeeping/reconciliation_progress.h"
#include "controller/failure_attribution.h"
#include "coordination/fencing_token.h"
#include "coordination/leader_lease.h"
#include "transport/routine.h"

struct fc_reconciler {
  fc_cluster *cluster;
  fc_task_completion *completion;
  fc_wakeups *wakeups;
  fc_metrics *metrics;
};

/* The source of a worker's task list, and what the list proves. */
typedef struct list_origin {
  double call_sent_at; /* monotonic time at which the direct call was sent; 0: the list came with a heartbeat */
  bool reconciles;     /* the first list with the fencing token of this term */
  bool first;          /* since this controller became the owner: it may be a late copy of an old one */
  bool new_epoch;      /* the epoch has changed since the last list, so the worker has stopped all earlier tasks */
} list_origin;

fc_reconciler *fc_reconciler_new(fc_cluster *cluster, fc_task_completion *completion, fc_wakeups *wakeups,
                                 fc_metrics *metrics) {
  fc_reconciler *reconciler = g_new(fc_reconciler, 1);
  *reconciler = (fc_reconciler){.cluster = cluster, .completion = completion, .wakeups = wakeups, .metrics = metrics};
  return reconciler;
}

void fc_reconciler_free(fc_reconciler *reconciler) {
  g_free(reconciler);
}

/* ---- the machine ---- */

/* Marks direct starts of unknown outcome as outdated once the worker is certain to refuse them: it has
 * shown a higher fencing token than the start carried, or a later epoch than it named. The token is
 * compared with that of the start, not with that of the machine's last heartbeat: an owner that
 * stays the owner in a new term sends its first start before the worker has shown the new token.
 * When the next heartbeat, the first with that token, counted as proof, the task was forgotten, and
 * the copy arrived later and ran (fault test, seed 1106). */
static void outdate_copies(fc_machine *machine, const fc_heartbeat *heartbeat) {
  for (guint i = 0; i < machine->placements->len; i++) {
    fc_placement *placement = machine->placements->pdata[i];
    if (fc_placement_start_outdated(placement, heartbeat->epoch) ||
        heartbeat->fencing_token > placement->start.direct_token)
      fc_placement_mark_copy_outdated(placement);
  }
}

static void update_worker(fc_machine_worker *worker, const fc_heartbeat *heartbeat, double now) {
  if (!worker->reported || heartbeat->epoch != worker->epoch || !worker->epoch_shown) worker->epoch_began_at = now;
  fc_machine_worker_show_epoch(worker, heartbeat->epoch, heartbeat->sequence);
  if (heartbeat->fencing_token > worker->fencing_token && heartbeat->fencing_token > worker->lowest_token)
    worker->token_raised_at = now;
  worker->fencing_token = heartbeat->fencing_token;
  worker->reported = true;
  worker->heard_at = now;
}

static void update_machine(fc_machine *machine, const fc_heartbeat *heartbeat, const list_origin *origin, double now) {
  outdate_copies(machine, heartbeat);
  update_worker(&machine->worker, heartbeat, now);
  if (heartbeat->spot_notice_s >= 0 && !machine->drain.spot_notice_until)
    machine->drain.spot_notice_until = now + heartbeat->spot_notice_s;
  if (heartbeat->endpoint[0]) g_strlcpy(machine->record.endpoint, heartbeat->endpoint, sizeof machine->record.endpoint);
  /* The worker has received a call of this controller, or the token of this term. */
  bool receives_messages = origin->call_sent_at > 0 || origin->reconciles;
  if (receives_messages) machine->reachability.unidirectional_since = 0;
  if (origin->reconciles) machine->worker.restarted = false; /* heartbeats from before the restart lack this token */
}

static void update_idle_time(fc_machine *machine, double now) {
  if (!fc_machine_vacant(machine)) {
    machine->idle_since = 0;
  } else if (!machine->idle_since) {
    machine->idle_since = now;
  }
}

/* ---- its tasks ---- */

static void note_running(fc_reconciler *reconciler, fc_placement *placement, double now) {
  if (!placement->status.running_since) {
    placement->status.running_since = now;
    fc_metrics_observe_duration(reconciler->metrics, FC_DURATION_START, now - placement->created_at);
    g_debug("running task=%s/%u machine=%s", placement->job_id, placement->index, placement->machine->id);
  }
  if (placement->job) fc_machine_touch_image(placement->machine, placement->job->spec.image);
}

static void update_placement(fc_reconciler *reconciler, fc_placement *placement, const fc_task_status *task,
                             double now) {
  bool has_exited = placement->status.state != FC_TASK_EXITED && task->state == FC_TASK_EXITED;
  placement->status.reported = placement->start.sent = true;
  if (task->state == FC_TASK_RUNNING) note_running(reconciler, placement, now);
  if (placement->status.state != task->state || placement->status.cause != task->cause)
    fc_wakeups_raise(reconciler->wakeups, FC_WAKEUP_REPLICATE);
  placement->status.state = task->state;
  placement->status.cause = task->cause;
  if (has_exited) {
    placement->machine->task_ended_at = now;
    fc_failure_attribution_note_exit(reconciler->cluster->settings, placement);
    fc_wakeups_raise(reconciler->wakeups, FC_WAKEUP_SCHEDULE);
  }
  fc_task_completion_update(reconciler->completion, placement);
}

/* Returns whether a task that the list does not name is certainly gone from the machine. A start that
 * was certainly not executed is also marked to be sent again. */
static bool is_gone(fc_placement *placement, const fc_heartbeat *heartbeat, const list_origin *origin) {
  const fc_placement_start *start = &placement->start;
  if (origin->reconciles) return true; /* fenced: an unlisted task can't start any more */
  if (!start->sent) return false;      /* only planned so far */
  /* A restarted worker counts its epochs from the beginning, and may reach the one that a start named. */
  if (origin->new_epoch) return start->direct == FC_DIRECT_START_NONE;
  /* The worker has lost the task in a restart, and a copy of the start would begin it again. */
  if (placement->status.reported) return !fc_placement_start_repeatable(placement, heartbeat->fencing_token);
  /* Sent but never listed. The outcome is unknown while a direct copy of the start may arrive. After that it is decided
   * by the heartbeat that follows the one whose response carried the start, or by the response to a direct call sent
   * after the worker's request timeout for that heartbeat. Of a restarted machine only responses to direct calls count:
   * when they decided nothing, such a start counted against its team's limit for good, and a gang waited forever (fault
   * test with meetings, seed 241). */
  if (start->direct) return false;
  if (origin->call_sent_at <= 0 && heartbeat->sequence <= start->heartbeat_sequence) return false;
  double response_lost_at = start->sent_at + FC_WORKER_REQUEST_TIMEOUT_S * (1 + 2 * FC_CLOCK_DRIFT);
  if (origin->call_sent_at > 0 && start->heartbeat_sequence && origin->call_sent_at < response_lost_at) return false;
  /* The start was not executed: it is sent again, or dropped if the task is to be stopped. */
  if (!placement->stop.requested) placement->start.sent = false;
  return placement->stop.requested;
}

/* Ends the placement of a task that the worker does not hold. While a copy of its start is
 * outstanding the task may still begin there, even if only after a restart of the worker; started
 * elsewhere, it ran twice (scene test_restarted_workers). So the same attempt is started there again,
 * which makes the copy a duplicate without effect. */
static void end_unlisted(fc_placement *placement) {
  if (fc_placement_outlives_worker(placement)) {
    fc_placement_reset_start(placement);
  } else {
    fc_placement_remove(placement);
  }
}

static void end_all_unlisted(fc_reconciler *reconciler, fc_machine *machine, const fc_heartbeat *heartbeat,
                             const list_origin *origin) {
  for (guint i = machine->placements->len; i-- > 0;) {
    fc_placement *placement = machine->placements->pdata[i];
    if (placement->status.listed || !is_gone(placement, heartbeat, origin)) continue;
    end_unlisted(placement);
    fc_wakeups_raise(reconciler->wakeups, FC_WAKEUP_SCHEDULE);
    fc_wakeups_raise(reconciler->wakeups, FC_WAKEUP_REPLICATE);
  }
}

static void log_unexpected_task(const fc_placement *placement, const fc_heartbeat *heartbeat) {
  g_info("unexpected task listed task=%s/%u attempt=%" G_GUINT64_FORMAT " machine=%s state=%d token=%" G_GUINT64_FORMAT
         " epoch=%" G_GUINT64_FORMAT,
         placement->job_id, placement->index, (guint64)placement->attempt, placement->machine->id,
         placement->status.state, (guint64)heartbeat->fencing_token, (guint64)heartbeat->epoch);
}

/* Adds a placement for a listed attempt that this controller doesn't know. On a machine that was reconciled and heard
 * before, a late copy of a command has begun it: it is stopped, and until it has ended its task is not placed
 * elsewhere. */
static fc_placement *add_listed(fc_reconciler *reconciler, fc_machine *machine, const fc_heartbeat *heartbeat,
                                const fc_task_status *task, const list_origin *origin, double now) {
  fc_placement *placement =
      fc_cluster_add_placement(reconciler->cluster, machine, task->job, task->index, task->attempt, now);
  if (origin->reconciles || origin->first) return placement;
  placement->status.state = task->state;
  placement->start =
      (fc_placement_start){.sent = true, .direct_token = heartbeat->fencing_token, .direct_epoch = heartbeat->epoch};
  placement->stop.requested = true;
  reconciler->metrics->counters.unexpected_tasks++;
  log_unexpected_task(placement, heartbeat);
  return placement;
}

/* Replaces the placements of the machine by the worker's task list. */
static void update_tasks(fc_reconciler *reconciler, fc_machine *machine, const fc_heartbeat *heartbeat,
                         const list_origin *origin, double now) {
  for (guint i = 0; i < machine->placements->len; i++)
    ((fc_placement *)machine->placements->pdata[i])->status.listed = false;
  for (size_t i = 0; i < heartbeat->task_count; i++) {
    const fc_task_status *task = &heartbeat->tasks[i];
    fc_placement *placement = fc_machine_find_placement(machine, task->job, task->index, task->attempt);
    if (!placement) placement = add_listed(reconciler, machine, heartbeat, task, origin, now);
    update_placement(reconciler, placement, task, now);
    placement->status.listed = true;
  }
  end_all_unlisted(reconciler, machine, heartbeat, origin);
}

/* From here on a task can start on the machine only by a command sent in this term. */
static void mark_reconciled(fc_reconciler *reconciler, fc_machine *machine) {
  fc_cluster *cluster = reconciler->cluster;
  uint64_t term = cluster->membership.term.number;
  machine->reconciled_term = term;
  /* Only views that show the machine as reconciled count as showing its placements, and none so far
   * has. Without this a slice was handed over to a member that had acknowledged an earlier view, and
   * started there a second time (fault test, seed 285). */
  for (guint i = 0; i < machine->placements->len; i++)
    ((fc_placement *)machine->placements->pdata[i])->first_view = cluster->view_number + 1;
  fc_wakeups_raise(reconciler->wakeups, FC_WAKEUP_REPLICATE);
  g_debug("reconciled machine=%s term=%" G_GUINT64_FORMAT " tasks=%u", machine->id, (guint64)term,
          machine->placements->len);
  (void)fc_cluster_update_reconciled(cluster);
  fc_wakeups_raise(reconciler->wakeups, FC_WAKEUP_SCHEDULE);
}

static void apply(fc_reconciler *reconciler, fc_machine *machine, const fc_heartbeat *heartbeat, double call_sent_at) {
  const fc_cluster *cluster = reconciler->cluster;
  double now = fc_now();
  bool was_reconciled = fc_machine_reconciled(cluster, machine);
  const list_origin origin = {
      .call_sent_at = call_sent_at,
      .reconciles =
          !was_reconciled && fc_fencing_token_in_term(heartbeat->fencing_token, cluster->membership.term.number),
      .first = !machine->worker.reported,
      .new_epoch = machine->worker.reported && heartbeat->epoch > machine->worker.epoch,
  };
  /* Its lease had expired; now that it shows its epoch it can take tasks again. */
  bool usable_again = machine->worker.reported && !machine->worker.epoch_shown;
  if (usable_again) fc_wakeups_raise(reconciler->wakeups, FC_WAKEUP_SCHEDULE);
  update_machine(machine, heartbeat, &origin, now);
  if (!was_reconciled && !origin.reconciles) return; /* not fenced yet: the list proves nothing */
  update_tasks(reconciler, machine, heartbeat, &origin, now);
  if (origin.reconciles) mark_reconciled(reconciler, machine);
  update_idle_time(machine, now);
}

void fc_reconciler_apply_heartbeat(fc_reconciler *reconciler, fc_machine *machine, const fc_heartbeat *heartbeat) {
  apply(reconciler, machine, heartbeat, 0);
}

void fc_reconciler_apply_answer(fc_reconciler *reconciler, fc_machine *machine, const fc_heartbeat *heartbeat,
                                double call_sent_at) {
  apply(reconciler, machine, heartbeat, call_sent_at);
}
