/* Preemption for priority and quota: which running tasks make room for pending ones. */
#ifndef FC_SCHEDULER_PREEMPTION_H
#define FC_SCHEDULER_PREEMPTION_H

#include <glib.h>

#include "bookkeeping/cluster.h"
#include "scheduler/team_quota.h"

/* The tasks of this shard (fc_placement pointers, the cluster's) to preempt for jobs of this shard
 * that have been pending for a while and found no room, within `allowance`. Marks them as
 * stop.requested and changes nothing else of the cluster state; the caller sends the stops and frees
 * the array. */
GPtrArray *fc_preemption_plan(const fc_cluster *cluster, const fc_team_allowance *allowance, double now);

#endif
