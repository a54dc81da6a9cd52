/* Assembles one controller from its settings. */
#include "controller/cancellation_deadline.h"
#include "controller/controller.h"
#include "controller/dependency_resolver.h"
#include "controller/description_store.h"
#include "controller/duties.h"
#include "controller/machine_returns.h"
#include "controller/membership.h"
#include "controller/scaling.h"
#include "controller/view_receiver.h"
#include "controller/view_sender.h"

/* The routine of group commit. */
static void run_group_commit(void *arg) {
  fc_controller *controller = arg;
  fc_metrics_enter_duty(controller->metrics, FC_DUTY_COMMITS);
  fc_group_commit_run(controller->commit);
}

static fc_scaling *scaling_new(const fc_controller *controller, fc_machine_returns *returns) {
  return fc_scaling_new(&(fc_scaling_deps){.cluster = controller->cluster,
                                           .cloud = controller->cloud,
                                           .commit = controller->commit,
                                           .watch = controller->watch,
                                           .leadership = controller->leadership,
                                           .peers = controller->peers,
                                           .returns = returns,
                                           .metrics = controller->metrics});
}

/* Starts the routines of the duties; false: out of memory. */
static bool start_duties(fc_controller *controller) {
  fc_machine_returns *returns =
      fc_machine_returns_new(controller->cluster, controller->commit, controller->watch, controller->wakeups);
  controller->quota_shares =
      fc_quota_shares_new(controller->cluster, controller->commit, controller->watch, controller->leadership,
                          controller->peers, controller->wakeups, controller->metrics);
  fc_scaling *scaling = scaling_new(controller, returns);
  fc_cancellation_deadline *deadline = fc_cancellation_deadline_new(
      controller->cluster, controller->cloud, controller->leadership, returns, controller->metrics);
  return fc_routine_spawn(fc_round_main, controller) && fc_quota_shares_start(controller->quota_shares) &&
         fc_scaling_start(scaling) && fc_routine_spawn(fc_archive_main, controller) &&
         fc_cancellation_deadline_start(deadline) && fc_routine_spawn(fc_pipelines_main, controller) &&
         fc_routine_spawn(fc_descriptions_main, controller);
}

fc_controller *fc_controller_start(const fc_settings *settings, const char **why) {
  fc_controller *controller = g_new0(fc_controller, 1);
  controller->settings = settings;
  controller->started_at = fc_now();
  controller->cluster = fc_cluster_new(settings);
  controller->cluster->clock_offset_s = fc_time_of_day() - fc_now();
  controller->metrics = fc_metrics_new();
  controller->wakeups = fc_wakeups_new();
  controller->leadership = fc_leadership_new(controller->cluster);
  controller->peers = fc_peers_new(controller->cluster, controller->leadership);
  controller->cancellations = fc_cancellations_new(controller->cluster, controller->wakeups);
  controller->kv = fc_kv_new(&settings->state_at);
  fc_record_applier *applier = fc_record_applier_new(controller->cluster, controller->leadership, controller->peers,
                                                     controller->cancellations, controller->wakeups);
  controller->watch = fc_kv_watch_new(controller->cluster, controller->kv, applier, controller->leadership,
                                      controller->wakeups, controller->metrics);
  controller->cloud = fc_cloud_access_new(controller->cluster, controller->leadership);
  controller->archived = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  controller->recording = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  double nodes = (double)(settings->peer_count + 1);
  const fc_group_commit_limits limits = {
      .txn_ops = settings->state_txn_ops,
      .value_bytes = fc_settings_value_bytes(settings),
      .writes_per_s = settings->state_write_rps / nodes,
      .min_writes_per_s = settings->state_next_write_rps / nodes,
      .requests_per_s = settings->state_rps / nodes * 0.35,
      .response_timeout_s = settings->heartbeat_s * 0.75,
  };
  controller->commit = fc_group_commit_new(controller->kv, &limits);
  fc_token_bucket_init(&controller->lookup_budget, settings->state_rps / nodes * 0.1,
                       MAX(1.0, settings->state_rps / nodes * 0.1), fc_now());
  if (!fc_front_start(controller)) {
    *why = "client_listen: can't listen there";
    return NULL;
  }
  fc_peer_views *views =
      fc_peer_views_new(controller->cluster, controller->leadership, controller->peers, controller->cancellations,
                        controller->commit, controller->wakeups, controller->metrics);
  fc_view_receiver *receiver = fc_view_receiver_new(&(fc_view_receiver_deps){.cluster = controller->cluster,
                                                                             .leadership = controller->leadership,
                                                                             .peers = controller->peers,
                                                                             .views = views,
                                                                             .cancellations = controller->cancellations,
                                                                             .commit = controller->commit,
                                                                             .metrics = controller->metrics});
  if (!fc_view_receiver_start(receiver)) {
    *why = "peer_listen: can't listen there";
    return NULL;
  }
  fc_view_sender *sender = fc_view_sender_new(controller->cluster, controller->leadership, controller->peers, views,
                                              controller->cancellations, controller->wakeups, controller->metrics);
  fc_membership_duty *membership =
      fc_membership_duty_new(controller->cluster, controller->kv, controller->watch, controller->leadership,
                             controller->peers, controller->metrics);
  if (!fc_view_sender_start(sender) || !fc_kv_watch_start(controller->watch) ||
      !fc_routine_spawn(run_group_commit, controller) || !fc_membership_duty_start(membership)) {
    *why = "out of memory";
    return NULL;
  }
  if (!start_duties(controller)) {
    *why = "out of memory";
    return NULL;
  }
  return controller;
}

const fc_counters *fc_controller_counters(const fc_controller *controller) {
  return &controller->metrics->counters;
}

const fc_cluster *fc_controller_cluster(const fc_controller *controller) {
  return controller->cluster;
}
