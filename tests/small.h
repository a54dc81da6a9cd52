/* Fleets on controllers with a fortieth of a core: whatever wakes them, and each message and
 * byte that they read or send, costs them virtual time (sim_process_set_cpu_share). */
#ifndef FC_TESTS_SMALL_H
#define FC_TESTS_SMALL_H

#include "check.h"

#include "scene.h"

#define SHARE 0.024        /* of a core */
#define TIMERS_LATE_S 0.05 /* half a period of the limit on processor time */
#define JOB_TASKS 6u
#define RECORDED_S 15.0 /* until all machines of a fleet that appears at once are on record */
#define SETTLE_S 40.0

/* Services of six tasks that never end. */
static inline unsigned services(unsigned first, unsigned count, double every_s) {
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

static inline void start_fleet(uint32_t seed, unsigned machines, unsigned slow_nodes, double share,
                               double timers_late_s) {
  world_set_up(seed, 0);
  world_large_constrained(machines);
  for (unsigned n = 0; n < WORLD_NODES; n++)
    if (slow_nodes & 1u << n) world_slow_node(n, share, timers_late_s);
  world_start_nodes();
  world_add_machines(0, machines / 2);
  world_add_machines(1, machines - machines / 2);
}

static inline void check_rules(const char *name) {
  world_result r = world_current_result();
  if (r.broken) fail_msg("%s: %u broken, first %s", name, r.broken, r.first);
}

/* The counters at a moment of a scene. */
typedef struct mark {
  world_result r;
  double at, used_s;
  unsigned terms;
} mark;

static inline mark mark_now(void) {
  world_reset_min_lease_left();
  return (mark){world_current_result(), sim_now(), sim_load_of(WORLD_NODE_IP(0)).busy_s, world_terms_written()};
}

/* What has happened since, and the processor time of the first controller. */
static inline void print_since(const char *name, const char *phase, const mark *m) {
  world_result r = world_current_result();
  print_message(
      "%s, %s: %.1f%% of a core used, %u submissions sent, %u accepted, %u refused, %u unanswered, %u of %u questions "
      "answered, %u put off, %u leases over, %.1f s left of a lease\n",
      name, phase, 100 * (sim_load_of(WORLD_NODE_IP(0)).busy_s - m->used_s) / (sim_now() - m->at),
      r.submissions - m->r.submissions, r.accepted - m->r.accepted, r.refused - m->r.refused,
      r.unanswered - m->r.unanswered, r.status_answers - m->r.status_answers, r.status_requests - m->r.status_requests,
      r.status_refusals - m->r.status_refusals, r.lease_kills - m->r.lease_kills, r.min_lease_left_s);
}

#endif
