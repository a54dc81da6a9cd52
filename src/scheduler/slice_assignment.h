/* Which shards a new job's slices go to. Pure function over the cluster state. */
#ifndef FC_SCHEDULER_SLICE_ASSIGNMENT_H
#define FC_SCHEDULER_SLICE_ASSIGNMENT_H

#include "bookkeeping/cluster.h"

/* Assigns the slices to shards that own a machine on which the job may run, of members that are
 * `available` (by index into the term): any other, unreachable or unable to read the key-value
 * store, would leave them pending. Sets handed[i] to a member's name (the term's, not to be freed)
 * where the term alone assigns slice i to another; the rest of `handed` stays. */
void fc_assign_new_job_slices(const fc_cluster *cluster, const bool *available, const fc_job_spec *spec,
                              unsigned slices, char **handed);

#endif
