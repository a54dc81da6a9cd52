/* Counts the tasks of a job for which one shard's machines have room: free room only, or also room that permitted
 * preemption would make. Pure functions over the cluster state. */
#ifndef FC_SCHEDULER_SHARD_ROOM_H
#define FC_SCHEDULER_SHARD_ROOM_H

#include <glib.h>

#include "bookkeeping/cluster.h"
#include "scheduler/team_quota.h"

/* The machines of all shards, with the room that is left to further tasks. */
typedef struct fc_shard_room {
  const fc_cluster *cluster;
  GArray *capacity;           /* fc_free_capacity, not owned */
  const fc_team_usage *usage; /* decides which preemptions are permitted; NULL: only free room counts */
} fc_shard_room;

/* Returns how many of `tasks` tasks of the job fit on the member's machines; for a job that must run in one zone, in
 * the zone with the most room for it. With `reserve`, their room is subtracted from `room->capacity`. */
unsigned fc_shard_room_count(const fc_shard_room *room, const fc_job *job, int member, unsigned tasks, bool reserve);

#endif
