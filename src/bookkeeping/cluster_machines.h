/* Machines in the cluster state: adding and removing them, their placements and resources, and the
 * conditions that depend on the current term, the machine types or the settings. Times are on the
 * monotonic clock of fc_now(), in seconds. */
#ifndef FC_BOOKKEEPING_CLUSTER_MACHINES_H
#define FC_BOOKKEEPING_CLUSTER_MACHINES_H

#include "bookkeeping/cluster.h"
#include "coordination/fencing_token.h"

/* Returns the machine with that id, adding it if it is unknown. Owned by the cluster state. */
fc_machine *fc_cluster_ensure_machine(fc_cluster *cluster, const char *id, double now);
/* Removes and frees a machine that is proved gone, with every placement on it. */
void fc_cluster_remove_machine(fc_cluster *cluster, fc_machine *machine);
/* Sets the machine's type and zone indices from its record. */
void fc_cluster_resolve_type_and_zone(const fc_cluster *cluster, fc_machine *machine);

/* Adds a placement to the machine and, if the job is known, to the job. Owned by the machine. */
fc_placement *fc_cluster_add_placement(fc_cluster *cluster, fc_machine *machine, const char *job_id, uint32_t index,
                                       uint64_t attempt, double now);

/* Whether the machine belongs to this controller's shard. */
static inline bool fc_machine_owned_by_self(const fc_cluster *cluster, const fc_machine *machine) {
  return machine->owner == cluster->membership.self;
}
/* Whether the owner has read a task list fenced by the current term's token, or has proof that the
 * machine is empty. */
static inline bool fc_machine_reconciled(const fc_cluster *cluster, const fc_machine *machine) {
  return machine->reconciled_term == cluster->membership.term.number;
}

/* The lowest fencing token of the current term that the machine's worker accepts, as far as known, and
 * that makes it refuse commands from before its restart. */
static inline uint64_t fc_machine_fencing_token(const fc_cluster *cluster, const fc_machine *machine) {
  uint64_t term = cluster->membership.term.number;
  return MAX(fc_fencing_token_accepted(machine->worker.fencing_token, term),
             fc_fencing_token_accepted(machine->worker.lowest_token, term));
}

/* Resources that no placement uses; none if the machine's type, or the job of one of its tasks, is
 * unknown. */
fc_resources fc_machine_free_resources(const fc_cluster *cluster, const fc_machine *machine);
/* Resources of an empty machine of the type. */
fc_resources fc_machine_type_capacity(const fc_machine_type *machine_type);
/* Resources of the empty machine; far more than any limit if its type is unknown. A controller that
 * has just started knows no types, and one in that state took machines full of tasks for empty
 * (fault test, seed 686). */
fc_resources fc_machine_capacity(const fc_cluster *cluster, const fc_machine *machine);

/* Whether this controller has owned the machine for a while, the machine is up according to its
 * recorded endpoint, and yet it has never contacted this controller. The endpoint was then recorded
 * before this incarnation of the controller started, and the machine is dead or unreachable: a live
 * worker would by now have failed to answer several probes, and have had time to contact another
 * member, which would have informed this one. Until the machine is removed, tasks that may be on it
 * are not started elsewhere. */
bool fc_machine_never_heard(const fc_cluster *cluster, const fc_machine *machine, double now);
/* Whether the machine may be lost: about to become unreachable, or never heard from. Suspects are
 * counted before any machine is returned; otherwise the first would be returned before it was
 * apparent that most of them became silent together. */
bool fc_machine_suspect(const fc_cluster *cluster, const fc_machine *machine, double now);
/* Whether the machine may take new tasks: heard from recently, with heartbeats that were answered and evidence that
 * responses reach the worker, and in a known epoch. */
bool fc_machine_reachable(const fc_cluster *cluster, const fc_machine *machine, double now);
/* Whether the machine would be reachable, but its worker's lease has expired and no message has
 * come since, so that its epoch is unknown. */
bool fc_machine_awaits_epoch(const fc_cluster *cluster, const fc_machine *machine, double now);

#endif
