#include "bookkeeping/token_bucket.h"

/* Less than this is rounding: waiting for it would be no wait at all, and a
 * loop around it would spin. */
#define ROUNDING 1e-6

void fc_token_bucket_init(fc_token_bucket *bucket, double per_s, double burst, double now) {
  *bucket = (fc_token_bucket){.per_s = per_s, .burst = burst, .level = burst, .at = now};
}

static void refill(fc_token_bucket *bucket, double now) {
  if (now > bucket->at) bucket->level += (now - bucket->at) * bucket->per_s;
  if (bucket->level > bucket->burst) bucket->level = bucket->burst;
  bucket->at = now;
}

void fc_token_bucket_set_rate(fc_token_bucket *bucket, double per_s, double now) {
  refill(bucket, now);
  bucket->per_s = per_s;
}

bool fc_token_bucket_take(fc_token_bucket *bucket, double n, double reserve, double now) {
  refill(bucket, now);
  if (bucket->level < n + reserve - ROUNDING) return false;
  bucket->level -= n;
  return true;
}

double fc_token_bucket_wait(fc_token_bucket *bucket, double n, double reserve, double now) {
  refill(bucket, now);
  double missing = n + reserve - bucket->level;
  return missing <= ROUNDING ? 0 : missing / bucket->per_s;
}
