#include "scheduler/shard_balancing.h"

#include <string.h>

#include "bookkeeping/dependencies.h"
#include "coordination/assignment.h"
#include "scheduler/bin_packing.h"

typedef struct spare {
  const fc_machine *machine;
  fc_resources room;
  bool claimed;
} spare;

static bool usable(const fc_cluster *cluster, const fc_machine *machine, double now) {
  if (!machine->announced || machine->owner < 0 || machine->type < 0 ||
      machine->reconciled_term != cluster->membership.term.number)
    return false;
  if (fc_machine_cordoned(machine) || machine->drain.owner_cordoned || machine->drain.spot_notice_until ||
      machine->record_write_pending)
    return false;
  return machine->owner != cluster->membership.self || fc_machine_reachable(cluster, machine, now);
}

static gint by_id(gconstpointer a, gconstpointer b) {
  return strcmp(((const spare *)a)->machine->id, ((const spare *)b)->machine->id);
}

/* Every usable machine with its room, in order of names: all members look at
 * them in the same order. */
static GArray *spares(const fc_cluster *cluster, double now) {
  GArray *out = g_array_new(FALSE, TRUE, sizeof(spare));
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, cluster->machines);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    fc_machine *machine = value;
    if (!usable(cluster, machine, now)) continue;
    spare s = {.machine = machine, .room = fc_machine_free_resources(cluster, machine)};
    g_array_append_val(out, s);
  }
  g_array_sort(out, by_id);
  return out;
}

/* Machines with room for some of the jobs; the rest need not be looked at again and
 * again: in a long queue mostly all are full. True: some are in other parts. */
static bool keep_roomy(const fc_cluster *cluster, GArray *room, const fc_job_spec *least) {
  guint kept = 0;
  bool elsewhere = false;
  for (guint i = 0; i < room->len; i++) {
    const spare s = g_array_index(room, spare, i);
    if (!fc_resources_fit(&s.room, least)) continue;
    g_array_index(room, spare, kept++) = s;
    elsewhere |= s.machine->owner != cluster->membership.self;
  }
  g_array_set_size(room, kept);
  return elsewhere;
}

/* Jobs with a task of any part that is nowhere. */
static GPtrArray *waiting_jobs(const fc_cluster *cluster) {
  GPtrArray *jobs = fc_cluster_open_jobs(cluster);
  guint kept = 0;
  for (guint i = 0; i < jobs->len; i++)
    if (fc_job_has_pending_tasks(jobs->pdata[i], -1)) jobs->pdata[kept++] = jobs->pdata[i];
  g_ptr_array_set_size(jobs, (gint)kept);
  return jobs;
}

static bool fits(const spare *s, const fc_job *job, int owner, unsigned zone) {
  const fc_machine *machine = s->machine;
  if (machine->owner != owner || (zone != FC_ANY_ZONE && machine->zone != zone)) return false;
  if (job->failures.machines && g_hash_table_contains(job->failures.machines, machine->id)) return false;
  return fc_resources_fit(&s->room, &job->spec) &&
         fc_job_spec_allows(&job->spec, machine->record.type, machine->record.zone, machine->record.spot);
}

static bool holds(const fc_cluster *cluster, int member, const fc_job_spec *spec) {
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, cluster->machines);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    const fc_machine *machine = value;
    if (machine->owner != member || !machine->record_version || machine->type < 0 || fc_machine_cordoned(machine) ||
        machine->drain.owner_cordoned)
      continue;
    const fc_machine_type *machine_type = cluster->machine_types->pdata[machine->type];
    fc_resources whole = {machine_type->cpus, machine_type->gpus, machine_type->memory_gb};
    if (fc_resources_fit(&whole, spec) &&
        fc_job_spec_allows(spec, machine->record.type, machine->record.zone, machine->record.spot))
      return true;
  }
  return false;
}

void fc_assign_new_job_slices(const fc_cluster *cluster, const bool *fit, const fc_job_spec *spec, unsigned slices,
                              char **handed) {
  fc_term good = cluster->membership.term, able = cluster->membership.term;
  good.count = able.count = 0;
  for (size_t i = 0; i < cluster->membership.term.count; i++) {
    if (!fit[i]) continue;
    able.members[able.count++] = cluster->membership.term.members[i];
    if (holds(cluster, (int)i, spec)) good.members[good.count++] = cluster->membership.term.members[i];
  }
  /* Where nobody holds any yet, one will be rented: as dealt among the able. */
  const fc_term *among = good.count > 0 ? &good : &able;
  for (unsigned i = 0; i < slices && among->count > 0; i++) {
    int owner = fc_assign_slice(&cluster->membership.term, spec->id, i, slices, NULL);
    if (owner < 0 || fc_term_find(among, cluster->membership.term.members[owner].name) >= 0) continue;
    int to = fc_assign_slice(among, spec->id, i, slices, NULL);
    handed[i] =
        (char *)cluster->membership.term.members[fc_term_find(&cluster->membership.term, among->members[to].name)].name;
  }
}

/* How many of `want` tasks the member's spare room holds; takes them when asked. */
static unsigned hold(GArray *room, const fc_job *job, int owner, unsigned zone, unsigned want, bool take) {
  unsigned n = 0;
  if (want == 0) return 0;
  const fc_zone_spread spread = fc_job_zone_spread(job);
  for (guint i = 0; i < room->len && n < want; i++) {
    spare *s = &g_array_index(room, spare, i);
    if (!fits(s, job, owner, zone) || !fc_zone_spread_allows(&spread, &job->spec, s->machine->zone)) continue;
    fc_resources before = s->room;
    while (n < want && fc_resources_fit(&s->room, &job->spec)) {
      fc_resources_subtract(&s->room, &job->spec);
      n++;
    }
    if (!take) s->room = before;
  }
  return n;
}

static unsigned hold_job(GArray *room, const fc_cluster *cluster, const fc_job *job, int owner, unsigned want,
                         bool take) {
  if (!job->spec.one_zone) return hold(room, job, owner, FC_ANY_ZONE, want, take);
  unsigned best = 0, zone = FC_ANY_ZONE;
  for (unsigned z = 0; z < cluster->settings->zone_count; z++) {
    unsigned n = hold(room, job, owner, z, want, false);
    if (n <= best) continue;
    best = n;
    zone = z;
  }
  if (take && zone != FC_ANY_ZONE) (void)hold(room, job, owner, zone, want, true);
  return best;
}

/* Missing tasks by slice. */
static void missing_by_slice(const fc_job *job, unsigned want[FC_SLICES_MAX]) {
  memset(want, 0, FC_SLICES_MAX * sizeof want[0]);
  GArray *missing = fc_job_pending_tasks(job, -1, FC_PENDING_TASKS_MAX);
  for (guint i = 0; i < missing->len; i++) want[fc_job_slice_of(job, g_array_index(missing, uint32_t, i))]++;
  g_array_free(missing, TRUE);
}

typedef enum { KNOWS_NOT, KNOWS_ONCE_SETTLED, KNOWS_ALL } knowledge;

/* Does `to` know of everything of the slice that may be on a machine? After a change of
 * term some of a job may be on machines of others; if that kept it from being handed
 * over, a replica lost or never started waited beside room for as long as its mate ran
 * (scene ten_in_two_minutes). What is on a machine of `to` it has told us itself. What
 * is older than the term and on a third's machine it sees before that machine is
 * settled for it; only what was started there in this term could be told too late. */
static knowledge knows(const fc_cluster *cluster, const fc_peer_progress *told, const fc_job *job, unsigned slice,
                       int to) {
  knowledge least = KNOWS_ALL;
  for (guint i = 0; i < job->placements->len; i++) {
    const fc_placement *placement = job->placements->pdata[i];
    const fc_machine *machine = placement->machine;
    if (placement->index >= job->spec.tasks || fc_job_slice_of(job, placement->index) != slice) continue;
    if (job->spec.kind == FC_JOB_GANG) return KNOWS_NOT;
    /* Nobody takes our word of a machine of ours either while it isn't settled: views of
     * this term show it as unsettled, though what is on it was told in an earlier one. A
     * slice was handed over and started again (fault test with meetings, seed 566). */
    if (machine->reconciled_term != cluster->membership.term.number) return KNOWS_NOT;
    if (machine->owner == cluster->membership.self) {
      if (told->acked_view[to] < placement->first_view || told->acked_revision[to] < machine->record_version)
        return KNOWS_NOT;
      continue;
    }
    if (machine->owner == to) continue;
    if (fc_attempt_term(placement->attempt) >= cluster->membership.term.number) return KNOWS_NOT;
    least = KNOWS_ONCE_SETTLED;
  }
  return least;
}

/* A bit for each member on whose machines tasks of the slice are. */
static unsigned homes_of(const fc_job *job, unsigned slice) {
  unsigned homes = 0;
  for (guint i = 0; i < job->placements->len; i++) {
    const fc_placement *placement = job->placements->pdata[i];
    if (placement->index >= job->spec.tasks || fc_job_slice_of(job, placement->index) != slice ||
        placement->machine->owner < 0)
      continue;
    homes |= 1u << placement->machine->owner;
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

static void use_of_teams(const fc_cluster *cluster, team_use *out) {
  memset(out, 0, sizeof *out);
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, cluster->machines);
  while (g_hash_table_iter_next(&it, NULL, &value)) fc_machine_add_usage(value, out->cpus, out->gpus);
}

/* How many of `want` tasks its team's limit leaves room for. */
static unsigned within_limit(const fc_cluster *cluster, const team_use *u, const fc_job *job, unsigned want) {
  if (job->team < 0) return want;
  const fc_team_settings *team_settings = &cluster->settings->teams[job->team];
  unsigned n = 0;
  while (n < want && fc_team_limit_allows(team_settings, u->cpus[job->team] + (n + 1) * job->spec.cpus,
                                          u->gpus[job->team] + (n + 1) * job->spec.gpus))
    n++;
  return n;
}

/* Every part's own queue goes first. */
static GArray *own_first(const fc_cluster *cluster, GArray *room, const GPtrArray *jobs) {
  GArray *queue = g_array_sized_new(FALSE, TRUE, sizeof(queued), jobs->len);
  team_use use;
  use_of_teams(cluster, &use);
  for (guint i = 0; i < jobs->len; i++) {
    queued q = {.job = jobs->pdata[i]};
    missing_by_slice(q.job, q.want);
    for (unsigned s = 0; s < q.job->slices.count; s++) {
      int owner = fc_job_slice_owner(q.job, s);
      if (owner < 0) continue;
      /* What waits for its team's limit claims no room: beside it others' jobs waited
       * for minutes at full parts (days with meetings, seed 6038). */
      unsigned most = within_limit(cluster, &use, q.job, q.want[s]);
      unsigned n = hold_job(room, cluster, q.job, owner, most, true);
      if (q.job->team >= 0) {
        use.cpus[q.job->team] += n * q.job->spec.cpus;
        use.gpus[q.job->team] += n * q.job->spec.gpus;
      }
      /* Nor does it gain anything elsewhere. */
      if (owner == cluster->membership.self && (n > 0 || (most == 0 && q.want[s] > 0))) q.here |= 1u << s;
    }
    g_array_append_val(queue, q);
  }
  return queue;
}

/* The member that holds most of the slice; -1: nobody, or nobody who may have it. */
static int best_holder(const fc_cluster *cluster, const fc_peer_progress *told, GArray *room, const fc_job *job,
                       unsigned slice, unsigned want) {
  int best = -1;
  unsigned best_n = 0;
  for (int m = 0; m < (int)cluster->membership.term.count; m++) {
    if (m == cluster->membership.self || !told->available[m] || knows(cluster, told, job, slice, m) == KNOWS_NOT)
      continue;
    unsigned n = hold_job(room, cluster, job, m, want, false);
    if (job->spec.kind == FC_JOB_GANG && n < want) continue;
    if (n <= best_n) continue;
    best_n = n;
    best = m;
  }
  return best;
}

/* The slices of the job that are ours, known in full, and fit only elsewhere. */
static void hand_over_slices(const fc_cluster *cluster, const fc_peer_progress *told, GArray *room, const queued *q,
                             GArray *out) {
  fc_job *job = q->job;
  for (unsigned s = 0; s < job->slices.count; s++) {
    if (fc_job_slice_owner(job, s) != cluster->membership.self || !(job->slices.resolved >> s & 1)) continue;
    if (q->want[s] == 0 || (q->here >> s & 1)) continue;
    int to = best_holder(cluster, told, room, job, s, q->want[s]);
    if (to < 0) continue;
    (void)hold_job(room, cluster, job, to, q->want[s], true);
    fc_handover h = {.job = job, .slice = s, .to = to, .machine_owners = homes_of(job, s) | 1u << to};
    h.unseen = knows(cluster, told, job, s, to) != KNOWS_ALL;
    g_array_append_val(out, h);
  }
}

GArray *fc_plan_handovers(const fc_cluster *cluster, const fc_peer_progress *told, double now) {
  GArray *out = g_array_new(FALSE, TRUE, sizeof(fc_handover));
  if (cluster->membership.self < 0 || cluster->membership.term.count < 2) return out;
  GArray *room = spares(cluster, now);
  GPtrArray *jobs = waiting_jobs(cluster);
  const fc_job_spec least = fc_least_resources_of(jobs);
  GArray *queue = keep_roomy(cluster, room, &least) ? own_first(cluster, room, jobs) : NULL;
  for (guint i = 0; queue && i < queue->len && keep_roomy(cluster, room, &least); i++) {
    const queued *q = &g_array_index(queue, queued, i);
    const fc_job *job = q->job;
    /* Where all parts are full, a job would go round and round. */
    double pause = cluster->settings->op.round_s * (1 + MIN(job->slices.handover_count, 7));
    if (now < job->queue.entered_at + cluster->settings->op.handover_wait_s || now < job->slices.handover_at + pause)
      continue;
    if (!job->slices.handover_pending && now >= job->queue.blocked_until) hand_over_slices(cluster, told, room, q, out);
  }
  if (queue) g_array_free(queue, TRUE);
  g_ptr_array_free(jobs, TRUE);
  g_array_free(room, TRUE);
  return out;
}

static bool is_idle(const fc_machine *machine) {
  return machine->placements->len == 0;
}

bool fc_preemptible_for_gang(const fc_placement *placement, const fc_job *gang) {
  return placement->job && placement->job->spec.kind == FC_JOB_ARRAY &&
         placement->job->queue.priority < gang->queue.priority;
}

/* The machine's room once arrays of lower rank than the gang have been stopped;
 * *all: nothing else is on it. */
static fc_resources cleared_room(const spare *s, const fc_job *gang, bool *all) {
  fc_resources resources = s->room;
  *all = true;
  for (guint i = 0; i < s->machine->placements->len; i++) {
    const fc_placement *placement = s->machine->placements->pdata[i];
    if (placement->status.state == FC_TASK_EXITED) continue;
    if (!fc_preemptible_for_gang(placement, gang)) {
      *all = false;
      continue;
    }
    fc_resources_add(&resources, &placement->job->spec);
  }
  return resources;
}

/* What the gang may use of this machine: its owner any room, others only whole
 * machines; with `clear`, also what can be cleared. */
static bool gang_use(const spare *s, const fc_job *job, int owner, unsigned zone, bool clear, fc_resources *room) {
  const fc_machine *machine = s->machine;
  if (s->claimed || (zone != FC_ANY_ZONE && machine->zone != zone)) return false;
  if (job->failures.machines && g_hash_table_contains(job->failures.machines, machine->id)) return false;
  if (!fc_job_spec_allows(&job->spec, machine->record.type, machine->record.zone, machine->record.spot)) return false;
  bool all = is_idle(machine);
  *room = s->room;
  if (clear) *room = cleared_room(s, job, &all);
  return (machine->owner == owner || all) && fc_resources_fit(room, &job->spec);
}

static unsigned gang_room(const GArray *room, const fc_job *job, int owner, unsigned zone, bool clear, unsigned want,
                          unsigned *own) {
  unsigned n = 0;
  *own = 0;
  for (guint i = 0; i < room->len; i++) {
    const spare *s = &g_array_index(room, spare, i);
    fc_resources resources;
    if (!gang_use(s, job, owner, zone, clear, &resources)) continue;
    while (n < want && fc_resources_fit(&resources, &job->spec)) {
      fc_resources_subtract(&resources, &job->spec);
      n++;
      *own += s->machine->owner == owner;
    }
  }
  return n;
}

static bool find_zone(const fc_cluster *cluster, const GArray *room, const fc_job *job, int owner, bool clear,
                      unsigned want, unsigned *best, unsigned *best_own) {
  bool found = false;
  size_t zones = job->spec.one_zone ? cluster->settings->zone_count : 1;
  for (unsigned z = 0; z < zones; z++) {
    unsigned zone = job->spec.one_zone ? z : FC_ANY_ZONE;
    unsigned own;
    if (gang_room(room, job, owner, zone, clear, want, &own) < want || (found && own <= *best_own)) continue;
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
static void lend_pass(const fc_cluster *cluster, GArray *room, gang_need *g, bool of_owner, bool clearing,
                      GArray *out) {
  for (guint i = 0; i < room->len && g->left > 0; i++) {
    spare *s = &g_array_index(room, spare, i);
    fc_machine *machine = (fc_machine *)s->machine;
    fc_resources resources;
    if ((machine->owner == g->owner) != of_owner || !gang_use(s, g->job, g->owner, g->zone, clearing, &resources))
      continue;
    s->claimed = true;
    while (g->left > 0 && fc_resources_fit(&resources, &g->job->spec)) {
      fc_resources_subtract(&resources, &g->job->spec);
      g->left--;
    }
    if (machine->owner != cluster->membership.self || (of_owner && !clearing)) continue;
    fc_machine_transfer l = {.machine = machine, .to = g->owner, .gang = g->job, .preempt = clearing};
    g_array_append_val(out, l);
  }
}

static void lend_to_gang(const fc_cluster *cluster, GArray *room, fc_job *job, double now, GArray *out) {
  gang_need g = {.job = job,
                 .owner = fc_job_slice_owner(job, 0),
                 .zone = FC_ANY_ZONE,
                 .left = job->spec.tasks - job->completion.count};
  unsigned own = 0;
  bool clear = !find_zone(cluster, room, job, g.owner, false, g.left, &g.zone, &own);
  if (clear) {
    if (now < job->queue.entered_at + 2 * cluster->settings->op.round_s) return;
    if (!find_zone(cluster, room, job, g.owner, true, g.left, &g.zone, &own)) return;
  } else if (own >= g.left) {
    return; /* its owner places it alone */
  }
  /* The owner's own machines first, then idle ones, then what has to be cleared:
   * all members make the same choice from what they know. */
  for (int pass = 0; pass < (clear ? 4 : 2); pass++) lend_pass(cluster, room, &g, pass % 2 == 0, pass >= 2, out);
}

/* Gangs that have waited for a hand-over in vain, in an order that is the same on
 * every member. */
static GPtrArray *waiting_gangs(const fc_cluster *cluster, double now) {
  GPtrArray *jobs = g_ptr_array_new();
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, cluster->jobs);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    fc_job *job = value;
    if (job->spec.kind != FC_JOB_GANG || !fc_job_runnable(job) || job->team < 0) continue;
    if (job->placements->len > 0 || job->completion.count == job->spec.tasks) continue;
    if (now >= job->queue.entered_at + cluster->settings->op.handover_wait_s) g_ptr_array_add(jobs, job);
  }
  g_ptr_array_sort(jobs, fc_job_compare_priority_and_id);
  return jobs;
}

GArray *fc_plan_machine_transfers(const fc_cluster *cluster, const fc_peer_progress *told, double now) {
  GArray *out = g_array_new(FALSE, TRUE, sizeof(fc_machine_transfer));
  if (cluster->membership.self < 0 || cluster->membership.term.count < 2) return out;
  GPtrArray *jobs = waiting_gangs(cluster, now);
  if (jobs->len == 0) {
    g_ptr_array_free(jobs, TRUE);
    return out;
  }
  GArray *room = spares(cluster, now);
  const fc_job *turn[FC_TEAMS_MAX];
  fc_gang_precedence(cluster, turn);
  for (guint i = 0; i < jobs->len; i++) {
    fc_job *job = jobs->pdata[i];
    if (fc_gang_precedes(cluster, turn[job->team], job, now)) continue;
    int owner = fc_job_slice_owner(job, 0);
    if (owner >= 0 && (owner == cluster->membership.self || told->available[owner]))
      lend_to_gang(cluster, room, job, now, out);
  }
  g_ptr_array_free(jobs, TRUE);
  g_array_free(room, TRUE);
  return out;
}
