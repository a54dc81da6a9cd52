/* Simulated users: they submit jobs, poll their status, cancel them, and check the responses. */
#include "users.h"

#define REPEATED_SUBMISSION_SHARE 0.1 /* of polls, after which the job is submitted again */
#define DEPENDENCY_POLL_S 0.05        /* interval, until the dependencies of a job are accepted */

static int g_users_node; /* the only healthy one; -1: any */

void world_set_users_node(int node) {
  g_users_node = node;
}

int users_pick_node(void) {
  return g_users_node >= 0 ? g_users_node : world_random_node();
}

static void poll_status(void *arg);
static void cancel(void *arg);
static void submit(void *arg);

static void check_retry_after(const char *body) {
  if (sim_retry_after() <= 0) world_rule_broken("refused without Retry-After", body);
}

/* ---- submission ---- */

static void note_accepted(sim_job *job) {
  if (!job->seen_accepted) {
    g_result.accepted++;
    job->seen_accepted_at = sim_now();
  }
  job->seen_accepted = true;
}

static void on_submitted(int status, const char *body, void *arg) {
  job_request *request = arg;
  sim_job *job = request->job;
  g_result.submissions++;
  g_result.unanswered += status == 0;
  if (status == 429 || status == 503) {
    g_result.refused++;
    check_retry_after(body);
  }
  if (status == 200 || status == 201) {
    note_accepted(job);
    job_request_check_status(request, body);
    sim_after(sim_draw(1, 5), poll_status, job);
    if (job->cancel_delay_s > 0) sim_after(job->cancel_delay_s, cancel, job);
  } else if (status == 400 || status == 422) {
    world_rule_broken(job->seen_accepted ? "accepted job rejected" : "valid job rejected", body);
  } else {
    sim_after(sim_draw(1, 2), submit, job);
  }
  g_free(request);
}

/* Users submit a job once its dependencies are accepted, and one with dependencies only when no
 * controller runs the former version. */
static bool may_submit(const GPtrArray *dependencies) {
  if (dependencies->len > 0 && world_any_former()) return false;
  for (guint i = 0; i < dependencies->len; i++)
    if (!((const sim_job *)dependencies->pdata[i])->seen_accepted) return false;
  return true;
}

/* The former version has no dependencies in submissions. */
static const char *body_for(const sim_job *job, int node) {
  return world_is_former((unsigned)node) ? job->body_without_dependencies : job->body;
}

static void submit(void *arg) {
  sim_job *job = arg;
  if (!may_submit(job->dependencies)) {
    sim_after(DEPENDENCY_POLL_S, submit, job);
    return;
  }
  if (job->first_submitted_at <= 0) job->first_submitted_at = sim_now();
  job->submitting = true;
  int node = users_pick_node();
  sim_call(WORLD_USER_IP, WORLD_NODE_IP(node), "POST", "/api/jobs", body_for(job, node), SUBMIT_TIMEOUT_S, on_submitted,
           job_request_new(job));
}

void user_begin(sim_job *job) {
  sim_after(job->submit_delay_s, submit, job);
}

static void on_repeated(int status, const char *body, void *arg) {
  job_request *request = arg;
  if (status == 200) job_request_check_status(request, body);
  if (status == 201 || status == 400 || status == 422)
    world_rule_broken("accepted job not recognized", "a repeated submission");
  g_free(request);
}

void user_repeat_submission(sim_job *job, int node) {
  sim_call(WORLD_USER_IP, WORLD_NODE_IP(node), "POST", "/api/jobs", job->body, SUBMIT_TIMEOUT_S, on_repeated,
           job_request_new(job));
}

/* ---- status ---- */

static void on_status(int status, const char *body, void *arg) {
  job_request *request = arg;
  sim_job *job = request->job;
  g_result.status_requests++;
  g_result.status_answers += status == 200;
  g_result.status_refusals += status == 503;
  if (status == 503) check_retry_after(body);
  if (status == 404) world_rule_broken("accepted job not found", job->id);
  if (status == 200) {
    job_request_check_status(request, body);
    job->last_answer_at = sim_now();
  } else if (g_faults_end_at > 0 && sim_now() > MAX(g_faults_end_at, job->last_answer_at) + ANSWER_DEADLINE_S) {
    /* Checked for each job on its own, as others may be answered. */
    if (g_verbose) g_printerr("%.2f unanswered %s status=%d %s\n", sim_now(), job->id, status, body);
    world_rule_broken("no status answer for too long", job->id);
  }
  g_free(request);
}

void user_request_status(sim_job *job, int node) {
  char path[64];
  g_snprintf(path, sizeof path, "/api/jobs/%s", job->id);
  sim_call(WORLD_USER_IP, WORLD_NODE_IP(node), "GET", path, "", STATUS_TIMEOUT_S, on_status, job_request_new(job));
}

void world_request_job_status(unsigned node, const char *id) {
  user_request_status(g_hash_table_lookup(g_jobs, id), (int)node);
}

static void poll_status(void *arg) {
  sim_job *job = arg;
  user_request_status(job, users_pick_node());
  if (sim_chance(REPEATED_SUBMISSION_SHARE)) user_repeat_submission(job, users_pick_node());
  /* Often enough that two lost responses in a row don't exceed ANSWER_DEADLINE_S. */
  sim_after(job->terminal ? sim_draw(4, 12) : sim_draw(4, 6), poll_status, job);
}

static void on_unknown_status(int status, const char *body, void *arg) {
  (void)body;
  (void)arg;
  if (status == 200) world_rule_broken("unknown job has a status", "never submitted");
}

void users_poll_unknown_job(void *arg) {
  (void)arg;
  sim_call(WORLD_USER_IP, WORLD_NODE_IP(users_pick_node()), "GET", "/api/jobs/job-999999", "", STATUS_TIMEOUT_S,
           on_unknown_status, NULL);
  sim_after(sim_draw(5, 15), users_poll_unknown_job, NULL);
}

/* ---- cancellation ---- */

static void on_cancelled(int status, const char *body, void *arg) {
  job_request *request = arg;
  if (status == 200) {
    job_request_check_status(request, body);
  } else {
    if (status == 404) world_rule_broken("accepted job not found", request->job->id);
    sim_after(sim_draw(1, 2), cancel, request->job);
  }
  g_free(request);
}

void user_cancel_by(sim_job *job, int node) {
  if (!job->cancel_requested) job->cancel_requested_at = sim_now();
  job->cancel_requested = true;
  char path[80];
  g_snprintf(path, sizeof path, "/api/jobs/%s/withdraw", job->id);
  sim_call(WORLD_USER_IP, WORLD_NODE_IP(node), "POST", path, "", SUBMIT_TIMEOUT_S, on_cancelled, job_request_new(job));
}

static void cancel(void *arg) {
  sim_job *job = arg;
  if (!job->terminal) user_cancel_by(job, world_random_node());
}

void users_init(void) {
  invalid_requests_init();
  random_jobs_init();
  g_jobs = g_hash_table_new(g_str_hash, g_str_equal);
  g_users_node = -1;
}
