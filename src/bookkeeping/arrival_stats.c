#include "bookkeeping/arrival_stats.h"

#include <math.h>

/* Bounded, as users choose the class names. */
#define MAX_CLASSES 256u
#define MAX_HEADROOM_TASKS 10000u

static void class_free(gpointer value) {
  fc_arrival_class *job_class = value;
  g_ref_string_release(job_class->name);
  g_free(job_class);
}

void fc_arrival_stats_init(fc_arrival_stats *stats, double decay_s) {
  stats->classes = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, class_free);
  stats->decay_s = decay_s;
}

void fc_arrival_stats_clear(fc_arrival_stats *stats) {
  g_hash_table_destroy(stats->classes);
}

/* The factor by which the sums of the class have decayed since their last update. */
static double decay_factor(const fc_arrival_stats *stats, const fc_arrival_class *job_class, double now) {
  return exp(-(now - job_class->updated_at) / stats->decay_s);
}

/* The class of that name, created if it is missing. NULL: there are too many classes. */
static fc_arrival_class *find_or_create_class(fc_arrival_stats *stats, GRefString *name, double now) {
  fc_arrival_class *job_class = g_hash_table_lookup(stats->classes, name);
  if (job_class) return job_class;
  if (g_hash_table_size(stats->classes) >= MAX_CLASSES) return NULL;
  job_class = g_new0(fc_arrival_class, 1);
  job_class->name = g_ref_string_acquire(name);
  job_class->updated_at = now;
  g_hash_table_insert(stats->classes, job_class->name, job_class);
  return job_class;
}

void fc_arrival_stats_add(fc_arrival_stats *stats, const fc_job_spec *spec, double now) {
  fc_arrival_class *job_class = find_or_create_class(stats, spec->class_name, now);
  if (!job_class) return;
  double decay = decay_factor(stats, job_class, now);
  job_class->weight = job_class->weight * decay + 1;
  job_class->task_squares = job_class->task_squares * decay + (double)spec->tasks * spec->tasks;
  job_class->updated_at = now;
  job_class->kind = spec->kind;
  job_class->priority = spec->priority;
  job_class->cpus = spec->cpus;
  job_class->gpus = spec->gpus;
  job_class->memory_gb = spec->memory_gb;
  job_class->spot = spec->spot;
}

unsigned fc_arrival_stats_headroom(const fc_arrival_stats *stats, const fc_arrival_class *job_class, double horizon_s,
                                   double deviations, double now) {
  /* Tasks arrive in batches of n: the variance over the horizon is rate * horizon * E[n^2]. */
  double variance = job_class->task_squares * decay_factor(stats, job_class, now) / stats->decay_s * horizon_s;
  double headroom = deviations * sqrt(variance);
  return headroom > MAX_HEADROOM_TASKS ? MAX_HEADROOM_TASKS : (unsigned)(headroom + 0.5);
}
