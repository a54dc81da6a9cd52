/* Jobs: validation of submissions, number of slices, task ranges, and round trips of job records. */
#include "check.h"

#include "protocol/job.h"
#include "protocol/job_record.h"

static const char k_submission[] =
    "{\"id\":\"job-000412\",\"squad\":\"train\",\"club\":\"vision\",\"play\":\"gang\",\"rank\":\"high\",\"runs\":16,"
    "\"cpus\":8.0,\"gpus\":1.0,\"memGb\":64.0,\"kit\":\"img-07\",\"pullGb\":6.2,\"builds\":[\"g8\"],\"ground\":null,"
    "\"samePlace\":true,\"scatter\":false,\"loaners\":true,\"expectS\":240.0,\"markS\":30.0,\"stowS\":4.0,"
    "\"whistleS\":900.0,\"new\":[1]}";

/* The valid submission with one part replaced. */
static char *submission_with(const char *part, const char *replacement) {
  const char *at = strstr(k_submission, part);
  assert_non_null(at);
  return g_strdup_printf("%.*s%s%s", (int)(at - k_submission), k_submission, replacement, at + strlen(part));
}

/* The valid submission with a change, and what is expected of it. */
typedef struct submission_row {
  const char *name, *part, *replacement;
  const char *error; /* prefix of the error text; NULL: accepted */
} submission_row;

static void check_submission(const submission_row *row) {
  char *text = submission_with(row->part, row->replacement);
  fc_job_spec spec;
  fc_message_error error = {0};
  bool accepted = fc_job_spec_parse(text, strlen(text), &spec, &error);
  check_row(row->name, accepted == (row->error == NULL));
  if (accepted) {
    check_row(row->name, strcmp(spec.id, "job-000412") == 0);
    fc_job_spec_clear(&spec);
  } else {
    check_row(row->name, g_str_has_prefix(error.text, row->error));
  }
  g_free(text);
}

static void submissions_are_validated(void **state) {
  (void)state;
  static const submission_row rows[] = {
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
      {"boolean as number", "true", "1", "samePlace"},
      {"null where it may not be", "true", "null", "samePlace"},
      {"unknown priority", "high", "higher", "rank"},
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
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) check_submission(&rows[i]);
  static const char *const not_objects[] = {"", "[]", "3", "\"x\"", "null", "{}", "{\"id\":"};
  for (size_t i = 0; i < G_N_ELEMENTS(not_objects); i++) {
    fc_job_spec spec;
    fc_message_error error;
    assert_false(fc_job_spec_parse(not_objects[i], strlen(not_objects[i]), &spec, &error));
  }
}

static void values_of_known_fields_may_be_spelled_in_any_way(void **state) {
  (void)state;
  static const submission_row rows[] = {
      {"beyond a double", "8.0", "1e999", "cpus: out of range"},
      {"negative beyond a double", "8.0", "-1e999", "cpus: out of range"},
      {"below a double", "8.0", "1e-999", NULL},
      {"amount with an exponent", "8.0", "0.8E+1", NULL},
      {"negative zero", "240.0", "-0.0", NULL},
      {"negative zero as an integer", "240.0", "-0", NULL},
      {"count with a fraction of zero", "\"runs\":16", "\"runs\":16.0", NULL},
      {"count with an exponent", "\"runs\":16", "\"runs\":1.6E+1", NULL},
      {"negative count", "\"runs\":16", "\"runs\":-1", "runs: out of range"},
      {"count of 64 bits", "\"runs\":16", "\"runs\":18446744073709551615", "runs: out of range"},
      {"count that would wrap around to 16", "\"runs\":16", "\"runs\":18446744073709551632", "runs: out of range"},
      {"count beyond a double", "\"runs\":16", "\"runs\":1e999", "runs: out of range"},
      {"unpaired surrogate", "img-07", "img\\ud800", "kit: control character or unpaired surrogate"},
      {"pair of surrogates", "img-07", "img\\ud83d\\ude00", NULL},
      {"escaped letters", "job-000412", "j\\u006fb-000412", NULL},
      {"escaped name", "\"cpus\"", "\"\\u0063pus\"", NULL},
      {"id with a NUL", "job-000412", "job-000412\\u0000", "id"},
      {"type with a NUL", "[\"g8\"]", "[\"g8\\u0000\"]", "builds"},
      {"repeated name", "\"cpus\":8.0", "\"cpus\":\"x\",\"cpus\":8.0", NULL},
      {"known field nested as deeply as the body allows", "8.0", "[[[[[[[[[[[[[[[[[[[[[]]]]]]]]]]]]]]]]]]]]]",
       "cpus: not a number"},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) check_submission(&rows[i]);
}

/* Only arrays whose tasks are placed independently of each other are split into slices. */
static void arrays_are_sliced(void **state) {
  (void)state;
  static const struct {
    const char *name;
    fc_job_kind kind;
    uint32_t tasks;
    bool one_zone, spread;
    unsigned limit, slices;
  } rows[] = {
      {"an array", FC_JOB_ARRAY, 12, false, false, 16, 4},
      {"up to the limit", FC_JOB_ARRAY, 12, false, false, 2, 2},
      {"too small", FC_JOB_ARRAY, 3, false, false, 16, 1},
      {"all in one zone", FC_JOB_ARRAY, 12, true, false, 16, 1},
      {"spread over zones", FC_JOB_ARRAY, 12, false, true, 16, 1},
      {"a gang", FC_JOB_GANG, 12, false, false, 16, 1},
      {"a service", FC_JOB_SERVICE, 12, false, false, 16, 1},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    const fc_job_spec spec = {
        .kind = rows[i].kind, .tasks = rows[i].tasks, .one_zone = rows[i].one_zone, .spread = rows[i].spread};
    check_row(rows[i].name, fc_job_slice_count(&spec, rows[i].limit) == rows[i].slices);
  }
}

static void task_ranges(void **state) {
  (void)state;
  static const struct {
    const char *text;
    bool valid;
    const char *encoded;
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
    uint8_t bitmap[2] = {0, 0};
    bool valid = fc_ranges_decode(rows[i].text, bitmap, 10);
    check_row(rows[i].text, valid == rows[i].valid);
    if (!valid) continue;
    char *encoded = fc_ranges_encode(bitmap, 10);
    check_row(rows[i].text, strcmp(encoded, rows[i].encoded) == 0);
    g_free(encoded);
  }
}

static void job_records_round_trip(void **state) {
  (void)state;
  fc_job_spec spec;
  fc_message_error error;
  assert_true(fc_job_spec_parse(k_submission, strlen(k_submission), &spec, &error));
  const fc_job_record written = {.spec = spec,
                                 .origin = {.term = 6, .handed_over = 5, .last_handover = {[2] = {9, 6}}},
                                 .phase = FC_PHASE_CANCELLED,
                                 .done = (char *)"0-3,7",
                                 .slices = 4,
                                 .handed_to = {[2] = (char *)"paddock-2"}};
  json_t *encoded = fc_job_record_encode(&written);
  fc_job_record record;
  assert_true(fc_job_record_decode(encoded, &record));
  assert_int_equal(record.phase, FC_PHASE_CANCELLED);
  assert_string_equal(record.done, "0-3,7");
  assert_int_equal(record.slices, 4);
  assert_string_equal(record.handed_to[2], "paddock-2");
  assert_null(record.handed_to[0]);
  assert_true(record.origin.term == 6 && record.origin.handed_over == 5);
  assert_true(record.origin.last_handover[2].term == 9 && record.origin.last_handover[2].members == 6);
  assert_true(record.origin.last_handover[0].term == 0 && record.origin.last_handover[0].members == 0);
  assert_int_equal(record.spec.tasks, 16);
  assert_true(record.spec.deadline_s == 900.0 && record.spec.zone == NULL && strcmp(record.spec.types[0], "g8") == 0);
  fc_job_record_clear(&record);
  json_t *handovers = json_incref(json_object_get(encoded, "lastMove"));
  json_object_del(encoded, "lastMove"); /* a record of a version without the field */
  assert_true(fc_job_record_decode(encoded, &record));
  assert_true(record.origin.handed_over == 5 && record.origin.last_handover[2].term == 0 &&
              record.origin.last_handover[2].members == 0);
  fc_job_record_clear(&record);
  json_object_set_new(handovers, "4", json_pack("[ii]", 9, 6)); /* the job has no such slice */
  json_object_set_new(encoded, "lastMove", handovers);
  assert_false(fc_job_record_decode(encoded, &record));
  json_object_del(encoded, "lastMove");
  json_object_set_new(encoded, "f", json_integer(2)); /* this format needs dependencies, and the record has none */
  assert_false(fc_job_record_decode(encoded, &record));
  json_decref(encoded);
  fc_job_spec_clear(&spec);
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(submissions_are_validated), cmocka_unit_test(values_of_known_fields_may_be_spelled_in_any_way),
      cmocka_unit_test(arrays_are_sliced),         cmocka_unit_test(task_ranges),
      cmocka_unit_test(job_records_round_trip),
  };
  return cmocka_run_group_tests(tests, NULL, NULL);
}
