/* Processor time of simulated processes that have a CPU share, and counts of wake-ups, messages and
 * bytes by address. */
#include "network.h"
#include "sim.h"

typedef struct cpu_settings {
  double cpu_share, timer_delay_max_s;
} cpu_settings;

#define WORKER_NETWORK (10u << 8 | 1) /* the first two bytes of an address */

static GHashTable *g_cpu_settings; /* address -> cpu_settings, kept over restarts */
static GHashTable *g_loads;        /* address -> sim_load, kept over restarts */
static sim_work_cost_fn g_work_cost_fn;
static unsigned g_internal_alloc_depth; /* of nested sim_internal_alloc_begin() calls */
static const sim_costs k_costs = {.wake_s = 20e-6, .message_s = 30e-6, .byte_s = 0.1e-6};

void sim_load_init(void) {
  g_cpu_settings = g_hash_table_new_full(NULL, NULL, NULL, g_free);
  g_loads = g_hash_table_new_full(NULL, NULL, NULL, g_free);
  g_work_cost_fn = NULL;
}

void sim_internal_alloc_begin(void) {
  g_internal_alloc_depth++;
}

void sim_internal_alloc_end(void) {
  g_internal_alloc_depth--;
}

uint32_t sim_allocating_ip(void) {
  return g_internal_alloc_depth == 0 ? sim_running_ip() : 0;
}

static sim_load *load_of(uint32_t ip) {
  sim_load *load = g_hash_table_lookup(g_loads, GUINT_TO_POINTER(ip));
  if (!load) {
    g_internal_alloc_depth++;
    load = g_new0(sim_load, 1);
    g_hash_table_insert(g_loads, GUINT_TO_POINTER(ip), load);
    g_internal_alloc_depth--;
  }
  return load;
}

sim_load sim_load_of(uint32_t ip) {
  return *load_of(ip);
}

double sim_message_cost(size_t bytes) {
  return k_costs.message_s + k_costs.byte_s * (double)bytes;
}

void sim_charge(sim_process *process, double cost_s) {
  if (!process || process->cpu_share <= 0) return;
  load_of(process->ip)->busy_s += cost_s;
  process->busy_until = MAX(process->busy_until, sim_now()) + cost_s / process->cpu_share;
}

void sim_charge_wake(sim_process *process) {
  load_of(process->ip)->wakes++;
  sim_charge(process, k_costs.wake_s);
}

void sim_charge_work(sim_process *process) {
  if (g_work_cost_fn && process->cpu_share > 0) sim_charge(process, g_work_cost_fn(process->ip));
}

double sim_send_delay(const sim_process *process) {
  return process && process->cpu_share > 0 ? MAX(0, process->busy_until - sim_now()) : 0;
}

static sim_traffic *traffic_counter(uint32_t ip, uint32_t other, bool sent) {
  sim_load *load = load_of(ip);
  bool peer = other >> 16 == ip >> 16; /* controllers share a network */
  bool worker = other >> 16 == WORKER_NETWORK;
  sim_two_way_traffic *totals = peer ? &load->peers : worker ? &load->workers : &load->others;
  return sent ? &totals->sent : &totals->received;
}

void sim_count_message(uint32_t from, uint32_t to, size_t bytes) {
  sim_traffic *counters[] = {traffic_counter(from, to, true), traffic_counter(to, from, false)};
  for (size_t i = 0; i < G_N_ELEMENTS(counters); i++) {
    counters[i]->messages++;
    counters[i]->bytes += bytes;
  }
}

void sim_process_set_cpu_share(uint32_t ip, double cpu_share, double timer_delay_max_s) {
  cpu_settings *settings = g_new(cpu_settings, 1);
  *settings = (cpu_settings){cpu_share, timer_delay_max_s};
  g_hash_table_insert(g_cpu_settings, GUINT_TO_POINTER(ip), settings);
}

void sim_apply_cpu_share(sim_process *process) {
  const cpu_settings *settings = g_hash_table_lookup(g_cpu_settings, GUINT_TO_POINTER(process->ip));
  if (!settings) return;
  process->cpu_share = settings->cpu_share;
  process->timer_delay_max_s = settings->timer_delay_max_s;
}

void sim_set_work_cost(sim_work_cost_fn fn) {
  g_work_cost_fn = fn;
}
