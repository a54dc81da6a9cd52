/* What this controller knows of one job: its record, which of its tasks have completed, who owns
 * its slices, its place in the queue, and the jobs that it depends on. */
#ifndef FC_BOOKKEEPING_JOB_STATE_H
#define FC_BOOKKEEPING_JOB_STATE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "bookkeeping/placement.h"
#include "protocol/job_record.h"

/* What is known of a job that others depend on. Only the last two are final. */
typedef enum {
  FC_DEPENDENCY_UNKNOWN,   /* not in the cluster state: archived, or not read yet */
  FC_DEPENDENCY_OPEN,      /* accepted */
  FC_DEPENDENCY_DONE,      /* its record says so */
  FC_DEPENDENCY_CANCELLED, /* its record says so, or that of a job that it depends on */
} fc_dependency_state;

/* A job by its id, as long as accepted jobs depend on it. */
typedef struct fc_dependency {
  char id[32];
  fc_dependency_state state;
  GPtrArray *dependents; /* fc_job, not owned: those that name it */
} fc_dependency;

/* The job's record as it was last read. */
typedef struct fc_job_stored {
  uint64_t version;
  fc_job_phase phase; /* by its own record alone */
  fc_job_origin origin;
  fc_description_ref description; /* where the description is, if not in the record */
  char *handed_to[FC_SLICES_MAX]; /* member that a slice was handed over to; NULL: as assigned */
} fc_job_stored;

/* Which tasks have completed. */
typedef struct fc_job_completion {
  uint8_t *bitmap;
  uint32_t count;
} fc_job_completion;

/* In sets with a bit for each slice. */
#define FC_ALL_SLICES (~0u)

/* The slices that a large array is split into; all others have one. */
typedef struct fc_job_slices_state {
  unsigned count;
  int8_t owner[FC_SLICES_MAX]; /* members of the present term; -1: nobody */
  unsigned owner_mask;         /* a bit a member that owns any of them */
  unsigned resolved;           /* a bit a slice: nothing of it can be anywhere that we do not know of */
  unsigned handover_pending;   /* a bit a slice: its handover is being written; not to be placed */
  double handover_at;          /* when we last began one, steady time */
  unsigned handover_count;     /* begun by us */
} fc_job_slices_state;

/* When the job came and went, in steady time. */
typedef struct fc_job_lifecycle {
  double submitted_at;    /* as near as we know it */
  double cancelled_since; /* no user had it confirmed before this; 0: not cancelled */
  double ended_at;        /* when we first saw that it is done or cancelled; 0: it is not */
} fc_job_lifecycle;

/* The job's place in the queue. */
typedef struct fc_job_queue_entry {
  double entered_at;    /* when it could first run: first seen, or all its dependencies done */
  uint64_t sequence;    /* order of entering */
  fc_priority priority; /* the highest of its own and of its dependents' */
  double due_at;        /* for its own deadline and those of its dependents; INFINITY: none */
  double blocked_until; /* after failures: nothing of it is started before */
} fc_job_queue_entry;

/* The jobs that have to be done before this one may start. */
typedef struct fc_job_dependencies {
  GPtrArray *list; /* fc_dependency; NULL: there are none */
  unsigned unmet;  /* of those, the ones that are not done */
} fc_job_dependencies;

/* Tasks that ended by error lately. */
typedef struct fc_job_failures {
  unsigned count;
  GHashTable *machines; /* ids of machines where one failed; NULL: none */
} fc_job_failures;

/* A job as this controller knows it. */
struct fc_job {
  fc_job_spec spec;
  fc_job_phase phase; /* also by what others' records say, or a peer has said */
  fc_job_stored record;
  fc_job_completion completion;
  fc_job_slices_state slices;
  fc_job_lifecycle lifecycle;
  fc_job_queue_entry queue;
  fc_job_dependencies dependencies;
  fc_job_failures failures;
  int team;              /* index into the settings; -1: not there any more */
  GPtrArray *placements; /* not owned: the machines own them */
};

/* Frees a job, as a GDestroyNotify. Its placements and dependencies have been unlinked. */
void fc_job_free(gpointer job);
/* Frees a dependency, as a GDestroyNotify. */
void fc_dependency_free(gpointer dependency);

bool fc_job_task_done(const fc_job *job, uint32_t index);
/* The slice that a task belongs to. */
unsigned fc_job_slice_of(const fc_job *job, uint32_t index);
/* The member that a slice of the job belongs to now; -1: none. */
int fc_job_slice_owner(const fc_job *job, unsigned slice);
/* Does any slice belong to this member? */
bool fc_job_owned_by(const fc_job *job, int member);
/* What its user is answered; *running: its tasks that run. */
fc_job_status fc_job_status_of(const fc_job *job, uint32_t *running);
/* May a task run on such a machine at all? */
bool fc_job_spec_allows(const fc_job_spec *spec, const char *type, const char *zone, bool spot);

/* Are all jobs done that it depends on? */
bool fc_job_dependencies_met(const fc_job *job);
/* Accepted, not cancelled, and all its dependencies are met: its tasks may be started. */
bool fc_job_runnable(const fc_job *job);
/* The steady time at which a task has to start at the latest for the deadlines of the job and of
 * its dependents, by the owners' estimates; INFINITY: there is no deadline. */
double fc_job_latest_start(const fc_job *job);
/* A job that it depends on and of which nothing is known, so that it may be cancelled already;
 * NULL: there is none. The id is valid as long as the dependency. */
const char *fc_job_unknown_dependency(const fc_job *job);

#endif
