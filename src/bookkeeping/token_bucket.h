/* A token bucket: enforces an average rate and a burst size. Allocates no memory; times are on the
 * monotonic clock of fc_now(), in seconds. Nothing here suspends the calling routine. */
#ifndef FC_BOOKKEEPING_TOKEN_BUCKET_H
#define FC_BOOKKEEPING_TOKEN_BUCKET_H

#include <stdbool.h>

typedef struct fc_token_bucket {
  double per_s;       /* refill rate, tokens per second */
  double burst;       /* capacity, in tokens */
  double tokens;      /* available at refilled_at */
  double refilled_at; /* time of the last refill */
} fc_token_bucket;

/* Starts with a full bucket. */
void fc_token_bucket_init(fc_token_bucket *bucket, double per_s, double burst, double now);

/* Changes the refill rate from `now` on; tokens accumulated so far and the burst size stay. */
void fc_token_bucket_set_rate(fc_token_bucket *bucket, double per_s, double now);

/* Takes `count` tokens if at least `reserve` remain afterwards; otherwise takes none and returns
 * false. Callers of lower priority pass a reserve, which leaves tokens for those above them. */
bool fc_token_bucket_take(fc_token_bucket *bucket, double count, double reserve, double now);

/* Seconds until fc_token_bucket_take() with the same arguments would succeed; 0: now. */
double fc_token_bucket_wait(fc_token_bucket *bucket, double count, double reserve, double now);

#endif
