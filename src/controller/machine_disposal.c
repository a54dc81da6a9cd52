#include "controller/machine_disposal.h"

#include "bookkeeping/cluster_machines.h"
#include "controller/machine_reachability.h"
#include "controller/outage_suspicion.h"
#include "scheduler/scale_in.h"
#include "transport/routine.h"

#define CLOUD_TIMEOUT_S 4.0

/* In worker leases. */
#define OUTAGE_LEASES 5 /* after a longer silence a suspected outage no longer protects a machine */
#define LOST_START_LEASES 2
#define STARTUP_RESERVE_LEASES 1

/* In heartbeat intervals. */
#define REDIRECTION_HEARTBEATS 2   /* time for the next heartbeat to a member that the worker has just changed to */
#define PEER_COVERAGE_HEARTBEATS 2 /* peers must have reported all their renewals up to this long ago */
#define RENEWAL_DELAY_HEARTBEATS 1

#define STARTUP_TIMES 3 /* a machine may take this multiple of its type's usual start-up time */

struct fc_machine_disposal {
  fc_cluster *cluster;
  fc_cloud_access *cloud;
  const fc_leadership *leadership;
  fc_peers *peers;
  fc_machine_returns *returns;
};

/* What one run shares between the checks of all machines. */
typedef struct assessment {
  double now;
  fc_outage_suspicion suspicion;
  GHashTable *surplus; /* the set of surplus idle machines; NULL: not computed yet */
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

/* Returns whether the worker has just changed to another member after failing to reach this member. Only its next
 * heartbeat there shows whether responses reach it. Without this check a machine full of work that was cut off from its
 * owner alone was returned within a second (scene unreachable_machines_at_a_leader_change). */
static bool just_changed_member(const fc_machine_disposal *disposal, const fc_machine *machine) {
  const fc_machine_reachability *reach = &machine->reachability;
  double redirection_s = disposal->cluster->settings->heartbeat_s * REDIRECTION_HEARTBEATS;
  return reach->peer_unidirectional_at > reach->peer_bidirectional_at &&
         fc_now() < reach->peer_unidirectional_at + redirection_s;
}

/* Returns whether no other member has renewed the worker's lease since monotonic time `since`: others may reach a
 * machine that this member can't. */
static bool unrenewed_by_peers(const fc_machine_disposal *disposal, const fc_machine *machine, double since) {
  if (machine->reachability.peer_bidirectional_at > since) return false;
  if (just_changed_member(disposal, machine)) return false;
  /* Renewals by a member just before its incarnation ended are not reported by anybody. The worker's
   * next heartbeat follows up to 1.25 intervals later, and each member that it fails to reach costs
   * it the request timeout and a second: with two of three members, about the duration of its lease.
   * During that time a machine full of work was returned as lost, seconds after the member that had
   * renewed its lease was back (scenes ten_leader_changes_in_two_minutes,
   * unreachable_machines_at_a_leader_change). No shorter wait is safe. Instead every member probes such
   * a machine directly, and it stays if one reaches it or has not tried yet. Waiting for the lease to
   * expire let hung machines block a team's freed share for up to 14 s (scene
   * team_limit_after_a_cancellation). */
  if (fc_leadership_peer_left_at(disposal->leadership) > since &&
      !fc_reachability_all_probes_failed(disposal->cluster, disposal->leadership, machine))
    return false;
  double coverage_s = disposal->cluster->settings->heartbeat_s * PEER_COVERAGE_HEARTBEATS;
  return fc_peers_all_renewals_known(disposal->peers, fc_now() - coverage_s);
}

/* Returns whether the machine counts as lost: silent or unreachable for longer than its timeout. */
static bool is_lost(const fc_machine_disposal *disposal, const fc_machine *machine, const assessment *state) {
  const fc_cluster *cluster = disposal->cluster;
  const fc_settings *settings = cluster->settings;
  double silence_s = fc_machine_silence_timeout_s(settings);
  bool outage = fc_outage_suspicion_covers(&state->suspicion, machine);
  double timeout_s = outage ? settings->lease_s * OUTAGE_LEASES : silence_s;
  /* Renewals by peers are reported up to half a heartbeat interval later, and a heartbeat that failed to reach this
   * member takes a whole interval more until it reaches another member. */
  double renewal_s = silence_s + settings->heartbeat_s * RENEWAL_DELAY_HEARTBEATS;
  if (machine->worker.reported && fc_machine_unreachable_since(machine, state->now - timeout_s) &&
      unrenewed_by_peers(disposal, machine, state->now - renewal_s))
    return true;
  /* A machine whose lease another member has renewed since this member became its owner, or just before, was alive
   * then. It gets the time that its worker needs to try this member, return to the other and show there that responses
   * reach it. */
  bool at_once = !outage && machine->lease.peer_renewed_at <= machine->owned_since - silence_s;
  return fc_machine_never_heard(cluster, machine, state->now) &&
         (at_once || state->now > machine->owned_since + timeout_s) &&
         unrenewed_by_peers(disposal, machine, machine->owned_since);
}

/* ---- machines that did not start up ---- */

/* Returns whether the machine has sent no heartbeat within its start-up time. */
static bool failed_to_start(const fc_machine_disposal *disposal, const fc_machine *machine, const assessment *state) {
  const fc_settings *settings = disposal->cluster->settings;
  if (machine->worker.reported || machine->type < 0) return false;
  /* A machine whose endpoint is recorded was up once. Assigned to a new owner while its zone is cut off,
   * it sends that owner nothing; without this it was returned before the zone was back. */
  bool cut_off = machine->endpoint_recorded && fc_outage_suspicion_covers(&state->suspicion, machine) &&
                 state->now <= machine->owned_since + settings->lease_s * OUTAGE_LEASES;
  const fc_machine_type *type = disposal->cluster->machine_types->pdata[machine->type];
  double timeout_s = STARTUP_TIMES * type->boot_s;
  return !cut_off && type->boot_s > 0 &&
         state->now >
             MAX(machine->first_seen, machine->owned_since) + timeout_s + settings->lease_s * STARTUP_RESERVE_LEASES;
}

/* ---- unacknowledged starts ---- */

/* Returns whether the machine has a start from before `since` that only the machine's return can rule out. A lost
 * direct start may arrive minutes later, and until that is ruled out its task may not be started elsewhere; a gang's
 * task not even after the attempt has ended, because a copy of the start would begin it again. Without the return the
 * job was pending forever (fault test, seeds 555 and 847). */
static bool holds_lost_start(const fc_machine *machine, double since) {
  for (guint i = 0; i < machine->placements->len; i++) {
    const fc_placement *placement = machine->placements->pdata[i];
    if (placement->created_at > since) continue;
    if (fc_placement_abandoned_start(placement)) return true;
    if (placement->start.direct != FC_DIRECT_START_UNACKNOWLEDGED || placement->status.state != FC_TASK_EXITED)
      continue;
    if (placement->job && placement->job->spec.kind == FC_JOB_GANG && placement->job->phase == FC_PHASE_ACCEPTED)
      return true;
    /* The ended task is never resolved, so the machine never becomes empty enough to be transferred,
     * while scale-out counts on its capacity: a gang was pending forever (fault test, seed 450). */
    if (fc_machine_vacant(machine)) return true;
  }
  return false;
}

/* Returns whether the machine is faulty and can be returned. Marks it as faulty, and cordons it, when it
 * holds a start that was lost long enough ago. */
static bool is_faulty(const fc_machine_disposal *disposal, fc_machine *machine, double now) {
  double lost_start_s = disposal->cluster->settings->lease_s * LOST_START_LEASES;
  if (!machine->health.faulty && holds_lost_start(machine, now - lost_start_s)) {
    machine->health.faulty = true;
    fc_machine_cordon(machine);
  }
  return machine->health.faulty && fc_machine_vacant(machine) && fc_machine_reconciled(disposal->cluster, machine);
}

/* ---- surplus machines ---- */

/* Returns whether the machine has been idle for too long and is surplus. */
static bool is_surplus(const fc_cluster *cluster, const fc_machine *machine, assessment *state) {
  if (!fc_machine_reconciled(cluster, machine) || !machine->worker.reported ||
      !fc_machine_idle_too_long(cluster, machine, state->now))
    return false;
  if (!state->surplus) state->surplus = fc_scale_in_surplus(cluster, state->now);
  return g_hash_table_contains(state->surplus, machine);
}

/* ---- all reasons ---- */

static fc_return_reason reason_to_return(const fc_machine_disposal *disposal, fc_machine *machine, assessment *state) {
  if (is_lost(disposal, machine, state)) return FC_RETURN_LOST;
  if (failed_to_start(disposal, machine, state)) return FC_RETURN_NEVER_UP;
  if (is_faulty(disposal, machine, state->now)) return FC_RETURN_FAULTY;
  if (is_surplus(disposal->cluster, machine, state)) return FC_RETURN_IDLE;
  /* A return that has begun and not ended is tried again: the machine may be gone while its record is
   * still there; without this it stayed there for good (fault test, seed 183). */
  return fc_machine_returning(machine) ? FC_RETURN_BEGUN : FC_RETURN_NONE;
}

/* Marks the machines to be returned. Returns their ids in an array that the caller frees. */
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

/* The records are removed only after the cloud has confirmed the return; until then the machines take
 * no tasks, and their return is retried. */
void fc_machine_disposal_run(fc_machine_disposal *disposal) {
  GPtrArray *ids = begin_returns(disposal);
  if (ids->len > 0 && release(disposal, ids)) fc_machine_returns_remove_records(disposal->returns, ids);
  g_ptr_array_free(ids, TRUE);
}
