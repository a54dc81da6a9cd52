/* The order in which jobs are scheduled. Pure functions over the cluster state. */
#ifndef FC_SCHEDULER_JOB_ORDER_H
#define FC_SCHEDULER_JOB_ORDER_H

#include <glib.h>

#include "bookkeeping/cluster.h"

/* Compares two fc_job pointers (as g_ptr_array_sort() passes them): highest priority first, then by
 * when the job should start: at the latest time that its deadline and those of its dependents
 * allow, or when it entered the queue. */
gint fc_job_compare_priority(gconstpointer left_job, gconstpointer right_job);
/* Compares two fc_job pointers by priority and id: the same order on every member. */
gint fc_job_compare_priority_and_id(gconstpointer left_job, gconstpointer right_job);
/* The runnable jobs (fc_job pointers) that have tasks left, by fc_job_compare_priority(). The
 * caller frees the array; the jobs stay the cluster's. */
GPtrArray *fc_cluster_open_jobs(const fc_cluster *cluster);

#endif
