/* Assembles one controller from its settings. */
#include "controller/archiver.h"
#include "controller/client_server.h"
#include "controller/controller.h"
#include "controller/description_cleanup.h"
#include "controller/duties.h"
#include "controller/membership.h"
#include "controller/view_receiver.h"
#include "controller/view_sender.h"

/* Builds the modules that deal with workers. */
static void build_worker_modules(fc_controller *controller) {
  fc_cluster *cluster = controller->cluster;
  const fc_leadership *leadership = controller->leadership;
  fc_wakeups *wakeups = controller->wakeups;
  fc_metrics *metrics = controller->metrics;
  fc_task_completion *completion = fc_task_completion_new(cluster, controller->commit, controller->watch, metrics);
  fc_reconciler *reconciler = fc_reconciler_new(cluster, completion, wakeups, metrics);
  fc_worker_commands *commands = fc_worker_commands_new(cluster, completion);
  fc_machine_registration *registration =
      fc_machine_registration_new(cluster, leadership, controller->commit, controller->watch, wakeups);
  controller->worker_calls = fc_worker_calls_new(cluster, leadership, commands, reconciler, metrics);
  controller->probes = fc_machine_probes_new(cluster, leadership, controller->worker_calls);
  controller->worker_leases = fc_worker_leases_new(cluster, leadership, controller->peers, wakeups);
  controller->heartbeats = fc_heartbeats_new(cluster, leadership, controller->peers, registration, reconciler, commands,
                                             controller->worker_calls, metrics);
}

/* The routine of group commit. */
static void run_group_commit(void *arg) {
  fc_controller *controller = arg;
  fc_metrics_enter_duty(controller->metrics, FC_DUTY_COMMITS);
  fc_group_commit_run(controller->commit);
}

fc_controller *fc_controller_start(const fc_settings *settings, const char **why) {
  fc_controller *controller = g_new0(fc_controller, 1);
  controller->settings = settings;
  controller->types_at = fc_now();
  controller->cluster = fc_cluster_new(settings);
  controller->cluster->clock_offset_s = fc_time_of_day() - fc_now();
  controller->metrics = fc_metrics_new();
  controller->wakeups = fc_wakeups_new();
  controller->leadership = fc_leadership_new(controller->cluster);
  controller->peers = fc_peers_new(controller->cluster, controller->leadership);
  controller->cancellations = fc_cancellations_new(controller->cluster, controller->wakeups);
  controller->kv = fc_kv_new(&settings->kv_at);
  fc_record_applier *applier = fc_record_applier_new(controller->cluster, controller->leadership, controller->peers,
                                                     controller->cancellations, controller->wakeups);
  controller->watch = fc_kv_watch_new(controller->cluster, controller->kv, applier, controller->leadership,
                                      controller->wakeups, controller->metrics);
  controller->cloud = fc_cloud_new(&settings->cloud_at);
  double nodes = (double)(settings->peer_count + 1);
  const fc_group_commit_limits limits = {
      .txn_ops = settings->kv_txn_ops,
      .value_bytes = fc_settings_value_bytes(settings),
      .writes_per_s = settings->kv_write_rps / nodes,
      .min_writes_per_s = settings->kv_next_write_rps / nodes,
      .requests_per_s = settings->kv_rps / nodes * 0.35,
      .response_timeout_s = settings->heartbeat_s * 0.75,
  };
  controller->commit = fc_group_commit_new(controller->kv, &limits);
  build_worker_modules(controller);
  fc_token_bucket_init(&controller->cloud_budget, settings->cloud_rps / nodes, MAX(1.0, settings->cloud_rps / nodes),
                       fc_now());
  fc_archive_lookup *archive = fc_archive_lookup_new(controller->cluster, controller->kv, controller->commit);
  fc_dependency_resolver *resolver =
      fc_dependency_resolver_new(controller->cluster, controller->watch, controller->commit, controller->leadership,
                                 archive, controller->wakeups, controller->metrics);
  fc_description_store *descriptions =
      fc_description_store_new(controller->cluster, controller->watch, controller->commit);
  fc_job_lookup *lookup = fc_job_lookup_new(controller->cluster, controller->watch, resolver, archive);
  fc_admission *admission =
      fc_admission_new(controller->cluster, controller->commit, controller->peers, lookup, resolver, descriptions);
  fc_job_queries *queries =
      fc_job_queries_new(controller->cluster, controller->watch, controller->commit, controller->cancellations, lookup);
  fc_readiness *readiness = fc_readiness_new(controller->cluster, controller->leadership, controller->peers);
  fc_client_server *server = fc_client_server_new(&(fc_client_server_deps){.settings = settings,
                                                                           .admission = admission,
                                                                           .queries = queries,
                                                                           .readiness = readiness,
                                                                           .heartbeats = controller->heartbeats,
                                                                           .metrics = controller->metrics});
  if (!fc_client_server_start(server)) {
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
  fc_archiver *archiver = fc_archiver_new(controller->cluster, controller->watch, controller->commit,
                                          controller->leadership, controller->metrics);
  fc_description_cleanup *cleanup = fc_description_cleanup_new(
      controller->cluster, controller->watch, controller->commit, controller->leadership, controller->metrics);
  if (!fc_routine_spawn(fc_round_main, controller) || !fc_routine_spawn(fc_quota_main, controller) ||
      !fc_routine_spawn(fc_rent_main, controller) || !fc_archiver_start(archiver) ||
      !fc_routine_spawn(fc_overdue_main, controller) || !fc_dependency_resolver_start(resolver) ||
      !fc_description_cleanup_start(cleanup)) {
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
