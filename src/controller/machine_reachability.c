#include "controller/machine_reachability.h"

#include "coordination/leader_lease.h"
#include "transport/routine.h"

/* For how long peers repeat which leases they renewed. */
#define RENEWALS_KNOWN_LEASES 2
/* An older response says nothing about the connection now. */
#define RESPONSE_RECENT_HEARTBEATS 2.0

static double age_s(uint32_t age_ms) {
  return age_ms / FC_MS_PER_S;
}

void fc_reachability_note_renewal(fc_cluster *cluster, const fc_frame_lease_renewal *renewal, double now) {
  fc_machine *machine = fc_cluster_find_machine(cluster, renewal->machine);
  if (!machine) return;
  double renewed_at = now - age_s(renewal->age_ms);
  const fc_machine_worker *worker = &machine->worker;
  /* A heartbeat older than the last one received here is either a delayed copy, or the machine was
   * restarted and its new incarnation has its lease renewed. Counting a copy as a renewal may delay
   * the expiry by one lease. Ignoring the new incarnation as a copy started its tasks twice, because
   * a delayed direct start reached it (fault test, seed 158). */
  bool outdated =
      renewal->epoch < worker->epoch || (renewal->epoch == worker->epoch && renewal->sequence < worker->sequence);
  machine->lease.peer_renewed_at = MAX(machine->lease.peer_renewed_at, renewed_at);
  /* Peers repeat a renewal for two leases. A direct response since the renewal makes another probe needless; with a
   * probe at every acknowledgement, machines that had returned from another member cost more than all heartbeats. */
  double latest = renewed_at + age_s(renewal->age_ms) * 2 * FC_CLOCK_DRIFT;
  if (outdated && machine->owner == cluster->membership.self && latest >= machine->probe.confirmed_at)
    machine->probe.wanted = true;
  if (outdated) return;
  fc_machine_reachability *reach = &machine->reachability;
  if (renewal->bidirectional) {
    reach->peer_bidirectional_at = MAX(reach->peer_bidirectional_at, renewed_at);
  } else if (renewed_at > reach->peer_bidirectional_at &&
             reach->peer_unidirectional_at <= reach->peer_bidirectional_at) {
    reach->peer_unidirectional_at = renewed_at;
  }
}

/* A worker that gets no response within FC_WORKER_REQUEST_TIMEOUT_S tries the next member, and sends no request on a
 * connection before it has read the last response there. So a worker that returns sooner than that, or on the same
 * connection, has received it. The arrival of heartbeats alone proves nothing, as the connection may be unidirectional.
 * The time alone is not enough either: where the heartbeat interval exceeds the timeout, every machine was probed
 * between any two heartbeats. */
void fc_reachability_update_unidirectional(const fc_cluster *cluster, fc_machine *machine, uint64_t connection) {
  const fc_machine_lease *lease = &machine->lease;
  double now = fc_now(), since_response_s = now - lease->answered_at;
  bool soon = since_response_s < FC_WORKER_REQUEST_TIMEOUT_S;
  bool same_connection = connection && connection == lease->connection;
  double max_s = cluster->settings->heartbeat_s * RESPONSE_RECENT_HEARTBEATS;
  if (lease->answered_at && (soon || same_connection) && since_response_s < max_s) {
    machine->reachability.unidirectional_since = 0;
  } else if (!machine->reachability.unidirectional_since) {
    machine->reachability.unidirectional_since = now;
  }
}

void fc_reachability_note_probe(fc_cluster *cluster, size_t peer, const fc_frame_probe *probe, double sent_at,
                                double now) {
  fc_machine *machine = fc_cluster_find_machine(cluster, probe->machine);
  if (!machine) return;
  /* The peer computed the age at some time between `sent_at` and `now`. The uncertainty favours a reachable machine: a
   * response counts from the latest possible time, a failure from the earliest. */
  if (probe->answered) {
    machine->probe.peer_answered_at = MAX(machine->probe.peer_answered_at, now - age_s(probe->age_ms));
  } else {
    double *unanswered_at = &machine->probe.peer_unanswered_at[peer];
    *unanswered_at = MAX(*unanswered_at, sent_at - age_s(probe->age_ms));
  }
}

bool fc_reachability_peer_left_recently(const fc_leadership *leadership, const fc_settings *settings, double now) {
  double left_at = fc_leadership_peer_left_at(leadership);
  return left_at > 0 && now < left_at + settings->lease_s * RENEWALS_KNOWN_LEASES;
}

bool fc_reachability_all_probes_failed(const fc_cluster *cluster, const fc_leadership *leadership,
                                       const fc_machine *machine) {
  const fc_membership *membership = &cluster->membership;
  double left_at = fc_leadership_peer_left_at(leadership);
  /* An old probe says nothing about the present. */
  double since = MAX(left_at, fc_now() - fc_machine_silence_timeout_s(cluster->settings));
  if (machine->probe.answered || machine->probe.sent_at <= since || machine->probe.peer_answered_at > left_at)
    return false;
  for (int member = 0; member < (int)membership->term.count; member++) {
    if (member == membership->self) continue;
    int peer = fc_leadership_peer_of(leadership, member);
    if (peer < 0 || machine->probe.peer_unanswered_at[peer] <= since) return false;
  }
  return true;
}
