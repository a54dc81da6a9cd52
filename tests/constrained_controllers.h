/* Helpers for tests of controllers with a fortieth of a core: every wake-up, and each message and byte that a
 * controller reads or sends, costs it virtual time (sim_process_set_cpu_share). */
#ifndef FC_TESTS_CONSTRAINED_CONTROLLERS_H
#define FC_TESTS_CONSTRAINED_CONTROLLERS_H

#include "check.h"

#include "scene.h"

#define CPU_SHARE 0.024    /* of a core */
#define TIMERS_LATE_S 0.05 /* half a period of the CPU limit */
#define JOB_TASKS 6u
#define RECORDED_S 15.0 /* until all machines of a new fleet have a record */
#define WARM_UP_S 40.0

/* Submits services that never end; returns the number of their tasks. */
static inline unsigned submit_services(unsigned first, unsigned count, double every_s) {
  scene_submit(&(scene_jobs){.first = first,
                             .count = count,
                             .kind = "service",
                             .priority = "prod",
                             .tasks = JOB_TASKS,
                             .gpus = 1,
                             .run_s = 1e6,
                             .in_s = RECORDED_S,
                             .every_s = every_s});
  return count * JOB_TASKS;
}

/* slow_nodes: one bit for each controller that has only `cpu_share` of a core. */
static inline void start_fleet(uint32_t seed, unsigned machines, unsigned slow_nodes, double cpu_share,
                               double timers_late_s) {
  world_set_up(seed, 0);
  world_large_constrained(machines);
  for (unsigned n = 0; n < WORLD_NODES; n++)
    if (slow_nodes & 1u << n) world_slow_node(n, cpu_share, timers_late_s);
  world_start_nodes();
  world_add_machines(0, machines / 2);
  world_add_machines(1, machines - machines / 2);
}

static inline void check_no_rule_broken(const char *name) {
  world_result r = world_current_result();
  if (r.broken) fail_msg("%s: %u broken, first %s", name, r.broken, r.first);
}

/* Counters at one time, to report what happened since. */
typedef struct snapshot {
  world_result r;
  double at, cpu_s; /* cpu_s: used by the first controller */
  unsigned terms;
} snapshot;

static inline snapshot take_snapshot(void) {
  world_reset_min_lease_left();
  return (snapshot){world_current_result(), sim_now(), sim_load_of(WORLD_NODE_IP(0)).busy_s, world_terms_written()};
}

/* Prints what has happened since the snapshot, and the CPU use of the first controller. */
static inline void print_since(const char *name, const char *phase, const snapshot *since) {
  world_result r = world_current_result();
  print_message(
      "%s, %s: %.1f%% of a core used, %u submissions sent, %u accepted, %u refused, %u unanswered, %u of %u job "
      "queries answered, %u refused, %u tasks ended with a lease, %.1f s left of a lease\n",
      name, phase, 100 * (sim_load_of(WORLD_NODE_IP(0)).busy_s - since->cpu_s) / (sim_now() - since->at),
      r.submissions - since->r.submissions, r.accepted - since->r.accepted, r.refused - since->r.refused,
      r.unanswered - since->r.unanswered, r.status_answers - since->r.status_answers,
      r.status_requests - since->r.status_requests, r.status_refusals - since->r.status_refusals,
      r.lease_kills - since->r.lease_kills, r.min_lease_left_s);
}

#endif
