#include "scheduler/preempt.h"

#include <string.h>

#include "scheduler/rent.h"

typedef struct host {
  fc_machine *machine;
  fc_room room; /* free, or being freed, and not spoken for */
} host;

typedef struct usage {
  double cpus[FC_TEAMS_MAX], gpus[FC_TEAMS_MAX];
} usage;

static bool over_guarantee(const fc_table *t, const usage *u, int team) {
  const fc_team_settings *ts = &t->settings->teams[team];
  const double slack = 1e-6;
  /* 0 means that nothing of the kind is guaranteed, not that nothing may be
   * used: a team guaranteed only GPUs was once always over for its CPUs, and
   * teams stopped each other's tasks round after round. */
  if (ts->gpus <= 0 && ts->cpus <= 0) return true;
  return (ts->gpus > 0 && u->gpus[team] > ts->gpus + slack) || (ts->cpus > 0 && u->cpus[team] > ts->cpus + slack);
}

/* Would the job still be within what its team is guaranteed? */
static bool within_guarantee(const fc_table *t, const usage *u, const fc_job *j) {
  const fc_team_settings *ts = &t->settings->teams[j->team];
  const double slack = 1e-6;
  if (ts->gpus <= 0 && ts->cpus <= 0) return false;
  if (ts->gpus > 0 && u->gpus[j->team] + j->spec.gpus > ts->gpus + slack) return false;
  return ts->cpus <= 0 || u->cpus[j->team] + j->spec.cpus <= ts->cpus + slack;
}

static bool may_stop(const fc_table *t, const usage *u, const fc_job *for_job, const fc_placement *p) {
  if (!fc_placement_live(p) || p->stopping || !p->job || p->job->team < 0) return false;
  /* Stopping one task of a gang stops them all: too dear for one place. */
  if (p->job->spec.kind == FC_KIND_GANG) return false;
  if (p->job->rank < for_job->rank) return true;
  return p->job->rank == for_job->rank && p->job->spec.kind == FC_KIND_ARRAY && p->job->team != for_job->team &&
         within_guarantee(t, u, for_job) && over_guarantee(t, u, p->job->team);
}

/* Seconds of work that stopping it throws away, saving included. */
static double loss(const fc_placement *p, double now) {
  if (p->state == FC_TASK_FETCHING || !p->running_since) return 0.5;
  if (p->job->spec.checkpoint_s > 0) return 1 + p->job->spec.save_s;
  double ran = now - p->running_since;
  return 2 + (p->job->spec.kind == FC_KIND_SERVICE ? 1000 : ran * 2);
}

typedef struct victim {
  fc_placement *p;
  double loss;
} victim;

static gint by_loss(gconstpointer a, gconstpointer b) {
  double x = ((const victim *)a)->loss, y = ((const victim *)b)->loss;
  return x < y ? -1 : x > y;
}

/* With all that may be stopped gone, would the task fit? Most machines of a full
 * fleet hold nothing that it may stop: they cost no more than this look. */
static bool could_fit(const fc_table *t, const usage *u, const host *h, const fc_job *j) {
  fc_room room = h->room;
  for (guint i = 0; i < h->machine->placements->len; i++) {
    const fc_placement *p = h->machine->placements->pdata[i];
    if (may_stop(t, u, j, p)) fc_room_give(&room, &p->job->spec);
  }
  return fc_room_fits(&room, &j->spec);
}

/* The cheapest set on one machine; NULL when it can't make enough room. */
static GArray *victims_on(const fc_table *t, const usage *u, const host *h, const fc_job *j, double now,
                          double *total) {
  if (!could_fit(t, u, h, j)) return NULL;
  GArray *all = g_array_new(FALSE, FALSE, sizeof(victim));
  for (guint i = 0; i < h->machine->placements->len; i++) {
    fc_placement *p = h->machine->placements->pdata[i];
    if (!may_stop(t, u, j, p)) continue;
    victim v = {.p = p, .loss = loss(p, now)};
    g_array_append_val(all, v);
  }
  g_array_sort(all, by_loss);
  fc_room room = h->room;
  guint n = 0;
  *total = 0;
  while (n < all->len && !fc_room_fits(&room, &j->spec)) {
    const victim *v = &g_array_index(all, victim, n++);
    const fc_job_spec *s = &v->p->job->spec;
    fc_room_give(&room, s);
    *total += v->loss;
  }
  if (!fc_room_fits(&room, &j->spec)) {
    g_array_free(all, TRUE);
    return NULL;
  }
  g_array_set_size(all, n);
  return all;
}

/* Finds a place for one task: room that is being freed already, or the cheapest
 * victims, which are added to `out`. */
static bool make_room(const fc_table *t, const usage *u, GArray *hosts, const fc_job *j, double now, GPtrArray *out) {
  host *best = NULL;
  GArray *best_set = NULL;
  double best_loss = 0;
  const fc_spread spread = fc_job_spread(j);
  for (guint i = 0; i < hosts->len; i++) {
    host *h = &g_array_index(hosts, host, i);
    const fc_machine *m = h->machine;
    if (!fc_spread_open(&spread, &j->spec, m->zone) || !fc_job_allows(&j->spec, m->rec.type, m->rec.zone, m->rec.spot))
      continue;
    if (j->failed_on && g_hash_table_contains(j->failed_on, m->id)) continue;
    double total;
    GArray *set = victims_on(t, u, h, j, now, &total);
    if (!set) continue;
    if (best && total >= best_loss) {
      g_array_free(set, TRUE);
      continue;
    }
    if (best_set) g_array_free(best_set, TRUE);
    best = h;
    best_set = set;
    best_loss = total;
    if (total <= 0) break; /* room that is free or being freed: nothing is cheaper */
  }
  if (!best) return false;
  for (guint i = 0; i < best_set->len; i++) {
    fc_placement *p = g_array_index(best_set, victim, i).p;
    g_ptr_array_add(out, p);
    fc_room_give(&best->room, &p->job->spec);
    p->stopping = true; /* not chosen twice; the caller sends the stop */
  }
  g_array_free(best_set, TRUE);
  fc_room_take(&best->room, &j->spec);
  return true;
}

static GArray *gather_hosts(const fc_table *t, usage *u, double now) {
  GArray *hosts = g_array_new(FALSE, TRUE, sizeof(host));
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, t->machines);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    fc_machine *m = value;
    host h = {.machine = m, .room = fc_machine_room(t, m)};
    for (guint i = 0; i < m->placements->len; i++) {
      const fc_placement *p = m->placements->pdata[i];
      if (!fc_placement_live(p) || !p->job || p->job->team < 0) continue;
      u->cpus[p->job->team] += p->job->spec.cpus;
      u->gpus[p->job->team] += p->job->spec.gpus;
      if (!p->stopping) continue;
      fc_room_give(&h.room, &p->job->spec);
    }
    if (fc_machine_usable(t, m, now)) g_array_append_val(hosts, h);
  }
  return hosts;
}

static gint by_task(gconstpointer a, gconstpointer b) {
  const fc_placement *x = *(const fc_placement *const *)a, *y = *(const fc_placement *const *)b;
  int by_job = strcmp(x->job_id, y->job_id);
  return by_job != 0 ? by_job : x->index < y->index ? -1 : x->index > y->index;
}

static void stop_for_gang(const fc_table *t, const fc_job *gang, GPtrArray *stops) {
  const fc_team_settings *ts = &t->settings->teams[gang->team];
  GPtrArray *may = g_ptr_array_new();
  double cpus = gang->spec.tasks * gang->spec.cpus, gpus = gang->spec.tasks * gang->spec.gpus;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, t->jobs);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    const fc_job *j = value;
    if (j->team != gang->team) continue;
    bool stoppable = j->spec.kind == FC_KIND_ARRAY && j->rank < gang->rank;
    for (guint i = 0; i < j->placements->len; i++) {
      fc_placement *p = j->placements->pdata[i];
      if (!fc_placement_live(p)) continue;
      cpus += j->spec.cpus;
      gpus += j->spec.gpus;
      if (stoppable) g_ptr_array_add(may, p);
    }
  }
  g_ptr_array_sort(may, by_task);
  for (guint i = 0; i < may->len && !fc_team_within(ts, cpus, gpus); i++) {
    fc_placement *p = may->pdata[i];
    cpus -= p->job->spec.cpus;
    gpus -= p->job->spec.gpus;
    if (p->machine->owner == t->self && !p->stopping) g_ptr_array_add(stops, p);
  }
  g_ptr_array_free(may, TRUE);
}

void fc_preempt_for_limit(const fc_table *t, GPtrArray *stops, double now) {
  const fc_job *turn[FC_TEAMS_MAX];
  fc_gang_turns(t, turn);
  for (size_t k = 0; k < t->settings->team_count; k++) {
    const fc_job *gang = turn[k];
    /* What runs may end by itself; a lease is as long as most troubles take. */
    if (gang && now > gang->queued_at + t->settings->lease_s) stop_for_gang(t, gang, stops);
  }
}

struct fc_image_search {
  const fc_table *table;
  double now;
  usage used;
  GArray *hosts;        /* NULL: not looked for yet */
  GHashTable *by_image; /* image -> GArray of host; as it stands in this plan */
};

fc_image_search *fc_image_search_new(const fc_table *t, double now) {
  fc_image_search *s = g_new0(fc_image_search, 1);
  s->table = t;
  s->now = now;
  s->by_image = g_hash_table_new_full(NULL, NULL, NULL, (GDestroyNotify)g_array_unref);
  return s;
}

void fc_image_search_free(fc_image_search *s) {
  if (s->hosts) g_array_free(s->hosts, TRUE);
  g_hash_table_destroy(s->by_image);
  g_free(s);
}

/* The machines that have the image. What one of the plan's jobs has stopped there is
 * known to the next that wants the same image; for one of another image its machine
 * merely has room being freed. */
static GArray *holders(fc_image_search *s, GRefString *image) {
  GArray *found = g_hash_table_lookup(s->by_image, image);
  if (found) return found;
  if (!s->hosts) s->hosts = gather_hosts(s->table, &s->used, s->now);
  found = g_array_new(FALSE, TRUE, sizeof(host));
  for (guint i = 0; i < s->hosts->len; i++) {
    const host *h = &g_array_index(s->hosts, host, i);
    if (fc_machine_has_image(h->machine, image)) g_array_append_val(found, *h);
  }
  g_hash_table_insert(s->by_image, image, found);
  return found;
}

bool fc_preempt_for_image(fc_image_search *search, const fc_decision *d, GPtrArray *stops) {
  const fc_table *t = search->table;
  const fc_job *j = d->job;
  const fc_machine *to = d->machine;
  if (j->rank < FC_RANK_PROD || j->spec.kind == FC_KIND_GANG || to->type < 0) return false;
  if (fc_machine_has_image(to, j->spec.image)) return false;
  const fc_machine_type *mt = t->types->pdata[to->type];
  double fetch = mt->fetch_gb_per_s > 0 ? j->spec.image_gb / mt->fetch_gb_per_s : 0;
  /* Waiting has to pay: a stop takes a save and a report or two. */
  double patience = fetch * 0.5;
  if (patience < t->settings->report_s * 3 || search->now > j->queued_at + patience) return false;
  return make_room(t, &search->used, holders(search, j->spec.image), j, search->now, stops);
}

/* A job that has found nothing, and the zones (a bit each) that were open to it. */
typedef struct failure {
  const fc_job *job;
  unsigned zones;
} failure;

static unsigned open_zones(const fc_job *j) {
  const fc_spread spread = fc_job_spread(j);
  unsigned zones = 0;
  for (unsigned z = 0; z <= FC_ZONES_MAX; z++) zones |= (unsigned)fc_spread_open(&spread, &j->spec, z) << z;
  return zones;
}

/* Does the job ask for all that one of those asked for, at most in the same places? It
 * will find nothing either: room only grows less while a round chooses. */
static bool hopeless(const GArray *failed, const fc_job *j, unsigned zones) {
  const fc_job_spec *y = &j->spec;
  for (guint i = 0; i < failed->len; i++) {
    const failure *f = &g_array_index(failed, failure, i);
    const fc_job_spec *x = &f->job->spec;
    if (f->job->rank == j->rank && f->job->team == j->team && x->spot == y->spot && x->zone == y->zone && !x->types &&
        !f->job->failed_on && (zones & ~f->zones) == 0 && x->cpus <= y->cpus && x->gpus <= y->gpus &&
        x->memory_gb <= y->memory_gb)
      return true;
  }
  return false;
}

GPtrArray *fc_preempt_round(const fc_table *t, const fc_allowance *allow, double now) {
  GPtrArray *out = g_ptr_array_new();
  usage u = {{0}, {0}};
  GArray *hosts = gather_hosts(t, &u, now);
  GPtrArray *jobs = fc_jobs_open(t);
  fc_allowance left = *allow;
  GArray *failed = g_array_new(FALSE, TRUE, sizeof(failure));
  for (guint i = 0; i < jobs->len; i++) {
    fc_job *j = jobs->pdata[i];
    if (j->spec.kind == FC_KIND_GANG || !fc_job_placeable(t, j, now) || j->handing) continue;
    /* Idle room elsewhere is cheaper: give the hand-over time to find it. */
    if (now < j->queued_at + t->settings->op.handover_wait_s + t->settings->op.round_s * 0.5) continue;
    if (hopeless(failed, j, open_zones(j))) continue;
    GArray *missing = fc_job_missing(j, t->self, 64);
    for (guint k = 0; k < missing->len; k++) {
      if (!(j->clear >> fc_job_slice_of(j, g_array_index(missing, uint32_t, k)) & 1)) continue;
      if (left.cpus[j->team] < j->spec.cpus - 1e-6 || left.gpus[j->team] < j->spec.gpus - 1e-6) break;
      if (!make_room(t, &u, hosts, j, now, out)) {
        failure f = {.job = j, .zones = open_zones(j)};
        g_array_append_val(failed, f);
        break;
      }
      left.cpus[j->team] -= j->spec.cpus;
      left.gpus[j->team] -= j->spec.gpus;
      u.cpus[j->team] += j->spec.cpus;
      u.gpus[j->team] += j->spec.gpus;
    }
    g_array_free(missing, TRUE);
  }
  g_array_free(failed, TRUE);
  g_ptr_array_free(jobs, TRUE);
  g_array_free(hosts, TRUE);
  return out;
}
