/* Expiry of worker leases: a worker that nobody has answered for the length of its lease has
 * stopped all its tasks. Any member may renew a lease by answering a heartbeat; the owner of the
 * machine learns of it from acknowledgements. */
#ifndef FC_CONTROLLER_WORKER_LEASES_H
#define FC_CONTROLLER_WORKER_LEASES_H

#include "bookkeeping/cluster.h"
#include "controller/leadership.h"
#include "controller/metrics.h"
#include "controller/peers.h"
#include "controller/wakeups.h"

typedef struct fc_worker_leases fc_worker_leases;

/* The arguments have to outlive it. The caller frees it with fc_worker_leases_free(). */
fc_worker_leases *fc_worker_leases_new(fc_cluster *cluster, const fc_leadership *leadership, fc_peers *peers,
                                       fc_wakeups *wakeups, fc_metrics *metrics);
void fc_worker_leases_free(fc_worker_leases *leases);

/* Removes the placements of every machine of ours whose worker's lease has certainly expired, and
 * counts the machine as reconciled. */
void fc_worker_leases_expire(fc_worker_leases *leases);

#endif
