#include "controller/lease_renewals.h"

#include "bookkeeping/cluster_machines.h"
#include "controller/heartbeat_order.h"
#include "controller/machine_reachability.h"
#include "transport/routine.h"

#define OWNER_SILENT_HEARTBEATS 1.5 /* an owner that is silent for longer counts as unreachable */
#define OWNER_RECONCILES_LEASES 0.6 /* time for a new owner to call the machine itself */
#define OWNER_SUSPECTS_LEASES 3.0   /* time for an owner that suspects the machine is lost to reach it */
#define UNANSWERED_HEARTBEATS 2.0   /* a worker that this member has not answered for longer is not redirected */
#define REDIRECT_SPACING_LEASES 0.6 /* least time between two redirects of the same worker */

struct fc_lease_renewals {
  const fc_cluster *cluster;
  const fc_leadership *leadership;
  const fc_cancellations *cancellations;
  fc_peers *peers;
};

fc_lease_renewals *fc_lease_renewals_new(const fc_cluster *cluster, const fc_leadership *leadership,
                                         const fc_cancellations *cancellations, fc_peers *peers) {
  fc_lease_renewals *renewals = g_new(fc_lease_renewals, 1);
  *renewals =
      (fc_lease_renewals){.cluster = cluster, .leadership = leadership, .cancellations = cancellations, .peers = peers};
  return renewals;
}

void fc_lease_renewals_free(fc_lease_renewals *renewals) {
  g_free(renewals);
}

/* Returns whether a worker with tasks is better answered here than redirected to its owner. An owner that has not
 * reconciled the machine yet, or has lost contact with it, keeps calling it, and informs this member when it succeeds.
 * Until then another attempt at the owner only uses up the worker's lease, and the time after which the owner considers
 * the machine lost; with a third member gone, both ran out (scene unreachable_machines_at_a_leader_change). If the
 * owner's calls never succeed, the worker is redirected in the end, as its heartbeats may get through. */
static bool owner_out_of_touch(const fc_lease_renewals *renewals, const fc_machine *machine, double now) {
  const fc_settings *settings = renewals->cluster->settings;
  const fc_machine_reachability *reach = &machine->reachability;
  bool reconciled = fc_machine_reconciled(renewals->cluster, machine);
  double term_since = fc_leadership_term_since(renewals->leadership);
  if (!reconciled && now < term_since + settings->lease_s * OWNER_RECONCILES_LEASES) return true;
  if (reach->owner_suspects && now < reach->owner_suspects_since + settings->lease_s * OWNER_SUSPECTS_LEASES)
    return true;
  return (!reconciled || reach->owner_suspects) &&
         now > machine->lease.answered_at + settings->heartbeat_s * UNANSWERED_HEARTBEATS;
}

/* Returns whether to redirect the worker to its owner: not while this member hears nothing from the owner, and not
 * shortly after an earlier redirect to the same owner in this term, from which the worker may just have returned. */
static bool should_redirect(const fc_lease_renewals *renewals, const fc_machine *machine,
                            const fc_heartbeat *heartbeat) {
  const fc_settings *settings = renewals->cluster->settings;
  double now = fc_now();
  const fc_peer *owner = fc_peers_of_member(renewals->peers, machine->owner);
  if (!owner || now > owner->heard_at + settings->heartbeat_s * OWNER_SILENT_HEARTBEATS) return false;
  if (heartbeat->task_count > 0 && owner_out_of_touch(renewals, machine, now)) return false;
  const fc_machine_lease *lease = &machine->lease;
  bool to_same_owner =
      lease->redirected_to == machine->owner && lease->redirected_in == renewals->cluster->membership.term.number;
  return !to_same_owner || now > lease->redirected_at + settings->lease_s * REDIRECT_SPACING_LEASES;
}

static void redirect(const fc_lease_renewals *renewals, fc_machine *machine, const fc_received_heartbeat *received,
                     const fc_heartbeat_response *response) {
  /* A prompt heartbeat proves that the last response arrived; a later one proves nothing. */
  if (fc_heartbeat_order_is_newer(machine, &received->heartbeat) &&
      fc_now() < machine->lease.answered_at + FC_WORKER_REQUEST_TIMEOUT_S)
    fc_reachability_update_unidirectional(renewals->cluster, machine, received->connection);
  machine->lease.redirected_at = fc_now();
  machine->lease.redirected_to = machine->owner;
  machine->lease.redirected_in = renewals->cluster->membership.term.number;
  fc_heartbeat_response_redirect(response, renewals->cluster->membership.term.members[machine->owner].name);
}

/* Commands to stop the tasks of cancelled jobs. */
static GArray *cancelled_tasks(const fc_cluster *cluster, const fc_heartbeat *heartbeat) {
  GArray *commands = g_array_new(FALSE, TRUE, sizeof(fc_command));
  for (size_t i = 0; i < heartbeat->task_count; i++) {
    const fc_task_status *task = &heartbeat->tasks[i];
    if (task->state == FC_TASK_EXITED || !fc_cluster_is_cancelled(cluster, task->job)) continue;
    fc_command command = {.op = FC_COMMAND_STOP, .job = task->job, .index = task->index, .attempt = task->attempt};
    g_array_append_val(commands, command);
  }
  return commands;
}

/* Returns whether the owner, of an earlier version, may have sent the worker a start by a direct call that is still in
 * flight, of a job that is cancelled by now. This member doesn't know the owner's starts, and the owner may have
 * learned of the cancellation later. */
static bool owner_start_may_be_unwanted(const fc_lease_renewals *renewals, const fc_machine *machine) {
  if (fc_cluster_member_starts_in_answers(renewals->cluster, machine->owner)) return false;
  double cancel_s = renewals->cluster->settings->cancel_s;
  return fc_now() < fc_cancellations_learned_at(renewals->cancellations) + cancel_s;
}

/* The fencing token for the answer to a worker of another member's machine. A raised token makes the worker refuse
 * starts that the owner has sent it and that are still in flight. One of them was executed after the deadline of its
 * job's cancellation when only the return of the machine could prevent it and the cloud had an outage (scene
 * starts_held_up_during_a_cloud_outage). */
static uint64_t token_for_owner(const fc_lease_renewals *renewals, const fc_machine *machine,
                                const fc_heartbeat *heartbeat) {
  const fc_cluster *cluster = renewals->cluster;
  uint64_t term = cluster->membership.term.number;
  uint64_t accepted = fc_fencing_token_accepted(heartbeat->fencing_token, term);
  if (!fc_cluster_raises_tokens(cluster) || !owner_start_may_be_unwanted(renewals, machine)) return accepted;
  return fc_fencing_token_raise(accepted, term);
}

/* Renews the lease of another member's worker and stops its tasks of cancelled jobs, as any member
 * that holds leadership may. Only the owner starts tasks, and has workers forget tasks that have ended. */
static void renew_for_owner(const fc_lease_renewals *renewals, fc_machine *machine,
                            const fc_received_heartbeat *received, const fc_heartbeat_response *response) {
  const fc_heartbeat *heartbeat = &received->heartbeat;
  fc_reachability_update_unidirectional(renewals->cluster, machine, received->connection);
  fc_machine_worker_show_epoch(&machine->worker, heartbeat->epoch, heartbeat->sequence);
  GArray *commands = cancelled_tasks(renewals->cluster, heartbeat);
  machine->lease.answered_at = fc_now();
  machine->lease.connection = received->connection;
  uint64_t token = token_for_owner(renewals, machine, heartbeat);
  g_debug("renewed worker lease for the owner machine=%s owner=%d token=%" G_GUINT64_FORMAT, machine->id,
          machine->owner, (guint64)token);
  fc_heartbeat_response_accept(response, token, commands);
  g_array_free(commands, TRUE);
}

bool fc_lease_renewals_answer(const fc_lease_renewals *renewals, fc_machine *machine,
                              const fc_received_heartbeat *received, const fc_heartbeat_response *response) {
  if (should_redirect(renewals, machine, &received->heartbeat)) {
    redirect(renewals, machine, received, response);
    return true;
  }
  /* A copy does not show that the worker is alive, and nobody waits for the response. */
  if (!fc_heartbeat_order_is_newer(machine, &received->heartbeat)) return false;
  renew_for_owner(renewals, machine, received, response);
  return true;
}
