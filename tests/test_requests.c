/* Requests to whole controllers: about a job that is just completing, invalid ones and repeated ones. Every
 * reply is timed, and must agree with the committed state. */
#include "check.h"

#include <stdlib.h>

#include "scene.h"
#include "sim/requests.h"

#define ARCHIVE_LOOKUP_S 0.3 /* between requests: archived jobs are looked up at a bounded rate */
#define NEXT_REQUEST_S 0.01  /* between requests that may be answered with 503 */
#define IMMEDIATE_S 0.3      /* enough for a few exchanges, but not for waiting */

/* ---- completion of a job ---- */

#define JOB_ID "job-000001"

typedef struct completion_row {
  const char *name, *kind;
  unsigned tasks;
  double slow_s; /* longest response time of the key-value store */
} completion_row;

static void start_one_job(const completion_row *row) {
  scene_begin(&(scene_setup){.seed = 11, .capacity = 8, .keep_idle = true, .machines = {2, 1}});
  world_submit(JOB_ID, row->kind, "standard", row->tasks, 1, 6, 5);
  sim_run_until(sim_now() + 6);
  if (row->slow_s > 0) world_kv_slow(1e6, row->slow_s);
}

static bool committed(const char *status) {
  char text[40];
  g_snprintf(text, sizeof text, "\"phase\":\"%s\"", status);
  return kv_value_contains("fc1/job/" JOB_ID, text) ||
         (kv_has_key("fc1over/" JOB_ID) &&
          kv_value_contains("fc1over/" JOB_ID, strcmp(status, "done") == 0 ? "\"done\":true" : "\"done\":false"));
}

/* Sends three kinds of request to all controllers at the same time; each reply must report `status`. Unless
 * `exact`, a controller may answer 503 instead, as it may with a slow key-value store. */
static void check_all_replies(const char *name, const char *status, const char *body, bool exact) {
  world_reply r[WORLD_NODES * 3];
  char expected[40];
  g_snprintf(expected, sizeof expected, "\"status\":\"%s\"", status);
  for (unsigned n = 0; n < WORLD_NODES; n++) {
    world_reply *replies = &r[(size_t)n * 3];
    world_send(&replies[0], n, "GET", "/api/jobs/" JOB_ID, "");
    world_send(&replies[1], n, "POST", "/api/jobs", body);
    world_send(&replies[2], n, "POST", "/api/jobs/" JOB_ID "/withdraw", "");
  }
  sim_run_until(sim_now() + 8.1); /* no request takes longer */
  for (unsigned i = 0; i < G_N_ELEMENTS(r); i++) {
    bool as_expected = r[i].status == 200 && strstr(r[i].body, expected);
    if (!as_expected && (exact || r[i].status != 503))
      print_message("%s: expected %s, controller %u replied %d %s\n", name, status, i / 3, r[i].status, r[i].body);
    check_row(name, as_expected || (!exact && r[i].status == 503));
  }
}

static const char k_repeated_submission[] = "{\"id\":\"" JOB_ID "\"}"; /* the id is enough */

/* Cancels the job at `at`, with a query and a repeated submission to the other two controllers at the same
 * time. Returns the terminal state that the user saw. */
static const char *cancel_and_query_at(const completion_row *row, double at, unsigned node) {
  char name[120];
  start_one_job(row);
  sim_run_until(at);
  world_cancel(JOB_ID, (int)node, 0);
  world_reply query, repeated;
  world_send(&query, (node + 1) % WORLD_NODES, "GET", "/api/jobs/" JOB_ID, "");
  world_send(&repeated, (node + 2) % WORLD_NODES, "POST", "/api/jobs", k_repeated_submission);
  double give_up_at = at + 20;
  while (!world_seen_terminal_state(JOB_ID) && sim_now() < give_up_at) sim_run_until(sim_now() + 0.002);
  const char *acknowledged = world_seen_terminal_state(JOB_ID);
  g_snprintf(name, sizeof name, "%s, cancelled %+.3f s after completion, acknowledged as %s", row->name,
             at - world_completed_at(JOB_ID), acknowledged ? acknowledged : "nothing");
  check_row(name, acknowledged);
  check_row(name, committed(acknowledged)); /* before it is acknowledged */
  check_all_replies(name, acknowledged, k_repeated_submission, row->slow_s <= 0);
  for (unsigned k = 0; k < 2; k++) {
    const world_reply *r = k ? &repeated : &query;
    bool is_terminal = strstr(r->body, "\"status\":\"done\"") || strstr(r->body, "\"status\":\"cancelled\"");
    char expected[40];
    g_snprintf(expected, sizeof expected, "\"status\":\"%s\"", acknowledged);
    check_row(name, r->came && (r->status == 200 || (r->status == 503 && row->slow_s > 0)));
    check_row(name, !is_terminal || strstr(r->body, expected));
  }
  sim_run_until(sim_now() + 30); /* the job is archived by now */
  check_row(name, committed(acknowledged));
  check_all_replies(name, acknowledged, k_repeated_submission, row->slow_s <= 0);
  check_row(name, world_tasks_of(JOB_ID) == 0);
  if (world_current_result().broken) fail_msg("%s: %s", name, world_current_result().first);
  return acknowledged;
}

static void requests_at_job_completion(void **state) {
  (void)state;
  static const completion_row rows[] = {
      {"one task", "sweep", 1, 0},
      {"an array", "sweep", 6, 0},
      {"a gang", "gang", 3, 0},
      {"one task, slow key-value store", "sweep", 1, 0.4},
      {"an array, slow key-value store", "sweep", 6, 0.4},
      {"a gang, slow key-value store", "gang", 3, 0.4},
  };
  /* Times of the cancellation: relative to the last task's end, and to the commit of the job's completion in a
   * run without a cancellation. */
  static const double after_end_s[] = {-1, -0.7, -0.4, -0.05, 0, 0.02, 0.1, 0.25};
  static const double after_commit_s[] = {-0.05, -0.01, -0.004, -0.001, 0.002, 0.02};
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    start_one_job(&rows[i]);
    double give_up_at = sim_now() + 40;
    while (world_completed_at(JOB_ID) <= 0 && sim_now() < give_up_at) sim_run_until(sim_now() + 0.01);
    double end = world_completed_at(JOB_ID);
    check_row(rows[i].name, end > 0);
    while (!committed("done") && sim_now() < end + 20) sim_run_until(sim_now() + 0.001);
    double commit = sim_now();
    check_row(rows[i].name, commit < end + 3);
    unsigned done = 0, cancelled = 0;
    for (size_t k = 0; k < G_N_ELEMENTS(after_end_s) + G_N_ELEMENTS(after_commit_s); k++) {
      double at =
          k < G_N_ELEMENTS(after_end_s) ? end + after_end_s[k] : commit + after_commit_s[k - G_N_ELEMENTS(after_end_s)];
      const char *acknowledged = cancel_and_query_at(&rows[i], at, (unsigned)(k + i) % WORLD_NODES);
      if (strcmp(acknowledged, "done") == 0) {
        done++;
      } else {
        cancelled++;
      }
    }
    print_message("%s: committed %.3f s after the end; %u done, %u cancelled\n", rows[i].name, commit - end, done,
                  cancelled);
    check_row(rows[i].name, done > 0 && cancelled > 0); /* else the requests missed the completion */
  }
}

/* ---- invalid and repeated requests ---- */

/* A valid value of every field; a case replaces or removes one. */
static const struct {
  const char *field, *valid;
  bool may_be_null;
  const char *malformed[8];
} k_fields[] = {
    {"id", NULL, false, {"1", "\"\"", "\"job-1\"", "\"job-00000a\"", "\"x-000412\"", "[]", "{}", "true"}},
    {"squad", "\"c\"", false, {"1", "\"\"", "[]", "{}", "true", "\"a\\u0007\""}},
    {"club", "\"red\"", false, {"1", "\"\"", "[\"red\"]", "{}", "false"}},
    {"play", "\"sweep\"", false, {"1", "\"\"", "\"array\"", "[]", "\"Sweep\""}},
    {"rank", "\"standard\"", false, {"1", "\"\"", "\"top\"", "[]", "0"}},
    {"runs", "2", false, {"\"2\"", "0", "-1", "1.5", "100001", "true", "[2]", "18446744073709551616"}},
    {"cpus", "1.0", false, {"\"1\"", "-1", "true", "[]", "{}", "1e400"}},
    {"gpus", "1.0", false, {"\"1\"", "-1", "true", "[]", "{}", "1e400"}},
    {"memGb", "8.0", false, {"\"8\"", "-1", "false", "[]", "{}"}},
    {"kit", "\"img-07\"", false, {"7", "\"\"", "[]", "{}", "true"}},
    {"pullGb", "6.2", false, {"\"6\"", "-0.5", "true", "[]", "{}"}},
    {"builds", "[\"g4\"]", true, {"\"g4\"", "[]", "[1]", "[null]", "{}", "true", "[\"\"]", "4"}},
    {"ground", "\"a\"", true, {"1", "\"\"", "[\"a\"]", "{}", "false"}},
    {"samePlace", "false", false, {"0", "1", "\"false\"", "[]", "{}"}},
    {"scatter", "false", false, {"0", "1", "\"true\"", "[]", "{}"}},
    {"loaners", "true", false, {"0", "1", "\"true\"", "[]", "{}"}},
    {"expectS", "1.0", false, {"\"1\"", "-1", "true", "[]", "{}"}},
    {"markS", "0.0", false, {"\"1\"", "-1", "true", "[]", "{}"}},
    {"stowS", "0.0", false, {"\"1\"", "-1", "true", "[]", "{}"}},
    {"whistleS", "900.0", true, {"\"1\"", "-1", "true", "[]", "{}"}},
};

/* The body of a submission with the value of one field replaced; `value` NULL: without the field; `field` NULL:
 * valid. */
static char *body_with(const char *id, const char *field, const char *value) {
  GString *s = g_string_new("{");
  for (size_t i = 0; i < G_N_ELEMENTS(k_fields); i++) {
    bool replaced = field && strcmp(k_fields[i].field, field) == 0;
    if (replaced && !value) continue;
    char quoted[40];
    g_snprintf(quoted, sizeof quoted, "\"%s\"", id);
    const char *valid = k_fields[i].valid ? k_fields[i].valid : quoted;
    g_string_append_printf(s, "%s\"%s\":%s", s->len > 1 ? "," : "", k_fields[i].field, replaced ? value : valid);
  }
  return g_string_free(g_string_append_c(s, '}'), FALSE);
}

static void check_reply(const char *name, const world_reply *r, bool as_expected, double within_s) {
  if (!as_expected || r->took > within_s) print_message("%s: %d %s after %.3f s\n", name, r->status, r->body, r->took);
  check_row(name, as_expected);
  check_row(name, r->took <= within_s);
  /* A reply of 429 or 503 has Retry-After. */
  check_row(name, (r->status != 503 && r->status != 429) || r->retry_after > 0);
}

/* Submits a job with a malformed value in one field; `value` NULL: without the field. Returns whether the
 * reply was 400. */
static bool check_malformed_field(const char *when, const char *id, unsigned node, size_t field, const char *value,
                                  bool unavailable_allowed, double within_s) {
  char *body = body_with(id, k_fields[field].field, value), name[160];
  g_snprintf(name, sizeof name, "%s: %s %s", when, k_fields[field].field, value ? value : "missing");
  world_reply r = world_request(node, "POST", "/api/jobs", body);
  check_reply(name, &r, r.status == 400 || (unavailable_allowed && r.status == 503), within_s);
  g_free(body);
  sim_run_until(sim_now() + (unavailable_allowed ? NEXT_REQUEST_S : ARCHIVE_LOOKUP_S));
  return r.status == 400;
}

/* Submits jobs with each field missing, null and malformed, and malformed bodies. Returns how many replies were
 * 400; with `unavailable_allowed` a controller that can't look up the job may answer 503. */
static unsigned check_malformed(const char *when, const char *id, unsigned node, bool unavailable_allowed,
                                double within_s) {
  unsigned replies_400 = 0;
  for (size_t i = 0; i < G_N_ELEMENTS(k_fields); i++) {
    for (int k = -2; k < (int)G_N_ELEMENTS(k_fields[i].malformed); k++) {
      const char *value = k == -2 ? NULL : k == -1 ? "null" : k_fields[i].malformed[k];
      if (k >= 0 && !value) break;
      if (k < 0 && k_fields[i].may_be_null) continue; /* valid: checked elsewhere */
      replies_400 += check_malformed_field(when, id, node, i, value, unavailable_allowed, within_s);
    }
  }
  static const char *const bodies[] = {"", "hello", "[]", "null", "1", "\"job-000412\"", "{", "{}", "{}x", "\xff{}"};
  for (size_t i = 0; i < G_N_ELEMENTS(bodies); i++) {
    world_reply r = world_request(node, "POST", "/api/jobs", bodies[i]);
    check_reply(when, &r, r.status == 400 || (unavailable_allowed && r.status == 503), within_s);
    replies_400 += r.status == 400;
  }
  return replies_400;
}

typedef struct infeasible_case {
  const char *name, *field, *value;
  const char *reason; /* part of the reply */
} infeasible_case;

/* Refused with 422 for a new job; for a known job the reply is its state. */
static const infeasible_case k_infeasible[] = {
    {"an unknown team", "club", "\"green\"", "team"},
    {"more gpus than any machine", "gpus", "5", "machine"},
    {"more cpus than any machine", "cpus", "41", "machine"},
    {"more memory than any machine", "memGb", "401", "machine"},
    {"an unknown type", "builds", "[\"g9\",\"g99\"]", "machine"},
    {"an unknown zone", "ground", "\"z\"", "machine"},
};

static void check_repeated_submissions(const char *when, const char *id, const char *status, bool unavailable_allowed,
                                       double within_s) {
  char expected[60], path[64], name[160], *huge = g_strnfill(200, 'x');
  g_snprintf(expected, sizeof expected, "\"id\":\"%s\",\"status\":\"%s\"", id, status);
  GPtrArray *bodies = g_ptr_array_new_with_free_func(g_free);
  g_ptr_array_add(bodies, g_strdup_printf("{\"id\":\"%s\"}", id));
  g_ptr_array_add(bodies, body_with(id, NULL, NULL));
  g_ptr_array_add(bodies, body_with(id, "runs", "99"));
  for (size_t i = 0; i < G_N_ELEMENTS(k_infeasible); i++)
    g_ptr_array_add(bodies, body_with(id, k_infeasible[i].field, k_infeasible[i].value));
  for (size_t i = 1; i < G_N_ELEMENTS(k_fields); i++) {
    g_ptr_array_add(bodies, body_with(id, k_fields[i].field, NULL));
    g_ptr_array_add(bodies, body_with(id, k_fields[i].field, k_fields[i].malformed[0]));
  }
  /* Valid, but larger than a value in the key-value store. */
  GString *types = g_string_new("[\"g4\"");
  for (unsigned i = 0; i < 60; i++) g_string_append_printf(types, ",\"%s%u\"", huge, i);
  g_string_append_c(types, ']');
  g_ptr_array_add(bodies, body_with(id, "builds", types->str));
  g_string_free(types, TRUE);
  for (guint i = 0; i < bodies->len; i++) {
    g_snprintf(name, sizeof name, "%s: repeated submission of a job that is %s: %.60s", when, status,
               (char *)bodies->pdata[i]);
    world_reply r = world_request(i % WORLD_NODES, "POST", "/api/jobs", bodies->pdata[i]);
    check_reply(name, &r, (r.status == 200 && strstr(r.body, expected)) || (unavailable_allowed && r.status == 503),
                within_s);
    sim_run_until(sim_now() + (unavailable_allowed ? NEXT_REQUEST_S : ARCHIVE_LOOKUP_S));
  }
  g_ptr_array_free(bodies, TRUE);
  g_free(huge);
  if (strcmp(status, "done") != 0 && strcmp(status, "cancelled") != 0) return;
  g_snprintf(path, sizeof path, "/api/jobs/%s/withdraw", id);
  for (unsigned n = 0; n < WORLD_NODES; n++) {
    world_reply r = world_request(n, "POST", path, "");
    check_reply(when, &r, (r.status == 200 && strstr(r.body, expected)) || (unavailable_allowed && r.status == 503),
                within_s);
  }
}

static void check_infeasible(const char *when, unsigned node, bool unavailable_allowed, double within_s) {
  for (size_t i = 0; i < G_N_ELEMENTS(k_infeasible); i++) {
    char *body = body_with("job-700000", k_infeasible[i].field, k_infeasible[i].value), name[160];
    g_snprintf(name, sizeof name, "%s: %s", when, k_infeasible[i].name);
    world_reply r = world_request(node, "POST", "/api/jobs", body);
    check_reply(name, &r,
                (r.status == 422 && strstr(r.body, k_infeasible[i].reason)) || (unavailable_allowed && r.status == 503),
                within_s);
    g_free(body);
    sim_run_until(sim_now() + (unavailable_allowed ? NEXT_REQUEST_S : ARCHIVE_LOOKUP_S));
  }
}

/* No refused submission created a job. */
static void check_refused_are_unknown(const char *when) {
  static const char *const ids[] = {"job-600000", "job-700000"};
  for (size_t i = 0; i < G_N_ELEMENTS(ids); i++) {
    char path[64], key[64];
    g_snprintf(path, sizeof path, "/api/jobs/%s", ids[i]);
    g_snprintf(key, sizeof key, "fc1/job/%s", ids[i]);
    world_reply r = world_request((unsigned)i, "GET", path, "");
    check_row(when, r.status == 404);
    check_row(when, !kv_has_key(key));
  }
}

/* One job that is done, one that runs, one that is pending. */
static void start_three_jobs(void) {
  world_capacity(6, 0);
  world_keep_idle();
  world_start_nodes();
  world_add_machines(0, 2);
  world_add_machines(1, 2);
  world_submit("job-000001", "sweep", "standard", 2, 1, 2, 5);
  world_submit("job-000002", "service", "prod", 2, 1, 1e6, 5);
  world_submit("job-000003", "gang", "high", 40, 4, 10, 5);
  sim_run_until(sim_now() + 20);
  assert_string_equal(world_seen_terminal_state("job-000001"), "done");
  assert_true(world_began_at("job-000002") > 0);
}

static void check_known_jobs(const char *when, bool unavailable_allowed, double within_s) {
  check_repeated_submissions(when, "job-000001", "done", unavailable_allowed, within_s);
  check_repeated_submissions(when, "job-000002", "running", unavailable_allowed, within_s);
  check_repeated_submissions(when, "job-000003", "pending", unavailable_allowed, within_s);
}

static void invalid_and_repeated_requests(void **state) {
  (void)state;
  world_set_up(21, 0);
  start_three_jobs();
  for (unsigned n = 0; n < WORLD_NODES; n++) {
    assert_true(check_malformed("without a fault", "job-600000", n, false, IMMEDIATE_S) > 100);
    check_infeasible("without a fault", n, false, IMMEDIATE_S);
  }
  check_known_jobs("without a fault", false, IMMEDIATE_S);
  check_refused_are_unknown("without a fault");
  /* Optional fields may be absent or null. */
  unsigned id = 800000;
  for (size_t i = 0; i < G_N_ELEMENTS(k_fields); i++) {
    for (unsigned k = 0; k < 2 && k_fields[i].may_be_null; k++) {
      char name[32];
      g_snprintf(name, sizeof name, "job-%06u", id++);
      char *body = body_with(name, k_fields[i].field, k ? "null" : NULL);
      world_reply r = world_request(k, "POST", "/api/jobs", body);
      check_reply(k_fields[i].field, &r, r.status == 201, IMMEDIATE_S);
      g_free(body);
    }
  }
  sim_run_until(sim_now() + 40); /* until the done job is archived */
  assert_true(kv_has_key("fc1over/job-000001"));
  check_known_jobs("when archived", false, IMMEDIATE_S);
  if (world_current_result().broken) fail_msg("%s", world_current_result().first);
}

/* One task of an array, or all tasks of a gang or service, must fit the limit on CPUs and on GPUs. */
static void submissions_against_a_team_limit(void **state) {
  (void)state;
  static const struct {
    const char *name, *kind;
    unsigned tasks;
    double cpus, gpus;
    int status;
  } rows[] = {
      {"an array's task within the limit", "sweep", 50, 30, 3, 201},
      {"an array's task above the CPU limit", "sweep", 1, 30.5, 1, 422},
      {"an array's task above the GPU limit", "sweep", 1, 1, 3.5, 422},
      {"a gang within the limit", "gang", 3, 10, 1, 201},
      {"a gang above the CPU limit", "gang", 3, 10.5, 1, 422},
      {"a gang above the GPU limit", "gang", 4, 1, 1, 422},
      {"a service within the limit", "service", 3, 10, 1, 201},
      {"a service above the CPU limit", "service", 31, 1, 0, 422},
      {"a service above the GPU limit", "service", 2, 1, 2, 422},
      {"a service without GPUs", "service", 30, 1, 0, 201},
  };
  world_set_up(22, 0);
  world_set_blue_quota(30, 3);
  world_start_nodes();
  sim_run_until(sim_now() + 6);
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    char *body = g_strdup_printf(
        "{\"id\":\"job-%06zu\",\"squad\":\"c\",\"club\":\"blue\",\"play\":\"%s\",\"rank\":\"standard\",\"runs\":%u,"
        "\"cpus\":%f,\"gpus\":%f,\"memGb\":1,\"kit\":\"i\",\"pullGb\":1,\"samePlace\":false,\"scatter\":false,"
        "\"loaners\":true,\"expectS\":1,\"markS\":0,\"stowS\":0}",
        i, rows[i].kind, rows[i].tasks, rows[i].cpus, rows[i].gpus);
    for (unsigned n = 0; n < WORLD_NODES; n++) {
      world_reply r = world_request(n, "POST", "/api/jobs", body);
      bool repeated = n > 0 && rows[i].status == 201;
      check_reply(rows[i].name, &r, r.status == (repeated ? 200 : rows[i].status), IMMEDIATE_S);
      check_row(rows[i].name, r.status != 422 || strstr(r.body, "limit"));
    }
    g_free(body);
  }
}

/* A controller that has just started answers 503 at once: it neither refuses accepted jobs nor
 * accepts infeasible ones. */
static void invalid_requests_after_failover(void **state) {
  (void)state;
  static const struct {
    const char *name;
    unsigned crashed;
    double down_s, request_in_s; /* both from the crash on */
  } rows[] = {
      {"one controller, at once", 1, 0.05, 0.06},
      {"one controller, a moment later", 1, 0.05, 0.5},
      {"one controller, seconds later", 1, 2, 3},
      {"all controllers, at once", WORLD_NODES, 0.05, 0.06},
      {"all controllers, a moment later", WORLD_NODES, 0.05, 0.4},
      {"all controllers, seconds later", WORLD_NODES, 2, 2.3},
      {"all controllers, well after the restart", WORLD_NODES, 2, 6},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    world_set_up(23 + (uint32_t)i, 0);
    start_three_jobs();
    for (unsigned n = 0; n < rows[i].crashed; n++) world_crash(n, rows[i].down_s);
    sim_run_until(sim_now() + rows[i].request_in_s);
    check_infeasible(rows[i].name, 0, true, IMMEDIATE_S);
    world_reply r = world_request(0, "POST", "/api/jobs", "{\"id\":\"job-000002\",\"squad\":1}");
    check_reply(rows[i].name, &r, r.status == 200 || r.status == 503, IMMEDIATE_S);
    (void)check_malformed(rows[i].name, "job-600000", 0, true, IMMEDIATE_S);
    check_known_jobs(rows[i].name, true, IMMEDIATE_S);
    sim_run_until(sim_now() + 10);
    assert_true(check_malformed(rows[i].name, "job-600000", 0, false, IMMEDIATE_S) > 100);
    check_infeasible(rows[i].name, 0, false, IMMEDIATE_S);
    check_known_jobs(rows[i].name, false, IMMEDIATE_S);
    check_refused_are_unknown(rows[i].name);
    if (world_current_result().broken) fail_msg("%s: %s", rows[i].name, world_current_result().first);
  }
}

/* Without the key-value store no controller can tell that a job is unknown: it answers a request with a valid id
 * with 503 at once, neither 400 nor 422, unless it knows that the job has ended. */
static void invalid_requests_in_a_kv_store_outage(void **state) {
  (void)state;
  world_set_up(31, 0);
  start_three_jobs();
  double began = sim_now();
  world_kv_down(60);
  world_reply first = world_request(0, "POST", "/api/jobs", "{\"id\":\"job-000002\"}");
  check_reply("outage not detected yet", &first, first.status == 503, 2.1);
  sim_run_until(began + 6);
  for (size_t i = 0; i < G_N_ELEMENTS(k_infeasible); i++) {
    char *body = body_with("job-700000", k_infeasible[i].field, k_infeasible[i].value);
    world_reply r = world_request((unsigned)i % WORLD_NODES, "POST", "/api/jobs", body);
    check_reply(k_infeasible[i].name, &r, r.status == 503, IMMEDIATE_S);
    g_free(body);
  }
  static const struct {
    const char *name, *body;
    int status;
  } rows[] = {
      {"missing fields", "{\"id\":\"job-600000\"}", 503},
      {"missing fields, id of a running job", "{\"id\":\"job-000002\"}", 503},
      {"no id", "{\"squad\":\"c\"}", 400},
      {"malformed id", "{\"id\":\"x\"}", 400},
      {"not JSON", "hello", 400},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    world_reply r = world_request((unsigned)i % WORLD_NODES, "POST", "/api/jobs", rows[i].body);
    check_reply(rows[i].name, &r, r.status == rows[i].status, IMMEDIATE_S);
  }
  unsigned n = check_malformed("during the outage", "job-600000", 1, true, IMMEDIATE_S);
  print_message("during the outage %u replies were 400\n", n);
  check_known_jobs("during the outage", true, IMMEDIATE_S);
  world_reply cancelled = world_request(2, "POST", "/api/jobs/job-000001/withdraw", "");
  check_reply("cancellation of a done job", &cancelled, cancelled.status == 200 && strstr(cancelled.body, "done"),
              IMMEDIATE_S);
  sim_run_until(began + 75);
  assert_true(check_malformed("after the outage", "job-600000", 1, false, IMMEDIATE_S) > 100);
  check_infeasible("after the outage", 1, false, IMMEDIATE_S);
  check_known_jobs("after the outage", false, IMMEDIATE_S);
  check_refused_are_unknown("after the outage");
  if (world_current_result().broken) fail_msg("%s", world_current_result().first);
}

/* A controller that has not read the record of an accepted job yet must not refuse requests about it as
 * unknown, malformed or infeasible. */
static void requests_about_jobs_just_accepted(void **state) {
  (void)state;
  world_set_up(51, 0);
  world_start_nodes();
  sim_run_until(sim_now() + 6);
  world_kv_slow(1e6, 0.5);
  unsigned answered = 0;
  for (unsigned i = 0; i < 12; i++) {
    char id[32], path[64], expected[60];
    g_snprintf(id, sizeof id, "job-%06u", i);
    g_snprintf(path, sizeof path, "/api/jobs/%s", id);
    g_snprintf(expected, sizeof expected, "\"id\":\"%s\"", id);
    char *bodies[] = {body_with(id, NULL, NULL), body_with(id, "cpus", "41"), body_with(id, "club", "\"green\""),
                      body_with(id, "runs", NULL)};
    world_reply first = world_request(i % WORLD_NODES, "POST", "/api/jobs", bodies[0]), r[10];
    if (first.status == 201) {
      for (unsigned n = 0; n < 2; n++) {
        unsigned node = (i + 1 + n) % WORLD_NODES;
        for (unsigned k = 0; k < 4; k++) world_send(&r[n * 5 + k], node, "POST", "/api/jobs", bodies[k]);
        world_send(&r[n * 5 + 4], node, "GET", path, "");
      }
      sim_run_until(sim_now() + 8.1);
      for (unsigned k = 0; k < G_N_ELEMENTS(r); k++) {
        bool as_expected = (r[k].status == 200 && strstr(r[k].body, expected)) || r[k].status == 503;
        if (!as_expected) print_message("%s, request %u: %d %s\n", id, k % 5, r[k].status, r[k].body);
        check_row(id, as_expected);
        answered += r[k].status == 200;
      }
    }
    for (unsigned k = 0; k < 4; k++) g_free(bodies[k]);
  }
  print_message("%u of 120 requests were answered with the job's state\n", answered);
  assert_true(answered > 60); /* else a controller that refuses everything would pass */
}

static void invalid_requests_before_machine_types_are_known(void **state) {
  (void)state;
  world_set_up(41, 0);
  world_cloud_down(true);
  world_start_nodes();
  sim_run_until(sim_now() + 6);
  for (unsigned n = 0; n < WORLD_NODES; n++) {
    for (size_t i = 0; i <= G_N_ELEMENTS(k_infeasible); i++) {
      bool feasible = i == G_N_ELEMENTS(k_infeasible);
      char *body = feasible ? body_with("job-700000", NULL, NULL)
                            : body_with("job-700000", k_infeasible[i].field, k_infeasible[i].value);
      world_reply r = world_request(n, "POST", "/api/jobs", body);
      check_reply(feasible ? "a feasible job" : k_infeasible[i].name, &r, r.status == 503, IMMEDIATE_S);
      g_free(body);
    }
    assert_true(check_malformed("machine types unknown", "job-600000", n, false, IMMEDIATE_S) > 100);
    assert_int_equal(world_get_status(n, "/ready"), 503);
  }
  check_refused_are_unknown("machine types unknown");
  world_cloud_down(false);
  sim_run_until(sim_now() + 6);
  check_infeasible("machine types known", 0, false, IMMEDIATE_S);
  char *body = body_with("job-700000", NULL, NULL);
  world_reply r = world_request(0, "POST", "/api/jobs", body);
  check_reply("machine types known", &r, r.status == 201, IMMEDIATE_S);
  g_free(body);
}

int main(void) {
  const struct CMUnitTest tests[] = {cmocka_unit_test(requests_at_job_completion),
                                     cmocka_unit_test(invalid_and_repeated_requests),
                                     cmocka_unit_test(submissions_against_a_team_limit),
                                     cmocka_unit_test(invalid_requests_after_failover),
                                     cmocka_unit_test(invalid_requests_in_a_kv_store_outage),
                                     cmocka_unit_test(requests_about_jobs_just_accepted),
                                     cmocka_unit_test(invalid_requests_before_machine_types_are_known)};
  return cmocka_run_group_tests(tests, NULL, NULL);
}
