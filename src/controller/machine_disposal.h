/* Disposal of our shard's machines: decides which are to be returned to the cloud, and returns
 * them. */
#ifndef FC_CONTROLLER_MACHINE_DISPOSAL_H
#define FC_CONTROLLER_MACHINE_DISPOSAL_H

#include "bookkeeping/cluster.h"
#include "controller/cloud_access.h"
#include "controller/leadership.h"
#include "controller/machine_returns.h"
#include "controller/peers.h"

typedef struct fc_machine_disposal fc_machine_disposal;

/* The arguments have to outlive it; it lives as long as the process. */
fc_machine_disposal *fc_machine_disposal_new(fc_cluster *cluster, fc_cloud_access *cloud,
                                             const fc_leadership *leadership, fc_peers *peers,
                                             fc_machine_returns *returns);
/* Returns the machines of ours that are lost, faulty or not worth their price, as many as one
 * request takes. May suspend the calling routine. */
void fc_machine_disposal_run(fc_machine_disposal *disposal);

#endif
