/* Client requests about existing jobs: status polls and cancellations. */
#ifndef FC_CONTROLLER_JOB_QUERIES_H
#define FC_CONTROLLER_JOB_QUERIES_H

#include "controller/job_lookup.h"

typedef struct fc_job_queries fc_job_queries;

/* The arguments must outlive the result, which is never freed. */
fc_job_queries *fc_job_queries_new(fc_cluster *cluster, fc_kv_watch *watch, fc_group_commit *commit,
                                   fc_cancellations *cancellations, fc_job_lookup *lookup);

/* Each serves one request; `id` is taken from the path, unchecked. May suspend the calling routine. */
void fc_job_queries_poll(fc_job_queries *queries, const char *id, fc_http_response *response);
void fc_job_queries_cancel(fc_job_queries *queries, const char *id, fc_http_response *response);

#endif
