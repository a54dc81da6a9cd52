/* Rules for responses to users: no terminal state is reported that is wrong or is taken back later, and
 * jobs that depend on a cancelled job are cancelled in time. */
#include "users.h"

job_request *job_request_new(sim_job *job) {
  job_request *request = g_new(job_request, 1);
  *request = (job_request){job, job->seen_done, job->seen_cancelled};
  return request;
}

/* When its user first saw one of its direct or indirect dependencies cancelled; INFINITY: never. */
static double dependency_seen_cancelled_at(const sim_job *job) {
  double at = INFINITY;
  for (guint i = 0; i < job->dependencies->len; i++) {
    const sim_job *dependency = job->dependencies->pdata[i];
    if (dependency->seen_cancelled) at = MIN(at, dependency->seen_cancelled_at);
    at = MIN(at, dependency_seen_cancelled_at(dependency));
  }
  return at;
}

static void note_done(sim_job *job) {
  if (job->seen_done) return;
  job->seen_done = true;
  job->seen_done_at = sim_now();
  job->terminal = true;
  g_result.finished++;
}

static void note_cancelled(sim_job *job) {
  if (job->seen_cancelled) return;
  job->seen_cancelled = true;
  job->seen_cancelled_at = sim_now();
  job->terminal = true;
  g_result.cancelled++;
}

static void check_status(const job_request *request, const char *status) {
  sim_job *job = request->job;
  bool done = strcmp(status, "done") == 0, cancelled = strcmp(status, "cancelled") == 0;
  if (done && job->done_count < job->tasks) world_rule_broken("reported done with tasks left", job->id);
  if (cancelled && !job->cancel_requested && !job_dependency_cancelled(job))
    world_rule_broken("cancelled without a request", job->id);
  double since = MAX(dependency_seen_cancelled_at(job), job->first_submitted_at);
  if (!done && !cancelled && sim_now() > since + CANCEL_DEADLINE_S)
    world_rule_broken("not cancelled with its dependency", job->id);
  if (request->seen_done && !done) world_rule_broken("reported done, then not done", job->id);
  if (request->seen_cancelled && !cancelled) world_rule_broken("reported cancelled, then not cancelled", job->id);
  if (done) note_done(job);
  if (cancelled) note_cancelled(job);
}

void job_request_check_status(const job_request *request, const char *body) {
  json_t *message = json_loads(body, 0, NULL);
  const char *status = json_string_value(json_object_get(message, "status"));
  if (status) check_status(request, status);
  json_decref(message);
}
