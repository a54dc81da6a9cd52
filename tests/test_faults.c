/* Simulated days with random faults: whole controllers against stand-ins that check every rule of the
 * protocol. Everything is drawn from the seed, so that a seed always gives the same day. */
#include "check.h"

#include <stdlib.h>

#include "sim/world.h"

#define BUSY_S 240 /* the first part of a day, in which jobs arrive and faults occur */
#define SEEDS 64u
#define SEEDS_WITH_MEETINGS 30u
#define SEEDS_WITH_PIPELINES 16u
#define SEEDS_WITH_UPGRADES 16u

/* Simulated days of each kind with copies of executed direct calls. */
#define SEEDS_WITH_COPIES 12u
#define SEEDS_WITH_UNKNOWN_MEMBERS 12u
#define SEEDS_WITH_LATE_CLOUD 16u
#define SEEDS_WITH_LATE_CALLS 12u

/* FAULT_SEED=N begins with seed N, and runs it alone unless FAULT_SEEDS=M asks for M seeds. */
static void run_days(const world_day *day, uint32_t seeds) {
  const char *first_text = g_getenv("FAULT_SEED"), *count_text = g_getenv("FAULT_SEEDS");
  uint32_t first = first_text ? (uint32_t)atoi(first_text) : 1;
  uint32_t count = count_text ? (uint32_t)atoi(count_text) : first_text ? 1 : seeds;
  unsigned unaccepted = 0, unfinished = 0, starts = 0, late_starts = 0, broken = 0, invalid = 0, copies = 0,
           unknown_members = 0, late_cloud_requests = 0, late_calls = 0;
  for (uint32_t seed = first; seed < first + count; seed++) {
    world_result r = world_play(seed, BUSY_S, day);
    print_message(
        "seed %u: %u faults, %u crashes, %u starts, %u lease kills, %u return kills; %u jobs: %u accepted, %u done, %u "
        "cancelled, %u open; %u late starts, %u%% served at least, %u invalid requests\n",
        seed, r.faults, r.crashes, r.starts, r.lease_kills, r.return_kills, r.submitted, r.accepted, r.finished,
        r.cancelled, r.unfinished, r.late_starts, r.min_served_percent, r.invalid_requests);
    /* Go on with the other seeds, so that one failure doesn't hide others. */
    if (r.broken) print_message("seed %u broke %u rules, first at %s\n", seed, r.broken, r.first);
    broken += r.broken;
    if (day->repeated_calls)
      print_message(
          "seed %u: %u copies of calls, %u executed, %u tasks begun by them; %.2f s until a restarted machine "
          "had a new token\n",
          seed, r.copies, r.copies_executed, r.starts_by_copies, r.max_unfenced_s);
    copies += r.copies;
    late_calls += r.late_calls_executed;
    unknown_members += r.unknown_members;
    late_cloud_requests += r.late_cloud_requests;
    unaccepted += r.submitted - r.accepted;
    unfinished += r.unfinished;
    starts += r.starts;
    late_starts += r.late_starts;
    invalid += r.invalid_requests;
  }
  print_message("%u days: %u starts, %u of them after a confirmed cancellation\n", count, starts, late_starts);
  assert_true(!day->repeated_calls || count == 1 || copies > 0);
  assert_true(!day->late_calls || late_calls > count);
  assert_true(!day->late_cloud || late_cloud_requests > count);
  assert_true(!day->unknown_members || unknown_members > 1000 * count);
  assert_int_equal(broken, 0);
  assert_true(starts > 50 * count);
  assert_true(!day->overlapping_faults || count == 1 || invalid > 0);
  assert_int_equal(unaccepted, 0);
  /* The day ends without faults: every accepted job has to finish. */
  assert_int_equal(unfinished, 0);
}

static void days_with_faults(void **state) {
  (void)state;
  run_days(&(world_day){0}, SEEDS);
}

/* Meetings: incidents that overlap. */
static void days_with_meetings(void **state) {
  (void)state;
  run_days(&(world_day){.overlapping_faults = true}, SEEDS_WITH_MEETINGS);
}

/* Pipelines: jobs that depend on others. */
static void days_with_pipelines(void **state) {
  (void)state;
  run_days(&(world_day){.pipelines = true}, SEEDS_WITH_PIPELINES);
}

static void days_with_pipelines_and_meetings(void **state) {
  (void)state;
  run_days(&(world_day){.pipelines = true, .overlapping_faults = true}, SEEDS_WITH_PIPELINES);
}

/* Controllers are upgraded one by one from the version before pipelines; some writes are applied late, and the
 * key-value store lowers its limits. */
static void days_with_upgrades(void **state) {
  (void)state;
  run_days(&(world_day){.pipelines = true, .upgrade = true}, SEEDS_WITH_UPGRADES);
}

static void days_with_upgrades_and_meetings(void **state) {
  (void)state;
  run_days(&(world_day){.pipelines = true, .upgrade = true, .overlapping_faults = true}, SEEDS_WITH_UPGRADES);
}

/* The same kinds with copies: a share of the executed direct calls arrives again, late, beside restarts of
 * controllers and machines; some tasks fail. */
static void copies_with_faults(void **state) {
  (void)state;
  run_days(&(world_day){.repeated_calls = true}, SEEDS_WITH_COPIES);
}

static void copies_with_meetings(void **state) {
  (void)state;
  run_days(&(world_day){.repeated_calls = true, .overlapping_faults = true}, SEEDS_WITH_COPIES);
}

static void copies_with_pipelines(void **state) {
  (void)state;
  run_days(&(world_day){.repeated_calls = true, .pipelines = true}, SEEDS_WITH_COPIES);
}

static void copies_with_pipelines_and_meetings(void **state) {
  (void)state;
  run_days(&(world_day){.repeated_calls = true, .pipelines = true, .overlapping_faults = true}, SEEDS_WITH_COPIES);
}

static void copies_with_upgrades(void **state) {
  (void)state;
  run_days(&(world_day){.repeated_calls = true, .pipelines = true, .upgrade = true}, SEEDS_WITH_COPIES);
}

static void copies_with_upgrades_and_meetings(void **state) {
  (void)state;
  run_days(&(world_day){.repeated_calls = true, .pipelines = true, .upgrade = true, .overlapping_faults = true},
           SEEDS_WITH_COPIES);
}

/* Half of the messages of users, workers, the key-value store and the cloud have random unknown members. */
static void unknown_members_with_faults(void **state) {
  (void)state;
  run_days(&(world_day){.unknown_members = true}, SEEDS_WITH_UNKNOWN_MEMBERS);
}

static void unknown_members_with_upgrades_and_meetings(void **state) {
  (void)state;
  run_days(&(world_day){.unknown_members = true, .pipelines = true, .upgrade = true, .overlapping_faults = true},
           SEEDS_WITH_UNKNOWN_MEMBERS);
}

/* Rentals and deletions are carried out up to a minute late, some a second time. */
static void late_cloud_with_faults(void **state) {
  (void)state;
  run_days(&(world_day){.late_cloud = true}, SEEDS_WITH_LATE_CLOUD);
}

static void late_cloud_with_meetings(void **state) {
  (void)state;
  run_days(&(world_day){.late_cloud = true, .overlapping_faults = true}, SEEDS_WITH_LATE_CLOUD);
}

/* A quarter of the direct calls is held up for 2 to 16 s, and machines restart after crashes of controllers. */
static void late_calls_with_faults(void **state) {
  (void)state;
  run_days(&(world_day){.late_calls = true}, SEEDS_WITH_LATE_CALLS);
}

static void late_calls_with_meetings(void **state) {
  (void)state;
  run_days(&(world_day){.late_calls = true, .overlapping_faults = true}, SEEDS_WITH_LATE_CALLS);
}

int main(void) {
  const struct CMUnitTest tests[] = {cmocka_unit_test(days_with_faults),
                                     cmocka_unit_test(days_with_meetings),
                                     cmocka_unit_test(days_with_pipelines),
                                     cmocka_unit_test(days_with_pipelines_and_meetings),
                                     cmocka_unit_test(days_with_upgrades),
                                     cmocka_unit_test(days_with_upgrades_and_meetings),
                                     cmocka_unit_test(copies_with_faults),
                                     cmocka_unit_test(copies_with_meetings),
                                     cmocka_unit_test(copies_with_pipelines),
                                     cmocka_unit_test(copies_with_pipelines_and_meetings),
                                     cmocka_unit_test(copies_with_upgrades),
                                     cmocka_unit_test(copies_with_upgrades_and_meetings),
                                     cmocka_unit_test(late_calls_with_faults),
                                     cmocka_unit_test(late_calls_with_meetings),
                                     cmocka_unit_test(late_cloud_with_faults),
                                     cmocka_unit_test(late_cloud_with_meetings),
                                     cmocka_unit_test(unknown_members_with_faults),
                                     cmocka_unit_test(unknown_members_with_upgrades_and_meetings)};
  /* Runs a single test, such as FAULT_TEST=days_with_meetings. */
  cmocka_set_test_filter(g_getenv("FAULT_TEST"));
  return cmocka_run_group_tests(tests, NULL, NULL);
}
