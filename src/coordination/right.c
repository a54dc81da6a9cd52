#include "coordination/right.h"

#include <string.h>

void fc_right_init(fc_right *r, double lease_s, double worker_lease_s, double cancel_s, double report_s) {
  memset(r, 0, sizeof *r);
  r->lease_s = lease_s;
  r->lease_until = -1;
  r->fresh_at = -1e9;
  /* A cancellation we have not heard of must not run on: from our last answer a
   * worker keeps its tasks for one lease, and a report may be under way. */
  double margin = report_s * 0.5;
  r->stale_most_s = (cancel_s - worker_lease_s - margin) * (1 - FC_DRIFT);
}

void fc_right_renewed(fc_right *r, double sent) { r->lease_until = sent + r->lease_s * (1 - FC_DRIFT); }

void fc_right_lost(fc_right *r) { r->lease_until = -1; }

void fc_right_fresh(fc_right *r, double sent) {
  if (sent > r->fresh_at) r->fresh_at = sent;
}

void fc_right_new_term(fc_right *r) {
  for (size_t i = 0; i < FC_MEMBERS_MAX; i++) {
    r->peers[i].boot = 0;
    r->peers[i].received_until = -1;
  }
}

void fc_right_promised(fc_right *r, size_t i, uint64_t boot, double sent, double promise_s) {
  r->peers[i].boot = boot;
  r->peers[i].received_until = sent + promise_s * (1 - FC_DRIFT);
}

double fc_right_entry_wait(const fc_right *r) {
  double longest = r->stale_most_s > r->lease_s ? r->stale_most_s : r->lease_s;
  return longest * (1 + 3 * FC_DRIFT);
}

double fc_right_until(const fc_right *r, const fc_term *t, int self) {
  if (self < 0) return -1;
  /* Without the lease, only a promise of every other member counts: any one of
   * them could commit a term without us. Alone there is nobody who could. */
  double promised = 1e18;
  for (size_t i = 0; i < t->count; i++) {
    if ((int)i == self) continue;
    const fc_promise *p = &r->peers[i];
    double until = p->boot == t->members[i].boot ? p->received_until : -1;
    if (until < promised) promised = until;
  }
  /* Somebody who is no member has promised nothing. It enters by a term that
   * keeps us, and waits fc_right_entry_wait() before it excludes us: by then
   * the bound on staleness has stopped us, unless we have read of that term. */
  double until = r->lease_until > promised ? r->lease_until : promised;
  double stale = r->fresh_at + r->stale_most_s;
  return until < stale ? until : stale;
}
