#include "scheduler/zone_spread.h"

fc_zone_spread fc_job_zone_spread(const fc_job *job) {
  fc_zone_spread spread = {{0}, 0};
  for (guint i = 0; i < job->placements->len; i++) {
    const fc_placement *placement = job->placements->pdata[i];
    if (fc_placement_active(placement)) fc_zone_spread_add(&spread, placement->machine->zone);
  }
  return spread;
}

void fc_zone_spread_add(fc_zone_spread *spread, unsigned zone) {
  spread->by_zone[zone]++;
  spread->total++;
}

bool fc_zone_spread_allows(const fc_zone_spread *spread, const fc_job_spec *spec, unsigned zone) {
  if (spec->one_zone && spread->total != spread->by_zone[zone]) return false;
  return !spec->spread || spread->by_zone[zone] + 1 <= (spec->tasks + 1) / 2;
}
