/* Metrics: counters, durations and the use of the processor, recorded by the duties of a
 * controller. What an operator reads of them is put together in metrics_page.h. */
#ifndef FC_CONTROLLER_METRICS_H
#define FC_CONTROLLER_METRICS_H

#include <glib.h>
#include <gsl/gsl_histogram.h>

#include "transport/routine.h"

/* Durations in seconds. */
typedef enum {
  FC_DURATION_SUBMIT, /* from a submission until its answer */
  FC_DURATION_POLL,   /* from a question about a job until its answer */
  FC_DURATION_START,  /* from placing a task until it runs */
  FC_DURATION_ROUND,  /* a scheduling round */
  FC_DURATIONS
} fc_duration_metric;

/* What the processor is used for. */
typedef enum {
  FC_DUTY_OTHER,          /* connections that have not asked for anything yet */
  FC_DUTY_HEARTBEATS,     /* workers' heartbeats and the answers to them */
  FC_DUTY_COMMANDS,       /* direct calls to workers */
  FC_DUTY_ROUNDS,         /* placing, preempting, handing over */
  FC_DUTY_RENTAL,         /* renting and returning machines */
  FC_DUTY_VIEWS_SENT,     /* views to peers and their acknowledgements */
  FC_DUTY_VIEWS_RECEIVED, /* peers' views */
  FC_DUTY_WATCH,          /* reads of changes */
  FC_DUTY_LOAD,           /* reading everything: at start, or after too long a silence */
  FC_DUTY_COMMITS,        /* transactions */
  FC_DUTY_MEMBERSHIP,     /* the lease, terms, quota shares */
  FC_DUTY_SUBMISSIONS,
  FC_DUTY_QUERIES, /* questions about jobs, and cancellations */
  FC_DUTIES
} fc_duty;

/* Events since the start. */
typedef struct fc_counters {
  uint64_t rounds;     /* scheduling rounds */
  uint64_t reads;      /* reads of changes from the key-value store */
  uint64_t heartbeats; /* well-formed ones */
  uint64_t requests;   /* at the address for users and workers */
  uint64_t exchanges;  /* views begun to be sent to peers */
  uint64_t views_received;
  uint64_t worker_calls;    /* direct ones that were sent */
  uint64_t expired_leases;  /* of workers, each once in an epoch */
  uint64_t unknown_starts;  /* sent by direct calls that ended without an answer */
  uint64_t machines_sent;   /* in views */
  uint64_t placed;          /* tasks */
  uint64_t preempted;       /* tasks */
  uint64_t preempted_early; /* of those, within a worker lease of being placed */
  uint64_t handed_over;     /* jobs */
  uint64_t machines_transferred;
} fc_counters;

typedef struct fc_metrics {
  fc_counters counters;
  gsl_histogram *times[FC_DURATIONS];
  fc_usage usage[FC_DUTIES];
} fc_metrics;

/* The caller frees it with fc_metrics_free(). */
fc_metrics *fc_metrics_new(void);
void fc_metrics_free(fc_metrics *metrics);
void fc_metrics_observe_duration(fc_metrics *metrics, fc_duration_metric which, double seconds);
/* Counts what the calling routine uses from now on as the duty's. */
void fc_metrics_enter_duty(fc_metrics *metrics, fc_duty duty);
/* Logs, one line a duty, what has been used since the start. */
void fc_metrics_log_usage(const fc_metrics *metrics);
/* Appends the use of the processor and the durations, one figure a line: "name value". */
void fc_metrics_append(const fc_metrics *metrics, GString *out);

#endif
