/* The records in the key-value store besides those of jobs, and their keys. Every stored value has
 * a format number. Each encode function returns a reference that is the caller's; each decode
 * function is false for a malformed value. Nothing here suspends the calling routine. */
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
/* Written with every removal of machines' records. */
#define FC_KEY_RETURNED FC_PREFIX "returned"
/* Archived jobs. Outside the prefix that every controller caches. */
#define FC_PREFIX_ARCHIVED "fc1over/"

typedef struct fc_member {
  char name[FC_NAME_SIZE];
  uint64_t incarnation; /* of the process: unique to each start */
} fc_member;

/* A configuration of the members, from which every assignment is derived. */
typedef struct fc_term {
  uint64_t number;                   /* also the fencing token of commands to workers */
  uint64_t seed;                     /* of the assignment */
  uint64_t names_since;              /* the first term with the same names of members */
  fc_member members[FC_MEMBERS_MAX]; /* in order of names */
  size_t count;
} fc_term;

/* The value of a key whose existence alone matters. */
json_t *fc_mark_encode(void);

/* The value of a member's own key, which exists as long as its lease. It states the newest format
 * of job records that the process reads; versions that do not know of dependencies state none. */
json_t *fc_member_key_encode(void);
/* That format; FC_JOB_FORMAT_PLAIN when none is stated. */
unsigned fc_member_key_format(const json_t *value);

json_t *fc_term_encode(const fc_term *term);
bool fc_term_decode(const json_t *value, fc_term *out);
/* The index of the member of that name; -1: not a member. */
int fc_term_find(const fc_term *term, const char *name);

typedef struct fc_machine_record {
  char endpoint[FC_ENDPOINT_SIZE]; /* "" until it is known */
  char type[FC_NAME_SIZE], zone[FC_NAME_SIZE], owner[FC_NAME_SIZE];
  bool spot;
} fc_machine_record;

json_t *fc_machine_record_encode(const fc_machine_record *record);
bool fc_machine_record_decode(const json_t *value, fc_machine_record *out);

/* A request to rent machines, written before the cloud is called, so that it can be repeated after
 * a failover. */
typedef struct fc_rental_record {
  char type[FC_NAME_SIZE], zone[FC_NAME_SIZE];
  char owner[FC_NAME_SIZE]; /* of the machines */
  bool spot;
  unsigned count;
  uint64_t version; /* of the key; not stored in the value */
} fc_rental_record;

json_t *fc_rental_record_encode(const fc_rental_record *rental);
bool fc_rental_record_decode(const json_t *value, fc_rental_record *out);

/* The members' shares of the teams' limits, valid in one term. */
typedef struct fc_quota_record {
  uint64_t term;
  bool carried; /* first written with the shares of the term before, not divided anew */
  char members[FC_MEMBERS_MAX][FC_NAME_SIZE];
  size_t member_count;
  double cpus[FC_MEMBERS_MAX][FC_TEAMS_MAX]; /* by index of the member here, and of the team in the settings */
  double gpus[FC_MEMBERS_MAX][FC_TEAMS_MAX];
} fc_quota_record;

/* What is stored of a job after it ended: enough to answer its user. */
typedef struct fc_archived_job {
  bool done; /* else cancelled */
  uint32_t tasks_done;
} fc_archived_job;

json_t *fc_archived_job_encode(const fc_archived_job *archived);
bool fc_archived_job_decode(const json_t *value, fc_archived_job *out);

/* Only teams that have a limit are stored. */
json_t *fc_quota_record_encode(const fc_quota_record *quota, const fc_settings *settings);
bool fc_quota_record_decode(const json_t *value, const fc_settings *settings, fc_quota_record *out);

#endif
