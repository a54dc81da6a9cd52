/* Delayed messages: heartbeats that arrive after newer ones, after a lease expiry or after a change of
 * leader, and transactions without a response that are applied after newer ones. */
#include "check.h"

#include <stdlib.h>

#include "scene.h"
#include "sim/requests.h"

/* The number of running tasks that the controller reports; -1: it reports no number now. */
static int reported_running(unsigned node, const char *id) {
  char path[64];
  g_snprintf(path, sizeof path, "/api/jobs/%s", id);
  world_reply r = world_request(node, "GET", path, "");
  const char *at = strstr(r.body, "\"running\":");
  if (r.status != 200 || !at) return -1;
  return atoi(at + strlen("\"running\":"));
}

static const char *const k_job_ids[] = {"job-000001", "job-000002", "job-000003"};

/* Six machines with a long-running service, array and gang. */
static void start_three_jobs(uint32_t seed) {
  scene_begin(&(scene_setup){.seed = seed, .capacity = 12, .keep_idle = true, .machines = {3, 3}});
  world_submit(k_job_ids[0], "service", "prod", 6, 1, 1e6, 5);
  world_submit(k_job_ids[1], "sweep", "standard", 6, 1, 1e6, 5);
  world_submit(k_job_ids[2], "gang", "high", 2, 3, 1e6, 5);
  sim_run_until(sim_now() + 20);
  assert_int_equal(world_running_tasks(), 14);
}

/* No controller reports more running tasks than there are. */
static void check_reported_running(const char *name) {
  for (unsigned n = 0; n < WORLD_NODES; n++) {
    for (size_t k = 0; k < G_N_ELEMENTS(k_job_ids); k++) {
      unsigned actual = world_tasks_of(k_job_ids[k]);
      int reported = reported_running(n, k_job_ids[k]);
      actual = MAX(actual, world_tasks_of(k_job_ids[k])); /* one may have started meanwhile */
      if (reported > (int)actual)
        print_message("%s: %s: controller %u reports %d running, %u are\n", name, k_job_ids[k], n, reported, actual);
      check_row(name, reported <= (int)actual);
    }
  }
}

/* Old heartbeats arrive, at the owner and at other controllers, when the worker's lease has expired and its
 * tasks run elsewhere. Tasks that they list must not be reported as running, and they must not start or stop
 * any task or renew a lease. */
static void heartbeats_after_lease_expiry(void **state) {
  (void)state;
  static const struct {
    const char *name;
    unsigned hung_machines; /* of six; a single one is returned, most of them are kept */
    double hang_s, in_s;    /* duration; delay of the heartbeats that are sent as it begins */
    bool quiescent;         /* no start command is in transit when they arrive */
    int crash;              /* the controller that crashes; -1: none */
    double crash_s;         /* after the machines hung */
  } rows[] = {
      {"one machine", 1, 60, 40, true, -1, 0},
      {"most machines, while they hang", 4, 60, 40, true, -1, 0},
      {"most machines, after they recovered", 4, 30, 50, true, -1, 0},
      {"most machines, as they recover", 4, 30, 30.3, false, -1, 0},
      {"most machines, under a new leader", 4, 60, 45, true, 0, 22},
      {"most machines, another new leader", 4, 60, 45, true, 1, 22},
      {"most machines, under a leader that restarted as they hung", 4, 80, 60, true, 2, 0.5},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    start_three_jobs(70 + (uint32_t)i);
    for (unsigned m = 1; m <= rows[i].hung_machines; m++)
      for (unsigned k = 0; k < WORLD_NODES * 2; k++) {
        unsigned round = k / 3;
        world_duplicate_heartbeat(m, k % WORLD_NODES, rows[i].in_s + 1.2 * round);
      }
    world_hang_machines(1, 1 + rows[i].hung_machines, rows[i].hang_s);
    double at = sim_now();
    unsigned starts_before = world_current_result().starts;
    if (rows[i].crash >= 0) {
      sim_run_until(at + rows[i].crash_s);
      world_crash((unsigned)rows[i].crash, 4);
    }
    sim_run_until(at + rows[i].in_s - 0.1);
    unsigned starts = world_current_result().starts, stopped = world_exited_tasks("stopped"),
             fetching = world_fetching_tasks();
    print_message("%s: %u started by then, %u running, %u fetching their image\n", rows[i].name, starts,
                  world_running_tasks(), fetching);
    check_row(rows[i].name, starts > starts_before);
    for (unsigned k = 0; k < 12; k++) {
      sim_run_until(at + rows[i].in_s + 0.02 + k * 0.3);
      check_reported_running(rows[i].name);
    }
    /* Only tasks that were fetching their image before may start. */
    check_row(rows[i].name, !rows[i].quiescent || world_current_result().starts - starts <= fetching);
    check_row(rows[i].name, !rows[i].quiescent || world_exited_tasks("stopped") == stopped);
    sim_run_until(at + 110);
    if (world_current_result().broken) fail_msg("%s: %s", rows[i].name, world_current_result().first);
    check_reported_running(rows[i].name);
    for (size_t k = 0; k < 3; k++) check_row(rows[i].name, world_tasks_of(k_job_ids[k]) == (k < 2 ? 6 : 2));
  }
}

typedef struct order_row {
  const char *name;
  double in_s;            /* delay of the heartbeats; the controllers get them 0.3 s apart */
  unsigned crashes;       /* of one controller after the other */
  double crash_s, back_s; /* the first crash, after the first heartbeat; until a controller is back */
} order_row;

static const order_row k_orders[] = {
    {"seconds late", 3, 0, 0, 0},
    {"a lease late", 20, 0, 0, 0},
    {"well over a lease late", 35, 0, 0, 0},
    {"after one controller restarted", 16, 1, 4, 4},
    {"while one controller restarts", 8.3, 1, 4, 4},
    {"while one controller restarts at once", 4.3, 1, 4, 0.2},
    {"after all controllers restarted", 20, WORLD_NODES, 4, 4},
    {"while all controllers restart", 8.5, WORLD_NODES, 4, 4},
};

/* Copies of the heartbeats of twelve seconds, in which images are fetched, tasks run, and some are about to
 * end; the copies arrive delayed. */
static void delay_heartbeats(double from, double delay_s) {
  for (unsigned k = 0; k < 8; k++) {
    sim_run_until(from + k * 1.5);
    for (unsigned m = 0; m < 6; m++)
      for (unsigned n = 0; n < WORLD_NODES; n++) world_duplicate_heartbeat(m, n, delay_s + 0.3 * n);
  }
}

/* The service ends only by its cancellation. Once the two other jobs were reported as terminal, none of their
 * tasks runs. */
static void check_nothing_restarts(const char *name) {
  if (world_seen_terminal_state(k_job_ids[0]))
    check_row(name, strcmp(world_seen_terminal_state(k_job_ids[0]), "cancelled") == 0);
  if (world_seen_terminal_state(k_job_ids[1]) && world_seen_terminal_state(k_job_ids[2])) {
    for (unsigned j = 1; j < 3; j++) check_row(name, world_tasks_of(k_job_ids[j]) == 0);
  }
}

/* Copies of heartbeats arrive at every controller when the jobs of their tasks have ended or were cancelled or
 * preempted, under the same leaders or new ones: no task that has ended is started again. */
static void heartbeats_out_of_order(void **state) {
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS(k_orders); i++) {
    const order_row *row = &k_orders[i];
    scene_begin(&(scene_setup){.seed = 90 + (uint32_t)i, .capacity = 12, .keep_idle = true, .machines = {3, 3}});
    world_submit(k_job_ids[0], "service", "prod", 4, 1, 1e6, 5);
    world_submit(k_job_ids[1], "sweep", "standard", 6, 1, 9, 5);
    world_submit(k_job_ids[2], "gang", "high", 2, 2, 9, 5);
    double from = sim_now() + 6;
    delay_heartbeats(from, row->in_s);
    double at = sim_now();
    for (unsigned n = 0; n < row->crashes; n++) {
      sim_run_until(from + row->crash_s + n * 0.1);
      world_crash(n, row->back_s);
    }
    world_cancel(k_job_ids[0], -1, 3);
    for (unsigned k = 0; k < 60; k++) {
      sim_run_until(at + k * 0.9);
      check_nothing_restarts(row->name);
    }
    world_result r = world_current_result();
    if (r.broken) fail_msg("%s: %s", row->name, r.first);
    print_message("%s: %u started, %u ended\n", row->name, r.starts, world_exited_tasks("done"));
    for (unsigned k = 0; k < 3; k++) check_row(row->name, world_seen_terminal_state(k_job_ids[k]));
    check_row(row->name, world_running_tasks() == 0 && r.late_starts == 0);
    /* Each task starts once, except preempted tasks, some of which were stopped before they had their image. */
    check_row(row->name, r.starts >= 12 && r.starts + 4 <= 12 + world_exited_tasks("stopped"));
    check_row(row->name, r.lease_kills == 0);
    check_reported_running(row->name);
  }
}

/* A machine fails for good, and copies of its last heartbeats arrive at one controller after the other. Its
 * tasks still restart elsewhere soon, and its record is not written again. */
static void heartbeats_of_a_dead_machine(void **state) {
  (void)state;
  static const struct {
    const char *name;
    double first_s, every_s; /* delay of the first copy; interval between copies */
    int crash;               /* the controller that crashes; -1: none */
  } rows[] = {
      {"no heartbeats", 1e6, 0, -1},     {"at once", 0.5, 0.7, -1},
      {"within the lease", 4, 2, -1},    {"about the end of the lease", 10, 1.5, -1},
      {"after the lease", 25, 1, -1},    {"a new leader, no heartbeats", 1e6, 0, 0},
      {"a new leader, soon", 3, 1.5, 0}, {"a new leader, later", 12, 2, 0},
  };
  double without_heartbeats = 0;
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    start_three_jobs(120);
    unsigned dead = (unsigned)world_machine_of(k_job_ids[1], 3);
    char key[64];
    g_snprintf(key, sizeof key, "fc1/machine/vm-%06u", dead);
    check_row(rows[i].name, kv_has_key(key));
    for (unsigned k = 0; k < 9; k++)
      world_duplicate_heartbeat(dead, k % WORLD_NODES, rows[i].first_s + k * rows[i].every_s);
    world_terminate_machines(dead, dead + 1);
    double at = sim_now();
    if (rows[i].crash >= 0) world_crash((unsigned)rows[i].crash, 4);
    while (world_running_tasks() < 14 && sim_now() < at + 90) sim_run_until(sim_now() + 0.25);
    double took = sim_now() - at;
    print_message("%s: all tasks run again after %.1f s\n", rows[i].name, took);
    if (rows[i].first_s >= 1e6) without_heartbeats = took;
    /* A copy can't be distinguished from a heartbeat of a live worker, but delays the restart by no more than a
     * lease. */
    check_row(rows[i].name, took < without_heartbeats + 15);
    sim_run_until(at + 60);
    check_row(rows[i].name, !kv_has_key(key));
    check_row(rows[i].name, world_running_tasks() == 14);
    check_reported_running(rows[i].name);
    if (world_current_result().broken) fail_msg("%s: %s", rows[i].name, world_current_result().first);
  }
}

typedef struct delay_row {
  const char *name;
  double share, for_s; /* of the transactions that are delayed; for how long that is so */
  double min_s, max_s; /* their delay */
  int crash;           /* the controller that crashes; -1: none */
  unsigned seeds;
} delay_row;

static const delay_row k_delays[] = {
    {"a fifth", 0.2, 60, 2, 12, -1, 2},
    {"half", 0.5, 60, 2, 12, -1, 2},
    {"all, for a while", 1, 12, 2, 12, -1, 2},
    {"half, and a controller restarts", 0.5, 50, 2, 12, 0, 2},
    {"a fifth, by up to 90 s", 0.2, 60, 10, 90, -1, 2},
    {"half, by up to 90 s", 0.5, 40, 10, 90, -1, 2},
};

enum { DELAY_JOBS = 15 };

/* Arrays and gangs of several sizes, of both teams; a quarter is cancelled soon after. */
static void submit_jobs_of_every_kind(void) {
  for (unsigned k = 0; k < DELAY_JOBS; k++) {
    const char *id = world_id(k);
    world_submit_job(&(world_job){.id = id,
                                  .kind = k % 3 ? "sweep" : "gang",
                                  .priority = k % 3 ? "standard" : "high",
                                  .team = k % 2 ? "red" : "blue",
                                  .tasks = k % 3 ? 1 + k % 5 : 2,
                                  .gpus = k % 3 ? 1 : 2,
                                  .run_s = 3 + k % 7,
                                  .in_s = 1 + k * 5.0,
                                  .one_zone = k % 3 == 0,
                                  .spot = k % 2,
                                  .cancel_in_s = k % 4 == 1 ? 2 : 0});
  }
}

static void check_all_ended(const char *name) {
  for (unsigned k = 0; k < DELAY_JOBS; k++) {
    const char *id = world_id(k);
    if (!world_seen_terminal_state(id)) print_message("%s: %s is not terminal\n", name, id);
    check_row(name, world_seen_terminal_state(id) && world_tasks_of(id) == 0);
  }
}

/* Returns the number of tasks whose start command was in transit when their cancellation was acknowledged. */
static unsigned run_delayed_transactions(const delay_row *row, uint32_t seed) {
  char name[80];
  g_snprintf(name, sizeof name, "%s, seed %u", row->name, seed);
  scene_begin(&(scene_setup){.seed = seed, .capacity = 5, .spot_capacity = 3});
  sim_run_until(sim_now() + 4);
  double at = sim_now();
  submit_jobs_of_every_kind();
  world_late_writes_delay(row->min_s, row->max_s);
  world_late_writes(row->share);
  world_cancel_on_completion(0.3);
  if (row->crash >= 0) {
    sim_run_until(at + row->for_s / 2);
    world_crash((unsigned)row->crash, 4);
  }
  sim_run_until(at + row->for_s);
  world_late_writes(0);
  sim_run_until(at + 90 + row->max_s);
  for (unsigned k = 0; k < 60; k++) { /* no removed record is written again */
    sim_run_until(sim_now() + 1);
    world_check_released();
  }
  world_result r = world_current_result();
  if (r.broken) fail_msg("%s: %s", name, r.first);
  check_row(name, r.accepted == DELAY_JOBS);
  check_all_ended(name);
  return r.late_starts;
}

/* Transactions without a response are applied after newer ones of the same controller, while jobs are
 * submitted, end, are cancelled and archived, and machines are rented and returned. */
static void delayed_transactions(void **state) {
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS(k_delays); i++) {
    const delay_row *row = &k_delays[i];
    unsigned late_starts = 0;
    for (unsigned seed = 0; seed < row->seeds; seed++)
      late_starts += run_delayed_transactions(row, (uint32_t)(200 + i * 1000 + seed));
    print_message("%s: %u tasks began after a cancellation\n", row->name, late_starts);
  }
}

typedef struct removed_row {
  const char *name, *body_text; /* text in the bodies of the transactions that are delayed */
  double from_s, to_s;          /* when they are sent */
  bool machines_up;             /* two machines run and send heartbeats, instead of being rented */
} removed_row;

static const removed_row k_removed_records[] = {
    {"records of rented machines", "\"set\":\"fc1/machine/", 0, 8, false},
    {"records of machines that send heartbeats", "\"set\":\"fc1/machine/", 0, 4, true},
    {"addresses of machines", "\"endpoint\":\"10.", 0, 8, false},
    {"removals of records", "\"remove\":\"fc1/machine/", 0, 40, false},
    {"rental intents", "\"set\":\"fc1/hire/", 0, 4, false},
    {"removals of rental intents", "\"remove\":\"fc1/hire/", 0, 8, false},
    {"new jobs", "\"phase\":\"accepted\"", 0, 4, true},
    {"completions of jobs", "\"phase\":\"done\"", 0, 20, true},
    {"archived jobs", "\"set\":\"fc1over/", 0, 40, true},
    {"quota shares", "\"set\":\"fc1/quota", 0, 20, true},
};

static void submit_four_jobs(void) {
  for (unsigned k = 0; k < 4; k++) {
    const char *id = world_id(k);
    world_submit_job(&(world_job){.id = id,
                                  .kind = k % 2 ? "sweep" : "gang",
                                  .team = "blue",
                                  .tasks = 2,
                                  .gpus = 2,
                                  .run_s = 2,
                                  .in_s = k * 0.5});
  }
}

static void run_removed_records(const removed_row *row, uint32_t seed) {
  char name[80];
  g_snprintf(name, sizeof name, "%s, seed %u", row->name, seed);
  world_set_up(seed, 0);
  world_capacity(4, 0);
  world_release_idle();
  world_start_nodes();
  sim_run_until(sim_now() + 6);
  double at = sim_now();
  world_late_writes_delay(45, 60);
  world_late_writes_only(row->body_text);
  submit_four_jobs();
  sim_run_until(at + row->from_s);
  world_late_writes(1);
  if (row->machines_up) world_add_machines(0, 2);
  sim_run_until(at + row->to_s);
  world_late_writes(0);
  /* The last delayed transaction is applied within 61 s after `to_s`. */
  unsigned machines = 0;
  double t = row->to_s;
  while (t < 180) {
    sim_run_until(at + t);
    if (t > row->to_s + 61) world_check_released();
    if (t < 40) machines = world_machine_count();
    t += 0.5;
  }
  world_result r = world_current_result();
  print_message("%s: %u machines by then, %u in the end, %u starts\n", name, machines, world_machine_count(), r.starts);
  if (r.broken) fail_msg("%s: %s", name, r.first);
  for (unsigned k = 0; k < 4; k++) {
    const char *id = world_id(k);
    check_row(name, world_seen_terminal_state(id) && strcmp(world_seen_terminal_state(id), "done") == 0);
    check_row(name, world_tasks_of(id) == 0);
  }
}

/* Transactions without a response are applied after the records that they concern were removed: no
 * returned machine gets a record again, nothing is rented, and archived jobs stay archived. */
static void delayed_transactions_about_removed_records(void **state) {
  (void)state;
  for (uint32_t i = 0; i < G_N_ELEMENTS(k_removed_records); i++) {
    const removed_row *row = &k_removed_records[i];
    const uint32_t seeds = strstr(row->name, "records of") ? 2 : 1;
    for (uint32_t seed = 0; seed < seeds; seed++) run_removed_records(row, 300 + i * 10 + seed);
  }
}

/* Records of quota shares, members and terms are applied late, with a team at its limit and controllers
 * that restart: the limit is not exceeded, and in the end all controllers are members again and all jobs done. */
static void delayed_quota_and_membership_records(void **state) {
  (void)state;
  static const struct {
    const char *name, *body_text; /* text in the bodies of the transactions that are delayed */
    double share, max_s;          /* of these transactions that are delayed; by how long */
    unsigned crashes;             /* one controller after the other, ten seconds apart */
    double back_s;                /* until a controller is back */
  } rows[] = {
      {"shares", "\"set\":\"fc1/quota", 0.7, 12, 0, 0},
      {"shares, by up to a minute", "\"set\":\"fc1/quota", 0.7, 60, 0, 0},
      {"shares, and controllers restart", "\"set\":\"fc1/quota", 0.6, 12, 3, 4},
      {"members", "\"set\":\"fc1/member", 0.6, 12, 6, 4},
      {"members, back at once", "\"set\":\"fc1/member", 0.6, 12, 6, 0.2},
      {"terms", "\"set\":\"fc1/term", 0.6, 12, 6, 4},
      {"terms, back at once", "\"set\":\"fc1/term", 0.6, 12, 6, 0.2},
      {"terms, by up to a minute", "\"set\":\"fc1/term", 0.6, 60, 6, 16},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    char name[80];
    g_snprintf(name, sizeof name, "%s, seed %zu", rows[i].name, 500 + i);
    scene_begin(&(scene_setup){.seed = (uint32_t)(500 + i), .capacity = 6, .keep_idle = true, .machines = {4, 4}});
    sim_run_until(sim_now() + 6);
    double at = sim_now();
    world_late_writes_delay(2, rows[i].max_s);
    world_late_writes_only(rows[i].body_text);
    world_late_writes(rows[i].share);
    for (unsigned k = 0; k < 60; k++) {
      const char *id = world_id(k * 37 % 1000);
      world_submit_job(&(world_job){.id = id,
                                    .kind = "sweep",
                                    .team = "blue",
                                    .tasks = 1 + k % 4,
                                    .gpus = 1 + k % 2,
                                    .run_s = 2 + k % 5,
                                    .in_s = k * 0.8});
    }
    for (unsigned k = 0; k < rows[i].crashes; k++) {
      sim_run_until(at + 5 + k * 10);
      world_crash(k % WORLD_NODES, rows[i].back_s);
    }
    sim_run_until(at + 70);
    world_late_writes(0);
    sim_run_until(at + 230);
    world_result r = world_current_result();
    print_message("%s: %u of 60 done, %u starts, %u lease kills\n", name, r.finished, r.starts, r.lease_kills);
    if (r.broken) fail_msg("%s: %s", name, r.first);
    check_row(name, r.finished == 60);
    for (unsigned n = 0; n < WORLD_NODES; n++) check_row(name, world_get_status(n, "/ready") == 200);
  }
}

int main(void) {
  const struct CMUnitTest tests[] = {cmocka_unit_test(heartbeats_after_lease_expiry),
                                     cmocka_unit_test(heartbeats_out_of_order),
                                     cmocka_unit_test(heartbeats_of_a_dead_machine),
                                     cmocka_unit_test(delayed_transactions),
                                     cmocka_unit_test(delayed_transactions_about_removed_records),
                                     cmocka_unit_test(delayed_quota_and_membership_records)};
  /* Runs a single test, or all tests except one. */
  cmocka_set_test_filter(g_getenv("LATE_ONLY"));
  cmocka_set_skip_filter(g_getenv("LATE_BUT"));
  return cmocka_run_group_tests(tests, NULL, NULL);
}
