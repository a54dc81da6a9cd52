/* Assembles one controller from its settings. */
#include "controller/controller.h"
#include "controller/dependency_resolver.h"
#include "controller/description_store.h"
#include "controller/duties.h"

fc_controller *fc_controller_start(const fc_settings *settings, const char **why) {
  fc_controller *controller = g_new0(fc_controller, 1);
  controller->settings = settings;
  controller->started_at = controller->cancel_at = controller->types_at = fc_now();
  /* Nothing has been read by anybody yet. */
  controller->kv_read_at = -1e9;
  for (size_t k = 0; k < settings->peer_count; k++)
    controller->peers[k].kv_read_at = controller->peers[k].heard_at = -1e9;
  controller->table = fc_cluster_new(settings);
  controller->table->clock_offset_s = fc_time_of_day() - fc_now();
  controller->cancels = fc_cancellation_log_new();
  fc_metrics_init(&controller->metrics);
  controller->state = fc_kv_new(&settings->kv_at);
  controller->cloud = fc_cloud_new(&settings->cloud_at);
  controller->archived = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  controller->recording = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  double nodes = (double)(settings->peer_count + 1);
  const fc_group_commit_limits limits = {
      .txn_ops = settings->kv_txn_ops,
      .value_bytes = fc_settings_value_bytes(settings),
      .writes_per_s = settings->kv_write_rps / nodes,
      .lowest_writes_per_s = settings->kv_next_write_rps / nodes,
      .requests_per_s = settings->kv_rps / nodes * 0.35,
      .answer_s = settings->heartbeat_s * 0.75,
  };
  controller->commit = fc_group_commit_new(controller->state, &limits);
  fc_token_bucket_init(&controller->cloud_budget, settings->cloud_rps / nodes, MAX(1.0, settings->cloud_rps / nodes),
                       fc_now());
  fc_token_bucket_init(&controller->lookup_budget, settings->kv_rps / nodes * 0.1,
                       MAX(1.0, settings->kv_rps / nodes * 0.1), fc_now());
  fc_leader_lease_init(&controller->authority, settings->lease_s * settings->op.member_lease_share, settings->lease_s,
                       settings->cancel_s, settings->heartbeat_s, settings->peer_count);
  if (!fc_front_start(controller)) {
    *why = "client_listen: can't listen there";
    return NULL;
  }
  if (!fc_peers_start(controller)) {
    *why = "peer_listen: can't listen there";
    return NULL;
  }
  fc_routine_fn duties[] = {fc_watch_main,   fc_read_index_main, fc_commit_duty,      fc_member_main,
                            fc_round_main,   fc_quota_main,      fc_rent_main,        fc_archive_main,
                            fc_overdue_main, fc_pipelines_main,  fc_descriptions_main};
  for (size_t i = 0; i < G_N_ELEMENTS(duties); i++) {
    if (!fc_routine_spawn(duties[i], controller)) {
      *why = "out of memory";
      return NULL;
    }
  }
  return controller;
}
