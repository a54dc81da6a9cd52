#include "scheduler/bin_packing.h"

#include <math.h>
#include <string.h>

#include "bookkeeping/cluster_machines.h"
#include "bookkeeping/dependencies.h"

typedef struct slot {
  fc_machine *machine;
  const fc_machine_type *type;
  fc_resources room;
  GPtrArray *planned_images; /* images that tasks of this round bring along */
} slot;

typedef struct candidate {
  fc_job *job;
  GArray *missing; /* uint32_t */
  guint next;
  fc_zone_spread spread; /* of its tasks, those of this round included */
} candidate;

typedef struct round_state {
  const fc_cluster *table;
  double now;
  GArray *slots;   /* with room, in order of names */
  GPtrArray *jobs; /* candidate; most important rank first, then first come */
  GQueue *by_team; /* waiting jobs of the rank that is being placed, first come first */
  fc_allowance allow;
  const fc_job *turn[FC_TEAMS_MAX];
  double used_cpus[FC_TEAMS_MAX], used_gpus[FC_TEAMS_MAX]; /* everywhere */
  GArray *out;
} round_state;

bool fc_machine_usable(const fc_cluster *cluster, const fc_machine *machine, double now) {
  if (cluster->membership.self < 0 || !fc_machine_owned_by_self(cluster, machine) || !machine->announced ||
      !fc_machine_reconciled(cluster, machine))
    return false;
  if (fc_machine_cordoned(machine) || machine->record_write_pending || machine->type < 0 ||
      machine->drain.spot_notice_until)
    return false;
  return fc_machine_reachable(cluster, machine, now);
}

bool fc_job_placeable(const fc_cluster *cluster, const fc_job *job, double now) {
  return fc_job_runnable(job) && job->slices.resolved && job->team >= 0 && now >= job->queue.blocked_until &&
         cluster->membership.self >= 0 && fc_job_owned_by(job, cluster->membership.self);
}

/* When the job should start: at the latest that its deadline allows, or at once. */
static double wanted_start(const fc_job *job) {
  double latest = fc_job_latest_start(job);
  return isinf(latest) ? job->queue.entered_at : latest;
}

gint fc_job_compare_priority(gconstpointer a, gconstpointer b) {
  const fc_job *x = *(const fc_job *const *)a, *y = *(const fc_job *const *)b;
  if (x->queue.priority != y->queue.priority) return x->queue.priority > y->queue.priority ? -1 : 1;
  double x_start = wanted_start(x), y_start = wanted_start(y);
  if (x_start != y_start) return x_start < y_start ? -1 : 1;
  return x->queue.sequence < y->queue.sequence ? -1 : x->queue.sequence > y->queue.sequence;
}

GPtrArray *fc_cluster_open_jobs(const fc_cluster *cluster) {
  GPtrArray *out = g_ptr_array_new();
  fc_job_iter job_iter = fc_cluster_jobs(cluster);
  for (fc_job *job; (job = fc_job_iter_next(&job_iter));) {
    if (fc_job_runnable(job) && job->team >= 0 && job->completion.count < job->spec.tasks) g_ptr_array_add(out, job);
  }
  g_ptr_array_sort(out, fc_job_compare_priority);
  return out;
}

fc_zone_spread fc_job_zone_spread(const fc_job *job) {
  fc_zone_spread spread = {{0}, 0};
  for (guint i = 0; i < job->placements->len; i++) {
    const fc_placement *placement = job->placements->pdata[i];
    if (fc_placement_active(placement)) fc_zone_spread_add(&spread, placement->machine->zone);
  }
  return spread;
}

void fc_zone_spread_add(fc_zone_spread *spread, unsigned zone) {
  spread->in[zone]++;
  spread->all++;
}

bool fc_zone_spread_allows(const fc_zone_spread *spread, const fc_job_spec *spec, unsigned zone) {
  if (spec->one_zone && spread->all != spread->in[zone]) return false;
  return !spec->spread || spread->in[zone] + 1 <= (spec->tasks + 1) / 2;
}

gint fc_job_compare_priority_and_id(gconstpointer a, gconstpointer b) {
  const fc_job *x = *(const fc_job *const *)a, *y = *(const fc_job *const *)b;
  if (x->queue.priority != y->queue.priority) return x->queue.priority > y->queue.priority ? -1 : 1;
  return strcmp(x->spec.id, y->spec.id);
}

static bool gang_waits(const fc_job *job) {
  return job->spec.kind == FC_JOB_GANG && fc_job_runnable(job) && job->placements->len == 0 &&
         job->completion.count < job->spec.tasks;
}

/* What of the team's use can't be stopped for a gang of the rank. */
static fc_resources fixed_use(const fc_cluster *cluster, int team, fc_priority rank) {
  fc_resources use = {0, 0, 0};
  fc_job_iter job_iter = fc_cluster_jobs(cluster);
  for (const fc_job *job; (job = fc_job_iter_next(&job_iter));) {
    if (job->team != team || (job->spec.kind == FC_JOB_ARRAY && job->queue.priority < rank)) continue;
    unsigned n = 0;
    for (guint i = 0; i < job->placements->len; i++) n += fc_placement_active(job->placements->pdata[i]);
    use.cpus += job->spec.cpus * n;
    use.gpus += job->spec.gpus * n;
  }
  return use;
}

bool fc_team_limit_allows(const fc_team_settings *team_settings, double cpus, double gpus) {
  const double slack = 1e-6;
  return (team_settings->cpus_max <= 0 || cpus <= team_settings->cpus_max + slack) &&
         (team_settings->gpus_max <= 0 || gpus <= team_settings->gpus_max + slack);
}

void fc_gang_precedence(const fc_cluster *cluster, const fc_job **turn) {
  for (size_t k = 0; k < cluster->settings->team_count; k++) turn[k] = NULL;
  GPtrArray *gangs = g_ptr_array_new();
  fc_job_iter job_iter = fc_cluster_jobs(cluster);
  for (const fc_job *job; (job = fc_job_iter_next(&job_iter));) {
    if (job->team < 0 || !gang_waits(job)) continue;
    const fc_team_settings *team_settings = &cluster->settings->teams[job->team];
    if (team_settings->cpus_max > 0 || team_settings->gpus_max > 0) g_ptr_array_add(gangs, (gpointer)job);
  }
  g_ptr_array_sort(gangs, fc_job_compare_priority_and_id);
  fc_resources use = {0, 0, 0};
  int use_team = -1, use_rank = -1; /* whose that is */
  for (guint i = 0; i < gangs->len; i++) {
    const fc_job *job = gangs->pdata[i];
    if (turn[job->team]) continue;
    if (use_team != job->team || use_rank != (int)job->queue.priority)
      use = fixed_use(cluster, job->team, job->queue.priority);
    use_team = job->team;
    use_rank = (int)job->queue.priority;
    double n = job->spec.tasks;
    if (fc_team_limit_allows(&cluster->settings->teams[job->team], use.cpus + n * job->spec.cpus,
                             use.gpus + n * job->spec.gpus))
      turn[job->team] = job;
  }
  g_ptr_array_free(gangs, TRUE);
}

bool fc_gang_precedes(const fc_cluster *cluster, const fc_job *gang, const fc_job *job, double now) {
  if (!gang || job == gang || job->team != gang->team) return false;
  if (job->spec.kind == FC_JOB_GANG) return true;
  /* Those of its own rank too: with an array of a pipeline, which has the rank of its last
   * job, part of the limit stayed where it found no room, and both waited for ever (fault
   * test with upgrades and meetings, seed 149). */
  return job->spec.kind == FC_JOB_ARRAY && job->queue.priority <= gang->queue.priority &&
         now > gang->queue.entered_at + cluster->settings->op.handover_wait_s;
}

#define SMALL_BITMAP 64u /* tasks / 8 that need no memory of their own */

/* The tasks that are finished or may be somewhere. `small` serves where it is large
 * enough; free the result when it is another. */
static uint8_t *taken_tasks(const fc_job *job, uint8_t small[SMALL_BITMAP]) {
  size_t bytes = (job->spec.tasks + 7) / 8;
  uint8_t *taken = bytes <= SMALL_BITMAP ? small : g_malloc(bytes);
  memcpy(taken, job->completion.bitmap, bytes);
  for (guint i = 0; i < job->placements->len; i++) {
    const fc_placement *placement = job->placements->pdata[i];
    /* An exited task that did not finish is gone; any other may be there. */
    if (placement->status.state == FC_TASK_EXITED && placement->status.cause != FC_CAUSE_DONE) continue;
    if (placement->index < job->spec.tasks) taken[placement->index / 8] |= (uint8_t)(1u << (placement->index % 8));
  }
  return taken;
}

static unsigned slices_of(const fc_job *job, int member) {
  unsigned slices = 0;
  for (unsigned s = 0; s < job->slices.count; s++)
    if (member < 0 || fc_job_slice_owner(job, s) == member) slices |= 1u << s;
  return slices;
}

/* Counts the tasks that are missing in the slices, up to `most`; lists them in `out`, if any. */
static guint each_missing(const fc_job *job, unsigned slices, guint most, GArray *out) {
  uint8_t small[SMALL_BITMAP], *taken = taken_tasks(job, small);
  guint n = 0;
  if (!slices) most = 0;
  for (uint32_t i = 0; i < job->spec.tasks && n < most; i++) {
    if (i % 8 == 0 && taken[i / 8] == 0xff) {
      i += 7;
      continue;
    }
    if ((taken[i / 8] >> (i % 8) & 1) || !(slices >> fc_job_slice_of(job, i) & 1)) continue;
    if (out) g_array_append_val(out, i);
    n++;
  }
  if (taken != small) g_free(taken);
  return n;
}

GArray *fc_job_pending_tasks_in(const fc_job *job, unsigned slices, guint most) {
  GArray *out = g_array_new(FALSE, FALSE, sizeof(uint32_t));
  (void)each_missing(job, slices, most, out);
  return out;
}

GArray *fc_job_pending_tasks(const fc_job *job, int member, guint most) {
  return fc_job_pending_tasks_in(job, slices_of(job, member), most);
}

bool fc_job_has_pending_tasks(const fc_job *job, int member) {
  return each_missing(job, slices_of(job, member), 1, NULL) > 0;
}

fc_job_spec fc_least_resources_none(void) {
  return (fc_job_spec){.cpus = INFINITY, .gpus = INFINITY, .memory_gb = INFINITY};
}

void fc_least_resources_add(fc_job_spec *least, double cpus, double gpus, double memory_gb) {
  least->cpus = MIN(least->cpus, cpus);
  least->gpus = MIN(least->gpus, gpus);
  least->memory_gb = MIN(least->memory_gb, memory_gb);
}

fc_job_spec fc_least_resources_of(const GPtrArray *jobs) {
  fc_job_spec least = fc_least_resources_none();
  for (guint i = 0; i < jobs->len; i++) {
    const fc_job_spec *spec = &((const fc_job *)jobs->pdata[i])->spec;
    fc_least_resources_add(&least, spec->cpus, spec->gpus, spec->memory_gb);
  }
  return least;
}

static void candidate_free(gpointer p) {
  candidate *c = p;
  g_array_free(c->missing, TRUE);
  g_free(c);
}

static void slot_clear(gpointer p) {
  slot *s = p;
  if (s->planned_images) g_ptr_array_free(s->planned_images, TRUE);
}

/* Images are interned: the same name is the same pointer. */
static bool brings(const slot *sl, const fc_job_spec *spec) {
  return fc_machine_has_image(sl->machine, spec->image) ||
         (sl->planned_images && g_ptr_array_find(sl->planned_images, spec->image, NULL));
}

/* Could a task of the job go there, as far as the machine is concerned? */
static bool suits(const round_state *rs, const slot *sl, const candidate *c, unsigned only_zone) {
  const fc_job_spec *spec = &c->job->spec;
  const fc_machine *machine = sl->machine;
  if (!fc_resources_fit(&sl->room, spec) || (only_zone != FC_ANY_ZONE && machine->zone != only_zone)) return false;
  if (!fc_job_spec_allows(spec, machine->record.type, machine->record.zone, machine->record.spot)) return false;
  if (c->job->failures.machines && g_hash_table_contains(c->job->failures.machines, machine->id)) return false;
  return rs->now >= machine->reservation.until || strcmp(machine->reservation.gang, spec->id) == 0;
}

/* Image holder first, else the roomiest in the allowed zones. */
static slot *choose(const round_state *rs, const candidate *c, unsigned only_zone) {
  const fc_job_spec *spec = &c->job->spec;
  slot *best = NULL;
  bool best_image = false;
  double best_room = -1;
  for (guint i = 0; i < rs->slots->len; i++) {
    slot *sl = &g_array_index(rs->slots, slot, i);
    const fc_machine *machine = sl->machine;
    if (!suits(rs, sl, c, only_zone) || !fc_zone_spread_allows(&c->spread, spec, machine->zone)) continue;
    bool image = brings(sl, spec);
    double room = (sl->type->gpus > 0 ? sl->room.gpus / sl->type->gpus : 0) +
                  (sl->type->cpus > 0 ? sl->room.cpus / sl->type->cpus : 0);
    /* Among machines that are equal otherwise by the rule, a job that may use
     * cheap ones leaves the ordinary ones to jobs that may not. */
    bool cheap = machine->record.spot;
    bool better = !best || (image && !best_image);
    if (best && image == best_image) {
      bool best_cheap = best->machine->record.spot;
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

static void take(round_state *rs, slot *sl, candidate *c, uint32_t index) {
  fc_job *job = c->job;
  fc_decision d = {.job = job, .index = index, .machine = sl->machine};
  g_array_append_val(rs->out, d);
  fc_resources_subtract(&sl->room, &job->spec);
  if (!sl->planned_images) sl->planned_images = g_ptr_array_new();
  if (!g_ptr_array_find(sl->planned_images, job->spec.image, NULL))
    g_ptr_array_add(sl->planned_images, job->spec.image);
  fc_zone_spread_add(&c->spread, sl->machine->zone);
  rs->allow.cpus[job->team] -= job->spec.cpus;
  rs->allow.gpus[job->team] -= job->spec.gpus;
  rs->used_cpus[job->team] += job->spec.cpus;
  rs->used_gpus[job->team] += job->spec.gpus;
}

static bool allowed(const round_state *rs, const fc_job *job, unsigned tasks) {
  const double slack = 1e-6;
  return rs->allow.cpus[job->team] + slack >= job->spec.cpus * tasks &&
         rs->allow.gpus[job->team] + slack >= job->spec.gpus * tasks;
}

/* How many of the gang's tasks the zone holds, in one pass, up to what it needs;
 * `take` keeps that room from others. */
static guint gang_room(round_state *rs, const candidate *c, unsigned zone, bool take_it) {
  fc_zone_spread spread = c->spread;
  guint n = 0;
  for (guint i = 0; i < rs->slots->len && n < c->missing->len; i++) {
    slot *sl = &g_array_index(rs->slots, slot, i);
    fc_resources before = sl->room;
    while (n < c->missing->len && suits(rs, sl, c, zone) &&
           fc_zone_spread_allows(&spread, &c->job->spec, sl->machine->zone)) {
      fc_resources_subtract(&sl->room, &c->job->spec);
      fc_zone_spread_add(&spread, sl->machine->zone);
      n++;
    }
    if (!take_it) sl->room = before;
  }
  return n;
}

/* All tasks of the gang or none: only where the zone has been seen to hold it. */
static void place_gang(round_state *rs, candidate *c, unsigned zone) {
  for (guint i = 0; i < c->missing->len; i++) {
    slot *sl = choose(rs, c, zone);
    if (sl) take(rs, sl, c, g_array_index(c->missing, uint32_t, i));
  }
}

/* Places all of the gang, in one zone where it must be, or keeps room for it. */
static void place_whole_gang(round_state *rs, candidate *c) {
  const fc_job *job = c->job;
  if (c->missing->len != job->spec.tasks - job->completion.count || job->placements->len > 0) return;
  if (!allowed(rs, job, c->missing->len)) return;
  unsigned best = FC_ANY_ZONE;
  guint most = 0;
  size_t zones = job->spec.one_zone ? rs->table->settings->zone_count : 1;
  for (unsigned z = 0; z < zones; z++) {
    unsigned zone = job->spec.one_zone ? z : FC_ANY_ZONE;
    guint n = gang_room(rs, c, zone, false);
    if (n == c->missing->len) {
      place_gang(rs, c, zone);
      return;
    }
    if (n > most) {
      most = n;
      best = zone;
    }
  }
  /* What room there is is kept for a gang that waits for more: tasks of lower
   * rank would take one machine after the other, and it would never start. */
  if (most > 0) (void)gang_room(rs, c, best, true);
}

/* False when the job can get nothing more this round. */
static bool place_some(round_state *rs, candidate *c) {
  fc_job *job = c->job;
  if (fc_gang_precedes(rs->table, rs->turn[job->team], job, rs->now)) return false;
  if (job->spec.kind == FC_JOB_GANG) {
    place_whole_gang(rs, c);
    return false;
  }
  if (c->next >= c->missing->len || !allowed(rs, job, 1)) return false;
  slot *sl = choose(rs, c, FC_ANY_ZONE);
  if (!sl) return false;
  take(rs, sl, c, g_array_index(c->missing, uint32_t, c->next++));
  return c->next < c->missing->len;
}

/* Used part of the guarantee; teams without one come after, by what they use. */
static double share_of(const round_state *rs, int team) {
  const fc_team_settings *team_settings = &rs->table->settings->teams[team];
  double share = 0;
  bool guaranteed = false;
  if (team_settings->gpus > 0) {
    share = MAX(share, rs->used_gpus[team] / team_settings->gpus);
    guaranteed = true;
  }
  if (team_settings->cpus > 0) {
    share = MAX(share, rs->used_cpus[team] / team_settings->cpus);
    guaranteed = true;
  }
  return guaranteed ? share : 1 + rs->used_cpus[team] * 1e-6;
}

/* The team whose turn it is: the lowest share, then whose job should start first; -1: no
 * job of the rank is left. */
static int pick(const round_state *rs) {
  int best = -1;
  double best_share = 0;
  for (size_t k = 0; k < rs->table->settings->team_count; k++) {
    const candidate *c = g_queue_peek_head(&rs->by_team[k]);
    if (!c) continue;
    double share = share_of(rs, (int)k);
    const candidate *other = best >= 0 ? g_queue_peek_head(&rs->by_team[best]) : NULL;
    if (other && share > best_share - 1e-9 &&
        (share > best_share + 1e-9 || fc_job_compare_priority(&c->job, &other->job) > 0))
      continue;
    best = (int)k;
    best_share = share;
  }
  return best;
}

static gint by_importance(gconstpointer a, gconstpointer b) {
  const fc_job *x = (*(const candidate *const *)a)->job, *y = (*(const candidate *const *)b)->job;
  return fc_job_compare_priority(&x, &y);
}

/* Places the jobs of one rank, from jobs[from] on; returns where the next begins. */
static guint place_rank(round_state *rs, guint from) {
  const candidate *first = rs->jobs->pdata[from];
  guint end = from;
  for (; end < rs->jobs->len; end++) {
    candidate *c = rs->jobs->pdata[end];
    if (c->job->queue.priority != first->job->queue.priority) break;
    g_queue_push_tail(&rs->by_team[c->job->team], c);
  }
  int team;
  while ((team = pick(rs)) >= 0)
    if (!place_some(rs, g_queue_peek_head(&rs->by_team[team]))) (void)g_queue_pop_head(&rs->by_team[team]);
  return end;
}

/* Ties fall to the first by name, so that a round is the same on every run. */
static gint by_machine(gconstpointer a, gconstpointer b) {
  return strcmp(((const slot *)a)->machine->id, ((const slot *)b)->machine->id);
}

static void gather_jobs(round_state *rs, fc_job_spec *least) {
  const fc_cluster *cluster = rs->table;
  *least = fc_least_resources_none();
  fc_job_iter job_iter = fc_cluster_jobs(cluster);
  for (fc_job *job; (job = fc_job_iter_next(&job_iter));) {
    if (!fc_job_placeable(cluster, job, rs->now)) continue;
    /* What may be on a machine that we have not heard of is not started. */
    unsigned slices = slices_of(job, cluster->membership.self) & job->slices.resolved & ~job->slices.handover_pending;
    if (each_missing(job, slices, 1, NULL) == 0) continue;
    GArray *missing = fc_job_pending_tasks_in(job, slices, FC_PENDING_TASKS_MAX);
    candidate *c = g_new0(candidate, 1);
    c->job = job;
    c->missing = missing;
    c->spread = fc_job_zone_spread(job);
    g_ptr_array_add(rs->jobs, c);
    fc_least_resources_add(least, job->spec.cpus, job->spec.gpus, job->spec.memory_gb);
  }
  g_ptr_array_sort(rs->jobs, by_importance);
}

/* Only machines that could take some job: in a full fleet these are few. */
static void gather_slots(round_state *rs, const fc_job_spec *least) {
  const fc_cluster *cluster = rs->table;
  fc_machine_iter machine_iter = fc_cluster_machines(cluster);
  for (fc_machine *machine; (machine = fc_machine_iter_next(&machine_iter));) {
    fc_machine_add_usage(machine, rs->used_cpus, rs->used_gpus);
    if (!fc_machine_usable(cluster, machine, rs->now)) continue;
    slot s = {.machine = machine,
              .type = cluster->machine_types->pdata[machine->type],
              .room = fc_machine_free_resources(cluster, machine)};
    if (fc_resources_fit(&s.room, least)) g_array_append_val(rs->slots, s);
  }
  g_array_sort(rs->slots, by_machine);
}

GArray *fc_place_round(const fc_cluster *cluster, const fc_allowance *allow, double now) {
  round_state rs = {.table = cluster, .now = now, .allow = *allow};
  rs.slots = g_array_new(FALSE, TRUE, sizeof(slot));
  g_array_set_clear_func(rs.slots, slot_clear);
  rs.jobs = g_ptr_array_new_with_free_func(candidate_free);
  rs.out = g_array_new(FALSE, TRUE, sizeof(fc_decision));
  fc_job_spec least;
  gather_jobs(&rs, &least);
  if (rs.jobs->len > 0) gather_slots(&rs, &least);
  if (rs.slots->len > 0) {
    fc_gang_precedence(cluster, rs.turn);
    rs.by_team = g_new0(GQueue, cluster->settings->team_count);
    for (guint at = 0; at < rs.jobs->len;) at = place_rank(&rs, at);
    g_free(rs.by_team);
  }
  g_array_free(rs.slots, TRUE);
  g_ptr_array_free(rs.jobs, TRUE);
  return rs.out;
}
