/* What an operator can read of a running controller. */
#ifndef FC_CONTROLLER_METRICS_H
#define FC_CONTROLLER_METRICS_H

#include <glib.h>
#include <gsl/gsl_histogram.h>

typedef struct fc_controller fc_controller;

/* Where time goes, in seconds; bins grow by a half each. */
typedef enum { FC_TIME_SUBMIT, FC_TIME_POLL, FC_TIME_START, FC_TIME_ROUND, FC_TIMES } fc_time;

typedef struct fc_metrics {
  gsl_histogram *times[FC_TIMES];
} fc_metrics;

void fc_metrics_init(fc_metrics *m);
void fc_metrics_time(fc_metrics *m, fc_time which, double seconds);
/* Appends all of it, one figure a line: "name value". */
void fc_metrics_write(const fc_controller *c, GString *out);

#endif
