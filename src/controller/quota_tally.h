/* Counts what every shard uses of each team's limit, and what its pending tasks request in addition. */
#ifndef FC_CONTROLLER_QUOTA_TALLY_H
#define FC_CONTROLLER_QUOTA_TALLY_H

#include <stdbool.h>

#include "bookkeeping/cluster.h"
#include "coordination/quota_division.h"

/* Use and demand by member of the current term, then by team. */
typedef struct fc_quota_tally {
  fc_quota_demand cpus[FC_MEMBERS_MAX][FC_TEAMS_MAX], gpus[FC_MEMBERS_MAX][FC_TEAMS_MAX];
  /* Part of the wanted amount that has no room on the member's machines now; 0 unless fc_quota_room_find_unplaceable()
   * set it. */
  double unplaceable_cpus[FC_MEMBERS_MAX][FC_TEAMS_MAX], unplaceable_gpus[FC_MEMBERS_MAX][FC_TEAMS_MAX];
} fc_quota_tally;

/* Sets *tally to the sums over the cluster state. `pessimistic`: an unreconciled machine counts as fully used by every
 * team; otherwise only its known tasks count. */
void fc_quota_tally_compute(const fc_cluster *cluster, bool pessimistic, fc_quota_tally *tally);

#endif
