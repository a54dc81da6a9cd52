#include "controller/metrics.h"

/* Bins of the duration histograms. */
#define BIN_COUNT 28u
#define FIRST_EDGE_S 0.001 /* upper bound of the first bin */
#define EDGE_GROWTH 1.5    /* ratio of successive bounds */

/* Longer durations are counted at this fraction of the histogram's upper bound, which is in the last
 * bin. */
#define OVERFLOW_FRACTION 0.999

static const char *const k_duration_names[FC_DURATIONS] = {"submit", "poll", "start", "round"};

static const char *const k_duty_names[FC_DUTIES] = {
    "other", "reports", "commands", "rounds",       "rental",      "views_sent", "views_taken",
    "watch", "load",    "commits",  "coordination", "submissions", "queries",
};

fc_metrics *fc_metrics_new(void) {
  fc_metrics *metrics = g_new0(fc_metrics, 1);
  double edges[BIN_COUNT + 1];
  edges[0] = 0;
  edges[1] = FIRST_EDGE_S;
  for (unsigned i = 2; i <= BIN_COUNT; i++) edges[i] = edges[i - 1] * EDGE_GROWTH;
  for (int i = 0; i < FC_DURATIONS; i++) {
    metrics->durations[i] = gsl_histogram_alloc(BIN_COUNT);
    if (!metrics->durations[i]) g_error("out of memory");
    (void)gsl_histogram_set_ranges(metrics->durations[i], edges, BIN_COUNT + 1);
  }
  return metrics;
}

void fc_metrics_free(fc_metrics *metrics) {
  if (!metrics) return;
  for (int i = 0; i < FC_DURATIONS; i++) gsl_histogram_free(metrics->durations[i]);
  g_free(metrics);
}

void fc_metrics_observe_duration(fc_metrics *metrics, fc_duration_metric which, double seconds) {
  gsl_histogram *histogram = metrics->durations[which];
  double max = gsl_histogram_max(histogram) * OVERFLOW_FRACTION;
  (void)gsl_histogram_increment(histogram, CLAMP(seconds, 0, max));
}

static void append_histogram(const gsl_histogram *histogram, const char *name, GString *out) {
  double total = 0;
  for (size_t i = 0; i < gsl_histogram_bins(histogram); i++) {
    double low, high;
    if (gsl_histogram_get_range(histogram, i, &low, &high) != 0) continue;
    total += gsl_histogram_get(histogram, i);
    g_string_append_printf(out, "fieldcleat_%s_seconds_bucket{le=\"%.4g\"} %.0f\n", name, high, total);
  }
  g_string_append_printf(out, "fieldcleat_%s_seconds_count %.0f\n", name, total);
}

void fc_metrics_enter_duty(fc_metrics *metrics, fc_duty duty) {
  fc_routine_account(&metrics->usage[duty]);
}

void fc_metrics_log_usage(const fc_metrics *metrics) {
  for (int i = 0; i < FC_DUTIES; i++) {
    const fc_usage *usage = &metrics->usage[i];
    g_info("usage duty=%s busy_s=%.3f switches=%" G_GUINT64_FORMAT " system_calls=%" G_GUINT64_FORMAT
           " bytes_in=%" G_GUINT64_FORMAT " bytes_out=%" G_GUINT64_FORMAT,
           k_duty_names[i], usage->busy_s, (guint64)usage->switches, (guint64)usage->system_calls,
           (guint64)usage->bytes_in, (guint64)usage->bytes_out);
  }
  g_info("usage loop turns=%u lag_s=%.3f", fc_loop_iterations(), fc_loop_lag());
}

static void append_usage(const fc_usage *usage, const char *duty, GString *out) {
  const struct {
    const char *name;
    double value;
  } samples[] = {
      {"switches", (double)usage->switches}, {"system_calls", (double)usage->system_calls},
      {"bytes_in", (double)usage->bytes_in}, {"bytes_out", (double)usage->bytes_out},
      {"busy_seconds", usage->busy_s},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(samples); i++)
    g_string_append_printf(out, "fieldcleat_duty_%s_total{duty=\"%s\"} %.10g\n", samples[i].name, duty,
                           samples[i].value);
}

void fc_metrics_append(const fc_metrics *metrics, GString *out) {
  for (int i = 0; i < FC_DUTIES; i++) append_usage(&metrics->usage[i], k_duty_names[i], out);
  for (int i = 0; i < FC_DURATIONS; i++) append_histogram(metrics->durations[i], k_duration_names[i], out);
}
