/* Scale-out: which machines to rent for what the queue needs beyond the room there is or will soon
 * be. Pure function over the cluster state. */
#ifndef FC_SCHEDULER_SCALE_OUT_H
#define FC_SCHEDULER_SCALE_OUT_H

#include <glib.h>

#include "bookkeeping/cluster.h"
#include "scheduler/capacity_model.h"

/* Machines of one kind to rent for one shard. */
typedef struct fc_rental_request {
  int type;         /* index into the machine types */
  const char *zone; /* of the settings, not to be freed */
  bool spot;
  int owner; /* the member whose shard needs them; -1: the one with the fewest machines */
  unsigned count;
} fc_rental_request;

/* The rentals (fc_rental_request) that the queue and expected arrivals need, none of a kind that
 * `refused` (NULL: nothing is) names. The caller frees the array. */
GArray *fc_scale_out_plan(const fc_cluster *cluster, fc_capacity_refused_fn refused, void *refused_arg, double now);

#endif
