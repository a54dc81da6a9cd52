/* Compatibility with the version that was in production before job dependencies existed: this version
 * reads its stored records and peer frames, and writes the same bytes for the same content, so that
 * both can run side by side during an upgrade. The bytes in fixtures/ were recorded from that version. */
#include "check.h"

#include <stdlib.h>

#include "protocol/job_record.h"
#include "protocol/json.h"
#include "protocol/peer_frame.h"
#include "protocol/records.h"

#define FIXTURE_FILE "version-0275842.txt"

/* Returns the text of the named fixture; the caller frees it. */
static char *read_fixture(const char *name) {
  char *path = g_build_filename(FIXTURES_DIR, FIXTURE_FILE, NULL), *text = NULL;
  assert_true(g_file_get_contents(path, &text, NULL, NULL));
  char **lines = g_strsplit(text, "\n", -1), *found = NULL;
  size_t len = strlen(name);
  for (char **line = lines; *line && !found; line++)
    if (g_str_has_prefix(*line, name) && (*line)[len] == '|') found = g_strdup(*line + len + 1);
  if (!found) fail_msg("no fixture %s", name);
  g_strfreev(lines);
  g_free(text);
  g_free(path);
  return found;
}

static json_t *load_record(const char *name) {
  char *text = read_fixture(name);
  json_t *value = fc_json_parse(text, strlen(text), NULL);
  assert_non_null(value);
  g_free(text);
  return value;
}

/* The value's encoding equals the fixture. Takes the reference. */
static void assert_encodes_as(const char *name, json_t *value) {
  char *expected = read_fixture(name);
  GString *written = g_string_new(NULL);
  fc_json_append(written, value);
  assert_string_equal(written->str, expected);
  g_string_free(written, TRUE);
  g_free(expected);
}

static void job_records(void **state) {
  (void)state;
  static const struct {
    const char *name;
    fc_job_phase phase;
    const char *id, *done;
    unsigned slices;
    uint64_t term;
  } rows[] = {
      {"job moved", FC_PHASE_ACCEPTED, "job-000412", "0-3,7", 8, 6},
      {"job new", FC_PHASE_ACCEPTED, "job-000413", "", 1, 3},
      {"job cancelled", FC_PHASE_CANCELLED, "job-000413", "", 1, 3},
      {"job done", FC_PHASE_DONE, "job-000412", "0-15", 8, 6},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    json_t *value = load_record(rows[i].name);
    fc_job_record record;
    check_row(rows[i].name, fc_job_record_decode(value, &record));
    check_row(rows[i].name, record.phase == rows[i].phase && strcmp(record.spec.id, rows[i].id) == 0);
    check_row(rows[i].name, strcmp(record.done, rows[i].done) == 0 && record.slices == rows[i].slices);
    check_row(rows[i].name, record.origin.term == rows[i].term);
    assert_encodes_as(rows[i].name, fc_job_record_encode(&record));
    fc_job_record_clear(&record);
    json_decref(value);
  }
}

/* Checks the handovers of slices and the description in a record. */
static void fields_of_a_job_record(void **state) {
  (void)state;
  json_t *value = load_record("job moved");
  fc_job_record record;
  assert_true(fc_job_record_decode(value, &record));
  assert_string_equal(record.handed_to[2], "paddock-2");
  assert_string_equal(record.handed_to[7], "paddock-0");
  assert_null(record.handed_to[0]);
  assert_true(record.origin.handed_over == 0x84 && record.origin.partly_known == 4);
  assert_true(record.origin.last_handover[2].term == 9 && record.origin.last_handover[2].members == 6);
  const fc_job_spec *spec = &record.spec;
  assert_true(spec->kind == FC_JOB_ARRAY && spec->priority == FC_PRIORITY_HIGH && spec->tasks == 16 &&
              spec->gpus == 1.5);
  assert_string_equal(spec->types[1], "g4");
  assert_string_equal(spec->zone, "a");
  assert_true(spec->deadline_s == 900 && spec->checkpoint_s == 30 && spec->spot && !spec->one_zone);
  fc_job_record_clear(&record);
  json_decref(value);
}

static void other_records(void **state) {
  (void)state;
  fc_term term;
  json_t *value = load_record("term");
  assert_true(fc_term_decode(value, &term));
  assert_true(term.number == 12 && term.count == 3 && term.members[2].incarnation == 30 && term.names_since == 3);
  assert_encodes_as("term", fc_term_encode(&term));
  json_decref(value);
  static const char *const machines[] = {"machine", "machine booting"};
  for (size_t i = 0; i < G_N_ELEMENTS(machines); i++) {
    fc_machine_record record;
    value = load_record(machines[i]);
    assert_true(fc_machine_record_decode(value, &record));
    assert_string_equal(record.endpoint, i == 0 ? "10.1.0.2:9000" : "");
    assert_encodes_as(machines[i], fc_machine_record_encode(&record));
    json_decref(value);
  }
  fc_rental_record rental;
  value = load_record("rental");
  assert_true(fc_rental_record_decode(value, &rental));
  assert_true(rental.count == 50 && rental.spot);
  assert_encodes_as("rental", fc_rental_record_encode(&rental));
  json_decref(value);
  static const char *const archived[] = {"archived done", "archived cancelled"};
  for (size_t i = 0; i < G_N_ELEMENTS(archived); i++) {
    fc_archived_job job;
    value = load_record(archived[i]);
    assert_true(fc_archived_job_decode(value, &job));
    assert_int_equal(job.done, i == 0);
    assert_encodes_as(archived[i], fc_archived_job_encode(&job));
    json_decref(value);
  }
  assert_encodes_as("mark", fc_marker_encode());
}

static void quota_shares(void **state) {
  (void)state;
  fc_settings settings = {.team_count = 2};
  settings.teams[0] = (fc_team_settings){.name = "red"};
  settings.teams[1] = (fc_team_settings){.name = "blue", .gpus_max = 16};
  fc_quota_record quota;
  json_t *value = load_record("quota");
  assert_true(fc_quota_record_decode(value, &settings, &quota));
  assert_true(quota.term == 12 && quota.carried && quota.member_count == 2);
  assert_true(quota.gpus[0][1] == 5.5 && quota.gpus[1][1] == 10.25);
  assert_encodes_as("quota", fc_quota_record_encode(&quota, &settings));
  json_decref(value);
}

static GByteArray *load_frame(const char *name) {
  char *hex = read_fixture(name);
  GByteArray *bytes = g_byte_array_new();
  for (const char *p = hex; *p; p += 2) {
    char digits[] = {p[0], p[1], '\0'};
    guint8 byte = (guint8)strtoul(digits, NULL, 16);
    g_byte_array_append(bytes, &byte, 1);
  }
  g_free(hex);
  return bytes;
}

static void assert_same_bytes(const GByteArray *expected, GByteArray *written) {
  assert_int_equal(written->len, expected->len);
  assert_memory_equal(written->data, expected->data, expected->len);
  g_byte_array_free(written, TRUE);
}

static void views(void **state) {
  (void)state;
  GByteArray *bytes = load_frame("view");
  fc_frame_type type;
  uint32_t len;
  assert_true(fc_frame_head_decode(bytes->data, &type, &len));
  assert_true(type == FC_FRAME_VIEW && len == bytes->len - FC_FRAME_HEAD_BYTES);
  fc_view view;
  assert_true(fc_view_decode(bytes->data + FC_FRAME_HEAD_BYTES, len, &view));
  assert_true(view.incarnation == 7 && view.term == 12 && view.sequence == 11 && view.base == 10 && view.last &&
              view.backlog == 3);
  assert_true(view.cancellation_count == 1 && view.cancellations[0].revision == 77);
  assert_true(view.machine_count == 2 && view.machines[0].task_count == 2 && view.machines[1].unreachable &&
              view.machines[1].cordoned);
  assert_int_equal(view.machines[0].tasks[1].cause, FC_CAUSE_DONE);
  GByteArray *encoded = g_byte_array_new();
  fc_view_encode(encoded, &view);
  assert_same_bytes(bytes, encoded);
  fc_view_clear(&view);
  g_byte_array_free(bytes, TRUE);
}

static void acknowledgements(void **state) {
  (void)state;
  GByteArray *bytes = load_frame("ack");
  fc_frame_type type;
  uint32_t len;
  assert_true(fc_frame_head_decode(bytes->data, &type, &len));
  assert_int_equal(type, FC_FRAME_ACK);
  fc_ack ack;
  assert_true(fc_ack_decode(bytes->data + FC_FRAME_HEAD_BYTES, len, &ack));
  assert_true(ack.applied && ack.cancellations_complete && ack.grant_ms == 7000 && ack.revision == 80 &&
              ack.kv_read_age_ms == 60);
  assert_true(ack.renewal_count == 1 && ack.renewals[0].bidirectional && ack.probe_count == 1 &&
              !ack.probes[0].answered);
  GByteArray *encoded = g_byte_array_new();
  fc_ack_encode(encoded, &ack);
  assert_same_bytes(bytes, encoded);
  fc_ack_clear(&ack);
  g_byte_array_free(bytes, TRUE);
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(job_records), cmocka_unit_test(fields_of_a_job_record), cmocka_unit_test(other_records),
      cmocka_unit_test(views),       cmocka_unit_test(quota_shares),           cmocka_unit_test(acknowledgements),
  };
  return cmocka_run_group_tests(tests, NULL, NULL);
}
