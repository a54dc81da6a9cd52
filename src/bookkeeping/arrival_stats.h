/* Arrival statistics: how often jobs of each class are submitted and how many tasks they have,
 * as exponentially decaying sums. Capacity planning derives its headroom from them. Times are on
 * the monotonic clock of fc_now(), in seconds. Nothing here suspends the calling routine. */
#ifndef FC_BOOKKEEPING_ARRIVAL_STATS_H
#define FC_BOOKKEEPING_ARRIVAL_STATS_H

#include <glib.h>

#include "protocol/job.h"

/* The jobs of one class. Resources, kind, priority and spot are those of the newest job. */
typedef struct fc_arrival_class {
  GRefString *name;
  fc_job_kind kind;
  fc_priority priority;
  double cpus, gpus, memory_gb; /* of one task */
  bool spot;
  double weight;       /* decayed number of jobs */
  double task_squares; /* decayed sum of the squares of their task counts */
  double updated_at;   /* the time at which the decayed sums are valid */
} fc_arrival_class;

typedef struct fc_arrival_stats {
  GHashTable *classes; /* name -> fc_arrival_class, both owned here */
  double decay_s;      /* time constant: the weight of a job falls to 1/e in this time */
} fc_arrival_stats;

/* Freed with fc_arrival_stats_clear(). */
void fc_arrival_stats_init(fc_arrival_stats *stats, double decay_s);
/* Frees the classes, but not `stats` itself. */
void fc_arrival_stats_clear(fc_arrival_stats *stats);

/* Records the arrival of a job; `spec` is not retained. The number of classes is bounded: a job of
 * a further class is not recorded. */
void fc_arrival_stats_add(fc_arrival_stats *stats, const fc_job_spec *spec, double now);

/* By how many tasks of the class the arrivals within `horizon_s` may exceed their average, at
 * `deviations` standard deviations. The result is bounded. `job_class` belongs to `stats`. */
unsigned fc_arrival_stats_headroom(const fc_arrival_stats *stats, const fc_arrival_class *job_class, double horizon_s,
                                   double deviations, double now);

#endif
