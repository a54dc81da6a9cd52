/* Tasks of cancelled jobs end in time, whichever controller acknowledged the cancellation and whatever
 * fails just then. */
#include "check.h"

#include <stdlib.h>

#include "scene.h"

/* Six machines in each zone and so many services of two tasks. */
static void start_services(uint32_t seed, unsigned jobs) {
  scene_begin(&(scene_setup){.seed = seed, .keep_idle = true, .images_cached = true, .machines = {6, 6}});
  scene_submit_services(jobs, 2, 0);
  sim_run_until(sim_now() + 30);
  assert_int_equal(world_running_tasks(), jobs * 2);
}

typedef struct outage_row {
  const char *name;
  double refused_at, cancel_at, down_at; /* seconds from the same moment */
  enum { WRITER, FROM_CACHE, RESTARTED, DYING } by;
  bool blind;     /* no controller reads changes from the cancellation on */
  bool linked;    /* the refused controller is connected to its peers */
  bool passed_on; /* the acknowledged cancellations can reach every controller */
} outage_row;

static const outage_row k_outages[] = {
    {"refused a second before", -1.0, 0, 0.3, WRITER, false, true, true},
    {"refused just before", -0.02, 0, 0.1, WRITER, false, true, true},
    {"refused just after", 0.02, 0, 0.1, WRITER, false, true, true},
    {"down while the answer is on its way", -1.0, 0, 0.01, WRITER, false, true, true},
    {"refused long before", -9.0, 0, 1.0, WRITER, false, true, true},
    {"nobody reads of it, the writer neither", -1.0, 0, 1.5, WRITER, true, true, true},
    {"another confirms it from its cache", -1.0, 0, 0.7, FROM_CACHE, false, true, true},
    {"refused long before, another confirms it", -9.0, 0, 2.0, FROM_CACHE, false, true, true},
    {"one that restarted confirms it", -9.0, -6.0, 2.0, RESTARTED, false, true, true},
    {"the writer ends before it passes it on", -1.0, 0, 0.02, DYING, true, true, false},
    {"no message gets through", -1.0, 0, 0.3, WRITER, false, false, false},
};

enum { OUTAGE_JOBS = 8, OUTAGE_CANCELLED = 4 };

static void cancel_through(unsigned node) {
  for (unsigned k = 0; k < OUTAGE_CANCELLED; k++) world_cancel(world_id(k), (int)node, 0);
}

/* Users cancel through `writer`, to which the row's fault happens, or another controller. */
static void play_cancellations(const outage_row *row, double zero, unsigned writer, unsigned other) {
  cancel_through(writer);
  if (row->by == FROM_CACHE) {
    sim_run_until(zero + 0.5);
    cancel_through(other);
  } else if (row->by == RESTARTED) {
    /* The new incarnation knows the cancellation only from its first read. */
    sim_run_until(zero + row->cancel_at + 0.006);
    world_crash(writer, 0.3);
    sim_run_until(zero + 1.5);
    cancel_through(writer);
  } else if (row->by == DYING) {
    while (!world_seen_cancelled_at(world_id(0)) && sim_now() < zero + 3) sim_run_until(sim_now() + 0.0005);
    check_row(row->name, world_seen_cancelled_at(world_id(0)) > 0);
    world_crash(writer, 0.3);
  }
}

static void check_outage(const outage_row *row, double zero, unsigned refused) {
  bool acknowledged[OUTAGE_CANCELLED];
  unsigned acknowledged_count = 0, soon = 0;
  for (unsigned k = 0; k < OUTAGE_CANCELLED; k++)
    acknowledged_count += acknowledged[k] = world_seen_cancelled_at(world_id(k)) > 0;
  sim_run_until(zero + 8);
  for (unsigned k = 0; k < OUTAGE_CANCELLED; k++) soon += acknowledged[k] ? world_tasks_of(world_id(k)) : 0;
  sim_run_until(zero + 100);
  world_result r = world_current_result();
  print_message("%s, refused %u: %u of %u told, %u of their tasks on after 8 s, %u tasks ended by a lease\n", row->name,
                refused, acknowledged_count, (unsigned)OUTAGE_CANCELLED, soon, r.lease_kills);
  if (r.broken) fail_msg("%s, refused %u: %s", row->name, refused, r.first);
  check_row(row->name, r.cancelled == OUTAGE_CANCELLED);
  check_row(row->name, acknowledged_count > 0 || row->down_at < 0.02);
  check_row(row->name, world_running_tasks() == (OUTAGE_JOBS - OUTAGE_CANCELLED) * 2);
  if (!row->passed_on) return;
  /* Acknowledged cancellations were passed on: their tasks end at once, no other by a lease. */
  check_row(row->name, soon == 0);
  check_row(row->name, r.lease_kills == 0);
}

static void play_outage(const outage_row *row, uint32_t seed, unsigned refused) {
  start_services(seed, OUTAGE_JOBS);
  unsigned writer = (refused + 1) % WORLD_NODES, other = (refused + 2) % WORLD_NODES;
  double zero = sim_now() + 10;
  bool early = row->refused_at <= row->cancel_at;
  sim_run_until(zero + MIN(row->refused_at, row->cancel_at));
  if (early) world_kv_refuse_node(refused, 14);
  if (!row->linked) world_cut_node_peers(refused, 80);
  sim_run_until(zero + row->cancel_at);
  if (row->blind) world_kv_stall_watches(world_id(0), 3);
  play_cancellations(row, zero, writer, other);
  if (!early) {
    sim_run_until(zero + row->refused_at);
    world_kv_refuse_node(refused, 14);
  }
  sim_run_until(MAX(sim_now(), zero + row->down_at));
  world_kv_down(54);
  check_outage(row, zero, refused);
}

/* The key-value store refuses one controller, another acknowledges cancellations, then the store is
 * down for longer than a cancellation may take. The tasks must end in time, and no others. */
static void cancellation_before_a_kv_store_outage(void **state) {
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS(k_outages); i++)
    for (unsigned refused = 0; refused < WORLD_NODES; refused++)
      play_outage(&k_outages[i], 10 * (uint32_t)i + refused, refused);
}

/* Commands between a controller and its workers are delayed while other controllers renew the leases;
 * the jobs are cancelled meanwhile, and the commands arrive after the cancellation's deadline. */
static void commands_delayed_past_a_cancellation(void **state) {
  (void)state;
  static const struct {
    const char *name;
    double cancel_s, for_s; /* after the cut begins */
  } rows[] = {
      {"for seconds", 2, 6},
      {"for less than a lease", 2, 12},
      {"for more than a lease", 2, 20},
      {"for all the time there is", 2, 36.5},
      {"for longer", 2, 45},
      {"for much longer", 2, 70},
      {"cancelled late", 20, 45},
      {"cancelled just before the end", 40, 45},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    for (unsigned node = 0; node < WORLD_NODES; node++) {
      start_services(100 + 10 * (uint32_t)i + node, 6);
      unsigned held = 6;
      world_cut_node_workers(node, rows[i].for_s, SIM_HELD);
      for (unsigned k = 6; k < 6 + held; k++) world_submit(world_id(k), "sweep", "standard", 2, 1, 1e6, 0);
      sim_run_until(sim_now() + rows[i].cancel_s);
      /* Also three running jobs, on machines whose leases other controllers renew. */
      for (unsigned k = 3; k < 6 + held; k++) world_cancel(world_id(k), -1, 0);
      /* Stopped by those controllers, long before any machine has to be returned for it. */
      sim_run_until(sim_now() + 20);
      for (unsigned k = 3; k < 6; k++) check_row(rows[i].name, world_tasks_of(world_id(k)) == 0);
      sim_run_until(sim_now() + rows[i].for_s + 40);
      world_result r = world_current_result();
      print_message("%s, controller %u: %u cancelled, %u started after that, %u ended by a lease\n", rows[i].name, node,
                    r.cancelled, r.late_starts, r.lease_kills);
      if (r.broken) fail_msg("%s, controller %u: %s", rows[i].name, node, r.first);
      check_row(rows[i].name, r.cancelled == held + 3);
      check_row(rows[i].name, world_running_tasks() == 6);
    }
  }
}

typedef struct unreachable_row {
  const char *name;
  enum { HUNG, OUTBOUND_CUT, INBOUND_CUT } fault;
  unsigned count;
  double before_s, for_s; /* before the cancellation */
  bool down, crash;
} unreachable_row;

static const unreachable_row k_unreachable[] = {
    {"one hangs a moment", HUNG, 1, 0.1, 3, false, false},
    {"one hangs for most of a lease", HUNG, 1, 0.1, 13, false, false},
    {"one hangs for most of a lease, from just after", HUNG, 1, -0.1, 13, false, false},
    {"one hangs for long", HUNG, 1, 1, 40, false, false},
    {"eight hang for most of a lease", HUNG, 8, 0.1, 13, false, false},
    {"eight hang for long", HUNG, 8, 0.1, 36, false, false},
    {"all hang for long", HUNG, 12, 0.1, 50, false, false},
    {"all hang, and the key-value store is down", HUNG, 12, 0.1, 33, true, false},
    {"one reaches nobody", OUTBOUND_CUT, 1, 3, 40, false, false},
    {"all reach nobody", OUTBOUND_CUT, 12, 3, 40, false, false},
    {"all reach nobody, and controllers end", OUTBOUND_CUT, 12, 3, 40, false, true},
    {"one hears nobody", INBOUND_CUT, 1, 3, 40, false, false},
    {"all hear nobody", INBOUND_CUT, 12, 3, 60, false, false},
    {"all hear nobody, and the key-value store is down", INBOUND_CUT, 12, 3, 60, true, false},
    {"eight hang, and controllers end", HUNG, 8, 0.1, 13, false, true},
};

static void apply_fault(const unreachable_row *row) {
  if (row->fault == HUNG) world_hang_machines(0, row->count, row->for_s);
  if (row->fault == OUTBOUND_CUT) world_cut_outbound(0, row->count, row->for_s);
  if (row->fault == INBOUND_CUT) world_cut_inbound(0, row->count, row->for_s);
}

static void play_unreachable(const unreachable_row *row, uint32_t row_seed, uint32_t seed) {
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
  if (row->down) world_kv_down(50);
  sim_run_until(sim_now() + 130);
  world_result r = world_current_result();
  print_message("%s: %u cancelled, %u ended by a lease, %u machines returned\n", row->name, r.cancelled, r.lease_kills,
                world_terminated_machines(0, world_machine_count()));
  if (r.broken) fail_msg("%s, seed %u: %s", row->name, seed, r.first);
  check_row(row->name, r.cancelled == 5);
  for (unsigned k = 0; k < 5; k++) check_row(row->name, world_tasks_of(world_id(k)) == 0);
  /* Other jobs run on, unless no machine is left. */
  if (world_terminated_machines(0, world_machine_count()) < 6) check_row(row->name, world_running_tasks() == 6);
}

/* Machines of cancelled jobs that can't be reached: they hang, or their outbound or inbound messages
 * are lost; one, or most of the fleet, so that an outage is suspected. */
static void cancellation_on_unreachable_machines(void **state) {
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS(k_unreachable); i++)
    for (uint32_t seed = 0; seed < 3; seed++) play_unreachable(&k_unreachable[i], 300 + 10 * (uint32_t)i, seed);
}

/* Users poll the controller for six seconds; after three the key-value store goes down (0: not). */
static void poll_jobs(unsigned node, unsigned jobs, double down_s) {
  for (unsigned poll = 0; poll < 30; poll++) {
    world_request_job_status(node, world_id(poll % jobs)); /* the stand-in checks the reply */
    sim_run_until(sim_now() + 0.2);
    if (poll == 14 && down_s > 0) world_kv_down(down_s);
  }
}

/* A controller is partitioned from the key-value store and its peers, but not from its workers and
 * users, who poll it while the jobs are cancelled through another; also with a slow store. */
static void polling_a_partitioned_controller(void **state) {
  (void)state;
  static const struct {
    const char *name;
    double alone_s, refused_s, slow_s, down_s;
  } rows[] = {
      {"alone with its workers for seconds", 5, 0, 0, 0},
      {"for more than a lease", 20, 0, 0, 0},
      {"for longer than a cancellation", 50, 0, 0, 0},
      {"and the key-value store is slow", 50, 0, 30, 0},
      {"slow for all, refused, then down", 0, 12, 6, 45},
      {"refused, slow, then down", 0, 40, 20, 40},
      {"slow alone", 0, 0, 40, 0},
      {"cut off and down for the rest", 40, 0, 0, 45},
  };
  const unsigned jobs = 8;
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    for (unsigned node = 0; node < WORLD_NODES; node++) {
      start_services(500 + 10 * (uint32_t)i + node, jobs);
      if (rows[i].alone_s > 0) world_partition_node(node, rows[i].alone_s);
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
      cmocka_unit_test(cancellation_on_unreachable_machines), cmocka_unit_test(polling_a_partitioned_controller)};
  return cmocka_run_group_tests(tests, NULL, NULL);
}
