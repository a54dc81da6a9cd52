/* Scale-out: plans which machines to rent when the queue needs more than the existing and requested ones. Pure function
 * over the cluster state. */
#ifndef FC_SCHEDULER_SCALE_OUT_H
#define FC_SCHEDULER_SCALE_OUT_H

#include <glib.h>

#include "bookkeeping/cluster.h"
#include "scheduler/capacity_model.h"

/* Machines of one kind to rent for one shard. */
typedef struct fc_rental_request {
  int type;         /* index into the machine types */
  const char *zone; /* owned by the settings */
  bool spot;
  int owner; /* member whose shard needs them; -1: the one with the fewest machines */
  unsigned count;
} fc_rental_request;

/* Returns an array of fc_rental_request: the machines to rent for the queue and the expected arrivals, without those
 * for which `refused` returns true (NULL: the cloud refuses nothing). The caller frees the array. */
GArray *fc_scale_out_plan(const fc_cluster *cluster, fc_capacity_refused_fn refused, void *refused_arg, double now);

#endif
