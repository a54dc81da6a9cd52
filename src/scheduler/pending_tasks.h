/* Finds the pending tasks of a job: those that are not completed and cannot be running on any machine. Pure functions
 * over the cluster state. */
#ifndef FC_SCHEDULER_PENDING_TASKS_H
#define FC_SCHEDULER_PENDING_TASKS_H

#include <glib.h>

#include "bookkeeping/cluster.h"

/* Maximum number of a job's tasks that one round considers: several times the largest arrays in use, and more machines
 * than the cloud rents in one round's calls. The remaining tasks of a larger job follow once these are placed. */
#define FC_PENDING_TASKS_MAX 1024u

/* Returns whether this shard owns a slice of the job and may start tasks of the job now. */
bool fc_job_placeable(const fc_cluster *cluster, const fc_job *job, double now);
/* The job's slices (a bit each) that belong to `member`; -1: all slices. */
unsigned fc_job_slices_of_member(const fc_job *job, int member);

/* Returns the pending tasks (an array of uint32_t indexes, ascending) of the slices (a bit each), at most `limit`.
 * The caller frees the array. */
GArray *fc_job_pending_tasks_in(const fc_job *job, unsigned slices, guint limit);
/* The same for the slices that belong to `member` (-1: all slices). */
GArray *fc_job_pending_tasks(const fc_job *job, int member, guint limit);
/* Counts these tasks without allocating a list. */
guint fc_job_count_pending_tasks(const fc_job *job, int member, guint limit);
/* Returns whether any task of the slices (a bit each) is pending. Allocates no list. */
bool fc_job_has_pending_tasks_in(const fc_job *job, unsigned slices);
/* The same for the slices that belong to `member` (-1: all slices). */
bool fc_job_has_pending_tasks(const fc_job *job, int member);

#endif
