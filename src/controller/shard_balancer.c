#include "controller/shard_balancer.h"

#include "transport/routine.h"

struct fc_shard_balancer {
  const fc_cluster *cluster;
  fc_peers *peers;
  fc_handover_execution *handovers;
  fc_transfer_execution *transfers;
};

fc_shard_balancer *fc_shard_balancer_new(const fc_cluster *cluster, fc_peers *peers, fc_handover_execution *handovers,
                                         fc_transfer_execution *transfers) {
  fc_shard_balancer *balancer = g_new(fc_shard_balancer, 1);
  *balancer = (fc_shard_balancer){.cluster = cluster, .peers = peers, .handovers = handovers, .transfers = transfers};
  return balancer;
}

static fc_peer_progress progress_of_peers(const fc_shard_balancer *balancer) {
  fc_peer_progress progress = {{0}, {0}, {0}};
  for (int member = 0; member < (int)balancer->cluster->membership.term.count; member++) {
    const fc_peer *peer = fc_peers_of_member(balancer->peers, member);
    if (!peer) continue;
    progress.acked_view[member] = peer->acknowledged.view_number;
    progress.acked_revision[member] = peer->acknowledged.revision;
    progress.available[member] = fc_peers_member_healthy(balancer->peers, member);
  }
  return progress;
}

void fc_shard_balancer_run(fc_shard_balancer *balancer) {
  fc_peer_progress progress = progress_of_peers(balancer);
  GArray *handovers = fc_handovers_plan(balancer->cluster, &progress, fc_now());
  fc_handover_execution_begin(balancer->handovers, handovers);
  g_array_free(handovers, TRUE);
  GArray *transfers = fc_machine_transfers_plan(balancer->cluster, &progress, fc_now());
  fc_transfer_execution_begin(balancer->transfers, transfers);
  g_array_free(transfers, TRUE);
}
