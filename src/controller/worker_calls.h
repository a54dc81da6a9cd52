/* Direct calls to the workers of this shard's machines. They fence a machine in a new term, probe it for its task list,
 * and carry commands that can't wait for a heartbeat. Each call holds a socket while it lasts, so their number is
 * limited. */
#ifndef FC_CONTROLLER_WORKER_CALLS_H
#define FC_CONTROLLER_WORKER_CALLS_H

#include "bookkeeping/cluster.h"
#include "controller/leadership.h"
#include "controller/metrics.h"
#include "controller/reconciler.h"
#include "controller/worker_commands.h"

typedef struct fc_worker_calls fc_worker_calls;

/* The arguments must outlive the result, which the caller frees with fc_worker_calls_free() after all of its routines
 * have ended. */
fc_worker_calls *fc_worker_calls_new(fc_cluster *cluster, const fc_leadership *leadership, fc_worker_commands *commands,
                                     fc_reconciler *reconciler, fc_metrics *metrics);
void fc_worker_calls_free(fc_worker_calls *calls);

/* Starts a routine that sends the machine its commands or, if it is not reconciled yet, an empty call that fences it.
 * Returns at once. Does nothing if a call to the machine is in flight, or there is no socket for it. */
void fc_worker_calls_send(fc_worker_calls *calls, fc_machine *machine);
/* Applies the response of a machine of this shard to a direct call that was sent at `sent_at` (monotonic time). Returns
 * whether it shows that the worker was restarted. */
bool fc_worker_calls_apply_answer(fc_worker_calls *calls, fc_machine *machine, const fc_heartbeat *heartbeat,
                                  double sent_at);

/* Whether there is a socket for a call to the machine. */
bool fc_worker_calls_socket_available(const fc_worker_calls *calls, const fc_machine *machine);
/* Number of calls in flight, including those of other modules. */
unsigned fc_worker_calls_in_flight(const fc_worker_calls *calls);
/* Count a call that another module makes to a worker: to be called before and after it. */
void fc_worker_calls_begin(fc_worker_calls *calls);
void fc_worker_calls_end(fc_worker_calls *calls);

#endif
