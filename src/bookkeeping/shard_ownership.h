/* Shards: which member owns which slices of jobs and which machines in the current term. Ownership
 * is derived from the stored term and the records alone. Times are on the monotonic clock of
 * fc_now(), in seconds. */
#ifndef FC_BOOKKEEPING_SHARD_OWNERSHIP_H
#define FC_BOOKKEEPING_SHARD_OWNERSHIP_H

#include "bookkeeping/cluster.h"

/* Computes and caches the owners of the job's slices; called when the term or a handover changes.
 * Scheduling rounds need the owner of every slice of every job; hashing there took most of a round
 * with hundreds of jobs queued. */
void fc_cluster_assign_slices(const fc_cluster *cluster, fc_job *job);
/* Computes a machine's owner after its record has changed. */
void fc_cluster_assign_machine(fc_cluster *cluster, fc_machine *machine, double now);
/* Applies a new term and recomputes all owners. `continuous`: this process was a member of the
 * previous term in the same incarnation. */
void fc_cluster_apply_term(fc_cluster *cluster, const fc_term *term, uint64_t version, bool continuous, double now);

/* The member whose shard should get a new machine: the one with the fewest machines of its type,
 * comparing those of its zone and kind first. `expected`, by member (FC_MEMBERS_MAX), holds
 * FC_BALANCE_SAME_KIND_WEIGHT for each machine that is already being provisioned for the member. */
#define FC_BALANCE_SAME_KIND_WEIGHT 1000u
int fc_cluster_balanced_owner(const fc_cluster *cluster, const char *id, const char *type, const char *zone, bool spot,
                              const unsigned *expected);

#endif
