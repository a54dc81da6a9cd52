/* The views of this member that each other member of the term has acknowledged. */
#ifndef FC_SCHEDULER_PEER_PROGRESS_H
#define FC_SCHEDULER_PEER_PROGRESS_H

#include "bookkeeping/cluster.h"

/* Arrays are indexed like the members of the term. */
typedef struct fc_peer_progress {
  uint64_t acked_view[FC_MEMBERS_MAX];     /* newest view of this member that the other has applied */
  uint64_t acked_revision[FC_MEMBERS_MAX]; /* revision of the other's cluster state when it applied that view */
  bool available[FC_MEMBERS_MAX];          /* leads its shard, and its cluster state is up to date */
} fc_peer_progress;

#endif
