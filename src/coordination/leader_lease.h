/* The leader lease of a member: until when this process may answer workers, command them and
 * give final answers as the leader of its shard. Pure arithmetic; every time is in seconds of
 * the monotonic clock and passed in by the caller. */
#ifndef FC_COORDINATION_LEADER_LEASE_H
#define FC_COORDINATION_LEADER_LEASE_H

#include <stdbool.h>
#include <stdint.h>

#include "protocol/records.h"

/* Two monotonic clocks differ by at most this share of a duration. */
#define FC_CLOCK_DRIFT 0.001

/* What another controller of the settings has granted and stated. */
typedef struct fc_peer_grant {
  double granted_until;         /* it commits no term without this member before this */
  double no_cancellation_from;  /* it has learned of no cancellation between this ... */
  double no_cancellation_until; /* ... and this */
} fc_peer_grant;

typedef struct fc_leader_lease {
  double lease_s;                       /* duration of the member's own lease in the key-value store */
  double lease_until;                   /* counted from when the renewal was sent; -1: no lease */
  double kv_read_at;                    /* when the last read was sent that proved the cache current */
  double stale_max_s;                   /* longest time to act without such a proof */
  fc_peer_grant grants[FC_MEMBERS_MAX]; /* by index in the settings' list of peers */
  size_t peer_count;
} fc_leader_lease;

/* No lease, no read and no grants. `lease_s` is the member's own lease, `worker_lease_s` that of
 * workers, `cancel_s` the time within which a cancelled job has to stop, `heartbeat_s` the interval
 * of the workers' heartbeats. */
void fc_leader_lease_init(fc_leader_lease *lease, double lease_s, double worker_lease_s, double cancel_s,
                          double heartbeat_s, size_t peer_count);
/* The member's own lease was granted or renewed by a request sent at `sent`. */
void fc_leader_lease_renewed(fc_leader_lease *lease, double sent);
/* The member's own lease is gone. */
void fc_leader_lease_lost(fc_leader_lease *lease);
/* A read sent at `sent` proved that the cache lacks nothing. */
void fc_leader_lease_read_fresh(fc_leader_lease *lease, double sent);
/* A new term holds: the peers' grants were given for the previous one. */
void fc_leader_lease_new_term(fc_leader_lease *lease);
/* Peer `peer` granted `grant_s` in answer to what was sent at `sent`. A leader lease that has
 * expired by `now` is not restored by grants, and those there are lapse: meanwhile a term without
 * this member may have been sent, to be committed late. `peer_of` maps the members of `term` to
 * peers (-1: this member); `self` is this member's index in it (-1: not a member). */
void fc_leader_lease_granted(fc_leader_lease *lease, const fc_term *term, const int *peer_of, int self, size_t peer,
                             double now, double sent, double grant_s);
/* Peer `peer`, asked at `sent`, has learned of no cancellation since `quiet_from`. */
void fc_leader_lease_no_cancellation(fc_leader_lease *lease, size_t peer, double sent, double quiet_from);
/* Seconds that a member waits after it joined before it excludes anybody: by then whoever missed
 * the term in which it joined has stopped acting, whatever grants it holds. */
double fc_leader_lease_entry_wait(const fc_leader_lease *lease);
/* The time up to which this member of `term` may act; -1 when it is not a member. */
double fc_leader_lease_until(const fc_leader_lease *lease, const fc_term *term, const int *peer_of, int self);

#endif
