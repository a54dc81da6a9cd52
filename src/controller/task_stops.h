/* Stops tasks that must not run any more, and drains machines that are about to go: the decisions
 * of a scheduling round that need no plan. */
#ifndef FC_CONTROLLER_TASK_STOPS_H
#define FC_CONTROLLER_TASK_STOPS_H

#include "bookkeeping/cluster.h"
#include "controller/worker_calls.h"

typedef struct fc_task_stops fc_task_stops;

/* The arguments have to outlive it. */
fc_task_stops *fc_task_stops_new(fc_cluster *cluster, fc_worker_calls *calls);

/* Requests the stop, without time for a checkpoint, of tasks that must not run any more. Returns
 * whether there was any. */
bool fc_task_stops_unwanted(fc_task_stops *stops, fc_machine *machine);
/* Drains a machine that is about to be taken back by the cloud, or returned as faulty: what can
 * save a checkpoint does so, and goes on elsewhere. Returns whether any stop was requested that the
 * caller has to send. */
bool fc_task_stops_drain(fc_task_stops *stops, fc_machine *machine);
/* Has the machine commands that no heartbeat will fetch soon: starts that have not been sent, and
 * stops that the answer to a heartbeat would have carried by now? A machine that reaches nobody
 * hears of them by a direct call or never. */
bool fc_task_stops_call_due(const fc_task_stops *stops, const fc_machine *machine, double now);

#endif
