#include "controller/worker_calls.h"

#include <string.h>

#include "bookkeeping/cluster_machines.h"
#include "controller/heartbeat_order.h"
#include "protocol/worker_api.h"
#include "transport/routine.h"

#define FDS_PER_CALL 8u /* direct calls may use one in this many file descriptors */
#define CALLS_MIN 2u
#define FENCES_AND_PROBES_DIVISOR 2u /* calls that fence or probe may use one in this many of those */
#define CALL_TIMEOUT_HEARTBEATS 0.75
#define CALLS_PER_ROUTINE_MAX 2 /* the second has the epoch and token that the response to the first has shown */

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
  char machine[FC_NAME_SIZE];
} call_routine;

/* The purpose of a direct call. */
typedef struct direct_call {
  uint64_t term;
  uint64_t fencing_token;
  bool fencing;    /* the machine was not reconciled in the term */
  bool probing;    /* it was to be probed for its list of tasks */
  bool soliciting; /* its worker is to send a heartbeat at once */
  double sent_at;
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

/* ---- responses ---- */

/* Records the outcome of a start that a call carried. */
static void record_start_outcome(fc_placement *placement, fc_worker_call_result result) {
  fc_placement_start *start = &placement->start;
  if (result == FC_WORKER_CALL_UNKNOWN) { /* it may still arrive minutes later */
    start->direct = FC_DIRECT_START_UNACKNOWLEDGED;
    g_debug("start unacknowledged task=%s/%u attempt=%" G_GUINT64_FORMAT " machine=%s token=%" G_GUINT64_FORMAT,
            placement->job_id, placement->index, (guint64)placement->attempt, placement->machine->id,
            (guint64)start->direct_token);
    return;
  }
  start->direct = FC_DIRECT_START_NONE;
  bool executed = result == FC_WORKER_CALL_DONE;
  if (!executed && !placement->status.reported) start->sent = start->heartbeat_sequence != 0;
}

static void record_start_outcomes(fc_worker_calls *calls, fc_machine *machine, fc_worker_call_result result) {
  for (guint i = 0; i < machine->placements->len; i++) {
    fc_placement *placement = machine->placements->pdata[i];
    if (placement->start.direct != FC_DIRECT_START_IN_FLIGHT) continue;
    record_start_outcome(placement, result);
    calls->metrics->counters.unknown_starts += result == FC_WORKER_CALL_UNKNOWN;
  }
}

static void record_call_outcome(fc_worker_calls *calls, fc_machine *machine, const direct_call *call,
                                fc_worker_call_result result) {
  record_start_outcomes(calls, machine, result);
  if (!call->fencing && !call->probing) return;
  machine->probe.sent_at = call->sent_at;
  machine->probe.answered = fc_worker_call_answered(result);
}

/* Resets what is known of the worker after a restart. Its tasks are gone, except those with a direct start that may
 * still arrive and would then be executed. As it has seen no fencing token and counts epochs anew, it executes copies
 * of any command sent before, until it sees a higher token. */
static void reset_worker_state(const fc_worker_calls *calls, fc_machine *machine, const fc_heartbeat *heartbeat) {
  const fc_cluster *cluster = calls->cluster;
  uint64_t token = fc_machine_fencing_token(cluster, machine);
  if (fc_cluster_raises_tokens(cluster))
    machine->worker.lowest_token = fc_fencing_token_raise(token, cluster->membership.term.number);
  machine->probe.wanted = true;
  for (guint i = 0; i < machine->placements->len; i++) {
    fc_placement *placement = machine->placements->pdata[i];
    /* A task that counts as reported, and is missing in the new list, is removed. */
    if (placement->start.sent) placement->status.reported = placement->start.direct == FC_DIRECT_START_NONE;
  }
  fc_machine_worker_show_epoch(&machine->worker, heartbeat->epoch, heartbeat->sequence - 1);
  machine->worker.fencing_token = heartbeat->fencing_token;
  machine->worker.restarted = true;
  machine->worker.epoch_began_at = fc_now();
}

bool fc_worker_calls_apply_answer(fc_worker_calls *calls, fc_machine *machine, const fc_heartbeat *heartbeat,
                                  double sent_at) {
  /* A response is newer than every heartbeat that had arrived when the call was sent. If its numbers say otherwise, the
   * worker was restarted and counts from the beginning. A call sent before the worker's lease expired may have been
   * answered in the epoch that ended with the lease. */
  bool sent_afterwards = sent_at > MAX(machine->worker.heard_at, machine->worker.expired_at);
  bool restarted = !fc_heartbeat_order_is_newer(machine, heartbeat) && sent_afterwards;
  if (restarted) {
    if (!machine->worker.restarted)
      g_info("worker restarted machine=%s tasks=%u", machine->id, machine->placements->len);
    reset_worker_state(calls, machine, heartbeat);
  }
  if (!fc_heartbeat_order_is_newer(machine, heartbeat)) return restarted;
  fc_reconciler_apply_answer(calls->reconciler, machine, heartbeat, sent_at);
  machine->probe.confirmed_at = sent_at;
  return restarted;
}

/* Whether the worker refused the call for its epoch or its fencing token, so that another call, with those
 * that it has shown, may succeed. */
static bool repeatable(const fc_machine *machine, const direct_call *call, fc_worker_call_result result,
                       const fc_heartbeat *heartbeat) {
  if (result != FC_WORKER_CALL_REFUSED || fc_fencing_token_is_newer(heartbeat->fencing_token, call->term)) return false;
  bool unfenced = call->fencing && machine->reconciled_term != call->term;
  return unfenced || heartbeat->fencing_token > call->fencing_token;
}

/* Applies the response to a call. Returns whether the worker has to be called again. */
static bool accept_answer(fc_worker_calls *calls, fc_machine *machine, const direct_call *call,
                          fc_worker_call_result result, const fc_heartbeat *heartbeat) {
  const fc_cluster *cluster = calls->cluster;
  if (cluster->membership.term.number != call->term || !fc_machine_owned_by_self(cluster, machine) ||
      strcmp(heartbeat->machine, machine->id) != 0)
    return false;
  bool restarted = fc_worker_calls_apply_answer(calls, machine, heartbeat, call->sent_at);
  return restarted || repeatable(machine, call, result, heartbeat);
}

/* ---- calls ---- */

static bool may_call(const fc_worker_calls *calls, const fc_machine *machine, uint64_t term) {
  return machine && fc_machine_owned_by_self(calls->cluster, machine) &&
         calls->cluster->membership.term.number == term && fc_leadership_held(calls->leadership);
}

/* Makes the call, if it has to fence or to probe the machine or there are commands. Suspends the calling routine. */
static fc_worker_call_result send_call(fc_worker_calls *calls, fc_machine *machine, const fc_endpoint *endpoint,
                                       const direct_call *call, fc_heartbeat *heartbeat) {
  GArray *commands = call->fencing ? g_array_new(FALSE, TRUE, sizeof(fc_command))
                                   : fc_worker_commands_for_call(calls->commands, machine, call->fencing_token);
  fc_worker_call_result result = FC_WORKER_CALL_UNSENT;
  double timeout_s = calls->cluster->settings->heartbeat_s * CALL_TIMEOUT_HEARTBEATS;
  if (call->fencing || call->probing || call->soliciting || commands->len > 0)
    result = fc_worker_call(endpoint, call->fencing_token, machine->worker.epoch, (const fc_command *)commands->data,
                            commands->len, fc_now() + timeout_s, heartbeat);
  g_array_free(commands, TRUE);
  calls->metrics->counters.worker_calls += result != FC_WORKER_CALL_UNSENT;
  return result;
}

/* Raises the token of all further messages to the worker. An answer that is sent before the worker shows the raised
 * token carries it as well: the worker would drop a lower one. */
static void raise_token(const fc_cluster *cluster, fc_machine *machine) {
  uint64_t token = fc_machine_fencing_token(cluster, machine);
  machine->worker.lowest_token = fc_fencing_token_raise(token, cluster->membership.term.number);
  machine->worker.token_raised_at = fc_now();
}

/* Calls the machine's worker once. Returns whether it has to be called again. Suspends the calling routine. */
static bool call_worker(fc_worker_calls *calls, const char *id, uint64_t term) {
  fc_machine *machine = fc_cluster_find_machine(calls->cluster, id);
  fc_endpoint endpoint;
  if (!may_call(calls, machine, term) || !fc_endpoint_parse(machine->record.endpoint, &endpoint)) return false;
  bool fencing = machine->reconciled_term != term;
  bool soliciting = !fencing && fc_worker_commands_solicit_heartbeat(calls->cluster, machine, fc_now());
  if (soliciting) raise_token(calls->cluster, machine);
  const direct_call call = {.term = term,
                            .fencing_token = fc_machine_fencing_token(calls->cluster, machine),
                            .fencing = fencing,
                            .probing = machine->probe.wanted,
                            .soliciting = soliciting,
                            .sent_at = fc_now()};
  machine->probe.wanted = false;
  fc_heartbeat heartbeat;
  fc_worker_call_result result = send_call(calls, machine, &endpoint, &call, &heartbeat);
  machine = fc_cluster_find_machine(calls->cluster, id); /* it may be gone by now */
  if (machine) record_call_outcome(calls, machine, &call, result);
  if (!fc_worker_call_answered(result)) return false;
  bool again = machine && accept_answer(calls, machine, &call, result, &heartbeat);
  fc_heartbeat_clear(&heartbeat);
  return again;
}

/* Routine that makes the calls to one machine. */
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

/* A call to an unresponsive machine holds its socket until the call times out. After a failover in a fleet of thousands
 * such calls would use up all file descriptors, including those for the key-value store. Calls that fence or probe may
 * use half of the limit, so that starts and stops always find a socket; a machine without one is called in a later
 * round. */
bool fc_worker_calls_socket_available(const fc_worker_calls *calls, const fc_machine *machine) {
  unsigned max = MAX(calls->cluster->settings->fd_limit / FDS_PER_CALL, CALLS_MIN);
  bool commands_only = fc_machine_reconciled(calls->cluster, machine) && !machine->probe.wanted;
  return calls->in_flight < (commands_only ? max : max / FENCES_AND_PROBES_DIVISOR);
}

void fc_worker_calls_send(fc_worker_calls *calls, fc_machine *machine) {
  if (machine->command_in_flight || !fc_machine_owned_by_self(calls->cluster, machine) ||
      !machine->record.endpoint[0] || !fc_worker_calls_socket_available(calls, machine))
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
