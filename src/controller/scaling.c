#include "controller/scaling.h"

#include "controller/machine_disposal.h"
#include "controller/machine_type_catalog.h"
#include "controller/orphan_machines.h"
#include "controller/rental_execution.h"
#include "transport/routine.h"

/* Pauses, in scheduling rounds. */
#define PAUSE_ROUNDS 0.5
#define PAUSE_WITHOUT_TYPES_ROUNDS 0.1

struct fc_scaling {
  const fc_cluster *cluster;
  const fc_leadership *leadership;
  fc_metrics *metrics;
  fc_machine_type_catalog *catalog;
  fc_rental_execution *rentals;
  fc_machine_disposal *disposal;
  fc_orphan_machines *orphans;
};

fc_scaling *fc_scaling_new(const fc_scaling_deps *deps) {
  fc_scaling *scaling = g_new0(fc_scaling, 1);
  scaling->cluster = deps->cluster;
  scaling->leadership = deps->leadership;
  scaling->metrics = deps->metrics;
  scaling->catalog = fc_machine_type_catalog_new(deps->cluster, deps->cloud);
  scaling->rentals = fc_rental_execution_new(deps->cluster, deps->cloud, deps->commit, deps->watch, deps->leadership);
  scaling->disposal = fc_machine_disposal_new(deps->cluster, deps->cloud, deps->leadership, deps->peers, deps->returns);
  scaling->orphans = fc_orphan_machines_new(deps->cluster, deps->cloud, deps->leadership);
  return scaling;
}

/* Rents machines, and returns orphaned ones, for all shards; run by one member alone. */
static void scale_out(const fc_scaling *scaling) {
  fc_rental_execution_carry_out(scaling->rentals);
  if (fc_rental_execution_idle(scaling->rentals) && fc_leadership_held(scaling->leadership))
    fc_rental_execution_plan(scaling->rentals);
  fc_rental_execution_carry_out(scaling->rentals);
  fc_orphan_machines_sweep(scaling->orphans);
}

static void run(void *arg) {
  fc_scaling *scaling = arg;
  const fc_cluster *cluster = scaling->cluster;
  fc_metrics_enter_duty(scaling->metrics, FC_DUTY_RENTAL);
  while (!fc_routine_cancelled()) {
    fc_machine_type_catalog_refresh(scaling->catalog);
    if (fc_machine_type_catalog_known(scaling->catalog) && fc_leadership_held(scaling->leadership) &&
        fc_cluster_store_reachable(cluster, fc_now())) {
      if (cluster->membership.self == 0 && cluster->settings->operator_settings.rent) scale_out(scaling);
      if (fc_leadership_held(scaling->leadership)) fc_machine_disposal_run(scaling->disposal);
    }
    bool types_known = fc_machine_type_catalog_known(scaling->catalog);
    (void)fc_routine_sleep(cluster->settings->operator_settings.round_s *
                           (types_known ? PAUSE_ROUNDS : PAUSE_WITHOUT_TYPES_ROUNDS));
  }
}

bool fc_scaling_start(fc_scaling *scaling) {
  return fc_routine_spawn(run, scaling) != NULL;
}
