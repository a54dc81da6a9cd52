/* JSON with many levels and with large counts, the encoding of term records, and the routing of requests. */
#include "check.h"

#include <ev.h>

#include "protocol/json.h"
#include "protocol/records.h"
#include "protocol/routes.h"
#include "transport/routine.h"

#define DEEP_LEVELS 30000

/* What was read of texts with many levels. */
typedef struct deep_texts {
  json_t *closed, *unclosed, *member, *brackets;
} deep_texts;

static json_t *parse_levels(const char *before, const char *open, const char *close, const char *after) {
  g_autoptr(GString) deep = g_string_new(before);
  for (int i = 0; i < DEEP_LEVELS; i++) g_string_append(deep, open);
  for (int i = 0; i < DEEP_LEVELS; i++) g_string_append(deep, close);
  g_string_append(deep, after);
  return fc_json_parse(deep->str, deep->len, NULL);
}

static void read_deep_texts(void *arg) {
  deep_texts *texts = arg;
  texts->closed = parse_levels("", "[", "]", "");
  texts->unclosed = parse_levels("", "[", "", "");
  texts->member = parse_levels("{\"x\":", "[", "]", ",\"id\":7}");
  texts->brackets = parse_levels("[\"", "[", "", "\"]");
  ev_break(fc_loop(), EVBREAK_ALL);
}

/* On the small stack of a routine, which a parser that recurses once for each level would overflow. */
static void deep_json_needs_no_stack(void **state) {
  (void)state;
  deep_texts texts = {0};
  assert_true(fc_loop_init());
  assert_non_null(fc_routine_spawn(read_deep_texts, &texts));
  fc_loop_run();
  assert_true(json_is_array(texts.closed));
  assert_null(texts.unclosed);
  assert_int_equal(json_integer_value(json_object_get(texts.member, "id")), 7);
  assert_int_equal(json_string_length(json_array_get(texts.brackets, 0)), DEEP_LEVELS);
  json_decref(texts.closed);
  json_decref(texts.member);
  json_decref(texts.brackets);
}

/* Integers from 0 to 2^64 - 1 are exact, and written as they were read. */
static void counts_are_exact(void **state) {
  (void)state;
  static const struct {
    const char *text;
    uint64_t count;
  } rows[] = {
      {"0", 0},
      {"9007199254740993", 9007199254740993u},
      {"9223372036854775807", INT64_MAX},
      {"9223372036854775808", (uint64_t)INT64_MAX + 1},
      {"18446744073709551614", UINT64_MAX - 1},
      {"18446744073709551615", UINT64_MAX},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    g_autofree char *text = g_strdup_printf("{\"n\":%s}", rows[i].text);
    g_autoptr(GString) written = g_string_new(NULL);
    json_t *value = fc_json_parse(text, strlen(text), NULL);
    fc_reader reader;
    fc_reader_init(&reader, value);
    check_row(rows[i].text, fc_read_count(&reader, "n", 0, FC_COUNT_MAX) == rows[i].count && fc_reader_ok(&reader));
    check_row(rows[i].text, fc_json_encoded_bytes(value) == strlen(text));
    fc_json_append(written, value);
    check_row(rows[i].text, strcmp(written->str, text) == 0);
  }
}

static void terms_round_trip(void **state) {
  (void)state;
  fc_term term = {.number = 3, .seed = 77, .names_since = 2, .members = {{"a", 1}, {"b", 9}}, .count = 2}, decoded;
  json_t *encoded = fc_term_encode(&term);
  assert_true(fc_term_decode(encoded, &decoded));
  assert_int_equal(decoded.count, 2);
  assert_int_equal(decoded.names_since, 2);
  assert_int_equal(fc_term_find(&decoded, "b"), 1);
  assert_int_equal(fc_term_find(&decoded, "c"), -1);
  json_object_del(encoded, "since"); /* a record of a version without the field: the names count as new in this term */
  assert_true(fc_term_decode(encoded, &decoded));
  assert_int_equal(decoded.names_since, 3);
  json_object_set_new(encoded, "term", json_integer(0));
  assert_false(fc_term_decode(encoded, &decoded));
  json_decref(encoded);
}

static void routes_of_requests(void **state) {
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
    char id[FC_ROUTE_ID_SIZE] = "";
    const char *allow = NULL;
    check_row(rows[i].path, fc_route_of(rows[i].method, rows[i].path, id, &allow) == rows[i].route);
    if (rows[i].id) check_row(rows[i].path, strcmp(allow ? allow : id, rows[i].id) == 0);
  }
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(deep_json_needs_no_stack),
      cmocka_unit_test(counts_are_exact),
      cmocka_unit_test(terms_round_trip),
      cmocka_unit_test(routes_of_requests),
  };
  return cmocka_run_group_tests(tests, NULL, NULL);
}
