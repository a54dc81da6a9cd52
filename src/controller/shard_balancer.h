/* Balances the shards: hands slices over to shards with free resources, and transfers machines for gangs that no shard
 * can hold. */
#ifndef FC_CONTROLLER_SHARD_BALANCER_H
#define FC_CONTROLLER_SHARD_BALANCER_H

#include "controller/handover_execution.h"
#include "controller/peers.h"
#include "controller/transfer_execution.h"

typedef struct fc_shard_balancer fc_shard_balancer;

/* The arguments must outlive the result, which is never freed. */
fc_shard_balancer *fc_shard_balancer_new(const fc_cluster *cluster, fc_peers *peers, fc_handover_execution *handovers,
                                         fc_transfer_execution *transfers);

/* Plans and starts the handovers and machine transfers of this scheduling round. Returns at once. */
void fc_shard_balancer_run(fc_shard_balancer *balancer);

#endif
