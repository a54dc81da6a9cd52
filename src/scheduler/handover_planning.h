/* Handovers: slices of pending jobs that find room only in another shard. Pure function over the
 * cluster state. */
#ifndef FC_SCHEDULER_HANDOVER_PLANNING_H
#define FC_SCHEDULER_HANDOVER_PLANNING_H

#include <glib.h>

#include "bookkeeping/cluster.h"
#include "scheduler/peer_progress.h"

typedef struct fc_handover {
  fc_job *job; /* the cluster's */
  unsigned slice;
  int to;                  /* member */
  unsigned machine_owners; /* a bit a member: on whose machines its tasks are, or may be started from then on */
  bool partly_known;       /* `to` may not know yet of tasks on machines of other members */
} fc_handover;

/* The slices (fc_handover) of this shard to hand over now: pending for a while, with room only in
 * another shard whose owner is available. The caller frees the array. */
GArray *fc_handovers_plan(const fc_cluster *cluster, const fc_peer_progress *peers, double now);

#endif
