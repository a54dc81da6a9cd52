/* Tasks on simulated machines: commands, image fetches, runs, and gangs, whose tasks begin and complete
 * together. */
#include "repeated_calls.h"

#define GANG_PEER_SHARE 0.8 /* of GANG_PEER_S, after which a task detects the loss of another of its gang */
#define IMAGE_FETCH_MIN_S 0.2

static GHashTable *g_exits_by_cause; /* cause -> number of tasks that exited with it */

void tasks_init(void) {
  g_exits_by_cause = g_hash_table_new(g_str_hash, g_str_equal);
}

unsigned world_exited_tasks(const char *cause) {
  return GPOINTER_TO_UINT(g_hash_table_lookup(g_exits_by_cause, cause));
}

static bool is_resident(const sim_worker *worker, const sim_task *task) {
  if (worker->terminated || !worker->up) return false;
  if (task->state != TASK_WAITING && task->state != TASK_RUNNING) return false;
  return sim_now() <= worker->lease_renewed_at + LEASE_S;
}

void tasks_each_resident(void (*fn)(sim_worker *worker, sim_task *task, void *arg), void *arg) {
  for (guint i = 0; i < g_worker_list->len; i++) {
    sim_worker *worker = g_worker_list->pdata[i];
    for (guint k = 0; k < worker->tasks->len; k++) {
      sim_task *task = worker->tasks->pdata[k];
      if (is_resident(worker, task)) fn(worker, task, arg);
    }
  }
}

void tasks_drop_all(sim_worker *worker) {
  for (guint i = 0; i < worker->tasks->len; i++) g_free(worker->tasks->pdata[i]);
  g_ptr_array_set_size(worker->tasks, 0);
}

/* ---- commands ---- */

/* The attempt of a task that a command names. */
typedef struct task_name {
  char job_id[32];
  unsigned index;
  uint64_t attempt;
} task_name;

/* Adds a task to the machine; the caller sets the state. */
static sim_task *add_task(sim_worker *worker, const task_name *name) {
  sim_task *task = g_new0(sim_task, 1);
  g_strlcpy(task->job_id, name->job_id, sizeof task->job_id);
  task->job = g_hash_table_lookup(g_jobs, name->job_id);
  task->index = name->index;
  task->attempt = name->attempt;
  g_ptr_array_add(worker->tasks, task);
  return task;
}

static void add_exited(sim_worker *worker, const task_name *name, const char *cause) {
  sim_task *task = add_task(worker, name);
  task->state = TASK_EXITED;
  task->cause = cause;
}

static void add_fetching(sim_worker *worker, const task_name *name) {
  sim_task *task = add_task(worker, name);
  task->state = TASK_FETCHING;
  task->ends_at = sim_now();
  if (g_image_fetch_max_s > 0) task->ends_at += sim_draw(IMAGE_FETCH_MIN_S, g_image_fetch_max_s);
}

static void exit_task(sim_worker *worker, sim_task *task, const char *cause) {
  g_hash_table_insert(g_exits_by_cause, (gpointer)cause, GUINT_TO_POINTER(world_exited_tasks(cause) + 1));
  task->state = TASK_EXITED;
  task->cause = cause;
  worker->status_changed = true;
}

/* A repeated start is ignored; another attempt of a task on this machine is refused. */
static void start_task(sim_worker *worker, const task_name *name) {
  double cpus = MACHINE_CPUS, gpus = MACHINE_GPUS;
  for (guint i = 0; i < worker->tasks->len; i++) {
    const sim_task *task = worker->tasks->pdata[i];
    bool same = strcmp(task->job_id, name->job_id) == 0 && task->index == name->index;
    if (same && task->attempt == name->attempt) return;
    if (task->state == TASK_EXITED) continue;
    if (same) {
      add_exited(worker, name, "busy");
      return;
    }
    cpus -= task->job->cpus;
    gpus -= task->job->gpus;
  }
  const sim_job *job = g_hash_table_lookup(g_jobs, name->job_id);
  worker->status_changed = true;
  if (!job) {
    add_exited(worker, name, "unknown");
  } else if (job->cpus > cpus + ROUNDING_TOLERANCE || job->gpus > gpus + ROUNDING_TOLERANCE) {
    add_exited(worker, name, "no_room");
  } else {
    add_fetching(worker, name);
  }
}

static bool has_name(const sim_task *task, const task_name *name) {
  return strcmp(task->job_id, name->job_id) == 0 && task->index == name->index && task->attempt == name->attempt;
}

/* Stops a task, or removes one that has exited. */
static void end_task(sim_worker *worker, const task_name *name, const char *command) {
  for (guint i = worker->tasks->len; i-- > 0;) {
    sim_task *task = worker->tasks->pdata[i];
    if (!has_name(task, name)) continue;
    if (strcmp(command, "halt") == 0 && task->state != TASK_EXITED) exit_task(worker, task, "stopped");
    if (strcmp(command, "clear") == 0 && task->state == TASK_EXITED) {
      g_ptr_array_remove_index(worker->tasks, i);
      g_free(task);
    }
  }
}

static task_name read_task_name(const json_t *command) {
  task_name name = {.attempt = (uint64_t)json_integer_value(json_object_get(command, "kickoff"))};
  const char *run = json_string_value(json_object_get(command, "run"));
  const char *slash = strchr(run, '/');
  g_strlcpy(name.job_id, run, MIN(sizeof name.job_id, (size_t)(slash - run) + 1));
  name.index = (unsigned)atoi(slash + 1);
  return name;
}

void tasks_execute(sim_worker *worker, json_t *commands) {
  size_t i;
  json_t *command;
  json_array_foreach(commands, i, command) {
    const char *verb = json_string_value(json_object_get(command, "call"));
    task_name name = read_task_name(command);
    if (strcmp(verb, "start") == 0) {
      start_task(worker, &name);
    } else {
      end_task(worker, &name, verb);
    }
  }
}

/* ---- runs ---- */

/* The number of tasks that run or wait in the same attempt of a gang. */
typedef struct gang_presence {
  const sim_task *task; /* one of them */
  unsigned present;
} gang_presence;

static void count_gang_task(sim_worker *worker, sim_task *task, void *arg) {
  gang_presence *presence = arg;
  if (task->job != presence->task->job || task->attempt != presence->task->attempt || worker->hung_until > sim_now())
    return;
  presence->present++;
}

static void complete_task(sim_worker *worker, sim_task *task) {
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

static double run_time(const sim_job *job, unsigned index) {
  double run_s = index % 2 && job->odd_run_s > 0 ? job->odd_run_s : job->run_s;
  return run_s + job->stagger_s * index;
}

static void image_fetched(sim_worker *worker, sim_task *task) {
  const sim_job *job = task->job;
  task->state = is_gang(job) ? TASK_WAITING : TASK_RUNNING;
  task->waiting_since = sim_now();
  task->ends_at = sim_now() + run_time(job, task->index);
  task->fails = repeated_calls_task_fails();
  worker->status_changed = true;
  check_task_start(worker, task);
  /* The result of an earlier run is still available. */
  if (job->done[task->index]) complete_task(worker, task);
}

static void complete_gang(sim_worker *worker, sim_task *task) {
  sim_job *job = task->job;
  for (unsigned i = 0; i < job->tasks; i++) job->done[i] = true;
  if (job->done_count < job->tasks) users_job_completed(job);
  job->done_count = job->tasks;
  complete_task(worker, task);
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
    if (now > task->gang_broken_at + GANG_PEER_S * GANG_PEER_SHARE) exit_task(worker, task, "mates_gone");
  } else if (now >= task->ends_at) {
    complete_gang(worker, task);
  }
}

static void gang_step(sim_worker *worker, sim_task *task) {
  gang_presence presence = {.task = task};
  tasks_each_resident(count_gang_task, &presence);
  if (task->state == TASK_WAITING) {
    waiting_gang_step(worker, task, presence.present);
  } else {
    running_gang_step(worker, task, presence.present);
  }
}

void task_step(sim_worker *worker, sim_task *task) {
  const sim_job *job = task->job;
  double now = sim_now();
  if (task->state == TASK_FETCHING && now >= task->ends_at) image_fetched(worker, task);
  if (task->state == TASK_RUNNING && (task->fails || now < worker->tasks_fail_until)) exit_task(worker, task, "error");
  if (is_gang(job) && (task->state == TASK_WAITING || task->state == TASK_RUNNING)) {
    gang_step(worker, task);
  } else if (task->state == TASK_RUNNING && strcmp(job->kind, "sweep") == 0 && now >= task->ends_at) {
    complete_task(worker, task);
  }
  check_task_cancelled(task);
}
