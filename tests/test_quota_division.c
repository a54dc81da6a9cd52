/* Shares of a team's limit: divided anew, and adjusted one at a time. */
#include "fixture.h"

#include "coordination/quota_division.h"

static void division_of_a_limit(void **state) {
  (void)state;
  static const struct {
    const char *name;
    double limit;
    fc_quota_demand demands[3];
    double expect[3];
  } rows[] = {
      {"no demand", 30, {{0, 0, 0}, {0, 0, 0}, {0, 0, 0}}, {10, 10, 10}},
      {"never below the usage", 30, {{12, 0, 0}, {0, 0, 0}, {0, 0, 0}}, {18, 6, 6}},
      {"by demand", 30, {{0, 20, 0}, {0, 10, 0}, {0, 30, 0}}, {10, 5, 15}},
      {"used up", 30, {{20, 5, 0}, {10, 5, 0}, {0, 5, 0}}, {20, 10, 0}},
      {"exceeded", 30, {{20, 5, 0}, {15, 5, 0}, {0, 5, 0}}, {20, 15, 0}},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    double shares[3];
    bool within = rows[i].demands[0].used + rows[i].demands[1].used + rows[i].demands[2].used <= rows[i].limit;
    check_row(rows[i].name, fc_quota_divide(rows[i].limit, rows[i].demands, 3, shares) == within);
    for (int k = 0; k < 3; k++)
      check_row(rows[i].name, shares[k] > rows[i].expect[k] - 1e-6 && shares[k] < rows[i].expect[k] + 1e-6);
  }
}

static void adjustment_of_a_share(void **state) {
  (void)state;
  static const struct {
    const char *name;
    fc_quota_others others;
    double own;
    fc_quota_demand demand;
    double expect;
  } rows[] = {
      {"keeps what no other needs", {10, 0, 2}, 20, {5, 3, 0}, 20},
      {"gives up what others lack", {10, 10, 2}, 20, {5, 3, 0}, 10},
      {"gives up half of its spare at least", {10, 1, 2}, 20, {5, 3, 0}, 14},
      {"unassigned quota goes first", {5, 5, 2}, 20, {5, 3, 0}, 20},
      {"never below its usage", {10, 50, 2}, 20, {20, 0, 0}, 20},
      {"takes its part of the unassigned quota", {9, 0, 2}, 6, {5, 2, 0}, 11},
      {"takes only what is left", {20, 0, 2}, 5, {5, 50, 0}, 10},
      {"keeps its share when all is assigned", {25, 0, 2}, 5, {2, 50, 0}, 5},
      {"gives up less than any task needs", {25, 9, 2}, 5, {4.5, 50, 1}, 4.5},
      {"but not while no other lacks any", {25, 0, 2}, 5, {4.5, 50, 1}, 5},
      {"takes none that is too little", {29.5, 9, 2}, 0.25, {0, 50, 1}, 0},
      {"its share and the unassigned quota suffice for one task", {29, 9, 2}, 0.5, {0, 50, 1}, 1},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
    check_row(rows[i].name, fc_quota_adjust(30, &rows[i].others, rows[i].own, &rows[i].demand) == rows[i].expect);
}

/* In any order of adjustments by members that see the last record. */
static void sum_of_shares_keeps_to_the_limit(void **state) {
  (void)state;
  GRand *rand = g_rand_new_with_seed(7);
  double share[3] = {10, 10, 10}, used[3] = {0, 0, 0};
  for (int round = 0; round < 20000; round++) {
    int k = g_rand_int_range(rand, 0, 3);
    used[k] = g_rand_double_range(rand, 0, share[k] + 1e-12); /* within its share */
    fc_quota_demand demand = {used[k], g_rand_double_range(rand, 0, 40), g_rand_double_range(rand, 0, 2)};
    fc_quota_others others = {share[(k + 1) % 3] + share[(k + 2) % 3], g_rand_double_range(rand, 0, 20), 2};
    share[k] = fc_quota_adjust(30, &others, share[k], &demand);
    assert_true(share[0] + share[1] + share[2] <= 30 + 1e-6);
    assert_true(share[k] >= used[k] - 1e-9);
  }
  g_rand_free(rand);
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(division_of_a_limit),
      cmocka_unit_test(adjustment_of_a_share),
      cmocka_unit_test(sum_of_shares_keeps_to_the_limit),
  };
  return cmocka_run_group_tests(tests, NULL, NULL);
}
