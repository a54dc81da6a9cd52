#include "controller/peer_view.h"

#include "bookkeeping/cluster_machines.h"
#include "bookkeeping/reconciliation_progress.h"
#include "transport/routine.h"

#define EXCHANGE_CPU_S 0.0002      /* CPU time of one exchange, both ends together, over loopback */
#define EXCHANGES_CPU_SHARE 0.05   /* share of the CPU limit that exchanges may use */
#define EXCHANGE_INTERVAL_LAGS 4.0 /* at least this many times the lag of the event loop */
#define INTERVAL_MIN_HEARTBEATS 0.1
#define INTERVAL_MAX_HEARTBEATS 0.4

/* Value of next_piece while the pieces of a view are ignored because its base is missing. */
#define SKIP_VIEW UINT32_MAX

/* Parameters of the digest of a machine's state. */
#define DIGEST_BASIS 1469598103934665603ull
#define DIGEST_MULTIPLIER 0xbf58476d1ce4e5b9ull
#define DIGEST_SHIFT_BITS 29

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
  double min_s = settings->heartbeat_s * INTERVAL_MIN_HEARTBEATS;
  double max_s = settings->heartbeat_s * INTERVAL_MAX_HEARTBEATS;
  double affordable_s = EXCHANGE_CPU_S * (double)settings->peer_count / (EXCHANGES_CPU_SHARE * settings->cpu);
  return CLAMP(MAX(affordable_s, lag_s * EXCHANGE_INTERVAL_LAGS), min_s, max_s);
}

/* ---- encoding ---- */

/* A view lists at most as many tasks of a machine as a heartbeat. A machine with more is sent as not
 * reconciled, which delays only decisions on tasks that may be running there. */
static bool fits_in_view(const fc_machine *machine) {
  return machine->placements->len <= FC_FRAME_TASKS_MAX;
}

/* Describes the machine without its tasks. */
static fc_frame_machine describe_machine(const fc_cluster *cluster, const fc_machine *machine, double now) {
  fc_frame_machine described = {
      .reconciled = fits_in_view(machine) && fc_machine_reconciled(cluster, machine),
      .cordoned = fc_machine_cordoned(machine),
      .unreachable = fc_machine_suspect(cluster, machine, now),
  };
  g_strlcpy(described.id, machine->id, sizeof described.id);
  return described;
}

static uint64_t mix(uint64_t hash, uint64_t value) {
  hash ^= value;
  hash *= DIGEST_MULTIPLIER;
  return hash ^ hash >> DIGEST_SHIFT_BITS;
}

/* Digest of everything that a view states of the machine; never 0. Changes are found by comparing
 * digests, so that code that changes a task need not mark the machine as changed. */
static uint64_t digest_of(const fc_frame_machine *described, const fc_machine *machine) {
  uint64_t flags = (uint64_t)(described->reconciled | described->cordoned << 1 | described->unreachable << 2);
  uint64_t hash = DIGEST_BASIS ^ flags;
  for (guint i = 0; fits_in_view(machine) && i < machine->placements->len; i++) {
    const fc_placement *placement = machine->placements->pdata[i];
    hash = mix(hash, g_str_hash(placement->job_id));
    hash = mix(hash, placement->index);
    hash = mix(hash, placement->attempt);
    hash = mix(hash, (uint64_t)placement->status.state << 8 | placement->status.cause);
  }
  return hash ? hash : 1;
}

static void describe_tasks(const fc_machine *machine, fc_frame_machine *described) {
  if (!fits_in_view(machine)) return;
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

/* Updates the machine's digest and, if it has changed, the number of the view that it changed in. */
static void update_digest(const fc_cluster *cluster, fc_machine *machine, const fc_frame_machine *described) {
  uint64_t digest = digest_of(described, machine);
  if (digest == machine->view.digest) return;
  machine->view.digest = digest;
  machine->view.changed_in = cluster->view_number;
  if (!fits_in_view(machine))
    g_warning("too many tasks for a view machine=%s tasks=%u", machine->id, machine->placements->len);
}

/* Whether the view for the peer must include the machine: the view is complete, the machine has changed
 * since the acknowledged view, or the peer had not read the machine's current record by then. A peer
 * ignores what a view states of a machine while it does not know that the sender owns the machine. */
static bool needs_sending(const fc_peer *peer, const fc_machine *machine) {
  const fc_peer_acknowledged *acknowledged = &peer->acknowledged;
  return !acknowledged->sequence || machine->view.changed_in > acknowledged->view_number ||
         machine->record_version > acknowledged->revision;
}

/* The machines to include in the peer's next view. The caller frees the array and the task lists. */
static GArray *collect_machines(fc_peer_views *views, const fc_peer *peer) {
  fc_cluster *cluster = views->cluster;
  double now = fc_now();
  GArray *machines = g_array_new(FALSE, TRUE, sizeof(fc_frame_machine));
  fc_machine_iter machine_iter = fc_cluster_machines(cluster);
  for (fc_machine *machine; (machine = fc_machine_iter_next(&machine_iter));) {
    if (cluster->membership.self < 0 || !fc_machine_owned_by_self(cluster, machine)) continue;
    fc_frame_machine described = describe_machine(cluster, machine, now);
    update_digest(cluster, machine, &described);
    if (!needs_sending(peer, machine)) continue;
    describe_tasks(machine, &described);
    g_array_append_val(machines, described);
  }
  return machines;
}

/* Appends the view in pieces of whole machines, the first of which carries the cancellations. */
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

/* Replaces the known placements on the machine by the task list of its owner. */
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

/* Starts a new view. False if a newer one has been started before: a view that was delayed on an
 * abandoned connection may arrive after newer ones. When it was applied, it hid a task that the
 * sender then handed over (fault test, seed 50). */
static bool begin_view(fc_received_view *received, const fc_view *view) {
  if (view->sequence <= received->partial_sequence) return false;
  received->partial_sequence = view->sequence;
  bool base_missing = view->base && view->base != received->sequence;
  received->next_piece = base_missing ? SKIP_VIEW : 0;
  /* Until its last piece has arrived, neither the old view nor the new one is complete here. */
  received->sequence = 0;
  return true;
}

/* Checks whether the piece is the next one of a view that can be applied. */
static fc_view_result accept_piece(fc_received_view *received, const fc_view *view) {
  /* Views of another incarnation or term can't serve as a base. */
  if (received->incarnation != view->incarnation || received->term != view->term)
    *received = (fc_received_view){.incarnation = view->incarnation, .term = view->term};
  if (view->piece == 0 && !begin_view(received, view)) return FC_VIEW_OUT_OF_ORDER;
  if (view->sequence != received->partial_sequence) return FC_VIEW_OUT_OF_ORDER;
  if (received->next_piece == SKIP_VIEW) return FC_VIEW_IGNORED;
  if (view->piece != received->next_piece) return FC_VIEW_OUT_OF_ORDER;
  received->next_piece++;
  if (view->last) received->sequence = view->sequence;
  return FC_VIEW_APPLIED;
}

fc_view_result fc_peer_views_apply(fc_peer_views *views, const fc_view *view) {
  fc_cluster *cluster = views->cluster;
  const fc_term *term = &cluster->membership.term;
  int sender = fc_term_find(term, view->sender);
  /* Only views sent in the current term, by the current incarnation of a member, are applied. */
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
  /* A view may show free resources, which matter only to pending tasks: when every view requested a
   * scheduling round, there were four times as many rounds as regular ones. */
  bool was_reconciled = fc_cluster_fully_reconciled(cluster);
  if (fc_cluster_update_reconciled(cluster) && (!was_reconciled || cluster->tasks_pending))
    fc_wakeups_raise(views->wakeups, FC_WAKEUP_SCHEDULE);
  return FC_VIEW_APPLIED;
}
