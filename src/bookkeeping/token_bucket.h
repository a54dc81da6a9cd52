/* A token bucket: the member's share of a rate that all members use up. */
#ifndef FC_BOOKKEEPING_TOKEN_BUCKET_H
#define FC_BOOKKEEPING_TOKEN_BUCKET_H

#include <stdbool.h>

typedef struct fc_token_bucket {
  double per_s, burst, level, at;
} fc_token_bucket;

void fc_token_bucket_init(fc_token_bucket *bucket, double per_s, double burst, double now);
void fc_token_bucket_set_rate(fc_token_bucket *bucket, double per_s, double now);
/* Takes n when there are as many; a rank that leaves `reserve` untouched goes
 * without before those above it do. */
bool fc_token_bucket_take(fc_token_bucket *bucket, double n, double reserve, double now);
/* Seconds until fc_token_bucket_take(n, reserve) would succeed. */
double fc_token_bucket_wait(fc_token_bucket *bucket, double n, double reserve, double now);

#endif
