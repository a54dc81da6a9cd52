/* Controllers with a fortieth of a core: whatever wakes them, and each message and byte that
 * they read or send, costs them virtual time (sim_process_share). */
#include "check.h"

#include <stdlib.h>

#include "sim/world.h"

#define SHARE 0.024        /* of a core */
#define TIMERS_LATE_S 0.05 /* half a period of the limit on processor time */
#define JOB_TASKS 6u
#define FORGOTTEN_S 75.0
#define SETTLE_S 30.0
#define ALL_NODES 7u /* a bit a controller */

/* Half the machines are filled with services of six tasks; nothing of them ends. */
static unsigned services(unsigned first, unsigned count, double every_s) {
  for (unsigned k = 0; k < count; k++) {
    char id[32];
    g_snprintf(id, sizeof id, "job-%06u", first + k);
    world_submit(id, "service", "prod", JOB_TASKS, 1, 1e6, 2 + k * every_s);
  }
  return count * JOB_TASKS;
}

static void sweeps(unsigned first, unsigned count, double every_s, double run_s) {
  for (unsigned k = 0; k < count; k++) {
    char id[32];
    g_snprintf(id, sizeof id, "job-%06u", first + k);
    world_submit(id, "sweep", "standard", 1, 1, run_s, k * every_s);
  }
}

static void start_fleet(uint32_t seed, unsigned machines, unsigned slow_nodes, double share, double timers_late_s) {
  world_set_up(seed, 0);
  world_lean(machines);
  for (unsigned n = 0; n < WORLD_NODES; n++)
    if (slow_nodes & 1u << n) world_slow(n, share, timers_late_s);
  world_start_nodes();
  world_machines_up(0, machines / 2);
  world_machines_up(1, machines - machines / 2);
}

static void check_rules(const char *name) {
  world_result r = world_so_far();
  if (r.broken) fail_msg("%s: %u broken, first %s", name, r.broken, r.first);
}

/* Where a scene stands: what has been counted so far. */
typedef struct mark {
  world_result r;
  double at, used_s;
  unsigned terms;
} mark;

static mark mark_now(void) {
  world_watch_leases();
  return (mark){world_so_far(), sim_now(), sim_load_of(WORLD_NODE_IP(0)).busy_s, world_terms()};
}

/* What has happened since; also the part of its share that the first controller used. */
static void print_since(const char *name, const char *phase, const mark *m) {
  world_result r = world_so_far();
  print_message(
      "%s, %s: %.1f%% of a core used, %u submissions sent, %u accepted, %u refused, %u unanswered, %u of %u questions "
      "answered, %u put off, %u leases over, %.1f s left of a lease\n",
      name, phase, 100 * (sim_load_of(WORLD_NODE_IP(0)).busy_s - m->used_s) / (sim_now() - m->at),
      r.submissions - m->r.submissions, r.accepted - m->r.accepted, r.refused - m->r.refused,
      r.unanswered - m->r.unanswered, r.told - m->r.told, r.questions - m->r.questions, r.put_off - m->r.put_off,
      r.lease_kills - m->r.lease_kills, r.lease_left_s);
}

/* So many jobs within a second: each submission is answered, each job is accepted and done,
 * no worker's lease ends, and no member is taken for dead. */
static void burst(const char *name, const char *phase, unsigned first, unsigned jobs) {
  mark m = mark_now();
  sweeps(first, jobs, 1.0 / jobs, 20);
  sim_run_until(m.at + 60);
  print_since(name, phase, &m);
  world_result r = world_so_far();
  check_row(name, r.accepted - m.r.accepted == jobs);
  check_row(name, r.finished - m.r.finished == jobs);
  check_row(name, r.unanswered == m.r.unanswered);
  check_row(name, r.lease_kills == 0);
  check_row(name, world_terms() == m.terms);
}

static void all_on_one(const char *name, unsigned jobs) {
  mark m = mark_now();
  world_crash(1, 90);
  world_crash(2, 90);
  world_users_to(0);
  sim_run_until(m.at + 30);
  print_since(name, "all workers on one", &m);
  check_row(name, world_ask(0, "/ready") == 200);
  check_row(name, world_so_far().lease_kills == 0);
  burst(name, "burst on one", 2000, jobs);
  world_users_to(-1);
  sim_run_until(m.at + 90 + SETTLE_S);
  check_row(name, world_so_far().lease_kills == 0);
}

/* The day of a deployment on slow controllers: start, a burst of submissions, all workers
 * on one of them, and all controllers from nothing. */
static void a_slow_day(void **state) {
  (void)state;
  static const struct {
    const char *name;
    unsigned slow; /* a bit a controller */
    double share, timers_late_s;
    unsigned machines, burst; /* jobs submitted within a second */
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
    check_row(name, world_so_far().starts == tasks);
    mark m = mark_now();
    sim_run_until(m.at + 20);
    print_since(name, "idle", &m);
    check_row(name, world_so_far().unanswered == 0);
    check_row(name, world_terms() == m.terms); /* nobody was taken for dead */
    burst(name, "burst", 1000, rows[i].burst);
    all_on_one(name, rows[i].burst);
    for (unsigned n = 0; n < WORLD_NODES; n++) world_crash(n, 4);
    sim_run_until(sim_now() + 90);
    world_checks_end();
    check_rules(name);
    check_row(name, world_unanswered(sim_now() - FORGOTTEN_S) == 0);
    check_row(name, world_so_far().lease_kills == 0);
    check_row(name, world_running() == tasks);
  }
}

const char *__asan_default_options(void);
const char *__asan_default_options(void) {
  return "detect_leaks=0";
}

int main(void) {
  const struct CMUnitTest tests[] = {cmocka_unit_test(a_slow_day)};
  cmocka_set_test_filter(g_getenv("SMALL_TEST"));
  return cmocka_run_group_tests(tests, NULL, NULL);
}
