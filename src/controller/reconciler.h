/* Reconciliation: updates the cluster state from the task list that a worker reports. The first list
 * with the fencing token of the current term is authoritative: a task that it does not name can start
 * on the machine only by a command sent in this term. */
#ifndef FC_CONTROLLER_RECONCILER_H
#define FC_CONTROLLER_RECONCILER_H

#include "bookkeeping/cluster.h"
#include "controller/metrics.h"
#include "controller/task_completion.h"
#include "controller/wakeups.h"
#include "protocol/worker_api.h"

typedef struct fc_reconciler fc_reconciler;

/* The arguments must outlive the result, which the caller frees with fc_reconciler_free(). */
fc_reconciler *fc_reconciler_new(fc_cluster *cluster, fc_task_completion *completion, fc_wakeups *wakeups,
                                 fc_metrics *metrics);
void fc_reconciler_free(fc_reconciler *reconciler);

/* Applies a heartbeat, which must be newer than the last one applied for that machine
 * (fc_heartbeat_order_is_newer()). */
void fc_reconciler_apply_heartbeat(fc_reconciler *reconciler, fc_machine *machine, const fc_heartbeat *heartbeat);
/* Applies the response to a direct call that was sent at monotonic time `call_sent_at`, which is above 0. */
void fc_reconciler_apply_answer(fc_reconciler *reconciler, fc_machine *machine, const fc_heartbeat *heartbeat,
                                double call_sent_at);

#endif
