/* Packs the queues of all shards and the expected arrivals onto the fleet: first into existing and requested machines,
 * then onto machines to be rented. Assumes that slices which don't fit in their shard are handed over, or that machines
 * are transferred for them. Pure function over the cluster state. */
#ifndef FC_SCHEDULER_QUEUE_PACKING_H
#define FC_SCHEDULER_QUEUE_PACKING_H

#include <glib.h>

#include "scheduler/capacity_model.h"

/* Returns an array of fc_model_machine: all machines, where `idle` marks those that stay empty and `rented` those to be
 * rented. `refused` may be NULL: the cloud refuses nothing. The caller frees the array. */
GArray *fc_queue_packing_plan(const fc_cluster *cluster, fc_capacity_refused_fn refused, void *refused_arg, double now);

#endif
