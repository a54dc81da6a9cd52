#include "scheduler/shard_room.h"

#include "scheduler/free_capacity.h"
#include "scheduler/victim_selection.h"
#include "scheduler/zone_spread.h"

/* Returns whether the job may use the machine of this member, whatever room it has. */
static bool may_use(const fc_free_capacity *entry, const fc_job *job, int member, unsigned zone) {
  const fc_machine *machine = entry->machine;
  if (machine->owner != member || (zone != FC_ANY_ZONE && machine->zone != zone)) return false;
  return fc_machine_suits_job(machine, job);
}

/* How many of the tasks fit on the machine. Sets *left to the free room that they leave, which is negative where they
 * use room of tasks to be preempted. */
static unsigned count_on_machine(const fc_shard_room *room, const fc_free_capacity *entry, const fc_job *job,
                                 unsigned tasks, fc_resources *left) {
  fc_resources available = entry->room;
  if (room->usage) available = fc_victims_room(room->cluster, room->usage, entry, job);
  *left = entry->room;
  unsigned count = 0;
  while (count < tasks && fc_resources_fit(&available, &job->spec)) {
    fc_resources_subtract(&available, &job->spec);
    fc_resources_subtract(left, &job->spec);
    count++;
  }
  return count;
}

static unsigned count_in_zone(const fc_shard_room *room, const fc_job *job, int member, unsigned zone, unsigned tasks,
                              bool reserve) {
  unsigned count = 0;
  if (tasks == 0) return 0;
  const fc_zone_spread spread = fc_job_zone_spread(job);
  for (guint i = 0; i < room->capacity->len && count < tasks; i++) {
    fc_free_capacity *entry = &g_array_index(room->capacity, fc_free_capacity, i);
    if (!may_use(entry, job, member, zone) || !fc_zone_spread_allows(&spread, &job->spec, entry->machine->zone))
      continue;
    fc_resources left;
    count += count_on_machine(room, entry, job, tasks - count, &left);
    if (reserve) entry->room = left;
  }
  return count;
}

unsigned fc_shard_room_count(const fc_shard_room *room, const fc_job *job, int member, unsigned tasks, bool reserve) {
  if (!job->spec.one_zone) return count_in_zone(room, job, member, FC_ANY_ZONE, tasks, reserve);
  unsigned most = 0;
  unsigned best_zone = FC_ANY_ZONE;
  for (unsigned zone = 0; zone < room->cluster->settings->zone_count; zone++) {
    unsigned count = count_in_zone(room, job, member, zone, tasks, false);
    if (count <= most) continue;
    most = count;
    best_zone = zone;
  }
  if (reserve && best_zone != FC_ANY_ZONE) (void)count_in_zone(room, job, member, best_zone, tasks, true);
  return most;
}
