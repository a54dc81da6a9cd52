/* Orphaned machines: rented by a delayed copy of a request, without a record. Those that start up send
 * heartbeats and get a record; the others would incur costs until they are returned. */
#ifndef FC_CONTROLLER_ORPHAN_MACHINES_H
#define FC_CONTROLLER_ORPHAN_MACHINES_H

#include "bookkeeping/cluster.h"
#include "controller/cloud_access.h"
#include "controller/leadership.h"

typedef struct fc_orphan_machines fc_orphan_machines;

/* The arguments must outlive the result, which is never freed. */
fc_orphan_machines *fc_orphan_machines_new(const fc_cluster *cluster, fc_cloud_access *cloud,
                                           const fc_leadership *leadership);
/* If the last sweep was long enough ago, reads the cloud's list of machines and returns the orphaned
 * ones to the cloud. May suspend the calling routine. */
void fc_orphan_machines_sweep(fc_orphan_machines *orphans);

#endif
