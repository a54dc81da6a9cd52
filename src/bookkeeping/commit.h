/* Group commit: writes of many routines go out together, within the limits of
 * a transaction and of this member's share of the write rate, in ranks. The state
 * service may lower its write rate without notice: while it refuses, this one goes
 * down to the rate that was announced, and rises again when it no longer does. */
#ifndef FC_BOOKKEEPING_COMMIT_H
#define FC_BOOKKEEPING_COMMIT_H

#include <stdbool.h>
#include <stdint.h>

#include "protocol/state_api.h"

/* Overload: reports of workers first, then decisions, then submissions; upkeep is
 * what nobody waits for. */
typedef enum { FC_RANK_REPORT, FC_RANK_DECISION, FC_RANK_SUBMISSION, FC_RANK_UPKEEP, FC_RANKS } fc_write_rank;

typedef struct fc_commit fc_commit;
typedef struct fc_write fc_write;

/* This member's even part of the limits. */
typedef struct fc_commit_limits {
  unsigned txn_ops;                         /* changes of one transaction */
  size_t value_bytes;                       /* of one value */
  double writes_per_s, lowest_writes_per_s; /* now, and as far as the service may lower it */
  double requests_per_s;
  double answer_s; /* a transaction is waited for so long */
} fc_commit_limits;

fc_commit *fc_commit_new(fc_state *state, const fc_commit_limits *limits);
/* This member's share of both rates: `share` of all, `even` of all at the start.
 * What may be saved up for a burst stays as it was. */
void fc_commit_share(fc_commit *c, double share, double even);
/* The writes a second that it sends at most now. */
double fc_commit_rate(const fc_commit *c);
/* Takes one request out of what transactions leave of this member's share of the request rate,
 * for another purpose. False: there is none to spare. */
bool fc_commit_spare_request(fc_commit *c);
/* Writes that wait to be sent. */
unsigned fc_commit_backlog(const fc_commit *c);
/* The routine that sends; runs until cancelled. */
void fc_commit_main(void *commit);

fc_write *fc_write_new(void);
void fc_write_free(fc_write *w); /* one that is not to be written after all */
void fc_write_if(fc_write *w, const char *key, uint64_t version);
void fc_write_put(fc_write *w, const char *key, json_t *value); /* takes the reference */
void fc_write_delete(fc_write *w, const char *key);

/* Waits until the write is decided. Consumes `w`. CONFLICT: a condition of this
 * write failed. DOWN: certainly not executed (also: not before the deadline).
 * UNKNOWN: read before deciding. REFUSED: never executed, nor would it be if it were
 * sent again as it is; a value larger than the service stores is not sent at all. */
fc_state_result fc_commit_write(fc_commit *c, fc_write *w, fc_write_rank rank, double deadline, uint64_t *revision);
/* Writes that one transaction holds at most. */
unsigned fc_commit_most(const fc_commit *c);
/* Does the queue of this rank have room for another write within wait_s? */
bool fc_commit_accepts(fc_commit *c, fc_write_rank rank, double wait_s);
typedef enum {
  FC_KIND_JOBS,
  FC_KIND_MACHINES,
  FC_KIND_RENTALS,
  FC_KIND_SHARES,
  FC_KIND_OTHERS,
  FC_WRITE_KINDS
} fc_write_kind;

/* What was sent so far, for the metrics; repeats count. */
typedef struct fc_commit_counts {
  uint64_t transactions;
  uint64_t writes[FC_WRITE_KINDS];
  double waited_s; /* for the rates, all transactions together */
} fc_commit_counts;

fc_commit_counts fc_commit_count(const fc_commit *c);
extern const char *const fc_write_kind_names[FC_WRITE_KINDS];

#endif
