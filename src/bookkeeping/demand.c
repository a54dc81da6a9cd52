#include "bookkeeping/demand.h"

#include <math.h>

#define CLASSES_MOST 256u

static void class_free(gpointer p) {
  fc_demand_class *c = p;
  g_ref_string_release(c->name);
  g_free(c);
}

void fc_demand_init(fc_demand_stats *d, double memory_s) {
  d->classes = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, class_free);
  d->memory_s = memory_s;
}

void fc_demand_free(fc_demand_stats *d) {
  g_hash_table_destroy(d->classes);
}

static double fading(const fc_demand_stats *d, const fc_demand_class *c, double now) {
  return exp(-(now - c->at) / d->memory_s);
}

void fc_demand_arrival(fc_demand_stats *d, const fc_job_spec *s, double now) {
  fc_demand_class *c = g_hash_table_lookup(d->classes, s->class_name);
  if (!c) {
    /* Users choose the names: their number is bounded. */
    if (g_hash_table_size(d->classes) >= CLASSES_MOST) return;
    c = g_new0(fc_demand_class, 1);
    c->name = g_ref_string_acquire(s->class_name);
    c->at = now;
    g_hash_table_insert(d->classes, c->name, c);
  }
  double f = fading(d, c, now);
  c->weight = c->weight * f + 1;
  c->tasks = c->tasks * f + s->tasks;
  c->squares = c->squares * f + (double)s->tasks * s->tasks;
  c->at = now;
  c->kind = s->kind;
  c->rank = s->rank;
  c->cpus = s->cpus;
  c->gpus = s->gpus;
  c->memory_gb = s->memory_gb;
  c->spot = s->spot;
}

unsigned fc_demand_margin(const fc_demand_stats *d, const fc_demand_class *c, double horizon_s, double deviations,
                          double now) {
  /* Arrivals in batches: the variance over the horizon is rate * E[n^2]. */
  double variance = c->squares * fading(d, c, now) / d->memory_s * horizon_s;
  double n = deviations * sqrt(variance);
  return n > 10000 ? 10000 : (unsigned)(n + 0.5);
}
