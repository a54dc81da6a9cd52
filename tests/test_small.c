/* Whole days of controllers with a fortieth of a core. */
#include "small.h"

#define FORGOTTEN_S 75.0
#define ALL_NODES 7u /* a bit a controller */

static void submit_arrays(unsigned first, unsigned count, double every_s, double run_s) {
  scene_submit(&(scene_jobs){.first = first,
                             .count = count,
                             .kind = "sweep",
                             .priority = "standard",
                             .tasks = 1,
                             .gpus = 1,
                             .run_s = run_s,
                             .every_s = every_s});
}

/* That many jobs within a second: each submission is answered, each job accepted and done, no worker's
 * lease expires, and no member is removed. */
static void play_burst(const char *name, const char *phase, unsigned first, unsigned jobs) {
  mark m = mark_now();
  submit_arrays(first, jobs, 1.0 / jobs, 20);
  sim_run_until(m.at + 60);
  print_since(name, phase, &m);
  world_result r = world_current_result();
  check_row(name, r.accepted - m.r.accepted == jobs);
  check_row(name, r.finished - m.r.finished == jobs);
  check_row(name, r.unanswered == m.r.unanswered);
  check_row(name, r.lease_kills == 0);
  check_row(name, world_terms_written() == m.terms);
}

static void play_all_on_one(const char *name, unsigned jobs) {
  mark m = mark_now();
  world_crash(1, 90);
  world_crash(2, 90);
  world_set_users_node(0);
  sim_run_until(m.at + 30);
  print_since(name, "all workers on one", &m);
  check_row(name, world_get_status(0, "/ready") == 200);
  check_row(name, world_current_result().lease_kills == 0);
  play_burst(name, "burst on one", 2000, jobs);
  world_set_users_node(-1);
  sim_run_until(m.at + 90 + SETTLE_S);
  check_row(name, world_current_result().lease_kills == 0);
}

/* Start, a burst of submissions, all workers on one controller, and a restart of all controllers. */
static void day_on_slow_controllers(void **state) {
  (void)state;
  static const struct {
    const char *name;
    unsigned slow; /* a bit a controller */
    double share, timers_late_s;
    unsigned machines, play_burst; /* jobs submitted within a second */
  } rows[] = {
      {"one slow", 1, SHARE, TIMERS_LATE_S, 288, 40},
      {"all slow", ALL_NODES, SHARE, TIMERS_LATE_S, 288, 40},
      {"all slow, timers very late", ALL_NODES, SHARE, 6 * TIMERS_LATE_S, 160, 40},
      {"all slow, half the share", ALL_NODES, SHARE / 2, TIMERS_LATE_S, 120, 20},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    const char *name = rows[i].name;
    start_fleet(100 + (uint32_t)i, rows[i].machines, rows[i].slow, rows[i].share, rows[i].timers_late_s);
    unsigned tasks = services(0, rows[i].machines / 4, 0.1);
    world_checks_from(SETTLE_S);
    sim_run_until(sim_now() + SETTLE_S);
    check_row(name, world_current_result().starts == tasks);
    mark m = mark_now();
    sim_run_until(m.at + 20);
    print_since(name, "idle", &m);
    check_row(name, world_current_result().unanswered == 0);
    check_row(name, world_terms_written() == m.terms); /* no member was removed */
    play_burst(name, "burst", 1000, rows[i].play_burst);
    play_all_on_one(name, rows[i].play_burst);
    for (unsigned n = 0; n < WORLD_NODES; n++) world_crash(n, 4);
    sim_run_until(sim_now() + 90);
    world_checks_end();
    check_rules(name);
    check_row(name, world_jobs_unanswered_since(sim_now() - FORGOTTEN_S) == 0);
    check_row(name, world_current_result().lease_kills == 0);
    check_row(name, world_running_tasks() == tasks);
  }
}

int main(void) {
  const struct CMUnitTest tests[] = {cmocka_unit_test(day_on_slow_controllers)};
  return cmocka_run_group_tests(tests, NULL, NULL);
}
