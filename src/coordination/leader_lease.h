/* Authority: until when this process may answer workers, command them
 * and give final answers. Pure arithmetic on the steady clock; every time is
 * passed in. */
#ifndef FC_COORDINATION_LEADER_LEASE_H
#define FC_COORDINATION_LEADER_LEASE_H

#include <stdbool.h>
#include <stdint.h>

#include "protocol/records.h"

/* Two steady clocks differ by at most this much of a duration. */
#define FC_CLOCK_DRIFT 0.001

/* What one other controller of the settings has said to us. */
typedef struct fc_peer_grant {
  double granted_until;         /* it commits no term without us before this */
  double no_cancellation_from;  /* it has learned of no cancellation between this ... */
  double no_cancellation_until; /* ... and this */
} fc_peer_grant;

typedef struct fc_leader_lease {
  double lease_s;                       /* of the member's own lease in the state service */
  double lease_until;                   /* counted from when the renewal was sent */
  double kv_read_at;                    /* when the read was sent that last proved the cache current */
  double stale_max_s;                   /* longest time to act without such a proof */
  fc_peer_grant grants[FC_MEMBERS_MAX]; /* by index in the settings' list of peers */
  size_t peer_count;
} fc_leader_lease;

void fc_leader_lease_init(fc_leader_lease *lease, double lease_s, double worker_lease_s, double cancel_s,
                          double report_s, size_t peer_count);
/* The own lease was granted or renewed by a request sent at `sent`. */
void fc_leader_lease_renewed(fc_leader_lease *lease, double sent);
void fc_leader_lease_lost(fc_leader_lease *lease);
/* A read sent at `sent` proved that nothing is missing in the cache. */
void fc_leader_lease_read_fresh(fc_leader_lease *lease, double sent);
/* A new term. */
void fc_leader_lease_new_term(fc_leader_lease *lease);
/* Peer `k` promised for `promise_s`, in answer to what we sent at `sent`.
 * Authority that has lapsed by `now` is not mended by promises: in the gap a term
 * without us may have been sent, to be applied late. `peer_of` maps members of
 * `t` to peers (-1: ourselves). */
void fc_leader_lease_granted(fc_leader_lease *lease, const fc_term *term, const int *peer_of, int self, size_t k,
                             double now, double sent, double promise_s);
/* Peer `k`, asked at `sent`, has learned of no cancellation since `quiet_from`. */
void fc_leader_lease_no_cancellation(fc_leader_lease *lease, size_t k, double sent, double quiet_from);
/* How long a member waits after its own entry before it excludes anybody: by
 * then whoever missed that entry has stopped, whatever it was promised. */
double fc_leader_lease_entry_wait(const fc_leader_lease *lease);
/* The time up to which this member of `t` may act. */
double fc_leader_lease_until(const fc_leader_lease *lease, const fc_term *term, const int *peer_of, int self);

#endif
