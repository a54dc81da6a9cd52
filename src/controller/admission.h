/* Admission of submitted jobs: checks a job, stores it and answers the client. Submissions are idempotent: a retry is
 * answered with the job's current state. */
#ifndef FC_CONTROLLER_ADMISSION_H
#define FC_CONTROLLER_ADMISSION_H

#include "controller/description_store.h"
#include "controller/job_lookup.h"
#include "controller/metrics.h"

typedef struct fc_admission fc_admission;

/* The arguments must outlive the result, which is never freed. */
fc_admission *fc_admission_new(fc_cluster *cluster, fc_group_commit *commit, fc_peers *peers, fc_job_lookup *lookup,
                               fc_dependency_resolver *resolver, fc_description_store *descriptions,
                               fc_metrics *metrics);

/* Serves one submission. May suspend the calling routine. */
void fc_admission_submit(fc_admission *admission, const fc_http_request *request, fc_http_response *response);

#endif
