/* Writes of job records within the value size limit. */
#include "fixture.h"

#include "bookkeeping/job_records.h"
#include "bookkeeping/record_writes.h"

/* The encoded ranges of completions scattered over a large array can exceed the value size: as many
 * completions are recorded as fit, and no task that has not completed; the rest follows once gaps
 * have closed. */
static void completions_that_fit_a_value(void **state) {
  (void)state;
  static const struct {
    const char *name;
    unsigned tasks, step; /* tasks 0, step, 2 * step ... have completed */
    bool fits;            /* all of them */
  } rows[] = {
      {"few", 100, 2, true},
      {"all of many", 100000, 1, true},
      {"every other of many", 100000, 2, false},
      {"every tenth", 100000, 10, false},
      {"few of many", 100000, 5000, true},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    fc_settings settings = fixture_settings();
    settings.kv_value_kb = 2;
    fc_cluster *cluster = fixture_cluster(&settings);
    const fc_job *job = fixture_job(cluster, "job-000001", "sweep", "standard", "red", rows[i].tasks, 1, "");
    size_t bytes = (rows[i].tasks + 7) / 8;
    uint8_t *completed = g_malloc0(bytes), *recorded = g_malloc0(bytes);
    for (unsigned k = 0; k < rows[i].tasks; k += rows[i].step) completed[k / 8] |= (uint8_t)(1u << (k % 8));
    check_row(rows[i].name, fc_job_record_fit_completions(cluster, job, completed, recorded));
    char *ranges = fc_ranges_encode(recorded, rows[i].tasks);
    check_row(rows[i].name, strlen(ranges) > 0 && strlen(ranges) < 2048);
    /* If not all completions fit, the value is nearly full. */
    check_row(rows[i].name, rows[i].fits || strlen(ranges) > 1200);
    check_row(rows[i].name, (memcmp(completed, recorded, bytes) == 0) == rows[i].fits);
    for (size_t byte = 0; byte < bytes; byte++) check_row(rows[i].name, (recorded[byte] & ~completed[byte]) == 0);
    fc_write *write =
        fc_job_record_write(cluster, job, FC_PHASE_ACCEPTED, recorded, job->record.handed_to, &job->record.origin);
    check_row(rows[i].name, write != NULL);
    fc_write_free(write);
    g_free(ranges);
    g_free(completed);
    g_free(recorded);
    fc_cluster_free(cluster);
  }
}

/* Reads a record of the job that lists these completions. */
static void read_listing(fc_cluster *cluster, const fc_job *job, const char *done, uint64_t version) {
  fc_job_record record = {.spec = job->spec, .done = (char *)done, .slices = 1};
  (void)fc_cluster_apply_job(cluster, job->spec.id, &record, version, true, 0);
}

/* Guards against completed tasks that only one controller knows of, and nobody records. */
static void completions_left_out_are_still_to_be_recorded(void **state) {
  (void)state;
  static const struct {
    const char *name, *first, *second;
    bool left_out;
  } rows[] = {{"none", "0-3", "0-3", false},
              {"more", "0-3", "0-5", false},
              {"fewer", "0-3", "0-1", true},
              {"others", "0-3", "4-9", true}};
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    fc_settings settings = fixture_settings();
    fc_cluster *cluster = fixture_cluster(&settings);
    const fc_job *job = fixture_job(cluster, "job-000001", "sweep", "standard", "red", 40, 1, "");
    read_listing(cluster, job, rows[i].first, 6);
    read_listing(cluster, job, rows[i].second, 7);
    uint8_t completed[5] = {0};
    check_row(rows[i].name, g_hash_table_contains(cluster->unlisted_completions, "job-000001") == rows[i].left_out);
    check_row(rows[i].name,
              fc_job_record_fit_completions(cluster, job, job->completion.bitmap, completed) == rows[i].left_out);
    check_row(rows[i].name, fc_task_bitmap_has(completed, 3));
    fc_cluster_free(cluster);
  }
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(completions_that_fit_a_value),
      cmocka_unit_test(completions_left_out_are_still_to_be_recorded),
  };
  return cmocka_run_group_tests(tests, NULL, NULL);
}
