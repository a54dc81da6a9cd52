/* Bin packing: chooses the machines on which pending tasks start. Pure functions over the cluster state. */
#ifndef FC_SCHEDULER_BIN_PACKING_H
#define FC_SCHEDULER_BIN_PACKING_H

#include <glib.h>

#include "bookkeeping/cluster.h"
#include "scheduler/team_quota.h"

/* A task to start on a machine; the cluster owns job and machine. */
typedef struct fc_placement_decision {
  fc_job *job;
  uint32_t index; /* of the task */
  fc_machine *machine;
} fc_placement_decision;

/* Plans one scheduling round of this shard on its usable machines. The highest priority goes first, then the
 * team that uses the smallest share of its guarantee. Returns an array of fc_placement_decision in the order in
 * which they were made, within `allowance`; the decisions for a gang are consecutive and include all its tasks.
 * The caller frees the array. */
GArray *fc_bin_packing_plan(const fc_cluster *cluster, const fc_team_allowance *allowance, double now);

#endif
