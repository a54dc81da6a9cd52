#include "scheduler/machine_transfer.h"

#include "bookkeeping/cluster_machines.h"
#include "bookkeeping/dependencies.h"
#include "scheduler/free_capacity.h"
#include "scheduler/gang_precedence.h"
#include "scheduler/job_order.h"
#include "scheduler/zone_spread.h"

/* A gang has to be pending for this many rounds before tasks are preempted for it. */
#define ROUNDS_BEFORE_PREEMPTION 2

/* The tasks of a gang that have no room yet, and where they may go. */
typedef struct gang_need {
  fc_job *job;
  int owner;           /* member */
  unsigned zone;       /* or FC_ANY_ZONE */
  unsigned tasks_left; /* number of tasks without room */
} gang_need;

bool fc_placement_preemptible_for_gang(const fc_placement *placement, const fc_job *gang) {
  return placement->job && fc_job_preemptible_for_gang(placement->job, gang->queue.priority);
}

/* The machine's room after preempting every task that may be preempted for the gang. Sets *whole to whether no other
 * task remains on it. */
static fc_resources room_after_preemption(const fc_free_capacity *entry, const fc_job *gang, bool *whole) {
  fc_resources room = entry->room;
  *whole = true;
  for (guint i = 0; i < entry->machine->placements->len; i++) {
    const fc_placement *placement = entry->machine->placements->pdata[i];
    if (placement->status.state == FC_TASK_EXITED) continue;
    if (!fc_placement_preemptible_for_gang(placement, gang)) {
      *whole = false;
      continue;
    }
    fc_resources_add(&room, &placement->job->spec);
  }
  return room;
}

/* Sets *room to the room that the gang may use on this machine: on machines of its owner all free room, on machines
 * of other members only whole machines; with `preempt`, including the room of preemptible tasks. Returns false when no
 * task fits. */
static bool room_for_gang(const fc_free_capacity *entry, const fc_job *job, int owner, unsigned zone, bool preempt,
                          fc_resources *room) {
  const fc_machine *machine = entry->machine;
  if (entry->claimed || (zone != FC_ANY_ZONE && machine->zone != zone)) return false;
  if (!fc_machine_suits_job(machine, job)) return false;
  bool whole = machine->placements->len == 0;
  *room = entry->room;
  if (preempt) *room = room_after_preemption(entry, job, &whole);
  return (machine->owner == owner || whole) && fc_resources_fit(room, &job->spec);
}

/* How many of the needed tasks fit in the zone. Sets *on_own to the number of those on machines of the gang's
 * owner. */
static unsigned gang_tasks_fitting(const GArray *capacity, const gang_need *need, unsigned zone, bool preempt,
                                   unsigned *on_own) {
  const fc_job *job = need->job;
  unsigned count = 0;
  *on_own = 0;
  for (guint i = 0; i < capacity->len; i++) {
    const fc_free_capacity *entry = &g_array_index(capacity, fc_free_capacity, i);
    fc_resources room;
    if (!room_for_gang(entry, job, need->owner, zone, preempt, &room)) continue;
    while (count < need->tasks_left && fc_resources_fit(&room, &job->spec)) {
      fc_resources_subtract(&room, &job->spec);
      count++;
      *on_own += entry->machine->owner == need->owner;
    }
  }
  return count;
}

/* Sets the need's zone to one that has room for the whole gang, with the most tasks on machines of the gang's owner
 * (*best_on_own). Returns false when no zone has room for it. */
static bool find_zone(const fc_cluster *cluster, const GArray *capacity, gang_need *need, bool preempt,
                      unsigned *best_on_own) {
  bool found = false;
  bool one_zone = need->job->spec.one_zone;
  size_t zone_count = one_zone ? cluster->settings->zone_count : 1;
  for (unsigned i = 0; i < zone_count; i++) {
    unsigned zone = one_zone ? i : FC_ANY_ZONE;
    unsigned on_own;
    if (gang_tasks_fitting(capacity, need, zone, preempt, &on_own) < need->tasks_left ||
        (found && on_own <= *best_on_own))
      continue;
    found = true;
    need->zone = zone;
    *best_on_own = on_own;
  }
  return found;
}

/* Claims the machines that the gang needs, either among those of its owner (`of_owner`) or among those of other
 * members, with or without preemption. Claimed machines of this shard are added to `transfers`. */
static void claim_machines(const fc_cluster *cluster, GArray *capacity, gang_need *need, bool of_owner, bool preempt,
                           GArray *transfers) {
  for (guint i = 0; i < capacity->len && need->tasks_left > 0; i++) {
    fc_free_capacity *entry = &g_array_index(capacity, fc_free_capacity, i);
    fc_machine *machine = entry->machine;
    fc_resources room;
    if ((machine->owner == need->owner) != of_owner ||
        !room_for_gang(entry, need->job, need->owner, need->zone, preempt, &room))
      continue;
    entry->claimed = true;
    while (need->tasks_left > 0 && fc_resources_fit(&room, &need->job->spec)) {
      fc_resources_subtract(&room, &need->job->spec);
      need->tasks_left--;
    }
    if (!fc_machine_owned_by_self(cluster, machine) || (of_owner && !preempt)) continue;
    fc_machine_transfer transfer = {.machine = machine, .to = need->owner, .gang = need->job, .preempt = preempt};
    g_array_append_val(transfers, transfer);
  }
}

static void transfer_for_gang(const fc_cluster *cluster, GArray *capacity, fc_job *job, double now, GArray *transfers) {
  gang_need need = {.job = job,
                    .owner = fc_job_slice_owner(job, 0),
                    .zone = FC_ANY_ZONE,
                    .tasks_left = job->spec.tasks - job->completion.count};
  unsigned on_own = 0;
  bool preempt = !find_zone(cluster, capacity, &need, false, &on_own);
  if (preempt) {
    if (now < job->queue.entered_at + ROUNDS_BEFORE_PREEMPTION * cluster->settings->operator_settings.round_s) return;
    if (!find_zone(cluster, capacity, &need, true, &on_own)) return;
  } else if (on_own >= need.tasks_left) {
    return; /* its owner has room for the whole gang */
  }
  /* First the owner's own machines, then idle machines of others, then machines with tasks to preempt. All members
   * make the same choice if they have the same cluster state. */
  claim_machines(cluster, capacity, &need, true, false, transfers);
  claim_machines(cluster, capacity, &need, false, false, transfers);
  if (!preempt) return;
  claim_machines(cluster, capacity, &need, true, true, transfers);
  claim_machines(cluster, capacity, &need, false, true, transfers);
}

/* Gangs that are still pending after the wait for a handover, in the same order on every member. */
static GPtrArray *pending_gangs(const fc_cluster *cluster, double now) {
  GPtrArray *gangs = g_ptr_array_new();
  fc_job_iter job_iter = fc_cluster_jobs(cluster);
  for (fc_job *job; (job = fc_job_iter_next(&job_iter));) {
    if (job->team < 0 || !fc_gang_pending(job)) continue;
    if (now >= job->queue.entered_at + cluster->settings->operator_settings.handover_wait_s)
      g_ptr_array_add(gangs, job);
  }
  g_ptr_array_sort(gangs, fc_job_compare_priority_and_id);
  return gangs;
}

static void transfer_for_gangs(const fc_cluster *cluster, const fc_peer_progress *peers, const GPtrArray *gangs,
                               double now, GArray *transfers) {
  GArray *capacity = fc_free_capacity_gather(cluster, fc_machine_usable_by_owner, now);
  fc_free_capacity_sort(capacity);
  const fc_job *preceding[FC_TEAMS_MAX];
  fc_gang_precedence_find(cluster, preceding);
  for (guint i = 0; i < gangs->len; i++) {
    fc_job *gang = gangs->pdata[i];
    if (fc_gang_precedes(cluster, preceding[gang->team], gang, now)) continue;
    int owner = fc_job_slice_owner(gang, 0);
    if (owner >= 0 && (owner == cluster->membership.self || peers->available[owner]))
      transfer_for_gang(cluster, capacity, gang, now, transfers);
  }
  g_array_free(capacity, TRUE);
}

GArray *fc_machine_transfers_plan(const fc_cluster *cluster, const fc_peer_progress *peers, double now) {
  GArray *transfers = g_array_new(FALSE, TRUE, sizeof(fc_machine_transfer));
  if (cluster->membership.self < 0 || cluster->membership.term.count < 2) return transfers;
  GPtrArray *gangs = pending_gangs(cluster, now);
  if (gangs->len > 0) transfer_for_gangs(cluster, peers, gangs, now, transfers);
  g_ptr_array_free(gangs, TRUE);
  return transfers;
}
