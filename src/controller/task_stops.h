/* Stops tasks that must not run any more, and drains machines that will be reclaimed or returned. These are the
 * decisions of a scheduling round that need no plan. */
#ifndef FC_CONTROLLER_TASK_STOPS_H
#define FC_CONTROLLER_TASK_STOPS_H

#include "bookkeeping/cluster.h"
#include "controller/worker_calls.h"

typedef struct fc_task_stops fc_task_stops;

/* The arguments must outlive the result, which is never freed. */
fc_task_stops *fc_task_stops_new(fc_cluster *cluster, fc_worker_calls *calls);

/* Requests a stop, without time for a checkpoint, for tasks on the machine that must not run any more. Returns whether
 * there were any. */
bool fc_task_stops_request_unwanted(fc_task_stops *stops, fc_machine *machine);
/* Drains a machine that the cloud is about to reclaim, or that will be returned as faulty: tasks that can save a
 * checkpoint are stopped, to resume elsewhere. Returns whether a stop was requested that the caller has to send. */
bool fc_task_stops_drain(fc_task_stops *stops, fc_machine *machine);
/* Removes the placements of tasks whose start was never sent, on a machine that takes no new tasks by now: they are
 * placed elsewhere. Returns whether there were any. `now`: monotonic time in seconds. */
bool fc_task_stops_withdraw_unsent(fc_task_stops *stops, fc_machine *machine, double now);
/* Whether the machine needs a direct call: to solicit the heartbeat whose answer carries a start, or with stops that a
 * heartbeat should have fetched by now. A machine whose heartbeats reach no controller gets them only by a call. */
bool fc_task_stops_call_due(const fc_task_stops *stops, const fc_machine *machine, double now);

#endif
