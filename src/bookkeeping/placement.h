/* Placements: which attempt of which task is, or may be, on which machine. */
#ifndef FC_BOOKKEEPING_PLACEMENT_H
#define FC_BOOKKEEPING_PLACEMENT_H

#include <stdbool.h>
#include <stdint.h>

#include "protocol/worker_api.h"

typedef struct fc_job fc_job;         /* job_state.h */
typedef struct fc_machine fc_machine; /* machine_state.h */

/* What the machine's worker has reported of a task. */
typedef struct fc_placement_status {
  fc_task_state state;
  fc_exit_cause cause;
  bool reported;        /* a heartbeat has named the task */
  bool listed;          /* scratch: named by the list that is being reconciled */
  double running_since; /* steady time; 0: not yet */
} fc_placement_status;

/* A start command sent directly, instead of with the answer to a heartbeat. */
typedef enum {
  FC_DIRECT_START_NONE,
  FC_DIRECT_START_IN_FLIGHT,
  FC_DIRECT_START_UNACKNOWLEDGED, /* no answer came: the worker may still receive it */
} fc_direct_start;

/* How the start command has been sent so far. */
typedef struct fc_placement_start {
  bool sent;                   /* some copy may have reached the machine */
  uint64_t heartbeat_sequence; /* the heartbeat whose answer carried it last */
  double sent_at;              /* when that answer was made */
  fc_direct_start direct;
  uint64_t direct_token; /* the fencing token that the direct copy carried */
  uint64_t direct_epoch; /* the worker's epoch that it named: no worker in another one carries it out */
  bool outdated_copy;    /* an unacknowledged direct copy is refused by the worker as it has shown itself since;
                            restarted, it counts epochs anew, knows no token, and would carry the copy out */
} fc_placement_start;

/* Whether the task is being stopped. */
typedef struct fc_placement_stop {
  bool requested; /* a stop command is sent until the task exits */
  double grace_s; /* time that the task gets to save a checkpoint */
} fc_placement_stop;

/* One attempt of one task on one machine, from the decision to start it until the machine
 * is known to be without it. Owned by its machine. */
typedef struct fc_placement {
  fc_machine *machine;
  fc_job *job; /* NULL: the job's record has not been read */
  char job_id[32];
  uint32_t index;
  uint64_t attempt;
  double created_at; /* steady time: placed, or first reported */
  fc_placement_status status;
  fc_placement_start start;
  fc_placement_stop stop;
  bool end_recorded;   /* its end is in the key-value store, or needs no record */
  uint64_t first_view; /* the first view of ours that shows it to peers */
} fc_placement;

/* Attempt numbers begin with the term in which the task is started. As every incarnation of a
 * controller enters by a new term, the attempts of one task never repeat. */
#define FC_ATTEMPT_TERM_SHIFT 20u

static inline uint64_t fc_attempt(uint64_t term, uint64_t count) {
  return term << FC_ATTEMPT_TERM_SHIFT | count;
}
static inline uint64_t fc_attempt_term(uint64_t attempt) {
  return attempt >> FC_ATTEMPT_TERM_SHIFT;
}

/* Does it use resources of its machine? Everything does that has not exited. */
bool fc_placement_active(const fc_placement *placement);
/* May a direct copy of its start still be carried out, by the worker as it is or once it has been
 * restarted? Only the machine's return to the cloud rules that out. */
bool fc_placement_copy_outstanding(const fc_placement *placement);
/* Has the start command been given up, while a direct copy of it may still be carried out? */
bool fc_placement_abandoned_start(const fc_placement *placement);
/* Does a worker that has left all epochs below that one refuse every direct copy of its start? */
bool fc_placement_start_outdated(const fc_placement *placement, uint64_t lowest_epoch);
/* Does the placement stay when the worker has lost the task, as a copy of its start is outstanding? Only
 * if we have owned the machine ever since: another owner may have decided otherwise. */
bool fc_placement_outlives_worker(const fc_placement *placement);
/* The worker would refuse its unacknowledged direct copy now, and may be sent another one. */
void fc_placement_outdate_copy(fc_placement *placement);
/* The worker is without the task: the same attempt is to be started there again. */
void fc_placement_start_again(fc_placement *placement);
/* Removes it from its machine and its job, and frees it. */
void fc_placement_remove(fc_placement *placement);

#endif
