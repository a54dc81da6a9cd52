/* What this controller knows: jobs, machines, and which tasks are where.
 * Rebuilt from the state service and from reports; nothing here does I/O. */
#ifndef FC_BOOKKEEPING_TABLE_H
#define FC_BOOKKEEPING_TABLE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "bookkeeping/demand.h"
#include "bookkeeping/parts.h"
#include "protocol/cloud_api.h"
#include "protocol/job_record.h"
#include "protocol/records.h"
#include "protocol/settings.h"
#include "protocol/worker.h"

typedef struct fc_job fc_job;
typedef struct fc_machine fc_machine;
typedef struct fc_awaited fc_awaited; /* pipeline.h */

/* One attempt of one task on one machine, from the decision to start it until
 * the machine is known to be without it. */
typedef struct fc_placement {
  fc_machine *machine;
  fc_job *job; /* NULL: the job's record has not been seen */
  char job_id[32];
  uint32_t index;
  uint64_t attempt;
  fc_task_state state;
  fc_exit_cause cause;
  bool reported;                                                /* the machine has named it in a report */
  bool listed;                                                  /* in the list that is being taken over */
  bool sent;                                                    /* a start may have reached the machine */
  uint64_t sent_seq;                                            /* the report whose answer carried the start last */
  double sent_at;                                               /* when that answer was made */
  enum { FC_STRAY_NONE, FC_STRAY_FLYING, FC_STRAY_LOST } stray; /* a direct start that may still arrive */
  uint64_t stray_token;                                         /* the token that this start carried */
  bool stopping;                                                /* a stop is to be sent until the task exits */
  double grace_s;
  uint64_t told;        /* our views from this one on show it */
  bool recorded;        /* its end is in the state service, or needs no record */
  double since;         /* when it was placed or adopted */
  double running_since; /* 0: not yet */
} fc_placement;

/* Attempts of one task never repeat: the term they are started in is new for every
 * owner and life. */
static inline uint64_t fc_attempt(uint64_t term, uint64_t count) {
  return term << 20 | count;
}
static inline uint64_t fc_attempt_term(uint64_t attempt) {
  return attempt >> 20;
}

struct fc_job {
  fc_job_spec spec;
  fc_phase phase;          /* also by what others' records say, or a peer has told */
  fc_phase recorded_phase; /* by its own record */
  uint64_t version;        /* of the record */
  uint8_t *done;           /* bitmap */
  uint32_t done_count;
  unsigned slices;
  char *handed[FC_SLICES_MAX];
  fc_job_origin origin;
  fc_job_parts parts;           /* where its description is stored, if not in its record */
  int8_t owners[FC_SLICES_MAX]; /* members of the present term; -1: nobody */
  unsigned owned_by;            /* a bit a member that owns any of its slices */
  int team;                     /* index into the settings; -1: not there any more */
  GPtrArray *placements;
  unsigned clear;        /* a bit a slice: nothing of it can be anywhere that we do not know of */
  double submitted_at;   /* steady time, as near as we know it */
  double queued_at;      /* when it could first run: it was first seen, or all it awaits was done */
  fc_rank rank;          /* the highest of its own and of those that need it */
  double due_at;         /* to be done by then for its own deadline and those of jobs that need it */
  GPtrArray *awaits;     /* fc_awaited; NULL: nothing is awaited */
  unsigned unmet;        /* of those, the ones that are not done */
  double cancelled_from; /* no user was told that it is cancelled before this; 0: it is not */
  double over_at;        /* when we first saw that it is over; 0: it is not */
  double blocked_until;
  unsigned handing; /* a bit a slice: its hand-over is being written; not to be placed */
  double handed_at;
  unsigned handed_count; /* by us */
  unsigned failures;     /* tasks that ended by error, lately */
  uint64_t serial;       /* order of being queued */
  GHashTable *failed_on; /* machine ids where a task of it failed; NULL: none */
};

struct fc_machine {
  char id[64];
  fc_machine_record rec; /* endpoint, type, zone, recorded owner */
  uint64_t version;      /* of the record; 0: no record, must not be used */
  bool writing;          /* a change of the record is under way */
  int type;              /* index into the types; -1: not known */
  unsigned zone;         /* index into the zones of the settings; FC_ZONES_MAX: none of them */
  int owner;             /* index into the present term; -1: none */
  bool announced;        /* its record has its address; before that nothing is started on it */
  bool announcing;       /* that is being written */
  uint64_t settled_term; /* fenced and adopted, or proved gone, in this term */
  uint64_t session, seq; /* of the newest report, whoever owned it then: copies may come late */
  uint64_t seen_token;   /* the highest the worker has told of */
  bool reported;         /* a report has come to us since we became its owner */
  double session_from;   /* when we first heard of the session: its lease began no later */
  double answered_at;    /* when we last answered a report with 200 */
  uint64_t answered_on;  /* the number of the connection we did it on */
  double kept_at;        /* when another member last did, as far as it told us */
  double redirected_at;  /* when we last sent its worker to its owner */
  double owned_since;    /* when we became its owner, as far as we know */
  double heard_at;       /* when the last report or direct answer came */
  double deaf_since;     /* its reports come since then without a sign that it hears us; 0: it does */
  double kept_hears_at;  /* when another member kept it and it showed that it hears */
  double kept_deaf_at;   /* when others began to keep it with no such sign, if after that */
  /* Direct questions while another member's incarnation has ended: ours, and when each peer
   * last asked in vain. */
  double unanswered_at[FC_MEMBERS_MAX];
  double asked_at;       /* when we sent the last one whose end we know, also as its owner */
  bool asked_answered;   /* it ended with an answer */
  bool asking;           /* another member's: ours is under way */
  double reached_at;     /* when another member last asked, and was answered */
  bool probe;            /* to be asked directly whether it hears, and what it holds */
  bool reborn;           /* started anew in this term: its reports can't be told from its earlier life's */
  bool odd;              /* a report contradicted its record; that has been logged */
  double proved_at;      /* when we sent the last direct call whose answer told what it holds */
  double first_seen;     /* when we first knew of it */
  double notice_until;   /* the cloud takes it then; 0: no notice */
  double idle_since;     /* 0: in use */
  char reserved_for[32]; /* cleared for this gang: takes nothing else until then */
  double reserved_until;
  bool closed; /* takes no new tasks: to be drained or returned */
  bool releasing;
  bool ordering;         /* a direct command is under way */
  bool remote_closed;    /* its owner said so */
  bool remote_mute;      /* its owner is out of touch with it */
  double remote_mute_at; /* when it began to say so */
  unsigned errors;       /* jobs that failed here first, net of tasks that did well */
  bool faulty;           /* so many that it is drained and returned */
  uint64_t shown;        /* a digest of what our newest view says of it; 0: nothing yet */
  uint64_t shown_at;     /* the view in which that last changed */
  GPtrArray *placements;
  GPtrArray *images; /* GRefString, most recently used last */
};

typedef struct fc_told_cancel {
  uint64_t revision;
  double from; /* no user was told before this */
} fc_told_cancel;

/* A member's own key: there as long as its lease. */
typedef struct fc_member_key {
  uint64_t version;
  unsigned job_format; /* the newest format of job records that it reads */
} fc_member_key;

/* A record that can't be read before more parts of the job's description are. */
typedef struct fc_unread_job {
  json_t *value;
  uint64_t version;
  bool ordered; /* it was read as a change */
} fc_unread_job;

typedef struct fc_table {
  const fc_settings *settings;
  double epoch;                   /* time of day less steady time */
  GHashTable *jobs;               /* id -> fc_job */
  GHashTable *machines;           /* id -> fc_machine */
  GPtrArray *types;               /* fc_machine_type; empty: not known yet */
  GHashTable *rentals;            /* name -> fc_rental_record */
  GHashTable *cancelled;          /* id -> fc_told_cancel: known to us, not read yet */
  GHashTable *members;            /* name -> fc_member_key */
  fc_parts *parts;                /* of descriptions */
  GHashTable *unread;             /* id -> fc_unread_job */
  GHashTable *awaited;            /* id -> fc_awaited: what accepted jobs await */
  GHashTable *unrecorded_cancels; /* id -> fc_job: cancelled by another's record, not yet by their own */
  fc_term term;
  uint64_t term_version; /* of the stored record; 0: none seen */
  fc_quota_record quota;
  uint64_t quota_version;
  /* What this part may have been using, of each team, when the term began: its
   * share of the term before, where that was carried over; INFINITY: not known. */
  double carried_cpus[FC_TEAMS_MAX], carried_gpus[FC_TEAMS_MAX];
  fc_demand_stats demand;
  bool archive;              /* jobs that are over may have been archived */
  uint64_t returned_version; /* of the mark that every removal of machines writes; 0: none yet */
  uint64_t settled_latch;    /* term in which every machine has been settled */
  uint64_t members_latch;    /* term that settled_members tells of */
  unsigned settled_members;  /* a bit a member: every machine of it has been settled in that term */
  uint64_t next_serial;
  uint64_t view; /* number of the newest view of our machines */
  int self;      /* index in the term; -1: not a member */
} fc_table;

fc_table *fc_table_new(const fc_settings *settings);
void fc_table_free(fc_table *t);

fc_job *fc_table_job(const fc_table *t, const char *id);
fc_machine *fc_table_machine(const fc_table *t, const char *id);
/* Creates it when it is not there. */
fc_machine *fc_table_machine_add(fc_table *t, const char *id, double now);
int fc_table_type(const fc_table *t, const char *name);

/* A job's record as stored; newer versions only. `fresh`: the record was first
 * seen as a change inside the present term, so nobody placed it before. */
fc_job *fc_table_put_job(fc_table *t, const char *id, const fc_job_record *r, uint64_t version, bool fresh, double now);
/* A committed cancellation that the table has not read: told by a peer, or just written
 * by us. The job is over from here on, whatever older records are still read; its own
 * version stays, so that no write of ours builds on what we have not read. */
void fc_table_cancel(fc_table *t, const char *id, uint64_t revision, double from, double now);
bool fc_table_is_cancelled(const fc_table *t, const char *id);
/* No user was told that the job is cancelled before this; INFINITY: it is not, as far as
 * we know. */
double fc_table_cancelled_from(const fc_table *t, const char *id);
/* Everything up to the revision has been read. */
void fc_table_caught_up(fc_table *t, uint64_t revision);
/* The job has been archived: nobody looks for its placements any more. */
void fc_table_remove_job(fc_table *t, fc_job *j);
bool fc_job_task_done(const fc_job *j, uint32_t index);
/* Removes the machine and every placement on it: it is proved gone. */
void fc_table_remove_machine(fc_table *t, fc_machine *m);

fc_placement *fc_table_place(fc_table *t, fc_machine *m, const char *job_id, uint32_t index, uint64_t attempt,
                             double now);
fc_placement *fc_machine_find(const fc_machine *m, const char *job_id, uint32_t index, uint64_t attempt);
void fc_table_unplace(fc_table *t, fc_placement *p);
void fc_machine_clear(fc_table *t, fc_machine *m);

/* Does it take room on its machine? Everything does that has not exited. */
bool fc_placement_live(const fc_placement *p);
typedef struct fc_room {
  double cpus, gpus, memory_gb;
} fc_room;
/* Room left; zero when the type is unknown. */
fc_room fc_machine_room(const fc_table *t, const fc_machine *m);
bool fc_room_fits(const fc_room *r, const fc_job_spec *s);
void fc_room_take(fc_room *r, const fc_job_spec *s);
void fc_room_give(fc_room *r, const fc_job_spec *s);
void fc_machine_used_image(fc_machine *m, GRefString *image);
/* Nothing on it that anybody still needs: what is left has ended and is recorded,
 * or is a start that was given up and may yet arrive. */
bool fc_machine_vacant(const fc_machine *m);
/* Silent since then, or deaf: its reports come, but it has not shown since then
 * that it hears answers or commands. Both cost its tasks the same. */
bool fc_machine_out_of_touch(const fc_machine *m, double since);
/* How long a machine may be so before it is returned: longer than a worker takes to
 * try another member when it can't reach us (two failed reports), shorter than its
 * lease: returning it is the quickest proof that its tasks are gone. */
double fc_machine_quiet_s(const fc_settings *s);
/* A machine that we own since a while, as its recorded address says it was up, and that
 * has not said a word to us: from before our life, dead or out of reach. A live one
 * has by then failed to answer several direct questions, and has had the time to
 * come to another member, who would have told us. Until it is gone, what may be on it
 * is started nowhere. */
bool fc_machine_unheard(const fc_table *t, const fc_machine *m, double now);
/* On the way there, or in any doubt. Those are counted before any is returned, or the first would
 * be gone before it showed that most of them are silent together. */
bool fc_machine_mute(const fc_table *t, const fc_machine *m, double now);
/* Heard of lately, and not without a sign that it hears us too. */
bool fc_machine_in_touch(const fc_table *t, const fc_machine *m, double now);
/* Images are interned: the same name is the same pointer. */
bool fc_machine_has_image(const fc_machine *m, const GRefString *image);

unsigned fc_job_slice_of(const fc_job *j, uint32_t index);
/* Works out who owns the job's slices. That is done when the term or a hand-over
 * changes, not where it is asked: rounds ask for every slice of every job, and the
 * hashing was most of what a round cost in a queue of hundreds. */
void fc_job_deal(const fc_table *t, fc_job *j);
/* The member that a slice of the job belongs to now; -1: none. */
int fc_job_owner(const fc_job *j, unsigned slice);
/* Does any slice belong to this member? */
bool fc_job_owned(const fc_job *j, int member);
/* Where the machine stands and what it is, by its record. */
void fc_machine_locate(const fc_table *t, fc_machine *m);

/* May the job run on such a machine at all? */
bool fc_job_allows(const fc_job_spec *s, const char *type, const char *zone, bool spot);
/* The shares as stored. */
void fc_table_put_quota(fc_table *t, const fc_quota_record *q, uint64_t version);
int fc_quota_member(const fc_quota_record *q, const char *member); /* -1: none */
/* All that the machine may hold, far more than any limit while its type is not
 * known: a controller that has just started knows none, and once took machines
 * full of tasks for empty (fault test, seed 686). */
fc_room fc_machine_whole(const fc_table *t, const fc_machine *m);
/* Adds what the tasks on the machine use, by team. */
void fc_machine_use(const fc_machine *m, double cpus[FC_TEAMS_MAX], double gpus[FC_TEAMS_MAX]);
/* What the tasks on this part's machines use of each team's limit, at most: machines
 * that are not settled count as full, as far as what was carried over allows. */
void fc_table_usage(const fc_table *t, double cpus[FC_TEAMS_MAX], double gpus[FC_TEAMS_MAX]);
fc_job_status fc_job_status_of(const fc_job *j, uint32_t *running);

/* A new term: owners are derived again. `continuous`: this process was a
 * member, in this same life, of the term before. */
void fc_table_set_term(fc_table *t, const fc_term *term, uint64_t version, bool continuous, double now);
/* Derives a machine's owner after its record changed. */
void fc_table_derive_owner(fc_table *t, fc_machine *m, double now);
/* Latches once every machine that may hold anything from before the present term is
 * settled in it: every job is clear then. And before that for each member, once all
 * machines of that one are: then those slices of ours are clear of which nothing can be
 * on any other's. In a fleet of a thousand some machine is always dying; waiting for
 * each of them, at each change of term anew, a rolling restart started nothing old for
 * two minutes (fleet day "restart", simulated). */
bool fc_table_check_settled(fc_table *t);

#endif
