/* Between the parts: hands waiting slices over and lends idle machines. */
#include <string.h>

#include "controller/controller.h"
#include "controller/duties.h"
#include "scheduler/share.h"

typedef fc_write *(*make_write_fn)(fc_controller *c, void *arg);

/* Writes until it is decided, so that nobody is left in doubt about who owns
 * what: a write without an answer may be applied late, and is made again under
 * the same conditions until one of the copies has been, or none can be. `make`
 * returns NULL when there is nothing to write any more. */
static void write_decided(fc_controller *c, make_write_fn make, void *arg) {
  bool maybe = false;
  while (!fc_routine_cancelled()) {
    fc_write *w = make(c, arg);
    if (!w) break;
    uint64_t revision = 0;
    fc_state_result r = fc_commit_write(c->commit, w, FC_RANK_DECISION, fc_now() + c->settings->report_s, &revision);
    if (r == FC_STATE_OK) {
      while (!fc_wait_revision(c, revision, fc_now() + c->settings->report_s) && !fc_routine_cancelled()) {
      }
      return;
    }
    if (r == FC_STATE_CONFLICT) break;
    maybe |= r == FC_STATE_UNKNOWN;
    if (!maybe) return;
    (void)fc_routine_sleep(c->settings->report_s * 0.1);
  }
  /* A copy may be what the conflict was with: see it before going on. */
  while (!fc_wait_fresh(c, fc_now() + c->settings->report_s) && !fc_routine_cancelled()) {
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

static fc_write *make_handover(fc_controller *c, void *arg) {
  const handover_arg *a = arg;
  const fc_job *j = fc_table_job(c->table, a->id);
  if (!j || j->version != a->version) return NULL;
  char *handed[FC_SLICES_MAX];
  fc_job_origin origin = j->origin;
  origin.moved |= a->slices;
  origin.unseen = (origin.unseen & ~a->slices) | a->unseen;
  for (unsigned i = 0; i < FC_SLICES_MAX; i++) {
    handed[i] = j->handed[i];
    if (!(a->slices >> i & 1)) continue;
    handed[i] = (char *)a->to[i];
    origin.last_move[i].term = a->term_number;
    origin.last_move[i].members = a->homes[i];
  }
  fc_write *w = fc_write_job(c->table, j, a->version, j->phase, j->done, handed, &origin);
  if (w) fc_write_if(w, FC_KEY_TERM, a->term);
  return w;
}

static void handover_main(void *arg) {
  handover_arg *a = arg;
  fc_controller *c = a->c;
  write_decided(c, make_handover, a);
  fc_job *j = fc_table_job(c->table, a->id);
  if (j) j->handing = 0;
  fc_round_soon(c);
  g_free(a);
}

static fc_told what_is_told(fc_controller *c) {
  fc_told told = {{0}, {0}, {0}};
  for (int i = 0; i < (int)c->table->term.count; i++) {
    const fc_peer *p = fc_peer_of(c, i);
    if (!p) continue;
    told.view[i] = p->acked_view;
    told.revision[i] = p->acked_revision;
    told.fit[i] = fc_member_fit(c, i);
  }
  return told;
}

static void hand_over(fc_controller *c, const fc_told *told) {
  GArray *plan = fc_share_handovers(c->table, told, fc_now());
  for (guint i = 0; i < plan->len; i++) {
    fc_job *j = g_array_index(plan, fc_handover, i).job;
    if (j->handing) continue; /* its first slice took the others along */
    handover_arg *a = g_new0(handover_arg, 1);
    a->c = c;
    a->version = j->version;
    a->term = c->table->term_version;
    a->term_number = c->table->term.number;
    g_strlcpy(a->id, j->spec.id, sizeof a->id);
    for (guint k = i; k < plan->len; k++) {
      const fc_handover *h = &g_array_index(plan, fc_handover, k);
      if (h->job != j) continue;
      a->slices |= 1u << h->slice;
      a->homes[h->slice] = h->homes;
      a->unseen |= (unsigned)h->unseen << h->slice;
      g_strlcpy(a->to[h->slice], c->table->term.members[h->to].name, sizeof a->to[h->slice]);
      g_debug("hand over job=%s slice=%u to=%s", a->id, h->slice, a->to[h->slice]);
    }
    c->counts.handed_over++;
    j->handing = a->slices;
    j->handed_at = fc_now();
    j->handed_count++;
    if (!fc_routine_spawn(handover_main, a)) {
      j->handing = 0;
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

static fc_write *make_loan(fc_controller *c, void *arg) {
  const loan_arg *a = arg;
  const fc_machine *m = fc_table_machine(c->table, a->id);
  if (!m || m->version != a->version) return NULL;
  fc_machine_record rec = m->rec;
  g_strlcpy(rec.owner, a->to, sizeof rec.owner);
  return fc_write_machine(a->id, a->version, a->term, &rec);
}

/* Gives a machine with nothing on it to another member. From the moment the
 * record may have changed we neither answer its worker nor command it. */
static void loan_main(void *arg) {
  loan_arg *a = arg;
  fc_controller *c = a->c;
  write_decided(c, make_loan, a);
  fc_machine *m = fc_table_machine(c->table, a->id);
  if (m) m->writing = false;
  g_free(a);
}

/* Stops what is of lower rank than the gang; the machine is lent once it is idle. */
static void clear_for(fc_controller *c, fc_machine *m, const fc_job *gang) {
  bool any = false;
  for (guint i = 0; i < m->placements->len; i++) {
    fc_placement *p = m->placements->pdata[i];
    if (p->stopping || !fc_placement_live(p) || !fc_share_clearable(p, gang)) continue;
    fc_workers_stop(c, p);
    c->counts.preempted++;
    any = true;
  }
  if (!any) return;
  g_debug("clear machine=%s for=%s", m->id, gang->spec.id);
  fc_workers_push(c, m);
}

static void lend(fc_controller *c, const fc_told *told) {
  GArray *plan = fc_share_loans(c->table, told, fc_now());
  for (guint i = 0; i < plan->len; i++) {
    const fc_loan *l = &g_array_index(plan, fc_loan, i);
    fc_machine *m = l->machine;
    if (m->writing || m->releasing) continue;
    g_strlcpy(m->reserved_for, l->gang->spec.id, sizeof m->reserved_for);
    m->reserved_until = fc_now() + c->settings->op.round_s * 2;
    if (l->clear && m->placements->len > 0) {
      clear_for(c, m, l->gang);
      continue;
    }
    if (m->ordering || m->placements->len > 0 || l->to == c->table->self) continue;
    loan_arg *a = g_new0(loan_arg, 1);
    a->c = c;
    a->version = l->machine->version;
    a->term = c->table->term_version;
    g_strlcpy(a->id, l->machine->id, sizeof a->id);
    g_strlcpy(a->to, c->table->term.members[l->to].name, sizeof a->to);
    g_debug("lend machine=%s to=%s", a->id, a->to);
    c->counts.lent++;
    l->machine->writing = true;
    if (!fc_routine_spawn(loan_main, a)) {
      l->machine->writing = false;
      g_free(a);
    }
  }
  g_array_free(plan, TRUE);
}

void fc_share_round(fc_controller *c) {
  fc_told told = what_is_told(c);
  hand_over(c, &told);
  lend(c, &told);
}
