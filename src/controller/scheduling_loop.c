/* The round: every two seconds, and at once when a job or room arrives. */
#include <string.h>

#include "bookkeeping/cluster_machines.h"
#include "bookkeeping/dependencies.h"
#include "bookkeeping/reconciliation_progress.h"
#include "controller/controller.h"
#include "controller/duties.h"
#include "scheduler/bin_packing.h"
#include "scheduler/image_preemption.h"
#include "scheduler/limit_preemption.h"
#include "scheduler/pending_tasks.h"
#include "scheduler/preemption.h"

static uint64_t next_attempt(fc_controller *controller) {
  return fc_attempt(controller->cluster->membership.term.number, ++controller->attempt_counter);
}

/* Tasks that must not run any more. */
static void stop_unwanted(fc_controller *controller, fc_machine *machine, bool *work) {
  for (guint i = 0; i < machine->placements->len; i++) {
    fc_placement *placement = machine->placements->pdata[i];
    if (placement->status.state == FC_TASK_EXITED || (placement->stop.requested && placement->stop.grace_s <= 0))
      continue;
    const fc_job *job = placement->job;
    /* A gang that lost a task before it started waits for nothing. */
    bool orphan = job && job->spec.kind == FC_JOB_GANG && placement->status.state == FC_TASK_WAITING &&
                  job->placements->len < job->spec.tasks - job->completion.count;
    if (!orphan && !fc_workers_unwanted(controller, placement)) continue;
    placement->stop.requested = true;
    placement->stop.grace_s = 0;
    *work = true;
  }
}

/* The orderly stop of a gang: all tasks are told at once, directly, or one told
 * alone would lose the others' work. Where some are on another member's machines
 * (after a change of term) it is left to run to its end. */
static void stop_gang(fc_controller *controller, const fc_job *job) {
  fc_cluster *cluster = controller->cluster;
  for (guint i = 0; i < job->placements->len; i++) {
    const fc_placement *placement = job->placements->pdata[i];
    if (!fc_machine_owned_by_self(cluster, placement->machine) || !fc_machine_reconciled(cluster, placement->machine) ||
        placement->machine->command_in_flight)
      return;
  }
  for (guint i = 0; i < job->placements->len; i++) {
    fc_placement *placement = job->placements->pdata[i];
    if (!fc_placement_active(placement) || placement->stop.requested) continue;
    fc_workers_stop(controller, placement);
    fc_workers_push(controller, placement->machine);
  }
  g_debug("stop gang job=%s", job->spec.id);
}

/* A machine that is about to be taken, or to be returned as faulty, is drained:
 * what can save does so, and goes on elsewhere. */
static void drain(fc_controller *controller, fc_machine *machine, bool *work) {
  if (!machine->drain.spot_notice_until && !machine->health.faulty) return;
  for (guint i = 0; i < machine->placements->len; i++) {
    fc_placement *placement = machine->placements->pdata[i];
    if (placement->status.state == FC_TASK_EXITED || placement->stop.requested || !placement->job) continue;
    const fc_job_spec *spec = &placement->job->spec;
    /* What never saves may still end in time; moving it only loses its work. */
    if (spec->checkpoint_s <= 0 && spec->kind != FC_JOB_SERVICE && placement->status.state == FC_TASK_RUNNING) continue;
    if (spec->kind == FC_JOB_GANG) {
      stop_gang(controller, placement->job);
      continue;
    }
    fc_workers_stop(controller, placement);
    *work = true;
  }
}

/* Starts that have not been sent, and stops that the answer to a report would have
 * carried by now: a machine that reaches nobody hears of them directly or never. */
static bool owes_commands(const fc_controller *controller, const fc_machine *machine, double now) {
  bool quiet = now > machine->agent.heard_at + controller->settings->heartbeat_s * 1.25;
  for (guint i = 0; i < machine->placements->len; i++) {
    const fc_placement *placement = machine->placements->pdata[i];
    if (!placement->status.reported && !placement->start.sent && !placement->stop.requested) return true;
    if (quiet && placement->stop.requested && placement->start.sent && fc_placement_active(placement)) return true;
  }
  return false;
}

static void send_stops(fc_controller *controller, GPtrArray *stops, GPtrArray *push) {
  for (guint i = 0; i < stops->len; i++) {
    fc_placement *placement = stops->pdata[i];
    fc_workers_stop(controller, placement);
    controller->metrics->counters.preempted++;
    g_debug("preempt task=%s/%u machine=%s", placement->job_id, placement->index, placement->machine->id);
    if (!g_ptr_array_find(push, placement->machine, NULL)) g_ptr_array_add(push, placement->machine);
  }
  g_ptr_array_free(stops, TRUE);
}

static void place(fc_controller *controller, GPtrArray *push) {
  GPtrArray *stops = g_ptr_array_new();
  fc_cluster *cluster = controller->cluster;
  double now = fc_now();
  fc_allowance allow;
  fc_quota_allowance(controller->quota_shares, &allow);
  GArray *plan = fc_place_round(cluster, &allow, now);
  fc_image_search *search = fc_image_search_new(cluster, now);
  const fc_job *gang = NULL;
  uint64_t attempt = 0;
  for (guint i = 0; i < plan->len; i++) {
    const fc_decision *decision = &g_array_index(plan, fc_decision, i);
    if (fc_preempt_for_image(search, decision, stops)) continue;
    bool same_gang = decision->job->spec.kind == FC_JOB_GANG && decision->job == gang;
    if (!same_gang) attempt = next_attempt(controller);
    gang = decision->job;
    (void)fc_cluster_add_placement(cluster, decision->machine, decision->job->spec.id, decision->index, attempt, now);
    fc_machine_touch_image(decision->machine, decision->job->spec.image);
    controller->metrics->counters.placed++; /* decisions left out of this round are none */
    g_debug("place task=%s/%u attempt=%" G_GUINT64_FORMAT " machine=%s", decision->job->spec.id, decision->index,
            (guint64)attempt, decision->machine->id);
  }
  if (plan->len > 0) fc_wakeups_raise(controller->wakeups, FC_WAKEUP_REPLICATE);
  fc_image_search_free(search);
  g_array_free(plan, TRUE);
  send_stops(controller, stops, push);
}

static void preempt(fc_controller *controller, GPtrArray *push) {
  fc_allowance allow;
  fc_quota_allowance(controller->quota_shares, &allow);
  GPtrArray *stops = fc_preempt_round(controller->cluster, &allow, fc_now());
  fc_preempt_for_limit(controller->cluster, stops, fc_now());
  send_stops(controller, stops, push);
}

/* A task of ours, or a gang anywhere, that has found no place? */
static bool anything_waits(const fc_cluster *cluster) {
  fc_job_iter job_iter = fc_cluster_jobs(cluster);
  for (const fc_job *job; (job = fc_job_iter_next(&job_iter));) {
    if (!fc_job_runnable(job)) continue;
    if (job->spec.kind == FC_JOB_GANG && job->placements->len == 0) return true;
    if (fc_job_owned_by(job, cluster->membership.self) && fc_job_has_pending_tasks(job, cluster->membership.self))
      return true;
  }
  return false;
}

static void tick(fc_controller *controller) {
  fc_cluster *cluster = controller->cluster;
  controller->metrics->counters.rounds++;
  fc_workers_expire(controller);
  (void)fc_cluster_update_reconciled(cluster);
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, cluster->machines);
  GPtrArray *push = g_ptr_array_new();
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    fc_machine *machine = value;
    if (!fc_machine_owned_by_self(cluster, machine)) fc_workers_ask(controller, machine);
    if (!fc_machine_owned_by_self(cluster, machine) || !machine->record_version) continue;
    bool settled = fc_machine_reconciled(cluster, machine);
    bool work = !settled || fc_workers_doubt(controller, machine);
    /* Before it is settled it is sent nothing but the question what it holds. Marked to
     * be stopped by then, a task was never told so, where the machine did not report. */
    if (settled) stop_unwanted(controller, machine, &work);
    drain(controller, machine, &work);
    if (work) g_ptr_array_add(push, machine);
  }
  place(controller, push);
  /* With a long queue the dear part of a round is to look for other places; it
   * need not follow every event. */
  double now = fc_now();
  bool due = now >= controller->looked_at + controller->settings->op.round_s * 0.25;
  if (due) controller->cluster->tasks_pending = anything_waits(cluster);
  if (due && controller->cluster->tasks_pending) {
    controller->looked_at = now;
    preempt(controller, push);
    if (fc_cluster_store_reachable(controller->cluster, fc_now())) fc_share_round(controller);
  }
  fc_machine_iter machine_iter = fc_cluster_machines(cluster);
  for (fc_machine *machine; (machine = fc_machine_iter_next(&machine_iter));) {
    if (fc_machine_owned_by_self(cluster, machine) && fc_machine_reconciled(cluster, machine) &&
        owes_commands(controller, machine, now) && !g_ptr_array_find(push, machine, NULL))
      g_ptr_array_add(push, machine);
  }
  for (guint i = 0; i < push->len; i++) fc_workers_push(controller, push->pdata[i]);
  g_ptr_array_free(push, TRUE);
}

/* One line about everything, once a worker lease. */
static void log_status(fc_controller *controller) {
  const fc_cluster *cluster = controller->cluster;
  unsigned waiting = 0, unclear = 0, mine = 0, unsettled = 0, silent = 0;
  const char *unsettled_id = "-";
  fc_job_iter job_iter = fc_cluster_jobs(cluster);
  for (const fc_job *job; (job = fc_job_iter_next(&job_iter));) {
    if (!fc_job_runnable(job) || !fc_job_owned_by(job, cluster->membership.self)) continue;
    GArray *missing = fc_job_pending_tasks(job, cluster->membership.self, 1);
    waiting += missing->len;
    unclear += !job->slices.resolved;
    g_array_free(missing, TRUE);
  }
  fc_machine_iter machine_iter = fc_cluster_machines(cluster);
  for (const fc_machine *machine; (machine = fc_machine_iter_next(&machine_iter));) {
    mine += fc_machine_owned_by_self(cluster, machine);
    silent += fc_machine_owned_by_self(cluster, machine) &&
              fc_now() > machine->agent.heard_at + controller->settings->heartbeat_s * 2;
    if (!machine->record_version || fc_machine_reconciled(cluster, machine)) continue;
    unsettled++;
    unsettled_id = machine->id;
  }
  g_info("status term=%" G_GUINT64_FORMAT " self=%d may_act=%d fresh_s=%.1f latched=%d quota_term=%" G_GUINT64_FORMAT
         " waiting=%u unclear=%u machines=%u silent=%u unsettled=%u e.g. %s routines=%zu",
         (guint64)cluster->membership.term.number, cluster->membership.self, fc_leadership_held(controller->leadership),
         fc_now() - controller->cluster->sync.read_at,
         cluster->reconciliation.complete_in_term == cluster->membership.term.number,
         (guint64)cluster->quota.record.term, waiting, unclear, mine, silent, unsettled, unsettled_id,
         fc_routine_count());
  const fc_counters *counters = &controller->metrics->counters;
  g_info("counts rounds=%" G_GUINT64_FORMAT " reads=%" G_GUINT64_FORMAT " reports=%" G_GUINT64_FORMAT
         " requests=%" G_GUINT64_FORMAT " exchanges=%" G_GUINT64_FORMAT " views=%" G_GUINT64_FORMAT
         " pushes=%" G_GUINT64_FORMAT " placed=%" G_GUINT64_FORMAT " preempted=%" G_GUINT64_FORMAT
         " handed_over=%" G_GUINT64_FORMAT " lent=%" G_GUINT64_FORMAT,
         (guint64)counters->rounds, (guint64)counters->reads, (guint64)counters->heartbeats,
         (guint64)counters->requests, (guint64)counters->exchanges, (guint64)counters->views_received,
         (guint64)counters->worker_calls, (guint64)counters->placed, (guint64)counters->preempted,
         (guint64)counters->handed_over, (guint64)counters->machines_transferred);
  fc_group_commit_counts w = fc_group_commit_stats(controller->commit);
  g_info("writes transactions=%" G_GUINT64_FORMAT " job=%" G_GUINT64_FORMAT " machine=%" G_GUINT64_FORMAT
         " hire=%" G_GUINT64_FORMAT " quota=%" G_GUINT64_FORMAT " other=%" G_GUINT64_FORMAT " waited_s=%.1f",
         (guint64)w.transactions, (guint64)w.writes[FC_WRITE_KIND_JOB], (guint64)w.writes[FC_WRITE_KIND_MACHINE],
         (guint64)w.writes[FC_WRITE_KIND_RENTAL], (guint64)w.writes[FC_WRITE_KIND_QUOTA],
         (guint64)w.writes[FC_WRITE_KIND_OTHER], w.waited_s);
  fc_metrics_log_usage(controller->metrics);
}

void fc_round_main(void *arg) {
  fc_controller *controller = arg;
  fc_metrics_enter_duty(controller->metrics, FC_DUTY_ROUNDS);
  double logged_at = fc_now();
  /* Between rounds that events ask for, so that a burst is placed together. */
  double least = controller->settings->op.round_s * 0.05;
  while (!fc_routine_cancelled()) {
    double began = fc_now();
    uint64_t wakeups = fc_wakeups_count(controller->wakeups, FC_WAKEUP_SCHEDULE);
    if (fc_leadership_held(controller->leadership)) tick(controller);
    double took = fc_now() - began;
    fc_metrics_time(controller->metrics, FC_TIME_ROUND, took);
    if (fc_now() > logged_at + controller->settings->lease_s) {
      log_status(controller);
      logged_at = fc_now();
    }
    /* Rounds leave most of the processor to reports, which come before decisions. */
    (void)fc_routine_sleep(MAX(least, took * 4));
    if (wakeups == fc_wakeups_count(controller->wakeups, FC_WAKEUP_SCHEDULE))
      (void)fc_wakeups_wait(controller->wakeups, FC_WAKEUP_SCHEDULE, began + controller->settings->op.round_s);
  }
}
