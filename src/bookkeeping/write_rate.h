/* The rate at which this member may send transactions and the changes in them: its share of the
 * limits of the key-value store, as token buckets. The store may lower its write rate without
 * notice, down to an announced minimum: each refusal backs off multiplicatively, and without
 * refusals the rate recovers exponentially. Holds no memory of its own; times are those of
 * fc_now(), in seconds. Nothing here suspends the calling routine. */
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
  double paused_until; /* no transaction is sent before */
} fc_write_rate;

/* Starts with full buckets, an even share and no backoff. `min_writes_per_s` is the announced
 * minimum of `writes_per_s`. */
void fc_write_rate_init(fc_write_rate *rate, double writes_per_s, double min_writes_per_s, double requests_per_s,
                        double now);

/* This member's share of both rates: the fraction `share` of the total, `even` if all were equal.
 * The burst sizes stay. */
void fc_write_rate_set_share(fc_write_rate *rate, double share, double even, double now);

/* The greatest number of changes sent per second at present. */
double fc_write_rate_per_s(const fc_write_rate *rate);
/* The greatest number of changes that are sent at once. */
double fc_write_rate_burst(const fc_write_rate *rate);

/* The store has refused a transaction for its rate: lowers the write rate by a step. */
void fc_write_rate_back_off(fc_write_rate *rate, double now);
/* Raises the write rate for the time since the last refusal or recovery. */
void fc_write_rate_recover(fc_write_rate *rate, double now);
/* Sends nothing before the time `until`. */
void fc_write_rate_pause(fc_write_rate *rate, double until);

/* Seconds until a transaction of `writes` changes may be sent; 0 or less: now. */
double fc_write_rate_wait(fc_write_rate *rate, double writes, double now);
/* Seconds until there are tokens for `writes` changes, whatever the requests and pauses. */
double fc_write_rate_wait_for_writes(fc_write_rate *rate, double writes, double now);
/* Takes the tokens for a transaction of `writes` changes. A bucket that has too few (a cancellation
 * cut the wait short) stays as it is. */
void fc_write_rate_take(fc_write_rate *rate, double writes, double now);
/* Takes one request for another purpose. False: transactions may need all that is left. */
bool fc_write_rate_take_spare_request(fc_write_rate *rate, double now);

#endif
