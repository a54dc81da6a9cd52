#include "scheduler/scale_in.h"

#include "scheduler/queue_packing.h"

/* The cloud charges at least one minute for each machine. */
#define MINIMUM_CHARGE_S 60.0

GHashTable *fc_scale_in_surplus(const fc_cluster *cluster, double now) {
  GHashTable *surplus = g_hash_table_new(NULL, NULL);
  GArray *machines = fc_queue_packing_plan(cluster, NULL, NULL, now);
  for (guint i = 0; i < machines->len; i++) {
    const fc_model_machine *machine = &g_array_index(machines, fc_model_machine, i);
    if (machine->machine && machine->idle) g_hash_table_add(surplus, (gpointer)machine->machine);
  }
  g_array_free(machines, TRUE);
  return surplus;
}

bool fc_machine_idle_too_long(const fc_cluster *cluster, const fc_machine *machine, double now) {
  if (!fc_machine_vacant(machine) || !machine->idle_since || machine->type < 0) return false;
  const fc_machine_type *machine_type = cluster->machine_types->pdata[machine->type];
  /* Renting a replacement costs its startup time and the minimum charge; keeping the machine costs its idle time. */
  double keep_s = (machine_type->boot_s + MINIMUM_CHARGE_S) * cluster->settings->operator_settings.idle_keep_share;
  return now - machine->idle_since > keep_s;
}
