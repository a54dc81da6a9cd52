/* Cancellations by users: of one job, of some running jobs, of the jobs on a machine, and of jobs that
 * are just completing. */
#include "users.h"

#define BURST_WINDOW_S 0.2 /* the cancellations of a burst are sent within it */

double g_cancel_on_completion_share;

void world_cancel_on_completion(double share) {
  g_cancel_on_completion_share = share;
}

typedef struct planned_cancellation {
  sim_job *job;
  int node; /* -1: any */
} planned_cancellation;

static void cancel_planned(void *arg) {
  planned_cancellation *planned = arg;
  user_cancel_by(planned->job, planned->node >= 0 ? planned->node : world_random_node());
  g_free(planned);
}

/* Cancels the job after in_s, through that controller first; -1: any. */
static void cancel_in(sim_job *job, int node, double in_s) {
  planned_cancellation *planned = g_new(planned_cancellation, 1);
  *planned = (planned_cancellation){job, node};
  sim_after(in_s, cancel_planned, planned);
}

void world_cancel(const char *id, int node, double in_s) {
  cancel_in(g_hash_table_lookup(g_jobs, id), node, in_s);
}

void users_job_completed(sim_job *job) {
  job->completed_at = sim_now();
  if (g_cancel_on_completion_share <= 0 || !sim_chance(g_cancel_on_completion_share)) return;
  /* The user cancels it, requests its status and submits it again at about the same time. */
  cancel_in(job, -1, sim_draw(0, 0.6));
  user_request_status(job, users_pick_node());
  user_repeat_submission(job, users_pick_node());
}

/* ---- running jobs ---- */

static void hang_machine(void *arg) {
  sim_worker *worker = arg;
  worker->hung_until = MAX(worker->hung_until, sim_now() + worker->planned_hang_s);
}

static bool is_cancellable(const sim_task *task) {
  return task->state != TASK_EXITED && task->job && task->job->seen_accepted && !task->job->terminal &&
         !task->job->cancel_requested;
}

/* Cancels up to `max_count` jobs with tasks on the machine; returns how many. */
static unsigned cancel_on_machine(sim_worker *worker, unsigned max_count, double within_s, double hang_s) {
  unsigned count = 0;
  for (guint i = 0; !worker->terminated && i < worker->tasks->len && count < max_count; i++) {
    const sim_task *task = worker->tasks->pdata[i];
    if (!is_cancellable(task)) continue;
    cancel_in(task->job, -1, sim_draw(0, within_s));
    count++;
  }
  if (count > 0 && hang_s > 0) {
    worker->planned_hang_s = hang_s;
    sim_after(sim_draw(0, 1), hang_machine, worker);
  }
  return count;
}

void users_cancel_running(unsigned count, double within_s, double hang_s) {
  guint machines = g_worker_list->len;
  guint first = machines > 0 ? (guint)g_rand_int_range(sim_rand(), 0, (gint32)machines) : 0;
  for (guint i = 0; i < machines && count > 0; i++)
    count -= cancel_on_machine(g_worker_list->pdata[(first + i) % machines], count, within_s, hang_s);
}

typedef struct planned_burst {
  sim_worker *worker; /* NULL: any machine */
  unsigned count;
} planned_burst;

static void cancel_burst(void *arg) {
  planned_burst *planned = arg;
  if (planned->worker) {
    (void)cancel_on_machine(planned->worker, planned->count, BURST_WINDOW_S, 0);
  } else {
    users_cancel_running(planned->count, BURST_WINDOW_S, 0);
  }
  g_free(planned);
}

static void cancel_burst_in(sim_worker *worker, unsigned count, double in_s) {
  planned_burst *planned = g_new(planned_burst, 1);
  *planned = (planned_burst){worker, count};
  sim_after(in_s, cancel_burst, planned);
}

void users_cancel_running_in(unsigned count, double in_s) {
  cancel_burst_in(NULL, count, in_s);
}

void users_cancel_on_machine_in(unsigned machine, unsigned count, double in_s) {
  cancel_burst_in(g_worker_list->pdata[machine], count, in_s);
}
