/* The order in which jobs are scheduled. Pure functions over the cluster state. */
#ifndef FC_SCHEDULER_JOB_ORDER_H
#define FC_SCHEDULER_JOB_ORDER_H

#include <glib.h>

#include "bookkeeping/cluster.h"

/* Compares two fc_job pointers (as g_ptr_array_sort() passes them): highest priority first, then earliest preferred
 * start. That is the latest start which the deadlines of the job and its dependents allow; without a deadline, the
 * time at which the job entered the queue. */
gint fc_job_compare_priority(gconstpointer left_job, gconstpointer right_job);
/* Compares two fc_job pointers by priority and id, which gives the same order on every member. */
gint fc_job_compare_priority_and_id(gconstpointer left_job, gconstpointer right_job);
/* Returns the runnable jobs (fc_job pointers) with tasks that are not completed, in the order of
 * fc_job_compare_priority(). The caller frees the array; the cluster owns the jobs. */
GPtrArray *fc_cluster_open_jobs(const fc_cluster *cluster);

#endif
