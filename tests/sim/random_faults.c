/* Random faults, one after the other. Each draws its random numbers in a fixed order, so that a seed
 * always gives the same day. */
#include "deployment.h"
#include "stand_ins.h"

#define FIRST_FAULT_S 15

static double g_last_fault_at; /* none starts after it */

static sim_worker *random_worker(void) {
  if (g_worker_list->len == 0) return NULL;
  return g_worker_list->pdata[g_rand_int_range(sim_rand(), 0, (gint32)g_worker_list->len)];
}

/* ---- controllers ---- */

/* Back after about four seconds, or sometimes within half a second. */
static void crash(int node) {
  world_crash((unsigned)node, sim_chance(0.25) ? sim_draw(0.05, 0.5) : sim_draw(3.5, 4.5));
}

static void restart_at_once(int node) {
  world_crash((unsigned)node, sim_draw(0.05, 0.4));
}

static void restart_again(void *arg) {
  restart_at_once(GPOINTER_TO_INT(arg));
}

static void crash_one_or_two(void) {
  crash(world_random_node());
  if (sim_chance(0.3)) crash(world_random_node());
}

static void crash_all(void) {
  for (int node = 0; node < WORLD_NODES; node++) crash(node);
}

/* Restarts two controllers at the same time, and each once more shortly after, in the middle of a term. */
static void restart_two_twice(void) {
  int first = world_random_node(), second = world_random_node();
  restart_at_once(first);
  restart_at_once(second);
  sim_after(sim_draw(0.1, 1.5), restart_again, GINT_TO_POINTER(first));
  sim_after(sim_draw(0.1, 1.5), restart_again, GINT_TO_POINTER(second));
}

/* Pauses a controller for shorter or longer than its own lease, a worker's lease, or the deadline of a
 * cancellation. */
static void pause_one(double length) {
  world_pause_node((unsigned)world_random_node(), sim_chance(0.4) ? sim_draw(0.2, 3) : length * 1.4);
}

/* ---- links and the key-value store ---- */

static void kv_outage(void) {
  world_kv_down(sim_draw(2, 25));
}

static void break_links(double until, sim_link mode) {
  link_fault fault = {
      .scope = (link_scope)(int)sim_draw(0, LINK_ZONE), .node = world_random_node(), .ends_at = until, .mode = mode};
  if (fault.scope == LINK_BETWEEN_ZONES) fault.node = -1;
  links_add_fault(&fault);
}

/* Heartbeats arrive, but responses and commands don't; at one machine, sometimes at all. */
static void lose_inbound(double until) {
  bool all = sim_chance(0.15);
  for (guint i = 0; i < g_worker_list->len; i++) {
    sim_worker *worker = all ? g_worker_list->pdata[i] : random_worker();
    worker->inbound_lost_until = until;
    if (!all) break;
  }
}

/* ---- machines ---- */

static void restart_machine(void) {
  sim_worker *worker = random_worker();
  if (worker && worker->up && !worker->terminated) worker_restart_empty(worker);
}

/* About half of the machines terminate, or hang. */
static void lose_many_machines(double until) {
  bool end = sim_chance(0.5);
  for (guint i = 0; i < g_worker_list->len; i++) {
    sim_worker *worker = g_worker_list->pdata[i];
    if (!worker->up || worker->terminated || sim_chance(0.5)) continue;
    if (end) worker->terminated = true;
    worker->hung_until = until;
  }
}

/* Preempts a spot machine with a notice in half the cases; otherwise the machine terminates at once. */
static void end_machine(sim_worker *worker, double now) {
  if (worker->spot && sim_chance(0.5)) {
    worker->preemption_notice_at = now;
    worker->preempted_at = now + sim_draw(5, 15);
  } else {
    worker->terminated = true;
  }
}

/* One machine hangs, is cut off or terminates. */
static void break_machine(double choice, double now, double length, sim_link mode) {
  sim_worker *worker = random_worker();
  if (!worker || worker->terminated || !worker->up) return; /* nothing to break */
  if (choice < 10.5) {
    worker->hung_until = now + length;
  } else if (choice < 11.3) {
    links_add_fault(
        &(link_fault){.scope = LINK_WORKER, .node = -1, .ip = worker->ip, .ends_at = now + length, .mode = mode});
  } else {
    end_machine(worker, now);
  }
}

/* ---- random choice ---- */

static void begin_fault(double choice, double length, sim_link mode) {
  double now = sim_now();
  if (choice < 3) {
    crash_one_or_two();
  } else if (choice < 3.5) {
    crash_all();
  } else if (choice < 5) {
    kv_outage();
  } else if (choice < 6) {
    world_kv_refuse_node((unsigned)world_random_node(), length);
  } else if (choice < 9.5) {
    break_links(now + length, mode);
  } else if (choice < 12) {
    break_machine(choice, now, length, mode);
  } else if (choice < 13) {
    lose_inbound(now + length * 1.5);
  } else if (choice < 14) {
    restart_machine();
  } else if (choice < 15.5) {
    restart_two_twice();
  } else if (choice < 16.4) {
    pause_one(length);
  } else if (choice < 17.2) {
    world_cut_zone((unsigned)g_rand_int_range(sim_rand(), 0, ZONES), length * 1.4);
  } else {
    lose_many_machines(now + length);
  }
}

static void next_fault(void *arg) {
  if (sim_now() > g_last_fault_at) return;
  g_result.faults++;
  double choice = sim_draw(0, 18);
  sim_link mode = sim_chance(0.5) ? SIM_HELD : SIM_RESET;
  double length = sim_draw(3, 30);
  if (g_verbose) g_printerr("%.1f fault %.2f length %.1f\n", sim_now(), choice, length);
  begin_fault(choice, length, mode);
  sim_after(sim_draw(1, 16), next_fault, arg);
}

void random_faults_start(double end) {
  g_last_fault_at = end;
  sim_after(FIRST_FAULT_S, next_fault, NULL);
}
