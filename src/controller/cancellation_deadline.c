#include "controller/cancellation_deadline.h"

#include "bookkeeping/cluster_machines.h"
#include "transport/routine.h"

/* The time before the deadline that is reserved for the return, the longer of the two: calls may fail, and the cloud
 * limits their rate. */
#define RESERVE_LEASES 0.5
#define RESERVE_HEARTBEATS 3

/* The same while the key-value store is unreachable, the sum of the two. */
#define OUTAGE_RESERVE_LEASES 1
#define OUTAGE_RESERVE_HEARTBEATS 1.5

/* In heartbeat intervals. */
#define CHECK_INTERVAL_HEARTBEATS 0.5
#define CLOUD_TIMEOUT_HEARTBEATS 1

struct fc_cancellation_deadline {
  const fc_cluster *cluster;
  fc_cloud_access *cloud;
  const fc_leadership *leadership;
  fc_machine_returns *returns;
  fc_metrics *metrics;
};

fc_cancellation_deadline *fc_cancellation_deadline_new(const fc_cluster *cluster, fc_cloud_access *cloud,
                                                       const fc_leadership *leadership, fc_machine_returns *returns,
                                                       fc_metrics *metrics) {
  fc_cancellation_deadline *deadline = g_new(fc_cancellation_deadline, 1);
  *deadline = (fc_cancellation_deadline){
      .cluster = cluster, .cloud = cloud, .leadership = leadership, .returns = returns, .metrics = metrics};
  return deadline;
}

/* Returns whether the task may be running on its machine, or may still begin there. */
static bool may_run(const fc_placement *placement) {
  if (fc_placement_copy_outstanding(placement)) return true;
  return placement->start.sent && placement->status.state != FC_TASK_EXITED;
}

/* The reserved time in seconds. While the key-value store is unreachable, this member's leadership may end as soon as
 * another member fails, and with it the right to return machines, whereas worker leases renewed by it run for one more
 * lease duration. With the usual reserve a delayed start was executed just before the deadline, and its task ran past
 * it (fault test, upgrades_and_meetings 20169). */
static double reserve_s(const fc_cluster *cluster, double now) {
  const fc_settings *settings = cluster->settings;
  double reserve_s = MAX(settings->lease_s * RESERVE_LEASES, settings->heartbeat_s * RESERVE_HEARTBEATS);
  if (fc_cluster_store_reachable(cluster, now)) return reserve_s;
  double outage_reserve_s =
      settings->lease_s * OUTAGE_RESERVE_LEASES + settings->heartbeat_s * OUTAGE_RESERVE_HEARTBEATS;
  return MAX(reserve_s, outage_reserve_s);
}

/* Returns whether the machine must be returned because of a cancelled task that is not proved gone. */
static bool deadline_near(const fc_cluster *cluster, const fc_machine *machine, double now) {
  double return_after_s = cluster->settings->cancel_s - reserve_s(cluster, now);
  for (guint i = 0; i < machine->placements->len; i++) {
    const fc_placement *placement = machine->placements->pdata[i];
    if (may_run(placement) && now > fc_cluster_cancelled_since(cluster, placement->job_id) + return_after_s)
      return true;
  }
  return false;
}

/* Marks the machines to be returned. Returns their ids in an array that the caller frees. */
static GPtrArray *begin_returns(const fc_cluster *cluster) {
  double now = fc_now();
  GPtrArray *ids = g_ptr_array_new_with_free_func(g_free);
  fc_machine_iter machine_iter = fc_cluster_machines(cluster);
  for (fc_machine *machine; ids->len < FC_RELEASE_MACHINES_MAX && (machine = fc_machine_iter_next(&machine_iter));) {
    if (!fc_machine_owned_by_self(cluster, machine) || !machine->record_version || machine->record_write_pending ||
        !deadline_near(cluster, machine, now))
      continue;
    fc_machine_returns_begin(machine, FC_RETURN_OVERDUE, ids);
  }
  return ids;
}

/* Other tasks on the machines are lost, and a suspected outage of this member's own connection is ignored: the deadline
 * takes precedence. The records are left to the next run of the disposal, as the key-value store may be unreachable. */
static void return_overdue(const fc_cancellation_deadline *deadline) {
  GPtrArray *ids = begin_returns(deadline->cluster);
  double timeout_s = deadline->cluster->settings->heartbeat_s * CLOUD_TIMEOUT_HEARTBEATS;
  if (ids->len > 0 && fc_cloud_access_acquire_as_leader(deadline->cloud) &&
      fc_cloud_release(fc_cloud_access_client(deadline->cloud), (const char *const *)ids->pdata, ids->len,
                       fc_now() + timeout_s) == FC_CLOUD_OK)
    fc_machine_returns_confirmed(deadline->returns, ids);
  g_ptr_array_free(ids, TRUE);
}

static void run(void *arg) {
  fc_cancellation_deadline *deadline = arg;
  fc_metrics_enter_duty(deadline->metrics, FC_DUTY_RENTAL);
  double interval_s = deadline->cluster->settings->heartbeat_s * CHECK_INTERVAL_HEARTBEATS;
  while (fc_routine_sleep(interval_s) != FC_WAKE_CANCELLED)
    if (fc_leadership_held(deadline->leadership)) return_overdue(deadline);
}

bool fc_cancellation_deadline_start(fc_cancellation_deadline *deadline) {
  return fc_routine_spawn(run, deadline) != NULL;
}
