/* Rules for tasks on simulated machines: where and when a task may start, that none runs past the
 * cancellation deadline of its job, and that no job stays pending although it fits. */
#include "workers.h"

#define PENDING_CHECK_S 1

/* ---- starts ---- */

/* What is on machines when a task starts, itself included. */
typedef struct start_check {
  const sim_worker *worker;
  const sim_task *task;
  double cpus, gpus;           /* in use by its team */
  unsigned in_zone, elsewhere; /* tasks of its job */
} start_check;

static void count_other_task(sim_worker *on, sim_task *other, void *arg) {
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
    world_rule_broken("ran_twice", detail);
  }
  check->in_zone += on->zone == check->worker->zone;
  check->elsewhere += on->zone != check->worker->zone;
}

static void note_start(sim_job *job, unsigned index) {
  g_result.starts++;
  job->starts++;
  job->last_started_at = sim_now();
  g_result.starts_after_done += job->done[index];
  if (!job->first_started_at) job->first_started_at = sim_now();
  if (!job->began_at && strcmp(job->kind, "gang") != 0) job->began_at = sim_now();
}

static void check_start_place(const start_check *check) {
  const sim_job *job = check->task->job;
  const sim_worker *worker = check->worker;
  if (strcmp(job->team, "blue") == 0 && check->gpus > BLUE_GPUS_MAX + ROUNDING_TOLERANCE)
    world_rule_broken("quota", job->id);
  if (worker->spot && !job->spot) world_rule_broken("task on a machine that its job excludes", "spot");
  if (job->one_zone && check->elsewhere > 0) world_rule_broken("tasks in more than one zone", job->id);
  if (job->spread && check->in_zone > (job->tasks + 1) / 2) world_rule_broken("too many tasks in one zone", job->id);
}

static void check_start_time(const sim_job *job) {
  if (job->seen_cancelled && sim_now() > job->seen_cancelled_at + CANCEL_DEADLINE_S)
    world_rule_broken("task on a machine after its cancellation deadline", job->id);
  if (job->seen_cancelled) g_result.late_starts++;
}

void check_task_start(sim_worker *worker, sim_task *task) {
  sim_job *job = task->job;
  note_start(job, task->index);
  start_check check = {.worker = worker, .task = task};
  tasks_each_resident(count_other_task, &check);
  if (g_verbose)
    g_printerr("%.2f task start %s/%u machine=%s team=%s gpus=%.0f team_gpus=%.0f\n", sim_now(), job->id, task->index,
               worker->id, job->team, job->gpus, check.gpus);
  check_start_place(&check);
  check_start_time(job);
  if (job->zone && strcmp(job->zone, k_zones[worker->zone]) != 0) world_rule_broken("task in the wrong zone", job->id);
  if (!job->seen_accepted && !job->submitting) world_rule_broken("task of a job that was not submitted", job->id);
  if (isinf(job_ready_at(job))) world_rule_broken("task started before its dependencies were done", job->id);
}

void check_task_cancelled(const sim_task *task) {
  const sim_job *job = task->job;
  if (job && task->state != TASK_EXITED && task->state != TASK_FETCHING && job->seen_cancelled &&
      sim_now() > job->seen_cancelled_at + CANCEL_DEADLINE_S)
    world_rule_broken("task on a machine after its cancellation deadline", job->id);
}

/* ---- pending jobs ---- */

/* How many more tasks of the job fit on the machine. */
static unsigned room_for(const sim_worker *worker, const sim_job *job) {
  if (worker->terminated || !worker->up || worker->hung_until > sim_now() || worker->preemption_notice_at > 0) return 0;
  if ((worker->spot && !job->spot) || (job->zone && strcmp(job->zone, k_zones[worker->zone]) != 0)) return 0;
  double cpus, gpus;
  worker_free_room(worker, &cpus, &gpus);
  return (unsigned)MAX(0, MIN(cpus / job->cpus, gpus / job->gpus) + ROUNDING_TOLERANCE);
}

/* Whether a task of the job runs, waits or fetches its image on any machine. */
static bool has_task_somewhere(const sim_job *job) {
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

static void add_team_use(sim_worker *worker, sim_task *task, void *arg) {
  (void)worker;
  team_use *use = arg;
  if (task->job && strcmp(task->job->team, use->team) == 0) use->gpus += task->job->gpus;
}

/* Whether a task of it fits now; for a gang, whether all tasks fit at once. */
static bool could_begin(const sim_job *job) {
  bool gang = strcmp(job->kind, "gang") == 0;
  unsigned need = gang ? job->tasks : 1, room[ZONES] = {0, 0};
  team_use use = {.team = job->team};
  tasks_each_resident(add_team_use, &use);
  if (strcmp(job->team, "blue") == 0 && use.gpus + need * job->gpus > BLUE_GPUS_MAX + ROUNDING_TOLERANCE) return false;
  for (guint i = 0; i < g_worker_list->len; i++) {
    const sim_worker *worker = g_worker_list->pdata[i];
    room[worker->zone] += room_for(worker, job);
  }
  return job->one_zone ? MAX(room[0], room[1]) >= need : room[0] + room[1] >= need;
}

static void check_pending_job(sim_job *job) {
  bool pending = job->seen_accepted && !job->terminal && !job->cancel_requested && job->done_count < job->tasks &&
                 !has_task_somewhere(job);
  if (!pending || !could_begin(job)) {
    job->pending_since = 0;
  } else if (!job->pending_since) {
    job->pending_since = sim_now();
  } else if (sim_now() > job->pending_since + PENDING_LIMIT_S) {
    world_rule_broken("pending although it fits", job->id);
  }
}

static void check_pending(void *arg) {
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init(&iter, g_jobs);
  while (g_hash_table_iter_next(&iter, NULL, &value)) check_pending_job(value);
  sim_after(PENDING_CHECK_S, check_pending, arg);
}

void world_check_starvation(double in_s) {
  sim_after(in_s, check_pending, NULL);
}
