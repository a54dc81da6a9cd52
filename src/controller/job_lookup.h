/* Answers users with the state of a job, and proves what is known of it current first: from the
 * cluster state, or from the archive. */
#ifndef FC_CONTROLLER_JOB_LOOKUP_H
#define FC_CONTROLLER_JOB_LOOKUP_H

#include <stdbool.h>

#include "controller/dependency_resolver.h"
#include "transport/http.h"

typedef struct fc_job_lookup fc_job_lookup;

/* The arguments have to outlive it; it lives as long as the process. */
fc_job_lookup *fc_job_lookup_new(const fc_cluster *cluster, fc_kv_watch *watch, fc_dependency_resolver *resolver,
                                 fc_archive_lookup *archive);

/* Is the job done or cancelled, as far as is known? That is final. */
bool fc_job_has_ended(const fc_job *job);

/* The job, if everything has been read once; NULL: it is not known. */
const fc_job *fc_job_lookup_known(const fc_job_lookup *lookup, const char *id);
/* Waits until what the cluster state says of the job is current, and known in full: whether it is
 * cancelled with another. Where that is hopeless, it fails at once; false. May suspend the
 * calling routine. */
bool fc_job_lookup_prove_current(fc_job_lookup *lookup, const char *id, double deadline);

/* Answers with the job's state. `counts`: with the numbers of tasks. */
void fc_job_lookup_answer(fc_http_response *response, int status, const fc_job *job, bool counts);
/* The cluster state has just been proved current. True: it holds the job, or the archive does, or
 * that can't be said now, and that has been answered. May suspend the calling routine. */
bool fc_job_lookup_answer_if_known(fc_job_lookup *lookup, fc_http_response *response, const char *id, bool counts);
/* Proves the cluster state current and answers with the job's state; with the error if no such job
 * is known: what was accepted once is never refused. May suspend the calling routine. */
void fc_job_lookup_refuse_unless_known(fc_job_lookup *lookup, fc_http_response *response, const char *id, bool counts,
                                       int status, const char *error, double deadline);

#endif
