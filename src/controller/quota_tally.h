/* What every shard uses of each team's limit, and what its pending tasks ask for besides. */
#ifndef FC_CONTROLLER_QUOTA_TALLY_H
#define FC_CONTROLLER_QUOTA_TALLY_H

#include <stdbool.h>

#include "bookkeeping/cluster.h"
#include "coordination/quota_division.h"

/* By member of the present term and team. */
typedef struct fc_quota_tally {
  fc_quota_demand cpus[FC_MEMBERS_MAX][FC_TEAMS_MAX], gpus[FC_MEMBERS_MAX][FC_TEAMS_MAX];
  /* Of what is wanted, the part that finds no room on the member's machines now; 0 where nobody has
   * asked (quota_room.h). */
  double unplaceable_cpus[FC_MEMBERS_MAX][FC_TEAMS_MAX], unplaceable_gpus[FC_MEMBERS_MAX][FC_TEAMS_MAX];
} fc_quota_tally;

/* Sets *tally to the sums over the cluster state. `pessimistic`: a machine that is not reconciled
 * counts as full of every team's tasks; otherwise it counts as what is known to be on it. */
void fc_quota_tally_take(const fc_cluster *cluster, bool pessimistic, fc_quota_tally *tally);

#endif
