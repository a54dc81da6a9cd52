#include "scheduler/rent.h"

#include <string.h>

#include "scheduler/place.h"

/* The cloud charges a deleted machine for a minute at least. */
#define MINIMUM_CHARGE_S 60.0

typedef struct bin {
  int type, owner; /* owner -1: whoever has the fewest */
  const char *zone;
  unsigned zone_at; /* index into the settings' zones; FC_ZONES_MAX: none of them */
  bool spot, rented, idle;
  fc_room room;
  const fc_machine *machine; /* NULL: not there yet */
} bin;

typedef struct pack {
  const fc_table *table;
  GArray *bins;                    /* all, in order of use */
  GArray *open;                    /* guint: the bins that some job may still fit into */
  unsigned held[FC_ZONES_MAX + 1]; /* bins by zone */
  fc_refused_fn refused;
  void *arg;
  double cpus[FC_TEAMS_MAX], gpus[FC_TEAMS_MAX]; /* used and wanted so far */
  fc_job_spec least;                             /* what the most modest of them asks for */
} pack;

/* The least that any job, or any class of which arrivals are expected, asks for. */
static fc_job_spec least_asked(const fc_table *t, const GPtrArray *jobs) {
  fc_job_spec least = fc_least_of(jobs);
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, t->demand.classes);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    const fc_demand_class *c = value;
    fc_least_add(&least, c->cpus, c->gpus, c->memory_gb);
  }
  return least;
}

/* Nobody fits into what is full: it is not looked at any more. */
static void close_full(pack *p) {
  guint kept = 0;
  for (guint i = 0; i < p->open->len; i++) {
    guint at = g_array_index(p->open, guint, i);
    if (fc_room_fits(&g_array_index(p->bins, bin, at).room, &p->least)) g_array_index(p->open, guint, kept++) = at;
  }
  g_array_set_size(p->open, kept);
}

static void add_bin(pack *p, const bin *b) {
  guint at = p->bins->len;
  g_array_append_val(p->bins, *b);
  g_array_append_val(p->open, at);
  p->held[b->zone_at]++;
}

/* Room that a team's limit would keep empty is not rented. */
static bool within_limit(pack *p, const fc_job *j) {
  const fc_team_settings *ts = &p->table->settings->teams[j->team];
  if (!fc_team_within(ts, p->cpus[j->team] + j->spec.cpus, p->gpus[j->team] + j->spec.gpus)) return false;
  p->cpus[j->team] += j->spec.cpus;
  p->gpus[j->team] += j->spec.gpus;
  return true;
}

/* A machine that takes much longer than usual may never come up: nothing is
 * planned on it, though it is waited for some time longer. */
static bool overdue(const fc_table *t, const fc_machine *m, double now) {
  const fc_machine_type *mt = t->types->pdata[m->type];
  return !m->announced && now > m->first_seen + 1.7 * mt->boot_s + t->settings->lease_s * 0.5;
}

static void add_existing(pack *p, double now) {
  const fc_table *t = p->table;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, t->machines);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    const fc_machine *m = value;
    fc_machine_use(m, p->cpus, p->gpus);
    if (!m->version || m->type < 0 || m->owner < 0 || m->closed || m->remote_closed || m->notice_until ||
        overdue(t, m, now))
      continue;
    bin b = {.type = m->type,
             .owner = m->owner,
             .zone = m->rec.zone,
             .zone_at = m->zone,
             .spot = m->rec.spot,
             .idle = fc_machine_vacant(m),
             .room = fc_machine_room(t, m),
             .machine = m};
    g_array_append_val(p->bins, b);
  }
  /* Requests under way will bring machines too. */
  g_hash_table_iter_init(&it, t->rentals);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    const fc_rental_record *h = value;
    int type = fc_table_type(t, h->type);
    if (type < 0) continue;
    const fc_machine_type *mt = t->types->pdata[type];
    unsigned zone_at = fc_settings_zone(t->settings, h->zone);
    for (unsigned i = 0; i < h->count; i++) {
      bin b = {.type = type,
               .owner = fc_term_find(&t->term, h->owner),
               .zone = h->zone,
               .zone_at = zone_at,
               .spot = h->spot,
               .idle = true,
               .room = {mt->cpus, mt->gpus, mt->memory_gb}};
      g_array_append_val(p->bins, b);
    }
  }
}

/* Machines in use first, so that the idle ones stay empty where that is possible;
 * among idle ones the oldest names first, so that the youngest become surplus. */
static gint by_use(gconstpointer a, gconstpointer b) {
  const bin *x = a, *y = b;
  if (x->idle != y->idle) return x->idle ? 1 : -1;
  if (x->spot != y->spot) return x->spot ? -1 : 1; /* cheap room first */
  if (!x->machine || !y->machine) return (x->machine == NULL) - (y->machine == NULL);
  return strcmp(x->machine->id, y->machine->id);
}

/* One job while it is packed. Its tasks are alike, so that what one of them has found
 * too full the next need not look at again: `at` and `at_dear` say how far the first
 * and the second look at the open bins have come. A walk over all machines for each
 * task took longer than a round may, with hundreds of both. */
typedef struct packing {
  const fc_job *job;
  fc_spread spread;
  guint at, at_dear;
} packing;

static bool bin_fits(const pack *p, const bin *b, const fc_job *j) {
  const fc_machine_type *mt = p->table->types->pdata[b->type];
  return fc_room_fits(&b->room, &j->spec) && fc_job_allows(&j->spec, mt->name, b->zone, b->spot);
}

static void put(bin *b, packing *k) {
  fc_room_take(&b->room, &k->job->spec);
  b->idle = false;
  fc_spread_add(&k->spread, b->zone_at);
}

static bool pack_existing(pack *p, packing *k, bool dear) {
  guint *at = dear ? &k->at_dear : &k->at;
  for (; *at < p->open->len; ++*at) {
    bin *b = &g_array_index(p->bins, bin, g_array_index(p->open, guint, *at));
    if (!bin_fits(p, b, k->job) || !fc_spread_open(&k->spread, &k->job->spec, b->zone_at)) continue;
    /* An idle ordinary machine is no room for work that may run on a cheap one:
     * the work may start there, but the machine is not kept for it. */
    if (b->idle && !b->spot && k->job->spec.spot && !dear) continue;
    put(b, k);
    return true;
  }
  return false;
}

static double price_of(const fc_machine_type *mt, bool spot, const fc_job_spec *spec) {
  /* Per task, as many as fit on one machine. */
  double fits = mt->gpus > 0 && spec->gpus > 0 ? mt->gpus / spec->gpus : mt->cpus / MAX(spec->cpus, 0.001);
  return (spot ? mt->spot_price : mt->price) / MAX(fits, 1);
}

/* The best kind of machine found so far; bin.type -1: none. */
typedef struct offer {
  bin bin;
  double price;  /* per task */
  unsigned held; /* machines in its zone */
} offer;

/* Takes an ordinary or a spot machine of the type in the zone, where the job and the cloud
 * allow it and it is better than `best`. */
static void compare_offer(const pack *p, const fc_job *j, const bin *b, offer *best) {
  const fc_machine_type *mt = p->table->types->pdata[b->type];
  if (!fc_job_allows(&j->spec, mt->name, b->zone, b->spot)) return;
  if (p->refused && p->refused(b->type, b->zone, b->spot, p->arg)) return;
  unsigned held = p->held[b->zone_at];
  double price = price_of(mt, b->spot, &j->spec);
  bool better = price <= best->price + 1e-9 && (price <= best->price - 1e-9 || held < best->held);
  if (best->bin.type < 0 || better) *best = (offer){*b, price, held};
}

static void compare_zones(const pack *p, const packing *pk, unsigned only, bin b, bool dear, offer *best) {
  const fc_settings *s = p->table->settings;
  const fc_machine_type *mt = p->table->types->pdata[b.type];
  for (unsigned z = 0; z < s->zone_count; z++) {
    const char *zone = s->zones[z];
    if ((only != FC_ANY_ZONE && only != z) || !g_strv_contains((const gchar *const *)mt->zones, zone)) continue;
    if (!fc_spread_open(&pk->spread, &pk->job->spec, z)) continue;
    b.zone = zone;
    b.zone_at = z;
    for (int spot = dear ? 0 : 1; spot <= 1; spot++) {
      b.spot = spot;
      compare_offer(p, pk->job, &b, best);
    }
  }
}

/* The cheapest kind of machine that can hold a task of the job, in the zone `only`
 * when that is given; among equals, where the fewest machines are. */
static bool rent_for(pack *p, packing *pk, unsigned only, int owner, bool dear) {
  const fc_table *t = p->table;
  offer best = {.bin = {.type = -1}};
  for (guint k = 0; k < t->types->len; k++) {
    const fc_machine_type *mt = t->types->pdata[k];
    fc_room room = {mt->cpus, mt->gpus, mt->memory_gb};
    if (!fc_room_fits(&room, &pk->job->spec)) continue;
    bin b = {.type = (int)k, .owner = owner, .rented = true, .room = room};
    compare_zones(p, pk, only, b, dear, &best);
  }
  if (best.bin.type < 0) return false;
  put(&best.bin, pk);
  add_bin(p, &best.bin);
  return true;
}

/* A cheap machine, where the job may use one and the cloud has one. */
static bool rent_cheap(pack *p, packing *k) {
  return k->job->spec.spot && rent_for(p, k, FC_ANY_ZONE, -1, false);
}

static bool usable_for_gang(const pack *p, const bin *b, const fc_job *j, unsigned zone, int owner) {
  return (b->owner == owner || b->idle) && (zone == FC_ANY_ZONE || b->zone_at == zone) && bin_fits(p, b, j);
}

/* How many of the gang's tasks its owner could start there, with whatever idle
 * machines others would lend it. */
static unsigned gang_fits(const pack *p, const fc_job *j, unsigned zone, int owner, unsigned most) {
  unsigned n = 0;
  for (guint i = 0; i < p->open->len && n < most; i++) {
    bin b = g_array_index(p->bins, bin, g_array_index(p->open, guint, i));
    if (!usable_for_gang(p, &b, j, zone, owner)) continue;
    for (; n < most && fc_room_fits(&b.room, &j->spec); n++) fc_room_take(&b.room, &j->spec);
  }
  return n;
}

/* The zone that holds most of a gang which must be in one; among equals, not one that the
 * cloud refused. */
static unsigned gang_zone(const pack *p, const fc_job *j, int owner, unsigned tasks) {
  const fc_settings *s = p->table->settings;
  unsigned zone = FC_ANY_ZONE, best = 0;
  for (unsigned z = 0; z < s->zone_count; z++) {
    /* A gang may be bound to a zone by name, too: planned for the other one, which had
     * no less room, it was never rented for, and held up its team. */
    if (j->spec.zone && strcmp(j->spec.zone, s->zones[z]) != 0) continue;
    unsigned n = gang_fits(p, j, z, owner, tasks);
    bool refused = p->refused && p->refused(0, s->zones[z], false, p->arg);
    if (zone == FC_ANY_ZONE || n > best || (n == best && !refused)) {
      zone = z;
      best = n;
    }
  }
  return zone;
}

static bool pack_gang_existing(pack *p, packing *k, unsigned zone, int owner) {
  for (; k->at < p->open->len; k->at++) {
    bin *b = &g_array_index(p->bins, bin, g_array_index(p->open, guint, k->at));
    if (!usable_for_gang(p, b, k->job, zone, owner)) continue;
    put(b, k);
    b->owner = owner;
    return true;
  }
  return false;
}

static void pack_gang(pack *p, packing *k, unsigned tasks) {
  const fc_job *j = k->job;
  int owner = fc_job_owner(j, 0);
  unsigned zone = j->spec.one_zone ? gang_zone(p, j, owner, tasks) : FC_ANY_ZONE;
  for (unsigned i = 0; i < tasks; i++) {
    if (!within_limit(p, j)) return;
    if (!pack_gang_existing(p, k, zone, owner) && !rent_for(p, k, zone, owner, true)) return;
  }
}

static void pack_job(pack *p, const fc_job *j) {
  /* All of them: with 64 at a time the largest arrays waited for one boot after the
   * other. */
  GArray *missing = fc_job_missing(j, -1, FC_MISSING_MOST);
  guint n = missing->len;
  g_array_free(missing, TRUE);
  if (n == 0) return;
  packing k = {.job = j, .spread = fc_job_spread(j)};
  if (j->spec.kind == FC_KIND_GANG) {
    pack_gang(p, &k, n);
  } else {
    for (guint i = 0; i < n; i++) {
      if (!within_limit(p, j)) break;
      if (!pack_existing(p, &k, false) && !rent_cheap(p, &k) && !pack_existing(p, &k, true) &&
          !rent_for(p, &k, FC_ANY_ZONE, -1, true))
        break;
    }
  }
  close_full(p);
}

/* Room for what may arrive, beyond the average, while a machine boots. */
static void pack_margin(pack *p, double now) {
  const fc_table *t = p->table;
  double boot = 0;
  for (guint i = 0; i < t->types->len; i++) boot = MAX(boot, ((fc_machine_type *)t->types->pdata[i])->boot_s);
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, t->demand.classes);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    const fc_demand_class *c = value;
    if (c->kind == FC_KIND_GANG) continue; /* its machines are sized by the job */
    double deviations = t->settings->op.warm_deviations * (c->rank == FC_RANK_PROD ? 2 : 1);
    unsigned n = fc_demand_margin(&t->demand, c, boot + t->settings->op.round_s, deviations, now);
    fc_job model = {.spec = {.kind = FC_KIND_ARRAY,
                             .tasks = n,
                             .cpus = c->cpus,
                             .gpus = c->gpus,
                             .memory_gb = c->memory_gb,
                             .spot = c->spot}};
    packing s = {.job = &model};
    /* Ordinary machines are not kept warm for work that may use cheap ones. */
    for (unsigned k = 0; k < n; k++)
      if (!pack_existing(p, &s, false) && !rent_cheap(p, &s) && (c->spot || !rent_for(p, &s, FC_ANY_ZONE, -1, true)))
        break;
  }
}

static GArray *pack_all(const fc_table *t, fc_refused_fn refused, void *arg, double now) {
  pack p = {.table = t, .refused = refused, .arg = arg};
  p.bins = g_array_new(FALSE, TRUE, sizeof(bin));
  p.open = g_array_new(FALSE, TRUE, sizeof(guint));
  GPtrArray *jobs = fc_jobs_open(t);
  p.least = least_asked(t, jobs);
  add_existing(&p, now);
  g_array_sort(p.bins, by_use);
  for (guint i = 0; i < p.bins->len; i++) {
    p.held[g_array_index(p.bins, bin, i).zone_at]++;
    g_array_append_val(p.open, i);
  }
  close_full(&p);
  /* What a team's limit is kept for goes first, and nothing is rented for what
   * has to wait for that. */
  const fc_job *turn[FC_TEAMS_MAX];
  fc_gang_turns(t, turn);
  for (size_t k = 0; k < t->settings->team_count; k++)
    if (turn[k]) pack_job(&p, turn[k]);
  for (guint i = 0; i < jobs->len; i++) {
    const fc_job *j = jobs->pdata[i];
    if (j != turn[j->team] && !fc_gang_before(t, turn[j->team], j, now)) pack_job(&p, j);
  }
  g_ptr_array_free(jobs, TRUE);
  pack_margin(&p, now);
  g_array_free(p.open, TRUE);
  return p.bins;
}

GArray *fc_rent_wants(const fc_table *t, fc_refused_fn refused, void *arg, double now) {
  GArray *bins = pack_all(t, refused, arg, now);
  GArray *out = g_array_new(FALSE, TRUE, sizeof(fc_want));
  for (guint i = 0; i < bins->len; i++) {
    const bin *b = &g_array_index(bins, bin, i);
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
  g_array_free(bins, TRUE);
  return out;
}

GHashTable *fc_rent_surplus(const fc_table *t, double now) {
  GHashTable *out = g_hash_table_new(NULL, NULL);
  GArray *bins = pack_all(t, NULL, NULL, now);
  for (guint i = 0; i < bins->len; i++) {
    const bin *b = &g_array_index(bins, bin, i);
    if (b->machine && b->idle) g_hash_table_add(out, (gpointer)b->machine);
  }
  g_array_free(bins, TRUE);
  return out;
}

bool fc_rent_idle(const fc_table *t, const fc_machine *m, double now) {
  if (!fc_machine_vacant(m) || !m->idle_since || m->type < 0) return false;
  const fc_machine_type *mt = t->types->pdata[m->type];
  /* Renting again costs the boot and the least charge; keeping it costs time. */
  double keep = (mt->boot_s + MINIMUM_CHARGE_S) * t->settings->op.idle_keep_share;
  return now - m->idle_since > keep;
}
