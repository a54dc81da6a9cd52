/* Job dependencies (a DAG): which jobs are ready, which are cancelled with one that they depend
 * on, and what priority and deadline a job inherits from its dependents. All of it follows from
 * the records in the cluster state, and is updated as those change, at a cost in
 * proportion to what changed. */
#ifndef FC_BOOKKEEPING_DEPENDENCIES_H
#define FC_BOOKKEEPING_DEPENDENCIES_H

#include "bookkeeping/cluster.h"

/* A record of the job has been applied. `fresh`: it was seen as a change within the present
 * term. `now`: steady time. */
void fc_dependencies_apply(fc_cluster *cluster, fc_job *job, bool fresh, double now);
/* The job is about to leave the cluster state. */
void fc_dependencies_remove(fc_cluster *cluster, fc_job *job);
/* A job's final state has been learned from its archived record or from a peer. */
void fc_dependencies_learn(fc_cluster *cluster, const char *id, fc_dependency_state state, double now);

/* Do accepted jobs still depend on it? Its record has to stay as long. */
bool fc_dependencies_has_dependents(const fc_cluster *cluster, const char *id);
/* Number of jobs that are accepted and whose dependencies are not met. */
unsigned fc_dependencies_blocked_count(const fc_cluster *cluster);
/* Ids of dependencies of unknown state, `max` at the most; the caller frees the array, which
 * owns them. */
GPtrArray *fc_dependencies_unknown(const fc_cluster *cluster, guint max);
/* Ids of jobs that are cancelled with one that they depend on, while their own records don't
 * say so yet, and whose first slice belongs to the member; `max` at the most, as above. */
GPtrArray *fc_dependencies_unrecorded(const fc_cluster *cluster, int member, guint max);

#endif
