/* Chooses the running tasks to preempt on one machine so that one pending task fits. A task may be preempted for a job
 * of higher priority. An array's task may also be preempted for a job of the same priority, if its own team is over its
 * guarantee and the job's team would stay within its own. Tasks of gangs are not preempted here. Tasks that lose the
 * least work go first; tasks that save checkpoints lose little. */
#ifndef FC_SCHEDULER_VICTIM_SELECTION_H
#define FC_SCHEDULER_VICTIM_SELECTION_H

#include <glib.h>

#include "bookkeeping/cluster.h"
#include "scheduler/free_capacity.h"
#include "scheduler/team_quota.h"

/* Returns an array of fc_free_capacity: this shard's usable machines with the room that is free or being freed by
 * preemption. Does not change the cluster state. The caller frees the array. */
GArray *fc_preemption_capacity(const fc_cluster *cluster, double now);
/* Returns the room on the machine after preempting every task that may be preempted for the job. */
fc_resources fc_victims_room(const fc_cluster *cluster, const fc_team_usage *usage, const fc_free_capacity *entry,
                             const fc_job *job);
/* Makes room for one task of the job. Uses room that is free or being freed, or else appends the cheapest victims on
 * one machine (fc_placement pointers) to `stops` and marks them as stop.requested, so that they are not chosen again;
 * the caller sends the stops. Subtracts the task's room from `capacity`. Returns false, with nothing changed, when no
 * machine can make enough room. */
bool fc_victims_select(const fc_cluster *cluster, const fc_team_usage *usage, GArray *capacity, const fc_job *job,
                       double now, GPtrArray *stops);

#endif
