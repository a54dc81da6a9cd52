#include "controller/heartbeats.h"

#include <string.h>

#include "bookkeeping/cluster_machines.h"
#include "controller/heartbeat_hold.h"
#include "controller/heartbeat_order.h"
#include "controller/machine_reachability.h"
#include "protocol/worker_api.h"
#include "transport/routine.h"

struct fc_heartbeats {
  fc_heartbeats_deps deps;
};

fc_heartbeats *fc_heartbeats_new(const fc_heartbeats_deps *deps) {
  fc_heartbeats *heartbeats = g_new(fc_heartbeats, 1);
  heartbeats->deps = *deps;
  return heartbeats;
}

void fc_heartbeats_free(fc_heartbeats *heartbeats) {
  g_free(heartbeats);
}

/* ---- machines of this shard ---- */

/* Probes the worker by a direct call for the tasks that it holds. */
static void probe(const fc_heartbeats *heartbeats, fc_machine *machine) {
  machine->probe.wanted = true;
  fc_worker_calls_send(heartbeats->deps.calls, machine);
}

/* Applies the heartbeat of an owned machine. Returns false if it is to be refused. */
static bool accept_heartbeat(const fc_heartbeats *heartbeats, fc_machine *machine,
                             const fc_received_heartbeat *received) {
  if (machine->worker.restarted && fc_machine_reconciled(heartbeats->deps.cluster, machine)) {
    /* A delayed heartbeat from before the restart would look newer than one sent after it, so only responses to direct
     * calls show what the worker holds (fault test, seed 38). */
    fc_reachability_update_unidirectional(heartbeats->deps.cluster, machine, received->connection);
    machine->lease.answered_at = fc_now();
    probe(heartbeats, machine);
    return true;
  }
  if (fc_heartbeat_order_is_newer(machine, &received->heartbeat)) {
    fc_reachability_update_unidirectional(heartbeats->deps.cluster, machine, received->connection);
    fc_reconciler_apply_heartbeat(heartbeats->deps.reconciler, machine, &received->heartbeat);
    machine->lease.answered_at = fc_now();
    return true;
  }
  /* The response to a direct call has overtaken the heartbeat, or the heartbeat is a delayed copy, or the worker was
   * restarted and counts from the beginning: probe it. */
  probe(heartbeats, machine);
  if (received->heartbeat.epoch != machine->worker.epoch) return false; /* from an incarnation that has ended */
  /* Answered without commands: the response to a copy reaches nobody, yet a start in it would count as sent. The lease
   * runs from when the heartbeat was sent, which is before the last message that was received; so a copy does not
   * extend it. */
  machine->lease.answered_at = MAX(machine->lease.answered_at, machine->worker.heard_at);
  return true;
}

/* Answers a heartbeat whose answer was held, if the machine has got another owner meanwhile. Returns false if the
 * heartbeat is to be refused. */
static bool answer_after_owner_change(const fc_heartbeats *heartbeats, const fc_received_heartbeat *received,
                                      const fc_heartbeat_response *response) {
  const fc_cluster *cluster = heartbeats->deps.cluster;
  fc_machine *machine = fc_cluster_find_machine(cluster, received->heartbeat.machine);
  if (!machine || !machine->record_version || machine->record_write_pending ||
      fc_machine_owned_by_self(cluster, machine) || !fc_leadership_held(heartbeats->deps.leadership))
    return false;
  return fc_lease_renewals_answer(heartbeats->deps.renewals, machine, received, response);
}

/* Answers for an owned machine, with commands once it is reconciled. Returns false if the heartbeat is
 * to be refused. May suspend the calling routine. */
static bool answer_as_owner(const fc_heartbeats *heartbeats, fc_machine *machine, const fc_received_heartbeat *received,
                            const fc_heartbeat_response *response) {
  /* Determined before the heartbeat is applied. */
  bool takes_commands = fc_heartbeat_order_is_newer(machine, &received->heartbeat) || machine->worker.restarted;
  fc_heartbeat_hold_replace(machine);
  if (!accept_heartbeat(heartbeats, machine, received)) return false;
  fc_machine_registration_record_endpoint(heartbeats->deps.registration, machine);
  machine->lease.connection = received->connection;
  if (takes_commands && !machine->worker.restarted) {
    machine = fc_heartbeat_hold(heartbeats->deps.cluster, machine);
    if (!machine) return answer_after_owner_change(heartbeats, received, response);
    if (!fc_leadership_held(heartbeats->deps.leadership)) return false;
  }
  uint64_t token =
      fc_worker_commands_answer_token(heartbeats->deps.commands, machine, received->heartbeat.fencing_token);
  heartbeats->deps.metrics->counters.raised_tokens +=
      token > fc_machine_fencing_token(heartbeats->deps.cluster, machine);
  if (!takes_commands || !fc_machine_reconciled(heartbeats->deps.cluster, machine)) {
    fc_heartbeat_response_accept(response, token, NULL);
    return true;
  }
  GArray *commands =
      fc_worker_commands_for_answer(heartbeats->deps.commands, machine, received->heartbeat.sequence, token);
  fc_heartbeat_response_accept(response, token, commands);
  g_array_free(commands, TRUE);
  return true;
}

/* ---- any machine ---- */

/* Returns whether type, zone and spot match the machine's record; logs the first mismatch. */
static bool matches_record(fc_machine *machine, const fc_heartbeat *heartbeat) {
  const fc_machine_record *record = &machine->record;
  if (strcmp(record->type, heartbeat->type) == 0 && strcmp(record->zone, heartbeat->zone) == 0 &&
      record->spot == heartbeat->spot)
    return true;
  if (!machine->worker.mismatch_logged)
    g_warning("heartbeat does not match the machine record machine=%s type=%s zone=%s", machine->id, heartbeat->type,
              heartbeat->zone);
  machine->worker.mismatch_logged = true;
  return false;
}

/* Returns the machine that sent the heartbeat, after writing its record if there is none. NULL: this
 * member may not answer it now. May suspend the calling routine. */
static fc_machine *find_sender(const fc_heartbeats *heartbeats, const fc_heartbeat *heartbeat) {
  const fc_cluster *cluster = heartbeats->deps.cluster;
  if (!fc_leadership_held(heartbeats->deps.leadership)) return NULL;
  fc_machine *machine = fc_cluster_find_machine(cluster, heartbeat->machine);
  bool recorded = machine && machine->record_version;
  if (!recorded && (!fc_machine_registration_record(heartbeats->deps.registration, heartbeat) ||
                    !fc_leadership_held(heartbeats->deps.leadership)))
    return NULL;
  machine = fc_cluster_find_machine(cluster, heartbeat->machine);
  /* A fencing token of a newer term, which has not been read here yet. The worker would
   * drop a 200 with the old token, and would stay with this member while its lease expires. */
  if (!machine || !machine->record_version ||
      fc_fencing_token_is_newer(heartbeat->fencing_token, cluster->membership.term.number))
    return NULL;
  if (machine->record_write_pending) return NULL; /* another member may already own it */
  return matches_record(machine, heartbeat) ? machine : NULL;
}

/* Returns false if the heartbeat is to be refused. */
static bool answer(const fc_heartbeats *heartbeats, const fc_received_heartbeat *received,
                   const fc_heartbeat_response *response) {
  fc_machine *machine = find_sender(heartbeats, &received->heartbeat);
  if (!machine) return false;
  if (!fc_machine_owned_by_self(heartbeats->deps.cluster, machine))
    return fc_lease_renewals_answer(heartbeats->deps.renewals, machine, received, response);
  return answer_as_owner(heartbeats, machine, received, response);
}

void fc_heartbeats_answer(fc_heartbeats *heartbeats, const char *body, size_t length, uint64_t connection, int *status,
                          GString *out) {
  fc_received_heartbeat received = {.connection = connection};
  const fc_heartbeat_response response = {.status = status, .body = out};
  fc_message_error error;
  if (!fc_heartbeat_parse(body, length, &received.heartbeat, &error)) {
    fc_heartbeat_response_malformed(&response);
    heartbeats->deps.metrics->counters.refused[FC_MESSAGE_HEARTBEAT][error.fault]++;
    g_info("malformed heartbeat length=%zu offset=%zu reason=%s", length, error.offset, error.text);
    return;
  }
  heartbeats->deps.metrics->counters.heartbeats++;
  if (!answer(heartbeats, &received, &response)) fc_heartbeat_response_refuse(&response);
  fc_heartbeat_clear(&received.heartbeat);
}
