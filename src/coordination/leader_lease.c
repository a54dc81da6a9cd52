#include "coordination/leader_lease.h"

#include <string.h>

/* Monotonic times in seconds. NEVER is before any time of the clock, and so is BEFORE_ALL_READS plus stale_max_s. */
#define NEVER (-1.0)
#define BEFORE_ALL_READS (-1e9)
#define UNBOUNDED 1e18
/* Allowance for a heartbeat in flight, in intervals between heartbeats. */
#define IN_FLIGHT_HEARTBEATS 0.5

/* Shortens a duration, so that it ends in time even if this process's clock is the slower one. */
static double shortened_for_drift(double seconds) {
  return seconds * (1 - FC_CLOCK_DRIFT);
}

static double earlier(double left, double right) {
  return left < right ? left : right;
}

static double later(double left, double right) {
  return left > right ? left : right;
}

void fc_leader_lease_init(fc_leader_lease *lease, double lease_s, double worker_lease_s, double cancel_s,
                          double heartbeat_s, size_t peer_count) {
  memset(lease, 0, sizeof *lease);
  lease->lease_s = lease_s;
  lease->lease_until = NEVER;
  lease->kv_read_at = BEFORE_ALL_READS;
  lease->peer_count = peer_count;
  for (size_t peer = 0; peer < FC_MEMBERS_MAX; peer++) lease->grants[peer] = (fc_peer_grant){NEVER, NEVER, NEVER};
  /* A cancelled job must stop in time even if this member has not learned of the cancellation: after the last
   * response a worker runs its tasks for one more lease, and a heartbeat may be in flight. */
  double margin = heartbeat_s * IN_FLIGHT_HEARTBEATS;
  lease->stale_max_s = shortened_for_drift(cancel_s - worker_lease_s - margin);
}

void fc_leader_lease_renewed(fc_leader_lease *lease, double sent) {
  lease->lease_until = sent + shortened_for_drift(lease->lease_s);
}

void fc_leader_lease_lost(fc_leader_lease *lease) {
  lease->lease_until = NEVER;
}

void fc_leader_lease_read_fresh(fc_leader_lease *lease, double sent) {
  if (sent > lease->kv_read_at) lease->kv_read_at = sent;
}

void fc_leader_lease_new_term(fc_leader_lease *lease) {
  for (size_t peer = 0; peer < FC_MEMBERS_MAX; peer++) lease->grants[peer].granted_until = NEVER;
}

void fc_leader_lease_granted(fc_leader_lease *lease, const fc_term *term, const int *peer_of, int self, size_t peer,
                             double now, double sent, double grant_s) {
  if (now > fc_leader_lease_until(lease, term, peer_of, self)) {
    fc_leader_lease_new_term(lease);
    return;
  }
  lease->grants[peer].granted_until = sent + shortened_for_drift(grant_s);
}

void fc_leader_lease_no_cancellation(fc_leader_lease *lease, size_t peer, double sent, double no_cancellation_from) {
  lease->grants[peer].no_cancellation_from = no_cancellation_from;
  lease->grants[peer].no_cancellation_until = sent;
}

double fc_leader_lease_exclusion_wait_s(const fc_leader_lease *lease) {
  /* This wait and the durations that it has to exceed are measured by different clocks. */
  return later(lease->stale_max_s, lease->lease_s) * (1 + 3 * FC_CLOCK_DRIFT);
}

/* The time until which this member may act without learning of cancellations. This is stale_max_s after the last
 * fresh read. It is later if every other controller has granted not to exclude this member, and has stated that it
 * learned of no cancellation since that read: while the key-value store is unavailable no job can be cancelled, so
 * that work need not stop. */
static double staleness_bound(const fc_leader_lease *lease) {
  double by_own_read = lease->kv_read_at + lease->stale_max_s;
  if (lease->peer_count == 0) return by_own_read;
  double by_peers = UNBOUNDED;
  for (size_t peer = 0; peer < lease->peer_count; peer++) {
    const fc_peer_grant *grant = &lease->grants[peer];
    bool covers_own_read = grant->no_cancellation_from <= lease->kv_read_at;
    double informed_until = covers_own_read ? grant->no_cancellation_until + lease->stale_max_s : NEVER;
    by_peers = earlier(by_peers, earlier(informed_until, grant->granted_until));
  }
  return later(by_own_read, by_peers);
}

/* The time before which no other member commits a term without this one. Each of them could commit one, so that all
 * have to grant this; a sole member needs no grants. */
static double granted_by_all(const fc_leader_lease *lease, const fc_term *term, const int *peer_of, int self) {
  double granted = UNBOUNDED;
  for (size_t member = 0; member < term->count; member++) {
    if ((int)member == self) continue;
    double until = peer_of[member] >= 0 ? lease->grants[peer_of[member]].granted_until : NEVER;
    granted = earlier(granted, until);
  }
  return granted;
}

double fc_leader_lease_until(const fc_leader_lease *lease, const fc_term *term, const int *peer_of, int self) {
  if (self < 0) return NEVER;
  double until = later(lease->lease_until, granted_by_all(lease, term, peer_of, self));
  /* A controller that is not yet a member may have granted nothing. It joins with a term that includes this member,
   * and waits fc_leader_lease_exclusion_wait_s() before it excludes this member. By then the staleness bound has
   * stopped this member, unless it has read that term or holds a grant of that controller too. */
  return earlier(until, staleness_bound(lease));
}
