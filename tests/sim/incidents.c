/* Random incidents that overlap: one, two or three at a time start within seconds of each other. */
#include "stand_ins.h"

#define OVERLAP_S 4.0      /* incidents of one group start within it */
#define LEADER_CHANGES 10u /* of one incident, in about two minutes */

static double g_last_incident_at; /* none starts after it */

/* Draws a duration: shorter than a worker's lease, longer, or longer than a cancellation may take. */
static double random_length(void) {
  double choice = sim_draw(0, 1);
  if (choice < 0.4) return sim_draw(1, LEASE_S * 0.8);
  return choice < 0.75 ? sim_draw(LEASE_S, LEASE_S * 2) : sim_draw(CANCEL_DEADLINE_S, CANCEL_DEADLINE_S * 1.4);
}

static unsigned random_node(void) {
  return (unsigned)world_random_node();
}

/* Draws one machine, a few consecutive ones, or sometimes all. */
static void draw_machines(unsigned *from, unsigned *to) {
  unsigned all = g_worker_list->len;
  *from = 0;
  *to = all;
  if (all == 0 || sim_chance(0.15)) return;
  *from = (unsigned)g_rand_int_range(sim_rand(), 0, (gint32)all);
  unsigned count = (unsigned)sim_draw(1, 5);
  *to = MIN(all, *from + count);
}

static void lose_outbound(void) {
  unsigned from, to;
  draw_machines(&from, &to);
  world_cut_outbound(from, to, random_length());
}

/* Machines that will hang, by number. */
typedef struct planned_hang {
  GArray *machines; /* unsigned */
  double for_s;
} planned_hang;

static void begin_hang(void *arg) {
  planned_hang *hang = arg;
  for (guint i = 0; i < hang->machines->len; i++) {
    unsigned machine = g_array_index(hang->machines, unsigned, i);
    world_hang_machines(machine, machine + 1, hang->for_s);
  }
  g_array_free(hang->machines, TRUE);
  g_free(hang);
}

/* Most machines reach no controller while short jobs are started on them by direct commands. At about the
 * expiry of their leases they hang, with such commands in flight, and resume in a later epoch. */
static void lose_outbound_then_hang(void) {
  planned_hang *hang = g_new(planned_hang, 1);
  hang->machines = g_array_new(FALSE, FALSE, sizeof(unsigned));
  hang->for_s = sim_draw(4, LEASE_S);
  double cut_s = sim_draw(LEASE_S * 1.5, LEASE_S * 3);
  for (unsigned machine = 0; machine < g_worker_list->len; machine++) {
    if (sim_chance(0.3)) continue;
    world_cut_outbound(machine, machine + 1, cut_s);
    g_array_append_val(hang->machines, machine);
  }
  users_submit_burst(LEASE_S * 1.5);
  sim_after(sim_draw(LEASE_S * 0.8, LEASE_S), begin_hang, hang);
}

static void lose_inbound(void) {
  unsigned from, to;
  draw_machines(&from, &to);
  world_cut_inbound(from, to, random_length());
}

static void delay_commits(void) {
  world_late_writes(sim_draw(0.03, 0.4));
  world_late_writes_end(random_length());
}

static void slow_kv(void) {
  world_kv_slow(random_length(), sim_draw(0.3, 8));
}

static void cancel_burst(void) {
  users_cancel_running((unsigned)sim_draw(1, 5), 0.2, 0);
}

/* Cancels jobs whose machines hang too, for seconds or possibly well past the expiry of their leases. */
static void cancel_burst_and_hang(void) {
  users_cancel_running((unsigned)sim_draw(1, 5), 0.2, sim_chance(0.5) ? sim_draw(1, 6) : random_length());
}

static void begin_outage(void *arg) {
  (void)arg;
  world_kv_down(sim_draw(CANCEL_DEADLINE_S, CANCEL_DEADLINE_S * 1.4));
}

/* The key-value store refuses one controller, users cancel jobs, and a moment later the store is down
 * for all. */
static void refuse_one_then_outage(void) {
  world_kv_refuse_node(random_node(), sim_draw(2, CANCEL_DEADLINE_S * 1.4));
  double in_s = sim_draw(1, 2);
  double at = 0;
  while (at < in_s) {
    users_cancel_running_in(1 + sim_chance(0.5), at);
    at += sim_draw(0.1, 1);
  }
  sim_after(in_s, begin_outage, NULL);
}

static void refuse_one_controller(void) {
  world_kv_refuse_node(random_node(), random_length());
  if (sim_chance(0.5)) users_cancel_running_in(2, sim_draw(0, OVERLAP_S));
}

static void end_cancel_on_completion(void *arg) {
  (void)arg;
  world_cancel_on_completion(0);
}

static void cancel_on_completion(void) {
  world_cancel_on_completion(sim_draw(0.2, 0.8));
  sim_after(random_length(), end_cancel_on_completion, NULL);
}

/* Cuts the link between a controller and a worker; often users cancel jobs on that worker. */
static void cut_controller_and_worker(void) {
  if (g_worker_list->len == 0) return;
  unsigned node = random_node(), at = (unsigned)g_rand_int_range(sim_rand(), 0, (gint32)g_worker_list->len);
  world_cut_pair(node, at, random_length(), sim_chance(0.8) ? SIM_HELD : SIM_RESET);
  if (sim_chance(0.6)) users_cancel_on_machine_in(at, 2, sim_draw(0, OVERLAP_S));
}

/* A controller crashes, is partitioned, is refused by the key-value store or pauses, so that its shard
 * moves to the others. */
static void fail_one_controller(void) {
  double choice = sim_draw(0, 5);
  if (choice < 2) {
    world_crash(random_node(), sim_chance(0.3) ? sim_draw(0.05, 0.9) : sim_draw(2, 6));
  } else if (choice < 3) {
    world_partition_node(random_node(), sim_draw(5, 11));
  } else if (choice < 4) {
    world_kv_refuse_node(random_node(), sim_draw(5, 11));
  } else {
    world_pause_node(random_node(), sim_draw(5, 11));
  }
}

static void next_leader_change(void *arg) {
  unsigned left = GPOINTER_TO_UINT(arg);
  if (left == 0 || sim_now() > g_last_incident_at) return;
  fail_one_controller();
  sim_after(sim_draw(9, 15), next_leader_change, GUINT_TO_POINTER(left - 1));
}

static void change_leaders(void) {
  next_leader_change(GUINT_TO_POINTER(LEADER_CHANGES));
}

/* Heartbeats with the current status arrive after a crash, possibly at new owners of the machines. */
static void deliver_heartbeats_late(void) {
  unsigned node = random_node(), from, to;
  draw_machines(&from, &to);
  double back_in = sim_draw(0.1, LEASE_S * 1.5);
  double crash_in = sim_draw(0.1, 2);
  world_crash_in(node, crash_in, back_in);
  for (unsigned i = from; i < to; i++) {
    const sim_worker *worker = g_worker_list->pdata[i];
    if (!worker->up || worker->terminated) continue;
    for (unsigned node = 0; node < WORLD_NODES; node++)
      world_duplicate_heartbeat(i, node, crash_in + sim_draw(0.5, LEASE_S));
  }
}

static void send_invalid_requests(void) {
  users_send_invalid(sim_now() + random_length());
}

/* A controller reaches neither the key-value store nor its peers while users cancel jobs. */
static void isolate_controller(void) {
  world_partition_node(random_node(), random_length());
  users_cancel_running_in(2, sim_draw(0, 12));
}

/* All crash; either one of them is back within a second, or all stay down for longer. */
static void crash_all(void) {
  bool soon = sim_chance(0.5);
  unsigned first = random_node();
  for (unsigned n = 0; n < WORLD_NODES; n++)
    world_crash(n, soon && n == first ? sim_draw(0.1, 1) : sim_draw(LEASE_S * 0.5, LEASE_S * 1.3));
}

static void cut_zone(void) {
  world_cut_zone((unsigned)g_rand_int_range(sim_rand(), 0, 2), random_length());
}

static void pause_one(void) {
  world_pause_node(random_node(), random_length());
}

static void lose_machines(void) {
  unsigned from, to;
  draw_machines(&from, &to);
  world_terminate_machines(from, MIN(to, from + 3));
}

static const struct {
  const char *name;
  void (*begin_incident)(void);
} k_incidents[] = {
    {"outbound lost", lose_outbound},
    {"outbound lost, then a hang", lose_outbound_then_hang},
    {"inbound lost", lose_inbound},
    {"late writes", delay_commits},
    {"slow key-value store", slow_kv},
    {"cancellations", cancel_burst},
    {"cancellations, machines hang", cancel_burst_and_hang},
    {"key-value store refuses one, then an outage", refuse_one_then_outage},
    {"key-value store refuses one", refuse_one_controller},
    {"cancellations on completion", cancel_on_completion},
    {"controller and worker cut off", cut_controller_and_worker},
    {"ten leader changes", change_leaders},
    {"one controller fails", fail_one_controller},
    {"late heartbeats", deliver_heartbeats_late},
    {"invalid requests", send_invalid_requests},
    {"controller isolated", isolate_controller},
    {"all controllers crash", crash_all},
    {"zone cut", cut_zone},
    {"controller pause", pause_one},
    {"machines terminated", lose_machines},
};

static void begin_incident(void *arg) {
  unsigned index = GPOINTER_TO_UINT(arg);
  if (sim_now() > g_last_incident_at) return;
  g_result.faults++;
  if (g_verbose) g_printerr("%.2f incident: %s\n", sim_now(), k_incidents[index].name);
  k_incidents[index].begin_incident();
}

static void begin_some_incidents(void *arg) {
  (void)arg;
  if (sim_now() > g_last_incident_at) return;
  unsigned count = 1 + (unsigned)sim_draw(0, 3);
  for (unsigned i = 0; i < count; i++) {
    guint index = (guint)g_rand_int_range(sim_rand(), 0, G_N_ELEMENTS(k_incidents));
    sim_after(i == 0 ? 0 : sim_draw(0, OVERLAP_S), begin_incident, GUINT_TO_POINTER(index));
  }
  sim_after(sim_draw(4, 40), begin_some_incidents, NULL);
}

void incidents_vary_job(sim_job *job) {
  bool sweep = strcmp(job->kind, "sweep") == 0, gang = strcmp(job->kind, "gang") == 0;
  /* So that incidents affect jobs with a long remaining run time. Not the widest gangs: with them, four of
   * a thousand days had more work for the team with a quota than could run in time. */
  bool longer = job->gpus < 2 && sim_chance(0.3);
  if (longer) job->run_s *= 3;
  if (sim_chance(0.15)) job->zone = k_zones[g_rand_int_range(sim_rand(), 0, 2)];
  if (job->zone) job->spread = false;
  if (sweep && sim_chance(0.2)) job->one_zone = true;
  if (sweep && !longer && sim_chance(0.2)) job->tasks += 12; /* more than one slice */
  if (gang && job->gpus < 2 && sim_chance(0.2)) job->tasks += 4;
}

double incidents_start(double end) {
  g_last_incident_at = end;
  sim_after(sim_draw(8, 20), begin_some_incidents, NULL);
  /* The longest incident, and messages that are still held at its end. */
  return end + OVERLAP_S + CANCEL_DEADLINE_S * 1.6;
}
