/* Shards: which member owns which slices of jobs and which machines in the present term. It
 * follows from the stored term and the records alone. */
#ifndef FC_BOOKKEEPING_SHARD_OWNERSHIP_H
#define FC_BOOKKEEPING_SHARD_OWNERSHIP_H

#include "bookkeeping/cluster.h"

/* Works out who owns the job's slices. That is done when the term or a handover changes, not
 * where it is asked: scheduling rounds ask for every slice of every job, and the hashing was
 * most of what a round cost in a queue of hundreds. */
void fc_cluster_assign_slices(const fc_cluster *cluster, fc_job *job);
/* Works out a machine's owner after its record changed. `now`: steady time. */
void fc_cluster_assign_machine(fc_cluster *cluster, fc_machine *machine, double now);
/* Applies a new term: all owners are worked out anew. `continuous`: this process was a member,
 * in this same incarnation, of the term before. */
void fc_cluster_apply_term(fc_cluster *cluster, const fc_term *term, uint64_t version, bool continuous, double now);

/* The member whose shard should get a new machine: the one with the fewest of its type, those of
 * its zone and kind first. `expected`, by member (FC_MEMBERS_MAX), holds FC_BALANCE_SAME_KIND for
 * each machine that is on its way there. */
#define FC_BALANCE_SAME_KIND 1000u
int fc_cluster_balanced_owner(const fc_cluster *cluster, const char *id, const char *type, const char *zone, bool spot,
                              const unsigned *expected);

#endif
