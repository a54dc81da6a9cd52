/* What workers report and what they are told. */
#ifndef FC_PROTOCOL_WORKER_API_H
#define FC_PROTOCOL_WORKER_API_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "transport/conn.h"

/* How long a worker waits for the answer to a report. */
#define FC_WORKER_REQUEST_TIMEOUT_S 4.0

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

typedef struct fc_task_status {
  char job[32];
  uint32_t index;
  uint64_t attempt;
  fc_task_state state;
  fc_exit_cause cause;
  bool saved;
} fc_task_status;

typedef struct fc_heartbeat {
  char machine[64];
  char endpoint[32];
  char type[64];
  char zone[64];
  bool spot;
  uint64_t epoch, sequence, fencing_token;
  double spot_notice_s; /* < 0: none */
  fc_task_status *tasks;
  size_t task_count;
} fc_heartbeat;

bool fc_heartbeat_parse(const char *text, size_t len, fc_heartbeat *out, char *error, size_t error_size);
void fc_heartbeat_clear(fc_heartbeat *heartbeat);

typedef enum { FC_COMMAND_START, FC_COMMAND_STOP, FC_COMMAND_FORGET } fc_command_op;

typedef struct fc_command {
  fc_command_op op;
  const char *job;
  uint32_t index;
  uint64_t attempt;
  double grace_s; /* stop only */
} fc_command;

/* The answer to a report; the body of a direct command (with a session). */
void fc_heartbeat_answer(GString *out, uint64_t token, const fc_command *commands, size_t count);
void fc_worker_commands_body(GString *out, uint64_t token, uint64_t session, const fc_command *commands, size_t count);
/* The body of a 421; NULL: no controller is named. */
void fc_worker_redirect(GString *out, const char *controller);

typedef enum {
  FC_WORKER_CALL_DONE,    /* carried out; *report is the machine's list afterwards */
  FC_WORKER_CALL_REFUSED, /* nothing carried out; *report says why: token or session */
  FC_WORKER_CALL_UNKNOWN, /* no answer: it may still be carried out, minutes late */
  FC_WORKER_CALL_UNSENT,  /* no connection: certainly not carried out */
} fc_worker_call_result;

/* Did a worker answer the call, so that there is a report to read and to clear? */
static inline bool fc_worker_call_answered(fc_worker_call_result result) {
  return result == FC_WORKER_CALL_DONE || result == FC_WORKER_CALL_REFUSED;
}

/* Sends commands to a worker directly and waits for its report. On DONE and
 * REFUSED the report is the caller's to clear. */
fc_worker_call_result fc_worker_call(const fc_endpoint *at, uint64_t token, uint64_t session,
                                     const fc_command *commands, size_t count, double deadline, fc_heartbeat *report);

#endif
