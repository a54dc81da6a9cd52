/* Which kind of machine (type, zone, spot or on-demand) to rent for a task. Pure function over the
 * model. */
#ifndef FC_SCHEDULER_RENTAL_CHOICE_H
#define FC_SCHEDULER_RENTAL_CHOICE_H

#include "scheduler/capacity_model.h"
#include "scheduler/zone_spread.h"

/* What is to be rented for. */
typedef struct fc_rental_need {
  const fc_job *job;
  const fc_zone_spread *spread; /* of its tasks */
  unsigned zone;                /* or FC_ANY_ZONE */
  int owner;                    /* member; -1: whoever has the fewest machines */
  bool on_demand;               /* on-demand machines may be rented, besides spot instances */
} fc_rental_need;

/* Sets *chosen to the empty machine that holds a task of the job at the lowest price; among equals,
 * in the zone with the fewest machines. Returns false when the job, the zones or the cloud allow
 * none. */
bool fc_rental_choose(const fc_capacity_model *model, const fc_rental_need *need, fc_model_machine *chosen);

#endif
