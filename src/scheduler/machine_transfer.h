/* Plans transfers of whole machines between shards, for gangs that no single shard has room for. Pure functions over
 * the cluster state. */
#ifndef FC_SCHEDULER_MACHINE_TRANSFER_H
#define FC_SCHEDULER_MACHINE_TRANSFER_H

#include <glib.h>

#include "bookkeeping/cluster.h"
#include "scheduler/peer_progress.h"

typedef struct fc_machine_transfer {
  fc_machine *machine; /* owned by this shard */
  int to;              /* the receiving member; with `preempt`, may be this member: nothing is transferred then */
  fc_job *gang;
  bool preempt; /* tasks of lower priority on the machine have to be preempted first */
} fc_machine_transfer;

/* Returns whether the task may be preempted to make room for the gang. */
bool fc_placement_preemptible_for_gang(const fc_placement *placement, const fc_job *gang);
/* Returns an array of fc_machine_transfer: the machines of this shard that a pending gang of any shard needs. They
 * are idle or, if idle machines do not suffice, run only arrays of lower priority. The caller frees the array. */
GArray *fc_machine_transfers_plan(const fc_cluster *cluster, const fc_peer_progress *peers, double now);

#endif
