/* Stored records and peer frames of the version that was in production before pipelines:
 * this version reads them, and writes the same bytes for the same content, so that both
 * can serve side by side. The bytes in fixtures/ were taken down from that version. */
#include "check.h"

#include <stdlib.h>

#include "protocol/job_record.h"
#include "protocol/json.h"
#include "protocol/peer_frame.h"
#include "protocol/records.h"

#define FIXTURES "version-0275842.txt"

/* The bytes of the named fixture as text; the caller frees them. */
static char *fixture(const char *name) {
  char *path = g_build_filename(FIXTURES_DIR, FIXTURES, NULL), *text = NULL;
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

static json_t *stored(const char *name) {
  char *text = fixture(name);
  json_t *v = fc_json_parse(text, strlen(text));
  assert_non_null(v);
  g_free(text);
  return v;
}

/* Takes the reference. */
static void writes_as(const char *name, json_t *value) {
  char *expected = fixture(name);
  GString *written = g_string_new(NULL);
  fc_json_append(written, value);
  assert_string_equal(written->str, expected);
  g_string_free(written, TRUE);
  g_free(expected);
}

static void jobs(void **state) {
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
    json_t *v = stored(rows[i].name);
    fc_job_record record;
    check_row(rows[i].name, fc_job_record_decode(v, &record));
    check_row(rows[i].name, record.phase == rows[i].phase && strcmp(record.spec.id, rows[i].id) == 0);
    check_row(rows[i].name, strcmp(record.done, rows[i].done) == 0 && record.slices == rows[i].slices);
    check_row(rows[i].name, record.origin.term == rows[i].term);
    writes_as(rows[i].name, fc_job_record_encode(&record));
    fc_job_record_clear(&record);
    json_decref(v);
  }
}

/* All that a record says of where its slices are, and of its tasks. */
static void a_job_in_full(void **state) {
  (void)state;
  json_t *v = stored("job moved");
  fc_job_record record;
  assert_true(fc_job_record_decode(v, &record));
  assert_string_equal(record.handed_to[2], "paddock-2");
  assert_string_equal(record.handed_to[7], "paddock-0");
  assert_null(record.handed_to[0]);
  assert_true(record.origin.transferred == 0x84 && record.origin.partly_known == 4);
  assert_true(record.origin.last_transfer[2].term == 9 && record.origin.last_transfer[2].members == 6);
  const fc_job_spec *spec = &record.spec;
  assert_true(spec->kind == FC_JOB_ARRAY && spec->priority == FC_PRIORITY_HIGH && spec->tasks == 16 &&
              spec->gpus == 1.5);
  assert_string_equal(spec->types[1], "g4");
  assert_string_equal(spec->zone, "a");
  assert_true(spec->deadline_s == 900 && spec->checkpoint_s == 30 && spec->spot && !spec->one_zone);
  fc_job_record_clear(&record);
  json_decref(v);
}

static void other_records(void **state) {
  (void)state;
  fc_term term;
  json_t *v = stored("term");
  assert_true(fc_term_decode(v, &term));
  assert_true(term.number == 12 && term.count == 3 && term.members[2].incarnation == 30 && term.names_since == 3);
  writes_as("term", fc_term_encode(&term));
  json_decref(v);
  static const char *const machines[] = {"machine", "machine booting"};
  for (size_t i = 0; i < G_N_ELEMENTS(machines); i++) {
    fc_machine_record record;
    v = stored(machines[i]);
    assert_true(fc_machine_record_decode(v, &record));
    assert_string_equal(record.endpoint, i == 0 ? "10.1.0.2:9000" : "");
    writes_as(machines[i], fc_machine_record_encode(&record));
    json_decref(v);
  }
  fc_rental_record rental;
  v = stored("rental");
  assert_true(fc_rental_record_decode(v, &rental));
  assert_true(rental.count == 50 && rental.spot);
  writes_as("rental", fc_rental_record_encode(&rental));
  json_decref(v);
  static const char *const archived[] = {"archived done", "archived cancelled"};
  for (size_t i = 0; i < G_N_ELEMENTS(archived); i++) {
    fc_archived_job a;
    v = stored(archived[i]);
    assert_true(fc_archived_job_decode(v, &a));
    assert_int_equal(a.done, i == 0);
    writes_as(archived[i], fc_archived_job_encode(&a));
    json_decref(v);
  }
  writes_as("mark", fc_mark_encode());
}

static void shares_of_limits(void **state) {
  (void)state;
  fc_settings settings = {.team_count = 2};
  settings.teams[0] = (fc_team_settings){.name = "red"};
  settings.teams[1] = (fc_team_settings){.name = "blue", .gpus_max = 16};
  fc_quota_record quota;
  json_t *v = stored("quota");
  assert_true(fc_quota_record_decode(v, &settings, &quota));
  assert_true(quota.term == 12 && quota.carried && quota.member_count == 2);
  assert_true(quota.gpus[0][1] == 5.5 && quota.gpus[1][1] == 10.25);
  writes_as("quota", fc_quota_record_encode(&quota, &settings));
  json_decref(v);
}

static GByteArray *frame(const char *name) {
  char *hex = fixture(name);
  GByteArray *b = g_byte_array_new();
  for (const char *p = hex; *p; p += 2) {
    char two[] = {p[0], p[1], '\0'};
    guint8 byte = (guint8)strtoul(two, NULL, 16);
    g_byte_array_append(b, &byte, 1);
  }
  g_free(hex);
  return b;
}

static void same_bytes(const GByteArray *expected, GByteArray *written) {
  assert_int_equal(written->len, expected->len);
  assert_memory_equal(written->data, expected->data, expected->len);
  g_byte_array_free(written, TRUE);
}

static void views(void **state) {
  (void)state;
  GByteArray *b = frame("view");
  fc_frame_type type;
  uint32_t len;
  assert_true(fc_frame_head(b->data, &type, &len));
  assert_true(type == FC_FRAME_VIEW && len == b->len - FC_FRAME_HEAD);
  fc_view view;
  assert_true(fc_view_decode(b->data + FC_FRAME_HEAD, len, &view));
  assert_true(view.incarnation == 7 && view.term == 12 && view.sequence == 11 && view.base == 10 && view.last &&
              view.backlog == 3);
  assert_true(view.cancellation_count == 1 && view.cancellations[0].revision == 77);
  assert_true(view.machine_count == 2 && view.machines[0].task_count == 2 && view.machines[1].unreachable &&
              view.machines[1].cordoned);
  assert_int_equal(view.machines[0].tasks[1].cause, FC_CAUSE_DONE);
  GByteArray *again = g_byte_array_new();
  fc_view_encode(again, &view);
  same_bytes(b, again);
  fc_view_clear(&view);
  g_byte_array_free(b, TRUE);
}

static void acknowledgements(void **state) {
  (void)state;
  GByteArray *b = frame("ack");
  fc_frame_type type;
  uint32_t len;
  assert_true(fc_frame_head(b->data, &type, &len));
  assert_int_equal(type, FC_FRAME_ACK);
  fc_ack a;
  assert_true(fc_ack_decode(b->data + FC_FRAME_HEAD, len, &a));
  assert_true(a.applied && a.cancellations_complete && a.grant_ms == 7000 && a.revision == 80 &&
              a.kv_read_age_ms == 60);
  assert_true(a.renewal_count == 1 && a.renewals[0].bidirectional && a.probe_count == 1 && !a.probes[0].answered);
  GByteArray *again = g_byte_array_new();
  fc_ack_encode(again, &a);
  same_bytes(b, again);
  fc_ack_clear(&a);
  g_byte_array_free(b, TRUE);
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(jobs),  cmocka_unit_test(a_job_in_full),    cmocka_unit_test(other_records),
      cmocka_unit_test(views), cmocka_unit_test(shares_of_limits), cmocka_unit_test(acknowledgements),
  };
  return cmocka_run_group_tests(tests, NULL, NULL);
}
