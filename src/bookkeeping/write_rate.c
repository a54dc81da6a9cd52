#include "bookkeeping/write_rate.h"

#include <glib.h>
#include <math.h>

/* Factor applied to the write rate at each refusal. */
#define BACKOFF_FACTOR 0.8
/* The time in which the write rate recovers by a factor of e. With BACKOFF_FACTOR, a store that
 * enforces its lower rate refuses a transaction about every thirteen seconds. */
#define RECOVERY_TIME_CONSTANT_S 60.0
/* The maximum share of requests, relative to the even share. It is bounded in both directions, as
 * every member also needs requests for reads and lease renewal. */
#define MAX_REQUEST_SHARE 1.5
/* Fraction of the request burst that is reserved for transactions. */
#define TRANSACTION_RESERVE_FRACTION 0.5
/* A transaction larger than the burst could never be sent. */
#define MIN_BURST_TOKENS 1

void fc_write_rate_init(fc_write_rate *rate, double writes_per_s, double min_writes_per_s, double requests_per_s,
                        double now) {
  *rate = (fc_write_rate){.even_writes_per_s = writes_per_s,
                          .even_requests_per_s = requests_per_s,
                          .share = 1,
                          .backoff = 1,
                          .min_backoff = MIN(1, min_writes_per_s / writes_per_s),
                          .backoff_updated_at = now};
  fc_token_bucket_init(&rate->writes, writes_per_s, MAX(MIN_BURST_TOKENS, floor(writes_per_s)), now);
  fc_token_bucket_init(&rate->requests, requests_per_s, MAX(MIN_BURST_TOKENS, requests_per_s), now);
}

double fc_write_rate_per_s(const fc_write_rate *rate) {
  return rate->even_writes_per_s * rate->share * rate->backoff;
}

double fc_write_rate_burst(const fc_write_rate *rate) {
  return rate->writes.burst;
}

/* The burst is one second's worth of the store's current rate, whatever this member's share. */
static void apply_write_rate(fc_write_rate *rate, double now) {
  fc_token_bucket_set_rate(&rate->writes, fc_write_rate_per_s(rate), now);
  rate->writes.burst = MAX(MIN_BURST_TOKENS, floor(rate->even_writes_per_s * rate->backoff));
}

void fc_write_rate_set_share(fc_write_rate *rate, double share, double even, double now) {
  rate->share = share / even;
  apply_write_rate(rate, now);
  double request_share = MAX(1, MIN(share / even, MAX_REQUEST_SHARE));
  fc_token_bucket_set_rate(&rate->requests, rate->even_requests_per_s * request_share, now);
}

void fc_write_rate_back_off(fc_write_rate *rate, double now) {
  if (rate->min_backoff >= 1) return; /* no lower rate was announced */
  /* One step below the minimum is allowed: the members' shares may temporarily add up to more than
   * the total. */
  rate->backoff = MAX(rate->min_backoff * BACKOFF_FACTOR, rate->backoff * BACKOFF_FACTOR);
  rate->backoff_updated_at = now;
  apply_write_rate(rate, now);
}

/* Recovery is gradual: the refusal may have been due to a random spike, or to another member's
 * share. */
void fc_write_rate_recover(fc_write_rate *rate, double now) {
  if (rate->backoff >= 1) return;
  rate->backoff = MIN(1, rate->backoff * exp((now - rate->backoff_updated_at) / RECOVERY_TIME_CONSTANT_S));
  rate->backoff_updated_at = now;
  apply_write_rate(rate, now);
}

void fc_write_rate_pause(fc_write_rate *rate, double until) {
  rate->paused_until = until;
}

double fc_write_rate_wait_for_writes(fc_write_rate *rate, double writes, double now) {
  return fc_token_bucket_wait(&rate->writes, writes, 0, now);
}

double fc_write_rate_wait(fc_write_rate *rate, double writes, double now) {
  double for_writes = fc_write_rate_wait_for_writes(rate, writes, now);
  double for_request = fc_token_bucket_wait(&rate->requests, 1, 0, now);
  return MAX(MAX(for_writes, for_request), rate->paused_until - now);
}

void fc_write_rate_take(fc_write_rate *rate, double writes, double now) {
  (void)fc_token_bucket_take(&rate->writes, writes, 0, now);
  (void)fc_token_bucket_take(&rate->requests, 1, 0, now);
}

bool fc_write_rate_take_spare_request(fc_write_rate *rate, double now) {
  return fc_token_bucket_take(&rate->requests, 1, rate->requests.burst * TRANSACTION_RESERVE_FRACTION, now);
}
