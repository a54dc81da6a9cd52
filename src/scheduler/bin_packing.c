#include "scheduler/bin_packing.h"

#include <string.h>

#include "scheduler/free_capacity.h"
#include "scheduler/gang_precedence.h"
#include "scheduler/job_order.h"
#include "scheduler/minimum_request.h"
#include "scheduler/pending_tasks.h"
#include "scheduler/zone_spread.h"

/* Usage shares and free shares that differ by less than this are treated as equal. */
#define TIE_TOLERANCE 1e-9
/* A team without a guarantee ranks as if it used all of one, plus this much for each CPU that it uses. */
#define UNGUARANTEED_SHARE_PER_CPU 1e-6

/* A machine that tasks may be placed on. */
typedef struct target {
  fc_machine *machine;
  const fc_machine_type *type;
  fc_resources room;
  GPtrArray *planned_images; /* images of the tasks placed in this round; NULL: none yet */
} target;

/* A job with pending tasks. */
typedef struct candidate {
  fc_job *job;
  GArray *pending; /* uint32_t */
  guint next;      /* index into `pending` */
  fc_zone_spread spread;
} candidate;

typedef struct placing_round {
  const fc_cluster *cluster;
  double now;
  GArray *targets;       /* target: machines with free capacity, sorted by machine id */
  GPtrArray *candidates; /* candidate, by fc_job_compare_priority() */
  GQueue *by_team;       /* by team: its candidates of the priority being placed */
  fc_team_allowance allowance;
  fc_gang_order gang_order;
  fc_team_usage usage;
  GArray *decisions;
} placing_round;

static void candidate_free(gpointer pointer) {
  candidate *freed = pointer;
  g_array_free(freed->pending, TRUE);
  g_free(freed);
}

static void target_clear(gpointer pointer) {
  target *cleared = pointer;
  if (cleared->planned_images) g_ptr_array_free(cleared->planned_images, TRUE);
}

/* Returns whether the machine has the image or will fetch it for another task of this round. Images are
 * interned, so that equal names are the same pointer. */
static bool will_have_image(const target *machine_target, const fc_job_spec *spec) {
  return fc_machine_has_image(machine_target->machine, spec->image) ||
         (machine_target->planned_images && g_ptr_array_find(machine_target->planned_images, spec->image, NULL));
}

/* Returns whether a task of the job may start on the machine, apart from the zone spread rules. */
static bool is_feasible(const placing_round *round, const target *machine_target, const candidate *placed,
                        unsigned only_zone) {
  const fc_job_spec *spec = &placed->job->spec;
  const fc_machine *machine = machine_target->machine;
  if (!fc_resources_fit(&machine_target->room, spec)) return false;
  if (only_zone != FC_ANY_ZONE && machine->zone != only_zone) return false;
  return fc_machine_suits_job(machine, placed->job) && !fc_machine_reserved_for_other(machine, spec->id, round->now);
}

/* The free share of the machine's GPUs plus that of its CPUs. */
static double free_share(const target *machine_target) {
  const fc_machine_type *type = machine_target->type;
  return (type->gpus > 0 ? machine_target->room.gpus / type->gpus : 0) +
         (type->cpus > 0 ? machine_target->room.cpus / type->cpus : 0);
}

/* The best machine for the next task, NULL if there is none: machines that have the image first, then spot
 * instances, then the machine with the largest free share. */
static target *choose_target(const placing_round *round, const candidate *placed, unsigned only_zone) {
  const fc_job_spec *spec = &placed->job->spec;
  target *best = NULL;
  bool best_has_image = false;
  double best_share = -1;
  for (guint i = 0; i < round->targets->len; i++) {
    target *considered = &g_array_index(round->targets, target, i);
    const fc_machine *machine = considered->machine;
    if (!is_feasible(round, considered, placed, only_zone) ||
        !fc_zone_spread_allows(&placed->spread, spec, machine->zone))
      continue;
    bool has_image = will_have_image(considered, spec);
    double share = free_share(considered);
    /* A job that may use spot instances leaves the on-demand machines to jobs that may not. */
    bool spot = machine->record.spot;
    bool better = !best || (has_image && !best_has_image);
    if (best && has_image == best_has_image) {
      bool best_spot = best->machine->record.spot;
      better = spot != best_spot ? spot : share > best_share + TIE_TOLERANCE;
    }
    if (better) {
      best = considered;
      best_has_image = has_image;
      best_share = share;
    }
  }
  return best;
}

static void place_task(placing_round *round, target *machine_target, candidate *placed, uint32_t index) {
  fc_job *job = placed->job;
  fc_placement_decision decision = {.job = job, .index = index, .machine = machine_target->machine};
  g_array_append_val(round->decisions, decision);
  fc_resources_subtract(&machine_target->room, &job->spec);
  if (!machine_target->planned_images) machine_target->planned_images = g_ptr_array_new();
  if (!g_ptr_array_find(machine_target->planned_images, job->spec.image, NULL))
    g_ptr_array_add(machine_target->planned_images, job->spec.image);
  fc_zone_spread_add(&placed->spread, machine_target->machine->zone);
  round->allowance.cpus[job->team] -= job->spec.cpus;
  round->allowance.gpus[job->team] -= job->spec.gpus;
  fc_team_usage_add(&round->usage, job);
}

static bool within_allowance(const placing_round *round, const fc_job *job, unsigned tasks) {
  const fc_resources reserved = fc_gang_order_reserved(&round->gang_order, job);
  return fc_team_allowance_holds(&round->allowance, &reserved, job, tasks);
}

/* How many of the gang's pending tasks fit in the zone. With `reserve`, their room is subtracted from the
 * targets. */
static guint gang_tasks_fitting(placing_round *round, const candidate *gang, unsigned zone, bool reserve) {
  fc_zone_spread spread = gang->spread;
  guint count = 0;
  for (guint i = 0; i < round->targets->len && count < gang->pending->len; i++) {
    target *considered = &g_array_index(round->targets, target, i);
    fc_resources room_before = considered->room;
    while (count < gang->pending->len && is_feasible(round, considered, gang, zone) &&
           fc_zone_spread_allows(&spread, &gang->job->spec, considered->machine->zone)) {
      fc_resources_subtract(&considered->room, &gang->job->spec);
      fc_zone_spread_add(&spread, considered->machine->zone);
      count++;
    }
    if (!reserve) considered->room = room_before;
  }
  return count;
}

/* Places all tasks of the gang in a zone that has room for them all. */
static void place_gang_in_zone(placing_round *round, candidate *gang, unsigned zone) {
  for (guint i = 0; i < gang->pending->len; i++) {
    target *chosen = choose_target(round, gang, zone);
    if (chosen) place_task(round, chosen, gang, g_array_index(gang->pending, uint32_t, i));
  }
}

/* Places the whole gang, in a single zone if its job requires that, or reserves the room found so far. */
static void place_gang(placing_round *round, candidate *gang) {
  const fc_job *job = gang->job;
  if (gang->pending->len != job->spec.tasks - job->completion.count || job->placements->len > 0) return;
  if (!within_allowance(round, job, gang->pending->len)) return;
  unsigned best_zone = FC_ANY_ZONE;
  guint most = 0;
  size_t zone_count = job->spec.one_zone ? round->cluster->settings->zone_count : 1;
  for (unsigned i = 0; i < zone_count; i++) {
    unsigned zone = job->spec.one_zone ? i : FC_ANY_ZONE;
    guint count = gang_tasks_fitting(round, gang, zone, false);
    if (count == gang->pending->len) {
      place_gang_in_zone(round, gang, zone);
      return;
    }
    if (count > most) {
      most = count;
      best_zone = zone;
    }
  }
  /* Without the reservation, tasks of lower priority would take one machine after the other, and the gang
   * would never start. */
  if (most > 0) (void)gang_tasks_fitting(round, gang, best_zone, true);
}

/* Places a whole gang, or one task of any other job. Returns false when nothing more of the job can be
 * placed in this round. */
static bool place_next(placing_round *round, candidate *placed) {
  fc_job *job = placed->job;
  if (fc_gang_order_holds_back(&round->gang_order, job)) return false;
  if (job->spec.kind == FC_JOB_GANG) {
    place_gang(round, placed);
    return false;
  }
  if (placed->next >= placed->pending->len || !within_allowance(round, job, 1)) return false;
  target *chosen = choose_target(round, placed, FC_ANY_ZONE);
  if (!chosen) return false;
  place_task(round, chosen, placed, g_array_index(placed->pending, uint32_t, placed->next++));
  return placed->next < placed->pending->len;
}

/* The share of its guarantee that the team uses; 1 or more for a team without a guarantee. */
static double guarantee_share(const placing_round *round, int team) {
  const fc_team_settings *team_settings = &round->cluster->settings->teams[team];
  double share = 0;
  bool guaranteed = false;
  if (team_settings->gpus > 0) {
    share = MAX(share, round->usage.gpus[team] / team_settings->gpus);
    guaranteed = true;
  }
  if (team_settings->cpus > 0) {
    share = MAX(share, round->usage.cpus[team] / team_settings->cpus);
    guaranteed = true;
  }
  return guaranteed ? share : 1 + round->usage.cpus[team] * UNGUARANTEED_SHARE_PER_CPU;
}

/* The team whose job is placed next: the team with the lowest share of its guarantee, among equals the one
 * whose job should start first; -1: no candidate of the priority is left. */
static int next_team(const placing_round *round) {
  int best = -1;
  double best_share = 0;
  for (size_t team = 0; team < round->cluster->settings->team_count; team++) {
    const candidate *head = g_queue_peek_head(&round->by_team[team]);
    if (!head) continue;
    double share = guarantee_share(round, (int)team);
    const candidate *best_head = best >= 0 ? g_queue_peek_head(&round->by_team[best]) : NULL;
    if (best_head && share > best_share - TIE_TOLERANCE &&
        (share > best_share + TIE_TOLERANCE || fc_job_compare_priority(&head->job, &best_head->job) > 0))
      continue;
    best = (int)team;
    best_share = share;
  }
  return best;
}

/* Places the candidates of one priority, starting at index `from`; returns the index at which the next
 * priority begins. */
static guint place_priority(placing_round *round, guint from) {
  const candidate *first = round->candidates->pdata[from];
  guint end = from;
  for (; end < round->candidates->len; end++) {
    candidate *queued = round->candidates->pdata[end];
    if (queued->job->queue.priority != first->job->queue.priority) break;
    g_queue_push_tail(&round->by_team[queued->job->team], queued);
  }
  int team;
  while ((team = next_team(round)) >= 0)
    if (!place_next(round, g_queue_peek_head(&round->by_team[team]))) (void)g_queue_pop_head(&round->by_team[team]);
  return end;
}

static gint compare_candidates(gconstpointer left_candidate, gconstpointer right_candidate) {
  const candidate *left = *(const candidate *const *)left_candidate;
  const candidate *right = *(const candidate *const *)right_candidate;
  return fc_job_compare_priority(&left->job, &right->job);
}

/* Collects the jobs with pending tasks that this shard may place, and the minimum of each resource that any of
 * them requests. */
static void gather_candidates(placing_round *round, fc_job_spec *minimum) {
  const fc_cluster *cluster = round->cluster;
  *minimum = fc_minimum_request_none();
  fc_job_iter job_iter = fc_cluster_jobs(cluster);
  for (fc_job *job; (job = fc_job_iter_next(&job_iter));) {
    if (!fc_job_placeable(cluster, job, round->now)) continue;
    /* A task of an unresolved slice may be running without this member knowing of it. */
    unsigned slices =
        fc_job_slices_of_member(job, cluster->membership.self) & job->slices.resolved & ~job->slices.handover_pending;
    if (!fc_job_has_pending_tasks_in(job, slices)) continue;
    candidate *added = g_new0(candidate, 1);
    added->job = job;
    added->pending = fc_job_pending_tasks_in(job, slices, FC_PENDING_TASKS_MAX);
    added->spread = fc_job_zone_spread(job);
    g_ptr_array_add(round->candidates, added);
    fc_minimum_request_add(minimum, job->spec.cpus, job->spec.gpus, job->spec.memory_gb);
  }
  g_ptr_array_sort(round->candidates, compare_candidates);
}

/* Collects the machines with room for some candidate: in a full fleet these are few. Sorted by id, so that ties
 * are broken the same way on every run. */
static void gather_targets(placing_round *round, const fc_job_spec *minimum) {
  const fc_cluster *cluster = round->cluster;
  GArray *capacity = fc_free_capacity_gather(cluster, fc_machine_usable, round->now);
  fc_free_capacity_keep_fitting(capacity, minimum);
  fc_free_capacity_sort(capacity);
  for (guint i = 0; i < capacity->len; i++) {
    const fc_free_capacity *entry = &g_array_index(capacity, fc_free_capacity, i);
    target added = {
        .machine = entry->machine, .type = cluster->machine_types->pdata[entry->machine->type], .room = entry->room};
    g_array_append_val(round->targets, added);
  }
  g_array_free(capacity, TRUE);
}

static void place_candidates(placing_round *round) {
  const fc_cluster *cluster = round->cluster;
  fc_gang_order_init(cluster, &round->gang_order, round->now);
  round->usage = fc_cluster_team_usage(cluster);
  round->by_team = g_new0(GQueue, cluster->settings->team_count);
  for (guint from = 0; from < round->candidates->len;) from = place_priority(round, from);
  g_free(round->by_team);
}

GArray *fc_bin_packing_plan(const fc_cluster *cluster, const fc_team_allowance *allowance, double now) {
  placing_round round = {.cluster = cluster, .now = now, .allowance = *allowance};
  round.targets = g_array_new(FALSE, TRUE, sizeof(target));
  g_array_set_clear_func(round.targets, target_clear);
  round.candidates = g_ptr_array_new_with_free_func(candidate_free);
  round.decisions = g_array_new(FALSE, TRUE, sizeof(fc_placement_decision));
  fc_job_spec minimum;
  gather_candidates(&round, &minimum);
  if (round.candidates->len > 0) gather_targets(&round, &minimum);
  if (round.targets->len > 0) place_candidates(&round);
  g_array_free(round.targets, TRUE);
  g_ptr_array_free(round.candidates, TRUE);
  return round.decisions;
}
