/* Cloud, workers, users and faults; the rules are checked where they could break. */
#include "requests.h"
#include "stand_ins.h"

#include <arpa/inet.h>

#include "controller/controller.h"

static fc_settings g_settings[WORLD_NODES];
static fc_controller *g_controllers[WORLD_NODES];
static GArray *g_cuts;
static double g_refuse_until[WORLD_NODES];
GHashTable *g_jobs, *g_workers, *g_workers_by_ip;
GPtrArray *g_worker_list;
world_result g_result;
double g_duplicate_share, g_faults_end_at;
bool g_verbose;
unsigned g_zone_capacity, g_zone_spot_capacity;

const char *const world_zones[2] = {"a", "b"};

int world_any_node(void) {
  return g_rand_int_range(sim_rand(), 0, WORLD_NODES);
}

void world_broke(const char *rule, const char *detail) {
  if (g_verbose) g_printerr("%.2f broke %s: %s\n", sim_now(), rule, detail);
  if (g_result.broken++ == 0) g_snprintf(g_result.first, sizeof g_result.first, "%.2f %s: %s", sim_now(), rule, detail);
}

static int zone_of(uint32_t ip) {
  if (ip >> 16 == (10u << 8 | 0)) return (ip & 0xff) == 2 ? 1 : 0; /* the second controller is in zone b */
  sim_worker *worker = g_hash_table_lookup(g_workers_by_ip, GUINT_TO_POINTER(ip));
  return worker ? worker->zone : -1;
}

static int node_of(uint32_t ip) {
  return ip >> 16 == (10u << 8 | 0) ? (int)(ip & 0xff) - 1 : -1;
}

static bool cut_matches(const link_fault *fault, uint32_t from, uint32_t to) {
  bool from_controller = node_of(from) == fault->node && fault->node >= 0;
  switch (fault->scope) {
    case LINK_BETWEEN_ZONES:
      return zone_of(from) >= 0 && zone_of(to) >= 0 && zone_of(from) != zone_of(to);
    case LINK_CONTROLLER:
      return from_controller;
    case LINK_CONTROLLER_KV:
      return from_controller && to == WORLD_STATE_IP;
    case LINK_CONTROLLER_PEERS:
      return from_controller && node_of(to) >= 0;
    case LINK_CONTROLLER_KV_AND_PEERS: /* with nobody but its workers */
      return from_controller && (to == WORLD_STATE_IP || node_of(to) >= 0);
    case LINK_CONTROLLER_WORKERS:
      return from_controller && g_hash_table_contains(g_workers_by_ip, GUINT_TO_POINTER(to));
    case LINK_ZONE: /* from everything, what belongs to no zone included */
      return zone_of(from) == fault->node && zone_of(to) != fault->node;
    case LINK_CONTROLLER_WORKER:
      return from_controller && to == fault->ip;
    default:
      return from == fault->ip;
  }
}

static sim_link link_now(uint32_t from, uint32_t to) {
  sim_worker *worker = g_hash_table_lookup(g_workers_by_ip, GUINT_TO_POINTER(to));
  if (worker && worker->terminated) return SIM_RESET;
  if (worker && (worker->hung_until > sim_now() || !worker->up)) return SIM_HELD;
  if (worker && worker->inbound_lost_until > sim_now()) return worker->ip & 1 ? SIM_HELD : SIM_RESET;
  if (node_of(to) >= 0 && !sim_process_alive(to)) return SIM_RESET;
  for (guint i = 0; i < g_cuts->len; i++) {
    const link_fault *fault = &g_array_index(g_cuts, link_fault, i);
    if (sim_now() < fault->ends_at && (cut_matches(fault, from, to) || cut_matches(fault, to, from)))
      return fault->mode;
  }
  return SIM_CLEAR;
}

bool world_kv_refuses(const struct sim_exchange *exchange) {
  uint32_t from = *(const uint32_t *)exchange; /* first field: the sender */
  int node = node_of(from);
  return node >= 0 && sim_now() < g_refuse_until[node];
}

/* ---- controllers and faults ---- */

static void node_start(void *arg) {
  fc_controller *controller;
  fc_controller_error error = fc_controller_start(arg, &controller);
  if (error != FC_CONTROLLER_OK) world_broke("start", fc_controller_strerror(error));
  g_controllers[(fc_settings *)arg - g_settings] = controller;
}

static void node_boot(void *arg) {
  fc_settings *settings = arg;
  uint32_t ip = ntohl(settings->client_at.ip);
  if (!sim_process_alive(ip)) sim_process_start(ip, node_start, settings);
}

/* Back after about four seconds, and now and then within a fraction of one. */
static void crash(int node) {
  world_crash((unsigned)node, sim_chance(0.25) ? sim_draw(0.05, 0.5) : sim_draw(3.5, 4.5));
}

static void blink(int node) {
  world_crash((unsigned)node, sim_draw(0.05, 0.4));
}

static void blink_again(void *arg) {
  blink((int)((fc_settings *)arg - g_settings));
}

void world_crash(unsigned node, double back_in_s) {
  g_result.crashes++;
  sim_process_kill(WORLD_NODE_IP(node));
  sim_after(back_in_s, node_boot, &g_settings[node]);
}

/* Waits for a controller's next write of such a key, to end it then. */
typedef struct strike {
  const char *prefix; /* NULL: none */
  unsigned node;
  double after_s, back_in_s;
} strike;

static strike g_strikes[WORLD_NODES];
static unsigned g_terms;

static void strike_now(void *arg) {
  const strike *trigger = arg;
  world_crash(trigger->node, trigger->back_in_s);
  g_free(arg);
}

void world_key_written(const struct sim_exchange *exchange, const char *key) {
  g_terms += strcmp(key, FC_KEY_TERM) == 0;
  int node = node_of(*(const uint32_t *)exchange); /* first field: the sender */
  if (node < 0 || !g_strikes[node].prefix || !g_str_has_prefix(key, g_strikes[node].prefix)) return;
  strike *trigger = g_new(strike, 1);
  *trigger = g_strikes[node];
  g_strikes[node].prefix = NULL;
  sim_after(trigger->after_s, strike_now, trigger);
}

void world_crash_at_write(unsigned node, const char *prefix, double after_s, double back_in_s) {
  g_strikes[node] = (strike){prefix, node, after_s, back_in_s};
}

void world_alone(unsigned node, double for_s) {
  link_fault fault = {
      .scope = LINK_CONTROLLER_KV_AND_PEERS, .node = (int)node, .ends_at = sim_now() + for_s, .mode = SIM_HELD};
  g_array_append_val(g_cuts, fault);
}

void world_cut_zone(unsigned zone, double for_s) {
  link_fault fault = {.scope = LINK_ZONE, .node = (int)zone, .ends_at = sim_now() + for_s, .mode = SIM_HELD};
  g_array_append_val(g_cuts, fault);
}

void world_still(unsigned node, double for_s) {
  sim_process_still(WORLD_NODE_IP(node), for_s);
}

void world_deaf(unsigned from, unsigned to, double for_s) {
  for (unsigned i = from; i < to; i++) ((sim_worker *)g_worker_list->pdata[i])->inbound_lost_until = sim_now() + for_s;
}

static sim_worker *machine(unsigned i) {
  return g_worker_list->pdata[i];
}

void world_hang(unsigned from, unsigned to, double for_s) {
  for (unsigned i = from; i < to; i++) machine(i)->hung_until = sim_now() + for_s;
}

void world_mute(unsigned from, unsigned to, double for_s) {
  for (unsigned i = from; i < to; i++) machine(i)->outbound_lost_until = sim_now() + for_s;
}

void world_cut_pair(unsigned node, unsigned at, double for_s, sim_link mode) {
  link_fault fault = {.scope = LINK_CONTROLLER_WORKER,
                      .node = (int)node,
                      .ip = machine(at)->ip,
                      .ends_at = sim_now() + for_s,
                      .mode = mode};
  g_array_append_val(g_cuts, fault);
}

void world_cut_node(unsigned node, double for_s, sim_link mode) {
  link_fault fault = {.scope = LINK_CONTROLLER, .node = (int)node, .ends_at = sim_now() + for_s, .mode = mode};
  g_array_append_val(g_cuts, fault);
}

void world_cut_node_peers(unsigned node, double for_s) {
  link_fault fault = {
      .scope = LINK_CONTROLLER_PEERS, .node = (int)node, .ends_at = sim_now() + for_s, .mode = SIM_HELD};
  g_array_append_val(g_cuts, fault);
}

void world_cut_node_workers(unsigned node, double for_s, sim_link mode) {
  link_fault fault = {.scope = LINK_CONTROLLER_WORKERS, .node = (int)node, .ends_at = sim_now() + for_s, .mode = mode};
  g_array_append_val(g_cuts, fault);
}

void world_refuse(unsigned node, double for_s) {
  g_refuse_until[node] = sim_now() + for_s;
}

void world_state_slow(double for_s, double most_s) {
  kv_slow(sim_now() + for_s, most_s);
}

void world_state_blind(const char *id, double for_s) {
  kv_delay_watches_after(id, for_s);
}

void world_slow_links(double for_s, double most_s) {
  sim_slow_links(sim_now() + for_s, most_s);
}

void world_late_writes(double share) {
  g_delayed_commit_share = share;
}

void world_cancel_at_end(double share) {
  g_cancel_on_completion_share = share;
}

void world_kill(unsigned from, unsigned to) {
  for (unsigned i = from; i < to; i++) ((sim_worker *)g_worker_list->pdata[i])->terminated = true;
}

unsigned world_node_of(unsigned at) {
  return (unsigned)machine(at)->node;
}

unsigned world_gone(unsigned from, unsigned to) {
  unsigned count = 0;
  for (unsigned i = from; i < to; i++) count += ((sim_worker *)g_worker_list->pdata[i])->terminated;
  return count;
}

void world_capacity(unsigned ordinary, unsigned spot) {
  g_zone_capacity = ordinary;
  g_zone_spot_capacity = spot;
}

void world_keep_idle(void) {
  for (int node = 0; node < WORLD_NODES; node++) g_settings[node].op.idle_keep_share = 1e6;
}

void world_keep_over(double for_s) {
  for (int node = 0; node < WORLD_NODES; node++) g_settings[node].op.over_keep_s = for_s;
}

void world_limit(double cpus, double gpus) {
  for (int node = 0; node < WORLD_NODES; node++) {
    g_settings[node].teams[1].cpus_max = cpus;
    g_settings[node].teams[1].gpus_max = gpus;
  }
}

void world_return_idle(void) {
  for (int node = 0; node < WORLD_NODES; node++) g_settings[node].op.idle_keep_share = 0.01;
}

void world_large(unsigned machines) {
  world_capacity(machines / 2, 0);
  world_keep_idle();
  for (int node = 0; node < WORLD_NODES; node++) {
    fc_settings *settings = &g_settings[node];
    settings->kv_rps = 500;
    settings->kv_write_rps = settings->kv_next_write_rps = machines;
    settings->kv_txn_ops = 24;
    world_state_limits(settings->kv_value_kb, settings->kv_txn_ops, 0);
    kv_set_announced_limits(settings->kv_value_kb, settings->kv_txn_ops);
    settings->fd_limit = machines * 2;
    settings->cloud_rps = 6;
    settings->teams[0].gpus = machines;
    settings->teams[1].gpus = settings->teams[1].gpus_max = 0;
    settings->op.rent = false; /* what there is */
  }
}

void world_lean(unsigned machines) {
  world_large(machines);
  for (int node = 0; node < WORLD_NODES; node++) {
    fc_settings *settings = &g_settings[node];
    settings->kv_rps = 100;
    settings->kv_write_rps = settings->kv_next_write_rps = 40;
    settings->cloud_rps = 2;
    settings->memory_mb = 27;
    settings->cpu = 0.024;
    settings->fd_limit = 900;
    fc_operator_settings usual;
    fc_operator_defaults(&usual);
    settings->op.over_keep_s = usual.over_keep_s;
  }
}

/* ---- versions ---- */

typedef struct state_sizes {
  double value_kb;
  unsigned txn_ops;
  double write_rps;
} state_sizes;

static state_sizes g_now, g_next; /* limits of the state service: the first, and later ones */
static bool g_former[WORLD_NODES];

/* A version that does not know what comes takes the limits for good. */
static void set_limits(unsigned node) {
  const state_sizes *known = g_former[node] ? &g_now : &g_next;
  fc_settings *settings = &g_settings[node];
  settings->kv_value_kb = known->value_kb;
  settings->kv_txn_ops = known->txn_ops;
  settings->kv_next_write_rps = known->write_rps;
}

void world_state_next(double value_kb, unsigned txn_ops, double write_rps) {
  const fc_settings *settings = &g_settings[0];
  g_next = (state_sizes){MIN(settings->kv_value_kb, value_kb), MIN(settings->kv_txn_ops, txn_ops),
                         MIN(settings->kv_write_rps, write_rps)};
  kv_set_announced_limits(g_next.value_kb, g_next.txn_ops);
  for (unsigned node = 0; node < WORLD_NODES; node++) set_limits(node);
}

void world_former_version(void) {
  for (unsigned node = 0; node < WORLD_NODES; node++) {
    g_former[node] = true;
    set_limits(node);
  }
}

static void replace(unsigned node, bool former, double back_in_s) {
  world_crash(node, back_in_s);
  g_former[node] = former;
  set_limits(node);
}

void world_upgrade(unsigned node, double back_in_s) {
  replace(node, false, back_in_s);
}

void world_downgrade(unsigned node, double back_in_s) {
  replace(node, true, back_in_s);
}

bool world_is_former(unsigned node) {
  return g_former[node];
}

bool world_any_former(void) {
  for (unsigned node = 0; node < WORLD_NODES; node++)
    if (g_former[node]) return true;
  return false;
}

bool world_sent_by_former(const struct sim_exchange *exchange) {
  int node = node_of(*(const uint32_t *)exchange); /* first field: the sender */
  return node >= 0 && g_former[node];
}

/* A round looks at every machine and every job. */
static double work(uint32_t ip) {
  const double machine_s = 0.5e-6, job_s = 2e-6;
  static uint64_t seen[WORLD_NODES];
  int node = node_of(ip);
  const fc_controller *controller = g_controllers[node];
  if (!controller) return 0;
  uint64_t rounds = fc_controller_counters(controller)->rounds, seen_rounds = MIN(seen[node], rounds);
  seen[node] = rounds;
  return (double)(rounds - seen_rounds) * (machine_s * g_hash_table_size(fc_controller_cluster(controller)->machines) +
                                           job_s * g_hash_table_size(fc_controller_cluster(controller)->jobs));
}

void world_slow(unsigned node, double of_processor, double timers_late_s) {
  sim_process_share(WORLD_NODE_IP(node), of_processor, timers_late_s);
  sim_set_work(work);
}

unsigned world_terms(void) {
  return g_terms;
}

void world_checks_from(double in_s) {
  g_faults_end_at = sim_now() + in_s;
  checks_start();
  world_troubles_end(in_s);
}

void world_checks_end(void) {
  checks_end();
}

fc_counters world_counts(unsigned node) {
  return *fc_controller_counters(g_controllers[node]);
}

void world_machines_up(unsigned zone, unsigned count) {
  while (count-- > 0) (void)worker_new((int)zone, false, 0);
}

int world_ask(unsigned node, const char *path) {
  return world_request(node, "GET", path, "").status;
}

static unsigned tasks_in(task_state state) {
  unsigned count = 0;
  for (guint i = 0; i < g_worker_list->len; i++) {
    const sim_worker *worker = g_worker_list->pdata[i];
    for (guint k = 0; !worker->terminated && k < worker->tasks->len; k++)
      count += ((sim_task *)worker->tasks->pdata[k])->state == state;
  }
  return count;
}

unsigned world_running(void) {
  return tasks_in(TASK_RUNNING);
}

unsigned world_fetching(void) {
  return tasks_in(TASK_FETCHING);
}

world_result world_so_far(void) {
  return g_result;
}

void world_watch_leases(void) {
  g_result.lease_left_s = LEASE_S;
}

static void state_up(void *arg) {
  (void)arg;
  state_down(false);
}

void world_state_down(double for_s) {
  state_down(true);
  sim_after(for_s, state_up, NULL);
}

static void state_goes_down(void *arg) {
  world_state_down(*(double *)arg);
  g_free(arg);
}

void world_state_down_in(double in_s, double for_s) {
  double *duration = g_new(double, 1);
  *duration = for_s;
  sim_after(in_s, state_goes_down, duration);
}

static sim_worker *any_worker(void) {
  if (g_worker_list->len == 0) return NULL;
  return g_worker_list->pdata[g_rand_int_range(sim_rand(), 0, (gint32)g_worker_list->len)];
}

/* ---- faults: each draws its numbers in a fixed order, so that a seed is always the same day ---- */

static void fault_crash_some(void) {
  crash(world_any_node());
  if (sim_chance(0.3)) crash(world_any_node());
}

static void fault_crash_all(void) {
  for (int i = 0; i < WORLD_NODES; i++) crash(i);
}

static void fault_state_down(void) {
  state_down(true);
  sim_after(sim_draw(2, 25), state_up, NULL);
}

static void fault_cut(double until, sim_link mode) {
  link_fault fault = {.scope = (int)sim_draw(0, 6), .node = world_any_node(), .ends_at = until, .mode = mode};
  if (fault.scope == LINK_BETWEEN_ZONES) fault.node = -1;
  g_array_append_val(g_cuts, fault);
}

/* Reports arrive, answers and commands don't. Now and then at many machines. */
static void fault_deaf(double until) {
  bool many = sim_chance(0.15);
  for (guint i = 0; i < g_worker_list->len; i++) {
    sim_worker *worker = many ? g_worker_list->pdata[i] : any_worker();
    worker->inbound_lost_until = until;
    if (!many) break;
  }
}

static void fault_reborn(void) {
  sim_worker *worker = any_worker();
  if (worker && worker->up && !worker->terminated) worker_restart_empty(worker);
}

/* Many machines at once: they die, or hang. */
static void fault_many_machines(double until) {
  bool die = sim_chance(0.5);
  for (guint i = 0; i < g_worker_list->len; i++) {
    sim_worker *worker = g_worker_list->pdata[i];
    if (!worker->up || worker->terminated || sim_chance(0.5)) continue;
    if (die) worker->terminated = true;
    worker->hung_until = until;
  }
}

/* For less and for more than its own lease, a worker's lease, a cancellation's time. */
static void fault_still(double length) {
  world_still((unsigned)world_any_node(), sim_chance(0.4) ? sim_draw(0.2, 3) : length * 1.4);
}

/* Back in a blink, twice in a row, two at once, in the middle of a term. */
static void fault_blinks(void) {
  int first = world_any_node(), second = world_any_node();
  blink(first);
  blink(second);
  sim_after(sim_draw(0.1, 1.5), blink_again, &g_settings[first]);
  sim_after(sim_draw(0.1, 1.5), blink_again, &g_settings[second]);
}

/* Spot machines mostly go with a notice. */
static void machine_ends(sim_worker *worker, double now) {
  if (worker->spot && sim_chance(0.5)) {
    worker->preemption_notice_at = now;
    worker->preempted_at = now + sim_draw(5, 15);
  } else {
    worker->terminated = true;
  }
}

/* One machine hangs, is cut off or ends. */
static void fault_machine(double choice, double now, double length, sim_link mode) {
  sim_worker *worker = any_worker();
  if (!worker || worker->terminated || !worker->up) return; /* nothing to break */
  if (choice < 10.5) {
    worker->hung_until = now + length;
  } else if (choice < 11.3) {
    link_fault fault = {.scope = LINK_WORKER, .node = -1, .ip = worker->ip, .ends_at = now + length, .mode = mode};
    g_array_append_val(g_cuts, fault);
  } else {
    machine_ends(worker, now);
  }
}

static void fault(void *arg) {
  double end = *(double *)arg;
  if (sim_now() > end) return;
  g_result.faults++;
  double choice = sim_draw(0, 18), now = sim_now();
  sim_link mode = sim_chance(0.5) ? SIM_HELD : SIM_RESET;
  double length = sim_draw(3, 30);
  if (g_verbose) g_printerr("%.1f fault %.2f length %.1f\n", now, choice, length);
  if (choice < 3) {
    fault_crash_some();
  } else if (choice < 3.5) {
    fault_crash_all();
  } else if (choice < 5) {
    fault_state_down();
  } else if (choice < 6) {
    g_refuse_until[world_any_node()] = now + length;
  } else if (choice < 9.5) {
    fault_cut(now + length, mode);
  } else if (choice < 12) {
    fault_machine(choice, now, length, mode);
  } else if (choice < 13) {
    fault_deaf(now + length * 1.5);
  } else if (choice < 14) {
    fault_reborn();
  } else if (choice < 15.5) {
    fault_blinks();
  } else if (choice < 16.4) {
    fault_still(length);
  } else if (choice < 17.2) {
    world_cut_zone(g_rand_int_range(sim_rand(), 0, 2), length * 1.4);
  } else {
    fault_many_machines(now + length);
  }
  sim_after(sim_draw(1, 16), fault, arg);
}

static void settings_of(int node) {
  fc_settings *settings = &g_settings[node];
  memset(settings, 0, sizeof *settings);
  settings->name = g_strdup_printf("paddock-%d", node);
  settings->zone = (char *)world_zones[node == 1];
  settings->client_at = (fc_endpoint){htonl(WORLD_NODE_IP(node)), 8080};
  settings->peer_at = (fc_endpoint){htonl(WORLD_NODE_IP(node)), 8081};
  settings->cloud_at = (fc_endpoint){htonl(WORLD_CLOUD_IP), 8443};
  settings->kv_at = (fc_endpoint){htonl(WORLD_STATE_IP), 2379};
  for (int peer_node = 0; peer_node < WORLD_NODES; peer_node++) {
    if (peer_node == node) continue;
    fc_peer_settings *peer = &settings->peers[settings->peer_count++];
    peer->name = g_strdup_printf("paddock-%d", peer_node);
    peer->zone = (char *)world_zones[peer_node == 1];
    peer->peer_at = (fc_endpoint){htonl(WORLD_NODE_IP(peer_node)), 8081};
  }
  settings->zone_count = 2;
  settings->zones[0] = (char *)world_zones[0];
  settings->zones[1] = (char *)world_zones[1];
  settings->team_count = 2;
  settings->teams[0] = (fc_team_settings){.name = (char *)"red", .gpus = 8};
  settings->teams[1] = (fc_team_settings){.name = (char *)"blue", .gpus = 6, .gpus_max = 12};
  settings->heartbeat_s = HEARTBEAT_S;
  settings->lease_s = LEASE_S;
  settings->cancel_s = CANCEL_DEADLINE_S;
  settings->gang_wait_s = GANG_WAIT_S;
  settings->gang_peer_s = GANG_PEER_S;
  settings->kv_rps = 120;
  settings->kv_write_rps = settings->kv_next_write_rps = 40;
  settings->kv_value_kb = 8;
  settings->kv_txn_ops = 8;
  settings->cloud_rps = 4;
  settings->memory_mb = 56;
  settings->cpu = 0.08;
  settings->fd_limit = 900;
  fc_operator_defaults(&settings->op);
  settings->op.over_keep_s = 20; /* jobs are archived in the middle of the troubles */
}

void world_notice(unsigned at, double in_s) {
  sim_worker *worker = machine(at);
  worker->preemption_notice_at = sim_now();
  worker->preempted_at = sim_now() + in_s;
  worker->status_changed = true;
}

bool world_give_notice(double in_s) {
  for (guint i = 0; i < g_worker_list->len; i++) {
    const sim_worker *worker = g_worker_list->pdata[i];
    if (worker->terminated || !worker->up || !worker->spot || worker->tasks->len == 0) continue;
    world_notice(i, in_s);
    return true;
  }
  return false;
}

/* A job that only the workers know of so far: users upload descriptions. */
void world_add_job(const char *id, const char *kind, unsigned tasks, double gpus, double run_s) {
  sim_job *job = g_new0(sim_job, 1);
  g_strlcpy(job->id, id, sizeof job->id);
  job->kind = kind;
  job->team = "red";
  job->tasks = tasks;
  job->gpus = job->cpus = gpus;
  job->run_s = run_s;
  job->spot = job->submitting = true;
  job->needs = g_ptr_array_new();
  job->done = g_new0(bool, tasks);
  g_hash_table_insert(g_jobs, job->id, job);
}

/* With simulated time and the controller's number. */
static GLogWriterOutput log_line(GLogLevelFlags level, const GLogField *fields, gsize count, gpointer data) {
  (void)level;
  (void)data;
  for (gsize i = 0; i < count; i++)
    if (strcmp(fields[i].key, "MESSAGE") == 0)
      g_printerr("%.2f p%d %s\n", sim_now(), node_of(sim_here()), (const char *)fields[i].value);
  return G_LOG_WRITER_HANDLED;
}

void world_set_up(uint32_t seed, double lose) {
  g_verbose = g_getenv("WORLD_VERBOSE") != NULL;
  static bool logging;
  if (g_verbose && !logging) g_log_set_writer_func(log_line, NULL, NULL);
  logging = g_verbose;
  memset(&g_result, 0, sizeof g_result);
  world_watch_leases();
  memset(g_refuse_until, 0, sizeof g_refuse_until);
  memset(g_strikes, 0, sizeof g_strikes);
  g_terms = 0;
  g_duplicate_share = g_faults_end_at = g_cancel_on_completion_share = 0;
  world_capacity(5, 3);
  users_init();
  workers_init();
  g_cuts = g_array_new(FALSE, FALSE, sizeof(link_fault));
  sim_init(seed);
  sim_set_links(link_now, lose, lose);
  kv_init();
  cloud_init();
  memset(g_former, 0, sizeof g_former);
  for (int node = 0; node < WORLD_NODES; node++) settings_of(node);
  const fc_settings *settings = &g_settings[0];
  g_now = g_next = (state_sizes){settings->kv_value_kb, settings->kv_txn_ops, settings->kv_write_rps};
}

void world_start_nodes(void) {
  for (int node = 0; node < WORLD_NODES; node++) sim_after(sim_draw(0, 0.3), node_boot, &g_settings[node]);
}

unsigned world_machines(void) {
  return g_worker_list->len;
}

/* A machine that was returned is not taken back into use by a late report; its record
 * goes a moment after it. */
void world_check_returned(void) {
  for (guint i = 0; i < g_worker_list->len; i++) {
    const sim_worker *worker = g_worker_list->pdata[i];
    char *key = g_strconcat("fc1/machine/", worker->id, NULL);
    if (worker->terminated && sim_now() > worker->released_at + HEARTBEAT_S * 2 && state_has(key))
      world_broke("returned machine on record", worker->id);
    g_free(key);
  }
}

/* ---- a day's upgrade ---- */

#define LATER_VALUE_KB 2
#define LATER_TXN_OPS 4
#define LATER_WRITE_RPS 15

static void lower_limits(void *arg) {
  (void)arg;
  world_state_limits(LATER_VALUE_KB, LATER_TXN_OPS, LATER_WRITE_RPS);
}

static void late_writes_end(void *arg) {
  (void)arg;
  world_late_writes(0);
}

/* One controller after the other; now and then the next before the last is back. Some of
 * their transactions are carried out when the last of them has long ended. */
static void upgrade_next(void *arg) {
  unsigned node = GPOINTER_TO_UINT(arg);
  if (node == 0) world_late_writes(0.1);
  world_upgrade(node, sim_chance(0.3) ? sim_draw(0.05, 0.5) : sim_draw(3.5, 4.5));
  if (g_verbose) g_printerr("%.2f upgrade of %u\n", sim_now(), node);
  if (node + 1 < WORLD_NODES) {
    sim_after(sim_draw(2, 15), upgrade_next, GUINT_TO_POINTER(node + 1));
    return;
  }
  sim_after(0.1, late_writes_end, NULL);
  sim_after(sim_draw(1, 60), lower_limits, NULL);
}

static void begin_with_former_version(void) {
  world_state_next(LATER_VALUE_KB, LATER_TXN_OPS, LATER_WRITE_RPS);
  world_former_version();
  world_lateness(2, 90);
  sim_after(sim_draw(15, 60), upgrade_next, GUINT_TO_POINTER(0));
}

world_result world_play(uint32_t seed, double busy_s, const world_day *day) {
  bool meetings = day->meetings;
  world_set_up(seed, 0.002);
  if (day->upgrade) begin_with_former_version();
  world_start_nodes();
  for (int i = 0; i < 3; i++) (void)worker_new(i % 2, false, 0);
  for (unsigned i = 1; i <= (unsigned)(busy_s / 8); i++) users_add_random_job(i, busy_s, meetings);
  for (unsigned count = 0; day->pipelines && count < (unsigned)(busy_s / 4);)
    count += users_add_random_pipeline(count, busy_s);
  users_poll_unknown_job(NULL);
  static double end;
  end = sim_now() + busy_s;
  g_duplicate_share = 0.03;
  g_faults_end_at = end + 45; /* the longest trouble */
  /* Of the days with meetings some have no other troubles. */
  if (!meetings || seed % 3 != 0) sim_after(15, fault, &end);
  double over = meetings ? incidents_start(end) : 0;
  g_faults_end_at = MAX(g_faults_end_at, over);
  checks_start();
  sim_run_until(checks_end_time());
  checks_end();
  world_check_returned();
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init(&iter, g_jobs);
  while (g_hash_table_iter_next(&iter, NULL, &value)) {
    const sim_job *job = value;
    if (job->terminal) continue;
    g_result.unfinished++;
    if (g_verbose)
      g_printerr(
          "unfinished %s %s tasks=%u done=%u cpus=%.1f gpus=%.0f one_zone=%d zone=%s spread=%d spot=%d team=%s\n",
          job->id, job->kind, job->tasks, job->done_count, job->cpus, job->gpus, job->one_zone,
          job->zone ? job->zone : "-", job->spread, job->spot, job->team);
  }
  for (guint i = 0; g_verbose && i < g_worker_list->len; i++) {
    const sim_worker *worker = g_worker_list->pdata[i];
    if (!worker->terminated)
      g_printerr("machine %s zone=%s spot=%d up=%d up_at=%.0f tasks=%u\n", worker->id, world_zones[worker->zone],
                 worker->spot, worker->up, worker->boots_at, worker->tasks->len);
  }
  return g_result;
}
