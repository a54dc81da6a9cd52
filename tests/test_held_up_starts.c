/* A command that is held up on its way to a machine arrives after its sender's memory of it is gone or left behind,
 * after the task has been placed again, and after the machine was back without tasks, tokens and epochs. */
#include "check.h"

#include "scene.h"

#define MACHINES_PER_ZONE 4
#define MACHINES (2 * MACHINES_PER_ZONE)
#define GPUS_PER_MACHINE 4
#define KNOWN_S 30.0  /* until the controllers know all machines */
#define FILLER_S 9.0  /* for which all machines but one are in use */
#define SETTLED_S 3.0 /* until the fillers run and have been reported */
#define JOB_RUN_S 40.0
#define CONTROLLER_BACK_S 4.0
#define MACHINE_BACK_S 0.3
#define STEP_S 0.01
#define SENT_MAX_S 10.0
#define PLACED_AGAIN_MAX_S 60.0
#define RUNNING_S 2.0 /* the task runs for this long before its machine restarts */
#define DONE_MAX_S 200.0
#define SEEDS_PER_ROW 4u

enum { FILLER = 1, JOB };

/* How the memory of the command is lost or left behind. */
typedef enum sender_fault {
  ALL_CRASH,
  OWNER_CRASHES,
  OWNER_PAUSES, /* it is excluded, and comes back */
} sender_fault;

typedef struct held_row {
  const char *name;
  sender_fault fault;
  double pause_s;        /* of the owner */
  double delivered_in_s; /* from the machine's return on */
} held_row;

static void run_until_any(const char *id, double within_s) {
  double until = sim_now() + within_s;
  while (world_tasks_of(id) == 0 && world_held_calls() == 0 && sim_now() < until) sim_run_until(sim_now() + STEP_S);
}

/* All machines but one are in use, for as long as it takes to place the job's task there. */
static void begin(const held_row *row, uint32_t seed) {
  scene_begin(&(scene_setup){.seed = seed,
                             .capacity = MACHINES_PER_ZONE,
                             .keep_idle = true,
                             .images_cached = true,
                             .machines = {MACHINES_PER_ZONE, MACHINES_PER_ZONE}});
  sim_run_until(sim_now() + KNOWN_S);
  world_submit(world_id(FILLER), "sweep", "standard", MACHINES - 1, GPUS_PER_MACHINE, FILLER_S, 0);
  double until = sim_now() + SENT_MAX_S;
  while (world_tasks_of(world_id(FILLER)) < MACHINES - 1 && sim_now() < until) sim_run_until(sim_now() + STEP_S);
  check_row(row->name, world_tasks_of(world_id(FILLER)) == MACHINES - 1);
  sim_run_until(sim_now() + SETTLED_S);
}

/* Submits the job while direct calls are held up. Returns the machine that its task is placed on, as soon as something
 * was sent there or the task began. */
static unsigned place_first(const held_row *row) {
  world_hold_calls(true);
  world_submit(world_id(JOB), "sweep", "standard", 1, GPUS_PER_MACHINE, JOB_RUN_S, 0);
  run_until_any(world_id(JOB), SENT_MAX_S);
  int machine = world_held_calls() > 0 ? world_held_call_machine(0) : world_machine_of(world_id(JOB), 0);
  check_row(row->name, machine >= 0);
  return (unsigned)machine;
}

static void inject(const held_row *row, unsigned machine) {
  unsigned owner = world_owner_of(machine);
  for (unsigned node = 0; row->fault == ALL_CRASH && node < WORLD_NODES; node++) world_crash(node, CONTROLLER_BACK_S);
  if (row->fault == OWNER_CRASHES) world_crash(owner, CONTROLLER_BACK_S);
  if (row->fault == OWNER_PAUSES) world_pause_node(owner, row->pause_s);
  world_hold_calls(false);
}

static world_result play(const held_row *row, uint32_t seed) {
  begin(row, seed);
  unsigned machine = place_first(row);
  unsigned held = world_held_calls();
  inject(row, machine);
  double until = sim_now() + PLACED_AGAIN_MAX_S;
  while (world_tasks_of(world_id(JOB)) == 0 && sim_now() < until) sim_run_until(sim_now() + STEP_S);
  sim_run_until(sim_now() + RUNNING_S);
  bool moved = world_machine_of(world_id(JOB), 0) != (int)machine;
  world_restart_machines(machine, machine + 1);
  sim_run_until(sim_now() + row->delivered_in_s);
  unsigned executed = world_deliver_held_calls();
  until = sim_now() + DONE_MAX_S;
  while (world_completed_at(world_id(JOB)) <= 0 && sim_now() < until) sim_run_until(sim_now() + 1);
  check_row(row->name, world_completed_at(world_id(JOB)) > 0);
  world_result result = world_current_result();
  print_message("%s, seed %u: %u calls held up, %u executed late, the task was on %s; ran twice %u\n", row->name, seed,
                held, executed, moved ? "another machine" : "the machine", result.ran_twice);
  return result;
}

/* Failure guarded against: a start that was held up ran a task on a machine that was back, while it ran on another. */
static void held_up_commands(void **state) {
  (void)state;
  static const held_row rows[] = {
      {"all controllers crash, delivered at once", ALL_CRASH, 0, MACHINE_BACK_S},
      {"all controllers crash, delivered 4 s later", ALL_CRASH, 0, MACHINE_BACK_S + 4},
      {"all controllers crash, delivered 8 s later", ALL_CRASH, 0, MACHINE_BACK_S + 8},
      {"the owner crashes, delivered at once", OWNER_CRASHES, 0, MACHINE_BACK_S},
      {"the owner crashes, delivered 4 s later", OWNER_CRASHES, 0, MACHINE_BACK_S + 4},
      {"the owner stands still for 6 s, delivered at once", OWNER_PAUSES, 6, MACHINE_BACK_S},
      {"the owner stands still for 15 s, delivered at once", OWNER_PAUSES, 15, MACHINE_BACK_S},
      {"the owner stands still for 15 s, delivered 8 s later", OWNER_PAUSES, 15, MACHINE_BACK_S + 8},
      {"the owner stands still for 25 s, delivered at once", OWNER_PAUSES, 25, MACHINE_BACK_S},
      {"the owner stands still for 25 s, delivered 4 s later", OWNER_PAUSES, 25, MACHINE_BACK_S + 4},
  };
  unsigned broken = 0;
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
    for (uint32_t seed = 1; seed <= SEEDS_PER_ROW; seed++)
      broken += play(&rows[i], 100 * (uint32_t)i + seed).broken > 0;
  if (broken > 0) fail_msg("%u of %zu plays broke a rule", broken, G_N_ELEMENTS(rows) * SEEDS_PER_ROW);
}

int main(void) {
  const struct CMUnitTest tests[] = {cmocka_unit_test(held_up_commands)};
  return cmocka_run_group_tests(tests, NULL, NULL);
}
