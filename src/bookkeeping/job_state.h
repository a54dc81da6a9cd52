/* The state of one job: its record, which of its tasks have completed, the owners of its slices,
 * its position in the queue, and its dependencies. Times are on the monotonic clock of fc_now(), in
 * seconds. */
#ifndef FC_BOOKKEEPING_JOB_STATE_H
#define FC_BOOKKEEPING_JOB_STATE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "bookkeeping/placement.h"
#include "protocol/job_record.h"

/* The state of a job that other jobs depend on. Only the last two are final. */
typedef enum {
  FC_DEPENDENCY_UNKNOWN,   /* not in the cluster state: archived, or not read yet */
  FC_DEPENDENCY_OPEN,      /* accepted */
  FC_DEPENDENCY_DONE,      /* its record says so */
  FC_DEPENDENCY_CANCELLED, /* its record says so, or that of one of its own dependencies */
} fc_dependency_state;

/* A job, by id, while accepted jobs depend on it. */
typedef struct fc_dependency {
  char id[FC_JOB_ID_SIZE];
  fc_dependency_state state;
  GPtrArray *dependents; /* fc_job, not owned: the jobs that list it */
} fc_dependency;

/* The job's record, as last read. */
typedef struct fc_job_stored {
  uint64_t version;
  fc_job_phase phase; /* according to its own record only */
  fc_job_origin origin;
  fc_description_ref description; /* reference to the description if it is stored outside the record */
  char *handed_to[FC_SLICES_MAX]; /* member that the slice was handed over to; NULL: as assigned */
  uint32_t completed;             /* number of completed tasks that the record lists */
} fc_job_stored;

/* Which tasks have completed, by any record read so far. A record without room may list fewer. */
typedef struct fc_job_completion {
  uint8_t *bitmap;
  uint32_t count;
} fc_job_completion;

/* The set of all slices, one bit for each. */
#define FC_ALL_SLICES (~0u)

/* The slices of a job: a large array is split into several, any other job has one. */
typedef struct fc_job_slices_state {
  unsigned count;
  int8_t owner[FC_SLICES_MAX]; /* members of the current term; -1: none */
  unsigned owner_mask;         /* one bit for each member: it owns at least one slice */
  unsigned resolved;           /* one bit for each slice: no task of it can be anywhere unknown to this controller */
  unsigned handover_pending;   /* one bit for each slice: its handover is being written; not to be placed */
  double handover_at;          /* when this controller last began a handover */
  unsigned handover_count;     /* handovers begun by this controller */
} fc_job_slices_state;

/* The times of the main events of the job's life. */
typedef struct fc_job_lifecycle {
  double submitted_at;    /* best estimate */
  double cancelled_since; /* lower bound of when a user saw it confirmed; 0: not cancelled */
  double ended_at;        /* when this controller first saw it done or cancelled; 0: it has not ended */
} fc_job_lifecycle;

/* The job's position in the queue. */
typedef struct fc_job_queue_entry {
  double entered_at;    /* when it became runnable: first seen, or its last dependency done */
  uint64_t sequence;    /* order of entry */
  fc_priority priority; /* the highest of its own and its dependents' priorities */
  double due_at;        /* when it is due, by its own deadline and those of its dependents; INFINITY: no deadline */
  double blocked_until; /* backoff after failures: none of its tasks is started before */
} fc_job_queue_entry;

/* The jobs that must be done before this one may start. */
typedef struct fc_job_dependencies {
  GPtrArray *list; /* fc_dependency; NULL: none */
  unsigned unmet;  /* number of those that are not done */
} fc_job_dependencies;

/* Recent task failures. */
typedef struct fc_job_failures {
  unsigned count;
  GHashTable *machines; /* ids of the machines on which they occurred; NULL: none */
} fc_job_failures;

struct fc_job {
  fc_job_spec spec;
  fc_job_phase phase; /* also according to the records of its dependencies and reports of peers */
  fc_job_stored record;
  fc_job_completion completion;
  fc_job_slices_state slices;
  fc_job_lifecycle lifecycle;
  fc_job_queue_entry queue;
  fc_job_dependencies dependencies;
  fc_job_failures failures;
  int team;              /* index into the settings; -1: no longer configured */
  GPtrArray *placements; /* not owned: the machines own them */
};

/* Frees a job, as a GDestroyNotify. Its placements and dependencies must have been unlinked. */
void fc_job_free(gpointer job);
/* Frees a dependency, as a GDestroyNotify. */
void fc_dependency_free(gpointer dependency);

bool fc_job_task_done(const fc_job *job, uint32_t index);
/* The slice that a task belongs to. */
unsigned fc_job_slice_of(const fc_job *job, uint32_t index);
/* The current owner of a slice of the job; -1: none. */
int fc_job_slice_owner(const fc_job *job, unsigned slice);
/* Whether any slice belongs to this member. */
bool fc_job_owned_by(const fc_job *job, int member);
/* The status reported to the user; *running: number of its running tasks. */
fc_job_status fc_job_status_of(const fc_job *job, uint32_t *running);
/* Whether a task may run on a machine of this type, zone and kind. */
bool fc_job_spec_allows(const fc_job_spec *spec, const char *type, const char *zone, bool spot);

/* Whether all dependencies are done. */
bool fc_job_dependencies_met(const fc_job *job);
/* Whether its tasks may be started: accepted, not cancelled, and all dependencies done. */
bool fc_job_runnable(const fc_job *job);
/* The latest time at which a task can start without missing the deadlines of the job and its
 * dependents, given the estimates in their descriptions; INFINITY: no deadline. */
double fc_job_latest_start(const fc_job *job);
/* Id of a dependency of unknown state, which may have been cancelled; NULL: none. Valid as long as
 * the dependency. */
const char *fc_job_unknown_dependency(const fc_job *job);

#endif
