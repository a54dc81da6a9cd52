/* Guarantees and limits of teams, and the usage that counts against them. Pure functions over the cluster state. */
#ifndef FC_SCHEDULER_TEAM_QUOTA_H
#define FC_SCHEDULER_TEAM_QUOTA_H

#include "bookkeeping/cluster.h"

/* Tolerance, in CPUs or GPUs, for rounding errors when a sum is compared with a quota. */
#define FC_QUOTA_TOLERANCE 1e-6

/* CPUs and GPUs that this shard may still start tasks with, by team; INFINITY: no limit. */
typedef struct fc_team_allowance {
  double cpus[FC_TEAMS_MAX], gpus[FC_TEAMS_MAX];
} fc_team_allowance;

/* Returns whether the allowance of the job's team, less `reserved`, is enough for `tasks` tasks of the job. */
bool fc_team_allowance_holds(const fc_team_allowance *allowance, const fc_resources *reserved, const fc_job *job,
                             unsigned tasks);

/* CPUs and GPUs that tasks use, by team. */
typedef struct fc_team_usage {
  double cpus[FC_TEAMS_MAX], gpus[FC_TEAMS_MAX];
} fc_team_usage;

/* Returns the usage on all machines in the cluster state, of all shards. */
fc_team_usage fc_cluster_team_usage(const fc_cluster *cluster);
/* Adds one task of the job to the usage. The job's team must be in the settings. */
void fc_team_usage_add(fc_team_usage *usage, const fc_job *job);

/* Returns whether the team has a limit. */
static inline bool fc_team_limited(const fc_team_settings *team_settings) {
  return team_settings->cpus_max > 0 || team_settings->gpus_max > 0;
}
/* Returns whether the team's limit allows a total usage of `cpus` and `gpus`. */
bool fc_team_limit_allows(const fc_team_settings *team_settings, double cpus, double gpus);
/* Returns whether the team uses more than its guarantee; always true for a team without a guarantee. */
bool fc_team_over_guarantee(const fc_cluster *cluster, const fc_team_usage *usage, int team);
/* Returns whether the job's team would be within its guarantee with one more task of the job; always false for a team
 * without a guarantee. */
bool fc_job_within_guarantee(const fc_cluster *cluster, const fc_team_usage *usage, const fc_job *job);

#endif
