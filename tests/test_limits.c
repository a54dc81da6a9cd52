/* The key-value store lowers its limits while controllers run. Values and transactions keep to the announced
 * sizes from the start, which the stand-in checks; the write rate adapts to refusals. */
#include "check.h"

#include "scene.h"

#define LATER_VALUE_KB 2
#define LATER_TXN_OPS 4

typedef struct limits_row {
  const char *name;
  double later_rps;     /* changes per second */
  double lowered_s;     /* after the controllers' start */
  bool crash;           /* a controller crashes as the limits are lowered */
  unsigned max_refused; /* transactions, in the first minute */
} limits_row;

static const limits_row k_rows[] = {
    {"before any job", 15, 3, false, 40},
    {"while jobs are submitted", 15, 30, false, 40},
    {"while jobs are submitted, and a controller crashes", 15, 30, true, 40},
    {"to a tenth", 4, 30, false, 70},
    {"write rate unchanged", 40, 30, false, 0},
};

#define JOBS 200u
#define LATER_S 180

/* Ten small arrays per second, and one with many tasks. */
static void submit_jobs(void) {
  scene_submit(&(scene_jobs){.count = JOBS,
                             .kind = "sweep",
                             .priority = "standard",
                             .tasks = 2,
                             .gpus = 0.25,
                             .run_s = 5,
                             .in_s = 20,
                             .every_s = 0.1});
  world_submit(world_id(JOBS), "sweep", "standard", 150, 0.25, 5, 10);
}

static void kv_store_limits_are_lowered(void **state) {
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS(k_rows); i++) {
    const limits_row *row = &k_rows[i];
    const scene_setup setup = {
        .seed = 40 + (uint32_t)i, .capacity = 12, .keep_idle = true, .images_cached = true, .machines = {6, 6}};
    scene_prepare(&setup);
    world_kv_announce_limits(LATER_VALUE_KB, LATER_TXN_OPS, row->later_rps);
    scene_start(&setup);
    submit_jobs();
    sim_run_until(sim_now() + row->lowered_s);
    world_kv_limit(LATER_VALUE_KB, LATER_TXN_OPS, row->later_rps);
    if (row->crash) world_crash(0, 4);
    sim_run_until(sim_now() + 60);
    unsigned early = world_current_result().over_rate;
    sim_run_until(sim_now() + LATER_S);
    world_result r = world_current_result();
    print_message("%s: %u of %u accepted, %u done; %u transactions over the rate in the first minute, %u later\n",
                  row->name, r.accepted, r.submitted, r.finished, early, r.over_rate - early);
    if (r.broken) fail_msg("%s: %s", row->name, r.first);
    check_row(row->name, r.accepted == JOBS + 1);
    check_row(row->name, r.finished == JOBS + 1);
    /* Each of the three controllers needs a few refusals to adapt. While writes are pending its rate recovers,
     * and is refused again about every 13 s (bookkeeping/write_rate.c). */
    check_row(row->name, early <= row->max_refused && r.over_rate - early <= LATER_S * WORLD_NODES / 13);
  }
}

/* Guards against machines whose records are never written or removed, as the store takes fewer changes in a
 * transaction than any setting says. */
static void transactions_adapt_to_refusals(void **state) {
  (void)state;
  static const struct {
    const char *name;
    unsigned txn_ops;
  } rows[] = {{"as in the settings", 8}, {"half", 4}, {"the least", 2}};
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    const scene_setup setup = {.seed = 70 + (uint32_t)i, .capacity = 12, .images_cached = true};
    scene_prepare(&setup);
    world_release_idle();
    world_kv_limit(8, rows[i].txn_ops, 0);
    scene_start(&setup);
    scene_submit(&(scene_jobs){
        .count = 1, .kind = "sweep", .priority = "standard", .tasks = 64, .gpus = 1, .run_s = 20, .in_s = 5});
    sim_run_until(sim_now() + 300);
    world_result r = world_current_result();
    print_message("%s: %u of %u done, %u machines rented, %u returned\n", rows[i].name, r.finished, r.submitted,
                  world_machine_count(), world_terminated_machines(0, world_machine_count()));
    if (r.broken) fail_msg("%s: %s", rows[i].name, r.first);
    check_row(rows[i].name, r.finished == 1);
    check_row(rows[i].name, world_terminated_machines(0, world_machine_count()) == world_machine_count());
    world_check_released();
    check_row(rows[i].name, world_current_result().broken == 0);
  }
}

/* Many arrays whose tasks complete one by one: the writes of these completions, which are not urgent except
 * for an array's last task, leave the write rate to submissions. */
static void completions_leave_write_rate_for_submissions(void **state) {
  (void)state;
  enum { ARRAYS = 45, SUBMITTED = 60 };
  const scene_setup setup = {
      .seed = 60, .capacity = 40, .keep_idle = true, .images_cached = true, .machines = {40, 40}};
  scene_prepare(&setup);
  world_kv_announce_limits(LATER_VALUE_KB, LATER_TXN_OPS, 15);
  world_kv_limit(LATER_VALUE_KB, LATER_TXN_OPS, 15);
  scene_start(&setup);
  for (unsigned k = 0; k < ARRAYS; k++)
    world_submit_job(&(world_job){.id = world_id(k),
                                  .kind = "sweep",
                                  .tasks = 24,
                                  .gpus = 0.25,
                                  .run_s = 40,
                                  .stagger_s = 2.5,
                                  .in_s = 8 + 0.5 * k});
  double from = sim_now() + 75;
  scene_submit(&(scene_jobs){.first = 100,
                             .count = SUBMITTED,
                             .kind = "sweep",
                             .priority = "standard",
                             .tasks = 1,
                             .gpus = 0.25,
                             .run_s = 3,
                             .in_s = 75,
                             .every_s = 0.5});
  sim_run_until(from + 120);
  unsigned accepted_in_time = 0;
  for (unsigned k = 0; k < SUBMITTED; k++) {
    double accepted = world_seen_accepted_at(world_id(100 + k));
    accepted_in_time += accepted > 0 && accepted < from + 0.5 * k + 1;
  }
  world_result r = world_current_result();
  print_message("%u of %u accepted within a second, %u of %u done\n", accepted_in_time, (unsigned)SUBMITTED, r.finished,
                r.submitted);
  if (r.broken) fail_msg("%s", r.first);
  assert_int_equal(r.finished, ARRAYS + SUBMITTED);
  assert_true(accepted_in_time >= SUBMITTED * 95 / 100);
}

int main(void) {
  const struct CMUnitTest tests[] = {cmocka_unit_test(kv_store_limits_are_lowered),
                                     cmocka_unit_test(transactions_adapt_to_refusals),
                                     cmocka_unit_test(completions_leave_write_rate_for_submissions)};
  return cmocka_run_group_tests(tests, NULL, NULL);
}
