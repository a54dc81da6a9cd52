#include "controller/machine_probes.h"

#include <string.h>

#include "bookkeeping/cluster_machines.h"
#include "controller/machine_reachability.h"
#include "protocol/worker_api.h"
#include "transport/routine.h"

#define UNIDIRECTIONAL_LEASES 0.2   /* probed after this long without a sign that responses arrive */
#define PEER_RENEWAL_HEARTBEATS 2.0 /* how long a lease renewal by a peer counts as recent */
#define RECONCILE_HEARTBEATS 1.5    /* after a new term, the time for an owner to reconcile its machines */
#define PROBE_SPACING_HEARTBEATS 1.0
#define PROBE_TIMEOUT_HEARTBEATS 0.75
#define FDS_PER_PROBE 32u /* probes may use one in this many file descriptors; calls to owned machines come first */
#define PROBES_MIN 1u

struct fc_machine_probes {
  fc_cluster *cluster;
  const fc_leadership *leadership;
  fc_worker_calls *calls;
};

typedef struct probe_routine {
  fc_machine_probes *probes;
  char machine[FC_NAME_SIZE];
} probe_routine;

fc_machine_probes *fc_machine_probes_new(fc_cluster *cluster, const fc_leadership *leadership, fc_worker_calls *calls) {
  fc_machine_probes *probes = g_new(fc_machine_probes, 1);
  *probes = (fc_machine_probes){.cluster = cluster, .leadership = leadership, .calls = calls};
  return probes;
}

void fc_machine_probes_free(fc_machine_probes *probes) {
  g_free(probes);
}

/* ---- machines of this shard ---- */

bool fc_machine_probes_check(const fc_machine_probes *probes, fc_machine *machine) {
  const fc_cluster *cluster = probes->cluster;
  const fc_settings *settings = cluster->settings;
  if (!machine->worker.reported || !fc_machine_reconciled(cluster, machine)) return false;
  double now = fc_now();
  const fc_machine_reachability *reach = &machine->reachability;
  if (reach->unidirectional_since && now > reach->unidirectional_since + settings->lease_s * UNIDIRECTIONAL_LEASES)
    machine->probe.wanted = true;
  /* A peer renews its lease, and redirects the worker here once this member has reached it again. */
  if (reach->peer_bidirectional_at > now - settings->heartbeat_s * PEER_RENEWAL_HEARTBEATS &&
      fc_machine_suspect(cluster, machine, now))
    machine->probe.wanted = true;
  /* Its lease has expired: it takes tasks again as soon as it shows its epoch. */
  if (fc_machine_awaits_epoch(cluster, machine, now)) machine->probe.wanted = true;
  /* A member that has left may have renewed its lease last: check whether the machine is still there. */
  if (fc_reachability_peer_left_recently(probes->leadership, settings, now) &&
      fc_machine_suspect(cluster, machine, now))
    machine->probe.wanted = true;
  return machine->probe.wanted;
}

/* ---- other members' machines ---- */

/* Probes the machine once, and records whether it answered. Suspends the calling routine. */
static void probe(fc_machine_probes *probes, const char *id) {
  const fc_cluster *cluster = probes->cluster;
  const fc_machine *known = fc_cluster_find_machine(cluster, id);
  fc_endpoint endpoint;
  if (!known || !fc_endpoint_parse(known->record.endpoint, &endpoint)) return;
  double sent_at = fc_now();
  fc_heartbeat heartbeat;
  fc_worker_call_result result =
      fc_worker_call(&endpoint, cluster->membership.term.number, known->worker.epoch, NULL, 0,
                     sent_at + cluster->settings->heartbeat_s * PROBE_TIMEOUT_HEARTBEATS, &heartbeat);
  bool answered = fc_worker_call_answered(result);
  fc_machine *machine = fc_cluster_find_machine(cluster, id);
  if (machine) {
    /* Its address may belong to another machine by now, which would be the one that answered. */
    machine->probe.answered = answered && strcmp(heartbeat.machine, machine->id) == 0;
    machine->probe.sent_at = sent_at;
  }
  if (answered) fc_heartbeat_clear(&heartbeat);
}

/* The routine that carries out one probe. */
static void run_probe(void *arg) {
  const probe_routine routine = *(probe_routine *)arg;
  g_free(arg);
  fc_machine_probes *probes = routine.probes;
  probe(probes, routine.machine);
  fc_machine *machine = fc_cluster_find_machine(probes->cluster, routine.machine);
  if (machine) machine->probe.in_flight = false;
  fc_worker_calls_end(probes->calls);
}

/* Returns whether the owner suspects that the machine is lost, or is late in reconciling it. */
static bool owner_needs_help(const fc_machine_probes *probes, const fc_machine *machine, double now) {
  if (fc_machine_reconciled(probes->cluster, machine)) return machine->reachability.owner_suspects;
  double reconcile_s = probes->cluster->settings->heartbeat_s * RECONCILE_HEARTBEATS;
  return now > fc_leadership_term_since(probes->leadership) + reconcile_s;
}

static bool may_probe(const fc_machine_probes *probes, const fc_machine *machine) {
  const fc_settings *settings = probes->cluster->settings;
  double now = fc_now();
  if (machine->probe.in_flight || machine->owner < 0 || !machine->endpoint_recorded || !machine->record.endpoint[0] ||
      !fc_reachability_peer_left_recently(probes->leadership, settings, now))
    return false;
  if (!owner_needs_help(probes, machine, now)) return false;
  if (now < machine->probe.sent_at + settings->heartbeat_s * PROBE_SPACING_HEARTBEATS) return false;
  return fc_leadership_held(probes->leadership) &&
         fc_worker_calls_in_flight(probes->calls) < MAX(settings->fd_limit / FDS_PER_PROBE, PROBES_MIN);
}

void fc_machine_probes_assist_owner(fc_machine_probes *probes, fc_machine *machine) {
  if (!may_probe(probes, machine)) return;
  probe_routine *routine = g_new0(probe_routine, 1);
  routine->probes = probes;
  g_strlcpy(routine->machine, machine->id, sizeof routine->machine);
  machine->probe.in_flight = true;
  fc_worker_calls_begin(probes->calls);
  if (!fc_routine_spawn(run_probe, routine)) {
    machine->probe.in_flight = false;
    fc_worker_calls_end(probes->calls);
    g_free(routine);
  }
}
