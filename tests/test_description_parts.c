/* The index of the parts of long descriptions. */
#include "check.h"

#include "bookkeeping/description_parts.h"

#define DIGEST "0123456789abcdef0123456789abcdef"

static void parts_added_and_removed_in_any_order(void **state) {
  (void)state;
  fc_description_parts *parts = fc_description_parts_new();
  const fc_description_ref ref = {.digest = DIGEST, .count = 3};
  fc_description_parts_put(parts, "job-000001", DIGEST, 2, "c", 12, 5);
  fc_description_parts_put(parts, "job-000001", DIGEST, 0, "a", 10, 6);
  fc_description_parts_put(parts, "job-000001", "another", 1, "x", 11, 6);
  assert_null(fc_description_parts_join(parts, "job-000001", &ref));
  fc_description_parts_put(parts, "job-000001", DIGEST, 1, "b", 11, 7);
  fc_description_parts_put(parts, "job-000001", DIGEST, 1, "old", 9, 7); /* a late read of an older version */
  char *whole = fc_description_parts_join(parts, "job-000001", &ref);
  assert_string_equal(whole, "abc");
  g_free(whole);
  assert_int_equal(fc_description_parts_version(parts, "job-000001", DIGEST, 2), 12);
  assert_int_equal(fc_description_parts_version(parts, "job-000001", DIGEST, 3), 0);
  fc_description_parts_drop_texts(parts, "job-000001", DIGEST);
  assert_null(fc_description_parts_join(parts, "job-000001", &ref));
  assert_int_equal(fc_description_parts_version(parts, "job-000001", DIGEST, 0), 10);
  fc_description_parts_put(parts, "job-000001", DIGEST, 0, NULL, 20, 8);
  assert_int_equal(fc_description_parts_version(parts, "job-000001", DIGEST, 0), 0);
  /* After a full read, parts without a key are removed unless they are newer. */
  GHashTable *present = g_hash_table_new(g_str_hash, g_str_equal);
  g_hash_table_add(present, "fc1/part/job-000001/" DIGEST "/1");
  fc_description_parts_put(parts, "job-000001", DIGEST, 5, "f", 31, 8);
  fc_description_parts_retain(parts, present, 30);
  assert_int_equal(fc_description_parts_version(parts, "job-000001", DIGEST, 1), 11);
  assert_int_equal(fc_description_parts_version(parts, "job-000001", DIGEST, 2), 0);
  assert_int_equal(fc_description_parts_version(parts, "job-000001", DIGEST, 5), 31);
  assert_int_equal(fc_description_parts_version(parts, "job-000001", "another", 1), 0);
  g_hash_table_destroy(present);
  fc_description_parts_free(parts);
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(parts_added_and_removed_in_any_order),
  };
  return cmocka_run_group_tests(tests, NULL, NULL);
}
