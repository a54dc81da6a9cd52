/* Job dependencies (a DAG): which jobs are ready, which are cancelled because a dependency was, and
 * which priority and deadline a job inherits from its dependents. All of this is derived from the
 * records in the cluster state and updated incrementally, at a cost proportional to what changed.
 * Times are on the monotonic clock of fc_now(), in seconds. */
#ifndef FC_BOOKKEEPING_DEPENDENCIES_H
#define FC_BOOKKEEPING_DEPENDENCIES_H

#include "bookkeeping/cluster.h"

/* Updates the graph after a record of the job was applied. `fresh`: the record was read as a change
 * within the current term. */
void fc_dependencies_apply(fc_cluster *cluster, fc_job *job, bool fresh, double now);
/* Unlinks a job that is about to be removed from the cluster state. */
void fc_dependencies_remove(fc_cluster *cluster, fc_job *job);
/* Applies the final state of a job, learned from its archived record or from a peer. */
void fc_dependencies_apply_state(fc_cluster *cluster, const char *id, fc_dependency_state state, double now);

/* Whether accepted jobs still depend on the job; while they do, its record must stay. */
bool fc_dependencies_has_dependents(const fc_cluster *cluster, const char *id);
/* Number of accepted jobs with unmet dependencies. */
unsigned fc_dependencies_blocked_count(const fc_cluster *cluster);
/* Ids of at most `max` dependencies of unknown state; the caller frees the array, which owns them. */
GPtrArray *fc_dependencies_unknown(const fc_cluster *cluster, guint max);
/* Ids of at most `max` jobs that are cancelled because of a dependency although their own records
 * don't say so yet, and whose first slice belongs to `member`; ownership as above. */
GPtrArray *fc_dependencies_unrecorded_cancellations(const fc_cluster *cluster, int member, guint max);

#endif
