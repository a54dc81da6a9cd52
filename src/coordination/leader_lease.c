#include "coordination/leader_lease.h"

#include <string.h>

void fc_leader_lease_init(fc_leader_lease *lease, double lease_s, double worker_lease_s, double cancel_s,
                          double report_s, size_t peer_count) {
  memset(lease, 0, sizeof *lease);
  lease->lease_s = lease_s;
  lease->lease_until = -1;
  lease->kv_read_at = -1e9;
  lease->peer_count = peer_count;
  for (size_t k = 0; k < FC_MEMBERS_MAX; k++) lease->grants[k] = (fc_peer_grant){-1, -1, -1};
  /* A cancellation we have not heard of must not run on: from our last answer a
   * worker keeps its tasks for one lease, and a report may be under way. */
  double margin = report_s * 0.5;
  lease->stale_max_s = (cancel_s - worker_lease_s - margin) * (1 - FC_CLOCK_DRIFT);
}

void fc_leader_lease_renewed(fc_leader_lease *lease, double sent) {
  lease->lease_until = sent + lease->lease_s * (1 - FC_CLOCK_DRIFT);
}

void fc_leader_lease_lost(fc_leader_lease *lease) {
  lease->lease_until = -1;
}

void fc_leader_lease_read_fresh(fc_leader_lease *lease, double sent) {
  if (sent > lease->kv_read_at) lease->kv_read_at = sent;
}

void fc_leader_lease_new_term(fc_leader_lease *lease) {
  for (size_t k = 0; k < FC_MEMBERS_MAX; k++) lease->grants[k].granted_until = -1;
}

void fc_leader_lease_granted(fc_leader_lease *lease, const fc_term *term, const int *peer_of, int self, size_t k,
                             double now, double sent, double promise_s) {
  if (now > fc_leader_lease_until(lease, term, peer_of, self)) {
    fc_leader_lease_new_term(lease);
    return;
  }
  lease->grants[k].granted_until = sent + promise_s * (1 - FC_CLOCK_DRIFT);
}

void fc_leader_lease_no_cancellation(fc_leader_lease *lease, size_t k, double sent, double quiet_from) {
  lease->grants[k].no_cancellation_from = quiet_from;
  lease->grants[k].no_cancellation_until = sent;
}

double fc_leader_lease_entry_wait(const fc_leader_lease *lease) {
  double longest = lease->stale_max_s > lease->lease_s ? lease->stale_max_s : lease->lease_s;
  return longest * (1 + 3 * FC_CLOCK_DRIFT);
}

/* How long we may go on without hearing of cancellations. Either for a while
 * after the last fresh read; or, while every other controller there is promises
 * not to exclude us and says that it has learned of no cancellation since that
 * read, as long as they do. In an outage of the state service nobody can cancel
 * anything, and so work need not stop for it. */
static double stale_until(const fc_leader_lease *lease) {
  double alone = lease->kv_read_at + lease->stale_max_s, together = 1e18;
  for (size_t k = 0; k < lease->peer_count; k++) {
    const fc_peer_grant *grant = &lease->grants[k];
    double until =
        grant->no_cancellation_from <= lease->kv_read_at ? grant->no_cancellation_until + lease->stale_max_s : -1;
    if (grant->granted_until < until) until = grant->granted_until;
    if (until < together) together = until;
  }
  if (lease->peer_count == 0) return alone;
  return alone > together ? alone : together;
}

double fc_leader_lease_until(const fc_leader_lease *lease, const fc_term *term, const int *peer_of, int self) {
  if (self < 0) return -1;
  /* Without the lease, only a promise of every other member counts: any one of
   * them could commit a term without us. Alone there is nobody who could. */
  double promised = 1e18;
  for (size_t i = 0; i < term->count; i++) {
    if ((int)i == self) continue;
    double until = peer_of[i] >= 0 ? lease->grants[peer_of[i]].granted_until : -1;
    if (until < promised) promised = until;
  }
  /* Somebody who is no member may have promised nothing. It enters by a term
   * that keeps us, and waits fc_leader_lease_entry_wait() before it excludes us: by then
   * the bound on staleness has stopped us, unless we have read of that term, or
   * have its promise too (stale_until). */
  double until = lease->lease_until > promised ? lease->lease_until : promised;
  double stale = stale_until(lease);
  return until < stale ? until : stale;
}
