/* Simulated workers: a machine with its lease and heartbeats, and the tasks on it. */
#ifndef FC_TESTS_SIM_WORKERS_H
#define FC_TESTS_SIM_WORKERS_H

#include "stand_ins.h"

/* ---- workers.c ---- */

/* Is it on, and does it run now? */
bool worker_alive(const sim_worker *worker);

/* ---- heartbeats.c ---- */

/* Ends all tasks and begins a new epoch if the lease has expired. */
void worker_check_lease(sim_worker *worker);
/* Sends a heartbeat; its reply renews the lease and may bring commands. */
void worker_send_heartbeat(sim_worker *worker);
/* A sim_server_fn for the worker in `arg`: commands that a controller sends directly. */
void worker_serve_commands(const sim_request *request, void *arg);

/* ---- tasks.c ---- */

void tasks_init(void);
/* Carries out the commands of a reply or a direct call, in their order. */
void tasks_execute(sim_worker *worker, json_t *commands);
/* What happens to the task within a step: its image is there, its run ends, ... */
void task_step(sim_worker *worker, sim_task *task);
void tasks_drop_all(sim_worker *worker);
/* Calls fn for each task on a machine: from the moment it has its image until it exits, or
 * until the worker's lease expires. */
void tasks_each_resident(void (*fn)(sim_worker *worker, sim_task *task, void *arg), void *arg);

/* ---- task_checks.c ---- */

/* Checks the rules about where and when a task may start; it has just got its image. */
void check_task_start(sim_worker *worker, sim_task *task);
/* Checks that no task runs on after its job's cancellation deadline. */
void check_task_cancelled(const sim_task *task);

#endif
