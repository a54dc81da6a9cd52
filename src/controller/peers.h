/* State of the other controllers named in the settings: what each has reported, and how far it has
 * acknowledged this controller's views. The view sender and receiver update it; it holds no
 * connections. */
#ifndef FC_CONTROLLER_PEERS_H
#define FC_CONTROLLER_PEERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "bookkeeping/cluster.h"

/* Progress of the views received from one peer. */
typedef struct fc_received_view {
  uint64_t incarnation, term; /* of the sender, as stated in the view */
  uint64_t sequence;          /* the newest view received completely; 0: none */
  uint64_t partial_sequence;  /* the view whose pieces are arriving, or arrived last */
  uint32_t next_piece;        /* the piece of that view expected next */
} fc_received_view;

/* What a peer's incarnation in the current term has acknowledged; 0: nothing yet. */
typedef struct fc_peer_acknowledged {
  double renewals_known_until; /* every worker lease that it renewed before this time is known here */
  uint64_t view_number;        /* fc_cluster.view_number of the newest view that it has applied */
  uint64_t revision;           /* of its cluster state when it applied that view */
  uint64_t sequence;           /* of that view on the link; 0: the next view has to be complete */
} fc_peer_acknowledged;

/* Times are those of the monotonic clock (fc_now()), in seconds. */
typedef struct fc_peer {
  const fc_peer_settings *settings;
  double grant_given_until; /* until then this controller commits no term that excludes it */
  double kv_read_at;        /* its last read of the key-value store that it has reported */
  double heard_at;          /* when its last acknowledgement arrived */
  uint64_t revision;        /* up to which it has read the key-value store, as last reported */
  unsigned backlog;         /* its pending writes, as last reported */
  double backlog_at;        /* when they were reported */
  fc_received_view received;
  fc_peer_acknowledged acknowledged;
} fc_peer;

typedef struct fc_peers fc_peers;

/* `cluster` must outlive the result, which the caller frees with fc_peers_free(). */
fc_peers *fc_peers_new(const fc_cluster *cluster);
void fc_peers_free(fc_peers *peers);

size_t fc_peers_count(const fc_peers *peers);
/* `index` is the position in the settings. The result is owned by `peers`. */
fc_peer *fc_peers_at(fc_peers *peers, size_t index);
/* The peer that is this member of the current term. NULL for this controller and for a member that
 * the settings do not name. */
fc_peer *fc_peers_of_member(fc_peers *peers, int member);
/* NULL if the settings name no such controller. */
fc_peer *fc_peers_find(fc_peers *peers, const char *name);

/* Whether the member has been heard from, and has read the key-value store, recently. Always true
 * for this controller. */
bool fc_peers_member_healthy(fc_peers *peers, int member);
/* Whether every other member has reported all worker leases that it renewed before the time `until`. */
bool fc_peers_all_renewals_known(fc_peers *peers, double until);
/* The newest revision that all controllers, including this one, are known to have read. */
uint64_t fc_peers_common_revision(const fc_peers *peers);
/* Resets what peers have acknowledged: acknowledgements of an earlier term don't count in a new one. */
void fc_peers_reset_acknowledged(fc_peers *peers);

#endif
