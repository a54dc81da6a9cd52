/* Views: what each controller tells its peers of its own machines. The first of a term, and any
 * after one that was lost, is complete; the others hold only what has changed since the one that
 * was acknowledged. With thousands of machines a complete view ten times in a heartbeat interval
 * was most of what a peer link cost, and one frame of it came close to its bound. */
#ifndef FC_CONTROLLER_PEER_VIEW_H
#define FC_CONTROLLER_PEER_VIEW_H

#include <glib.h>
#include <stdint.h>

#include "bookkeeping/group_commit.h"
#include "controller/cancellations.h"
#include "controller/leadership.h"
#include "controller/metrics.h"
#include "controller/peers.h"
#include "controller/wakeups.h"
#include "protocol/peer_frame.h"

typedef struct fc_peer_views fc_peer_views;

/* The arguments have to outlive it. The caller frees it with fc_peer_views_free(). */
fc_peer_views *fc_peer_views_new(fc_cluster *cluster, const fc_leadership *leadership, fc_peers *peers,
                                 const fc_cancellations *cancellations, const fc_group_commit *commit,
                                 fc_wakeups *wakeups, fc_metrics *metrics);
void fc_peer_views_free(fc_peer_views *views);

/* Seconds from the beginning of one exchange with a peer to that of the next, at least. Exchanges
 * cost at most a small part of the processor, and a controller that lags behind by `lag_s` makes
 * fewer; a peer hears of changes within a heartbeat interval all the same. */
double fc_peer_view_min_interval_s(const fc_settings *settings, double lag_s);

/* Appends a view of our machines for the peer, in as many frames as it takes: all of them, or what
 * has changed since the newest view that it has acknowledged. */
void fc_peer_views_encode(fc_peer_views *views, const fc_peer *peer, uint64_t sequence, GByteArray *out);

typedef enum {
  FC_VIEW_OUT_OF_ORDER, /* pieces are missing, or it is late: the link has to be closed */
  FC_VIEW_IGNORED,      /* not of this term or incarnation, or its base is not the view that we hold */
  FC_VIEW_APPLIED,      /* this piece; with its last one all of it */
} fc_view_result;

/* Applies one piece of a peer's view to the cluster state. */
fc_view_result fc_peer_views_apply(fc_peer_views *views, const fc_view *view);

#endif
