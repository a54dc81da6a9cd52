#include "protocol/records.h"

#include <string.h>

#include "protocol/cloud_api.h"
#include "protocol/job_record.h"
#include "protocol/json.h"

#define RECORD_FORMAT 1

/* Fields of the records. */
#define FIELD_FORMAT "f"
#define FIELD_JOB_FORMAT "jobFormat"
#define FIELD_RAISED_TOKENS "raisedTokens"
#define FIELD_MOVED_DESCRIPTIONS "movedDescriptions"
#define FIELD_STARTS_IN_ANSWERS "startsInAnswers"

#define FIELD_TERM "term"
#define FIELD_SEED "seed"
#define FIELD_NAMES_SINCE "since"
#define FIELD_MEMBERS "members"
#define FIELD_NAME "name"
#define FIELD_INCARNATION "boot"

#define FIELD_TYPE "type"
#define FIELD_ZONE "zone"
#define FIELD_OWNER "owner"
#define FIELD_ENDPOINT "at"
#define FIELD_SPOT "spot"
#define FIELD_COUNT "count"

#define FIELD_DONE "done"
#define FIELD_TASKS "tasks"

#define FIELD_CARRIED "carried"
#define FIELD_SHARES "shares"

/* Starts to read a record; its format has to be RECORD_FORMAT. */
static void record_reader_init(fc_reader *reader, const json_t *value) {
  fc_reader_init(reader, value);
  (void)fc_read_count(reader, FIELD_FORMAT, RECORD_FORMAT, RECORD_FORMAT);
}

json_t *fc_marker_encode(void) {
  return json_pack("{si}", FIELD_FORMAT, RECORD_FORMAT);
}

/* ---- members and terms ---- */

json_t *fc_member_key_encode(void) {
  return json_pack("{si si sb sb sb}", FIELD_FORMAT, RECORD_FORMAT, FIELD_JOB_FORMAT, FC_JOB_FORMAT_AWAITING,
                   FIELD_RAISED_TOKENS, 1, FIELD_MOVED_DESCRIPTIONS, 1, FIELD_STARTS_IN_ANSWERS, 1);
}

unsigned fc_member_key_format(const json_t *value) {
  fc_reader reader;
  record_reader_init(&reader, value);
  return (unsigned)fc_read_count_or(&reader, FIELD_JOB_FORMAT, 1, UINT32_MAX, FC_JOB_FORMAT_PLAIN);
}

bool fc_member_key_raised_tokens(const json_t *value) {
  return json_is_true(json_object_get(value, FIELD_RAISED_TOKENS));
}

bool fc_member_key_moved_descriptions(const json_t *value) {
  return json_is_true(json_object_get(value, FIELD_MOVED_DESCRIPTIONS));
}

bool fc_member_key_starts_in_answers(const json_t *value) {
  return json_is_true(json_object_get(value, FIELD_STARTS_IN_ANSWERS));
}

static json_t *encode_member(const fc_member *member) {
  return json_pack("{ss sI}", FIELD_NAME, member->name, FIELD_INCARNATION, (json_int_t)member->incarnation);
}

static bool decode_member(const json_t *value, fc_member *out) {
  fc_reader reader;
  fc_reader_init(&reader, value);
  fc_read_string_into(&reader, FIELD_NAME, out->name, sizeof out->name);
  out->incarnation = fc_read_count(&reader, FIELD_INCARNATION, 0, FC_COUNT_MAX);
  return fc_reader_ok(&reader);
}

json_t *fc_term_encode(const fc_term *term) {
  json_t *members = json_array();
  for (size_t i = 0; i < term->count; i++) json_array_append_new(members, encode_member(&term->members[i]));
  return json_pack("{si sI sI sI so}", FIELD_FORMAT, RECORD_FORMAT, FIELD_TERM, (json_int_t)term->number, FIELD_SEED,
                   (json_int_t)term->seed, FIELD_NAMES_SINCE, (json_int_t)term->names_since, FIELD_MEMBERS, members);
}

bool fc_term_decode(const json_t *value, fc_term *out) {
  memset(out, 0, sizeof *out);
  fc_reader reader;
  record_reader_init(&reader, value);
  out->number = fc_read_count(&reader, FIELD_TERM, 1, FC_COUNT_MAX);
  out->seed = fc_read_count(&reader, FIELD_SEED, 0, FC_COUNT_MAX);
  out->names_since = fc_read_count_or(&reader, FIELD_NAMES_SINCE, 0, FC_COUNT_MAX, out->number);
  const json_t *members = fc_read_array(&reader, FIELD_MEMBERS);
  if (!fc_reader_ok(&reader) || json_array_size(members) > FC_MEMBERS_MAX) return false;
  for (size_t i = 0; i < json_array_size(members); i++) {
    if (!decode_member(json_array_get(members, i), &out->members[i])) return false;
    out->count++;
  }
  return true;
}

int fc_term_find(const fc_term *term, const char *name) {
  for (size_t i = 0; i < term->count; i++)
    if (strcmp(term->members[i].name, name) == 0) return (int)i;
  return -1;
}

/* ---- machines and rentals ---- */

/* Reads the fields that records of machines and of rentals have in common. */
static void read_machine_fields(fc_reader *reader, char type[FC_NAME_SIZE], char zone[FC_NAME_SIZE],
                                char owner[FC_NAME_SIZE], bool *spot) {
  fc_read_string_into(reader, FIELD_TYPE, type, FC_NAME_SIZE);
  fc_read_string_into(reader, FIELD_ZONE, zone, FC_NAME_SIZE);
  fc_read_string_into(reader, FIELD_OWNER, owner, FC_NAME_SIZE);
  *spot = fc_read_bool(reader, FIELD_SPOT);
}

json_t *fc_machine_record_encode(const fc_machine_record *record) {
  const char *endpoint = record->endpoint[0] ? record->endpoint : NULL;
  return json_pack("{si ss ss ss ss* sb}", FIELD_FORMAT, RECORD_FORMAT, FIELD_TYPE, record->type, FIELD_ZONE,
                   record->zone, FIELD_OWNER, record->owner, FIELD_ENDPOINT, endpoint, FIELD_SPOT, (int)record->spot);
}

bool fc_machine_record_decode(const json_t *value, fc_machine_record *out) {
  memset(out, 0, sizeof *out);
  fc_reader reader;
  record_reader_init(&reader, value);
  read_machine_fields(&reader, out->type, out->zone, out->owner, &out->spot);
  const char *endpoint = fc_read_string_or_null(&reader, FIELD_ENDPOINT, sizeof out->endpoint - 1);
  if (endpoint) g_strlcpy(out->endpoint, endpoint, sizeof out->endpoint);
  return fc_reader_ok(&reader);
}

json_t *fc_rental_record_encode(const fc_rental_record *rental) {
  return json_pack("{si ss ss ss sb si}", FIELD_FORMAT, RECORD_FORMAT, FIELD_TYPE, rental->type, FIELD_ZONE,
                   rental->zone, FIELD_OWNER, rental->owner, FIELD_SPOT, (int)rental->spot, FIELD_COUNT,
                   (int)rental->count);
}

bool fc_rental_record_decode(const json_t *value, fc_rental_record *out) {
  memset(out, 0, sizeof *out);
  fc_reader reader;
  record_reader_init(&reader, value);
  read_machine_fields(&reader, out->type, out->zone, out->owner, &out->spot);
  out->count = (unsigned)fc_read_count(&reader, FIELD_COUNT, 1, FC_RENTAL_MACHINES_MAX);
  return fc_reader_ok(&reader);
}

/* ---- archived jobs ---- */

json_t *fc_archived_job_encode(const fc_archived_job *archived) {
  return json_pack("{si sb si}", FIELD_FORMAT, RECORD_FORMAT, FIELD_DONE, (int)archived->done, FIELD_TASKS,
                   (int)archived->tasks_done);
}

bool fc_archived_job_decode(const json_t *value, fc_archived_job *out) {
  memset(out, 0, sizeof *out);
  fc_reader reader;
  record_reader_init(&reader, value);
  out->done = fc_read_bool(&reader, FIELD_DONE);
  out->tasks_done = (uint32_t)fc_read_count(&reader, FIELD_TASKS, 0, FC_TASKS_MAX);
  return fc_reader_ok(&reader);
}

/* ---- quota shares ---- */

/* Encodes {"team":[cpus,gpus]}, the shares of one member. */
static json_t *encode_shares(const fc_quota_record *quota, size_t member, const fc_settings *settings) {
  json_t *shares = json_object();
  for (size_t team = 0; team < settings->team_count; team++) {
    const fc_team_settings *limits = &settings->teams[team];
    if (limits->cpus_max <= 0 && limits->gpus_max <= 0) continue;
    json_t *pair = json_pack("[ff]", quota->cpus[member][team], quota->gpus[member][team]);
    json_object_set_new(shares, limits->name, pair);
  }
  return shares;
}

static bool decode_shares(const json_t *value, size_t member, const fc_settings *settings, fc_quota_record *out) {
  for (size_t team = 0; team < settings->team_count; team++) {
    const json_t *pair = json_object_get(value, settings->teams[team].name);
    if (!pair) continue;
    if (json_array_size(pair) != 2) return false;
    double cpus = fc_json_amount(json_array_get(pair, 0));
    double gpus = fc_json_amount(json_array_get(pair, 1));
    if (!(cpus >= 0 && gpus >= 0)) return false;
    out->cpus[member][team] = cpus;
    out->gpus[member][team] = gpus;
  }
  return true;
}

json_t *fc_quota_record_encode(const fc_quota_record *quota, const fc_settings *settings) {
  json_t *shares = json_object();
  for (size_t member = 0; member < quota->member_count; member++)
    json_object_set_new(shares, quota->members[member], encode_shares(quota, member, settings));
  return json_pack("{si sI sb so}", FIELD_FORMAT, RECORD_FORMAT, FIELD_TERM, (json_int_t)quota->term, FIELD_CARRIED,
                   (int)quota->carried, FIELD_SHARES, shares);
}

bool fc_quota_record_decode(const json_t *value, const fc_settings *settings, fc_quota_record *out) {
  memset(out, 0, sizeof *out);
  fc_reader reader;
  record_reader_init(&reader, value);
  out->term = fc_read_count(&reader, FIELD_TERM, 1, FC_COUNT_MAX);
  out->carried = fc_read_bool_or(&reader, FIELD_CARRIED, false);
  const json_t *shares = fc_read_object(&reader, FIELD_SHARES);
  if (!fc_reader_ok(&reader)) return false;
  const char *name;
  json_t *teams;
  json_object_foreach((json_t *)shares, name, teams) {
    if (out->member_count == FC_MEMBERS_MAX || strlen(name) >= sizeof out->members[0]) return false;
    size_t member = out->member_count++;
    g_strlcpy(out->members[member], name, sizeof out->members[member]);
    if (!decode_shares(teams, member, settings, out)) return false;
  }
  return true;
}
