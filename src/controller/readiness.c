#include "controller/readiness.h"

#include "transport/routine.h"

/* Acknowledgements of peers and reads of the key-value store are recent for this many heartbeat
 * intervals. */
#define RECENT_HEARTBEATS 2

struct fc_readiness {
  const fc_cluster *cluster;
  const fc_leadership *leadership;
  fc_peers *peers;
  double started_at;
};

fc_readiness *fc_readiness_new(const fc_cluster *cluster, const fc_leadership *leadership, fc_peers *peers) {
  fc_readiness *readiness = g_new(fc_readiness, 1);
  *readiness = (fc_readiness){.cluster = cluster, .leadership = leadership, .peers = peers, .started_at = fc_now()};
  return readiness;
}

bool fc_readiness_is_ready(const fc_readiness *readiness) {
  const fc_cluster *cluster = readiness->cluster;
  double heartbeat_s = cluster->settings->heartbeat_s, recent_s = heartbeat_s * RECENT_HEARTBEATS;
  double now = fc_now();
  bool types_known = cluster->machine_types->len > 0;
  if (fc_cluster_store_reachable(cluster, now) && types_known) return true;
  if (cluster->sync.loaded && now - cluster->sync.read_at < recent_s) return types_known;
  bool isolated = fc_peers_count(readiness->peers) > 0;
  for (size_t i = 0; i < fc_peers_count(readiness->peers); i++) {
    const fc_peer *peer = fc_peers_at(readiness->peers, i);
    if (now - peer->kv_read_at < recent_s) return false;
    if (now - peer->heard_at < recent_s) isolated = false;
  }
  /* If neither the key-value store nor any peer can be reached, this controller is probably the one
   * that is disconnected. */
  if (isolated && !fc_leadership_held(readiness->leadership)) return false;
  return now > readiness->started_at + heartbeat_s;
}
