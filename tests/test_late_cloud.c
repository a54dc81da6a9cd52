/* Rentals and deletions that the cloud carries out late, and machines and controllers that are back within a second: no
 * task runs on a machine that no controller knows, and what a late deletion ends runs again elsewhere. */
#include "check.h"

#include "scene.h"

#define BACK_S 0.3
#define STARTED_S 45.0
#define SETTLED_S 150.0
#define SEEDS 4u

static const char *const k_job_ids[] = {"job-000001", "job-000002", "job-000003"};
#define SERVICE_TASKS 6u
#define ARRAY_TASKS 6u
#define GANG_TASKS 2u

static void run_for(const char *name, double seconds) {
  double end = sim_now() + seconds;
  while (sim_now() < end) {
    sim_run_until(MIN(sim_now() + 0.5, end));
    world_check_tasks_known();
    world_result result = world_current_result();
    if (result.broken) fail_msg("%s: %s", name, result.first);
  }
}

/* ---- deletions ---- */

typedef struct deletion_row {
  const char *name;
  double away_s; /* for which two of six machines are not heard of */
  double late_s; /* the delay of all deletions that are asked for */
  int restarts;  /* controllers that are back within a second once the machines are heard again; -1: none */
  bool emptied;  /* the machines are back without their tasks, under the same names */
} deletion_row;

static void submit_jobs(void) {
  world_submit(k_job_ids[0], "service", "prod", SERVICE_TASKS, 1, 1e6, 5);
  world_submit(k_job_ids[1], "sweep", "standard", ARRAY_TASKS, 1, 1e6, 5);
  world_submit(k_job_ids[2], "gang", "high", GANG_TASKS, 2, 1e6, 5);
}

static void check_all_run(const char *name) {
  check_row(name, world_tasks_of(k_job_ids[0]) == SERVICE_TASKS);
  check_row(name, world_tasks_of(k_job_ids[1]) == ARRAY_TASKS);
  check_row(name, world_tasks_of(k_job_ids[2]) == GANG_TASKS);
}

static void run_late_deletion(const deletion_row *row, uint32_t seed) {
  char name[120];
  g_snprintf(name, sizeof name, "%s, seed %u", row->name, seed);
  scene_begin(&(scene_setup){.seed = seed, .capacity = 12, .keep_idle = true, .machines = {3, 3}});
  submit_jobs();
  sim_run_until(sim_now() + STARTED_S);
  check_all_run(name);
  world_late_cloud(1, row->late_s, row->late_s);
  world_cut_outbound(0, 2, row->away_s);
  world_cut_inbound(0, 2, row->away_s);
  run_for(name, row->away_s);
  if (row->emptied) world_restart_machines(0, 2);
  for (int node = 0; node < row->restarts; node++) world_crash((unsigned)node, BACK_S);
  run_for(name, row->late_s);
  world_late_cloud(0, 0, 0);
  run_for(name, SETTLED_S);
  world_check_released();
  world_result result = world_current_result();
  if (result.broken) fail_msg("%s: %s", name, result.first);
  print_message("%s: %u late requests, %u tasks ended by deletions, %u of 2 machines gone\n", name,
                result.late_cloud_requests, result.return_kills, world_terminated_machines(0, 2));
  check_all_run(name);
}

/* A deletion is asked for while the machine is not heard of, gets no answer, and is carried out once the machine has
 * been heard again. */
static void machines_heard_again_before_their_late_deletion(void **state) {
  (void)state;
  static const deletion_row rows[] = {
      {"soon", 30, 16, -1, false},
      {"much later", 30, 90, -1, false},
      {"beside a restart of one controller", 30, 30, 1, false},
      {"beside a restart of all controllers", 30, 30, WORLD_NODES, false},
      {"much later, beside a restart of all controllers", 30, 90, WORLD_NODES, false},
      {"back without tasks", 30, 30, -1, true},
      {"back without tasks, beside a restart of all controllers", 30, 60, WORLD_NODES, true},
      {"within the lease", 10, 60, WORLD_NODES, false},
      {"after longer than an outage may take", 90, 60, WORLD_NODES, false},
  };
  const char *only = g_getenv("LATE_CLOUD_SEED"); /* the first row with that seed alone */
  if (only) {
    run_late_deletion(&rows[0], (uint32_t)atoi(only));
    return;
  }
  unsigned late_requests = 0;
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    for (uint32_t seed = 1; seed <= SEEDS; seed++) {
      run_late_deletion(&rows[i], (uint32_t)(700 + i * 100) + seed);
      late_requests += world_current_result().late_cloud_requests;
    }
  }
  assert_true(late_requests > 0);
}

/* ---- rentals ---- */

typedef struct rental_row {
  const char *name;
  double min_s, max_s; /* the delay of the rentals that are late */
  double share;        /* of the rentals and deletions */
  bool restarts;       /* all controllers, and then the first machines, are back within a second */
} rental_row;

static void run_late_rentals(const rental_row *row, uint32_t seed) {
  char name[120];
  g_snprintf(name, sizeof name, "%s, seed %u", row->name, seed);
  scene_prepare(&(scene_setup){.seed = seed, .capacity = 6});
  world_release_idle();
  scene_start(&(scene_setup){.machines = {1, 0}});
  world_late_cloud(row->share, row->min_s, row->max_s);
  scene_submit(&(scene_jobs){.first = 10,
                             .count = 8,
                             .kind = "sweep",
                             .priority = "standard",
                             .tasks = 4,
                             .gpus = 2,
                             .run_s = 8,
                             .in_s = 5,
                             .every_s = 6});
  run_for(name, 25);
  for (unsigned node = 0; row->restarts && node < WORLD_NODES; node++) world_crash(node, BACK_S);
  run_for(name, 10);
  if (row->restarts) world_restart_machines(0, MIN(world_machine_count(), 3));
  run_for(name, 40);
  world_late_cloud(0, 0, 0);
  run_for(name, SETTLED_S + row->max_s);
  world_check_released();
  world_result result = world_current_result();
  if (result.broken) fail_msg("%s: %s", name, result.first);
  print_message("%s: %u late requests, %u machines\n", name, result.late_cloud_requests, world_machine_count());
  check_row(name, result.late_cloud_requests > 0);
  for (unsigned number = 10; number < 18; number++)
    check_row(name, world_seen_terminal_state(world_id(number)) && world_tasks_of(world_id(number)) == 0);
}

/* Machines appear that nobody waits for any more, or twice as many as were asked for. */
static void rentals_carried_out_late(void **state) {
  (void)state;
  static const rental_row rows[] = {
      {"some seconds late", 3, 16, 0.6, false},
      {"up to a minute late", 10, 60, 0.6, false},
      {"some seconds late, beside restarts", 3, 16, 0.6, true},
      {"up to a minute late, beside restarts", 10, 60, 0.8, true},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
    for (uint32_t seed = 1; seed <= SEEDS; seed++) run_late_rentals(&rows[i], (uint32_t)(1700 + i * 100) + seed);
}

int main(void) {
  const struct CMUnitTest tests[] = {cmocka_unit_test(machines_heard_again_before_their_late_deletion),
                                     cmocka_unit_test(rentals_carried_out_late)};
  return cmocka_run_group_tests(tests, NULL, NULL);
}
