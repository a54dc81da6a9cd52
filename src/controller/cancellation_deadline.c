/* Cancelled jobs whose tasks are not proved gone: the machine goes back to the cloud in
 * time. A halt may not get through, and a start that was held up in a cut is carried out
 * when the cut ends, however late, as long as token and session are the same: a task of a
 * job cancelled 43 s before began (scene commands_held_up). */
#include "bookkeeping/cluster_machines.h"
#include "controller/controller.h"

/* Kept for returning the machine: calls that fail, and the cloud's rate. */
static double reserve(const fc_settings *settings) {
  return MAX(settings->lease_s * 0.5, settings->heartbeat_s * 3);
}

static bool may_be_there(const fc_placement *placement) {
  if (placement->start.direct != FC_DIRECT_START_NONE) return true; /* or may yet begin */
  return placement->start.sent && placement->status.state != FC_TASK_EXITED;
}

/* Has the machine to go back for a cancelled task that is not proved gone? */
static bool overdue(const fc_cluster *cluster, const fc_machine *machine, double now) {
  const fc_settings *settings = cluster->settings;
  for (guint i = 0; i < machine->placements->len; i++) {
    const fc_placement *placement = machine->placements->pdata[i];
    if (may_be_there(placement) &&
        now > fc_cluster_cancelled_since(cluster, placement->job_id) + settings->cancel_s - reserve(settings))
      return true;
  }
  return false;
}

/* What else runs there is lost, and the suspicion that it is our own network that is cut
 * does not count: the rule comes first. The record goes later, with the next returns: the
 * state service may be out of reach. */
static void give_back_overdue(fc_controller *controller) {
  fc_cluster *cluster = controller->cluster;
  double now = fc_now();
  GPtrArray *ids = g_ptr_array_new_with_free_func(g_free);
  fc_machine_iter machine_iter = fc_cluster_machines(cluster);
  for (fc_machine *machine; ids->len < FC_RELEASE_MAX && (machine = fc_machine_iter_next(&machine_iter));) {
    if (!fc_machine_owned_by_self(cluster, machine) || !machine->record_version || machine->record_write_pending ||
        !overdue(cluster, machine, now))
      continue;
    fc_machine_begin_return(machine, "overdue", ids);
  }
  if (ids->len > 0 && fc_cloud_turn(controller) && fc_leadership_held(controller->leadership) &&
      fc_cloud_release(controller->cloud, (const char *const *)ids->pdata, ids->len,
                       fc_now() + controller->settings->heartbeat_s) == FC_CLOUD_OK)
    fc_machines_gone(controller, ids);
  g_ptr_array_free(ids, TRUE);
}

void fc_overdue_main(void *arg) {
  fc_controller *controller = arg;
  fc_metrics_enter_duty(controller->metrics, FC_DUTY_RENTAL);
  while (fc_routine_sleep(controller->settings->heartbeat_s * 0.5) != FC_WAKE_CANCELLED)
    if (fc_leadership_held(controller->leadership)) give_back_overdue(controller);
}
