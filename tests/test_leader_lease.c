/* The leader lease: the time until which a controller may act as leader of its shard. */
#include "fixture.h"

#include "coordination/leader_lease.h"

static void lease_from_renewal_and_grants(void **state) {
  (void)state;
  /* Lease 7 s, worker lease 14 s, cancellation 34 s, heartbeat 2 s: the staleness bound is 19 s less the drift. */
  static const double drift_factor = 1 - FC_CLOCK_DRIFT;
  static const struct {
    const char *name;
    double lease_sent, fresh_sent;
    double grant_sent[2]; /* of each peer; < 0: none */
    double no_cancellation_from[2];
    double until;
  } rows[] = {
      {"lease only", 100, 100, {-1, -1}, {200, 200}, 100 + 7 * drift_factor},
      {"no lease, no grant", -1, 100, {-1, -1}, {200, 200}, -1},
      {"one grant is not enough", 100, 104, {104, -1}, {200, 200}, 100 + 7 * drift_factor},
      {"all grants extend it", 100, 104, {104, 103}, {200, 200}, 103 + 7 * drift_factor},
      {"not past the staleness bound", 114, 100, {118, 118}, {200, 200}, 100 + 19 * drift_factor},
      {"no peer has learned of a cancellation", 114, 100, {118, 118}, {99, 100}, 118 + 7 * drift_factor},
      {"a peer may have learned of one since this member's last read",
       114,
       100,
       {118, 118},
       {99, 101},
       100 + 19 * drift_factor},
  };
  fc_term term = fixture_term(3);
  const int peer_of[] = {-1, 0, 1};
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    fc_leader_lease lease;
    fc_leader_lease_init(&lease, 7, 14, 34, 2, 2);
    if (rows[i].lease_sent >= 0) fc_leader_lease_renewed(&lease, rows[i].lease_sent);
    fc_leader_lease_read_fresh(&lease, rows[i].fresh_sent);
    for (size_t k = 0; k < 2; k++) {
      if (rows[i].grant_sent[k] < 0) continue;
      fc_leader_lease_no_cancellation(&lease, k, rows[i].grant_sent[k], rows[i].no_cancellation_from[k]);
      fc_leader_lease_granted(&lease, &term, peer_of, 0, k, rows[i].lease_sent + 1, rows[i].grant_sent[k], 7);
    }
    double until = fc_leader_lease_until(&lease, &term, peer_of, 0);
    check_row(rows[i].name, until > rows[i].until - 1e-6 && until < rows[i].until + 1e-6);
    check_row(rows[i].name, fc_leader_lease_until(&lease, &term, peer_of, -1) < 0);
    fc_leader_lease_new_term(&lease); /* grants of the old term do not count */
    check_row(rows[i].name,
              fc_leader_lease_until(&lease, &term, peer_of, 0) <= lease.lease_until || lease.lease_until < 0);
  }
}

/* While the lease was expired, a term without this member may have been sent and may still be committed: only a renewal
 * of the lease restores it. */
static void grants_do_not_restore_an_expired_lease(void **state) {
  (void)state;
  fc_term term = fixture_term(2);
  const int peer_of[] = {-1, 0};
  fc_leader_lease lease;
  fc_leader_lease_init(&lease, 7, 14, 34, 2, 1);
  fc_leader_lease_renewed(&lease, 100);
  fc_leader_lease_read_fresh(&lease, 105);
  fc_leader_lease_granted(&lease, &term, peer_of, 0, 0, 106, 106, 7);
  assert_true(fc_leader_lease_until(&lease, &term, peer_of, 0) > 112);
  fc_leader_lease_granted(&lease, &term, peer_of, 0, 0, 114, 113.9, 7); /* too late */
  assert_true(fc_leader_lease_until(&lease, &term, peer_of, 0) < 114);
  fc_leader_lease_renewed(&lease, 114);
  assert_true(fc_leader_lease_until(&lease, &term, peer_of, 0) > 120);
}

/* A member that missed the term in which another one joined stops acting before that one may exclude it. */
static void exclusion_wait_exceeds_a_stale_lease(void **state) {
  (void)state;
  fc_leader_lease lease;
  fc_leader_lease_init(&lease, 7, 14, 34, 2, 1);
  fc_term term = fixture_term(1); /* the joining member is not in the term that this one knows */
  const int peer_of[] = {-1};
  fc_leader_lease_read_fresh(&lease, 100); /* read just before the other joined at 100 */
  double stops = fc_leader_lease_until(&lease, &term, peer_of, 0);
  /* This member's clock may be slow, that of the joining member fast. */
  assert_true(100 + (stops - 100) * (1 + FC_CLOCK_DRIFT / 2) <
              100 + fc_leader_lease_exclusion_wait_s(&lease) * (1 - FC_CLOCK_DRIFT / 2));
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(lease_from_renewal_and_grants),
      cmocka_unit_test(grants_do_not_restore_an_expired_lease),
      cmocka_unit_test(exclusion_wait_exceeds_a_stale_lease),
  };
  return cmocka_run_group_tests(tests, NULL, NULL);
}
