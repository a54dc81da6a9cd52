/* Simulated machines with their workers: creation, boot, restart, and the periodic step of a worker. */
#include "workers.h"

#define DEFAULT_IMAGE_FETCH_MAX_S 3
#define CHANGE_HEARTBEAT_MIN_S 0.5 /* the shortest time from a heartbeat to one that reports a changed status */

static unsigned g_next_machine, g_next_ip;
double g_image_fetch_max_s;

void workers_init(void) {
  tasks_init();
  g_workers = g_hash_table_new(g_str_hash, g_str_equal);
  g_workers_by_ip = g_hash_table_new(NULL, NULL);
  g_worker_list = g_ptr_array_new();
  g_next_machine = g_next_ip = 0;
  g_image_fetch_max_s = DEFAULT_IMAGE_FETCH_MAX_S;
}

void world_cache_images(void) {
  g_image_fetch_max_s = 0;
}

bool worker_alive(const sim_worker *worker) {
  return worker->up && !worker->terminated && sim_now() >= worker->hung_until;
}

void worker_restart_empty(sim_worker *worker) {
  tasks_drop_all(worker);
  worker->token_before_restart = MAX(worker->token_before_restart, worker->fencing_token);
  worker->restarted_at = sim_now();
  worker->incarnation++;
  worker->epoch = 1;
  worker->heartbeat_seq = worker->fencing_token = 0;
  worker->token_reported_at = -LEASE_S;
  worker->lease_renewed_at = worker->next_heartbeat_at = sim_now();
  worker->in_flight = false;
  worker->connection = 0;
  worker->node = world_random_node();
}

static void boot(sim_worker *worker) {
  worker->up = true;
  worker->lease_renewed_at = sim_now();
  worker->epoch = 1;
  worker->next_heartbeat_at = sim_now();
}

static void note_remaining_lease(const sim_worker *worker) {
  double left = worker->lease_renewed_at + LEASE_S - sim_now();
  if (worker->boots_at < sim_now()) g_result.min_lease_left_s = MIN(g_result.min_lease_left_s, MAX(0, left));
}

static bool heartbeat_due(const sim_worker *worker) {
  double now = sim_now();
  return now >= worker->next_heartbeat_at ||
         (worker->status_changed && now >= worker->heartbeat_sent_at + CHANGE_HEARTBEAT_MIN_S);
}

static void run_step(sim_worker *worker) {
  note_remaining_lease(worker);
  worker_check_lease(worker);
  for (guint i = 0; i < worker->tasks->len; i++) {
    sim_task *task = worker->tasks->pdata[i];
    if (task->state != TASK_EXITED) task_step(worker, task);
  }
  if (!worker->in_flight && heartbeat_due(worker) && worker->up) worker_send_heartbeat(worker);
}

static void worker_step(void *arg) {
  sim_worker *worker = arg;
  if (worker->terminated) return;
  double now = sim_now();
  if (!worker->up && now >= worker->boots_at) boot(worker);
  if (worker->preempted_at > 0 && now >= worker->preempted_at) {
    worker->terminated = true;
    return;
  }
  if (worker_alive(worker)) run_step(worker);
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
  worker->token_reported_at = -LEASE_S;
  worker->tasks = g_ptr_array_new();
  worker->node = g_rand_int_range(sim_rand(), 0, WORLD_NODES);
  g_hash_table_insert(g_workers, worker->id, worker);
  g_hash_table_insert(g_workers_by_ip, GUINT_TO_POINTER(worker->ip), worker);
  g_ptr_array_add(g_worker_list, worker);
  sim_serve(worker->ip, worker_serve_commands, worker);
  sim_after(WORKER_STEP_S, worker_step, worker);
  return worker;
}

void worker_free_room(const sim_worker *worker, double *cpus, double *gpus) {
  *cpus = MACHINE_CPUS;
  *gpus = MACHINE_GPUS;
  for (guint i = 0; i < worker->tasks->len; i++) {
    const sim_task *task = worker->tasks->pdata[i];
    if (task->state == TASK_EXITED || !task->job) continue;
    *cpus -= task->job->cpus;
    *gpus -= task->job->gpus;
  }
}
