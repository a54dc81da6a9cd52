#include "controller/peer_view.h"

#include "bookkeeping/cluster_machines.h"
#include "bookkeeping/reconciliation_progress.h"
#include "transport/routine.h"

#define EXCHANGE_COST_S 0.0002     /* of a core, with both ends of it: measured on loopback */
#define EXCHANGES_CPU_SHARE 0.05   /* of the processor */
#define LAGS_BETWEEN_EXCHANGES 4.0 /* of the event loop */
#define SPACING_MIN_HEARTBEATS 0.1
#define SPACING_MAX_HEARTBEATS 0.4

/* The rest of this view can't be applied, as its base is not the one that we hold. */
#define SKIP_VIEW UINT32_MAX

struct fc_peer_views {
  fc_cluster *cluster;
  const fc_leadership *leadership;
  fc_peers *peers;
  const fc_cancellations *cancellations;
  const fc_group_commit *commit;
  fc_wakeups *wakeups;
  fc_metrics *metrics;
};

fc_peer_views *fc_peer_views_new(fc_cluster *cluster, const fc_leadership *leadership, fc_peers *peers,
                                 const fc_cancellations *cancellations, const fc_group_commit *commit,
                                 fc_wakeups *wakeups, fc_metrics *metrics) {
  fc_peer_views *views = g_new(fc_peer_views, 1);
  *views = (fc_peer_views){.cluster = cluster,
                           .leadership = leadership,
                           .peers = peers,
                           .cancellations = cancellations,
                           .commit = commit,
                           .wakeups = wakeups,
                           .metrics = metrics};
  return views;
}

void fc_peer_views_free(fc_peer_views *views) {
  g_free(views);
}

double fc_peer_view_min_interval_s(const fc_settings *settings, double lag_s) {
  double min_s = settings->heartbeat_s * SPACING_MIN_HEARTBEATS;
  double max_s = settings->heartbeat_s * SPACING_MAX_HEARTBEATS;
  double affordable_s = EXCHANGE_COST_S * (double)settings->peer_count / (EXCHANGES_CPU_SHARE * settings->cpu);
  return CLAMP(MAX(affordable_s, lag_s * LAGS_BETWEEN_EXCHANGES), min_s, max_s);
}

/* ---- encoding ---- */

/* More tasks than a heartbeat may name don't fit into a view; such a machine is shown as not
 * reconciled, which holds back only what may be on it. */
static bool fits_a_view(const fc_machine *machine) {
  return machine->placements->len <= FC_FRAME_TASKS_MAX;
}

/* The machine without its tasks. */
static fc_frame_machine describe_machine(const fc_cluster *cluster, const fc_machine *machine, double now) {
  fc_frame_machine described = {
      .reconciled = fits_a_view(machine) && fc_machine_reconciled(cluster, machine),
      .cordoned = fc_machine_cordoned(machine),
      .unreachable = fc_machine_suspect(cluster, machine, now),
  };
  g_strlcpy(described.id, machine->id, sizeof described.id);
  return described;
}

static uint64_t mix(uint64_t hash, uint64_t value) {
  hash ^= value;
  hash *= 0xbf58476d1ce4e5b9ull;
  return hash ^ hash >> 29;
}

/* Everything that a view says of the machine, in one number: what has to be sent again is found by
 * comparing, so that no place that changes a task can forget to mark it. Never 0. */
static uint64_t digest_of(const fc_frame_machine *described, const fc_machine *machine) {
  uint64_t flags = (uint64_t)(described->reconciled | described->cordoned << 1 | described->unreachable << 2);
  uint64_t hash = 1469598103934665603ull ^ flags;
  for (guint i = 0; fits_a_view(machine) && i < machine->placements->len; i++) {
    const fc_placement *placement = machine->placements->pdata[i];
    hash = mix(hash, g_str_hash(placement->job_id));
    hash = mix(hash, placement->index);
    hash = mix(hash, placement->attempt);
    hash = mix(hash, (uint64_t)placement->status.state << 8 | placement->status.cause);
  }
  return hash ? hash : 1;
}

static void describe_tasks(const fc_machine *machine, fc_frame_machine *described) {
  if (!fits_a_view(machine)) return;
  described->tasks = g_new0(fc_frame_task, machine->placements->len);
  for (guint i = 0; i < machine->placements->len; i++) {
    const fc_placement *placement = machine->placements->pdata[i];
    fc_frame_task *task = &described->tasks[described->task_count++];
    g_strlcpy(task->job, placement->job_id, sizeof task->job);
    task->index = placement->index;
    task->attempt = placement->attempt;
    task->state = (uint8_t)placement->status.state;
    task->cause = (uint8_t)placement->status.cause;
  }
}

/* Notes what this view says of the machine, if that has changed. */
static void update_digest(const fc_cluster *cluster, fc_machine *machine, const fc_frame_machine *described) {
  uint64_t digest = digest_of(described, machine);
  if (digest == machine->view.digest) return;
  machine->view.digest = digest;
  machine->view.changed_in = cluster->view_number;
  if (!fits_a_view(machine))
    g_warning("too many tasks for a view machine=%s tasks=%u", machine->id, machine->placements->len);
}

/* Has the machine to be sent to the peer (again)? What it holds of it may be from before it knew
 * that the machine is ours, and then it has ignored what we said. */
static bool is_news(const fc_peer *peer, const fc_machine *machine) {
  const fc_peer_acknowledged *acknowledged = &peer->acknowledged;
  return !acknowledged->sequence || machine->view.changed_in > acknowledged->view_number ||
         machine->record_version > acknowledged->revision;
}

/* The machines that this view has to tell the peer of. */
static GArray *collect_machines(fc_peer_views *views, const fc_peer *peer) {
  fc_cluster *cluster = views->cluster;
  double now = fc_now();
  GArray *machines = g_array_new(FALSE, TRUE, sizeof(fc_frame_machine));
  fc_machine_iter machine_iter = fc_cluster_machines(cluster);
  for (fc_machine *machine; (machine = fc_machine_iter_next(&machine_iter));) {
    if (cluster->membership.self < 0 || !fc_machine_owned_by_self(cluster, machine)) continue;
    fc_frame_machine described = describe_machine(cluster, machine, now);
    update_digest(cluster, machine, &described);
    if (!is_news(peer, machine)) continue;
    describe_tasks(machine, &described);
    g_array_append_val(machines, described);
  }
  return machines;
}

/* Appends the view in pieces of whole machines; the cancellations go with the first. */
static void encode_pieces(fc_view *view, const GArray *machines, GByteArray *out) {
  guint first = 0;
  do {
    size_t bytes = 0;
    guint end = first;
    while (end < machines->len && (end == first || bytes < FC_PIECE_BYTES))
      bytes += fc_frame_machine_size(&g_array_index(machines, fc_frame_machine, end++));
    view->machines = machines->len ? &g_array_index(machines, fc_frame_machine, first) : NULL;
    view->machine_count = end - first;
    view->last = end == machines->len;
    fc_view_encode(out, view);
    view->cancellation_count = 0;
    view->piece++;
    first = end;
  } while (!view->last);
}

void fc_peer_views_encode(fc_peer_views *views, const fc_peer *peer, uint64_t sequence, GByteArray *out) {
  fc_cluster *cluster = views->cluster;
  cluster->view_number++;
  fc_view view = {.incarnation = fc_leadership_incarnation(views->leadership),
                  .term = cluster->membership.term.number,
                  .sequence = sequence,
                  .base = peer->acknowledged.sequence,
                  .revision = cluster->sync.revision,
                  .backlog = (uint16_t)MIN(fc_group_commit_backlog(views->commit), UINT16_MAX)};
  g_strlcpy(view.sender, cluster->settings->name, sizeof view.sender);
  (void)fc_cancellations_since(views->cancellations, peer->revision, &view.cancellations, &view.cancellation_count);
  GArray *machines = collect_machines(views, peer);
  views->metrics->counters.machines_sent += machines->len;
  encode_pieces(&view, machines, out);
  for (guint i = 0; i < machines->len; i++) g_free(g_array_index(machines, fc_frame_machine, i).tasks);
  g_array_free(machines, TRUE);
  g_free(view.cancellations);
}

/* ---- applying ---- */

static void apply_task(fc_cluster *cluster, fc_machine *machine, const fc_frame_task *task, double now) {
  fc_placement *placement = fc_machine_find_placement(machine, task->job, task->index, task->attempt);
  if (!placement) placement = fc_cluster_add_placement(cluster, machine, task->job, task->index, task->attempt, now);
  placement->start.sent = true;
  placement->status.state = (fc_task_state)task->state;
  placement->status.cause = (fc_exit_cause)task->cause;
  placement->status.reported = true;
  placement->status.listed = true;
  if (placement->status.state == FC_TASK_RUNNING && !placement->status.running_since)
    placement->status.running_since = now;
}

/* The owner's task list replaces what we knew of the machine. */
static void apply_machine(fc_cluster *cluster, fc_machine *machine, const fc_frame_machine *described) {
  double now = fc_now();
  for (guint i = 0; i < machine->placements->len; i++)
    ((fc_placement *)machine->placements->pdata[i])->status.listed = false;
  for (size_t i = 0; i < described->task_count; i++) apply_task(cluster, machine, &described->tasks[i], now);
  for (guint i = machine->placements->len; i-- > 0;) {
    fc_placement *placement = machine->placements->pdata[i];
    if (!placement->status.listed) fc_placement_remove(placement);
  }
  machine->reconciled_term = cluster->membership.term.number;
  machine->drain.owner_cordoned = described->cordoned;
  fc_machine_reachability *reach = &machine->reachability;
  if (described->unreachable && !reach->owner_suspects) reach->owner_suspects_since = now;
  reach->owner_suspects = described->unreachable;
}

/* A new view begins. False: it is older than one that has begun before. A view held back on a
 * connection that was given up may come after newer ones: applied, it hid a task that the sender
 * then handed over (fault test, seed 50). */
static bool begin_view(fc_received_view *received, const fc_view *view) {
  if (view->sequence <= received->partial_sequence) return false;
  received->partial_sequence = view->sequence;
  bool base_missing = view->base && view->base != received->sequence;
  received->next_part = base_missing ? SKIP_VIEW : 0;
  /* From the first piece on we hold neither the one view nor the other. */
  received->sequence = 0;
  return true;
}

/* Is the piece the next of a view that can be applied? */
static fc_view_result accept_piece(fc_received_view *received, const fc_view *view) {
  /* A new incarnation of the sender, or a new term: what we hold of it is no base any more. */
  if (received->incarnation != view->incarnation || received->term != view->term)
    *received = (fc_received_view){.incarnation = view->incarnation, .term = view->term};
  if (view->piece == 0 && !begin_view(received, view)) return FC_VIEW_OUT_OF_ORDER;
  if (view->sequence != received->partial_sequence) return FC_VIEW_OUT_OF_ORDER;
  if (received->next_part == SKIP_VIEW) return FC_VIEW_IGNORED;
  if (view->piece != received->next_part) return FC_VIEW_OUT_OF_ORDER;
  received->next_part++;
  if (view->last) received->sequence = view->sequence;
  return FC_VIEW_APPLIED;
}

fc_view_result fc_peer_views_apply(fc_peer_views *views, const fc_view *view) {
  fc_cluster *cluster = views->cluster;
  const fc_term *term = &cluster->membership.term;
  int sender = fc_term_find(term, view->sender);
  /* Only the present term's view by a present member's present incarnation counts. */
  if (sender < 0 || sender == cluster->membership.self || view->term != term->number ||
      view->incarnation != term->members[sender].incarnation)
    return FC_VIEW_IGNORED;
  fc_peer *peer = fc_peers_of_member(views->peers, sender);
  if (!peer) return FC_VIEW_IGNORED;
  fc_view_result result = accept_piece(&peer->received, view);
  if (result != FC_VIEW_APPLIED) return result;
  for (size_t i = 0; i < view->machine_count; i++) {
    const fc_frame_machine *described = &view->machines[i];
    fc_machine *machine = fc_cluster_find_machine(cluster, described->id);
    if (machine && machine->owner == sender && described->reconciled) apply_machine(cluster, machine, described);
  }
  /* A peer's free resources matter to what is pending here; when each view asked for a scheduling
   * round with nothing pending, there were four times as many as the regular ones. */
  bool was_reconciled = fc_cluster_fully_reconciled(cluster);
  if (fc_cluster_update_reconciled(cluster) && (!was_reconciled || cluster->tasks_pending))
    fc_wakeups_raise(views->wakeups, FC_WAKEUP_SCHEDULE);
  return FC_VIEW_APPLIED;
}
