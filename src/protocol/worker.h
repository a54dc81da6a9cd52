/* What workers report and what they are told. */
#ifndef FC_PROTOCOL_WORKER_H
#define FC_PROTOCOL_WORKER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "transport/conn.h"

/* How long a worker waits for the answer to a report. */
#define FC_WORKER_PATIENCE_S 4.0

typedef enum {
  FC_TASK_FETCHING,
  FC_TASK_WAITING,
  FC_TASK_RUNNING,
  FC_TASK_SAVING,
  FC_TASK_EXITED,
} fc_task_state;

typedef enum {
  FC_CAUSE_NONE,
  FC_CAUSE_DONE,
  FC_CAUSE_STOPPED,
  FC_CAUSE_PEERS_GONE,
  FC_CAUSE_INCOMPLETE,
  FC_CAUSE_ERROR,
  FC_CAUSE_NO_ROOM,
  FC_CAUSE_BUSY,
  FC_CAUSE_UNKNOWN,
} fc_exit_cause;

typedef struct fc_task_report {
  char job[32];
  uint32_t index;
  uint64_t attempt;
  fc_task_state state;
  fc_exit_cause cause;
  bool saved;
} fc_task_report;

typedef struct fc_worker_report {
  char machine[64];
  char endpoint[32];
  char type[64];
  char zone[64];
  bool spot;
  uint64_t session, seq, token;
  double notice_s; /* < 0: none */
  fc_task_report *tasks;
  size_t task_count;
} fc_worker_report;

bool fc_worker_report_parse(const char *text, size_t len, fc_worker_report *out, char *error, size_t error_size);
void fc_worker_report_clear(fc_worker_report *r);

typedef enum { FC_COMMAND_START, FC_COMMAND_STOP, FC_COMMAND_FORGET } fc_command_op;

typedef struct fc_command {
  fc_command_op op;
  const char *job;
  uint32_t index;
  uint64_t attempt;
  double grace_s; /* stop only */
} fc_command;

/* The answer to a report; the body of a direct command (with a session). */
void fc_worker_answer(GString *out, uint64_t token, const fc_command *commands, size_t count);
void fc_worker_orders(GString *out, uint64_t token, uint64_t session, const fc_command *commands, size_t count);
/* The body of a 421; NULL: no controller is named. */
void fc_worker_redirect(GString *out, const char *controller);

typedef enum {
  FC_ORDER_DONE,    /* carried out; *report is the machine's list afterwards */
  FC_ORDER_REFUSED, /* nothing carried out; *report says why: token or session */
  FC_ORDER_UNKNOWN, /* no answer: it may still be carried out, minutes late */
  FC_ORDER_UNSENT,  /* no connection: certainly not carried out */
} fc_order_result;

/* Did a worker answer the call, so that there is a report to read and to clear? */
static inline bool fc_order_answered(fc_order_result result) {
  return result == FC_ORDER_DONE || result == FC_ORDER_REFUSED;
}

/* Sends commands to a worker directly and waits for its report. On DONE and
 * REFUSED the report is the caller's to clear. */
fc_order_result fc_worker_order(const fc_endpoint *at, uint64_t token, uint64_t session, const fc_command *commands,
                                size_t count, double deadline, fc_worker_report *report);

#endif
