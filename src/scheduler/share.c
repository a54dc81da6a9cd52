#include "scheduler/share.h"

#include <string.h>

#include "coordination/deal.h"
#include "scheduler/place.h"

typedef struct spare {
  const fc_machine *machine;
  fc_room room;
  bool claimed;
} spare;

static bool usable(const fc_table *t, const fc_machine *m, double now) {
  if (!m->announced || m->owner < 0 || m->type < 0 || m->settled_term != t->term.number) return false;
  if (m->closed || m->remote_closed || m->notice_until || m->writing) return false;
  return m->owner != t->self || fc_machine_in_touch(t, m, now);
}

static gint by_id(gconstpointer a, gconstpointer b) {
  return strcmp(((const spare *)a)->machine->id, ((const spare *)b)->machine->id);
}

/* Every usable machine with its room, in order of names: all members look at
 * them in the same order. */
static GArray *spares(const fc_table *t, double now) {
  GArray *out = g_array_new(FALSE, TRUE, sizeof(spare));
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, t->machines);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    fc_machine *m = value;
    if (!usable(t, m, now)) continue;
    spare s = {.machine = m, .room = fc_machine_room(t, m)};
    g_array_append_val(out, s);
  }
  g_array_sort(out, by_id);
  return out;
}

/* Is there any room in other parts? In a long queue mostly not. */
static bool room_elsewhere(const fc_table *t, const GArray *room) {
  for (guint i = 0; i < room->len; i++) {
    const spare *s = &g_array_index(room, spare, i);
    const fc_machine_type *mt = t->types->pdata[s->machine->type];
    bool some = s->room.cpus > 0 && s->room.memory_gb > 0 && (mt->gpus <= 0 || s->room.gpus > 0);
    if (s->machine->owner != t->self && some) return true;
  }
  return false;
}

static bool fits(const spare *s, const fc_job *j, int owner, const char *zone) {
  const fc_machine *m = s->machine;
  if (m->owner != owner || (zone && strcmp(zone, m->rec.zone) != 0)) return false;
  if (j->failed_on && g_hash_table_contains(j->failed_on, m->id)) return false;
  return fc_room_fits(&s->room, &j->spec) && fc_job_allows(&j->spec, m->rec.type, m->rec.zone, m->rec.spot);
}

static bool holds(const fc_table *t, int member, const fc_job_spec *spec) {
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, t->machines);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    const fc_machine *m = value;
    if (m->owner != member || !m->version || m->type < 0 || m->closed || m->remote_closed) continue;
    const fc_machine_type *mt = t->types->pdata[m->type];
    fc_room whole = {mt->cpus, mt->gpus, mt->memory_gb};
    if (fc_room_fits(&whole, spec) && fc_job_allows(spec, m->rec.type, m->rec.zone, m->rec.spot)) return true;
  }
  return false;
}

void fc_share_deal(const fc_table *t, const bool *fit, const fc_job_spec *spec, unsigned slices, char **handed) {
  fc_term good = t->term, able = t->term;
  good.count = able.count = 0;
  for (size_t i = 0; i < t->term.count; i++) {
    if (!fit[i]) continue;
    able.members[able.count++] = t->term.members[i];
    if (holds(t, (int)i, spec)) good.members[good.count++] = t->term.members[i];
  }
  /* Where nobody holds any yet, one will be rented: as dealt among the able. */
  const fc_term *among = good.count > 0 ? &good : &able;
  for (unsigned i = 0; i < slices && among->count > 0; i++) {
    int owner = fc_deal_job(&t->term, spec->id, i, slices, NULL);
    if (owner < 0 || fc_term_find(among, t->term.members[owner].name) >= 0) continue;
    int to = fc_deal_job(among, spec->id, i, slices, NULL);
    handed[i] = (char *)t->term.members[fc_term_find(&t->term, among->members[to].name)].name;
  }
}

/* How many of `want` tasks the member's spare room holds; takes them when asked. */
static unsigned hold(GArray *room, const fc_job *j, int owner, const char *zone, unsigned want, bool take) {
  unsigned n = 0;
  for (guint i = 0; i < room->len && n < want; i++) {
    spare *s = &g_array_index(room, spare, i);
    if (!fc_job_zone_open(j, s->machine->rec.zone)) continue;
    fc_room before = s->room;
    while (n < want && fits(s, j, owner, zone)) {
      fc_room_take(&s->room, &j->spec);
      n++;
    }
    if (!take) s->room = before;
  }
  return n;
}

static unsigned hold_job(GArray *room, const fc_table *t, const fc_job *j, int owner, unsigned want, bool take) {
  if (!j->spec.one_zone) return hold(room, j, owner, NULL, want, take);
  unsigned best = 0;
  const char *zone = NULL;
  for (size_t z = 0; z < t->settings->zone_count; z++) {
    unsigned n = hold(room, j, owner, t->settings->zones[z], want, false);
    if (n <= best) continue;
    best = n;
    zone = t->settings->zones[z];
  }
  if (take && zone) (void)hold(room, j, owner, zone, want, true);
  return best;
}

static unsigned missing_of(const fc_table *t, const fc_job *j, int member, unsigned slice) {
  if (j->done_count + j->placements->len >= j->spec.tasks) return 0;
  GArray *missing = fc_job_missing(t, j, member, 256);
  unsigned n = 0;
  for (guint i = 0; i < missing->len; i++) n += fc_job_slice_of(j, g_array_index(missing, uint32_t, i)) == slice;
  g_array_free(missing, TRUE);
  return n;
}

/* Does `to` know of everything of the slice that may be on a machine? */
static bool knows(const fc_table *t, const fc_told *told, const fc_job *j, unsigned slice, int to) {
  for (guint i = 0; i < j->placements->len; i++) {
    const fc_placement *p = j->placements->pdata[i];
    if (p->index >= j->spec.tasks || fc_job_slice_of(j, p->index) != slice) continue;
    if (j->spec.kind == FC_KIND_GANG) return false;
    if (p->machine->owner != t->self || told->view[to] < p->told || told->revision[to] < p->machine->version)
      return false;
  }
  return true;
}

GArray *fc_share_handovers(const fc_table *t, const fc_told *told, double now) {
  GArray *out = g_array_new(FALSE, TRUE, sizeof(fc_handover));
  if (t->self < 0 || t->term.count < 2) return out;
  GArray *room = spares(t, now);
  if (!room_elsewhere(t, room)) {
    g_array_free(room, TRUE);
    return out;
  }
  GPtrArray *jobs = fc_jobs_open(t);
  /* Every part's own queue goes first. `here`: a bit for each slice of ours that
   * finds room in our own part, and so stays. */
  unsigned *here = g_new0(unsigned, jobs->len + 1);
  for (guint i = 0; i < jobs->len; i++) {
    fc_job *j = jobs->pdata[i];
    for (unsigned s = 0; s < j->slices; s++) {
      int owner = fc_job_owner(t, j, s);
      if (owner < 0) continue;
      unsigned n = hold_job(room, t, j, owner, missing_of(t, j, owner, s), true);
      if (owner == t->self && n > 0) here[i] |= 1u << s;
    }
  }
  for (guint i = 0; i < jobs->len; i++) {
    fc_job *j = jobs->pdata[i];
    /* Where all parts are full, a job would go round and round. */
    double pause = t->settings->op.round_s * (1 + MIN(j->handed_count, 7));
    if (now < j->seen_at + t->settings->op.handover_wait_s || now < j->handed_at + pause) continue;
    if (j->handing || now < j->blocked_until) continue;
    for (unsigned s = 0; s < j->slices; s++) {
      if (fc_job_owner(t, j, s) != t->self || !(j->clear >> s & 1)) continue;
      unsigned want = missing_of(t, j, t->self, s);
      if (want == 0 || (here[i] >> s & 1)) continue;
      int best = -1;
      unsigned best_n = 0;
      for (int m = 0; m < (int)t->term.count; m++) {
        if (m == t->self || !told->fit[m] || !knows(t, told, j, s, m)) continue;
        unsigned n = hold_job(room, t, j, m, want, false);
        if (j->spec.kind == FC_KIND_GANG && n < want) continue;
        if (n <= best_n) continue;
        best_n = n;
        best = m;
      }
      if (best < 0) continue;
      (void)hold_job(room, t, j, best, want, true);
      fc_handover h = {.job = j, .slice = s, .to = best};
      g_array_append_val(out, h);
    }
  }
  g_free(here);
  g_ptr_array_free(jobs, TRUE);
  g_array_free(room, TRUE);
  return out;
}

static bool is_idle(const fc_machine *m) {
  return m->placements->len == 0;
}

bool fc_share_clearable(const fc_placement *p, const fc_job *gang) {
  return p->job && p->job->spec.kind == FC_KIND_ARRAY && p->job->spec.rank < gang->spec.rank;
}

/* The machine's room once arrays of lower rank than the gang have been stopped;
 * *all: nothing else is on it. */
static fc_room cleared_room(const spare *s, const fc_job *gang, bool *all) {
  fc_room r = s->room;
  *all = true;
  for (guint i = 0; i < s->machine->placements->len; i++) {
    const fc_placement *p = s->machine->placements->pdata[i];
    if (p->state == FC_TASK_EXITED) continue;
    if (!fc_share_clearable(p, gang)) {
      *all = false;
      continue;
    }
    r.cpus += p->job->spec.cpus;
    r.gpus += p->job->spec.gpus;
    r.memory_gb += p->job->spec.memory_gb;
  }
  return r;
}

/* What the gang may use of this machine: its owner any room, others only whole
 * machines; with `clear`, also what can be cleared. */
static bool gang_use(const spare *s, const fc_job *j, int owner, const char *zone, bool clear, fc_room *room) {
  const fc_machine *m = s->machine;
  if (s->claimed || (zone && strcmp(zone, m->rec.zone) != 0)) return false;
  if (j->failed_on && g_hash_table_contains(j->failed_on, m->id)) return false;
  if (!fc_job_allows(&j->spec, m->rec.type, m->rec.zone, m->rec.spot)) return false;
  bool all = is_idle(m);
  *room = s->room;
  if (clear) *room = cleared_room(s, j, &all);
  return (m->owner == owner || all) && fc_room_fits(room, &j->spec);
}

static unsigned gang_room(const GArray *room, const fc_job *j, int owner, const char *zone, bool clear, unsigned want,
                          unsigned *own) {
  unsigned n = 0;
  *own = 0;
  for (guint i = 0; i < room->len; i++) {
    const spare *s = &g_array_index(room, spare, i);
    fc_room r;
    if (!gang_use(s, j, owner, zone, clear, &r)) continue;
    while (n < want && fc_room_fits(&r, &j->spec)) {
      fc_room_take(&r, &j->spec);
      n++;
      *own += s->machine->owner == owner;
    }
  }
  return n;
}

static bool find_zone(const fc_table *t, const GArray *room, const fc_job *j, int owner, bool clear, unsigned want,
                      const char **best, unsigned *best_own) {
  bool found = false;
  size_t zones = j->spec.one_zone ? t->settings->zone_count : 1;
  for (size_t z = 0; z < zones; z++) {
    const char *zone = j->spec.one_zone ? t->settings->zones[z] : NULL;
    unsigned own;
    if (gang_room(room, j, owner, zone, clear, want, &own) < want || (found && own <= *best_own)) continue;
    found = true;
    *best = zone;
    *best_own = own;
  }
  return found;
}

static void lend_to_gang(const fc_table *t, GArray *room, fc_job *j, double now, GArray *out) {
  int owner = fc_job_owner(t, j, 0);
  unsigned want = j->spec.tasks - j->done_count;
  const char *zone = NULL;
  unsigned own = 0;
  bool clear = false;
  if (!find_zone(t, room, j, owner, false, want, &zone, &own)) {
    clear = true;
    if (now < j->seen_at + 2 * t->settings->op.round_s) return;
    if (!find_zone(t, room, j, owner, true, want, &zone, &own)) return;
  } else if (own >= want) {
    return; /* its owner places it alone */
  }
  /* The owner's own machines first, then idle ones, then what has to be cleared:
   * all members make the same choice from what they know. */
  unsigned got = 0;
  for (int pass = 0; pass < 4 && got < want; pass++) {
    bool of_owner = pass == 0 || pass == 2, clearing = pass >= 2;
    if (clearing && !clear) break;
    for (guint i = 0; i < room->len && got < want; i++) {
      spare *s = &g_array_index(room, spare, i);
      fc_machine *m = (fc_machine *)s->machine;
      fc_room r;
      if ((m->owner == owner) != of_owner || !gang_use(s, j, owner, zone, clearing, &r)) continue;
      s->claimed = true;
      while (got < want && fc_room_fits(&r, &j->spec)) {
        fc_room_take(&r, &j->spec);
        got++;
      }
      if (m->owner != t->self || (of_owner && !clearing)) continue;
      fc_loan l = {.machine = m, .to = owner, .gang = j, .clear = clearing};
      g_array_append_val(out, l);
    }
  }
}

GArray *fc_share_loans(const fc_table *t, const fc_told *told, double now) {
  GArray *out = g_array_new(FALSE, TRUE, sizeof(fc_loan));
  if (t->self < 0 || t->term.count < 2) return out;
  GArray *room = spares(t, now);
  GPtrArray *jobs = fc_jobs_open(t);
  g_ptr_array_sort(jobs, fc_job_by_rank_and_id);
  const fc_job *turn[FC_TEAMS_MAX];
  fc_gang_turns(t, turn);
  for (guint i = 0; i < jobs->len; i++) {
    fc_job *j = jobs->pdata[i];
    if (j->spec.kind != FC_KIND_GANG || j->placements->len > 0) continue;
    if (now < j->seen_at + t->settings->op.handover_wait_s) continue;
    if (fc_gang_before(t, turn[j->team], j, now)) continue;
    int owner = fc_job_owner(t, j, 0);
    if (owner >= 0 && (owner == t->self || told->fit[owner])) lend_to_gang(t, room, j, now, out);
  }
  g_ptr_array_free(jobs, TRUE);
  g_array_free(room, TRUE);
  return out;
}
