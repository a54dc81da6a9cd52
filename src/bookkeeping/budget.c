#include "bookkeeping/budget.h"

/* Less than this is rounding: waiting for it would be no wait at all, and a
 * loop around it would spin. */
#define ROUNDING 1e-6

void fc_budget_init(fc_budget *b, double per_s, double burst, double now) {
  *b = (fc_budget){.per_s = per_s, .burst = burst, .level = burst, .at = now};
}

static void refill(fc_budget *b, double now) {
  if (now > b->at) b->level += (now - b->at) * b->per_s;
  if (b->level > b->burst) b->level = b->burst;
  b->at = now;
}

void fc_budget_rate(fc_budget *b, double per_s, double now) {
  refill(b, now);
  b->per_s = per_s;
}

bool fc_budget_take(fc_budget *b, double n, double reserve, double now) {
  refill(b, now);
  if (b->level < n + reserve - ROUNDING) return false;
  b->level -= n;
  return true;
}

double fc_budget_wait(fc_budget *b, double n, double reserve, double now) {
  refill(b, now);
  double missing = n + reserve - b->level;
  return missing <= ROUNDING ? 0 : missing / b->per_s;
}
