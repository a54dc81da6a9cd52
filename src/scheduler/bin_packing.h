/* Bin packing: which pending task starts on which machine. Pure functions over the cluster state. */
#ifndef FC_SCHEDULER_BIN_PACKING_H
#define FC_SCHEDULER_BIN_PACKING_H

#include <glib.h>

#include "bookkeeping/cluster.h"
#include "scheduler/team_quota.h"

/* One task to be started; job and machine are the cluster's. */
typedef struct fc_placement_decision {
  fc_job *job;
  uint32_t index; /* of the task */
  fc_machine *machine;
} fc_placement_decision;

/* One scheduling round of this shard: fills the free room of its usable machines. The highest
 * priority goes first, then the team that uses the least of its guarantee. Returns fc_placement_decision in
 * the order made, never more than `allowance`; the decisions of one gang follow each other and are
 * complete. The caller frees the array. */
GArray *fc_bin_packing_plan(const fc_cluster *cluster, const fc_team_allowance *allowance, double now);

#endif
