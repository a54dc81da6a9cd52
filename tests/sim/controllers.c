/* Processes of the simulated controllers: starts, crashes, pauses, upgrades, and the processor time
 * that they use. */
#include "bookkeeping/cluster_machines.h"
#include "controller/controller.h"
#include "held_calls.h"

#include "deployment.h"
#include "stand_ins.h"

#define FIRST_START_MAX_S 0.3

static fc_controller *g_controllers[WORLD_NODES];

/* Crashes a controller after its next write of a key with the prefix. */
typedef struct crash_trigger {
  const char *prefix; /* NULL: not set */
  double after_s, back_in_s;
} crash_trigger;

static crash_trigger g_crash_triggers[WORLD_NODES];
static unsigned g_terms_written;

void controllers_init(void) {
  memset(g_crash_triggers, 0, sizeof g_crash_triggers);
  g_terms_written = 0;
}

/* ---- starts and crashes ---- */

static void start_controller(void *arg) {
  unsigned node = GPOINTER_TO_UINT(arg);
  fc_controller *controller;
  fc_controller_error error = fc_controller_start(deployment_settings(node), &controller);
  if (error != FC_CONTROLLER_OK) world_rule_broken("controller failed to start", fc_controller_strerror(error));
  g_controllers[node] = controller;
}

static void start_if_down(void *arg) {
  uint32_t ip = WORLD_NODE_IP(GPOINTER_TO_UINT(arg));
  if (!sim_process_alive(ip)) sim_process_start(ip, start_controller, arg);
}

void world_start_nodes(void) {
  for (unsigned node = 0; node < WORLD_NODES; node++)
    sim_after(sim_draw(0, FIRST_START_MAX_S), start_if_down, GUINT_TO_POINTER(node));
}

void world_crash(unsigned node, double back_in_s) {
  g_result.crashes++;
  sim_process_kill(WORLD_NODE_IP(node));
  sim_after(back_in_s, start_if_down, GUINT_TO_POINTER(node));
  held_calls_note_fault();
}

void world_pause_node(unsigned node, double for_s) {
  held_calls_note_fault();
  sim_process_pause(WORLD_NODE_IP(node), for_s);
}

typedef struct planned_crash {
  unsigned node;
  double back_in_s;
} planned_crash;

static void crash_planned(void *arg) {
  const planned_crash *planned = arg;
  world_crash(planned->node, planned->back_in_s);
  g_free(arg);
}

void world_crash_in(unsigned node, double in_s, double back_in_s) {
  planned_crash *planned = g_new(planned_crash, 1);
  *planned = (planned_crash){node, back_in_s};
  sim_after(in_s, crash_planned, planned);
}

void world_key_written(const struct sim_exchange *exchange, const char *key) {
  g_terms_written += strcmp(key, FC_KEY_TERM) == 0;
  int node = links_sender(exchange);
  if (node < 0) return;
  crash_trigger *trigger = &g_crash_triggers[node];
  if (!trigger->prefix || !g_str_has_prefix(key, trigger->prefix)) return;
  trigger->prefix = NULL;
  world_crash_in((unsigned)node, trigger->after_s, trigger->back_in_s);
}

void world_crash_at_write(unsigned node, const char *prefix, double after_s, double back_in_s) {
  g_crash_triggers[node] = (crash_trigger){prefix, after_s, back_in_s};
}

unsigned world_terms_written(void) {
  return g_terms_written;
}

/* ---- versions ---- */

static void replace_version(unsigned node, bool former, double back_in_s) {
  world_crash(node, back_in_s);
  deployment_set_former(node, former);
}

void world_upgrade(unsigned node, double back_in_s) {
  replace_version(node, false, back_in_s);
}

void world_downgrade(unsigned node, double back_in_s) {
  replace_version(node, true, back_in_s);
}

/* ---- state ---- */

unsigned world_owner_of(unsigned machine) {
  const sim_worker *worker = g_worker_list->pdata[machine];
  for (unsigned node = 0; node < WORLD_NODES; node++) {
    if (!sim_process_alive(WORLD_NODE_IP(node))) continue;
    const fc_cluster *cluster = fc_controller_cluster(g_controllers[node]);
    const fc_machine *known = fc_cluster_find_machine(cluster, worker->id);
    if (known && fc_machine_owned_by_self(cluster, known)) return node;
  }
  return WORLD_NODES;
}

/* ---- processor time ---- */

/* A sim_work_cost_fn: the cost of the scheduling rounds since the last call. A round visits every machine and
 * every job. */
static double round_cost(uint32_t ip) {
  const double machine_s = 0.5e-6, job_s = 2e-6;
  static uint64_t seen_rounds[WORLD_NODES];
  int node = links_controller_at(ip);
  const fc_controller *controller = g_controllers[node];
  if (!controller) return 0;
  uint64_t rounds = fc_controller_counters(controller)->rounds, before = MIN(seen_rounds[node], rounds);
  seen_rounds[node] = rounds;
  return (double)(rounds - before) * (machine_s * g_hash_table_size(fc_controller_cluster(controller)->machines) +
                                      job_s * g_hash_table_size(fc_controller_cluster(controller)->jobs));
}

void world_slow_node(unsigned node, double of_processor, double timers_late_s) {
  sim_process_set_cpu_share(WORLD_NODE_IP(node), of_processor, timers_late_s);
  sim_set_work_cost(round_cost);
}

fc_counters world_counters(unsigned node) {
  return *fc_controller_counters(g_controllers[node]);
}
