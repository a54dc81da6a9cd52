/* Plans handovers: moves slices of pending jobs to other shards when only those have room. Pure function over the
 * cluster state. */
#ifndef FC_SCHEDULER_HANDOVER_PLANNING_H
#define FC_SCHEDULER_HANDOVER_PLANNING_H

#include <glib.h>

#include "bookkeeping/cluster.h"
#include "scheduler/peer_progress.h"

typedef struct fc_handover {
  fc_job *job; /* owned by the cluster */
  unsigned slice;
  int to;                  /* the receiving member */
  unsigned machine_owners; /* members (a bit each) on whose machines its tasks are or may start from now on */
  bool partly_known;       /* `to` may not yet know of tasks on machines of other members */
} fc_handover;

/* Returns an array of fc_handover: the slices of this shard that have been pending for a while and have room only
 * in another shard whose owner is available. The caller frees the array. */
GArray *fc_handovers_plan(const fc_cluster *cluster, const fc_peer_progress *peers, double now);

#endif
