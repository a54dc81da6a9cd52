/* Cloud, workers, users and faults; the rules are checked where they could break. */
#include "parts.h"
#include "requests.h"

#include <arpa/inet.h>

#include "controller/controller.h"

static fc_settings g_settings[WORLD_NODES];
static fc_controller *g_controllers[WORLD_NODES];
static GArray *g_cuts;
static double g_refuse_until[WORLD_NODES];
GHashTable *g_jobs, *g_workers, *g_by_ip;
GPtrArray *g_order;
world_result g_result;
double g_copies, g_quiet_from;
bool g_verbose;
unsigned g_capacity, g_capacity_spot;

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
  worker *w = g_hash_table_lookup(g_by_ip, GUINT_TO_POINTER(ip));
  return w ? w->zone : -1;
}

static int node_of(uint32_t ip) {
  return ip >> 16 == (10u << 8 | 0) ? (int)(ip & 0xff) - 1 : -1;
}

static bool cut_matches(const cut *c, uint32_t a, uint32_t b) {
  bool a_node = node_of(a) == c->node && c->node >= 0;
  switch (c->kind) {
    case CUT_ZONES:
      return zone_of(a) >= 0 && zone_of(b) >= 0 && zone_of(a) != zone_of(b);
    case CUT_NODE:
      return a_node;
    case CUT_NODE_STATE:
      return a_node && b == WORLD_STATE_IP;
    case CUT_NODE_PEERS:
      return a_node && node_of(b) >= 0;
    case CUT_NODE_ALONE: /* with nobody but its workers */
      return a_node && (b == WORLD_STATE_IP || node_of(b) >= 0);
    case CUT_NODE_WORKERS:
      return a_node && g_hash_table_contains(g_by_ip, GUINT_TO_POINTER(b));
    case CUT_ZONE: /* from everything, what belongs to no zone included */
      return zone_of(a) == c->node && zone_of(b) != c->node;
    case CUT_PAIR:
      return a_node && b == c->ip;
    default:
      return a == c->ip;
  }
}

static sim_link link_now(uint32_t from, uint32_t to) {
  worker *w = g_hash_table_lookup(g_by_ip, GUINT_TO_POINTER(to));
  if (w && w->gone) return SIM_RESET;
  if (w && (w->hang_until > sim_now() || !w->up)) return SIM_HELD;
  if (w && w->deaf_until > sim_now()) return w->ip & 1 ? SIM_HELD : SIM_RESET;
  if (node_of(to) >= 0 && !sim_process_alive(to)) return SIM_RESET;
  for (guint i = 0; i < g_cuts->len; i++) {
    const cut *c = &g_array_index(g_cuts, cut, i);
    if (sim_now() < c->until && (cut_matches(c, from, to) || cut_matches(c, to, from))) return c->mode;
  }
  return SIM_CLEAR;
}

bool world_state_refuses(const struct sim_exchange *x) {
  uint32_t from = *(const uint32_t *)x; /* first field: the sender */
  int n = node_of(from);
  return n >= 0 && sim_now() < g_refuse_until[n];
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
  const strike *s = arg;
  world_crash(s->node, s->back_in_s);
  g_free(arg);
}

void world_wrote(const struct sim_exchange *x, const char *key) {
  g_terms += strcmp(key, FC_KEY_TERM) == 0;
  int n = node_of(*(const uint32_t *)x); /* first field: the sender */
  if (n < 0 || !g_strikes[n].prefix || !g_str_has_prefix(key, g_strikes[n].prefix)) return;
  strike *s = g_new(strike, 1);
  *s = g_strikes[n];
  g_strikes[n].prefix = NULL;
  sim_after(s->after_s, strike_now, s);
}

void world_crash_at_write(unsigned node, const char *prefix, double after_s, double back_in_s) {
  g_strikes[node] = (strike){prefix, node, after_s, back_in_s};
}

void world_alone(unsigned node, double for_s) {
  cut c = {.kind = CUT_NODE_ALONE, .node = (int)node, .until = sim_now() + for_s, .mode = SIM_HELD};
  g_array_append_val(g_cuts, c);
}

void world_cut_zone(unsigned zone, double for_s) {
  cut c = {.kind = CUT_ZONE, .node = (int)zone, .until = sim_now() + for_s, .mode = SIM_HELD};
  g_array_append_val(g_cuts, c);
}

void world_still(unsigned node, double for_s) {
  sim_process_still(WORLD_NODE_IP(node), for_s);
}

void world_deaf(unsigned from, unsigned to, double for_s) {
  for (unsigned i = from; i < to; i++) ((worker *)g_order->pdata[i])->deaf_until = sim_now() + for_s;
}

static worker *machine(unsigned i) {
  return g_order->pdata[i];
}

void world_hang(unsigned from, unsigned to, double for_s) {
  for (unsigned i = from; i < to; i++) machine(i)->hang_until = sim_now() + for_s;
}

void world_mute(unsigned from, unsigned to, double for_s) {
  for (unsigned i = from; i < to; i++) machine(i)->mute_until = sim_now() + for_s;
}

void world_cut_pair(unsigned node, unsigned at, double for_s, sim_link mode) {
  cut c = {.kind = CUT_PAIR, .node = (int)node, .ip = machine(at)->ip, .until = sim_now() + for_s, .mode = mode};
  g_array_append_val(g_cuts, c);
}

void world_cut_node(unsigned node, double for_s, sim_link mode) {
  cut c = {.kind = CUT_NODE, .node = (int)node, .until = sim_now() + for_s, .mode = mode};
  g_array_append_val(g_cuts, c);
}

void world_cut_node_peers(unsigned node, double for_s) {
  cut c = {.kind = CUT_NODE_PEERS, .node = (int)node, .until = sim_now() + for_s, .mode = SIM_HELD};
  g_array_append_val(g_cuts, c);
}

void world_cut_node_workers(unsigned node, double for_s, sim_link mode) {
  cut c = {.kind = CUT_NODE_WORKERS, .node = (int)node, .until = sim_now() + for_s, .mode = mode};
  g_array_append_val(g_cuts, c);
}

void world_refuse(unsigned node, double for_s) {
  g_refuse_until[node] = sim_now() + for_s;
}

void world_state_slow(double for_s, double most_s) {
  state_slow(sim_now() + for_s, most_s);
}

void world_state_blind(const char *id, double for_s) {
  state_blind(id, for_s);
}

void world_slow_links(double for_s, double most_s) {
  sim_slow_links(sim_now() + for_s, most_s);
}

void world_late_writes(double share) {
  g_late_writes = share;
}

void world_cancel_at_end(double share) {
  g_cancel_at_end = share;
}

void world_kill(unsigned from, unsigned to) {
  for (unsigned i = from; i < to; i++) ((worker *)g_order->pdata[i])->gone = true;
}

unsigned world_node_of(unsigned at) {
  return (unsigned)machine(at)->node;
}

unsigned world_gone(unsigned from, unsigned to) {
  unsigned n = 0;
  for (unsigned i = from; i < to; i++) n += ((worker *)g_order->pdata[i])->gone;
  return n;
}

void world_capacity(unsigned ordinary, unsigned spot) {
  g_capacity = ordinary;
  g_capacity_spot = spot;
}

void world_keep_idle(void) {
  for (int n = 0; n < WORLD_NODES; n++) g_settings[n].operator_settings.idle_keep_share = 1e6;
}

void world_keep_over(double for_s) {
  for (int n = 0; n < WORLD_NODES; n++) g_settings[n].operator_settings.over_keep_s = for_s;
}

void world_limit(double cpus, double gpus) {
  for (int n = 0; n < WORLD_NODES; n++) {
    g_settings[n].teams[1].cpus_max = cpus;
    g_settings[n].teams[1].gpus_max = gpus;
  }
}

void world_return_idle(void) {
  for (int n = 0; n < WORLD_NODES; n++) g_settings[n].operator_settings.idle_keep_share = 0.01;
}

void world_large(unsigned machines) {
  world_capacity(machines / 2, 0);
  world_keep_idle();
  for (int n = 0; n < WORLD_NODES; n++) {
    fc_settings *settings = &g_settings[n];
    settings->kv_rps = 500;
    settings->kv_write_rps = settings->kv_next_write_rps = machines;
    settings->kv_txn_ops = 24;
    world_state_limits(settings->kv_value_kb, settings->kv_txn_ops, 0);
    state_later_limits(settings->kv_value_kb, settings->kv_txn_ops);
    settings->fd_limit = machines * 2;
    settings->cloud_rps = 6;
    settings->teams[0].gpus = machines;
    settings->teams[1].gpus = settings->teams[1].gpus_max = 0;
    settings->operator_settings.rent = false; /* what there is */
  }
}

void world_lean(unsigned machines) {
  world_large(machines);
  for (int n = 0; n < WORLD_NODES; n++) {
    fc_settings *settings = &g_settings[n];
    settings->kv_rps = 100;
    settings->kv_write_rps = settings->kv_next_write_rps = 40;
    settings->cloud_rps = 2;
    settings->memory_mb = 27;
    settings->cpu = 0.024;
    settings->fd_limit = 900;
    fc_operator_settings usual;
    fc_operator_defaults(&usual);
    settings->operator_settings.over_keep_s = usual.over_keep_s;
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
  state_later_limits(g_next.value_kb, g_next.txn_ops);
  for (unsigned n = 0; n < WORLD_NODES; n++) set_limits(n);
}

void world_former_version(void) {
  for (unsigned n = 0; n < WORLD_NODES; n++) {
    g_former[n] = true;
    set_limits(n);
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
  for (unsigned n = 0; n < WORLD_NODES; n++)
    if (g_former[n]) return true;
  return false;
}

bool world_from_former(const struct sim_exchange *x) {
  int n = node_of(*(const uint32_t *)x); /* first field: the sender */
  return n >= 0 && g_former[n];
}

/* A round looks at every machine and every job. */
static double work(uint32_t ip) {
  const double machine_s = 0.5e-6, job_s = 2e-6;
  static uint64_t seen[WORLD_NODES];
  int n = node_of(ip);
  const fc_controller *controller = g_controllers[n];
  if (!controller) return 0;
  uint64_t rounds = fc_controller_counters(controller)->rounds, before = MIN(seen[n], rounds);
  seen[n] = rounds;
  return (double)(rounds - before) * (machine_s * g_hash_table_size(fc_controller_cluster(controller)->machines) +
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
  g_quiet_from = sim_now() + in_s;
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

static unsigned tasks_in(tstate state) {
  unsigned n = 0;
  for (guint i = 0; i < g_order->len; i++) {
    const worker *w = g_order->pdata[i];
    for (guint k = 0; !w->gone && k < w->tasks->len; k++) n += ((task *)w->tasks->pdata[k])->state == state;
  }
  return n;
}

unsigned world_running(void) {
  return tasks_in(T_RUNNING);
}

unsigned world_fetching(void) {
  return tasks_in(T_FETCHING);
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
  double *s = g_new(double, 1);
  *s = for_s;
  sim_after(in_s, state_goes_down, s);
}

static worker *any_worker(void) {
  if (g_order->len == 0) return NULL;
  return g_order->pdata[g_rand_int_range(sim_rand(), 0, (gint32)g_order->len)];
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
  cut c = {.kind = (int)sim_draw(0, 6), .node = world_any_node(), .until = until, .mode = mode};
  if (c.kind == CUT_ZONES) c.node = -1;
  g_array_append_val(g_cuts, c);
}

/* Reports arrive, answers and commands don't. Now and then at many machines. */
static void fault_deaf(double until) {
  bool many = sim_chance(0.15);
  for (guint i = 0; i < g_order->len; i++) {
    worker *w = many ? g_order->pdata[i] : any_worker();
    w->deaf_until = until;
    if (!many) break;
  }
}

static void fault_reborn(void) {
  worker *w = any_worker();
  if (w && w->up && !w->gone) worker_reborn(w);
}

/* Many machines at once: they die, or hang. */
static void fault_many_machines(double until) {
  bool die = sim_chance(0.5);
  for (guint i = 0; i < g_order->len; i++) {
    worker *w = g_order->pdata[i];
    if (!w->up || w->gone || sim_chance(0.5)) continue;
    if (die) w->gone = true;
    w->hang_until = until;
  }
}

/* For less and for more than its own lease, a worker's lease, a cancellation's time. */
static void fault_still(double length) {
  world_still((unsigned)world_any_node(), sim_chance(0.4) ? sim_draw(0.2, 3) : length * 1.4);
}

/* Back in a blink, twice in a row, two at once, in the middle of a term. */
static void fault_blinks(void) {
  int a = world_any_node(), b = world_any_node();
  blink(a);
  blink(b);
  sim_after(sim_draw(0.1, 1.5), blink_again, &g_settings[a]);
  sim_after(sim_draw(0.1, 1.5), blink_again, &g_settings[b]);
}

/* Spot machines mostly go with a notice. */
static void machine_ends(worker *w, double now) {
  if (w->spot && sim_chance(0.5)) {
    w->notice_at = now;
    w->taken_at = now + sim_draw(5, 15);
  } else {
    w->gone = true;
  }
}

/* One machine hangs, is cut off or ends. */
static void fault_machine(double k, double now, double length, sim_link mode) {
  worker *w = any_worker();
  if (!w || w->gone || !w->up) return; /* nothing to break */
  if (k < 10.5) {
    w->hang_until = now + length;
  } else if (k < 11.3) {
    cut c = {.kind = CUT_WORKER, .node = -1, .ip = w->ip, .until = now + length, .mode = mode};
    g_array_append_val(g_cuts, c);
  } else {
    machine_ends(w, now);
  }
}

static void fault(void *arg) {
  double end = *(double *)arg;
  if (sim_now() > end) return;
  g_result.faults++;
  double k = sim_draw(0, 18), now = sim_now();
  sim_link mode = sim_chance(0.5) ? SIM_HELD : SIM_RESET;
  double length = sim_draw(3, 30);
  if (g_verbose) g_printerr("%.1f fault %.2f length %.1f\n", now, k, length);
  if (k < 3) {
    fault_crash_some();
  } else if (k < 3.5) {
    fault_crash_all();
  } else if (k < 5) {
    fault_state_down();
  } else if (k < 6) {
    g_refuse_until[world_any_node()] = now + length;
  } else if (k < 9.5) {
    fault_cut(now + length, mode);
  } else if (k < 12) {
    fault_machine(k, now, length, mode);
  } else if (k < 13) {
    fault_deaf(now + length * 1.5);
  } else if (k < 14) {
    fault_reborn();
  } else if (k < 15.5) {
    fault_blinks();
  } else if (k < 16.4) {
    fault_still(length);
  } else if (k < 17.2) {
    world_cut_zone(g_rand_int_range(sim_rand(), 0, 2), length * 1.4);
  } else {
    fault_many_machines(now + length);
  }
  sim_after(sim_draw(1, 16), fault, arg);
}

static void settings_of(int n) {
  fc_settings *settings = &g_settings[n];
  memset(settings, 0, sizeof *settings);
  settings->name = g_strdup_printf("paddock-%d", n);
  settings->zone = (char *)world_zones[n == 1];
  settings->client_at = (fc_endpoint){htonl(WORLD_NODE_IP(n)), 8080};
  settings->peer_at = (fc_endpoint){htonl(WORLD_NODE_IP(n)), 8081};
  settings->cloud_at = (fc_endpoint){htonl(WORLD_CLOUD_IP), 8443};
  settings->kv_at = (fc_endpoint){htonl(WORLD_STATE_IP), 2379};
  for (int k = 0; k < WORLD_NODES; k++) {
    if (k == n) continue;
    fc_peer_settings *peer = &settings->peers[settings->peer_count++];
    peer->name = g_strdup_printf("paddock-%d", k);
    peer->zone = (char *)world_zones[k == 1];
    peer->peer_at = (fc_endpoint){htonl(WORLD_NODE_IP(k)), 8081};
  }
  settings->zone_count = 2;
  settings->zones[0] = (char *)world_zones[0];
  settings->zones[1] = (char *)world_zones[1];
  settings->team_count = 2;
  settings->teams[0] = (fc_team_settings){.name = (char *)"red", .gpus = 8};
  settings->teams[1] = (fc_team_settings){.name = (char *)"blue", .gpus = 6, .gpus_max = 12};
  settings->heartbeat_s = REPORT_S;
  settings->lease_s = LEASE_S;
  settings->cancel_s = CANCEL_S;
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
  fc_operator_defaults(&settings->operator_settings);
  settings->operator_settings.over_keep_s = 20; /* jobs are archived in the middle of the troubles */
}

void world_notice(unsigned at, double in_s) {
  worker *w = machine(at);
  w->notice_at = sim_now();
  w->taken_at = sim_now() + in_s;
  w->changed = true;
}

bool world_give_notice(double in_s) {
  for (guint i = 0; i < g_order->len; i++) {
    const worker *w = g_order->pdata[i];
    if (w->gone || !w->up || !w->spot || w->tasks->len == 0) continue;
    world_notice(i, in_s);
    return true;
  }
  return false;
}

/* A job that only the workers know of so far: users upload descriptions. */
void world_add_job(const char *id, const char *kind, unsigned tasks, double gpus, double run_s) {
  job *j = g_new0(job, 1);
  g_strlcpy(j->id, id, sizeof j->id);
  j->kind = kind;
  j->team = "red";
  j->tasks = tasks;
  j->gpus = j->cpus = gpus;
  j->run_s = run_s;
  j->spot = j->submitting = true;
  j->awaits = g_ptr_array_new();
  j->done = g_new0(bool, tasks);
  g_hash_table_insert(g_jobs, j->id, j);
}

/* With simulated time and the controller's number. */
static GLogWriterOutput log_line(GLogLevelFlags level, const GLogField *fields, gsize n, gpointer data) {
  (void)level;
  (void)data;
  for (gsize i = 0; i < n; i++)
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
  g_copies = g_quiet_from = g_cancel_at_end = 0;
  world_capacity(5, 3);
  users_init();
  workers_init();
  g_cuts = g_array_new(FALSE, FALSE, sizeof(cut));
  sim_init(seed);
  sim_set_links(link_now, lose, lose);
  state_init();
  cloud_init();
  memset(g_former, 0, sizeof g_former);
  for (int n = 0; n < WORLD_NODES; n++) settings_of(n);
  const fc_settings *settings = &g_settings[0];
  g_now = g_next = (state_sizes){settings->kv_value_kb, settings->kv_txn_ops, settings->kv_write_rps};
}

void world_start_nodes(void) {
  for (int n = 0; n < WORLD_NODES; n++) sim_after(sim_draw(0, 0.3), node_boot, &g_settings[n]);
}

unsigned world_machines(void) {
  return g_order->len;
}

/* A machine that was returned is not taken back into use by a late report; its record
 * goes a moment after it. */
void world_check_returned(void) {
  for (guint i = 0; i < g_order->len; i++) {
    const worker *w = g_order->pdata[i];
    char *key = g_strconcat("fc1/machine/", w->id, NULL);
    if (w->gone && sim_now() > w->returned_at + REPORT_S * 2 && state_has(key))
      world_broke("returned machine on record", w->id);
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
  for (unsigned i = 1; i <= (unsigned)(busy_s / 8); i++) job_new(i, busy_s, meetings);
  for (unsigned n = 0; day->pipelines && n < (unsigned)(busy_s / 4);) n += pipeline_new(n, busy_s);
  ask_unknown(NULL);
  static double end;
  end = sim_now() + busy_s;
  g_copies = 0.03;
  g_quiet_from = end + 45; /* the longest trouble */
  /* Of the days with meetings some have no other troubles. */
  if (!meetings || seed % 3 != 0) sim_after(15, fault, &end);
  double over = meetings ? troubles_start(end) : 0;
  g_quiet_from = MAX(g_quiet_from, over);
  checks_start();
  sim_run_until(checks_day_ends());
  checks_end();
  world_check_returned();
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, g_jobs);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    const job *j = value;
    if (j->over) continue;
    g_result.unfinished++;
    if (g_verbose)
      g_printerr(
          "unfinished %s %s tasks=%u done=%u cpus=%.1f gpus=%.0f one_zone=%d zone=%s spread=%d spot=%d team=%s\n",
          j->id, j->kind, j->tasks, j->done_count, j->cpus, j->gpus, j->one_zone, j->zone ? j->zone : "-", j->spread,
          j->spot, j->team);
  }
  for (guint i = 0; g_verbose && i < g_order->len; i++) {
    const worker *w = g_order->pdata[i];
    if (!w->gone)
      g_printerr("machine %s zone=%s spot=%d up=%d up_at=%.0f tasks=%u\n", w->id, world_zones[w->zone], w->spot, w->up,
                 w->up_at, w->tasks->len);
  }
  return g_result;
}
