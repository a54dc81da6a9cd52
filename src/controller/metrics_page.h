/* The metrics page that an operator reads at the peer address. */
#ifndef FC_CONTROLLER_METRICS_PAGE_H
#define FC_CONTROLLER_METRICS_PAGE_H

#include <glib.h>

#include "bookkeeping/group_commit.h"
#include "controller/leadership.h"
#include "controller/metrics.h"

/* Where the figures come from; nothing is owned. */
typedef struct fc_metrics_sources {
  const fc_cluster *cluster;
  const fc_leadership *leadership;
  const fc_group_commit *commit;
  const fc_metrics *metrics;
} fc_metrics_sources;

/* Appends all figures, one a line: "name value". */
void fc_metrics_page_append(const fc_metrics_sources *sources, GString *out);

#endif
