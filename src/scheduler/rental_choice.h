/* Chooses the kind of machine (type, zone, spot or on-demand) to rent for a task. Pure function over the capacity
 * model. */
#ifndef FC_SCHEDULER_RENTAL_CHOICE_H
#define FC_SCHEDULER_RENTAL_CHOICE_H

#include "scheduler/capacity_model.h"
#include "scheduler/zone_spread.h"

/* The task for which a machine is to be rented. */
typedef struct fc_rental_need {
  const fc_job *job;
  const fc_zone_spread *spread; /* of the job's tasks */
  unsigned zone;                /* or FC_ANY_ZONE */
  int owner;                    /* member; -1: the one with the fewest machines */
  bool on_demand;               /* an on-demand machine may be rented as well as a spot instance */
} fc_rental_need;

/* Sets *chosen to the empty machine on which a task of the job fits at the lowest price per task; among equals, to one
 * in the zone with the fewest machines. Returns false, with *chosen unchanged, when the job, the zones or the cloud
 * allow none. */
bool fc_rental_choose(const fc_capacity_model *model, const fc_rental_need *need, fc_model_machine *chosen);

#endif
