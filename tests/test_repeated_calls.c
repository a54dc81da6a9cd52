/* Direct calls that a worker has executed and answered arrive there again, after a task that was started there has
 * ended: no copy may start the task a second time. */
#include "check.h"

#include "scene.h"

#define MACHINES_PER_ZONE 3
#define SPOT_NOTICE_S 60.0
#define FAILING_S 2.0
#define FIRST_START_MAX_S 30.0
#define PREEMPTED_WITHIN_S 10.0
#define OTHER_START_MAX_S 120.0
#define FAULT_OVER_S 8.0   /* from a fault to the copies */
#define TRANSFER_S 25.0    /* for machines to be transferred to the owner of a gang, and for the gang to end */
#define CANCEL_OVER_S 36.0 /* longer than tasks of a cancelled job may run */
#define OBSERVED_S 20.0
#define SEEDS_PER_ROW 3u

enum { JOB = 1, TRANSFERRING_JOB, PREEMPTING_JOB, PREEMPTING_JOBS = 12 };

/* How the first attempt ends. */
typedef enum attempt_end { FAILS, MOVED, PREEMPTED, GANG_FAILS, LOST_AT_RESTART, CANCELLED } attempt_end;

/* What happens between that and the copies. */
typedef enum later_fault {
  NOTHING,
  OWNER_RESTARTS,      /* the machine's owner is back within a second */
  CONTROLLER_RESTARTS, /* another controller is back within a second */
  OWNER_GONE,          /* the machine gets another owner in a new term */
  TRANSFERRED,         /* it may get another owner in the same term */
  MACHINE_RESTARTS     /* it is back at once under its name, without tasks */
} later_fault;

typedef struct repeat_row {
  const char *name;
  attempt_end end;
  later_fault fault;
} repeat_row;

/* The first tasks of the job run; direct calls and starts have been recorded. */
static void begin(const repeat_row *row, uint32_t seed) {
  scene_begin(&(scene_setup){.seed = seed,
                             .capacity = row->end == PREEMPTED ? MACHINES_PER_ZONE : 2 * MACHINES_PER_ZONE,
                             .keep_idle = true,
                             .images_cached = true,
                             .machines = {MACHINES_PER_ZONE, MACHINES_PER_ZONE}});
  world_record_calls();
  sim_run_until(sim_now() + FIRST_START_MAX_S); /* the controllers know the machines */
  bool gang = row->end == GANG_FAILS;
  world_submit_job(&(world_job){.id = world_id(JOB),
                                .kind = gang                ? "gang"
                                        : row->end == MOVED ? "service"
                                                            : "sweep",
                                .priority = "best_effort",
                                .tasks = gang ? 2 : 1,
                                .gpus = gang ? 2 : 4,
                                .run_s = 1e6});
  double until = sim_now() + FIRST_START_MAX_S;
  while (!world_began_at(world_id(JOB)) && sim_now() < until) sim_run_until(sim_now() + 0.25);
  check_row(row->name, world_began_at(world_id(JOB)) > 0);
  sim_run_until(sim_now() + 2);
}

/* Ends the attempt that runs on the machine. */
static void end_attempt(attempt_end end, unsigned machine) {
  switch (end) {
    case FAILS:
    case GANG_FAILS:
      world_fail_tasks(machine, FAILING_S);
      break;
    case MOVED:
      world_preempt_machine(machine, SPOT_NOTICE_S);
      break;
    case PREEMPTED: /* by services on all machines; then there are more machines */
      for (unsigned k = 0; k < PREEMPTING_JOBS; k++)
        world_submit(world_id(PREEMPTING_JOB + k), "service", "prod", 1, 4, 1e6, 0);
      sim_run_until(sim_now() + PREEMPTED_WITHIN_S);
      world_capacity(PREEMPTING_JOBS, 0);
      break;
    case LOST_AT_RESTART: /* of the machine, which is then drained, so that the task is placed elsewhere */
      world_restart_machines(machine, machine + 1);
      world_preempt_machine(machine, SPOT_NOTICE_S);
      break;
    case CANCELLED:
      world_cancel(world_id(JOB), -1, 0);
      break;
  }
}

/* Until the task runs on another machine, or the deadline of its cancellation is over. */
static void wait_for_other_place(const repeat_row *row, unsigned machine) {
  if (row->end == CANCELLED) {
    sim_run_until(sim_now() + CANCEL_OVER_S);
    return;
  }
  double until = sim_now() + OTHER_START_MAX_S;
  int other = -1;
  while ((other < 0 || other == (int)machine) && sim_now() < until) {
    sim_run_until(sim_now() + 0.25);
    other = world_machine_of(world_id(JOB), 0);
  }
  check_row(row->name, other >= 0 && other != (int)machine);
  /* The machine has room again. */
  for (unsigned k = 0; row->end == PREEMPTED && k < PREEMPTING_JOBS; k++)
    world_cancel(world_id(PREEMPTING_JOB + k), -1, 0);
}

static void inject(later_fault fault, unsigned machine) {
  unsigned owner = world_owner_of(machine);
  if (fault == OWNER_RESTARTS) world_crash(owner, 0.3);
  if (fault == CONTROLLER_RESTARTS) world_crash((owner + 1) % WORLD_NODES, 0.3);
  if (fault == OWNER_GONE) world_crash(owner, OTHER_START_MAX_S);
  if (fault == MACHINE_RESTARTS) world_restart_machines(machine, machine + 1);
  if (fault != TRANSFERRED) return;
  world_submit_job(&(world_job){.id = world_id(TRANSFERRING_JOB),
                                .kind = "gang",
                                .priority = "prod",
                                .tasks = 2 * MACHINES_PER_ZONE - 1,
                                .gpus = 4,
                                .run_s = 2});
  sim_run_until(sim_now() + TRANSFER_S);
}

typedef struct play_outcome {
  unsigned copies; /* delivered */
  bool new_owner;  /* the machine has another owner than at the first start */
} play_outcome;

static play_outcome play(const repeat_row *row, uint32_t seed) {
  begin(row, seed);
  unsigned machine = (unsigned)world_machine_of(world_id(JOB), 0), owner = world_owner_of(machine);
  end_attempt(row->end, machine);
  wait_for_other_place(row, machine);
  inject(row->fault, machine);
  sim_run_until(sim_now() + FAULT_OVER_S);
  play_outcome outcome = {.new_owner = world_owner_of(machine) != owner};
  outcome.copies = world_repeat_calls_to(machine);
  sim_run_until(sim_now() + OBSERVED_S);
  return outcome;
}

/* Failure guarded against: a copy of an executed call ran a task again that its worker had been told to forget. */
static void copies_of_executed_calls(void **state) {
  (void)state;
  static const repeat_row rows[] = {
      {"failed", FAILS, NOTHING},
      {"failed, the owner is back within a second", FAILS, OWNER_RESTARTS},
      {"failed, a controller is back within a second", FAILS, CONTROLLER_RESTARTS},
      {"failed, the machine has another owner", FAILS, OWNER_GONE},
      {"failed, the machine may be transferred", FAILS, TRANSFERRED},
      {"failed, the machine is back without tasks", FAILS, MACHINE_RESTARTS},
      {"moved after a notice", MOVED, NOTHING},
      {"moved after a notice, the owner is back within a second", MOVED, OWNER_RESTARTS},
      {"moved after a notice, the machine is back without tasks", MOVED, MACHINE_RESTARTS},
      {"preempted", PREEMPTED, NOTHING},
      {"preempted, the owner is back within a second", PREEMPTED, OWNER_RESTARTS},
      {"preempted, the machine is back without tasks", PREEMPTED, MACHINE_RESTARTS},
      {"a gang that began anew", GANG_FAILS, NOTHING},
      {"a gang that began anew, a controller is back within a second", GANG_FAILS, CONTROLLER_RESTARTS},
      {"a gang that began anew, the machine is back without tasks", GANG_FAILS, MACHINE_RESTARTS},
      {"lost with a restart of its machine", LOST_AT_RESTART, NOTHING},
      {"lost with a restart of its machine, a controller is back within a second", LOST_AT_RESTART,
       CONTROLLER_RESTARTS},
      {"lost with a restart of its machine, which restarts again", LOST_AT_RESTART, MACHINE_RESTARTS},
      {"cancelled", CANCELLED, NOTHING},
      {"cancelled, the owner is back within a second", CANCELLED, OWNER_RESTARTS},
      {"cancelled, the machine has another owner", CANCELLED, OWNER_GONE},
      {"cancelled, the machine is back without tasks", CANCELLED, MACHINE_RESTARTS},
  };
  unsigned broken = 0;
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    for (uint32_t seed = 1; seed <= SEEDS_PER_ROW; seed++) {
      play_outcome outcome = play(&rows[i], 100 * (uint32_t)i + seed);
      world_result r = world_current_result();
      print_message("%s, seed %u: %u copies, %u executed, %u tasks begun by them%s%s%s\n", rows[i].name, seed,
                    outcome.copies, r.copies_executed, r.starts_by_copies, outcome.new_owner ? ", new owner" : "",
                    r.broken ? "; broke " : "", r.broken ? r.first : "");
      check_row(rows[i].name, outcome.copies > 0);
      broken += r.broken > 0 || r.starts_by_copies > 0;
    }
  }
  if (broken > 0) fail_msg("%u of %zu plays broke a rule", broken, G_N_ELEMENTS(rows) * SEEDS_PER_ROW);
}

#define FORGOTTEN_S 5.0      /* the worker has been told to forget the attempt */
#define STOPPED_WITHIN_S 5.0 /* two heartbeats */
#define NEXT_HEARTBEAT_S 1.5 /* at the earliest, after the first */

/* Of all controllers together. */
static fc_counters count_logged(void) {
  fc_counters sum = {0};
  for (unsigned node = 0; node < WORLD_NODES; node++) {
    fc_counters counters = world_counters(node);
    sum.unexpected_tasks += counters.unexpected_tasks;
  }
  return sum;
}

/* A machine is back without tasks and tokens, and a direct start of an earlier version arrives before any message of a
 * controller: nobody can prevent that it is executed. The owner sees the task on the next list, stops it, and leaves
 * the other attempt alone. */
static void copies_before_the_first_answer(void **state) {
  (void)state;
  static const repeat_row row = {"failed, a copy arrives just after a restart", FAILS, NOTHING};
  for (uint32_t seed = 1; seed <= SEEDS_PER_ROW; seed++) {
    begin(&row, 5000 + seed);
    unsigned machine = (unsigned)world_machine_of(world_id(JOB), 0);
    end_attempt(row.end, machine);
    wait_for_other_place(&row, machine);
    sim_run_until(sim_now() + FORGOTTEN_S);
    check_row(row.name, count_logged().unexpected_tasks == 0);
    unsigned starts = world_starts_of(world_id(JOB));
    world_restart_machines(machine, machine + 1);
    check_row(row.name, world_deliver_starts_directly(world_id(JOB)) > 0);
    sim_run_until(sim_now() + STOPPED_WITHIN_S);
    check_row(row.name, world_starts_of(world_id(JOB)) == starts + 1); /* the one that nobody can prevent */
    check_row(row.name, count_logged().unexpected_tasks == 1);
    check_row(row.name, world_tasks_of(world_id(JOB)) == 1);
    check_row(row.name, world_machine_of(world_id(JOB), 0) != (int)machine);
    sim_run_until(sim_now() + OBSERVED_S);
    check_row(row.name, world_starts_of(world_id(JOB)) == starts + 1);
    check_row(row.name, world_tasks_of(world_id(JOB)) == 1); /* the other attempt was left alone */
    /* A call brings the new token: it does not wait for the next heartbeat. */
    check_row(row.name, world_current_result().max_unfenced_s < NEXT_HEARTBEAT_S);
    print_message("%s, seed %u: %.3f s until the machine had a new token\n", row.name, seed,
                  world_current_result().max_unfenced_s);
  }
}

#define SHORT_TASK_S 0.4
#define SHORT_TASKS 8000u
#define SAMPLE_S 100.0
#define SAMPLES 45u
#define SAMPLES_PER_TERM 9u /* after so many the machine has used up most raised tokens of the term */

/* Returns the number of starts within the next SAMPLE_S. */
static unsigned count_starts(void) {
  unsigned before = world_current_result().starts;
  sim_run_until(sim_now() + SAMPLE_S);
  return world_current_result().starts - before;
}

/* Failure guarded against: once a machine has used up the raised tokens of a term, no further heartbeat can be
 * solicited from it, and its tasks wait for heartbeats to be started. */
static void terms_of_many_short_tasks(void **state) {
  (void)state;
  scene_begin(&(scene_setup){.seed = 9, .keep_idle = true, .images_cached = true, .machines = {1, 0}});
  world_capacity(0, 0);
  sim_run_until(sim_now() + FIRST_START_MAX_S);
  world_repeat_calls(0.1);
  for (unsigned k = 0; k < 3; k++) world_submit(world_id(k), "sweep", "standard", SHORT_TASKS, 1, SHORT_TASK_S, 0);
  unsigned terms = world_terms_written(), first = count_starts(), fewest = first;
  for (unsigned i = 1; i < SAMPLES; i++) {
    if (i % SAMPLES_PER_TERM == 0) world_use_up_tokens(0);
    unsigned starts = count_starts();
    fewest = MIN(fewest, starts);
  }
  world_result r = world_current_result();
  print_message("%u starts, %u in the first sample, %u in the lowest; %u new terms; %u copies\n", r.starts, first,
                fewest, world_terms_written() - terms, r.copies);
  assert_int_equal(r.broken, 0);
  assert_true(world_terms_written() - terms >= SAMPLES / SAMPLES_PER_TERM - 1);
  assert_true(fewest > first * 3 / 4);
}

int main(void) {
  const struct CMUnitTest tests[] = {cmocka_unit_test(copies_of_executed_calls),
                                     cmocka_unit_test(copies_before_the_first_answer),
                                     cmocka_unit_test(terms_of_many_short_tasks)};
  return cmocka_run_group_tests(tests, NULL, NULL);
}
