/* Cloud, workers, users and faults; the rules are checked where they could break. */
#include "world.h"

#include <arpa/inet.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "controller/controller.h"

#define LEASE_S 14.0
#define REPORT_S 2.0
#define CANCEL_S 34.0
#define GANG_WAIT_S 30.0
#define GANG_PEER_S 5.0
#define STEP_S 0.25

typedef struct job {
  char id[32];
  unsigned tasks;
  const char *kind, *rank, *team;
  double cpus, gpus, run_s;
  bool one_zone, spread, spot;
  char *body;
  bool told_accepted, cancel_asked, told_cancelled, told_done;
  double cancelled_at;
  double submit_at, cancel_at; /* cancel_at 0: never */
  bool *done;
  unsigned done_count;
  bool submitting, over;
} job;

typedef enum { T_FETCHING, T_WAITING, T_RUNNING, T_EXITED } tstate;
static const char *const k_tstate[] = {"pulling", "waiting", "running", "exited"};

typedef struct task {
  job *job;
  char job_id[32];
  unsigned index;
  uint64_t attempt;
  tstate state;
  const char *cause;
  double until, since; /* fetch or run ends then; waiting or broken since */
  double broken_at;
} task;

typedef struct worker {
  char id[32];
  uint32_t ip;
  int zone;
  bool spot, up, gone;
  double born, up_at, hang_until, lost_until, notice_at, taken_at;
  uint64_t session, seq, token, told_token;
  double last_ok; /* when the last answered report was sent */
  GPtrArray *tasks;
  int node;
  double next_report, sent_at, last_sent;
  uint64_t sent_session;
  bool in_flight, changed;
} worker;

typedef struct cut {
  enum { CUT_ZONES, CUT_NODE, CUT_NODE_STATE, CUT_NODE_PEERS, CUT_NODE_WORKERS, CUT_WORKER } kind;
  int node;
  uint32_t ip;
  double until;
  sim_link mode;
} cut;

static fc_settings g_settings[WORLD_NODES];
static GHashTable *g_jobs, *g_workers, *g_hires, *g_by_ip;
static GPtrArray *g_order; /* workers in order of creation */
static GArray *g_cuts;
static world_result g_result;
static double g_refuse_until[WORLD_NODES];
static unsigned g_next_machine, g_next_ip;
static bool g_verbose;

static const char *const k_zones[] = {"a", "b"};

void world_broke(const char *rule, const char *detail) {
  if (g_result.broken++ == 0) g_snprintf(g_result.first, sizeof g_result.first, "%.2f %s: %s", sim_now(), rule, detail);
}

static int zone_of(uint32_t ip) {
  if (ip >> 16 == (10u << 8 | 0)) return (ip & 0xff) == 2 ? 1 : 0; /* the second controller is in zone b */
  worker *w = g_hash_table_lookup(g_by_ip, GUINT_TO_POINTER(ip));
  return w ? w->zone : -1;
}

static int node_of(uint32_t ip) {
  return ip >> 16 == (10u << 8 | 0) ? (int)(ip & 0xff) - 1 : -1;
}

static bool cut_matches(const cut *c, uint32_t a, uint32_t b) {
  bool a_node = node_of(a) == c->node && c->node >= 0;
  switch (c->kind) {
    case CUT_ZONES:
      return zone_of(a) >= 0 && zone_of(b) >= 0 && zone_of(a) != zone_of(b);
    case CUT_NODE:
      return a_node;
    case CUT_NODE_STATE:
      return a_node && b == WORLD_STATE_IP;
    case CUT_NODE_PEERS:
      return a_node && node_of(b) >= 0;
    case CUT_NODE_WORKERS:
      return a_node && g_hash_table_contains(g_by_ip, GUINT_TO_POINTER(b));
    default:
      return a == c->ip;
  }
}

static sim_link link_now(uint32_t from, uint32_t to) {
  worker *w = g_hash_table_lookup(g_by_ip, GUINT_TO_POINTER(to));
  if (w && w->gone) return SIM_RESET;
  if (w && (w->hang_until > sim_now() || !w->up)) return SIM_HELD;
  if (node_of(to) >= 0 && !sim_process_alive(to)) return SIM_RESET;
  for (guint i = 0; i < g_cuts->len; i++) {
    const cut *c = &g_array_index(g_cuts, cut, i);
    if (sim_now() < c->until && (cut_matches(c, from, to) || cut_matches(c, to, from))) return c->mode;
  }
  return SIM_CLEAR;
}

bool world_state_refuses(const sim_request *r) {
  uint32_t from = *(const uint32_t *)r->exchange; /* first field: the sender */
  int n = node_of(from);
  return n >= 0 && sim_now() < g_refuse_until[n];
}

/* ---- workers ---- */

/* From the moment it has its image until it exits, or its lease is over. */
static bool on_machine(const worker *w, const task *t) {
  if (w->gone || !w->up) return false;
  if (t->state != T_WAITING && t->state != T_RUNNING) return false;
  return sim_now() <= w->last_ok + LEASE_S;
}

static void each_on_machine(void (*fn)(worker *w, task *t, void *arg), void *arg) {
  for (guint i = 0; i < g_order->len; i++) {
    worker *w = g_order->pdata[i];
    for (guint k = 0; k < w->tasks->len; k++) {
      task *t = w->tasks->pdata[k];
      if (on_machine(w, t)) fn(w, t, arg);
    }
  }
}

typedef struct start_check {
  worker *w;
  task *t;
  double cpus, gpus;
  unsigned in_zone, elsewhere;
} start_check;

static void check_other(worker *w, task *t, void *arg) {
  start_check *c = arg;
  if (!t->job) return;
  if (strcmp(t->job->team, c->t->job->team) == 0) {
    c->cpus += t->job->cpus;
    c->gpus += t->job->gpus;
  }
  if (t->job != c->t->job) return;
  if (t->index == c->t->index && (w != c->w || t != c->t)) {
    char detail[160];
    g_snprintf(detail, sizeof detail, "%s/%u on %s and %s", t->job->id, t->index, w->id, c->w->id);
    world_broke("ran_twice", detail);
  }
  c->in_zone += w->zone == c->w->zone;
  c->elsewhere += w->zone != c->w->zone;
}

/* The task has its image: from here it is on its machine. */
static void check_start(worker *w, task *t) {
  g_result.starts++;
  job *j = t->job;
  start_check c = {.w = w, .t = t};
  each_on_machine(check_other, &c); /* counts this task too */
  if (strcmp(j->team, "blue") == 0 && c.gpus > 12 + 1e-6) world_broke("quota", j->id);
  if (w->spot && !j->spot) world_broke("wrong_place", "spot");
  if (j->one_zone && c.elsewhere > 0) world_broke("wrong_place", j->id);
  if (j->spread && c.in_zone > (j->tasks + 1) / 2) world_broke("wrong_place", j->id);
  if (j->told_cancelled && sim_now() > j->cancelled_at + CANCEL_S) world_broke("ran_cancelled", j->id);
  if (!j->told_accepted && !j->submitting) world_broke("invented", j->id);
}

static void add_exited(worker *w, const char *id, unsigned index, uint64_t attempt, const char *cause) {
  task *t = g_new0(task, 1);
  g_strlcpy(t->job_id, id, sizeof t->job_id);
  t->job = g_hash_table_lookup(g_jobs, id);
  t->index = index;
  t->attempt = attempt;
  t->state = T_EXITED;
  t->cause = cause;
  g_ptr_array_add(w->tasks, t);
}

static GHashTable *g_causes; /* how often tasks have ended for each cause */

unsigned world_ended(const char *cause) {
  return GPOINTER_TO_UINT(g_hash_table_lookup(g_causes, cause));
}

static void exit_task(worker *w, task *t, const char *cause) {
  g_hash_table_insert(g_causes, (gpointer)cause, GUINT_TO_POINTER(world_ended(cause) + 1));
  t->state = T_EXITED;
  t->cause = cause;
  w->changed = true;
}

static void command_start(worker *w, const char *id, unsigned index, uint64_t attempt) {
  double cpus = 40, gpus = 4;
  for (guint i = 0; i < w->tasks->len; i++) {
    task *t = w->tasks->pdata[i];
    bool same = strcmp(t->job_id, id) == 0 && t->index == index;
    if (same && t->attempt == attempt) return;
    if (t->state == T_EXITED) continue;
    if (same) {
      add_exited(w, id, index, attempt, "busy");
      return;
    }
    cpus -= t->job->cpus;
    gpus -= t->job->gpus;
  }
  job *j = g_hash_table_lookup(g_jobs, id);
  w->changed = true;
  if (!j) {
    add_exited(w, id, index, attempt, "unknown");
  } else if (j->cpus > cpus + 1e-6 || j->gpus > gpus + 1e-6) {
    add_exited(w, id, index, attempt, "no_room");
  } else {
    task *t = g_new0(task, 1);
    g_strlcpy(t->job_id, id, sizeof t->job_id);
    t->job = j;
    t->index = index;
    t->attempt = attempt;
    t->state = T_FETCHING;
    t->until = sim_now() + sim_draw(0.2, 3);
    g_ptr_array_add(w->tasks, t);
  }
}

static void execute(worker *w, json_t *calls) {
  size_t i;
  json_t *call;
  json_array_foreach(calls, i, call) {
    const char *op = json_string_value(json_object_get(call, "call"));
    const char *run = json_string_value(json_object_get(call, "run"));
    uint64_t attempt = (uint64_t)json_integer_value(json_object_get(call, "kickoff"));
    char id[32];
    const char *slash = strchr(run, '/');
    g_strlcpy(id, run, MIN(sizeof id, (size_t)(slash - run) + 1));
    unsigned index = (unsigned)atoi(slash + 1);
    if (strcmp(op, "start") == 0) {
      command_start(w, id, index, attempt);
      continue;
    }
    for (guint k = w->tasks->len; k-- > 0;) {
      task *t = w->tasks->pdata[k];
      if (strcmp(t->job_id, id) != 0 || t->index != index || t->attempt != attempt) continue;
      if (strcmp(op, "halt") == 0 && t->state != T_EXITED) exit_task(w, t, "stopped");
      if (strcmp(op, "clear") == 0 && t->state == T_EXITED) {
        g_ptr_array_remove_index(w->tasks, k);
        g_free(t);
      }
    }
  }
}

static char *report_of(worker *w) {
  json_t *runs = json_array();
  for (guint i = 0; i < w->tasks->len; i++) {
    task *t = w->tasks->pdata[i];
    char run[64];
    g_snprintf(run, sizeof run, "%s/%u", t->job_id, t->index);
    json_array_append_new(runs, json_pack("{ss sI ss ss*}", "run", run, "kickoff", (json_int_t)t->attempt, "status",
                                          k_tstate[t->state], "cause", t->state == T_EXITED ? t->cause : NULL));
  }
  char at[40];
  g_snprintf(at, sizeof at, "10.1.%u.%u:9000", w->ip >> 8 & 0xff, w->ip & 0xff);
  json_t *v = json_pack("{ss ss ss ss sb sI sI sI so}", "paddock", w->id, "endpoint", at, "build", "g4", "ground",
                        k_zones[w->zone], "loaners", (int)w->spot, "stint", (json_int_t)w->session, "tally",
                        (json_int_t)++w->seq, "captaincy", (json_int_t)w->token, "runs", runs);
  if (w->notice_at > 0) json_object_set_new(v, "recallS", json_real(MAX(0, w->taken_at - sim_now())));
  char *s = json_dumps(v, JSON_COMPACT);
  json_decref(v);
  return s;
}

static bool alive(const worker *w) {
  return w->up && !w->gone && sim_now() >= w->hang_until;
}

static void check_lease(worker *w) {
  if (sim_now() <= w->last_ok + LEASE_S) return;
  for (guint i = 0; i < w->tasks->len; i++) g_free(w->tasks->pdata[i]);
  g_result.lease_kills += w->tasks->len;
  g_ptr_array_set_size(w->tasks, 0);
  w->session++;
  w->last_ok = sim_now();
  w->changed = true;
}

static void on_report_reply(int status, const char *body, void *arg) {
  worker *w = arg;
  w->in_flight = false;
  if (!alive(w)) return;
  check_lease(w);
  json_t *v = status == 200 || status == 421 ? json_loads(body, 0, NULL) : NULL;
  if (status == 200 && v && w->sent_session == w->session) {
    uint64_t token = (uint64_t)json_integer_value(json_object_get(v, "captaincy"));
    if (token >= w->token) {
      if (token > w->token) w->changed = true;
      w->token = token;
      w->last_ok = w->sent_at;
      execute(w, json_object_get(v, "calls"));
    }
  } else if (status == 421 && v && json_object_get(v, "coach")) {
    const char *name = json_string_value(json_object_get(v, "coach"));
    int n = atoi(name + strlen("paddock-"));
    w->next_report = sim_now() + (n == w->node ? 1 : sim_draw(0, 0.5));
    if (n == w->node)
      w->node = (w->node + 1) % WORLD_NODES;
    else
      w->node = n;
  } else {
    w->node = (w->node + 1) % WORLD_NODES;
    w->next_report = sim_now() + 1;
  }
  json_decref(v);
}

static void worker_report(worker *w) {
  w->in_flight = true;
  w->sent_at = w->last_sent = sim_now();
  w->sent_session = w->session;
  w->changed = false;
  w->next_report = sim_now() + REPORT_S * sim_draw(0.75, 1.25);
  char *s = report_of(w);
  sim_call(w->ip, WORLD_NODE_IP(w->node), "POST", "/checkin", s, 4, on_report_reply, w);
  free(s);
}

static void worker_orders(const sim_request *r, void *arg) {
  worker *w = arg;
  check_lease(w);
  json_t *v = json_loads(r->body, 0, NULL);
  bool ok = (uint64_t)json_integer_value(json_object_get(v, "captaincy")) >= w->token &&
            (uint64_t)json_integer_value(json_object_get(v, "stint")) == w->session;
  if (ok) {
    uint64_t token = (uint64_t)json_integer_value(json_object_get(v, "captaincy"));
    if (token > w->token) w->changed = true;
    w->token = token;
    execute(w, json_object_get(v, "calls"));
  }
  json_decref(v);
  char *s = report_of(w);
  sim_answer(r->exchange, ok ? 200 : 409, s);
  free(s);
}

typedef struct gang_view {
  task *t;
  unsigned present, ready;
} gang_view;

static void see_gang(worker *w, task *t, void *arg) {
  gang_view *g = arg;
  if (t->job != g->t->job || t->attempt != g->t->attempt || w->hang_until > sim_now()) return;
  g->present++;
}

static void finish(worker *w, task *t) {
  job *j = t->job;
  if (!j->done[t->index]) {
    j->done[t->index] = true;
    j->done_count++;
  }
  exit_task(w, t, "done");
}

static void task_step(worker *w, task *t) {
  job *j = t->job;
  double now = sim_now();
  if (t->state == T_FETCHING && now >= t->until) {
    bool gang = strcmp(j->kind, "gang") == 0;
    t->state = gang ? T_WAITING : T_RUNNING;
    t->since = now;
    t->until = now + j->run_s;
    w->changed = true;
    check_start(w, t);
    /* The result of a finished task is kept. */
    if (j->done[t->index]) finish(w, t);
  }
  if (strcmp(j->kind, "gang") == 0 && (t->state == T_WAITING || t->state == T_RUNNING)) {
    gang_view g = {.t = t};
    each_on_machine(see_gang, &g);
    if (t->state == T_WAITING && g.present == j->tasks) {
      t->state = T_RUNNING;
      t->until = now + j->run_s;
      w->changed = true;
    } else if (t->state == T_WAITING && now > t->since + GANG_WAIT_S) {
      exit_task(w, t, "incomplete");
    } else if (t->state == T_RUNNING && g.present < j->tasks && !j->done[0]) {
      if (!t->broken_at) t->broken_at = now;
      if (now > t->broken_at + GANG_PEER_S * 0.8) exit_task(w, t, "mates_gone");
    } else if (t->state == T_RUNNING && now >= t->until) {
      /* They complete together. */
      for (unsigned i = 0; i < j->tasks; i++) j->done[i] = true;
      j->done_count = j->tasks;
      finish(w, t);
    }
  } else if (t->state == T_RUNNING && strcmp(j->kind, "sweep") == 0 && now >= t->until) {
    finish(w, t);
  }
  if (t->job && t->state != T_EXITED && t->state != T_FETCHING && j->told_cancelled && now > j->cancelled_at + CANCEL_S)
    world_broke("ran_cancelled", j->id);
}

static void worker_step(void *arg) {
  worker *w = arg;
  if (w->gone) return;
  double now = sim_now();
  if (!w->up && now >= w->up_at) {
    w->up = true;
    w->last_ok = now;
    w->session = 1;
    w->next_report = now;
  }
  if (w->taken_at > 0 && now >= w->taken_at) {
    w->gone = true;
    return;
  }
  if (alive(w)) {
    check_lease(w);
    for (guint i = 0; i < w->tasks->len; i++) {
      task *t = w->tasks->pdata[i];
      if (t->state != T_EXITED) task_step(w, t);
    }
    bool due = now >= w->next_report || (w->changed && now >= w->last_sent + 0.5);
    if (!w->in_flight && due && now >= w->lost_until) worker_report(w);
  }
  sim_after(STEP_S, worker_step, w);
}

static worker *worker_new(int zone, bool spot, double boot_s) {
  worker *w = g_new0(worker, 1);
  g_snprintf(w->id, sizeof w->id, "vm-%06u", g_next_machine++);
  w->ip = IP(10, 1, 0, 0) + ++g_next_ip;
  w->zone = zone;
  w->spot = spot;
  w->born = sim_now();
  w->up_at = sim_now() + boot_s;
  w->tasks = g_ptr_array_new();
  w->node = g_rand_int_range(sim_rand(), 0, WORLD_NODES);
  g_hash_table_insert(g_workers, w->id, w);
  g_hash_table_insert(g_by_ip, GUINT_TO_POINTER(w->ip), w);
  g_ptr_array_add(g_order, w);
  sim_serve(w->ip, worker_orders, w);
  sim_after(STEP_S, worker_step, w);
  return w;
}

/* ---- cloud ---- */

static unsigned rented(int zone, bool spot) {
  unsigned n = 0;
  for (guint i = 0; i < g_order->len; i++) {
    worker *w = g_order->pdata[i];
    n += !w->gone && w->zone == zone && w->spot == spot;
  }
  return n;
}

static void cloud_hire(const sim_request *r) {
  json_t *v = json_loads(r->body, 0, NULL);
  const char *name = json_string_value(json_object_get(v, "hire"));
  json_t *known = g_hash_table_lookup(g_hires, name);
  if (!known) {
    int zone = strcmp(json_string_value(json_object_get(v, "ground")), "a") == 0 ? 0 : 1;
    bool spot = json_is_true(json_object_get(v, "loaners"));
    json_int_t count = json_integer_value(json_object_get(v, "count"));
    unsigned most = spot ? 3 : 5;
    json_t *ids = json_array();
    while (count-- > 0 && rented(zone, spot) < most) {
      double boot = sim_chance(0.05) ? 1e9 : sim_draw(0.5, 20);
      json_array_append_new(ids, json_string(worker_new(zone, spot, boot)->id));
    }
    if (json_array_size(ids) > 0) {
      known = json_pack("{so}", "paddocks", ids);
      g_hash_table_insert(g_hires, g_strdup(name), known);
    } else {
      json_decref(ids);
    }
  }
  json_decref(v);
  if (!known) {
    sim_answer(r->exchange, 503, "{\"error\":\"no capacity\"}");
    return;
  }
  char *s = json_dumps(known, JSON_COMPACT);
  sim_answer(r->exchange, 200, s);
  free(s);
}

static void cloud_serve(const sim_request *r, void *arg) {
  (void)arg;
  if (strcmp(r->path, "/flavors") == 0) {
    sim_answer(r->exchange, 200,
               "{\"builds\":[{\"name\":\"g4\",\"cpus\":40,\"gpus\":4,\"memGb\":400,\"cacheGb\":100,\"pullGbPerS\":1,"
               "\"price\":10,\"marketPrice\":3,\"bootS\":10,\"grounds\":[\"a\",\"b\"]}]}");
  } else if (strcmp(r->path, "/hosts") == 0) {
    cloud_hire(r);
  } else if (strcmp(r->path, "/hosts/release") == 0) {
    json_t *v = json_loads(r->body, 0, NULL), *id;
    size_t i;
    json_array_foreach(json_object_get(v, "paddocks"), i, id) {
      worker *w = g_hash_table_lookup(g_workers, json_string_value(id));
      if (w) w->gone = true;
    }
    json_decref(v);
    sim_answer(r->exchange, 200, "{}");
  } else {
    json_t *list = json_array();
    for (guint i = 0; i < g_order->len; i++) {
      const worker *w = g_order->pdata[i];
      if (w->gone || sim_now() < w->born + 10) continue; /* the list is late */
      json_array_append_new(
          list, json_pack("{ss ss ss sb ss sf}", "id", w->id, "build", "g4", "ground", k_zones[w->zone], "loaners",
                          (int)w->spot, "status", w->up ? "running" : "starting", "ageS", sim_now() - w->born));
    }
    json_t *v = json_pack("{so sb}", "paddocks", list, "more", 0);
    char *s = json_dumps(v, JSON_COMPACT);
    json_decref(v);
    sim_answer(r->exchange, 200, s);
    free(s);
  }
}

/* ---- users ---- */

static int any_node(void) {
  return g_rand_int_range(sim_rand(), 0, WORLD_NODES);
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
  sim_call(WORLD_USER_IP, WORLD_NODE_IP(any_node()), "POST", "/api/jobs", j->body, 5, on_submitted, ask(j));
}

static void on_repeated(int status, const char *body, void *arg) {
  question *q = arg;
  if (status == 200) read_status(q, body);
  if (status == 201 || status == 400 || status == 422) world_broke("forgotten", "a repeated submission");
  g_free(q);
}

static void on_poll(int status, const char *body, void *arg) {
  question *q = arg;
  if (status == 404) world_broke("forgotten", q->j->id);
  if (status == 200) read_status(q, body);
  g_free(q);
}

static void user_poll(void *arg) {
  job *j = arg;
  char path[64];
  g_snprintf(path, sizeof path, "/api/jobs/%s", j->id);
  sim_call(WORLD_USER_IP, WORLD_NODE_IP(any_node()), "GET", path, "", 2, on_poll, ask(j));
  if (sim_chance(0.1))
    sim_call(WORLD_USER_IP, WORLD_NODE_IP(any_node()), "POST", "/api/jobs", j->body, 5, on_repeated, ask(j));
  sim_after(j->over ? sim_draw(10, 30) : sim_draw(4, 6), user_poll, j);
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

static void user_cancel(void *arg) {
  job *j = arg;
  if (j->over) return;
  j->cancel_asked = true;
  char path[80];
  g_snprintf(path, sizeof path, "/api/jobs/%s/withdraw", j->id);
  sim_call(WORLD_USER_IP, WORLD_NODE_IP(any_node()), "POST", path, "", 5, on_cancelled, ask(j));
}

static void on_unknown(int status, const char *body, void *arg) {
  (void)body;
  (void)arg;
  if (status == 200) world_broke("invented", "a job nobody submitted");
}

static void ask_unknown(void *arg) {
  (void)arg;
  sim_call(WORLD_USER_IP, WORLD_NODE_IP(any_node()), "GET", "/api/jobs/job-999999", "", 2, on_unknown, NULL);
  sim_after(sim_draw(5, 15), ask_unknown, NULL);
}

static void job_new(unsigned n, double busy_s) {
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
  j->done = g_new0(bool, j->tasks);
  j->submit_at = sim_draw(0, busy_s);
  /* Services are cancelled in the end, others now and then. */
  if (strcmp(j->kind, "service") == 0)
    j->cancel_at = sim_draw(20, 100);
  else if (sim_chance(0.1))
    j->cancel_at = sim_draw(0, 40);
  char *s = g_strdup_printf(
      "{\"id\":\"%s\",\"squad\":\"%s\",\"club\":\"%s\",\"play\":\"%s\",\"rank\":\"%s\",\"runs\":%u,\"cpus\":%f,"
      "\"gpus\":%f,\"memGb\":8,\"kit\":\"img-%u\",\"pullGb\":1,\"builds\":null,\"ground\":null,\"samePlace\":%s,"
      "\"scatter\":%s,\"loaners\":%s,\"expectS\":10,\"markS\":0,\"stowS\":0,\"whistleS\":null}",
      j->id, j->kind, j->team, j->kind, j->rank, j->tasks, j->cpus, j->gpus, n % 4, j->one_zone ? "true" : "false",
      j->spread ? "true" : "false", j->spot ? "true" : "false");
  j->body = s;
  g_hash_table_insert(g_jobs, j->id, j);
  g_result.submitted++;
  sim_after(j->submit_at, user_submit, j);
}

/* ---- controllers and faults ---- */

static void node_start(void *arg) {
  const char *why = NULL;
  if (!fc_controller_start(arg, &why)) world_broke("start", why);
}

static void node_boot(void *arg) {
  fc_settings *s = arg;
  uint32_t ip = ntohl(s->client_at.ip);
  if (!sim_process_alive(ip)) sim_process_start(ip, node_start, s);
}

static void crash(int node) {
  g_result.crashes++;
  sim_process_kill(WORLD_NODE_IP(node));
  /* About four seconds, and now and then within a fraction of one. */
  sim_after(sim_chance(0.25) ? sim_draw(0.05, 0.5) : sim_draw(3.5, 4.5), node_boot, &g_settings[node]);
}

static void state_up(void *arg) {
  (void)arg;
  state_down(false);
}

static worker *any_worker(void) {
  if (g_order->len == 0) return NULL;
  return g_order->pdata[g_rand_int_range(sim_rand(), 0, (gint32)g_order->len)];
}

static void fault(void *arg) {
  double end = *(double *)arg;
  if (sim_now() > end) return;
  g_result.faults++;
  double k = sim_draw(0, 12), now = sim_now();
  sim_link mode = sim_chance(0.5) ? SIM_HELD : SIM_RESET;
  double length = sim_draw(3, 30);
  if (g_verbose) g_printerr("%.1f fault %.2f length %.1f\n", now, k, length);
  if (k < 3) {
    crash(any_node());
    if (sim_chance(0.3)) crash(any_node());
  } else if (k < 3.5) {
    for (int i = 0; i < WORLD_NODES; i++) crash(i);
  } else if (k < 5) {
    state_down(true);
    sim_after(sim_draw(2, 25), state_up, NULL);
  } else if (k < 6) {
    g_refuse_until[any_node()] = now + length;
  } else if (k < 9.5) {
    cut c = {.kind = (int)sim_draw(0, 5), .node = any_node(), .until = now + length, .mode = mode};
    if (c.kind == CUT_ZONES) c.node = -1;
    g_array_append_val(g_cuts, c);
  } else {
    worker *w = any_worker();
    if (!w || w->gone || !w->up) {
      /* nothing to break */
    } else if (k < 10.5) {
      w->hang_until = now + length;
    } else if (k < 11.3) {
      cut c = {.kind = CUT_WORKER, .node = -1, .ip = w->ip, .until = now + length, .mode = mode};
      g_array_append_val(g_cuts, c);
    } else {
      if (w->spot && sim_chance(0.5)) {
        w->notice_at = now;
        w->taken_at = now + sim_draw(5, 15);
      } else {
        w->gone = true;
      }
    }
  }
  sim_after(sim_draw(1, 16), fault, arg);
}

static void settings_of(int n) {
  fc_settings *s = &g_settings[n];
  memset(s, 0, sizeof *s);
  s->name = g_strdup_printf("paddock-%d", n);
  s->zone = (char *)k_zones[n == 1];
  s->client_at = (fc_endpoint){htonl(WORLD_NODE_IP(n)), 8080};
  s->peer_at = (fc_endpoint){htonl(WORLD_NODE_IP(n)), 8081};
  s->cloud_at = (fc_endpoint){htonl(WORLD_CLOUD_IP), 8443};
  s->state_at = (fc_endpoint){htonl(WORLD_STATE_IP), 2379};
  for (int k = 0; k < WORLD_NODES; k++) {
    if (k == n) continue;
    fc_peer_settings *p = &s->peers[s->peer_count++];
    p->name = g_strdup_printf("paddock-%d", k);
    p->zone = (char *)k_zones[k == 1];
    p->peer_at = (fc_endpoint){htonl(WORLD_NODE_IP(k)), 8081};
  }
  s->zone_count = 2;
  s->zones[0] = (char *)k_zones[0];
  s->zones[1] = (char *)k_zones[1];
  s->team_count = 2;
  s->teams[0] = (fc_team_settings){.name = (char *)"red", .gpus = 8};
  s->teams[1] = (fc_team_settings){.name = (char *)"blue", .gpus = 6, .gpus_max = 12};
  s->report_s = REPORT_S;
  s->lease_s = LEASE_S;
  s->cancel_s = CANCEL_S;
  s->gang_wait_s = GANG_WAIT_S;
  s->gang_peer_s = GANG_PEER_S;
  s->state_rps = 120;
  s->state_write_rps = 40;
  s->state_value_kb = 8;
  s->state_txn_ops = 8;
  s->cloud_rps = 4;
  s->memory_mb = 56;
  s->fd_limit = 900;
  fc_operator_defaults(&s->op);
}

bool world_give_notice(double in_s) {
  for (guint i = 0; i < g_order->len; i++) {
    worker *w = g_order->pdata[i];
    if (w->gone || !w->up || !w->spot || w->tasks->len == 0) continue;
    w->notice_at = sim_now();
    w->taken_at = sim_now() + in_s;
    w->changed = true;
    return true;
  }
  return false;
}

/* A job that only the workers know of so far: users upload descriptions. */
void world_add_job(const char *id, const char *kind, unsigned tasks, double gpus, double run_s) {
  job *j = g_new0(job, 1);
  g_strlcpy(j->id, id, sizeof j->id);
  j->kind = kind;
  j->team = "red";
  j->tasks = tasks;
  j->gpus = j->cpus = gpus;
  j->run_s = run_s;
  j->spot = j->submitting = true;
  j->done = g_new0(bool, tasks);
  g_hash_table_insert(g_jobs, j->id, j);
}

void world_set_up(uint32_t seed, double lose) {
  g_causes = g_hash_table_new(g_str_hash, g_str_equal);
  g_verbose = g_getenv("WORLD_VERBOSE") != NULL;
  memset(&g_result, 0, sizeof g_result);
  memset(g_refuse_until, 0, sizeof g_refuse_until);
  g_jobs = g_hash_table_new(g_str_hash, g_str_equal);
  g_workers = g_hash_table_new(g_str_hash, g_str_equal);
  g_hires = g_hash_table_new(g_str_hash, g_str_equal);
  g_by_ip = g_hash_table_new(NULL, NULL);
  g_order = g_ptr_array_new();
  g_cuts = g_array_new(FALSE, FALSE, sizeof(cut));
  g_next_machine = g_next_ip = 0;
  sim_init(seed);
  sim_set_links(link_now, lose, lose);
  state_init();
  sim_serve(WORLD_CLOUD_IP, cloud_serve, NULL);
  for (int n = 0; n < WORLD_NODES; n++) settings_of(n);
}

void world_start_nodes(void) {
  for (int n = 0; n < WORLD_NODES; n++) sim_after(sim_draw(0, 0.3), node_boot, &g_settings[n]);
}

unsigned world_machines(void) {
  return g_order->len;
}

world_result world_play(uint32_t seed, double busy_s, double quiet_s) {
  world_set_up(seed, 0.002);
  world_start_nodes();
  for (int i = 0; i < 3; i++) (void)worker_new(i % 2, false, 0);
  for (unsigned i = 1; i <= (unsigned)(busy_s / 8); i++) job_new(i, busy_s);
  ask_unknown(NULL);
  static double end;
  end = sim_now() + busy_s;
  sim_after(15, fault, &end);
  sim_run_until(end + quiet_s);
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, g_jobs);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    const job *j = value;
    if (j->over) continue;
    g_result.unfinished++;
    if (g_verbose)
      g_printerr("unfinished %s %s tasks=%u done=%u gpus=%.0f one_zone=%d team=%s\n", j->id, j->kind, j->tasks,
                 j->done_count, j->gpus, j->one_zone, j->team);
  }
  for (guint i = 0; g_verbose && i < g_order->len; i++) {
    const worker *w = g_order->pdata[i];
    if (!w->gone)
      g_printerr("machine %s zone=%s spot=%d up=%d up_at=%.0f tasks=%u\n", w->id, k_zones[w->zone], w->spot, w->up,
                 w->up_at, w->tasks->len);
  }
  return g_result;
}
