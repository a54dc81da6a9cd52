/* Assembles one controller from its settings. */
#include "controller/controller.h"
#include "controller/descriptions.h"
#include "controller/duties.h"
#include "controller/pipelines.h"

fc_controller *fc_controller_start(const fc_settings *s, const char **why) {
  fc_controller *c = g_new0(fc_controller, 1);
  c->settings = s;
  c->started_at = c->cancel_at = c->types_at = fc_now();
  /* Nothing has been read by anybody yet. */
  c->fresh_sent = -1e9;
  for (size_t k = 0; k < s->peer_count; k++) c->peers[k].fresh_at = c->peers[k].heard_at = -1e9;
  c->table = fc_table_new(s);
  c->table->epoch = fc_time_of_day() - fc_now();
  c->cancels = fc_cancels_new();
  fc_metrics_init(&c->metrics);
  c->state = fc_state_new(&s->state_at);
  c->cloud = fc_cloud_new(&s->cloud_at);
  c->archived = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  c->recording = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  double nodes = (double)(s->peer_count + 1);
  const fc_commit_limits limits = {
      .txn_ops = s->state_txn_ops,
      .value_bytes = fc_settings_value_bytes(s),
      .writes_per_s = s->state_write_rps / nodes,
      .lowest_writes_per_s = s->state_next_write_rps / nodes,
      .requests_per_s = s->state_rps / nodes * 0.35,
      .answer_s = s->report_s * 0.75,
  };
  c->commit = fc_commit_new(c->state, &limits);
  fc_budget_init(&c->cloud_budget, s->cloud_rps / nodes, MAX(1.0, s->cloud_rps / nodes), fc_now());
  fc_budget_init(&c->lookup_budget, s->state_rps / nodes * 0.1, MAX(1.0, s->state_rps / nodes * 0.1), fc_now());
  fc_authority_init(&c->authority, s->lease_s * s->op.member_lease_share, s->lease_s, s->cancel_s, s->report_s,
                    s->peer_count);
  if (!fc_front_start(c)) {
    *why = "client_listen: can't listen there";
    return NULL;
  }
  if (!fc_peers_start(c)) {
    *why = "peer_listen: can't listen there";
    return NULL;
  }
  fc_routine_fn duties[] = {fc_watch_main,   fc_read_index_main, fc_commit_duty,      fc_member_main,
                            fc_round_main,   fc_quota_main,      fc_rent_main,        fc_archive_main,
                            fc_overdue_main, fc_pipelines_main,  fc_descriptions_main};
  for (size_t i = 0; i < G_N_ELEMENTS(duties); i++) {
    if (!fc_routine_spawn(duties[i], c)) {
      *why = "out of memory";
      return NULL;
    }
  }
  return c;
}
