#include "scheduler/capacity_planning.h"

#include <string.h>

#include "bookkeeping/cluster_machines.h"
#include "scheduler/bin_packing.h"

/* The cloud charges a deleted machine for a minute at least. */
#define MINIMUM_CHARGE_S 60.0

typedef struct bin {
  int type, owner; /* owner -1: whoever has the fewest */
  const char *zone;
  unsigned zone_at; /* index into the settings' zones; FC_ZONES_MAX: none of them */
  bool spot, rented, idle;
  fc_resources room;
  const fc_machine *machine; /* NULL: not there yet */
} bin;

typedef struct pack {
  const fc_cluster *table;
  GArray *bins;                    /* all, in order of use */
  GArray *open;                    /* guint: the bins that some job may still fit into */
  unsigned held[FC_ZONES_MAX + 1]; /* bins by zone */
  fc_capacity_refused_fn refused;
  void *arg;
  double cpus[FC_TEAMS_MAX], gpus[FC_TEAMS_MAX]; /* used and wanted so far */
  fc_job_spec least;                             /* what the most modest of them asks for */
} pack;

/* The least that any job, or any class of which arrivals are expected, asks for. */
static fc_job_spec least_asked(const fc_cluster *cluster, const GPtrArray *jobs) {
  fc_job_spec least = fc_least_resources_of(jobs);
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, cluster->arrivals.classes);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    const fc_arrival_class *job_class = value;
    fc_least_resources_add(&least, job_class->cpus, job_class->gpus, job_class->memory_gb);
  }
  return least;
}

/* Nobody fits into what is full: it is not looked at any more. */
static void close_full(pack *p) {
  guint kept = 0;
  for (guint i = 0; i < p->open->len; i++) {
    guint at = g_array_index(p->open, guint, i);
    if (fc_resources_fit(&g_array_index(p->bins, bin, at).room, &p->least)) g_array_index(p->open, guint, kept++) = at;
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
static bool within_limit(pack *p, const fc_job *job) {
  const fc_team_settings *team_settings = &p->table->settings->teams[job->team];
  if (!fc_team_limit_allows(team_settings, p->cpus[job->team] + job->spec.cpus, p->gpus[job->team] + job->spec.gpus))
    return false;
  p->cpus[job->team] += job->spec.cpus;
  p->gpus[job->team] += job->spec.gpus;
  return true;
}

/* A machine that takes much longer than usual may never come up: nothing is
 * planned on it, though it is waited for some time longer. */
static bool overdue(const fc_cluster *cluster, const fc_machine *machine, double now) {
  const fc_machine_type *machine_type = cluster->machine_types->pdata[machine->type];
  return !machine->announced &&
         now > machine->first_seen + 1.7 * machine_type->boot_s + cluster->settings->lease_s * 0.5;
}

static void add_existing(pack *p, double now) {
  const fc_cluster *cluster = p->table;
  GHashTableIter it;
  gpointer value;
  fc_machine_iter machine_iter = fc_cluster_machines(cluster);
  for (const fc_machine *machine; (machine = fc_machine_iter_next(&machine_iter));) {
    fc_machine_add_usage(machine, p->cpus, p->gpus);
    if (!machine->record_version || machine->type < 0 || machine->owner < 0 || fc_machine_cordoned(machine) ||
        machine->drain.owner_cordoned || machine->drain.spot_notice_until || overdue(cluster, machine, now))
      continue;
    bin b = {.type = machine->type,
             .owner = machine->owner,
             .zone = machine->record.zone,
             .zone_at = machine->zone,
             .spot = machine->record.spot,
             .idle = fc_machine_vacant(machine),
             .room = fc_machine_free_resources(cluster, machine),
             .machine = machine};
    g_array_append_val(p->bins, b);
  }
  /* Requests under way will bring machines too. */
  g_hash_table_iter_init(&it, cluster->rentals);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    const fc_rental_record *rental = value;
    int type = fc_cluster_find_machine_type(cluster, rental->type);
    if (type < 0) continue;
    const fc_machine_type *machine_type = cluster->machine_types->pdata[type];
    unsigned zone_at = fc_settings_zone(cluster->settings, rental->zone);
    for (unsigned i = 0; i < rental->count; i++) {
      bin b = {.type = type,
               .owner = fc_term_find(&cluster->membership.term, rental->owner),
               .zone = rental->zone,
               .zone_at = zone_at,
               .spot = rental->spot,
               .idle = true,
               .room = {machine_type->cpus, machine_type->gpus, machine_type->memory_gb}};
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
  fc_zone_spread spread;
  guint at, at_dear;
} packing;

static bool bin_fits(const pack *p, const bin *b, const fc_job *job) {
  const fc_machine_type *machine_type = p->table->machine_types->pdata[b->type];
  return fc_resources_fit(&b->room, &job->spec) && fc_job_spec_allows(&job->spec, machine_type->name, b->zone, b->spot);
}

static void put(bin *b, packing *k) {
  fc_resources_subtract(&b->room, &k->job->spec);
  b->idle = false;
  fc_zone_spread_add(&k->spread, b->zone_at);
}

static bool pack_existing(pack *p, packing *k, bool dear) {
  guint *at = dear ? &k->at_dear : &k->at;
  for (; *at < p->open->len; ++*at) {
    bin *b = &g_array_index(p->bins, bin, g_array_index(p->open, guint, *at));
    if (!bin_fits(p, b, k->job) || !fc_zone_spread_allows(&k->spread, &k->job->spec, b->zone_at)) continue;
    /* An idle ordinary machine is no room for work that may run on a cheap one:
     * the work may start there, but the machine is not kept for it. */
    if (b->idle && !b->spot && k->job->spec.spot && !dear) continue;
    put(b, k);
    return true;
  }
  return false;
}

static double price_of(const fc_machine_type *machine_type, bool spot, const fc_job_spec *spec) {
  /* Per task, as many as fit on one machine. */
  double fits = machine_type->gpus > 0 && spec->gpus > 0 ? machine_type->gpus / spec->gpus
                                                         : machine_type->cpus / MAX(spec->cpus, 0.001);
  return (spot ? machine_type->spot_price : machine_type->price) / MAX(fits, 1);
}

/* The best kind of machine found so far; bin.type -1: none. */
typedef struct offer {
  bin bin;
  double price;  /* per task */
  unsigned held; /* machines in its zone */
} offer;

/* Takes an ordinary or a spot machine of the type in the zone, where the job and the cloud
 * allow it and it is better than `best`. */
static void compare_offer(const pack *p, const fc_job *job, const bin *b, offer *best) {
  const fc_machine_type *machine_type = p->table->machine_types->pdata[b->type];
  if (!fc_job_spec_allows(&job->spec, machine_type->name, b->zone, b->spot)) return;
  if (p->refused && p->refused(b->type, b->zone, b->spot, p->arg)) return;
  unsigned held = p->held[b->zone_at];
  double price = price_of(machine_type, b->spot, &job->spec);
  bool better = price <= best->price + 1e-9 && (price <= best->price - 1e-9 || held < best->held);
  if (best->bin.type < 0 || better) *best = (offer){*b, price, held};
}

static void compare_zones(const pack *p, const packing *pk, unsigned only, bin b, bool dear, offer *best) {
  const fc_settings *settings = p->table->settings;
  const fc_machine_type *machine_type = p->table->machine_types->pdata[b.type];
  for (unsigned z = 0; z < settings->zone_count; z++) {
    const char *zone = settings->zones[z];
    if ((only != FC_ANY_ZONE && only != z) || !g_strv_contains((const gchar *const *)machine_type->zones, zone))
      continue;
    if (!fc_zone_spread_allows(&pk->spread, &pk->job->spec, z)) continue;
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
  const fc_cluster *cluster = p->table;
  offer best = {.bin = {.type = -1}};
  for (guint k = 0; k < cluster->machine_types->len; k++) {
    const fc_machine_type *machine_type = cluster->machine_types->pdata[k];
    fc_resources room = {machine_type->cpus, machine_type->gpus, machine_type->memory_gb};
    if (!fc_resources_fit(&room, &pk->job->spec)) continue;
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

static bool usable_for_gang(const pack *p, const bin *b, const fc_job *job, unsigned zone, int owner) {
  return (b->owner == owner || b->idle) && (zone == FC_ANY_ZONE || b->zone_at == zone) && bin_fits(p, b, job);
}

/* How many of the gang's tasks its owner could start there, with whatever idle
 * machines others would lend it. */
static unsigned gang_fits(const pack *p, const fc_job *job, unsigned zone, int owner, unsigned most) {
  unsigned n = 0;
  for (guint i = 0; i < p->open->len && n < most; i++) {
    bin b = g_array_index(p->bins, bin, g_array_index(p->open, guint, i));
    if (!usable_for_gang(p, &b, job, zone, owner)) continue;
    for (; n < most && fc_resources_fit(&b.room, &job->spec); n++) fc_resources_subtract(&b.room, &job->spec);
  }
  return n;
}

/* The zone that holds most of a gang which must be in one; among equals, not one that the
 * cloud refused. */
static unsigned gang_zone(const pack *p, const fc_job *job, int owner, unsigned tasks) {
  const fc_settings *settings = p->table->settings;
  unsigned zone = FC_ANY_ZONE, best = 0;
  for (unsigned z = 0; z < settings->zone_count; z++) {
    /* A gang may be bound to a zone by name, too: planned for the other one, which had
     * no less room, it was never rented for, and held up its team. */
    if (job->spec.zone && strcmp(job->spec.zone, settings->zones[z]) != 0) continue;
    unsigned n = gang_fits(p, job, z, owner, tasks);
    bool refused = p->refused && p->refused(0, settings->zones[z], false, p->arg);
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
  const fc_job *job = k->job;
  int owner = fc_job_slice_owner(job, 0);
  unsigned zone = job->spec.one_zone ? gang_zone(p, job, owner, tasks) : FC_ANY_ZONE;
  for (unsigned i = 0; i < tasks; i++) {
    if (!within_limit(p, job)) return;
    if (!pack_gang_existing(p, k, zone, owner) && !rent_for(p, k, zone, owner, true)) return;
  }
}

static void pack_job(pack *p, const fc_job *job) {
  /* All of them: with 64 at a time the largest arrays waited for one boot after the
   * other. */
  GArray *missing = fc_job_pending_tasks(job, -1, FC_PENDING_TASKS_MAX);
  guint n = missing->len;
  g_array_free(missing, TRUE);
  if (n == 0) return;
  packing k = {.job = job, .spread = fc_job_zone_spread(job)};
  if (job->spec.kind == FC_JOB_GANG) {
    pack_gang(p, &k, n);
  } else {
    for (guint i = 0; i < n; i++) {
      if (!within_limit(p, job)) break;
      if (!pack_existing(p, &k, false) && !rent_cheap(p, &k) && !pack_existing(p, &k, true) &&
          !rent_for(p, &k, FC_ANY_ZONE, -1, true))
        break;
    }
  }
  close_full(p);
}

/* Room for what may arrive, beyond the average, while a machine boots. */
static void pack_margin(pack *p, double now) {
  const fc_cluster *cluster = p->table;
  double boot = 0;
  for (guint i = 0; i < cluster->machine_types->len; i++)
    boot = MAX(boot, ((fc_machine_type *)cluster->machine_types->pdata[i])->boot_s);
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, cluster->arrivals.classes);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    const fc_arrival_class *job_class = value;
    if (job_class->kind == FC_JOB_GANG) continue; /* its machines are sized by the job */
    double deviations = cluster->settings->op.warm_deviations * (job_class->priority == FC_PRIORITY_PROD ? 2 : 1);
    unsigned n =
        fc_arrival_stats_headroom(&cluster->arrivals, job_class, boot + cluster->settings->op.round_s, deviations, now);
    fc_job model = {.spec = {.kind = FC_JOB_ARRAY,
                             .tasks = n,
                             .cpus = job_class->cpus,
                             .gpus = job_class->gpus,
                             .memory_gb = job_class->memory_gb,
                             .spot = job_class->spot}};
    packing s = {.job = &model};
    /* Ordinary machines are not kept warm for work that may use cheap ones. */
    for (unsigned k = 0; k < n; k++)
      if (!pack_existing(p, &s, false) && !rent_cheap(p, &s) &&
          (job_class->spot || !rent_for(p, &s, FC_ANY_ZONE, -1, true)))
        break;
  }
}

static GArray *pack_all(const fc_cluster *cluster, fc_capacity_refused_fn refused, void *arg, double now) {
  pack p = {.table = cluster, .refused = refused, .arg = arg};
  p.bins = g_array_new(FALSE, TRUE, sizeof(bin));
  p.open = g_array_new(FALSE, TRUE, sizeof(guint));
  GPtrArray *jobs = fc_cluster_open_jobs(cluster);
  p.least = least_asked(cluster, jobs);
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
  fc_gang_precedence(cluster, turn);
  for (size_t k = 0; k < cluster->settings->team_count; k++)
    if (turn[k]) pack_job(&p, turn[k]);
  for (guint i = 0; i < jobs->len; i++) {
    const fc_job *job = jobs->pdata[i];
    if (job != turn[job->team] && !fc_gang_precedes(cluster, turn[job->team], job, now)) pack_job(&p, job);
  }
  g_ptr_array_free(jobs, TRUE);
  pack_margin(&p, now);
  g_array_free(p.open, TRUE);
  return p.bins;
}

GArray *fc_scale_out_plan(const fc_cluster *cluster, fc_capacity_refused_fn refused, void *arg, double now) {
  GArray *bins = pack_all(cluster, refused, arg, now);
  GArray *out = g_array_new(FALSE, TRUE, sizeof(fc_rental_request));
  for (guint i = 0; i < bins->len; i++) {
    const bin *b = &g_array_index(bins, bin, i);
    if (!b->rented) continue;
    bool added = false;
    for (guint k = 0; k < out->len && !added; k++) {
      fc_rental_request *request = &g_array_index(out, fc_rental_request, k);
      if (request->type != b->type || request->owner != b->owner || request->spot != b->spot ||
          strcmp(request->zone, b->zone) != 0)
        continue;
      request->count++;
      added = true;
    }
    fc_rental_request w = {.type = b->type, .zone = b->zone, .spot = b->spot, .owner = b->owner, .count = 1};
    if (!added) g_array_append_val(out, w);
  }
  g_array_free(bins, TRUE);
  return out;
}

GHashTable *fc_scale_in_surplus(const fc_cluster *cluster, double now) {
  GHashTable *out = g_hash_table_new(NULL, NULL);
  GArray *bins = pack_all(cluster, NULL, NULL, now);
  for (guint i = 0; i < bins->len; i++) {
    const bin *b = &g_array_index(bins, bin, i);
    if (b->machine && b->idle) g_hash_table_add(out, (gpointer)b->machine);
  }
  g_array_free(bins, TRUE);
  return out;
}

bool fc_machine_idle_too_long(const fc_cluster *cluster, const fc_machine *machine, double now) {
  if (!fc_machine_vacant(machine) || !machine->idle_since || machine->type < 0) return false;
  const fc_machine_type *machine_type = cluster->machine_types->pdata[machine->type];
  /* Renting again costs the boot and the least charge; keeping it costs time. */
  double keep = (machine_type->boot_s + MINIMUM_CHARGE_S) * cluster->settings->op.idle_keep_share;
  return now - machine->idle_since > keep;
}
