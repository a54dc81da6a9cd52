/* Pipelines: jobs that await others. Which of them are ready, which are cancelled with a job
 * that they need, and what priority and deadline the jobs before them inherit. All of it
 * follows from the records of the table, and is kept up to date as those change, at a cost
 * in proportion to what changed. */
#ifndef FC_BOOKKEEPING_PIPELINE_H
#define FC_BOOKKEEPING_PIPELINE_H

#include "bookkeeping/table.h"

/* What is known of a job that others await. Only the last two are final. */
typedef enum {
  FC_AWAITED_UNKNOWN,   /* not in the table: archived, or not read yet */
  FC_AWAITED_OPEN,      /* accepted */
  FC_AWAITED_DONE,      /* its record says so */
  FC_AWAITED_CANCELLED, /* its record says so, or that of a job that it needs */
} fc_awaited_state;

/* A job by its id, as long as accepted jobs of the table await it. */
struct fc_awaited {
  char id[32];
  fc_awaited_state state;
  GPtrArray *dependents; /* fc_job: those that name it */
};

/* May its tasks be started, as far as other jobs are concerned? */
bool fc_job_ready(const fc_job *j);
/* Accepted, not cancelled, and awaiting nobody. */
bool fc_job_runnable(const fc_job *j);
/* The steady time at which a task has to start at the latest for the deadlines of the job
 * and of those that need it, by the owners' estimates; INFINITY: there is no deadline. */
double fc_job_latest_start(const fc_job *j);
/* A job that it awaits and of which nothing is known, so that it may be cancelled already;
 * NULL: there is none. */
const char *fc_job_unknown_awaited(const fc_job *j);

/* The table calls these: after a record of the job was taken over, and before the job
 * leaves the table. `fresh`: the record was seen as a change inside the present term. */
void fc_pipeline_put(fc_table *t, fc_job *j, bool fresh, double now);
void fc_pipeline_remove(fc_table *t, fc_job *j);
/* An awaited job's final state, learned from its archived record or from a peer. */
void fc_pipeline_learned(fc_table *t, const char *id, fc_awaited_state state, double now);

/* Do accepted jobs still await it? Its record has to stay as long. */
bool fc_pipeline_awaited(const fc_table *t, const char *id);
/* Jobs that are accepted and not ready. */
unsigned fc_pipeline_waiting(const fc_table *t);
/* Ids of awaited jobs of unknown state, up to `most`; the caller frees them with the array. */
GPtrArray *fc_pipeline_unknown(const fc_table *t, guint most);
/* Jobs that are cancelled with one that they need while their own records don't say so yet,
 * and whose first slice belongs to the member: their ids, up to `most`, as above. */
GPtrArray *fc_pipeline_unrecorded(const fc_table *t, int member, guint most);

#endif
