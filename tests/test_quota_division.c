/* Division of a team's limit into shares, and adjustment of one share at a time. */
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
      {"usage equals the limit", 30, {{20, 5, 0}, {10, 5, 0}, {0, 5, 0}}, {20, 10, 0}},
      {"usage exceeds the limit", 30, {{20, 5, 0}, {15, 5, 0}, {0, 5, 0}}, {20, 15, 0}},
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
      {"gives up at least half of what it can spare", {10, 1, 2}, 20, {5, 3, 0}, 14},
      {"unassigned quota goes first", {5, 5, 2}, 20, {5, 3, 0}, 20},
      {"never below its usage", {10, 50, 2}, 20, {20, 0, 0}, 20},
      {"takes its part of the unassigned quota", {9, 0, 2}, 6, {5, 2, 0}, 11},
      {"takes only what is left", {20, 0, 2}, 5, {5, 50, 0}, 10},
      {"keeps its share when all is assigned", {25, 0, 2}, 5, {2, 50, 0}, 5},
      {"gives up all its spare if that is too little for any task", {25, 9, 2}, 5, {4.5, 50, 1}, 4.5},
      {"keeps its spare while no other lacks any", {25, 0, 2}, 5, {4.5, 50, 1}, 5},
      {"gives up its share if the limit leaves too little for a task", {29.5, 9, 2}, 0.25, {0, 50, 1}, 0},
      {"its share and the unassigned quota suffice for one task", {29, 9, 2}, 0.5, {0, 50, 1}, 1},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
    check_row(rows[i].name, fc_quota_adjust(30, &rows[i].others, rows[i].own, &rows[i].demand) == rows[i].expect);
}

/* In any order of adjustments by members that see the latest record. */
static void sum_of_shares_never_exceeds_the_limit(void **state) {
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

/* Demand for which a shard has no room yields to demand that other shards could place. */
static void adjustment_of_a_share_by_room(void **state) {
  (void)state;
  static const struct {
    const char *name;
    fc_quota_others others;
    double own;
    fc_quota_demand demand;
    double unplaceable, expect;
  } rows[] = {
      {"gives up what it has no room for", {19, 10, 2}, 11, {8, 16, 1}, 16, 8},
      {"keeps what it can place", {19, 10, 2}, 11, {8, 16, 1}, 14, 10},
      {"gives up only as much as others lack", {10, 2, 2}, 20, {8, 16, 1}, 16, 14},
      {"gives up nothing while no other lacks any", {19, 0, 2}, 11, {8, 16, 1}, 16, 11},
      {"takes none of what others lack", {19, 3, 2}, 8, {8, 16, 1}, 16, 8},
      {"takes what no other lacks", {9, 3, 2}, 8, {8, 16, 1}, 16, 18},
      {"takes what it can place, also if others lack some", {19, 9, 2}, 8, {8, 16, 1}, 13, 11},
      {"never below its usage", {10, 50, 2}, 20, {20, 5, 1}, 5, 20},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    double share = fc_quota_adjust_by_room(30, &rows[i].others, rows[i].own, &rows[i].demand, rows[i].unplaceable);
    check_row(rows[i].name, share == rows[i].expect);
  }
}

enum { SHARDS = 3 };

/* The shares of one team in all shards while they are adjusted. Usage and demand do not change. */
typedef struct division {
  double limit;
  double share[SHARDS], unplaceable[SHARDS];
  fc_quota_demand demand[SHARDS];
} division;

static double shortfall(const division *shards, int k) {
  const fc_quota_demand *demand = &shards->demand[k];
  return MAX(0, demand->used + demand->wanted - shards->unplaceable[k] - shards->share[k]);
}

static division random_division(GRand *rand) {
  division shards = {.limit = 30};
  double rest = shards.limit;
  for (int k = 0; k < SHARDS; k++) {
    shards.share[k] = g_rand_int_range(rand, 0, (gint32)rest + 1);
    rest -= shards.share[k];
    fc_quota_demand *demand = &shards.demand[k];
    demand->used = g_rand_int_range(rand, 0, (gint32)shards.share[k] + 1);
    demand->wanted = g_rand_boolean(rand) ? g_rand_int_range(rand, 0, 40) : 0;
    demand->least = demand->wanted > 0 ? 1 : 0;
    shards.unplaceable[k] = demand->wanted > 0 ? g_rand_int_range(rand, 0, (gint32)demand->wanted + 1) : 0;
  }
  return shards;
}

/* Returns whether the shard's share has changed. */
static bool adjust_shard(division *shards, int k) {
  fc_quota_others others = {.count = SHARDS - 1};
  for (int other = 0; other < SHARDS; other++) {
    if (other == k) continue;
    others.assigned += shards->share[other];
    others.shortfall += shortfall(shards, other);
  }
  double before = shards->share[k];
  shards->share[k] =
      fc_quota_adjust_by_room(shards->limit, &others, before, &shards->demand[k], shards->unplaceable[k]);
  assert_true(shards->share[k] >= shards->demand[k].used - 1e-9);
  assert_true(shards->share[0] + shards->share[1] + shards->share[2] <= shards->limit + 1e-6);
  return ABS(shards->share[k] - before) > 1e-6;
}

/* In any order of adjustments the shares stop changing. After that, no shard has room for tasks that lack a whole unit
 * of quota while another shard can spare one. */
static void shares_converge_where_there_is_room(void **state) {
  (void)state;
  enum { ADJUSTMENTS_MAX = 90 };
  GRand *rand = g_rand_new_with_seed(11);
  for (int trial = 0; trial < 5000; trial++) {
    division shards = random_division(rand);
    unsigned unchanged = 0; /* number of last adjustments that changed nothing */
    for (int step = 0; step < ADJUSTMENTS_MAX; step++)
      unchanged = adjust_shard(&shards, g_rand_int_range(rand, 0, SHARDS)) ? 0 : unchanged + 1;
    for (int k = 0; k < SHARDS; k++) assert_false(adjust_shard(&shards, k));
    double spare = shards.limit;
    double lack = 0;
    for (int k = 0; k < SHARDS; k++) {
      const fc_quota_demand *demand = &shards.demand[k];
      spare -= MIN(shards.share[k], demand->used + demand->wanted - shards.unplaceable[k]);
      lack = MAX(lack, shortfall(&shards, k));
    }
    assert_true(lack < 1 || spare < 1);
    assert_true(unchanged > 0);
  }
  g_rand_free(rand);
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(division_of_a_limit),
      cmocka_unit_test(adjustment_of_a_share),
      cmocka_unit_test(sum_of_shares_never_exceeds_the_limit),
      cmocka_unit_test(adjustment_of_a_share_by_room),
      cmocka_unit_test(shares_converge_where_there_is_room),
  };
  return cmocka_run_group_tests(tests, NULL, NULL);
}
