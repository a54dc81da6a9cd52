/* Encodes and decodes the messages between workers and controllers: heartbeats with the status of
 * tasks, the responses to them, and direct calls with commands. */
#ifndef FC_PROTOCOL_WORKER_API_H
#define FC_PROTOCOL_WORKER_API_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "protocol/job.h"
#include "transport/conn.h"

/* How long a worker waits for the response to a heartbeat. */
#define FC_WORKER_REQUEST_TIMEOUT_S 4.0
/* The shortest interval between two heartbeats of a worker, also when it has changes to report. */
#define FC_HEARTBEAT_SPACING_S 0.5
/* A worker sends a heartbeat at once when it sees a higher fencing token, at most once in this many leases. */
#define FC_TOKEN_REPORT_SPACING_LEASES 0.5
/* Largest number of tasks in one heartbeat. */
#define FC_HEARTBEAT_TASKS_MAX 4096u

typedef enum {
  FC_TASK_FETCHING, /* fetches its image */
  FC_TASK_WAITING,  /* waits for the other tasks of its gang */
  FC_TASK_RUNNING,
  FC_TASK_SAVING, /* saves a checkpoint before it stops */
  FC_TASK_EXITED,
} fc_task_state;

typedef enum {
  FC_CAUSE_NONE, /* not exited */
  FC_CAUSE_DONE,
  FC_CAUSE_STOPPED,
  FC_CAUSE_PEERS_GONE, /* another task of the gang exited */
  FC_CAUSE_INCOMPLETE, /* not all tasks of the gang were ready in time */
  FC_CAUSE_ERROR,      /* also any cause unknown to this version */
  FC_CAUSE_NO_ROOM,    /* start refused: not enough free resources */
  FC_CAUSE_BUSY,       /* start refused: the worker has the task with another attempt */
  FC_CAUSE_UNKNOWN,    /* start refused: no such job or task */
} fc_exit_cause;

typedef struct fc_task_status {
  char job[FC_JOB_ID_SIZE];
  uint32_t index;
  uint64_t attempt;
  fc_task_state state;
  fc_exit_cause cause;
  bool saved; /* a checkpoint was saved */
} fc_task_status;

typedef struct fc_heartbeat {
  char machine[FC_NAME_SIZE];
  char endpoint[FC_ENDPOINT_SIZE];
  char type[FC_NAME_SIZE];
  char zone[FC_NAME_SIZE];
  bool spot;
  uint64_t epoch, sequence, fencing_token;
  double spot_notice_s; /* time until the spot instance is reclaimed; < 0: no notice */
  fc_task_status *tasks;
  size_t task_count;
} fc_heartbeat;

/* Parses a heartbeat. On failure returns false, fills in *error, and leaves `out` empty; else the caller frees
 * the contents of `out` with fc_heartbeat_clear(). */
bool fc_heartbeat_parse(const char *text, size_t length, fc_heartbeat *out, fc_message_error *error);
void fc_heartbeat_clear(fc_heartbeat *heartbeat);

typedef enum {
  FC_COMMAND_START,
  FC_COMMAND_STOP,
  FC_COMMAND_FORGET, /* remove an exited task from the worker's list */
} fc_command_op;

typedef struct fc_command {
  fc_command_op op;
  const char *job; /* borrowed */
  uint32_t index;
  uint64_t attempt;
  double grace_s; /* only for FC_COMMAND_STOP: time to save a checkpoint */
} fc_command;

/* Appends the body of the response to a heartbeat. */
void fc_heartbeat_answer(GString *out, uint64_t fencing_token, const fc_command *commands, size_t count);
/* Appends the body of a 421 response, which names the controller to use (NULL: not known). */
void fc_worker_redirect_answer(GString *out, const char *controller);

typedef enum {
  FC_WORKER_CALL_DONE,    /* executed; the heartbeat has the state after that */
  FC_WORKER_CALL_REFUSED, /* not executed because of the fencing token or epoch; the heartbeat has the worker's own */
  FC_WORKER_CALL_UNKNOWN, /* no usable response: it may still be executed, even minutes later */
  FC_WORKER_CALL_UNSENT,  /* no connection: not executed */
} fc_worker_call_result;

/* Whether the worker answered the call, so that the caller has a heartbeat to read and to clear. */
static inline bool fc_worker_call_answered(fc_worker_call_result result) {
  return result == FC_WORKER_CALL_DONE || result == FC_WORKER_CALL_REFUSED;
}

/* Sends commands directly to a worker and waits for its response, a heartbeat, which the caller clears
 * if fc_worker_call_answered(). `deadline` is a time of the monotonic clock. May suspend the calling
 * routine. */
fc_worker_call_result fc_worker_call(const fc_endpoint *at, uint64_t fencing_token, uint64_t epoch,
                                     const fc_command *commands, size_t count, double deadline,
                                     fc_heartbeat *heartbeat);

#endif
