/* What must hold at the end of a day, job by job, and what must hold all through the
 * quiet part of it. */
#include "stand_ins.h"

#define SAMPLE_S 3.0
#define LEFT_S 90.0      /* a job that could run waits no longer */
#define LARGEST_S 240.0  /* the largest begin within, once the troubles are over */
#define LARGEST_SHARE 5u /* the largest: one job in so many of its class */

static bool live(const sim_task *task) {
  return task->state != TASK_EXITED;
}

/* As controllers may use it: there, and not about to go. */
static bool usable(const sim_worker *worker) {
  double now = sim_now();
  return worker->up && !worker->terminated && worker->preemption_notice_at <= 0 && now >= worker->hung_until &&
         now >= worker->inbound_lost_until && now >= worker->outbound_lost_until;
}

/* How many more tasks of the job the machine has room for. */
static unsigned places_on(const sim_worker *worker, const sim_job *job) {
  if (!usable(worker) || (worker->spot && !job->spot)) return 0;
  if (job->zone && strcmp(job->zone, world_zones[worker->zone]) != 0) return 0;
  double cpus = MACHINE_CPUS, gpus = MACHINE_GPUS;
  for (guint i = 0; i < worker->tasks->len; i++) {
    const sim_task *task = worker->tasks->pdata[i];
    if (!live(task) || !task->job) continue;
    cpus -= task->job->cpus;
    gpus -= task->job->gpus;
  }
  unsigned count = 0;
  while (count < job->tasks && cpus >= job->cpus - ROUNDING && gpus >= job->gpus - ROUNDING) {
    count++;
    cpus -= job->cpus;
    gpus -= job->gpus;
  }
  return count;
}

typedef struct job_progress {
  unsigned missing; /* tasks that are neither done nor on a machine */
  unsigned running;
  unsigned in_zone[2]; /* its tasks that are on machines */
  unsigned room[2];    /* for more of them */
} job_progress;

static job_progress stand_of(const sim_job *job) {
  job_progress progress = {0};
  bool *there = g_new0(bool, job->tasks);
  for (guint i = 0; i < g_worker_list->len; i++) {
    const sim_worker *worker = g_worker_list->pdata[i];
    if (worker->terminated) continue;
    for (guint k = 0; k < worker->tasks->len; k++) {
      const sim_task *task = worker->tasks->pdata[k];
      if (task->job != job || !live(task)) continue;
      there[task->index] = true;
      progress.in_zone[worker->zone]++;
      progress.running += task->state == TASK_RUNNING;
    }
    progress.room[worker->zone] += places_on(worker, job);
  }
  /* Done, and nobody has learned of it: it takes another start. */
  bool all = job->done_count == job->tasks;
  for (unsigned i = 0; i < job->tasks; i++) progress.missing += !there[i] && (all || !job->done[i]);
  g_free(there);
  return progress;
}

static double team_gpus(const char *team) {
  double gpus = 0;
  for (guint i = 0; i < g_worker_list->len; i++) {
    const sim_worker *worker = g_worker_list->pdata[i];
    for (guint k = 0; !worker->terminated && k < worker->tasks->len; k++) {
      const sim_task *task = worker->tasks->pdata[k];
      if (live(task) && task->job && strcmp(task->job->team, team) == 0) gpus += task->job->gpus;
    }
  }
  return gpus;
}

/* Room for all of a gang, or for one more task, where the job may be. */
static bool has_room(const sim_job *job, const job_progress *progress, unsigned need) {
  if (strcmp(job->team, "blue") == 0 && team_gpus("blue") + need * job->gpus > BLUE_GPUS_MAX + ROUNDING) return false;
  unsigned all = 0, one = 0;
  for (int z = 0; z < 2; z++) {
    unsigned room = progress->room[z], half = (job->tasks + 1) / 2;
    if (job->spread) room = progress->in_zone[z] >= half ? 0 : MIN(room, half - progress->in_zone[z]);
    all += room;
    if (progress->in_zone[!z] == 0) one = MAX(one, room);
  }
  return (job->one_zone ? one : all) >= need;
}

/* Since when the job has been left waiting beside room; 0: it isn't. */
static double starved_since(const sim_job *job) {
  if (!job->seen_accepted || job->terminal || job->cancel_requested || job_dependency_cancelled(job) ||
      isinf(job_ready_at(job)))
    return 0;
  bool gang = strcmp(job->kind, "gang") == 0;
  job_progress progress = stand_of(job);
  if (gang ? progress.running > 0 : progress.missing == 0) return 0;
  if (!has_room(job, &progress, gang ? progress.missing : 1)) return 0;
  double since = job->starved_since > 0 ? job->starved_since : sim_now(); /* it is ready then */
  return gang ? since : MAX(since, job->last_started_at);
}

static void each_job(void (*fn)(sim_job *job)) {
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init(&iter, g_jobs);
  while (g_hash_table_iter_next(&iter, NULL, &value)) fn(value);
}

static void broke_of(const char *rule, const sim_job *job, double since) {
  char detail[160];
  g_snprintf(detail, sizeof detail, "%s %s of %u tasks, %.0f GPUs each, since %.1f", job->kind, job->id, job->tasks,
             job->gpus, since);
  world_broke(rule, detail);
}

static void sample_job(sim_job *job) {
  job->starved_since = starved_since(job);
  if (job->starved_since <= 0 || sim_now() <= job->starved_since + LEFT_S) return;
  broke_of("left waiting beside room", job, job->starved_since);
  job->starved_since = sim_now(); /* once in so long */
}

static void sample(void *arg) {
  (void)arg;
  if (sim_now() > g_faults_end_at) each_job(sample_job);
  sim_after(SAMPLE_S, sample, NULL);
}

/* ---- the end ---- */

static void check_known(sim_job *job) {
  double since = MAX(g_faults_end_at, MAX(job->seen_accepted_at, job->last_answer_at));
  if (job->seen_accepted && sim_now() > since + ANSWER_DEADLINE_S) broke_of("forgotten (nothing answered)", job, since);
}

static double size_of(const sim_job *job) {
  return job->tasks * job->gpus;
}

static gint compare_sizes(gconstpointer left, gconstpointer right) {
  double left_size = size_of(*(sim_job *const *)left), right_size = size_of(*(sim_job *const *)right);
  return left_size > right_size ? -1 : left_size < right_size;
}

/* What is cancelled before it has waited for long asks for nothing. */
static bool counts(const sim_job *job) {
  if (job->began_at <= 0 && (job_dependency_cancelled(job) || isinf(job_ready_at(job)))) return false;
  return job->began_at > 0 || !job->cancel_requested || job->cancel_requested_at > job->seen_accepted_at + LEFT_S;
}

static void check_served(const char *what, const char *name, GPtrArray *jobs, guint first) {
  unsigned all = 0, served = 0;
  for (guint i = 0; i < first; i++) {
    const sim_job *job = jobs->pdata[i];
    all += counts(job);
    served += counts(job) && job->began_at > 0;
  }
  if (all > 0) g_result.served_least = MIN(g_result.served_least, 100 * served / all);
  if (served * 2 >= all) return;
  char detail[160];
  g_snprintf(detail, sizeof detail, "%s %s: %u of %u", what, name, served, all);
  world_broke("less than half served", detail);
}

static GPtrArray *jobs_of(const char *kind, const char *team) {
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

/* Every job as large as the last of the share counts with them. */
static guint largest_of(const GPtrArray *jobs) {
  guint count = (jobs->len + LARGEST_SHARE - 1) / LARGEST_SHARE;
  while (count < jobs->len && count > 0 && size_of(jobs->pdata[count]) >= size_of(jobs->pdata[count - 1])) count++;
  return count;
}

static void check_class(const char *kind) {
  GPtrArray *jobs = jobs_of(kind, NULL);
  guint largest = largest_of(jobs);
  check_served("class", kind, jobs, jobs->len);
  check_served("largest of", kind, jobs, largest);
  for (guint i = 0; i < largest; i++) {
    const sim_job *job = jobs->pdata[i];
    if (job_dependency_cancelled(job) || isinf(job_ready_at(job))) continue;
    double from = MAX(MAX(job->created_at + job->submit_delay_s, job_ready_at(job)), g_faults_end_at);
    double began = job->began_at > 0 ? job->began_at : sim_now();
    if (!job->cancel_requested && began > from + LARGEST_S) broke_of("one of the largest began late", job, from);
  }
  g_ptr_array_free(jobs, TRUE);
}

static void check_recorded(const char *id) {
  if (!g_hash_table_contains(g_jobs, id)) world_broke("accepted what can't run or isn't a job", id);
}

void checks_start(void) {
  g_result.served_least = 100;
  sim_after(SAMPLE_S, sample, NULL);
}

double checks_end_time(void) {
  return g_faults_end_at + LARGEST_S + SAMPLE_S;
}

void checks_end(void) {
  static const char *const kinds[] = {"sweep", "gang", "service"};
  static const char *const teams[] = {"red", "blue"};
  each_job(check_known);
  for (guint i = 0; i < G_N_ELEMENTS(kinds); i++) check_class(kinds[i]);
  for (guint i = 0; i < G_N_ELEMENTS(teams); i++) {
    GPtrArray *jobs = jobs_of(NULL, teams[i]);
    check_served("team", teams[i], jobs, jobs->len);
    g_ptr_array_free(jobs, TRUE);
  }
  state_each("fc1/job/", check_recorded);
  state_each("fc1over/", check_recorded);
}
