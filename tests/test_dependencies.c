/* Dependencies between jobs: which jobs are runnable, which are cancelled because of another, and
 * what they inherit from their dependents. */
#include "fixture.h"

#include <math.h>

#include "bookkeeping/dependencies.h"
#include "bookkeeping/job_records.h"
#include "scheduler/bin_packing.h"
#include "scheduler/job_order.h"

typedef struct pipeline_fixture {
  fc_settings settings;
  fc_cluster *cluster;
  uint64_t version;
} pipeline_fixture;

static pipeline_fixture *pipeline_new(void) {
  pipeline_fixture *pipeline = g_new0(pipeline_fixture, 1);
  pipeline->settings = fixture_settings();
  pipeline->cluster = fixture_cluster(&pipeline->settings);
  pipeline->version = 10;
  return pipeline;
}

static void pipeline_free(pipeline_fixture *pipeline) {
  fc_cluster_free(pipeline->cluster);
  g_free(pipeline);
}

/* Returns one of four buffers in rotation, valid through three more calls. */
static const char *job_id(unsigned number) {
  static char ids[4][32];
  static unsigned next;
  char *id = ids[next++ % 4];
  g_snprintf(id, sizeof ids[0], "job-%06u", number);
  return id;
}

/* A job of a pipeline. */
typedef struct stage {
  unsigned number; /* of the job */
  fc_priority priority;
  double estimate_s, deadline_s; /* 0: no deadline */
  unsigned dependencies[4];      /* 0: no more */
} stage;

/* Applies the job's record in that phase; `fresh`: read as a change, not in a full read. */
static fc_job *apply_record_at(pipeline_fixture *pipeline, const stage *job, fc_job_phase phase, bool fresh,
                               double now) {
  char *dependencies[5] = {NULL};
  for (unsigned i = 0; i < 4 && job->dependencies[i]; i++) dependencies[i] = g_strdup(job_id(job->dependencies[i]));
  fc_job_record record = {.phase = phase, .done = "", .slices = 1};
  record.awaiting = job->dependencies[0] && phase == FC_PHASE_ACCEPTED;
  record.spec = (fc_job_spec){.id = (char *)job_id(job->number),
                              .class_name = g_ref_string_new_intern("c"),
                              .team = g_ref_string_new_intern("red"),
                              .image = g_ref_string_new_intern("i"),
                              .priority = job->priority,
                              .tasks = 1,
                              .cpus = 1,
                              .estimate_s = job->estimate_s,
                              .deadline_s = job->deadline_s > 0 ? job->deadline_s : -1,
                              .dependencies = record.awaiting ? dependencies : NULL};
  fc_job *applied = fc_cluster_apply_job(pipeline->cluster, record.spec.id, &record, ++pipeline->version, fresh, now);
  g_ref_string_release(record.spec.class_name);
  g_ref_string_release(record.spec.team);
  g_ref_string_release(record.spec.image);
  for (char **id = dependencies; *id; id++) g_free(*id);
  return applied;
}

static fc_job *apply_record(pipeline_fixture *pipeline, const stage *job, fc_job_phase phase) {
  return apply_record_at(pipeline, job, phase, true, 0);
}

static const fc_job *find_job(const pipeline_fixture *pipeline, unsigned number) {
  return fc_cluster_find_job(pipeline->cluster, job_id(number));
}

/* 2 and 3 depend on 1, 4 on both, 5 on 4; 6 is independent. */
static const stage k_diamond[] = {
    {1, FC_PRIORITY_BEST_EFFORT, 10, 0, {0}}, {2, FC_PRIORITY_BEST_EFFORT, 20, 0, {1}},
    {3, FC_PRIORITY_STANDARD, 30, 0, {1}},    {4, FC_PRIORITY_STANDARD, 5, 0, {2, 3}},
    {5, FC_PRIORITY_HIGH, 10, 200, {4}},      {6, FC_PRIORITY_STANDARD, 10, 0, {0}},
};
enum { DIAMOND = G_N_ELEMENTS(k_diamond) };

static void result_is_independent_of_record_order(void **state) {
  (void)state;
  static const unsigned orders[][DIAMOND] = {
      {0, 1, 2, 3, 4, 5}, {5, 4, 3, 2, 1, 0}, {3, 0, 5, 1, 4, 2}, {4, 1, 2, 0, 3, 5}};
  for (size_t order = 0; order < G_N_ELEMENTS(orders); order++) {
    pipeline_fixture *pipeline = pipeline_new();
    for (unsigned i = 0; i < DIAMOND; i++)
      apply_record_at(pipeline, &k_diamond[orders[order][i]], FC_PHASE_ACCEPTED, false, 0);
    for (unsigned k = 1; k <= 6; k++) assert_int_equal(fc_job_runnable(find_job(pipeline, k)), k == 1 || k == 6);
    /* Latest starts, from the deadline of job 5 minus the estimates: 5 by 190, 4 by 185, 2 by 165,
     * 3 by 155, 1 by 145. */
    static const double latest_start[] = {0, 145, 165, 155, 185, 190};
    for (unsigned k = 1; k <= 5; k++) {
      assert_int_equal(find_job(pipeline, k)->queue.priority, FC_PRIORITY_HIGH);
      assert_true(fabs(fc_job_latest_start(find_job(pipeline, k)) - latest_start[k]) < 1e-9);
    }
    assert_true(find_job(pipeline, 6)->queue.priority == FC_PRIORITY_STANDARD &&
                isinf(fc_job_latest_start(find_job(pipeline, 6))));
    pipeline_free(pipeline);
  }
}

typedef struct readiness_row {
  const char *name;
  unsigned ended[6];       /* jobs in the order in which they end; 0: no more */
  fc_job_phase last_phase; /* of the last one; the others are done */
  unsigned runnable;       /* one bit for each job, as in `cancelled` */
  unsigned cancelled;
} readiness_row;

#define BIT(k) (1u << (k))

static const readiness_row k_readiness[] = {
    {"none has ended", {0}, FC_PHASE_DONE, BIT(1) | BIT(6), 0},
    {"the first is done", {1}, FC_PHASE_DONE, BIT(2) | BIT(3) | BIT(6), 0},
    {"one of two dependencies is done", {1, 2}, FC_PHASE_DONE, BIT(3) | BIT(6), 0},
    {"both are done", {1, 2, 3}, FC_PHASE_DONE, BIT(4) | BIT(6), 0},
    {"all but the last are done", {1, 3, 2, 4}, FC_PHASE_DONE, BIT(5) | BIT(6), 0},
    {"an independent job is done", {6}, FC_PHASE_DONE, BIT(1), 0},
    {"the first is cancelled", {1}, FC_PHASE_CANCELLED, BIT(6), BIT(1) | BIT(2) | BIT(3) | BIT(4) | BIT(5)},
    {"one of two dependencies is cancelled", {1, 2}, FC_PHASE_CANCELLED, BIT(3) | BIT(6), BIT(2) | BIT(4) | BIT(5)},
    {"the second of two is cancelled", {1, 2, 3}, FC_PHASE_CANCELLED, BIT(6), BIT(3) | BIT(4) | BIT(5)},
    {"the last is cancelled", {5}, FC_PHASE_CANCELLED, BIT(1) | BIT(6), BIT(5)},
    {"one without dependents is cancelled", {6}, FC_PHASE_CANCELLED, BIT(1), BIT(6)},
};

static void check_readiness(const pipeline_fixture *pipeline, const readiness_row *row) {
  for (unsigned k = 1; k <= DIAMOND; k++) {
    const fc_job *job = find_job(pipeline, k);
    check_row(row->name, fc_job_runnable(job) == (row->runnable >> k & 1));
    check_row(row->name, (job->phase == FC_PHASE_CANCELLED) == (row->cancelled >> k & 1));
    uint32_t running;
    if (!fc_job_dependencies_met(job) && !(row->cancelled >> k & 1))
      check_row(row->name, fc_job_status_of(job, &running) == FC_STATUS_PENDING);
  }
}

static void runnable_or_cancelled_by_dependencies(void **state) {
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS(k_readiness); i++) {
    const readiness_row *row = &k_readiness[i];
    pipeline_fixture *pipeline = pipeline_new();
    for (unsigned k = 0; k < DIAMOND; k++) apply_record(pipeline, &k_diamond[k], FC_PHASE_ACCEPTED);
    for (unsigned end = 0; end < 6 && row->ended[end]; end++) {
      bool last = end == 5 || !row->ended[end + 1];
      apply_record(pipeline, &k_diamond[row->ended[end] - 1], last ? row->last_phase : FC_PHASE_DONE);
    }
    check_readiness(pipeline, row);
    /* The result is the same from a full read of the records, in either order. */
    for (int backwards = 0; backwards < 2; backwards++) {
      pipeline_fixture *reread = pipeline_new();
      for (unsigned position = 0; position < DIAMOND; position++) {
        unsigned k = backwards ? DIAMOND - 1 - position : position;
        apply_record_at(reread, &k_diamond[k], find_job(pipeline, k + 1)->record.phase, false, 0);
      }
      check_readiness(reread, row);
      pipeline_free(reread);
    }
    pipeline_free(pipeline);
  }
}

/* The end of a job has the same effect whether it is known from its record, a peer or the archive. */
static void final_states_from_peers_and_archive(void **state) {
  (void)state;
  enum { PEER_CANCELLED, ARCHIVED_CANCELLED, ARCHIVED_DONE, REMOVED };
  static const struct {
    const char *name;
    bool known; /* the first job's record has been read */
    int source;
    bool runnable, cancelled;
  } rows[] = {
      {"cancelled, reported by a peer", true, PEER_CANCELLED, false, true},
      {"cancelled, reported by a peer, its record not read", false, PEER_CANCELLED, false, true},
      {"archived as cancelled", false, ARCHIVED_CANCELLED, false, true},
      {"archived as done", false, ARCHIVED_DONE, true, false},
      {"removed before its end was read", true, REMOVED, false, false},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    pipeline_fixture *pipeline = pipeline_new();
    if (rows[i].known) apply_record(pipeline, &k_diamond[0], FC_PHASE_ACCEPTED);
    apply_record(pipeline, &k_diamond[1], FC_PHASE_ACCEPTED);
    check_row(rows[i].name, !fc_job_dependencies_met(find_job(pipeline, 2)));
    check_row(rows[i].name, (fc_job_unknown_dependency(find_job(pipeline, 2)) == NULL) == rows[i].known);
    if (rows[i].source == PEER_CANCELLED) fc_cluster_apply_cancellation(pipeline->cluster, job_id(1), 1000, 3, 4);
    if (rows[i].source == ARCHIVED_CANCELLED)
      fc_dependencies_apply_state(pipeline->cluster, job_id(1), FC_DEPENDENCY_CANCELLED, 4);
    if (rows[i].source == ARCHIVED_DONE)
      fc_dependencies_apply_state(pipeline->cluster, job_id(1), FC_DEPENDENCY_DONE, 4);
    if (rows[i].source == REMOVED)
      fc_cluster_remove_job(pipeline->cluster, fc_cluster_find_job(pipeline->cluster, job_id(1)));
    const fc_job *dependent = find_job(pipeline, 2);
    check_row(rows[i].name, fc_job_runnable(dependent) == rows[i].runnable);
    check_row(rows[i].name, (dependent->phase == FC_PHASE_CANCELLED) == rows[i].cancelled);
    GPtrArray *unknown = fc_dependencies_unknown(pipeline->cluster, 9);
    check_row(rows[i].name, unknown->len == (rows[i].source == REMOVED));
    g_ptr_array_free(unknown, TRUE);
    pipeline_free(pipeline);
  }
}

/* A dependent of a cancelled job stays cancelled whatever older records of it are read, and is
 * listed for its owner until its own record says so. */
static void cancellation_reaches_dependents(void **state) {
  (void)state;
  pipeline_fixture *pipeline = pipeline_new();
  for (unsigned k = 0; k < 3; k++) apply_record(pipeline, &k_diamond[k], FC_PHASE_ACCEPTED);
  apply_record(pipeline, &k_diamond[0], FC_PHASE_CANCELLED);
  apply_record(pipeline, &k_diamond[1],
               FC_PHASE_ACCEPTED); /* written by a member that had not yet read the cancellation */
  assert_int_equal(find_job(pipeline, 2)->phase, FC_PHASE_CANCELLED);
  assert_int_equal(find_job(pipeline, 2)->record.phase, FC_PHASE_ACCEPTED);
  GPtrArray *ids = fc_dependencies_unrecorded_cancellations(pipeline->cluster, pipeline->cluster->membership.self, 9);
  assert_int_equal(ids->len, 2);
  g_ptr_array_free(ids, TRUE);
  assert_true(fc_dependencies_has_dependents(pipeline->cluster, job_id(1))); /* so that it is not archived yet */
  apply_record(pipeline, &k_diamond[1], FC_PHASE_CANCELLED);
  apply_record(pipeline, &k_diamond[2], FC_PHASE_CANCELLED);
  ids = fc_dependencies_unrecorded_cancellations(pipeline->cluster, pipeline->cluster->membership.self, 9);
  assert_int_equal(ids->len, 0);
  g_ptr_array_free(ids, TRUE);
  assert_false(fc_dependencies_has_dependents(pipeline->cluster, job_id(1)));
  /* A dependent submitted after that is cancelled immediately. */
  static const stage late = {9, FC_PRIORITY_HIGH, 1, 0, {1}};
  apply_record(pipeline, &late, FC_PHASE_ACCEPTED);
  assert_int_equal(find_job(pipeline, 9)->phase, FC_PHASE_CANCELLED);
  pipeline_free(pipeline);
}

/* A job inherits from its dependents only while they are pending. */
static void priority_and_deadline_from_dependents(void **state) {
  (void)state;
  pipeline_fixture *pipeline = pipeline_new();
  for (unsigned k = 0; k < 4; k++) apply_record(pipeline, &k_diamond[k], FC_PHASE_ACCEPTED);
  assert_true(find_job(pipeline, 1)->queue.priority == FC_PRIORITY_STANDARD &&
              isinf(find_job(pipeline, 1)->queue.due_at));
  apply_record(pipeline, &k_diamond[4], FC_PHASE_ACCEPTED); /* the last dependent, submitted late */
  assert_true(find_job(pipeline, 1)->queue.priority == FC_PRIORITY_HIGH && find_job(pipeline, 1)->queue.due_at == 155);
  assert_true(find_job(pipeline, 2)->queue.priority == FC_PRIORITY_HIGH && find_job(pipeline, 2)->queue.due_at == 185);
  static const stage sooner = {7, FC_PRIORITY_BEST_EFFORT, 10, 60, {2}};
  apply_record(pipeline, &sooner, FC_PHASE_ACCEPTED);
  assert_true(find_job(pipeline, 2)->queue.due_at == 50 && find_job(pipeline, 1)->queue.due_at == 30 &&
              find_job(pipeline, 3)->queue.due_at == 185);
  static const stage higher = {8, FC_PRIORITY_PROD, 10, 400, {2}};
  apply_record(pipeline, &higher, FC_PHASE_ACCEPTED);
  assert_true(find_job(pipeline, 2)->queue.priority == FC_PRIORITY_PROD && find_job(pipeline, 2)->queue.due_at == 50);
  apply_record(pipeline, &higher, FC_PHASE_CANCELLED);
  assert_true(find_job(pipeline, 2)->queue.priority == FC_PRIORITY_HIGH && find_job(pipeline, 2)->queue.due_at == 50);
  apply_record(pipeline, &sooner, FC_PHASE_CANCELLED);
  assert_true(find_job(pipeline, 2)->queue.due_at == 185 && find_job(pipeline, 1)->queue.due_at == 155);
  apply_record(pipeline, &k_diamond[4], FC_PHASE_CANCELLED);
  assert_true(find_job(pipeline, 1)->queue.priority == FC_PRIORITY_STANDARD &&
              isinf(find_job(pipeline, 1)->queue.due_at));
  assert_true(find_job(pipeline, 2)->queue.priority == FC_PRIORITY_STANDARD &&
              find_job(pipeline, 3)->queue.priority == FC_PRIORITY_STANDARD);
  fc_cluster_apply_cancellation(pipeline->cluster, job_id(4), 1000, 0, 0); /* from a peer */
  assert_int_equal(find_job(pipeline, 2)->queue.priority, FC_PRIORITY_BEST_EFFORT);
  assert_int_equal(find_job(pipeline, 3)->queue.priority, FC_PRIORITY_STANDARD);
  pipeline_free(pipeline);
}

/* Time in the queue and the arrival statistics of the class count from when the dependencies are
 * met. */
static void queue_time_begins_when_runnable(void **state) {
  (void)state;
  pipeline_fixture *pipeline = pipeline_new();
  apply_record_at(pipeline, &k_diamond[0], FC_PHASE_ACCEPTED, true, 1);
  apply_record_at(pipeline, &k_diamond[1], FC_PHASE_ACCEPTED, true, 2);
  const fc_arrival_class *job_class = g_hash_table_lookup(pipeline->cluster->arrivals.classes, "c");
  assert_true(job_class->weight == 1);
  apply_record_at(pipeline, &k_diamond[0], FC_PHASE_DONE, true, 50);
  assert_true(find_job(pipeline, 2)->queue.entered_at == 50 && find_job(pipeline, 2)->lifecycle.submitted_at == 2);
  assert_true(job_class->weight > 1);
  assert_int_equal(find_job(pipeline, 2)->slices.resolved, ~0u);
  pipeline_free(pipeline);
  /* If it is runnable in a full read, it may have been started before: its slices are not resolved. */
  pipeline = pipeline_new();
  pipeline->cluster->reconciliation.complete_in_term = 0;
  apply_record_at(pipeline, &k_diamond[1], FC_PHASE_ACCEPTED, false, 2);
  apply_record_at(pipeline, &k_diamond[0], FC_PHASE_DONE, false, 2);
  assert_true(fc_job_dependencies_met(find_job(pipeline, 2)));
  assert_int_equal(find_job(pipeline, 2)->slices.resolved, 0);
  pipeline_free(pipeline);
}

/* Once the dependencies are met, the owner writes the record without them; other members may read
 * that record before the end of the dependency. */
static void record_without_met_dependencies(void **state) {
  (void)state;
  pipeline_fixture *pipeline = pipeline_new();
  apply_record(pipeline, &k_diamond[0], FC_PHASE_ACCEPTED);
  apply_record(pipeline, &k_diamond[1], FC_PHASE_ACCEPTED);
  static const stage plain = {2, FC_PRIORITY_BEST_EFFORT, 20, 0, {0}};
  apply_record_at(pipeline, &plain, FC_PHASE_ACCEPTED, true, 7); /* read before the end of the first job */
  assert_true(fc_job_dependencies_met(find_job(pipeline, 2)) && find_job(pipeline, 2)->queue.entered_at == 7);
  assert_null(find_job(pipeline, 2)->spec.dependencies);
  assert_false(fc_dependencies_has_dependents(pipeline->cluster, job_id(1)));
  pipeline_free(pipeline);
}

static void not_placed_before_dependencies_are_met(void **state) {
  (void)state;
  pipeline_fixture *pipeline = pipeline_new();
  fixture_machine(pipeline->cluster, "vm-1", "a", false);
  for (unsigned k = 0; k < DIAMOND; k++) apply_record(pipeline, &k_diamond[k], FC_PHASE_ACCEPTED);
  fc_team_allowance allowance = fixture_unlimited_allowance();
  GArray *plan = fc_bin_packing_plan(pipeline->cluster, &allowance, 1);
  assert_int_equal(plan->len, 2);
  /* Job 1 inherits the priority of the last job that depends on it. */
  assert_string_equal(g_array_index(plan, fc_placement_decision, 0).job->spec.id, "job-000001");
  assert_string_equal(g_array_index(plan, fc_placement_decision, 1).job->spec.id, "job-000006");
  g_array_free(plan, TRUE);
  GPtrArray *open = fc_cluster_open_jobs(pipeline->cluster);
  assert_int_equal(open->len, 2);
  g_ptr_array_free(open, TRUE);
  pipeline_free(pipeline);
}

typedef struct order_row {
  const char *name;
  stage first, second;
  double first_at, second_at; /* submitted */
  bool in_order;
} order_row;

/* Jobs are ordered by priority, then by their latest start, or without a deadline by when they entered the queue. */
static void queue_order_of_two_jobs(void **state) {
  (void)state;
  static const order_row rows[] = {
      {"by priority", {1, FC_PRIORITY_STANDARD, 9, 10, {0}}, {2, FC_PRIORITY_HIGH, 9, 0, {0}}, 0, 5, false},
      {"first submitted", {1, FC_PRIORITY_HIGH, 9, 0, {0}}, {2, FC_PRIORITY_HIGH, 9, 0, {0}}, 0, 5, true},
      {"the sooner deadline", {1, FC_PRIORITY_HIGH, 9, 90, {0}}, {2, FC_PRIORITY_HIGH, 9, 50, {0}}, 0, 5, false},
      {"the longer job at equal deadlines",
       {1, FC_PRIORITY_HIGH, 9, 90, {0}},
       {2, FC_PRIORITY_HIGH, 30, 90, {0}},
       0,
       0,
       false},
      {"a distant deadline after a job without one",
       {1, FC_PRIORITY_HIGH, 9, 90, {0}},
       {2, FC_PRIORITY_HIGH, 9, 0, {0}},
       0,
       5,
       false},
      {"a close deadline before a job without one",
       {1, FC_PRIORITY_HIGH, 9, 12, {0}},
       {2, FC_PRIORITY_HIGH, 9, 0, {0}},
       0,
       5,
       true},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    pipeline_fixture *pipeline = pipeline_new();
    const fc_job *first = apply_record_at(pipeline, &rows[i].first, FC_PHASE_ACCEPTED, true, rows[i].first_at);
    const fc_job *second = apply_record_at(pipeline, &rows[i].second, FC_PHASE_ACCEPTED, true, rows[i].second_at);
    check_row(rows[i].name, (fc_job_compare_priority(&first, &second) < 0) == rows[i].in_order);
    check_row(rows[i].name, (fc_job_compare_priority(&second, &first) > 0) == rows[i].in_order);
    pipeline_free(pipeline);
  }
}

/* ---- large pipelines ---- */

enum { MANY_JOBS = 5000 };

/* Priority, deadline and cancellation propagate through a long chain without deep recursion. */
static void chain_of_thousands(void **state) {
  (void)state;
  pipeline_fixture *pipeline = pipeline_new();
  for (unsigned k = 1; k <= MANY_JOBS; k++) {
    const stage next = {
        k, k == MANY_JOBS ? FC_PRIORITY_PROD : FC_PRIORITY_STANDARD, 1, k == MANY_JOBS ? 2.0 * MANY_JOBS : 0, {k - 1}};
    apply_record(pipeline, &next, FC_PHASE_ACCEPTED);
  }
  assert_true(find_job(pipeline, 1)->queue.priority == FC_PRIORITY_PROD &&
              find_job(pipeline, 1)->queue.due_at == 2.0 * MANY_JOBS - (MANY_JOBS - 1));
  const stage first = {1, FC_PRIORITY_STANDARD, 1, 0, {0}};
  apply_record(pipeline, &first, FC_PHASE_CANCELLED);
  for (unsigned k = 1; k <= MANY_JOBS; k++) assert_int_equal(find_job(pipeline, k)->phase, FC_PHASE_CANCELLED);
  pipeline_free(pipeline);
}

static void thousands_of_dependents(void **state) {
  (void)state;
  pipeline_fixture *pipeline = pipeline_new();
  const stage first = {1, FC_PRIORITY_STANDARD, 1, 0, {0}};
  apply_record(pipeline, &first, FC_PHASE_ACCEPTED);
  for (unsigned k = 2; k <= MANY_JOBS; k++) {
    const stage next = {k, FC_PRIORITY_HIGH, 1, 1000.0 - k * 0.1, {1}};
    apply_record(pipeline, &next, FC_PHASE_ACCEPTED);
  }
  assert_true(find_job(pipeline, 1)->queue.priority == FC_PRIORITY_HIGH);
  assert_true(fabs(find_job(pipeline, 1)->queue.due_at - (1000.0 - MANY_JOBS * 0.1 - 1)) < 1e-6);
  apply_record(pipeline, &first, FC_PHASE_DONE);
  for (unsigned k = 2; k <= MANY_JOBS; k++) assert_true(fc_job_runnable(find_job(pipeline, k)));
  pipeline_free(pipeline);
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(result_is_independent_of_record_order),
      cmocka_unit_test(runnable_or_cancelled_by_dependencies),
      cmocka_unit_test(final_states_from_peers_and_archive),
      cmocka_unit_test(cancellation_reaches_dependents),
      cmocka_unit_test(priority_and_deadline_from_dependents),
      cmocka_unit_test(queue_time_begins_when_runnable),
      cmocka_unit_test(record_without_met_dependencies),
      cmocka_unit_test(not_placed_before_dependencies_are_met),
      cmocka_unit_test(queue_order_of_two_jobs),
      cmocka_unit_test(chain_of_thousands),
      cmocka_unit_test(thousands_of_dependents),
  };
  return cmocka_run_group_tests(tests, NULL, NULL);
}
