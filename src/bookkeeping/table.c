#include "bookkeeping/table.h"

#include <math.h>
#include <string.h>

#include "bookkeeping/pipeline.h"
#include "coordination/deal.h"

#define IMAGES_MOST 64u

static void job_free(gpointer p) {
  fc_job *j = p;
  fc_job_spec_clear(&j->spec);
  g_free(j->done);
  for (unsigned i = 0; i < FC_SLICES_MAX; i++) g_free(j->handed[i]);
  g_ptr_array_free(j->placements, TRUE);
  if (j->failed_on) g_hash_table_destroy(j->failed_on);
  if (j->awaits) g_ptr_array_free(j->awaits, TRUE);
  g_free(j);
}

static void unread_free(gpointer p) {
  fc_unread_job *u = p;
  json_decref(u->value);
  g_free(u);
}

static void awaited_free(gpointer p) {
  fc_awaited *a = p;
  g_ptr_array_free(a->dependents, TRUE);
  g_free(a);
}

static void machine_free(gpointer p) {
  fc_machine *m = p;
  for (guint i = 0; i < m->placements->len; i++) g_free(m->placements->pdata[i]);
  g_ptr_array_free(m->placements, TRUE);
  g_ptr_array_free(m->images, TRUE);
  g_free(m);
}

fc_table *fc_table_new(const fc_settings *settings) {
  fc_table *t = g_new0(fc_table, 1);
  t->settings = settings;
  t->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, job_free);
  t->machines = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, machine_free);
  t->types = g_ptr_array_new_with_free_func(fc_machine_type_free);
  t->rentals = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  t->cancelled = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  t->members = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  t->parts = fc_parts_new();
  t->unread = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, unread_free);
  t->awaited = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, awaited_free);
  t->unrecorded_cancels = g_hash_table_new(g_str_hash, g_str_equal);
  /* About two boots of a machine: longer, and yesterday's burst is paid for. */
  fc_demand_init(&t->demand, settings->lease_s * 8);
  for (size_t k = 0; k < FC_TEAMS_MAX; k++) t->carried_cpus[k] = t->carried_gpus[k] = INFINITY;
  t->self = -1;
  return t;
}

void fc_table_free(fc_table *t) {
  if (!t) return;
  g_hash_table_destroy(t->jobs);
  g_hash_table_destroy(t->machines);
  g_ptr_array_free(t->types, TRUE);
  g_hash_table_destroy(t->rentals);
  g_hash_table_destroy(t->cancelled);
  g_hash_table_destroy(t->members);
  fc_parts_free(t->parts);
  g_hash_table_destroy(t->unread);
  g_hash_table_destroy(t->awaited);
  g_hash_table_destroy(t->unrecorded_cancels);
  fc_demand_free(&t->demand);
  g_free(t);
}

fc_job *fc_table_job(const fc_table *t, const char *id) {
  return g_hash_table_lookup(t->jobs, id);
}
fc_machine *fc_table_machine(const fc_table *t, const char *id) {
  return g_hash_table_lookup(t->machines, id);
}

int fc_table_type(const fc_table *t, const char *name) {
  for (guint i = 0; i < t->types->len; i++) {
    const fc_machine_type *type = t->types->pdata[i];
    if (strcmp(type->name, name) == 0) return (int)i;
  }
  return -1;
}

fc_machine *fc_table_machine_add(fc_table *t, const char *id, double now) {
  fc_machine *m = fc_table_machine(t, id);
  if (m) return m;
  m = g_new0(fc_machine, 1);
  g_strlcpy(m->id, id, sizeof m->id);
  m->type = -1;
  m->zone = FC_ZONES_MAX;
  m->owner = -1;
  m->first_seen = m->owned_since = m->idle_since = now;
  m->placements = g_ptr_array_new();
  m->images = g_ptr_array_new_with_free_func((GDestroyNotify)g_ref_string_release);
  g_hash_table_insert(t->machines, m->id, m);
  return m;
}

/* Placements adopted before the job's record was seen belong to it too. */
static void link_placements(fc_table *t, fc_job *j) {
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, t->machines);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    fc_machine *m = value;
    for (guint i = 0; i < m->placements->len; i++) {
      fc_placement *p = m->placements->pdata[i];
      if (p->job || strcmp(p->job_id, j->spec.id) != 0) continue;
      p->job = j;
      g_ptr_array_add(j->placements, p);
    }
  }
}

/* The members on whose machines tasks of a slice of ours may be; 0: not known. While
 * the members have the same names, no slice and no machine is dealt anew: a slice is
 * started by its owner alone, on machines that are the owner's, and a machine leaves a
 * member only empty. So a slice that was never handed over since it was accepted is on
 * our machines or nowhere, and one that was, where its hand-over said: who hands over
 * knows all of it. */
static unsigned homes_of(const fc_table *t, const fc_job *j, unsigned slice) {
  bool moved = j->origin.moved >> slice & 1;
  uint64_t since = moved ? j->origin.last_move[slice].term : j->origin.term;
  if (!since || since < t->term.names_since) return 0;
  return moved ? j->origin.last_move[slice].members : 1u << t->self;
}

/* Slices of ours that are on machines of members with nothing unsettled, or nowhere. */
static unsigned at_home(const fc_table *t, const fc_job *j) {
  unsigned home = 0;
  if (t->self < 0 || t->members_latch != t->term.number) return 0;
  for (unsigned i = 0; i < j->slices; i++) {
    unsigned homes = fc_job_owner(j, i) == t->self ? homes_of(t, j, i) : 0;
    home |= (unsigned)(homes && !(homes & ~t->settled_members)) << i;
  }
  return home;
}

/* What the latches of this term make clear. A job that is read anew after one of them
 * was never clear again in the term otherwise. */
static void make_clear(const fc_table *t, fc_job *j) {
  if (!t->term_version) return;
  if (t->settled_latch == t->term.number) j->clear = ~0u;
  j->clear |= at_home(t, j);
}

/* Adds a job with what its record says for good. */
static fc_job *add_job(fc_table *t, const fc_job_record *r, bool fresh, double now) {
  fc_job *j = g_new0(fc_job, 1);
  j->spec = fc_job_spec_copy(&r->spec);
  j->parts = r->parts;
  j->slices = r->slices;
  j->done = g_new0(uint8_t, (j->spec.tasks + 7) / 8);
  j->placements = g_ptr_array_new();
  j->team = fc_settings_team(t->settings, j->spec.team);
  j->clear = fresh ? ~0u : 0;
  j->submitted_at = r->origin.submitted_at > 0 ? MIN(now, r->origin.submitted_at - t->epoch) : now;
  j->queued_at = now;
  j->rank = j->spec.rank;
  j->due_at = INFINITY;
  j->serial = t->next_serial++;
  g_hash_table_insert(t->jobs, j->spec.id, j);
  return j;
}

/* Takes over which tasks are done. */
static void put_done(fc_job *j, const char *id, const char *ranges) {
  if (!fc_ranges_decode(ranges, j->done, j->spec.tasks)) g_warning("job %s: bad ranges", id);
  j->done_count = 0;
  for (uint32_t i = 0; i < j->spec.tasks; i++) j->done_count += fc_job_task_done(j, i);
}

/* Takes over the phase of the record of this version. */
static void put_phase(const fc_table *t, fc_job *j, const char *id, fc_phase phase, uint64_t version, double now) {
  j->phase = j->recorded_phase = phase;
  /* Known to be cancelled by a later record, which is still to be read. */
  const fc_told_cancel *told = g_hash_table_lookup(t->cancelled, id);
  if (told && told->revision > version) j->phase = FC_PHASE_CANCELLED;
  if (j->phase == FC_PHASE_CANCELLED && !j->cancelled_from) j->cancelled_from = told ? told->from : now;
  if (j->phase != FC_PHASE_ACCEPTED && !j->over_at) j->over_at = now;
}

/* Takes over to whom slices were handed. */
static void put_handed(const fc_table *t, fc_job *j, const fc_job_record *r, bool is_new) {
  for (unsigned i = 0; i < j->slices; i++) {
    if (g_strcmp0(j->handed[i], r->handed[i]) == 0) continue;
    bool was_mine = !is_new && fc_job_owner(j, i) == t->self;
    g_free(j->handed[i]);
    j->handed[i] = g_strdup(r->handed[i]);
    /* A slice is handed over by the one who knows all of it, and only after we
     * have acknowledged a view that shows whatever of it is on a machine; or it says
     * that some of it is on others' machines, which settle for us one by one. */
    if (!was_mine && !is_new && !(r->origin.unseen >> i & 1)) j->clear |= 1u << i;
  }
}

/* A record is written without what the job awaited once all of that is done. */
static void put_awaits(fc_job *j, const fc_job_record *r) {
  if (r->awaiting) return;
  g_strfreev(j->spec.awaits);
  j->spec.awaits = NULL;
}

fc_job *fc_table_put_job(fc_table *t, const char *id, const fc_job_record *r, uint64_t version, bool fresh,
                         double now) {
  fc_job *j = fc_table_job(t, id);
  if (j && j->version >= version) return j;
  bool is_new = !j;
  if (is_new) j = add_job(t, r, fresh, now);
  put_awaits(j, r);
  put_done(j, id, r->done);
  put_phase(t, j, id, r->phase, version, now);
  j->version = version;
  put_handed(t, j, r, is_new);
  j->origin = r->origin;
  fc_job_deal(t, j);
  if (is_new) {
    make_clear(t, j);
    link_placements(t, j);
  }
  fc_pipeline_put(t, j, fresh, now);
  /* What is read back after a start arrived before; only its shape is news. */
  if (is_new && fresh && fc_job_ready(j)) fc_demand_arrival(&t->demand, &j->spec, now);
  return j;
}

void fc_table_cancel(fc_table *t, const char *id, uint64_t revision, double from, double now) {
  fc_job *j = fc_table_job(t, id);
  if (j && (j->version >= revision || j->phase == FC_PHASE_CANCELLED)) return;
  fc_told_cancel *told = g_new(fc_told_cancel, 1);
  *told = (fc_told_cancel){revision, from};
  g_hash_table_replace(t->cancelled, g_strdup(id), told);
  if (j) {
    j->phase = FC_PHASE_CANCELLED;
    j->cancelled_from = from;
    if (!j->over_at) j->over_at = now;
  }
  fc_pipeline_learned(t, id, FC_AWAITED_CANCELLED, now);
}

bool fc_table_is_cancelled(const fc_table *t, const char *id) {
  const fc_job *j = fc_table_job(t, id);
  return j ? j->phase == FC_PHASE_CANCELLED : g_hash_table_contains(t->cancelled, id);
}

double fc_table_cancelled_from(const fc_table *t, const char *id) {
  const fc_job *j = fc_table_job(t, id);
  if (j) return j->phase == FC_PHASE_CANCELLED ? j->cancelled_from : INFINITY;
  const fc_told_cancel *told = g_hash_table_lookup(t->cancelled, id);
  return told ? told->from : INFINITY;
}

void fc_table_caught_up(fc_table *t, uint64_t revision) {
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, t->cancelled);
  while (g_hash_table_iter_next(&it, NULL, &value))
    if (((const fc_told_cancel *)value)->revision <= revision) g_hash_table_iter_remove(&it);
}

void fc_table_remove_job(fc_table *t, fc_job *j) {
  for (guint i = 0; i < j->placements->len; i++) ((fc_placement *)j->placements->pdata[i])->job = NULL;
  fc_pipeline_remove(t, j);
  g_hash_table_remove(t->jobs, j->spec.id);
}

unsigned fc_job_slice_of(const fc_job *j, uint32_t index) {
  return (unsigned)((uint64_t)index * j->slices / j->spec.tasks);
}

void fc_job_deal(const fc_table *t, fc_job *j) {
  j->owned_by = 0;
  for (unsigned i = 0; i < j->slices; i++) {
    int owner = fc_deal_job(&t->term, j->spec.id, i, j->slices, j->handed[i]);
    j->owners[i] = (int8_t)owner;
    if (owner >= 0) j->owned_by |= 1u << owner;
  }
}

int fc_job_owner(const fc_job *j, unsigned slice) {
  return j->owners[slice];
}

bool fc_job_owned(const fc_job *j, int member) {
  return member >= 0 && (j->owned_by >> member & 1);
}

void fc_machine_locate(const fc_table *t, fc_machine *m) {
  m->type = fc_table_type(t, m->rec.type);
  m->zone = fc_settings_zone(t->settings, m->rec.zone);
}

bool fc_job_task_done(const fc_job *j, uint32_t index) {
  return j->done[index / 8] >> (index % 8) & 1;
}

fc_placement *fc_table_place(fc_table *t, fc_machine *m, const char *job_id, uint32_t index, uint64_t attempt,
                             double now) {
  fc_placement *p = g_new0(fc_placement, 1);
  p->machine = m;
  g_strlcpy(p->job_id, job_id, sizeof p->job_id);
  p->index = index;
  p->attempt = attempt;
  p->since = now;
  p->told = t->view + 1;
  p->job = fc_table_job(t, job_id);
  g_ptr_array_add(m->placements, p);
  if (p->job) g_ptr_array_add(p->job->placements, p);
  m->idle_since = 0;
  return p;
}

fc_placement *fc_machine_find(const fc_machine *m, const char *job_id, uint32_t index, uint64_t attempt) {
  for (guint i = 0; i < m->placements->len; i++) {
    fc_placement *p = m->placements->pdata[i];
    if (p->index == index && p->attempt == attempt && strcmp(p->job_id, job_id) == 0) return p;
  }
  return NULL;
}

void fc_table_unplace(fc_table *t, fc_placement *p) {
  (void)t;
  if (p->job) g_ptr_array_remove_fast(p->job->placements, p);
  g_ptr_array_remove_fast(p->machine->placements, p);
  g_free(p);
}

void fc_machine_clear(fc_table *t, fc_machine *m) {
  while (m->placements->len > 0) fc_table_unplace(t, m->placements->pdata[m->placements->len - 1]);
}

void fc_table_remove_machine(fc_table *t, fc_machine *m) {
  fc_machine_clear(t, m);
  g_hash_table_remove(t->machines, m->id);
}

bool fc_placement_live(const fc_placement *p) {
  return p->state != FC_TASK_EXITED;
}

void fc_room_take(fc_room *r, const fc_job_spec *s) {
  r->cpus -= s->cpus;
  r->gpus -= s->gpus;
  r->memory_gb -= s->memory_gb;
}

void fc_room_give(fc_room *r, const fc_job_spec *s) {
  r->cpus += s->cpus;
  r->gpus += s->gpus;
  r->memory_gb += s->memory_gb;
}

fc_room fc_machine_room(const fc_table *t, const fc_machine *m) {
  fc_room r = {0, 0, 0};
  if (m->type < 0) return r;
  const fc_machine_type *type = t->types->pdata[m->type];
  r = (fc_room){type->cpus, type->gpus, type->memory_gb};
  for (guint i = 0; i < m->placements->len; i++) {
    const fc_placement *p = m->placements->pdata[i];
    if (!fc_placement_live(p)) continue;
    /* What we know nothing of may take all there is. */
    if (!p->job) return (fc_room){0, 0, 0};
    fc_room_take(&r, &p->job->spec);
  }
  return r;
}

bool fc_machine_vacant(const fc_machine *m) {
  for (guint i = 0; i < m->placements->len; i++) {
    const fc_placement *p = m->placements->pdata[i];
    bool over = p->state == FC_TASK_EXITED && p->recorded;
    bool given_up = p->stopping && !p->reported && p->stray == FC_STRAY_LOST;
    if (!over && !given_up) return false;
  }
  return true;
}

bool fc_machine_out_of_touch(const fc_machine *m, double since) {
  if (m->owned_since > since) return false;
  return m->heard_at < since || (m->deaf_since && m->deaf_since < since);
}

double fc_machine_quiet_s(const fc_settings *s) {
  return MAX(s->lease_s * 0.6, 3 * s->report_s);
}

bool fc_machine_unheard(const fc_table *t, const fc_machine *m, double now) {
  double quiet = MAX(t->settings->lease_s * 0.4, t->settings->report_s * 2);
  return m->announced && !m->reported && now > m->owned_since + quiet;
}

bool fc_machine_mute(const fc_table *t, const fc_machine *m, double now) {
  if (m->owner != t->self) return m->remote_mute;
  if (!m->reported) return fc_machine_unheard(t, m, now);
  double least = MAX(fc_machine_quiet_s(t->settings) - 2 * t->settings->report_s, 1.5 * t->settings->report_s);
  return m->deaf_since || fc_machine_out_of_touch(m, now - least);
}

bool fc_machine_in_touch(const fc_table *t, const fc_machine *m, double now) {
  if (!m->reported || now > m->heard_at + t->settings->lease_s * 0.5) return false;
  /* Its next report, or the answer to a probe, shows whether it has heard. */
  return !m->deaf_since || now < m->deaf_since + t->settings->lease_s * 0.25;
}

bool fc_room_fits(const fc_room *r, const fc_job_spec *s) {
  const double slack = 1e-6;
  return r->cpus + slack >= s->cpus && r->gpus + slack >= s->gpus && r->memory_gb + slack >= s->memory_gb;
}

void fc_machine_used_image(fc_machine *m, GRefString *image) {
  for (guint i = 0; i < m->images->len; i++) {
    if (m->images->pdata[i] != image) continue;
    gpointer kept = g_ptr_array_steal_index(m->images, i);
    g_ptr_array_add(m->images, kept);
    return;
  }
  if (m->images->len == IMAGES_MOST) g_ptr_array_remove_index(m->images, 0);
  g_ptr_array_add(m->images, g_ref_string_acquire(image));
}

bool fc_machine_has_image(const fc_machine *m, const GRefString *image) {
  for (guint i = 0; i < m->images->len; i++)
    if (m->images->pdata[i] == image) return true;
  return false;
}

bool fc_job_allows(const fc_job_spec *s, const char *type, const char *zone, bool spot) {
  if (spot && !s->spot) return false;
  if (s->zone && strcmp(s->zone, zone) != 0) return false;
  if (!s->types) return true;
  for (char **t = s->types; *t; t++)
    if (strcmp(*t, type) == 0) return true;
  return false;
}

fc_room fc_machine_whole(const fc_table *t, const fc_machine *m) {
  if (m->type < 0) return (fc_room){1e12, 1e12, 1e12};
  const fc_machine_type *mt = t->types->pdata[m->type];
  return (fc_room){mt->cpus, mt->gpus, mt->memory_gb};
}

void fc_machine_use(const fc_machine *m, double cpus[FC_TEAMS_MAX], double gpus[FC_TEAMS_MAX]) {
  for (guint i = 0; i < m->placements->len; i++) {
    const fc_placement *p = m->placements->pdata[i];
    if (!fc_placement_live(p) || !p->job || p->job->team < 0) continue;
    cpus[p->job->team] += p->job->spec.cpus;
    gpus[p->job->team] += p->job->spec.gpus;
  }
}

int fc_quota_member(const fc_quota_record *q, const char *member) {
  for (size_t i = 0; i < q->member_count; i++)
    if (strcmp(q->members[i], member) == 0) return (int)i;
  return -1;
}

void fc_table_put_quota(fc_table *t, const fc_quota_record *q, uint64_t version) {
  bool begins = q->term != t->quota.term;
  t->quota = *q;
  t->quota_version = version;
  if (!begins) return;
  int at = q->carried ? fc_quota_member(q, t->settings->name) : -1;
  for (size_t k = 0; k < FC_TEAMS_MAX; k++) {
    t->carried_cpus[k] = at >= 0 ? q->cpus[at][k] : INFINITY;
    t->carried_gpus[k] = at >= 0 ? q->gpus[at][k] : INFINITY;
  }
}

/* In use: started in this term, or before, or feared to be. The last two together
 * were within the share that was carried over. */
static double at_most(double fresh, double old, double feared, double carried) {
  return fresh + MIN(old + feared, MAX(old, carried));
}

void fc_table_usage(const fc_table *t, double cpus[FC_TEAMS_MAX], double gpus[FC_TEAMS_MAX]) {
  fc_room fresh[FC_TEAMS_MAX] = {{0}}, old[FC_TEAMS_MAX] = {{0}}, feared = {0, 0, 0};
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, t->machines);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    const fc_machine *m = value;
    if (m->owner != t->self) continue;
    if (m->announced && m->settled_term != t->term.number) {
      fc_room whole = fc_machine_whole(t, m);
      feared.cpus += whole.cpus;
      feared.gpus += whole.gpus;
      continue;
    }
    for (guint i = 0; i < m->placements->len; i++) {
      const fc_placement *p = m->placements->pdata[i];
      if (!fc_placement_live(p) || !p->job || p->job->team < 0) continue;
      fc_room *r = &(fc_attempt_term(p->attempt) == t->term.number ? fresh : old)[p->job->team];
      r->cpus += p->job->spec.cpus;
      r->gpus += p->job->spec.gpus;
    }
  }
  for (size_t k = 0; k < t->settings->team_count; k++) {
    cpus[k] = at_most(fresh[k].cpus, old[k].cpus, feared.cpus, t->carried_cpus[k]);
    gpus[k] = at_most(fresh[k].gpus, old[k].gpus, feared.gpus, t->carried_gpus[k]);
  }
}

fc_job_status fc_job_status_of(const fc_job *j, uint32_t *running) {
  *running = 0;
  for (guint i = 0; i < j->placements->len; i++) {
    const fc_placement *p = j->placements->pdata[i];
    if (p->state == FC_TASK_RUNNING || p->state == FC_TASK_SAVING) ++*running;
  }
  if (j->phase == FC_PHASE_DONE) return FC_STATUS_DONE;
  if (j->phase == FC_PHASE_CANCELLED) return FC_STATUS_CANCELLED;
  return *running > 0 ? FC_STATUS_RUNNING : FC_STATUS_PENDING;
}

void fc_table_derive_owner(fc_table *t, fc_machine *m, double now) {
  int owner = m->version ? fc_deal_machine(&t->term, m->id, m->rec.owner) : -1;
  if (owner == m->owner) return;
  m->owner = owner;
  /* Whoever owns it now has to fence and adopt it first. */
  m->settled_term = 0;
  m->owned_since = now;
  m->shown = 0; /* nobody has seen it in a view of ours as its new owner */
  m->closed = m->remote_closed = m->remote_mute = m->releasing = false; /* said by an owner before */
  m->reported = false;
}

void fc_table_set_term(fc_table *t, const fc_term *term, uint64_t version, bool continuous, double now) {
  fc_term old = t->term;
  int old_self = t->self;
  t->term = *term;
  t->term_version = version;
  t->self = fc_term_find(term, t->settings->name);
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, t->jobs);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    fc_job *j = value;
    unsigned mine = 0;
    for (unsigned i = 0; i < j->slices; i++) mine |= (unsigned)(old_self >= 0 && fc_job_owner(j, i) == old_self) << i;
    fc_job_deal(t, j);
    /* A term we have missed may have dealt the job away and back. */
    for (unsigned i = 0; i < j->slices; i++) {
      bool kept = continuous && term->number == old.number + 1 && t->self >= 0 && (mine >> i & 1) &&
                  fc_job_owner(j, i) == t->self;
      if (!kept) j->clear &= ~(1u << i);
    }
  }
  g_hash_table_iter_init(&it, t->machines);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    fc_machine *m = value;
    /* A machine that stays with the process that has settled it needs no new
     * fence: nobody else could command it in between. That must be recorded;
     * a dealt owner may have changed and changed back. One that it has not settled
     * yet has been silent for as long as before. */
    bool ours = continuous && m->owner == old_self && old_self >= 0 && t->self >= 0 &&
                strcmp(m->rec.owner, t->settings->name) == 0;
    bool settled = ours && m->settled_term == old.number;
    m->owner = m->version ? fc_deal_machine(term, m->id, m->rec.owner) : -1;
    m->shown = 0;
    m->settled_term = settled && m->owner == t->self ? term->number : 0;
    if (ours && m->owner == t->self) continue;
    m->owned_since = now;
    m->reported = false;
    m->closed = m->remote_closed = m->remote_mute = m->releasing = false;
  }
}

bool fc_table_check_settled(fc_table *t) {
  if (t->settled_latch == t->term.number && t->term_version) return true;
  if (!t->term_version || t->self < 0) return false;
  const unsigned before = t->members_latch == t->term.number ? t->settled_members : 0;
  const unsigned everyone = (1u << t->term.count) - 1;
  unsigned unsettled = 0; /* a bit a member */
  bool all = true;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, t->machines);
  while ((all || (unsettled | before) != everyone) && g_hash_table_iter_next(&it, NULL, &value)) {
    const fc_machine *m = value;
    /* Nothing was ever started on a machine whose address is not recorded.
     * Waiting for such machines too, a fleet that keeps renting would start
     * nothing for long after every change of term: one is always booting. */
    if (!m->announced || m->settled_term == t->term.number) continue;
    all = false;
    if (m->owner >= 0) unsettled |= 1u << m->owner;
  }
  if (all) t->settled_latch = t->term.number;
  t->members_latch = t->term.number;
  t->settled_members = before | (everyone & ~unsettled);
  if (!all && t->settled_members == before) return false;
  g_hash_table_iter_init(&it, t->jobs);
  while (g_hash_table_iter_next(&it, NULL, &value)) make_clear(t, value);
  return all;
}
