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

/* Writes the parts of the text that are missing, `max` at most, as a submission or its retry does. */
static void write_missing(fc_description_parts *stored, const char *text, size_t value_bytes, unsigned max,
                          fc_description_ref *ref) {
  GPtrArray *texts = fc_job_description_split(text, value_bytes, ref);
  for (unsigned i = 0; i < texts->len && i < max; i++)
    if (!fc_description_parts_version(stored, "job-000001", ref->digest, i))
      fc_description_parts_put(stored, "job-000001", ref->digest, i, texts->pdata[i], 10 + i, 5);
  g_ptr_array_free(texts, TRUE);
}

/* Guards against a description that can't be read, as its submission was retried under another limit. */
static void parts_of_two_sizes_do_not_mix(void **state) {
  (void)state;
  static const struct {
    const char *name;
    size_t first_bytes, retry_bytes;
  } rows[] = {{"smaller parts", 2048, 1024}, {"larger parts", 1024, 2048}, {"parts of the same size", 1024, 1024}};
  GString *text = g_string_new(NULL);
  for (unsigned i = 0; i < 1000; i++) g_string_append_printf(text, "%04u,", i);
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    fc_description_parts *stored = fc_description_parts_new();
    fc_description_ref ref;
    write_missing(stored, text->str, rows[i].first_bytes, 1, &ref);
    write_missing(stored, text->str, rows[i].retry_bytes, FC_JOB_PARTS_MAX, &ref);
    char *joined = fc_description_parts_join(stored, "job-000001", &ref);
    check_row(rows[i].name, joined && strcmp(joined, text->str) == 0);
    g_free(joined);
    fc_description_parts_free(stored);
  }
  g_string_free(text, TRUE);
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(parts_added_and_removed_in_any_order),
      cmocka_unit_test(parts_of_two_sizes_do_not_mix),
  };
  return cmocka_run_group_tests(tests, NULL, NULL);
}
