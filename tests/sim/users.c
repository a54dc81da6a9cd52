/* Users: they submit, ask and cancel, and check what they are told. */
#include "parts.h"

/* Ids of their own for what is submitted besides the days' ordinary jobs. */
#define FIRST_ODD 910000u
#define FIRST_OF_PIPELINES 930000u

double g_cancel_at_end;
static int g_users_node;

void world_users_to(int node) {
  g_users_node = node;
}

/* What the load balancer chooses. */
static int pick_node(void) {
  return g_users_node >= 0 ? g_users_node : world_any_node();
}

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

double job_ready_at(const job *j) {
  double at = 0;
  for (guint i = 0; i < j->awaits->len; i++) {
    const job *before = j->awaits->pdata[i];
    at = MAX(at, before->ended_at > 0 ? before->ended_at : INFINITY);
  }
  return at;
}

bool job_called_off(const job *j) {
  for (guint i = 0; i < j->awaits->len; i++) {
    const job *before = j->awaits->pdata[i];
    if ((before->cancel_asked && !before->told_done) || job_called_off(before)) return true;
  }
  return false;
}

/* When a user was first told that a job is cancelled which this one needs; INFINITY: never. */
static double told_cancelled_before(const job *j) {
  double at = INFINITY;
  for (guint i = 0; i < j->awaits->len; i++) {
    const job *before = j->awaits->pdata[i];
    if (before->told_cancelled) at = MIN(at, before->cancelled_at);
    at = MIN(at, told_cancelled_before(before));
  }
  return at;
}

static void check_told(const question *q, const char *status) {
  job *j = q->j;
  bool done = strcmp(status, "done") == 0, cancelled = strcmp(status, "cancelled") == 0;
  if (done && j->done_count < j->tasks) world_broke("not_done", j->id);
  if (cancelled && !j->cancel_asked && !job_called_off(j)) world_broke("went_back", j->id);
  double asked_from = MAX(told_cancelled_before(j), j->first_submitted_at);
  if (!done && !cancelled && sim_now() > asked_from + CANCEL_S) world_broke("orphaned", j->id);
  if (q->told_done && !done) world_broke("went_back", j->id);
  if (q->told_cancelled && !cancelled) world_broke("went_back", j->id);
  if (done && !j->told_done) {
    j->told_done = true;
    j->told_done_at = sim_now();
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
  g_result.submissions++;
  g_result.unanswered += status == 0;
  if (status == 429 || status == 503) {
    g_result.refused++;
    if (sim_retry_after() <= 0) world_broke("refused without Retry-After", body);
  }
  if (status == 200 || status == 201) {
    if (!j->told_accepted) {
      g_result.accepted++;
      j->accepted_at = sim_now();
    }
    j->told_accepted = true;
    read_status(q, body);
    sim_after(sim_draw(1, 5), user_poll, j);
    if (j->cancel_at > 0) sim_after(j->cancel_at, user_cancel, j);
  } else if (status == 400 || status == 422) {
    world_broke(j->told_accepted ? "forgotten" : "refused", body);
  } else {
    sim_after(sim_draw(1, 2), user_submit, j);
  }
  g_free(q);
}

/* Users submit a job once those that it awaits are accepted, and name others only when no
 * controller of the former version is left. */
static bool may_submit(const GPtrArray *awaits) {
  if (awaits->len > 0 && world_any_former()) return false;
  for (guint i = 0; i < awaits->len; i++)
    if (!((const job *)awaits->pdata[i])->told_accepted) return false;
  return true;
}

/* The former version passes over what a submission awaits. */
static const char *body_for(const job *j, int node) {
  return world_is_former((unsigned)node) ? j->plain_body : j->body;
}

static void user_submit(void *arg) {
  job *j = arg;
  if (!may_submit(j->awaits)) {
    sim_after(0.05, user_submit, j);
    return;
  }
  if (j->first_submitted_at <= 0) j->first_submitted_at = sim_now();
  j->submitting = true;
  int node = pick_node();
  sim_call(WORLD_USER_IP, WORLD_NODE_IP(node), "POST", "/api/jobs", body_for(j, node), 5, on_submitted, ask(j));
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
  g_result.questions++;
  g_result.told += status == 200;
  g_result.put_off += status == 503;
  if (status == 503 && sim_retry_after() <= 0) world_broke("refused without Retry-After", body);
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
  sim_call(WORLD_USER_IP, WORLD_NODE_IP(pick_node()), "GET", path, "", 2, on_poll, ask(j));
  if (sim_chance(0.1))
    sim_call(WORLD_USER_IP, WORLD_NODE_IP(pick_node()), "POST", "/api/jobs", j->body, 5, on_repeated, ask(j));
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
  if (!j->cancel_asked) j->cancel_asked_at = sim_now();
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

double world_accepted_at(const char *id) {
  return ((const job *)g_hash_table_lookup(g_jobs, id))->accepted_at;
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

static void cancel_in(job *j, double in_s) {
  cancel_arg *a = g_new(cancel_arg, 1);
  *a = (cancel_arg){j, -1};
  sim_after(in_s, cancel_there, a);
}

static void hang_there(void *arg) {
  worker *w = arg;
  w->hang_until = MAX(w->hang_until, sim_now() + w->hang_s);
}

/* Of the jobs with tasks on the machine, up to so many; how many there were. */
static unsigned cancel_on(worker *w, unsigned count, double within_s, double hang_s) {
  unsigned n = 0;
  for (guint k = 0; !w->gone && k < w->tasks->len && n < count; k++) {
    const task *t = w->tasks->pdata[k];
    if (t->state == T_EXITED || !t->job || !t->job->told_accepted || t->job->over || t->job->cancel_asked) continue;
    cancel_in(t->job, sim_draw(0, within_s));
    n++;
  }
  if (n > 0 && hang_s > 0) {
    w->hang_s = hang_s;
    sim_after(sim_draw(0, 1), hang_there, w);
  }
  return n;
}

void users_cancel_some(unsigned count, double within_s, double hang_s) {
  guint all = g_order->len, from = all > 0 ? (guint)g_rand_int_range(sim_rand(), 0, (gint32)all) : 0;
  for (guint i = 0; i < all && count > 0; i++)
    count -= cancel_on(g_order->pdata[(from + i) % all], count, within_s, hang_s);
}

typedef struct cancel_later {
  worker *on; /* NULL: any */
  unsigned count;
} cancel_later;

static void cancel_some(void *arg) {
  cancel_later *c = arg;
  if (c->on) {
    (void)cancel_on(c->on, c->count, 0.2, 0);
  } else {
    users_cancel_some(c->count, 0.2, 0);
  }
  g_free(c);
}

void users_cancel_later(unsigned count, double in_s) {
  cancel_later *c = g_new(cancel_later, 1);
  *c = (cancel_later){NULL, count};
  sim_after(in_s, cancel_some, c);
}

void users_cancel_on(unsigned machine, unsigned count, double in_s) {
  cancel_later *c = g_new(cancel_later, 1);
  *c = (cancel_later){g_order->pdata[machine], count};
  sim_after(in_s, cancel_some, c);
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
  sim_call(WORLD_USER_IP, WORLD_NODE_IP(pick_node()), "GET", path, "", 2, on_poll, ask(j));
  sim_call(WORLD_USER_IP, WORLD_NODE_IP(pick_node()), "POST", "/api/jobs", j->body, 5, on_repeated, ask(j));
}

static void on_unknown(int status, const char *body, void *arg) {
  (void)body;
  (void)arg;
  if (status == 200) world_broke("invented", "a job nobody submitted");
}

static gint by_id(gconstpointer a, gconstpointer b) {
  return strcmp((*(job *const *)a)->id, (*(job *const *)b)->id);
}

/* ---- odd requests ---- */

static const struct {
  const char *without; /* that field is left out */
  const char *with;    /* these are as here */
  int status;
} k_odd[] = {
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

typedef struct odd {
  guint row;
  char id[32];
} odd;

static void on_odd_known(int status, const char *body, void *arg) {
  (void)body;
  odd *o = arg;
  if (status == 200) world_broke("invented", o->id);
  g_free(o);
}

static void odd_known(void *arg) {
  odd *o = arg;
  char path[64];
  g_snprintf(path, sizeof path, "/api/jobs/%s", o->id);
  sim_call(WORLD_USER_IP, WORLD_NODE_IP(world_any_node()), "GET", path, "", 2, on_odd_known, o);
}

static void on_odd(int status, const char *body, void *arg) {
  odd *o = arg;
  char detail[200];
  g_snprintf(detail, sizeof detail, "%s without %s, with %s: %d %s", o->id, k_odd[o->row].without, k_odd[o->row].with,
             status, body);
  if (status == 200 || status == 201) world_broke("accepted what can't run or isn't a job", detail);
  if ((status == 400 || status == 422) && status != k_odd[o->row].status) world_broke("refused for another", detail);
  sim_after(sim_draw(0, 10), odd_known, o);
}

static void submit_odd(void) {
  odd *o = g_new(odd, 1);
  o->row = (guint)g_rand_int_range(sim_rand(), 0, G_N_ELEMENTS(k_odd));
  g_snprintf(o->id, sizeof o->id, "job-%06u", FIRST_ODD + g_result.odd);
  json_t *v =
      json_pack("{ss ss ss ss ss si sf sf sf ss sf sb sb sb sf sf sf}", "id", o->id, "squad", "sweep", "club", "red",
                "play", "sweep", "rank", "standard", "runs", 1, "cpus", 1.0, "gpus", 1.0, "memGb", 8.0, "kit", "img-1",
                "pullGb", 1.0, "samePlace", 0, "scatter", 0, "loaners", 1, "expectS", 10.0, "markS", 0.0, "stowS", 0.0);
  if (k_odd[o->row].without) json_object_del(v, k_odd[o->row].without);
  if (k_odd[o->row].with) {
    json_t *with = json_loads(k_odd[o->row].with, 0, NULL);
    json_object_update(v, with);
    json_decref(with);
  }
  char *s = json_dumps(v, JSON_COMPACT);
  json_decref(v);
  sim_call(WORLD_USER_IP, WORLD_NODE_IP(world_any_node()), "POST", "/api/jobs", s, 5, on_odd, o);
  free(s);
}

/* Accepted, and done or not as asked for; NULL: there is none. */
static job *any_job(bool done) {
  GPtrArray *jobs = g_ptr_array_new();
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, g_jobs);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    const job *j = value;
    if (j->told_accepted && (!done || j->told_done)) g_ptr_array_add(jobs, value);
  }
  job *j = jobs->len > 0 ? jobs->pdata[g_rand_int_range(sim_rand(), 0, (gint32)jobs->len)] : NULL;
  g_ptr_array_free(jobs, TRUE);
  return j;
}

static double g_odd_until;

static void odd_request(void *arg) {
  (void)arg;
  if (sim_now() > g_odd_until) return;
  g_result.odd++;
  double k = sim_draw(0, 1);
  job *j = k < 0.3 ? any_job(false) : any_job(true);
  if (k < 0.6 && j) {
    sim_call(WORLD_USER_IP, WORLD_NODE_IP(world_any_node()), "POST", "/api/jobs", j->body, 5, on_repeated, ask(j));
  } else if (k < 0.75 && j) {
    cancel_by(j, world_any_node());
  } else {
    submit_odd();
  }
  sim_after(sim_draw(0.2, 1.5), odd_request, NULL);
}

void users_odd(double until) {
  bool on = sim_now() <= g_odd_until;
  g_odd_until = MAX(g_odd_until, until);
  if (!on) odd_request(NULL);
}

void users_init(void) {
  g_odd_until = 0;
  g_jobs = g_hash_table_new(g_str_hash, g_str_equal);
  g_users_node = -1;
}

void ask_unknown(void *arg) {
  (void)arg;
  sim_call(WORLD_USER_IP, WORLD_NODE_IP(pick_node()), "GET", "/api/jobs/job-999999", "", 2, on_unknown, NULL);
  sim_after(sim_draw(5, 15), ask_unknown, NULL);
}

static const char *quoted(const char *s) {
  static char text[40];
  if (!s) return "null";
  g_snprintf(text, sizeof text, "\"%s\"", s);
  return text;
}

/* As JSON; the caller frees it. */
static char *list_awaits(const job *j) {
  GString *list = g_string_new("[");
  for (guint i = 0; i < j->awaits->len; i++)
    g_string_append_printf(list, "%s\"%s\"", i ? "," : "", ((const job *)j->awaits->pdata[i])->id);
  g_string_append_c(list, ']');
  return g_string_free(list, FALSE);
}

static const char *number_or_null(double n) {
  static char text[40];
  if (n <= 0) return "null";
  g_snprintf(text, sizeof text, "%f", n);
  return text;
}

/* Into the world: known to the workers, and its user on the way. */
static void job_enter(job *j, unsigned image) {
  j->done = g_new0(bool, j->tasks);
  if (!j->awaits) j->awaits = g_ptr_array_new();
  char *awaits = list_awaits(j);
  j->body = g_strdup_printf(
      "{\"id\":\"%s\",\"squad\":\"%s\",\"club\":\"%s\",\"play\":\"%s\",\"rank\":\"%s\",\"runs\":%u,\"cpus\":%f,"
      "\"gpus\":%f,\"memGb\":8,\"kit\":\"img-%u\",\"pullGb\":1,\"builds\":null,\"ground\":%s,\"samePlace\":%s,"
      "\"scatter\":%s,\"loaners\":%s,\"expectS\":10,\"markS\":0,\"stowS\":0,\"whistleS\":%s,"
      "\"awaits\":%s}",
      j->id, j->kind, j->team, j->kind, j->rank, j->tasks, j->cpus, j->gpus, image, quoted(j->zone),
      j->one_zone ? "true" : "false", j->spread ? "true" : "false", j->spot ? "true" : "false",
      number_or_null(j->whistle_s), awaits);
  size_t plain = (size_t)(strstr(j->body, ",\"awaits\"") - j->body);
  j->plain_body = g_strdup_printf("%.*s}", (int)plain, j->body);
  g_free(awaits);
  g_hash_table_insert(g_jobs, j->id, j);
  g_result.submitted++;
  j->entered_at = sim_now();
  sim_after(j->submit_at, user_submit, j);
}

const char *world_id(unsigned k) {
  static char id[4][32];
  static unsigned next;
  char *out = id[next++ % 4];
  g_snprintf(out, sizeof id[0], "job-%06u", k);
  return out;
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
  j->later_s = s->later_s;
  j->one_zone = s->one_zone;
  j->spread = s->spread;
  j->spot = s->spot;
  j->submit_at = s->in_s;
  j->cancel_at = s->cancel_in_s;
  j->whistle_s = s->whistle_s;
  j->awaits = g_ptr_array_new();
  for (size_t i = 0; i < G_N_ELEMENTS(s->awaits) && s->awaits[i]; i++)
    g_ptr_array_add(j->awaits, g_hash_table_lookup(g_jobs, s->awaits[i]));
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

double world_told_done_at(const char *id) {
  const job *j = g_hash_table_lookup(g_jobs, id);
  return j->told_done_at;
}

unsigned world_unanswered(double since) {
  GHashTableIter it;
  gpointer value;
  unsigned n = 0;
  g_hash_table_iter_init(&it, g_jobs);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    const job *j = value;
    n += j->told_accepted && j->accepted_at < since && !j->over && j->answered_at < since;
  }
  return n;
}

/* An earlier job that may be named; NULL: none came up. */
static job *any_earlier(void) {
  GPtrArray *jobs = g_ptr_array_new();
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, g_jobs);
  while (g_hash_table_iter_next(&it, NULL, &value))
    if (strcmp(((const job *)value)->kind, "service") != 0) g_ptr_array_add(jobs, value);
  g_ptr_array_sort(jobs, by_id);
  job *j = jobs->len > 0 ? jobs->pdata[g_rand_int_range(sim_rand(), 0, (gint32)jobs->len)] : NULL;
  g_ptr_array_free(jobs, TRUE);
  return j;
}

/* One job of a pipeline, after those in `before`. */
static job *stage_new(unsigned n, double from_s, const GPtrArray *before) {
  job *j = g_new0(job, 1);
  g_snprintf(j->id, sizeof j->id, "job-%06u", FIRST_OF_PIPELINES + n);
  bool gang = sim_chance(0.2);
  j->kind = gang ? "gang" : "sweep";
  j->rank = sim_chance(0.5) ? "best_effort" : "standard";
  j->team = sim_chance(0.5) ? "red" : "blue";
  j->tasks = 1 + (unsigned)sim_draw(0, gang ? 3 : 6);
  j->gpus = 0.25;
  j->cpus = sim_draw(1, 4);
  j->run_s = sim_draw(2, 12);
  j->one_zone = gang;
  j->spot = !gang;
  j->submit_at = from_s;
  j->awaits = g_ptr_array_new();
  for (guint i = 0; i < before->len; i++)
    if (i + 1 == before->len || sim_chance(0.4)) g_ptr_array_add(j->awaits, before->pdata[i]);
  return j;
}

unsigned pipeline_new(unsigned n, double busy_s) {
  GPtrArray *stages = g_ptr_array_new();
  double from_s = sim_draw(0, busy_s);
  unsigned count = 2 + (unsigned)sim_draw(0, 5);
  bool called_off = sim_chance(0.25);
  unsigned which = (unsigned)sim_draw(0, count);
  job *earlier = sim_chance(0.3) ? any_earlier() : NULL;
  if (earlier) g_ptr_array_add(stages, earlier);
  for (unsigned i = 0; i < count; i++) {
    /* Some submit the last only when the others may be over. */
    bool last = i + 1 == count;
    job *j = stage_new(n + i, last && sim_chance(0.2) ? from_s + 40 : from_s, stages);
    if (last) {
      j->rank = "high";
      j->whistle_s = sim_draw(30, 120);
    }
    if (called_off && i == which) j->cancel_at = sim_draw(0, 30);
    job_enter(j, (n + i) % 4);
    g_ptr_array_add(stages, j);
  }
  g_ptr_array_free(stages, TRUE);
  return count;
}

void job_new(unsigned n, double busy_s, bool meetings) {
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
  if (meetings) troubles_vary(j);
  job_enter(j, n % 4);
}
