/* Authority: until when this process may answer workers, command them
 * and give final answers. Pure arithmetic on the steady clock; every time is
 * passed in. */
#ifndef FC_COORDINATION_AUTHORITY_H
#define FC_COORDINATION_AUTHORITY_H

#include <stdbool.h>
#include <stdint.h>

#include "protocol/records.h"

/* Two steady clocks differ by at most this much of a duration. */
#define FC_DRIFT 0.001

/* What one other controller of the settings has said to us. */
typedef struct fc_peer_word {
  double promised_until; /* it commits no term without us before this */
  double quiet_from;     /* it has learned of no cancellation between this ... */
  double quiet_until;    /* ... and this */
} fc_peer_word;

typedef struct fc_authority {
  double lease_s;                     /* of the member's own lease in the state service */
  double lease_until;                 /* counted from when the renewal was sent */
  double fresh_at;                    /* when the read was sent that last proved the cache current */
  double stale_most_s;                /* longest time to act without such a proof */
  fc_peer_word words[FC_MEMBERS_MAX]; /* by index in the settings' list of peers */
  size_t peer_count;
} fc_authority;

void fc_authority_init(fc_authority *r, double lease_s, double worker_lease_s, double cancel_s, double report_s,
                       size_t peer_count);
/* The own lease was granted or renewed by a request sent at `sent`. */
void fc_authority_renewed(fc_authority *r, double sent);
void fc_authority_lost(fc_authority *r);
/* A read sent at `sent` proved that nothing is missing in the cache. */
void fc_authority_fresh(fc_authority *r, double sent);
/* A new term. */
void fc_authority_new_term(fc_authority *r);
/* Peer `k` promised for `promise_s`, in answer to what we sent at `sent`.
 * Authority that has lapsed by `now` is not mended by promises: in the gap a term
 * without us may have been sent, to be applied late. `peer_of` maps members of
 * `t` to peers (-1: ourselves). */
void fc_authority_promised(fc_authority *r, const fc_term *t, const int *peer_of, int self, size_t k, double now,
                           double sent, double promise_s);
/* Peer `k`, asked at `sent`, has learned of no cancellation since `quiet_from`. */
void fc_authority_quiet(fc_authority *r, size_t k, double sent, double quiet_from);
/* How long a member waits after its own entry before it excludes anybody: by
 * then whoever missed that entry has stopped, whatever it was promised. */
double fc_authority_entry_wait(const fc_authority *r);
/* The time up to which this member of `t` may act. */
double fc_authority_until(const fc_authority *r, const fc_term *t, const int *peer_of, int self);

#endif
