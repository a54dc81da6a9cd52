#include "scheduler/preemption.h"

#include <string.h>

#include "bookkeeping/cluster_machines.h"
#include "scheduler/capacity_planning.h"

typedef struct host {
  fc_machine *machine;
  fc_resources room; /* free, or being freed, and not spoken for */
} host;

typedef struct usage {
  double cpus[FC_TEAMS_MAX], gpus[FC_TEAMS_MAX];
} usage;

static bool over_guarantee(const fc_cluster *cluster, const usage *u, int team) {
  const fc_team_settings *team_settings = &cluster->settings->teams[team];
  const double slack = 1e-6;
  /* 0 means that nothing of the kind is guaranteed, not that nothing may be
   * used: a team guaranteed only GPUs was once always over for its CPUs, and
   * teams stopped each other's tasks round after round. */
  if (team_settings->gpus <= 0 && team_settings->cpus <= 0) return true;
  return (team_settings->gpus > 0 && u->gpus[team] > team_settings->gpus + slack) ||
         (team_settings->cpus > 0 && u->cpus[team] > team_settings->cpus + slack);
}

/* Would the job still be within what its team is guaranteed? */
static bool within_guarantee(const fc_cluster *cluster, const usage *u, const fc_job *job) {
  const fc_team_settings *team_settings = &cluster->settings->teams[job->team];
  const double slack = 1e-6;
  if (team_settings->gpus <= 0 && team_settings->cpus <= 0) return false;
  if (team_settings->gpus > 0 && u->gpus[job->team] + job->spec.gpus > team_settings->gpus + slack) return false;
  return team_settings->cpus <= 0 || u->cpus[job->team] + job->spec.cpus <= team_settings->cpus + slack;
}

static bool may_stop(const fc_cluster *cluster, const usage *u, const fc_job *for_job, const fc_placement *placement) {
  if (!fc_placement_active(placement) || placement->stop.requested || !placement->job || placement->job->team < 0)
    return false;
  /* Stopping one task of a gang stops them all: too dear for one place. */
  if (placement->job->spec.kind == FC_JOB_GANG) return false;
  if (placement->job->queue.priority < for_job->queue.priority) return true;
  return placement->job->queue.priority == for_job->queue.priority && placement->job->spec.kind == FC_JOB_ARRAY &&
         placement->job->team != for_job->team && within_guarantee(cluster, u, for_job) &&
         over_guarantee(cluster, u, placement->job->team);
}

/* Seconds of work that stopping it throws away, saving included. */
static double loss(const fc_placement *placement, double now) {
  if (placement->status.state == FC_TASK_FETCHING || !placement->status.running_since) return 0.5;
  if (placement->job->spec.checkpoint_s > 0) return 1 + placement->job->spec.save_s;
  double ran = now - placement->status.running_since;
  return 2 + (placement->job->spec.kind == FC_JOB_SERVICE ? 1000 : ran * 2);
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
static bool could_fit(const fc_cluster *cluster, const usage *u, const host *h, const fc_job *job) {
  fc_resources room = h->room;
  for (guint i = 0; i < h->machine->placements->len; i++) {
    const fc_placement *placement = h->machine->placements->pdata[i];
    if (may_stop(cluster, u, job, placement)) fc_resources_add(&room, &placement->job->spec);
  }
  return fc_resources_fit(&room, &job->spec);
}

/* The cheapest set on one machine; NULL when it can't make enough room. */
static GArray *victims_on(const fc_cluster *cluster, const usage *u, const host *h, const fc_job *job, double now,
                          double *total) {
  if (!could_fit(cluster, u, h, job)) return NULL;
  GArray *all = g_array_new(FALSE, FALSE, sizeof(victim));
  for (guint i = 0; i < h->machine->placements->len; i++) {
    fc_placement *placement = h->machine->placements->pdata[i];
    if (!may_stop(cluster, u, job, placement)) continue;
    victim v = {.p = placement, .loss = loss(placement, now)};
    g_array_append_val(all, v);
  }
  g_array_sort(all, by_loss);
  fc_resources room = h->room;
  guint n = 0;
  *total = 0;
  while (n < all->len && !fc_resources_fit(&room, &job->spec)) {
    const victim *v = &g_array_index(all, victim, n++);
    const fc_job_spec *spec = &v->p->job->spec;
    fc_resources_add(&room, spec);
    *total += v->loss;
  }
  if (!fc_resources_fit(&room, &job->spec)) {
    g_array_free(all, TRUE);
    return NULL;
  }
  g_array_set_size(all, n);
  return all;
}

/* Finds a place for one task: room that is being freed already, or the cheapest
 * victims, which are added to `out`. */
static bool make_room(const fc_cluster *cluster, const usage *u, GArray *hosts, const fc_job *job, double now,
                      GPtrArray *out) {
  host *best = NULL;
  GArray *best_set = NULL;
  double best_loss = 0;
  const fc_zone_spread spread = fc_job_zone_spread(job);
  for (guint i = 0; i < hosts->len; i++) {
    host *h = &g_array_index(hosts, host, i);
    const fc_machine *machine = h->machine;
    if (!fc_zone_spread_allows(&spread, &job->spec, machine->zone) ||
        !fc_job_spec_allows(&job->spec, machine->record.type, machine->record.zone, machine->record.spot))
      continue;
    if (job->failures.machines && g_hash_table_contains(job->failures.machines, machine->id)) continue;
    double total;
    GArray *set = victims_on(cluster, u, h, job, now, &total);
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
    fc_placement *placement = g_array_index(best_set, victim, i).p;
    g_ptr_array_add(out, placement);
    fc_resources_add(&best->room, &placement->job->spec);
    placement->stop.requested = true; /* not chosen twice; the caller sends the stop */
  }
  g_array_free(best_set, TRUE);
  fc_resources_subtract(&best->room, &job->spec);
  return true;
}

static GArray *gather_hosts(const fc_cluster *cluster, usage *u, double now) {
  GArray *hosts = g_array_new(FALSE, TRUE, sizeof(host));
  fc_machine_iter machine_iter = fc_cluster_machines(cluster);
  for (fc_machine *machine; (machine = fc_machine_iter_next(&machine_iter));) {
    host h = {.machine = machine, .room = fc_machine_free_resources(cluster, machine)};
    for (guint i = 0; i < machine->placements->len; i++) {
      const fc_placement *placement = machine->placements->pdata[i];
      if (!fc_placement_active(placement) || !placement->job || placement->job->team < 0) continue;
      u->cpus[placement->job->team] += placement->job->spec.cpus;
      u->gpus[placement->job->team] += placement->job->spec.gpus;
      if (!placement->stop.requested) continue;
      fc_resources_add(&h.room, &placement->job->spec);
    }
    if (fc_machine_usable(cluster, machine, now)) g_array_append_val(hosts, h);
  }
  return hosts;
}

static gint by_task(gconstpointer a, gconstpointer b) {
  const fc_placement *x = *(const fc_placement *const *)a, *y = *(const fc_placement *const *)b;
  int by_job = strcmp(x->job_id, y->job_id);
  return by_job != 0 ? by_job : x->index < y->index ? -1 : x->index > y->index;
}

static void stop_for_gang(const fc_cluster *cluster, const fc_job *gang, GPtrArray *stops) {
  const fc_team_settings *team_settings = &cluster->settings->teams[gang->team];
  GPtrArray *may = g_ptr_array_new();
  double cpus = gang->spec.tasks * gang->spec.cpus, gpus = gang->spec.tasks * gang->spec.gpus;
  fc_job_iter job_iter = fc_cluster_jobs(cluster);
  for (const fc_job *job; (job = fc_job_iter_next(&job_iter));) {
    if (job->team != gang->team) continue;
    bool stoppable = job->spec.kind == FC_JOB_ARRAY && job->queue.priority < gang->queue.priority;
    for (guint i = 0; i < job->placements->len; i++) {
      fc_placement *placement = job->placements->pdata[i];
      if (!fc_placement_active(placement)) continue;
      cpus += job->spec.cpus;
      gpus += job->spec.gpus;
      if (stoppable) g_ptr_array_add(may, placement);
    }
  }
  g_ptr_array_sort(may, by_task);
  for (guint i = 0; i < may->len && !fc_team_limit_allows(team_settings, cpus, gpus); i++) {
    fc_placement *placement = may->pdata[i];
    cpus -= placement->job->spec.cpus;
    gpus -= placement->job->spec.gpus;
    if (fc_machine_owned_by_self(cluster, placement->machine) && !placement->stop.requested)
      g_ptr_array_add(stops, placement);
  }
  g_ptr_array_free(may, TRUE);
}

void fc_preempt_for_limit(const fc_cluster *cluster, GPtrArray *stops, double now) {
  const fc_job *turn[FC_TEAMS_MAX];
  fc_gang_precedence(cluster, turn);
  for (size_t k = 0; k < cluster->settings->team_count; k++) {
    const fc_job *gang = turn[k];
    /* What runs may end by itself; a lease is as long as most troubles take. */
    if (gang && now > gang->queue.entered_at + cluster->settings->lease_s) stop_for_gang(cluster, gang, stops);
  }
}

struct fc_image_search {
  const fc_cluster *table;
  double now;
  usage used;
  GArray *hosts;        /* NULL: not looked for yet */
  GHashTable *by_image; /* image -> GArray of host; as it stands in this plan */
};

fc_image_search *fc_image_search_new(const fc_cluster *cluster, double now) {
  fc_image_search *search = g_new0(fc_image_search, 1);
  search->table = cluster;
  search->now = now;
  search->by_image = g_hash_table_new_full(NULL, NULL, NULL, (GDestroyNotify)g_array_unref);
  return search;
}

void fc_image_search_free(fc_image_search *search) {
  if (search->hosts) g_array_free(search->hosts, TRUE);
  g_hash_table_destroy(search->by_image);
  g_free(search);
}

/* The machines that have the image. What one of the plan's jobs has stopped there is
 * known to the next that wants the same image; for one of another image its machine
 * merely has room being freed. */
static GArray *holders(fc_image_search *search, GRefString *image) {
  GArray *found = g_hash_table_lookup(search->by_image, image);
  if (found) return found;
  if (!search->hosts) search->hosts = gather_hosts(search->table, &search->used, search->now);
  found = g_array_new(FALSE, TRUE, sizeof(host));
  for (guint i = 0; i < search->hosts->len; i++) {
    const host *h = &g_array_index(search->hosts, host, i);
    if (fc_machine_has_image(h->machine, image)) g_array_append_val(found, *h);
  }
  g_hash_table_insert(search->by_image, image, found);
  return found;
}

bool fc_preempt_for_image(fc_image_search *search, const fc_decision *decision, GPtrArray *stops) {
  const fc_cluster *cluster = search->table;
  const fc_job *job = decision->job;
  const fc_machine *machine = decision->machine;
  if (job->queue.priority < FC_PRIORITY_PROD || job->spec.kind == FC_JOB_GANG || machine->type < 0) return false;
  if (fc_machine_has_image(machine, job->spec.image)) return false;
  const fc_machine_type *machine_type = cluster->machine_types->pdata[machine->type];
  double fetch = machine_type->fetch_gb_per_s > 0 ? job->spec.image_gb / machine_type->fetch_gb_per_s : 0;
  /* Waiting has to pay: a stop takes a save and a report or two. */
  double patience = fetch * 0.5;
  if (patience < cluster->settings->heartbeat_s * 3 || search->now > job->queue.entered_at + patience) return false;
  return make_room(cluster, &search->used, holders(search, job->spec.image), job, search->now, stops);
}

/* A job that has found nothing, and the zones (a bit each) that were open to it. */
typedef struct failure {
  const fc_job *job;
  unsigned zones;
} failure;

static unsigned open_zones(const fc_job *job) {
  const fc_zone_spread spread = fc_job_zone_spread(job);
  unsigned zones = 0;
  for (unsigned z = 0; z <= FC_ZONES_MAX; z++) zones |= (unsigned)fc_zone_spread_allows(&spread, &job->spec, z) << z;
  return zones;
}

/* Does the job ask for all that one of those asked for, at most in the same places? It
 * will find nothing either: room only grows less while a round chooses. */
static bool hopeless(const GArray *failed, const fc_job *job, unsigned zones) {
  const fc_job_spec *y = &job->spec;
  for (guint i = 0; i < failed->len; i++) {
    const failure *f = &g_array_index(failed, failure, i);
    const fc_job_spec *x = &f->job->spec;
    if (f->job->queue.priority == job->queue.priority && f->job->team == job->team && x->spot == y->spot &&
        x->zone == y->zone && !x->types && !f->job->failures.machines && (zones & ~f->zones) == 0 &&
        x->cpus <= y->cpus && x->gpus <= y->gpus && x->memory_gb <= y->memory_gb)
      return true;
  }
  return false;
}

GPtrArray *fc_preempt_round(const fc_cluster *cluster, const fc_allowance *allow, double now) {
  GPtrArray *out = g_ptr_array_new();
  usage u = {{0}, {0}};
  GArray *hosts = gather_hosts(cluster, &u, now);
  GPtrArray *jobs = fc_cluster_open_jobs(cluster);
  fc_allowance left = *allow;
  GArray *failed = g_array_new(FALSE, TRUE, sizeof(failure));
  for (guint i = 0; i < jobs->len; i++) {
    fc_job *job = jobs->pdata[i];
    if (job->spec.kind == FC_JOB_GANG || !fc_job_placeable(cluster, job, now) || job->slices.handover_pending) continue;
    /* Idle room elsewhere is cheaper: give the hand-over time to find it. */
    if (now < job->queue.entered_at + cluster->settings->op.handover_wait_s + cluster->settings->op.round_s * 0.5)
      continue;
    if (hopeless(failed, job, open_zones(job))) continue;
    GArray *missing = fc_job_pending_tasks(job, cluster->membership.self, 64);
    for (guint k = 0; k < missing->len; k++) {
      if (!(job->slices.resolved >> fc_job_slice_of(job, g_array_index(missing, uint32_t, k)) & 1)) continue;
      if (left.cpus[job->team] < job->spec.cpus - 1e-6 || left.gpus[job->team] < job->spec.gpus - 1e-6) break;
      if (!make_room(cluster, &u, hosts, job, now, out)) {
        failure f = {.job = job, .zones = open_zones(job)};
        g_array_append_val(failed, f);
        break;
      }
      left.cpus[job->team] -= job->spec.cpus;
      left.gpus[job->team] -= job->spec.gpus;
      u.cpus[job->team] += job->spec.cpus;
      u.gpus[job->team] += job->spec.gpus;
    }
    g_array_free(missing, TRUE);
  }
  g_array_free(failed, TRUE);
  g_ptr_array_free(jobs, TRUE);
  g_array_free(hosts, TRUE);
  return out;
}
