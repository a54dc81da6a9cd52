#include "controller/metrics.h"

#include "bookkeeping/pipeline.h"
#include "controller/controller.h"
#include "controller/pipelines.h"

#define BINS 28u
#define LEAST_S 0.001

static const char *const k_names[] = {"submit", "poll", "start", "round"};

static const char *const k_duty_names[FC_DUTIES] = {
    "other", "reports", "commands", "rounds",       "rental",      "views_sent", "views_taken",
    "watch", "load",    "commits",  "coordination", "submissions", "queries",
};

void fc_metrics_init(fc_metrics *m) {
  double edges[BINS + 1];
  edges[0] = 0;
  for (unsigned i = 1; i <= BINS; i++) edges[i] = i == 1 ? LEAST_S : edges[i - 1] * 1.5;
  for (int k = 0; k < FC_TIMES; k++) {
    m->times[k] = gsl_histogram_alloc(BINS);
    if (!m->times[k]) g_error("out of memory");
    (void)gsl_histogram_set_ranges(m->times[k], edges, BINS + 1);
  }
}

void fc_metrics_time(fc_metrics *m, fc_time which, double seconds) {
  gsl_histogram *h = m->times[which];
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

void fc_metrics_duty(fc_metrics *m, fc_duty duty) {
  fc_routine_account(&m->usage[duty]);
}

void fc_metrics_log_usage(const fc_metrics *m) {
  for (int k = 0; k < FC_DUTIES; k++) {
    const fc_usage *u = &m->usage[k];
    g_info("usage duty=%s busy_s=%.3f switches=%" G_GUINT64_FORMAT " system_calls=%" G_GUINT64_FORMAT
           " bytes_in=%" G_GUINT64_FORMAT " bytes_out=%" G_GUINT64_FORMAT,
           k_duty_names[k], u->busy_s, (guint64)u->switches, (guint64)u->system_calls, (guint64)u->bytes_in,
           (guint64)u->bytes_out);
  }
  g_info("usage loop turns=%u lag_s=%.3f", fc_loop_turns(), fc_loop_lag());
}

static void write_usage(const fc_usage *u, const char *duty, GString *out) {
  const struct {
    const char *name;
    double value;
  } figures[] = {
      {"switches", (double)u->switches}, {"system_calls", (double)u->system_calls},
      {"bytes_in", (double)u->bytes_in}, {"bytes_out", (double)u->bytes_out},
      {"busy_seconds", u->busy_s},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(figures); i++)
    g_string_append_printf(out, "fieldcleat_duty_%s_total{duty=\"%s\"} %.10g\n", figures[i].name, duty,
                           figures[i].value);
}

void fc_metrics_write(const fc_controller *c, GString *out) {
  const fc_counts *n = &c->counts;
  fc_commit_counts writes = fc_commit_count(c->commit);
  const struct {
    const char *name;
    double value;
  } figures[] = {
      {"term", (double)c->table->term.number},
      {"may_act", fc_may_act(c)},
      {"state_age_seconds", fc_now() - c->fresh_sent},
      {"jobs", g_hash_table_size(c->table->jobs)},
      {"awaiting_jobs", fc_pipeline_waiting(c->table)},
      {"job_formats_read_by_all", fc_pipelines_supported(c) ? FC_JOB_FORMAT_AWAITING : FC_JOB_FORMAT_PLAIN},
      {"state_write_rate", fc_commit_rate(c->commit)},
      {"machines", g_hash_table_size(c->table->machines)},
      {"routines", (double)fc_routine_count()},
      {"loop_turns_total", (double)fc_loop_turns()},
      {"loop_lag_seconds", fc_loop_lag()},
      {"rounds_total", (double)n->rounds},
      {"state_reads_total", (double)n->reads},
      {"state_commits_total", (double)writes.transactions},
      {"state_commit_wait_seconds_total", writes.waited_s},
      {"reports_total", (double)n->reports},
      {"requests_total", (double)n->requests},
      {"peer_exchanges_total", (double)n->exchanges},
      {"machines_told_total", (double)n->shown},
      {"direct_orders_total", (double)n->pushes},
      {"placed_total", (double)n->placed},
      {"preempted_total", (double)n->preempted},
      {"handed_over_total", (double)n->handed_over},
      {"lent_total", (double)n->lent},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(figures); i++)
    g_string_append_printf(out, "fieldcleat_%s %.10g\n", figures[i].name, figures[i].value);
  for (int k = 0; k < FC_WRITE_KINDS; k++)
    g_string_append_printf(out, "fieldcleat_state_writes_total{kind=\"%s\"} %.10g\n", fc_write_kind_names[k],
                           (double)writes.writes[k]);
  for (int k = 0; k < FC_DUTIES; k++) write_usage(&c->metrics.usage[k], k_duty_names[k], out);
  for (int k = 0; k < FC_TIMES; k++) write_times(c->metrics.times[k], k_names[k], out);
}
