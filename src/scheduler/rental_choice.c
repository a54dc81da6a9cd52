#include "scheduler/rental_choice.h"

#include "bookkeeping/cluster_machines.h"

/* Prices that differ by less than this are treated as equal. */
#define PRICE_TOLERANCE 1e-9
/* Lower bound of a task's CPU request when computing the price per task. */
#define MIN_CPU_REQUEST 0.001

/* The best machine to rent that was found so far. */
typedef struct rental_offer {
  fc_model_machine machine; /* type -1: none found */
  double price;             /* per task */
  unsigned machines_in_zone;
} rental_offer;

/* The price per task of a machine that runs as many of them as fit, by GPUs if the job uses any, else by CPUs. */
static double price_per_task(const fc_machine_type *machine_type, bool spot, const fc_job_spec *spec) {
  double tasks = machine_type->gpus > 0 && spec->gpus > 0 ? machine_type->gpus / spec->gpus
                                                          : machine_type->cpus / MAX(spec->cpus, MIN_CPU_REQUEST);
  return (spot ? machine_type->spot_price : machine_type->price) / MAX(tasks, 1);
}

/* Makes the machine the best offer if the job and the cloud allow it and it is better. */
static void consider_offer(const fc_capacity_model *model, const fc_job *job, const fc_model_machine *machine,
                           rental_offer *best) {
  const fc_machine_type *machine_type = model->cluster->machine_types->pdata[machine->type];
  if (!fc_job_spec_allows(&job->spec, machine_type->name, machine->zone, machine->spot)) return;
  if (model->refused && model->refused(machine->type, machine->zone, machine->spot, model->refused_arg)) return;
  unsigned machines_in_zone = model->machines_in_zone[machine->zone_index];
  double price = price_per_task(machine_type, machine->spot, &job->spec);
  bool better = price <= best->price + PRICE_TOLERANCE &&
                (price <= best->price - PRICE_TOLERANCE || machines_in_zone < best->machines_in_zone);
  if (best->machine.type < 0 || better) *best = (rental_offer){*machine, price, machines_in_zone};
}

/* Considers the machine in each zone that the need allows, as a spot instance and, if allowed, on demand. */
static void consider_zones(const fc_capacity_model *model, const fc_rental_need *need, fc_model_machine machine,
                           rental_offer *best) {
  const fc_settings *settings = model->cluster->settings;
  const fc_machine_type *machine_type = model->cluster->machine_types->pdata[machine.type];
  for (unsigned zone = 0; zone < settings->zone_count; zone++) {
    if (need->zone != FC_ANY_ZONE && need->zone != zone) continue;
    if (!g_strv_contains((const gchar *const *)machine_type->zones, settings->zones[zone])) continue;
    if (!fc_zone_spread_allows(need->spread, &need->job->spec, zone)) continue;
    machine.zone = settings->zones[zone];
    machine.zone_index = zone;
    for (int spot = need->on_demand ? 0 : 1; spot <= 1; spot++) {
      machine.spot = spot;
      consider_offer(model, need->job, &machine, best);
    }
  }
}

bool fc_rental_choose(const fc_capacity_model *model, const fc_rental_need *need, fc_model_machine *chosen) {
  const fc_cluster *cluster = model->cluster;
  rental_offer best = {.machine = {.type = -1}};
  for (guint type = 0; type < cluster->machine_types->len; type++) {
    fc_resources capacity = fc_machine_type_capacity(cluster->machine_types->pdata[type]);
    if (!fc_resources_fit(&capacity, &need->job->spec)) continue;
    fc_model_machine machine = {.type = (int)type, .owner = need->owner, .rented = true, .room = capacity};
    consider_zones(model, need, machine, &best);
  }
  if (best.machine.type < 0) return false;
  *chosen = best.machine;
  return true;
}
