#include "controller/metrics.h"

#include "bookkeeping/dependencies.h"
#include "controller/controller.h"
#include "controller/dependency_resolver.h"

#define BINS 28u
#define LEAST_S 0.001

static const char *const k_names[] = {"submit", "poll", "start", "round"};

static const char *const k_duty_names[FC_DUTIES] = {
    "other", "reports", "commands", "rounds",       "rental",      "views_sent", "views_taken",
    "watch", "load",    "commits",  "coordination", "submissions", "queries",
};

void fc_metrics_init(fc_metrics *metrics) {
  double edges[BINS + 1];
  edges[0] = 0;
  for (unsigned i = 1; i <= BINS; i++) edges[i] = i == 1 ? LEAST_S : edges[i - 1] * 1.5;
  for (int k = 0; k < FC_TIMES; k++) {
    metrics->times[k] = gsl_histogram_alloc(BINS);
    if (!metrics->times[k]) g_error("out of memory");
    (void)gsl_histogram_set_ranges(metrics->times[k], edges, BINS + 1);
  }
}

void fc_metrics_time(fc_metrics *metrics, fc_time which, double seconds) {
  gsl_histogram *h = metrics->times[which];
  if (!h) return;
  /* What lies past the last bin counts in it. */
  double most = gsl_histogram_max(h) * 0.999;
  (void)gsl_histogram_increment(h, seconds < 0 ? 0 : seconds > most ? most : seconds);
}

static void write_times(const gsl_histogram *h, const char *name, GString *out) {
  double total = 0;
  for (size_t i = 0; i < gsl_histogram_bins(h); i++) {
    double low, high;
    if (gsl_histogram_get_range(h, i, &low, &high) != 0) continue;
    total += gsl_histogram_get(h, i);
    g_string_append_printf(out, "fieldcleat_%s_seconds_bucket{le=\"%.4g\"} %.0f\n", name, high, total);
  }
  g_string_append_printf(out, "fieldcleat_%s_seconds_count %.0f\n", name, total);
}

void fc_metrics_duty(fc_metrics *metrics, fc_duty duty) {
  fc_routine_account(&metrics->usage[duty]);
}

void fc_metrics_log_usage(const fc_metrics *metrics) {
  for (int k = 0; k < FC_DUTIES; k++) {
    const fc_usage *usage = &metrics->usage[k];
    g_info("usage duty=%s busy_s=%.3f switches=%" G_GUINT64_FORMAT " system_calls=%" G_GUINT64_FORMAT
           " bytes_in=%" G_GUINT64_FORMAT " bytes_out=%" G_GUINT64_FORMAT,
           k_duty_names[k], usage->busy_s, (guint64)usage->switches, (guint64)usage->system_calls,
           (guint64)usage->bytes_in, (guint64)usage->bytes_out);
  }
  g_info("usage loop turns=%u lag_s=%.3f", fc_loop_turns(), fc_loop_lag());
}

static void write_usage(const fc_usage *usage, const char *duty, GString *out) {
  const struct {
    const char *name;
    double value;
  } figures[] = {
      {"switches", (double)usage->switches}, {"system_calls", (double)usage->system_calls},
      {"bytes_in", (double)usage->bytes_in}, {"bytes_out", (double)usage->bytes_out},
      {"busy_seconds", usage->busy_s},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(figures); i++)
    g_string_append_printf(out, "fieldcleat_duty_%s_total{duty=\"%s\"} %.10g\n", figures[i].name, duty,
                           figures[i].value);
}

void fc_metrics_write(const fc_controller *controller, GString *out) {
  const fc_counts *counts = &controller->counts;
  fc_group_commit_counts writes = fc_group_commit_stats(controller->commit);
  const struct {
    const char *name;
    double value;
  } figures[] = {
      {"term", (double)controller->cluster->membership.term.number},
      {"may_act", fc_may_act(controller)},
      {"state_age_seconds", fc_now() - controller->kv_read_at},
      {"jobs", g_hash_table_size(controller->cluster->jobs)},
      {"awaiting_jobs", fc_dependencies_blocked_count(controller->cluster)},
      {"job_formats_read_by_all", fc_pipelines_supported(controller) ? FC_JOB_FORMAT_AWAITING : FC_JOB_FORMAT_PLAIN},
      {"state_write_rate", fc_group_commit_rate(controller->commit)},
      {"machines", g_hash_table_size(controller->cluster->machines)},
      {"routines", (double)fc_routine_count()},
      {"loop_turns_total", (double)fc_loop_turns()},
      {"loop_lag_seconds", fc_loop_lag()},
      {"rounds_total", (double)counts->rounds},
      {"state_reads_total", (double)counts->reads},
      {"state_commits_total", (double)writes.transactions},
      {"state_commit_wait_seconds_total", writes.waited_s},
      {"reports_total", (double)counts->reports},
      {"requests_total", (double)counts->requests},
      {"peer_exchanges_total", (double)counts->exchanges},
      {"machines_told_total", (double)counts->shown},
      {"direct_orders_total", (double)counts->pushes},
      {"placed_total", (double)counts->placed},
      {"preempted_total", (double)counts->preempted},
      {"handed_over_total", (double)counts->handed_over},
      {"lent_total", (double)counts->lent},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(figures); i++)
    g_string_append_printf(out, "fieldcleat_%s %.10g\n", figures[i].name, figures[i].value);
  for (int k = 0; k < FC_WRITE_KINDS; k++)
    g_string_append_printf(out, "fieldcleat_state_writes_total{kind=\"%s\"} %.10g\n", fc_write_kind_names[k],
                           (double)writes.writes[k]);
  for (int k = 0; k < FC_DUTIES; k++) write_usage(&controller->metrics.usage[k], k_duty_names[k], out);
  for (int k = 0; k < FC_TIMES; k++) write_times(controller->metrics.times[k], k_names[k], out);
}
