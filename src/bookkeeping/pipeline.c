#include "bookkeeping/pipeline.h"

#include <math.h>
#include <string.h>

bool fc_job_ready(const fc_job *j) {
  return j->unmet == 0;
}

bool fc_job_runnable(const fc_job *j) {
  return j->phase == FC_PHASE_ACCEPTED && fc_job_ready(j);
}

double fc_job_latest_start(const fc_job *j) {
  return j->due_at - j->spec.estimate_s;
}

const char *fc_job_unknown_awaited(const fc_job *j) {
  for (guint i = 0; j->awaits && i < j->awaits->len; i++) {
    const fc_awaited *a = j->awaits->pdata[i];
    if (a->state == FC_AWAITED_UNKNOWN) return a->id;
  }
  return NULL;
}

static fc_awaited *awaited_of(const fc_table *t, const char *id) {
  return g_hash_table_lookup(t->awaited, id);
}

static bool is_final(fc_awaited_state state) {
  return state == FC_AWAITED_DONE || state == FC_AWAITED_CANCELLED;
}

static fc_awaited_state state_of_job(const fc_job *j) {
  if (j->phase == FC_PHASE_DONE) return FC_AWAITED_DONE;
  return j->phase == FC_PHASE_CANCELLED ? FC_AWAITED_CANCELLED : FC_AWAITED_OPEN;
}

static fc_awaited_state state_of_id(const fc_table *t, const char *id) {
  const fc_job *j = fc_table_job(t, id);
  if (j) return state_of_job(j);
  return fc_table_is_cancelled(t, id) ? FC_AWAITED_CANCELLED : FC_AWAITED_UNKNOWN;
}

static fc_awaited *awaited_get(fc_table *t, const char *id) {
  fc_awaited *a = awaited_of(t, id);
  if (a) return a;
  a = g_new0(fc_awaited, 1);
  g_strlcpy(a->id, id, sizeof a->id);
  a->state = state_of_id(t, id);
  a->dependents = g_ptr_array_new();
  g_hash_table_insert(t->awaited, a->id, a);
  return a;
}

/* ---- priority and deadline ---- */

static double own_due(const fc_job *j) {
  return j->spec.deadline_s < 0 ? INFINITY : j->submitted_at + j->spec.deadline_s;
}

/* Takes over what the dependent asks of the job. True: it asks for more than was known. */
static bool raise_to(fc_job *j, const fc_job *dependent) {
  if (dependent->phase != FC_PHASE_ACCEPTED) return false;
  double due = fc_job_latest_start(dependent);
  if (dependent->rank <= j->rank && due >= j->due_at) return false;
  j->rank = MAX(j->rank, dependent->rank);
  j->due_at = MIN(j->due_at, due);
  return true;
}

/* Works out anew what a job inherits from all its dependents. True: it has changed. */
static bool inherit_anew(const fc_table *t, fc_job *j) {
  fc_rank rank = j->rank;
  double due = j->due_at;
  j->rank = j->spec.rank;
  j->due_at = own_due(j);
  const fc_awaited *a = awaited_of(t, j->spec.id);
  for (guint i = 0; a && i < a->dependents->len; i++) (void)raise_to(j, a->dependents->pdata[i]);
  return j->rank != rank || j->due_at != due;
}

/* The open job that a dependent awaits; NULL: it is over, or not in the table. */
static fc_job *open_job(const fc_table *t, const fc_awaited *a) {
  return a->state == FC_AWAITED_OPEN ? fc_table_job(t, a->id) : NULL;
}

/* Passes the job's rank and deadline on to those before it, level by level, as far as they
 * change anything. */
static void raise_before(const fc_table *t, fc_job *j) {
  GQueue raised = G_QUEUE_INIT;
  g_queue_push_tail(&raised, j);
  while ((j = g_queue_pop_head(&raised))) {
    for (guint i = 0; j->awaits && i < j->awaits->len; i++) {
      fc_job *before = open_job(t, j->awaits->pdata[i]);
      if (before && raise_to(before, j)) g_queue_push_tail(&raised, before);
    }
  }
}

/* The job asks for nothing any more: those before it may have inherited from it. */
static void lower_before(const fc_table *t, fc_job *j) {
  GQueue lowered = G_QUEUE_INIT;
  g_queue_push_tail(&lowered, j);
  while ((j = g_queue_pop_head(&lowered))) {
    for (guint i = 0; j->awaits && i < j->awaits->len; i++) {
      fc_job *before = open_job(t, j->awaits->pdata[i]);
      if (before && inherit_anew(t, before)) g_queue_push_tail(&lowered, before);
    }
  }
}

/* ---- readiness and cancellation ---- */

/* Everything that the job awaited is done. Its waits begin now, and where that was seen as a
 * change inside the present term no earlier owner can have started anything of it. */
static void become_ready(fc_table *t, fc_job *j, bool fresh, double now) {
  j->queued_at = now;
  j->serial = t->next_serial++;
  if (!fresh) return;
  j->clear = ~0u;
  fc_demand_arrival(&t->demand, &j->spec, now);
}

/* The job is cancelled with one that it needs. That is as final as the other's record, so it
 * counts from here on; the job's own record follows. */
static void cancel_with(fc_table *t, fc_job *j, double now) {
  j->phase = FC_PHASE_CANCELLED;
  if (!j->cancelled_from) j->cancelled_from = now;
  if (!j->over_at) j->over_at = now;
  g_hash_table_insert(t->unrecorded_cancels, j->spec.id, j);
  lower_before(t, j);
}

/* Tells the dependents of an awaited job that it is over; those that are cancelled by it are
 * added to `cancelled`. */
static void tell_dependents(fc_table *t, const fc_awaited *a, bool fresh, double now, GQueue *cancelled) {
  for (guint i = 0; i < a->dependents->len; i++) {
    fc_job *j = a->dependents->pdata[i];
    if (a->state == FC_AWAITED_DONE) {
      if (--j->unmet == 0 && j->phase == FC_PHASE_ACCEPTED) become_ready(t, j, fresh, now);
    } else if (j->phase == FC_PHASE_ACCEPTED) {
      cancel_with(t, j, now);
      g_queue_push_tail(cancelled, j);
    }
  }
}

/* An awaited job's state as it is known now, and what follows from it for all that need it,
 * directly or through others. */
static void note_state(fc_table *t, const char *id, fc_awaited_state state, bool fresh, double now) {
  GQueue cancelled = G_QUEUE_INIT;
  fc_awaited *a = awaited_of(t, id);
  while (a) {
    if (a->state != state && !is_final(a->state)) {
      a->state = state;
      if (is_final(state)) tell_dependents(t, a, fresh, now, &cancelled);
    }
    /* Chains may be long: no recursion. */
    const fc_job *next = g_queue_pop_head(&cancelled);
    for (a = NULL; next && !(a = awaited_of(t, next->spec.id)); next = g_queue_pop_head(&cancelled)) {
    }
    state = FC_AWAITED_CANCELLED;
  }
}

static void link_awaited(fc_table *t, fc_job *j, double now) {
  j->awaits = g_ptr_array_new();
  bool cancelled = false;
  for (char **id = j->spec.awaits; *id; id++) {
    fc_awaited *a = awaited_get(t, *id);
    g_ptr_array_add(a->dependents, j);
    g_ptr_array_add(j->awaits, a);
    j->unmet += a->state != FC_AWAITED_DONE;
    cancelled |= a->state == FC_AWAITED_CANCELLED;
  }
  if (cancelled && j->phase == FC_PHASE_ACCEPTED) cancel_with(t, j, now);
  raise_before(t, j);
}

static void unlink_awaited(fc_table *t, fc_job *j) {
  GPtrArray *awaits = j->awaits;
  if (!awaits) return;
  for (guint i = 0; i < awaits->len; i++)
    (void)g_ptr_array_remove_fast(((fc_awaited *)awaits->pdata[i])->dependents, j);
  lower_before(t, j);
  for (guint i = 0; i < awaits->len; i++) {
    const fc_awaited *a = awaits->pdata[i];
    if (a->dependents->len == 0) g_hash_table_remove(t->awaited, a->id);
  }
  g_ptr_array_free(awaits, TRUE);
  j->awaits = NULL;
  j->unmet = 0;
}

/* Does one of the jobs that it awaits stand as cancelled? */
static bool awaits_cancelled(const fc_job *j) {
  for (guint i = 0; i < j->awaits->len; i++)
    if (((const fc_awaited *)j->awaits->pdata[i])->state == FC_AWAITED_CANCELLED) return true;
  return false;
}

void fc_pipeline_put(fc_table *t, fc_job *j, bool fresh, double now) {
  bool waited = j->unmet > 0;
  if (j->recorded_phase != FC_PHASE_ACCEPTED || !j->spec.awaits) {
    /* Its own record decides: it is over, or was written when all before it were done. */
    unlink_awaited(t, j);
    g_hash_table_remove(t->unrecorded_cancels, j->spec.id);
    if (waited && j->phase == FC_PHASE_ACCEPTED) become_ready(t, j, fresh, now);
  } else if (!j->awaits) {
    link_awaited(t, j, now);
  } else if (j->phase == FC_PHASE_ACCEPTED && awaits_cancelled(j)) {
    cancel_with(t, j, now);
  }
  (void)inherit_anew(t, j);
  raise_before(t, j);
  note_state(t, j->spec.id, state_of_job(j), fresh, now);
}

void fc_pipeline_remove(fc_table *t, fc_job *j) {
  unlink_awaited(t, j);
  g_hash_table_remove(t->unrecorded_cancels, j->spec.id);
  /* A final state stays known; otherwise its end was missed, and is looked up. */
  note_state(t, j->spec.id, FC_AWAITED_UNKNOWN, false, 0);
}

void fc_pipeline_learned(fc_table *t, const char *id, fc_awaited_state state, double now) {
  fc_job *j = fc_table_job(t, id);
  if (j && state == FC_AWAITED_CANCELLED) lower_before(t, j);
  note_state(t, id, state, false, now);
}

bool fc_pipeline_awaited(const fc_table *t, const char *id) {
  return awaited_of(t, id) != NULL;
}

unsigned fc_pipeline_waiting(const fc_table *t) {
  unsigned n = 0;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, t->jobs);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    const fc_job *j = value;
    n += j->phase == FC_PHASE_ACCEPTED && !fc_job_ready(j);
  }
  return n;
}

GPtrArray *fc_pipeline_unknown(const fc_table *t, guint most) {
  GPtrArray *ids = g_ptr_array_new_with_free_func(g_free);
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, t->awaited);
  while (ids->len < most && g_hash_table_iter_next(&it, NULL, &value)) {
    const fc_awaited *a = value;
    if (a->state == FC_AWAITED_UNKNOWN) g_ptr_array_add(ids, g_strdup(a->id));
  }
  return ids;
}

GPtrArray *fc_pipeline_unrecorded(const fc_table *t, int member, guint most) {
  GPtrArray *ids = g_ptr_array_new_with_free_func(g_free);
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, t->unrecorded_cancels);
  while (ids->len < most && g_hash_table_iter_next(&it, NULL, &value)) {
    const fc_job *j = value;
    if (fc_job_owner(j, 0) == member) g_ptr_array_add(ids, g_strdup(j->spec.id));
  }
  return ids;
}
