#include "scheduler/job_order.h"

#include <math.h>
#include <string.h>

#include "bookkeeping/dependencies.h"

static double preferred_start(const fc_job *job) {
  double latest = fc_job_latest_start(job);
  return isinf(latest) ? job->queue.entered_at : latest;
}

gint fc_job_compare_priority(gconstpointer left_job, gconstpointer right_job) {
  const fc_job *left = *(const fc_job *const *)left_job;
  const fc_job *right = *(const fc_job *const *)right_job;
  if (left->queue.priority != right->queue.priority) return left->queue.priority > right->queue.priority ? -1 : 1;
  double left_start = preferred_start(left);
  double right_start = preferred_start(right);
  if (left_start != right_start) return left_start < right_start ? -1 : 1;
  return left->queue.sequence < right->queue.sequence ? -1 : left->queue.sequence > right->queue.sequence;
}

gint fc_job_compare_priority_and_id(gconstpointer left_job, gconstpointer right_job) {
  const fc_job *left = *(const fc_job *const *)left_job;
  const fc_job *right = *(const fc_job *const *)right_job;
  if (left->queue.priority != right->queue.priority) return left->queue.priority > right->queue.priority ? -1 : 1;
  return strcmp(left->spec.id, right->spec.id);
}

GPtrArray *fc_cluster_open_jobs(const fc_cluster *cluster) {
  GPtrArray *open_jobs = g_ptr_array_new();
  fc_job_iter job_iter = fc_cluster_jobs(cluster);
  for (fc_job *job; (job = fc_job_iter_next(&job_iter));) {
    if (fc_job_runnable(job) && job->team >= 0 && job->completion.count < job->spec.tasks)
      g_ptr_array_add(open_jobs, job);
  }
  g_ptr_array_sort(open_jobs, fc_job_compare_priority);
  return open_jobs;
}
