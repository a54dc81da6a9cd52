/* Simulated workers: machines with their leases, heartbeats and tasks. */
#ifndef FC_TESTS_SIM_WORKERS_H
#define FC_TESTS_SIM_WORKERS_H

#include "stand_ins.h"

/* ---- workers.c ---- */

/* Whether the machine has booted and is neither terminated nor hung. */
bool worker_alive(const sim_worker *worker);

/* ---- heartbeats.c ---- */

/* If the lease has expired, ends all tasks and begins a new epoch. */
void worker_check_lease(sim_worker *worker);
/* Sends a heartbeat; the response renews the lease and may carry commands. */
void worker_send_heartbeat(sim_worker *worker);
/* Executes a direct call with that body if its fencing token and epoch allow; returns whether they do. */
bool worker_receive_call(sim_worker *worker, const char *body);
/* A sim_server_fn for the worker in `arg`: serves the commands that controllers send directly. */
void worker_serve_commands(const sim_request *request, void *arg);

/* ---- tasks.c ---- */

/* Resets the counts of exits by cause. */
void tasks_init(void);
/* Executes the commands of a heartbeat response or a direct call, in order. */
void tasks_execute(sim_worker *worker, json_t *commands);
/* Advances the task by a step: ends its image fetch, wait or run if due. */
void task_step(sim_worker *worker, sim_task *task);
/* Removes and frees all tasks of the worker. */
void tasks_drop_all(sim_worker *worker);
/* Calls fn for each task that occupies a machine: from the end of its image fetch until it exits
 * or the worker's lease expires. */
void tasks_each_resident(void (*fn)(sim_worker *worker, sim_task *task, void *arg), void *arg);

/* ---- task_checks.c ---- */

/* Counts a start, and checks where and when the task may start; its image has just been fetched. */
void check_task_start(sim_worker *worker, sim_task *task);
/* Checks that the task does not run past the cancellation deadline of its job. */
void check_task_cancelled(const sim_task *task);

#endif
