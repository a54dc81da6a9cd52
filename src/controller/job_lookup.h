/* Answers clients with the state of a job, from the cluster state or from the archive, after making sure that the
 * cluster state is current. */
#ifndef FC_CONTROLLER_JOB_LOOKUP_H
#define FC_CONTROLLER_JOB_LOOKUP_H

#include <stdbool.h>

#include "controller/dependency_resolver.h"
#include "transport/http.h"

typedef struct fc_job_lookup fc_job_lookup;

/* The arguments must outlive the result, which is never freed. */
fc_job_lookup *fc_job_lookup_new(const fc_cluster *cluster, fc_kv_watch *watch, fc_dependency_resolver *resolver,
                                 fc_archive_lookup *archive);

/* Whether the job is known to be done or cancelled. Both states are final. */
bool fc_job_has_ended(const fc_job *job);

/* The job; NULL if it is not in the cluster state, or that has not been loaded yet. */
const fc_job *fc_job_lookup_known(const fc_job_lookup *lookup, const char *id);
/* Waits until the cluster state is current, and it is known whether the job is cancelled because of a dependency.
 * Returns false if that can't be established by the deadline (monotonic time), or at once while the key-value store is
 * unreachable. May suspend the calling routine. */
bool fc_job_lookup_wait_current(fc_job_lookup *lookup, const char *id, double deadline);

/* Answers with the job's state. `with_counts`: include the numbers of tasks. */
void fc_job_lookup_answer(fc_http_response *response, int status, const fc_job *job, bool with_counts);
/* Answers if the job is in the cluster state, which the caller has just made sure is current, or in the archive, or if
 * the archive can't be read now. Returns whether it has answered. May suspend the calling routine. */
bool fc_job_lookup_answer_if_known(fc_job_lookup *lookup, fc_http_response *response, const char *id, bool with_counts);
/* Waits until the cluster state is current, then answers with the job's state, or with the error if no such job is
 * known: a job that was accepted once is never refused. May suspend the calling routine. */
void fc_job_lookup_refuse_unless_known(fc_job_lookup *lookup, fc_http_response *response, const char *id,
                                       bool with_counts, int status, const char *error, double deadline);

#endif
