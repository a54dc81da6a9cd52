#include "controller/heartbeat_hold.h"

#include "bookkeeping/cluster_machines.h"
#include "controller/worker_commands.h"
#include "transport/routine.h"

/* The longest hold, the shorter of the two: the next heartbeat is not delayed, and a late answer still arrives in time.
 */
#define HOLD_HEARTBEATS 0.65
#define HOLD_REQUEST_TIMEOUTS 0.6
/* The longest hold for a worker that may have to report something else. */
#define HOLD_SPACINGS 0.8

/* Answers are held while tasks are pending, and for this many worker leases after the last placement. */
#define DEMAND_LEASES 2
/* One in this many file descriptors may be used by connections with held answers. */
#define FDS_PER_HELD_ANSWER 32u

/* While timers fire later than this, in heartbeat intervals, the processor time is needed for other work. */
#define LAG_MAX_HEARTBEATS 0.05

/* Whether a start for one of the machines is likely, and there is room for another held answer. */
static bool may_hold(const fc_cluster *cluster, double now) {
  const fc_settings *settings = cluster->settings;
  if (fc_loop_lag() > settings->heartbeat_s * LAG_MAX_HEARTBEATS) return false;
  if (cluster->held_answers >= settings->fd_limit / FDS_PER_HELD_ANSWER) return false;
  bool placed_lately = cluster->placed_at > 0 && now < cluster->placed_at + settings->lease_s * DEMAND_LEASES;
  return cluster->tasks_pending || placed_lately;
}

/* Whether tasks may be placed on the machine now, and hardly any is lost if this controller ends while it holds the
 * answer, which renews the worker's lease: the machine has no active task, or one has just ended. */
static bool has_room(const fc_machine *machine, double now) {
  if (now < machine->task_ended_at + FC_HEARTBEAT_SPACING_S) return true;
  for (guint i = 0; i < machine->placements->len; i++)
    if (fc_placement_active(machine->placements->pdata[i])) return false;
  return true;
}

/* How long the answer may be held, in seconds. */
static double hold_s(const fc_cluster *cluster, const fc_machine *machine) {
  if (machine->placements->len > 0 || !fc_machine_reconciled(cluster, machine))
    return FC_HEARTBEAT_SPACING_S * HOLD_SPACINGS;
  return MIN(cluster->settings->heartbeat_s * HOLD_HEARTBEATS, FC_WORKER_REQUEST_TIMEOUT_S * HOLD_REQUEST_TIMEOUTS);
}

static bool any_command(const fc_cluster *cluster, const fc_machine *machine) {
  return fc_machine_reconciled(cluster, machine) && fc_worker_commands_any_urgent(machine);
}

/* Whether the worker is still in the state in which it sent the heartbeat. */
static bool is_unchanged(const fc_cluster *cluster, const fc_machine *machine, uint64_t epoch) {
  return fc_machine_owned_by_self(cluster, machine) && machine->record_version && !machine->record_write_pending &&
         machine->worker.epoch_shown && machine->worker.epoch == epoch && !machine->worker.restarted;
}

fc_machine *fc_heartbeat_hold(fc_cluster *cluster, fc_machine *machine) {
  fc_routine *self = fc_routine_self();
  double now = fc_now();
  if (!self || !has_room(machine, now) || any_command(cluster, machine) || !may_hold(cluster, now)) return machine;
  uint64_t epoch = machine->worker.epoch;
  char id[FC_NAME_SIZE];
  g_strlcpy(id, machine->id, sizeof id);
  machine->held_heartbeat = self;
  cluster->held_answers++;
  (void)fc_routine_park(now + hold_s(cluster, machine));
  cluster->held_answers--;
  machine = fc_cluster_find_machine(cluster, id);
  if (!machine || machine->held_heartbeat != self) return NULL;
  machine->held_heartbeat = NULL;
  return is_unchanged(cluster, machine, epoch) ? machine : NULL;
}

bool fc_heartbeat_hold_release(const fc_cluster *cluster, fc_machine *machine) {
  if (!machine->held_heartbeat) return false;
  if (fc_machine_owned_by_self(cluster, machine) && !any_command(cluster, machine)) return false;
  fc_routine_wake(machine->held_heartbeat);
  return true;
}

void fc_heartbeat_hold_replace(fc_machine *machine) {
  fc_routine *held = machine->held_heartbeat;
  machine->held_heartbeat = NULL;
  if (held) fc_routine_wake(held);
}
