/* What the table and the list of cancellations know, by tables; no network. */
#include "bookkeeping/cancellation_log.h"
#include "bookkeeping/job_records.h"
#include "bookkeeping/record_writes.h"
#include "fixture.h"

typedef struct listed {
  fc_cancellation_log *list;
  const fc_cancellation *first;
  size_t count;
} listed;

static void note(listed *l, unsigned job, uint64_t revision, bool news) {
  char id[32];
  g_snprintf(id, sizeof id, "job-%06u", job);
  assert_int_equal(fc_cancellation_log_add(l->list, id, revision, (double)revision), news);
}

/* Who has read up to a revision is told all that is newer, and whether that is all. */
static void the_list_of_cancellations(void **state) {
  (void)state;
  listed l = {.list = fc_cancellation_log_new()};
  note(&l, 3, 30, true);
  note(&l, 1, 10, true); /* told late, of a former one */
  note(&l, 4, 30, true); /* of the same transaction */
  note(&l, 3, 30, false);
  note(&l, 5, 50, true);
  static const struct {
    uint64_t read;
    size_t count;
    const char *first;
  } rows[] = {{0, 4, "job-000001"},  {9, 4, "job-000001"}, {10, 3, "job-000003"}, {29, 3, "job-000003"},
              {30, 1, "job-000005"}, {50, 0, NULL},        {99, 0, NULL}};
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    assert_true(fc_cancellation_log_since(l.list, rows[i].read, &l.first, &l.count));
    assert_int_equal(l.count, rows[i].count);
    if (rows[i].first) assert_string_equal(l.first->job, rows[i].first);
  }
  fc_frame_cancellation *f = fc_cancellations_to_frame(l.first, 0, 60);
  g_free(f);
  assert_true(fc_cancellation_log_since(l.list, 30, &l.first, &l.count));
  f = fc_cancellations_to_frame(l.first, l.count, 60);
  assert_int_equal(f[0].age_ms, 10000);
  g_free(f);
  /* All have read up to 30: those go, and are no news any more. */
  fc_cancellation_log_trim(l.list, 30);
  note(&l, 1, 10, false);
  assert_true(fc_cancellation_log_since(l.list, 30, &l.first, &l.count));
  assert_int_equal(l.count, 1);
  assert_false(fc_cancellation_log_since(l.list, 29, &l.first, &l.count));
  fc_cancellation_log_free(l.list);
}

/* At its bound the oldest are dropped, whole transactions at a time, and the list no
 * longer says that it is all. */
static void the_list_at_its_bound(void **state) {
  (void)state;
  listed l = {.list = fc_cancellation_log_new()};
  for (unsigned i = 0; i < FC_FRAME_CANCELLATIONS_MAX; i++) note(&l, i, 100 + i / 2, true);
  assert_true(fc_cancellation_log_since(l.list, 0, &l.first, &l.count));
  assert_int_equal(l.count, FC_FRAME_CANCELLATIONS_MAX);
  note(&l, 900001, 100000, true);
  assert_false(fc_cancellation_log_since(l.list, 99, &l.first, &l.count));
  assert_int_equal(l.count, FC_FRAME_CANCELLATIONS_MAX - 1);
  assert_true(fc_cancellation_log_since(l.list, 100, &l.first, &l.count));
  assert_int_equal(l.first->revision, 101);
  fc_cancellation_log_free(l.list);
}

/* A job that a peer has called cancelled is so from then on, in whatever order older
 * records are still read, and for jobs that are not known yet too. */
static void a_cancellation_is_final(void **state) {
  (void)state;
  enum { TOLD, READ_OLD, READ_IT, CAUGHT_UP };
  static const struct {
    const char *name;
    int steps[4];
    unsigned count;
    bool cancelled;
  } rows[] = {
      {"never told", {READ_OLD}, 1, false},
      {"told before it is known", {TOLD}, 1, true},
      {"told, then an older record", {TOLD, READ_OLD}, 2, true},
      {"known, then told", {READ_OLD, TOLD}, 2, true},
      {"known, told, and read", {READ_OLD, TOLD, READ_IT}, 3, true},
      {"told, and everything read", {TOLD, READ_OLD, READ_IT, CAUGHT_UP}, 4, true},
      {"read, then told late", {READ_OLD, READ_IT, CAUGHT_UP, TOLD}, 4, true},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    fc_settings settings = fixture_settings();
    fc_cluster *cluster = fixture_cluster(&settings);
    for (unsigned k = 0; k < rows[i].count; k++) {
      switch (rows[i].steps[k]) {
        case TOLD:
          fc_cluster_apply_cancellation(cluster, "job-000001", 9, 3, 4);
          break;
        case READ_OLD:
          (void)fixture_job(cluster, "job-000001", "sweep", "standard", "red", 3, 1, ""); /* version 5 */
          break;
        case READ_IT: {
          const fc_job *job = fc_cluster_find_job(cluster, "job-000001");
          fc_job_record record = {.phase = FC_PHASE_CANCELLED, .done = "", .slices = 1, .spec = job->spec};
          (void)fc_cluster_apply_job(cluster, "job-000001", &record, 9, true, 5);
          break;
        }
        default:
          fc_cluster_caught_up(cluster, 9);
          assert_int_equal(g_hash_table_size(cluster->unread_cancellations), 0);
      }
    }
    check_row(rows[i].name, fc_cluster_is_cancelled(cluster, "job-000001") == rows[i].cancelled);
    const fc_job *job = fc_cluster_find_job(cluster, "job-000001");
    /* Our writes build on what was read, never on what we were told. */
    if (job) check_row(rows[i].name, job->record.version == (rows[i].count > 2 ? 9 : 5));
    fc_cluster_free(cluster);
  }
}

/* Ends that are scattered over a large array take more than a value holds: as many are
 * recorded as fit, none that has not ended, and the rest once gaps have closed. */
static void ends_that_fit(void **state) {
  (void)state;
  static const struct {
    const char *name;
    unsigned tasks, every; /* each so-manieth has ended */
    bool all;              /* of the ended ones are recorded */
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
    uint8_t *ended = g_malloc0(bytes), *done = g_malloc0(bytes);
    for (unsigned k = 0; k < rows[i].tasks; k += rows[i].every) ended[k / 8] |= (uint8_t)(1u << (k % 8));
    check_row(rows[i].name, fc_job_record_fit_completions(cluster, job, ended, done));
    char *ranges = fc_ranges_encode(done, rows[i].tasks);
    check_row(rows[i].name, strlen(ranges) > 0 && strlen(ranges) < 2048);
    /* Nearly all of the value is used where it is too small. */
    check_row(rows[i].name, rows[i].all || strlen(ranges) > 1200);
    check_row(rows[i].name, (memcmp(ended, done, bytes) == 0) == rows[i].all);
    for (size_t b = 0; b < bytes; b++) check_row(rows[i].name, (done[b] & ~ended[b]) == 0);
    fc_write *write =
        fc_job_record_write(cluster, job, 5, FC_PHASE_ACCEPTED, done, job->record.handed_to, &job->record.origin);
    check_row(rows[i].name, write != NULL);
    fc_write_free(write);
    g_free(ranges);
    g_free(ended);
    g_free(done);
    fc_cluster_free(cluster);
  }
}

int main(void) {
  const struct CMUnitTest tests[] = {cmocka_unit_test(the_list_of_cancellations),
                                     cmocka_unit_test(the_list_at_its_bound), cmocka_unit_test(a_cancellation_is_final),
                                     cmocka_unit_test(ends_that_fit)};
  return cmocka_run_group_tests(tests, NULL, NULL);
}
