/* Preemption for priority and quota: chooses running tasks to stop so that pending ones can start. */
#ifndef FC_SCHEDULER_PREEMPTION_H
#define FC_SCHEDULER_PREEMPTION_H

#include <glib.h>

#include "bookkeeping/cluster.h"
#include "scheduler/team_quota.h"

/* Returns the tasks of this shard (fc_placement pointers, owned by the cluster) to preempt for jobs of this shard
 * that have been pending for a while without room, within `allowance`. Marks the tasks as stop.requested, which is
 * the only change to the cluster state; the caller sends the stops and frees the array. */
GPtrArray *fc_preemption_plan(const fc_cluster *cluster, const fc_team_allowance *allowance, double now);

#endif
