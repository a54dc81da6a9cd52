/* Placements: which attempt of which task is, or may be, on which machine. Times are on the
 * monotonic clock of fc_now(), in seconds. */
#ifndef FC_BOOKKEEPING_PLACEMENT_H
#define FC_BOOKKEEPING_PLACEMENT_H

#include <stdbool.h>
#include <stdint.h>

#include "protocol/worker_api.h"

typedef struct fc_job fc_job;         /* job_state.h */
typedef struct fc_machine fc_machine; /* machine_state.h */

/* What the machine's worker has reported about a task. */
typedef struct fc_placement_status {
  fc_task_state state;
  fc_exit_cause cause;
  bool reported;        /* a heartbeat has listed the task */
  bool listed;          /* temporary: listed in the task list that is being reconciled */
  double running_since; /* 0: not yet */
} fc_placement_status;

/* A start command sent directly instead of in the response to a heartbeat. */
typedef enum {
  FC_DIRECT_START_NONE,
  FC_DIRECT_START_IN_FLIGHT,
  FC_DIRECT_START_UNACKNOWLEDGED, /* without a response: the worker may still receive it */
} fc_direct_start;

/* How the start command has been sent so far. */
typedef struct fc_placement_start {
  bool sent;                   /* some copy may have reached the machine */
  uint64_t heartbeat_sequence; /* sequence of the heartbeat whose response last carried it */
  double sent_at;              /* when that response was generated */
  fc_direct_start direct;
  uint64_t direct_token; /* fencing token in the direct copy, or the highest that it can have had; 0: none was sent */
  uint64_t direct_epoch; /* worker epoch in the direct copy: a worker in another epoch does not execute it */
  bool outdated_copy;    /* the worker in its reported state refuses an unacknowledged direct copy; once restarted, it
                            would execute the copy, as it counts epochs from the start again and knows no token */
} fc_placement_start;

/* Whether the task is being stopped. */
typedef struct fc_placement_stop {
  bool requested; /* the stop command is sent until the task exits */
  double grace_s; /* time the task has to save a checkpoint */
} fc_placement_stop;

/* One attempt of one task on one machine, from the decision to start it until it is known to be no
 * longer on the machine. Owned by its machine. */
typedef struct fc_placement {
  fc_machine *machine;
  fc_job *job; /* NULL: the job's record has not been read */
  char job_id[FC_JOB_ID_SIZE];
  uint32_t index;
  uint64_t attempt;
  double created_at; /* when it was placed or first reported */
  fc_placement_status status;
  fc_placement_start start;
  fc_placement_stop stop;
  bool end_recorded;   /* its end is recorded in the key-value store, or needs no record */
  uint64_t first_view; /* number of the first view that shows it to peers */
} fc_placement;

/* The high bits of an attempt number are the term in which the task is started. As each incarnation
 * of a controller joins in a new term, the attempts of a task are never repeated. */
#define FC_ATTEMPT_TERM_SHIFT 20u

static inline uint64_t fc_attempt(uint64_t term, uint64_t count) {
  return term << FC_ATTEMPT_TERM_SHIFT | count;
}
static inline uint64_t fc_attempt_term(uint64_t attempt) {
  return attempt >> FC_ATTEMPT_TERM_SHIFT;
}

/* Whether the placement uses resources of its machine: it does until the task has exited. */
bool fc_placement_active(const fc_placement *placement);
/* Whether a direct copy of the start command that got no answer may still be executed, by the worker as
 * it is or after a restart. Only the machine's return to the cloud rules that out. */
bool fc_placement_copy_outstanding(const fc_placement *placement);
/* Whether the start was abandoned while a direct copy of the command may still be executed. */
bool fc_placement_abandoned_start(const fc_placement *placement);
/* Whether a worker whose epoch is at least `lowest_epoch` refuses every direct copy of the start
 * command. */
bool fc_placement_start_outdated(const fc_placement *placement, uint64_t lowest_epoch);
/* Whether the machine's worker, once it has forgotten the attempt and has seen no token above `token`,
 * would execute a late copy of the direct start command in its present epoch. An answer to the command doesn't rule
 * that out. */
bool fc_placement_start_repeatable(const fc_placement *placement, uint64_t token);
/* Whether the placement remains after the worker has lost the task, because a copy of its start
 * command is outstanding. That applies only if this controller has owned the machine ever since:
 * another owner may have decided otherwise. */
bool fc_placement_outlives_worker(const fc_placement *placement);
/* Marks an unacknowledged direct copy as refused by the worker in its current state, so that
 * another one may be sent. */
void fc_placement_mark_copy_outdated(fc_placement *placement);
/* Resets the start, as the worker does not have the task: the same attempt is to be started there
 * again. */
void fc_placement_reset_start(fc_placement *placement);
/* Removes the placement from its machine and job, and frees it. */
void fc_placement_remove(fc_placement *placement);

#endif
