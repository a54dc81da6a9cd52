#include "controller/outage_suspicion.h"

#include "bookkeeping/cluster_machines.h"

typedef struct silence_count {
  unsigned machines, silent;
} silence_count;

static void count_machine(silence_count *count, bool silent) {
  count->machines++;
  count->silent += silent;
}

/* Returns whether the silent machines outnumber the others by more than one, so never for a machine alone. */
static bool mostly_silent(const silence_count *count) {
  return count->silent * 2 > count->machines + 1;
}

/* Returns whether it is known if the machine is silent. The state of another member's machine is only
 * known from that member's views; when machines of a member that was cut off itself counted too,
 * half a zone was returned (fleet day "zone"). */
static bool state_known(const fc_cluster *cluster, fc_peers *peers, const fc_machine *machine, bool silent) {
  if (fc_machine_owned_by_self(cluster, machine)) return machine->worker.reported || silent;
  return fc_machine_reconciled(cluster, machine) && fc_peers_member_healthy(peers, machine->owner);
}

fc_outage_suspicion fc_outage_suspicion_assess(const fc_cluster *cluster, fc_peers *peers, double now) {
  silence_count own = {0, 0}, fleet = {0, 0}, zones[FC_ZONES_MAX + 1] = {{0, 0}};
  fc_machine_iter machine_iter = fc_cluster_machines(cluster);
  for (const fc_machine *machine; (machine = fc_machine_iter_next(&machine_iter));) {
    if (!machine->record_version || !machine->endpoint_recorded || machine->owner < 0) continue;
    bool silent = fc_machine_suspect(cluster, machine, now);
    bool known = state_known(cluster, peers, machine, silent);
    /* For the zone, machines of unknown state count as silent. When they were left out after a member in
     * the zone was excluded and its machines got new owners, the zone was judged by one machine that had
     * not changed its owner, and that machine was returned. */
    count_machine(&zones[machine->zone], silent || !known);
    if (!known) continue;
    count_machine(&fleet, silent);
    if (fc_machine_owned_by_self(cluster, machine)) count_machine(&own, silent);
  }
  fc_outage_suspicion suspicion = {.everywhere = mostly_silent(&own) || mostly_silent(&fleet)};
  for (size_t zone = 0; zone <= FC_ZONES_MAX; zone++) suspicion.zones[zone] = mostly_silent(&zones[zone]);
  return suspicion;
}

bool fc_outage_suspicion_covers(const fc_outage_suspicion *suspicion, const fc_machine *machine) {
  return suspicion->everywhere || suspicion->zones[machine->zone];
}
