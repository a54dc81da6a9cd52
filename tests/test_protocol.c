/* The limit on nested JSON, the encoding of term records, and the routing of requests. */
#include "check.h"

#include "protocol/json.h"
#include "protocol/records.h"
#include "protocol/routes.h"

/* The parser recurses once for each level, which would overflow the small stack of a routine. */
static void deep_json_is_refused(void **state) {
  (void)state;
  GString *deep = g_string_new(NULL);
  for (int i = 0; i < 30000; i++) g_string_append_c(deep, '[');
  assert_null(fc_json_parse(deep->str, deep->len));
  g_string_free(deep, TRUE);
  json_t *encoded = fc_json_parse("[\"[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[\"]", 34);
  assert_non_null(encoded); /* brackets inside a string do not nest */
  json_decref(encoded);
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
      cmocka_unit_test(deep_json_is_refused),
      cmocka_unit_test(terms_round_trip),
      cmocka_unit_test(routes_of_requests),
  };
  return cmocka_run_group_tests(tests, NULL, NULL);
}
