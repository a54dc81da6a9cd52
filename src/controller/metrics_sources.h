/* The modules that the metrics page and the status lines of the log read. */
#ifndef FC_CONTROLLER_METRICS_SOURCES_H
#define FC_CONTROLLER_METRICS_SOURCES_H

#include "bookkeeping/group_commit.h"
#include "controller/leadership.h"
#include "controller/metrics.h"

/* Not owned. */
typedef struct fc_metrics_sources {
  const fc_cluster *cluster;
  const fc_leadership *leadership;
  const fc_group_commit *commit;
  const fc_metrics *metrics;
} fc_metrics_sources;

#endif
