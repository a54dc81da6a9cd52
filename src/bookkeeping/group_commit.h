/* Group commit: combines the write requests of many routines into transactions, by priority, within
 * the size limits of a transaction and this member's write rate (write_rate.h). */
#ifndef FC_BOOKKEEPING_GROUP_COMMIT_H
#define FC_BOOKKEEPING_GROUP_COMMIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "bookkeeping/value_limit.h"
#include "bookkeeping/write_request.h"
#include "protocol/kv_store.h"

/* The order in which requests are sent under overload: worker heartbeats first, then scheduling
 * decisions, then submissions, then maintenance, which no caller waits for. */
typedef enum {
  FC_WRITE_PRIORITY_HEARTBEAT,
  FC_WRITE_PRIORITY_DECISION,
  FC_WRITE_PRIORITY_SUBMISSION,
  FC_WRITE_PRIORITY_MAINTENANCE,
  FC_WRITE_PRIORITIES
} fc_write_priority;

typedef struct fc_group_commit fc_group_commit;

/* The limits of the key-value store; the rates are this member's even share of them. */
typedef struct fc_group_commit_limits {
  unsigned txn_ops;            /* changes in one transaction */
  fc_value_limit *value_limit; /* of one encoded value; a write with a larger one is refused. Follows refusals */
  double writes_per_s;         /* current rate, changes per second */
  double min_writes_per_s;     /* the store may lower the rate to this without notice */
  double requests_per_s;       /* transactions per second */
  double response_timeout_s;   /* after this time the outcome of a transaction is unknown */
} fc_group_commit_limits;

/* `kv` and the limit of values must outlive the result, which lives as long as the process. `limits` is
 * copied. */
fc_group_commit *fc_group_commit_new(fc_kv *kv, const fc_group_commit_limits *limits);

/* Sets this member's share of both rates: the fraction `share` of the total, where `even` is the
 * fraction if all were equal. The burst sizes are unchanged. */
void fc_group_commit_set_share(fc_group_commit *commit, double share, double even);

/* The current write rate, in changes per second. */
double fc_group_commit_rate(const fc_group_commit *commit);

/* Takes one request from this member's request rate, for another purpose. Returns false if
 * transactions may need all that is left. */
bool fc_group_commit_take_spare_request(fc_group_commit *commit);

/* The number of changes, queued or sent, whose outcome is not known yet. */
unsigned fc_group_commit_backlog(const fc_group_commit *commit);

/* Main function of the routine that sends transactions; `commit` is an fc_group_commit. Runs until
 * cancelled. */
void fc_group_commit_run(void *commit);

/* Queues the request and waits for its outcome. Consumes `write`. May suspend the calling routine.
 * `deadline` (fc_now()) bounds the time in the queue. OK: executed, at *revision (which may be
 * NULL). CONFLICT: a condition of this request failed. DOWN: not executed; it could not be sent
 * before the deadline. UNKNOWN: may have been executed; the caller has to read the keys before
 * deciding. REFUSED: not executed, and repeating it would not help; a request with a value above
 * the size limit is not sent at all. The limit that it may have exceeded, of the size of values or of the
 * number of changes, is lowered, and a smaller request may help. */
fc_kv_result fc_group_commit_write(fc_group_commit *commit, fc_write *write, fc_write_priority priority,
                                   double deadline, uint64_t *revision);

/* The maximum number of changes in one transaction, and so in one request, as far as it is known. */
unsigned fc_group_commit_max_writes(const fc_group_commit *commit);

/* Whether another request of this priority would be sent within `wait_s` seconds at the current
 * rate. */
bool fc_group_commit_accepts(fc_group_commit *commit, fc_write_priority priority, double wait_s);

/* The kind of record that a change belongs to, by its key. */
typedef enum {
  FC_WRITE_KIND_JOB,
  FC_WRITE_KIND_MACHINE,
  FC_WRITE_KIND_RENTAL,
  FC_WRITE_KIND_QUOTA,
  FC_WRITE_KIND_OTHER,
  FC_WRITE_KINDS
} fc_write_kind;

/* The label of each kind in metrics. */
extern const char *const fc_write_kind_names[FC_WRITE_KINDS];

/* Counters since the process started, for metrics. */
typedef struct fc_group_commit_counts {
  uint64_t transactions;           /* sent */
  uint64_t writes[FC_WRITE_KINDS]; /* changes sent, including retries */
  double waited_s;                 /* total time that transactions waited for the rate limits */
} fc_group_commit_counts;

fc_group_commit_counts fc_group_commit_stats(const fc_group_commit *commit);

#endif
