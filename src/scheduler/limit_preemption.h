/* Preempts tasks of a team so that the gang which has precedence fits the team's limit. Pure function over the
 * cluster state. */
#ifndef FC_SCHEDULER_LIMIT_PREEMPTION_H
#define FC_SCHEDULER_LIMIT_PREEMPTION_H

#include <glib.h>

#include "bookkeeping/cluster.h"

/* Appends to `stops` the tasks of this shard (fc_placement pointers, owned by the cluster) to preempt so that each
 * gang with precedence fits its team's limit. All members choose the same tasks of all shards, and each preempts
 * those of its own shard. Omits tasks that are already being stopped. */
void fc_limit_preemption_plan(const fc_cluster *cluster, GPtrArray *stops, double now);

#endif
