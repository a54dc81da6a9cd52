/* What an operator can read of a running controller. */
#ifndef FC_CONTROLLER_METRICS_H
#define FC_CONTROLLER_METRICS_H

#include <glib.h>
#include <gsl/gsl_histogram.h>

#include "transport/routine.h"

typedef struct fc_controller fc_controller;

/* Where time goes, in seconds; bins grow by a half each. */
typedef enum { FC_TIME_SUBMIT, FC_TIME_POLL, FC_TIME_START, FC_TIME_ROUND, FC_TIMES } fc_time;

/* What the processor is used for. */
typedef enum {
  FC_DUTY_OTHER,       /* connections that have not asked for anything yet */
  FC_DUTY_HEARTBEATS,  /* workers' reports and the answers to them */
  FC_DUTY_COMMANDS,    /* direct calls to workers */
  FC_DUTY_ROUNDS,      /* placing, preempting, handing over */
  FC_DUTY_RENTAL,      /* renting and returning machines */
  FC_DUTY_VIEWS_SENT,  /* views to peers and their acknowledgements */
  FC_DUTY_VIEWS_TAKEN, /* peers' views */
  FC_DUTY_WATCH,       /* reads of changes */
  FC_DUTY_LOAD,        /* reading everything: at start, or after too long a silence */
  FC_DUTY_COMMITS,     /* transactions */
  FC_DUTY_MEMBERSHIP,  /* the lease, terms, shares of limits */
  FC_DUTY_SUBMISSIONS,
  FC_DUTY_QUERIES, /* questions about jobs, and cancellations */
  FC_DUTIES
} fc_duty;

typedef struct fc_metrics {
  gsl_histogram *times[FC_TIMES];
  fc_usage usage[FC_DUTIES];
} fc_metrics;

void fc_metrics_init(fc_metrics *metrics);
void fc_metrics_time(fc_metrics *metrics, fc_time which, double seconds);
/* Counts what the calling routine uses from now on as the duty's. */
void fc_metrics_duty(fc_metrics *metrics, fc_duty duty);
/* Logs, one line a duty, what has been used since the start. */
void fc_metrics_log_usage(const fc_metrics *metrics);
/* Appends all of it, one figure a line: "name value". */
void fc_metrics_write(const fc_controller *controller, GString *out);

#endif
