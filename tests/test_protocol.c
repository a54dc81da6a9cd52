/* Parsers of every interface, by tables. */
#include "check.h"

#include <math.h>

#include "protocol/job_record.h"
#include "protocol/json.h"
#include "protocol/peer_frame.h"
#include "protocol/records.h"
#include "protocol/routes.h"
#include "protocol/worker_api.h"

static const char k_good[] =
    "{\"id\":\"job-000412\",\"squad\":\"train\",\"club\":\"vision\",\"play\":\"gang\",\"rank\":\"high\",\"runs\":16,"
    "\"cpus\":8.0,\"gpus\":1.0,\"memGb\":64.0,\"kit\":\"img-07\",\"pullGb\":6.2,\"builds\":[\"g8\"],\"ground\":null,"
    "\"samePlace\":true,\"scatter\":false,\"loaners\":true,\"expectS\":240.0,\"markS\":30.0,\"stowS\":4.0,"
    "\"whistleS\":900.0,\"new\":[1]}";

/* The good submission with one part replaced. */
static char *with(const char *from, const char *to) {
  const char *at = strstr(k_good, from);
  assert_non_null(at);
  return g_strdup_printf("%.*s%s%s", (int)(at - k_good), k_good, to, at + strlen(from));
}

static void submissions(void **state) {
  (void)state;
  static const struct {
    const char *name, *from, *to;
    const char *error; /* start of the error; NULL: good */
  } rows[] = {
      {"as documented", "16", "16", NULL},
      {"null types", "[\"g8\"]", "null", NULL},
      {"null deadline", "900.0", "null", NULL},
      {"integer amount", "8.0", "8", NULL},
      {"most tasks", "\"runs\":16", "\"runs\":100000", NULL},
      {"no tasks", "\"runs\":16", "\"runs\":0", "runs"},
      {"too many tasks", "\"runs\":16", "\"runs\":100001", "runs"},
      {"fraction of a task", "\"runs\":16", "\"runs\":1.5", "runs"},
      {"tasks as text", "\"runs\":16", "\"runs\":\"16\"", "runs"},
      {"negative amount", "8.0", "-1.0", "cpus"},
      {"huge amount", "8.0", "1e300", "cpus"},
      {"not finite", "8.0", "1e999", "body: not JSON"},
      {"boolean as number", "true", "1", "samePlace"},
      {"null where it may not be", "true", "null", "samePlace"},
      {"unknown rank", "high", "higher", "rank"},
      {"unknown kind", "gang", "band", "play"},
      {"empty team", "vision", "", "club"},
      {"id of another form", "job-000412", "job-x00412", "id"},
      {"id too short", "job-000412", "job-412", "id"},
      {"id with a path", "job-000412", "job-000412/1", "id"},
      {"control character", "img-07", "img\\u0001", "kit"},
      {"types not a list", "[\"g8\"]", "\"g8\"", "builds"},
      {"no type in the list", "[\"g8\"]", "[]", "builds"},
      {"a type that is a number", "[\"g8\"]", "[8]", "builds"},
      {"cut off", ",\"new\":[1]}", "", "body: not JSON"},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    char *text = with(rows[i].from, rows[i].to);
    fc_job_spec spec;
    char error[200] = "";
    bool ok = fc_job_spec_parse(text, strlen(text), &spec, error, sizeof error);
    check_row(rows[i].name, ok == (rows[i].error == NULL));
    if (ok) {
      check_row(rows[i].name, strcmp(spec.id, "job-000412") == 0);
      fc_job_spec_clear(&spec);
    } else {
      check_row(rows[i].name, g_str_has_prefix(error, rows[i].error));
    }
    g_free(text);
  }
  static const char *const not_objects[] = {"", "[]", "3", "\"x\"", "null", "{}", "{\"id\":"};
  for (size_t i = 0; i < G_N_ELEMENTS(not_objects); i++) {
    fc_job_spec spec;
    char error[200];
    assert_false(fc_job_spec_parse(not_objects[i], strlen(not_objects[i]), &spec, error, sizeof error));
  }
}

/* jansson recurses; a routine's stack is small. */
static void deep_json_is_refused(void **state) {
  (void)state;
  GString *deep = g_string_new(NULL);
  for (int i = 0; i < 30000; i++) g_string_append_c(deep, '[');
  assert_null(fc_json_parse(deep->str, deep->len));
  g_string_free(deep, TRUE);
  json_t *v = fc_json_parse("[\"[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[\"]", 34);
  assert_non_null(v); /* brackets inside a text are no depth */
  json_decref(v);
}

static void job_records_round_trip(void **state) {
  (void)state;
  fc_job_spec spec;
  char error[200];
  assert_true(fc_job_spec_parse(k_good, strlen(k_good), &spec, error, sizeof error));
  const fc_job_record written = {.spec = spec,
                                 .origin = {.term = 6, .moved = 5, .last_move = {[2] = {9, 6}}},
                                 .phase = FC_PHASE_CANCELLED,
                                 .done = (char *)"0-3,7",
                                 .slices = 4,
                                 .handed = {[2] = (char *)"paddock-2"}};
  json_t *v = fc_job_record_encode(&written);
  fc_job_record record;
  assert_true(fc_job_record_decode(v, &record));
  assert_int_equal(record.phase, FC_PHASE_CANCELLED);
  assert_string_equal(record.done, "0-3,7");
  assert_int_equal(record.slices, 4);
  assert_string_equal(record.handed[2], "paddock-2");
  assert_null(record.handed[0]);
  assert_true(record.origin.term == 6 && record.origin.moved == 5);
  assert_true(record.origin.last_move[2].term == 9 && record.origin.last_move[2].members == 6);
  assert_true(record.origin.last_move[0].term == 0 && record.origin.last_move[0].members == 0);
  assert_int_equal(record.spec.tasks, 16);
  assert_true(record.spec.deadline_s == 900.0 && record.spec.zone == NULL && strcmp(record.spec.types[0], "g8") == 0);
  fc_job_record_clear(&record);
  json_t *moves = json_incref(json_object_get(v, "lastMove"));
  json_object_del(v, "lastMove"); /* written before there was such a field */
  assert_true(fc_job_record_decode(v, &record));
  assert_true(record.origin.moved == 5 && record.origin.last_move[2].term == 0 &&
              record.origin.last_move[2].members == 0);
  fc_job_record_clear(&record);
  json_object_set_new(moves, "4", json_pack("[ii]", 9, 6)); /* no slice of it */
  json_object_set_new(v, "lastMove", moves);
  assert_false(fc_job_record_decode(v, &record));
  json_object_del(v, "lastMove");
  json_object_set_new(v, "f", json_integer(2)); /* a format we don't know */
  assert_false(fc_job_record_decode(v, &record));
  json_decref(v);
  fc_job_spec_clear(&spec);
}

/* Only what nothing of it has to look at the rest for is split. */
static void arrays_are_split(void **state) {
  (void)state;
  static const struct {
    const char *name;
    fc_job_kind kind;
    uint32_t tasks;
    bool one_zone, spread;
    unsigned limit, slices;
  } rows[] = {
      {"an array", FC_JOB_ARRAY, 12, false, false, 16, 4},    {"up to the limit", FC_JOB_ARRAY, 12, false, false, 2, 2},
      {"too small", FC_JOB_ARRAY, 3, false, false, 16, 1},    {"all in one zone", FC_JOB_ARRAY, 12, true, false, 16, 1},
      {"scattered", FC_JOB_ARRAY, 12, false, true, 16, 1},    {"a gang", FC_JOB_GANG, 12, false, false, 16, 1},
      {"a service", FC_JOB_SERVICE, 12, false, false, 16, 1},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    const fc_job_spec spec = {
        .kind = rows[i].kind, .tasks = rows[i].tasks, .one_zone = rows[i].one_zone, .spread = rows[i].spread};
    check_row(rows[i].name, fc_job_slices(&spec, rows[i].limit) == rows[i].slices);
  }
}

static void ranges(void **state) {
  (void)state;
  static const struct {
    const char *text;
    bool good;
    const char *again;
  } rows[] = {
      {"", true, ""},           {"0", true, "0"},
      {"0-9", true, "0-9"},     {"1,2,3", true, "1-3"},
      {"0-3,7", true, "0-3,7"}, {"9,1", true, "1,9"},
      {"10", false, NULL},      {"0-10", false, NULL},
      {"3-1", false, NULL},     {"1,", false, NULL},
      {"-1", false, NULL},      {"1-", false, NULL},
      {"a", false, NULL},       {"99999999999", false, NULL},
      {"1 2", false, NULL},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    uint8_t bits[2] = {0, 0};
    bool ok = fc_ranges_decode(rows[i].text, bits, 10);
    check_row(rows[i].text, ok == rows[i].good);
    if (!ok) continue;
    char *again = fc_ranges_encode(bits, 10);
    check_row(rows[i].text, strcmp(again, rows[i].again) == 0);
    g_free(again);
  }
}

static void worker_reports(void **state) {
  (void)state;
  static const struct {
    const char *name, *text;
    bool good;
  } rows[] = {
      {"documented",
       "{\"paddock\":\"vm-1\",\"endpoint\":\"10.1.0.2:9000\",\"build\":\"g8\",\"ground\":\"a\",\"loaners\":true,"
       "\"stint\":1,\"tally\":88,\"captaincy\":41,\"recallS\":null,\"runs\":[{\"run\":\"job-000412/3\",\"kickoff\":2,"
       "\"status\":\"exited\",\"cause\":\"stopped\",\"saved\":true}]}",
       true},
      {"no tasks field",
       "{\"paddock\":\"vm-1\",\"endpoint\":\"10.1.0.2:9000\",\"build\":\"g8\",\"ground\":\"a\",\"stint\":1,\"tally\":1,"
       "\"captaincy\":0}",
       false},
      {"task without a number",
       "{\"paddock\":\"vm-1\",\"endpoint\":\"x\",\"build\":\"g8\",\"ground\":\"a\",\"stint\":1,\"tally\":1,"
       "\"captaincy\":0,\"runs\":[{\"run\":\"job-000412\",\"kickoff\":2,\"status\":\"running\"}]}",
       false},
      {"unknown state",
       "{\"paddock\":\"vm-1\",\"endpoint\":\"x\",\"build\":\"g8\",\"ground\":\"a\",\"stint\":1,\"tally\":1,"
       "\"captaincy\":0,\"runs\":[{\"run\":\"job-000412/1\",\"kickoff\":2,\"status\":\"flying\"}]}",
       false},
      {"negative token",
       "{\"paddock\":\"vm-1\",\"endpoint\":\"x\",\"build\":\"g8\",\"ground\":\"a\",\"stint\":1,\"tally\":1,"
       "\"captaincy\":-1,\"runs\":[]}",
       false},
      {"not JSON", "report", false},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    fc_heartbeat heartbeat;
    char error[200];
    bool ok = fc_heartbeat_parse(rows[i].text, strlen(rows[i].text), &heartbeat, error, sizeof error);
    check_row(rows[i].name, ok == rows[i].good);
    if (!ok) continue;
    check_row(rows[i].name, heartbeat.task_count == 1 && heartbeat.tasks[0].index == 3 && heartbeat.tasks[0].saved &&
                                heartbeat.spot_notice_s < 0);
    fc_heartbeat_clear(&heartbeat);
  }
}

/* Reports with many tasks: read in full up to the bound, refused whole beyond. */
static void large_reports(void **state) {
  (void)state;
  static const struct {
    unsigned tasks;
    bool read;
  } rows[] = {{0, true}, {900, true}, {4096, true}, {4097, false}};
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    GString *s = g_string_new(
        "{\"paddock\":\"vm-1\",\"endpoint\":\"10.1.0.2:9000\",\"build\":\"g4\",\"ground\":\"a\",\"loaners\":false,"
        "\"stint\":1,\"tally\":1,\"captaincy\":1,\"runs\":[");
    for (unsigned k = 0; k < rows[i].tasks; k++)
      g_string_append_printf(s, "%s{\"run\":\"job-000001/%u\",\"kickoff\":1,\"status\":\"running\"}", k ? "," : "", k);
    g_string_append(s, "]}");
    fc_heartbeat heartbeat;
    char error[200] = "";
    bool ok = fc_heartbeat_parse(s->str, s->len, &heartbeat, error, sizeof error);
    check_row("large report", ok == rows[i].read);
    check_row("large report", ok ? heartbeat.task_count == rows[i].tasks : strstr(error, "runs") != NULL);
    if (ok) fc_heartbeat_clear(&heartbeat);
    g_string_free(s, TRUE);
  }
}

static void frames(void **state) {
  (void)state;
  fc_frame_task task = {.job = "job-000412", .index = 3, .attempt = 7, .state = FC_TASK_RUNNING};
  fc_frame_machine machine = {.id = "vm-1", .reconciled = true, .tasks = &task, .task_count = 1};
  fc_frame_cancellation cancels[] = {{"job-000411", 77, 1500}, {"job-000410", 78, 0}};
  fc_view view = {.sender = "paddock-1",
                  .incarnation = 5,
                  .term = 9,
                  .sequence = 11,
                  .revision = 76,
                  .cancellations = cancels,
                  .cancellation_count = 2,
                  .machines = &machine,
                  .machine_count = 1};
  GByteArray *b = g_byte_array_new();
  fc_view_encode(b, &view);
  fc_frame_type type;
  uint32_t len;
  assert_true(fc_frame_head(b->data, &type, &len));
  assert_int_equal(len, b->len - FC_FRAME_HEAD);
  fc_view out;
  assert_true(fc_view_decode(b->data + FC_FRAME_HEAD, len, &out));
  assert_string_equal(out.machines[0].tasks[0].job, "job-000412");
  assert_true(out.machines[0].reconciled && !out.machines[0].cordoned && out.term == 9);
  assert_int_equal(out.revision, 76);
  assert_int_equal(out.cancellation_count, 2);
  assert_string_equal(out.cancellations[1].job, "job-000410");
  assert_true(out.cancellations[0].revision == 77 && out.cancellations[0].age_ms == 1500);
  fc_view_clear(&out);
  /* A length at the bound is one of ours, one over is not. */
  uint8_t head[FC_FRAME_HEAD];
  memcpy(head, b->data, sizeof head);
  for (int over = -1; over <= 1; over++) {
    guint32 n = GUINT32_TO_BE(FC_FRAME_MAX + (guint32)over);
    uint32_t read;
    memcpy(head + 4, &n, 4);
    assert_int_equal(fc_frame_head(head, &type, &read), over <= 0);
  }
  /* Every shorter copy, and one that is too long, is refused without harm. */
  for (uint32_t n = 0; n < len; n++) {
    uint8_t *copy = g_memdup2(b->data + FC_FRAME_HEAD, n ? n : 1);
    assert_false(fc_view_decode(copy, n, &out));
    g_free(copy);
  }
  g_byte_array_append(b, (const guint8 *)"x", 1);
  assert_false(fc_view_decode(b->data + FC_FRAME_HEAD, len + 1, &out));
  b->data[2] = FC_FRAME_VERSION + 1;
  assert_false(fc_frame_head(b->data, &type, &len));
  g_byte_array_free(b, TRUE);
}

/* An acknowledgement, cut short at every byte, one too long, and with more cancellations
 * than a frame may pass on. */
static void acknowledgements(void **state) {
  (void)state;
  fc_frame_cancellation *cancels = g_new0(fc_frame_cancellation, FC_FRAME_CANCELLATIONS_MAX + 1);
  for (size_t i = 0; i <= FC_FRAME_CANCELLATIONS_MAX; i++) g_snprintf(cancels[i].job, sizeof cancels[i].job, "j%zu", i);
  fc_frame_lease_renewal kept = {.machine = "vm-1", .age_ms = 5, .bidirectional = true, .epoch = 2, .sequence = 9};
  fc_frame_probe asked[] = {{"vm-2", 7, true}, {"vm-3", 1500, false}};
  static const struct {
    const char *name;
    size_t cancels;
    bool read;
  } rows[] = {{"none", 0, true},
              {"two", 2, true},
              {"at the bound", FC_FRAME_CANCELLATIONS_MAX, true},
              {"over it", FC_FRAME_CANCELLATIONS_MAX + 1, false}};
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    fc_ack a = {.sender = "paddock-1",
                .incarnation = 5,
                .term = 9,
                .sequence = 11,
                .applied = true,
                .cancellations_complete = true};
    a.revision = 80;
    a.cancellations = cancels;
    a.cancellation_count = rows[i].cancels;
    a.renewals = &kept;
    a.renewal_count = 1;
    a.probes = asked;
    a.probe_count = G_N_ELEMENTS(asked);
    GByteArray *b = g_byte_array_new();
    fc_ack_encode(b, &a);
    const uint8_t *p = b->data + FC_FRAME_HEAD;
    uint32_t len = b->len - FC_FRAME_HEAD;
    fc_ack out;
    check_row(rows[i].name, fc_ack_decode(p, len, &out) == rows[i].read);
    if (rows[i].read) {
      check_row(rows[i].name,
                out.cancellations_complete && out.revision == 80 && out.cancellation_count == rows[i].cancels);
      check_row(rows[i].name, out.renewal_count == 1 && strcmp(out.renewals[0].machine, "vm-1") == 0);
      check_row(rows[i].name, out.probe_count == 2 && strcmp(out.probes[1].machine, "vm-3") == 0);
      check_row(rows[i].name, out.probes[0].answered && out.probes[0].age_ms == 7);
      check_row(rows[i].name, !out.probes[1].answered && out.probes[1].age_ms == 1500);
      fc_ack_clear(&out);
    }
    for (uint32_t n = 0; n < MIN(len, 200); n++) {
      uint8_t *copy = g_memdup2(p, n ? n : 1);
      check_row(rows[i].name, !fc_ack_decode(copy, n, &out));
      g_free(copy);
    }
    g_byte_array_append(b, (const guint8 *)"x", 1);
    check_row(rows[i].name, !fc_ack_decode(b->data + FC_FRAME_HEAD, len + 1, &out));
    g_byte_array_free(b, TRUE);
  }
  g_free(cancels);
}

static void terms_round_trip(void **state) {
  (void)state;
  fc_term t = {.number = 3, .seed = 77, .names_since = 2, .members = {{"a", 1}, {"b", 9}}, .count = 2}, out;
  json_t *v = fc_term_encode(&t);
  assert_true(fc_term_decode(v, &out));
  assert_int_equal(out.count, 2);
  assert_int_equal(out.names_since, 2);
  assert_int_equal(fc_term_find(&out, "b"), 1);
  assert_int_equal(fc_term_find(&out, "c"), -1);
  json_object_del(v, "since"); /* as records were before: not known, so only since now */
  assert_true(fc_term_decode(v, &out));
  assert_int_equal(out.names_since, 3);
  json_object_set_new(v, "term", json_integer(0));
  assert_false(fc_term_decode(v, &out));
  json_decref(v);
}

static void routes(void **state) {
  (void)state;
  static const struct {
    const char *method, *path;
    fc_route route;
    const char *id; /* or the allowed method */
  } rows[] = {
      {"POST", "/api/jobs", FC_ROUTE_SUBMIT, NULL},
      {"GET", "/api/jobs", FC_ROUTE_WRONG_METHOD, "POST"},
      {"GET", "/api/jobs/job-000001", FC_ROUTE_POLL, "job-000001"},
      {"DELETE", "/api/jobs/job-000001", FC_ROUTE_WRONG_METHOD, "GET"},
      {"POST", "/api/jobs/job-000001/withdraw", FC_ROUTE_CANCEL, "job-000001"},
      {"GET", "/api/jobs/job-000001/withdraw", FC_ROUTE_WRONG_METHOD, "POST"},
      {"POST", "/api/jobs/job-000001/other", FC_ROUTE_NONE, NULL},
      {"GET", "/api/jobs/", FC_ROUTE_NONE, NULL},
      {"POST", "/checkin", FC_ROUTE_HEARTBEAT, NULL},
      {"GET", "/ready", FC_ROUTE_READY, NULL},
      {"GET", "/", FC_ROUTE_NONE, NULL},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    char id[FC_ROUTE_ID_MAX] = "";
    const char *allow = NULL;
    check_row(rows[i].path, fc_route_of(rows[i].method, rows[i].path, id, &allow) == rows[i].route);
    if (rows[i].id) check_row(rows[i].path, strcmp(allow ? allow : id, rows[i].id) == 0);
  }
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(submissions),
      cmocka_unit_test(deep_json_is_refused),
      cmocka_unit_test(job_records_round_trip),
      cmocka_unit_test(arrays_are_split),
      cmocka_unit_test(ranges),
      cmocka_unit_test(worker_reports),
      cmocka_unit_test(large_reports),
      cmocka_unit_test(frames),
      cmocka_unit_test(terms_round_trip),
      cmocka_unit_test(routes),
      cmocka_unit_test(acknowledgements),
  };
  return cmocka_run_group_tests(tests, NULL, NULL);
}
