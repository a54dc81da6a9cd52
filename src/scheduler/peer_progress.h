/* What each member of the term has acknowledged of this member's views. */
#ifndef FC_SCHEDULER_PEER_PROGRESS_H
#define FC_SCHEDULER_PEER_PROGRESS_H

#include "bookkeeping/cluster.h"

/* By index into the term's members. */
typedef struct fc_peer_progress {
  uint64_t acked_view[FC_MEMBERS_MAX];     /* newest view of ours that the member has applied */
  uint64_t acked_revision[FC_MEMBERS_MAX]; /* revision of its cluster state when it did */
  bool available[FC_MEMBERS_MAX];          /* acts for its shard, and its state is up to date */
} fc_peer_progress;

#endif
