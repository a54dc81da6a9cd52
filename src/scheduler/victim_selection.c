#include "scheduler/victim_selection.h"

#include "scheduler/free_capacity.h"
#include "scheduler/zone_spread.h"

/* The cost of preempting a task, in seconds of work. The task has not started yet, or saves a checkpoint first, or
 * loses all its work (and a factor accounts for more that is lost when it starts again), or is a service replica that
 * serves users. */
#define NOT_STARTED_COST_S 0.5
#define CHECKPOINT_COST_S 1
#define RESTART_COST_S 2
#define RESTART_COST_FACTOR 2
#define SERVICE_COST_S 1000

/* The job that needs room. */
typedef struct victim_query {
  const fc_cluster *cluster;
  const fc_team_usage *usage;
  const fc_job *job;
  double now;
} victim_query;

typedef struct victim {
  fc_placement *placement;
  double cost_s;
} victim;

/* The tasks to preempt on one machine. */
typedef struct victim_set {
  fc_free_capacity *entry; /* NULL: no machine found */
  GArray *victims;         /* victim */
  double cost_s;
} victim_set;

/* Returns whether the task may be preempted for the job of the query. */
static bool may_preempt(const victim_query *query, const fc_placement *placement) {
  if (!fc_placement_active(placement) || placement->stop.requested || !placement->job || placement->job->team < 0)
    return false;
  const fc_job *victim_job = placement->job;
  /* Preempting one task of a gang stops all its tasks, which costs too much for the room of one. */
  if (victim_job->spec.kind == FC_JOB_GANG) return false;
  if (victim_job->queue.priority < query->job->queue.priority) return true;
  return victim_job->queue.priority == query->job->queue.priority && victim_job->spec.kind == FC_JOB_ARRAY &&
         victim_job->team != query->job->team && fc_job_within_guarantee(query->cluster, query->usage, query->job) &&
         fc_team_over_guarantee(query->cluster, query->usage, victim_job->team);
}

/* The seconds of work lost by preempting the task, including the time to save its checkpoint. */
static double preemption_cost_s(const fc_placement *placement, double now) {
  if (placement->status.state == FC_TASK_FETCHING || !placement->status.running_since) return NOT_STARTED_COST_S;
  if (placement->job->spec.checkpoint_s > 0) return CHECKPOINT_COST_S + placement->job->spec.save_s;
  double ran_s = now - placement->status.running_since;
  bool service = placement->job->spec.kind == FC_JOB_SERVICE;
  return RESTART_COST_S + (service ? SERVICE_COST_S : ran_s * RESTART_COST_FACTOR);
}

static gint compare_cost(gconstpointer left_victim, gconstpointer right_victim) {
  double left = ((const victim *)left_victim)->cost_s;
  double right = ((const victim *)right_victim)->cost_s;
  return left < right ? -1 : left > right;
}

fc_resources fc_victims_room(const fc_cluster *cluster, const fc_team_usage *usage, const fc_free_capacity *entry,
                             const fc_job *job) {
  const victim_query query = {.cluster = cluster, .usage = usage, .job = job};
  fc_resources room = entry->room;
  for (guint i = 0; i < entry->machine->placements->len; i++) {
    const fc_placement *placement = entry->machine->placements->pdata[i];
    if (may_preempt(&query, placement)) fc_resources_add(&room, &placement->job->spec);
  }
  return room;
}

/* Returns whether the task would fit with all possible victims preempted. A cheap check first: most machines of a full
 * fleet have no victims. */
static bool could_fit(const victim_query *query, const fc_free_capacity *entry) {
  fc_resources room = fc_victims_room(query->cluster, query->usage, entry, query->job);
  return fc_resources_fit(&room, &query->job->spec);
}

/* Returns all possible victims on the machine, the cheapest first; the caller frees the array. */
static GArray *victims_by_cost(const victim_query *query, const fc_free_capacity *entry) {
  GArray *victims = g_array_new(FALSE, FALSE, sizeof(victim));
  for (guint i = 0; i < entry->machine->placements->len; i++) {
    fc_placement *placement = entry->machine->placements->pdata[i];
    if (!may_preempt(query, placement)) continue;
    victim added = {.placement = placement, .cost_s = preemption_cost_s(placement, query->now)};
    g_array_append_val(victims, added);
  }
  g_array_sort(victims, compare_cost);
  return victims;
}

/* Returns the cheapest victims that make enough room on the machine (the caller frees them) and sets *cost_s to their
 * total cost. Returns NULL if preemption can't make enough room. */
static GArray *select_victims(const victim_query *query, const fc_free_capacity *entry, double *cost_s) {
  if (!could_fit(query, entry)) return NULL;
  const fc_job_spec *spec = &query->job->spec;
  GArray *victims = victims_by_cost(query, entry);
  fc_resources room = entry->room;
  guint count = 0;
  *cost_s = 0;
  while (count < victims->len && !fc_resources_fit(&room, spec)) {
    const victim *added = &g_array_index(victims, victim, count++);
    fc_resources_add(&room, &added->placement->job->spec);
    *cost_s += added->cost_s;
  }
  if (!fc_resources_fit(&room, spec)) {
    g_array_free(victims, TRUE);
    return NULL;
  }
  g_array_set_size(victims, count);
  return victims;
}

/* The machine where making room costs least; the caller frees its victims. */
static victim_set cheapest_set(const victim_query *query, GArray *capacity) {
  victim_set best = {NULL, NULL, 0};
  const fc_job *job = query->job;
  const fc_zone_spread spread = fc_job_zone_spread(job);
  for (guint i = 0; i < capacity->len; i++) {
    fc_free_capacity *entry = &g_array_index(capacity, fc_free_capacity, i);
    if (!fc_zone_spread_allows(&spread, &job->spec, entry->machine->zone) || !fc_machine_suits_job(entry->machine, job))
      continue;
    /* The job could not be placed on a machine that is reserved for another. */
    if (fc_machine_reserved_for_other(entry->machine, job->spec.id, query->now)) continue;
    double cost_s;
    GArray *victims = select_victims(query, entry, &cost_s);
    if (!victims) continue;
    if (best.entry && cost_s >= best.cost_s) {
      g_array_free(victims, TRUE);
      continue;
    }
    if (best.victims) g_array_free(best.victims, TRUE);
    best = (victim_set){entry, victims, cost_s};
    if (cost_s <= 0) break; /* there is room without preemption: nothing is cheaper */
  }
  return best;
}

bool fc_victims_select(const fc_cluster *cluster, const fc_team_usage *usage, GArray *capacity, const fc_job *job,
                       double now, GPtrArray *stops) {
  const victim_query query = {.cluster = cluster, .usage = usage, .job = job, .now = now};
  victim_set best = cheapest_set(&query, capacity);
  if (!best.entry) return false;
  for (guint i = 0; i < best.victims->len; i++) {
    fc_placement *placement = g_array_index(best.victims, victim, i).placement;
    g_ptr_array_add(stops, placement);
    fc_resources_add(&best.entry->room, &placement->job->spec);
    placement->stop.requested = true;
  }
  g_array_free(best.victims, TRUE);
  fc_resources_subtract(&best.entry->room, &job->spec);
  return true;
}

GArray *fc_preemption_capacity(const fc_cluster *cluster, double now) {
  GArray *capacity = fc_free_capacity_gather(cluster, fc_machine_usable, now);
  for (guint i = 0; i < capacity->len; i++) {
    fc_free_capacity *entry = &g_array_index(capacity, fc_free_capacity, i);
    for (guint k = 0; k < entry->machine->placements->len; k++) {
      const fc_placement *placement = entry->machine->placements->pdata[k];
      if (!fc_placement_active(placement) || !placement->job || placement->job->team < 0) continue;
      if (placement->stop.requested) fc_resources_add(&entry->room, &placement->job->spec);
    }
  }
  return capacity;
}
