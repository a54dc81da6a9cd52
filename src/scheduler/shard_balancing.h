/* Between the parts: slices of jobs that go where the room is, and machines
 * that go where a gang is which no part can hold. Pure functions. */
#ifndef FC_SCHEDULER_SHARD_BALANCING_H
#define FC_SCHEDULER_SHARD_BALANCING_H

#include <glib.h>

#include "bookkeeping/cluster.h"

/* What each member of the term has acknowledged of us. */
typedef struct fc_peer_progress {
  uint64_t acked_view[FC_MEMBERS_MAX];     /* newest view of ours it has applied */
  uint64_t acked_revision[FC_MEMBERS_MAX]; /* state of its table when it did */
  bool available[FC_MEMBERS_MAX];          /* acts, and knows what is new */
} fc_peer_progress;

/* The deal of a new job: its slices go to parts that hold a machine of its type
 * and zone, and to members that are fit (away, or unable to read the state
 * service, they would leave it lying). handed[i] is set to a member's name where
 * that is not where the term alone deals the slice. */
void fc_assign_new_job_slices(const fc_cluster *cluster, const bool *fit, const fc_job_spec *spec, unsigned slices,
                              char **handed);

typedef struct fc_handover {
  fc_job *job;
  unsigned slice;
  int to;
  unsigned machine_owners; /* a bit a member: on whose machines its tasks are, or may be started from then on */
  bool unseen;             /* `to` may not know yet of tasks on machines of others */
} fc_handover;

/* Slices of ours that have waited and find room only in another part. */
GArray *fc_plan_handovers(const fc_cluster *cluster, const fc_peer_progress *told, double now);

typedef struct fc_machine_transfer {
  fc_machine *machine;
  int to; /* may be ourselves, with `preempt` */
  fc_job *gang;
  bool preempt; /* tasks of lower rank have to be stopped there first */
} fc_machine_transfer;

/* May the task be stopped to clear its machine for the gang? */
bool fc_preemptible_for_gang(const fc_placement *placement, const fc_job *gang);
/* Machines of ours that a waiting gang, here or elsewhere, needs: idle ones, or
 * where those don't suffice, ones that hold nothing but arrays of lower rank. */
GArray *fc_plan_machine_transfers(const fc_cluster *cluster, const fc_peer_progress *told, double now);

#endif
