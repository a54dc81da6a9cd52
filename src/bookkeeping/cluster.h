/* The cluster state: everything that this controller knows of jobs, machines, members and
 * quota. A cache of the key-value store's records, together with what workers and peers have
 * reported. Nothing in this layer but group commit does I/O or suspends a routine. */
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
#include "protocol/cloud_api.h"
#include "protocol/records.h"
#include "protocol/settings.h"

/* A committed cancellation that we learned from a peer, or wrote, and whose record
 * has not been read yet. */
typedef struct fc_unread_cancellation {
  uint64_t revision;
  double since; /* no user had it confirmed before this, steady time */
} fc_unread_cancellation;

/* A member's own key: there as long as its lease. */
typedef struct fc_member_key {
  uint64_t version;
  unsigned job_format; /* the newest format of job records that it reads */
} fc_member_key;

/* A job's record that can't be applied before more parts of its description have been read. */
typedef struct fc_incomplete_job {
  json_t *value;
  uint64_t version;
  bool ordered; /* it was read as a change, not when everything was read anew */
} fc_incomplete_job;

/* How far the cluster state follows the key-value store. Written by the watch alone. */
typedef struct fc_store_sync {
  bool loaded;       /* everything was read, and no change has been missed since */
  uint64_t revision; /* every change up to here has been applied */
  double read_at;    /* when the last successful read of changes was sent, steady time */
} fc_store_sync;

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
  GHashTable *unrecorded_cancellations; /* id -> fc_job: cancelled by another's record, not yet by their own */
} fc_dependency_index;

/* Everything that this controller knows of the cluster: a cache of the key-value store's
 * records, and what workers and peers have reported. */
typedef struct fc_cluster {
  const fc_settings *settings;
  fc_store_sync sync;
  double clock_offset_s;              /* time of day less steady time */
  GHashTable *jobs;                   /* id -> fc_job */
  GHashTable *machines;               /* id -> fc_machine */
  GPtrArray *machine_types;           /* fc_machine_type; empty: not known yet */
  GHashTable *rentals;                /* name -> fc_rental_record */
  GHashTable *unread_cancellations;   /* id -> fc_unread_cancellation */
  fc_description_parts *descriptions; /* stored apart from their records */
  GHashTable *incomplete_jobs;        /* id -> fc_incomplete_job */
  fc_membership membership;
  fc_reconciliation reconciliation;
  fc_quota_state quota;
  fc_dependency_index dependencies;
  fc_arrival_stats arrivals;
  bool archive_in_use;      /* jobs that have ended may have been archived */
  uint64_t returns_version; /* of the mark that every removal of machines' records writes; 0: none yet */
  bool tasks_pending;       /* some task of ours had no place when that was last looked for */
  uint64_t next_queue_sequence;
  uint64_t view_number; /* of the newest view of our machines */
} fc_cluster;

/* The settings have to outlive the cluster state. */
fc_cluster *fc_cluster_new(const fc_settings *settings);
void fc_cluster_free(fc_cluster *cluster);

/* Jobs and machines are owned by the cluster state, and may leave it whenever a routine is
 * suspended: pointers to them are looked up anew afterwards. NULL: not known. */
fc_job *fc_cluster_find_job(const fc_cluster *cluster, const char *id);
fc_machine *fc_cluster_find_machine(const fc_cluster *cluster, const char *id);
/* Index of a machine type; -1: not known. */
int fc_cluster_find_machine_type(const fc_cluster *cluster, const char *name);

/* Has the key-value store been read lately, so that a write or a fresh read is worth trying? */
bool fc_cluster_store_reachable(const fc_cluster *cluster, double now);

/* Do all members that are there read job records of the format? The others would not know such
 * jobs. */
bool fc_cluster_members_read_format(const fc_cluster *cluster, unsigned format);

/* Is the job cancelled, by what has been read or learned from peers? */
bool fc_cluster_is_cancelled(const fc_cluster *cluster, const char *id);
/* No user had the cancellation confirmed before this steady time; INFINITY: it is not, as
 * far as we know. */
double fc_cluster_cancelled_since(const fc_cluster *cluster, const char *id);

/* Iterators over all jobs, or all machines, in no particular order:
 *   fc_job_iter job_iter = fc_cluster_jobs(cluster);
 *   for (fc_job *job; (job = fc_job_iter_next(&job_iter));) ...
 * None may be added or removed, nor the routine be suspended, meanwhile. */
typedef struct fc_job_iter {
  GHashTableIter entries;
} fc_job_iter;
typedef struct fc_machine_iter {
  GHashTableIter entries;
} fc_machine_iter;

fc_job_iter fc_cluster_jobs(const fc_cluster *cluster);
fc_machine_iter fc_cluster_machines(const fc_cluster *cluster);
/* NULL: that was the last. */
fc_job *fc_job_iter_next(fc_job_iter *iter);
fc_machine *fc_machine_iter_next(fc_machine_iter *iter);

#endif
