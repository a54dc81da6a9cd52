#include "scheduler/place.h"

#include <math.h>
#include <string.h>

typedef struct slot {
  fc_machine *machine;
  const fc_machine_type *type;
  fc_room room;
  GHashTable *planned_images; /* images that tasks of this round bring along */
} slot;

typedef struct candidate {
  fc_job *job;
  GArray *missing; /* uint32_t */
  guint next;
} candidate;

typedef struct round_state {
  const fc_table *table;
  double now;
  GArray *slots;
  GPtrArray *jobs; /* candidate */
  fc_allowance allow;
  const fc_job *turn[FC_TEAMS_MAX];
  double used_cpus[FC_TEAMS_MAX], used_gpus[FC_TEAMS_MAX]; /* everywhere */
  GArray *out;
} round_state;

bool fc_machine_usable(const fc_table *t, const fc_machine *m, double now) {
  if (t->self < 0 || m->owner != t->self || !m->announced || m->settled_term != t->term.number) return false;
  if (m->closed || m->writing || m->type < 0 || m->notice_until) return false;
  return fc_machine_in_touch(t, m, now);
}

bool fc_job_placeable(const fc_table *t, const fc_job *j, double now) {
  return j->phase == FC_PHASE_ACCEPTED && j->clear && j->team >= 0 && now >= j->blocked_until && t->self >= 0 &&
         fc_job_owned(t, j, t->self);
}

gint fc_job_by_importance(gconstpointer a, gconstpointer b) {
  const fc_job *x = *(const fc_job *const *)a, *y = *(const fc_job *const *)b;
  if (x->spec.rank != y->spec.rank) return x->spec.rank > y->spec.rank ? -1 : 1;
  return x->serial < y->serial ? -1 : x->serial > y->serial;
}

GPtrArray *fc_jobs_open(const fc_table *t) {
  GPtrArray *out = g_ptr_array_new();
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, t->jobs);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    fc_job *j = value;
    if (j->phase == FC_PHASE_ACCEPTED && j->team >= 0 && j->done_count < j->spec.tasks) g_ptr_array_add(out, j);
  }
  g_ptr_array_sort(out, fc_job_by_importance);
  return out;
}

/* The rules, given how many tasks are in the zone and in all. */
static bool zone_rules(const fc_job_spec *s, unsigned here, unsigned all) {
  if (s->one_zone && all != here) return false;
  return !s->spread || here + 1 <= (s->tasks + 1) / 2;
}

bool fc_job_zone_open(const fc_job *j, const char *zone) {
  unsigned here = 0, all = 0;
  for (guint i = 0; i < j->placements->len; i++) {
    const fc_placement *p = j->placements->pdata[i];
    if (!fc_placement_live(p)) continue;
    all++;
    here += strcmp(p->machine->rec.zone, zone) == 0;
  }
  return zone_rules(&j->spec, here, all);
}

gint fc_job_by_rank_and_id(gconstpointer a, gconstpointer b) {
  const fc_job *x = *(const fc_job *const *)a, *y = *(const fc_job *const *)b;
  if (x->spec.rank != y->spec.rank) return x->spec.rank > y->spec.rank ? -1 : 1;
  return strcmp(x->spec.id, y->spec.id);
}

static bool gang_waits(const fc_job *j) {
  return j->spec.kind == FC_KIND_GANG && j->phase == FC_PHASE_ACCEPTED && j->placements->len == 0 &&
         j->done_count < j->spec.tasks;
}

/* What of the team's use can't be stopped for a gang of the rank. */
static fc_room fixed_use(const fc_table *t, int team, fc_rank rank) {
  fc_room use = {0, 0, 0};
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, t->jobs);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    const fc_job *j = value;
    if (j->team != team || (j->spec.kind == FC_KIND_ARRAY && j->spec.rank < rank)) continue;
    unsigned n = 0;
    for (guint i = 0; i < j->placements->len; i++) n += fc_placement_live(j->placements->pdata[i]);
    use.cpus += j->spec.cpus * n;
    use.gpus += j->spec.gpus * n;
  }
  return use;
}

bool fc_team_within(const fc_team_settings *ts, double cpus, double gpus) {
  const double slack = 1e-6;
  return (ts->cpus_max <= 0 || cpus <= ts->cpus_max + slack) && (ts->gpus_max <= 0 || gpus <= ts->gpus_max + slack);
}

void fc_gang_turns(const fc_table *t, const fc_job **turn) {
  for (size_t k = 0; k < t->settings->team_count; k++) turn[k] = NULL;
  GPtrArray *gangs = g_ptr_array_new();
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, t->jobs);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    const fc_job *j = value;
    if (j->team < 0 || !gang_waits(j)) continue;
    const fc_team_settings *ts = &t->settings->teams[j->team];
    if (ts->cpus_max > 0 || ts->gpus_max > 0) g_ptr_array_add(gangs, (gpointer)j);
  }
  g_ptr_array_sort(gangs, fc_job_by_rank_and_id);
  for (guint i = 0; i < gangs->len; i++) {
    const fc_job *j = gangs->pdata[i];
    if (turn[j->team]) continue;
    fc_room use = fixed_use(t, j->team, j->spec.rank);
    double n = j->spec.tasks;
    if (fc_team_within(&t->settings->teams[j->team], use.cpus + n * j->spec.cpus, use.gpus + n * j->spec.gpus))
      turn[j->team] = j;
  }
  g_ptr_array_free(gangs, TRUE);
}

bool fc_gang_before(const fc_table *t, const fc_job *gang, const fc_job *j, double now) {
  if (!gang || j == gang || j->team != gang->team) return false;
  if (j->spec.kind == FC_KIND_GANG) return true;
  return j->spec.kind == FC_KIND_ARRAY && j->spec.rank < gang->spec.rank &&
         now > gang->seen_at + t->settings->op.handover_wait_s;
}

GArray *fc_job_missing(const fc_table *t, const fc_job *j, int member, guint most) {
  GArray *out = g_array_new(FALSE, FALSE, sizeof(uint32_t));
  size_t bytes = (j->spec.tasks + 7) / 8;
  uint8_t *taken = g_malloc(bytes);
  memcpy(taken, j->done, bytes);
  for (guint i = 0; i < j->placements->len; i++) {
    const fc_placement *p = j->placements->pdata[i];
    /* An exited task that did not finish is gone; any other may be there. */
    if (p->state == FC_TASK_EXITED && p->cause != FC_CAUSE_DONE) continue;
    if (p->index < j->spec.tasks) taken[p->index / 8] |= (uint8_t)(1u << (p->index % 8));
  }
  unsigned wanted = 0;
  for (unsigned s = 0; s < j->slices; s++)
    if (member < 0 || fc_job_owner(t, j, s) == member) wanted |= 1u << s;
  for (uint32_t i = 0; i < j->spec.tasks && out->len < most; i++)
    if (!(taken[i / 8] >> (i % 8) & 1) && (wanted >> fc_job_slice_of(j, i) & 1)) g_array_append_val(out, i);
  g_free(taken);
  return out;
}

static void candidate_free(gpointer p) {
  candidate *c = p;
  g_array_free(c->missing, TRUE);
  g_free(c);
}

static void slot_clear(gpointer p) {
  slot *s = p;
  if (s->planned_images) g_hash_table_destroy(s->planned_images);
}

/* Any live task of the job, as the rules about zones count them. */
static unsigned live_in_zone(const fc_job *j, const char *zone, const GArray *planned) {
  unsigned n = 0;
  for (guint i = 0; i < j->placements->len; i++) {
    const fc_placement *p = j->placements->pdata[i];
    if (fc_placement_live(p) && (!zone || strcmp(p->machine->rec.zone, zone) == 0)) n++;
  }
  for (guint i = 0; i < planned->len; i++) {
    const fc_decision *d = &g_array_index(planned, fc_decision, i);
    if (d->job == j && (!zone || strcmp(d->machine->rec.zone, zone) == 0)) n++;
  }
  return n;
}

static bool zone_allowed(const round_state *rs, const fc_job *j, const char *zone) {
  return zone_rules(&j->spec, live_in_zone(j, zone, rs->out), live_in_zone(j, NULL, rs->out));
}

/* Image holder first, else the roomiest in the allowed zones. */
static slot *choose(const round_state *rs, const fc_job *j, const char *only_zone) {
  const fc_job_spec *s = &j->spec;
  slot *best = NULL;
  bool best_image = false;
  double best_room = -1;
  for (guint i = 0; i < rs->slots->len; i++) {
    slot *sl = &g_array_index(rs->slots, slot, i);
    const fc_machine *m = sl->machine;
    if (only_zone && strcmp(m->rec.zone, only_zone) != 0) continue;
    if (!fc_room_fits(&sl->room, s) || !fc_job_allows(s, m->rec.type, m->rec.zone, m->rec.spot)) continue;
    if (j->failed_on && g_hash_table_contains(j->failed_on, m->id)) continue;
    if (rs->now < m->reserved_until && strcmp(m->reserved_for, s->id) != 0) continue;
    if (!zone_allowed(rs, j, m->rec.zone)) continue;
    bool image = fc_machine_has_image(m, s->image) ||
                 (sl->planned_images && g_hash_table_contains(sl->planned_images, s->image));
    double room = (sl->type->gpus > 0 ? sl->room.gpus / sl->type->gpus : 0) +
                  (sl->type->cpus > 0 ? sl->room.cpus / sl->type->cpus : 0);
    /* Among machines that are equal otherwise by the rule, a job that may use
     * cheap ones leaves the ordinary ones to jobs that may not. */
    bool cheap = m->rec.spot;
    bool better = !best || (image && !best_image);
    if (best && image == best_image) {
      bool best_cheap = best->machine->rec.spot;
      better = cheap != best_cheap ? cheap : room > best_room + 1e-9;
    }
    if (better) {
      best = sl;
      best_image = image;
      best_room = room;
    }
  }
  return best;
}

static void take(round_state *rs, slot *sl, fc_job *j, uint32_t index) {
  fc_decision d = {.job = j, .index = index, .machine = sl->machine};
  g_array_append_val(rs->out, d);
  fc_room_take(&sl->room, &j->spec);
  if (!sl->planned_images) sl->planned_images = g_hash_table_new(g_str_hash, g_str_equal);
  g_hash_table_add(sl->planned_images, j->spec.image);
  rs->allow.cpus[j->team] -= j->spec.cpus;
  rs->allow.gpus[j->team] -= j->spec.gpus;
  rs->used_cpus[j->team] += j->spec.cpus;
  rs->used_gpus[j->team] += j->spec.gpus;
}

static bool allowed(const round_state *rs, const fc_job *j, unsigned tasks) {
  const double slack = 1e-6;
  return rs->allow.cpus[j->team] + slack >= j->spec.cpus * tasks &&
         rs->allow.gpus[j->team] + slack >= j->spec.gpus * tasks;
}

/* All tasks of the gang or none. */
static bool place_gang(round_state *rs, candidate *c, const char *zone, guint *picked) {
  guint mark = rs->out->len;
  GArray *rooms = g_array_new(FALSE, FALSE, sizeof(fc_room));
  for (guint i = 0; i < rs->slots->len; i++) g_array_append_val(rooms, g_array_index(rs->slots, slot, i).room);
  bool ok = true;
  for (guint i = 0; i < c->missing->len && ok; i++) {
    slot *sl = choose(rs, c->job, zone);
    ok = sl != NULL;
    if (sl) take(rs, sl, c->job, g_array_index(c->missing, uint32_t, i));
  }
  if (!ok) {
    if (picked) *picked = rs->out->len - mark;
    for (guint i = mark; i < rs->out->len; i++) {
      rs->allow.cpus[c->job->team] += c->job->spec.cpus;
      rs->allow.gpus[c->job->team] += c->job->spec.gpus;
      rs->used_cpus[c->job->team] -= c->job->spec.cpus;
      rs->used_gpus[c->job->team] -= c->job->spec.gpus;
    }
    g_array_set_size(rs->out, mark);
    for (guint i = 0; i < rs->slots->len; i++)
      g_array_index(rs->slots, slot, i).room = g_array_index(rooms, fc_room, i);
  }
  g_array_free(rooms, TRUE);
  return ok;
}

/* Keeps what room there is for a gang that waits for more: tasks of lower rank
 * would take one machine after the other, and it would never start. */
static void reserve(round_state *rs, candidate *c, const char *zone) {
  for (guint i = 0; i < c->missing->len; i++) {
    slot *sl = choose(rs, c->job, zone);
    if (!sl) return;
    fc_room_take(&sl->room, &c->job->spec);
  }
}

/* False when the job can get nothing more this round. */
static bool place_some(round_state *rs, candidate *c) {
  fc_job *j = c->job;
  if (fc_gang_before(rs->table, rs->turn[j->team], j, rs->now)) return false;
  if (j->spec.kind == FC_KIND_GANG) {
    if (c->missing->len != j->spec.tasks - j->done_count || j->placements->len > 0) return false;
    if (!allowed(rs, j, c->missing->len)) return false;
    const char *best = NULL;
    guint most = 0, picked = 0;
    size_t zones = j->spec.one_zone ? rs->table->settings->zone_count : 1;
    for (size_t z = 0; z < zones; z++) {
      const char *zone = j->spec.one_zone ? rs->table->settings->zones[z] : NULL;
      if (place_gang(rs, c, zone, &picked)) return false;
      if (picked > most) {
        most = picked;
        best = zone;
      }
    }
    if (most > 0) reserve(rs, c, best);
    return false;
  }
  if (c->next >= c->missing->len || !allowed(rs, j, 1)) return false;
  slot *sl = choose(rs, j, NULL);
  if (!sl) return false;
  take(rs, sl, j, g_array_index(c->missing, uint32_t, c->next++));
  return c->next < c->missing->len;
}

/* Used part of the guarantee; teams without one come after, by what they use. */
static double share_of(const round_state *rs, int team) {
  const fc_team_settings *ts = &rs->table->settings->teams[team];
  double share = 0;
  bool guaranteed = false;
  if (ts->gpus > 0) {
    share = MAX(share, rs->used_gpus[team] / ts->gpus);
    guaranteed = true;
  }
  if (ts->cpus > 0) {
    share = MAX(share, rs->used_cpus[team] / ts->cpus);
    guaranteed = true;
  }
  return guaranteed ? share : 1 + rs->used_cpus[team] * 1e-6;
}

static candidate *pick(const round_state *rs) {
  candidate *best = NULL;
  double best_share = 0;
  for (guint i = 0; i < rs->jobs->len; i++) {
    candidate *c = rs->jobs->pdata[i];
    double share = share_of(rs, c->job->team);
    bool better = !best || c->job->spec.rank > best->job->spec.rank;
    if (best && c->job->spec.rank == best->job->spec.rank)
      better = share < best_share - 1e-9 || (share < best_share + 1e-9 && c->job->serial < best->job->serial);
    if (better) {
      best = c;
      best_share = share;
    }
  }
  return best;
}

/* Ties fall to the first by name, so that a round is the same on every run. */
static gint by_machine(gconstpointer a, gconstpointer b) {
  return strcmp(((const slot *)a)->machine->id, ((const slot *)b)->machine->id);
}

static void gather(round_state *rs, double now) {
  const fc_table *t = rs->table;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, t->machines);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    fc_machine *m = value;
    for (guint i = 0; i < m->placements->len; i++) {
      const fc_placement *p = m->placements->pdata[i];
      if (!fc_placement_live(p) || !p->job || p->job->team < 0) continue;
      rs->used_cpus[p->job->team] += p->job->spec.cpus;
      rs->used_gpus[p->job->team] += p->job->spec.gpus;
    }
    if (!fc_machine_usable(t, m, now)) continue;
    slot s = {.machine = m, .type = t->types->pdata[m->type], .room = fc_machine_room(t, m)};
    g_array_append_val(rs->slots, s);
  }
  g_array_sort(rs->slots, by_machine);
  g_hash_table_iter_init(&it, t->jobs);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    fc_job *j = value;
    if (!fc_job_placeable(t, j, now)) continue;
    GArray *missing = fc_job_missing(t, j, t->self, 1024);
    /* What may be on a machine that we have not heard of is not started. */
    for (guint i = missing->len; i-- > 0;)
      if (!((j->clear & ~j->handing) >> fc_job_slice_of(j, g_array_index(missing, uint32_t, i)) & 1))
        g_array_remove_index(missing, i);
    if (missing->len == 0) {
      g_array_free(missing, TRUE);
      continue;
    }
    candidate *c = g_new0(candidate, 1);
    c->job = j;
    c->missing = missing;
    g_ptr_array_add(rs->jobs, c);
  }
}

GArray *fc_place_round(const fc_table *t, const fc_allowance *allow, double now) {
  round_state rs = {.table = t, .now = now, .allow = *allow};
  rs.slots = g_array_new(FALSE, TRUE, sizeof(slot));
  g_array_set_clear_func(rs.slots, slot_clear);
  rs.jobs = g_ptr_array_new_with_free_func(candidate_free);
  rs.out = g_array_new(FALSE, TRUE, sizeof(fc_decision));
  gather(&rs, now);
  fc_gang_turns(t, rs.turn);
  while (rs.jobs->len > 0) {
    candidate *c = pick(&rs);
    if (!place_some(&rs, c)) g_ptr_array_remove(rs.jobs, c);
  }
  g_array_free(rs.slots, TRUE);
  g_ptr_array_free(rs.jobs, TRUE);
  return rs.out;
}
