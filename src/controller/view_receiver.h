/* Serves the peer address: applies the views of peers, acknowledges them with what this controller has
 * read and grants, and answers operators' HTTP requests for the metrics. */
#ifndef FC_CONTROLLER_VIEW_RECEIVER_H
#define FC_CONTROLLER_VIEW_RECEIVER_H

#include <stdbool.h>

#include "controller/metrics_page.h"
#include "controller/peer_view.h"

typedef struct fc_view_receiver fc_view_receiver;

/* Modules that it uses; all must outlive it. */
typedef struct fc_view_receiver_deps {
  fc_cluster *cluster;
  fc_leadership *leadership;
  fc_peers *peers;
  fc_peer_views *views;
  fc_cancellations *cancellations;
  fc_group_commit *commit;
  fc_metrics *metrics;
} fc_view_receiver_deps;

/* `deps` is copied. The result lives as long as its routines. */
fc_view_receiver *fc_view_receiver_new(const fc_view_receiver_deps *deps);
/* Listens on the peer address of the settings. False if that fails. */
bool fc_view_receiver_start(fc_view_receiver *receiver);

#endif
