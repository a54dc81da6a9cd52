/* Random jobs and pipelines of a day. */
#include "users.h"

#define IMAGES 4u            /* number of container images in use */
#define JOB_NUMBER_STEP 7919 /* spreads the ids over the controllers' shards */
#define JOB_NUMBERS 900000
#define WIDE_GANG_GPUS 4
#define BURST_JOB_SIZE 0.25      /* CPUs and GPUs */
#define BURST_JOB_INTERVAL_S 0.5 /* mean */
#define LATE_STAGE_DELAY_S 40    /* the earlier stages may be done by then */

/* ---- pipelines ---- */

static gint compare_ids(gconstpointer left, gconstpointer right) {
  return strcmp((*(sim_job *const *)left)->id, (*(sim_job *const *)right)->id);
}

/* A random job of those so far that others can depend on; NULL: there is none. */
static sim_job *random_earlier_job(void) {
  GPtrArray *jobs = g_ptr_array_new();
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init(&iter, g_jobs);
  while (g_hash_table_iter_next(&iter, NULL, &value))
    if (strcmp(((const sim_job *)value)->kind, "service") != 0) g_ptr_array_add(jobs, value);
  g_ptr_array_sort(jobs, compare_ids);
  sim_job *job = jobs->len > 0 ? jobs->pdata[g_rand_int_range(sim_rand(), 0, (gint32)jobs->len)] : NULL;
  g_ptr_array_free(jobs, TRUE);
  return job;
}

/* A job of a pipeline that depends on the last of `before` and some of the others. */
static sim_job *new_stage(unsigned number, double submit_delay_s, const GPtrArray *before) {
  sim_job *job = g_new0(sim_job, 1);
  g_snprintf(job->id, sizeof job->id, "job-%06u", FIRST_PIPELINE_JOB + number);
  bool gang = sim_chance(0.2);
  job->kind = gang ? "gang" : "sweep";
  job->priority = sim_chance(0.5) ? "best_effort" : "standard";
  job->team = sim_chance(0.5) ? "red" : "blue";
  job->tasks = 1 + (unsigned)sim_draw(0, gang ? 3 : 6);
  job->gpus = 0.25;
  job->cpus = sim_draw(1, 4);
  job->run_s = sim_draw(2, 12);
  job->one_zone = gang;
  job->spot = !gang;
  job->submit_delay_s = submit_delay_s;
  job->dependencies = g_ptr_array_new();
  for (guint i = 0; i < before->len; i++)
    if (i + 1 == before->len || sim_chance(0.4)) g_ptr_array_add(job->dependencies, before->pdata[i]);
  return job;
}

unsigned users_add_random_pipeline(unsigned number, double busy_s) {
  GPtrArray *stages = g_ptr_array_new();
  double from_s = sim_draw(0, busy_s);
  unsigned count = 2 + (unsigned)sim_draw(0, 5);
  bool cancelled = sim_chance(0.25);
  unsigned cancelled_stage = (unsigned)sim_draw(0, count);
  sim_job *earlier = sim_chance(0.3) ? random_earlier_job() : NULL;
  if (earlier) g_ptr_array_add(stages, earlier);
  for (unsigned i = 0; i < count; i++) {
    /* In some pipelines the last job is submitted only when the others may be done. */
    bool last = i + 1 == count;
    sim_job *job = new_stage(number + i, last && sim_chance(0.2) ? from_s + LATE_STAGE_DELAY_S : from_s, stages);
    if (last) {
      job->priority = "high";
      job->deadline_s = sim_draw(30, 120);
    }
    if (cancelled && i == cancelled_stage) job->cancel_delay_s = sim_draw(0, 30);
    job_add(job, (number + i) % IMAGES);
    g_ptr_array_add(stages, job);
  }
  g_ptr_array_free(stages, TRUE);
  return count;
}

/* ---- single jobs ---- */

static bool is_kind(const sim_job *job, const char *kind) {
  return strcmp(job->kind, kind) == 0;
}

static const char *priority_of(const sim_job *job) {
  if (is_kind(job, "service")) return "prod";
  return is_kind(job, "gang") ? "high" : "standard";
}

static unsigned random_tasks(const sim_job *job) {
  if (!is_kind(job, "sweep")) return 1 + (unsigned)sim_draw(0, 3);
  /* Drawn before the second factor: C leaves the order of operands open. */
  double share = sim_draw(0, 1);
  return 1 + (unsigned)(share * sim_draw(0, 10));
}

/* Services are always cancelled, as they never complete; others sometimes. */
static void draw_cancellation(sim_job *job) {
  if (is_kind(job, "service")) {
    job->cancel_delay_s = sim_draw(20, 100);
  } else if (sim_chance(0.1)) {
    job->cancel_delay_s = sim_draw(0, 40);
  }
}

void users_add_random_job(unsigned number, double busy_s, bool incidents) {
  sim_job *job = g_new0(sim_job, 1);
  g_snprintf(job->id, sizeof job->id, "job-%06u", number * JOB_NUMBER_STEP % JOB_NUMBERS);
  double choice = sim_draw(0, 1);
  job->kind = choice < 0.45 ? "sweep" : choice < 0.75 ? "service" : "gang";
  bool gang = is_kind(job, "gang");
  job->priority = priority_of(job);
  job->team = sim_chance(0.5) ? "red" : "blue";
  job->tasks = random_tasks(job);
  job->gpus = gang && sim_chance(0.3) ? WIDE_GANG_GPUS : 1;
  job->cpus = job->gpus * sim_draw(2, 9);
  job->run_s = sim_draw(3, 25);
  job->one_zone = gang && sim_chance(0.7);
  job->spread = is_kind(job, "service") && sim_chance(0.5);
  job->spot = is_kind(job, "sweep") || (gang && sim_chance(0.5));
  job->submit_delay_s = sim_draw(0, busy_s);
  draw_cancellation(job);
  if (incidents) incidents_vary_job(job);
  job_add(job, number % IMAGES);
}

/* ---- bursts ---- */

static unsigned g_burst_jobs; /* submitted in bursts so far this day */

void random_jobs_init(void) {
  g_burst_jobs = 0;
}

void users_submit_burst(double for_s) {
  double in_s = 0;
  while (in_s < for_s) {
    sim_job *job = g_new0(sim_job, 1);
    g_snprintf(job->id, sizeof job->id, "job-%06u", FIRST_BURST_JOB + g_burst_jobs++);
    job->kind = "sweep";
    job->priority = "high";
    job->team = "red";
    job->tasks = 1;
    job->gpus = job->cpus = BURST_JOB_SIZE;
    job->run_s = sim_draw(0.5, 2);
    job->spot = true;
    job->submit_delay_s = in_s;
    job_add(job, g_burst_jobs % IMAGES);
    in_s += sim_draw(0, 2 * BURST_JOB_INTERVAL_S);
  }
}
