/* Simulated users and their jobs: what the modules of the users share. */
#ifndef FC_TESTS_SIM_USERS_H
#define FC_TESTS_SIM_USERS_H

#include "stand_ins.h"

/* First job numbers of what is submitted besides the ordinary jobs of a day. */
#define FIRST_INVALID_JOB 910000u
#define FIRST_PIPELINE_JOB 930000u
#define FIRST_BURST_JOB 960000u

#define STATUS_TIMEOUT_S 2
#define SUBMIT_TIMEOUT_S 5

/* ---- users.c ---- */

/* The controller that the simulated load balancer chooses for the next request. */
int users_pick_node(void);
/* Submits the job after its delay and polls its status from then on. */
void user_begin(sim_job *job);
/* Requests the job's status from the controller and checks the response. */
void user_request_status(sim_job *job, int node);
/* Submits the job again and checks the response. */
void user_repeat_submission(sim_job *job, int node);
/* Cancels the job through the controller, then through any until it is acknowledged. */
void user_cancel_by(sim_job *job, int node);

/* ---- answer_checks.c ---- */

/* What the user knew when it sent a request: responses can arrive out of order. */
typedef struct job_request {
  sim_job *job;
  bool seen_done, seen_cancelled;
} job_request;

/* For a request that is sent now; the caller frees it with g_free(). */
job_request *job_request_new(sim_job *job);
/* Checks the job status in the response's body against what was known, and records it. */
void job_request_check_status(const job_request *request, const char *body);

/* ---- invalid_requests.c ---- */

/* Stops the invalid requests of an earlier day. */
void invalid_requests_init(void);

/* ---- random_jobs.c ---- */

/* Restarts the numbering of burst jobs. */
void random_jobs_init(void);

/* ---- jobs.c ---- */

/* Makes the job known to the workers and starts its user. image: the number of its container
 * image. */
void job_add(sim_job *job, unsigned image);

#endif
