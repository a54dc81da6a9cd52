/* Pipelines: jobs that await others. Which of them are ready, which are cancelled with a job
 * that they need, and what priority and deadline the jobs before them inherit. All of it
 * follows from the records of the table, and is kept up to date as those change, at a cost
 * in proportion to what changed. */
#ifndef FC_BOOKKEEPING_DEPENDENCIES_H
#define FC_BOOKKEEPING_DEPENDENCIES_H

#include "bookkeeping/cluster.h"

/* What is known of a job that others await. Only the last two are final. */
typedef enum {
  FC_DEPENDENCY_UNKNOWN,   /* not in the table: archived, or not read yet */
  FC_DEPENDENCY_OPEN,      /* accepted */
  FC_DEPENDENCY_DONE,      /* its record says so */
  FC_DEPENDENCY_CANCELLED, /* its record says so, or that of a job that it needs */
} fc_dependency_state;

/* A job by its id, as long as accepted jobs of the table await it. */
struct fc_dependency {
  char id[32];
  fc_dependency_state state;
  GPtrArray *dependents; /* fc_job: those that name it */
};

/* May its tasks be started, as far as other jobs are concerned? */
bool fc_job_dependencies_met(const fc_job *job);
/* Accepted, not cancelled, and awaiting nobody. */
bool fc_job_runnable(const fc_job *job);
/* The steady time at which a task has to start at the latest for the deadlines of the job
 * and of those that need it, by the owners' estimates; INFINITY: there is no deadline. */
double fc_job_latest_start(const fc_job *job);
/* A job that it awaits and of which nothing is known, so that it may be cancelled already;
 * NULL: there is none. */
const char *fc_job_unknown_dependency(const fc_job *job);

/* The table calls these: after a record of the job was taken over, and before the job
 * leaves the table. `fresh`: the record was seen as a change inside the present term. */
void fc_dependencies_apply(fc_cluster *cluster, fc_job *job, bool fresh, double now);
void fc_dependencies_remove(fc_cluster *cluster, fc_job *job);
/* An awaited job's final state, learned from its archived record or from a peer. */
void fc_dependencies_learn(fc_cluster *cluster, const char *id, fc_dependency_state state, double now);

/* Do accepted jobs still await it? Its record has to stay as long. */
bool fc_dependencies_has_dependents(const fc_cluster *cluster, const char *id);
/* Jobs that are accepted and not ready. */
unsigned fc_dependencies_blocked_count(const fc_cluster *cluster);
/* Ids of awaited jobs of unknown state, up to `most`; the caller frees them with the array. */
GPtrArray *fc_dependencies_unknown(const fc_cluster *cluster, guint most);
/* Jobs that are cancelled with one that they need while their own records don't say so yet,
 * and whose first slice belongs to the member: their ids, up to `most`, as above. */
GPtrArray *fc_dependencies_unrecorded(const fc_cluster *cluster, int member, guint most);

#endif
