#include "controller/cancellation_deadline.h"

#include "bookkeeping/cluster_machines.h"
#include "transport/routine.h"

/* The time reserved for the return, the longer of both: calls may fail, and the cloud's rate is
 * limited. */
#define RESERVE_LEASES 0.5
#define RESERVE_HEARTBEATS 3

/* The same without the key-value store, both together. */
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

/* May the task run there, or begin yet? */
static bool may_run(const fc_placement *placement) {
  if (fc_placement_copy_outstanding(placement)) return true;
  return placement->start.sent && placement->status.state != FC_TASK_EXITED;
}

/* Without the key-value store our authority may end as soon as a member is missing, and with it the
 * right to return anything, while the leases that we renewed last a lease longer: a late start was
 * carried out just before the deadline, and its task outlasted it (fault test, upgrades_and_meetings
 * 20169). */
static double reserve_s(const fc_cluster *cluster, double now) {
  const fc_settings *settings = cluster->settings;
  double reserve_s = MAX(settings->lease_s * RESERVE_LEASES, settings->heartbeat_s * RESERVE_HEARTBEATS);
  if (fc_cluster_store_reachable(cluster, now)) return reserve_s;
  double outage_reserve_s =
      settings->lease_s * OUTAGE_RESERVE_LEASES + settings->heartbeat_s * OUTAGE_RESERVE_HEARTBEATS;
  return MAX(reserve_s, outage_reserve_s);
}

/* Has the machine to be returned for a cancelled task that is not proved gone? */
static bool deadline_near(const fc_cluster *cluster, const fc_machine *machine, double now) {
  double returned_after_s = cluster->settings->cancel_s - reserve_s(cluster, now);
  for (guint i = 0; i < machine->placements->len; i++) {
    const fc_placement *placement = machine->placements->pdata[i];
    if (may_run(placement) && now > fc_cluster_cancelled_since(cluster, placement->job_id) + returned_after_s)
      return true;
  }
  return false;
}

/* Marks the machines to be returned. Returns their ids. */
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

/* What else runs on the machine is lost, and the suspicion that our own connection is cut does not
 * count: the deadline comes first. The record is removed with the next returns, as the key-value
 * store may be out of reach. */
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
