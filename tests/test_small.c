/* Long runs of controllers with a fortieth of a core. */
#include "constrained_controllers.h"

#define QUERY_ANSWERED_WITHIN_S 75.0 /* users get an answer about every unfinished job at least this often */
#define ALL_NODES 7u                 /* one bit for each controller */

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

/* Submits `jobs` jobs within a second: each submission is answered, each job is accepted and done, no worker's
 * lease expires, and no member is removed. */
static void run_burst(const char *name, const char *phase, unsigned first, unsigned jobs) {
  snapshot before = take_snapshot();
  submit_arrays(first, jobs, 1.0 / jobs, 20);
  sim_run_until(before.at + 60);
  print_since(name, phase, &before);
  world_result r = world_current_result();
  check_row(name, r.accepted - before.r.accepted == jobs);
  check_row(name, r.finished - before.r.finished == jobs);
  check_row(name, r.unanswered == before.r.unanswered);
  check_row(name, r.lease_kills == 0);
  check_row(name, world_terms_written() == before.terms);
}

/* One controller serves all workers and users for 90 s while the others are down. */
static void run_all_on_one(const char *name, unsigned jobs) {
  snapshot before = take_snapshot();
  world_crash(1, 90);
  world_crash(2, 90);
  world_set_users_node(0);
  sim_run_until(before.at + 30);
  print_since(name, "all workers on one controller", &before);
  check_row(name, world_get_status(0, "/ready") == 200);
  check_row(name, world_current_result().lease_kills == 0);
  run_burst(name, "burst on one controller", 2000, jobs);
  world_set_users_node(-1);
  sim_run_until(before.at + 90 + WARM_UP_S);
  check_row(name, world_current_result().lease_kills == 0);
}

/* Start, a burst of submissions, all workers on one controller, and a restart of all controllers. */
static void workload_on_slow_controllers(void **state) {
  (void)state;
  static const struct {
    const char *name;
    unsigned slow_nodes; /* one bit for each controller */
    double cpu_share, timers_late_s;
    unsigned machines, burst_jobs; /* submitted within a second */
  } rows[] = {
      {"one slow controller", 1, CPU_SHARE, TIMERS_LATE_S, 288, 40},
      {"all controllers slow", ALL_NODES, CPU_SHARE, TIMERS_LATE_S, 288, 40},
      {"all controllers slow, timers very late", ALL_NODES, CPU_SHARE, 6 * TIMERS_LATE_S, 160, 40},
      {"all controllers slow, half the CPU share", ALL_NODES, CPU_SHARE / 2, TIMERS_LATE_S, 120, 20},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    const char *name = rows[i].name;
    start_fleet(100 + (uint32_t)i, rows[i].machines, rows[i].slow_nodes, rows[i].cpu_share, rows[i].timers_late_s);
    unsigned tasks = submit_services(0, rows[i].machines / 4, 0.1);
    world_checks_from(WARM_UP_S);
    sim_run_until(sim_now() + WARM_UP_S);
    check_row(name, world_current_result().starts == tasks);
    snapshot before = take_snapshot();
    sim_run_until(before.at + 20);
    print_since(name, "idle", &before);
    check_row(name, world_current_result().unanswered == 0);
    check_row(name, world_terms_written() == before.terms); /* no member was removed */
    run_burst(name, "burst", 1000, rows[i].burst_jobs);
    run_all_on_one(name, rows[i].burst_jobs);
    for (unsigned n = 0; n < WORLD_NODES; n++) world_crash(n, 4);
    sim_run_until(sim_now() + 90);
    world_checks_end();
    check_no_rule_broken(name);
    check_row(name, world_jobs_unanswered_since(sim_now() - QUERY_ANSWERED_WITHIN_S) == 0);
    check_row(name, world_current_result().lease_kills == 0);
    check_row(name, world_running_tasks() == tasks);
  }
}

int main(void) {
  const struct CMUnitTest tests[] = {cmocka_unit_test(workload_on_slow_controllers)};
  return cmocka_run_group_tests(tests, NULL, NULL);
}
