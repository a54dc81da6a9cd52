/* Requests that must be refused or change nothing: invalid jobs, repeated submissions, cancellations
 * of done jobs. */
#include "users.h"

static double g_last_request_at; /* none is sent after it */

void invalid_requests_init(void) {
  g_last_request_at = 0;
}

/* ---- invalid jobs ---- */

static const struct {
  const char *without; /* the field that is left out; NULL: none */
  const char *with;    /* the fields that are replaced, as JSON; NULL: none */
  int status;          /* of the refusal */
} k_invalid_jobs[] = {
    {NULL, "{\"gpus\":5}", 422},
    {NULL, "{\"cpus\":40.5}", 422},
    {NULL, "{\"memGb\":401}", 422},
    {NULL, "{\"builds\":[\"none\"]}", 422},
    {NULL, "{\"club\":\"none\"}", 422},
    {NULL, "{\"club\":\"blue\",\"play\":\"gang\",\"runs\":13}", 422},
    {NULL, "{\"club\":\"blue\",\"play\":\"service\",\"runs\":4,\"gpus\":3.5}", 422},
    {"squad", NULL, 400},
    {"club", NULL, 400},
    {"play", NULL, 400},
    {"rank", NULL, 400},
    {"runs", NULL, 400},
    {"cpus", NULL, 400},
    {"gpus", NULL, 400},
    {"memGb", NULL, 400},
    {"kit", NULL, 400},
    {"pullGb", NULL, 400},
    {"samePlace", NULL, 400},
    {"scatter", NULL, 400},
    {"loaners", NULL, 400},
    {"expectS", NULL, 400},
    {"markS", NULL, 400},
    {"stowS", NULL, 400},
    {NULL, "{\"runs\":0}", 400},
    {NULL, "{\"runs\":100001}", 400},
    {NULL, "{\"gpus\":-1}", 400},
    {NULL, "{\"rank\":\"urgent\"}", 400},
    {NULL, "{\"play\":\"solo\"}", 400},
};

typedef struct invalid_job {
  guint row; /* of k_invalid_jobs */
  char id[32];
} invalid_job;

static void on_invalid_status(int status, const char *body, void *arg) {
  (void)body;
  invalid_job *invalid = arg;
  if (status == 200) world_rule_broken("invalid job is known", invalid->id);
  g_free(invalid);
}

static void request_invalid_status(void *arg) {
  invalid_job *invalid = arg;
  char path[64];
  g_snprintf(path, sizeof path, "/api/jobs/%s", invalid->id);
  sim_call(WORLD_USER_IP, WORLD_NODE_IP(world_random_node()), "GET", path, "", STATUS_TIMEOUT_S, on_invalid_status,
           invalid);
}

static void on_invalid_submitted(int status, const char *body, void *arg) {
  invalid_job *invalid = arg;
  char detail[200];
  g_snprintf(detail, sizeof detail, "%s without %s, with %s: %d %s", invalid->id, k_invalid_jobs[invalid->row].without,
             k_invalid_jobs[invalid->row].with, status, body);
  if (status == 200 || status == 201) world_rule_broken("accepted an invalid job", detail);
  if ((status == 400 || status == 422) && status != k_invalid_jobs[invalid->row].status)
    world_rule_broken("invalid job refused with the wrong status", detail);
  sim_after(sim_draw(0, 10), request_invalid_status, invalid);
}

/* A job that would be accepted; the caller releases it with json_decref(). */
static json_t *valid_job(const char *id) {
  return json_pack("{ss ss ss ss ss si sf sf sf ss sf sb sb sb sf sf sf}", "id", id, "squad", "sweep", "club", "red",
                   "play", "sweep", "rank", "standard", "runs", 1, "cpus", 1.0, "gpus", 1.0, "memGb", 8.0, "kit",
                   "img-1", "pullGb", 1.0, "samePlace", 0, "scatter", 0, "loaners", 1, "expectS", 10.0, "markS", 0.0,
                   "stowS", 0.0);
}

static void submit_invalid(void) {
  invalid_job *invalid = g_new(invalid_job, 1);
  invalid->row = (guint)g_rand_int_range(sim_rand(), 0, G_N_ELEMENTS(k_invalid_jobs));
  g_snprintf(invalid->id, sizeof invalid->id, "job-%06u", FIRST_INVALID_JOB + g_result.invalid_requests);
  json_t *message = valid_job(invalid->id);
  if (k_invalid_jobs[invalid->row].without) json_object_del(message, k_invalid_jobs[invalid->row].without);
  if (k_invalid_jobs[invalid->row].with) {
    json_t *with = json_loads(k_invalid_jobs[invalid->row].with, 0, NULL);
    json_object_update(message, with);
    json_decref(with);
  }
  char *body = json_dumps(message, JSON_COMPACT);
  json_decref(message);
  sim_call(WORLD_USER_IP, WORLD_NODE_IP(world_random_node()), "POST", "/api/jobs", body, SUBMIT_TIMEOUT_S,
           on_invalid_submitted, invalid);
  free(body);
}

/* ---- random requests ---- */

/* A random accepted job, with only_done one that is done; NULL: there is none. */
static sim_job *random_accepted_job(bool only_done) {
  GPtrArray *jobs = g_ptr_array_new();
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init(&iter, g_jobs);
  while (g_hash_table_iter_next(&iter, NULL, &value)) {
    const sim_job *job = value;
    if (job->seen_accepted && (!only_done || job->seen_done)) g_ptr_array_add(jobs, value);
  }
  sim_job *job = jobs->len > 0 ? jobs->pdata[g_rand_int_range(sim_rand(), 0, (gint32)jobs->len)] : NULL;
  g_ptr_array_free(jobs, TRUE);
  return job;
}

static void next_request(void *arg) {
  (void)arg;
  if (sim_now() > g_last_request_at) return;
  g_result.invalid_requests++;
  double choice = sim_draw(0, 1);
  sim_job *job = random_accepted_job(choice >= 0.3);
  if (choice < 0.6 && job) {
    user_repeat_submission(job, world_random_node());
  } else if (choice < 0.75 && job) {
    user_cancel_by(job, world_random_node());
  } else {
    submit_invalid();
  }
  sim_after(sim_draw(0.2, 1.5), next_request, NULL);
}

void users_send_invalid(double until) {
  bool running = sim_now() <= g_last_request_at;
  g_last_request_at = MAX(g_last_request_at, until);
  if (!running) next_request(NULL);
}
