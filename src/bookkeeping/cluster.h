/* What this controller knows: jobs, machines, and which tasks are where.
 * Rebuilt from the state service and from reports; nothing here does I/O. */
#ifndef FC_BOOKKEEPING_CLUSTER_H
#define FC_BOOKKEEPING_CLUSTER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "bookkeeping/arrival_stats.h"
#include "bookkeeping/description_parts.h"
#include "protocol/cloud_api.h"
#include "protocol/job_record.h"
#include "protocol/records.h"
#include "protocol/settings.h"
#include "protocol/worker_api.h"

typedef struct fc_job fc_job;
typedef struct fc_machine fc_machine;
typedef struct fc_dependency fc_dependency; /* pipeline.h */

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

/* Attempts of one task never repeat: the term they are started in is new for every
 * owner and life. */
static inline uint64_t fc_attempt(uint64_t term, uint64_t count) {
  return term << 20 | count;
}
static inline uint64_t fc_attempt_term(uint64_t attempt) {
  return attempt >> 20;
}

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
  double cancelled_since; /* no user was told that it is cancelled before this; 0: it is not */
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
  fc_job_phase phase; /* also by what others' records say, or a peer has told us */
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

/* The worker process as its newest heartbeat or direct answer showed it, whoever owned the
 * machine then. Heartbeats are ordered by epoch and sequence: copies may come late. */
typedef struct fc_machine_agent {
  uint64_t epoch, sequence;
  uint64_t fencing_token; /* the highest that the worker has shown */
  double epoch_began_at;  /* when we first heard of the epoch: its lease began no later */
  double heard_at;        /* when the last heartbeat or direct answer came */
  bool reported;          /* a heartbeat has come to us since we became the owner */
  bool restarted;         /* in this term, under its old epoch: its heartbeats can't be ordered */
  bool mismatch_logged;   /* a heartbeat contradicted the record */
} fc_machine_agent;

/* When the worker's lease was last renewed, in steady time. */
typedef struct fc_machine_lease {
  double answered_at;     /* when we last answered a heartbeat with 200 */
  uint64_t connection;    /* the number of the connection that we did it on */
  double peer_renewed_at; /* when another member last did, as far as it told us */
  double redirected_at;   /* when we last sent the worker to its owner */
} fc_machine_lease;

/* Whether messages get through both ways. */
typedef struct fc_machine_reachability {
  double unidirectional_since;   /* heartbeats come since then, with no sign that answers arrive; 0: they do */
  double peer_bidirectional_at;  /* when another member renewed the lease, and answers did arrive */
  double peer_unidirectional_at; /* when others began to renew it with no such sign, if after that */
  bool owner_suspects;           /* another owner says that it may have lost the machine */
  double owner_suspects_since;
} fc_machine_reachability;

/* Direct questions to the worker. */
typedef struct fc_machine_probe {
  bool wanted;                               /* to be asked directly whether answers arrive, and what it holds */
  bool in_flight;                            /* another member's machine: our question is under way */
  double sent_at;                            /* when we sent the last one whose end we know, also as its owner */
  bool answered;                             /* it ended with an answer */
  double confirmed_at;                       /* when we sent the last one whose answer told what it holds */
  double peer_answered_at;                   /* when another member last asked, and was answered */
  double peer_unanswered_at[FC_MEMBERS_MAX]; /* by peer: when it last asked in vain */
} fc_machine_probe;

/* May the machine take new tasks? */
typedef enum {
  FC_DRAIN_NONE,
  FC_DRAIN_CORDONED,  /* no: what runs there ends or is stopped */
  FC_DRAIN_RETURNING, /* no: its return to the cloud has begun */
} fc_drain_state;

/* Why and how far the machine is being emptied. */
typedef struct fc_machine_drain {
  fc_drain_state state;
  bool owner_cordoned;      /* another owner says so */
  double spot_notice_until; /* the cloud takes it then; 0: no notice */
} fc_machine_drain;

/* Failures that are blamed on the machine. */
typedef struct fc_machine_health {
  unsigned failed_jobs; /* jobs that failed here first, net of tasks that did well */
  bool faulty;          /* so many that it is drained and returned */
} fc_machine_health;

/* Kept free for one gang for a while. */
typedef struct fc_machine_reservation {
  char gang[32];
  double until; /* steady time */
} fc_machine_reservation;

/* What our views tell peers of the machine. */
typedef struct fc_machine_view {
  uint64_t digest;     /* of what the newest says; 0: nothing yet */
  uint64_t changed_in; /* the view in which that last changed */
} fc_machine_view;

/* A machine as this controller knows it. All times are steady. */
struct fc_machine {
  char id[64];
  fc_machine_record record;  /* endpoint, type, zone, recorded owner */
  uint64_t record_version;   /* 0: no record, must not be used */
  bool record_write_pending; /* a change of the record is under way */
  bool announced;            /* the record has its address; nothing is started before */
  bool announcing;           /* that is being written */
  int type;                  /* index into the machine types; -1: not known */
  unsigned zone;             /* index into the zones of the settings; FC_ZONES_MAX: none of them */
  int owner;                 /* index into the present term; -1: none */
  double first_seen;         /* when we first knew of it */
  double owned_since;        /* when we became its owner, as far as we know */
  double idle_since;         /* 0: in use */
  uint64_t reconciled_term;  /* the term in which its task list was last fenced, or it was proved gone */
  bool command_in_flight;    /* a direct command is under way */
  fc_machine_agent agent;
  fc_machine_lease lease;
  fc_machine_reachability reachability;
  fc_machine_probe probe;
  fc_machine_drain drain;
  fc_machine_health health;
  fc_machine_reservation reservation;
  fc_machine_view view;
  GPtrArray *placements; /* fc_placement, owned */
  GPtrArray *images;     /* GRefString, most recently used last */
};

/* A committed cancellation that a peer has told us of, or that we wrote, and whose record
 * has not been read yet. */
typedef struct fc_unread_cancellation {
  uint64_t revision;
  double since; /* no user was told before this, steady time */
} fc_unread_cancellation;

/* A member's own key: there as long as its lease. */
typedef struct fc_member_key {
  uint64_t version;
  unsigned job_format; /* the newest format of job records that it reads */
} fc_member_key;

/* A record that can't be read before more parts of the job's description are. */
typedef struct fc_incomplete_job {
  json_t *value;
  uint64_t version;
  bool ordered; /* it was read as a change */
} fc_incomplete_job;

/* The present term and the members' own keys. */
typedef struct fc_membership {
  fc_term term;
  uint64_t term_version; /* of the stored record; 0: none seen */
  int self;              /* our index in the term; -1: not a member */
  GHashTable *keys;      /* name -> fc_member_key */
} fc_membership;

/* How far the machines have been reconciled in a term. */
typedef struct fc_reconciliation {
  uint64_t complete_in_term; /* term in which every machine has been */
  uint64_t members_term;     /* term that `members` tells of */
  unsigned members;          /* a bit a member: every machine of it has been, in that term */
} fc_reconciliation;

/* The members' quota shares as stored. */
typedef struct fc_quota_state {
  fc_quota_record record;
  uint64_t version; /* 0: none seen */
  /* What this shard may have been using, of each team, when the term began: its share of the
   * term before, where that was carried over; INFINITY: not known. */
  double carried_cpus[FC_TEAMS_MAX], carried_gpus[FC_TEAMS_MAX];
} fc_quota_state;

/* What jobs depend on. */
typedef struct fc_dependency_index {
  GHashTable *by_id;                    /* id -> fc_dependency: what accepted jobs depend on */
  GHashTable *unrecorded_cancellations; /* fc_job: cancelled by another's record, not yet by their own */
} fc_dependency_index;

/* Everything that this controller knows of the cluster: a cache of the key-value store's
 * records, and what workers and peers have told. */
typedef struct fc_cluster {
  const fc_settings *settings;
  double clock_offset_s;            /* time of day less steady time */
  GHashTable *jobs;                 /* id -> fc_job */
  GHashTable *machines;             /* id -> fc_machine */
  GPtrArray *machine_types;         /* fc_machine_type; empty: not known yet */
  GHashTable *rentals;              /* name -> fc_rental_record */
  GHashTable *unread_cancellations; /* id -> fc_unread_cancellation */
  fc_description_parts *descriptions;
  GHashTable *incomplete_jobs; /* id -> fc_incomplete_job */
  fc_membership membership;
  fc_reconciliation reconciliation;
  fc_quota_state quota;
  fc_dependency_index dependencies;
  fc_arrival_stats arrivals;
  bool archive_in_use;      /* jobs that have ended may have been archived */
  uint64_t returns_version; /* of the mark that every removal of machines' records writes; 0: none yet */
  uint64_t next_queue_sequence;
  uint64_t view_number; /* of the newest view of our machines */
} fc_cluster;

/* Takes it no new tasks? */
static inline bool fc_machine_cordoned(const fc_machine *machine) {
  return machine->drain.state != FC_DRAIN_NONE;
}
static inline bool fc_machine_returning(const fc_machine *machine) {
  return machine->drain.state == FC_DRAIN_RETURNING;
}
/* From here on it takes no new tasks. */
static inline void fc_machine_cordon(fc_machine *machine) {
  if (machine->drain.state == FC_DRAIN_NONE) machine->drain.state = FC_DRAIN_CORDONED;
}

fc_cluster *fc_cluster_new(const fc_settings *settings);
void fc_cluster_free(fc_cluster *cluster);

fc_job *fc_cluster_find_job(const fc_cluster *cluster, const char *id);
fc_machine *fc_cluster_find_machine(const fc_cluster *cluster, const char *id);
/* Creates it when it is not there. */
fc_machine *fc_cluster_ensure_machine(fc_cluster *cluster, const char *id, double now);
int fc_cluster_find_machine_type(const fc_cluster *cluster, const char *name);

/* A job's record as stored; newer versions only. `fresh`: the record was first
 * seen as a change inside the present term, so nobody placed it before. */
fc_job *fc_cluster_apply_job(fc_cluster *cluster, const char *id, const fc_job_record *record, uint64_t version,
                             bool fresh, double now);
/* A committed cancellation that the table has not read: told by a peer, or just written
 * by us. The job is over from here on, whatever older records are still read; its own
 * version stays, so that no write of ours builds on what we have not read. */
void fc_cluster_apply_cancellation(fc_cluster *cluster, const char *id, uint64_t revision, double from, double now);
bool fc_cluster_is_cancelled(const fc_cluster *cluster, const char *id);
/* No user was told that the job is cancelled before this; INFINITY: it is not, as far as
 * we know. */
double fc_cluster_cancelled_since(const fc_cluster *cluster, const char *id);
/* Everything up to the revision has been read. */
void fc_cluster_caught_up(fc_cluster *cluster, uint64_t revision);
/* The job has been archived: nobody looks for its placements any more. */
void fc_cluster_remove_job(fc_cluster *cluster, fc_job *job);
bool fc_job_task_done(const fc_job *job, uint32_t index);
/* Removes the machine and every placement on it: it is proved gone. */
void fc_cluster_remove_machine(fc_cluster *cluster, fc_machine *machine);

fc_placement *fc_cluster_add_placement(fc_cluster *cluster, fc_machine *machine, const char *job_id, uint32_t index,
                                       uint64_t attempt, double now);
fc_placement *fc_machine_find_placement(const fc_machine *machine, const char *job_id, uint32_t index,
                                        uint64_t attempt);
void fc_placement_remove(fc_cluster *cluster, fc_placement *placement);
void fc_machine_remove_placements(fc_cluster *cluster, fc_machine *machine);

/* Does it take room on its machine? Everything does that has not exited. */
bool fc_placement_active(const fc_placement *placement);
typedef struct fc_resources {
  double cpus, gpus, memory_gb;
} fc_resources;
/* Room left; zero when the type is unknown. */
fc_resources fc_machine_free_resources(const fc_cluster *cluster, const fc_machine *machine);
bool fc_resources_fit(const fc_resources *resources, const fc_job_spec *spec);
void fc_resources_subtract(fc_resources *resources, const fc_job_spec *spec);
void fc_resources_add(fc_resources *resources, const fc_job_spec *spec);
void fc_machine_touch_image(fc_machine *machine, GRefString *image);
/* Nothing on it that anybody still needs: what is left has ended and is recorded,
 * or is a start that was given up and may yet arrive. */
bool fc_machine_vacant(const fc_machine *machine);
/* Silent since then, or deaf: its reports come, but it has not shown since then
 * that it hears answers or commands. Both cost its tasks the same. */
bool fc_machine_unreachable_since(const fc_machine *machine, double since);
/* How long a machine may be so before it is returned: longer than a worker takes to
 * try another member when it can't reach us (two failed reports), shorter than its
 * lease: returning it is the quickest proof that its tasks are gone. */
double fc_machine_silence_timeout_s(const fc_settings *settings);
/* A machine that we own since a while, as its recorded address says it was up, and that
 * has not said a word to us: from before our life, dead or out of reach. A live one
 * has by then failed to answer several direct questions, and has had the time to
 * come to another member, who would have told us. Until it is gone, what may be on it
 * is started nowhere. */
bool fc_machine_never_heard(const fc_cluster *cluster, const fc_machine *machine, double now);
/* On the way there, or in any doubt. Those are counted before any is returned, or the first would
 * be gone before it showed that most of them are silent together. */
bool fc_machine_suspect(const fc_cluster *cluster, const fc_machine *machine, double now);
/* Heard of lately, and not without a sign that it hears us too. */
bool fc_machine_reachable(const fc_cluster *cluster, const fc_machine *machine, double now);
/* Images are interned: the same name is the same pointer. */
bool fc_machine_has_image(const fc_machine *machine, const GRefString *image);

unsigned fc_job_slice_of(const fc_job *job, uint32_t index);
/* Works out who owns the job's slices. That is done when the term or a hand-over
 * changes, not where it is asked: rounds ask for every slice of every job, and the
 * hashing was most of what a round cost in a queue of hundreds. */
void fc_cluster_assign_slices(const fc_cluster *cluster, fc_job *job);
/* The member that a slice of the job belongs to now; -1: none. */
int fc_job_slice_owner(const fc_job *job, unsigned slice);
/* Does any slice belong to this member? */
bool fc_job_owned_by(const fc_job *job, int member);
/* Where the machine stands and what it is, by its record. */
void fc_cluster_locate_machine(const fc_cluster *cluster, fc_machine *machine);

/* May the job run on such a machine at all? */
bool fc_job_spec_allows(const fc_job_spec *spec, const char *type, const char *zone, bool spot);
/* The shares as stored. */
void fc_cluster_apply_quota(fc_cluster *cluster, const fc_quota_record *quota, uint64_t version);
int fc_quota_record_find(const fc_quota_record *quota, const char *member); /* -1: none */
/* All that the machine may hold, far more than any limit while its type is not
 * known: a controller that has just started knows none, and once took machines
 * full of tasks for empty (fault test, seed 686). */
fc_resources fc_machine_capacity(const fc_cluster *cluster, const fc_machine *machine);
/* Adds what the tasks on the machine use, by team. */
void fc_machine_add_usage(const fc_machine *machine, double cpus[FC_TEAMS_MAX], double gpus[FC_TEAMS_MAX]);
/* What the tasks on this part's machines use of each team's limit, at most: machines
 * that are not settled count as full, as far as what was carried over allows. */
void fc_cluster_max_usage(const fc_cluster *cluster, double cpus[FC_TEAMS_MAX], double gpus[FC_TEAMS_MAX]);
fc_job_status fc_job_status_of(const fc_job *job, uint32_t *running);

/* A new term: owners are derived again. `continuous`: this process was a
 * member, in this same life, of the term before. */
void fc_cluster_apply_term(fc_cluster *cluster, const fc_term *term, uint64_t version, bool continuous, double now);
/* Derives a machine's owner after its record changed. */
void fc_cluster_assign_machine(fc_cluster *cluster, fc_machine *machine, double now);
/* Latches once every machine that may hold anything from before the present term is
 * settled in it: every job is clear then. And before that for each member, once all
 * machines of that one are: then those slices of ours are clear of which nothing can be
 * on any other's. In a fleet of a thousand some machine is always dying; waiting for
 * each of them, at each change of term anew, a rolling restart started nothing old for
 * two minutes (fleet day "restart", simulated). */
bool fc_cluster_update_reconciled(fc_cluster *cluster);

#endif
