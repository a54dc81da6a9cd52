/* Metrics of a controller: counters of events, histograms of durations, and resource usage by duty.
 * The page that operators read is built in metrics_page.h. */
#ifndef FC_CONTROLLER_METRICS_H
#define FC_CONTROLLER_METRICS_H

#include <glib.h>
#include <gsl/gsl_histogram.h>

#include "protocol/json.h"
#include "transport/routine.h"

/* Durations that are recorded in histograms. */
typedef enum {
  FC_DURATION_SUBMIT, /* from receiving a submission to its response */
  FC_DURATION_POLL,   /* from receiving a poll of a job to its response */
  FC_DURATION_START,  /* from placing a task to the report that it runs */
  FC_DURATION_ROUND,  /* a scheduling round */
  FC_DURATIONS
} fc_duration_metric;

/* The duties of a controller, among which its resource usage is divided. */
typedef enum {
  FC_DUTY_OTHER,          /* connections before their first request */
  FC_DUTY_HEARTBEATS,     /* workers' heartbeats and the responses to them */
  FC_DUTY_COMMANDS,       /* direct calls to workers */
  FC_DUTY_ROUNDS,         /* scheduling rounds: placement, preemption, handover */
  FC_DUTY_RENTAL,         /* renting and returning machines */
  FC_DUTY_VIEWS_SENT,     /* sending views, and applying their acknowledgements */
  FC_DUTY_VIEWS_RECEIVED, /* applying peers' views, and acknowledging them */
  FC_DUTY_WATCH,          /* reads of changes from the key-value store */
  FC_DUTY_LOAD,           /* loading a snapshot: at start, or when changes are no longer available */
  FC_DUTY_COMMITS,        /* transactions, and maintenance such as archiving */
  FC_DUTY_MEMBERSHIP,     /* the member's lease, terms, quota shares */
  FC_DUTY_SUBMISSIONS,
  FC_DUTY_QUERIES, /* polls and cancellations of jobs */
  FC_DUTIES
} fc_duty;

/* Messages that a controller may have to refuse. */
typedef enum { FC_MESSAGE_SUBMISSION, FC_MESSAGE_HEARTBEAT, FC_MESSAGES } fc_message_kind;

/* Numbers of events since the start. */
typedef struct fc_counters {
  uint64_t rounds;     /* scheduling rounds */
  uint64_t reads;      /* reads of changes from the key-value store */
  uint64_t heartbeats; /* well-formed ones from workers */
  uint64_t requests;   /* HTTP requests at the client address */
  uint64_t exchanges;  /* of views with peers, failed attempts included */
  uint64_t views_received;
  uint64_t worker_calls;         /* direct calls sent to workers */
  uint64_t expired_leases;       /* of workers, at most once per epoch */
  uint64_t unknown_starts;       /* in direct calls that ended without a response */
  uint64_t machines_sent;        /* descriptions of machines in views */
  uint64_t raised_tokens;        /* answers to workers of this shard with a raised fencing token */
  uint64_t unexpected_tasks;     /* that workers listed although this controller did not expect them there */
  uint64_t placed;               /* tasks */
  uint64_t preempted;            /* tasks */
  uint64_t preempted_early;      /* of those, within a worker lease of their placement */
  uint64_t handed_over;          /* jobs */
  uint64_t machines_transferred; /* to other members */
  uint64_t refused[FC_MESSAGES][FC_MESSAGE_FAULTS]; /* messages that could not be read */
} fc_counters;

typedef struct fc_metrics {
  fc_counters counters;
  gsl_histogram *durations[FC_DURATIONS];
  fc_usage usage[FC_DUTIES];
} fc_metrics;

/* The caller frees it with fc_metrics_free(). */
fc_metrics *fc_metrics_new(void);
void fc_metrics_free(fc_metrics *metrics);
/* Adds a duration in seconds to the histogram. */
void fc_metrics_observe_duration(fc_metrics *metrics, fc_duration_metric which, double seconds);
/* Attributes the resource usage of the calling routine to the duty from now on. */
void fc_metrics_enter_duty(fc_metrics *metrics, fc_duty duty);
/* Logs the resource usage since the start, one line per duty, and the state of the event loop. */
void fc_metrics_log_usage(const fc_metrics *metrics);
/* Appends the resource usage and the histograms, one metric per line: "name value". */
void fc_metrics_append(const fc_metrics *metrics, GString *out);

#endif
