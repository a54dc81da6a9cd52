/* A simulated day repeats exactly with the same seed, at whatever addresses its jobs and tables are
 * allocated. */
#include "check.h"

#include <stdlib.h>

#include "sim/world.h"

/* In this day the cancellations of several jobs that depend on a cancelled one are recorded at the same time. */
#define SEED 3006u
#define BUSY_S 240
#define RUNS 4u
#define BLOCKS 20000u
#define BLOCK_MAX_BYTES 700u

/* The result of a day, and each controller's load and traffic. */
typedef struct outcome {
  world_result result;
  sim_load loads[WORLD_NODES];
} outcome;

static outcome run_day(void) {
  outcome o = {.result = world_play(SEED, BUSY_S, &(world_day){.pipelines = true, .overlapping_faults = true})};
  for (unsigned node = 0; node < WORLD_NODES; node++) o.loads[node] = sim_load_of(WORLD_NODE_IP(node));
  return o;
}

/* Allocates blocks of random sizes and frees two in three of them, in random order, so that later
 * allocations fill the gaps, at other addresses than before. */
static void disturb_heap(uint32_t seed) {
  GRand *sizes = g_rand_new_with_seed(seed);
  GPtrArray *blocks = g_ptr_array_new();
  for (unsigned i = 0; i < BLOCKS; i++)
    g_ptr_array_add(blocks, g_malloc((gsize)g_rand_int_range(sizes, 1, BLOCK_MAX_BYTES)));
  for (guint kept = BLOCKS / 3; blocks->len > kept;)
    g_free(g_ptr_array_remove_index_fast(blocks, (guint)g_rand_int_range(sizes, 0, (gint32)blocks->len)));
  g_ptr_array_free(blocks, TRUE); /* the remaining blocks stay allocated */
  g_rand_free(sizes);
}

static void assert_same_result(const world_result *a, const world_result *b) {
  assert_int_equal(a->broken, b->broken);
  assert_string_equal(a->first, b->first);
  assert_int_equal(a->submitted, b->submitted);
  assert_int_equal(a->accepted, b->accepted);
  assert_int_equal(a->finished, b->finished);
  assert_int_equal(a->unfinished, b->unfinished);
  assert_int_equal(a->cancelled, b->cancelled);
  assert_int_equal(a->starts, b->starts);
  assert_int_equal(a->lease_kills, b->lease_kills);
  assert_int_equal(a->crashes, b->crashes);
  assert_int_equal(a->faults, b->faults);
  assert_int_equal(a->late_starts, b->late_starts);
  assert_int_equal(a->invalid_requests, b->invalid_requests);
  assert_int_equal(a->min_served_percent, b->min_served_percent);
  assert_int_equal(a->starts_after_done, b->starts_after_done);
  assert_int_equal(a->submissions, b->submissions);
  assert_int_equal(a->unanswered, b->unanswered);
  assert_int_equal(a->refused, b->refused);
  assert_true(a->min_lease_left_s == b->min_lease_left_s);
  assert_int_equal(a->over_rate, b->over_rate);
  assert_int_equal(a->status_requests, b->status_requests);
  assert_int_equal(a->status_answers, b->status_answers);
  assert_int_equal(a->status_refusals, b->status_refusals);
}

static void assert_same_traffic(const sim_two_way_traffic *a, const sim_two_way_traffic *b) {
  assert_int_equal(a->sent.messages, b->sent.messages);
  assert_int_equal(a->sent.bytes, b->sent.bytes);
  assert_int_equal(a->received.messages, b->received.messages);
  assert_int_equal(a->received.bytes, b->received.bytes);
}

static void assert_same_load(const sim_load *a, const sim_load *b) {
  assert_int_equal(a->wakes, b->wakes);
  assert_true(a->busy_s == b->busy_s);
  assert_same_traffic(&a->peers, &b->peers);
  assert_same_traffic(&a->workers, &b->workers);
  assert_same_traffic(&a->others, &b->others);
}

static void a_day_repeats_at_other_addresses(void **state) {
  (void)state;
  const outcome first = run_day();
  assert_true(first.result.starts > 0);
  for (unsigned n = 1; n < RUNS; n++) {
    disturb_heap(n);
    const outcome again = run_day();
    assert_same_result(&first.result, &again.result);
    for (unsigned node = 0; node < WORLD_NODES; node++) assert_same_load(&first.loads[node], &again.loads[node]);
  }
}

int main(void) {
  const struct CMUnitTest tests[] = {cmocka_unit_test(a_day_repeats_at_other_addresses)};
  return cmocka_run_group_tests(tests, NULL, NULL);
}
