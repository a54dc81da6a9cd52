/* The routine that scales the fleet. The first member of the term scales out for all shards, so that requests don't
 * race; every member scales in the machines of its own shard. */
#ifndef FC_CONTROLLER_SCALING_H
#define FC_CONTROLLER_SCALING_H

#include <stdbool.h>

#include "bookkeeping/cluster.h"
#include "bookkeeping/group_commit.h"
#include "controller/cloud_access.h"
#include "controller/kv_watch.h"
#include "controller/leadership.h"
#include "controller/machine_returns.h"
#include "controller/metrics.h"
#include "controller/peers.h"

typedef struct fc_scaling fc_scaling;

/* The modules that the routine uses. */
typedef struct fc_scaling_deps {
  fc_cluster *cluster;
  fc_cloud_access *cloud;
  fc_group_commit *commit;
  fc_kv_watch *watch;
  fc_leadership *leadership;
  fc_peers *peers;
  fc_machine_returns *returns;
  fc_metrics *metrics;
} fc_scaling_deps;

/* The modules in `deps` must outlive the result, which is never freed. */
fc_scaling *fc_scaling_new(const fc_scaling_deps *deps);
/* Starts the routine. Returns false when out of memory. */
bool fc_scaling_start(fc_scaling *scaling);

#endif
