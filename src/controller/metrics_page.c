#include "controller/metrics_page.h"

#include "bookkeeping/dependencies.h"
#include "protocol/job_record.h"
#include "protocol/unreadable_responses.h"
#include "transport/conn.h"

static const char *const k_message_names[FC_MESSAGES] = {
    [FC_MESSAGE_SUBMISSION] = "submission",
    [FC_MESSAGE_HEARTBEAT] = "report",
};

static const char *const k_fault_names[FC_MESSAGE_FAULTS] = {
    [FC_MESSAGE_NOT_JSON] = "not_json",
    [FC_MESSAGE_NOT_OBJECT] = "not_an_object",
    [FC_MESSAGE_BAD_FIELD] = "field",
};

/* Messages that were refused, and responses that could not be read. */
static void append_unreadable(const fc_metrics *metrics, GString *out) {
  for (int message = 0; message < FC_MESSAGES; message++)
    for (int fault = 0; fault < FC_MESSAGE_FAULTS; fault++)
      g_string_append_printf(out, "fieldcleat_refused_total{message=\"%s\",reason=\"%s\"} %.10g\n",
                             k_message_names[message], k_fault_names[fault],
                             (double)metrics->counters.refused[message][fault]);
  for (int responder = 0; responder < FC_RESPONDERS; responder++)
    g_string_append_printf(out, "fieldcleat_unreadable_responses_total{from=\"%s\"} %.10g\n",
                           fc_responder_names[responder],
                           (double)fc_unreadable_response_count((fc_responder)responder));
}

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
      {"connections_closed_for_others_total", (double)fc_conn_closed_for_others()},
      {"peer_exchanges_total", (double)counters->exchanges},
      {"machines_told_total", (double)counters->machines_sent},
      {"direct_orders_total", (double)counters->worker_calls},
      {"worker_leases_expired_total", (double)counters->expired_leases},
      {"unknown_starts_total", (double)counters->unknown_starts},
      {"raised_tokens_total", (double)counters->raised_tokens},
      {"unexpected_tasks_total", (double)counters->unexpected_tasks},
      {"placed_total", (double)counters->placed},
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
  append_unreadable(sources->metrics, out);
  fc_metrics_append(sources->metrics, out);
}
