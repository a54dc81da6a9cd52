/* Days with seeded faults: several whole controllers against stand-ins that
 * check every rule of the protocol. The same seed plays the same day. */
#include "check.h"

#include <stdlib.h>

#include "sim/world.h"

static void days_with_faults(void **state) {
  (void)state;
  const char *only = g_getenv("FAULT_SEED"), *many = g_getenv("FAULT_SEEDS");
  uint32_t first = only ? (uint32_t)atoi(only) : 1, count = only ? 1 : many ? (uint32_t)atoi(many) : 64;
  unsigned unfinished = 0, starts = 0;
  for (uint32_t seed = first; seed < first + count; seed++) {
    world_result r = world_play(seed, 240, 220);
    print_message(
        "seed %u: %u faults, %u crashes, %u starts, %u lease kills; %u jobs: %u accepted, %u done, %u "
        "cancelled, %u open\n",
        seed, r.faults, r.crashes, r.starts, r.lease_kills, r.submitted, r.accepted, r.finished, r.cancelled,
        r.unfinished);
    if (r.broken) fail_msg("seed %u broke %u rules, first at %s", seed, r.broken, r.first);
    assert_int_equal(r.accepted, r.submitted);
    unfinished += r.unfinished;
    starts += r.starts;
  }
  assert_true(starts > 50 * count);
  /* In the quiet end every accepted job has to get there. */
  assert_int_equal(unfinished, 0);
}

/* Simulated processes die without freeing anything: that is their nature here. */
const char *__asan_default_options(void);
const char *__asan_default_options(void) {
  return "detect_leaks=0";
}

int main(void) {
  const struct CMUnitTest tests[] = {cmocka_unit_test(days_with_faults)};
  return cmocka_run_group_tests(tests, NULL, NULL);
}
