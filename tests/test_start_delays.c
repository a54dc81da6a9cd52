/* How soon starts reach workers, though only answers to heartbeats carry them, and what becomes of a task on a machine
 * whose heartbeats reach no controller. */
#include "check.h"

#include "scene.h"

#define MACHINES_PER_ZONE 4
#define MACHINES (2 * MACHINES_PER_ZONE)
#define GPUS_PER_MACHINE 4
#define KNOWN_S 30.0
#define JOBS 8u
#define JOB_EVERY_S 1.3
#define JOB_RUN_S 3.0
#define DONE_S 60.0
#define SEEDS_PER_ROW 5u
#define HEARTBEAT_S 2.0
#define HEARTBEATS_MAX 2.0 /* a start that is not sent at once goes with the next answer, or the one after */
#define AT_ONCE_S 1.0      /* the spacing of heartbeats, and the simulated machines' steps */
#define MUTE_S 120.0
#define MUTE_SHOWN_S 6.0   /* more than the two intervals after which no task is placed there */
#define MUTE_PLACED_S 90.0 /* no job waits for longer while a machine has room */

static void begin(uint32_t seed) {
  scene_begin(&(scene_setup){.seed = seed,
                             .capacity = MACHINES_PER_ZONE,
                             .keep_idle = true,
                             .images_cached = true,
                             .machines = {MACHINES_PER_ZONE, MACHINES_PER_ZONE}});
  sim_run_until(sim_now() + KNOWN_S);
}

typedef struct delay_row {
  const char *name;
  double gpus;
  unsigned at_once_min_percent; /* tasks that begin within AT_ONCE_S */
} delay_row;

/* Failure guarded against: starts waited for the next regular heartbeat of their machines. */
static void starts_wait_for_no_regular_heartbeat(void **state) {
  (void)state;
  static const delay_row rows[] = {
      {"each task takes a machine", GPUS_PER_MACHINE, 60},
      {"tasks share machines", 1, 50},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    unsigned at_once = 0;
    double longest = 0;
    for (uint32_t seed = 1; seed <= SEEDS_PER_ROW; seed++) {
      begin(seed);
      double at = sim_now();
      for (unsigned k = 0; k < JOBS; k++)
        world_submit(world_id(k), "sweep", "standard", 1, rows[i].gpus, JOB_RUN_S, k * JOB_EVERY_S);
      sim_run_until(at + DONE_S);
      for (unsigned k = 0; k < JOBS; k++) {
        double delay = world_began_at(world_id(k)) - world_seen_accepted_at(world_id(k));
        check_row(rows[i].name, world_began_at(world_id(k)) > 0);
        at_once += delay <= AT_ONCE_S;
        longest = MAX(longest, delay);
      }
      check_row(rows[i].name, world_current_result().broken == 0);
    }
    print_message("%s: %u of %u within %.1f s, the last after %.2f s\n", rows[i].name, at_once, JOBS * SEEDS_PER_ROW,
                  AT_ONCE_S, longest);
    check_row(rows[i].name, longest <= HEARTBEATS_MAX * HEARTBEAT_S);
    check_row(rows[i].name, at_once * 100 >= rows[i].at_once_min_percent * JOBS * SEEDS_PER_ROW);
  }
}

/* Failure guarded against: tasks waited for the end of a lease on machines that answer direct calls, but whose
 * heartbeats reach no controller, so that no start can be sent. */
static void mute_machines_take_no_tasks(void **state) {
  (void)state;
  static const struct {
    const char *name;
    double submitted_in_s; /* after the machines' last heartbeats */
  } rows[] = {{"at once", 0.1}, {"once the silence shows", MUTE_SHOWN_S}};
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    for (uint32_t seed = 1; seed <= SEEDS_PER_ROW; seed++) {
      begin(10 + seed);
      world_cut_outbound(0, MACHINES_PER_ZONE, MUTE_S);
      sim_run_until(sim_now() + rows[i].submitted_in_s);
      for (unsigned k = 0; k < MACHINES_PER_ZONE; k++)
        world_submit(world_id(k), "sweep", "standard", 1, GPUS_PER_MACHINE, 1e6, 0);
      double at = sim_now();
      sim_run_until(at + MUTE_PLACED_S);
      double longest = 0;
      for (unsigned k = 0; k < MACHINES_PER_ZONE; k++) {
        check_row(rows[i].name, world_began_at(world_id(k)) > 0);
        check_row(rows[i].name, world_machine_of(world_id(k), 0) >= MACHINES_PER_ZONE);
        longest = MAX(longest, world_began_at(world_id(k)) - at);
      }
      print_message("%s, seed %u: all began within %.2f s\n", rows[i].name, seed, longest);
      check_row(rows[i].name, world_current_result().broken == 0);
    }
  }
}

int main(void) {
  const struct CMUnitTest tests[] = {cmocka_unit_test(starts_wait_for_no_regular_heartbeat),
                                     cmocka_unit_test(mute_machines_take_no_tasks)};
  return cmocka_run_group_tests(tests, NULL, NULL);
}
