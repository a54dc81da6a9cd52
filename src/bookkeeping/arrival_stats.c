#include "bookkeeping/arrival_stats.h"

#include <math.h>

#define CLASSES_MOST 256u

static void class_free(gpointer p) {
  fc_arrival_class *job_class = p;
  g_ref_string_release(job_class->name);
  g_free(job_class);
}

void fc_arrival_stats_init(fc_arrival_stats *stats, double memory_s) {
  stats->classes = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, class_free);
  stats->memory_s = memory_s;
}

void fc_arrival_stats_clear(fc_arrival_stats *stats) {
  g_hash_table_destroy(stats->classes);
}

static double fading(const fc_arrival_stats *stats, const fc_arrival_class *job_class, double now) {
  return exp(-(now - job_class->at) / stats->memory_s);
}

void fc_arrival_stats_add(fc_arrival_stats *stats, const fc_job_spec *spec, double now) {
  fc_arrival_class *job_class = g_hash_table_lookup(stats->classes, spec->class_name);
  if (!job_class) {
    /* Users choose the names: their number is bounded. */
    if (g_hash_table_size(stats->classes) >= CLASSES_MOST) return;
    job_class = g_new0(fc_arrival_class, 1);
    job_class->name = g_ref_string_acquire(spec->class_name);
    job_class->at = now;
    g_hash_table_insert(stats->classes, job_class->name, job_class);
  }
  double f = fading(stats, job_class, now);
  job_class->weight = job_class->weight * f + 1;
  job_class->tasks = job_class->tasks * f + spec->tasks;
  job_class->squares = job_class->squares * f + (double)spec->tasks * spec->tasks;
  job_class->at = now;
  job_class->kind = spec->kind;
  job_class->priority = spec->priority;
  job_class->cpus = spec->cpus;
  job_class->gpus = spec->gpus;
  job_class->memory_gb = spec->memory_gb;
  job_class->spot = spec->spot;
}

unsigned fc_arrival_stats_headroom(const fc_arrival_stats *stats, const fc_arrival_class *job_class, double horizon_s,
                                   double deviations, double now) {
  /* Arrivals in batches: the variance over the horizon is rate * E[n^2]. */
  double variance = job_class->squares * fading(stats, job_class, now) / stats->memory_s * horizon_s;
  double n = deviations * sqrt(variance);
  return n > 10000 ? 10000 : (unsigned)(n + 0.5);
}
