/* Sends the views of this controller to every peer, over one link and in one routine each, and applies
 * the acknowledgements: what the peer has read, what it grants, and which machines of this controller
 * it has reached. */
#ifndef FC_CONTROLLER_VIEW_SENDER_H
#define FC_CONTROLLER_VIEW_SENDER_H

#include <stdbool.h>

#include "controller/peer_view.h"

typedef struct fc_view_sender fc_view_sender;

/* The arguments must outlive the result, which lives as long as its routines. */
fc_view_sender *fc_view_sender_new(fc_cluster *cluster, fc_leadership *leadership, fc_peers *peers,
                                   fc_peer_views *views, fc_cancellations *cancellations, fc_wakeups *wakeups,
                                   fc_metrics *metrics);
/* Starts its routines. False if out of memory. */
bool fc_view_sender_start(fc_view_sender *sender);

#endif
