#include "scheduler/queue_packing.h"

#include <string.h>

#include "scheduler/gang_precedence.h"
#include "scheduler/job_order.h"
#include "scheduler/minimum_request.h"
#include "scheduler/pending_tasks.h"
#include "scheduler/rental_choice.h"
#include "scheduler/zone_spread.h"

/* Headroom for expected production jobs covers this many times as many deviations as that for other jobs. */
#define PROD_DEVIATION_FACTOR 2

/* The state of packing one job. Its tasks are identical, so each continues where the search for the previous one
 * ended: a pass over all machines for each task exceeded the time of a round with hundreds of both. */
typedef struct job_packing {
  const fc_job *job;
  fc_zone_spread spread;
  guint position;           /* index into `open`: no machine before it can take another task */
  guint on_demand_position; /* the same for the second search, which includes idle on-demand machines */
} job_packing;

/* The minimum of each resource that any job, or any class of expected arrivals, requests. */
static fc_job_spec minimum_request(const fc_cluster *cluster, const GPtrArray *jobs) {
  fc_job_spec minimum = fc_minimum_request_of(jobs);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init(&iter, cluster->arrivals.classes);
  while (g_hash_table_iter_next(&iter, NULL, &value)) {
    const fc_arrival_class *job_class = value;
    fc_minimum_request_add(&minimum, job_class->cpus, job_class->gpus, job_class->memory_gb);
  }
  return minimum;
}

static void pack_task(fc_model_machine *machine, job_packing *packing) {
  fc_resources_subtract(&machine->room, &packing->job->spec);
  machine->idle = false;
  fc_zone_spread_add(&packing->spread, machine->zone_index);
}

/* Packs one task into existing room. Unless `on_demand`, a task that may run on a spot instance is not packed on an
 * idle on-demand machine: it may start there, but the machine is not retained for it. */
static bool pack_existing(fc_capacity_model *model, job_packing *packing, bool on_demand) {
  const fc_job *job = packing->job;
  guint *position = on_demand ? &packing->on_demand_position : &packing->position;
  for (; *position < model->open->len; ++*position) {
    fc_model_machine *machine = fc_capacity_model_open_at(model, *position);
    if (!fc_capacity_model_fits(model, machine, job)) continue;
    if (!fc_zone_spread_allows(&packing->spread, &job->spec, machine->zone_index)) continue;
    if (machine->idle && !machine->spot && job->spec.spot && !on_demand) continue;
    pack_task(machine, packing);
    return true;
  }
  return false;
}

/* Packs one task on an additional machine to be rented. Returns false when none can be rented for it. */
static bool rent_machine(fc_capacity_model *model, job_packing *packing, unsigned zone, int owner, bool on_demand) {
  const fc_rental_need need = {
      .job = packing->job, .spread = &packing->spread, .zone = zone, .owner = owner, .on_demand = on_demand};
  fc_model_machine machine;
  if (!fc_rental_choose(model, &need, &machine)) return false;
  pack_task(&machine, packing);
  fc_capacity_model_add(model, &machine);
  return true;
}

static bool rent_spot(fc_capacity_model *model, job_packing *packing) {
  return packing->job->spec.spot && rent_machine(model, packing, FC_ANY_ZONE, -1, false);
}

static bool rent_any(fc_capacity_model *model, job_packing *packing) {
  return rent_machine(model, packing, FC_ANY_ZONE, -1, true);
}

static bool usable_for_gang(const fc_capacity_model *model, const fc_model_machine *machine, const fc_job *job,
                            unsigned zone, int owner) {
  return (machine->owner == owner || machine->idle) && (zone == FC_ANY_ZONE || machine->zone_index == zone) &&
         fc_capacity_model_fits(model, machine, job);
}

/* How many of the gang's tasks its owner could start in the zone, including on idle machines that other shards would
 * transfer. */
static unsigned gang_tasks_fitting(const fc_capacity_model *model, const fc_job *job, unsigned zone, int owner,
                                   unsigned tasks) {
  unsigned count = 0;
  for (guint i = 0; i < model->open->len && count < tasks; i++) {
    fc_model_machine machine = *fc_capacity_model_open_at(model, i);
    if (!usable_for_gang(model, &machine, job, zone, owner)) continue;
    for (; count < tasks && fc_resources_fit(&machine.room, &job->spec); count++)
      fc_resources_subtract(&machine.room, &job->spec);
  }
  return count;
}

/* The zone with room for most tasks of a gang that must run in one zone; among equals, preferably one in which the
 * cloud has not refused machines. */
static unsigned gang_zone(const fc_capacity_model *model, const fc_job *job, int owner, unsigned tasks) {
  const fc_settings *settings = model->cluster->settings;
  unsigned best_zone = FC_ANY_ZONE;
  unsigned most = 0;
  for (unsigned zone = 0; zone < settings->zone_count; zone++) {
    /* The job may require a zone by name: when such a gang was planned for another zone with as much room, no
     * machine was ever rented for it, and it blocked its team. */
    if (job->spec.zone && strcmp(job->spec.zone, settings->zones[zone]) != 0) continue;
    unsigned count = gang_tasks_fitting(model, job, zone, owner, tasks);
    bool refused = model->refused && model->refused(0, settings->zones[zone], false, model->refused_arg);
    if (best_zone == FC_ANY_ZONE || count > most || (count == most && !refused)) {
      best_zone = zone;
      most = count;
    }
  }
  return best_zone;
}

static bool pack_gang_existing(fc_capacity_model *model, job_packing *packing, unsigned zone, int owner) {
  for (; packing->position < model->open->len; packing->position++) {
    fc_model_machine *machine = fc_capacity_model_open_at(model, packing->position);
    if (!usable_for_gang(model, machine, packing->job, zone, owner)) continue;
    pack_task(machine, packing);
    machine->owner = owner;
    return true;
  }
  return false;
}

static void pack_gang(fc_capacity_model *model, job_packing *packing, unsigned tasks) {
  const fc_job *job = packing->job;
  int owner = fc_job_slice_owner(job, 0);
  unsigned zone = job->spec.one_zone ? gang_zone(model, job, owner, tasks) : FC_ANY_ZONE;
  for (unsigned i = 0; i < tasks; i++) {
    if (!fc_capacity_model_use_quota(model, job)) return;
    if (!pack_gang_existing(model, packing, zone, owner) && !rent_machine(model, packing, zone, owner, true)) return;
  }
}

static void pack_tasks(fc_capacity_model *model, job_packing *packing, unsigned tasks) {
  for (unsigned i = 0; i < tasks; i++) {
    if (!fc_capacity_model_use_quota(model, packing->job)) return;
    if (!pack_existing(model, packing, false) && !rent_spot(model, packing) && !pack_existing(model, packing, true) &&
        !rent_any(model, packing))
      return;
  }
}

static void pack_job(fc_capacity_model *model, const fc_job *job) {
  /* The limit is high: with 64 tasks per round the largest arrays waited while their machines started up one after
   * the other. */
  guint tasks = fc_job_count_pending_tasks(job, -1, FC_PENDING_TASKS_MAX);
  if (tasks == 0) return;
  job_packing packing = {.job = job, .spread = fc_job_zone_spread(job)};
  if (job->spec.kind == FC_JOB_GANG)
    pack_gang(model, &packing, tasks);
  else
    pack_tasks(model, &packing, tasks);
  fc_capacity_model_close_full(model);
}

static double longest_startup_s(const fc_cluster *cluster) {
  double longest = 0;
  for (guint i = 0; i < cluster->machine_types->len; i++)
    longest = MAX(longest, ((fc_machine_type *)cluster->machine_types->pdata[i])->boot_s);
  return longest;
}

/* Packs `tasks` expected tasks of a class of jobs. */
static void pack_expected_tasks(fc_capacity_model *model, const fc_arrival_class *job_class, unsigned tasks) {
  fc_job expected = {.spec = {.kind = FC_JOB_ARRAY,
                              .tasks = tasks,
                              .cpus = job_class->cpus,
                              .gpus = job_class->gpus,
                              .memory_gb = job_class->memory_gb,
                              .spot = job_class->spot}};
  job_packing packing = {.job = &expected};
  /* No on-demand machines are retained or rented for expected work that may use spot instances. */
  for (unsigned i = 0; i < tasks; i++)
    if (!pack_existing(model, &packing, false) && !rent_spot(model, &packing) &&
        (job_class->spot || !rent_any(model, &packing)))
      break;
}

/* Packs the tasks that may arrive, beyond the average, in the time that a machine takes to start up. */
static void pack_expected_arrivals(fc_capacity_model *model, double now) {
  const fc_cluster *cluster = model->cluster;
  double startup_s = longest_startup_s(cluster);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init(&iter, cluster->arrivals.classes);
  while (g_hash_table_iter_next(&iter, NULL, &value)) {
    const fc_arrival_class *job_class = value;
    if (job_class->kind == FC_JOB_GANG) continue; /* the machines of a gang depend on the job */
    double deviations = cluster->settings->operator_settings.warm_deviations *
                        (job_class->priority == FC_PRIORITY_PROD ? PROD_DEVIATION_FACTOR : 1);
    unsigned tasks = fc_arrival_stats_headroom(
        &cluster->arrivals, job_class, startup_s + cluster->settings->operator_settings.round_s, deviations, now);
    pack_expected_tasks(model, job_class, tasks);
  }
}

/* Packs the gangs that have precedence under their team's limit first; nothing is rented for jobs that have to leave
 * the limit to them. */
static void pack_queue(fc_capacity_model *model, const GPtrArray *jobs, double now) {
  const fc_cluster *cluster = model->cluster;
  fc_gang_order order;
  fc_gang_order_init(cluster, &order, now);
  for (size_t team = 0; team < cluster->settings->team_count; team++)
    if (order.preceding[team]) pack_job(model, order.preceding[team]);
  for (guint i = 0; i < jobs->len; i++) {
    const fc_job *job = jobs->pdata[i];
    if (job != order.preceding[job->team] && !fc_gang_order_holds_back(&order, job)) pack_job(model, job);
  }
}

GArray *fc_queue_packing_plan(const fc_cluster *cluster, fc_capacity_refused_fn refused, void *refused_arg,
                              double now) {
  GPtrArray *jobs = fc_cluster_open_jobs(cluster);
  const fc_job_spec minimum = minimum_request(cluster, jobs);
  fc_capacity_model model;
  fc_capacity_model_init(&model, cluster, &minimum, now);
  model.refused = refused;
  model.refused_arg = refused_arg;
  pack_queue(&model, jobs, now);
  g_ptr_array_free(jobs, TRUE);
  pack_expected_arrivals(&model, now);
  return fc_capacity_model_finish(&model);
}
