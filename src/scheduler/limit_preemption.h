/* Preemption under a team's limit, for the gang that has precedence. Pure function over the cluster
 * state. */
#ifndef FC_SCHEDULER_LIMIT_PREEMPTION_H
#define FC_SCHEDULER_LIMIT_PREEMPTION_H

#include <glib.h>

#include "bookkeeping/cluster.h"

/* Appends to `stops` the tasks of this shard (fc_placement pointers, the cluster's) to preempt so
 * that each gang with precedence fits its team's limit. All members choose the same tasks of all
 * shards, and each preempts its own. Tasks already being stopped are left out. */
void fc_limit_preemption_plan(const fc_cluster *cluster, GPtrArray *stops, double now);

#endif
