/* Machines with their free capacity, and which of them may be used. Pure functions over the cluster
 * state: the lists are copies that a plan takes its room from. */
#ifndef FC_SCHEDULER_FREE_CAPACITY_H
#define FC_SCHEDULER_FREE_CAPACITY_H

#include <glib.h>

#include "bookkeeping/cluster.h"

/* A machine as a plan sees it. */
typedef struct fc_free_capacity {
  fc_machine *machine;
  fc_resources room; /* free, less what the plan has taken */
  bool claimed;      /* taken whole by the plan */
} fc_free_capacity;

typedef bool (*fc_machine_filter_fn)(const fc_cluster *cluster, const fc_machine *machine, double now);

/* May this shard start tasks on the machine now? */
bool fc_machine_usable(const fc_cluster *cluster, const fc_machine *machine, double now);
/* May the shard that owns the machine start tasks on it, as far as this member knows? */
bool fc_machine_usable_by_owner(const fc_cluster *cluster, const fc_machine *machine, double now);
/* May tasks of the job run on the machine, whatever room it has: by type, zone and spot, and
 * because no task of the job has failed there? */
bool fc_machine_suits_job(const fc_machine *machine, const fc_job *job);

/* The machines (fc_free_capacity) that the filter accepts, in the order of the cluster's table. The
 * caller frees the array. */
GArray *fc_free_capacity_gather(const fc_cluster *cluster, fc_machine_filter_fn filter, double now);
/* Sorts by machine id: all members look at the machines in the same order. */
void fc_free_capacity_sort(GArray *capacity);
/* Drops the machines without room for `least`; the order stays. */
void fc_free_capacity_keep_fitting(GArray *capacity, const fc_job_spec *least);

#endif
