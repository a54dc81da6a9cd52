#include "bookkeeping/cluster_machines.h"

/* More than any machine has or any limit allows. */
#define UNKNOWN_CAPACITY 1e12

/* How long a machine may be silent after this controller became its owner: in worker leases, but no
 * less than so many heartbeat intervals. */
#define NEVER_HEARD_LEASES 0.4
#define NEVER_HEARD_HEARTBEATS 2

/* A machine becomes suspect this much before it is unreachable, but not before a heartbeat can have
 * been missed; both in heartbeat intervals. */
#define SUSPECT_AHEAD_HEARTBEATS 2
#define SUSPECT_MIN_HEARTBEATS 1.5

/* A machine takes no new tasks if for this many heartbeat intervals no controller has answered a heartbeat of its
 * worker, although the worker may answer direct calls: only answers to heartbeats carry starts. */
#define UNANSWERED_HEARTBEATS 2

/* How long a silent, and a unidirectional, machine still takes new tasks, in worker leases. */
#define REACHABLE_SILENT_LEASES 0.5
#define REACHABLE_UNIDIRECTIONAL_LEASES 0.25

fc_machine *fc_cluster_ensure_machine(fc_cluster *cluster, const char *id, double now) {
  fc_machine *machine = fc_cluster_find_machine(cluster, id);
  if (machine) return machine;
  machine = fc_machine_new(id, now);
  g_hash_table_insert(cluster->machines, machine->id, machine);
  return machine;
}

void fc_cluster_remove_machine(fc_cluster *cluster, fc_machine *machine) {
  fc_machine_remove_placements(machine);
  g_hash_table_remove(cluster->machines, machine->id);
}

void fc_cluster_resolve_type_and_zone(const fc_cluster *cluster, fc_machine *machine) {
  machine->type = fc_cluster_find_machine_type(cluster, machine->record.type);
  machine->zone = fc_settings_zone_index(cluster->settings, machine->record.zone);
}

fc_placement *fc_cluster_add_placement(fc_cluster *cluster, fc_machine *machine, const char *job_id, uint32_t index,
                                       uint64_t attempt, double now) {
  fc_placement *placement = g_new0(fc_placement, 1);
  placement->machine = machine;
  g_strlcpy(placement->job_id, job_id, sizeof placement->job_id);
  placement->index = index;
  placement->attempt = attempt;
  placement->created_at = now;
  placement->first_view = cluster->view_number + 1;
  placement->job = fc_cluster_find_job(cluster, job_id);
  g_ptr_array_add(machine->placements, placement);
  if (placement->job) g_ptr_array_add(placement->job->placements, placement);
  machine->idle_since = 0;
  return placement;
}

fc_resources fc_machine_free_resources(const fc_cluster *cluster, const fc_machine *machine) {
  const fc_resources none = {0, 0, 0};
  if (machine->type < 0) return none;
  fc_resources resources = fc_machine_capacity(cluster, machine);
  for (guint i = 0; i < machine->placements->len; i++) {
    const fc_placement *placement = machine->placements->pdata[i];
    if (!fc_placement_active(placement)) continue;
    /* A task of an unknown job may use all resources. */
    if (!placement->job) return none;
    fc_resources_subtract(&resources, &placement->job->spec);
  }
  return resources;
}

fc_resources fc_machine_type_capacity(const fc_machine_type *machine_type) {
  return (fc_resources){machine_type->cpus, machine_type->gpus, machine_type->memory_gb};
}

fc_resources fc_machine_capacity(const fc_cluster *cluster, const fc_machine *machine) {
  if (machine->type < 0) return (fc_resources){UNKNOWN_CAPACITY, UNKNOWN_CAPACITY, UNKNOWN_CAPACITY};
  return fc_machine_type_capacity(cluster->machine_types->pdata[machine->type]);
}

bool fc_machine_never_heard(const fc_cluster *cluster, const fc_machine *machine, double now) {
  const fc_settings *settings = cluster->settings;
  double timeout_s = MAX(settings->lease_s * NEVER_HEARD_LEASES, settings->heartbeat_s * NEVER_HEARD_HEARTBEATS);
  return machine->endpoint_recorded && !machine->worker.reported && now > machine->owned_since + timeout_s;
}

bool fc_machine_suspect(const fc_cluster *cluster, const fc_machine *machine, double now) {
  if (!fc_machine_owned_by_self(cluster, machine)) return machine->reachability.owner_suspects;
  if (!machine->worker.reported) return fc_machine_never_heard(cluster, machine, now);
  const fc_settings *settings = cluster->settings;
  double silent_s = MAX(fc_machine_silence_timeout_s(settings) - SUSPECT_AHEAD_HEARTBEATS * settings->heartbeat_s,
                        SUSPECT_MIN_HEARTBEATS * settings->heartbeat_s);
  return machine->reachability.unidirectional_since || fc_machine_unreachable_since(machine, now - silent_s);
}

static bool heard_lately(const fc_cluster *cluster, const fc_machine *machine, double now) {
  double lease_s = cluster->settings->lease_s;
  if (!machine->worker.reported || now > machine->worker.heard_at + lease_s * REACHABLE_SILENT_LEASES) return false;
  /* The next heartbeat, or the response to a probe, shows whether responses reach the worker. */
  double unidirectional_since = machine->reachability.unidirectional_since;
  return !unidirectional_since || now < unidirectional_since + lease_s * REACHABLE_UNIDIRECTIONAL_LEASES;
}

/* As far as peers have reported. A new owner may not know yet of heartbeats that were answered before. */
static bool answered_lately(const fc_cluster *cluster, const fc_machine *machine, double now) {
  double answered_at = MAX(machine->lease.answered_at, machine->lease.peer_renewed_at);
  double timeout_s = cluster->settings->heartbeat_s * UNANSWERED_HEARTBEATS;
  return now <= MAX(answered_at, machine->owned_since) + timeout_s;
}

/* A start command names an epoch, and an expired lease rules out only starts that name the epoch
 * that ended. When starts were sent under an epoch that the worker had not reported, they were
 * considered ruled out once the lease had expired, but were executed later: tasks ran twice, and a
 * team exceeded its limit (scene test_expired_leases). */
bool fc_machine_reachable(const fc_cluster *cluster, const fc_machine *machine, double now) {
  return machine->worker.epoch_shown && heard_lately(cluster, machine, now) && answered_lately(cluster, machine, now);
}

bool fc_machine_awaits_epoch(const fc_cluster *cluster, const fc_machine *machine, double now) {
  return !machine->worker.epoch_shown && heard_lately(cluster, machine, now);
}
