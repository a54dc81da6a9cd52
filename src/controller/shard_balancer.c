/* Between the parts: hands waiting slices over and lends idle machines. */
#include <string.h>

#include "controller/controller.h"
#include "controller/duties.h"
#include "scheduler/handover_planning.h"
#include "scheduler/machine_transfer.h"

typedef fc_write *(*make_write_fn)(fc_controller *c, void *arg);

/* Writes until it is decided, so that nobody is left in doubt about who owns
 * what: a write without an answer may be applied late, and is made again under
 * the same conditions until one of the copies has been, or none can be. `make`
 * returns NULL when there is nothing to write any more. */
static void write_decided(fc_controller *controller, make_write_fn make, void *arg) {
  bool maybe = false;
  while (!fc_routine_cancelled()) {
    fc_write *write = make(controller, arg);
    if (!write) break;
    uint64_t revision = 0;
    fc_kv_result result = fc_group_commit_write(controller->commit, write, FC_WRITE_PRIORITY_DECISION,
                                                fc_now() + controller->settings->heartbeat_s, &revision);
    if (result == FC_KV_OK) {
      while (!fc_kv_watch_wait_revision(controller->watch, revision, fc_now() + controller->settings->heartbeat_s) &&
             !fc_routine_cancelled()) {
      }
      return;
    }
    if (result == FC_KV_CONFLICT) break;
    maybe |= result == FC_KV_UNKNOWN;
    if (!maybe) return;
    (void)fc_routine_sleep(controller->settings->heartbeat_s * 0.1);
  }
  /* A copy may be what the conflict was with: see it before going on. */
  while (!fc_kv_watch_wait_fresh(controller->watch, fc_now() + controller->settings->heartbeat_s) &&
         !fc_routine_cancelled()) {
  }
}

typedef struct handover_arg {
  char id[32];
  char to[FC_SLICES_MAX][64];
  unsigned homes[FC_SLICES_MAX];
  unsigned slices, unseen; /* a bit a slice */
  uint64_t version, term;  /* of the records it is conditional on */
  uint64_t term_number;
  fc_controller *c;
} handover_arg;

static fc_write *make_handover(fc_controller *controller, void *arg) {
  const handover_arg *a = arg;
  const fc_job *job = fc_cluster_find_job(controller->cluster, a->id);
  if (!job || job->record.version != a->version) return NULL;
  char *handed[FC_SLICES_MAX];
  fc_job_origin origin = job->record.origin;
  origin.moved |= a->slices;
  origin.unseen = (origin.unseen & ~a->slices) | a->unseen;
  for (unsigned i = 0; i < FC_SLICES_MAX; i++) {
    handed[i] = job->record.handed_to[i];
    if (!(a->slices >> i & 1)) continue;
    handed[i] = (char *)a->to[i];
    origin.last_move[i].term = a->term_number;
    origin.last_move[i].members = a->homes[i];
  }
  fc_write *write =
      fc_job_record_write(controller->cluster, job, a->version, job->phase, job->completion.bitmap, handed, &origin);
  if (write) fc_write_compare(write, FC_KEY_TERM, a->term);
  return write;
}

static void handover_main(void *arg) {
  handover_arg *a = arg;
  fc_controller *controller = a->c;
  write_decided(controller, make_handover, a);
  fc_job *job = fc_cluster_find_job(controller->cluster, a->id);
  if (job) job->slices.handover_pending = 0;
  fc_wakeups_raise(controller->wakeups, FC_WAKEUP_SCHEDULE);
  g_free(a);
}

static fc_peer_progress what_is_told(fc_controller *controller) {
  fc_peer_progress told = {{0}, {0}, {0}};
  for (int i = 0; i < (int)controller->cluster->membership.term.count; i++) {
    const fc_peer *peer = fc_peers_of_member(controller->peers, i);
    if (!peer) continue;
    told.acked_view[i] = peer->acknowledged.view;
    told.acked_revision[i] = peer->acknowledged.revision;
    told.available[i] = fc_peers_member_fit(controller->peers, i);
  }
  return told;
}

static void hand_over(fc_controller *controller, const fc_peer_progress *told) {
  GArray *plan = fc_plan_handovers(controller->cluster, told, fc_now());
  for (guint i = 0; i < plan->len; i++) {
    fc_job *job = g_array_index(plan, fc_handover, i).job;
    if (job->slices.handover_pending) continue; /* its first slice took the others along */
    handover_arg *a = g_new0(handover_arg, 1);
    a->c = controller;
    a->version = job->record.version;
    a->term = controller->cluster->membership.term_version;
    a->term_number = controller->cluster->membership.term.number;
    g_strlcpy(a->id, job->spec.id, sizeof a->id);
    for (guint k = i; k < plan->len; k++) {
      const fc_handover *handover = &g_array_index(plan, fc_handover, k);
      if (handover->job != job) continue;
      a->slices |= 1u << handover->slice;
      a->homes[handover->slice] = handover->machine_owners;
      a->unseen |= (unsigned)handover->unseen << handover->slice;
      g_strlcpy(a->to[handover->slice], controller->cluster->membership.term.members[handover->to].name,
                sizeof a->to[handover->slice]);
      g_debug("hand over job=%s slice=%u to=%s", a->id, handover->slice, a->to[handover->slice]);
    }
    controller->metrics->counters.handed_over++;
    job->slices.handover_pending = a->slices;
    job->slices.handover_at = fc_now();
    job->slices.handover_count++;
    if (!fc_routine_spawn(handover_main, a)) {
      job->slices.handover_pending = 0;
      g_free(a);
    }
  }
  g_array_free(plan, TRUE);
}

typedef struct loan_arg {
  char id[64];
  char to[64];
  uint64_t version, term;
  fc_controller *c;
} loan_arg;

static fc_write *make_loan(fc_controller *controller, void *arg) {
  const loan_arg *a = arg;
  const fc_machine *machine = fc_cluster_find_machine(controller->cluster, a->id);
  if (!machine || machine->record_version != a->version) return NULL;
  fc_machine_record rec = machine->record;
  g_strlcpy(rec.owner, a->to, sizeof rec.owner);
  return fc_machine_record_write(a->id, a->version, a->term, &rec);
}

/* Gives a machine with nothing on it to another member. From the moment the
 * record may have changed we neither answer its worker nor command it. */
static void loan_main(void *arg) {
  loan_arg *a = arg;
  fc_controller *controller = a->c;
  write_decided(controller, make_loan, a);
  fc_machine *machine = fc_cluster_find_machine(controller->cluster, a->id);
  if (machine) machine->record_write_pending = false;
  g_free(a);
}

/* Stops what is of lower rank than the gang; the machine is lent once it is idle. */
static void clear_for(fc_controller *controller, fc_machine *machine, const fc_job *gang) {
  bool any = false;
  for (guint i = 0; i < machine->placements->len; i++) {
    fc_placement *placement = machine->placements->pdata[i];
    if (placement->stop.requested || !fc_placement_active(placement) || !fc_preemptible_for_gang(placement, gang))
      continue;
    fc_worker_commands_request_stop(controller->settings, placement);
    controller->metrics->counters.preempted++;
    any = true;
  }
  if (!any) return;
  g_debug("clear machine=%s for=%s", machine->id, gang->spec.id);
  fc_worker_calls_send(controller->worker_calls, machine);
}

static void lend(fc_controller *controller, const fc_peer_progress *told) {
  GArray *plan = fc_plan_machine_transfers(controller->cluster, told, fc_now());
  for (guint i = 0; i < plan->len; i++) {
    const fc_machine_transfer *transfer = &g_array_index(plan, fc_machine_transfer, i);
    fc_machine *machine = transfer->machine;
    if (machine->record_write_pending || fc_machine_returning(machine)) continue;
    g_strlcpy(machine->reservation.gang, transfer->gang->spec.id, sizeof machine->reservation.gang);
    machine->reservation.until = fc_now() + controller->settings->op.round_s * 2;
    if (transfer->preempt && machine->placements->len > 0) {
      clear_for(controller, machine, transfer->gang);
      continue;
    }
    if (machine->command_in_flight || machine->placements->len > 0 ||
        transfer->to == controller->cluster->membership.self)
      continue;
    loan_arg *a = g_new0(loan_arg, 1);
    a->c = controller;
    a->version = transfer->machine->record_version;
    a->term = controller->cluster->membership.term_version;
    g_strlcpy(a->id, transfer->machine->id, sizeof a->id);
    g_strlcpy(a->to, controller->cluster->membership.term.members[transfer->to].name, sizeof a->to);
    g_debug("lend machine=%s to=%s", a->id, a->to);
    controller->metrics->counters.machines_transferred++;
    transfer->machine->record_write_pending = true;
    if (!fc_routine_spawn(loan_main, a)) {
      transfer->machine->record_write_pending = false;
      g_free(a);
    }
  }
  g_array_free(plan, TRUE);
}

void fc_share_round(fc_controller *controller) {
  fc_peer_progress told = what_is_told(controller);
  hand_over(controller, &told);
  lend(controller, &told);
}
