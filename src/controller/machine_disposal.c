#include "controller/machine_disposal.h"

#include "bookkeeping/cluster_machines.h"
#include "controller/machine_reachability.h"
#include "controller/outage_suspicion.h"
#include "scheduler/scale_in.h"
#include "transport/routine.h"

#define CLOUD_TIMEOUT_S 4.0

/* All in leases. */
#define OUTAGE_LEASES 5 /* silence of this length is no outage any more, whoever's it was */
#define LOST_START_LEASES 2
#define STARTUP_RESERVE_LEASES 1

/* All in heartbeat intervals. */
#define REDIRECTION_HEARTBEATS 2   /* in which a worker comes back to a member it has just come to */
#define PEER_COVERAGE_HEARTBEATS 2 /* peers have reported all renewals up to so long ago */
#define RENEWAL_DELAY_HEARTBEATS 1

#define STARTUP_TIMES 3 /* so many times its usual start-up time a machine may take */

struct fc_machine_disposal {
  fc_cluster *cluster;
  fc_cloud_access *cloud;
  const fc_leadership *leadership;
  fc_peers *peers;
  fc_machine_returns *returns;
};

/* What one run judges all machines by. */
typedef struct assessment {
  double now;
  fc_outage_suspicion suspicion;
  GHashTable *surplus; /* a set of idle machines; NULL: none has asked for it yet */
} assessment;

fc_machine_disposal *fc_machine_disposal_new(fc_cluster *cluster, fc_cloud_access *cloud,
                                             const fc_leadership *leadership, fc_peers *peers,
                                             fc_machine_returns *returns) {
  fc_machine_disposal *disposal = g_new(fc_machine_disposal, 1);
  *disposal = (fc_machine_disposal){
      .cluster = cluster, .cloud = cloud, .leadership = leadership, .peers = peers, .returns = returns};
  return disposal;
}

/* ---- lost machines ---- */

/* Has the worker just come to another member, having tried us in vain? Only its next heartbeat
 * there shows whether answers reach it: cut off from its owner alone, a machine full of work was
 * returned within the second (scene unreachable_machines_at_a_leader_change). */
static bool just_redirected(const fc_machine_disposal *disposal, const fc_machine *machine) {
  const fc_machine_reachability *reach = &machine->reachability;
  double redirection_s = disposal->cluster->settings->heartbeat_s * REDIRECTION_HEARTBEATS;
  return reach->peer_unidirectional_at > reach->peer_bidirectional_at &&
         fc_now() < reach->peer_unidirectional_at + redirection_s;
}

/* Has no other member renewed the worker's lease since then? Others may reach it when we can't. */
static bool unrenewed_by_peers(const fc_machine_disposal *disposal, const fc_machine *machine, double since) {
  if (machine->reachability.peer_bidirectional_at > since) return false;
  if (just_redirected(disposal, machine)) return false;
  /* What another member's incarnation renewed just before it ended, nobody can tell us. From there
   * the worker's next heartbeat takes up to 1.25 intervals, and each member that it tries in vain
   * its timeout and a second: with two of three, about its lease. A machine full of work was
   * returned as lost on that way, seconds after the member that had renewed its lease was back
   * (scenes ten_leader_changes_in_two_minutes, unreachable_machines_at_a_leader_change). No shorter
   * time is safe; so every member probes such a machine directly, and it stays if one reaches it or
   * has not tried. While its lease was waited for instead, hung machines blocked a team's freed
   * share for up to 14 s (scene team_limit_after_a_cancellation). */
  if (fc_leadership_peer_left_at(disposal->leadership) > since &&
      !fc_reachability_probed_in_vain(disposal->cluster, disposal->leadership, machine))
    return false;
  double coverage_s = disposal->cluster->settings->heartbeat_s * PEER_COVERAGE_HEARTBEATS;
  return fc_peers_all_covered(disposal->peers, fc_now() - coverage_s);
}

static bool lost(const fc_machine_disposal *disposal, const fc_machine *machine, const assessment *now) {
  const fc_cluster *cluster = disposal->cluster;
  const fc_settings *settings = cluster->settings;
  double silence_s = fc_machine_silence_timeout_s(settings);
  bool outage = fc_outage_suspicion_covers(&now->suspicion, machine);
  double timeout_s = outage ? settings->lease_s * OUTAGE_LEASES : silence_s;
  /* What others renew reaches us up to half a heartbeat interval later, and a heartbeat that was
   * sent to us in vain is with nobody for a whole one more. */
  double renewal_s = silence_s + settings->heartbeat_s * RENEWAL_DELAY_HEARTBEATS;
  if (machine->agent.reported && fc_machine_unreachable_since(machine, now->now - timeout_s) &&
      unrenewed_by_peers(disposal, machine, now->now - renewal_s))
    return true;
  /* One whose lease another member has renewed since we own it, or just before, was there; it gets
   * the time that it takes to come back from us and to show there that answers reach it. */
  bool at_once = !outage && machine->lease.peer_renewed_at <= machine->owned_since - silence_s;
  return fc_machine_never_heard(cluster, machine, now->now) &&
         (at_once || now->now > machine->owned_since + timeout_s) &&
         unrenewed_by_peers(disposal, machine, machine->owned_since);
}

/* ---- machines that did not start up ---- */

static bool never_up(const fc_machine_disposal *disposal, const fc_machine *machine, const assessment *now) {
  const fc_settings *settings = disposal->cluster->settings;
  if (machine->agent.reported || machine->type < 0) return false;
  /* A machine that has an address was up: assigned anew while its zone is cut off, it says nothing
   * to its new owner, and was returned before the zone was back. */
  bool cut_off = machine->announced && fc_outage_suspicion_covers(&now->suspicion, machine) &&
                 now->now <= machine->owned_since + settings->lease_s * OUTAGE_LEASES;
  const fc_machine_type *type = disposal->cluster->machine_types->pdata[machine->type];
  double timeout_s = STARTUP_TIMES * type->boot_s;
  return !cut_off && type->boot_s > 0 &&
         now->now >
             MAX(machine->first_seen, machine->owned_since) + timeout_s + settings->lease_s * STARTUP_RESERVE_LEASES;
}

/* ---- unacknowledged starts ---- */

/* Is there a start from before `since` that can only be ruled out by returning the machine? A lost
 * direct start may arrive minutes later, and its task may not be started elsewhere before that is
 * ruled out; a gang not even when the attempt has ended, for a copy of the start would begin it
 * again. Without the return the job was pending forever (fault test, seeds 555 and 847). */
static bool holds_lost_start(const fc_machine *machine, double since) {
  for (guint i = 0; i < machine->placements->len; i++) {
    const fc_placement *placement = machine->placements->pdata[i];
    if (placement->created_at > since) continue;
    if (fc_placement_abandoned_start(placement)) return true;
    if (placement->start.direct != FC_DIRECT_START_UNACKNOWLEDGED || placement->status.state != FC_TASK_EXITED)
      continue;
    if (placement->job && placement->job->spec.kind == FC_JOB_GANG && placement->job->phase == FC_PHASE_ACCEPTED)
      return true;
    /* Such an ended task is never resolved, so the machine is never empty enough to be transferred,
     * while scale-out counted on it (fault test, seed 450: a gang was pending forever). */
    if (fc_machine_vacant(machine)) return true;
  }
  return false;
}

static bool faulty(const fc_machine_disposal *disposal, fc_machine *machine, double now) {
  double lost_start_s = disposal->cluster->settings->lease_s * LOST_START_LEASES;
  if (!machine->health.faulty && holds_lost_start(machine, now - lost_start_s)) {
    machine->health.faulty = true;
    fc_machine_cordon(machine);
  }
  return machine->health.faulty && fc_machine_vacant(machine) && fc_machine_reconciled(disposal->cluster, machine);
}

/* ---- surplus machines ---- */

static bool surplus(const fc_cluster *cluster, const fc_machine *machine, assessment *now) {
  if (!fc_machine_reconciled(cluster, machine) || !machine->agent.reported ||
      !fc_machine_idle_too_long(cluster, machine, now->now))
    return false;
  if (!now->surplus) now->surplus = fc_scale_in_surplus(cluster, now->now);
  return g_hash_table_contains(now->surplus, machine);
}

/* ---- all reasons ---- */

static fc_return_reason reason_to_return(const fc_machine_disposal *disposal, fc_machine *machine, assessment *now) {
  if (lost(disposal, machine, now)) return FC_RETURN_LOST;
  if (never_up(disposal, machine, now)) return FC_RETURN_NEVER_UP;
  if (faulty(disposal, machine, now->now)) return FC_RETURN_FAULTY;
  if (surplus(disposal->cluster, machine, now)) return FC_RETURN_IDLE;
  /* Begun and not ended: the machine may be gone and its record still there (fault test, seed 183:
   * the record stayed for good). */
  return fc_machine_returning(machine) ? FC_RETURN_BEGUN : FC_RETURN_NONE;
}

/* Marks the machines to be returned. Returns their ids. */
static GPtrArray *begin_returns(const fc_machine_disposal *disposal) {
  const fc_cluster *cluster = disposal->cluster;
  double now = fc_now();
  assessment state = {.now = now, .suspicion = fc_outage_suspicion_assess(cluster, disposal->peers, now)};
  GPtrArray *ids = g_ptr_array_new_with_free_func(g_free);
  fc_machine_iter machine_iter = fc_cluster_machines(cluster);
  for (fc_machine *machine; ids->len < FC_RELEASE_MACHINES_MAX && (machine = fc_machine_iter_next(&machine_iter));) {
    if (!fc_machine_owned_by_self(cluster, machine) || !machine->record_version || machine->record_write_pending)
      continue;
    fc_return_reason reason = reason_to_return(disposal, machine, &state);
    if (reason != FC_RETURN_NONE) fc_machine_returns_begin(machine, reason, ids);
  }
  if (state.surplus) g_hash_table_destroy(state.surplus);
  return ids;
}

static bool release(const fc_machine_disposal *disposal, const GPtrArray *ids) {
  return fc_cloud_access_acquire_as_leader(disposal->cloud) &&
         fc_cloud_release(fc_cloud_access_client(disposal->cloud), (const char *const *)ids->pdata, ids->len,
                          fc_now() + CLOUD_TIMEOUT_S) == FC_CLOUD_OK;
}

/* The records go only after the cloud has confirmed; until then the machines take no tasks, and
 * their return is tried again. */
void fc_machine_disposal_run(fc_machine_disposal *disposal) {
  GPtrArray *ids = begin_returns(disposal);
  if (ids->len > 0 && release(disposal, ids)) fc_machine_returns_remove_records(disposal->returns, ids);
  g_ptr_array_free(ids, TRUE);
}
