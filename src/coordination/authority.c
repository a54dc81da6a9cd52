#include "coordination/authority.h"

#include <string.h>

void fc_authority_init(fc_authority *r, double lease_s, double worker_lease_s, double cancel_s, double report_s,
                       size_t peer_count) {
  memset(r, 0, sizeof *r);
  r->lease_s = lease_s;
  r->lease_until = -1;
  r->fresh_at = -1e9;
  r->peer_count = peer_count;
  for (size_t k = 0; k < FC_MEMBERS_MAX; k++) r->words[k] = (fc_peer_word){-1, -1, -1};
  /* A cancellation we have not heard of must not run on: from our last answer a
   * worker keeps its tasks for one lease, and a report may be under way. */
  double margin = report_s * 0.5;
  r->stale_most_s = (cancel_s - worker_lease_s - margin) * (1 - FC_DRIFT);
}

void fc_authority_renewed(fc_authority *r, double sent) {
  r->lease_until = sent + r->lease_s * (1 - FC_DRIFT);
}

void fc_authority_lost(fc_authority *r) {
  r->lease_until = -1;
}

void fc_authority_fresh(fc_authority *r, double sent) {
  if (sent > r->fresh_at) r->fresh_at = sent;
}

void fc_authority_new_term(fc_authority *r) {
  for (size_t k = 0; k < FC_MEMBERS_MAX; k++) r->words[k].promised_until = -1;
}

void fc_authority_promised(fc_authority *r, const fc_term *t, const int *peer_of, int self, size_t k, double now,
                           double sent, double promise_s) {
  if (now > fc_authority_until(r, t, peer_of, self)) {
    fc_authority_new_term(r);
    return;
  }
  r->words[k].promised_until = sent + promise_s * (1 - FC_DRIFT);
}

void fc_authority_quiet(fc_authority *r, size_t k, double sent, double quiet_from) {
  r->words[k].quiet_from = quiet_from;
  r->words[k].quiet_until = sent;
}

double fc_authority_entry_wait(const fc_authority *r) {
  double longest = r->stale_most_s > r->lease_s ? r->stale_most_s : r->lease_s;
  return longest * (1 + 3 * FC_DRIFT);
}

/* How long we may go on without hearing of cancellations. Either for a while
 * after the last fresh read; or, while every other controller there is promises
 * not to exclude us and says that it has learned of no cancellation since that
 * read, as long as they do. In an outage of the state service nobody can cancel
 * anything, and so work need not stop for it. */
static double stale_until(const fc_authority *r) {
  double alone = r->fresh_at + r->stale_most_s, together = 1e18;
  for (size_t k = 0; k < r->peer_count; k++) {
    const fc_peer_word *w = &r->words[k];
    double until = w->quiet_from <= r->fresh_at ? w->quiet_until + r->stale_most_s : -1;
    if (w->promised_until < until) until = w->promised_until;
    if (until < together) together = until;
  }
  if (r->peer_count == 0) return alone;
  return alone > together ? alone : together;
}

double fc_authority_until(const fc_authority *r, const fc_term *t, const int *peer_of, int self) {
  if (self < 0) return -1;
  /* Without the lease, only a promise of every other member counts: any one of
   * them could commit a term without us. Alone there is nobody who could. */
  double promised = 1e18;
  for (size_t i = 0; i < t->count; i++) {
    if ((int)i == self) continue;
    double until = peer_of[i] >= 0 ? r->words[peer_of[i]].promised_until : -1;
    if (until < promised) promised = until;
  }
  /* Somebody who is no member may have promised nothing. It enters by a term
   * that keeps us, and waits fc_authority_entry_wait() before it excludes us: by then
   * the bound on staleness has stopped us, unless we have read of that term, or
   * have its promise too (stale_until). */
  double until = r->lease_until > promised ? r->lease_until : promised;
  double stale = stale_until(r);
  return until < stale ? until : stale;
}
