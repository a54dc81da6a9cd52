/* Orphaned machines: rented by a late copy of a request, known to no record. Those that come up
 * send heartbeats and get a record; the others would be paid for until somebody returns them. */
#ifndef FC_CONTROLLER_ORPHAN_MACHINES_H
#define FC_CONTROLLER_ORPHAN_MACHINES_H

#include "bookkeeping/cluster.h"
#include "controller/cloud_access.h"
#include "controller/leadership.h"

typedef struct fc_orphan_machines fc_orphan_machines;

/* The arguments have to outlive it; it lives as long as the process. */
fc_orphan_machines *fc_orphan_machines_new(const fc_cluster *cluster, fc_cloud_access *cloud,
                                           const fc_leadership *leadership);
/* Reads the cloud's list of machines and returns the orphaned ones, when that was last done long
 * enough ago. May suspend the calling routine. */
void fc_orphan_machines_sweep(fc_orphan_machines *orphans);

#endif
