#include "protocol/records.h"

#include <string.h>

#include "protocol/job_record.h"
#include "protocol/json.h"

#define FORMAT 1
#define COUNT_MOST ((uint64_t)INT64_MAX)
#define AMOUNT_MOST 1e9

static void copy_string(fc_reader *reader, const char *field, char *out, size_t size) {
  const char *text = fc_read_string(reader, field, size - 1);
  if (text) g_strlcpy(out, text, size);
}

static void start(fc_reader *reader, const json_t *v) {
  fc_reader_init(reader, v);
  (void)fc_read_count(reader, "f", FORMAT, FORMAT);
}

json_t *fc_mark_encode(void) {
  return json_pack("{si}", "f", FORMAT);
}

json_t *fc_member_key_encode(void) {
  return json_pack("{si si}", "f", FORMAT, "jobFormat", FC_JOB_FORMAT_AWAITING);
}

unsigned fc_member_key_format(const json_t *v) {
  fc_reader reader;
  start(&reader, v);
  return (unsigned)fc_read_count_or(&reader, "jobFormat", 1, UINT32_MAX, FC_JOB_FORMAT_PLAIN);
}

json_t *fc_term_encode(const fc_term *term) {
  json_t *members = json_array();
  for (size_t i = 0; i < term->count; i++)
    json_array_append_new(
        members, json_pack("{ss sI}", "name", term->members[i].name, "boot", (json_int_t)term->members[i].incarnation));
  return json_pack("{si sI sI sI so}", "f", FORMAT, "term", (json_int_t)term->number, "seed", (json_int_t)term->seed,
                   "since", (json_int_t)term->names_since, "members", members);
}

bool fc_term_decode(const json_t *v, fc_term *out) {
  memset(out, 0, sizeof *out);
  fc_reader r;
  start(&r, v);
  out->number = fc_read_count(&r, "term", 1, COUNT_MOST);
  out->seed = fc_read_count(&r, "seed", 0, COUNT_MOST);
  out->names_since = fc_read_count_or(&r, "since", 0, COUNT_MOST, out->number);
  const json_t *members = fc_read_array(&r, "members");
  if (!fc_reader_ok(&r) || json_array_size(members) > FC_MEMBERS_MAX) return false;
  for (size_t i = 0; i < json_array_size(members); i++) {
    fc_reader reader;
    fc_reader_init(&reader, json_array_get(members, i));
    copy_string(&reader, "name", out->members[i].name, sizeof out->members[i].name);
    out->members[i].incarnation = fc_read_count(&reader, "boot", 0, COUNT_MOST);
    if (!fc_reader_ok(&reader)) return false;
    out->count++;
  }
  return true;
}

int fc_term_find(const fc_term *term, const char *name) {
  for (size_t i = 0; i < term->count; i++)
    if (strcmp(term->members[i].name, name) == 0) return (int)i;
  return -1;
}

json_t *fc_machine_record_encode(const fc_machine_record *record) {
  return json_pack("{si ss ss ss ss* sb}", "f", FORMAT, "type", record->type, "zone", record->zone, "owner",
                   record->owner, "at", record->endpoint[0] ? record->endpoint : NULL, "spot", (int)record->spot);
}

bool fc_machine_record_decode(const json_t *v, fc_machine_record *out) {
  memset(out, 0, sizeof *out);
  fc_reader reader;
  start(&reader, v);
  copy_string(&reader, "type", out->type, sizeof out->type);
  copy_string(&reader, "zone", out->zone, sizeof out->zone);
  copy_string(&reader, "owner", out->owner, sizeof out->owner);
  const char *at = fc_read_string_or_null(&reader, "at", sizeof out->endpoint - 1);
  if (at) g_strlcpy(out->endpoint, at, sizeof out->endpoint);
  out->spot = fc_read_bool(&reader, "spot");
  return fc_reader_ok(&reader);
}

json_t *fc_rental_record_encode(const fc_rental_record *rental) {
  return json_pack("{si ss ss ss sb si}", "f", FORMAT, "type", rental->type, "zone", rental->zone, "owner",
                   rental->owner, "spot", (int)rental->spot, "count", (int)rental->count);
}

bool fc_rental_record_decode(const json_t *v, fc_rental_record *out) {
  memset(out, 0, sizeof *out);
  fc_reader reader;
  start(&reader, v);
  copy_string(&reader, "type", out->type, sizeof out->type);
  copy_string(&reader, "zone", out->zone, sizeof out->zone);
  copy_string(&reader, "owner", out->owner, sizeof out->owner);
  out->spot = fc_read_bool(&reader, "spot");
  out->count = (unsigned)fc_read_count(&reader, "count", 1, 50);
  return fc_reader_ok(&reader);
}

json_t *fc_archived_job_encode(const fc_archived_job *archived) {
  return json_pack("{si sb si}", "f", FORMAT, "done", (int)archived->done, "tasks", (int)archived->tasks_done);
}

bool fc_archived_job_decode(const json_t *v, fc_archived_job *out) {
  memset(out, 0, sizeof *out);
  fc_reader reader;
  start(&reader, v);
  out->done = fc_read_bool(&reader, "done");
  out->tasks_done = (uint32_t)fc_read_count(&reader, "tasks", 0, FC_TASKS_MAX);
  return fc_reader_ok(&reader);
}

json_t *fc_quota_record_encode(const fc_quota_record *quota, const fc_settings *settings) {
  json_t *shares = json_object();
  for (size_t m = 0; m < quota->member_count; m++) {
    json_t *teams = json_object();
    for (size_t t = 0; t < settings->team_count; t++) {
      if (settings->teams[t].cpus_max <= 0 && settings->teams[t].gpus_max <= 0) continue;
      json_object_set_new(teams, settings->teams[t].name, json_pack("[ff]", quota->cpus[m][t], quota->gpus[m][t]));
    }
    json_object_set_new(shares, quota->members[m], teams);
  }
  return json_pack("{si sI sb so}", "f", FORMAT, "term", (json_int_t)quota->term, "carried", (int)quota->carried,
                   "shares", shares);
}

bool fc_quota_record_decode(const json_t *v, const fc_settings *settings, fc_quota_record *out) {
  memset(out, 0, sizeof *out);
  fc_reader reader;
  start(&reader, v);
  out->term = fc_read_count(&reader, "term", 1, COUNT_MOST);
  out->carried = fc_read_bool_or(&reader, "carried", false);
  const json_t *shares = fc_read_object(&reader, "shares");
  if (!fc_reader_ok(&reader)) return false;
  const char *name;
  json_t *teams;
  json_object_foreach((json_t *)shares, name, teams) {
    if (out->member_count == FC_MEMBERS_MAX || strlen(name) >= sizeof out->members[0]) return false;
    size_t m = out->member_count++;
    g_strlcpy(out->members[m], name, sizeof out->members[m]);
    for (size_t t = 0; t < settings->team_count; t++) {
      const json_t *pair = json_object_get(teams, settings->teams[t].name);
      if (!pair) continue;
      if (json_array_size(pair) != 2) return false;
      out->cpus[m][t] = json_number_value(json_array_get(pair, 0));
      out->gpus[m][t] = json_number_value(json_array_get(pair, 1));
      if (!(out->cpus[m][t] >= 0 && out->gpus[m][t] >= 0)) return false;
    }
  }
  return true;
}
