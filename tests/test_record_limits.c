/* Large arrays whose tasks complete out of order fill their jobs' records, while the key-value store lowers the
 * size of a value: each of the jobs can still be cancelled, done and archived. */
#include "check.h"

#include "scene.h"
#include "sim/kv.h"

#define LOWER_VALUE_KB 1
#define TXN_OPS 8

enum { ARRAYS = 4, TASKS = 400, EVEN_RUN_S = 3, ODD_RUN_CANCELLED_S = 600, ODD_RUN_DONE_S = 60 };

typedef enum {
  ANNOUNCED,      /* the controllers know the lower limit from the start */
  UPGRADED,       /* they know it after an upgrade, when records are larger already */
  WITHOUT_NOTICE, /* no setting tells of it */
} limit_notice;

typedef struct record_row {
  const char *name;
  limit_notice limit;
  bool crash; /* all controllers crash once the limit is lower */
  bool done;  /* the jobs run to their ends; else they are cancelled */
} record_row;

static const record_row k_rows[] = {
    {"announced, cancelled", ANNOUNCED, false, false},
    {"announced, all crash, cancelled", ANNOUNCED, true, false},
    {"announced, all crash, done", ANNOUNCED, true, true},
    {"known after an upgrade, cancelled", UPGRADED, false, false},
    {"known after an upgrade, all crash, cancelled", UPGRADED, true, false},
    {"known after an upgrade, all crash, done", UPGRADED, true, true},
    {"without notice, cancelled", WITHOUT_NOTICE, false, false},
    {"without notice, all crash, cancelled", WITHOUT_NOTICE, true, false},
    {"without notice, done", WITHOUT_NOTICE, false, true},
};

/* The records of the four arrays differ in their lengths by one byte each, so that one of them is filled with
 * completed tasks, of which each takes four bytes, to the last byte. */
static void submit_arrays(const record_row *row) {
  for (unsigned k = 0; k < ARRAYS; k++)
    world_submit_job(&(world_job){.id = world_id(k),
                                  .kind = "sweep",
                                  .zone = k % 2 ? "a" : NULL,
                                  .tasks = TASKS,
                                  .gpus = k / 2 ? 0.01 : 0.012,
                                  .run_s = EVEN_RUN_S,
                                  .odd_run_s = row->done ? ODD_RUN_DONE_S : ODD_RUN_CANCELLED_S});
}

static void start(const record_row *row, uint32_t seed) {
  const scene_setup setup = {.seed = seed, .keep_idle = true, .images_cached = true, .machines = {16, 6}};
  scene_prepare(&setup);
  if (row->limit != WITHOUT_NOTICE) world_kv_announce_limits(LOWER_VALUE_KB, TXN_OPS, 40);
  if (row->limit == UPGRADED) world_former_version();
  scene_start(&setup);
  submit_arrays(row);
  sim_run_until(sim_now() + 45);
  if (row->limit == UPGRADED)
    for (unsigned node = 0; node < WORLD_NODES; node++) world_upgrade(node, 0.3 + 4 * node);
  sim_run_until(sim_now() + 10);
  world_kv_limit(LOWER_VALUE_KB, TXN_OPS, 0);
  for (unsigned node = 0; row->crash && node < WORLD_NODES; node++) world_crash(node, 1 + node);
  sim_run_until(sim_now() + 10);
}

/* How many of the jobs have ended, for their users and in the archive. */
static unsigned count_ended(const record_row *row) {
  unsigned ended = 0;
  for (unsigned k = 0; k < ARRAYS; k++) {
    char *archived = g_strconcat("fc1over/", world_id(k), NULL);
    bool seen = row->done ? world_seen_done_at(world_id(k)) > 0 : world_seen_cancelled_at(world_id(k)) > 0;
    ended += seen && kv_has_key(archived);
    g_free(archived);
  }
  return ended;
}

/* Guards against jobs whose record is too large to be written again, and so can't be cancelled (review case 3). */
static void full_records_can_be_ended(void **state) {
  (void)state;
  unsigned failed = 0;
  for (size_t i = 0; i < G_N_ELEMENTS(k_rows); i++) {
    const record_row *row = &k_rows[i];
    start(row, 80 + (uint32_t)i);
    for (unsigned k = 0; !row->done && k < ARRAYS; k++) world_cancel(world_id(k), -1, 0);
    sim_run_until(sim_now() + (row->done ? 160 : 60));
    world_result r = world_current_result();
    unsigned ended = count_ended(row);
    print_message("%s: %u of %u jobs ended; %u starts, %u of tasks done before\n", row->name, ended, (unsigned)ARRAYS,
                  r.starts, r.starts_after_done);
    if (r.broken) print_message("%s: %s\n", row->name, r.first);
    failed += r.broken || r.accepted != ARRAYS || ended != ARRAYS;
  }
  assert_int_equal(failed, 0);
}

/* Replaces the job's record by one that lists no completed task, as a controller with no room for them writes it. */
static void leave_out_completions(const char *key) {
  json_t *value = json_deep_copy(kv_lookup(key)->value);
  json_object_del(value, "done");
  kv_next_revision();
  kv_put(key, value, 0);
  json_decref(value);
  kv_watches_answer();
}

/* Guards against jobs that are never done, as their record lists fewer completed tasks than one controller knows of,
 * while the others have restarted and wait for that one's slices. */
static void completions_left_out_are_recorded_later(void **state) {
  (void)state;
  unsigned failed = 0;
  for (unsigned informed = 0; informed <= WORLD_NODES; informed++) {
    const scene_setup setup = {.seed = 110, .keep_idle = true, .images_cached = true, .machines = {3, 3}};
    scene_prepare(&setup);
    scene_start(&setup);
    world_submit_job(
        &(world_job){.id = world_id(1), .kind = "sweep", .tasks = 16, .gpus = 0.5, .run_s = 5, .stagger_s = 10});
    /* All but the last task have completed: two of the controllers have nothing new to record. */
    sim_run_until(sim_now() + 159);
    leave_out_completions("fc1/job/job-000001");
    sim_run_until(sim_now() + 0.2);
    /* With `informed` beyond the last controller all of them restart. */
    for (unsigned node = 0; node < WORLD_NODES; node++)
      if (node != informed) world_crash(node, 0.5);
    sim_run_until(sim_now() + 159);
    world_result r = world_current_result();
    bool done = world_seen_done_at(world_id(1)) > 0 && kv_has_key("fc1over/job-000001");
    print_message("informed %u: %s; %u of %u starts of tasks done before\n", informed, done ? "done" : "not done",
                  r.starts_after_done, r.starts);
    if (r.broken) print_message("informed %u: %s\n", informed, r.first);
    failed += r.broken || !done;
  }
  assert_int_equal(failed, 0);
}

typedef struct long_row {
  const char *name;
  unsigned absent_types; /* how long the description is */
  bool moved;            /* it has no room in a record under the lower limit */
  bool crash;            /* all controllers crash after it has moved */
  bool mixed;            /* one controller is not upgraded, and can't read descriptions in parts */
} long_row;

static const long_row k_long_rows[] = {
    {"short", 0, false, false, false},
    {"longer than a value", 60, true, false, false},
    {"longer than a value, all crash", 60, true, true, false},
    {"leaves no room for handovers", 25, true, true, false},
    {"longer than a value, one controller is former", 60, false, false, true},
};

/* Guards against accepted jobs whose description leaves their record no room, once values are smaller, so that they
 * can't be handed over and their completed tasks can't be recorded. */
static void long_descriptions_move_out_of_records(void **state) {
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS(k_long_rows); i++) {
    const long_row *row = &k_long_rows[i];
    const scene_setup setup = {.seed = 95, .keep_idle = true, .images_cached = true, .machines = {3, 3}};
    scene_prepare(&setup);
    world_kv_announce_limits(LOWER_VALUE_KB, TXN_OPS, 40);
    world_former_version();
    scene_start(&setup);
    world_submit_job(&(world_job){.id = world_id(7),
                                  .kind = "sweep",
                                  .tasks = 40,
                                  .gpus = 0.1,
                                  .run_s = 50,
                                  .odd_run_s = 160,
                                  .absent_types = row->absent_types});
    sim_run_until(sim_now() + 30);
    for (unsigned node = row->mixed; node < WORLD_NODES; node++) world_upgrade(node, 0.3 + 4 * node);
    if (!row->mixed) world_kv_limit(LOWER_VALUE_KB, TXN_OPS, 0);
    sim_run_until(sim_now() + 50);
    check_row(row->name, kv_value_contains("fc1/job/job-000007", "\"parts\":") == row->moved);
    check_row(row->name, row->mixed || kv_value_contains("fc1/job/job-000007", "\"done\":\"0,2,4"));
    for (unsigned node = 0; row->crash && node < WORLD_NODES; node++) world_crash(node, 1);
    sim_run_until(sim_now() + 200);
    world_result r = world_current_result();
    if (r.broken) fail_msg("%s: %s", row->name, r.first);
    check_row(row->name, world_seen_done_at(world_id(7)) > 0);
    check_row(row->name, kv_has_key("fc1over/job-000007"));
  }
}

#define DEFAULT_SEED 300
#define DEFAULT_SEEDS 16

enum { ARRAYS_MAX = 5, CRASHES_MAX = 4, BUSY_S = 140, PLAY_S = 420 };

static void submit_random_array(GRand *random, unsigned number) {
  static const unsigned k_absent_types[] = {0, 0, 25, 60};
  bool cancelled = g_rand_double(random) < 0.4;
  world_submit_job(&(world_job){.id = world_id(number),
                                .kind = "sweep",
                                .tasks = (unsigned)g_rand_int_range(random, 10, 400),
                                .gpus = 0.01,
                                .run_s = g_rand_double_range(random, 1, 20),
                                .odd_run_s = g_rand_double_range(random, 1, 90),
                                .stagger_s = g_rand_double_range(random, 0, 0.3),
                                .absent_types = k_absent_types[g_rand_int_range(random, 0, 4)],
                                .in_s = g_rand_double_range(random, 0, 20),
                                .cancel_in_s = cancelled ? g_rand_double_range(random, 10, BUSY_S) : 0});
}

/* Returns how many of the jobs have ended. */
static unsigned play_random(GRand *random, uint32_t seed, unsigned arrays) {
  const scene_setup setup = {.seed = seed, .keep_idle = true, .images_cached = true, .machines = {20, 16}};
  double lower_kb = g_rand_int_range(random, LOWER_VALUE_KB, LOWER_VALUE_KB + 2);
  int limit = g_rand_int_range(random, ANNOUNCED, WITHOUT_NOTICE + 1);
  scene_prepare(&setup);
  if (limit != WITHOUT_NOTICE) world_kv_announce_limits(lower_kb, TXN_OPS, 40);
  if (limit == UPGRADED) world_former_version();
  scene_start(&setup);
  for (unsigned k = 0; k < arrays; k++) submit_random_array(random, k);
  sim_run_until(sim_now() + g_rand_double_range(random, 20, BUSY_S / 2.0));
  for (unsigned node = 0; limit == UPGRADED && node < WORLD_NODES; node++) world_upgrade(node, 0.3 + node);
  world_kv_limit(lower_kb, TXN_OPS, 0);
  for (int crashes = g_rand_int_range(random, 0, CRASHES_MAX + 1); crashes > 0; crashes--)
    world_crash_in((unsigned)g_rand_int_range(random, 0, WORLD_NODES), g_rand_double_range(random, 5, BUSY_S),
                   g_rand_double_range(random, 0.3, 5));
  sim_run_until(sim_now() + PLAY_S);
  unsigned ended = 0;
  for (unsigned k = 0; k < arrays; k++) {
    char *archived = g_strconcat("fc1over/", world_id(k), NULL);
    ended += world_seen_terminal_state(world_id(k)) != NULL && kv_has_key(archived);
    g_free(archived);
  }
  return ended;
}

static unsigned number_from_environment(const char *name, unsigned fallback) {
  const char *text = g_getenv(name);
  return text ? (unsigned)g_ascii_strtoull(text, NULL, 10) : fallback;
}

/* Large arrays of random shapes, some cancelled, while controllers crash and the limit falls. RECORD_SEED and
 * RECORD_SEEDS: the first seed and the number of seeds of a longer run. */
static void random_arrays_end(void **state) {
  (void)state;
  unsigned failed = 0, first = number_from_environment("RECORD_SEED", DEFAULT_SEED);
  unsigned seeds = number_from_environment("RECORD_SEEDS", DEFAULT_SEEDS);
  for (unsigned seed = first; seed < first + seeds; seed++) {
    GRand *random = g_rand_new_with_seed(seed);
    unsigned arrays = (unsigned)g_rand_int_range(random, 1, ARRAYS_MAX + 1);
    unsigned ended = play_random(random, seed, arrays);
    world_result r = world_current_result();
    print_message("seed %u: %u of %u jobs ended, %u crashes; %u of %u starts of tasks done before\n", seed, ended,
                  arrays, r.crashes, r.starts_after_done, r.starts);
    if (r.broken) print_message("seed %u: %s\n", seed, r.first);
    failed += r.broken || ended != arrays;
    g_rand_free(random);
  }
  assert_int_equal(failed, 0);
}

/* Guards against limited teams that start nothing, as the record of all members' shares has no room in a value. */
static void quota_of_many_teams(void **state) {
  (void)state;
  static const unsigned k_added_teams[] = {0, 6, 14, 40, 62};
  unsigned failed = 0;
  for (size_t i = 0; i < G_N_ELEMENTS(k_added_teams); i++) {
    const scene_setup setup = {.seed = 97, .keep_idle = true, .images_cached = true, .machines = {3, 3}};
    scene_prepare(&setup);
    world_add_teams(k_added_teams[i]);
    world_kv_announce_limits(LOWER_VALUE_KB, TXN_OPS, 40);
    scene_start(&setup);
    world_submit_job(
        &(world_job){.id = world_id(1), .kind = "sweep", .team = "blue", .tasks = 4, .gpus = 1, .run_s = 5});
    sim_run_until(sim_now() + 90);
    bool done = world_seen_done_at(world_id(1)) > 0;
    print_message("%u teams added: %s\n", k_added_teams[i], done ? "done" : "not done");
    failed += !done;
  }
  assert_int_equal(failed, 0);
}

int main(void) {
  const struct CMUnitTest tests[] = {cmocka_unit_test(full_records_can_be_ended),
                                     cmocka_unit_test(completions_left_out_are_recorded_later),
                                     cmocka_unit_test(long_descriptions_move_out_of_records),
                                     cmocka_unit_test(random_arrays_end), cmocka_unit_test(quota_of_many_teams)};
  cmocka_set_test_filter(g_getenv("RECORD_LIMITS_ONLY"));
  cmocka_set_skip_filter(g_getenv("RECORD_LIMITS_BUT"));
  return cmocka_run_group_tests(tests, NULL, NULL);
}
