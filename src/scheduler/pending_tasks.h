/* Pending tasks of a job: neither completed nor possibly running anywhere. Pure functions over the
 * cluster state. */
#ifndef FC_SCHEDULER_PENDING_TASKS_H
#define FC_SCHEDULER_PENDING_TASKS_H

#include <glib.h>

#include "bookkeeping/cluster.h"

/* The most tasks of a job that one round looks at: several times the largest arrays in use, and
 * more machines than the cloud rents in a round's calls. The rest of a larger job follows once these
 * are placed. */
#define FC_PENDING_TASKS_MAX 1024u

/* Does this shard own any of the job, and may it start tasks of the job now? */
bool fc_job_placeable(const fc_cluster *cluster, const fc_job *job, double now);
/* The job's slices (a bit each) that belong to `member`; -1: all slices. */
unsigned fc_job_slices_of_member(const fc_job *job, int member);

/* The pending tasks (uint32_t indexes, ascending) of the slices (a bit each), at most `limit`. The
 * caller frees the array. */
GArray *fc_job_pending_tasks_in(const fc_job *job, unsigned slices, guint limit);
/* The same of the slices that belong to `member` (-1: all slices). */
GArray *fc_job_pending_tasks(const fc_job *job, int member, guint limit);
/* How many these are; allocates no list. */
guint fc_job_count_pending_tasks(const fc_job *job, int member, guint limit);
/* Is any task of the slices pending? Allocates no list. */
bool fc_job_has_pending_tasks_in(const fc_job *job, unsigned slices);
/* The same of the slices that belong to `member` (-1: all slices). */
bool fc_job_has_pending_tasks(const fc_job *job, int member);

#endif
