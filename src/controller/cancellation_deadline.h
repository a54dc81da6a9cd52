/* The cancellation deadline: the time within which all tasks of a cancelled job must be gone. If that is
 * not proved in time, the machine is returned to the cloud. A stop command may be lost, and a start
 * that was delayed by a network partition is executed when the partition ends, however late, while
 * the fencing token and the epoch are unchanged: a task once began 43 s after its job was cancelled
 * (scene commands_delayed_past_a_cancellation). */
#ifndef FC_CONTROLLER_CANCELLATION_DEADLINE_H
#define FC_CONTROLLER_CANCELLATION_DEADLINE_H

#include <stdbool.h>

#include "bookkeeping/cluster.h"
#include "controller/cloud_access.h"
#include "controller/leadership.h"
#include "controller/machine_returns.h"
#include "controller/metrics.h"

typedef struct fc_cancellation_deadline fc_cancellation_deadline;

/* The arguments must outlive the result, which is never freed: its routine runs as long as the
 * process. */
fc_cancellation_deadline *fc_cancellation_deadline_new(const fc_cluster *cluster, fc_cloud_access *cloud,
                                                       const fc_leadership *leadership, fc_machine_returns *returns,
                                                       fc_metrics *metrics);
/* Starts the routine that enforces the deadline. Returns false when out of memory. */
bool fc_cancellation_deadline_start(fc_cancellation_deadline *deadline);

#endif
