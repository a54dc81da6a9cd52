/* The deal, authority and the shares of limits, by tables. */
#include "check.h"

#include "coordination/assignment.h"
#include "coordination/leader_lease.h"
#include "coordination/quota_division.h"

static fc_term term_of(size_t count) {
  fc_term t = {.number = 1, .seed = 42, .count = count};
  for (size_t i = 0; i < count; i++) {
    g_snprintf(t.members[i].name, sizeof t.members[i].name, "paddock-%zu", i);
    t.members[i].incarnation = 10 + i;
  }
  return t;
}

static void the_deal_is_random_even_and_stable(void **state) {
  (void)state;
  enum { JOBS = 3000 };
  fc_term three = term_of(3), two = term_of(2), other = term_of(3);
  other.seed = 43;
  int counts[3] = {0}, moved_wrongly = 0, moved_by_seed = 0;
  for (int i = 0; i < JOBS; i++) {
    char id[32];
    g_snprintf(id, sizeof id, "job-%06d", i);
    int a = fc_assign_slice(&three, id, 0, 1, NULL), b = fc_assign_slice(&two, id, 0, 1, NULL);
    counts[a]++;
    moved_wrongly += a != 2 && a != b; /* only the leaver's jobs may move */
    moved_by_seed += a != fc_assign_slice(&other, id, 0, 1, NULL);
  }
  for (int k = 0; k < 3; k++) assert_in_range(counts[k], JOBS / 3 - 120, JOBS / 3 + 120);
  assert_int_equal(moved_wrongly, 0);
  assert_in_range(moved_by_seed, JOBS / 2, JOBS * 5 / 6);
  fc_term none = {.count = 0};
  assert_int_equal(fc_assign_slice(&none, "job-000001", 0, 1, NULL), -1);
  assert_int_equal(fc_assign_slice(&three, "job-000001", 0, 1, "paddock-2"), 2);
  assert_int_equal(fc_assign_machine(&two, "vm-1", "paddock-1"), 1);
  assert_in_range(fc_assign_machine(&two, "vm-1", "paddock-2"), 0, 1); /* its owner has left */
}

static void the_right_to_act(void **state) {
  (void)state;
  /* lease 7, worker lease 14, cancel 34, report 2: stale bound 19 less drift */
  static const double d = 1 - FC_CLOCK_DRIFT;
  static const struct {
    const char *name;
    double lease_sent, fresh_sent;
    double promise[2]; /* when sent; < 0: none */
    double quiet_from[2];
    double until;
  } rows[] = {
      {"lease only", 100, 100, {-1, -1}, {200, 200}, 100 + 7 * d},
      {"no lease, no promise", -1, 100, {-1, -1}, {200, 200}, -1},
      {"one promise is not enough", 100, 104, {104, -1}, {200, 200}, 100 + 7 * d},
      {"every promise carries on", 100, 104, {104, 103}, {200, 200}, 103 + 7 * d},
      {"not past the bound on staleness", 114, 100, {118, 118}, {200, 200}, 100 + 19 * d},
      {"nobody has heard of a cancellation", 114, 100, {118, 118}, {99, 100}, 118 + 7 * d},
      {"one may have, since our last read", 114, 100, {118, 118}, {99, 101}, 100 + 19 * d},
  };
  fc_term t = term_of(3);
  const int peer_of[] = {-1, 0, 1};
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    fc_leader_lease r;
    fc_leader_lease_init(&r, 7, 14, 34, 2, 2);
    if (rows[i].lease_sent >= 0) fc_leader_lease_renewed(&r, rows[i].lease_sent);
    fc_leader_lease_read_fresh(&r, rows[i].fresh_sent);
    for (size_t k = 0; k < 2; k++) {
      if (rows[i].promise[k] < 0) continue;
      fc_leader_lease_no_cancellation(&r, k, rows[i].promise[k], rows[i].quiet_from[k]);
      fc_leader_lease_granted(&r, &t, peer_of, 0, k, rows[i].lease_sent + 1, rows[i].promise[k], 7);
    }
    double until = fc_leader_lease_until(&r, &t, peer_of, 0);
    check_row(rows[i].name, until > rows[i].until - 1e-6 && until < rows[i].until + 1e-6);
    check_row(rows[i].name, fc_leader_lease_until(&r, &t, peer_of, -1) < 0);
    fc_leader_lease_new_term(&r); /* promises of the old term count no more */
    check_row(rows[i].name, fc_leader_lease_until(&r, &t, peer_of, 0) <= r.lease_until || r.lease_until < 0);
  }
}

/* In a gap a term without us may have been sent, to be applied late: promises
 * that come after it don't bring the authority back, only the lease does. */
static void a_lapsed_right_is_not_mended_by_promises(void **state) {
  (void)state;
  fc_term t = term_of(2);
  const int peer_of[] = {-1, 0};
  fc_leader_lease r;
  fc_leader_lease_init(&r, 7, 14, 34, 2, 1);
  fc_leader_lease_renewed(&r, 100);
  fc_leader_lease_read_fresh(&r, 105);
  fc_leader_lease_granted(&r, &t, peer_of, 0, 0, 106, 106, 7);
  assert_true(fc_leader_lease_until(&r, &t, peer_of, 0) > 112);
  fc_leader_lease_granted(&r, &t, peer_of, 0, 0, 114, 113.9, 7); /* too late */
  assert_true(fc_leader_lease_until(&r, &t, peer_of, 0) < 114);
  fc_leader_lease_renewed(&r, 114);
  assert_true(fc_leader_lease_until(&r, &t, peer_of, 0) > 120);
}

/* Whoever missed an entry has stopped before the enterer may exclude it. */
static void an_enterer_waits_out_whoever_missed_it(void **state) {
  (void)state;
  fc_leader_lease r;
  fc_leader_lease_init(&r, 7, 14, 34, 2, 1);
  fc_term t = term_of(1); /* the enterer is no member of the term we know */
  const int peer_of[] = {-1};
  fc_leader_lease_read_fresh(&r, 100); /* read just before it entered at 100 */
  double stops = fc_leader_lease_until(&r, &t, peer_of, 0);
  /* its clock may be slow, the enterer's fast */
  assert_true(100 + (stops - 100) * (1 + FC_CLOCK_DRIFT / 2) <
              100 + fc_leader_lease_entry_wait(&r) * (1 - FC_CLOCK_DRIFT / 2));
}

static void shares_never_pass_the_limit(void **state) {
  (void)state;
  static const struct {
    const char *name;
    double limit;
    fc_quota_demand parts[3];
    double expect[3];
  } rows[] = {
      {"nothing asked", 30, {{0, 0, 0}, {0, 0, 0}, {0, 0, 0}}, {10, 10, 10}},
      {"use is kept", 30, {{12, 0, 0}, {0, 0, 0}, {0, 0, 0}}, {18, 6, 6}},
      {"by demand", 30, {{0, 20, 0}, {0, 10, 0}, {0, 30, 0}}, {10, 5, 15}},
      {"full", 30, {{20, 5, 0}, {10, 5, 0}, {0, 5, 0}}, {20, 10, 0}},
      {"over", 30, {{20, 5, 0}, {15, 5, 0}, {0, 5, 0}}, {20, 15, 0}},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    double shares[3];
    bool within = rows[i].parts[0].used + rows[i].parts[1].used + rows[i].parts[2].used <= rows[i].limit;
    check_row(rows[i].name, fc_quota_divide(rows[i].limit, rows[i].parts, 3, shares) == within);
    for (int k = 0; k < 3; k++)
      check_row(rows[i].name, shares[k] > rows[i].expect[k] - 1e-6 && shares[k] < rows[i].expect[k] + 1e-6);
  }
  static const struct {
    const char *name;
    fc_quota_others others;
    double own;
    fc_quota_demand demand;
    double expect;
  } steps[] = {
      {"keeps what nobody else needs", {10, 0, 2}, 20, {5, 3, 0}, 20},
      {"gives what others lack", {10, 10, 2}, 20, {5, 3, 0}, 10},
      {"gives half of what it can spare at least", {10, 1, 2}, 20, {5, 3, 0}, 14},
      {"what is free comes first", {5, 5, 2}, 20, {5, 3, 0}, 20},
      {"never below its use", {10, 50, 2}, 20, {20, 0, 0}, 20},
      {"takes its part of what is free along", {9, 0, 2}, 6, {5, 2, 0}, 11},
      {"takes only what is left", {20, 0, 2}, 5, {5, 50, 0}, 10},
      {"keeps what it has when all is taken", {25, 0, 2}, 5, {2, 50, 0}, 5},
      {"gives up less than any task needs", {25, 9, 2}, 5, {4.5, 50, 1}, 4.5},
      {"but not while nobody lacks any", {25, 0, 2}, 5, {4.5, 50, 1}, 5},
      {"takes none that is too little", {29.5, 9, 2}, 0.25, {0, 50, 1}, 0},
      {"what it has and what is free is enough for one", {29, 9, 2}, 0.5, {0, 50, 1}, 1},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(steps); i++)
    check_row(steps[i].name, fc_quota_adjust(30, &steps[i].others, steps[i].own, &steps[i].demand) == steps[i].expect);
  /* Any order of steps by parts that see the last record keeps the sum. */
  GRand *rand = g_rand_new_with_seed(7);
  double share[3] = {10, 10, 10}, used[3] = {0, 0, 0};
  for (int n = 0; n < 20000; n++) {
    int k = g_rand_int_range(rand, 0, 3);
    used[k] = g_rand_double_range(rand, 0, share[k] + 1e-12); /* within its share */
    fc_quota_demand d = {used[k], g_rand_double_range(rand, 0, 40), g_rand_double_range(rand, 0, 2)};
    fc_quota_others o = {share[(k + 1) % 3] + share[(k + 2) % 3], g_rand_double_range(rand, 0, 20), 2};
    share[k] = fc_quota_adjust(30, &o, share[k], &d);
    assert_true(share[0] + share[1] + share[2] <= 30 + 1e-6);
    assert_true(share[k] >= used[k] - 1e-9);
  }
  g_rand_free(rand);
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(the_deal_is_random_even_and_stable),
      cmocka_unit_test(the_right_to_act),
      cmocka_unit_test(a_lapsed_right_is_not_mended_by_promises),
      cmocka_unit_test(an_enterer_waits_out_whoever_missed_it),
      cmocka_unit_test(shares_never_pass_the_limit),
  };
  return cmocka_run_group_tests(tests, NULL, NULL);
}
