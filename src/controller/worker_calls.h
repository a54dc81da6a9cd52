/* Direct calls to workers of our machines: they fence a machine in a new term, ask it what it
 * holds, and carry commands that can't wait for a heartbeat. Each call takes a socket for as long
 * as it lasts, so their number is limited. */
#ifndef FC_CONTROLLER_WORKER_CALLS_H
#define FC_CONTROLLER_WORKER_CALLS_H

#include "bookkeeping/cluster.h"
#include "controller/leadership.h"
#include "controller/metrics.h"
#include "controller/reconciler.h"
#include "controller/worker_commands.h"

typedef struct fc_worker_calls fc_worker_calls;

/* The arguments have to outlive it. The caller frees it with fc_worker_calls_free(), when none of
 * its routines runs any more. */
fc_worker_calls *fc_worker_calls_new(fc_cluster *cluster, const fc_leadership *leadership, fc_worker_commands *commands,
                                     fc_reconciler *reconciler, fc_metrics *metrics);
void fc_worker_calls_free(fc_worker_calls *calls);

/* Has a routine send the machine its commands or, when it is not reconciled yet, an empty call
 * that fences it. Returns at once, and does nothing when a call to the machine is under way, or
 * there is no socket for it. */
void fc_worker_calls_send(fc_worker_calls *calls, fc_machine *machine);
/* Applies what a machine of ours has answered to a direct call that was sent at that steady time. */
void fc_worker_calls_apply_answer(fc_worker_calls *calls, fc_machine *machine, const fc_heartbeat *heartbeat,
                                  double asked_at);

/* Is there a socket for a call to the machine? */
bool fc_worker_calls_available(const fc_worker_calls *calls, const fc_machine *machine);
/* Calls that are under way, those of other modules included. */
unsigned fc_worker_calls_in_flight(const fc_worker_calls *calls);
/* Another module begins, or has ended, a call to a worker. */
void fc_worker_calls_begin(fc_worker_calls *calls);
void fc_worker_calls_end(fc_worker_calls *calls);

#endif
