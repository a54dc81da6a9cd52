#include "controller/peers.h"

#include <string.h>

#include "transport/routine.h"

/* Earlier than any time of the monotonic clock, in seconds. */
#define NEVER (-1e9)

/* A peer is healthy while its last acknowledgement and its last read of the key-value store are more
 * recent than this many heartbeat intervals. */
#define HEALTHY_HEARTBEATS 2

struct fc_peers {
  const fc_cluster *cluster;
  size_t count;
  fc_peer items[FC_MEMBERS_MAX];
};

fc_peers *fc_peers_new(const fc_cluster *cluster) {
  fc_peers *peers = g_new0(fc_peers, 1);
  peers->cluster = cluster;
  peers->count = cluster->settings->peer_count;
  for (size_t i = 0; i < peers->count; i++) {
    peers->items[i].settings = &cluster->settings->peers[i];
    peers->items[i].kv_read_at = NEVER;
    peers->items[i].heard_at = NEVER;
  }
  return peers;
}

void fc_peers_free(fc_peers *peers) {
  g_free(peers);
}

size_t fc_peers_count(const fc_peers *peers) {
  return peers->count;
}

fc_peer *fc_peers_at(fc_peers *peers, size_t index) {
  return &peers->items[index];
}

fc_peer *fc_peers_of_member(fc_peers *peers, int member) {
  if (member < 0 || member >= (int)peers->cluster->membership.term.count) return NULL;
  return fc_peers_find(peers, peers->cluster->membership.term.members[member].name);
}

fc_peer *fc_peers_find(fc_peers *peers, const char *name) {
  for (size_t i = 0; i < peers->count; i++)
    if (strcmp(peers->items[i].settings->name, name) == 0) return &peers->items[i];
  return NULL;
}

bool fc_peers_member_healthy(fc_peers *peers, int member) {
  if (member == peers->cluster->membership.self) return true;
  const fc_peer *peer = fc_peers_of_member(peers, member);
  if (!peer) return false;
  double now = fc_now(), max_age_s = peers->cluster->settings->heartbeat_s * HEALTHY_HEARTBEATS;
  return now - peer->heard_at < max_age_s && now - peer->kv_read_at < max_age_s;
}

bool fc_peers_all_renewals_known(fc_peers *peers, double until) {
  const fc_membership *membership = &peers->cluster->membership;
  for (int member = 0; member < (int)membership->term.count; member++) {
    if (member == membership->self) continue;
    const fc_peer *peer = fc_peers_of_member(peers, member);
    if (!peer || peer->acknowledged.renewals_known_until < until) return false;
  }
  return true;
}

uint64_t fc_peers_common_revision(const fc_peers *peers) {
  uint64_t common = peers->cluster->sync.revision;
  for (size_t i = 0; i < peers->count; i++) common = MIN(common, peers->items[i].revision);
  return common;
}

void fc_peers_reset_acknowledged(fc_peers *peers) {
  for (size_t i = 0; i < peers->count; i++) peers->items[i].acknowledged = (fc_peer_acknowledged){0};
}
