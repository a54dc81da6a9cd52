/* State of the links of the simulated network, from the link faults that scenes and random days have
 * added and from the state of machines. */
#include "deployment.h"
#include "stand_ins.h"

#define CONTROLLER_NETWORK (10u << 8 | 0) /* the first two bytes of an address */

static GArray *g_link_faults;                  /* link_fault */
static double g_kv_refuses_until[WORLD_NODES]; /* by controller */

void links_init(void) {
  memset(g_kv_refuses_until, 0, sizeof g_kv_refuses_until);
  g_link_faults = g_array_new(FALSE, FALSE, sizeof(link_fault));
}

int links_controller_at(uint32_t ip) {
  return ip >> 16 == CONTROLLER_NETWORK ? (int)(ip & 0xff) - 1 : -1;
}

int links_sender(const struct sim_exchange *exchange) {
  return links_controller_at(*(const uint32_t *)exchange); /* its first field: the sender's address */
}

/* The zone of the address, -1: none. The second controller is in the second zone. */
static int zone_at(uint32_t ip) {
  if (ip >> 16 == CONTROLLER_NETWORK) return links_controller_at(ip) == 1 ? 1 : 0;
  const sim_worker *worker = g_hash_table_lookup(g_workers_by_ip, GUINT_TO_POINTER(ip));
  return worker ? worker->zone : -1;
}

/* Whether the fault covers traffic from one address to the other. Links fail both ways, so callers check
 * both directions. */
static bool fault_matches(const link_fault *fault, uint32_t from, uint32_t to) {
  bool from_controller = links_controller_at(from) == fault->node && fault->node >= 0;
  switch (fault->scope) {
    case LINK_BETWEEN_ZONES:
      return zone_at(from) >= 0 && zone_at(to) >= 0 && zone_at(from) != zone_at(to);
    case LINK_CONTROLLER:
      return from_controller;
    case LINK_CONTROLLER_KV:
      return from_controller && to == WORLD_KV_IP;
    case LINK_CONTROLLER_PEERS:
      return from_controller && links_controller_at(to) >= 0;
    case LINK_CONTROLLER_KV_AND_PEERS:
      return from_controller && (to == WORLD_KV_IP || links_controller_at(to) >= 0);
    case LINK_CONTROLLER_WORKERS:
      return from_controller && g_hash_table_contains(g_workers_by_ip, GUINT_TO_POINTER(to));
    case LINK_ZONE:
      return zone_at(from) == fault->node && zone_at(to) != fault->node;
    case LINK_CONTROLLER_WORKER:
      return from_controller && to == fault->ip;
    default:
      return from == fault->ip;
  }
}

sim_link links_state(uint32_t from, uint32_t to) {
  const sim_worker *worker = g_hash_table_lookup(g_workers_by_ip, GUINT_TO_POINTER(to));
  if (worker && worker->terminated) return SIM_RESET;
  if (worker && (worker->hung_until > sim_now() || !worker->up)) return SIM_HELD;
  if (worker && worker->inbound_lost_until > sim_now()) return worker->ip & 1 ? SIM_HELD : SIM_RESET;
  if (links_controller_at(to) >= 0 && !sim_process_alive(to)) return SIM_RESET;
  for (guint i = 0; i < g_link_faults->len; i++) {
    const link_fault *fault = &g_array_index(g_link_faults, link_fault, i);
    if (sim_now() < fault->ends_at && (fault_matches(fault, from, to) || fault_matches(fault, to, from)))
      return fault->mode;
  }
  return SIM_CLEAR;
}

void links_add_fault(const link_fault *fault) {
  g_array_append_vals(g_link_faults, fault, 1);
}

bool world_kv_refuses(const struct sim_exchange *exchange) {
  int node = links_sender(exchange);
  return node >= 0 && sim_now() < g_kv_refuses_until[node];
}

/* ---- fault functions for scenes ---- */

static void add_controller_fault(link_scope scope, unsigned node, double for_s, sim_link mode) {
  links_add_fault(&(link_fault){.scope = scope, .node = (int)node, .ends_at = sim_now() + for_s, .mode = mode});
}

void world_partition_node(unsigned node, double for_s) {
  add_controller_fault(LINK_CONTROLLER_KV_AND_PEERS, node, for_s, SIM_HELD);
}

void world_cut_zone(unsigned zone, double for_s) {
  add_controller_fault(LINK_ZONE, zone, for_s, SIM_HELD);
}

void world_cut_pair(unsigned node, unsigned machine, double for_s, sim_link mode) {
  const sim_worker *worker = g_worker_list->pdata[machine];
  links_add_fault(&(link_fault){.scope = LINK_CONTROLLER_WORKER,
                                .node = (int)node,
                                .ip = worker->ip,
                                .ends_at = sim_now() + for_s,
                                .mode = mode});
}

void world_cut_node(unsigned node, double for_s, sim_link mode) {
  add_controller_fault(LINK_CONTROLLER, node, for_s, mode);
}

void world_cut_node_peers(unsigned node, double for_s) {
  add_controller_fault(LINK_CONTROLLER_PEERS, node, for_s, SIM_HELD);
}

void world_cut_node_workers(unsigned node, double for_s, sim_link mode) {
  add_controller_fault(LINK_CONTROLLER_WORKERS, node, for_s, mode);
}

void world_kv_refuse_node(unsigned node, double for_s) {
  g_kv_refuses_until[node] = sim_now() + for_s;
}

void world_slow_links(double for_s, double max_s) {
  sim_slow_links(sim_now() + for_s, max_s);
}
