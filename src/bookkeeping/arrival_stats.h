/* What arrives: per class of jobs, how often and how large, as observed. */
#ifndef FC_BOOKKEEPING_ARRIVAL_STATS_H
#define FC_BOOKKEEPING_ARRIVAL_STATS_H

#include <glib.h>

#include "protocol/job.h"

typedef struct fc_arrival_class {
  GRefString *name;
  fc_job_kind kind;
  fc_priority priority;
  double cpus, gpus, memory_gb; /* of a task of the newest job */
  bool spot;
  double weight;         /* jobs, fading with time */
  double tasks, squares; /* sums of tasks and of their squares, fading */
  double at;
} fc_arrival_class;

typedef struct fc_arrival_stats {
  GHashTable *classes; /* name -> fc_arrival_class */
  double memory_s;     /* how long an arrival is remembered */
} fc_arrival_stats;

void fc_arrival_stats_init(fc_arrival_stats *stats, double memory_s);
void fc_arrival_stats_clear(fc_arrival_stats *stats);
void fc_arrival_stats_add(fc_arrival_stats *stats, const fc_job_spec *spec, double now);
/* How many tasks of the class more than the average may arrive within
 * `horizon_s`, at so many standard deviations. */
unsigned fc_arrival_stats_headroom(const fc_arrival_stats *stats, const fc_arrival_class *job_class, double horizon_s,
                                   double deviations, double now);

#endif
