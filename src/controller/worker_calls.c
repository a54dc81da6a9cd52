#include "controller/worker_calls.h"

#include <string.h>

#include "bookkeeping/cluster_machines.h"
#include "controller/heartbeat_order.h"
#include "protocol/worker_api.h"
#include "transport/routine.h"

#define SOCKETS_PER_CALL 8u /* one in so many of all sockets is for direct calls */
#define CALLS_MIN 2u
#define FENCES_AND_PROBES_DIVISOR 2u /* of those calls */
#define CALL_TIMEOUT_HEARTBEATS 0.75
#define CALLS_PER_ROUTINE_MAX 2 /* a second one fences with what the first has learned */
#define MACHINE_ID_BYTES 64

struct fc_worker_calls {
  fc_cluster *cluster;
  const fc_leadership *leadership;
  fc_worker_commands *commands;
  fc_reconciler *reconciler;
  fc_metrics *metrics;
  unsigned in_flight;
};

typedef struct call_routine {
  fc_worker_calls *calls;
  char machine[MACHINE_ID_BYTES];
} call_routine;

/* What a direct call was made for. */
typedef struct direct_call {
  uint64_t term; /* its fencing token */
  bool fencing;  /* the machine was not reconciled in the term */
  bool probing;  /* it was to be asked what it holds */
  double asked_at;
} direct_call;

fc_worker_calls *fc_worker_calls_new(fc_cluster *cluster, const fc_leadership *leadership, fc_worker_commands *commands,
                                     fc_reconciler *reconciler, fc_metrics *metrics) {
  fc_worker_calls *calls = g_new(fc_worker_calls, 1);
  *calls = (fc_worker_calls){
      .cluster = cluster, .leadership = leadership, .commands = commands, .reconciler = reconciler, .metrics = metrics};
  return calls;
}

void fc_worker_calls_free(fc_worker_calls *calls) {
  g_free(calls);
}

unsigned fc_worker_calls_in_flight(const fc_worker_calls *calls) {
  return calls->in_flight;
}

void fc_worker_calls_begin(fc_worker_calls *calls) {
  calls->in_flight++;
}

void fc_worker_calls_end(fc_worker_calls *calls) {
  calls->in_flight--;
}

/* ---- answers ---- */

/* Notes what became of a start that a call carried. */
static void note_start(fc_placement *placement, fc_worker_call_result result) {
  fc_placement_start *start = &placement->start;
  if (result == FC_WORKER_CALL_UNKNOWN) { /* it may still arrive, minutes late */
    start->direct = FC_DIRECT_START_UNACKNOWLEDGED;
    g_debug("start unacknowledged task=%s/%u attempt=%" G_GUINT64_FORMAT " machine=%s token=%" G_GUINT64_FORMAT,
            placement->job_id, placement->index, (guint64)placement->attempt, placement->machine->id,
            (guint64)start->direct_token);
    return;
  }
  start->direct = FC_DIRECT_START_NONE;
  bool carried_out = result == FC_WORKER_CALL_DONE;
  if (!carried_out && !placement->status.reported) start->sent = start->heartbeat_sequence != 0;
}

static void note_starts(fc_worker_calls *calls, fc_machine *machine, fc_worker_call_result result) {
  for (guint i = 0; i < machine->placements->len; i++) {
    fc_placement *placement = machine->placements->pdata[i];
    if (placement->start.direct != FC_DIRECT_START_IN_FLIGHT) continue;
    note_start(placement, result);
    calls->metrics->counters.unknown_starts += result == FC_WORKER_CALL_UNKNOWN;
  }
}

static void note_call_end(fc_worker_calls *calls, fc_machine *machine, const direct_call *call,
                          fc_worker_call_result result) {
  note_starts(calls, machine, result);
  if (!call->fencing && !call->probing) return;
  machine->probe.sent_at = call->asked_at;
  machine->probe.answered = fc_worker_call_answered(result);
}

/* What the machine's incarnation before held is gone; only a direct start that may still arrive,
 * and would be carried out, stays. */
static void forget_incarnation(fc_machine *machine, const fc_heartbeat *heartbeat) {
  for (guint i = 0; i < machine->placements->len; i++) {
    fc_placement *placement = machine->placements->pdata[i];
    /* What counts as reported, and is not listed now, is gone. */
    if (placement->start.sent) placement->status.reported = placement->start.direct == FC_DIRECT_START_NONE;
  }
  fc_machine_agent_show_epoch(&machine->agent, heartbeat->epoch, heartbeat->sequence - 1);
  machine->agent.fencing_token = heartbeat->fencing_token;
  machine->agent.restarted = true;
  machine->agent.epoch_began_at = fc_now();
}

void fc_worker_calls_apply_answer(fc_worker_calls *calls, fc_machine *machine, const fc_heartbeat *heartbeat,
                                  double asked_at) {
  /* An answer is newer than everything that had come when we asked; if it does not look so, the
   * worker was restarted and counts from the beginning. A question from before its lease expired
   * may have been answered in the epoch that ended with it. */
  bool asked_since = asked_at > MAX(machine->agent.heard_at, machine->agent.expired_at);
  if (!fc_heartbeat_order_is_newer(machine, heartbeat) && asked_since) {
    if (!machine->agent.restarted)
      g_info("worker restarted machine=%s tasks=%u", machine->id, machine->placements->len);
    forget_incarnation(machine, heartbeat);
  }
  if (!fc_heartbeat_order_is_newer(machine, heartbeat)) return;
  fc_reconciler_apply_answer(calls->reconciler, machine, heartbeat, asked_at);
  machine->probe.confirmed_at = asked_at;
}

/* Applies the answer to a call. True: the machine is to be fenced with what it has shown. */
static bool accept_answer(fc_worker_calls *calls, fc_machine *machine, const direct_call *call,
                          fc_worker_call_result result, const fc_heartbeat *heartbeat) {
  const fc_cluster *cluster = calls->cluster;
  if (cluster->membership.term.number != call->term || !fc_machine_owned_by_self(cluster, machine) ||
      strcmp(heartbeat->machine, machine->id) != 0)
    return false;
  fc_worker_calls_apply_answer(calls, machine, heartbeat, call->asked_at);
  /* It refused our epoch: the epoch is new, or this is the first message from the machine. */
  return call->fencing && result == FC_WORKER_CALL_REFUSED && heartbeat->fencing_token <= call->term &&
         machine->reconciled_term != call->term;
}

/* ---- calls ---- */

static bool may_call(const fc_worker_calls *calls, const fc_machine *machine, uint64_t term) {
  return machine && fc_machine_owned_by_self(calls->cluster, machine) &&
         calls->cluster->membership.term.number == term && fc_leadership_held(calls->leadership);
}

/* Makes the call, if there is anything to fence, to ask or to command. Suspends the calling
 * routine. */
static fc_worker_call_result send_call(fc_worker_calls *calls, fc_machine *machine, const fc_endpoint *endpoint,
                                       const direct_call *call, fc_heartbeat *heartbeat) {
  GArray *commands = call->fencing ? g_array_new(FALSE, TRUE, sizeof(fc_command))
                                   : fc_worker_commands_for_call(calls->commands, machine);
  fc_worker_call_result result = FC_WORKER_CALL_UNSENT;
  double timeout_s = calls->cluster->settings->heartbeat_s * CALL_TIMEOUT_HEARTBEATS;
  if (call->fencing || call->probing || commands->len > 0)
    result = fc_worker_call(endpoint, call->term, machine->agent.epoch, (const fc_command *)commands->data,
                            commands->len, fc_now() + timeout_s, heartbeat);
  g_array_free(commands, TRUE);
  calls->metrics->counters.worker_calls += result != FC_WORKER_CALL_UNSENT;
  return result;
}

/* Calls the machine's worker once. True: another call is to fence it with what it has shown.
 * Suspends the calling routine. */
static bool call_worker(fc_worker_calls *calls, const char *id, uint64_t term) {
  fc_machine *machine = fc_cluster_find_machine(calls->cluster, id);
  fc_endpoint endpoint;
  if (!may_call(calls, machine, term) || !fc_endpoint_parse(machine->record.endpoint, &endpoint)) return false;
  const direct_call call = {.term = term,
                            .fencing = machine->reconciled_term != term,
                            .probing = machine->probe.wanted,
                            .asked_at = fc_now()};
  machine->probe.wanted = false;
  fc_heartbeat heartbeat;
  fc_worker_call_result result = send_call(calls, machine, &endpoint, &call, &heartbeat);
  machine = fc_cluster_find_machine(calls->cluster, id); /* it may be gone by now */
  if (machine) note_call_end(calls, machine, &call, result);
  if (!fc_worker_call_answered(result)) return false;
  bool again = machine && accept_answer(calls, machine, &call, result, &heartbeat);
  fc_heartbeat_clear(&heartbeat);
  return again;
}

/* The routine of the calls to one machine. */
static void run_calls(void *arg) {
  const call_routine routine = *(call_routine *)arg;
  g_free(arg);
  fc_worker_calls *calls = routine.calls;
  fc_metrics_enter_duty(calls->metrics, FC_DUTY_COMMANDS);
  uint64_t term = calls->cluster->membership.term.number;
  for (int count = 0; count < CALLS_PER_ROUTINE_MAX; count++)
    if (!call_worker(calls, routine.machine, term)) break;
  fc_machine *machine = fc_cluster_find_machine(calls->cluster, routine.machine);
  if (machine) machine->command_in_flight = false;
  fc_worker_calls_end(calls);
}

/* Calls to machines that do not answer keep their sockets for as long as a call may take: after a
 * failover in a fleet of thousands they would take all there are, those to the key-value store too.
 * Fences and probes get half of the calls, so that starts and stops always find some; a machine
 * that finds none is called in a later round. */
bool fc_worker_calls_available(const fc_worker_calls *calls, const fc_machine *machine) {
  unsigned max = MAX(calls->cluster->settings->fd_limit / SOCKETS_PER_CALL, CALLS_MIN);
  bool commands_only = fc_machine_reconciled(calls->cluster, machine) && !machine->probe.wanted;
  return calls->in_flight < (commands_only ? max : max / FENCES_AND_PROBES_DIVISOR);
}

void fc_worker_calls_send(fc_worker_calls *calls, fc_machine *machine) {
  if (machine->command_in_flight || !fc_machine_owned_by_self(calls->cluster, machine) ||
      !machine->record.endpoint[0] || !fc_worker_calls_available(calls, machine))
    return;
  call_routine *routine = g_new0(call_routine, 1);
  routine->calls = calls;
  g_strlcpy(routine->machine, machine->id, sizeof routine->machine);
  machine->command_in_flight = true;
  fc_worker_calls_begin(calls);
  if (!fc_routine_spawn(run_calls, routine)) {
    machine->command_in_flight = false;
    fc_worker_calls_end(calls);
    g_free(routine);
  }
}
