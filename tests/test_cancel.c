/* Tasks of cancelled jobs end within the cancellation deadline, whichever controller acknowledged the
 * cancellation and whatever fails at that time. */
#include "check.h"

#include <stdlib.h>

#include "scene.h"

/* Six machines in each zone, and services of two tasks each. */
static void start_services(uint32_t seed, unsigned jobs) {
  scene_begin(&(scene_setup){.seed = seed, .keep_idle = true, .images_cached = true, .machines = {6, 6}});
  scene_submit_services(jobs, 2, 0);
  sim_run_until(sim_now() + 30);
  assert_int_equal(world_running_tasks(), jobs * 2);
}

typedef struct outage_row {
  const char *name;
  /* Seconds from a common start: when the key-value store begins to refuse one controller, when users
   * cancel, and when the store goes down. */
  double refused_at, cancel_at, down_at;
  /* Which controller acknowledges the cancellations. */
  enum {
    WRITER,     /* the one that writes them */
    FROM_CACHE, /* the writer, then another from its cache */
    RESTARTED,  /* the writer, and once more after a restart */
    CRASHED,    /* the writer, which crashes right after */
  } by;
  bool watches_silent;  /* no controller's watch is answered for 3 s from the cancellation on */
  bool peers_connected; /* the refused controller is connected to its peers */
  bool forwarded;       /* acknowledged cancellations can reach every controller */
} outage_row;

static const outage_row k_outages[] = {
    {"refused a second before", -1.0, 0, 0.3, WRITER, false, true, true},
    {"refused just before", -0.02, 0, 0.1, WRITER, false, true, true},
    {"refused just after", 0.02, 0, 0.1, WRITER, false, true, true},
    {"down while the answer is in transit", -1.0, 0, 0.01, WRITER, false, true, true},
    {"refused long before", -9.0, 0, 1.0, WRITER, false, true, true},
    {"no watch is answered, not even the writer's", -1.0, 0, 1.5, WRITER, true, true, true},
    {"another acknowledges it from its cache", -1.0, 0, 0.7, FROM_CACHE, false, true, true},
    {"refused long before, another acknowledges it", -9.0, 0, 2.0, FROM_CACHE, false, true, true},
    {"the writer acknowledges it again after a restart", -9.0, -6.0, 2.0, RESTARTED, false, true, true},
    {"the writer crashes before it forwards it", -1.0, 0, 0.02, CRASHED, true, true, false},
    {"the refused controller is cut off from its peers", -1.0, 0, 0.3, WRITER, false, false, false},
};

enum { OUTAGE_JOBS = 8, OUTAGE_CANCELLED = 4, REFUSED_S = 14, DOWN_S = 54 };

static void cancel_through(unsigned node) {
  for (unsigned k = 0; k < OUTAGE_CANCELLED; k++) world_cancel(world_id(k), (int)node, 0);
}

/* Users cancel through `writer`, and through `other` too if it is to acknowledge from its cache. */
static void cancel_with_faults(const outage_row *row, double start, unsigned writer, unsigned other) {
  cancel_through(writer);
  if (row->by == FROM_CACHE) {
    sim_run_until(start + 0.5);
    cancel_through(other);
  } else if (row->by == RESTARTED) {
    /* The restarted controller knows the cancellation only from its first read of the key-value store. */
    sim_run_until(start + row->cancel_at + 0.006);
    world_crash(writer, 0.3);
    sim_run_until(start + 1.5);
    cancel_through(writer);
  } else if (row->by == CRASHED) {
    while (!world_seen_cancelled_at(world_id(0)) && sim_now() < start + 3) sim_run_until(sim_now() + 0.0005);
    check_row(row->name, world_seen_cancelled_at(world_id(0)) > 0);
    world_crash(writer, 0.3);
  }
}

static void check_outage(const outage_row *row, double start, unsigned refused) {
  bool acknowledged[OUTAGE_CANCELLED];
  unsigned acknowledged_count = 0, still_running = 0;
  for (unsigned k = 0; k < OUTAGE_CANCELLED; k++)
    acknowledged_count += acknowledged[k] = world_seen_cancelled_at(world_id(k)) > 0;
  sim_run_until(start + 8);
  for (unsigned k = 0; k < OUTAGE_CANCELLED; k++) still_running += acknowledged[k] ? world_tasks_of(world_id(k)) : 0;
  sim_run_until(start + 100);
  world_result r = world_current_result();
  print_message("%s, refused %u: %u of %u acknowledged, %u of their tasks run after 8 s, %u tasks ended by a lease\n",
                row->name, refused, acknowledged_count, (unsigned)OUTAGE_CANCELLED, still_running, r.lease_kills);
  if (r.broken) fail_msg("%s, refused %u: %s", row->name, refused, r.first);
  check_row(row->name, r.cancelled == OUTAGE_CANCELLED);
  check_row(row->name, acknowledged_count > 0 || row->down_at < 0.02);
  check_row(row->name, world_running_tasks() == (OUTAGE_JOBS - OUTAGE_CANCELLED) * 2);
  if (!row->forwarded) return;
  /* Acknowledged cancellations were forwarded: their tasks end at once, and no task by a lease. */
  check_row(row->name, still_running == 0);
  check_row(row->name, r.lease_kills == 0);
}

static void run_outage(const outage_row *row, uint32_t seed, unsigned refused) {
  start_services(seed, OUTAGE_JOBS);
  unsigned writer = (refused + 1) % WORLD_NODES, other = (refused + 2) % WORLD_NODES;
  double start = sim_now() + 10;
  bool refused_first = row->refused_at <= row->cancel_at;
  sim_run_until(start + MIN(row->refused_at, row->cancel_at));
  if (refused_first) world_kv_refuse_node(refused, REFUSED_S);
  if (!row->peers_connected) world_cut_node_peers(refused, 80);
  sim_run_until(start + row->cancel_at);
  if (row->watches_silent) world_kv_stall_watches(world_id(0), 3);
  cancel_with_faults(row, start, writer, other);
  if (!refused_first) {
    sim_run_until(start + row->refused_at);
    world_kv_refuse_node(refused, REFUSED_S);
  }
  sim_run_until(MAX(sim_now(), start + row->down_at));
  world_kv_down(DOWN_S);
  check_outage(row, start, refused);
}

/* The key-value store refuses one controller, another acknowledges cancellations, then the store is
 * down for longer than a cancellation may take. The tasks of the cancelled jobs, and no others, must
 * end in time. */
static void cancellation_before_a_kv_store_outage(void **state) {
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS(k_outages); i++)
    for (unsigned refused = 0; refused < WORLD_NODES; refused++)
      run_outage(&k_outages[i], 10 * (uint32_t)i + refused, refused);
}

/* Messages between a controller and its workers are delayed while other controllers renew the workers'
 * leases. Jobs are cancelled meanwhile, and delayed start commands arrive after the cancellation deadline. */
static void commands_delayed_past_a_cancellation(void **state) {
  (void)state;
  static const struct {
    const char *name;
    double cancel_s, for_s; /* when jobs are cancelled, after the delay began; duration of the delay */
  } rows[] = {
      {"for seconds", 2, 6},
      {"for less than a lease", 2, 12},
      {"for more than a lease", 2, 20},
      {"until just after the cancellation deadline", 2, 36.5},
      {"for longer", 2, 45},
      {"for much longer", 2, 70},
      {"cancelled late", 20, 45},
      {"cancelled just before the end", 40, 45},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    for (unsigned node = 0; node < WORLD_NODES; node++) {
      start_services(100 + 10 * (uint32_t)i + node, 6);
      unsigned delayed_jobs = 6;
      world_cut_node_workers(node, rows[i].for_s, SIM_HELD);
      for (unsigned k = 6; k < 6 + delayed_jobs; k++) world_submit(world_id(k), "sweep", "standard", 2, 1, 1e6, 0);
      sim_run_until(sim_now() + rows[i].cancel_s);
      /* Jobs 3 to 5 already run, on machines whose leases other controllers renew. */
      for (unsigned k = 3; k < 6 + delayed_jobs; k++) world_cancel(world_id(k), -1, 0);
      /* Those controllers stop them, long before a machine would have to be returned. */
      sim_run_until(sim_now() + 20);
      for (unsigned k = 3; k < 6; k++) check_row(rows[i].name, world_tasks_of(world_id(k)) == 0);
      sim_run_until(sim_now() + rows[i].for_s + 40);
      world_result r = world_current_result();
      print_message("%s, controller %u: %u cancelled, %u started after that, %u ended by a lease\n", rows[i].name, node,
                    r.cancelled, r.late_starts, r.lease_kills);
      if (r.broken) fail_msg("%s, controller %u: %s", rows[i].name, node, r.first);
      check_row(rows[i].name, r.cancelled == delayed_jobs + 3);
      check_row(rows[i].name, world_running_tasks() == 6);
    }
  }
}

/* A controller is cut off from the workers while start commands are on their way to them; other controllers renew
 * the workers' leases, and the cloud returns no machine. */
typedef struct held_start_row {
  const char *name;
  double link_s;                /* duration of the cut */
  double cancel_s;              /* when the jobs are cancelled, after the cut began */
  double cloud_from_s, cloud_s; /* when the cloud's outage begins, after the cut; its duration */
  bool kv_down;                 /* from the cancellation to the end of the cut, for all controllers */
  bool peers_cut;               /* the controller is cut off from its peers as well */
  bool crash;                   /* it is killed at the cancellation */
  bool paused;                  /* it is suspended for a while from the cancellation on */
} held_start_row;

static const held_start_row k_held_starts[] = {
    {"an outage of the cloud about the deadline", 38, 2, 24, 20, false, false, false, false},
    {"an outage of the cloud from before the cut on", 38, 2, 0, 60, false, false, false, false},
    {"an outage of the cloud for minutes", 70, 2, 0, 150, false, false, false, false},
    {"cancelled late", 60, 20, 15, 60, false, false, false, false},
    {"cut off from its peers as well", 38, 2, 0, 60, false, true, false, false},
    {"the key-value store is down as well", 38, 2, 0, 60, true, false, false, false},
    {"the controller is killed", 38, 2, 0, 60, false, false, true, false},
    {"the controller is suspended", 38, 2, 0, 60, false, false, false, true},
};

enum { HELD_JOBS = 6, HELD_SEEDS = 3, PAUSED_S = 12 };
#define START_IN_FLIGHT_S 0.1 /* from a submission to the transit of its start commands */

static void run_held_starts(const held_start_row *row, uint32_t seed, unsigned node) {
  start_services(seed, 6);
  if (row->cloud_from_s <= 0) world_cloud_down(true);
  for (unsigned k = 6; k < 6 + HELD_JOBS; k++) world_submit(world_id(k), "sweep", "standard", 2, 1, 1e6, 0);
  sim_run_until(sim_now() + START_IN_FLIGHT_S);
  world_cut_node_workers(node, row->link_s, SIM_HELD);
  if (row->peers_cut) world_cut_node_peers(node, row->link_s);
  double began = sim_now();
  sim_run_until(began + row->cancel_s);
  for (unsigned k = 6; k < 6 + HELD_JOBS; k++) world_cancel(world_id(k), (int)(node + 1) % WORLD_NODES, 0);
  sim_run_until(began + row->cancel_s + 0.5);
  if (row->kv_down) world_kv_down(row->link_s);
  if (row->crash) world_crash(node, 4);
  if (row->paused) world_pause_node(node, PAUSED_S);
  sim_run_until(began + row->cloud_from_s);
  world_cloud_down(true);
  sim_run_until(began + row->cloud_from_s + row->cloud_s);
  world_cloud_down(false);
  sim_run_until(began + row->link_s + row->cloud_s + 60);
}

/* Failure guarded against: a start that was held up in an interrupted link was executed after the
 * cancellation deadline, as only the machine's return to the cloud ruled it out (review case 1). */
static void starts_held_up_during_a_cloud_outage(void **state) {
  (void)state;
  unsigned broken = 0;
  for (size_t i = 0; i < G_N_ELEMENTS(k_held_starts); i++) {
    const held_start_row *row = &k_held_starts[i];
    for (uint32_t seed = 0; seed < HELD_SEEDS; seed++) {
      unsigned node = seed % WORLD_NODES;
      run_held_starts(row, 700 + 10 * (uint32_t)i + seed, node);
      world_result r = world_current_result();
      print_message("%s, controller %u: %u cancelled, %u started after that, %u ended by a lease, %u returned\n",
                    row->name, node, r.cancelled, r.late_starts, r.lease_kills,
                    world_terminated_machines(0, world_machine_count()));
      if (r.broken) print_message("%s, controller %u: %s\n", row->name, node, r.first);
      broken += r.broken > 0;
      check_row(row->name, r.cancelled == HELD_JOBS);
      check_row(row->name, world_running_tasks() == 12); /* the services run, and nothing else */
    }
  }
  if (broken > 0) fail_msg("%u of %zu plays broke a rule", broken, G_N_ELEMENTS(k_held_starts) * HELD_SEEDS);
}

typedef struct unreachable_row {
  const char *name;
  enum { HUNG, OUTBOUND_CUT, INBOUND_CUT } fault;
  unsigned count;         /* of machines */
  double before_s, for_s; /* of the fault: how long it begins before the cancellation; duration */
  bool kv_down, crash;    /* after both: the key-value store goes down; a controller crashes */
} unreachable_row;

static const unreachable_row k_unreachable[] = {
    {"one hangs for seconds", HUNG, 1, 0.1, 3, false, false},
    {"one hangs for most of a lease", HUNG, 1, 0.1, 13, false, false},
    {"one hangs for most of a lease, from just after", HUNG, 1, -0.1, 13, false, false},
    {"one hangs for long", HUNG, 1, 1, 40, false, false},
    {"eight hang for most of a lease", HUNG, 8, 0.1, 13, false, false},
    {"eight hang for long", HUNG, 8, 0.1, 36, false, false},
    {"all hang for long", HUNG, 12, 0.1, 50, false, false},
    {"all hang, and the key-value store is down", HUNG, 12, 0.1, 33, true, false},
    {"outbound messages of one are lost", OUTBOUND_CUT, 1, 3, 40, false, false},
    {"outbound messages of all are lost", OUTBOUND_CUT, 12, 3, 40, false, false},
    {"outbound messages of all are lost, and a controller crashes", OUTBOUND_CUT, 12, 3, 40, false, true},
    {"inbound messages of one are lost", INBOUND_CUT, 1, 3, 40, false, false},
    {"inbound messages of all are lost", INBOUND_CUT, 12, 3, 60, false, false},
    {"inbound messages of all are lost, and the key-value store is down", INBOUND_CUT, 12, 3, 60, true, false},
    {"eight hang, and a controller crashes", HUNG, 8, 0.1, 13, false, true},
};

static void apply_fault(const unreachable_row *row) {
  if (row->fault == HUNG) world_hang_machines(0, row->count, row->for_s);
  if (row->fault == OUTBOUND_CUT) world_cut_outbound(0, row->count, row->for_s);
  if (row->fault == INBOUND_CUT) world_cut_inbound(0, row->count, row->for_s);
}

static void run_unreachable(const unreachable_row *row, uint32_t row_seed, uint32_t seed) {
  start_services(row_seed + seed, 8);
  for (int step = 0; step < 2; step++) {
    if ((row->before_s > 0) == (step == 0)) {
      apply_fault(row);
    } else {
      for (unsigned k = 0; k < 5; k++) world_cancel(world_id(k), -1, 0);
    }
    if (step == 0) sim_run_until(sim_now() + MAX(row->before_s, -row->before_s));
  }
  sim_run_until(sim_now() + 1.2);
  if (row->crash) world_crash(seed, 4);
  if (row->kv_down) world_kv_down(50);
  sim_run_until(sim_now() + 130);
  world_result r = world_current_result();
  print_message("%s: %u cancelled, %u ended by a lease, %u machines returned\n", row->name, r.cancelled, r.lease_kills,
                world_terminated_machines(0, world_machine_count()));
  if (r.broken) fail_msg("%s, seed %u: %s", row->name, seed, r.first);
  check_row(row->name, r.cancelled == 5);
  for (unsigned k = 0; k < 5; k++) check_row(row->name, world_tasks_of(world_id(k)) == 0);
  /* The other jobs keep running, unless too few machines are left. */
  if (world_terminated_machines(0, world_machine_count()) < 6) check_row(row->name, world_running_tasks() == 6);
}

/* Machines of cancelled jobs hang, or their outbound or inbound messages are lost: a single machine, or
 * most of the fleet, so that the controllers suspect an outage. */
static void cancellation_on_unreachable_machines(void **state) {
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS(k_unreachable); i++)
    for (uint32_t seed = 0; seed < 3; seed++) run_unreachable(&k_unreachable[i], 300 + 10 * (uint32_t)i, seed);
}

/* Users poll the controller for six seconds; after three the key-value store goes down for down_s (0: not
 * at all). */
static void poll_jobs(unsigned node, unsigned jobs, double down_s) {
  for (unsigned poll = 0; poll < 30; poll++) {
    world_request_job_status(node, world_id(poll % jobs)); /* the simulated user checks the reply */
    sim_run_until(sim_now() + 0.2);
    if (poll == 14 && down_s > 0) world_kv_down(down_s);
  }
}

/* A controller is partitioned from the key-value store and its peers, but not from its workers and
 * users, who poll it while jobs are cancelled through the others; also with a slow key-value store. */
static void polling_a_partitioned_controller(void **state) {
  (void)state;
  static const struct {
    const char *name;
    double partitioned_s, refused_s, slow_s, down_s;
  } rows[] = {
      {"partitioned for seconds", 5, 0, 0, 0},
      {"partitioned for more than a lease", 20, 0, 0, 0},
      {"partitioned for longer than a cancellation may take", 50, 0, 0, 0},
      {"partitioned, and the key-value store is slow", 50, 0, 30, 0},
      {"the key-value store refuses it, slow for all, then down", 0, 12, 6, 45},
      {"the key-value store refuses it for long, slow for all, then down", 0, 40, 20, 40},
      {"the key-value store is only slow", 0, 0, 40, 0},
      {"partitioned, and the key-value store is down for the others", 40, 0, 0, 45},
  };
  const unsigned jobs = 8;
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    for (unsigned node = 0; node < WORLD_NODES; node++) {
      start_services(500 + 10 * (uint32_t)i + node, jobs);
      if (rows[i].partitioned_s > 0) world_partition_node(node, rows[i].partitioned_s);
      if (rows[i].refused_s > 0) world_kv_refuse_node(node, rows[i].refused_s);
      if (rows[i].slow_s > 0) world_kv_slow(rows[i].slow_s, 1.5);
      sim_run_until(sim_now() + 3);
      for (unsigned k = 0; k < 5; k++) world_cancel(world_id(k), (int)((node + 1 + k % 2) % WORLD_NODES), k * 0.3);
      poll_jobs(node, jobs, rows[i].down_s);
      sim_run_until(sim_now() + 110);
      world_result r = world_current_result();
      print_message("%s, controller %u: %u cancelled, %u ended by a lease\n", rows[i].name, node, r.cancelled,
                    r.lease_kills);
      if (r.broken) fail_msg("%s, controller %u: %s", rows[i].name, node, r.first);
      check_row(rows[i].name, r.cancelled == 5);
      check_row(rows[i].name, world_running_tasks() == (jobs - 5) * 2);
    }
  }
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(cancellation_before_a_kv_store_outage), cmocka_unit_test(commands_delayed_past_a_cancellation),
      cmocka_unit_test(starts_held_up_during_a_cloud_outage), cmocka_unit_test(cancellation_on_unreachable_machines),
      cmocka_unit_test(polling_a_partitioned_controller)};
  return cmocka_run_group_tests(tests, NULL, NULL);
}
