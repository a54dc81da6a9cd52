/* Hands slices of jobs over from this shard to other members, by conditional writes of the jobs' records. */
#ifndef FC_CONTROLLER_HANDOVER_EXECUTION_H
#define FC_CONTROLLER_HANDOVER_EXECUTION_H

#include "bookkeeping/group_commit.h"
#include "controller/kv_watch.h"
#include "scheduler/handover_planning.h"

typedef struct fc_handover_execution fc_handover_execution;

/* The arguments must outlive the result, which is never freed. */
fc_handover_execution *fc_handover_execution_new(fc_cluster *cluster, fc_group_commit *commit, fc_kv_watch *watch,
                                                 fc_wakeups *wakeups, fc_metrics *metrics);

/* Starts the handovers (fc_handover) of a plan, with one routine per job. Returns at once. */
void fc_handover_execution_begin(fc_handover_execution *execution, const GArray *plan);

#endif
