/* Teams' guarantees and limits, and what counts against them. Pure functions over the cluster
 * state. */
#ifndef FC_SCHEDULER_TEAM_QUOTA_H
#define FC_SCHEDULER_TEAM_QUOTA_H

#include "bookkeeping/cluster.h"

/* Sums of CPUs and GPUs may miss a quota by this much through rounding. */
#define FC_QUOTA_TOLERANCE 1e-6

/* What this shard may still start for each team; INFINITY: no limit. */
typedef struct fc_team_allowance {
  double cpus[FC_TEAMS_MAX], gpus[FC_TEAMS_MAX];
} fc_team_allowance;

/* Does the allowance, less what is reserved of it, hold so many tasks of the job? */
bool fc_team_allowance_holds(const fc_team_allowance *allowance, const fc_resources *reserved, const fc_job *job,
                             unsigned tasks);

/* What the tasks of each team use. */
typedef struct fc_team_usage {
  double cpus[FC_TEAMS_MAX], gpus[FC_TEAMS_MAX];
} fc_team_usage;

/* The usage on all machines that the cluster state shows, of all shards. */
fc_team_usage fc_cluster_team_usage(const fc_cluster *cluster);
/* Counts one more task of the job; its team must be in the settings. */
void fc_team_usage_add(fc_team_usage *usage, const fc_job *job);

/* Has the team a limit? */
static inline bool fc_team_limited(const fc_team_settings *team_settings) {
  return team_settings->cpus_max > 0 || team_settings->gpus_max > 0;
}
/* Does the team's limit allow a total of so much? */
bool fc_team_limit_allows(const fc_team_settings *team_settings, double cpus, double gpus);
/* Does the team use more than its guarantee? A team without one always does. */
bool fc_team_over_guarantee(const fc_cluster *cluster, const fc_team_usage *usage, int team);
/* Would the job's team, with one more task of the job, be within its guarantee? */
bool fc_job_within_guarantee(const fc_cluster *cluster, const fc_team_usage *usage, const fc_job *job);

#endif
