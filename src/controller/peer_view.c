/* Views: what each controller tells the others of its own machines. The first of a
 * term, and any after one that was lost, is whole; the rest say only what changed. At
 * thousands of machines a whole view ten times in a report interval was most of what
 * the link cost, and one frame of it came close to its bound. */
#include <string.h>

#include "bookkeeping/cluster_machines.h"
#include "bookkeeping/reconciliation_progress.h"
#include "controller/controller.h"

#define EXCHANGE_COST_S 0.0002 /* of a core, with both ends of it: measured on loopback */
#define EXCHANGES_SHARE 0.05   /* of the processor */
#define LAGS_BETWEEN 4.0

double fc_view_spacing(const fc_settings *settings, double lag_s) {
  double least = settings->heartbeat_s * 0.1, most = settings->heartbeat_s * 0.4;
  double affordable = EXCHANGE_COST_S * (double)settings->peer_count / (EXCHANGES_SHARE * settings->cpu);
  return CLAMP(MAX(affordable, lag_s * LAGS_BETWEEN), least, most);
}

/* More tasks than a report may name can't be told whole; such a machine is shown as one
 * that nothing is known of, which holds back only what may be on it. */
static bool tellable(const fc_machine *machine) {
  return machine->placements->len <= FC_FRAME_TASKS_MAX;
}

/* The machine without its tasks. */
static fc_frame_machine describe(const fc_cluster *cluster, const fc_machine *machine, double now) {
  fc_frame_machine frame_machine = {.reconciled = tellable(machine) && fc_machine_reconciled(cluster, machine),
                                    .cordoned = fc_machine_cordoned(machine),
                                    .unreachable = fc_machine_suspect(cluster, machine, now)};
  g_strlcpy(frame_machine.id, machine->id, sizeof frame_machine.id);
  return frame_machine;
}

/* Everything that a view says of the machine, in one number: what has to be told again
 * is found by comparing, so that no place that changes a task can forget to say so.
 * Never 0. */
static uint64_t digest_of(const fc_frame_machine *frame_machine, const fc_machine *machine) {
  uint64_t h = 1469598103934665603ull ^
               (uint64_t)(frame_machine->reconciled | frame_machine->cordoned << 1 | frame_machine->unreachable << 2);
  for (guint i = 0; tellable(machine) && i < machine->placements->len; i++) {
    const fc_placement *placement = machine->placements->pdata[i];
    const uint64_t parts[] = {g_str_hash(placement->job_id), placement->index, placement->attempt,
                              (uint64_t)placement->status.state << 8 | placement->status.cause};
    for (size_t k = 0; k < G_N_ELEMENTS(parts); k++) {
      h ^= parts[k];
      h *= 0xbf58476d1ce4e5b9ull;
      h ^= h >> 29;
    }
  }
  return h ? h : 1;
}

static void fill_tasks(const fc_machine *machine, fc_frame_machine *frame_machine) {
  if (!tellable(machine)) return;
  frame_machine->tasks = g_new0(fc_frame_task, machine->placements->len);
  for (guint i = 0; i < machine->placements->len; i++) {
    const fc_placement *placement = machine->placements->pdata[i];
    fc_frame_task *frame_task = &frame_machine->tasks[frame_machine->task_count++];
    g_strlcpy(frame_task->job, placement->job_id, sizeof frame_task->job);
    frame_task->index = placement->index;
    frame_task->attempt = placement->attempt;
    frame_task->state = (uint8_t)placement->status.state;
    frame_task->cause = (uint8_t)placement->status.cause;
  }
}

/* Has the peer to be told of the machine (again)? What it holds of it may be from
 * before it knew that the machine is ours, and then it has passed our word over. */
static bool untold(const fc_peer *peer, const fc_machine *machine) {
  return !peer->acked_sequence || machine->view.changed_in > peer->acked_view ||
         machine->record_version > peer->acked_revision;
}

/* What the peer may not have read of cancellations. */
static void fill_cancels(const fc_controller *controller, const fc_peer *peer, fc_view *view) {
  const fc_cancellation *first;
  size_t n;
  (void)fc_cancellation_log_since(controller->cancels, peer->revision, &first, &n);
  view->cancellations = fc_cancellations_to_frame(first, n, fc_now());
  view->cancellation_count = n;
}

static void send_pieces(fc_view *view, const GArray *machines, GByteArray *out) {
  guint from = 0;
  do {
    size_t bytes = 0;
    guint to = from;
    while (to < machines->len && (to == from || bytes < FC_PIECE_BYTES))
      bytes += fc_frame_machine_size(&g_array_index(machines, fc_frame_machine, to++));
    view->machines = machines->len ? &g_array_index(machines, fc_frame_machine, from) : NULL;
    view->machine_count = to - from;
    view->last = to == machines->len;
    fc_view_encode(out, view);
    view->cancellation_count = 0; /* once is enough */
    view->piece++;
    from = to;
  } while (!view->last);
}

void fc_view_make(fc_controller *controller, const fc_peer *peer, uint64_t seq, GByteArray *out) {
  fc_cluster *cluster = controller->cluster;
  double now = fc_now();
  cluster->view_number++;
  fc_view view = {.incarnation = controller->incarnation,
                  .term = cluster->membership.term.number,
                  .sequence = seq,
                  .base = peer->acked_sequence,
                  .revision = controller->revision};
  fill_cancels(controller, peer, &view);
  view.backlog = (uint16_t)MIN(fc_group_commit_backlog(controller->commit), UINT16_MAX);
  g_strlcpy(view.sender, controller->settings->name, sizeof view.sender);
  GArray *machines = g_array_new(FALSE, TRUE, sizeof(fc_frame_machine));
  fc_machine_iter machine_iter = fc_cluster_machines(cluster);
  for (fc_machine *machine; (machine = fc_machine_iter_next(&machine_iter));) {
    if (cluster->membership.self < 0 || !fc_machine_owned_by_self(cluster, machine)) continue;
    fc_frame_machine frame_machine = describe(cluster, machine, now);
    uint64_t digest = digest_of(&frame_machine, machine);
    if (digest != machine->view.digest) {
      machine->view.digest = digest;
      machine->view.changed_in = cluster->view_number;
      if (!tellable(machine))
        g_warning("too many tasks for a view machine=%s tasks=%u", machine->id, machine->placements->len);
    }
    if (!untold(peer, machine)) continue;
    fill_tasks(machine, &frame_machine);
    g_array_append_val(machines, frame_machine);
  }
  controller->counts.shown += machines->len;
  send_pieces(&view, machines, out);
  for (guint i = 0; i < machines->len; i++) g_free(g_array_index(machines, fc_frame_machine, i).tasks);
  g_array_free(machines, TRUE);
  g_free(view.cancellations);
}

/* The owner's list replaces what we thought is on a machine. */
static void apply_machine(fc_controller *controller, fc_machine *machine, const fc_frame_machine *frame_machine) {
  fc_cluster *cluster = controller->cluster;
  double now = fc_now();
  for (guint i = 0; i < machine->placements->len; i++)
    ((fc_placement *)machine->placements->pdata[i])->status.listed = false;
  for (size_t i = 0; i < frame_machine->task_count; i++) {
    const fc_frame_task *frame_task = &frame_machine->tasks[i];
    fc_placement *placement =
        fc_machine_find_placement(machine, frame_task->job, frame_task->index, frame_task->attempt);
    if (!placement)
      placement =
          fc_cluster_add_placement(cluster, machine, frame_task->job, frame_task->index, frame_task->attempt, now);
    placement->status.state = (fc_task_state)frame_task->state;
    placement->status.cause = (fc_exit_cause)frame_task->cause;
    placement->status.reported = placement->start.sent = true;
    if (placement->status.state == FC_TASK_RUNNING && !placement->status.running_since)
      placement->status.running_since = now;
    placement->status.listed = true;
  }
  for (guint i = machine->placements->len; i-- > 0;) {
    fc_placement *placement = machine->placements->pdata[i];
    if (!placement->status.listed) fc_placement_remove(placement);
  }
  machine->reconciled_term = cluster->membership.term.number;
  machine->drain.owner_cordoned = frame_machine->cordoned;
  if (frame_machine->unreachable && !machine->reachability.owner_suspects)
    machine->reachability.owner_suspects_since = now;
  machine->reachability.owner_suspects = frame_machine->unreachable;
}

/* Is the piece the next of a view that we can take? */
static fc_view_fate order_of(fc_peer *from, const fc_view *view) {
  if (from->view_incarnation != view->incarnation || from->view_term != view->term) {
    /* The sender's new life, or a new term: what we hold of it is no base any more. */
    from->view_incarnation = view->incarnation;
    from->view_term = view->term;
    from->view_sequence = from->piece_sequence = 0;
    from->next_piece = 0;
  }
  if (view->piece == 0) {
    /* A view held back on a connection that was given up may come after newer ones:
     * applied, it hid a task that the sender then handed over (fault test, seed 50). */
    if (view->sequence <= from->piece_sequence) return FC_VIEW_BROKEN;
    from->piece_sequence = view->sequence;
    from->next_piece = 0;
    if (view->base && view->base != from->view_sequence) from->next_piece = UINT32_MAX;
    /* From the first piece on we hold neither the one view nor the other. */
    from->view_sequence = 0;
  }
  if (view->sequence != from->piece_sequence) return FC_VIEW_BROKEN;
  if (from->next_piece == UINT32_MAX) return FC_VIEW_IGNORED;
  if (view->piece != from->next_piece) return FC_VIEW_BROKEN;
  from->next_piece++;
  if (view->last) from->view_sequence = view->sequence;
  return FC_VIEW_TAKEN;
}

fc_view_fate fc_view_take(fc_controller *controller, const fc_view *view) {
  fc_cluster *cluster = controller->cluster;
  int sender = fc_term_find(&cluster->membership.term, view->sender);
  /* Only the present term's view by a present member's present life counts. */
  if (sender < 0 || sender == cluster->membership.self || view->term != cluster->membership.term.number ||
      view->incarnation != cluster->membership.term.members[sender].incarnation)
    return FC_VIEW_IGNORED;
  fc_peer *from = fc_peer_of(controller, sender);
  if (!from) return FC_VIEW_IGNORED;
  fc_view_fate fate = order_of(from, view);
  if (fate != FC_VIEW_TAKEN) return fate;
  for (size_t i = 0; i < view->machine_count; i++) {
    const fc_frame_machine *frame_machine = &view->machines[i];
    fc_machine *machine = fc_cluster_find_machine(cluster, frame_machine->id);
    if (!machine || machine->owner != sender || !frame_machine->reconciled) continue;
    apply_machine(controller, machine, frame_machine);
  }
  /* A peer's room matters to what waits here; with nothing waiting each view asked for a
   * round, four times as many as the regular ones. */
  bool was_settled = cluster->reconciliation.complete_in_term == cluster->membership.term.number;
  if (fc_cluster_update_reconciled(cluster) && (!was_settled || controller->waiting)) fc_round_soon(controller);
  return FC_VIEW_TAKEN;
}
