#include "scheduler/share.h"

#include <string.h>

#include "bookkeeping/pipeline.h"
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

/* Machines with room for some of the jobs; the rest need not be looked at again and
 * again: in a long queue mostly all are full. True: some are in other parts. */
static bool keep_roomy(const fc_table *t, GArray *room, const fc_job_spec *least) {
  guint kept = 0;
  bool elsewhere = false;
  for (guint i = 0; i < room->len; i++) {
    const spare s = g_array_index(room, spare, i);
    if (!fc_room_fits(&s.room, least)) continue;
    g_array_index(room, spare, kept++) = s;
    elsewhere |= s.machine->owner != t->self;
  }
  g_array_set_size(room, kept);
  return elsewhere;
}

/* Jobs with a task of any part that is nowhere. */
static GPtrArray *waiting_jobs(const fc_table *t) {
  GPtrArray *jobs = fc_jobs_open(t);
  guint kept = 0;
  for (guint i = 0; i < jobs->len; i++)
    if (fc_job_waits(jobs->pdata[i], -1)) jobs->pdata[kept++] = jobs->pdata[i];
  g_ptr_array_set_size(jobs, (gint)kept);
  return jobs;
}

static bool fits(const spare *s, const fc_job *j, int owner, unsigned zone) {
  const fc_machine *m = s->machine;
  if (m->owner != owner || (zone != FC_ANY_ZONE && m->zone != zone)) return false;
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
static unsigned hold(GArray *room, const fc_job *j, int owner, unsigned zone, unsigned want, bool take) {
  unsigned n = 0;
  if (want == 0) return 0;
  const fc_spread spread = fc_job_spread(j);
  for (guint i = 0; i < room->len && n < want; i++) {
    spare *s = &g_array_index(room, spare, i);
    if (!fits(s, j, owner, zone) || !fc_spread_open(&spread, &j->spec, s->machine->zone)) continue;
    fc_room before = s->room;
    while (n < want && fc_room_fits(&s->room, &j->spec)) {
      fc_room_take(&s->room, &j->spec);
      n++;
    }
    if (!take) s->room = before;
  }
  return n;
}

static unsigned hold_job(GArray *room, const fc_table *t, const fc_job *j, int owner, unsigned want, bool take) {
  if (!j->spec.one_zone) return hold(room, j, owner, FC_ANY_ZONE, want, take);
  unsigned best = 0, zone = FC_ANY_ZONE;
  for (unsigned z = 0; z < t->settings->zone_count; z++) {
    unsigned n = hold(room, j, owner, z, want, false);
    if (n <= best) continue;
    best = n;
    zone = z;
  }
  if (take && zone != FC_ANY_ZONE) (void)hold(room, j, owner, zone, want, true);
  return best;
}

/* Missing tasks by slice. */
static void missing_by_slice(const fc_job *j, unsigned want[FC_SLICES_MAX]) {
  memset(want, 0, FC_SLICES_MAX * sizeof want[0]);
  GArray *missing = fc_job_missing(j, -1, FC_MISSING_MOST);
  for (guint i = 0; i < missing->len; i++) want[fc_job_slice_of(j, g_array_index(missing, uint32_t, i))]++;
  g_array_free(missing, TRUE);
}

typedef enum { KNOWS_NOT, KNOWS_ONCE_SETTLED, KNOWS_ALL } knowledge;

/* Does `to` know of everything of the slice that may be on a machine? After a change of
 * term some of a job may be on machines of others; if that kept it from being handed
 * over, a replica lost or never started waited beside room for as long as its mate ran
 * (scene ten_in_two_minutes). What is on a machine of `to` it has told us itself. What
 * is older than the term and on a third's machine it sees before that machine is
 * settled for it; only what was started there in this term could be told too late. */
static knowledge knows(const fc_table *t, const fc_told *told, const fc_job *j, unsigned slice, int to) {
  knowledge least = KNOWS_ALL;
  for (guint i = 0; i < j->placements->len; i++) {
    const fc_placement *p = j->placements->pdata[i];
    const fc_machine *m = p->machine;
    if (p->index >= j->spec.tasks || fc_job_slice_of(j, p->index) != slice) continue;
    if (j->spec.kind == FC_KIND_GANG) return KNOWS_NOT;
    /* Nobody takes our word of a machine of ours either while it isn't settled: views of
     * this term show it as unsettled, though what is on it was told in an earlier one. A
     * slice was handed over and started again (fault test with meetings, seed 566). */
    if (m->settled_term != t->term.number) return KNOWS_NOT;
    if (m->owner == t->self) {
      if (told->view[to] < p->told || told->revision[to] < m->version) return KNOWS_NOT;
      continue;
    }
    if (m->owner == to) continue;
    if (fc_attempt_term(p->attempt) >= t->term.number) return KNOWS_NOT;
    least = KNOWS_ONCE_SETTLED;
  }
  return least;
}

/* A bit for each member on whose machines tasks of the slice are. */
static unsigned homes_of(const fc_job *j, unsigned slice) {
  unsigned homes = 0;
  for (guint i = 0; i < j->placements->len; i++) {
    const fc_placement *p = j->placements->pdata[i];
    if (p->index >= j->spec.tasks || fc_job_slice_of(j, p->index) != slice || p->machine->owner < 0) continue;
    homes |= 1u << p->machine->owner;
  }
  return homes;
}

/* A queued job: what is missing of each of its slices, and which of ours find room
 * in our own part, and so stay. */
typedef struct queued {
  fc_job *job;
  unsigned want[FC_SLICES_MAX];
  unsigned here;
} queued;

typedef struct team_use {
  double cpus[FC_TEAMS_MAX], gpus[FC_TEAMS_MAX];
} team_use;

static void use_of_teams(const fc_table *t, team_use *out) {
  memset(out, 0, sizeof *out);
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, t->machines);
  while (g_hash_table_iter_next(&it, NULL, &value)) fc_machine_use(value, out->cpus, out->gpus);
}

/* How many of `want` tasks its team's limit leaves room for. */
static unsigned within_limit(const fc_table *t, const team_use *u, const fc_job *j, unsigned want) {
  if (j->team < 0) return want;
  const fc_team_settings *ts = &t->settings->teams[j->team];
  unsigned n = 0;
  while (n < want &&
         fc_team_within(ts, u->cpus[j->team] + (n + 1) * j->spec.cpus, u->gpus[j->team] + (n + 1) * j->spec.gpus))
    n++;
  return n;
}

/* Every part's own queue goes first. */
static GArray *own_first(const fc_table *t, GArray *room, const GPtrArray *jobs) {
  GArray *queue = g_array_sized_new(FALSE, TRUE, sizeof(queued), jobs->len);
  team_use use;
  use_of_teams(t, &use);
  for (guint i = 0; i < jobs->len; i++) {
    queued q = {.job = jobs->pdata[i]};
    missing_by_slice(q.job, q.want);
    for (unsigned s = 0; s < q.job->slices; s++) {
      int owner = fc_job_owner(q.job, s);
      if (owner < 0) continue;
      /* What waits for its team's limit claims no room: beside it others' jobs waited
       * for minutes at full parts (days with meetings, seed 6038). */
      unsigned most = within_limit(t, &use, q.job, q.want[s]);
      unsigned n = hold_job(room, t, q.job, owner, most, true);
      if (q.job->team >= 0) {
        use.cpus[q.job->team] += n * q.job->spec.cpus;
        use.gpus[q.job->team] += n * q.job->spec.gpus;
      }
      /* Nor does it gain anything elsewhere. */
      if (owner == t->self && (n > 0 || (most == 0 && q.want[s] > 0))) q.here |= 1u << s;
    }
    g_array_append_val(queue, q);
  }
  return queue;
}

/* The member that holds most of the slice; -1: nobody, or nobody who may have it. */
static int best_holder(const fc_table *t, const fc_told *told, GArray *room, const fc_job *j, unsigned slice,
                       unsigned want) {
  int best = -1;
  unsigned best_n = 0;
  for (int m = 0; m < (int)t->term.count; m++) {
    if (m == t->self || !told->fit[m] || knows(t, told, j, slice, m) == KNOWS_NOT) continue;
    unsigned n = hold_job(room, t, j, m, want, false);
    if (j->spec.kind == FC_KIND_GANG && n < want) continue;
    if (n <= best_n) continue;
    best_n = n;
    best = m;
  }
  return best;
}

/* The slices of the job that are ours, known in full, and fit only elsewhere. */
static void hand_over_slices(const fc_table *t, const fc_told *told, GArray *room, const queued *q, GArray *out) {
  fc_job *j = q->job;
  for (unsigned s = 0; s < j->slices; s++) {
    if (fc_job_owner(j, s) != t->self || !(j->clear >> s & 1)) continue;
    if (q->want[s] == 0 || (q->here >> s & 1)) continue;
    int to = best_holder(t, told, room, j, s, q->want[s]);
    if (to < 0) continue;
    (void)hold_job(room, t, j, to, q->want[s], true);
    fc_handover h = {.job = j, .slice = s, .to = to, .homes = homes_of(j, s) | 1u << to};
    h.unseen = knows(t, told, j, s, to) != KNOWS_ALL;
    g_array_append_val(out, h);
  }
}

GArray *fc_share_handovers(const fc_table *t, const fc_told *told, double now) {
  GArray *out = g_array_new(FALSE, TRUE, sizeof(fc_handover));
  if (t->self < 0 || t->term.count < 2) return out;
  GArray *room = spares(t, now);
  GPtrArray *jobs = waiting_jobs(t);
  const fc_job_spec least = fc_least_of(jobs);
  GArray *queue = keep_roomy(t, room, &least) ? own_first(t, room, jobs) : NULL;
  for (guint i = 0; queue && i < queue->len && keep_roomy(t, room, &least); i++) {
    const queued *q = &g_array_index(queue, queued, i);
    const fc_job *j = q->job;
    /* Where all parts are full, a job would go round and round. */
    double pause = t->settings->op.round_s * (1 + MIN(j->handed_count, 7));
    if (now < j->queued_at + t->settings->op.handover_wait_s || now < j->handed_at + pause) continue;
    if (!j->handing && now >= j->blocked_until) hand_over_slices(t, told, room, q, out);
  }
  if (queue) g_array_free(queue, TRUE);
  g_ptr_array_free(jobs, TRUE);
  g_array_free(room, TRUE);
  return out;
}

static bool is_idle(const fc_machine *m) {
  return m->placements->len == 0;
}

bool fc_share_clearable(const fc_placement *p, const fc_job *gang) {
  return p->job && p->job->spec.kind == FC_KIND_ARRAY && p->job->rank < gang->rank;
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
    fc_room_give(&r, &p->job->spec);
  }
  return r;
}

/* What the gang may use of this machine: its owner any room, others only whole
 * machines; with `clear`, also what can be cleared. */
static bool gang_use(const spare *s, const fc_job *j, int owner, unsigned zone, bool clear, fc_room *room) {
  const fc_machine *m = s->machine;
  if (s->claimed || (zone != FC_ANY_ZONE && m->zone != zone)) return false;
  if (j->failed_on && g_hash_table_contains(j->failed_on, m->id)) return false;
  if (!fc_job_allows(&j->spec, m->rec.type, m->rec.zone, m->rec.spot)) return false;
  bool all = is_idle(m);
  *room = s->room;
  if (clear) *room = cleared_room(s, j, &all);
  return (m->owner == owner || all) && fc_room_fits(room, &j->spec);
}

static unsigned gang_room(const GArray *room, const fc_job *j, int owner, unsigned zone, bool clear, unsigned want,
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
                      unsigned *best, unsigned *best_own) {
  bool found = false;
  size_t zones = j->spec.one_zone ? t->settings->zone_count : 1;
  for (unsigned z = 0; z < zones; z++) {
    unsigned zone = j->spec.one_zone ? z : FC_ANY_ZONE;
    unsigned own;
    if (gang_room(room, j, owner, zone, clear, want, &own) < want || (found && own <= *best_own)) continue;
    found = true;
    *best = zone;
    *best_own = own;
  }
  return found;
}

/* What a gang still needs, and where. */
typedef struct gang_need {
  fc_job *job;
  int owner;     /* member */
  unsigned zone; /* or FC_ANY_ZONE */
  unsigned left; /* tasks that have no room yet */
} gang_need;

/* Takes room on machines of the owner or of others, with or without stopping what is on
 * them; ours among them become loans. */
static void lend_pass(const fc_table *t, GArray *room, gang_need *g, bool of_owner, bool clearing, GArray *out) {
  for (guint i = 0; i < room->len && g->left > 0; i++) {
    spare *s = &g_array_index(room, spare, i);
    fc_machine *m = (fc_machine *)s->machine;
    fc_room r;
    if ((m->owner == g->owner) != of_owner || !gang_use(s, g->job, g->owner, g->zone, clearing, &r)) continue;
    s->claimed = true;
    while (g->left > 0 && fc_room_fits(&r, &g->job->spec)) {
      fc_room_take(&r, &g->job->spec);
      g->left--;
    }
    if (m->owner != t->self || (of_owner && !clearing)) continue;
    fc_loan l = {.machine = m, .to = g->owner, .gang = g->job, .clear = clearing};
    g_array_append_val(out, l);
  }
}

static void lend_to_gang(const fc_table *t, GArray *room, fc_job *j, double now, GArray *out) {
  gang_need g = {.job = j, .owner = fc_job_owner(j, 0), .zone = FC_ANY_ZONE, .left = j->spec.tasks - j->done_count};
  unsigned own = 0;
  bool clear = !find_zone(t, room, j, g.owner, false, g.left, &g.zone, &own);
  if (clear) {
    if (now < j->queued_at + 2 * t->settings->op.round_s) return;
    if (!find_zone(t, room, j, g.owner, true, g.left, &g.zone, &own)) return;
  } else if (own >= g.left) {
    return; /* its owner places it alone */
  }
  /* The owner's own machines first, then idle ones, then what has to be cleared:
   * all members make the same choice from what they know. */
  for (int pass = 0; pass < (clear ? 4 : 2); pass++) lend_pass(t, room, &g, pass % 2 == 0, pass >= 2, out);
}

/* Gangs that have waited for a hand-over in vain, in an order that is the same on
 * every member. */
static GPtrArray *waiting_gangs(const fc_table *t, double now) {
  GPtrArray *jobs = g_ptr_array_new();
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, t->jobs);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    fc_job *j = value;
    if (j->spec.kind != FC_KIND_GANG || !fc_job_runnable(j) || j->team < 0) continue;
    if (j->placements->len > 0 || j->done_count == j->spec.tasks) continue;
    if (now >= j->queued_at + t->settings->op.handover_wait_s) g_ptr_array_add(jobs, j);
  }
  g_ptr_array_sort(jobs, fc_job_by_rank_and_id);
  return jobs;
}

GArray *fc_share_loans(const fc_table *t, const fc_told *told, double now) {
  GArray *out = g_array_new(FALSE, TRUE, sizeof(fc_loan));
  if (t->self < 0 || t->term.count < 2) return out;
  GPtrArray *jobs = waiting_gangs(t, now);
  if (jobs->len == 0) {
    g_ptr_array_free(jobs, TRUE);
    return out;
  }
  GArray *room = spares(t, now);
  const fc_job *turn[FC_TEAMS_MAX];
  fc_gang_turns(t, turn);
  for (guint i = 0; i < jobs->len; i++) {
    fc_job *j = jobs->pdata[i];
    if (fc_gang_before(t, turn[j->team], j, now)) continue;
    int owner = fc_job_owner(j, 0);
    if (owner >= 0 && (owner == t->self || told->fit[owner])) lend_to_gang(t, room, j, now, out);
  }
  g_ptr_array_free(jobs, TRUE);
  g_array_free(room, TRUE);
  return out;
}
