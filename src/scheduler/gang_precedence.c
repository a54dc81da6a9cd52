#include "scheduler/gang_precedence.h"

#include "bookkeeping/dependencies.h"
#include "bookkeeping/quota_usage.h"
#include "scheduler/job_order.h"
#include "scheduler/team_quota.h"

bool fc_gang_pending(const fc_job *job) {
  return job->spec.kind == FC_JOB_GANG && fc_job_runnable(job) && job->placements->len == 0 &&
         job->completion.count < job->spec.tasks;
}

bool fc_job_preemptible_for_gang(const fc_job *job, fc_priority gang_priority) {
  return job->spec.kind == FC_JOB_ARRAY && job->queue.priority < gang_priority;
}

static unsigned active_placements(const fc_job *job) {
  unsigned count = 0;
  for (guint i = 0; i < job->placements->len; i++) count += fc_placement_active(job->placements->pdata[i]);
  return count;
}

/* The team's usage that can't be preempted for a gang of the priority. */
static fc_resources unpreemptible_usage(const fc_cluster *cluster, int team, fc_priority priority) {
  fc_resources usage = {0, 0, 0};
  fc_job_iter job_iter = fc_cluster_jobs(cluster);
  for (const fc_job *job; (job = fc_job_iter_next(&job_iter));) {
    if (job->team != team || fc_job_preemptible_for_gang(job, priority)) continue;
    unsigned tasks = active_placements(job);
    usage.cpus += job->spec.cpus * tasks;
    usage.gpus += job->spec.gpus * tasks;
  }
  return usage;
}

/* The pending gangs of teams that have a limit, in the same order on every member. */
static GPtrArray *pending_gangs_under_limit(const fc_cluster *cluster) {
  GPtrArray *gangs = g_ptr_array_new();
  fc_job_iter job_iter = fc_cluster_jobs(cluster);
  for (const fc_job *job; (job = fc_job_iter_next(&job_iter));) {
    if (job->team < 0 || !fc_gang_pending(job)) continue;
    if (fc_team_limited(&cluster->settings->teams[job->team])) g_ptr_array_add(gangs, (gpointer)job);
  }
  g_ptr_array_sort(gangs, fc_job_compare_priority_and_id);
  return gangs;
}

void fc_gang_precedence_find(const fc_cluster *cluster, const fc_job *preceding[FC_TEAMS_MAX]) {
  for (size_t team = 0; team < cluster->settings->team_count; team++) preceding[team] = NULL;
  GPtrArray *gangs = pending_gangs_under_limit(cluster);
  /* Consecutive gangs often have the same team and priority, and then the same usage. */
  fc_resources usage = {0, 0, 0};
  int usage_team = -1;
  int usage_priority = -1;
  for (guint i = 0; i < gangs->len; i++) {
    const fc_job *job = gangs->pdata[i];
    if (preceding[job->team]) continue;
    if (usage_team != job->team || usage_priority != (int)job->queue.priority)
      usage = unpreemptible_usage(cluster, job->team, job->queue.priority);
    usage_team = job->team;
    usage_priority = (int)job->queue.priority;
    double tasks = job->spec.tasks;
    if (fc_team_limit_allows(&cluster->settings->teams[job->team], usage.cpus + tasks * job->spec.cpus,
                             usage.gpus + tasks * job->spec.gpus))
      preceding[job->team] = job;
  }
  g_ptr_array_free(gangs, TRUE);
}

bool fc_gang_precedes(const fc_cluster *cluster, const fc_job *gang, const fc_job *job, double now) {
  if (!gang || job == gang || job->team != gang->team) return false;
  if (job->spec.kind == FC_JOB_GANG) return true;
  /* Arrays of the same priority as well: an array of a pipeline has the priority of the pipeline's last job.
   * While such an array went on starting tasks, part of the limit stayed with a shard that had no room for the gang,
   * and both were pending forever (fault test with upgrades and meetings, seed 149). */
  return job->spec.kind == FC_JOB_ARRAY && job->queue.priority <= gang->queue.priority &&
         now > gang->queue.entered_at + cluster->settings->operator_settings.handover_wait_s;
}

/* ---- fc_gang_order ---- */

static fc_resources gang_need(const fc_job *gang) {
  double tasks = gang->spec.tasks - gang->completion.count;
  return (fc_resources){.cpus = tasks * gang->spec.cpus, .gpus = tasks * gang->spec.gpus};
}

/* The team's usage on the member's machines. */
static fc_resources usage_at(const fc_cluster *cluster, int team, int member) {
  fc_resources usage = {0, 0, 0};
  fc_job_iter job_iter = fc_cluster_jobs(cluster);
  for (const fc_job *job; (job = fc_job_iter_next(&job_iter));) {
    if (job->team != team) continue;
    for (guint i = 0; i < job->placements->len; i++) {
      const fc_placement *placement = job->placements->pdata[i];
      if (fc_placement_active(placement) && placement->machine->owner == member) fc_resources_add(&usage, &job->spec);
    }
  }
  return usage;
}

/* Returns whether the quota share of the gang's owner covers the whole gang in addition to what its team runs
 * there. The other shards may then go on using their own shares: otherwise a gang that waited for machines
 * blocked all arrays of its team, with nothing of the limit in use (scene gang_without_machines). */
static bool share_covers_gang(const fc_cluster *cluster, const fc_job *gang) {
  const fc_quota_record *quota = &cluster->quota.record;
  int owner = fc_job_slice_owner(gang, 0);
  if (owner < 0 || quota->term != cluster->membership.term.number) return false;
  int index = fc_quota_record_find(quota, cluster->membership.term.members[owner].name);
  if (index < 0) return false;
  const fc_team_settings *team_settings = &cluster->settings->teams[gang->team];
  const fc_resources usage = usage_at(cluster, gang->team, owner);
  const fc_resources need = gang_need(gang);
  return (team_settings->cpus_max <= 0 ||
          usage.cpus + need.cpus <= quota->cpus[index][gang->team] + FC_QUOTA_TOLERANCE) &&
         (team_settings->gpus_max <= 0 ||
          usage.gpus + need.gpus <= quota->gpus[index][gang->team] + FC_QUOTA_TOLERANCE);
}

void fc_gang_order_init(const fc_cluster *cluster, fc_gang_order *order, double now) {
  *order = (fc_gang_order){.cluster = cluster, .now = now};
  fc_gang_precedence_find(cluster, order->preceding);
  for (size_t team = 0; team < cluster->settings->team_count; team++)
    order->share_covers[team] = order->preceding[team] && share_covers_gang(cluster, order->preceding[team]);
}

static bool precedes(const fc_gang_order *order, const fc_job *job) {
  return fc_gang_precedes(order->cluster, order->preceding[job->team], job, order->now);
}

bool fc_gang_order_holds_back(const fc_gang_order *order, const fc_job *job) {
  if (!precedes(order, job)) return false;
  return job->spec.kind == FC_JOB_GANG || !order->share_covers[job->team];
}

fc_resources fc_gang_order_reserved(const fc_gang_order *order, const fc_job *job) {
  const fc_job *gang = order->preceding[job->team];
  if (!precedes(order, job) || fc_job_slice_owner(gang, 0) != order->cluster->membership.self)
    return (fc_resources){0, 0, 0};
  return gang_need(gang);
}
