/* What is cancelled is gone in time, whoever confirmed it, whatever else fails just
 * then: whole controllers over the simulated transport. */
#include "check.h"

#include <stdlib.h>

#include "sim/world.h"

static const char *job_id(unsigned k) {
  static char id[4][32];
  static unsigned next;
  char *out = id[next++ % 4];
  g_snprintf(out, sizeof id[0], "job-%06u", k);
  return out;
}

/* Six machines in each zone and so many services of two tasks. */
static void a_running_fleet(uint32_t seed, unsigned jobs) {
  world_set_up(seed, 0);
  world_capacity(0, 0);
  world_keep_idle();
  world_start_nodes();
  world_machines_up(0, 6);
  world_machines_up(1, 6);
  for (unsigned k = 0; k < jobs; k++) world_submit(job_id(k), "service", "prod", 2, 1, 1e6, 5);
  sim_run_until(sim_now() + 30);
  assert_int_equal(world_running(), jobs * 2);
}

/* The state service refuses one controller; another confirms cancellations; then it is
 * down for everybody, for longer than a cancellation may take. The tasks have to be gone
 * in time all the same, and nobody else's work may end for it. */
static void the_gap(void **state) {
  (void)state;
  static const struct {
    const char *name;
    double refused_at, cancel_at, down_at; /* seconds from the same moment */
    enum { WRITER, FROM_CACHE, RESTARTED, DYING } by;
    bool blind;     /* changes can't be read from the cancellation on */
    bool linked;    /* the refused one hears the others */
    bool passed_on; /* what was confirmed can reach everybody */
  } rows[] = {
      {"refused a second before", -1.0, 0, 0.3, WRITER, false, true, true},
      {"refused just before", -0.02, 0, 0.1, WRITER, false, true, true},
      {"refused just after", 0.02, 0, 0.05, WRITER, false, true, true},
      {"down while the answer is on its way", -1.0, 0, 0.01, WRITER, false, true, true},
      {"refused long before", -9.0, 0, 1.0, WRITER, false, true, true},
      {"nobody reads of it, the writer neither", -1.0, 0, 1.5, WRITER, true, true, true},
      {"another confirms it from its cache", -1.0, 0, 0.7, FROM_CACHE, false, true, true},
      {"refused long before, another confirms it", -9.0, 0, 2.0, FROM_CACHE, false, true, true},
      {"one that restarted confirms it", -9.0, -6.0, 2.0, RESTARTED, false, true, true},
      {"the writer ends before it passes it on", -1.0, 0, 0.02, DYING, true, true, false},
      {"no message gets through", -1.0, 0, 0.3, WRITER, false, false, false},
  };
  const unsigned jobs = 8, called_off = 4;
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    for (unsigned refused = 0; refused < WORLD_NODES; refused++) {
      a_running_fleet(10 * (uint32_t)i + refused, jobs);
      unsigned writer = (refused + 1) % WORLD_NODES, other = (refused + 2) % WORLD_NODES;
      double zero = sim_now() + 10;
      bool early = rows[i].refused_at <= rows[i].cancel_at;
      sim_run_until(zero + MIN(rows[i].refused_at, rows[i].cancel_at));
      if (early) world_refuse(refused, 14);
      if (!rows[i].linked) world_cut_node_peers(refused, 80);
      sim_run_until(zero + rows[i].cancel_at);
      if (rows[i].blind) world_state_blind(job_id(0), 3);
      for (unsigned k = 0; k < called_off; k++) world_cancel(job_id(k), (int)writer, 0);
      if (rows[i].by == FROM_CACHE) {
        sim_run_until(zero + 0.5);
        for (unsigned k = 0; k < called_off; k++) world_cancel(job_id(k), (int)other, 0);
      } else if (rows[i].by == RESTARTED) {
        /* Its next life is asked again, and has it from what it reads at its start. */
        sim_run_until(zero + rows[i].cancel_at + 0.006);
        world_crash(writer, 0.3);
        sim_run_until(zero + 1.5);
        for (unsigned k = 0; k < called_off; k++) world_cancel(job_id(k), (int)writer, 0);
      } else if (rows[i].by == DYING) {
        while (!world_cancelled_at(job_id(0)) && sim_now() < zero + 3) sim_run_until(sim_now() + 0.0005);
        check_row(rows[i].name, world_cancelled_at(job_id(0)) > 0);
        world_crash(writer, 0.3);
      }
      if (!early) {
        sim_run_until(zero + rows[i].refused_at);
        world_refuse(refused, 14);
      }
      sim_run_until(MAX(sim_now(), zero + rows[i].down_at));
      world_state_down(54);
      bool told[4];
      unsigned told_count = 0, soon = 0;
      for (unsigned k = 0; k < called_off; k++) told_count += told[k] = world_cancelled_at(job_id(k)) > 0;
      sim_run_until(zero + 8);
      for (unsigned k = 0; k < called_off; k++) soon += told[k] ? world_tasks_of(job_id(k)) : 0;
      sim_run_until(zero + 100);
      world_result r = world_so_far();
      print_message("%s, refused %u: %u of %u told, %u of their tasks on after 8 s, %u tasks ended by a lease\n",
                    rows[i].name, refused, told_count, called_off, soon, r.lease_kills);
      if (r.broken) fail_msg("%s, refused %u: %s", rows[i].name, refused, r.first);
      check_row(rows[i].name, r.cancelled == called_off);
      check_row(rows[i].name, told_count > 0 || rows[i].down_at < 0.02);
      check_row(rows[i].name, world_running() == (jobs - called_off) * 2);
      if (!rows[i].passed_on) continue;
      /* What users were told was passed on: those tasks end at once, no other by a lease. */
      check_row(rows[i].name, soon == 0);
      check_row(rows[i].name, r.lease_kills == 0);
    }
  }
}

const char *__asan_default_options(void);
const char *__asan_default_options(void) {
  return "detect_leaks=0";
}

int main(void) {
  const struct CMUnitTest tests[] = {cmocka_unit_test(the_gap)};
  return cmocka_run_group_tests(tests, NULL, NULL);
}
