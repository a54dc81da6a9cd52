/* Simulated users and their jobs: what the users' modules need of each other. */
#ifndef FC_TESTS_SIM_USERS_H
#define FC_TESTS_SIM_USERS_H

#include "stand_ins.h"

/* Ids of their own for what is submitted besides the days' ordinary jobs. */
#define FIRST_INVALID_JOB 910000u
#define FIRST_PIPELINE_JOB 930000u
#define FIRST_BURST_JOB 960000u

#define STATUS_TIMEOUT_S 2
#define SUBMIT_TIMEOUT_S 5

/* ---- users.c ---- */

/* The controller that the load balancer chooses. */
int users_pick_node(void);
/* Submits the job after its delay, and asks for it from then on. */
void user_begin(sim_job *job);
/* Asks that controller for the job's status; checks the answer. */
void user_ask_status(sim_job *job, int node);
/* Sends the job's submission once more; checks the answer. */
void user_repeat_submission(sim_job *job, int node);
/* Cancels the job by that controller first, then by any until it is acknowledged. */
void user_cancel_by(sim_job *job, int node);

/* ---- answer_checks.c ---- */

/* What the user knew as it sent a request: answers may overtake each other. */
typedef struct job_question {
  sim_job *job;
  bool seen_done, seen_cancelled;
} job_question;

/* For a request that is sent now; the caller frees it by g_free(). */
job_question *question_new(sim_job *job);
/* Checks the status in the answer's body against what was known, and notes it. */
void question_read_status(const job_question *question, const char *body);

/* ---- invalid_requests.c ---- */

void invalid_requests_init(void);

/* ---- random_jobs.c ---- */

void random_jobs_init(void);

/* ---- jobs.c ---- */

/* The job becomes known to the workers, and its user begins. image: the number of its
 * container image. */
void job_add(sim_job *job, unsigned image);

#endif
