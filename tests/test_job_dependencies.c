/* Dependencies between jobs, with whole controllers and faults: replies to users, when dependents start,
 * and which jobs a cancellation reaches. */
#include "check.h"

#include <math.h>

#include "scene.h"
#include "sim/requests.h"

#define IMMEDIATE_S 0.3
#define BODY_BYTES ((size_t)63 * 1024) /* request bodies are limited to 64 KiB */

static void start_fleet(uint32_t seed, unsigned machines) {
  /* The cloud has no machines beyond these. */
  scene_begin(&(scene_setup){.seed = seed,
                             .capacity = (machines + 1) / 2,
                             .keep_idle = true,
                             .images_cached = true,
                             .machines = {machines / 2, machines - machines / 2}});
  sim_run_until(sim_now() + 8);
}

/* ---- replies to users ---- */

static char *submission(const char *id, const char *kind, const char *dependencies) {
  return g_strdup_printf(
      "{\"id\":\"%s\",\"squad\":\"c\",\"club\":\"red\",\"play\":\"%s\",\"rank\":\"high\",\"runs\":1,\"cpus\":1,"
      "\"gpus\":0,\"memGb\":1,\"kit\":\"i\",\"pullGb\":1,\"samePlace\":false,\"scatter\":false,\"loaners\":true,"
      "\"expectS\":10,\"markS\":0,\"stowS\":0%s%s}",
      id, kind, dependencies ? ",\"awaits\":" : "", dependencies ? dependencies : "");
}

static world_reply submit(unsigned node, const char *id, const char *kind, const char *dependencies) {
  char *body = submission(id, kind, dependencies);
  world_reply r = world_request(node, "POST", "/api/jobs", body);
  g_free(body);
  return r;
}

static bool controller_reports(const char *id, unsigned node, const char *status) {
  char path[64], text[64];
  g_snprintf(path, sizeof path, "/api/jobs/%s", id);
  g_snprintf(text, sizeof text, "\"status\":\"%s\"", status);
  return strstr(world_request(node, "GET", path, "").body, text) != NULL;
}

typedef struct answer_row {
  const char *name, *id, *dependencies;
  int status;
  const char *reported; /* job state in the reply; NULL: refused */
  int record_format;    /* 0: there is no record */
} answer_row;

/* Jobs 1 to 6, see start_jobs_to_depend_on(): 1 keeps running, 2 was cancelled, 3 is a service, 4 is done;
 * 5 and 6 were archived, 5 as done and 6 as cancelled. */
static const answer_row k_answers[] = {
    {"no dependency", "job-000100", "[]", 201, "pending", 1},
    {"a running job", "job-000101", "[\"job-000001\"]", 201, "pending", 2},
    {"a done job", "job-000102", "[\"job-000004\"]", 201, "pending", 1},
    {"a job archived as done", "job-000103", "[\"job-000005\"]", 201, "pending", 1},
    {"a cancelled job", "job-000104", "[\"job-000002\"]", 201, "cancelled", 1},
    {"a job archived as cancelled", "job-000105", "[\"job-000006\"]", 201, "cancelled", 1},
    {"done, running and cancelled", "job-000106", "[\"job-000004\",\"job-000001\",\"job-000002\"]", 201, "cancelled",
     1},
    {"a job listed twice", "job-000107", "[\"job-000001\",\"job-000001\"]", 201, "pending", 2},
    {"a job with a pending dependency", "job-000108", "[\"job-000101\"]", 201, "pending", 2},
    {"a job cancelled with its dependency", "job-000109", "[\"job-000104\"]", 201, "cancelled", 1},
    {"a service", "job-000110", "[\"job-000003\"]", 422, NULL, 0},
    {"an unknown job", "job-000111", "[\"job-999999\"]", 422, NULL, 0},
    {"a known and an unknown job", "job-000112", "[\"job-000001\",\"job-999999\"]", 422, NULL, 0},
    {"the job itself", "job-000113", "[\"job-000113\"]", 422, NULL, 0},
    {"not a list", "job-000114", "\"job-000001\"", 400, NULL, 0},
    {"not an id", "job-000115", "[\"job-1\"]", 400, NULL, 0},
    {"a repeated submission, with another dependency", "job-000101", "[\"job-999999\"]", 200, "pending", 2},
    {"a repeated submission, depending on itself", "job-000101", "[\"job-000101\"]", 200, "pending", 2},
    {"a repeated submission, malformed", "job-000101", "7", 200, "pending", 2},
    {"a repeated submission of a job cancelled at once", "job-000104", "[]", 200, "cancelled", 1},
};

#define NEXT_POLL_S 6.0 /* users ask about every 5 s */

static void start_jobs_to_depend_on(void) {
  start_fleet(1, 4);
  for (unsigned k = 5; k <= 6; k++) world_submit(world_id(k), "sweep", "standard", 1, 0.5, 2, 0);
  sim_run_until(sim_now() + 1);
  world_cancel(world_id(6), -1, 0);
  sim_run_until(sim_now() + 30); /* archived */
  assert_true(kv_has_key("fc1over/job-000005") && kv_has_key("fc1over/job-000006"));
  world_submit(world_id(1), "sweep", "standard", 1, 0.5, 1e6, 0);
  world_submit(world_id(2), "sweep", "standard", 1, 0.5, 1e6, 0);
  world_submit(world_id(3), "service", "prod", 1, 0.5, 1e6, 0);
  world_submit(world_id(4), "sweep", "standard", 1, 0.5, 1, 0);
  sim_run_until(sim_now() + 1);
  world_cancel(world_id(2), -1, 0);
  sim_run_until(sim_now() + 5);
  assert_true(world_completed_at(world_id(4)) > 0);
  double until = sim_now() + NEXT_POLL_S;
  while (!world_seen_terminal_state(world_id(4)) && sim_now() < until) sim_run_until(sim_now() + 0.25);
  assert_non_null(world_seen_terminal_state(world_id(4)));
  assert_string_equal(world_seen_terminal_state(world_id(4)), "done");
}

static void replies_to_submissions_with_dependencies(void **state) {
  (void)state;
  start_jobs_to_depend_on();
  for (size_t i = 0; i < G_N_ELEMENTS(k_answers); i++) {
    const answer_row *row = &k_answers[i];
    world_reply r = submit((unsigned)i % WORLD_NODES, row->id, "sweep", row->dependencies);
    check_row(row->name, r.status == row->status && r.took < IMMEDIATE_S);
    check_row(row->name, !row->reported || strstr(r.body, row->reported));
    char *key = g_strconcat("fc1/job/", row->id, NULL);
    check_row(row->name, kv_has_key(key) == (row->reported != NULL));
    /* Older versions must skip records with pending dependencies, and read all others. */
    check_row(row->name, row->record_format != FC_JOB_FORMAT_AWAITING || kv_value_contains(key, "\"f\":2"));
    check_row(row->name, row->record_format != FC_JOB_FORMAT_PLAIN || kv_value_contains(key, "\"f\":1"));
    g_free(key);
    sim_run_until(sim_now() + 0.3); /* archived jobs are looked up at a bounded rate */
    for (unsigned n = 0; n < WORLD_NODES && row->reported; n++)
      check_row(row->name, controller_reports(row->id, n, row->reported));
  }
  if (world_current_result().broken) fail_msg("%s", world_current_result().first);
}

/* A submission whose dependencies can't be checked now is refused at once, with Retry-After. */
static void dependencies_in_a_kv_store_outage(void **state) {
  (void)state;
  start_jobs_to_depend_on();
  world_kv_down(20);
  sim_run_until(sim_now() + 4);
  static const char *const dependencies[] = {"[\"job-999999\"]", "[\"job-000005\"]", "[\"job-000001\"]",
                                             "[\"job-000200\"]"};
  for (size_t i = 0; i < G_N_ELEMENTS(dependencies); i++) {
    world_reply r = submit((unsigned)i % WORLD_NODES, "job-000200", "sweep", dependencies[i]);
    check_row(dependencies[i], r.status == 503 && r.retry_after > 0 && r.took < IMMEDIATE_S);
  }
  sim_run_until(sim_now() + 30);
  assert_int_equal(submit(0, "job-000200", "sweep", dependencies[0]).status, 422);
  assert_int_equal(submit(0, "job-000200", "sweep", dependencies[1]).status, 201);
  if (world_current_result().broken) fail_msg("%s", world_current_result().first);
}

/* A job accepted by one controller can be named as a dependency at another within a millisecond, and be
 * cancelled at a third at the same time. */
static void dependency_accepted_or_cancelled_just_before(void **state) {
  (void)state;
  start_fleet(2, 2);
  char id[2][32], list[64], path[80];
  for (unsigned k = 0; k < 60; k++) {
    g_snprintf(id[0], sizeof id[0], "job-%06u", 1000 + 2 * k);
    g_snprintf(id[1], sizeof id[1], "job-%06u", 1001 + 2 * k);
    g_snprintf(list, sizeof list, "[\"%s\"]", id[0]);
    world_reply accepted, dependent, cancelled;
    char *body = submission(id[0], "sweep", NULL), *next = submission(id[1], "sweep", list);
    world_send(&accepted, k % WORLD_NODES, "POST", "/api/jobs", body);
    while (!accepted.came) sim_run_until(sim_now() + 0.0002);
    assert_int_equal(accepted.status, 201);
    g_snprintf(path, sizeof path, "/api/jobs/%s/withdraw", id[0]);
    bool cancel = k % 2 == 1;
    world_send(&dependent, (k + 1) % WORLD_NODES, "POST", "/api/jobs", next);
    if (cancel) world_send(&cancelled, (k + 2) % WORLD_NODES, "POST", path, "");
    while (!dependent.came || (cancel && !cancelled.came)) sim_run_until(sim_now() + 0.0002);
    assert_int_equal(dependent.status, 201);
    if (cancel) assert_int_equal(cancelled.status, 200);
    for (unsigned n = 0; cancel && n < WORLD_NODES; n++) assert_true(controller_reports(id[1], n, "cancelled"));
    g_free(body);
    g_free(next);
  }
}

/* A body of almost the largest size, full of ids of unknown jobs, is answered at once. */
static void body_full_of_unknown_dependencies(void **state) {
  (void)state;
  start_fleet(3, 2);
  GString *dependencies = g_string_new("[");
  for (unsigned k = 0; dependencies->len < BODY_BYTES; k++)
    g_string_append_printf(dependencies, "%s\"job-%06u\"", k ? "," : "", 500000 + k);
  g_string_append_c(dependencies, ']');
  world_reply r = submit(0, "job-000001", "sweep", dependencies->str);
  g_string_free(dependencies, TRUE);
  assert_true(r.status == 422 && r.took < IMMEDIATE_S);
}

enum { MANY_DEPENDENCIES = 300 };

/* With eighteen digits, so that a list of ids takes several values of the key-value store. */
static const char *long_id(unsigned k) {
  static char id[32];
  g_snprintf(id, sizeof id, "job-9000000000000%05u", k);
  return id;
}

/* Repeats the submission until it is accepted; returns the seconds it took. */
static double submit_until_accepted(const char *body, double timeout_s) {
  double began = sim_now();
  for (unsigned k = 0; sim_now() < began + timeout_s; k++) {
    world_reply r = world_request(k % WORLD_NODES, "POST", "/api/jobs", body);
    if (r.status == 201 || r.status == 200) return sim_now() - began;
    assert_true(r.status == 503 && r.retry_after > 0);
    sim_run_until(sim_now() + 1);
  }
  fail_msg("not accepted within %.0f s", timeout_s);
  return 0;
}

static unsigned g_part_count;

static void count_part(const char *id) {
  (void)id;
  g_part_count++;
}

static unsigned parts_stored(void) {
  g_part_count = 0;
  kv_each_job("fc1/part/", count_part);
  return g_part_count;
}

/* Returns their ids as a JSON list. */
static GString *submit_many_dependencies(void) {
  /* All dependencies depend on one long job. */
  world_submit(world_id(9), "sweep", "standard", 1, 1, 130, 0);
  GString *dependencies = g_string_new("[");
  for (unsigned k = 0; k < MANY_DEPENDENCIES; k++) {
    g_string_append_printf(dependencies, "%s\"%s\"", k ? "," : "", long_id(k));
    world_submit_job(&(world_job){.id = long_id(k),
                                  .kind = "sweep",
                                  .tasks = 1,
                                  .gpus = 0.25,
                                  .run_s = 1,
                                  .in_s = 1 + 0.1 * k,
                                  .dependencies = {world_id(9)}});
  }
  g_string_append_c(dependencies, ']');
  return dependencies;
}

/* A job whose list of dependencies exceeds a value of 2 KiB is accepted and stays pending until all of them
 * are done, also across restarts. The parts of its description are removed with it, and so are those of an
 * abandoned submission. */
static void dependencies_beyond_one_value(void **state) {
  (void)state;
  const scene_setup setup = {.seed = 4, .capacity = 3, .keep_idle = true, .images_cached = true, .machines = {3, 3}};
  scene_prepare(&setup);
  world_kv_announce_limits(2, 4, 40);
  world_kv_limit(2, 4, 40);
  world_archive_after(120);
  scene_start(&setup);
  sim_run_until(sim_now() + 8);
  GString *dependencies = submit_many_dependencies();
  sim_run_until(sim_now() + 80);
  assert_int_equal(world_current_result().accepted, MANY_DEPENDENCIES + 1);
  char *body = submission("job-000001", "sweep", dependencies->str);
  world_add_job("job-000001", "sweep", 1, 0, 3);
  double took = submit_until_accepted(body, 60);
  print_message("%d ids: accepted after %.2f s, in %u parts\n", MANY_DEPENDENCIES, took, parts_stored());
  assert_true(parts_stored() >= 4);
  /* Another submission is abandoned: its controller crashes between writing the parts and the record. */
  char *other = submission("job-000002", "sweep", dependencies->str);
  for (unsigned n = 0; n < WORLD_NODES; n++) world_crash(n, 0.3);
  sim_run_until(sim_now() + 6);
  for (unsigned n = 0; n < WORLD_NODES; n++) assert_true(controller_reports("job-000001", n, "pending"));
  world_reply abandoned;
  world_crash_at_write(0, "fc1/part/job-000002", 0.0001, 0.3);
  world_send(&abandoned, 0, "POST", "/api/jobs", other);
  sim_run_until(sim_now() + 10);
  assert_int_equal(abandoned.status, 0);
  assert_true(parts_stored() >= 8 && !kv_has_key("fc1/job/job-000002"));
  double give_up_at = sim_now() + 150;
  while (!controller_reports("job-000001", 1, "done") && sim_now() < give_up_at) sim_run_until(sim_now() + 1);
  for (unsigned k = 0; k < MANY_DEPENDENCIES; k++)
    assert_true(world_completed_at("job-000001") > world_completed_at(long_id(k)) + 3);
  assert_true(controller_reports("job-000001", 1, "done"));
  sim_run_until(sim_now() + 200);
  assert_false(kv_has_key("fc1/job/job-000001"));
  assert_int_equal(parts_stored(), 0);
  if (world_current_result().broken) fail_msg("%s", world_current_result().first);
  g_string_free(dependencies, TRUE);
  g_free(body);
  g_free(other);
}

/* ---- when dependents start ---- */

typedef struct chain_row {
  const char *name;
  double deadline_s;   /* of the last job; 0: none */
  double last_later_s; /* the last job is submitted so much later than the others */
  enum { NO_FAULT, CRASH_ONE, CRASH_ALL, KV_REFUSES_ONE, ROLLING_RESTART, KV_DOWN } fault;
  double slack_s; /* longest time beyond the run times of the four jobs */
} chain_row;

static const chain_row k_chains[] = {
    {"without a fault", 0, 0, NO_FAULT, 8},
    {"with a deadline", 60, 0, NO_FAULT, 8},
    {"the last job comes when the others are done", 0, 45, NO_FAULT, 30},
    {"a controller crashes", 0, 0, CRASH_ONE, 25},
    {"all controllers crash", 0, 0, CRASH_ALL, 35},
    {"the key-value store refuses a controller for 25 s", 0, 0, KV_REFUSES_ONE, 30},
    {"controllers are restarted one after the other", 0, 0, ROLLING_RESTART, 45},
    {"the key-value store is down for a while", 0, 0, KV_DOWN, 40},
};

enum { STAGE_S = 6, STAGES = 4 };

static void submit_chain(const chain_row *row, unsigned first, double in_s) {
  for (unsigned k = 0; k < STAGES; k++)
    world_submit_job(
        &(world_job){.id = world_id(first + k),
                     .kind = k == 2 ? "gang" : "sweep",
                     .priority = k + 1 == STAGES ? "high" : "best_effort",
                     .tasks = k == 1 ? 12 : 2,
                     .gpus = 0.25,
                     .run_s = STAGE_S,
                     .in_s = in_s + (k + 1 == STAGES ? row->last_later_s : 0),
                     .deadline_s = k + 1 == STAGES ? row->deadline_s : 0,
                     .dependencies = {k > 0 ? world_id(first + k - 1) : NULL, k == 3 ? world_id(first) : NULL}});
}

static void apply_chain_fault(const chain_row *row) {
  switch (row->fault) {
    case CRASH_ONE:
      world_crash(0, 4);
      break;
    case CRASH_ALL:
      for (unsigned n = 0; n < WORLD_NODES; n++) world_crash(n, 4);
      break;
    case KV_REFUSES_ONE:
      world_kv_refuse_node(1, 25);
      break;
    case KV_DOWN:
      world_kv_down(20);
      break;
    default:
      break;
  }
}

/* Chains of four jobs, with a fault in the middle; that of one row, or of all others. */
static void run_chains(bool beside_refusal) {
  for (size_t i = 0; i < G_N_ELEMENTS(k_chains); i++) {
    const chain_row *row = &k_chains[i];
    if ((row->fault == KV_REFUSES_ONE) != beside_refusal) continue;
    start_fleet(50 + (uint32_t)i, 6);
    for (unsigned c = 0; c < 6; c++) submit_chain(row, 10 * c + 1, 0.5 * c);
    double began = sim_now();
    sim_run_until(began + 9);
    apply_chain_fault(row);
    for (unsigned n = 0; n < WORLD_NODES && row->fault == ROLLING_RESTART; n++) {
      world_crash(n, 3);
      sim_run_until(sim_now() + 10);
    }
    sim_run_until(began + 200);
    double longest = 0;
    for (unsigned c = 0; c < 6; c++) {
      const char *last = world_id(10 * c + STAGES);
      check_row(row->name, world_seen_terminal_state(last) && strcmp(world_seen_terminal_state(last), "done") == 0);
      longest = MAX(longest, world_completed_at(last) - began - 0.5 * c);
    }
    print_message("%s: the longest of six chains took %.1f s, including %u s for its tasks\n", row->name, longest,
                  STAGE_S * STAGES);
    check_row(row->name, longest < STAGE_S * STAGES + row->slack_s);
    if (world_current_result().broken) fail_msg("%s: %s", row->name, world_current_result().first);
  }
}

static void chains_complete_despite_faults(void **state) {
  (void)state;
  run_chains(false);
}

/* By itself, so that it can be listed in KNOWN-RED.txt. */
static void chains_beside_a_refusal(void **state) {
  (void)state;
  run_chains(true);
}

/* Other jobs of a team can use its whole limit while some of its jobs wait for dependencies. */
static void pending_jobs_use_no_quota(void **state) {
  (void)state;
  start_fleet(70, 8);
  world_submit_job(&(world_job){.id = world_id(1), .kind = "sweep", .team = "red", .tasks = 1, .gpus = 1, .run_s = 60});
  /* The blue team may use 12 GPUs: its pending gang and array would take them all. */
  for (unsigned k = 2; k <= 3; k++)
    world_submit_job(&(world_job){.id = world_id(k),
                                  .kind = k == 2 ? "gang" : "sweep",
                                  .priority = "high",
                                  .team = "blue",
                                  .tasks = 12,
                                  .gpus = 1,
                                  .run_s = 5,
                                  .dependencies = {world_id(1)}});
  world_submit_job(
      &(world_job){.id = world_id(4), .kind = "sweep", .team = "blue", .tasks = 12, .gpus = 1, .run_s = 20, .in_s = 2});
  sim_run_until(sim_now() + 20);
  assert_int_equal(world_tasks_of(world_id(4)), 12);
  sim_run_until(sim_now() + 80);
  for (unsigned k = 1; k <= 4; k++) assert_string_equal(world_seen_terminal_state(world_id(k)), "done");
  if (world_current_result().broken) fail_msg("%s", world_current_result().first);
}

/* In a full fleet a dependency of a job with a deadline is started before jobs of higher priority, also when
 * the job with the deadline is submitted later. */
static void deadline_of_the_last_dependent(void **state) {
  (void)state;
  for (unsigned late = 0; late < 2; late++) {
    start_fleet(80 + late, 2);
    /* Eight GPUs, all in use for a while, and a queue of jobs of standard priority. */
    world_submit(world_id(1), "sweep", "standard", 8, 1, 20, 0);
    for (unsigned k = 2; k <= 9; k++)
      world_submit_job(&(world_job){
          .id = world_id(k), .kind = "sweep", .tasks = 8, .gpus = 1, .run_s = 10, .in_s = 1, .deadline_s = 300});
    world_submit(world_id(20), "sweep", "best_effort", 4, 1, 5, 3);
    world_submit_job(&(world_job){.id = world_id(21),
                                  .kind = "sweep",
                                  .priority = "standard",
                                  .tasks = 2,
                                  .gpus = 1,
                                  .run_s = 5,
                                  .in_s = late ? 8 : 3,
                                  .deadline_s = 20,
                                  .dependencies = {world_id(20)}});
    double began = sim_now();
    sim_run_until(began + 120);
    print_message("the dependency began after %.1f s, the dependent after %.1f s\n",
                  world_began_at(world_id(20)) - began, world_began_at(world_id(21)) - began);
    assert_true(world_began_at(world_id(20)) - began < 27);
    assert_true(world_began_at(world_id(21)) - began < 45);
    if (world_current_result().broken) fail_msg("%s", world_current_result().first);
  }
}

/* ---- cancellations ---- */

/* WRITER: controller 0, which commits and acknowledges the cancellation. */
typedef struct cancel_row {
  const char *name;
  enum { NONE, WRITER_CRASHES, KV_OUTAGE, OTHERS_CRASH, WRITER_REFUSED, ZONE_CUT, ALL_CRASH } fault;
  bool query_later; /* 0.1 s after the cancellation, else at once */
} cancel_row;

static const cancel_row k_cancels[] = {
    {"without a fault", NONE, true},
    {"the acknowledging controller crashes right after its answer", WRITER_CRASHES, true},
    {"the key-value store is down", KV_OUTAGE, false},
    {"the other controllers crash", OTHERS_CRASH, false},
    {"the key-value store refuses the acknowledging controller", WRITER_REFUSED, false},
    {"a zone is cut off", ZONE_CUT, false},
    {"all controllers crash", ALL_CRASH, false},
};

static void apply_cancel_fault(const cancel_row *row) {
  if (row->fault == WRITER_CRASHES) world_crash(0, 4);
  if (row->fault == KV_OUTAGE) world_kv_down(50);
  if (row->fault == WRITER_REFUSED) world_kv_refuse_node(0, 40);
  if (row->fault == ZONE_CUT) world_cut_zone(1, 20);
  for (unsigned n = 0; n < WORLD_NODES; n++)
    if (row->fault == ALL_CRASH || (row->fault == OTHERS_CRASH && n > 0)) world_crash(n, 4);
}

enum { ROOT_JOB = 1, DIRECT_DEPENDENTS = 20, DEPENDENTS = 2 * DIRECT_DEPENDENTS };

/* One running job, twenty dependents, and twenty more that depend on one of those each. */
static void submit_dependency_tree(void) {
  world_submit(world_id(ROOT_JOB), "sweep", "standard", 2, 1, 1e6, 0);
  for (unsigned k = 1; k <= DEPENDENTS; k++)
    world_submit_job(
        &(world_job){.id = world_id(ROOT_JOB + k),
                     .kind = k % 3 == 0                            ? "gang"
                             : k > DIRECT_DEPENDENTS && k % 7 == 0 ? "service"
                                                                   : "sweep",
                     .team = k % 2 ? "red" : "blue",
                     .tasks = 1 + k % 4,
                     .gpus = 0.5,
                     .run_s = 5,
                     .in_s = 1,
                     .dependencies = {world_id(k <= DIRECT_DEPENDENTS ? ROOT_JOB : ROOT_JOB + k - DIRECT_DEPENDENTS)}});
}

/* All controllers report all dependents as cancelled. */
static void check_all_cancelled(const cancel_row *row, bool unavailable_allowed) {
  for (unsigned k = 1; k <= DEPENDENTS; k++) {
    char path[64];
    g_snprintf(path, sizeof path, "/api/jobs/%s", world_id(ROOT_JOB + k));
    for (unsigned n = 0; n < WORLD_NODES; n++) {
      world_reply r = world_request(n, "GET", path, "");
      check_row(row->name, (unavailable_allowed && r.status != 200) || strstr(r.body, "\"cancelled\""));
    }
  }
}

/* Repeats the query until it is answered: archived jobs are looked up at a bounded rate. */
static bool archived_as_cancelled(unsigned k) {
  char path[64];
  g_snprintf(path, sizeof path, "/api/jobs/%s", world_id(k));
  for (unsigned tries = 0; tries < 20; tries++) {
    world_reply r = world_request(k % WORLD_NODES, "GET", path, "");
    if (r.status == 200) return strstr(r.body, "\"cancelled\"") != NULL;
    sim_run_until(sim_now() + 1);
  }
  return false;
}

/* A cancellation reaches direct and indirect dependents in all shards: no other state is reported and none
 * of them ever starts, also after all are archived and every controller has restarted. */
static void cancellation_reaches_all_dependents(void **state) {
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS(k_cancels); i++) {
    const cancel_row *row = &k_cancels[i];
    start_fleet(100 + (uint32_t)i, 6);
    submit_dependency_tree();
    sim_run_until(sim_now() + 9);
    assert_true(world_current_result().accepted == DEPENDENTS + 1);
    world_cancel(world_id(ROOT_JOB), 0, 0);
    while (!world_seen_cancelled_at(world_id(ROOT_JOB))) sim_run_until(sim_now() + 0.001);
    apply_cancel_fault(row);
    if (row->query_later) sim_run_until(sim_now() + 0.1);
    check_all_cancelled(row, true);
    sim_run_until(sim_now() + 120);
    for (unsigned k = 1; k <= DEPENDENTS; k++) {
      check_row(row->name, world_starts_of(world_id(ROOT_JOB + k)) == 0);
      check_row(row->name, world_seen_terminal_state(world_id(ROOT_JOB + k)) &&
                               strcmp(world_seen_terminal_state(world_id(ROOT_JOB + k)), "cancelled") == 0);
    }
    check_row(row->name, kv_has_key("fc1over/job-000001") && !kv_has_key("fc1/job/job-000001"));
    for (unsigned n = 0; n < WORLD_NODES; n++) world_crash(n, 0.5);
    sim_run_until(sim_now() + 15);
    if (world_current_result().broken) fail_msg("%s: %s", row->name, world_current_result().first);
    for (unsigned k = 1; k <= DEPENDENTS; k += 8) check_row(row->name, archived_as_cancelled(ROOT_JOB + k));
  }
}

/* The job completes as it is cancelled: its dependents follow whichever state was acknowledged. */
static void cancellation_at_completion(void **state) {
  (void)state;
  unsigned done = 0, cancelled = 0;
  for (uint32_t seed = 0; seed < 12; seed++) {
    start_fleet(200 + seed, 4);
    world_submit(world_id(1), "sweep", "standard", 1, 1, 5, 0);
    world_submit_job(&(world_job){.id = world_id(2),
                                  .kind = "sweep",
                                  .tasks = 2,
                                  .gpus = 1,
                                  .run_s = 3,
                                  .in_s = 1,
                                  .dependencies = {world_id(1)}});
    world_submit_job(&(world_job){.id = world_id(3),
                                  .kind = "sweep",
                                  .tasks = 1,
                                  .gpus = 1,
                                  .run_s = 3,
                                  .in_s = 1,
                                  .dependencies = {world_id(2)}});
    while (!world_began_at(world_id(1))) sim_run_until(sim_now() + 0.05);
    sim_run_until(world_began_at(world_id(1)) + 4.9 + 0.1 * seed);
    world_cancel(world_id(1), (int)(seed % WORLD_NODES), 0);
    sim_run_until(sim_now() + 40);
    const char *acknowledged = world_seen_terminal_state(world_id(1));
    assert_non_null(acknowledged);
    done += strcmp(acknowledged, "done") == 0;
    cancelled += strcmp(acknowledged, "cancelled") == 0;
    for (unsigned k = 2; k <= 3; k++) assert_string_equal(world_seen_terminal_state(world_id(k)), acknowledged);
    assert_int_equal(world_starts_of(world_id(3)), strcmp(acknowledged, "done") == 0);
    if (world_current_result().broken) fail_msg("seed %u: %s", seed, world_current_result().first);
  }
  print_message("cancelled at completion: %u done, %u cancelled\n", done, cancelled);
  assert_true(done > 0 && cancelled > 0);
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(replies_to_submissions_with_dependencies),
      cmocka_unit_test(dependencies_in_a_kv_store_outage),
      cmocka_unit_test(dependency_accepted_or_cancelled_just_before),
      cmocka_unit_test(body_full_of_unknown_dependencies),
      cmocka_unit_test(dependencies_beyond_one_value),
      cmocka_unit_test(chains_complete_despite_faults),
      cmocka_unit_test(chains_beside_a_refusal),
      cmocka_unit_test(pending_jobs_use_no_quota),
      cmocka_unit_test(deadline_of_the_last_dependent),
      cmocka_unit_test(cancellation_reaches_all_dependents),
      cmocka_unit_test(cancellation_at_completion),
  };
  /* Runs a single test, or all tests except one. */
  cmocka_set_test_filter(g_getenv("DEPENDENCIES_ONLY"));
  cmocka_set_skip_filter(g_getenv("DEPENDENCIES_BUT"));
  return cmocka_run_group_tests(tests, NULL, NULL);
}
