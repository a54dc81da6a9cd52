#include "scheduler/capacity_model.h"

#include <string.h>

#include "bookkeeping/cluster_machines.h"
#include "scheduler/free_capacity.h"

/* A machine is overdue when it has not started up within these multiples of its type's usual startup time and
 * of the worker lease, added together. It may never come up. */
#define OVERDUE_STARTUP_FACTOR 1.7
#define OVERDUE_LEASE_FACTOR 0.5

/* No task is planned on an overdue machine, although it has not been given up yet. */
static bool startup_overdue(const fc_cluster *cluster, const fc_machine *machine, double now) {
  const fc_machine_type *machine_type = cluster->machine_types->pdata[machine->type];
  return !machine->endpoint_recorded && now > machine->first_seen + OVERDUE_STARTUP_FACTOR * machine_type->boot_s +
                                                  cluster->settings->lease_s * OVERDUE_LEASE_FACTOR;
}

static void add_existing_machines(fc_capacity_model *model, double now) {
  const fc_cluster *cluster = model->cluster;
  fc_machine_iter machine_iter = fc_cluster_machines(cluster);
  for (const fc_machine *machine; (machine = fc_machine_iter_next(&machine_iter));) {
    if (!machine->record_version || machine->type < 0 || machine->owner < 0 || fc_machine_cordoned(machine) ||
        machine->drain.owner_cordoned || machine->drain.spot_notice_until || startup_overdue(cluster, machine, now))
      continue;
    fc_model_machine added = {.type = machine->type,
                              .owner = machine->owner,
                              .zone = machine->record.zone,
                              .zone_index = machine->zone,
                              .spot = machine->record.spot,
                              .idle = fc_machine_vacant(machine),
                              .room = fc_machine_free_resources(cluster, machine),
                              .machine = machine};
    g_array_append_val(model->machines, added);
  }
}

/* Adds the machines of rentals that are under way. */
static void add_requested_machines(fc_capacity_model *model) {
  const fc_cluster *cluster = model->cluster;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init(&iter, cluster->rentals);
  while (g_hash_table_iter_next(&iter, NULL, &value)) {
    const fc_rental_record *rental = value;
    int type = fc_cluster_find_machine_type(cluster, rental->type);
    if (type < 0) continue;
    fc_model_machine added = {.type = type,
                              .owner = fc_term_find(&cluster->membership.term, rental->owner),
                              .zone = rental->zone,
                              .zone_index = fc_settings_zone_index(cluster->settings, rental->zone),
                              .spot = rental->spot,
                              .idle = true,
                              .room = fc_machine_type_capacity(cluster->machine_types->pdata[type])};
    for (unsigned i = 0; i < rental->count; i++) g_array_append_val(model->machines, added);
  }
}

/* Machines in use first, so that idle ones stay empty where possible; then spot instances; then the lowest ids,
 * so that the newest machines become surplus. */
static gint compare_fill_order(gconstpointer left_machine, gconstpointer right_machine) {
  const fc_model_machine *left = left_machine;
  const fc_model_machine *right = right_machine;
  if (left->idle != right->idle) return left->idle ? 1 : -1;
  if (left->spot != right->spot) return left->spot ? -1 : 1; /* the cheaper ones first */
  if (!left->machine || !right->machine) return (left->machine == NULL) - (right->machine == NULL);
  return strcmp(left->machine->id, right->machine->id);
}

void fc_capacity_model_init(fc_capacity_model *model, const fc_cluster *cluster, const fc_job_spec *least, double now) {
  *model = (fc_capacity_model){.cluster = cluster, .least = *least};
  model->machines = g_array_new(FALSE, TRUE, sizeof(fc_model_machine));
  model->open = g_array_new(FALSE, TRUE, sizeof(guint));
  model->usage = fc_cluster_team_usage(cluster);
  add_existing_machines(model, now);
  add_requested_machines(model);
  g_array_sort(model->machines, compare_fill_order);
  for (guint i = 0; i < model->machines->len; i++) {
    model->machines_in_zone[g_array_index(model->machines, fc_model_machine, i).zone_index]++;
    g_array_append_val(model->open, i);
  }
  fc_capacity_model_close_full(model);
}

GArray *fc_capacity_model_finish(fc_capacity_model *model) {
  g_array_free(model->open, TRUE);
  model->open = NULL;
  return g_steal_pointer(&model->machines);
}

void fc_capacity_model_add(fc_capacity_model *model, const fc_model_machine *machine) {
  guint index = model->machines->len;
  g_array_append_val(model->machines, *machine);
  g_array_append_val(model->open, index);
  model->machines_in_zone[machine->zone_index]++;
}

void fc_capacity_model_close_full(fc_capacity_model *model) {
  guint retained = 0;
  for (guint i = 0; i < model->open->len; i++) {
    guint index = g_array_index(model->open, guint, i);
    if (fc_resources_fit(&g_array_index(model->machines, fc_model_machine, index).room, &model->least))
      g_array_index(model->open, guint, retained++) = index;
  }
  g_array_set_size(model->open, retained);
}

fc_model_machine *fc_capacity_model_open_at(const fc_capacity_model *model, guint position) {
  return &g_array_index(model->machines, fc_model_machine, g_array_index(model->open, guint, position));
}

bool fc_capacity_model_use_quota(fc_capacity_model *model, const fc_job *job) {
  const fc_team_settings *team_settings = &model->cluster->settings->teams[job->team];
  if (!fc_team_limit_allows(team_settings, model->usage.cpus[job->team] + job->spec.cpus,
                            model->usage.gpus[job->team] + job->spec.gpus))
    return false;
  fc_team_usage_add(&model->usage, job);
  return true;
}

bool fc_capacity_model_fits(const fc_capacity_model *model, const fc_model_machine *machine, const fc_job *job) {
  const fc_machine_type *machine_type = model->cluster->machine_types->pdata[machine->type];
  return fc_resources_fit(&machine->room, &job->spec) &&
         fc_job_spec_allows(&job->spec, machine_type->name, machine->zone, machine->spot);
}
