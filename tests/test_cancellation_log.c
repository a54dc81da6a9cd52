/* Cancellations forwarded between members: the log of them, and their effect on the cluster state. */
#include "fixture.h"

#include "bookkeeping/cancellation_log.h"
#include "bookkeeping/job_records.h"

static void add(fc_cancellation_log *log, unsigned job, uint64_t revision, bool expect_new) {
  char id[32];
  g_snprintf(id, sizeof id, "job-%06u", job);
  assert_int_equal(fc_cancellation_log_add(log, id, revision, (double)revision), expect_new);
}

/* A reader at a revision gets all newer entries, and whether they are complete. */
static void cancellations_since_a_revision(void **state) {
  (void)state;
  fc_cancellation_log *log = fc_cancellation_log_new();
  const fc_cancellation *first;
  size_t count;
  add(log, 3, 30, true);
  add(log, 1, 10, true); /* from a peer, out of order */
  add(log, 4, 30, true); /* of the same transaction */
  add(log, 3, 30, false);
  add(log, 5, 50, true);
  static const struct {
    uint64_t revision;
    size_t count;
    const char *first;
  } rows[] = {{0, 4, "job-000001"},  {9, 4, "job-000001"}, {10, 3, "job-000003"}, {29, 3, "job-000003"},
              {30, 1, "job-000005"}, {50, 0, NULL},        {99, 0, NULL}};
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    assert_true(fc_cancellation_log_since(log, rows[i].revision, &first, &count));
    assert_int_equal(count, rows[i].count);
    if (rows[i].first) assert_string_equal(first->job, rows[i].first);
  }
  fc_frame_cancellation *frame = fc_cancellations_to_frame(first, 0, 60);
  g_free(frame);
  assert_true(fc_cancellation_log_since(log, 30, &first, &count));
  frame = fc_cancellations_to_frame(first, count, 60);
  assert_int_equal(frame[0].age_ms, 10000);
  g_free(frame);
  /* All members have read up to revision 30: those entries are removed and not added again. */
  fc_cancellation_log_trim(log, 30);
  add(log, 1, 10, false);
  assert_true(fc_cancellation_log_since(log, 30, &first, &count));
  assert_int_equal(count, 1);
  assert_false(fc_cancellation_log_since(log, 29, &first, &count));
  fc_cancellation_log_free(log);
}

/* Whole transactions are dropped, and the log then reports itself incomplete for older revisions. */
static void oldest_cancellations_are_dropped_at_the_bound(void **state) {
  (void)state;
  fc_cancellation_log *log = fc_cancellation_log_new();
  const fc_cancellation *first;
  size_t count;
  for (unsigned i = 0; i < FC_FRAME_CANCELLATIONS_MAX; i++) add(log, i, 100 + i / 2, true);
  assert_true(fc_cancellation_log_since(log, 0, &first, &count));
  assert_int_equal(count, FC_FRAME_CANCELLATIONS_MAX);
  add(log, 900001, 100000, true);
  assert_false(fc_cancellation_log_since(log, 99, &first, &count));
  assert_int_equal(count, FC_FRAME_CANCELLATIONS_MAX - 1);
  assert_true(fc_cancellation_log_since(log, 100, &first, &count));
  assert_int_equal(first->revision, 101);
  fc_cancellation_log_free(log);
}

typedef enum { FROM_PEER, READ_ACCEPTED, READ_CANCELLED, CAUGHT_UP } cancellation_step;

static void apply_step(fc_cluster *cluster, cancellation_step step) {
  switch (step) {
    case FROM_PEER:
      fc_cluster_apply_cancellation(cluster, "job-000001", 9, 3, 4);
      break;
    case READ_ACCEPTED:
      (void)fixture_job(cluster, "job-000001", "sweep", "standard", "red", 3, 1, ""); /* version 5 */
      break;
    case READ_CANCELLED: {
      const fc_job *job = fc_cluster_find_job(cluster, "job-000001");
      fc_job_record record = {.phase = FC_PHASE_CANCELLED, .done = "", .slices = 1, .spec = job->spec};
      (void)fc_cluster_apply_job(cluster, "job-000001", &record, 9, true, 5);
      break;
    }
    default:
      fc_cluster_prune_unread_cancellations(cluster, 9);
      assert_int_equal(g_hash_table_size(cluster->unread_cancellations), 0);
  }
}

/* A job whose cancellation was reported by a peer stays cancelled whatever older records are still
 * read, even if none of its records has been read. */
static void cancellation_is_final(void **state) {
  (void)state;
  static const struct {
    const char *name;
    cancellation_step steps[4];
    unsigned step_count;
    bool cancelled;
  } rows[] = {
      {"not cancelled", {READ_ACCEPTED}, 1, false},
      {"from a peer, before the record", {FROM_PEER}, 1, true},
      {"from a peer, then an older record", {FROM_PEER, READ_ACCEPTED}, 2, true},
      {"the record, then from a peer", {READ_ACCEPTED, FROM_PEER}, 2, true},
      {"the record, from a peer, then its new record", {READ_ACCEPTED, FROM_PEER, READ_CANCELLED}, 3, true},
      {"from a peer, then everything read", {FROM_PEER, READ_ACCEPTED, READ_CANCELLED, CAUGHT_UP}, 4, true},
      {"everything read, then from a peer", {READ_ACCEPTED, READ_CANCELLED, CAUGHT_UP, FROM_PEER}, 4, true},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    fc_settings settings = fixture_settings();
    fc_cluster *cluster = fixture_cluster(&settings);
    for (unsigned step = 0; step < rows[i].step_count; step++) apply_step(cluster, rows[i].steps[step]);
    check_row(rows[i].name, fc_cluster_is_cancelled(cluster, "job-000001") == rows[i].cancelled);
    const fc_job *job = fc_cluster_find_job(cluster, "job-000001");
    /* Writes are conditional on the version read, not on one reported by a peer. */
    if (job) check_row(rows[i].name, job->record.version == (rows[i].step_count > 2 ? 9 : 5));
    fc_cluster_free(cluster);
  }
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(cancellations_since_a_revision),
      cmocka_unit_test(oldest_cancellations_are_dropped_at_the_bound),
      cmocka_unit_test(cancellation_is_final),
  };
  return cmocka_run_group_tests(tests, NULL, NULL);
}
