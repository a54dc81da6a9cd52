/* Simulated processes: groups of routines that are started, paused and killed together. */
#include "network.h"
#include "sim.h"

static GHashTable *g_processes;        /* address -> the latest process there */
static sim_process *g_running_process; /* NULL: none */

void sim_processes_init(void) {
  g_processes = g_hash_table_new(NULL, NULL);
  g_running_process = NULL;
}

static sim_process *latest_at(uint32_t ip) {
  return g_hash_table_lookup(g_processes, GUINT_TO_POINTER(ip));
}

sim_process *sim_running_process(void) {
  return g_running_process;
}

sim_process *sim_process_enter(sim_process *process) {
  sim_process *before = g_running_process;
  g_running_process = process;
  return before;
}

void sim_process_start(uint32_t ip, sim_fn fn, void *arg) {
  sim_process *process = g_new0(sim_process, 1);
  process->ip = ip;
  process->alive = true;
  process->routines = g_ptr_array_new();
  g_queue_init(&process->ready);
  sim_apply_cpu_share(process);
  g_hash_table_insert(g_processes, GUINT_TO_POINTER(ip), process);
  sim_process *before = sim_process_enter(process);
  fn(arg);
  (void)sim_process_enter(before);
}

void sim_process_kill(uint32_t ip) {
  sim_process *process = latest_at(ip);
  if (!process || !process->alive) return;
  process->alive = false;
  while (process->routines->len > 0) sim_routine_release(process->routines->pdata[0]);
}

void sim_process_pause(uint32_t ip, double for_s) {
  sim_process *process = latest_at(ip);
  if (process) process->paused_until = sim_now() + for_s;
}

size_t sim_process_routine_count(uint32_t ip) {
  const sim_process *process = latest_at(ip);
  return process ? process->routines->len : 0;
}

uint32_t sim_running_ip(void) {
  return g_running_process ? g_running_process->ip : 0;
}

bool sim_process_alive(uint32_t ip) {
  const sim_process *process = latest_at(ip);
  return process && process->alive;
}
