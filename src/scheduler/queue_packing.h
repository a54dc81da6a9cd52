/* Packs the queue of all shards, and what is expected to arrive, onto the fleet: into the room there
 * is or soon will be, and onto rented machines for the rest. What a shard can't hold is assumed to be
 * handed over, or to get machines transferred. Pure function over the cluster state. */
#ifndef FC_SCHEDULER_QUEUE_PACKING_H
#define FC_SCHEDULER_QUEUE_PACKING_H

#include <glib.h>

#include "scheduler/capacity_model.h"

/* Returns all machines (fc_model_machine): those that stayed empty are `idle`, those to be rented
 * `rented`. `refused` may be NULL: the cloud refuses nothing. The caller frees the array. */
GArray *fc_queue_packing_plan(const fc_cluster *cluster, fc_capacity_refused_fn refused, void *refused_arg, double now);

#endif
