/* Stored records and peer frames of the version that was in production before pipelines:
 * this version reads them, and writes the same bytes for the same content, so that both
 * can serve side by side. The bytes in fixtures/ were taken down from that version. */
#include "check.h"

#include <stdlib.h>

#include "protocol/frame.h"
#include "protocol/job_record.h"
#include "protocol/json.h"
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
    fc_phase phase;
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
    fc_job_record r;
    check_row(rows[i].name, fc_job_record_decode(v, &r));
    check_row(rows[i].name, r.phase == rows[i].phase && strcmp(r.spec.id, rows[i].id) == 0);
    check_row(rows[i].name, strcmp(r.done, rows[i].done) == 0 && r.slices == rows[i].slices);
    check_row(rows[i].name, r.origin.term == rows[i].term);
    writes_as(rows[i].name, fc_job_record_encode(&r));
    fc_job_record_clear(&r);
    json_decref(v);
  }
}

/* All that a record says of where its slices are, and of its tasks. */
static void a_job_in_full(void **state) {
  (void)state;
  json_t *v = stored("job moved");
  fc_job_record r;
  assert_true(fc_job_record_decode(v, &r));
  assert_string_equal(r.handed[2], "paddock-2");
  assert_string_equal(r.handed[7], "paddock-0");
  assert_null(r.handed[0]);
  assert_true(r.origin.moved == 0x84 && r.origin.unseen == 4);
  assert_true(r.origin.last_move[2].term == 9 && r.origin.last_move[2].members == 6);
  const fc_job_spec *s = &r.spec;
  assert_true(s->kind == FC_KIND_ARRAY && s->rank == FC_RANK_HIGH && s->tasks == 16 && s->gpus == 1.5);
  assert_string_equal(s->types[1], "g4");
  assert_string_equal(s->zone, "a");
  assert_true(s->deadline_s == 900 && s->checkpoint_s == 30 && s->spot && !s->one_zone);
  fc_job_record_clear(&r);
  json_decref(v);
}

static void other_records(void **state) {
  (void)state;
  fc_term term;
  json_t *v = stored("term");
  assert_true(fc_term_decode(v, &term));
  assert_true(term.number == 12 && term.count == 3 && term.members[2].boot == 30 && term.names_since == 3);
  writes_as("term", fc_term_encode(&term));
  json_decref(v);
  static const char *const machines[] = {"machine", "machine booting"};
  for (size_t i = 0; i < G_N_ELEMENTS(machines); i++) {
    fc_machine_record m;
    v = stored(machines[i]);
    assert_true(fc_machine_record_decode(v, &m));
    assert_string_equal(m.endpoint, i == 0 ? "10.1.0.2:9000" : "");
    writes_as(machines[i], fc_machine_record_encode(&m));
    json_decref(v);
  }
  fc_rental_record h;
  v = stored("rental");
  assert_true(fc_rental_record_decode(v, &h));
  assert_true(h.count == 50 && h.spot);
  writes_as("rental", fc_rental_record_encode(&h));
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
  fc_settings s = {.team_count = 2};
  s.teams[0] = (fc_team_settings){.name = "red"};
  s.teams[1] = (fc_team_settings){.name = "blue", .gpus_max = 16};
  fc_quota_record q;
  json_t *v = stored("quota");
  assert_true(fc_quota_record_decode(v, &s, &q));
  assert_true(q.term == 12 && q.carried && q.member_count == 2);
  assert_true(q.gpus[0][1] == 5.5 && q.gpus[1][1] == 10.25);
  writes_as("quota", fc_quota_record_encode(&q, &s));
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
  fc_view v;
  assert_true(fc_view_decode(b->data + FC_FRAME_HEAD, len, &v));
  assert_true(v.boot == 7 && v.term == 12 && v.seq == 11 && v.base == 10 && v.last && v.backlog == 3);
  assert_true(v.cancel_count == 1 && v.cancels[0].revision == 77);
  assert_true(v.machine_count == 2 && v.machines[0].task_count == 2 && v.machines[1].mute && v.machines[1].closed);
  assert_int_equal(v.machines[0].tasks[1].cause, FC_CAUSE_DONE);
  GByteArray *again = g_byte_array_new();
  fc_view_encode(again, &v);
  same_bytes(b, again);
  fc_view_clear(&v);
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
  assert_true(a.applied && a.told_all && a.promise_ms == 7000 && a.revision == 80 && a.fresh_ms == 60);
  assert_true(a.kept_count == 1 && a.kept[0].hears && a.asked_count == 1 && !a.asked[0].answered);
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
