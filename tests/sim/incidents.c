/* Days whose troubles meet: each draws one, two or three of them that begin within
 * seconds of each other. */
#include "stand_ins.h"

#define NEAR_S 4.0       /* troubles that meet begin within */
#define TERM_CHANGES 10u /* in two minutes */

static double g_end; /* none begins after it */

/* For less than a worker's lease, for more, for more than a cancellation may take. */
static double length(void) {
  double choice = sim_draw(0, 1);
  if (choice < 0.4) return sim_draw(1, LEASE_S * 0.8);
  return choice < 0.75 ? sim_draw(LEASE_S, LEASE_S * 2) : sim_draw(CANCEL_DEADLINE_S, CANCEL_DEADLINE_S * 1.4);
}

static unsigned any_node(void) {
  return (unsigned)world_any_node();
}

/* One, a few neighbours, or now and then all. */
static void some_machines(unsigned *from, unsigned *to) {
  unsigned all = g_worker_list->len;
  *from = 0;
  *to = all;
  if (all == 0 || sim_chance(0.15)) return;
  *from = (unsigned)g_rand_int_range(sim_rand(), 0, (gint32)all);
  unsigned few = (unsigned)sim_draw(1, 5);
  *to = MIN(all, *from + few);
}

static void mute(void) {
  unsigned from, to;
  some_machines(&from, &to);
  world_mute(from, to, length());
}

static void deaf(void) {
  unsigned from, to;
  some_machines(&from, &to);
  world_deaf(from, to, length());
}

static void late_writes_over(void *arg) {
  (void)arg;
  world_late_writes(0);
}

static void late_writes(void) {
  world_late_writes(sim_draw(0.03, 0.4));
  sim_after(length(), late_writes_over, NULL);
}

static void slow_state(void) {
  world_state_slow(length(), sim_draw(0.3, 8));
}

static void cancel_burst(void) {
  users_cancel_running((unsigned)sim_draw(1, 5), 0.2, 0);
}

/* Their machines hang for seconds, or until their leases are long over. */
static void cancel_burst_hang(void) {
  users_cancel_running((unsigned)sim_draw(1, 5), 0.2, sim_chance(0.5) ? sim_draw(1, 6) : length());
}

static void outage(void *arg) {
  (void)arg;
  world_state_down(sim_draw(CANCEL_DEADLINE_S, CANCEL_DEADLINE_S * 1.4));
}

/* One is refused alone, users cancel, and a moment later nobody is served. */
static void refused_then_outage(void) {
  world_refuse(any_node(), sim_draw(2, CANCEL_DEADLINE_S * 1.4));
  double in_s = sim_draw(1, 2);
  double at = 0;
  while (at < in_s) {
    users_cancel_running_in(1 + sim_chance(0.5), at);
    at += sim_draw(0.1, 1);
  }
  sim_after(in_s, outage, NULL);
}

static void refused(void) {
  world_refuse(any_node(), length());
  if (sim_chance(0.5)) users_cancel_running_in(2, sim_draw(0, NEAR_S));
}

static void cancel_at_end_over(void *arg) {
  (void)arg;
  world_cancel_at_end(0);
}

static void cancel_at_end(void) {
  world_cancel_at_end(sim_draw(0.2, 0.8));
  sim_after(length(), cancel_at_end_over, NULL);
}

/* One controller and one worker, packets held; now and then it has just cancelled tasks. */
static void cut_pair(void) {
  if (g_worker_list->len == 0) return;
  unsigned node = any_node(), at = (unsigned)g_rand_int_range(sim_rand(), 0, (gint32)g_worker_list->len);
  world_cut_pair(node, at, length(), sim_chance(0.8) ? SIM_HELD : SIM_RESET);
  if (sim_chance(0.6)) users_cancel_on_machine_in(at, 2, sim_draw(0, NEAR_S));
}

/* A controller is lost in one way or another: its part goes to the others. */
static void lose_one(void) {
  double choice = sim_draw(0, 5);
  if (choice < 2) {
    world_crash(any_node(), sim_chance(0.3) ? sim_draw(0.05, 0.9) : sim_draw(2, 6));
  } else if (choice < 3) {
    world_alone(any_node(), sim_draw(5, 11));
  } else if (choice < 4) {
    world_refuse(any_node(), sim_draw(5, 11));
  } else {
    world_still(any_node(), sim_draw(5, 11));
  }
}

static void next_change(void *arg) {
  unsigned left = GPOINTER_TO_UINT(arg);
  if (left == 0 || sim_now() > g_end) return;
  lose_one();
  sim_after(sim_draw(9, 15), next_change, GUINT_TO_POINTER(left - 1));
}

static void term_changes(void) {
  next_change(GUINT_TO_POINTER(TERM_CHANGES));
}

typedef struct crash_later {
  unsigned node;
  double back_in_s;
} crash_later;

static void crash_now(void *arg) {
  const crash_later *planned = arg;
  world_crash(planned->node, planned->back_in_s);
  g_free(arg);
}

/* What machines report now arrives after a crash, at those that act by then. */
static void reports_held(void) {
  unsigned node = any_node(), from, to;
  some_machines(&from, &to);
  crash_later *planned = g_new(crash_later, 1);
  *planned = (crash_later){node, sim_draw(0.1, LEASE_S * 1.5)};
  double crash_in = sim_draw(0.1, 2);
  sim_after(crash_in, crash_now, planned);
  for (unsigned i = from; i < to; i++) {
    const sim_worker *worker = g_worker_list->pdata[i];
    if (!worker->up || worker->terminated) continue;
    for (unsigned node = 0; node < WORLD_NODES; node++) world_report_later(i, node, crash_in + sim_draw(0.5, LEASE_S));
  }
}

static void odd_requests(void) {
  users_send_invalid(sim_now() + length());
}

/* With nobody but its workers and its users, and jobs are cancelled through the others. */
static void alone(void) {
  world_alone(any_node(), length());
  users_cancel_running_in(2, sim_draw(0, 12));
}

/* All away, one of them back within a second or all of them late. */
static void all_away(void) {
  bool soon = sim_chance(0.5);
  unsigned first = any_node();
  for (unsigned n = 0; n < WORLD_NODES; n++)
    world_crash(n, soon && n == first ? sim_draw(0.1, 1) : sim_draw(LEASE_S * 0.5, LEASE_S * 1.3));
}

static void zone_cut(void) {
  world_cut_zone((unsigned)g_rand_int_range(sim_rand(), 0, 2), length());
}

static void stands_still(void) {
  world_still(any_node(), length());
}

static void lose_machines(void) {
  unsigned from, to;
  some_machines(&from, &to);
  world_kill(from, MIN(to, from + 3));
}

static const struct {
  const char *name;
  void (*begin)(void);
} k_troubles[] = {
    {"mute", mute},
    {"deaf", deaf},
    {"late writes", late_writes},
    {"slow state", slow_state},
    {"cancellations", cancel_burst},
    {"cancellations, machines hang", cancel_burst_hang},
    {"refused, then an outage", refused_then_outage},
    {"refused", refused},
    {"cancellations at the end", cancel_at_end},
    {"pair cut", cut_pair},
    {"ten changes of term", term_changes},
    {"one lost", lose_one},
    {"reports held", reports_held},
    {"odd requests", odd_requests},
    {"alone", alone},
    {"all away", all_away},
    {"zone cut", zone_cut},
    {"stands still", stands_still},
    {"machines lost", lose_machines},
};

static void begin(void *arg) {
  unsigned which = GPOINTER_TO_UINT(arg);
  if (sim_now() > g_end) return;
  g_result.faults++;
  if (g_verbose) g_printerr("%.2f trouble: %s\n", sim_now(), k_troubles[which].name);
  k_troubles[which].begin();
}

static void meet(void *arg) {
  (void)arg;
  if (sim_now() > g_end) return;
  unsigned count = 1 + (unsigned)sim_draw(0, 3);
  for (unsigned i = 0; i < count; i++) {
    guint which = (guint)g_rand_int_range(sim_rand(), 0, G_N_ELEMENTS(k_troubles));
    sim_after(i == 0 ? 0 : sim_draw(0, NEAR_S), begin, GUINT_TO_POINTER(which));
  }
  sim_after(sim_draw(4, 40), meet, NULL);
}

void incidents_vary_job(sim_job *job) {
  bool sweep = strcmp(job->kind, "sweep") == 0, gang = strcmp(job->kind, "gang") == 0;
  /* What meets it finds it with long to go. Not the widest gangs: four of a thousand
   * days had more work for the limited team than there was time. */
  bool longer = job->gpus < 2 && sim_chance(0.3);
  if (longer) job->run_s *= 3;
  if (sim_chance(0.15)) job->zone = world_zones[g_rand_int_range(sim_rand(), 0, 2)];
  if (job->zone) job->spread = false;
  if (sweep && sim_chance(0.2)) job->one_zone = true;
  if (sweep && !longer && sim_chance(0.2)) job->tasks += 12; /* in several virtual jobs */
  if (gang && job->gpus < 2 && sim_chance(0.2)) job->tasks += 4;
}

double incidents_start(double end) {
  g_end = end;
  sim_after(sim_draw(8, 20), meet, NULL);
  /* The longest, with what is still held then. */
  return end + NEAR_S + CANCEL_DEADLINE_S * 1.6;
}
