#include "controller/scheduling_loop.h"

#include "bookkeeping/cluster_machines.h"
#include "bookkeeping/reconciliation_progress.h"
#include "controller/heartbeat_hold.h"
#include "controller/worker_commands.h"
#include "scheduler/bin_packing.h"
#include "scheduler/image_preemption.h"
#include "scheduler/limit_preemption.h"
#include "scheduler/pending_tasks.h"
#include "scheduler/preemption.h"

/* Minimum pause between rounds, so that a burst of jobs is placed together; as a fraction of the regular interval. */
#define MIN_PAUSE_ROUNDS 0.05

/* Minimum interval between searches for places beyond free resources, which are the costly part of a round with a long
 * queue and needn't follow every wake-up; as a fraction of the regular interval. */
#define SEARCH_INTERVAL_ROUNDS 0.25

/* Each pause is at least this many times as long as the round before it, which leaves most of the processor to
 * heartbeats: these have precedence over decisions. */
#define PAUSE_ROUND_TIME_FACTOR 4

struct fc_scheduling_loop {
  fc_scheduling_loop_deps deps;
  uint64_t attempts;  /* begun by this process */
  double searched_at; /* when places beyond free resources were last searched for */
  double logged_at;   /* when the status was last logged */
};

fc_scheduling_loop *fc_scheduling_loop_new(const fc_scheduling_loop_deps *deps) {
  fc_scheduling_loop *loop = g_new0(fc_scheduling_loop, 1);
  loop->deps = *deps;
  return loop;
}

/* Adds a machine to be called at the end of the round, unless it is in the list already. */
static void add_call(GPtrArray *to_call, fc_machine *machine) {
  if (!g_ptr_array_find(to_call, machine, NULL)) g_ptr_array_add(to_call, machine);
}

/* Requests a stop for each of the placements, and frees the array. */
static void preempt_placements(fc_scheduling_loop *loop, GPtrArray *stops, GPtrArray *to_call) {
  const fc_settings *settings = loop->deps.cluster->settings;
  fc_counters *counters = &loop->deps.metrics->counters;
  for (guint i = 0; i < stops->len; i++) {
    fc_placement *placement = stops->pdata[i];
    fc_worker_commands_request_stop(settings, placement);
    counters->preempted++;
    /* Reveals tasks that are placed and preempted repeatedly. */
    counters->preempted_early += fc_now() < placement->created_at + settings->lease_s;
    g_debug("preempt task=%s/%u machine=%s", placement->job_id, placement->index, placement->machine->id);
    add_call(to_call, placement->machine);
  }
  g_ptr_array_free(stops, TRUE);
}

static uint64_t next_attempt(fc_scheduling_loop *loop) {
  return fc_attempt(loop->deps.cluster->membership.term.number, ++loop->attempts);
}

static void place_task(fc_scheduling_loop *loop, const fc_placement_decision *decision, uint64_t attempt, double now) {
  const fc_job_spec *spec = &decision->job->spec;
  (void)fc_cluster_add_placement(loop->deps.cluster, decision->machine, spec->id, decision->index, attempt, now);
  loop->deps.cluster->placed_at = now;
  fc_machine_touch_image(decision->machine, spec->image);
  loop->deps.metrics->counters.placed++;
  g_debug("place task=%s/%u attempt=%" G_GUINT64_FORMAT " machine=%s", spec->id, decision->index, (guint64)attempt,
          decision->machine->id);
}

/* Places tasks into free resources. */
static void place_tasks(fc_scheduling_loop *loop, GPtrArray *to_call) {
  fc_cluster *cluster = loop->deps.cluster;
  double now = fc_now();
  fc_team_allowance allowance;
  fc_quota_shares_allowance(loop->deps.quota, &allowance);
  GArray *plan = fc_bin_packing_plan(cluster, &allowance, now);
  fc_image_preemption *search = fc_image_preemption_new(cluster, now);
  GPtrArray *stops = g_ptr_array_new();
  const fc_job *gang = NULL; /* whose tasks share one attempt */
  uint64_t attempt = 0;
  for (guint i = 0; i < plan->len; i++) {
    const fc_placement_decision *decision = &g_array_index(plan, fc_placement_decision, i);
    if (fc_image_preemption_defer(search, decision, stops)) continue;
    bool same_gang = decision->job->spec.kind == FC_JOB_GANG && decision->job == gang;
    if (!same_gang) attempt = next_attempt(loop);
    gang = decision->job;
    place_task(loop, decision, attempt, now);
  }
  if (plan->len > 0) fc_wakeups_raise(loop->deps.wakeups, FC_WAKEUP_REPLICATE);
  fc_image_preemption_free(search);
  g_array_free(plan, TRUE);
  preempt_placements(loop, stops, to_call);
}

static void preempt_tasks(fc_scheduling_loop *loop, GPtrArray *to_call) {
  fc_team_allowance allowance;
  fc_quota_shares_allowance(loop->deps.quota, &allowance);
  GPtrArray *stops = fc_preemption_plan(loop->deps.cluster, &allowance, fc_now());
  fc_limit_preemption_plan(loop->deps.cluster, stops, fc_now());
  preempt_placements(loop, stops, to_call);
}

/* Whether a task of this shard, or a gang of any shard, has no place. */
static bool any_tasks_pending(const fc_cluster *cluster) {
  int self = cluster->membership.self;
  fc_job_iter job_iter = fc_cluster_jobs(cluster);
  for (const fc_job *job; (job = fc_job_iter_next(&job_iter));) {
    if (!fc_job_runnable(job)) continue;
    if (job->spec.kind == FC_JOB_GANG && job->placements->len == 0) return true;
    if (fc_job_owned_by(job, self) && fc_job_has_pending_tasks(job, self)) return true;
  }
  return false;
}

/* Searches for places beyond free resources: by preemption, and in other shards. */
static void search_beyond_free_resources(fc_scheduling_loop *loop, double now, GPtrArray *to_call) {
  fc_cluster *cluster = loop->deps.cluster;
  if (now < loop->searched_at + cluster->settings->operator_settings.round_s * SEARCH_INTERVAL_ROUNDS) return;
  cluster->tasks_pending = any_tasks_pending(cluster);
  if (!cluster->tasks_pending) return;
  loop->searched_at = now;
  preempt_tasks(loop, to_call);
  if (fc_cluster_store_reachable(cluster, fc_now())) fc_shard_balancer_run(loop->deps.balancer);
}

/* Returns whether the machine has to be called. */
static bool check_own_machine(fc_scheduling_loop *loop, fc_machine *machine) {
  bool reconciled = fc_machine_reconciled(loop->deps.cluster, machine);
  bool call = !reconciled || fc_machine_probes_check(loop->deps.probes, machine);
  /* Not before the machine is reconciled, as calls to it carry no commands until then: a task marked to be stopped by
   * then never got the stop if its machine sent no heartbeats. */
  if (reconciled) call |= fc_task_stops_request_unwanted(loop->deps.stops, machine);
  if (reconciled && fc_task_stops_withdraw_unsent(loop->deps.stops, machine, fc_now()))
    fc_wakeups_raise(loop->deps.wakeups, FC_WAKEUP_REPLICATE);
  call |= fc_task_stops_drain(loop->deps.stops, machine);
  return call;
}

static void check_machines(fc_scheduling_loop *loop, GPtrArray *to_call) {
  fc_cluster *cluster = loop->deps.cluster;
  fc_machine_iter machine_iter = fc_cluster_machines(cluster);
  for (fc_machine *machine; (machine = fc_machine_iter_next(&machine_iter));) {
    if (!fc_machine_owned_by_self(cluster, machine)) {
      fc_machine_probes_assist_owner(loop->deps.probes, machine);
    } else if (machine->record_version && check_own_machine(loop, machine)) {
      g_ptr_array_add(to_call, machine);
    }
  }
}

static void add_due_calls(fc_scheduling_loop *loop, double now, GPtrArray *to_call) {
  fc_cluster *cluster = loop->deps.cluster;
  fc_machine_iter machine_iter = fc_cluster_machines(cluster);
  for (fc_machine *machine; (machine = fc_machine_iter_next(&machine_iter));) {
    if (fc_heartbeat_hold_release(cluster, machine)) continue;
    if (!fc_machine_owned_by_self(cluster, machine) || !fc_machine_reconciled(cluster, machine)) continue;
    if (fc_task_stops_call_due(loop->deps.stops, machine, now)) add_call(to_call, machine);
  }
}

/* Makes room in records that lack it, and has written what they have left out. */
static void update_records(const fc_scheduling_loop *loop) {
  if (!fc_cluster_store_reachable(loop->deps.cluster, fc_now())) return;
  fc_description_relocation_begin(loop->deps.relocation);
  fc_task_completion_record_unlisted(loop->deps.completion);
}

static void run_round(fc_scheduling_loop *loop) {
  GPtrArray *to_call = g_ptr_array_new();
  loop->deps.metrics->counters.rounds++;
  fc_worker_leases_expire(loop->deps.leases);
  (void)fc_cluster_update_reconciled(loop->deps.cluster);
  check_machines(loop, to_call);
  place_tasks(loop, to_call);
  double now = fc_now();
  search_beyond_free_resources(loop, now, to_call);
  add_due_calls(loop, now, to_call);
  for (guint i = 0; i < to_call->len; i++) fc_worker_calls_send(loop->deps.calls, to_call->pdata[i]);
  g_ptr_array_free(to_call, TRUE);
  update_records(loop);
}

/* Logs the status once in a worker lease. */
static void log_status(fc_scheduling_loop *loop) {
  if (fc_now() <= loop->logged_at + loop->deps.cluster->settings->lease_s) return;
  fc_status_log_write(&loop->deps.status);
  loop->logged_at = fc_now();
}

static void run(void *arg) {
  fc_scheduling_loop *loop = arg;
  fc_wakeups *wakeups = loop->deps.wakeups;
  double round_s = loop->deps.cluster->settings->operator_settings.round_s;
  fc_metrics_enter_duty(loop->deps.metrics, FC_DUTY_ROUNDS);
  loop->logged_at = fc_now();
  while (!fc_routine_cancelled()) {
    double began_at = fc_now();
    uint64_t count = fc_wakeups_count(wakeups, FC_WAKEUP_SCHEDULE);
    if (fc_leadership_held(loop->deps.leadership)) run_round(loop);
    double took_s = fc_now() - began_at;
    fc_metrics_observe_duration(loop->deps.metrics, FC_DURATION_ROUND, took_s);
    log_status(loop);
    (void)fc_routine_sleep(MAX(round_s * MIN_PAUSE_ROUNDS, took_s * PAUSE_ROUND_TIME_FACTOR));
    if (count == fc_wakeups_count(wakeups, FC_WAKEUP_SCHEDULE))
      (void)fc_wakeups_wait(wakeups, FC_WAKEUP_SCHEDULE, began_at + round_s);
  }
}

bool fc_scheduling_loop_start(fc_scheduling_loop *loop) {
  return fc_routine_spawn(run, loop) != NULL;
}
