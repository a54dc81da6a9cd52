/* Machines within the cluster state: adding and removing them, their placements, and what
 * depends on the present term, the machine types and the settings. */
#ifndef FC_BOOKKEEPING_CLUSTER_MACHINES_H
#define FC_BOOKKEEPING_CLUSTER_MACHINES_H

#include "bookkeeping/cluster.h"

/* The machine of that id, which is added if it is not known. `now`: steady time. */
fc_machine *fc_cluster_ensure_machine(fc_cluster *cluster, const char *id, double now);
/* Removes and frees the machine with every placement on it: it is proved gone. */
void fc_cluster_remove_machine(fc_cluster *cluster, fc_machine *machine);
/* Looks up the type and zone that the machine's record names. */
void fc_cluster_locate_machine(const fc_cluster *cluster, fc_machine *machine);

/* Adds a placement to the machine and, where it is known, to the job. Owned by the machine. */
fc_placement *fc_cluster_add_placement(fc_cluster *cluster, fc_machine *machine, const char *job_id, uint32_t index,
                                       uint64_t attempt, double now);

/* Does it belong to our shard? */
static inline bool fc_machine_owned_by_self(const fc_cluster *cluster, const fc_machine *machine) {
  return machine->owner == cluster->membership.self;
}
/* Has its owner a task list that follows the present term's fencing token, or is the machine
 * proved to be empty? */
static inline bool fc_machine_reconciled(const fc_cluster *cluster, const fc_machine *machine) {
  return machine->reconciled_term == cluster->membership.term.number;
}

/* Resources that no placement uses; none when the type, or the job of some task, is unknown. */
fc_resources fc_machine_free_resources(const fc_cluster *cluster, const fc_machine *machine);
/* What an empty machine of the type holds. */
fc_resources fc_machine_type_capacity(const fc_machine_type *machine_type);
/* All that the machine may hold, far more than any limit while its type is not known: a
 * controller that has just started knows none, and once took machines full of tasks for empty
 * (fault test, seed 686). */
fc_resources fc_machine_capacity(const fc_cluster *cluster, const fc_machine *machine);

/* A machine that we have owned for a while, that was up as its recorded address says, and that
 * has never contacted us: it dates from before our incarnation, and is dead or out of reach. A
 * live one has by then failed to answer several probes, and has had the time to come to another
 * member, which would have informed us. Until it is gone, what may be on it is started nowhere. */
bool fc_machine_never_heard(const fc_cluster *cluster, const fc_machine *machine, double now);
/* Possibly lost: on the way to being unreachable, or never heard. Suspects are counted before
 * any machine is returned, or the first would be gone before it showed that most of them became
 * silent together. */
bool fc_machine_suspect(const fc_cluster *cluster, const fc_machine *machine, double now);
/* Heard of lately, with a sign that answers arrive too, and in a known epoch: may take new tasks. */
bool fc_machine_reachable(const fc_cluster *cluster, const fc_machine *machine, double now);
/* The same but for its epoch: the worker's lease has expired, and no message has come since. */
bool fc_machine_awaits_epoch(const fc_cluster *cluster, const fc_machine *machine, double now);

#endif
