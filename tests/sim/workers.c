/* Workers: they carry out commands, keep leases, and check the rules where a
 * task starts. */
#include "parts.h"

static unsigned g_next_machine, g_next_ip;
double g_fetch_s;

void world_images_there(void) {
  g_fetch_s = 0;
}

static const char *const k_tstate[] = {"pulling", "waiting", "running", "exited"};

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
  j->starts++;
  j->last_start = sim_now();
  g_result.done_starts += j->done[t->index];
  if (!j->started_at) j->started_at = sim_now();
  if (!j->began_at && strcmp(j->kind, "gang") != 0) j->began_at = sim_now();
  start_check c = {.w = w, .t = t};
  each_on_machine(check_other, &c); /* counts this task too */
  if (g_verbose)
    g_printerr("%.2f on machine %s/%u %s team=%s gpus=%.0f in use=%.0f\n", sim_now(), j->id, t->index, w->id, j->team,
               j->gpus, c.gpus);
  if (strcmp(j->team, "blue") == 0 && c.gpus > BLUE_GPUS_MAX + 1e-6) world_broke("quota", j->id);
  if (w->spot && !j->spot) world_broke("wrong_place", "spot");
  if (j->one_zone && c.elsewhere > 0) world_broke("wrong_place", j->id);
  if (j->spread && c.in_zone > (j->tasks + 1) / 2) world_broke("wrong_place", j->id);
  if (j->told_cancelled && sim_now() > j->cancelled_at + CANCEL_S) world_broke("ran_cancelled", j->id);
  if (j->told_cancelled) g_result.late_starts++;
  if (j->zone && strcmp(j->zone, world_zones[w->zone]) != 0) world_broke("wrong_place", j->id);
  if (!j->told_accepted && !j->submitting) world_broke("invented", j->id);
  if (isinf(job_ready_at(j))) world_broke("too_early", j->id);
}

typedef struct task_search {
  const char *id;
  int index; /* -1: any */
  unsigned count;
  worker *on;
} task_search;

static void see_task(worker *w, task *t, void *arg) {
  task_search *s = arg;
  if (strcmp(t->job_id, s->id) != 0 || (s->index >= 0 && t->index != (unsigned)s->index)) return;
  s->count++;
  s->on = w;
}

unsigned world_tasks_of(const char *id) {
  task_search s = {.id = id, .index = -1};
  each_on_machine(see_task, &s);
  return s.count;
}

unsigned world_starts_of(const char *id) {
  const job *j = g_hash_table_lookup(g_jobs, id);
  return j->starts;
}

int world_machine_of(const char *id, unsigned index) {
  task_search s = {.id = id, .index = (int)index};
  each_on_machine(see_task, &s);
  guint at;
  return s.on && g_ptr_array_find(g_order, s.on, &at) ? (int)at : -1;
}

/* How many tasks of the job the machine has room for. */
static unsigned room_for(const worker *w, const job *j) {
  if (w->gone || !w->up || w->hang_until > sim_now() || w->notice_at > 0) return 0;
  if ((w->spot && !j->spot) || (j->zone && strcmp(j->zone, world_zones[w->zone]) != 0)) return 0;
  double cpus = 40, gpus = 4;
  for (guint i = 0; i < w->tasks->len; i++) {
    const task *t = w->tasks->pdata[i];
    if (t->state == T_EXITED || !t->job) continue;
    cpus -= t->job->cpus;
    gpus -= t->job->gpus;
  }
  return (unsigned)MAX(0, MIN(cpus / j->cpus, gpus / j->gpus) + 1e-6);
}

static bool anywhere(const job *j) {
  for (guint i = 0; i < g_order->len; i++) {
    const worker *w = g_order->pdata[i];
    for (guint k = 0; !w->gone && k < w->tasks->len; k++) {
      const task *t = w->tasks->pdata[k];
      if (t->job == j && t->state != T_EXITED) return true;
    }
  }
  return false;
}

typedef struct team_use {
  const char *team;
  double gpus;
} team_use;

static void add_use(worker *w, task *t, void *arg) {
  (void)w;
  team_use *u = arg;
  if (t->job && strcmp(t->job->team, u->team) == 0) u->gpus += t->job->gpus;
}

/* Could it begin now? Of a gang all tasks at once. */
static bool could_begin(const job *j) {
  bool gang = strcmp(j->kind, "gang") == 0;
  unsigned need = gang ? j->tasks : 1, in[2] = {0, 0};
  team_use use = {.team = j->team};
  each_on_machine(add_use, &use);
  if (strcmp(j->team, "blue") == 0 && use.gpus + need * j->gpus > 12 + 1e-6) return false;
  for (guint i = 0; i < g_order->len; i++) {
    const worker *w = g_order->pdata[i];
    in[w->zone] += room_for(w, j);
  }
  return j->one_zone ? MAX(in[0], in[1]) >= need : in[0] + in[1] >= need;
}

static void check_waits(void *arg) {
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, g_jobs);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    job *j = value;
    bool waits = j->told_accepted && !j->over && !j->cancel_asked && j->done_count < j->tasks && !anywhere(j);
    if (!waits || !could_begin(j)) {
      j->waits_since = 0;
    } else if (!j->waits_since) {
      j->waits_since = sim_now();
    } else if (sim_now() > j->waits_since + WAITS_S) {
      world_broke("waits beside room", j->id);
    }
  }
  sim_after(1, check_waits, arg);
}

void world_troubles_end(double in_s) {
  sim_after(in_s, check_waits, NULL);
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
  double cpus = MACHINE_CPUS, gpus = MACHINE_GPUS;
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
    t->until = sim_now() + (g_fetch_s > 0 ? sim_draw(0.2, g_fetch_s) : 0);
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
                        world_zones[w->zone], "loaners", (int)w->spot, "stint", (json_int_t)w->session, "tally",
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
  if (g_verbose && w->tasks->len > 0) g_printerr("%.2f lease over %s tasks=%u\n", sim_now(), w->id, w->tasks->len);
  for (guint i = 0; i < w->tasks->len; i++) g_free(w->tasks->pdata[i]);
  g_result.lease_kills += w->tasks->len;
  g_ptr_array_set_size(w->tasks, 0);
  w->session++;
  w->last_ok = sim_now();
  w->changed = true;
}

static void on_report_reply(int status, const char *body, void *arg) {
  worker *w = arg;
  if (status != 200) w->connection = 0;
  if (w->sent_life != w->life) return; /* the connection is gone with the earlier life */
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

/* A report that is delivered once more, seconds to leases late, perhaps to
 * another controller, perhaps when the machine has long been returned. Nobody
 * reads the answer. */
typedef struct copy {
  uint32_t from, to;
  char *body;
} copy;

static void on_copy_reply(int status, const char *body, void *arg) {
  (void)status;
  (void)body;
  (void)arg;
}

static void deliver_copy(void *arg) {
  copy *c = arg;
  sim_call(c->from, c->to, "POST", "/checkin", c->body, 4, on_copy_reply, NULL);
  g_free(c->body);
  g_free(c);
}

void world_report_later(unsigned at, unsigned node, double in_s) {
  worker *w = g_order->pdata[at];
  char *s = report_of(w);
  copy *c = g_new(copy, 1);
  *c = (copy){w->ip, WORLD_NODE_IP(node), g_strdup(s)};
  sim_after(in_s, deliver_copy, c);
  free(s);
}

static void worker_report(worker *w) {
  w->in_flight = true;
  w->sent_at = w->last_sent = sim_now();
  w->sent_session = w->session;
  w->sent_life = w->life;
  w->changed = false;
  w->next_report = sim_now() + REPORT_S * sim_draw(0.75, 1.25);
  char *s = report_of(w);
  if (!w->connection) w->connection = sim_connection();
  /* Mute: it goes to an address where nobody is. */
  uint32_t to = w->mute_until > sim_now() ? IP(10, 9, 9, 9) : WORLD_NODE_IP(w->node);
  sim_call_on(w->connection, w->ip, to, "/checkin", s, 4, on_report_reply, w);
  if (sim_chance(g_copies)) {
    copy *c = g_new(copy, 1);
    *c = (copy){w->ip, WORLD_NODE_IP(sim_chance(0.5) ? w->node : world_any_node()), g_strdup(s)};
    sim_after(sim_draw(0.5, 3 * LEASE_S), deliver_copy, c);
  }
  free(s);
}

void worker_reborn(worker *w) {
  for (guint i = 0; i < w->tasks->len; i++) g_free(w->tasks->pdata[i]);
  g_ptr_array_set_size(w->tasks, 0);
  w->life++;
  w->session = 1;
  w->seq = w->token = 0;
  w->last_ok = w->next_report = sim_now();
  w->in_flight = false;
  w->connection = 0;
  w->node = world_any_node();
}

void workers_init(void) {
  g_causes = g_hash_table_new(g_str_hash, g_str_equal);
  g_workers = g_hash_table_new(g_str_hash, g_str_equal);
  g_by_ip = g_hash_table_new(NULL, NULL);
  g_order = g_ptr_array_new();
  g_next_machine = g_next_ip = 0;
  g_fetch_s = 3;
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
    if (++j->done_count == j->tasks) users_job_ends(j);
  }
  exit_task(w, t, "done");
}

static bool is_gang(const job *j) {
  return strcmp(j->kind, "gang") == 0;
}

static void image_fetched(worker *w, task *t) {
  job *j = t->job;
  double now = sim_now();
  t->state = is_gang(j) ? T_WAITING : T_RUNNING;
  t->since = now;
  t->until = now + j->run_s + j->later_s * t->index;
  w->changed = true;
  check_start(w, t);
  /* The result of a finished task is kept. */
  if (j->done[t->index]) finish(w, t);
}

/* They complete together. */
static void gang_completes(worker *w, task *t) {
  job *j = t->job;
  for (unsigned i = 0; i < j->tasks; i++) j->done[i] = true;
  if (j->done_count < j->tasks) users_job_ends(j);
  j->done_count = j->tasks;
  finish(w, t);
}

static void waiting_gang_step(worker *w, task *t, unsigned present) {
  job *j = t->job;
  double now = sim_now();
  if (present == j->tasks) {
    t->state = T_RUNNING;
    t->until = now + j->run_s;
    w->changed = true;
    if (!j->began_at) j->began_at = now;
  } else if (now > t->since + GANG_WAIT_S) {
    exit_task(w, t, "incomplete");
  }
}

static void running_gang_step(worker *w, task *t, unsigned present) {
  job *j = t->job;
  double now = sim_now();
  if (present < j->tasks && !j->done[0]) {
    if (!t->broken_at) t->broken_at = now;
    if (now > t->broken_at + GANG_PEER_S * 0.8) exit_task(w, t, "mates_gone");
  } else if (now >= t->until) {
    gang_completes(w, t);
  }
}

static void gang_step(worker *w, task *t) {
  gang_view g = {.t = t};
  each_on_machine(see_gang, &g);
  if (t->state == T_WAITING) {
    waiting_gang_step(w, t, g.present);
  } else {
    running_gang_step(w, t, g.present);
  }
}

static void task_step(worker *w, task *t) {
  job *j = t->job;
  double now = sim_now();
  if (t->state == T_FETCHING && now >= t->until) image_fetched(w, t);
  if (is_gang(j) && (t->state == T_WAITING || t->state == T_RUNNING)) {
    gang_step(w, t);
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
    if (w->up_at < now) g_result.lease_left_s = MIN(g_result.lease_left_s, MAX(0, w->last_ok + LEASE_S - now));
    check_lease(w);
    for (guint i = 0; i < w->tasks->len; i++) {
      task *t = w->tasks->pdata[i];
      if (t->state != T_EXITED) task_step(w, t);
    }
    bool due = now >= w->next_report || (w->changed && now >= w->last_sent + 0.5);
    if (!w->in_flight && due && w->up) worker_report(w);
  }
  sim_after(STEP_S, worker_step, w);
}

worker *worker_new(int zone, bool spot, double boot_s) {
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
