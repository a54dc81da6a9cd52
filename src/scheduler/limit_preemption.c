#include "scheduler/limit_preemption.h"

#include <string.h>

#include "bookkeeping/cluster_machines.h"
#include "scheduler/gang_precedence.h"
#include "scheduler/team_quota.h"

/* Orders placements by job and task index, which is the same order on every member. */
static gint compare_task(gconstpointer left_placement, gconstpointer right_placement) {
  const fc_placement *left = *(const fc_placement *const *)left_placement;
  const fc_placement *right = *(const fc_placement *const *)right_placement;
  int by_job = strcmp(left->job_id, right->job_id);
  if (by_job != 0) return by_job;
  return left->index < right->index ? -1 : left->index > right->index;
}

/* The tasks of the gang's team that may be preempted for it, in the same order on every member. Adds the team's
 * usage to *cpus and *gpus. */
static GPtrArray *preemptible_tasks(const fc_cluster *cluster, const fc_job *gang, double *cpus, double *gpus) {
  GPtrArray *preemptible = g_ptr_array_new();
  fc_job_iter job_iter = fc_cluster_jobs(cluster);
  for (const fc_job *job; (job = fc_job_iter_next(&job_iter));) {
    if (job->team != gang->team) continue;
    bool may_preempt = fc_job_preemptible_for_gang(job, gang->queue.priority);
    for (guint i = 0; i < job->placements->len; i++) {
      fc_placement *placement = job->placements->pdata[i];
      if (!fc_placement_active(placement)) continue;
      *cpus += job->spec.cpus;
      *gpus += job->spec.gpus;
      if (may_preempt) g_ptr_array_add(preemptible, placement);
    }
  }
  g_ptr_array_sort(preemptible, compare_task);
  return preemptible;
}

static void preempt_for_gang(const fc_cluster *cluster, const fc_job *gang, GPtrArray *stops) {
  const fc_team_settings *team_settings = &cluster->settings->teams[gang->team];
  double cpus = gang->spec.tasks * gang->spec.cpus;
  double gpus = gang->spec.tasks * gang->spec.gpus;
  GPtrArray *preemptible = preemptible_tasks(cluster, gang, &cpus, &gpus);
  for (guint i = 0; i < preemptible->len && !fc_team_limit_allows(team_settings, cpus, gpus); i++) {
    fc_placement *placement = preemptible->pdata[i];
    cpus -= placement->job->spec.cpus;
    gpus -= placement->job->spec.gpus;
    if (fc_machine_owned_by_self(cluster, placement->machine) && !placement->stop.requested)
      g_ptr_array_add(stops, placement);
  }
  g_ptr_array_free(preemptible, TRUE);
}

void fc_limit_preemption_plan(const fc_cluster *cluster, GPtrArray *stops, double now) {
  const fc_job *preceding[FC_TEAMS_MAX];
  fc_gang_precedence_find(cluster, preceding);
  for (size_t team = 0; team < cluster->settings->team_count; team++) {
    const fc_job *gang = preceding[team];
    /* Wait first: running tasks may end without preemption, and most faults last less than a lease. */
    if (gang && now > gang->queue.entered_at + cluster->settings->lease_s) preempt_for_gang(cluster, gang, stops);
  }
}
