/* Group commit: writes of many routines go out together, within the limits of
 * a transaction and of this member's share of the write rate, in ranks. The state
 * service may lower its write rate without notice: while it refuses, this one goes
 * down to the rate that was announced, and rises again when it no longer does. */
#ifndef FC_BOOKKEEPING_GROUP_COMMIT_H
#define FC_BOOKKEEPING_GROUP_COMMIT_H

#include <stdbool.h>
#include <stdint.h>

#include "protocol/kv_store.h"

/* Overload: reports of workers first, then decisions, then submissions; upkeep is
 * what nobody waits for. */
typedef enum {
  FC_WRITE_PRIORITY_HEARTBEAT,
  FC_WRITE_PRIORITY_DECISION,
  FC_WRITE_PRIORITY_SUBMISSION,
  FC_WRITE_PRIORITY_MAINTENANCE,
  FC_WRITE_PRIORITIES
} fc_write_priority;

typedef struct fc_group_commit fc_group_commit;
typedef struct fc_write fc_write;

/* This member's even part of the limits. */
typedef struct fc_group_commit_limits {
  unsigned txn_ops;                      /* changes of one transaction */
  size_t value_bytes;                    /* of one value */
  double writes_per_s, min_writes_per_s; /* now, and as far as the service may lower it */
  double requests_per_s;
  double response_timeout_s; /* a transaction is waited for so long */
} fc_group_commit_limits;

fc_group_commit *fc_group_commit_new(fc_kv *state, const fc_group_commit_limits *limits);
/* This member's share of both rates: `share` of all, `even` of all at the start.
 * What may be saved up for a burst stays as it was. */
void fc_group_commit_set_share(fc_group_commit *commit, double share, double even);
/* The writes a second that it sends at most now. */
double fc_group_commit_rate(const fc_group_commit *commit);
/* Takes one request out of what transactions leave of this member's share of the request rate,
 * for another purpose. False: there is none to spare. */
bool fc_group_commit_take_spare_request(fc_group_commit *commit);
/* Writes that wait to be sent. */
unsigned fc_group_commit_backlog(const fc_group_commit *commit);
/* The routine that sends; runs until cancelled. */
void fc_group_commit_run(void *commit);

fc_write *fc_write_new(void);
void fc_write_free(fc_write *write); /* one that is not to be written after all */
void fc_write_compare(fc_write *write, const char *key, uint64_t version);
void fc_write_put(fc_write *write, const char *key, json_t *value); /* takes the reference */
void fc_write_delete(fc_write *write, const char *key);

/* Waits until the write is decided. Consumes `w`. CONFLICT: a condition of this
 * write failed. DOWN: certainly not executed (also: not before the deadline).
 * UNKNOWN: read before deciding. REFUSED: never executed, nor would it be if it were
 * sent again as it is; a value larger than the service stores is not sent at all. */
fc_kv_result fc_group_commit_write(fc_group_commit *commit, fc_write *write, fc_write_priority rank, double deadline,
                                   uint64_t *revision);
/* Writes that one transaction holds at most. */
unsigned fc_group_commit_max_writes(const fc_group_commit *commit);
/* Does the queue of this rank have room for another write within wait_s? */
bool fc_group_commit_accepts(fc_group_commit *commit, fc_write_priority rank, double wait_s);
typedef enum {
  FC_WRITE_KIND_JOB,
  FC_WRITE_KIND_MACHINE,
  FC_WRITE_KIND_RENTAL,
  FC_WRITE_KIND_QUOTA,
  FC_WRITE_KIND_OTHER,
  FC_WRITE_KINDS
} fc_write_kind;

/* What was sent so far, for the metrics; repeats count. */
typedef struct fc_group_commit_counts {
  uint64_t transactions;
  uint64_t writes[FC_WRITE_KINDS];
  double waited_s; /* for the rates, all transactions together */
} fc_group_commit_counts;

fc_group_commit_counts fc_group_commit_stats(const fc_group_commit *commit);
extern const char *const fc_write_kind_names[FC_WRITE_KINDS];

#endif
