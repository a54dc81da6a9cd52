/* The scheduling loop. At regular intervals, and soon after a job or free resources arrive, it places, preempts and
 * stops tasks of this shard, and starts the calls to their workers. */
#ifndef FC_CONTROLLER_SCHEDULING_LOOP_H
#define FC_CONTROLLER_SCHEDULING_LOOP_H

#include <stdbool.h>

#include "controller/description_relocation.h"
#include "controller/machine_probes.h"
#include "controller/quota_shares.h"
#include "controller/shard_balancer.h"
#include "controller/status_log.h"
#include "controller/task_completion.h"
#include "controller/task_stops.h"
#include "controller/wakeups.h"
#include "controller/worker_leases.h"

typedef struct fc_scheduling_loop fc_scheduling_loop;

/* The modules that the loop uses. */
typedef struct fc_scheduling_loop_deps {
  fc_cluster *cluster;
  const fc_leadership *leadership;
  fc_worker_leases *leases;
  fc_machine_probes *probes;
  fc_worker_calls *calls;
  fc_task_stops *stops;
  fc_quota_shares *quota;
  fc_shard_balancer *balancer;
  fc_task_completion *completion;
  fc_description_relocation *relocation;
  fc_wakeups *wakeups;
  fc_metrics *metrics;
  fc_metrics_sources status;
} fc_scheduling_loop_deps;

/* The modules in `deps` must outlive the result, which is never freed. */
fc_scheduling_loop *fc_scheduling_loop_new(const fc_scheduling_loop_deps *deps);
/* Starts the routine. Returns false when out of memory. */
bool fc_scheduling_loop_start(fc_scheduling_loop *loop);

#endif
