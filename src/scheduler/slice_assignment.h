/* Assigns the slices of a new job to shards. Pure function over the cluster state. */
#ifndef FC_SCHEDULER_SLICE_ASSIGNMENT_H
#define FC_SCHEDULER_SLICE_ASSIGNMENT_H

#include "bookkeeping/cluster.h"

/* Assigns the `slices` slices to shards that own a machine on which the job may run, if there are any, and only to
 * members that are `available` (by index into the term): a member that is unreachable or unable to read the key-value
 * store would leave them pending. Sets handed_to[i] to the name of a member (owned by the term) where that differs from
 * the assignment by the term alone, and leaves the other elements unchanged. */
void fc_assign_new_job_slices(const fc_cluster *cluster, const bool *available, const fc_job_spec *spec,
                              unsigned slices, char **handed_to);

#endif
