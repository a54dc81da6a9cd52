/* The cluster state: everything this controller knows about jobs, machines, members and quota. It
 * is a cache of the records in the key-value store, plus what workers and peers have reported.
 * Nothing in this layer except group commit does I/O or suspends a routine. Times are on the
 * monotonic clock of fc_now(), in seconds. */
#ifndef FC_BOOKKEEPING_CLUSTER_H
#define FC_BOOKKEEPING_CLUSTER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "bookkeeping/arrival_stats.h"
#include "bookkeeping/description_parts.h"
#include "bookkeeping/job_state.h"
#include "bookkeeping/machine_state.h"
#include "bookkeeping/resources.h"
#include "bookkeeping/value_limit.h"
#include "protocol/cloud_api.h"
#include "protocol/records.h"
#include "protocol/settings.h"

/* A committed cancellation that a peer reported or this controller wrote, and whose record has not
 * been read yet. */
typedef struct fc_unread_cancellation {
  uint64_t revision;
  double since; /* lower bound of when a user saw it confirmed */
} fc_unread_cancellation;

/* A member's own key, which exists as long as its lease. */
typedef struct fc_member_key {
  uint64_t version;
  unsigned job_format;     /* newest format of job records that the member reads */
  bool raised_tokens;      /* it accepts heartbeats with raised fencing tokens */
  bool moved_descriptions; /* it follows descriptions that move from job records to parts */
  bool starts_in_answers;  /* it sends starts with answers to heartbeats only */
} fc_member_key;

/* A job record that can't be applied until further parts of its description have been read. */
typedef struct fc_incomplete_job {
  json_t *value;
  uint64_t version;
  bool read_as_change; /* from the change feed, in the order of revisions; false: from a snapshot */
} fc_incomplete_job;

/* How far the cluster state has followed the key-value store. Written only by the watch. */
typedef struct fc_store_sync {
  bool loaded;       /* a full read has completed and no change has been missed since */
  uint64_t revision; /* all changes up to this one have been applied */
  double read_at;    /* when the last successful read of changes was sent */
} fc_store_sync;

/* The current term and the members' own keys. */
typedef struct fc_membership {
  fc_term term;
  uint64_t term_version; /* of the stored record; 0: none read yet */
  int self;              /* index of this controller in the term; -1: not a member */
  GHashTable *keys;      /* name -> fc_member_key */
} fc_membership;

/* Progress of machine reconciliation. */
typedef struct fc_reconciliation {
  uint64_t complete_in_term; /* the term in which all machines were reconciled */
  uint64_t members_term;     /* `members` is valid in this term only */
  unsigned members;          /* one bit for each member: all its machines are reconciled in that term */
} fc_reconciliation;

/* The quota shares of the members, as stored. */
typedef struct fc_quota_state {
  fc_quota_record record;
  uint64_t version; /* 0: none read yet */
  /* Upper bound of what this shard was using of each team's limit when the term began: its share of
   * the previous term if that was carried over; INFINITY: unknown. */
  double carried_cpus[FC_TEAMS_MAX], carried_gpus[FC_TEAMS_MAX];
} fc_quota_state;

/* Index of the dependencies between jobs. */
typedef struct fc_dependency_index {
  GHashTable *by_id;                    /* id -> fc_dependency: the jobs that accepted jobs depend on */
  GHashTable *unrecorded_cancellations; /* id -> fc_job: cancelled because of a dependency; its own record does not say
                                           so yet */
} fc_dependency_index;

typedef struct fc_cluster {
  const fc_settings *settings;
  fc_store_sync sync;
  fc_value_limit value_limit;         /* of the key-value store */
  double clock_offset_s;              /* wall-clock time minus monotonic time */
  GHashTable *jobs;                   /* id -> fc_job */
  GHashTable *machines;               /* id -> fc_machine */
  GPtrArray *machine_types;           /* fc_machine_type; empty: not read yet */
  GHashTable *rentals;                /* name -> fc_rental_record */
  GHashTable *unread_cancellations;   /* id -> fc_unread_cancellation */
  fc_description_parts *descriptions; /* descriptions that are stored outside their job records */
  GHashTable *incomplete_jobs;        /* id -> fc_incomplete_job */
  GHashTable *unlisted_completions; /* set of ids: accepted jobs whose record lists fewer completed tasks than known */
  GHashTable *oversized_jobs;       /* set of ids: accepted jobs whose record has no room for what is to be written */
  fc_membership membership;
  fc_reconciliation reconciliation;
  fc_quota_state quota;
  fc_dependency_index dependencies;
  fc_arrival_stats arrivals;
  bool archive_in_use;      /* ended jobs may have been archived */
  uint64_t returns_version; /* version of the key that is written with every deletion of machine records; 0: none yet */
  bool tasks_pending;       /* at the last scheduling attempt, some task of this shard could not be placed */
  double placed_at;         /* when this controller last placed a task; 0: never */
  unsigned held_answers;    /* answers to heartbeats that are held (controller/heartbeat_hold.h) */
  uint64_t next_queue_sequence;
  uint64_t view_number; /* number of the newest view of this shard's machines */
} fc_cluster;

/* `settings` must outlive the cluster state. The caller frees the result with fc_cluster_free(). */
fc_cluster *fc_cluster_new(const fc_settings *settings);
void fc_cluster_free(fc_cluster *cluster);

/* NULL: unknown. Jobs and machines are owned by the cluster state and may be removed whenever the
 * calling routine is suspended: look them up again afterwards. */
fc_job *fc_cluster_find_job(const fc_cluster *cluster, const char *id);
fc_machine *fc_cluster_find_machine(const fc_cluster *cluster, const char *id);
/* Index of a machine type; -1: unknown. */
int fc_cluster_find_machine_type(const fc_cluster *cluster, const char *name);

/* Whether the key-value store was read recently, so that a write or another read is likely to
 * succeed. */
bool fc_cluster_store_reachable(const fc_cluster *cluster, double now);

/* Whether all live members read job records of the format. The others would not see such jobs. */
bool fc_cluster_members_read_format(const fc_cluster *cluster, unsigned format);

/* Whether all live members follow a description that moves from a job's record to parts. The others would
 * take its parts for unused, and delete them. */
bool fc_cluster_moves_descriptions(const fc_cluster *cluster);

/* Whether fencing tokens may be raised above the term's number: the term reserves raised tokens, and all
 * live members accept them. */
bool fc_cluster_raises_tokens(const fc_cluster *cluster);

/* Whether the incarnation of that member in the current term, by index, has sent no start by a direct call. */
bool fc_cluster_member_starts_in_answers(const fc_cluster *cluster, int member);

/* Whether the job is known to be cancelled, also if its own record does not say so yet. */
bool fc_cluster_is_cancelled(const fc_cluster *cluster, const char *id);
/* Lower bound of when a user saw the cancellation confirmed; INFINITY: not known to be cancelled. */
double fc_cluster_cancelled_since(const fc_cluster *cluster, const char *id);

/* Iterators over all jobs or all machines, in no particular order:
 *   fc_job_iter job_iter = fc_cluster_jobs(cluster);
 *   for (fc_job *job; (job = fc_job_iter_next(&job_iter));) ...
 * Meanwhile no entry may be added or removed, and the routine may not be suspended. */
typedef struct fc_job_iter {
  GHashTableIter entries;
} fc_job_iter;
typedef struct fc_machine_iter {
  GHashTableIter entries;
} fc_machine_iter;

fc_job_iter fc_cluster_jobs(const fc_cluster *cluster);
fc_machine_iter fc_cluster_machines(const fc_cluster *cluster);
/* NULL: no more entries. */
fc_job *fc_job_iter_next(fc_job_iter *iter);
fc_machine *fc_machine_iter_next(fc_machine_iter *iter);

#endif
