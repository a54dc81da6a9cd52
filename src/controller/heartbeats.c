#include "controller/heartbeats.h"

#include <string.h>

#include "bookkeeping/cluster_machines.h"
#include "controller/heartbeat_order.h"
#include "protocol/job.h"
#include "protocol/worker_api.h"
#include "transport/routine.h"

#define RESPONSE_RECENT_HEARTBEATS 2.0 /* an older response says nothing about the connection now */
#define OWNER_SILENT_HEARTBEATS 1.5    /* an owner that is silent for longer counts as unreachable */
#define OWNER_RECONCILES_LEASES 0.6    /* time for a new owner to call the machine itself */
#define OWNER_SUSPECTS_LEASES 3.0      /* time for an owner that suspects the machine is lost to reach it */
#define UNANSWERED_HEARTBEATS 2.0      /* a worker that this member has not answered for longer is not redirected */
#define REDIRECT_SPACING_LEASES 0.6    /* least time between two redirects of the same worker */
#define ERROR_BYTES 200

enum { STATUS_OK = 200, STATUS_BAD_REQUEST = 400, STATUS_MISDIRECTED = 421, STATUS_UNAVAILABLE = 503 };

struct fc_heartbeats {
  fc_heartbeats_deps deps;
};

/* A heartbeat and the number of the connection that it came on; 0: not known. */
typedef struct received_heartbeat {
  fc_heartbeat heartbeat;
  uint64_t connection;
} received_heartbeat;

/* The HTTP response to a heartbeat. */
typedef struct response {
  int *status;
  GString *body;
} response;

fc_heartbeats *fc_heartbeats_new(const fc_heartbeats_deps *deps) {
  fc_heartbeats *heartbeats = g_new(fc_heartbeats, 1);
  heartbeats->deps = *deps;
  return heartbeats;
}

void fc_heartbeats_free(fc_heartbeats *heartbeats) {
  g_free(heartbeats);
}

static void respond(const response *out, uint64_t fencing_token, const GArray *commands) {
  *out->status = STATUS_OK;
  fc_heartbeat_answer(out->body, fencing_token, commands ? (const fc_command *)commands->data : NULL,
                      commands ? commands->len : 0);
}

static void refuse(const response *out) {
  *out->status = STATUS_UNAVAILABLE;
  g_string_truncate(out->body, 0);
  fc_error_answer(out->body, "not entitled now");
}

/* Updates `unidirectional_since` by whether the heartbeat shows that the worker has received this member's last
 * response. A worker that gets no response within FC_WORKER_REQUEST_TIMEOUT_S tries the next member, and sends no
 * request on a connection before it has read the last response there. So a worker that returns sooner than that, or on
 * the same connection, has received it. The arrival of heartbeats alone proves nothing, as the connection may be
 * unidirectional. The time alone is not enough either: where the heartbeat interval exceeds the timeout, every machine
 * was probed between any two heartbeats. */
static void update_unidirectional(const fc_heartbeats *heartbeats, fc_machine *machine, uint64_t connection) {
  const fc_machine_lease *lease = &machine->lease;
  double now = fc_now(), since_response_s = now - lease->answered_at;
  bool soon = since_response_s < FC_WORKER_REQUEST_TIMEOUT_S;
  bool same_connection = connection && connection == lease->connection;
  double max_s = heartbeats->deps.cluster->settings->heartbeat_s * RESPONSE_RECENT_HEARTBEATS;
  if (lease->answered_at && (soon || same_connection) && since_response_s < max_s) {
    machine->reachability.unidirectional_since = 0;
  } else if (!machine->reachability.unidirectional_since) {
    machine->reachability.unidirectional_since = now;
  }
}

/* ---- machines of other members ---- */

/* Returns whether a worker with tasks is better answered here than redirected to its owner. An owner that has not
 * reconciled the machine yet, or has lost contact with it, keeps calling it, and informs this member when it succeeds.
 * Until then another attempt at the owner only uses up the worker's lease, and the time after which the owner considers
 * the machine lost; with a third member gone, both ran out (scene unreachable_machines_at_a_leader_change). If the
 * owner's calls never succeed, the worker is redirected in the end, as its heartbeats may get through. */
static bool owner_out_of_touch(const fc_heartbeats *heartbeats, const fc_machine *machine, double now) {
  const fc_settings *settings = heartbeats->deps.cluster->settings;
  const fc_machine_reachability *reach = &machine->reachability;
  bool reconciled = fc_machine_reconciled(heartbeats->deps.cluster, machine);
  double term_since = fc_leadership_term_since(heartbeats->deps.leadership);
  if (!reconciled && now < term_since + settings->lease_s * OWNER_RECONCILES_LEASES) return true;
  if (reach->owner_suspects && now < reach->owner_suspects_since + settings->lease_s * OWNER_SUSPECTS_LEASES)
    return true;
  return (!reconciled || reach->owner_suspects) &&
         now > machine->lease.answered_at + settings->heartbeat_s * UNANSWERED_HEARTBEATS;
}

/* Returns whether to redirect the worker to its owner: not while this member hears nothing from the owner, and not
 * shortly after an earlier redirect, from which the worker may just have returned. */
static bool should_redirect(const fc_heartbeats *heartbeats, const fc_machine *machine, const fc_heartbeat *heartbeat) {
  const fc_settings *settings = heartbeats->deps.cluster->settings;
  double now = fc_now();
  const fc_peer *owner = fc_peers_of_member(heartbeats->deps.peers, machine->owner);
  if (!owner || now > owner->heard_at + settings->heartbeat_s * OWNER_SILENT_HEARTBEATS) return false;
  if (heartbeat->task_count > 0 && owner_out_of_touch(heartbeats, machine, now)) return false;
  return now > machine->lease.redirected_at + settings->lease_s * REDIRECT_SPACING_LEASES;
}

static void redirect(const fc_heartbeats *heartbeats, fc_machine *machine, const received_heartbeat *received,
                     const response *out) {
  /* A prompt heartbeat proves that the last response arrived; a later one proves nothing. */
  if (fc_heartbeat_order_is_newer(machine, &received->heartbeat) &&
      fc_now() < machine->lease.answered_at + FC_WORKER_REQUEST_TIMEOUT_S)
    update_unidirectional(heartbeats, machine, received->connection);
  machine->lease.redirected_at = fc_now();
  *out->status = STATUS_MISDIRECTED;
  fc_worker_redirect_answer(out->body, heartbeats->deps.cluster->membership.term.members[machine->owner].name);
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

/* Returns whether the owner may have sent the worker a start, still in flight, of a job that is cancelled by now. This
 * member doesn't know the owner's starts, and the owner may have learned of the cancellation later. */
static bool owner_start_may_be_unwanted(const fc_heartbeats *heartbeats) {
  double cancel_s = heartbeats->deps.cluster->settings->cancel_s;
  return fc_now() < fc_cancellations_learned_at(heartbeats->deps.cancellations) + cancel_s;
}

/* The fencing token for the answer to a worker of another member's machine. A raised token makes the worker refuse
 * starts that the owner has sent it and that are still in flight. One of them was executed after the deadline of its
 * job's cancellation when only the return of the machine could prevent it and the cloud had an outage (scene
 * starts_held_up_during_a_cloud_outage). */
static uint64_t token_for_owner(const fc_heartbeats *heartbeats, const fc_heartbeat *heartbeat) {
  const fc_cluster *cluster = heartbeats->deps.cluster;
  uint64_t term = cluster->membership.term.number;
  uint64_t accepted = fc_fencing_token_accepted(heartbeat->fencing_token, term);
  if (!fc_cluster_raises_tokens(cluster) || !owner_start_may_be_unwanted(heartbeats)) return accepted;
  return fc_fencing_token_raise(accepted, term);
}

/* Renews the lease of another member's worker and stops its tasks of cancelled jobs, as any member
 * that holds leadership may. Only the owner starts tasks, and has workers forget tasks that have ended. */
static void renew_for_owner(const fc_heartbeats *heartbeats, fc_machine *machine, const received_heartbeat *received,
                            const response *out) {
  const fc_heartbeat *heartbeat = &received->heartbeat;
  update_unidirectional(heartbeats, machine, received->connection);
  fc_machine_worker_show_epoch(&machine->worker, heartbeat->epoch, heartbeat->sequence);
  GArray *commands = cancelled_tasks(heartbeats->deps.cluster, heartbeat);
  machine->lease.answered_at = fc_now();
  machine->lease.connection = received->connection;
  uint64_t token = token_for_owner(heartbeats, heartbeat);
  g_debug("renewed worker lease for the owner machine=%s owner=%d token=%" G_GUINT64_FORMAT, machine->id,
          machine->owner, (guint64)token);
  respond(out, token, commands);
  g_array_free(commands, TRUE);
}

/* Answers for another member's machine. Returns false if the heartbeat is to be refused. */
static bool answer_for_owner(const fc_heartbeats *heartbeats, fc_machine *machine, const received_heartbeat *received,
                             const response *out) {
  if (should_redirect(heartbeats, machine, &received->heartbeat)) {
    redirect(heartbeats, machine, received, out);
    return true;
  }
  /* A copy does not show that the worker is alive, and nobody waits for the response. */
  if (!fc_heartbeat_order_is_newer(machine, &received->heartbeat)) return false;
  renew_for_owner(heartbeats, machine, received, out);
  return true;
}

/* ---- machines of this shard ---- */

/* Probes the worker by a direct call for the tasks that it holds. */
static void probe(const fc_heartbeats *heartbeats, fc_machine *machine) {
  machine->probe.wanted = true;
  fc_worker_calls_send(heartbeats->deps.calls, machine);
}

/* Applies the heartbeat of an owned machine. Returns false if it is to be refused. */
static bool accept_heartbeat(const fc_heartbeats *heartbeats, fc_machine *machine, const received_heartbeat *received) {
  if (machine->worker.restarted && fc_machine_reconciled(heartbeats->deps.cluster, machine)) {
    /* A delayed heartbeat from before the restart would look newer than one sent after it, so only responses to direct
     * calls show what the worker holds (fault test, seed 38). */
    update_unidirectional(heartbeats, machine, received->connection);
    machine->lease.answered_at = fc_now();
    probe(heartbeats, machine);
    return true;
  }
  if (fc_heartbeat_order_is_newer(machine, &received->heartbeat)) {
    update_unidirectional(heartbeats, machine, received->connection);
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

/* Answers for an owned machine, with commands once it is reconciled. Returns false if the heartbeat is
 * to be refused. */
static bool answer_as_owner(const fc_heartbeats *heartbeats, fc_machine *machine, const received_heartbeat *received,
                            const response *out) {
  /* Determined before the heartbeat is applied. */
  bool takes_commands = fc_heartbeat_order_is_newer(machine, &received->heartbeat) || machine->worker.restarted;
  if (!accept_heartbeat(heartbeats, machine, received)) return false;
  fc_machine_registration_record_endpoint(heartbeats->deps.registration, machine);
  machine->lease.connection = received->connection;
  uint64_t token =
      fc_worker_commands_answer_token(heartbeats->deps.commands, machine, received->heartbeat.fencing_token);
  if (!takes_commands || !fc_machine_reconciled(heartbeats->deps.cluster, machine)) {
    respond(out, token, NULL);
    return true;
  }
  GArray *commands = fc_worker_commands_for_answer(heartbeats->deps.commands, machine, received->heartbeat.sequence);
  respond(out, token, commands);
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
static bool answer(const fc_heartbeats *heartbeats, const received_heartbeat *received, const response *out) {
  fc_machine *machine = find_sender(heartbeats, &received->heartbeat);
  if (!machine) return false;
  if (!fc_machine_owned_by_self(heartbeats->deps.cluster, machine))
    return answer_for_owner(heartbeats, machine, received, out);
  return answer_as_owner(heartbeats, machine, received, out);
}

void fc_heartbeats_answer(fc_heartbeats *heartbeats, const char *body, size_t length, uint64_t connection, int *status,
                          GString *out) {
  received_heartbeat received = {.connection = connection};
  const response to = {.status = status, .body = out};
  char error[ERROR_BYTES];
  if (!fc_heartbeat_parse(body, length, &received.heartbeat, error, sizeof error)) {
    *status = STATUS_BAD_REQUEST;
    fc_error_answer(out, "malformed report");
    g_info("malformed heartbeat: %s", error);
    return;
  }
  heartbeats->deps.metrics->counters.heartbeats++;
  if (!answer(heartbeats, &received, &to)) refuse(&to);
  fc_heartbeat_clear(&received.heartbeat);
}
