/* Users: they submit, ask and cancel, and check what they are told. */
#include "parts.h"

#define FORGOTTEN_S 75.0

double g_cancel_at_end;

static void user_poll(void *arg);
static void user_cancel(void *arg);
static void user_submit(void *arg);

/* What the user had been told when it asked: answers may overtake each other. */
typedef struct question {
  job *j;
  bool told_done, told_cancelled;
} question;

static question *ask(job *j) {
  question *q = g_new(question, 1);
  *q = (question){j, j->told_done, j->told_cancelled};
  return q;
}

static void check_told(const question *q, const char *status) {
  job *j = q->j;
  bool done = strcmp(status, "done") == 0, cancelled = strcmp(status, "cancelled") == 0;
  if (done && j->done_count < j->tasks) world_broke("not_done", j->id);
  if (cancelled && !j->cancel_asked) world_broke("went_back", j->id);
  if (q->told_done && !done) world_broke("went_back", j->id);
  if (q->told_cancelled && !cancelled) world_broke("went_back", j->id);
  if (done && !j->told_done) {
    j->told_done = true;
    j->over = true;
    g_result.finished++;
  }
  if (cancelled && !j->told_cancelled) {
    j->told_cancelled = true;
    j->cancelled_at = sim_now();
    j->over = true;
    g_result.cancelled++;
  }
}

static void read_status(const question *q, const char *body) {
  json_t *v = json_loads(body, 0, NULL);
  const char *status = json_string_value(json_object_get(v, "status"));
  if (status) check_told(q, status);
  json_decref(v);
}

static void on_submitted(int status, const char *body, void *arg) {
  question *q = arg;
  job *j = q->j;
  if (status == 200 || status == 201) {
    if (!j->told_accepted) g_result.accepted++;
    j->told_accepted = true;
    if (status == 200) read_status(q, body);
    sim_after(sim_draw(1, 5), user_poll, j);
    if (j->cancel_at > 0) sim_after(j->cancel_at, user_cancel, j);
  } else if (status == 400 || status == 422) {
    world_broke(j->told_accepted ? "forgotten" : "refused", body);
  } else {
    sim_after(sim_draw(1, 2), user_submit, j);
  }
  g_free(q);
}

static void user_submit(void *arg) {
  job *j = arg;
  j->submitting = true;
  sim_call(WORLD_USER_IP, WORLD_NODE_IP(world_any_node()), "POST", "/api/jobs", j->body, 5, on_submitted, ask(j));
}

static void on_repeated(int status, const char *body, void *arg) {
  question *q = arg;
  if (status == 200) read_status(q, body);
  if (status == 201 || status == 400 || status == 422) world_broke("forgotten", "a repeated submission");
  g_free(q);
}

static void on_poll(int status, const char *body, void *arg) {
  question *q = arg;
  job *j = q->j;
  if (status == 404) world_broke("forgotten", j->id);
  if (status == 200) {
    read_status(q, body);
    j->answered_at = sim_now();
  } else if (g_quiet_from > 0 && sim_now() > MAX(g_quiet_from, j->answered_at) + FORGOTTEN_S) {
    /* Judged by the job: others may well be answered. */
    if (g_verbose) g_printerr("%.2f unanswered %s status=%d %s\n", sim_now(), j->id, status, body);
    world_broke("forgotten (no answer)", j->id);
  }
  g_free(q);
}

static void user_poll(void *arg) {
  job *j = arg;
  char path[64];
  g_snprintf(path, sizeof path, "/api/jobs/%s", j->id);
  sim_call(WORLD_USER_IP, WORLD_NODE_IP(world_any_node()), "GET", path, "", 2, on_poll, ask(j));
  if (sim_chance(0.1))
    sim_call(WORLD_USER_IP, WORLD_NODE_IP(world_any_node()), "POST", "/api/jobs", j->body, 5, on_repeated, ask(j));
  /* Often enough that two lost answers in a row are no 75 s without one. */
  sim_after(j->over ? sim_draw(4, 12) : sim_draw(4, 6), user_poll, j);
}

static void on_cancelled(int status, const char *body, void *arg) {
  question *q = arg;
  if (status == 200) {
    read_status(q, body);
  } else {
    if (status == 404) world_broke("forgotten", q->j->id);
    sim_after(sim_draw(1, 2), user_cancel, q->j);
  }
  g_free(q);
}

static void cancel_by(job *j, int node) {
  j->cancel_asked = true;
  char path[80];
  g_snprintf(path, sizeof path, "/api/jobs/%s/withdraw", j->id);
  sim_call(WORLD_USER_IP, WORLD_NODE_IP(node), "POST", path, "", 5, on_cancelled, ask(j));
}

static void user_cancel(void *arg) {
  job *j = arg;
  if (!j->over) cancel_by(j, world_any_node());
}

typedef struct cancel_arg {
  job *j;
  int node;
} cancel_arg;

static void cancel_there(void *arg) {
  cancel_arg *a = arg;
  cancel_by(a->j, a->node >= 0 ? a->node : world_any_node());
  g_free(a);
}

void world_cancel(const char *id, int node, double in_s) {
  cancel_arg *a = g_new(cancel_arg, 1);
  *a = (cancel_arg){g_hash_table_lookup(g_jobs, id), node};
  sim_after(in_s, cancel_there, a);
}

double world_cancelled_at(const char *id) {
  const job *j = g_hash_table_lookup(g_jobs, id);
  return j->told_cancelled ? j->cancelled_at : 0;
}

void world_ask_job(unsigned node, const char *id) {
  char path[64];
  g_snprintf(path, sizeof path, "/api/jobs/%s", id);
  sim_call(WORLD_USER_IP, WORLD_NODE_IP(node), "GET", path, "", 2, on_poll, ask(g_hash_table_lookup(g_jobs, id)));
}

/* At the very moment at which the last task ends its user calls the job off, asks
 * about it and submits it again. */
void users_job_ends(job *j) {
  j->ended_at = sim_now();
  if (g_cancel_at_end <= 0 || !sim_chance(g_cancel_at_end)) return;
  cancel_arg *a = g_new(cancel_arg, 1);
  *a = (cancel_arg){j, -1};
  sim_after(sim_draw(0, 0.6), cancel_there, a);
  char path[64];
  g_snprintf(path, sizeof path, "/api/jobs/%s", j->id);
  sim_call(WORLD_USER_IP, WORLD_NODE_IP(world_any_node()), "GET", path, "", 2, on_poll, ask(j));
  sim_call(WORLD_USER_IP, WORLD_NODE_IP(world_any_node()), "POST", "/api/jobs", j->body, 5, on_repeated, ask(j));
}

static void on_unknown(int status, const char *body, void *arg) {
  (void)body;
  (void)arg;
  if (status == 200) world_broke("invented", "a job nobody submitted");
}

void users_init(void) {
  g_jobs = g_hash_table_new(g_str_hash, g_str_equal);
}

void ask_unknown(void *arg) {
  (void)arg;
  sim_call(WORLD_USER_IP, WORLD_NODE_IP(world_any_node()), "GET", "/api/jobs/job-999999", "", 2, on_unknown, NULL);
  sim_after(sim_draw(5, 15), ask_unknown, NULL);
}

static const char *quoted(const char *s) {
  static char text[40];
  if (!s) return "null";
  g_snprintf(text, sizeof text, "\"%s\"", s);
  return text;
}

/* Into the world: known to the workers, and its user on the way. */
static void job_enter(job *j, unsigned image) {
  j->done = g_new0(bool, j->tasks);
  j->body = g_strdup_printf(
      "{\"id\":\"%s\",\"squad\":\"%s\",\"club\":\"%s\",\"play\":\"%s\",\"rank\":\"%s\",\"runs\":%u,\"cpus\":%f,"
      "\"gpus\":%f,\"memGb\":8,\"kit\":\"img-%u\",\"pullGb\":1,\"builds\":null,\"ground\":%s,\"samePlace\":%s,"
      "\"scatter\":%s,\"loaners\":%s,\"expectS\":10,\"markS\":0,\"stowS\":0,\"whistleS\":null}",
      j->id, j->kind, j->team, j->kind, j->rank, j->tasks, j->cpus, j->gpus, image, quoted(j->zone),
      j->one_zone ? "true" : "false", j->spread ? "true" : "false", j->spot ? "true" : "false");
  g_hash_table_insert(g_jobs, j->id, j);
  g_result.submitted++;
  sim_after(j->submit_at, user_submit, j);
}

void world_submit_job(const world_job *s) {
  job *j = g_new0(job, 1);
  g_strlcpy(j->id, s->id, sizeof j->id);
  j->kind = s->kind;
  j->rank = s->rank ? s->rank : "standard";
  j->team = s->team ? s->team : "red";
  j->zone = s->zone;
  j->tasks = s->tasks;
  j->cpus = j->gpus = s->gpus;
  j->run_s = s->run_s;
  j->one_zone = s->one_zone;
  j->spread = s->spread;
  j->spot = s->spot;
  j->submit_at = s->in_s;
  j->cancel_at = s->cancel_in_s;
  job_enter(j, 1);
}

void world_submit(const char *id, const char *kind, const char *rank, unsigned tasks, double gpus, double run_s,
                  double in_s) {
  world_submit_job(&(world_job){.id = id,
                                .kind = kind,
                                .rank = rank,
                                .tasks = tasks,
                                .gpus = gpus,
                                .run_s = run_s,
                                .in_s = in_s,
                                .one_zone = strcmp(kind, "gang") == 0,
                                .spread = strcmp(kind, "service") == 0,
                                .spot = strcmp(kind, "sweep") == 0});
}

double world_ended_at(const char *id) {
  const job *j = g_hash_table_lookup(g_jobs, id);
  return j->ended_at;
}

const char *world_told(const char *id) {
  const job *j = g_hash_table_lookup(g_jobs, id);
  return j->told_done ? "done" : j->told_cancelled ? "cancelled" : NULL;
}

double world_began(const char *id) {
  const job *j = g_hash_table_lookup(g_jobs, id);
  return j->began_at;
}

void job_new(unsigned n, double busy_s) {
  job *j = g_new0(job, 1);
  g_snprintf(j->id, sizeof j->id, "job-%06u", n * 7919 % 900000);
  double k = sim_draw(0, 1);
  j->kind = k < 0.45 ? "sweep" : k < 0.75 ? "service" : "gang";
  j->rank = strcmp(j->kind, "service") == 0 ? "prod" : strcmp(j->kind, "gang") == 0 ? "high" : "standard";
  j->team = sim_chance(0.5) ? "red" : "blue";
  j->tasks =
      strcmp(j->kind, "sweep") == 0 ? 1 + (unsigned)(sim_draw(0, 1) * sim_draw(0, 10)) : 1 + (unsigned)sim_draw(0, 3);
  j->gpus = strcmp(j->kind, "gang") == 0 && sim_chance(0.3) ? 4 : 1;
  j->cpus = j->gpus * sim_draw(2, 9);
  j->run_s = sim_draw(3, 25);
  j->one_zone = strcmp(j->kind, "gang") == 0 && sim_chance(0.7);
  j->spread = strcmp(j->kind, "service") == 0 && sim_chance(0.5);
  j->spot = strcmp(j->kind, "sweep") == 0 || (strcmp(j->kind, "gang") == 0 && sim_chance(0.5));
  j->submit_at = sim_draw(0, busy_s);
  /* Services are cancelled in the end, others now and then. */
  if (strcmp(j->kind, "service") == 0)
    j->cancel_at = sim_draw(20, 100);
  else if (sim_chance(0.1))
    j->cancel_at = sim_draw(0, 40);
  job_enter(j, n % 4);
}
