/* Rules for whole days: once the faults are over no job that could run stays pending for too long, and
 * at the end the status of every accepted job is answered, every job record in the store belongs to a
 * job of the day, and the largest jobs and at least half the jobs of each kind and team have begun. */
#include "stand_ins.h"

#define SAMPLE_INTERVAL_S 3.0
#define STARVATION_LIMIT_S 90.0      /* the longest that a job that could run may be pending */
#define LARGEST_BEGIN_WITHIN_S 240.0 /* for the largest jobs, once the faults are over */
#define LARGEST_ONE_IN 5u            /* the largest: one job in 5 of each kind */

static bool is_active(const sim_task *task) {
  return task->state != TASK_EXITED;
}

/* Whether controllers can use the machine: it is reachable and not about to be preempted. */
static bool is_usable(const sim_worker *worker) {
  double now = sim_now();
  return worker->up && !worker->terminated && worker->preemption_notice_at <= 0 && now >= worker->hung_until &&
         now >= worker->inbound_lost_until && now >= worker->outbound_lost_until;
}

/* How many more tasks of the job fit on the machine. */
static unsigned tasks_that_fit(const sim_worker *worker, const sim_job *job) {
  if (!is_usable(worker) || (worker->spot && !job->spot)) return 0;
  if (job->zone && strcmp(job->zone, k_zones[worker->zone]) != 0) return 0;
  double cpus, gpus;
  worker_free_room(worker, &cpus, &gpus);
  unsigned count = 0;
  while (count < job->tasks && cpus >= job->cpus - ROUNDING_TOLERANCE && gpus >= job->gpus - ROUNDING_TOLERANCE) {
    count++;
    cpus -= job->cpus;
    gpus -= job->gpus;
  }
  return count;
}

typedef struct job_progress {
  unsigned missing; /* tasks that are neither done nor on a machine */
  unsigned running;
  unsigned in_zone[ZONES]; /* its tasks on machines, by zone */
  unsigned room[ZONES];    /* how many more of them fit, by zone */
} job_progress;

static job_progress progress_of(const sim_job *job) {
  job_progress progress = {0};
  bool *there = g_new0(bool, job->tasks);
  for (guint i = 0; i < g_worker_list->len; i++) {
    const sim_worker *worker = g_worker_list->pdata[i];
    if (worker->terminated) continue;
    for (guint k = 0; k < worker->tasks->len; k++) {
      const sim_task *task = worker->tasks->pdata[k];
      if (task->job != job || !is_active(task)) continue;
      there[task->index] = true;
      progress.in_zone[worker->zone]++;
      progress.running += task->state == TASK_RUNNING;
    }
    progress.room[worker->zone] += tasks_that_fit(worker, job);
  }
  /* If all tasks are done but the job is not reported as done, the controllers have lost a result and
   * have to start the task again. */
  bool all = job->done_count == job->tasks;
  for (unsigned i = 0; i < job->tasks; i++) progress.missing += !there[i] && (all || !job->done[i]);
  g_free(there);
  return progress;
}

static double gpus_of_team(const char *team) {
  double gpus = 0;
  for (guint i = 0; i < g_worker_list->len; i++) {
    const sim_worker *worker = g_worker_list->pdata[i];
    for (guint k = 0; !worker->terminated && k < worker->tasks->len; k++) {
      const sim_task *task = worker->tasks->pdata[k];
      if (is_active(task) && task->job && strcmp(task->job->team, team) == 0) gpus += task->job->gpus;
    }
  }
  return gpus;
}

/* Whether `need` more tasks of the job fit where it may run, within the quota of its team. */
static bool has_room(const sim_job *job, const job_progress *progress, unsigned need) {
  if (strcmp(job->team, "blue") == 0 && gpus_of_team("blue") + need * job->gpus > BLUE_GPUS_MAX + ROUNDING_TOLERANCE)
    return false;
  unsigned all = 0, one = 0;
  for (int zone = 0; zone < ZONES; zone++) {
    unsigned room = progress->room[zone], half = (job->tasks + 1) / 2;
    if (job->spread) room = progress->in_zone[zone] >= half ? 0 : MIN(room, half - progress->in_zone[zone]);
    all += room;
    if (progress->in_zone[!zone] == 0) one = MAX(one, room);
  }
  return (job->one_zone ? one : all) >= need;
}

/* Since when tasks of the job have been pending although they fit; 0: not the case. */
static double starved_since(const sim_job *job) {
  if (!job->seen_accepted || job->terminal || job->cancel_requested || job_dependency_cancelled(job) ||
      isinf(job_ready_at(job)))
    return 0;
  bool gang = strcmp(job->kind, "gang") == 0;
  job_progress progress = progress_of(job);
  if (gang ? progress.running > 0 : progress.missing == 0) return 0;
  if (!has_room(job, &progress, gang ? progress.missing : 1)) return 0;
  double since = job->starved_since > 0 ? job->starved_since : sim_now();
  return gang ? since : MAX(since, job->last_started_at);
}

static void for_each_job(void (*fn)(sim_job *job)) {
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init(&iter, g_jobs);
  while (g_hash_table_iter_next(&iter, NULL, &value)) fn(value);
}

static void rule_broken_by_job(const char *rule, const sim_job *job, double since) {
  char detail[160];
  g_snprintf(detail, sizeof detail, "%s %s of %u tasks, %.0f GPUs each, since %.1f", job->kind, job->id, job->tasks,
             job->gpus, since);
  world_rule_broken(rule, detail);
}

static void check_starvation(sim_job *job) {
  job->starved_since = starved_since(job);
  if (job->starved_since <= 0 || sim_now() <= job->starved_since + STARVATION_LIMIT_S) return;
  rule_broken_by_job("starved: pending although it fits", job, job->starved_since);
  job->starved_since = sim_now(); /* report it once per limit */
}

static void check_all_starvation(void *arg) {
  (void)arg;
  if (sim_now() > g_faults_end_at) for_each_job(check_starvation);
  sim_after(SAMPLE_INTERVAL_S, check_all_starvation, NULL);
}

/* ---- the end of a day ---- */

static void check_answered(sim_job *job) {
  double since = MAX(g_faults_end_at, MAX(job->seen_accepted_at, job->last_answer_at));
  if (job->seen_accepted && sim_now() > since + ANSWER_DEADLINE_S)
    rule_broken_by_job("no status answer at the end", job, since);
}

static double size_of(const sim_job *job) {
  return job->tasks * job->gpus;
}

static gint compare_sizes(gconstpointer left, gconstpointer right) {
  double left_size = size_of(*(sim_job *const *)left), right_size = size_of(*(sim_job *const *)right);
  return left_size > right_size ? -1 : left_size < right_size;
}

/* A job that was cancelled before it was pending for long doesn't count as unserved. */
static bool counts_as_waiting(const sim_job *job) {
  if (job->began_at <= 0 && (job_dependency_cancelled(job) || isinf(job_ready_at(job)))) return false;
  return job->began_at > 0 || !job->cancel_requested ||
         job->cancel_requested_at > job->seen_accepted_at + STARVATION_LIMIT_S;
}

static void check_served(const char *group, const char *name, GPtrArray *jobs, guint count) {
  unsigned all = 0, served = 0;
  for (guint i = 0; i < count; i++) {
    const sim_job *job = jobs->pdata[i];
    all += counts_as_waiting(job);
    served += counts_as_waiting(job) && job->began_at > 0;
  }
  if (all > 0) g_result.min_served_percent = MIN(g_result.min_served_percent, 100 * served / all);
  if (served * 2 >= all) return;
  char detail[160];
  g_snprintf(detail, sizeof detail, "%s %s: %u of %u", group, name, served, all);
  world_rule_broken("fewer than half began", detail);
}

static GPtrArray *jobs_by_size(const char *kind, const char *team) {
  GPtrArray *out = g_ptr_array_new();
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init(&iter, g_jobs);
  while (g_hash_table_iter_next(&iter, NULL, &value)) {
    const sim_job *job = value;
    if ((!kind || strcmp(job->kind, kind) == 0) && (!team || strcmp(job->team, team) == 0)) g_ptr_array_add(out, value);
  }
  g_ptr_array_sort(out, compare_sizes);
  return out;
}

/* How many of the sorted jobs are the largest, those as large as the smallest of them included. */
static guint count_largest(const GPtrArray *jobs) {
  guint count = (jobs->len + LARGEST_ONE_IN - 1) / LARGEST_ONE_IN;
  while (count < jobs->len && count > 0 && size_of(jobs->pdata[count]) >= size_of(jobs->pdata[count - 1])) count++;
  return count;
}

static void check_class(const char *kind) {
  GPtrArray *jobs = jobs_by_size(kind, NULL);
  guint largest = count_largest(jobs);
  check_served("class", kind, jobs, jobs->len);
  check_served("largest of", kind, jobs, largest);
  for (guint i = 0; i < largest; i++) {
    const sim_job *job = jobs->pdata[i];
    if (job_dependency_cancelled(job) || isinf(job_ready_at(job))) continue;
    double from = MAX(MAX(job->created_at + job->submit_delay_s, job_ready_at(job)), g_faults_end_at);
    double began = job->began_at > 0 ? job->began_at : sim_now();
    if (!job->cancel_requested && began > from + LARGEST_BEGIN_WITHIN_S)
      rule_broken_by_job("one of the largest began late", job, from);
  }
  g_ptr_array_free(jobs, TRUE);
}

static void check_record_known(const char *id) {
  if (!g_hash_table_contains(g_jobs, id)) world_rule_broken("record of an unknown job", id);
}

void checks_start(void) {
  g_result.min_served_percent = 100;
  sim_after(SAMPLE_INTERVAL_S, check_all_starvation, NULL);
}

double checks_end_time(void) {
  return g_faults_end_at + LARGEST_BEGIN_WITHIN_S + SAMPLE_INTERVAL_S;
}

void checks_end(void) {
  static const char *const kinds[] = {"sweep", "gang", "service"};
  static const char *const teams[] = {"red", "blue"};
  for_each_job(check_answered);
  for (guint i = 0; i < G_N_ELEMENTS(kinds); i++) check_class(kinds[i]);
  for (guint i = 0; i < G_N_ELEMENTS(teams); i++) {
    GPtrArray *jobs = jobs_by_size(NULL, teams[i]);
    check_served("team", teams[i], jobs, jobs->len);
    g_ptr_array_free(jobs, TRUE);
  }
  kv_each_job("fc1/job/", check_record_known);
  kv_each_job("fc1over/", check_record_known);
}
