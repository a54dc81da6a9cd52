#include "protocol/job_record.h"

#include <stdlib.h>
#include <string.h>

#define TIME_OF_DAY_MOST 1e11

static const char *const k_phases[] = {"accepted", "cancelled", "done"};

/* {"3":[term,members]}; NULL: there is nothing to say. */
static json_t *last_moves_encode(const fc_job_origin *origin, unsigned slices) {
  json_t *v = NULL;
  for (unsigned i = 0; i < slices; i++) {
    if (!(origin->moved >> i & 1) || !origin->last_move[i].term) continue;
    if (!v) v = json_object();
    char slice[16];
    g_snprintf(slice, sizeof slice, "%u", i);
    json_object_set_new(
        v, slice, json_pack("[II]", (json_int_t)origin->last_move[i].term, (json_int_t)origin->last_move[i].members));
  }
  return v;
}

static void read_last_moves(fc_reader *reader, fc_job_record *out) {
  const json_t *moves = json_object_get(reader->object, "lastMove");
  const char *slice;
  json_t *pair;
  json_object_foreach((json_t *)moves, slice, pair) {
    unsigned long i = strtoul(slice, NULL, 10);
    json_int_t term = json_integer_value(json_array_get(pair, 0));
    json_int_t members = json_integer_value(json_array_get(pair, 1));
    if (i >= out->slices || term <= 0 || members <= 0 || members > UINT32_MAX) {
      fc_reader_fail(reader, "lastMove", "not a hand-over of a slice of the job");
      return;
    }
    out->origin.last_move[i].term = (uint64_t)term;
    out->origin.last_move[i].members = (unsigned)members;
  }
}

/* {"2":"paddock-2"}; NULL: no slice was handed over. */
static json_t *handed_encode(const fc_job_record *record) {
  json_t *to = NULL;
  for (unsigned i = 0; i < record->slices; i++) {
    if (!record->handed[i]) continue;
    if (!to) to = json_object();
    char slice[16];
    g_snprintf(slice, sizeof slice, "%u", i);
    json_object_set_new(to, slice, json_string(record->handed[i]));
  }
  return to;
}

static void encode_origin(json_t *v, const fc_job_record *record) {
  const fc_job_origin *origin = &record->origin;
  if (origin->submitted_at > 0 && record->awaiting && record->phase == FC_PHASE_ACCEPTED)
    json_object_set_new(v, "submitted", json_real(origin->submitted_at));
  if (origin->term) json_object_set_new(v, "term", json_integer((json_int_t)origin->term));
  if (origin->moved) json_object_set_new(v, "moved", json_integer((json_int_t)origin->moved));
  json_t *moves = last_moves_encode(origin, record->slices);
  if (moves) json_object_set_new(v, "lastMove", moves);
  if (origin->unseen) json_object_set_new(v, "unseen", json_integer((json_int_t)origin->unseen));
}

static void encode_awaits(json_t *v, const fc_job_record *record) {
  char *awaits = fc_job_dependencies_text(record->spec.awaits);
  json_object_set_new(v, "awaits", json_string(awaits));
  g_free(awaits);
}

/* What the record says of the job itself: its description, or where that is. */
static json_t *encode_description(const fc_job_record *record) {
  bool awaiting = record->awaiting && record->phase == FC_PHASE_ACCEPTED;
  if (record->parts.count > 0)
    return json_pack("{si s[si] sb}", "f", FC_JOB_FORMAT_AWAITING, "parts", record->parts.digest,
                     (int)record->parts.count, "awaiting", (int)awaiting);
  json_t *v = json_pack("{si so}", "f", awaiting ? FC_JOB_FORMAT_AWAITING : FC_JOB_FORMAT_PLAIN, "spec",
                        fc_job_spec_encode(&record->spec));
  if (awaiting) encode_awaits(v, record);
  return v;
}

json_t *fc_job_record_encode(const fc_job_record *record) {
  json_t *v = encode_description(record);
  json_t *state = json_pack("{ss ss* si so*}", "phase", k_phases[record->phase], "done",
                            record->done && *record->done ? record->done : NULL, "slices", (int)record->slices, "to",
                            handed_encode(record));
  json_object_update(v, state);
  json_decref(state);
  encode_origin(v, record);
  return v;
}

static void read_handed(fc_reader *reader, fc_job_record *out) {
  const json_t *to = json_object_get(reader->object, "to");
  const char *slice;
  json_t *name;
  json_object_foreach((json_t *)to, slice, name) {
    unsigned long i = strtoul(slice, NULL, 10);
    if (i >= out->slices || !json_is_string(name)) {
      fc_reader_fail(reader, "to", "not a slice of the job");
      return;
    }
    g_free(out->handed[i]);
    out->handed[i] = g_strdup(json_string_value(name));
  }
}

static void read_parts(fc_reader *reader, fc_job_record *out) {
  const json_t *parts = fc_read_array(reader, "parts");
  const char *digest = json_string_value(json_array_get(parts, 0));
  json_int_t count = json_integer_value(json_array_get(parts, 1));
  if (!digest || strlen(digest) != FC_JOB_DIGEST_SIZE - 1 || count <= 0 || count > FC_JOB_PARTS_MAX) {
    fc_reader_fail(reader, "parts", "not a digest and a number of parts");
    return;
  }
  g_strlcpy(out->parts.digest, digest, sizeof out->parts.digest);
  out->parts.count = (unsigned)count;
  out->awaiting = fc_read_bool(reader, "awaiting");
}

static void read_description(fc_reader *reader, uint64_t format, fc_job_record *out) {
  if (format == FC_JOB_FORMAT_AWAITING && json_object_get(reader->object, "parts")) {
    read_parts(reader, out);
    return;
  }
  fc_reader spec;
  fc_reader_init(&spec, fc_read_object(reader, "spec"));
  if (fc_reader_ok(reader)) fc_job_spec_read(&spec, &out->spec);
  if (!fc_reader_ok(&spec)) fc_reader_fail(reader, "spec", "not a description");
  if (format != FC_JOB_FORMAT_AWAITING) return;
  fc_job_dependencies_read(reader, "awaits", &out->spec);
  out->awaiting = out->spec.awaits != NULL;
}

bool fc_job_record_decode(const json_t *v, fc_job_record *out) {
  memset(out, 0, sizeof *out);
  fc_reader reader;
  fc_reader_init(&reader, v);
  uint64_t format = fc_read_count(&reader, "f", FC_JOB_FORMAT_PLAIN, FC_JOB_FORMAT_AWAITING);
  if (!fc_reader_ok(&reader)) return false;
  out->phase = (fc_job_phase)fc_read_choice(&reader, "phase", k_phases, G_N_ELEMENTS(k_phases));
  const char *done = fc_read_string_or_null(&reader, "done", (size_t)FC_TASKS_MAX * 8);
  out->slices = (unsigned)fc_read_count_or(&reader, "slices", 1, FC_SLICES_MAX, 1);
  out->origin.term = fc_read_count_or(&reader, "term", 0, (uint64_t)INT64_MAX, 0);
  out->origin.moved = (unsigned)fc_read_count_or(&reader, "moved", 0, UINT32_MAX, 0);
  out->origin.unseen = (unsigned)fc_read_count_or(&reader, "unseen", 0, UINT32_MAX, 0);
  if (fc_reader_ok(&reader)) read_handed(&reader, out);
  if (fc_reader_ok(&reader)) read_last_moves(&reader, out);
  out->origin.submitted_at = fc_read_amount_or(&reader, "submitted", 0, TIME_OF_DAY_MOST, 0);
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
  for (unsigned i = 0; i < FC_SLICES_MAX; i++) g_free(record->handed[i]);
  memset(record, 0, sizeof *record);
}

char *fc_ranges_encode(const uint8_t *bits, uint32_t tasks) {
  GString *out = g_string_new(NULL);
  for (uint32_t i = 0; i < tasks; i++) {
    if (!(bits[i / 8] & (1u << (i % 8)))) continue;
    uint32_t last = i;
    while (last + 1 < tasks && (bits[(last + 1) / 8] & (1u << ((last + 1) % 8)))) last++;
    if (out->len) g_string_append_c(out, ',');
    g_string_append_printf(out, "%u", i);
    if (last > i) g_string_append_printf(out, "-%u", last);
    i = last;
  }
  return g_string_free(out, FALSE);
}

static bool read_number(const char **p, uint32_t *out) {
  if (!g_ascii_isdigit(**p)) return false;
  char *end = NULL;
  unsigned long v = strtoul(*p, &end, 10);
  if (v > FC_TASKS_MAX) return false;
  *p = end;
  *out = (uint32_t)v;
  return true;
}

bool fc_ranges_decode(const char *text, uint8_t *bits, uint32_t tasks) {
  const char *p = text;
  while (*p) {
    uint32_t first = 0, last = 0;
    if (!read_number(&p, &first)) return false;
    last = first;
    if (*p == '-') {
      p++;
      if (!read_number(&p, &last)) return false;
    }
    if (last < first || last >= tasks) return false;
    for (uint32_t i = first; i <= last; i++) bits[i / 8] |= (uint8_t)(1u << (i % 8));
    if (*p == ',') {
      p++;
      if (!*p) return false;
    } else if (*p) {
      return false;
    }
  }
  return true;
}
