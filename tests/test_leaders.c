/* Changes of leader: every controller owns a shard, and any of them may crash, return or be removed
 * from the term. Running tasks must be neither started twice nor lost. */
#include "check.h"

#include <stdlib.h>

#include "scene.h"

enum { MACHINES = 12, SERVICES = 4, ARRAYS = 3 };
/* Numbers in the ids of jobs; the services have 0 to 3. */
enum { FIRST_ARRAY = 20, GANG = 40, NEW_ARRAY = 500, NEW_SERVICE = NEW_ARRAY + 1 };
enum { LONG_TASKS = SERVICES * 2 + ARRAYS * 3 + 2 };

/* LEADERS_SALT=N: the same scenes with other seeds, and more of them. */
static uint32_t salted_seed(uint32_t seed) {
  const char *salt = g_getenv("LEADERS_SALT");
  return seed + 10000 * (uint32_t)(salt ? atoi(salt) : 0);
}

static unsigned g_initial_starts; /* of tasks of the long jobs, before any fault */

/* How many tasks of the long jobs have been started again since. */
static unsigned restarts(void) {
  unsigned n = world_starts_of(world_id(GANG));
  for (unsigned k = 0; k < SERVICES; k++) n += world_starts_of(world_id(k));
  for (unsigned k = 0; k < ARRAYS; k++) n += world_starts_of(world_id(FIRST_ARRAY + k));
  return n - g_initial_starts;
}

/* Twelve machines with long jobs of every kind: services, arrays and a gang; about half the capacity
 * is free. */
static void start_long_jobs(uint32_t seed) {
  scene_begin(&(scene_setup){.seed = salted_seed(seed),
                             .capacity = MACHINES / 2,
                             .keep_idle = true,
                             .machines = {MACHINES / 2, MACHINES / 2}});
  scene_submit_services(SERVICES, 2, 0.1);
  scene_submit(&(scene_jobs){.first = FIRST_ARRAY,
                             .count = ARRAYS,
                             .kind = "sweep",
                             .priority = "standard",
                             .tasks = 3,
                             .gpus = 1,
                             .run_s = 1e6,
                             .in_s = 5,
                             .every_s = 0.1});
  world_submit(world_id(GANG), "gang", "high", 2, 4, 1e6, 5);
  sim_run_until(sim_now() + 20);
  g_initial_starts = 0;
  g_initial_starts = restarts();
  assert_int_equal(world_running_tasks(), LONG_TASKS);
}

/* Submits short arrays, one every `every_s`; returns their count. */
static unsigned submit_short_jobs(unsigned first, unsigned count, double every_s) {
  for (unsigned i = 0; i < count; i++)
    world_submit(world_id(first + i), "sweep", "standard", 1 + i % 3, 1, 3 + i % 5, i * every_s);
  return count;
}

static void check_rules(const char *name) {
  world_result r = world_current_result();
  if (r.broken) fail_msg("row '%s': %u rules broken, first %s", name, r.broken, r.first);
}

/* Called at the end of the last fault. New jobs start within `within_s`, queries about every open job are
 * answered again, and within 90 s all short jobs are done. running, finished: the tasks and jobs to expect
 * besides the new ones. */
static void check_recovery(const char *name, double within_s, unsigned running, unsigned finished) {
  double from = sim_now();
  world_submit(world_id(NEW_ARRAY), "sweep", "standard", 2, 1, 5, 0);
  world_submit(world_id(NEW_SERVICE), "service", "standard", 2, 1, 1e6, 0); /* preempts nothing */
  while (sim_now() < from + within_s &&
         !(world_began_at(world_id(NEW_ARRAY)) > 0 && world_began_at(world_id(NEW_SERVICE)) > 0))
    sim_run_until(sim_now() + 0.5);
  double began = MAX(world_began_at(world_id(NEW_ARRAY)), world_began_at(world_id(NEW_SERVICE)));
  print_message("%s: new jobs began after %.1f s", name, began - from);
  sim_run_until(from + 12); /* users poll every 4 to 6 s */
  unsigned unanswered = world_jobs_unanswered_since(from), lease_kills = world_current_result().lease_kills;
  while (sim_now() < from + 90 &&
         !(world_current_result().finished == finished + 1 && world_running_tasks() == running + 2))
    sim_run_until(sim_now() + 1);
  sim_run_until(sim_now() + 20); /* longer than a lease, so that one that isn't renewed expires */
  world_result r = world_current_result();
  print_message(
      ", %u jobs unanswered, %u tasks run, %u jobs done, %u starts, %u lease kills, %u starts of completed tasks\n",
      unanswered, world_running_tasks(), r.finished, r.starts, r.lease_kills, r.starts_after_done);
  check_rules(name);
  check_row(name, world_began_at(world_id(NEW_ARRAY)) > 0 && world_began_at(world_id(NEW_SERVICE)) > 0);
  check_row(name, unanswered == 0);
  check_row(name, r.lease_kills == lease_kills); /* heartbeats are answered again */
  check_row(name, r.accepted == r.submitted);
  check_row(name, r.finished == finished + 1);
  check_row(name, world_running_tasks() == running + 2);
  for (unsigned n = 0; n < WORLD_NODES; n++) check_row(name, world_get_status(n, "/api/jobs/job-000000") == 200);
}

/* Controllers crash one after the other, in some rows also during outages of the key-value store. */
static void ten_leader_changes_in_two_minutes(void **state) {
  (void)state;
  static const struct {
    const char *name;
    uint32_t seed;
    double back_s;               /* until a controller is back */
    unsigned at_once;            /* controllers that crash together */
    double down_at_s[3], down_s; /* outages of the key-value store; 0: none */
    bool leases_may_expire;      /* of workers */
  } rows[] = {
      {"in turn, back in four seconds", 100, 4, 1, {0}, 0, false},
      {"in turn, back at once", 101, 0.2, 1, {0}, 0, false},
      {"in turn, down for longer than a member's lease", 102, 10.5, 1, {0}, 0, false},
      {"two at once", 103, 4, 2, {0}, 0, false},
      {"with short outages", 104, 4, 1, {10, 45, 80}, 9, false},
      {"with short outages, other seed: machines of a crashed controller", 10104, 4, 1, {10, 45, 80}, 9, false},
      {"back at once, with short outages", 105, 0.3, 1, {11, 47, 83}, 9, false},
      {"two at once, with long outages", 106, 4, 2, {9, 44, 82}, 25, true},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    start_long_jobs(rows[i].seed);
    unsigned done = submit_short_jobs(600, 40, 2.5);
    for (unsigned k = 0; k < 3; k++)
      if (rows[i].down_at_s[k] > 0) world_kv_down_in(rows[i].down_at_s[k], rows[i].down_s);
    for (unsigned k = 0; k < 10; k++) {
      for (unsigned n = 0; n < rows[i].at_once; n++) world_crash((k + n) % WORLD_NODES, rows[i].back_s);
      sim_run_until(sim_now() + (k < 9 ? 12 : rows[i].back_s));
    }
    check_recovery(rows[i].name, 15, LONG_TASKS, done);
    /* Running tasks were taken over, not restarted. */
    if (!rows[i].leases_may_expire) check_row(rows[i].name, world_current_result().lease_kills == 0 && restarts() == 0);
  }
}

/* All controllers are down, mostly for longer than a worker's lease: then all tasks end, workers begin a new
 * epoch, and must refuse delayed start commands. */
static void all_controllers_down(void **state) {
  (void)state;
  static const struct {
    const char *name;
    double back_s[WORLD_NODES];
    bool delayed; /* start commands to half of the machines arrive after the leases have expired */
    bool kv_down; /* the key-value store is down for most of the time */
    bool leases_expire;
  } rows[] = {
      {"for less than a lease", {7, 7, 7}, false, false, false},
      {"come back all at once", {25, 25, 25}, false, false, true},
      {"just longer than a lease", {15, 15, 15}, false, false, true},
      {"come back one after the other", {22, 34, 46}, false, false, true},
      {"the others come back long after the first", {60, 22, 60}, false, false, true},
      {"start commands delayed", {25, 25, 25}, true, false, true},
      {"start commands delayed, one after the other", {40, 20, 30}, true, false, true},
      {"the key-value store down, too", {25, 25, 25}, false, true, true},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    start_long_jobs(200 + (uint32_t)i);
    unsigned done = 0;
    if (rows[i].delayed)
      for (unsigned m = 0; m < MACHINES; m += 2)
        for (unsigned n = 0; n < WORLD_NODES; n++) world_cut_pair(n, m, 19, SIM_HELD);
    done += submit_short_jobs(600, 16, 0.1);
    sim_run_until(sim_now() + 1.6);
    if (rows[i].kv_down) world_kv_down(24);
    double crashed_at = sim_now(), last_back_s = 0;
    for (unsigned n = 0; n < WORLD_NODES; n++) {
      world_crash(n, rows[i].back_s[n]);
      last_back_s = MAX(last_back_s, rows[i].back_s[n]);
    }
    done += submit_short_jobs(700, 8, 1);
    sim_run_until(crashed_at + last_back_s);
    check_recovery(rows[i].name, 15, LONG_TASKS, done);
    check_row(rows[i].name, (world_current_result().lease_kills > 0) == rows[i].leases_expire);
    check_row(rows[i].name, rows[i].leases_expire ? restarts() >= LONG_TASKS : restarts() == 0);
  }
}

typedef struct return_row {
  const char *name;
  double gap_s, back_s[WORLD_NODES]; /* between crashes; until a controller is back, in the order of the crashes */
  unsigned times;
  /* The first controller crashes again, so long after it next writes a key with this prefix; NULL: it doesn't. */
  const char *again_prefix;
  double again_after_s, again_back_s;
  /* With one controller left of three, a worker may try the two others, for four seconds and one more
   * each, which can take longer than the rest of its lease. */
  bool leases_may_expire;
} return_row;

static const return_row k_returns[] = {
    {"back at once", 0.1, {0.05, 0.05, 0.05}, 3, NULL, 0, 0, false},
    {"back within a second", 0.4, {1, 0.3, 0.6}, 3, NULL, 0, 0, false},
    {"two at once, then the third", 0, {0.3, 1, 0.05}, 3, NULL, 0, 0, false},
    {"crash as the member key is written", 0.3, {0.2, 0.5, 1}, 2, "fc1/member/", 0, 0.1, false},
    {"crash after the member key's answer", 0.3, {0.2, 0.5, 1}, 2, "fc1/member/", 0.02, 1, false},
    {"crash as the term is written", 0.3, {0.2, 0.5, 1}, 2, "fc1/term", 0, 0.1, false},
    {"crash after the term's answer", 0.3, {0.2, 0.5, 1}, 2, "fc1/term", 0.02, 1, false},
    {"one returns alone", 0.5, {1, 50, 50}, 1, NULL, 0, 0, true},
    {"one returns alone, and crashes in its own term", 0.5, {1, 50, 50}, 1, "fc1/term", 0.01, 0.3, true},
    {"the last returns alone", 2, {50, 50, 0.5}, 1, NULL, 0, 0, true},
};

static const unsigned k_crash_orders[][WORLD_NODES] = {{0, 1, 2}, {0, 2, 1}, {1, 0, 2},
                                                       {1, 2, 0}, {2, 0, 1}, {2, 1, 0}};

/* Returns when the last controller is back. */
static double crash_in_order(const return_row *row, const unsigned *order) {
  double back_at = 0;
  for (unsigned k = 0; k < row->times; k++) {
    if (row->again_prefix) world_crash_at_write(order[0], row->again_prefix, row->again_after_s, row->again_back_s);
    for (unsigned n = 0; n < WORLD_NODES; n++) {
      world_crash(order[n], row->back_s[n]);
      back_at = MAX(back_at, sim_now() + row->back_s[n] + row->again_back_s);
      sim_run_until(sim_now() + row->gap_s);
    }
    sim_run_until(sim_now() + 1.5);
  }
  return back_at;
}

/* While a single controller is up for long, new jobs start, at the latest once it may remove the others
 * from the term, which is cancel_s - lease_s after it joined. */
static void check_one_controller_serves(const char *name, unsigned node) {
  sim_run_until(sim_now() + 8);
  world_set_users_node((int)node);
  world_submit(world_id(800), "sweep", "standard", 2, 1, 3, 0);
  sim_run_until(sim_now() + 20);
  check_row(name, world_began_at(world_id(800)) > 0);
  world_set_users_node(-1);
}

static void run_return(const return_row *row, const unsigned *order, uint32_t seed) {
  char name[100];
  g_snprintf(name, sizeof name, "%s, %u %u %u", row->name, order[0], order[1], order[2]);
  start_long_jobs(seed);
  unsigned done = submit_short_jobs(600, 16, 1);
  double back_at = crash_in_order(row, order);
  if (row->back_s[0] > 10 || row->back_s[1] > 10) {
    check_one_controller_serves(name, order[row->back_s[0] < 10 ? 0 : 2]);
    done++;
  }
  sim_run_until(MAX(back_at, sim_now()));
  check_recovery(name, 15, LONG_TASKS, done);
  if (!row->leases_may_expire) check_row(name, world_current_result().lease_kills == 0 && restarts() == 0);
}

/* All controllers crash, in every order, and return, some within a second; in some rows the first one
 * crashes again while it rejoins, or one is alone for long. */
static void leader_changes_during_return(void **state) {
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS(k_returns); i++) {
    /* Two of the orders in each row, all of them over three rows; with a salt all of them in each row. */
    size_t step = g_getenv("LEADERS_SALT") ? 1 : 3;
    for (size_t o = i % step; o < G_N_ELEMENTS(k_crash_orders); o += step) {
      run_return(&k_returns[i], k_crash_orders[o], 300 + (uint32_t)(i * G_N_ELEMENTS(k_crash_orders) + o));
    }
  }
}

typedef struct completion_row {
  const char *name;
  uint32_t seed;
  unsigned crashes; /* of one controller after the other, from number `seed` % 3 on */
  /* The first crash, after the tasks have begun, of which the first complete 6 to 9 s after that; between
   * crashes. */
  double at_s, gap_s;
  double back_s;            /* until a controller is back */
  const char *at_write;     /* not NULL: each crashes at its next write of a key with this prefix instead */
  double heartbeat_delay_s; /* of copies of the machines' heartbeats; 0: no copies */
  unsigned killed;          /* machines that fail for good, 3 s before `at_s` */
  unsigned machines;        /* in each zone */
} completion_row;

static const completion_row k_completions[] = {
    {"all in turn", 400, 3, 12, 10, 4, NULL, 0, 0, 9},
    {"all in turn, back at once", 401, 3, 8, 9, 0.2, NULL, 0, 0, 9},
    {"all at once", 402, 3, 14, 0, 3, NULL, 0, 0, 9},
    {"all in turn, again and again", 403, 9, 7, 4.7, 0.3, NULL, 0, 0, 9},
    {"one, permanently", 404, 1, 12, 0, 1e6, NULL, 0, 0, 9},
    {"another, permanently", 405, 1, 12, 0, 1e6, NULL, 0, 0, 9},
    {"the third, permanently", 406, 1, 12, 0, 1e6, NULL, 0, 0, 9},
    {"two, permanently", 407, 2, 12, 9, 1e6, NULL, 0, 0, 9},
    {"as the completion is written", 408, 3, 2, 0, 0.5, "fc1/job/", 0, 0, 9},
    {"as the completion is written, back later", 409, 3, 2, 0, 4, "fc1/job/", 0, 0, 9},
    {"and old heartbeats reach the next", 410, 3, 9, 9, 4, NULL, 5, 0, 9},
    {"all in turn, and machines fail", 411, 3, 20, 8, 4, NULL, 0, 4, 9},
    {"all at once, and machines fail", 412, 3, 24, 0, 1, NULL, 0, 6, 9},
    {"all in turn, with little capacity", 413, 3, 12, 12, 4, NULL, 0, 0, 4},
    {"again and again, with little capacity", 414, 9, 9, 5, 0.3, NULL, 0, 0, 4},
};

static const unsigned k_array_tasks[] = {2, 3, 2, 3, 2, 5};

static void start_arrays(const completion_row *row) {
  scene_begin(&(scene_setup){.seed = salted_seed(row->seed),
                             .capacity = row->machines,
                             .keep_idle = true,
                             .machines = {row->machines, row->machines}});
  /* Each task needs a whole machine, and a shard has six, or three, so that some slices are handed over. */
  for (unsigned k = 0; k < G_N_ELEMENTS(k_array_tasks); k++) {
    world_job j = {.id = world_id(k), .kind = "sweep", .tasks = k_array_tasks[k], .gpus = 4, .run_s = 8, .in_s = 6};
    j.stagger_s = 17 + k;
    world_submit_job(&j);
  }
  sim_run_until(sim_now() + 10);
}

static void crash_controllers(const completion_row *row, double first_at) {
  for (unsigned k = 0; k < row->crashes; k++) {
    unsigned n = (row->seed + k) % WORLD_NODES;
    sim_run_until(first_at + k * row->gap_s);
    for (unsigned m = 0; m < 2 * row->machines && row->heartbeat_delay_s > 0; m++)
      for (unsigned to = 0; to < WORLD_NODES; to++) world_duplicate_heartbeat(m, to, row->heartbeat_delay_s);
    if (row->at_write) {
      world_crash_at_write(n, row->at_write, 0, row->back_s);
    } else {
      world_crash(n, row->back_s);
    }
    if (row->crashes < 3) world_set_users_node((int)(n + 1) % WORLD_NODES);
  }
}

/* Checks that every array is reported done; returns the longest time from an array's last completion to its
 * report to the user. */
static double check_reported_done(const completion_row *row) {
  double longest_s = 0;
  for (unsigned k = 0; k < G_N_ELEMENTS(k_array_tasks); k++) {
    double reported_at = world_seen_done_at(world_id(k));
    check_row(row->name, reported_at > 0);
    longest_s = MAX(longest_s, reported_at - world_completed_at(world_id(k)));
  }
  return longest_s;
}

/* Arrays whose tasks complete far apart, with changes of leader in between: completed tasks do not run
 * again, and the job is reported done soon after its last task. */
static void completions_across_leader_changes(void **state) {
  (void)state;
  unsigned handed_over = 0;
  for (size_t i = 0; i < G_N_ELEMENTS(k_completions); i++) {
    const completion_row *row = &k_completions[i];
    start_arrays(row);
    double first_at = sim_now() + row->at_s;
    if (row->killed) {
      sim_run_until(first_at - 3);
      world_terminate_machines(0, row->killed);
    }
    crash_controllers(row, first_at);
    sim_run_until(first_at + 130);
    world_result r = world_current_result();
    for (unsigned n = 0; n < WORLD_NODES; n++) handed_over += (unsigned)world_counters(n).handed_over;
    double longest_s = check_reported_done(row);
    print_message("%s: %u starts, %u lease kills, done reported after %.1f s at most, %u handed over so far\n",
                  row->name, r.starts, r.lease_kills, longest_s, handed_over);
    check_rules(row->name);
    /* No lease expires unless its worker has tried each controller just while that was down. */
    unsigned unavoidable = r.unavoidable_lease_kills;
    check_row(row->name, r.lease_kills == unavoidable && r.starts_after_done <= unavoidable);
    check_row(row->name, r.finished == G_N_ELEMENTS(k_array_tasks));
    /* A worker may first try a controller that has crashed, and users poll every 4 to 6 s. */
    check_row(row->name, longest_s < 20);
    for (unsigned k = 0; k < G_N_ELEMENTS(k_array_tasks); k++)
      check_row(row->name, row->killed + unavoidable > 0 || world_starts_of(world_id(k)) == k_array_tasks[k]);
    check_row(row->name, r.starts <= 17 + row->killed + unavoidable);
  }
  assert_true(handed_over > 0);
}

typedef enum {
  HUNG,
  OUTBOUND_CUT,
  INBOUND_CUT,
  /* Between the machines and the controller that crashes: messages wait, or connections are reset. */
  CRASHED_HELD,
  CRASHED_RESET,
  /* The same between the machines and the next controller, or between half of them and each of the others. */
  OTHER_HELD,
  OTHER_RESET,
  CONTROLLER_HELD /* all messages of the controller that crashes wait */
} reachability_fault;

typedef struct unreachable_row {
  const char *name;
  uint32_t seed;
  reachability_fault fault;
  unsigned from, to;      /* numbers of the machines; `to` is exclusive */
  double for_s;           /* duration of the fault */
  double crash_s, back_s; /* the controller's crash, after the fault began; until it is back */
  bool all;               /* all controllers crash, one second apart */
  bool tasks_kept;        /* some controller can always answer the machines: no task is lost */
} unreachable_row;

static const unreachable_row k_unreachable[] = {
    {"hung, for less than a lease", 500, HUNG, 0, 4, 10, 2, 4, false, false},
    {"hung, for longer", 501, HUNG, 0, 4, 25, 2, 4, false, false},
    {"hung, all controllers crash", 502, HUNG, 2, 6, 12, 1, 2, true, false},
    {"one hung, its owner back at once", 503, HUNG, 1, 2, 13, 5, 0.2, false, false},
    {"outbound cut, for less than a lease", 504, OUTBOUND_CUT, 0, 4, 9, 1, 4, false, false},
    {"outbound cut, for longer", 505, OUTBOUND_CUT, 4, 8, 30, 4, 4, false, false},
    {"inbound cut, for less than a lease", 506, INBOUND_CUT, 0, 4, 9, 1, 4, false, false},
    {"inbound cut, for longer", 507, INBOUND_CUT, 5, 9, 30, 5, 11, false, false},
    {"inbound cut, all controllers crash", 508, INBOUND_CUT, 0, 3, 11, 1, 1, true, false},
    {"cut from the crashed controller, held", 509, CRASHED_HELD, 0, 6, 20, 3, 4, false, true},
    {"cut from the crashed controller, reset", 510, CRASHED_RESET, 6, 12, 40, 3, 0.3, false, true},
    {"cut from the next controller, held", 511, OTHER_HELD, 0, 5, 12, 1, 40, false, true},
    {"half cut from each of the others, reset", 512, OTHER_RESET, 0, 5, 60, 1, 40, false, true},
    {"half cut from each of the others, back sooner", 513, OTHER_RESET, 0, 12, 60, 1, 12, false, true},
    {"half cut from each of the others, reset, other seed", 52912, OTHER_RESET, 0, 5, 60, 1, 40, false, true},
    {"the crashed controller is cut off when it is back", 514, CONTROLLER_HELD, 0, 0, 30, 1, 2, false, true},
    {"half cut from each of the others, back sooner, other seed", 12913, OTHER_RESET, 0, 12, 60, 1, 12, false, true},
};

static void apply_fault(const unreachable_row *row, unsigned node) {
  unsigned from = row->from, to = row->to;
  double for_s = row->for_s;
  if (row->fault == HUNG) world_hang_machines(from, to, for_s);
  if (row->fault == OUTBOUND_CUT) world_cut_outbound(from, to, for_s);
  if (row->fault == INBOUND_CUT) world_cut_inbound(from, to, for_s);
  if (row->fault == CONTROLLER_HELD) world_cut_node(node, for_s, SIM_HELD);
  for (unsigned m = from; m < to; m++) {
    if (row->fault == CRASHED_HELD) world_cut_pair(node, m, for_s, SIM_HELD);
    if (row->fault == CRASHED_RESET) world_cut_pair(node, m, for_s, SIM_RESET);
    if (row->fault == OTHER_HELD) world_cut_pair((node + 1) % WORLD_NODES, m, for_s, SIM_HELD);
    if (row->fault == OTHER_RESET) world_cut_pair((node + 1 + m % 2) % WORLD_NODES, m, for_s, SIM_RESET);
  }
}

/* A controller crashes while machines with long tasks are unreachable, for all controllers or for some of
 * them: their tasks are neither started twice nor lost. */
static void unreachable_machines_at_a_leader_change(void **state) {
  (void)state;
  const size_t all_nodes = g_getenv("LEADERS_SALT") ? WORLD_NODES : 1;
  for (size_t i = 0; i < G_N_ELEMENTS(k_unreachable) * all_nodes; i++) {
    const unreachable_row *row = &k_unreachable[i / all_nodes];
    unsigned node = (unsigned)(row->seed + i % all_nodes) % WORLD_NODES;
    char name[100];
    g_snprintf(name, sizeof name, "%s, %u", row->name, node);
    start_long_jobs(row->seed + (uint32_t)i * 100);
    unsigned done = submit_short_jobs(600, 12, 2);
    double faults_end = sim_now() + MAX(row->for_s, row->crash_s + row->back_s + (row->all ? 2 : 0));
    apply_fault(row, node);
    sim_run_until(sim_now() + row->crash_s);
    for (unsigned k = 0; k < (row->all ? 3 : 1); k++) {
      world_crash((node + k) % WORLD_NODES, row->back_s);
      sim_run_until(sim_now() + 1);
    }
    sim_run_until(MAX(faults_end, sim_now()));
    check_rules(name);
    check_recovery(name, 15, LONG_TASKS, done);
    unsigned returned = world_terminated_machines(0, MACHINES);
    print_message("%s: %u tasks restarted, %u machines returned\n", name, restarts(), returned);
    if (row->tasks_kept) check_row(name, world_current_result().lease_kills == 0 && restarts() == 0);
  }
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(ten_leader_changes_in_two_minutes), cmocka_unit_test(all_controllers_down),
      cmocka_unit_test(leader_changes_during_return), cmocka_unit_test(completions_across_leader_changes),
      cmocka_unit_test(unreachable_machines_at_a_leader_change)};
  /* Runs a single test. */
  if (g_getenv("LEADERS_ONLY")) cmocka_set_test_filter(g_getenv("LEADERS_ONLY"));
  return cmocka_run_group_tests(tests, NULL, NULL);
}
