/* The right to act: until when this process may answer workers, command them
 * and give final answers. Pure arithmetic on the steady clock; every time is
 * passed in. */
#ifndef FC_COORDINATION_RIGHT_H
#define FC_COORDINATION_RIGHT_H

#include <stdbool.h>
#include <stdint.h>

#include "protocol/records.h"

/* Two steady clocks differ by at most this much of a duration. */
#define FC_DRIFT 0.001

typedef struct fc_promise {
  uint64_t boot;         /* the promiser's life that gave it */
  double received_until; /* it commits no term without us before this */
} fc_promise;

typedef struct fc_right {
  double lease_s;       /* of the member's own lease in the state service */
  double lease_until;   /* counted from when the renewal was sent */
  double fresh_at;      /* when the read was sent that last proved the cache current */
  double stale_most_s;  /* longest time to act without such a proof */
  fc_promise peers[FC_MEMBERS_MAX]; /* by index in the present term */
} fc_right;

void fc_right_init(fc_right *r, double lease_s, double worker_lease_s, double cancel_s, double report_s);
/* The own lease was granted or renewed by a request sent at `sent`. */
void fc_right_renewed(fc_right *r, double sent);
void fc_right_lost(fc_right *r);
/* A read sent at `sent` proved that nothing is missing in the cache. */
void fc_right_fresh(fc_right *r, double sent);
/* A new term: promises were given for the old one. */
void fc_right_new_term(fc_right *r);
/* Peer `i`, alive as `boot`, promised for `promise_s` in answer to what we
 * sent at `sent`. */
void fc_right_promised(fc_right *r, size_t i, uint64_t boot, double sent, double promise_s);
/* How long a member waits after its own entry before it excludes anybody: by
 * then whoever missed that entry has stopped, whatever it was promised. */
double fc_right_entry_wait(const fc_right *r);
/* The time up to which this member of `t` may act. */
double fc_right_until(const fc_right *r, const fc_term *t, int self);

#endif
