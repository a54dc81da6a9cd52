#include "scheduler/preemption.h"

#include "scheduler/gang_precedence.h"
#include "scheduler/job_order.h"
#include "scheduler/pending_tasks.h"
#include "scheduler/victim_selection.h"
#include "scheduler/zone_spread.h"

/* Maximum number of tasks of one job for which a round makes room. */
#define PREEMPTION_TASKS_MAX 64u
/* A job has to be pending for this share of a round in addition to the wait for a handover. */
#define ROUND_SHARE_BEFORE_PREEMPTION 0.5

typedef struct preemption_round {
  const fc_cluster *cluster;
  double now;
  fc_team_allowance allowance;
  fc_gang_order gang_order;
  fc_team_usage usage;
  GArray *capacity; /* fc_free_capacity */
  GArray *failures; /* search_failure */
  GPtrArray *stops; /* fc_placement */
} preemption_round;

/* A job for which no room could be made, and the zones (a bit each) that it was allowed to use. */
typedef struct search_failure {
  const fc_job *job;
  unsigned zones;
} search_failure;

static unsigned allowed_zones(const fc_job *job) {
  const fc_zone_spread spread = fc_job_zone_spread(job);
  unsigned zones = 0;
  for (unsigned zone = 0; zone <= FC_ZONES_MAX; zone++)
    zones |= (unsigned)fc_zone_spread_allows(&spread, &job->spec, zone) << zone;
  return zones;
}

/* Returns whether a search for `job` is bound to fail because the recorded one failed: the job requests at least as
 * much and may use at most the same machines. Room only shrinks during a round. */
static bool implies_failure(const search_failure *failure, const fc_job *job, unsigned zones) {
  const fc_job *failed = failure->job;
  const fc_job_spec *failed_spec = &failed->spec;
  const fc_job_spec *spec = &job->spec;
  if (failed->queue.priority != job->queue.priority || failed->team != job->team) return false;
  if (failed_spec->types || failed->failures.machines) return false;
  if (failed_spec->spot != spec->spot || failed_spec->zone != spec->zone || (zones & ~failure->zones) != 0)
    return false;
  return failed_spec->cpus <= spec->cpus && failed_spec->gpus <= spec->gpus &&
         failed_spec->memory_gb <= spec->memory_gb;
}

static bool must_fail(const GArray *failures, const fc_job *job) {
  unsigned zones = allowed_zones(job);
  for (guint i = 0; i < failures->len; i++)
    if (implies_failure(&g_array_index(failures, search_failure, i), job, zones)) return true;
  return false;
}

static bool may_preempt_for(const preemption_round *round, const fc_job *job) {
  const fc_settings *settings = round->cluster->settings;
  if (job->spec.kind == FC_JOB_GANG || !fc_job_placeable(round->cluster, job, round->now) ||
      job->slices.handover_pending)
    return false;
  /* No room is made for a job that may not be placed: when it was, the victims were placed there again and preempted
   * again, twice a second (scene preempted_for_nothing). */
  if (fc_gang_order_holds_back(&round->gang_order, job)) return false;
  /* Free room in another shard is cheaper than preemption; allow time for a handover to find it. */
  if (round->now < job->queue.entered_at + settings->operator_settings.handover_wait_s +
                       settings->operator_settings.round_s * ROUND_SHARE_BEFORE_PREEMPTION)
    return false;
  return !must_fail(round->failures, job);
}

static bool within_allowance(const preemption_round *round, const fc_job *job) {
  const fc_resources reserved = fc_gang_order_reserved(&round->gang_order, job);
  return fc_team_allowance_holds(&round->allowance, &reserved, job, 1);
}

/* Makes room for the job's pending tasks until the allowance is used up or no more room can be made. */
static void preempt_for_job(preemption_round *round, const fc_job *job) {
  const fc_cluster *cluster = round->cluster;
  GArray *pending = fc_job_pending_tasks(job, cluster->membership.self, PREEMPTION_TASKS_MAX);
  for (guint i = 0; i < pending->len; i++) {
    unsigned slice = fc_job_slice_of(job, g_array_index(pending, uint32_t, i));
    if (!(job->slices.resolved >> slice & 1)) continue;
    if (!within_allowance(round, job)) break;
    if (!fc_victims_select(cluster, &round->usage, round->capacity, job, round->now, round->stops)) {
      search_failure failure = {.job = job, .zones = allowed_zones(job)};
      g_array_append_val(round->failures, failure);
      break;
    }
    round->allowance.cpus[job->team] -= job->spec.cpus;
    round->allowance.gpus[job->team] -= job->spec.gpus;
    fc_team_usage_add(&round->usage, job);
  }
  g_array_free(pending, TRUE);
}

GPtrArray *fc_preemption_plan(const fc_cluster *cluster, const fc_team_allowance *allowance, double now) {
  preemption_round round = {.cluster = cluster, .now = now, .allowance = *allowance};
  fc_gang_order_init(cluster, &round.gang_order, now);
  round.usage = fc_cluster_team_usage(cluster);
  round.capacity = fc_preemption_capacity(cluster, now);
  round.failures = g_array_new(FALSE, TRUE, sizeof(search_failure));
  round.stops = g_ptr_array_new();
  GPtrArray *jobs = fc_cluster_open_jobs(cluster);
  for (guint i = 0; i < jobs->len; i++)
    if (may_preempt_for(&round, jobs->pdata[i])) preempt_for_job(&round, jobs->pdata[i]);
  g_ptr_array_free(jobs, TRUE);
  g_array_free(round.failures, TRUE);
  g_array_free(round.capacity, TRUE);
  return round.stops;
}
