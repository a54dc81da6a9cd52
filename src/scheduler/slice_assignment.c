#include "scheduler/slice_assignment.h"

#include "bookkeeping/cluster_machines.h"
#include "coordination/assignment.h"

/* Returns whether the member's shard has a machine that could run a task of the job if it were empty. */
static bool has_suitable_machine(const fc_cluster *cluster, int member, const fc_job_spec *spec) {
  fc_machine_iter machine_iter = fc_cluster_machines(cluster);
  for (const fc_machine *machine; (machine = fc_machine_iter_next(&machine_iter));) {
    if (machine->owner != member || !machine->record_version || machine->type < 0 || fc_machine_cordoned(machine) ||
        machine->drain.owner_cordoned)
      continue;
    fc_resources capacity = fc_machine_type_capacity(cluster->machine_types->pdata[machine->type]);
    if (fc_resources_fit(&capacity, spec) &&
        fc_job_spec_allows(spec, machine->record.type, machine->record.zone, machine->record.spot))
      return true;
  }
  return false;
}

void fc_assign_new_job_slices(const fc_cluster *cluster, const bool *available, const fc_job_spec *spec,
                              unsigned slices, char **handed_to) {
  const fc_term *term = &cluster->membership.term;
  fc_term suitable = *term;
  fc_term available_members = *term;
  suitable.count = available_members.count = 0;
  for (size_t i = 0; i < term->count; i++) {
    if (!available[i]) continue;
    available_members.members[available_members.count++] = term->members[i];
    if (has_suitable_machine(cluster, (int)i, spec)) suitable.members[suitable.count++] = term->members[i];
  }
  /* If no shard has a suitable machine, one can be rented for any available member. */
  const fc_term *eligible = suitable.count > 0 ? &suitable : &available_members;
  for (unsigned slice = 0; slice < slices && eligible->count > 0; slice++) {
    int owner = fc_assign_slice(term, spec->id, slice, slices, NULL);
    if (owner < 0 || fc_term_find(eligible, term->members[owner].name) >= 0) continue;
    int chosen = fc_assign_slice(eligible, spec->id, slice, slices, NULL);
    handed_to[slice] = (char *)term->members[fc_term_find(term, eligible->members[chosen].name)].name;
  }
}
