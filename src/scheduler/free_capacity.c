#include "scheduler/free_capacity.h"

#include <string.h>

#include "bookkeeping/cluster_machines.h"

bool fc_machine_usable(const fc_cluster *cluster, const fc_machine *machine, double now) {
  if (cluster->membership.self < 0 || !fc_machine_owned_by_self(cluster, machine) || !machine->endpoint_recorded ||
      !fc_machine_reconciled(cluster, machine))
    return false;
  if (fc_machine_cordoned(machine) || machine->record_write_pending || machine->type < 0 ||
      machine->drain.spot_notice_until)
    return false;
  return fc_machine_reachable(cluster, machine, now);
}

bool fc_machine_usable_by_owner(const fc_cluster *cluster, const fc_machine *machine, double now) {
  if (!machine->endpoint_recorded || machine->owner < 0 || machine->type < 0 ||
      !fc_machine_reconciled(cluster, machine))
    return false;
  if (fc_machine_cordoned(machine) || machine->drain.owner_cordoned || machine->drain.spot_notice_until ||
      machine->record_write_pending)
    return false;
  /* Of a peer's machine its views say whether it may be lost. */
  return fc_machine_owned_by_self(cluster, machine) ? fc_machine_reachable(cluster, machine, now)
                                                    : !machine->reachability.owner_suspects;
}

bool fc_machine_suits_job(const fc_machine *machine, const fc_job *job) {
  if (job->failures.machines && g_hash_table_contains(job->failures.machines, machine->id)) return false;
  return fc_job_spec_allows(&job->spec, machine->record.type, machine->record.zone, machine->record.spot);
}

GArray *fc_free_capacity_gather(const fc_cluster *cluster, fc_machine_filter_fn filter, double now) {
  GArray *capacity = g_array_new(FALSE, TRUE, sizeof(fc_free_capacity));
  fc_machine_iter machine_iter = fc_cluster_machines(cluster);
  for (fc_machine *machine; (machine = fc_machine_iter_next(&machine_iter));) {
    if (!filter(cluster, machine, now)) continue;
    fc_free_capacity entry = {.machine = machine, .room = fc_machine_free_resources(cluster, machine)};
    g_array_append_val(capacity, entry);
  }
  return capacity;
}

static gint compare_machine_id(gconstpointer left_entry, gconstpointer right_entry) {
  const fc_free_capacity *left = left_entry;
  const fc_free_capacity *right = right_entry;
  return strcmp(left->machine->id, right->machine->id);
}

void fc_free_capacity_sort(GArray *capacity) {
  g_array_sort(capacity, compare_machine_id);
}

void fc_free_capacity_keep_fitting(GArray *capacity, const fc_job_spec *minimum) {
  guint retained = 0;
  for (guint i = 0; i < capacity->len; i++) {
    const fc_free_capacity entry = g_array_index(capacity, fc_free_capacity, i);
    if (fc_resources_fit(&entry.room, minimum)) g_array_index(capacity, fc_free_capacity, retained++) = entry;
  }
  g_array_set_size(capacity, retained);
}
