/* The cancellation deadline: the time within which a cancelled job's tasks have to be gone. Where
 * that is not proved in time, the machine is returned to the cloud. A stop may not get through, and
 * a start that was held up in a network partition is carried out when the partition ends, however
 * late, as long as fencing token and epoch are the same: a task of a job cancelled 43 s before
 * began (scene commands_delayed_past_a_cancellation). */
#ifndef FC_CONTROLLER_CANCELLATION_DEADLINE_H
#define FC_CONTROLLER_CANCELLATION_DEADLINE_H

#include <stdbool.h>

#include "bookkeeping/cluster.h"
#include "controller/cloud_access.h"
#include "controller/leadership.h"
#include "controller/machine_returns.h"
#include "controller/metrics.h"

typedef struct fc_cancellation_deadline fc_cancellation_deadline;

/* The arguments have to outlive it, and it lives as long as its routine. */
fc_cancellation_deadline *fc_cancellation_deadline_new(const fc_cluster *cluster, fc_cloud_access *cloud,
                                                       const fc_leadership *leadership, fc_machine_returns *returns,
                                                       fc_metrics *metrics);
/* Starts its routine; false: out of memory. */
bool fc_cancellation_deadline_start(fc_cancellation_deadline *deadline);

#endif
