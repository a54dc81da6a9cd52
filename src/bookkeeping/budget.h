/* A token bucket: the member's share of a rate that all members use up. */
#ifndef FC_BOOKKEEPING_BUDGET_H
#define FC_BOOKKEEPING_BUDGET_H

#include <stdbool.h>

typedef struct fc_budget {
  double per_s, burst, level, at;
} fc_budget;

void fc_budget_init(fc_budget *b, double per_s, double burst, double now);
void fc_budget_rate(fc_budget *b, double per_s, double now);
/* Takes n when there are as many; a rank that leaves `reserve` untouched goes
 * without before those above it do. */
bool fc_budget_take(fc_budget *b, double n, double reserve, double now);
/* Seconds until fc_budget_take(n, reserve) would succeed. */
double fc_budget_wait(fc_budget *b, double n, double reserve, double now);

#endif
