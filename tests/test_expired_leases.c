/* Incident: a task ran twice and a team exceeded its limit because the expiry of a worker's lease was
 * treated as proof about starts sent in a later epoch.
 *
 * Seen with three controllers and about 60 machines under faults: each controller logged the expiry of the
 * same machine's lease ten times a second, every time with as many tasks as before. Starts were executed
 * 5 to 13 s after they had been decided, when their machines resumed. One task then ran on two machines,
 * and a team had 26 GPUs of 25 in use.
 * How: a machine reaches no controller but answers direct calls, and hangs shortly before its lease
 * expires. Its last direct answer is recent, so tasks are placed on it right after the expiry and
 * started by a direct call, which is delayed. A round later the same expiry is applied again and
 * drops them: they are started elsewhere, or other jobs get their share of the limit. The machine
 * resumes and executes the first starts.
 * Cause: an expired lease proves the end of what was started in the epoch that the worker had reported,
 * and says nothing about an epoch that it has not reported yet; but starts were sent under a guessed epoch
 * and dropped by the expiry of the epoch before it.
 * Without the fix these tests break both rules, and the controllers log the repeated expiries. */
#include "check.h"

#include "scene.h"

#define MACHINES_PER_ZONE 6
#define BLUE_LIMIT_GPUS 12u /* blue's tasks take one each */
#define CUT_AT_S 20.0
#define CUT_DURATION_S 60.0
#define OBSERVED_S 40.0 /* from the cut on */
#define SEEDS_PER_ROW 6u

/* Times are relative to the cut; the leases of the cut machines expire 12 to 15 s after it. */
typedef struct expired_lease_row {
  const char *name;
  unsigned cut_machines; /* they reach no controller; direct calls reach them */
  double hang_in_s, hang_s;
  double short_job_every_s;   /* short jobs, whose direct starts prove that the machines are reachable */
  double competing_jobs_in_s; /* until the team has more jobs than its limit allows; 0: it never has */
} expired_lease_row;

/* Jobs of team blue, of one task each, that run until they are cancelled. */
static void submit_team_jobs(unsigned first, const char *kind, const char *priority, double in_s) {
  for (unsigned k = 0; k < BLUE_LIMIT_GPUS; k++)
    world_submit_job(&(world_job){.id = world_id(first + k),
                                  .kind = kind,
                                  .priority = priority,
                                  .team = "blue",
                                  .tasks = 1,
                                  .gpus = 1,
                                  .run_s = 1e6,
                                  .in_s = in_s});
}

static world_result run_scenario(const expired_lease_row *row, uint32_t seed) {
  scene_begin(&(scene_setup){.seed = seed,
                             .capacity = 2 * MACHINES_PER_ZONE,
                             .keep_idle = true,
                             .images_cached = true,
                             .machines = {MACHINES_PER_ZONE, MACHINES_PER_ZONE}});
  submit_team_jobs(1, "sweep", "standard", 5);
  scene_submit(&(scene_jobs){.first = 100,
                             .count = (unsigned)((CUT_AT_S + OBSERVED_S) / row->short_job_every_s),
                             .kind = "sweep",
                             .priority = "prod",
                             .tasks = 2,
                             .gpus = 1,
                             .run_s = 0.5,
                             .in_s = 6,
                             .every_s = row->short_job_every_s});
  sim_run_until(sim_now() + CUT_AT_S);
  double cut_at_s = sim_now();
  world_cut_outbound(0, row->cut_machines, CUT_DURATION_S);
  if (row->competing_jobs_in_s > 0) submit_team_jobs(50, "service", "prod", row->competing_jobs_in_s);
  sim_run_until(cut_at_s + row->hang_in_s);
  world_hang_machines(0, row->cut_machines, row->hang_s);
  sim_run_until(cut_at_s + OBSERVED_S);
  return world_current_result();
}

static unsigned running_team_jobs(void) {
  unsigned running = 0;
  for (unsigned k = 0; k < BLUE_LIMIT_GPUS; k++)
    running += world_tasks_of(world_id(1 + k)) + world_tasks_of(world_id(50 + k));
  return running;
}

/* Runs every row and seed before failing, so that one failure does not hide others. */
static void run_rows(const expired_lease_row *rows, size_t count) {
  unsigned broken = 0;
  for (size_t i = 0; i < count; i++) {
    for (uint32_t seed = 1; seed <= SEEDS_PER_ROW; seed++) {
      world_result r = run_scenario(&rows[i], seed);
      print_message(
          "%s, seed %u: ran twice %u, over the limit %u, %u starts, %u tasks ended with a lease, %u tasks of the team "
          "run\n",
          rows[i].name, seed, r.ran_twice, r.over_quota, r.starts, r.lease_kills, running_team_jobs());
      check_row(rows[i].name, r.lease_kills > 0);
      broken += r.broken;
    }
  }
  assert_int_equal(broken, 0);
}

static void starts_after_an_expired_lease(void **state) {
  (void)state;
  static const expired_lease_row rows[] = {
      {"seven machines of twelve", 7, 13, 8, 0.6, 0},
      {"nine machines of twelve", 9, 12, 8, 0.6, 0},
  };
  run_rows(rows, G_N_ELEMENTS(rows));
}

/* If a start is dropped too early, its share of the limit goes to other jobs, and the limit is exceeded although
 * no task runs twice. */
static void team_limit_after_an_expired_lease(void **state) {
  (void)state;
  static const expired_lease_row rows[] = {
      {"competing jobs while the machines hang", 7, 12, 8, 0.9, 15},
      {"competing jobs just before they resume", 8, 13, 8, 0.9, 18},
  };
  run_rows(rows, G_N_ELEMENTS(rows));
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(starts_after_an_expired_lease),
      cmocka_unit_test(team_limit_after_an_expired_lease),
  };
  return cmocka_run_group_tests(tests, NULL, NULL);
}
