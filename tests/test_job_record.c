/* Job records: dependencies, their format, and descriptions stored in parts. */
#include "check.h"

#include "protocol/job_description.h"
#include "protocol/job_record.h"
#include "protocol/json.h"
#include "protocol/records.h"

/* A submission whose dependencies field has this JSON value; "": no such field. */
static char *submission(const char *dependencies) {
  return g_strdup_printf(
      "{\"id\":\"job-000412\",\"squad\":\"c\",\"club\":\"red\",\"play\":\"sweep\",\"rank\":\"high\",\"runs\":2,"
      "\"cpus\":1,\"gpus\":1,\"memGb\":1,\"kit\":\"i\",\"pullGb\":1,\"samePlace\":false,\"scatter\":false,"
      "\"loaners\":true,\"expectS\":10,\"markS\":0,\"stowS\":0%s%s}",
      *dependencies ? ",\"awaits\":" : "", dependencies);
}

static void dependencies_of_a_submission(void **state) {
  (void)state;
  static const struct {
    const char *name, *dependencies;
    const char *ids;   /* as parsed, separated by spaces; NULL: rejected */
    const char *error; /* prefix of the error text; NULL: the field's name */
  } rows[] = {
      {"no such field", "", "", NULL},
      {"null", "null", "", NULL},
      {"an empty list", "[]", "", NULL},
      {"one", "[\"job-000398\"]", "job-000398", NULL},
      {"two", "[\"job-000405\",\"job-000398\"]", "job-000398 job-000405", NULL},
      {"repeated", "[\"job-000398\",\"job-000398\",\"job-000398\"]", "job-000398", NULL},
      {"of other lengths", "[\"job-0000398\",\"job-000398\"]", "job-0000398 job-000398", NULL},
      {"the job itself, like any other id", "[\"job-000412\"]", "job-000412", NULL},
      {"not a list", "\"job-000398\"", NULL, NULL},
      {"an object", "{\"job-000398\":1}", NULL, NULL},
      {"a number", "7", NULL, NULL},
      {"false", "false", NULL, NULL},
      {"a number in the list", "[\"job-000398\",398]", NULL, NULL},
      {"null in the list", "[null]", NULL, NULL},
      {"a list in the list", "[[\"job-000398\"]]", NULL, NULL},
      {"another form", "[\"job-398\"]", NULL, NULL},
      {"empty", "[\"\"]", NULL, NULL},
      {"a task", "[\"job-000398/1\"]", NULL, NULL},
      {"with a NUL", "[\"job-000398\\u0000\"]", NULL, NULL},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    char *text = submission(rows[i].dependencies);
    fc_job_spec spec;
    fc_message_error error = {0};
    bool accepted = fc_job_spec_parse(text, strlen(text), &spec, &error);
    check_row(rows[i].name, accepted == (rows[i].ids != NULL));
    if (accepted) {
      char *ids = spec.dependencies ? g_strjoinv(" ", spec.dependencies) : g_strdup("");
      check_row(rows[i].name, strcmp(ids, rows[i].ids) == 0);
      check_row(rows[i].name, (spec.dependencies == NULL) == (*rows[i].ids == '\0'));
      g_free(ids);
      fc_job_spec_clear(&spec);
    } else {
      check_row(rows[i].name, g_str_has_prefix(error.text, rows[i].error ? rows[i].error : "awaits"));
    }
    g_free(text);
  }
}

/* Only an accepted job with unfinished dependencies has the format that older versions cannot read. */
static void format_by_pending_dependencies(void **state) {
  (void)state;
  static const struct {
    const char *name, *dependencies;
    fc_job_phase phase;
    int format;
  } rows[] = {
      {"no dependencies", "[]", FC_PHASE_ACCEPTED, FC_JOB_FORMAT_PLAIN},
      {"two dependencies", "[\"job-000398\",\"job-0000405\"]", FC_PHASE_ACCEPTED, FC_JOB_FORMAT_AWAITING},
      {"cancelled before they are met", "[\"job-000398\"]", FC_PHASE_CANCELLED, FC_JOB_FORMAT_PLAIN},
      {"done", "[\"job-000398\"]", FC_PHASE_DONE, FC_JOB_FORMAT_PLAIN},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    char *text = submission(rows[i].dependencies);
    fc_job_spec spec;
    fc_message_error error;
    assert_true(fc_job_spec_parse(text, strlen(text), &spec, &error));
    const fc_job_origin origin = {.term = 3, .submitted_at = 1.8e9 + 0.5};
    json_t *encoded = fc_job_record_encode(&(fc_job_record){
        .spec = spec, .origin = origin, .phase = rows[i].phase, .slices = 1, .awaiting = spec.dependencies != NULL});
    check_row(rows[i].name, json_integer_value(json_object_get(encoded, "f")) == rows[i].format);
    bool awaiting = rows[i].format == FC_JOB_FORMAT_AWAITING;
    fc_job_record record;
    check_row(rows[i].name, fc_job_record_decode(encoded, &record));
    check_row(rows[i].name, record.phase == rows[i].phase && (record.spec.dependencies != NULL) == awaiting);
    if (awaiting) {
      check_row(rows[i].name, strcmp(record.spec.dependencies[0], "job-0000405") == 0);
      check_row(rows[i].name, strcmp(record.spec.dependencies[1], "job-000398") == 0 && !record.spec.dependencies[2]);
      check_row(rows[i].name, record.origin.submitted_at == origin.submitted_at);
    }
    fc_job_record_clear(&record);
    json_decref(encoded);
    fc_job_spec_clear(&spec);
    g_free(text);
  }
}

static void malformed_dependencies_are_refused(void **state) {
  (void)state;
  static const char *const malformed[] = {"null",    "\"\"",        "7",           "[\"000398\"]",
                                          "\"398\"", "\"000398,\"", "\"000398,x\""};
  char *text = submission("[\"job-000398\"]");
  fc_job_spec spec;
  fc_message_error error;
  assert_true(fc_job_spec_parse(text, strlen(text), &spec, &error));
  for (size_t i = 0; i < G_N_ELEMENTS(malformed); i++) {
    json_t *encoded =
        fc_job_record_encode(&(fc_job_record){.spec = spec, .phase = FC_PHASE_ACCEPTED, .slices = 1, .awaiting = true});
    json_object_set_new(encoded, "awaits", fc_json_parse(malformed[i], strlen(malformed[i]), NULL));
    fc_job_record record;
    check_row(malformed[i], !fc_job_record_decode(encoded, &record));
    json_decref(encoded);
  }
  fc_job_spec_clear(&spec);
  g_free(text);
}

/* Guards against a job that ended with a shortened record and is shown with too few tasks done. */
static void number_of_finished_tasks(void **state) {
  (void)state;
  static const struct {
    const char *name;
    uint32_t done_count;
  } rows[] = {{"listed", 0}, {"counted", 700}};
  char *text = submission("");
  fc_job_record record = {.phase = FC_PHASE_CANCELLED, .done = (char *)"0-3,7", .slices = 1};
  fc_message_error error;
  assert_true(fc_job_spec_parse(text, strlen(text), &record.spec, &error));
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    record.done_count = rows[i].done_count;
    json_t *encoded = fc_job_record_encode(&record);
    fc_job_record decoded;
    check_row(rows[i].name, fc_job_record_decode(encoded, &decoded));
    check_row(rows[i].name, decoded.done_count == rows[i].done_count);
    fc_job_record_clear(&decoded);
    json_decref(encoded);
  }
  fc_job_spec_clear(&record.spec);
  g_free(text);
}

/* A member whose key has no valid format reads only plain records. */
static void job_format_of_a_member(void **state) {
  (void)state;
  static const struct {
    const char *key;
    unsigned format;
  } rows[] = {{"{\"f\":1}", FC_JOB_FORMAT_PLAIN},
              {"{\"f\":1,\"jobFormat\":2}", 2},
              {"{\"f\":1,\"jobFormat\":3}", 3},
              {"{\"f\":1,\"jobFormat\":\"2\"}", FC_JOB_FORMAT_PLAIN}};
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    json_t *encoded = fc_json_parse(rows[i].key, strlen(rows[i].key), NULL);
    check_row(rows[i].key, fc_member_key_format(encoded) == rows[i].format);
    json_decref(encoded);
  }
  json_t *own_key = fc_member_key_encode();
  assert_int_equal(fc_member_key_format(own_key), FC_JOB_FORMAT_AWAITING);
  json_decref(own_key);
}

/* ---- descriptions too long for one value ---- */

static char *list_of_ids(unsigned count) {
  GString *list = g_string_new("[");
  for (unsigned k = 0; k < count; k++) g_string_append_printf(list, "%s\"job-%06u\"", k ? "," : "", 100000 + k);
  g_string_append_c(list, ']');
  return g_string_free(list, FALSE);
}

/* For each value size, no encoded part is larger, and the parts joined are the description. */
static void descriptions_split_into_parts(void **state) {
  (void)state;
  static const unsigned id_counts[] = {0, 1, 70, 4900};
  static const size_t value_sizes[] = {64, 1024, 2048, 8192, 1 << 20};
  for (size_t i = 0; i < G_N_ELEMENTS(id_counts); i++) {
    char *list = list_of_ids(id_counts[i]), *text = submission(list);
    fc_message_error error;
    fc_job_spec spec, decoded;
    assert_true(fc_job_spec_parse(text, strlen(text), &spec, &error));
    char *description = fc_job_description_text(&spec);
    for (size_t k = 0; k < G_N_ELEMENTS(value_sizes); k++) {
      fc_description_ref ref;
      GPtrArray *parts = fc_job_description_split(description, value_sizes[k], &ref);
      GString *whole = g_string_new(NULL);
      assert_int_equal(ref.count, parts->len);
      for (guint part = 0; part < parts->len; part++) {
        json_t *encoded = fc_job_part_encode(parts->pdata[part]);
        assert_true(json_dumpb(encoded, NULL, 0, JSON_COMPACT) <= value_sizes[k]);
        g_string_append(whole, fc_job_part_decode(encoded));
        json_decref(encoded);
      }
      assert_string_equal(whole->str, description);
      g_string_free(whole, TRUE);
      g_ptr_array_free(parts, TRUE);
    }
    assert_true(fc_job_description_read(description, &decoded));
    assert_int_equal(decoded.dependencies ? g_strv_length(decoded.dependencies) : 0, id_counts[i]);
    assert_true(decoded.tasks == spec.tasks && decoded.deadline_s == spec.deadline_s);
    fc_job_spec_clear(&decoded);
    description[strlen(description) / 2] = '\0'; /* a part is missing */
    assert_false(fc_job_description_read(description, &decoded));
    fc_job_spec_clear(&spec);
    g_free(description);
    g_free(text);
    g_free(list);
  }
}

#define DIGEST "0123456789abcdef0123456789abcdef"

static void keys_of_description_parts(void **state) {
  (void)state;
  static const struct {
    const char *key;
    bool valid;
  } rows[] = {
      {"job-000001/" DIGEST "/0", true},
      {"job-000001/" DIGEST "/1023", true},
      {"job-000001/" DIGEST "/1024", false},
      {"job-000001/" DIGEST "/", false},
      {"job-000001/" DIGEST "/-1", false},
      {"job-000001/" DIGEST "/1x", false},
      {"job-1/" DIGEST "/0", false},
      {"job-000001/" DIGEST "0/0", false},
      {"job-000001/0", false},
      {"job-000001/" DIGEST "/0/0", false},
      {"", false},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    char job[32], digest[FC_JOB_DIGEST_SIZE];
    unsigned number = 0;
    check_row(rows[i].key, fc_job_part_key_parse(rows[i].key, job, digest, &number) == rows[i].valid);
  }
  char *key = fc_job_part_key("job-000001", DIGEST, 7);
  assert_string_equal(key, "fc1/part/job-000001/" DIGEST "/7");
  g_free(key);
}

/* A record that refers to its description's parts round-trips; malformed references are rejected. */
static void records_that_refer_to_parts(void **state) {
  (void)state;
  fc_job_record record = {.phase = FC_PHASE_ACCEPTED, .slices = 4, .awaiting = true, .done = (char *)"0-1"};
  record.parts = (fc_description_ref){.digest = DIGEST, .count = 3};
  record.origin = (fc_job_origin){.term = 6, .submitted_at = 1.8e9};
  json_t *encoded = fc_job_record_encode(&record);
  assert_int_equal(json_integer_value(json_object_get(encoded, "f")), FC_JOB_FORMAT_AWAITING);
  fc_job_record decoded;
  assert_true(fc_job_record_decode(encoded, &decoded));
  assert_true(decoded.parts.count == 3 && strcmp(decoded.parts.digest, DIGEST) == 0 && decoded.awaiting);
  assert_true(decoded.slices == 4 && decoded.origin.term == 6 && decoded.origin.submitted_at == 1.8e9 &&
              !decoded.spec.id);
  fc_job_record_clear(&decoded);
  static const char *const malformed[] = {"7",
                                          "[]",
                                          "[\"" DIGEST "\"]",
                                          "[\"" DIGEST "\",0]",
                                          "[\"" DIGEST "\",-1]",
                                          "[\"" DIGEST "\",1025]",
                                          "[\"0123\",1]",
                                          "[3,\"" DIGEST "\"]"};
  for (size_t i = 0; i < G_N_ELEMENTS(malformed); i++) {
    json_object_set_new(encoded, "parts", fc_json_parse(malformed[i], strlen(malformed[i]), NULL));
    check_row(malformed[i], !fc_job_record_decode(encoded, &decoded));
  }
  json_decref(encoded);
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(dependencies_of_a_submission),       cmocka_unit_test(format_by_pending_dependencies),
      cmocka_unit_test(malformed_dependencies_are_refused), cmocka_unit_test(job_format_of_a_member),
      cmocka_unit_test(number_of_finished_tasks),           cmocka_unit_test(descriptions_split_into_parts),
      cmocka_unit_test(keys_of_description_parts),          cmocka_unit_test(records_that_refer_to_parts),
  };
  return cmocka_run_group_tests(tests, NULL, NULL);
}
