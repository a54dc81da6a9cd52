/* A simulated day that follows from a seed: random jobs, faults and incidents, an upgrade of the
 * controllers, and the checks at the end. */
#include "deployment.h"
#include "stand_ins.h"
#include "unknown_members.h"

#define LOSS_SHARE 0.002        /* of requests and of responses */
#define DUPLICATE_SHARE 0.03    /* of heartbeats */
#define REPEATED_CALL_SHARE 0.1 /* of executed direct calls, on days with such copies */
#define FAILING_TASK_SHARE 0.04 /* on the same days */
/* Of rentals and deletions, on days on which they are late. */
#define LATE_CLOUD_SHARE 0.4
#define LATE_CLOUD_MIN_S 3
#define LATE_CLOUD_MAX_S 60
#define LATE_CALL_SHARE 0.25      /* of direct calls, on days on which they are held up */
#define UNKNOWN_MEMBERS_SHARE 0.5 /* of the messages, on days with such members */
#define KNOWN_TASKS_INTERVAL_S 0.5
#define FAULT_MAX_S 45            /* the longest fault of random_faults.c */
#define FIRST_MACHINES 3          /* present from the start */
#define JOB_INTERVAL_S 8          /* mean */
#define PIPELINE_JOB_INTERVAL_S 4 /* mean */
#define NO_RANDOM_FAULTS_EVERY 3u /* days with incidents have no random faults if the seed is a multiple of it */

/* The key-value store's limits after a day's upgrade. */
#define ANNOUNCED_VALUE_KB 2
#define ANNOUNCED_TXN_OPS 4
#define ANNOUNCED_WRITE_RPS 15

/* ---- upgrade ---- */

static void lower_limits(void *arg) {
  (void)arg;
  world_kv_limit(ANNOUNCED_VALUE_KB, ANNOUNCED_TXN_OPS, ANNOUNCED_WRITE_RPS);
}

/* Upgrades one controller after the other, sometimes before the previous one is back. Some of their
 * transactions are applied only long after the last upgrade. */
static void upgrade_next(void *arg) {
  unsigned node = GPOINTER_TO_UINT(arg);
  if (node == 0) world_late_writes(0.1);
  world_upgrade(node, sim_chance(0.3) ? sim_draw(0.05, 0.5) : sim_draw(3.5, 4.5));
  if (g_verbose) g_printerr("%.2f upgrade of %u\n", sim_now(), node);
  if (node + 1 < WORLD_NODES) {
    sim_after(sim_draw(2, 15), upgrade_next, GUINT_TO_POINTER(node + 1));
    return;
  }
  world_late_writes_end(0.1);
  sim_after(sim_draw(1, 60), lower_limits, NULL);
}

static void begin_with_former_version(void) {
  world_kv_announce_limits(ANNOUNCED_VALUE_KB, ANNOUNCED_TXN_OPS, ANNOUNCED_WRITE_RPS);
  world_former_version();
  world_late_writes_delay(2, 90);
  sim_after(sim_draw(15, 60), upgrade_next, GUINT_TO_POINTER(0));
}

/* ---- unfinished jobs ---- */

static void report_unfinished(const sim_job *job) {
  g_printerr("unfinished %s %s tasks=%u done=%u cpus=%.1f gpus=%.0f one_zone=%d zone=%s spread=%d spot=%d team=%s\n",
             job->id, job->kind, job->tasks, job->done_count, job->cpus, job->gpus, job->one_zone,
             job->zone ? job->zone : "-", job->spread, job->spot, job->team);
}

static void count_unfinished(void) {
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init(&iter, g_jobs);
  while (g_hash_table_iter_next(&iter, NULL, &value)) {
    const sim_job *job = value;
    if (job->terminal) continue;
    g_result.unfinished++;
    if (g_verbose) report_unfinished(job);
  }
}

static void report_machines(void) {
  for (guint i = 0; i < g_worker_list->len; i++) {
    const sim_worker *worker = g_worker_list->pdata[i];
    if (worker->terminated) continue;
    g_printerr("machine %s zone=%s spot=%d up=%d boots_at=%.0f tasks=%u\n", worker->id, k_zones[worker->zone],
               worker->spot, worker->up, worker->boots_at, worker->tasks->len);
  }
}

/* ---- the day ---- */

static void add_random_jobs(double busy_s, const world_day *day) {
  for (unsigned i = 1; i <= (unsigned)(busy_s / JOB_INTERVAL_S); i++)
    users_add_random_job(i, busy_s, day->overlapping_faults);
  if (!day->pipelines) return;
  unsigned added = 0;
  while (added < (unsigned)(busy_s / PIPELINE_JOB_INTERVAL_S)) added += users_add_random_pipeline(added, busy_s);
}

/* Some days with incidents have no random faults besides them. */
static void start_faults(uint32_t seed, double busy_s, bool incidents) {
  double end = sim_now() + busy_s;
  g_duplicate_share = DUPLICATE_SHARE;
  g_faults_end_at = end + FAULT_MAX_S;
  if (!incidents || seed % NO_RANDOM_FAULTS_EVERY != 0) random_faults_start(end);
  double incidents_end_at = incidents ? incidents_start(end) : 0;
  g_faults_end_at = MAX(g_faults_end_at, incidents_end_at);
}

/* Runs the day; with late rentals and deletions all tasks have to be on known machines all the time. */
static void check_until(double end, bool late_cloud) {
  while (late_cloud && sim_now() + KNOWN_TASKS_INTERVAL_S < end) {
    sim_run_until(sim_now() + KNOWN_TASKS_INTERVAL_S);
    world_check_tasks_known();
  }
  sim_run_until(end);
}

world_result world_play(uint32_t seed, double busy_s, const world_day *day) {
  world_set_up(seed, LOSS_SHARE);
  if (day->repeated_calls) {
    world_repeat_calls(REPEATED_CALL_SHARE);
    g_failing_task_share = FAILING_TASK_SHARE;
  }
  if (day->late_calls) world_late_calls(LATE_CALL_SHARE);
  if (day->late_cloud) world_late_cloud(LATE_CLOUD_SHARE, LATE_CLOUD_MIN_S, LATE_CLOUD_MAX_S);
  if (day->unknown_members) unknown_members_start(seed, UNKNOWN_MEMBERS_SHARE);
  if (day->upgrade) begin_with_former_version();
  world_start_nodes();
  for (int i = 0; i < FIRST_MACHINES; i++) (void)worker_new(i % ZONES, false, 0);
  add_random_jobs(busy_s, day);
  users_poll_unknown_job(NULL);
  start_faults(seed, busy_s, day->overlapping_faults);
  checks_start();
  check_until(checks_end_time(), day->late_cloud);
  checks_end();
  world_late_cloud(0, 0, 0);
  world_check_released();
  count_unfinished();
  if (day->unknown_members) g_result.unknown_members = unknown_members_sent();
  if (g_verbose) report_machines();
  return g_result;
}
