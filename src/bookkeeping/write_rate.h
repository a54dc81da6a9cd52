/* The rate at which this member may send transactions and the changes in them: its share of the
 * limits of the key-value store, enforced by token buckets. The store may lower its write rate
 * without notice, down to an announced minimum: each refusal reduces the rate by a factor, and
 * without refusals it recovers exponentially. Allocates no memory; times are on the monotonic clock
 * of fc_now(), in seconds. Nothing here suspends the calling routine. */
#ifndef FC_BOOKKEEPING_WRITE_RATE_H
#define FC_BOOKKEEPING_WRITE_RATE_H

#include <stdbool.h>

#include "bookkeeping/token_bucket.h"

typedef struct fc_write_rate {
  fc_token_bucket writes;     /* a token is one change of a key */
  fc_token_bucket requests;   /* a token is one transaction */
  double even_writes_per_s;   /* when all members have equal shares */
  double even_requests_per_s; /* when all members have equal shares */
  double share;               /* relative to the even share: above 1 where peers need less */
  double backoff;             /* factor on the write rate: 1 without refusals */
  double min_backoff;         /* factor that leads to the announced minimum rate */
  double backoff_updated_at;
  double paused_until; /* no transaction is sent before this time */
} fc_write_rate;

/* Starts with full buckets, an even share and no backoff. `min_writes_per_s` is the announced
 * minimum of `writes_per_s`. */
void fc_write_rate_init(fc_write_rate *rate, double writes_per_s, double min_writes_per_s, double requests_per_s,
                        double now);

/* Sets this member's share of both rates: the fraction `share` of the total, where `even` is the
 * fraction if all were equal. The burst sizes are unchanged. */
void fc_write_rate_set_share(fc_write_rate *rate, double share, double even, double now);

/* The current write rate, in changes per second. */
double fc_write_rate_per_s(const fc_write_rate *rate);
/* The maximum number of changes sent at once. */
double fc_write_rate_burst(const fc_write_rate *rate);

/* Lowers the write rate by one step, after the store refused a transaction because of its rate. */
void fc_write_rate_back_off(fc_write_rate *rate, double now);
/* Raises the write rate according to the time since the last refusal or recovery. */
void fc_write_rate_recover(fc_write_rate *rate, double now);
/* Sends nothing before the time `until`. */
void fc_write_rate_pause(fc_write_rate *rate, double until);

/* Seconds until a transaction of `writes` changes may be sent; 0 or less: now. */
double fc_write_rate_wait(fc_write_rate *rate, double writes, double now);
/* Seconds until there are tokens for `writes` changes, regardless of request tokens and pauses. */
double fc_write_rate_wait_for_writes(fc_write_rate *rate, double writes, double now);
/* Takes the tokens for a transaction of `writes` changes. A bucket with too few, because a
 * cancellation ended the wait early, is left unchanged. */
void fc_write_rate_take(fc_write_rate *rate, double writes, double now);
/* Takes one request token for another purpose. Returns false if transactions may need all that is
 * left. */
bool fc_write_rate_take_spare_request(fc_write_rate *rate, double now);

#endif
