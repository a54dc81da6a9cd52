/* The messages between workers and controllers: heartbeats with status, their answers, and direct
 * calls with commands. */
#ifndef FC_PROTOCOL_WORKER_API_H
#define FC_PROTOCOL_WORKER_API_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "protocol/job.h"
#include "transport/conn.h"

/* How long a worker waits for the answer to a heartbeat. */
#define FC_WORKER_REQUEST_TIMEOUT_S 4.0
/* Tasks that one heartbeat may name. */
#define FC_HEARTBEAT_TASKS_MAX 4096u

typedef enum {
  FC_TASK_FETCHING, /* its image */
  FC_TASK_WAITING,  /* for the other tasks of its gang */
  FC_TASK_RUNNING,
  FC_TASK_SAVING, /* a checkpoint, before it stops */
  FC_TASK_EXITED,
} fc_task_state;

typedef enum {
  FC_CAUSE_NONE, /* not exited */
  FC_CAUSE_DONE,
  FC_CAUSE_STOPPED,
  FC_CAUSE_PEERS_GONE, /* another task of the gang exited */
  FC_CAUSE_INCOMPLETE, /* the gang did not come together in time */
  FC_CAUSE_ERROR,      /* or a cause that this version does not know */
  FC_CAUSE_NO_ROOM,    /* start refused: not enough free resources */
  FC_CAUSE_BUSY,       /* start refused: the task is there with another attempt */
  FC_CAUSE_UNKNOWN,    /* start refused: no such job or task */
} fc_exit_cause;

typedef struct fc_task_status {
  char job[FC_JOB_ID_SIZE];
  uint32_t index;
  uint64_t attempt;
  fc_task_state state;
  fc_exit_cause cause;
  bool saved; /* a checkpoint */
} fc_task_status;

typedef struct fc_heartbeat {
  char machine[FC_NAME_SIZE];
  char endpoint[FC_ENDPOINT_SIZE];
  char type[FC_NAME_SIZE];
  char zone[FC_NAME_SIZE];
  bool spot;
  uint64_t epoch, sequence, fencing_token;
  double spot_notice_s; /* until the spot instance is reclaimed; < 0: no notice */
  fc_task_status *tasks;
  size_t task_count;
} fc_heartbeat;

/* Reads a heartbeat. False with the faulty field and its error in `error`, and `out` empty; else
 * `out` is the caller's, to be freed with fc_heartbeat_clear(). */
bool fc_heartbeat_parse(const char *text, size_t length, fc_heartbeat *out, char *error, size_t error_size);
void fc_heartbeat_clear(fc_heartbeat *heartbeat);

typedef enum { FC_COMMAND_START, FC_COMMAND_STOP, FC_COMMAND_FORGET } fc_command_op;

typedef struct fc_command {
  fc_command_op op;
  const char *job; /* borrowed */
  uint32_t index;
  uint64_t attempt;
  double grace_s; /* of FC_COMMAND_STOP alone */
} fc_command;

/* Appends the answer to a heartbeat. */
void fc_heartbeat_answer(GString *out, uint64_t fencing_token, const fc_command *commands, size_t count);
/* Appends the body of a 421 answer; NULL: the owner is not known. */
void fc_worker_redirect(GString *out, const char *controller);

typedef enum {
  FC_WORKER_CALL_DONE,    /* executed; the heartbeat is the machine's state afterwards */
  FC_WORKER_CALL_REFUSED, /* not executed, because of the fencing token or epoch in the heartbeat */
  FC_WORKER_CALL_UNKNOWN, /* no answer: it may still be executed, minutes later */
  FC_WORKER_CALL_UNSENT,  /* no connection: not executed */
} fc_worker_call_result;

/* Whether a worker answered the call, so that there is a heartbeat to read and to clear. */
static inline bool fc_worker_call_answered(fc_worker_call_result result) {
  return result == FC_WORKER_CALL_DONE || result == FC_WORKER_CALL_REFUSED;
}

/* Sends commands to a worker directly and waits for its heartbeat, which is the caller's to clear
 * when the call was answered. `deadline` is a time of the monotonic clock. May suspend the calling
 * routine. */
fc_worker_call_result fc_worker_call(const fc_endpoint *at, uint64_t fencing_token, uint64_t epoch,
                                     const fc_command *commands, size_t count, double deadline,
                                     fc_heartbeat *heartbeat);

#endif
