#include "controller/heartbeats.h"

#include <string.h>

#include "bookkeeping/cluster_machines.h"
#include "controller/heartbeat_order.h"
#include "protocol/job.h"
#include "protocol/worker_api.h"
#include "transport/routine.h"

#define ANSWER_SEEN_HEARTBEATS 2.0  /* an answer longer ago tells nothing of the present */
#define OWNER_SILENT_HEARTBEATS 1.5 /* an owner that is silent for so long can't be reached */
#define OWNER_RECONCILES_LEASES 0.6 /* how long a new owner is left to call the machine itself */
#define OWNER_SUSPECTS_LEASES 3.0   /* how long an owner that has lost touch with it is */
#define UNANSWERED_HEARTBEATS 2.0   /* with no answer of ours for longer, we answer the worker */
#define REDIRECT_SPACING_LEASES 0.6 /* between two redirects of the same worker */
#define ERROR_BYTES 200

enum { STATUS_OK = 200, STATUS_BAD_REQUEST = 400, STATUS_MISDIRECTED = 421, STATUS_UNAVAILABLE = 503 };

struct fc_heartbeats {
  fc_cluster *cluster;
  const fc_leadership *leadership;
  fc_peers *peers;
  fc_machine_registration *registration;
  fc_reconciler *reconciler;
  fc_worker_commands *commands;
  fc_worker_calls *calls;
  fc_metrics *metrics;
};

/* One heartbeat and what it came on. */
typedef struct arrival {
  fc_heartbeat heartbeat;
  uint64_t connection;
} arrival;

/* The HTTP response. */
typedef struct response {
  int *status;
  GString *body;
} response;

fc_heartbeats *fc_heartbeats_new(fc_cluster *cluster, const fc_leadership *leadership, fc_peers *peers,
                                 fc_machine_registration *registration, fc_reconciler *reconciler,
                                 fc_worker_commands *commands, fc_worker_calls *calls, fc_metrics *metrics) {
  fc_heartbeats *heartbeats = g_new(fc_heartbeats, 1);
  *heartbeats = (fc_heartbeats){.cluster = cluster,
                                .leadership = leadership,
                                .peers = peers,
                                .registration = registration,
                                .reconciler = reconciler,
                                .commands = commands,
                                .calls = calls,
                                .metrics = metrics};
  return heartbeats;
}

void fc_heartbeats_free(fc_heartbeats *heartbeats) {
  g_free(heartbeats);
}

static void respond(const fc_heartbeats *heartbeats, const response *out, const GArray *commands) {
  *out->status = STATUS_OK;
  fc_heartbeat_answer(out->body, heartbeats->cluster->membership.term.number,
                      commands ? (const fc_command *)commands->data : NULL, commands ? commands->len : 0);
}

static void refuse(const response *out) {
  *out->status = STATUS_UNAVAILABLE;
  g_string_truncate(out->body, 0);
  fc_error_answer(out->body, "not entitled now");
}

/* Notes whether the heartbeat shows that the worker has received our last answer. A worker without
 * an answer for FC_WORKER_REQUEST_TIMEOUT_S tries the next member, and no request comes on a
 * connection before the last answer was read there. So one that is back sooner than that, or on the
 * same connection, has received it; that its heartbeats arrive shows nothing, as its connection may
 * be unidirectional. Where heartbeats are further apart than that timeout, time alone never shows
 * it, and every machine was probed between any two of them. */
static void note_answer_received(const fc_heartbeats *heartbeats, fc_machine *machine, uint64_t connection) {
  const fc_machine_lease *lease = &machine->lease;
  double now = fc_now(), since_answer_s = now - lease->answered_at;
  bool soon = since_answer_s < FC_WORKER_REQUEST_TIMEOUT_S;
  bool same_connection = connection && connection == lease->connection;
  double max_s = heartbeats->cluster->settings->heartbeat_s * ANSWER_SEEN_HEARTBEATS;
  if (lease->answered_at && (soon || same_connection) && since_answer_s < max_s) {
    machine->reachability.unidirectional_since = 0;
  } else if (!machine->reachability.unidirectional_since) {
    machine->reachability.unidirectional_since = now;
  }
}

/* ---- machines of other members ---- */

/* Is it better to answer a worker with tasks here than to send it to its owner? An owner that has
 * not reconciled the machine yet, or not heard of it lately, calls it all the time, and tells us
 * when it gets through. Until then another attempt there only takes from the worker's lease, and
 * from the time after which its owner takes it for lost; with a third member gone it took more than
 * there was (scene unreachable_machines_at_a_leader_change). Where the owner never gets through
 * though heartbeats do, the worker is sent there in the end. */
static bool owner_out_of_touch(const fc_heartbeats *heartbeats, const fc_machine *machine, double now) {
  const fc_settings *settings = heartbeats->cluster->settings;
  const fc_machine_reachability *reach = &machine->reachability;
  bool reconciled = fc_machine_reconciled(heartbeats->cluster, machine);
  double term_since = fc_leadership_term_since(heartbeats->leadership);
  if (!reconciled && now < term_since + settings->lease_s * OWNER_RECONCILES_LEASES) return true;
  if (reach->owner_suspects && now < reach->owner_suspects_since + settings->lease_s * OWNER_SUSPECTS_LEASES)
    return true;
  return (!reconciled || reach->owner_suspects) &&
         now > machine->lease.answered_at + settings->heartbeat_s * UNANSWERED_HEARTBEATS;
}

/* Is the worker to be sent to its owner? Not when we do not hear of the owner, and not when the
 * worker has just come back from there in vain. */
static bool should_redirect(const fc_heartbeats *heartbeats, const fc_machine *machine, const fc_heartbeat *heartbeat) {
  const fc_settings *settings = heartbeats->cluster->settings;
  double now = fc_now();
  const fc_peer *owner = fc_peers_of_member(heartbeats->peers, machine->owner);
  if (!owner || now > owner->heard_at + settings->heartbeat_s * OWNER_SILENT_HEARTBEATS) return false;
  if (heartbeat->task_count > 0 && owner_out_of_touch(heartbeats, machine, now)) return false;
  return now > machine->lease.redirected_at + settings->lease_s * REDIRECT_SPACING_LEASES;
}

static void redirect(const fc_heartbeats *heartbeats, fc_machine *machine, const arrival *from, const response *out) {
  /* It may show on its way that it has received our answer; that it doesn't would show nothing. */
  if (fc_heartbeat_order_is_newer(machine, &from->heartbeat) &&
      fc_now() < machine->lease.answered_at + FC_WORKER_REQUEST_TIMEOUT_S)
    note_answer_received(heartbeats, machine, from->connection);
  machine->lease.redirected_at = fc_now();
  *out->status = STATUS_MISDIRECTED;
  fc_worker_redirect_answer(out->body, heartbeats->cluster->membership.term.members[machine->owner].name);
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

/* Any member that may act may renew a worker's lease and stop what must not run; to start tasks,
 * and to have them forgotten, is the owner's alone. */
static void renew_for_owner(const fc_heartbeats *heartbeats, fc_machine *machine, const arrival *from,
                            const response *out) {
  const fc_heartbeat *heartbeat = &from->heartbeat;
  note_answer_received(heartbeats, machine, from->connection);
  fc_machine_agent_show_epoch(&machine->agent, heartbeat->epoch, heartbeat->sequence);
  GArray *commands = cancelled_tasks(heartbeats->cluster, heartbeat);
  machine->lease.answered_at = fc_now();
  machine->lease.connection = from->connection;
  g_debug("renewed lease for peer machine=%s owner=%d", machine->id, machine->owner);
  respond(heartbeats, out, commands);
  g_array_free(commands, TRUE);
}

/* False: the heartbeat is to be refused. */
static bool answer_for_owner(const fc_heartbeats *heartbeats, fc_machine *machine, const arrival *from,
                             const response *out) {
  if (should_redirect(heartbeats, machine, &from->heartbeat)) {
    redirect(heartbeats, machine, from, out);
    return true;
  }
  /* A copy is no sign of life, and nobody waits for the answer. */
  if (!fc_heartbeat_order_is_newer(machine, &from->heartbeat)) return false;
  renew_for_owner(heartbeats, machine, from, out);
  return true;
}

/* ---- our machines ---- */

/* Has the worker asked directly what its machine holds. */
static void probe(const fc_heartbeats *heartbeats, fc_machine *machine) {
  machine->probe.wanted = true;
  fc_worker_calls_send(heartbeats->calls, machine);
}

/* Applies the heartbeat of a machine of ours. False: it is to be refused. */
static bool accept_heartbeat(const fc_heartbeats *heartbeats, fc_machine *machine, const arrival *from) {
  if (machine->agent.restarted && fc_machine_reconciled(heartbeats->cluster, machine)) {
    /* A late heartbeat of its incarnation before would look newer than its own: only its answers
     * to direct calls show what it holds (fault test, seed 38). */
    note_answer_received(heartbeats, machine, from->connection);
    machine->lease.answered_at = fc_now();
    probe(heartbeats, machine);
    return true;
  }
  if (fc_heartbeat_order_is_newer(machine, &from->heartbeat)) {
    note_answer_received(heartbeats, machine, from->connection);
    fc_reconciler_apply_heartbeat(heartbeats->reconciler, machine, &from->heartbeat);
    machine->lease.answered_at = fc_now();
    return true;
  }
  /* The answer to a direct call has overtaken it, or it is a late copy, or the machine was
   * restarted and counts from the beginning: ask it. */
  probe(heartbeats, machine);
  if (from->heartbeat.epoch != machine->agent.epoch) return false; /* from an incarnation that has ended */
  /* Answered without commands: a copy's answer reaches nobody, and a start would count as sent. The
   * lease runs from when the heartbeat was sent, which is before the last message that has come: a
   * copy does not extend it. */
  machine->lease.answered_at = MAX(machine->lease.answered_at, machine->agent.heard_at);
  return true;
}

/* Answers with commands, once the machine is reconciled. False: the heartbeat is to be refused. */
static bool answer_as_owner(const fc_heartbeats *heartbeats, fc_machine *machine, const arrival *from,
                            const response *out) {
  /* As it was before the heartbeat is applied. */
  bool takes_commands = fc_heartbeat_order_is_newer(machine, &from->heartbeat) || machine->agent.restarted;
  if (!accept_heartbeat(heartbeats, machine, from)) return false;
  fc_machine_registration_announce(heartbeats->registration, machine);
  machine->lease.connection = from->connection;
  if (!takes_commands || !fc_machine_reconciled(heartbeats->cluster, machine)) {
    respond(heartbeats, out, NULL);
    return true;
  }
  GArray *commands = fc_worker_commands_for_answer(heartbeats->commands, machine, from->heartbeat.sequence);
  respond(heartbeats, out, commands);
  g_array_free(commands, TRUE);
  return true;
}

/* ---- any machine ---- */

/* Does the heartbeat describe the machine as its record does? */
static bool matches_record(fc_machine *machine, const fc_heartbeat *heartbeat) {
  const fc_machine_record *record = &machine->record;
  if (strcmp(record->type, heartbeat->type) == 0 && strcmp(record->zone, heartbeat->zone) == 0 &&
      record->spot == heartbeat->spot)
    return true;
  if (!machine->agent.mismatch_logged)
    g_warning("heartbeat contradicts the record machine=%s type=%s zone=%s", machine->id, heartbeat->type,
              heartbeat->zone);
  machine->agent.mismatch_logged = true;
  return false;
}

/* The machine that the heartbeat is from, which is recorded first if nobody has done so. NULL: this
 * member may not answer for it now. May suspend the calling routine. */
static fc_machine *find_sender(const fc_heartbeats *heartbeats, const fc_heartbeat *heartbeat) {
  const fc_cluster *cluster = heartbeats->cluster;
  if (!fc_leadership_held(heartbeats->leadership)) return NULL;
  fc_machine *machine = fc_cluster_find_machine(cluster, heartbeat->machine);
  bool recorded = machine && machine->record_version;
  if (!recorded && (!fc_machine_registration_record(heartbeats->registration, heartbeat) ||
                    !fc_leadership_held(heartbeats->leadership)))
    return NULL;
  machine = fc_cluster_find_machine(cluster, heartbeat->machine);
  /* A fencing token above ours: there is a term that we have not heard of. A 200 would be dropped,
   * and keep the worker here while its lease expires. */
  if (!machine || !machine->record_version || heartbeat->fencing_token > cluster->membership.term.number) return NULL;
  if (machine->record_write_pending) return NULL; /* it may belong to another member already */
  return matches_record(machine, heartbeat) ? machine : NULL;
}

/* False: the heartbeat is to be refused. */
static bool answer(const fc_heartbeats *heartbeats, const arrival *from, const response *out) {
  fc_machine *machine = find_sender(heartbeats, &from->heartbeat);
  if (!machine) return false;
  if (!fc_machine_owned_by_self(heartbeats->cluster, machine)) return answer_for_owner(heartbeats, machine, from, out);
  return answer_as_owner(heartbeats, machine, from, out);
}

void fc_heartbeats_answer(fc_heartbeats *heartbeats, const char *body, size_t length, uint64_t connection, int *status,
                          GString *out) {
  arrival from = {.connection = connection};
  const response to = {.status = status, .body = out};
  char error[ERROR_BYTES];
  if (!fc_heartbeat_parse(body, length, &from.heartbeat, error, sizeof error)) {
    *status = STATUS_BAD_REQUEST;
    fc_error_answer(out, "malformed report");
    g_info("malformed heartbeat: %s", error);
    return;
  }
  heartbeats->metrics->counters.heartbeats++;
  if (!answer(heartbeats, &from, &to)) refuse(&to);
  fc_heartbeat_clear(&from.heartbeat);
}
