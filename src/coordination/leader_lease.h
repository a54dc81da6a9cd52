/* The leader lease of a member: the time until which this process may respond to workers, command them and give final
 * responses as the leader of its shard. Pure arithmetic; every time is in seconds of the monotonic clock and passed in
 * by the caller. */
#ifndef FC_COORDINATION_LEADER_LEASE_H
#define FC_COORDINATION_LEADER_LEASE_H

#include <stdbool.h>
#include <stdint.h>

#include "protocol/records.h"

/* Bound on clock drift: two monotonic clocks differ by at most this share of a duration. */
#define FC_CLOCK_DRIFT 0.001

/* The grant and statements of another controller of the settings. */
typedef struct fc_peer_grant {
  double granted_until;         /* until then it commits no term without this member */
  double no_cancellation_from;  /* it learned of no cancellation from this time ... */
  double no_cancellation_until; /* ... to this one */
} fc_peer_grant;

typedef struct fc_leader_lease {
  double lease_s;                       /* duration of the member's own lease in the key-value store */
  double lease_until;                   /* counted from the time the renewal was sent; -1: no lease */
  double kv_read_at;                    /* when the last read that proved the cache current was sent */
  double stale_max_s;                   /* longest time to act after such a read */
  fc_peer_grant grants[FC_MEMBERS_MAX]; /* by index into the settings' list of peers */
  size_t peer_count;
} fc_leader_lease;

/* Starts without lease, read and grants. `lease_s` is the member's own lease, `worker_lease_s` that of
 * workers, `cancel_s` the time within which a cancelled job has to stop, `heartbeat_s` the interval
 * of the workers' heartbeats. */
void fc_leader_lease_init(fc_leader_lease *lease, double lease_s, double worker_lease_s, double cancel_s,
                          double heartbeat_s, size_t peer_count);
/* Records that a request sent at `sent` granted or renewed the member's own lease. */
void fc_leader_lease_renewed(fc_leader_lease *lease, double sent);
/* Records that the member's own lease is lost. */
void fc_leader_lease_lost(fc_leader_lease *lease);
/* Records that a read sent at `sent` proved the cache current. */
void fc_leader_lease_read_fresh(fc_leader_lease *lease, double sent);
/* Discards the peers' grants at a new term: they were given for the previous one. */
void fc_leader_lease_new_term(fc_leader_lease *lease);
/* Records that peer `peer` granted `grant_s` seconds in response to a message sent at `sent`. If the leader lease has
 * expired by `now`, this and all other grants are discarded instead: in the meantime a term without this member may
 * have been sent, and may still be committed. `peer_of` maps the members of `term` to peers (-1: this member); `self`
 * is this member's index in the term (-1: not a member). */
void fc_leader_lease_granted(fc_leader_lease *lease, const fc_term *term, const int *peer_of, int self, size_t peer,
                             double now, double sent, double grant_s);
/* Records that peer `peer` stated, in response to a message sent at `sent`, that it has learned of no cancellation
 * since `no_cancellation_from`. */
void fc_leader_lease_no_cancellation(fc_leader_lease *lease, size_t peer, double sent, double no_cancellation_from);
/* Returns how many seconds a member has to wait after it joined before it may exclude another member. By then, any
 * member that missed the term in which it joined has stopped acting, whatever grants that member holds. */
double fc_leader_lease_exclusion_wait_s(const fc_leader_lease *lease);
/* Returns the time until which this member of `term` may act; -1 when it is not a member. */
double fc_leader_lease_until(const fc_leader_lease *lease, const fc_term *term, const int *peer_of, int self);

#endif
