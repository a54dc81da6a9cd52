#include "scheduler/rent.h"

#include <string.h>

#include "coordination/deal.h"
#include "scheduler/place.h"

/* The cloud charges a deleted machine for a minute at least. */
#define MINIMUM_CHARGE_S 60.0

typedef struct bin {
  int type, owner;
  const char *zone;
  bool spot, rented;
  fc_room room;
} bin;

typedef struct pack {
  const fc_table *table;
  GArray *bins;
  fc_refused_fn refused;
  void *arg;
  double cpus[FC_TEAMS_MAX], gpus[FC_TEAMS_MAX]; /* used and wanted so far */
} pack;

/* Room that a team's limit would keep empty is not rented. */
static bool within_limit(pack *p, const fc_job *j) {
  const fc_team_settings *ts = &p->table->settings->teams[j->team];
  const double slack = 1e-6;
  if (ts->cpus_max > 0 && p->cpus[j->team] + j->spec.cpus > ts->cpus_max + slack) return false;
  if (ts->gpus_max > 0 && p->gpus[j->team] + j->spec.gpus > ts->gpus_max + slack) return false;
  p->cpus[j->team] += j->spec.cpus;
  p->gpus[j->team] += j->spec.gpus;
  return true;
}

static void add_existing(pack *p) {
  const fc_table *t = p->table;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, t->machines);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    const fc_machine *m = value;
    for (guint i = 0; i < m->placements->len; i++) {
      const fc_placement *pl = m->placements->pdata[i];
      if (!fc_placement_live(pl) || !pl->job || pl->job->team < 0) continue;
      p->cpus[pl->job->team] += pl->job->spec.cpus;
      p->gpus[pl->job->team] += pl->job->spec.gpus;
    }
    if (!m->version || m->type < 0 || m->owner < 0 || m->closed || m->remote_closed || m->notice_until) continue;
    bin b = {.type = m->type, .owner = m->owner, .zone = m->rec.zone, .spot = m->rec.spot, .room = fc_machine_room(t, m)};
    g_array_append_val(p->bins, b);
  }
  /* Requests under way will bring machines too. */
  g_hash_table_iter_init(&it, t->hires);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    const fc_hire_record *h = value;
    int type = fc_table_type(t, h->type);
    if (type < 0) continue;
    const fc_machine_type *mt = t->types->pdata[type];
    for (unsigned i = 0; i < h->count; i++) {
      bin b = {.type = type,
               .owner = fc_deal_machine(&t->term, h->type, h->owner),
               .zone = h->zone,
               .spot = h->spot,
               .room = {mt->cpus, mt->gpus, mt->memory_gb}};
      g_array_append_val(p->bins, b);
    }
  }
}

static bool fit_zone(const fc_job *j, const char *zone, unsigned in_zone, unsigned all) {
  (void)zone;
  if (j->spec.one_zone && all != in_zone) return false;
  if (j->spec.spread && in_zone + 1 > (j->spec.tasks + 1) / 2) return false;
  return true;
}

typedef struct zone_count {
  const char *zone;
  unsigned n;
} zone_count;

static unsigned count_in(const GArray *counts, const char *zone, unsigned *all) {
  unsigned n = 0;
  *all = 0;
  for (guint i = 0; i < counts->len; i++) {
    const zone_count *z = &g_array_index(counts, zone_count, i);
    *all += z->n;
    if (strcmp(z->zone, zone) == 0) n += z->n;
  }
  return n;
}

static void count_zone(GArray *counts, const char *zone) {
  zone_count z = {.zone = zone, .n = 1};
  g_array_append_val(counts, z);
}

static bool pack_existing(pack *p, const fc_job *j, int owner, GArray *counts) {
  for (guint i = 0; i < p->bins->len; i++) {
    bin *b = &g_array_index(p->bins, bin, i);
    const fc_machine_type *mt = p->table->types->pdata[b->type];
    if (b->owner != owner || !fc_room_fits(&b->room, &j->spec)) continue;
    if (!fc_job_allows(&j->spec, mt->name, b->zone, b->spot)) continue;
    unsigned all, n = count_in(counts, b->zone, &all);
    if (!fit_zone(j, b->zone, n, all)) continue;
    fc_room_take(&b->room, &j->spec);
    count_zone(counts, b->zone);
    return true;
  }
  return false;
}

/* The cheapest kind of machine that can hold a task of the job. */
static bool rent_for(pack *p, const fc_job *j, int owner, GArray *counts) {
  const fc_table *t = p->table;
  bin best = {.type = -1};
  double best_price = 0;
  unsigned best_held = 0;
  for (guint k = 0; k < t->types->len; k++) {
    const fc_machine_type *mt = t->types->pdata[k];
    fc_room room = {mt->cpus, mt->gpus, mt->memory_gb};
    if (!fc_room_fits(&room, &j->spec)) continue;
    for (size_t z = 0; z < t->settings->zone_count; z++) {
      const char *zone = t->settings->zones[z];
      if (!g_strv_contains((const gchar *const *)mt->zones, zone)) continue;
      unsigned all, n = count_in(counts, zone, &all);
      if (!fit_zone(j, zone, n, all)) continue;
      unsigned held = 0;
      for (guint i = 0; i < p->bins->len; i++) held += strcmp(g_array_index(p->bins, bin, i).zone, zone) == 0;
      for (int spot = 0; spot <= 1; spot++) {
        if (!fc_job_allows(&j->spec, mt->name, zone, spot)) continue;
        if (p->refused && p->refused((int)k, zone, spot, p->arg)) continue;
        /* Per task, as many as fit on one machine. */
        double fits = room.gpus > 0 && j->spec.gpus > 0 ? room.gpus / j->spec.gpus : room.cpus / MAX(j->spec.cpus, 0.001);
        double price = (spot ? mt->spot_price : mt->price) / MAX(fits, 1);
        if (best.type >= 0 && (price > best_price + 1e-9 || (price > best_price - 1e-9 && held >= best_held))) continue;
        best = (bin){.type = (int)k, .owner = owner, .zone = zone, .spot = spot, .rented = true, .room = room};
        best_price = price;
        best_held = held;
      }
    }
  }
  if (best.type < 0) return false;
  fc_room_take(&best.room, &j->spec);
  g_array_append_val(p->bins, best);
  count_zone(counts, best.zone);
  return true;
}

static void pack_job(pack *p, const fc_job *j) {
  int owner = fc_deal_job(&p->table->term, j->spec.id, j->handed_to);
  if (owner < 0) return;
  GArray *missing = fc_job_missing(j, 64);
  GArray *counts = g_array_new(FALSE, FALSE, sizeof(zone_count));
  for (guint i = 0; i < j->placements->len; i++) {
    const fc_placement *pl = j->placements->pdata[i];
    if (fc_placement_live(pl)) count_zone(counts, pl->machine->rec.zone);
  }
  for (guint i = 0; i < missing->len; i++) {
    if (!within_limit(p, j)) break;
    if (pack_existing(p, j, owner, counts)) continue;
    if (!rent_for(p, j, owner, counts)) break;
  }
  g_array_free(counts, TRUE);
  g_array_free(missing, TRUE);
}

static gint by_importance(gconstpointer a, gconstpointer b) {
  const fc_job *x = *(const fc_job *const *)a, *y = *(const fc_job *const *)b;
  if (x->spec.rank != y->spec.rank) return x->spec.rank > y->spec.rank ? -1 : 1;
  return x->serial < y->serial ? -1 : x->serial > y->serial;
}

GArray *fc_rent_wants(const fc_table *t, fc_refused_fn refused, void *arg) {
  pack p = {.table = t, .refused = refused, .arg = arg};
  p.bins = g_array_new(FALSE, TRUE, sizeof(bin));
  add_existing(&p);
  GPtrArray *jobs = g_ptr_array_new();
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, t->jobs);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    fc_job *j = value;
    if (j->phase == FC_PHASE_ACCEPTED && j->team >= 0) g_ptr_array_add(jobs, j);
  }
  g_ptr_array_sort(jobs, by_importance);
  for (guint i = 0; i < jobs->len; i++) pack_job(&p, jobs->pdata[i]);
  g_ptr_array_free(jobs, TRUE);
  GArray *out = g_array_new(FALSE, TRUE, sizeof(fc_want));
  for (guint i = 0; i < p.bins->len; i++) {
    const bin *b = &g_array_index(p.bins, bin, i);
    if (!b->rented) continue;
    bool added = false;
    for (guint k = 0; k < out->len && !added; k++) {
      fc_want *w = &g_array_index(out, fc_want, k);
      if (w->type != b->type || w->owner != b->owner || w->spot != b->spot || strcmp(w->zone, b->zone) != 0) continue;
      w->count++;
      added = true;
    }
    fc_want w = {.type = b->type, .zone = b->zone, .spot = b->spot, .owner = b->owner, .count = 1};
    if (!added) g_array_append_val(out, w);
  }
  g_array_free(p.bins, TRUE);
  return out;
}

bool fc_rent_idle(const fc_table *t, const fc_machine *m, double now) {
  if (m->placements->len > 0 || !m->idle_since || m->type < 0) return false;
  const fc_machine_type *mt = t->types->pdata[m->type];
  /* Renting again costs the boot and the least charge; keeping it costs time. */
  double keep = (mt->boot_s + MINIMUM_CHARGE_S) * t->settings->op.idle_keep_share;
  return now - m->idle_since > keep;
}
