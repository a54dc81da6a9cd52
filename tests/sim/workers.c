/* Workers: they carry out commands, keep leases, and check the rules where a
 * task starts. */
#include "stand_ins.h"

static unsigned g_next_machine, g_next_ip;
double g_image_fetch_max_s;

void world_images_there(void) {
  g_image_fetch_max_s = 0;
}

static const char *const k_tstate[] = {"pulling", "waiting", "running", "exited"};

/* From the moment it has its image until it exits, or its lease is over. */
static bool on_machine(const sim_worker *worker, const sim_task *task) {
  if (worker->terminated || !worker->up) return false;
  if (task->state != TASK_WAITING && task->state != TASK_RUNNING) return false;
  return sim_now() <= worker->lease_renewed_at + LEASE_S;
}

static void each_on_machine(void (*fn)(sim_worker *worker, sim_task *task, void *arg), void *arg) {
  for (guint i = 0; i < g_worker_list->len; i++) {
    sim_worker *worker = g_worker_list->pdata[i];
    for (guint k = 0; k < worker->tasks->len; k++) {
      sim_task *task = worker->tasks->pdata[k];
      if (on_machine(worker, task)) fn(worker, task, arg);
    }
  }
}

typedef struct start_check {
  sim_worker *worker;
  sim_task *task;
  double cpus, gpus;
  unsigned in_zone, elsewhere;
} start_check;

static void check_other(sim_worker *on, sim_task *other, void *arg) {
  start_check *check = arg;
  if (!other->job) return;
  if (strcmp(other->job->team, check->task->job->team) == 0) {
    check->cpus += other->job->cpus;
    check->gpus += other->job->gpus;
  }
  if (other->job != check->task->job) return;
  if (other->index == check->task->index && (on != check->worker || other != check->task)) {
    char detail[160];
    g_snprintf(detail, sizeof detail, "%s/%u on %s and %s", other->job->id, other->index, on->id, check->worker->id);
    world_broke("ran_twice", detail);
  }
  check->in_zone += on->zone == check->worker->zone;
  check->elsewhere += on->zone != check->worker->zone;
}

/* The task has its image: from here it is on its machine. */
static void check_start(sim_worker *worker, sim_task *task) {
  g_result.starts++;
  sim_job *job = task->job;
  job->starts++;
  job->last_started_at = sim_now();
  g_result.done_starts += job->done[task->index];
  if (!job->first_started_at) job->first_started_at = sim_now();
  if (!job->began_at && strcmp(job->kind, "gang") != 0) job->began_at = sim_now();
  start_check check = {.worker = worker, .task = task};
  each_on_machine(check_other, &check); /* counts this task too */
  if (g_verbose)
    g_printerr("%.2f on machine %s/%u %s team=%s gpus=%.0f in use=%.0f\n", sim_now(), job->id, task->index, worker->id,
               job->team, job->gpus, check.gpus);
  if (strcmp(job->team, "blue") == 0 && check.gpus > BLUE_GPUS_MAX + 1e-6) world_broke("quota", job->id);
  if (worker->spot && !job->spot) world_broke("wrong_place", "spot");
  if (job->one_zone && check.elsewhere > 0) world_broke("wrong_place", job->id);
  if (job->spread && check.in_zone > (job->tasks + 1) / 2) world_broke("wrong_place", job->id);
  if (job->seen_cancelled && sim_now() > job->seen_cancelled_at + CANCEL_DEADLINE_S)
    world_broke("ran_cancelled", job->id);
  if (job->seen_cancelled) g_result.late_starts++;
  if (job->zone && strcmp(job->zone, world_zones[worker->zone]) != 0) world_broke("wrong_place", job->id);
  if (!job->seen_accepted && !job->submitting) world_broke("invented", job->id);
  if (isinf(job_ready_at(job))) world_broke("too_early", job->id);
}

typedef struct task_search {
  const char *id;
  int index; /* -1: any */
  unsigned count;
  sim_worker *on;
} task_search;

static void see_task(sim_worker *worker, sim_task *task, void *arg) {
  task_search *search = arg;
  if (strcmp(task->job_id, search->id) != 0 || (search->index >= 0 && task->index != (unsigned)search->index)) return;
  search->count++;
  search->on = worker;
}

unsigned world_tasks_of(const char *id) {
  task_search search = {.id = id, .index = -1};
  each_on_machine(see_task, &search);
  return search.count;
}

unsigned world_starts_of(const char *id) {
  const sim_job *job = g_hash_table_lookup(g_jobs, id);
  return job->starts;
}

int world_machine_of(const char *id, unsigned index) {
  task_search search = {.id = id, .index = (int)index};
  each_on_machine(see_task, &search);
  guint at;
  return search.on && g_ptr_array_find(g_worker_list, search.on, &at) ? (int)at : -1;
}

/* How many tasks of the job the machine has room for. */
static unsigned room_for(const sim_worker *worker, const sim_job *job) {
  if (worker->terminated || !worker->up || worker->hung_until > sim_now() || worker->preemption_notice_at > 0) return 0;
  if ((worker->spot && !job->spot) || (job->zone && strcmp(job->zone, world_zones[worker->zone]) != 0)) return 0;
  double cpus = 40, gpus = 4;
  for (guint i = 0; i < worker->tasks->len; i++) {
    const sim_task *task = worker->tasks->pdata[i];
    if (task->state == TASK_EXITED || !task->job) continue;
    cpus -= task->job->cpus;
    gpus -= task->job->gpus;
  }
  return (unsigned)MAX(0, MIN(cpus / job->cpus, gpus / job->gpus) + 1e-6);
}

static bool anywhere(const sim_job *job) {
  for (guint i = 0; i < g_worker_list->len; i++) {
    const sim_worker *worker = g_worker_list->pdata[i];
    for (guint k = 0; !worker->terminated && k < worker->tasks->len; k++) {
      const sim_task *task = worker->tasks->pdata[k];
      if (task->job == job && task->state != TASK_EXITED) return true;
    }
  }
  return false;
}

typedef struct team_use {
  const char *team;
  double gpus;
} team_use;

static void add_use(sim_worker *worker, sim_task *task, void *arg) {
  (void)worker;
  team_use *use = arg;
  if (task->job && strcmp(task->job->team, use->team) == 0) use->gpus += task->job->gpus;
}

/* Could it begin now? Of a gang all tasks at once. */
static bool could_begin(const sim_job *job) {
  bool gang = strcmp(job->kind, "gang") == 0;
  unsigned need = gang ? job->tasks : 1, room[2] = {0, 0};
  team_use use = {.team = job->team};
  each_on_machine(add_use, &use);
  if (strcmp(job->team, "blue") == 0 && use.gpus + need * job->gpus > 12 + 1e-6) return false;
  for (guint i = 0; i < g_worker_list->len; i++) {
    const sim_worker *worker = g_worker_list->pdata[i];
    room[worker->zone] += room_for(worker, job);
  }
  return job->one_zone ? MAX(room[0], room[1]) >= need : room[0] + room[1] >= need;
}

static void check_waits(void *arg) {
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init(&iter, g_jobs);
  while (g_hash_table_iter_next(&iter, NULL, &value)) {
    sim_job *job = value;
    bool waits = job->seen_accepted && !job->terminal && !job->cancel_requested && job->done_count < job->tasks &&
                 !anywhere(job);
    if (!waits || !could_begin(job)) {
      job->pending_since = 0;
    } else if (!job->pending_since) {
      job->pending_since = sim_now();
    } else if (sim_now() > job->pending_since + PENDING_LIMIT_S) {
      world_broke("waits beside room", job->id);
    }
  }
  sim_after(1, check_waits, arg);
}

void world_troubles_end(double in_s) {
  sim_after(in_s, check_waits, NULL);
}

static void add_exited(sim_worker *worker, const char *id, unsigned index, uint64_t attempt, const char *cause) {
  sim_task *task = g_new0(sim_task, 1);
  g_strlcpy(task->job_id, id, sizeof task->job_id);
  task->job = g_hash_table_lookup(g_jobs, id);
  task->index = index;
  task->attempt = attempt;
  task->state = TASK_EXITED;
  task->cause = cause;
  g_ptr_array_add(worker->tasks, task);
}

static GHashTable *g_causes; /* how often tasks have ended for each cause */

unsigned world_ended(const char *cause) {
  return GPOINTER_TO_UINT(g_hash_table_lookup(g_causes, cause));
}

static void exit_task(sim_worker *worker, sim_task *task, const char *cause) {
  g_hash_table_insert(g_causes, (gpointer)cause, GUINT_TO_POINTER(world_ended(cause) + 1));
  task->state = TASK_EXITED;
  task->cause = cause;
  worker->status_changed = true;
}

static void command_start(sim_worker *worker, const char *id, unsigned index, uint64_t attempt) {
  double cpus = MACHINE_CPUS, gpus = MACHINE_GPUS;
  for (guint i = 0; i < worker->tasks->len; i++) {
    sim_task *task = worker->tasks->pdata[i];
    bool same = strcmp(task->job_id, id) == 0 && task->index == index;
    if (same && task->attempt == attempt) return;
    if (task->state == TASK_EXITED) continue;
    if (same) {
      add_exited(worker, id, index, attempt, "busy");
      return;
    }
    cpus -= task->job->cpus;
    gpus -= task->job->gpus;
  }
  sim_job *job = g_hash_table_lookup(g_jobs, id);
  worker->status_changed = true;
  if (!job) {
    add_exited(worker, id, index, attempt, "unknown");
  } else if (job->cpus > cpus + 1e-6 || job->gpus > gpus + 1e-6) {
    add_exited(worker, id, index, attempt, "no_room");
  } else {
    sim_task *task = g_new0(sim_task, 1);
    g_strlcpy(task->job_id, id, sizeof task->job_id);
    task->job = job;
    task->index = index;
    task->attempt = attempt;
    task->state = TASK_FETCHING;
    task->ends_at = sim_now() + (g_image_fetch_max_s > 0 ? sim_draw(0.2, g_image_fetch_max_s) : 0);
    g_ptr_array_add(worker->tasks, task);
  }
}

static void execute(sim_worker *worker, json_t *calls) {
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
      command_start(worker, id, index, attempt);
      continue;
    }
    for (guint k = worker->tasks->len; k-- > 0;) {
      sim_task *task = worker->tasks->pdata[k];
      if (strcmp(task->job_id, id) != 0 || task->index != index || task->attempt != attempt) continue;
      if (strcmp(op, "halt") == 0 && task->state != TASK_EXITED) exit_task(worker, task, "stopped");
      if (strcmp(op, "clear") == 0 && task->state == TASK_EXITED) {
        g_ptr_array_remove_index(worker->tasks, k);
        g_free(task);
      }
    }
  }
}

static char *report_of(sim_worker *worker) {
  json_t *runs = json_array();
  for (guint i = 0; i < worker->tasks->len; i++) {
    sim_task *task = worker->tasks->pdata[i];
    char run[64];
    g_snprintf(run, sizeof run, "%s/%u", task->job_id, task->index);
    json_array_append_new(runs,
                          json_pack("{ss sI ss ss*}", "run", run, "kickoff", (json_int_t)task->attempt, "status",
                                    k_tstate[task->state], "cause", task->state == TASK_EXITED ? task->cause : NULL));
  }
  char at[40];
  g_snprintf(at, sizeof at, "10.1.%u.%u:9000", worker->ip >> 8 & 0xff, worker->ip & 0xff);
  json_t *message =
      json_pack("{ss ss ss ss sb sI sI sI so}", "paddock", worker->id, "endpoint", at, "build", "g4", "ground",
                world_zones[worker->zone], "loaners", (int)worker->spot, "stint", (json_int_t)worker->epoch, "tally",
                (json_int_t)++worker->heartbeat_seq, "captaincy", (json_int_t)worker->fencing_token, "runs", runs);
  if (worker->preemption_notice_at > 0)
    json_object_set_new(message, "recallS", json_real(MAX(0, worker->preempted_at - sim_now())));
  char *text = json_dumps(message, JSON_COMPACT);
  json_decref(message);
  return text;
}

static bool alive(const sim_worker *worker) {
  return worker->up && !worker->terminated && sim_now() >= worker->hung_until;
}

static void check_lease(sim_worker *worker) {
  if (sim_now() <= worker->lease_renewed_at + LEASE_S) return;
  if (g_verbose && worker->tasks->len > 0)
    g_printerr("%.2f lease over %s tasks=%u\n", sim_now(), worker->id, worker->tasks->len);
  for (guint i = 0; i < worker->tasks->len; i++) g_free(worker->tasks->pdata[i]);
  g_result.lease_kills += worker->tasks->len;
  g_ptr_array_set_size(worker->tasks, 0);
  worker->epoch++;
  worker->lease_renewed_at = sim_now();
  worker->status_changed = true;
}

static void on_report_reply(int status, const char *body, void *arg) {
  sim_worker *worker = arg;
  if (status != 200) worker->connection = 0;
  if (worker->sent_incarnation != worker->incarnation) return; /* the connection is gone with the earlier life */
  worker->in_flight = false;
  if (!alive(worker)) return;
  check_lease(worker);
  json_t *message = status == 200 || status == 421 ? json_loads(body, 0, NULL) : NULL;
  if (status == 200 && message && worker->sent_epoch == worker->epoch) {
    uint64_t fencing_token = (uint64_t)json_integer_value(json_object_get(message, "captaincy"));
    if (fencing_token >= worker->fencing_token) {
      if (fencing_token > worker->fencing_token) worker->status_changed = true;
      worker->fencing_token = fencing_token;
      worker->lease_renewed_at = worker->heartbeat_sent_at;
      execute(worker, json_object_get(message, "calls"));
    }
  } else if (status == 421 && message && json_object_get(message, "coach")) {
    const char *name = json_string_value(json_object_get(message, "coach"));
    int controller = atoi(name + strlen("paddock-"));
    worker->next_heartbeat_at = sim_now() + (controller == worker->node ? 1 : sim_draw(0, 0.5));
    if (controller == worker->node)
      worker->node = (worker->node + 1) % WORLD_NODES;
    else
      worker->node = controller;
  } else {
    worker->node = (worker->node + 1) % WORLD_NODES;
    worker->next_heartbeat_at = sim_now() + 1;
  }
  json_decref(message);
}

/* A report that is delivered once more, seconds to leases late, perhaps to
 * another controller, perhaps when the machine has long been returned. Nobody
 * reads the answer. */
typedef struct late_heartbeat {
  uint32_t from, to;
  char *body;
} late_heartbeat;

static void on_copy_reply(int status, const char *body, void *arg) {
  (void)status;
  (void)body;
  (void)arg;
}

static void deliver_copy(void *arg) {
  late_heartbeat *late = arg;
  sim_call(late->from, late->to, "POST", "/checkin", late->body, 4, on_copy_reply, NULL);
  g_free(late->body);
  g_free(late);
}

void world_report_later(unsigned at, unsigned node, double in_s) {
  sim_worker *worker = g_worker_list->pdata[at];
  char *text = report_of(worker);
  late_heartbeat *late = g_new(late_heartbeat, 1);
  *late = (late_heartbeat){worker->ip, WORLD_NODE_IP(node), g_strdup(text)};
  sim_after(in_s, deliver_copy, late);
  free(text);
}

static void worker_report(sim_worker *worker) {
  worker->in_flight = true;
  worker->heartbeat_sent_at = sim_now();
  worker->sent_epoch = worker->epoch;
  worker->sent_incarnation = worker->incarnation;
  worker->status_changed = false;
  worker->next_heartbeat_at = sim_now() + HEARTBEAT_S * sim_draw(0.75, 1.25);
  char *text = report_of(worker);
  if (!worker->connection) worker->connection = sim_connection();
  /* Mute: it goes to an address where nobody is. */
  uint32_t to = worker->outbound_lost_until > sim_now() ? IP(10, 9, 9, 9) : WORLD_NODE_IP(worker->node);
  sim_call_on(worker->connection, worker->ip, to, "/checkin", text, 4, on_report_reply, worker);
  if (sim_chance(g_duplicate_share)) {
    late_heartbeat *late = g_new(late_heartbeat, 1);
    *late =
        (late_heartbeat){worker->ip, WORLD_NODE_IP(sim_chance(0.5) ? worker->node : world_any_node()), g_strdup(text)};
    sim_after(sim_draw(0.5, 3 * LEASE_S), deliver_copy, late);
  }
  free(text);
}

void worker_restart_empty(sim_worker *worker) {
  for (guint i = 0; i < worker->tasks->len; i++) g_free(worker->tasks->pdata[i]);
  g_ptr_array_set_size(worker->tasks, 0);
  worker->incarnation++;
  worker->epoch = 1;
  worker->heartbeat_seq = worker->fencing_token = 0;
  worker->lease_renewed_at = worker->next_heartbeat_at = sim_now();
  worker->in_flight = false;
  worker->connection = 0;
  worker->node = world_any_node();
}

void workers_init(void) {
  g_causes = g_hash_table_new(g_str_hash, g_str_equal);
  g_workers = g_hash_table_new(g_str_hash, g_str_equal);
  g_workers_by_ip = g_hash_table_new(NULL, NULL);
  g_worker_list = g_ptr_array_new();
  g_next_machine = g_next_ip = 0;
  g_image_fetch_max_s = 3;
}

static void worker_orders(const sim_request *request, void *arg) {
  sim_worker *worker = arg;
  check_lease(worker);
  json_t *message = json_loads(request->body, 0, NULL);
  bool ok = (uint64_t)json_integer_value(json_object_get(message, "captaincy")) >= worker->fencing_token &&
            (uint64_t)json_integer_value(json_object_get(message, "stint")) == worker->epoch;
  if (ok) {
    uint64_t fencing_token = (uint64_t)json_integer_value(json_object_get(message, "captaincy"));
    if (fencing_token > worker->fencing_token) worker->status_changed = true;
    worker->fencing_token = fencing_token;
    execute(worker, json_object_get(message, "calls"));
  }
  json_decref(message);
  char *text = report_of(worker);
  sim_answer(request->exchange, ok ? 200 : 409, text);
  free(text);
}

typedef struct gang_view {
  sim_task *task;
  unsigned present, ready;
} gang_view;

static void see_gang(sim_worker *worker, sim_task *task, void *arg) {
  gang_view *view = arg;
  if (task->job != view->task->job || task->attempt != view->task->attempt || worker->hung_until > sim_now()) return;
  view->present++;
}

static void finish(sim_worker *worker, sim_task *task) {
  sim_job *job = task->job;
  if (!job->done[task->index]) {
    job->done[task->index] = true;
    if (++job->done_count == job->tasks) users_job_completed(job);
  }
  exit_task(worker, task, "done");
}

static bool is_gang(const sim_job *job) {
  return strcmp(job->kind, "gang") == 0;
}

static void image_fetched(sim_worker *worker, sim_task *task) {
  sim_job *job = task->job;
  double now = sim_now();
  task->state = is_gang(job) ? TASK_WAITING : TASK_RUNNING;
  task->waiting_since = now;
  task->ends_at = now + job->run_s + job->stagger_s * task->index;
  worker->status_changed = true;
  check_start(worker, task);
  /* The result of a finished task is kept. */
  if (job->done[task->index]) finish(worker, task);
}

/* They complete together. */
static void gang_completes(sim_worker *worker, sim_task *task) {
  sim_job *job = task->job;
  for (unsigned i = 0; i < job->tasks; i++) job->done[i] = true;
  if (job->done_count < job->tasks) users_job_completed(job);
  job->done_count = job->tasks;
  finish(worker, task);
}

static void waiting_gang_step(sim_worker *worker, sim_task *task, unsigned present) {
  sim_job *job = task->job;
  double now = sim_now();
  if (present == job->tasks) {
    task->state = TASK_RUNNING;
    task->ends_at = now + job->run_s;
    worker->status_changed = true;
    if (!job->began_at) job->began_at = now;
  } else if (now > task->waiting_since + GANG_WAIT_S) {
    exit_task(worker, task, "incomplete");
  }
}

static void running_gang_step(sim_worker *worker, sim_task *task, unsigned present) {
  sim_job *job = task->job;
  double now = sim_now();
  if (present < job->tasks && !job->done[0]) {
    if (!task->gang_broken_at) task->gang_broken_at = now;
    if (now > task->gang_broken_at + GANG_PEER_S * 0.8) exit_task(worker, task, "mates_gone");
  } else if (now >= task->ends_at) {
    gang_completes(worker, task);
  }
}

static void gang_step(sim_worker *worker, sim_task *task) {
  gang_view view = {.task = task};
  each_on_machine(see_gang, &view);
  if (task->state == TASK_WAITING) {
    waiting_gang_step(worker, task, view.present);
  } else {
    running_gang_step(worker, task, view.present);
  }
}

static void task_step(sim_worker *worker, sim_task *task) {
  sim_job *job = task->job;
  double now = sim_now();
  if (task->state == TASK_FETCHING && now >= task->ends_at) image_fetched(worker, task);
  if (is_gang(job) && (task->state == TASK_WAITING || task->state == TASK_RUNNING)) {
    gang_step(worker, task);
  } else if (task->state == TASK_RUNNING && strcmp(job->kind, "sweep") == 0 && now >= task->ends_at) {
    finish(worker, task);
  }
  if (task->job && task->state != TASK_EXITED && task->state != TASK_FETCHING && job->seen_cancelled &&
      now > job->seen_cancelled_at + CANCEL_DEADLINE_S)
    world_broke("ran_cancelled", job->id);
}

static void worker_step(void *arg) {
  sim_worker *worker = arg;
  if (worker->terminated) return;
  double now = sim_now();
  if (!worker->up && now >= worker->boots_at) {
    worker->up = true;
    worker->lease_renewed_at = now;
    worker->epoch = 1;
    worker->next_heartbeat_at = now;
  }
  if (worker->preempted_at > 0 && now >= worker->preempted_at) {
    worker->terminated = true;
    return;
  }
  if (alive(worker)) {
    if (worker->boots_at < now)
      g_result.lease_left_s = MIN(g_result.lease_left_s, MAX(0, worker->lease_renewed_at + LEASE_S - now));
    check_lease(worker);
    for (guint i = 0; i < worker->tasks->len; i++) {
      sim_task *task = worker->tasks->pdata[i];
      if (task->state != TASK_EXITED) task_step(worker, task);
    }
    bool due = now >= worker->next_heartbeat_at || (worker->status_changed && now >= worker->heartbeat_sent_at + 0.5);
    if (!worker->in_flight && due && worker->up) worker_report(worker);
  }
  sim_after(WORKER_STEP_S, worker_step, worker);
}

sim_worker *worker_new(int zone, bool spot, double boot_s) {
  sim_worker *worker = g_new0(sim_worker, 1);
  g_snprintf(worker->id, sizeof worker->id, "vm-%06u", g_next_machine++);
  worker->ip = IP(10, 1, 0, 0) + ++g_next_ip;
  worker->zone = zone;
  worker->spot = spot;
  worker->created_at = sim_now();
  worker->boots_at = sim_now() + boot_s;
  worker->tasks = g_ptr_array_new();
  worker->node = g_rand_int_range(sim_rand(), 0, WORLD_NODES);
  g_hash_table_insert(g_workers, worker->id, worker);
  g_hash_table_insert(g_workers_by_ip, GUINT_TO_POINTER(worker->ip), worker);
  g_ptr_array_add(g_worker_list, worker);
  sim_serve(worker->ip, worker_orders, worker);
  sim_after(WORKER_STEP_S, worker_step, worker);
  return worker;
}
