#include "controller/controller.h"

#include "controller/archiver.h"
#include "controller/cancellation_deadline.h"
#include "controller/client_server.h"
#include "controller/description_cleanup.h"
#include "controller/description_relocation.h"
#include "controller/machine_returns.h"
#include "controller/membership.h"
#include "controller/scaling.h"
#include "controller/scheduling_loop.h"
#include "controller/view_receiver.h"
#include "controller/view_sender.h"

/* Part of this member's share of the store's request rate that is for transactions. */
#define TRANSACTION_RATE_SHARE 0.35

/* After this many heartbeat intervals without a response the outcome of a transaction is unknown. */
#define TRANSACTION_TIMEOUT_HEARTBEATS 0.75

/* Shared state, and the modules that several others use; all live as long as the process. */
struct fc_controller {
  const fc_settings *settings;
  fc_cluster *cluster;
  fc_metrics *metrics;
  fc_wakeups *wakeups;
  fc_leadership *leadership;
  fc_peers *peers;
  fc_cancellations *cancellations;

  fc_kv *kv;
  fc_kv_watch *watch;
  fc_group_commit *commit;
  fc_description_store *descriptions;
  fc_cloud_access *cloud;

  fc_task_completion *completion;
  fc_worker_calls *worker_calls;
  fc_machine_probes *probes;
  fc_worker_leases *worker_leases;
  fc_heartbeats *heartbeats;
  fc_dependency_resolver *resolver;
  fc_peer_views *views;
};

const char *fc_controller_strerror(fc_controller_error error) {
  switch (error) {
    case FC_CONTROLLER_CLIENT_LISTEN:
      return "client_listen: can't listen on this address";
    case FC_CONTROLLER_PEER_LISTEN:
      return "peer_listen: can't listen on this address";
    case FC_CONTROLLER_NO_MEMORY:
      return "out of memory";
    case FC_CONTROLLER_OK:
      break;
  }
  return "no error";
}

/* ---- shared state and services ---- */

static void build_state(fc_controller *controller) {
  controller->cluster = fc_cluster_new(controller->settings);
  controller->cluster->clock_offset_s = fc_time_of_day() - fc_now();
  controller->metrics = fc_metrics_new();
  controller->wakeups = fc_wakeups_new();
  controller->leadership = fc_leadership_new(controller->cluster);
  controller->peers = fc_peers_new(controller->cluster);
  controller->cancellations = fc_cancellations_new(controller->cluster, controller->wakeups);
}

static fc_group_commit *build_commit(fc_cluster *cluster, fc_kv *kv) {
  const fc_settings *settings = cluster->settings;
  double members = (double)(settings->peer_count + 1);
  const fc_group_commit_limits limits = {
      .txn_ops = settings->kv_txn_ops,
      .value_limit = &cluster->value_limit,
      .writes_per_s = settings->kv_write_rps / members,
      .min_writes_per_s = settings->kv_next_write_rps / members,
      .requests_per_s = settings->kv_rps / members * TRANSACTION_RATE_SHARE,
      .response_timeout_s = settings->heartbeat_s * TRANSACTION_TIMEOUT_HEARTBEATS,
  };
  return fc_group_commit_new(kv, &limits);
}

/* Builds the modules for the key-value store and the cloud. */
static void build_services(fc_controller *controller) {
  controller->kv = fc_kv_new(&controller->settings->kv_at);
  fc_record_applier *applier = fc_record_applier_new(controller->cluster, controller->leadership, controller->peers,
                                                     controller->cancellations, controller->wakeups);
  controller->watch = fc_kv_watch_new(controller->cluster, controller->kv, applier, controller->leadership,
                                      controller->wakeups, controller->metrics);
  controller->cloud = fc_cloud_access_new(controller->cluster, controller->leadership);
  controller->commit = build_commit(controller->cluster, controller->kv);
  controller->descriptions = fc_description_store_new(controller->cluster, controller->watch, controller->commit);
}

/* ---- modules that serve workers, users and peers ---- */

static void build_worker_modules(fc_controller *controller) {
  fc_cluster *cluster = controller->cluster;
  const fc_leadership *leadership = controller->leadership;
  fc_wakeups *wakeups = controller->wakeups;
  fc_metrics *metrics = controller->metrics;
  fc_task_completion *completion = fc_task_completion_new(cluster, controller->commit, controller->watch, metrics);
  controller->completion = completion;
  fc_reconciler *reconciler = fc_reconciler_new(cluster, completion, wakeups, metrics);
  fc_worker_commands *commands = fc_worker_commands_new(cluster, completion);
  fc_machine_registration *registration =
      fc_machine_registration_new(cluster, leadership, controller->commit, controller->watch, wakeups);
  controller->worker_calls = fc_worker_calls_new(cluster, leadership, commands, reconciler, metrics);
  controller->probes = fc_machine_probes_new(cluster, leadership, controller->worker_calls);
  controller->worker_leases = fc_worker_leases_new(cluster, leadership, controller->peers, wakeups, metrics);
  fc_lease_renewals *renewals =
      fc_lease_renewals_new(cluster, leadership, controller->cancellations, controller->peers);
  controller->heartbeats = fc_heartbeats_new(&(fc_heartbeats_deps){.cluster = cluster,
                                                                   .leadership = leadership,
                                                                   .renewals = renewals,
                                                                   .registration = registration,
                                                                   .reconciler = reconciler,
                                                                   .commands = commands,
                                                                   .calls = controller->worker_calls,
                                                                   .metrics = metrics});
}

static fc_client_server *build_client_server(fc_controller *controller) {
  fc_cluster *cluster = controller->cluster;
  fc_archive_lookup *archive = fc_archive_lookup_new(cluster, controller->kv, controller->commit);
  controller->resolver =
      fc_dependency_resolver_new(cluster, controller->watch, controller->commit, controller->leadership, archive,
                                 controller->wakeups, controller->metrics);
  fc_job_lookup *lookup = fc_job_lookup_new(cluster, controller->watch, controller->resolver, archive);
  const fc_client_server_deps deps = {
      .settings = controller->settings,
      .admission = fc_admission_new(cluster, controller->commit, controller->peers, lookup, controller->resolver,
                                    controller->descriptions, controller->metrics),
      .queries = fc_job_queries_new(cluster, controller->watch, controller->commit, controller->cancellations, lookup),
      .readiness = fc_readiness_new(cluster, controller->leadership, controller->peers),
      .heartbeats = controller->heartbeats,
      .metrics = controller->metrics,
  };
  return fc_client_server_new(&deps);
}

static fc_view_receiver *build_view_receiver(fc_controller *controller) {
  controller->views =
      fc_peer_views_new(controller->cluster, controller->leadership, controller->peers, controller->cancellations,
                        controller->commit, controller->wakeups, controller->metrics);
  const fc_view_receiver_deps deps = {
      .cluster = controller->cluster,
      .leadership = controller->leadership,
      .peers = controller->peers,
      .views = controller->views,
      .cancellations = controller->cancellations,
      .commit = controller->commit,
      .metrics = controller->metrics,
  };
  return fc_view_receiver_new(&deps);
}

/* ---- routines ---- */

static void run_group_commit(void *arg) {
  const fc_controller *controller = arg;
  fc_metrics_enter_duty(controller->metrics, FC_DUTY_COMMITS);
  fc_group_commit_run(controller->commit);
}

/* Starts what keeps the cluster state current and this controller a member. */
static bool start_coordination(fc_controller *controller) {
  fc_view_sender *sender =
      fc_view_sender_new(controller->cluster, controller->leadership, controller->peers, controller->views,
                         controller->cancellations, controller->wakeups, controller->metrics);
  fc_membership_routine *membership =
      fc_membership_routine_new(controller->cluster, controller->kv, controller->watch, controller->leadership,
                                controller->peers, controller->metrics);
  return fc_view_sender_start(sender) && fc_kv_watch_start(controller->watch) &&
         fc_routine_spawn(run_group_commit, controller) && fc_membership_routine_start(membership);
}

static fc_shard_balancer *build_shard_balancer(const fc_controller *controller) {
  fc_handover_execution *handovers = fc_handover_execution_new(
      controller->cluster, controller->commit, controller->watch, controller->wakeups, controller->metrics);
  fc_transfer_execution *transfers = fc_transfer_execution_new(
      controller->cluster, controller->commit, controller->watch, controller->worker_calls, controller->metrics);
  return fc_shard_balancer_new(controller->cluster, controller->peers, handovers, transfers);
}

static fc_scheduling_loop *build_scheduling_loop(const fc_controller *controller, fc_quota_shares *quota) {
  const fc_scheduling_loop_deps deps = {
      .cluster = controller->cluster,
      .leadership = controller->leadership,
      .leases = controller->worker_leases,
      .probes = controller->probes,
      .calls = controller->worker_calls,
      .stops = fc_task_stops_new(controller->cluster, controller->worker_calls),
      .quota = quota,
      .balancer = build_shard_balancer(controller),
      .completion = controller->completion,
      .relocation =
          fc_description_relocation_new(controller->cluster, controller->watch, controller->commit,
                                        controller->descriptions, controller->leadership, controller->metrics),
      .wakeups = controller->wakeups,
      .metrics = controller->metrics,
      .status = {.cluster = controller->cluster,
                 .leadership = controller->leadership,
                 .commit = controller->commit,
                 .metrics = controller->metrics},
  };
  return fc_scheduling_loop_new(&deps);
}

static bool start_scheduling(fc_controller *controller) {
  fc_quota_shares *quota =
      fc_quota_shares_new(controller->cluster, controller->commit, controller->watch, controller->leadership,
                          controller->peers, controller->wakeups, controller->metrics);
  fc_scheduling_loop *loop = build_scheduling_loop(controller, quota);
  return fc_scheduling_loop_start(loop) && fc_quota_shares_start(quota);
}

static bool start_scaling(const fc_controller *controller, fc_machine_returns *returns) {
  const fc_scaling_deps deps = {
      .cluster = controller->cluster,
      .cloud = controller->cloud,
      .commit = controller->commit,
      .watch = controller->watch,
      .leadership = controller->leadership,
      .peers = controller->peers,
      .returns = returns,
      .metrics = controller->metrics,
  };
  return fc_scaling_start(fc_scaling_new(&deps));
}

static bool start_archiver(const fc_controller *controller) {
  fc_archiver *archiver = fc_archiver_new(controller->cluster, controller->watch, controller->commit,
                                          controller->leadership, controller->metrics);
  return fc_archiver_start(archiver);
}

static bool start_cancellation_deadline(const fc_controller *controller, fc_machine_returns *returns) {
  fc_cancellation_deadline *deadline = fc_cancellation_deadline_new(
      controller->cluster, controller->cloud, controller->leadership, returns, controller->metrics);
  return fc_cancellation_deadline_start(deadline);
}

static bool start_description_cleanup(const fc_controller *controller) {
  fc_description_cleanup *cleanup = fc_description_cleanup_new(
      controller->cluster, controller->watch, controller->commit, controller->leadership, controller->metrics);
  return fc_description_cleanup_start(cleanup);
}

static bool start_maintenance(fc_controller *controller) {
  fc_machine_returns *returns =
      fc_machine_returns_new(controller->cluster, controller->commit, controller->watch, controller->wakeups);
  return start_scaling(controller, returns) && start_archiver(controller) &&
         start_cancellation_deadline(controller, returns) && fc_dependency_resolver_start(controller->resolver) &&
         start_description_cleanup(controller);
}

fc_controller_error fc_controller_start(const fc_settings *settings, fc_controller **out) {
  fc_controller *controller = g_new0(fc_controller, 1);
  *out = controller;
  controller->settings = settings;
  build_state(controller);
  build_services(controller);
  build_worker_modules(controller);
  if (!fc_client_server_start(build_client_server(controller))) return FC_CONTROLLER_CLIENT_LISTEN;
  if (!fc_view_receiver_start(build_view_receiver(controller))) return FC_CONTROLLER_PEER_LISTEN;
  if (!start_coordination(controller) || !start_scheduling(controller) || !start_maintenance(controller))
    return FC_CONTROLLER_NO_MEMORY;
  return FC_CONTROLLER_OK;
}

const fc_counters *fc_controller_counters(const fc_controller *controller) {
  return &controller->metrics->counters;
}

const fc_cluster *fc_controller_cluster(const fc_controller *controller) {
  return controller->cluster;
}
