/* Expiry of worker leases: a worker that no member has answered for the duration of its lease has
 * stopped all its tasks. Any member renews a lease by answering a heartbeat; the owner of the
 * machine learns of such renewals from the acknowledgements that peers send. */
#ifndef FC_CONTROLLER_WORKER_LEASES_H
#define FC_CONTROLLER_WORKER_LEASES_H

#include "bookkeeping/cluster.h"
#include "controller/leadership.h"
#include "controller/metrics.h"
#include "controller/peers.h"
#include "controller/wakeups.h"

typedef struct fc_worker_leases fc_worker_leases;

/* The arguments must outlive the result, which the caller frees with fc_worker_leases_free(). */
fc_worker_leases *fc_worker_leases_new(fc_cluster *cluster, const fc_leadership *leadership, fc_peers *peers,
                                       fc_wakeups *wakeups, fc_metrics *metrics);
void fc_worker_leases_free(fc_worker_leases *leases);

/* Ends the placements on every owned machine whose worker's lease has certainly expired, and marks the machine as
 * reconciled. A placement whose start may still be executed stays on the machine. */
void fc_worker_leases_expire(fc_worker_leases *leases);

#endif
