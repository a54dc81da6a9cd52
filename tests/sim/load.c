/* What simulated processes cost: shares of a processor, and counts of wake-ups, messages
 * and bytes by address. */
#include "network.h"
#include "sim.h"

typedef struct cpu_share {
  double of_processor, timers_late_s;
} cpu_share;

#define WORKER_NETWORK (10u << 8 | 1) /* the first two bytes of an address */

static GHashTable *g_shares; /* address -> cpu_share: outlives the process */
static GHashTable *g_loads;  /* address -> sim_load: since the start of the simulation */
static sim_work_cost_fn g_work;
static unsigned g_own_work; /* depth of sim_own_work_begin() */
static const sim_costs k_costs = {.wake_s = 20e-6, .message_s = 30e-6, .byte_s = 0.1e-6};

void sim_load_init(void) {
  g_shares = g_hash_table_new_full(NULL, NULL, NULL, g_free);
  g_loads = g_hash_table_new_full(NULL, NULL, NULL, g_free);
  g_work = NULL;
}

void sim_own_work_begin(void) {
  g_own_work++;
}

void sim_own_work_end(void) {
  g_own_work--;
}

uint32_t sim_allocating_ip(void) {
  return g_own_work == 0 ? sim_running_ip() : 0;
}

static sim_load *load_of(uint32_t ip) {
  sim_load *load = g_hash_table_lookup(g_loads, GUINT_TO_POINTER(ip));
  if (!load) {
    g_own_work++;
    load = g_new0(sim_load, 1);
    g_hash_table_insert(g_loads, GUINT_TO_POINTER(ip), load);
    g_own_work--;
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
  if (!process || process->share <= 0) return;
  load_of(process->ip)->busy_s += cost_s;
  process->busy_until = MAX(process->busy_until, sim_now()) + cost_s / process->share;
}

void sim_charge_wake(sim_process *process) {
  load_of(process->ip)->wakes++;
  sim_charge(process, k_costs.wake_s);
}

void sim_charge_work(sim_process *process) {
  if (g_work && process->share > 0) sim_charge(process, g_work(process->ip));
}

double sim_departs_in(const sim_process *process) {
  return process && process->share > 0 ? MAX(0, process->busy_until - sim_now()) : 0;
}

static sim_traffic *traffic(uint32_t ip, uint32_t other, bool sent) {
  sim_load *load = load_of(ip);
  bool peer = other >> 16 == ip >> 16; /* the other controllers are in its network */
  bool worker = other >> 16 == WORKER_NETWORK;
  sim_two_way_traffic *way = peer ? &load->peers : worker ? &load->workers : &load->others;
  return sent ? &way->sent : &way->received;
}

void sim_count_message(uint32_t from, uint32_t to, size_t bytes) {
  sim_traffic *ways[] = {traffic(from, to, true), traffic(to, from, false)};
  for (size_t i = 0; i < G_N_ELEMENTS(ways); i++) {
    ways[i]->messages++;
    ways[i]->bytes += bytes;
  }
}

void sim_process_set_cpu_share(uint32_t ip, double of_processor, double timers_late_s) {
  cpu_share *settings = g_new(cpu_share, 1);
  *settings = (cpu_share){of_processor, timers_late_s};
  g_hash_table_insert(g_shares, GUINT_TO_POINTER(ip), settings);
}

void sim_load_apply(sim_process *process) {
  const cpu_share *settings = g_hash_table_lookup(g_shares, GUINT_TO_POINTER(process->ip));
  if (!settings) return;
  process->share = settings->of_processor;
  process->timer_delay_s = settings->timers_late_s;
}

void sim_set_work_cost(sim_work_cost_fn fn) {
  g_work = fn;
}
