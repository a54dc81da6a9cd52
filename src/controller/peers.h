/* What is known of the other controllers of the settings: what each has reported, and how far it
 * has acknowledged our views. Updated by the peer links; holds no connection itself. */
#ifndef FC_CONTROLLER_PEERS_H
#define FC_CONTROLLER_PEERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "bookkeeping/cluster.h"

/* The view of its machines that we have received from a peer. */
typedef struct fc_received_view {
  uint64_t incarnation, term; /* of the sender when it sent it */
  uint64_t sequence;          /* the newest view that we hold whole; 0: none */
  uint64_t partial_sequence;  /* the view of which parts are arriving */
  uint32_t next_part;
} fc_received_view;

/* What a peer, by its incarnation in the present term, has acknowledged; 0: nothing yet. */
typedef struct fc_peer_acknowledged {
  double renewals_known_until; /* we know of every worker lease that it renewed before this steady time */
  uint64_t view_number;        /* the newest view of ours that it has applied */
  uint64_t revision;           /* what its cluster state held then */
  uint64_t sequence;           /* that view's number on the link; 0: the next has to be complete */
} fc_peer_acknowledged;

/* Times are steady. */
typedef struct fc_peer {
  const fc_peer_settings *settings;
  double grant_given_until; /* we commit no term without it before this */
  double kv_read_at;        /* when it last read the key-value store, as far as we know */
  double heard_at;          /* when its last acknowledgement came */
  uint64_t revision;        /* what it has read, as far as we know */
  unsigned backlog;         /* writes that were pending there when it last reported */
  double backlog_at;
  fc_received_view received;
  fc_peer_acknowledged acknowledged;
} fc_peer;

typedef struct fc_peers fc_peers;

/* The cluster state has to outlive it. The caller frees it with fc_peers_free(). */
fc_peers *fc_peers_new(const fc_cluster *cluster);
void fc_peers_free(fc_peers *peers);

size_t fc_peers_count(const fc_peers *peers);
/* By the order of the settings; owned by `peers`, valid as long as they are. */
fc_peer *fc_peers_at(fc_peers *peers, size_t index);
/* The peer behind a member of the present term; NULL: ourselves, or one unknown to us. */
fc_peer *fc_peers_of_member(fc_peers *peers, int member);
/* NULL: the settings name no such controller. */
fc_peer *fc_peers_find(fc_peers *peers, const char *name);

/* Does the member act, and know what is new? True for ourselves. */
bool fc_peers_member_healthy(fc_peers *peers, int member);
/* Has every other member reported all worker leases that it renewed before then? */
bool fc_peers_all_renewals_known(fc_peers *peers, double until);
/* The revision that every controller is known to have read, ourselves included. */
uint64_t fc_peers_common_revision(const fc_peers *peers);
/* A new term: what was acknowledged in the one before counts no more. */
void fc_peers_reset_acknowledged(fc_peers *peers);

#endif
