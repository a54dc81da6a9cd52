/* Transfers of whole machines between shards, for gangs that no shard can hold. Pure functions over
 * the cluster state. */
#ifndef FC_SCHEDULER_MACHINE_TRANSFER_H
#define FC_SCHEDULER_MACHINE_TRANSFER_H

#include <glib.h>

#include "bookkeeping/cluster.h"
#include "scheduler/peer_progress.h"

typedef struct fc_machine_transfer {
  fc_machine *machine; /* of this shard */
  int to;              /* member; may be this one, with `preempt` */
  fc_job *gang;
  bool preempt; /* tasks of lower priority have to be preempted there first */
} fc_machine_transfer;

/* May the task be preempted to make room for the gang? */
bool fc_preemptible_for_gang(const fc_placement *placement, const fc_job *gang);
/* The machines (fc_machine_transfer) of this shard that a pending gang of any shard needs: idle
 * ones, or where those don't suffice, ones that hold nothing but arrays of lower priority. The
 * caller frees the array. */
GArray *fc_machine_transfers_plan(const fc_cluster *cluster, const fc_peer_progress *peers, double now);

#endif
