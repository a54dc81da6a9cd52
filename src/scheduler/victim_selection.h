/* Which running tasks to preempt on which machine so that one pending task fits: only as the rules
 * allow, for a job of higher priority, or for a team within its guarantee from teams above theirs.
 * Tasks that lose least work go first; tasks that save checkpoints lose little. */
#ifndef FC_SCHEDULER_VICTIM_SELECTION_H
#define FC_SCHEDULER_VICTIM_SELECTION_H

#include <glib.h>

#include "bookkeeping/cluster.h"
#include "scheduler/free_capacity.h"
#include "scheduler/team_quota.h"

/* This shard's usable machines (fc_free_capacity) with the room that is free or being freed by
 * preemption. Pure. The caller frees the array. */
GArray *fc_preemption_capacity(const fc_cluster *cluster, double now);
/* The room on the machine with everything gone that may be preempted for the job. */
fc_resources fc_victims_room(const fc_cluster *cluster, const fc_team_usage *usage, const fc_free_capacity *entry,
                             const fc_job *job);
/* Makes room for one task of the job: takes room that is free or being freed, or appends the
 * cheapest victims of one machine (fc_placement pointers) to `stops` and marks them as
 * stop.requested, so that they are chosen once: the caller sends the stops. Takes the task's room
 * from `capacity`. Returns false, with nothing changed, when no machine can make enough room. */
bool fc_victims_select(const fc_cluster *cluster, const fc_team_usage *usage, GArray *capacity, const fc_job *job,
                       double now, GPtrArray *stops);

#endif
