/* Periodic status lines in the log: the controller's state and counters. */
#ifndef FC_CONTROLLER_STATUS_LOG_H
#define FC_CONTROLLER_STATUS_LOG_H

#include "controller/metrics_sources.h"

/* Logs the current state, then the counters, writes and resource usage since the start. */
void fc_status_log_write(const fc_metrics_sources *sources);

#endif
