/* The status lines of the log: what the controller knows and has done, once in a while. */
#ifndef FC_CONTROLLER_STATUS_LOG_H
#define FC_CONTROLLER_STATUS_LOG_H

#include "bookkeeping/group_commit.h"
#include "controller/leadership.h"
#include "controller/metrics.h"

/* Where the figures come from; nothing is owned. */
typedef struct fc_status_sources {
  const fc_cluster *cluster;
  const fc_leadership *leadership;
  const fc_group_commit *commit;
  const fc_metrics *metrics;
} fc_status_sources;

void fc_status_log_write(const fc_status_sources *sources);

#endif
