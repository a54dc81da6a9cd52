#include "controller/leadership.h"

#include <string.h>

#include "coordination/leader_lease.h"
#include "transport/routine.h"

struct fc_leadership {
  const fc_cluster *cluster;
  fc_leader_lease lease;
  uint64_t incarnation;
  bool term_write_pending;
  double joined_at;
  double term_since;
  double peer_left_at;
  int peer_of[FC_MEMBERS_MAX]; /* index of a member of the current term among the peers; -1: none */
};

fc_leadership *fc_leadership_new(const fc_cluster *cluster) {
  const fc_settings *settings = cluster->settings;
  fc_leadership *leadership = g_new0(fc_leadership, 1);
  leadership->cluster = cluster;
  fc_leader_lease_init(&leadership->lease, settings->lease_s * settings->operator_settings.member_lease_share,
                       settings->lease_s, settings->cancel_s, settings->heartbeat_s, settings->peer_count);
  return leadership;
}

void fc_leadership_free(fc_leadership *leadership) {
  g_free(leadership);
}

bool fc_leadership_in_term(const fc_leadership *leadership) {
  const fc_membership *membership = &leadership->cluster->membership;
  return leadership->incarnation && membership->self >= 0 &&
         membership->term.members[membership->self].incarnation == leadership->incarnation;
}

bool fc_leadership_held(const fc_leadership *leadership) {
  const fc_membership *membership = &leadership->cluster->membership;
  if (!leadership->cluster->sync.loaded || !fc_leadership_in_term(leadership)) return false;
  return fc_now() < fc_leader_lease_until(&leadership->lease, &membership->term, leadership->peer_of, membership->self);
}

uint64_t fc_leadership_incarnation(const fc_leadership *leadership) {
  return leadership->incarnation;
}

void fc_leadership_set_incarnation(fc_leadership *leadership, uint64_t incarnation) {
  leadership->incarnation = incarnation;
}

double fc_leadership_lease_s(const fc_leadership *leadership) {
  return leadership->lease.lease_s;
}

double fc_leadership_lease_until(const fc_leadership *leadership) {
  return leadership->lease.lease_until;
}

void fc_leadership_lease_renewed(fc_leadership *leadership, double sent_at) {
  fc_leader_lease_renewed(&leadership->lease, sent_at);
}

void fc_leadership_lease_lost(fc_leadership *leadership) {
  fc_leader_lease_lost(&leadership->lease);
  leadership->incarnation = 0;
}

void fc_leadership_joined(fc_leadership *leadership) {
  leadership->joined_at = fc_now();
}

bool fc_leadership_may_exclude(const fc_leadership *leadership) {
  return fc_now() >= leadership->joined_at + fc_leader_lease_exclusion_wait_s(&leadership->lease);
}

bool fc_leadership_term_write_pending(const fc_leadership *leadership) {
  return leadership->term_write_pending;
}

void fc_leadership_set_term_write_pending(fc_leadership *leadership, bool pending) {
  leadership->term_write_pending = pending;
}

void fc_leadership_read_fresh(fc_leadership *leadership, double sent_at) {
  fc_leader_lease_read_fresh(&leadership->lease, sent_at);
}

static int find_peer(const fc_settings *settings, const char *name) {
  for (size_t peer = 0; peer < settings->peer_count; peer++)
    if (strcmp(settings->peers[peer].name, name) == 0) return (int)peer;
  return -1;
}

void fc_leadership_term_applied(fc_leadership *leadership, double now, bool peer_left) {
  const fc_cluster *cluster = leadership->cluster;
  leadership->term_since = now;
  if (peer_left) leadership->peer_left_at = now;
  /* A pending write of the term was conditional on the version of the previous term, and fails. */
  leadership->term_write_pending = false;
  fc_leader_lease_new_term(&leadership->lease);
  for (size_t member = 0; member < cluster->membership.term.count; member++)
    leadership->peer_of[member] = find_peer(cluster->settings, cluster->membership.term.members[member].name);
}

void fc_leadership_granted(fc_leadership *leadership, size_t peer, double sent_at, double grant_s) {
  const fc_membership *membership = &leadership->cluster->membership;
  fc_leader_lease_granted(&leadership->lease, &membership->term, leadership->peer_of, membership->self, peer, fc_now(),
                          sent_at, grant_s);
}

void fc_leadership_no_cancellation(fc_leadership *leadership, size_t peer, double sent_at,
                                   double no_cancellation_from) {
  fc_leader_lease_no_cancellation(&leadership->lease, peer, sent_at, no_cancellation_from);
}

double fc_leadership_term_since(const fc_leadership *leadership) {
  return leadership->term_since;
}

double fc_leadership_peer_left_at(const fc_leadership *leadership) {
  return leadership->peer_left_at;
}

int fc_leadership_peer_of(const fc_leadership *leadership, int member) {
  if (member < 0 || member >= (int)leadership->cluster->membership.term.count) return -1;
  return leadership->peer_of[member];
}
