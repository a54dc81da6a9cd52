/* Control of simulated machines by scenes, and their state. Machines are numbered in order of
 * creation. */
#include "workers.h"

#include "coordination/fencing_token.h"

static sim_worker *machine_at(unsigned number) {
  return g_worker_list->pdata[number];
}

/* ---- faults ---- */

void world_cut_inbound(unsigned from, unsigned to, double for_s) {
  for (unsigned i = from; i < to; i++) machine_at(i)->inbound_lost_until = sim_now() + for_s;
}

void world_cut_outbound(unsigned from, unsigned to, double for_s) {
  for (unsigned i = from; i < to; i++) machine_at(i)->outbound_lost_until = sim_now() + for_s;
}

void world_hang_machines(unsigned from, unsigned to, double for_s) {
  for (unsigned i = from; i < to; i++) machine_at(i)->hung_until = sim_now() + for_s;
}

void world_terminate_machines(unsigned from, unsigned to) {
  for (unsigned i = from; i < to; i++) machine_at(i)->terminated = true;
}

void world_restart_machines(unsigned from, unsigned to) {
  for (unsigned i = from; i < to; i++)
    if (!machine_at(i)->terminated) worker_restart_empty(machine_at(i));
}

void world_fail_tasks(unsigned machine, double for_s) {
  machine_at(machine)->tasks_fail_until = sim_now() + for_s;
}

void world_preempt_machine(unsigned machine, double in_s) {
  sim_worker *worker = machine_at(machine);
  worker->preemption_notice_at = sim_now();
  worker->preempted_at = sim_now() + in_s;
  worker->status_changed = true;
}

bool world_preempt_any_spot(double in_s) {
  for (guint i = 0; i < g_worker_list->len; i++) {
    const sim_worker *worker = g_worker_list->pdata[i];
    if (worker->terminated || !worker->up || !worker->spot || worker->tasks->len == 0) continue;
    world_preempt_machine(i, in_s);
    return true;
  }
  return false;
}

/* ---- capacity ---- */

void world_capacity(unsigned ordinary, unsigned spot) {
  g_zone_capacity = ordinary;
  g_zone_spot_capacity = spot;
}

void world_add_machines(unsigned zone, unsigned count) {
  while (count-- > 0) (void)worker_new((int)zone, false, 0);
}

unsigned world_machine_count(void) {
  return g_worker_list->len;
}

/* ---- state ---- */

unsigned world_node_of(unsigned machine) {
  return (unsigned)machine_at(machine)->node;
}

unsigned world_terminated_machines(unsigned from, unsigned to) {
  unsigned count = 0;
  for (unsigned i = from; i < to; i++) count += machine_at(i)->terminated;
  return count;
}

unsigned world_raised_tokens(void) {
  unsigned count = 0;
  for (guint i = 0; i < g_worker_list->len; i++) count += !fc_term_reserves_tokens(machine_at(i)->fencing_token);
  return count;
}

void world_use_up_tokens(unsigned machine) {
  sim_worker *worker = machine_at(machine);
  uint64_t term = worker->fencing_token;
  while (!fc_term_reserves_tokens(term)) term--;
  uint64_t token = term;
  while (!fc_fencing_token_nearly_last(token, term)) token = fc_fencing_token_raise(token, term);
  worker->fencing_token = token;
}

static unsigned count_tasks(task_state state) {
  unsigned count = 0;
  for (guint i = 0; i < g_worker_list->len; i++) {
    const sim_worker *worker = g_worker_list->pdata[i];
    for (guint k = 0; !worker->terminated && k < worker->tasks->len; k++)
      count += ((sim_task *)worker->tasks->pdata[k])->state == state;
  }
  return count;
}

unsigned world_running_tasks(void) {
  return count_tasks(TASK_RUNNING);
}

unsigned world_fetching_tasks(void) {
  return count_tasks(TASK_FETCHING);
}

/* The record of a machine is removed shortly after its return, and a late heartbeat must not register
 * it again. */
void world_check_released(void) {
  for (guint i = 0; i < g_worker_list->len; i++) {
    const sim_worker *worker = g_worker_list->pdata[i];
    char *key = g_strconcat("fc1/machine/", worker->id, NULL);
    if (worker->terminated && sim_now() > worker->released_at + HEARTBEAT_S * 2 && kv_has_key(key))
      world_rule_broken("record left of a returned machine", worker->id);
    g_free(key);
  }
}

static bool has_tasks(const sim_worker *worker) {
  for (guint i = 0; i < worker->tasks->len; i++)
    if (((const sim_task *)worker->tasks->pdata[i])->state != TASK_EXITED) return true;
  return false;
}

void world_check_tasks_known(void) {
  for (guint i = 0; i < g_worker_list->len; i++) {
    const sim_worker *worker = g_worker_list->pdata[i];
    g_autofree char *key = g_strconcat("fc1/machine/", worker->id, NULL);
    if (worker->up && !worker->terminated && has_tasks(worker) && !kv_has_key(key))
      world_rule_broken("tasks on a machine without a record", worker->id);
  }
}

/* ---- tasks of a job ---- */

/* A search for tasks of a job on machines, and its result. */
typedef struct task_search {
  const char *id;
  int index; /* -1: any */
  unsigned count;
  const sim_worker *worker; /* the last machine found */
} task_search;

static void count_task(sim_worker *worker, sim_task *task, void *arg) {
  task_search *search = arg;
  if (strcmp(task->job_id, search->id) != 0 || (search->index >= 0 && task->index != (unsigned)search->index)) return;
  search->count++;
  search->worker = worker;
}

unsigned world_tasks_of(const char *id) {
  task_search search = {.id = id, .index = -1};
  tasks_each_resident(count_task, &search);
  return search.count;
}

unsigned world_starts_of(const char *id) {
  const sim_job *job = g_hash_table_lookup(g_jobs, id);
  return job->starts;
}

int world_machine_of(const char *id, unsigned index) {
  task_search search = {.id = id, .index = (int)index};
  tasks_each_resident(count_task, &search);
  guint machine;
  return search.worker && g_ptr_array_find(g_worker_list, search.worker, &machine) ? (int)machine : -1;
}
