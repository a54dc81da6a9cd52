/* How many tasks of a job one shard's machines could take: by free room alone, or also by preemption
 * as the rules allow. Pure functions over the cluster state. */
#ifndef FC_SCHEDULER_SHARD_ROOM_H
#define FC_SCHEDULER_SHARD_ROOM_H

#include <glib.h>

#include "bookkeeping/cluster.h"
#include "scheduler/team_quota.h"

/* Machines of all shards, from which counted tasks may take their room. */
typedef struct fc_shard_room {
  const fc_cluster *cluster;
  GArray *capacity;           /* fc_free_capacity, not owned */
  const fc_team_usage *usage; /* what preemption is judged by; NULL: only free room counts */
} fc_shard_room;

/* How many of `tasks` tasks of the job the member's machines hold, in the best zone where the job has
 * to be in one; `take`: their room is then taken. */
unsigned fc_shard_room_count(const fc_shard_room *room, const fc_job *job, int member, unsigned tasks, bool take);

#endif
