/* Disposal of machines: decides which machines of this member's shard are returned to the cloud, and
 * returns them. */
#ifndef FC_CONTROLLER_MACHINE_DISPOSAL_H
#define FC_CONTROLLER_MACHINE_DISPOSAL_H

#include "bookkeeping/cluster.h"
#include "controller/cloud_access.h"
#include "controller/leadership.h"
#include "controller/machine_returns.h"
#include "controller/peers.h"

typedef struct fc_machine_disposal fc_machine_disposal;

/* The arguments must outlive the result, which is never freed. */
fc_machine_disposal *fc_machine_disposal_new(fc_cluster *cluster, fc_cloud_access *cloud,
                                             const fc_leadership *leadership, fc_peers *peers,
                                             fc_machine_returns *returns);
/* Returns to the cloud owned machines that are lost, did not start up, are faulty or are surplus; at most
 * FC_RELEASE_MACHINES_MAX per call. May suspend the calling routine. */
void fc_machine_disposal_run(fc_machine_disposal *disposal);

#endif
