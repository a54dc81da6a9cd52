/* Views: what each controller tells the others of its own machines. The first of a
 * term, and any after one that was lost, is whole; the rest say only what changed. At
 * thousands of machines a whole view ten times in a report interval was most of what
 * the link cost, and one frame of it came close to its bound. */
#include <string.h>

#include "controller/controller.h"

#define EXCHANGE_COST_S 0.0002 /* of a core, with both ends of it: measured on loopback */
#define EXCHANGES_SHARE 0.05   /* of the processor */
#define LAGS_BETWEEN 4.0

double fc_view_spacing(const fc_settings *s, double lag_s) {
  double least = s->report_s * 0.1, most = s->report_s * 0.4;
  double affordable = EXCHANGE_COST_S * (double)s->peer_count / (EXCHANGES_SHARE * s->cpu);
  return CLAMP(MAX(affordable, lag_s * LAGS_BETWEEN), least, most);
}

/* More tasks than a report may name can't be told whole; such a machine is shown as one
 * that nothing is known of, which holds back only what may be on it. */
static bool tellable(const fc_machine *m) {
  return m->placements->len <= FC_FRAME_TASKS_MOST;
}

/* The machine without its tasks. */
static fc_frame_machine describe(const fc_table *t, const fc_machine *m, double now) {
  fc_frame_machine f = {.settled = tellable(m) && m->settled_term == t->term.number,
                        .closed = m->closed,
                        .mute = fc_machine_mute(t, m, now)};
  g_strlcpy(f.id, m->id, sizeof f.id);
  return f;
}

/* Everything that a view says of the machine, in one number: what has to be told again
 * is found by comparing, so that no place that changes a task can forget to say so.
 * Never 0. */
static uint64_t digest_of(const fc_frame_machine *f, const fc_machine *m) {
  uint64_t h = 1469598103934665603ull ^ (uint64_t)(f->settled | f->closed << 1 | f->mute << 2);
  for (guint i = 0; tellable(m) && i < m->placements->len; i++) {
    const fc_placement *p = m->placements->pdata[i];
    const uint64_t parts[] = {g_str_hash(p->job_id), p->index, p->attempt, (uint64_t)p->state << 8 | p->cause};
    for (size_t k = 0; k < G_N_ELEMENTS(parts); k++) {
      h ^= parts[k];
      h *= 0xbf58476d1ce4e5b9ull;
      h ^= h >> 29;
    }
  }
  return h ? h : 1;
}

static void fill_tasks(const fc_machine *m, fc_frame_machine *f) {
  if (!tellable(m)) return;
  f->tasks = g_new0(fc_frame_task, m->placements->len);
  for (guint i = 0; i < m->placements->len; i++) {
    const fc_placement *p = m->placements->pdata[i];
    fc_frame_task *ft = &f->tasks[f->task_count++];
    g_strlcpy(ft->job, p->job_id, sizeof ft->job);
    ft->index = p->index;
    ft->attempt = p->attempt;
    ft->state = (uint8_t)p->state;
    ft->cause = (uint8_t)p->cause;
  }
}

/* Has the peer to be told of the machine (again)? What it holds of it may be from
 * before it knew that the machine is ours, and then it has passed our word over. */
static bool untold(const fc_peer *peer, const fc_machine *m) {
  return !peer->acked_seq || m->shown_at > peer->acked_view || m->version > peer->acked_revision;
}

/* What the peer may not have read of cancellations. */
static void fill_cancels(const fc_controller *c, const fc_peer *peer, fc_view *v) {
  const fc_cancel *first;
  size_t n;
  (void)fc_cancels_since(c->cancels, peer->revision, &first, &n);
  v->cancels = fc_cancels_frame(first, n, fc_now());
  v->cancel_count = n;
}

static void send_pieces(fc_view *v, const GArray *machines, GByteArray *out) {
  guint from = 0;
  do {
    size_t bytes = 0;
    guint to = from;
    while (to < machines->len && (to == from || bytes < FC_PIECE_BYTES))
      bytes += fc_frame_machine_size(&g_array_index(machines, fc_frame_machine, to++));
    v->machines = machines->len ? &g_array_index(machines, fc_frame_machine, from) : NULL;
    v->machine_count = to - from;
    v->last = to == machines->len;
    fc_view_encode(out, v);
    v->cancel_count = 0; /* once is enough */
    v->piece++;
    from = to;
  } while (!v->last);
}

void fc_view_make(fc_controller *c, const fc_peer *peer, uint64_t seq, GByteArray *out) {
  fc_table *t = c->table;
  double now = fc_now();
  t->view++;
  fc_view v = {.boot = c->boot, .term = t->term.number, .seq = seq, .base = peer->acked_seq, .revision = c->revision};
  fill_cancels(c, peer, &v);
  v.backlog = (uint16_t)MIN(fc_commit_backlog(c->commit), UINT16_MAX);
  g_strlcpy(v.sender, c->settings->name, sizeof v.sender);
  GArray *machines = g_array_new(FALSE, TRUE, sizeof(fc_frame_machine));
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, t->machines);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    fc_machine *m = value;
    if (t->self < 0 || m->owner != t->self) continue;
    fc_frame_machine f = describe(t, m, now);
    uint64_t digest = digest_of(&f, m);
    if (digest != m->shown) {
      m->shown = digest;
      m->shown_at = t->view;
      if (!tellable(m)) g_warning("too many tasks for a view machine=%s tasks=%u", m->id, m->placements->len);
    }
    if (!untold(peer, m)) continue;
    fill_tasks(m, &f);
    g_array_append_val(machines, f);
  }
  c->counts.shown += machines->len;
  send_pieces(&v, machines, out);
  for (guint i = 0; i < machines->len; i++) g_free(g_array_index(machines, fc_frame_machine, i).tasks);
  g_array_free(machines, TRUE);
  g_free(v.cancels);
}

/* The owner's list replaces what we thought is on a machine. */
static void apply_machine(fc_controller *c, fc_machine *m, const fc_frame_machine *f) {
  fc_table *t = c->table;
  double now = fc_now();
  for (guint i = 0; i < m->placements->len; i++) ((fc_placement *)m->placements->pdata[i])->listed = false;
  for (size_t i = 0; i < f->task_count; i++) {
    const fc_frame_task *ft = &f->tasks[i];
    fc_placement *p = fc_machine_find(m, ft->job, ft->index, ft->attempt);
    if (!p) p = fc_table_place(t, m, ft->job, ft->index, ft->attempt, now);
    p->state = (fc_task_state)ft->state;
    p->cause = (fc_exit_cause)ft->cause;
    p->reported = p->sent = true;
    if (p->state == FC_TASK_RUNNING && !p->running_since) p->running_since = now;
    p->listed = true;
  }
  for (guint i = m->placements->len; i-- > 0;) {
    fc_placement *p = m->placements->pdata[i];
    if (!p->listed) fc_table_unplace(t, p);
  }
  m->settled_term = t->term.number;
  m->remote_closed = f->closed;
  if (f->mute && !m->remote_mute) m->remote_mute_at = now;
  m->remote_mute = f->mute;
}

/* Is the piece the next of a view that we can take? */
static fc_view_fate order_of(fc_peer *from, const fc_view *v) {
  if (from->view_boot != v->boot || from->view_term != v->term) {
    /* The sender's new life, or a new term: what we hold of it is no base any more. */
    from->view_boot = v->boot;
    from->view_term = v->term;
    from->view_seq = from->piece_seq = 0;
    from->next_piece = 0;
  }
  if (v->piece == 0) {
    /* A view held back on a connection that was given up may come after newer ones:
     * applied, it hid a task that the sender then handed over (fault test, seed 50). */
    if (v->seq <= from->piece_seq) return FC_VIEW_BROKEN;
    from->piece_seq = v->seq;
    from->next_piece = 0;
    if (v->base && v->base != from->view_seq) from->next_piece = UINT32_MAX;
    /* From the first piece on we hold neither the one view nor the other. */
    from->view_seq = 0;
  }
  if (v->seq != from->piece_seq) return FC_VIEW_BROKEN;
  if (from->next_piece == UINT32_MAX) return FC_VIEW_IGNORED;
  if (v->piece != from->next_piece) return FC_VIEW_BROKEN;
  from->next_piece++;
  if (v->last) from->view_seq = v->seq;
  return FC_VIEW_TAKEN;
}

fc_view_fate fc_view_take(fc_controller *c, const fc_view *v) {
  fc_table *t = c->table;
  int sender = fc_term_find(&t->term, v->sender);
  /* Only the present term's view by a present member's present life counts. */
  if (sender < 0 || sender == t->self || v->term != t->term.number || v->boot != t->term.members[sender].boot)
    return FC_VIEW_IGNORED;
  fc_peer *from = fc_peer_of(c, sender);
  if (!from) return FC_VIEW_IGNORED;
  fc_view_fate fate = order_of(from, v);
  if (fate != FC_VIEW_TAKEN) return fate;
  for (size_t i = 0; i < v->machine_count; i++) {
    const fc_frame_machine *f = &v->machines[i];
    fc_machine *m = fc_table_machine(t, f->id);
    if (!m || m->owner != sender || !f->settled) continue;
    apply_machine(c, m, f);
  }
  /* A peer's room matters to what waits here; with nothing waiting each view asked for a
   * round, four times as many as the regular ones. */
  bool was_settled = t->settled_latch == t->term.number;
  if (fc_table_check_settled(t) && (!was_settled || c->waiting)) fc_round_soon(c);
  return FC_VIEW_TAKEN;
}
