/* Keys of the key-value store, and the records other than those of jobs. Every stored value has a
 * format number. Each fc_..._encode() returns a reference owned by the caller. Each fc_..._decode()
 * returns false for a malformed value; the contents of `out` are then undefined. Nothing here suspends
 * the calling routine. */
#ifndef FC_PROTOCOL_RECORDS_H
#define FC_PROTOCOL_RECORDS_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "protocol/job.h"
#include "protocol/settings.h"

#define FC_PREFIX "fc1/"
#define FC_KEY_TERM FC_PREFIX "term"
#define FC_KEY_QUOTA FC_PREFIX "quota"
#define FC_PREFIX_JOB FC_PREFIX "job/"
#define FC_PREFIX_MACHINE FC_PREFIX "machine/"
#define FC_PREFIX_MEMBER FC_PREFIX "member/"
#define FC_PREFIX_RENTAL FC_PREFIX "hire/"
/* Parts of descriptions that are too long for one value (job_description.h). */
#define FC_PREFIX_PART FC_PREFIX "part/"
/* Exists once jobs may have been archived. */
#define FC_KEY_ARCHIVE FC_PREFIX "archive"
/* Written in every transaction that removes machines' records, so that a transaction that records a
 * machine can check that none was removed in between. */
#define FC_KEY_RETURNED FC_PREFIX "returned"
/* Archived jobs. Not under FC_PREFIX, whose keys every controller caches. */
#define FC_PREFIX_ARCHIVED "fc1over/"

typedef struct fc_member {
  char name[FC_NAME_SIZE];
  uint64_t incarnation; /* identifies one run of the process: unique to each start */
} fc_member;

/* A configuration of the members, from which all assignments to members are derived. */
typedef struct fc_term {
  uint64_t number;                   /* also the lowest of its fencing tokens (coordination/fencing_token.h) */
  uint64_t seed;                     /* of the assignment */
  uint64_t names_since;              /* the term since which the members' names are unchanged */
  fc_member members[FC_MEMBERS_MAX]; /* sorted by name */
  size_t count;
} fc_term;

/* Encodes the value of a key that matters only by its existence or version. */
json_t *fc_marker_encode(void);

/* Encodes the value of a member's own key, which exists as long as its lease. It has the newest format
 * of job records that the process reads, and further features below; earlier versions give none. */
json_t *fc_member_key_encode(void);
/* The newest format that the member reads; FC_JOB_FORMAT_PLAIN when it gives none or is malformed. */
unsigned fc_member_key_format(const json_t *value);
/* Whether the member accepts heartbeats with raised fencing tokens (coordination/fencing_token.h). */
bool fc_member_key_raised_tokens(const json_t *value);
/* Whether the member follows descriptions that move from a job's record to parts after it was read. */
bool fc_member_key_moved_descriptions(const json_t *value);
/* Whether the member sends starts with answers to heartbeats only, never by direct calls. */
bool fc_member_key_starts_in_answers(const json_t *value);

json_t *fc_term_encode(const fc_term *term);
bool fc_term_decode(const json_t *value, fc_term *out);
/* The index of the member with that name; -1: not a member. */
int fc_term_find(const fc_term *term, const char *name);

typedef struct fc_machine_record {
  char endpoint[FC_ENDPOINT_SIZE]; /* "" until it is known */
  char type[FC_NAME_SIZE], zone[FC_NAME_SIZE], owner[FC_NAME_SIZE];
  bool spot;
} fc_machine_record;

json_t *fc_machine_record_encode(const fc_machine_record *record);
bool fc_machine_record_decode(const json_t *value, fc_machine_record *out);

/* A request to rent machines, stored before the cloud is called, so that it can be repeated after a
 * failover. */
typedef struct fc_rental_record {
  char type[FC_NAME_SIZE], zone[FC_NAME_SIZE];
  char owner[FC_NAME_SIZE]; /* of the machines to rent */
  bool spot;
  unsigned count;
  uint64_t version; /* of the key; not stored in the value */
} fc_rental_record;

json_t *fc_rental_record_encode(const fc_rental_record *rental);
bool fc_rental_record_decode(const json_t *value, fc_rental_record *out);

/* The members' shares of the teams' limits, valid in one term. */
typedef struct fc_quota_record {
  uint64_t term;
  bool carried; /* first written with the shares of the previous term, not with a new division */
  char members[FC_MEMBERS_MAX][FC_NAME_SIZE];
  size_t member_count;
  double cpus[FC_MEMBERS_MAX][FC_TEAMS_MAX]; /* by index in `members` and in the settings' teams */
  double gpus[FC_MEMBERS_MAX][FC_TEAMS_MAX];
} fc_quota_record;

/* What remains stored of a job that ended: enough to answer queries of its status. */
typedef struct fc_archived_job {
  bool done; /* else cancelled */
  uint32_t tasks_done;
} fc_archived_job;

json_t *fc_archived_job_encode(const fc_archived_job *archived);
bool fc_archived_job_decode(const json_t *value, fc_archived_job *out);

/* Both take the teams from `settings`. Only the shares of teams that have a limit are stored; a share
 * that is not stored is decoded as 0. */
json_t *fc_quota_record_encode(const fc_quota_record *quota, const fc_settings *settings);
bool fc_quota_record_decode(const json_t *value, const fc_settings *settings, fc_quota_record *out);

#endif
