/* The records controllers keep in the state service, besides jobs, and their
 * keys. Every stored value carries a format number "f". */
#ifndef FC_PROTOCOL_RECORDS_H
#define FC_PROTOCOL_RECORDS_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "protocol/settings.h"

#define FC_PREFIX "fc1/"
#define FC_KEY_TERM FC_PREFIX "term"
#define FC_KEY_QUOTA FC_PREFIX "quota"
#define FC_PREFIX_JOB FC_PREFIX "job/"
#define FC_PREFIX_MACHINE FC_PREFIX "machine/"
#define FC_PREFIX_MEMBER FC_PREFIX "member/"
#define FC_PREFIX_RENTAL FC_PREFIX "hire/"
/* Parts of descriptions that are too long for one value (job_parts.h). */
#define FC_PREFIX_PART FC_PREFIX "part/"
/* There once jobs may have been archived. */
#define FC_KEY_ARCHIVE FC_PREFIX "archive"
/* Written with every removal of machines' records. */
#define FC_KEY_RETURNED FC_PREFIX "returned"
/* Jobs that are long over. Outside the prefix that every controller holds. */
#define FC_PREFIX_ARCHIVED "fc1over/"

typedef struct fc_member {
  char name[64];
  uint64_t incarnation; /* one for each start of a process, and never the same again */
} fc_member;

/* The stored record the whole deal is derived from. */
typedef struct fc_term {
  uint64_t number; /* the workers' token */
  uint64_t seed;
  uint64_t names_since;              /* the members have had these names since that term */
  fc_member members[FC_MEMBERS_MAX]; /* in order of names */
  size_t count;
} fc_term;

/* The value of a key that says all by being there: the format number alone. */
json_t *fc_mark_encode(void);

/* A member's own key, there as long as its lease. It names the newest format of job records
 * that the process reads; versions that don't know of awaiting name none. */
json_t *fc_member_key_encode(void);
/* That format; FC_JOB_FORMAT_PLAIN where none is named. */
unsigned fc_member_key_format(const json_t *v);

json_t *fc_term_encode(const fc_term *term);
bool fc_term_decode(const json_t *v, fc_term *out);
int fc_term_find(const fc_term *term, const char *name); /* -1: not a member */

typedef struct fc_machine_record {
  char endpoint[32]; /* "" until the machine's address is known */
  char type[64], zone[64], owner[64];
  bool spot;
} fc_machine_record;

json_t *fc_machine_record_encode(const fc_machine_record *record);
bool fc_machine_record_decode(const json_t *v, fc_machine_record *out);

/* Written before the cloud is asked, so that a taker-over can repeat it. */
typedef struct fc_rental_record {
  char type[64], zone[64], owner[64]; /* owner: the part that the machines go to */
  bool spot;
  unsigned count;
  uint64_t version; /* of the record; not part of it */
} fc_rental_record;

json_t *fc_rental_record_encode(const fc_rental_record *rental);
bool fc_rental_record_decode(const json_t *v, fc_rental_record *out);

/* Shares of the teams' limits, valid in one term only. */
typedef struct fc_quota_record {
  uint64_t term;
  bool carried; /* first written as the shares of the term before, not divided anew */
  char members[FC_MEMBERS_MAX][64];
  size_t member_count;
  double cpus[FC_MEMBERS_MAX][FC_TEAMS_MAX];
  double gpus[FC_MEMBERS_MAX][FC_TEAMS_MAX];
} fc_quota_record;

/* What is kept for good of a job that is over: enough to answer its user. */
typedef struct fc_archived_job {
  bool done; /* else cancelled */
  uint32_t tasks_done;
} fc_archived_job;

json_t *fc_archived_job_encode(const fc_archived_job *archived);
bool fc_archived_job_decode(const json_t *v, fc_archived_job *out);

json_t *fc_quota_record_encode(const fc_quota_record *quota, const fc_settings *settings);
bool fc_quota_record_decode(const json_t *v, const fc_settings *settings, fc_quota_record *out);

#endif
