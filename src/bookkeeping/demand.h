/* What arrives: per class of jobs, how often and how large, as observed. */
#ifndef FC_BOOKKEEPING_DEMAND_H
#define FC_BOOKKEEPING_DEMAND_H

#include <glib.h>

#include "protocol/job.h"

typedef struct fc_demand_class {
  GRefString *name;
  fc_job_kind kind;
  fc_rank rank;
  double cpus, gpus, memory_gb; /* of a task of the newest job */
  bool spot;
  double weight;         /* jobs, fading with time */
  double tasks, squares; /* sums of tasks and of their squares, fading */
  double at;
} fc_demand_class;

typedef struct fc_demand_stats {
  GHashTable *classes; /* name -> fc_demand_class */
  double memory_s;     /* how long an arrival is remembered */
} fc_demand_stats;

void fc_demand_init(fc_demand_stats *d, double memory_s);
void fc_demand_free(fc_demand_stats *d);
void fc_demand_arrival(fc_demand_stats *d, const fc_job_spec *s, double now);
/* How many tasks of the class more than the average may arrive within
 * `horizon_s`, at so many standard deviations. */
unsigned fc_demand_margin(const fc_demand_stats *d, const fc_demand_class *c, double horizon_s, double deviations,
                          double now);

#endif
