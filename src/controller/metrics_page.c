#include "controller/metrics_page.h"

#include "bookkeeping/dependencies.h"
#include "protocol/job_record.h"

void fc_metrics_page_append(const fc_metrics_sources *sources, GString *out) {
  const fc_cluster *cluster = sources->cluster;
  const fc_counters *counters = &sources->metrics->counters;
  fc_group_commit_counts writes = fc_group_commit_stats(sources->commit);
  bool all_read_awaiting = fc_cluster_members_read_format(cluster, FC_JOB_FORMAT_AWAITING);
  const struct {
    const char *name;
    double value;
  } samples[] = {
      {"term", (double)cluster->membership.term.number},
      {"may_act", fc_leadership_held(sources->leadership)},
      {"state_age_seconds", fc_now() - cluster->sync.read_at},
      {"jobs", g_hash_table_size(cluster->jobs)},
      {"awaiting_jobs", fc_dependencies_blocked_count(cluster)},
      {"job_formats_read_by_all", all_read_awaiting ? FC_JOB_FORMAT_AWAITING : FC_JOB_FORMAT_PLAIN},
      {"state_write_rate", fc_group_commit_rate(sources->commit)},
      {"machines", g_hash_table_size(cluster->machines)},
      {"routines", (double)fc_routine_count()},
      {"loop_turns_total", (double)fc_loop_iterations()},
      {"loop_lag_seconds", fc_loop_lag()},
      {"rounds_total", (double)counters->rounds},
      {"state_reads_total", (double)counters->reads},
      {"state_commits_total", (double)writes.transactions},
      {"state_commit_wait_seconds_total", writes.waited_s},
      {"reports_total", (double)counters->heartbeats},
      {"requests_total", (double)counters->requests},
      {"peer_exchanges_total", (double)counters->exchanges},
      {"machines_told_total", (double)counters->machines_sent},
      {"direct_orders_total", (double)counters->worker_calls},
      {"worker_leases_expired_total", (double)counters->expired_leases},
      {"unknown_starts_total", (double)counters->unknown_starts},
      {"raised_tokens_total", (double)counters->raised_tokens},
      {"unexpected_tasks_total", (double)counters->unexpected_tasks},
      {"placed_total", (double)counters->placed},
      {"placed_again_total", (double)counters->placed_again},
      {"preempted_total", (double)counters->preempted},
      {"preempted_early_total", (double)counters->preempted_early},
      {"handed_over_total", (double)counters->handed_over},
      {"lent_total", (double)counters->machines_transferred},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(samples); i++)
    g_string_append_printf(out, "fieldcleat_%s %.10g\n", samples[i].name, samples[i].value);
  for (int kind = 0; kind < FC_WRITE_KINDS; kind++)
    g_string_append_printf(out, "fieldcleat_state_writes_total{kind=\"%s\"} %.10g\n", fc_write_kind_names[kind],
                           (double)writes.writes[kind]);
  fc_metrics_append(sources->metrics, out);
}
