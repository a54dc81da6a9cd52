/* Rules about zones: all tasks of a job in one zone, or no more than half of them in any.
 * Pure functions. */
#ifndef FC_SCHEDULER_ZONE_SPREAD_H
#define FC_SCHEDULER_ZONE_SPREAD_H

#include "bookkeeping/cluster.h"

/* Where a zone may be asked for: any. */
#define FC_ANY_ZONE (FC_ZONES_MAX + 1u)

/* How many of a job's tasks may be running in each zone. Counted once, then updated by the
 * caller as it plans more of them. */
typedef struct fc_zone_spread {
  unsigned in[FC_ZONES_MAX + 1]; /* by zone; the last: in none of the zones of the settings */
  unsigned all;
} fc_zone_spread;

/* Counts the job's active placements. */
fc_zone_spread fc_job_zone_spread(const fc_job *job);
/* Counts one more task in the zone. */
void fc_zone_spread_add(fc_zone_spread *spread, unsigned zone);
/* May another task of the job start in the zone? */
bool fc_zone_spread_allows(const fc_zone_spread *spread, const fc_job_spec *spec, unsigned zone);

#endif
