/* Serves the peer address: applies peers' views and acknowledges them, with what we know and
 * grant; and answers an operator's HTTP requests for the metrics. */
#ifndef FC_CONTROLLER_VIEW_RECEIVER_H
#define FC_CONTROLLER_VIEW_RECEIVER_H

#include <stdbool.h>

#include "controller/metrics_page.h"
#include "controller/peer_view.h"

typedef struct fc_view_receiver fc_view_receiver;

/* What it works with; everything has to outlive it. */
typedef struct fc_view_receiver_deps {
  fc_cluster *cluster;
  fc_leadership *leadership;
  fc_peers *peers;
  fc_peer_views *views;
  fc_cancellations *cancellations;
  fc_group_commit *commit;
  fc_metrics *metrics;
} fc_view_receiver_deps;

/* Lives as long as its routines. */
fc_view_receiver *fc_view_receiver_new(const fc_view_receiver_deps *deps);
/* Listens at the settings' peer address; false: it can't. */
bool fc_view_receiver_start(fc_view_receiver *receiver);

#endif
