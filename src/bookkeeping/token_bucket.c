#include "bookkeeping/token_bucket.h"

/* A smaller deficit is a rounding error: the wait for it would be below the resolution of a timer,
 * and a loop around that wait would spin. */
#define TOKEN_EPSILON 1e-6

void fc_token_bucket_init(fc_token_bucket *bucket, double per_s, double burst, double now) {
  *bucket = (fc_token_bucket){.per_s = per_s, .burst = burst, .tokens = burst, .refilled_at = now};
}

static void refill(fc_token_bucket *bucket, double now) {
  if (now > bucket->refilled_at) bucket->tokens += (now - bucket->refilled_at) * bucket->per_s;
  if (bucket->tokens > bucket->burst) bucket->tokens = bucket->burst;
  bucket->refilled_at = now;
}

void fc_token_bucket_set_rate(fc_token_bucket *bucket, double per_s, double now) {
  refill(bucket, now);
  bucket->per_s = per_s;
}

bool fc_token_bucket_take(fc_token_bucket *bucket, double count, double reserve, double now) {
  refill(bucket, now);
  if (bucket->tokens < count + reserve - TOKEN_EPSILON) return false;
  bucket->tokens -= count;
  return true;
}

double fc_token_bucket_wait(fc_token_bucket *bucket, double count, double reserve, double now) {
  refill(bucket, now);
  double deficit = count + reserve - bucket->tokens;
  return deficit <= TOKEN_EPSILON ? 0 : deficit / bucket->per_s;
}
