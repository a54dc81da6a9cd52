/* Reconciliation: makes the cluster state agree with what a worker says that its machine holds.
 * The first heartbeat that shows the fencing token of the present term is complete: nothing that
 * it does not list can start on the machine any more, but what is sent in this term. */
#ifndef FC_CONTROLLER_RECONCILER_H
#define FC_CONTROLLER_RECONCILER_H

#include "bookkeeping/cluster.h"
#include "controller/metrics.h"
#include "controller/task_completion.h"
#include "controller/wakeups.h"
#include "protocol/worker_api.h"

typedef struct fc_reconciler fc_reconciler;

/* The arguments have to outlive it. The caller frees it with fc_reconciler_free(). */
fc_reconciler *fc_reconciler_new(fc_cluster *cluster, fc_task_completion *completion, fc_wakeups *wakeups,
                                 fc_metrics *metrics);
void fc_reconciler_free(fc_reconciler *reconciler);

/* A worker has come to us with a heartbeat; it has to be newer than the last of that machine. */
void fc_reconciler_apply_heartbeat(fc_reconciler *reconciler, fc_machine *machine, const fc_heartbeat *heartbeat);
/* The same for the answer to a direct call that was sent at that steady time (above 0). */
void fc_reconciler_apply_answer(fc_reconciler *reconciler, fc_machine *machine, const fc_heartbeat *heartbeat,
                                double asked_at);

#endif
