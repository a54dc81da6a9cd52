/* Encodes and applies views, in which each controller replicates the state of its machines to its
 * peers. The first view of a term, and the next one after a lost view, is complete; the others
 * contain only changes since the last acknowledged view. With thousands of machines, complete views
 * ten times per heartbeat interval made up most of the cost of a peer link, and a single frame came
 * close to the size limit. */
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

/* The arguments must outlive the result, which the caller frees with fc_peer_views_free(). */
fc_peer_views *fc_peer_views_new(fc_cluster *cluster, const fc_leadership *leadership, fc_peers *peers,
                                 const fc_cancellations *cancellations, const fc_group_commit *commit,
                                 fc_wakeups *wakeups, fc_metrics *metrics);
void fc_peer_views_free(fc_peer_views *views);

/* The shortest time from the start of one exchange with a peer to the start of the next, in seconds.
 * It bounds the CPU share that exchanges use, and grows with the lag of the event loop `lag_s`
 * (seconds), but is short enough that peers learn of changes within a heartbeat interval. */
double fc_peer_view_min_interval_s(const fc_settings *settings, double lag_s);

/* Appends the frames of a view for the peer to `out`: all machines of this controller, or those that
 * have changed since the newest view that the peer has acknowledged. `sequence` numbers the view on the
 * link. */
void fc_peer_views_encode(fc_peer_views *views, const fc_peer *peer, uint64_t sequence, GByteArray *out);

typedef enum {
  FC_VIEW_OUT_OF_ORDER, /* pieces are missing, or the view is outdated: the link must be closed */
  FC_VIEW_IGNORED,      /* of another term or incarnation, or based on a view that is missing here */
  FC_VIEW_APPLIED,      /* the piece; with the last one, the whole view */
} fc_view_result;

/* Applies one piece of a peer's view to the cluster state. Requests a scheduling round if the view may
 * have made placement possible. */
fc_view_result fc_peer_views_apply(fc_peer_views *views, const fc_view *view);

#endif
