/* Changes of leader: every controller owns a shard, and any of them may crash, return or be removed
 * from the term while tasks run that must not be started twice or lost. */
#include "check.h"

#include <stdlib.h>

#include "scene.h"

enum { MACHINES = 12, SERVICES = 4, ARRAYS = 3, GANG = 40, NEW_WORK = 500 };
enum { LONG_TASKS = SERVICES * 2 + ARRAYS * 3 + 2 };

/* LEADERS_SALT: the same scenes with other seeds. */
static uint32_t salted(uint32_t seed) {
  const char *salt = g_getenv("LEADERS_SALT");
  return seed + 10000 * (uint32_t)(salt ? atoi(salt) : 0);
}

static unsigned g_first_starts; /* of the long jobs, before any fault */

/* How many tasks of the long jobs have been started since. */
static unsigned restarts(void) {
  unsigned n = world_starts_of(world_id(GANG));
  for (unsigned k = 0; k < SERVICES; k++) n += world_starts_of(world_id(k));
  for (unsigned k = 0; k < ARRAYS; k++) n += world_starts_of(world_id(20 + k));
  return n - g_first_starts;
}

/* Twelve machines with long jobs of every kind: services, arrays and a gang; about half the capacity
 * is left. */
static void start_long_jobs(uint32_t seed) {
  scene_begin(&(scene_setup){
      .seed = salted(seed), .capacity = MACHINES / 2, .keep_idle = true, .machines = {MACHINES / 2, MACHINES / 2}});
  scene_submit_services(SERVICES, 2, 0.1);
  scene_submit(&(scene_jobs){.first = 20,
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
  g_first_starts = 0;
  g_first_starts = restarts();
  assert_int_equal(world_running(), LONG_TASKS);
}

/* Short jobs go on arriving. */
static unsigned submit_short_jobs(unsigned first, unsigned count, double every_s) {
  for (unsigned i = 0; i < count; i++)
    world_submit(world_id(first + i), "sweep", "standard", 1 + i % 3, 1, 3 + i % 5, i * every_s);
  return count;
}

static void check_rules(const char *name) {
  world_result r = world_so_far();
  if (r.broken) fail_msg("row '%s': %u rules broken, first %s", name, r.broken, r.first);
}

/* After the last fault new jobs start within `within_s`, every controller answers queries about every
 * open job again, and within 90 s all short jobs are done. */
static void check_recovery(const char *name, double within_s, unsigned running, unsigned finished) {
  double over = sim_now();
  world_submit(world_id(NEW_WORK), "sweep", "standard", 2, 1, 5, 0);
  world_submit(world_id(NEW_WORK + 1), "service", "standard", 2, 1, 1e6, 0); /* preempts nothing */
  while (sim_now() < over + within_s &&
         !(world_began(world_id(NEW_WORK)) > 0 && world_began(world_id(NEW_WORK + 1)) > 0))
    sim_run_until(sim_now() + 0.5);
  double began = MAX(world_began(world_id(NEW_WORK)), world_began(world_id(NEW_WORK + 1)));
  print_message("%s: new work after %.1f s", name, began - over);
  sim_run_until(over + 12); /* users ask every 4 to 6 s */
  unsigned unanswered = world_unanswered(over), kills = world_so_far().lease_kills;
  while (sim_now() < over + 90 && !(world_so_far().finished == finished + 1 && world_running() == running + 2))
    sim_run_until(sim_now() + 1);
  sim_run_until(sim_now() + 20); /* longer than a lease: no late expiry */
  world_result r = world_so_far();
  print_message(", %u unanswered, %u run, %u done, %u starts, %u lease kills, %u of tasks done before\n", unanswered,
                world_running(), r.finished, r.starts, r.lease_kills, r.done_starts);
  check_rules(name);
  check_row(name, world_began(world_id(NEW_WORK)) > 0 && world_began(world_id(NEW_WORK + 1)) > 0);
  check_row(name, unanswered == 0);
  check_row(name, r.lease_kills == kills); /* heartbeats are answered again */
  check_row(name, r.accepted == r.submitted);
  check_row(name, r.finished == finished + 1);
  check_row(name, world_running() == running + 2);
  for (unsigned n = 0; n < WORLD_NODES; n++) check_row(name, world_ask(n, "/api/jobs/job-000000") == 200);
}

/* Some of the changes fall into an outage of the key-value store. */
static void ten_leader_changes_in_two_minutes(void **state) {
  (void)state;
  static const struct {
    const char *name;
    uint32_t seed;
    double back_s;
    unsigned at_once;
    double out_at_s[3], out_s; /* outages of the key-value store; 0: none */
    bool due;                  /* leases of workers may have ended */
  } rows[] = {
      {"in turn, back in four seconds", 100, 4, 1, {0}, 0, false},
      {"in turn, back at once", 101, 0.2, 1, {0}, 0, false},
      {"in turn, away for longer than a member's lease", 102, 10.5, 1, {0}, 0, false},
      {"two at once", 103, 4, 2, {0}, 0, false},
      {"with short outages", 104, 4, 1, {10, 45, 80}, 9, false},
      {"with short outages, and machines kept by one that ends", 10104, 4, 1, {10, 45, 80}, 9, false},
      {"back at once, with short outages", 105, 0.3, 1, {11, 47, 83}, 9, false},
      {"two at once, with long outages", 106, 4, 2, {9, 44, 82}, 25, true},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    start_long_jobs(rows[i].seed);
    unsigned done = submit_short_jobs(600, 40, 2.5);
    for (unsigned k = 0; k < 3; k++)
      if (rows[i].out_at_s[k] > 0) world_kv_down_in(rows[i].out_at_s[k], rows[i].out_s);
    for (unsigned k = 0; k < 10; k++) {
      for (unsigned n = 0; n < rows[i].at_once; n++) world_crash((k + n) % WORLD_NODES, rows[i].back_s);
      sim_run_until(sim_now() + (k < 9 ? 12 : rows[i].back_s));
    }
    check_recovery(rows[i].name, 15, LONG_TASKS, done);
    /* Running tasks were found, not restarted. */
    if (!rows[i].due) check_row(rows[i].name, world_so_far().lease_kills == 0 && restarts() == 0);
  }
}

/* All controllers are down for longer than a worker's lease: all tasks end, workers begin a new epoch,
 * and delayed starts must be refused. */
static void all_controllers_down(void **state) {
  (void)state;
  static const struct {
    const char *name;
    double back_s[WORLD_NODES];
    bool held;        /* commands to half of the machines are delayed beyond the leases */
    bool kv_set_down; /* the key-value store is down for most of it */
    bool ends;        /* leases end */
  } rows[] = {
      {"for less than a lease", {7, 7, 7}, false, false, false},
      {"and come back at once", {25, 25, 25}, false, false, true},
      {"just beyond it", {15, 15, 15}, false, false, true},
      {"one after the other", {22, 34, 46}, false, false, true},
      {"the others long after the first", {60, 22, 60}, false, false, true},
      {"starts held up meanwhile", {25, 25, 25}, true, false, true},
      {"starts held up, one after the other", {40, 20, 30}, true, false, true},
      {"the key-value store too", {25, 25, 25}, false, true, true},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    start_long_jobs(200 + (uint32_t)i);
    unsigned done = 0;
    if (rows[i].held)
      for (unsigned m = 0; m < MACHINES; m += 2)
        for (unsigned n = 0; n < WORLD_NODES; n++) world_cut_pair(n, m, 19, SIM_HELD);
    done += submit_short_jobs(600, 16, 0.1);
    sim_run_until(sim_now() + 1.6);
    if (rows[i].kv_set_down) world_kv_down(24);
    double away = sim_now(), last = 0;
    for (unsigned n = 0; n < WORLD_NODES; n++) {
      world_crash(n, rows[i].back_s[n]);
      last = MAX(last, rows[i].back_s[n]);
    }
    done += submit_short_jobs(700, 8, 1);
    sim_run_until(away + last);
    check_recovery(rows[i].name, 15, LONG_TASKS, done);
    check_row(rows[i].name, (world_so_far().lease_kills > 0) == rows[i].ends);
    check_row(rows[i].name, rows[i].ends ? restarts() >= LONG_TASKS : restarts() == 0);
  }
}

typedef struct return_row {
  const char *name;
  double gap_s, back_s[WORLD_NODES]; /* in the order in which they end */
  unsigned times;
  const char *again_at; /* the first crashes again right after it next wrote this key */
  double again_after_s, again_back_s;
  /* With a single one left of three a worker may try the two others for longer than its
   * lease has left: four seconds, and one more, each. */
  bool ends;
} return_row;

static const return_row k_returns[] = {
    {"back at once", 0.1, {0.05, 0.05, 0.05}, 3, NULL, 0, 0, false},
    {"back within a second", 0.4, {1, 0.3, 0.6}, 3, NULL, 0, 0, false},
    {"two at once, then the third", 0, {0.3, 1, 0.05}, 3, NULL, 0, 0, false},
    {"right after the member's key", 0.3, {0.2, 0.5, 1}, 2, "fc1/member/", 0, 0.1, false},
    {"its key's answer has come", 0.3, {0.2, 0.5, 1}, 2, "fc1/member/", 0.02, 1, false},
    {"right after the term", 0.3, {0.2, 0.5, 1}, 2, "fc1/term", 0, 0.1, false},
    {"the term's answer has come", 0.3, {0.2, 0.5, 1}, 2, "fc1/term", 0.02, 1, false},
    {"one returns alone", 0.5, {1, 50, 50}, 1, NULL, 0, 0, true},
    {"one returns alone, and ends in its term", 0.5, {1, 50, 50}, 1, "fc1/term", 0.01, 0.3, true},
    {"the last returns alone", 2, {50, 50, 0.5}, 1, NULL, 0, 0, true},
};

static const unsigned k_crash_orders[][WORLD_NODES] = {{0, 1, 2}, {0, 2, 1}, {1, 0, 2},
                                                       {1, 2, 0}, {2, 0, 1}, {2, 1, 0}};

/* Returns when the last controller is back. */
static double crash_in_order(const return_row *row, const unsigned *order) {
  double back_at = 0;
  for (unsigned k = 0; k < row->times; k++) {
    if (row->again_at) world_crash_at_write(order[0], row->again_at, row->again_after_s, row->again_back_s);
    for (unsigned n = 0; n < WORLD_NODES; n++) {
      world_crash(order[n], row->back_s[n]);
      back_at = MAX(back_at, sim_now() + row->back_s[n] + row->again_back_s);
      sim_run_until(sim_now() + row->gap_s);
    }
    sim_run_until(sim_now() + 1.5);
  }
  return back_at;
}

/* A single controller for long: new jobs start meanwhile, at the latest once it may remove the others
 * from the term, which is cancel_s - lease_s after its entry. */
static void check_one_controller_serves(const char *name, unsigned node) {
  sim_run_until(sim_now() + 8);
  world_users_to((int)node);
  world_submit(world_id(800), "sweep", "standard", 2, 1, 3, 0);
  sim_run_until(sim_now() + 20);
  check_row(name, world_began(world_id(800)) > 0);
  world_users_to(-1);
}

static void play_return(const return_row *row, const unsigned *order, uint32_t seed) {
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
  if (!row->ends) check_row(name, world_so_far().lease_kills == 0 && restarts() == 0);
}

/* All controllers crash, in every order, and one returns, also within a second, and crashes again
 * while it rejoins. */
static void leader_changes_during_return(void **state) {
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS(k_returns); i++) {
    /* Two orders a row, each in every third row; with a salt all of them. */
    size_t step = g_getenv("LEADERS_SALT") ? 1 : 3;
    for (size_t o = i % step; o < G_N_ELEMENTS(k_crash_orders); o += step) {
      play_return(&k_returns[i], k_crash_orders[o], 300 + (uint32_t)(i * G_N_ELEMENTS(k_crash_orders) + o));
    }
  }
}

typedef struct completion_row {
  const char *name;
  uint32_t seed;
  unsigned ends;      /* controllers, one after the other, from the one that the seed says */
  double at_s, gap_s; /* after the tasks have begun; the first ones end 6 to 9 s after that */
  double back_s;
  const char *at_write; /* or each at its next write of that, from then on */
  double old_reports_s; /* delay of copies of the machines' heartbeats; 0: no copies */
  unsigned die;         /* so many machines die once the first tasks are done */
  unsigned room;        /* whole machines in each zone */
} completion_row;

static const completion_row k_completions[] = {
    {"all in turn", 400, 3, 12, 10, 4, NULL, 0, 0, 9},
    {"all in turn, at once back", 401, 3, 8, 9, 0.2, NULL, 0, 0, 9},
    {"all at once", 402, 3, 14, 0, 3, NULL, 0, 0, 9},
    {"all in turn, again and again", 403, 9, 7, 4.7, 0.3, NULL, 0, 0, 9},
    {"one, for good", 404, 1, 12, 0, 1e6, NULL, 0, 0, 9},
    {"another, for good", 405, 1, 12, 0, 1e6, NULL, 0, 0, 9},
    {"the third, for good", 406, 1, 12, 0, 1e6, NULL, 0, 0, 9},
    {"two, for good", 407, 2, 12, 9, 1e6, NULL, 0, 0, 9},
    {"just as the end is written", 408, 3, 2, 0, 0.5, "fc1/job/", 0, 0, 9},
    {"just as the end is written, back later", 409, 3, 2, 0, 4, "fc1/job/", 0, 0, 9},
    {"and old reports come to the next", 410, 3, 9, 9, 4, NULL, 5, 0, 9},
    {"and machines die, in turn", 411, 3, 20, 8, 4, NULL, 0, 4, 9},
    {"and machines die, all at once", 412, 3, 24, 0, 1, NULL, 0, 6, 9},
    {"half done where there is no room", 413, 3, 12, 12, 4, NULL, 0, 0, 4},
    {"half done where there is no room, at once back", 414, 9, 9, 5, 0.3, NULL, 0, 0, 4},
};

static const unsigned k_array_tasks[] = {2, 3, 2, 3, 2, 5};

static void start_arrays(const completion_row *row) {
  scene_begin(&(scene_setup){
      .seed = salted(row->seed), .capacity = row->room, .keep_idle = true, .machines = {row->room, row->room}});
  /* Tasks take a whole machine: a shard has six, or three, so that some slices are handed over. */
  for (unsigned k = 0; k < G_N_ELEMENTS(k_array_tasks); k++) {
    world_job j = {.id = world_id(k), .kind = "sweep", .tasks = k_array_tasks[k], .gpus = 4, .run_s = 8, .in_s = 6};
    j.later_s = 17 + k;
    world_submit_job(&j);
  }
  sim_run_until(sim_now() + 10);
}

static void crash_controllers(const completion_row *row, double end_at) {
  for (unsigned k = 0; k < row->ends; k++) {
    unsigned n = (row->seed + k) % WORLD_NODES;
    sim_run_until(end_at + k * row->gap_s);
    for (unsigned m = 0; m < 2 * row->room && row->old_reports_s > 0; m++)
      for (unsigned to = 0; to < WORLD_NODES; to++) world_duplicate_heartbeat(m, to, row->old_reports_s);
    if (row->at_write) {
      world_crash_at_write(n, row->at_write, 0, row->back_s);
    } else {
      world_crash(n, row->back_s);
    }
    if (row->ends < 3) world_users_to((int)(n + 1) % WORLD_NODES);
  }
}

/* Returns the longest time from the last completion of an array to its report to the user. */
static double check_reported_done(const completion_row *row) {
  double longest_s = 0;
  for (unsigned k = 0; k < G_N_ELEMENTS(k_array_tasks); k++) {
    double told = world_seen_done_at(world_id(k));
    check_row(row->name, told > 0);
    longest_s = MAX(longest_s, told - world_ended_at(world_id(k)));
  }
  return longest_s;
}

/* Arrays whose tasks complete far apart, with changes of leader in between: completed tasks do not run
 * again, and the job is reported done after its last task. */
static void completions_across_leader_changes(void **state) {
  (void)state;
  unsigned handed = 0;
  for (size_t i = 0; i < G_N_ELEMENTS(k_completions); i++) {
    const completion_row *row = &k_completions[i];
    start_arrays(row);
    double end_at = sim_now() + row->at_s;
    if (row->die) {
      sim_run_until(end_at - 3);
      world_kill(0, row->die);
    }
    crash_controllers(row, end_at);
    sim_run_until(end_at + 130);
    world_result r = world_so_far();
    for (unsigned n = 0; n < WORLD_NODES; n++) handed += (unsigned)world_counts(n).handed_over;
    double last = check_reported_done(row);
    print_message("%s: %u starts, %u lease kills, told %.1f s after the end at most, %u handed over so far\n",
                  row->name, r.starts, r.lease_kills, last, handed);
    check_rules(row->name);
    /* No lease ends: one controller at least can be reached within it. */
    check_row(row->name, r.lease_kills == 0 && r.done_starts == 0);
    check_row(row->name, r.finished == G_N_ELEMENTS(k_array_tasks));
    /* A worker may first try one that has ended, and its user asks every 4 to 6 s. */
    check_row(row->name, last < 20);
    for (unsigned k = 0; k < G_N_ELEMENTS(k_array_tasks); k++)
      check_row(row->name, row->die > 0 || world_starts_of(world_id(k)) == k_array_tasks[k]);
    check_row(row->name, r.starts <= 17 + row->die);
  }
  assert_true(handed > 0);
}

typedef enum {
  HUNG,
  OUTBOUND_CUT,
  INBOUND_CUT,
  PAIR_HELD,
  PAIR_RESET,
  NEXT_HELD,
  NEXT_RESET,
  NODE_HELD
} reachability_fault;

typedef struct unreachable_row {
  const char *name;
  uint32_t seed;
  reachability_fault fault;
  unsigned from, to;            /* machines */
  double for_s, ends_s, back_s; /* the fault; the crash of the controller, from its begin on */
  bool all;                     /* controllers end, one second apart */
  bool kept;                    /* some controller can always answer the machines: no task is lost */
} unreachable_row;

static const unreachable_row k_unreachable[] = {
    {"hung, for less than a lease", 500, HUNG, 0, 4, 10, 2, 4, false, false},
    {"hung, for longer", 501, HUNG, 0, 4, 25, 2, 4, false, false},
    {"hung, all controllers end", 502, HUNG, 2, 6, 12, 1, 2, true, false},
    {"one hung, its owner back at once", 503, HUNG, 1, 2, 13, 5, 0.2, false, false},
    {"outbound cut, for less than a lease", 504, OUTBOUND_CUT, 0, 4, 9, 1, 4, false, false},
    {"outbound cut, for longer", 505, OUTBOUND_CUT, 4, 8, 30, 4, 4, false, false},
    {"inbound cut, for less than a lease", 506, INBOUND_CUT, 0, 4, 9, 1, 4, false, false},
    {"inbound cut, for longer", 507, INBOUND_CUT, 5, 9, 30, 5, 11, false, false},
    {"inbound cut, all controllers end", 508, INBOUND_CUT, 0, 3, 11, 1, 1, true, false},
    {"cut from its owner, held", 509, PAIR_HELD, 0, 6, 20, 3, 4, false, true},
    {"cut from its owner, reset", 510, PAIR_RESET, 6, 12, 40, 3, 0.3, false, true},
    {"cut from the others, held", 511, NEXT_HELD, 0, 5, 12, 1, 40, false, true},
    {"cut from the others, reset", 512, NEXT_RESET, 0, 5, 60, 1, 40, false, true},
    {"cut from one of the others, for good", 513, NEXT_RESET, 0, 12, 60, 1, 12, false, true},
    {"cut from the others, reset, another place", 52912, NEXT_RESET, 0, 5, 60, 1, 40, false, true},
    {"the one that ended is cut off when it is back", 514, NODE_HELD, 0, 0, 30, 1, 2, false, true},
    {"cut from one of the others, for good, another place", 12913, NEXT_RESET, 0, 12, 60, 1, 12, false, true},
};

static void apply_fault(const unreachable_row *row, unsigned node) {
  unsigned from = row->from, to = row->to;
  double for_s = row->for_s;
  if (row->fault == HUNG) world_hang(from, to, for_s);
  if (row->fault == OUTBOUND_CUT) world_cut_outbound(from, to, for_s);
  if (row->fault == INBOUND_CUT) world_cut_inbound(from, to, for_s);
  if (row->fault == NODE_HELD) world_cut_node(node, for_s, SIM_HELD);
  for (unsigned m = from; m < to; m++) {
    if (row->fault == PAIR_HELD) world_cut_pair(node, m, for_s, SIM_HELD);
    if (row->fault == PAIR_RESET) world_cut_pair(node, m, for_s, SIM_RESET);
    if (row->fault == NEXT_HELD) world_cut_pair((node + 1) % WORLD_NODES, m, for_s, SIM_HELD);
    if (row->fault == NEXT_RESET) world_cut_pair((node + 1 + m % 2) % WORLD_NODES, m, for_s, SIM_RESET);
  }
}

/* A controller crashes while machines with long tasks are unreachable, or receive nothing from its
 * successor: their tasks are neither started twice nor lost. */
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
    double over = sim_now() + MAX(row->for_s, row->ends_s + row->back_s + (row->all ? 2 : 0));
    apply_fault(row, node);
    sim_run_until(sim_now() + row->ends_s);
    for (unsigned k = 0; k < (row->all ? 3 : 1); k++) {
      world_crash((node + k) % WORLD_NODES, row->back_s);
      sim_run_until(sim_now() + 1);
    }
    sim_run_until(MAX(over, sim_now()));
    check_rules(name);
    check_recovery(name, 15, LONG_TASKS, done);
    unsigned gone = world_terminated_machines(0, MACHINES);
    print_message("%s: %u started again, %u returned\n", name, restarts(), gone);
    if (row->kept) check_row(name, world_so_far().lease_kills == 0 && restarts() == 0);
  }
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(ten_leader_changes_in_two_minutes), cmocka_unit_test(all_controllers_down),
      cmocka_unit_test(leader_changes_during_return), cmocka_unit_test(completions_across_leader_changes),
      cmocka_unit_test(unreachable_machines_at_a_leader_change)};
  if (g_getenv("LEADERS_ONLY")) cmocka_set_test_filter(g_getenv("LEADERS_ONLY"));
  return cmocka_run_group_tests(tests, NULL, NULL);
}
