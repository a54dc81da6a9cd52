#include "protocol/job_record.h"

#include <stdlib.h>
#include <string.h>

#define UNIX_TIME_MAX_S 1e11
/* Bytes: at most "99999," for each task, with a margin. */
#define DONE_LENGTH_MAX ((size_t)FC_TASKS_MAX * 8)

/* Fields of a job's record. */
#define FIELD_FORMAT "f"
#define FIELD_SPEC "spec"
#define FIELD_DEPENDENCIES "awaits"
#define FIELD_DESCRIPTION_REF "parts"
#define FIELD_AWAITING "awaiting"
#define FIELD_PHASE "phase"
#define FIELD_DONE "done"
#define FIELD_DONE_COUNT "doneCount"
#define FIELD_SLICES "slices"
#define FIELD_HANDED_TO "to"
#define FIELD_SUBMITTED "submitted"
#define FIELD_TERM "term"
#define FIELD_HANDED_OVER "moved"
#define FIELD_LAST_HANDOVER "lastMove"
#define FIELD_PARTLY_KNOWN "unseen"

static const char *const k_phases[] = {
    [FC_PHASE_ACCEPTED] = "accepted",
    [FC_PHASE_CANCELLED] = "cancelled",
    [FC_PHASE_DONE] = "done",
};

/* ---- objects whose keys are slice numbers ---- */

/* Sets a slice's value in *object, which is created if it is NULL. */
static void set_slice(json_t **object, unsigned slice, json_t *value) {
  if (!*object) *object = json_object();
  char number[16];
  g_snprintf(number, sizeof number, "%u", slice);
  json_object_set_new(*object, number, value);
}

typedef bool (*slice_reader)(const json_t *value, unsigned slice, fc_job_record *out);

static bool is_slice_number(const char *name) {
  return *name && name[strspn(name, "0123456789")] == '\0';
}

/* Calls `read` for each slice in the object `field`, if the record has that field; records `error` for a
 * slice that the job lacks or `read` rejects. */
static void read_slices(fc_reader *reader, const char *field, slice_reader read, fc_field_error error,
                        fc_job_record *out) {
  json_t *object = json_object_get(reader->object, field);
  const char *number;
  json_t *value;
  json_object_foreach(object, number, value) {
    if (!is_slice_number(number)) continue; /* an unknown field */
    unsigned long slice = strtoul(number, NULL, 10);
    if (slice < out->slices && read(value, (unsigned)slice, out)) continue;
    fc_reader_fail(reader, field, error);
    return;
  }
}

/* Encodes {"3":[term,members]}; NULL: no slice has a known last handover. */
static json_t *encode_last_handovers(const fc_job_origin *origin, unsigned slices) {
  json_t *handovers = NULL;
  for (unsigned i = 0; i < slices; i++) {
    if (!(origin->handed_over >> i & 1) || !origin->last_handover[i].term) continue;
    json_int_t term = (json_int_t)origin->last_handover[i].term;
    json_int_t members = (json_int_t)origin->last_handover[i].members;
    set_slice(&handovers, i, json_pack("[II]", term, members));
  }
  return handovers;
}

static bool read_last_handover(const json_t *value, unsigned slice, fc_job_record *out) {
  uint64_t term = fc_json_count_value(json_array_get(value, 0));
  uint64_t members = fc_json_count_value(json_array_get(value, 1));
  if (term == 0 || members == 0 || members > UINT32_MAX) return false;
  out->origin.last_handover[slice].term = term;
  out->origin.last_handover[slice].members = (unsigned)members;
  return true;
}

/* Encodes {"2":"paddock-2"}; NULL: no slice has been handed over. */
static json_t *encode_handed_to(const fc_job_record *record) {
  json_t *handed_to = NULL;
  for (unsigned i = 0; i < record->slices; i++)
    if (record->handed_to[i]) set_slice(&handed_to, i, json_string(record->handed_to[i]));
  return handed_to;
}

static bool read_handed_to(const json_t *value, unsigned slice, fc_job_record *out) {
  const char *name = fc_json_string(value);
  if (!name) return false;
  g_free(out->handed_to[slice]);
  out->handed_to[slice] = g_strdup(name);
  return true;
}

/* ---- encoding ---- */

static bool awaits_dependencies(const fc_job_record *record) {
  return record->awaiting && record->phase == FC_PHASE_ACCEPTED;
}

static void encode_origin(json_t *object, const fc_job_record *record) {
  const fc_job_origin *origin = &record->origin;
  if (origin->submitted_at > 0 && awaits_dependencies(record))
    json_object_set_new(object, FIELD_SUBMITTED, json_real(origin->submitted_at));
  if (origin->term) json_object_set_new(object, FIELD_TERM, json_integer((json_int_t)origin->term));
  if (origin->handed_over)
    json_object_set_new(object, FIELD_HANDED_OVER, json_integer((json_int_t)origin->handed_over));
  json_t *handovers = encode_last_handovers(origin, record->slices);
  if (handovers) json_object_set_new(object, FIELD_LAST_HANDOVER, handovers);
  if (origin->partly_known)
    json_object_set_new(object, FIELD_PARTLY_KNOWN, json_integer((json_int_t)origin->partly_known));
}

/* Encodes the job's description, or the reference to its parts. Older versions cannot read a
 * description in parts either, so a record that refers to parts always has the newer format. */
static json_t *encode_description(const fc_job_record *record) {
  bool awaiting = awaits_dependencies(record);
  if (record->parts.count > 0)
    return json_pack("{si s[si] sb}", FIELD_FORMAT, FC_JOB_FORMAT_AWAITING, FIELD_DESCRIPTION_REF, record->parts.digest,
                     (int)record->parts.count, FIELD_AWAITING, (int)awaiting);
  int format = awaiting ? FC_JOB_FORMAT_AWAITING : FC_JOB_FORMAT_PLAIN;
  json_t *object = json_pack("{si so}", FIELD_FORMAT, format, FIELD_SPEC, fc_job_spec_encode(&record->spec));
  if (awaiting) {
    g_autofree char *dependencies = fc_job_dependencies_text(record->spec.dependencies);
    json_object_set_new(object, FIELD_DEPENDENCIES, json_string(dependencies));
  }
  return object;
}

json_t *fc_job_record_encode(const fc_job_record *record) {
  json_t *object = encode_description(record);
  json_object_set_new(object, FIELD_PHASE, json_string(k_phases[record->phase]));
  if (record->done && *record->done) json_object_set_new(object, FIELD_DONE, json_string(record->done));
  if (record->done_count) json_object_set_new(object, FIELD_DONE_COUNT, json_integer(record->done_count));
  json_object_set_new(object, FIELD_SLICES, json_integer(record->slices));
  json_t *handed_to = encode_handed_to(record);
  if (handed_to) json_object_set_new(object, FIELD_HANDED_TO, handed_to);
  encode_origin(object, record);
  return object;
}

/* ---- decoding ---- */

static void read_description_ref(fc_reader *reader, fc_job_record *out) {
  const json_t *pair = fc_read_array(reader, FIELD_DESCRIPTION_REF);
  const char *digest = fc_json_string(json_array_get(pair, 0));
  uint64_t count = fc_json_count_value(json_array_get(pair, 1));
  if (!digest || strlen(digest) != FC_JOB_DIGEST_SIZE - 1 || count == 0 || count > FC_JOB_PARTS_MAX) {
    fc_reader_fail(reader, FIELD_DESCRIPTION_REF, FC_FIELD_NOT_DESCRIPTION_REF);
    return;
  }
  g_strlcpy(out->parts.digest, digest, sizeof out->parts.digest);
  out->parts.count = (unsigned)count;
  out->awaiting = fc_read_bool(reader, FIELD_AWAITING);
}

static void read_description(fc_reader *reader, uint64_t format, fc_job_record *out) {
  if (format == FC_JOB_FORMAT_AWAITING && json_object_get(reader->object, FIELD_DESCRIPTION_REF)) {
    read_description_ref(reader, out);
    return;
  }
  fc_reader spec_reader;
  fc_reader_init(&spec_reader, fc_read_object(reader, FIELD_SPEC));
  if (fc_reader_ok(reader)) fc_job_spec_read(&spec_reader, &out->spec);
  if (!fc_reader_ok(&spec_reader)) fc_reader_fail(reader, FIELD_SPEC, FC_FIELD_NOT_DESCRIPTION);
  if (format != FC_JOB_FORMAT_AWAITING) return;
  fc_job_dependencies_read(reader, FIELD_DEPENDENCIES, &out->spec);
  out->awaiting = out->spec.dependencies != NULL;
}

bool fc_job_record_decode(const json_t *value, fc_job_record *out) {
  memset(out, 0, sizeof *out);
  fc_reader reader;
  fc_reader_init(&reader, value);
  uint64_t format = fc_read_count(&reader, FIELD_FORMAT, FC_JOB_FORMAT_PLAIN, FC_JOB_FORMAT_AWAITING);
  if (!fc_reader_ok(&reader)) return false;
  out->phase = (fc_job_phase)fc_read_choice(&reader, FIELD_PHASE, k_phases, G_N_ELEMENTS(k_phases));
  const char *done = fc_read_string_or_null(&reader, FIELD_DONE, DONE_LENGTH_MAX);
  out->done_count = (uint32_t)fc_read_count_or(&reader, FIELD_DONE_COUNT, 0, FC_TASKS_MAX, 0);
  out->slices = (unsigned)fc_read_count_or(&reader, FIELD_SLICES, 1, FC_SLICES_MAX, 1);
  out->origin.term = fc_read_count_or(&reader, FIELD_TERM, 0, FC_COUNT_MAX, 0);
  out->origin.handed_over = (unsigned)fc_read_count_or(&reader, FIELD_HANDED_OVER, 0, UINT32_MAX, 0);
  out->origin.partly_known = (unsigned)fc_read_count_or(&reader, FIELD_PARTLY_KNOWN, 0, UINT32_MAX, 0);
  if (fc_reader_ok(&reader)) read_slices(&reader, FIELD_HANDED_TO, read_handed_to, FC_FIELD_NOT_SLICE, out);
  if (fc_reader_ok(&reader)) read_slices(&reader, FIELD_LAST_HANDOVER, read_last_handover, FC_FIELD_NOT_HANDOVER, out);
  out->origin.submitted_at = fc_read_amount_or(&reader, FIELD_SUBMITTED, 0, UNIX_TIME_MAX_S, 0);
  read_description(&reader, format, out);
  if (!fc_reader_ok(&reader)) {
    fc_job_record_clear(out);
    return false;
  }
  out->done = g_strdup(done ? done : "");
  return true;
}

void fc_job_record_clear(fc_job_record *record) {
  fc_job_spec_clear(&record->spec);
  g_free(record->done);
  for (unsigned i = 0; i < FC_SLICES_MAX; i++) g_free(record->handed_to[i]);
  memset(record, 0, sizeof *record);
}
