/* Rules for answers to users: no terminal state is reported that is wrong or is taken back later, and
 * jobs that depend on a cancelled job are cancelled in time. */
#include "users.h"

job_question *question_new(sim_job *job) {
  job_question *question = g_new(job_question, 1);
  *question = (job_question){job, job->seen_done, job->seen_cancelled};
  return question;
}

/* When its user first saw one of its direct or indirect dependencies cancelled; INFINITY: never. */
static double dependency_seen_cancelled_at(const sim_job *job) {
  double at = INFINITY;
  for (guint i = 0; i < job->needs->len; i++) {
    const sim_job *before = job->needs->pdata[i];
    if (before->seen_cancelled) at = MIN(at, before->seen_cancelled_at);
    at = MIN(at, dependency_seen_cancelled_at(before));
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

static void check_status(const job_question *question, const char *status) {
  sim_job *job = question->job;
  bool done = strcmp(status, "done") == 0, cancelled = strcmp(status, "cancelled") == 0;
  if (done && job->done_count < job->tasks) world_broke("not_done", job->id);
  if (cancelled && !job->cancel_requested && !job_dependency_cancelled(job)) world_broke("went_back", job->id);
  double asked_from = MAX(dependency_seen_cancelled_at(job), job->first_submitted_at);
  if (!done && !cancelled && sim_now() > asked_from + CANCEL_DEADLINE_S) world_broke("orphaned", job->id);
  if (question->seen_done && !done) world_broke("went_back", job->id);
  if (question->seen_cancelled && !cancelled) world_broke("went_back", job->id);
  if (done) note_done(job);
  if (cancelled) note_cancelled(job);
}

void question_read_status(const job_question *question, const char *body) {
  json_t *message = json_loads(body, 0, NULL);
  const char *status = json_string_value(json_object_get(message, "status"));
  if (status) check_status(question, status);
  json_decref(message);
}
