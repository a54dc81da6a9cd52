#include "controller/transfer_execution.h"

#include "bookkeeping/record_writes.h"
#include "controller/decided_write.h"
#include "controller/worker_commands.h"

/* How long a machine stays reserved for its gang, in scheduling rounds. */
#define RESERVATION_ROUNDS 2

struct fc_transfer_execution {
  fc_cluster *cluster;
  fc_group_commit *commit;
  fc_kv_watch *watch;
  fc_worker_calls *calls;
  fc_metrics *metrics;
};

/* The transfer of one machine. */
typedef struct pending_transfer {
  fc_transfer_execution *execution;
  char id[FC_NAME_SIZE];
  char to[FC_NAME_SIZE]; /* name of the new owner */
  uint64_t version;      /* of the machine's record, on which the write is conditional */
  uint64_t term_version; /* of the current term; the write is conditional on it too */
} pending_transfer;

fc_transfer_execution *fc_transfer_execution_new(fc_cluster *cluster, fc_group_commit *commit, fc_kv_watch *watch,
                                                 fc_worker_calls *calls, fc_metrics *metrics) {
  fc_transfer_execution *execution = g_new(fc_transfer_execution, 1);
  *execution =
      (fc_transfer_execution){.cluster = cluster, .commit = commit, .watch = watch, .calls = calls, .metrics = metrics};
  return execution;
}

static fc_write *make_write(const fc_cluster *cluster, const void *arg) {
  const pending_transfer *transfer = arg;
  const fc_machine *machine = fc_cluster_find_machine(cluster, transfer->id);
  if (!machine || machine->record_version != transfer->version) return NULL;
  fc_machine_record record = machine->record;
  g_strlcpy(record.owner, transfer->to, sizeof record.owner);
  return fc_machine_record_write(transfer->id, transfer->version, transfer->term_version, &record);
}

/* Routine that transfers one machine. Once the record may have changed, this member neither answers the machine's
 * worker nor sends it commands. */
static void run(void *arg) {
  pending_transfer *transfer = arg;
  fc_transfer_execution *execution = transfer->execution;
  fc_decided_write(execution->cluster, execution->commit, execution->watch, make_write, transfer);
  fc_machine *machine = fc_cluster_find_machine(execution->cluster, transfer->id);
  if (machine) machine->record_write_pending = false;
  g_free(transfer);
}

/* Preempts the tasks on the machine that the gang may preempt; the machine is transferred once it is empty. */
static void preempt_for(fc_transfer_execution *execution, fc_machine *machine, const fc_job *gang) {
  bool any = false;
  for (guint i = 0; i < machine->placements->len; i++) {
    fc_placement *placement = machine->placements->pdata[i];
    if (placement->stop.requested || !fc_placement_active(placement) ||
        !fc_placement_preemptible_for_gang(placement, gang))
      continue;
    fc_worker_commands_request_stop(execution->cluster->settings, placement);
    execution->metrics->counters.preempted++;
    any = true;
  }
  if (!any) return;
  g_debug("preempt machine=%s for=%s", machine->id, gang->spec.id);
  fc_worker_calls_send(execution->calls, machine);
}

static void begin_transfer(fc_transfer_execution *execution, fc_machine *machine, int to) {
  const fc_membership *membership = &execution->cluster->membership;
  pending_transfer *transfer = g_new0(pending_transfer, 1);
  transfer->execution = execution;
  transfer->version = machine->record_version;
  transfer->term_version = membership->term_version;
  g_strlcpy(transfer->id, machine->id, sizeof transfer->id);
  g_strlcpy(transfer->to, membership->term.members[to].name, sizeof transfer->to);
  g_debug("transfer machine=%s to=%s", transfer->id, transfer->to);
  execution->metrics->counters.machines_transferred++;
  machine->record_write_pending = true;
  if (!fc_routine_spawn(run, transfer)) {
    machine->record_write_pending = false;
    g_free(transfer);
  }
}

void fc_transfer_execution_begin(fc_transfer_execution *execution, const GArray *plan) {
  const fc_cluster *cluster = execution->cluster;
  double reserved_s = cluster->settings->operator_settings.round_s * RESERVATION_ROUNDS;
  for (guint i = 0; i < plan->len; i++) {
    const fc_machine_transfer *planned = &g_array_index(plan, fc_machine_transfer, i);
    fc_machine *machine = planned->machine;
    if (machine->record_write_pending || fc_machine_returning(machine)) continue;
    g_strlcpy(machine->reservation.gang, planned->gang->spec.id, sizeof machine->reservation.gang);
    machine->reservation.until = fc_now() + reserved_s;
    if (planned->preempt && machine->placements->len > 0) {
      preempt_for(execution, machine, planned->gang);
      continue;
    }
    bool empty = !machine->command_in_flight && machine->placements->len == 0;
    if (empty && planned->to != cluster->membership.self) begin_transfer(execution, machine, planned->to);
  }
}
