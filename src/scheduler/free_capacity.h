/* Free capacity of machines, and which machines may be used. Pure functions over the cluster state: the lists
 * are copies that a plan subtracts its decisions from. */
#ifndef FC_SCHEDULER_FREE_CAPACITY_H
#define FC_SCHEDULER_FREE_CAPACITY_H

#include <glib.h>

#include "bookkeeping/cluster.h"

/* A machine with the capacity that is left to a plan. */
typedef struct fc_free_capacity {
  fc_machine *machine;
  fc_resources room; /* free, less what the plan has taken */
  bool claimed;      /* the plan uses the whole machine */
} fc_free_capacity;

typedef bool (*fc_machine_filter_fn)(const fc_cluster *cluster, const fc_machine *machine, double now);

/* Returns whether this shard may start tasks on the machine now. */
bool fc_machine_usable(const fc_cluster *cluster, const fc_machine *machine, double now);
/* Returns whether the shard that owns the machine may start tasks on it, as far as this member knows. */
bool fc_machine_usable_by_owner(const fc_cluster *cluster, const fc_machine *machine, double now);
/* Returns whether the job allows the machine's type, zone and spot state, and no task of the job has failed
 * there. Does not compare the free capacity. */
bool fc_machine_suits_job(const fc_machine *machine, const fc_job *job);

/* Returns an array of fc_free_capacity: the machines that the filter accepts, in the order of the cluster's
 * table. The caller frees the array. */
GArray *fc_free_capacity_gather(const fc_cluster *cluster, fc_machine_filter_fn filter, double now);
/* Sorts by machine id, so that all members consider the machines in the same order. */
void fc_free_capacity_sort(GArray *capacity);
/* Removes the machines without room for `minimum`; the others keep their order. */
void fc_free_capacity_keep_fitting(GArray *capacity, const fc_job_spec *minimum);

#endif
