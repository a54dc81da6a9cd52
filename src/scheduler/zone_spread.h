/* Zone rules of a job: all its tasks in one zone, or at most half of them (rounded up) in any zone. Pure functions. */
#ifndef FC_SCHEDULER_ZONE_SPREAD_H
#define FC_SCHEDULER_ZONE_SPREAD_H

#include "bookkeeping/cluster.h"

/* Used in place of a zone's index: any zone. */
#define FC_ANY_ZONE (FC_ZONES_MAX + 1u)

/* The number of a job's tasks that may be running in each zone. Counted once, then updated by the caller as it plans
 * more tasks. */
typedef struct fc_zone_spread {
  unsigned by_zone[FC_ZONES_MAX + 1]; /* the last: zones that are not in the settings */
  unsigned total;
} fc_zone_spread;

/* Counts the job's active placements by zone. */
fc_zone_spread fc_job_zone_spread(const fc_job *job);
/* Adds one task in the zone. */
void fc_zone_spread_add(fc_zone_spread *spread, unsigned zone);
/* Returns whether another task of the job may start in the zone. */
bool fc_zone_spread_allows(const fc_zone_spread *spread, const fc_job_spec *spec, unsigned zone);

#endif
