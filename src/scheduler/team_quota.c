#include "scheduler/team_quota.h"

fc_team_usage fc_cluster_team_usage(const fc_cluster *cluster) {
  fc_team_usage usage = {{0}, {0}};
  fc_machine_iter machine_iter = fc_cluster_machines(cluster);
  for (const fc_machine *machine; (machine = fc_machine_iter_next(&machine_iter));)
    fc_machine_add_usage(machine, usage.cpus, usage.gpus);
  return usage;
}

bool fc_team_allowance_holds(const fc_team_allowance *allowance, const fc_resources *reserved, const fc_job *job,
                             unsigned tasks) {
  return allowance->cpus[job->team] - reserved->cpus + FC_QUOTA_TOLERANCE >= job->spec.cpus * tasks &&
         allowance->gpus[job->team] - reserved->gpus + FC_QUOTA_TOLERANCE >= job->spec.gpus * tasks;
}

void fc_team_usage_add(fc_team_usage *usage, const fc_job *job) {
  usage->cpus[job->team] += job->spec.cpus;
  usage->gpus[job->team] += job->spec.gpus;
}

bool fc_team_limit_allows(const fc_team_settings *team_settings, double cpus, double gpus) {
  return (team_settings->cpus_max <= 0 || cpus <= team_settings->cpus_max + FC_QUOTA_TOLERANCE) &&
         (team_settings->gpus_max <= 0 || gpus <= team_settings->gpus_max + FC_QUOTA_TOLERANCE);
}

bool fc_team_over_guarantee(const fc_cluster *cluster, const fc_team_usage *usage, int team) {
  const fc_team_settings *team_settings = &cluster->settings->teams[team];
  /* A guarantee of 0 means that none of the resource is guaranteed, not that none may be used: when a team with a
   * guarantee of GPUs only counted as over its guarantee of CPUs, teams preempted each other's tasks in every round. */
  if (team_settings->gpus <= 0 && team_settings->cpus <= 0) return true;
  return (team_settings->gpus > 0 && usage->gpus[team] > team_settings->gpus + FC_QUOTA_TOLERANCE) ||
         (team_settings->cpus > 0 && usage->cpus[team] > team_settings->cpus + FC_QUOTA_TOLERANCE);
}

bool fc_job_within_guarantee(const fc_cluster *cluster, const fc_team_usage *usage, const fc_job *job) {
  const fc_team_settings *team_settings = &cluster->settings->teams[job->team];
  if (team_settings->gpus <= 0 && team_settings->cpus <= 0) return false;
  if (team_settings->gpus > 0 && usage->gpus[job->team] + job->spec.gpus > team_settings->gpus + FC_QUOTA_TOLERANCE)
    return false;
  return team_settings->cpus <= 0 ||
         usage->cpus[job->team] + job->spec.cpus <= team_settings->cpus + FC_QUOTA_TOLERANCE;
}
