/* Requests at the completion of a job, invalid requests and repeated ones, to whole controllers:
 * every reply is timed and compared with what is committed. */
#include "check.h"

#include <stdlib.h>

#include "scene.h"
#include "sim/requests.h"

#define ARCHIVE_LOOKUP_S 0.3 /* archived jobs are looked up at a bounded rate */
#define NEXT_REQUEST_S 0.01  /* between requests that may be answered with 503 */
#define IMMEDIATE_S 0.3      /* a few exchanges: no request waits */

/* ---- completion of a job ---- */

#define JOB_ID "job-000001"

typedef struct completion_row {
  const char *name, *kind;
  unsigned tasks;
  double slow_s; /* responses of the key-value store take up to so long */
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

/* All three controllers at the same moment, by three kinds of request. Unless `exact` a controller may
 * answer 503, as with a slow key-value store; no other status is right. */
static void check_all_replies(const char *name, const char *status, const char *body, bool exact) {
  world_reply r[WORLD_NODES * 3];
  char says[40];
  g_snprintf(says, sizeof says, "\"status\":\"%s\"", status);
  for (unsigned n = 0; n < WORLD_NODES; n++) {
    world_reply *replies = &r[(size_t)n * 3];
    world_send(&replies[0], n, "GET", "/api/jobs/" JOB_ID, "");
    world_send(&replies[1], n, "POST", "/api/jobs", body);
    world_send(&replies[2], n, "POST", "/api/jobs/" JOB_ID "/withdraw", "");
  }
  sim_run_until(sim_now() + 8.1); /* the longest that a request takes */
  for (unsigned i = 0; i < G_N_ELEMENTS(r); i++) {
    bool fits = r[i].status == 200 && strstr(r[i].body, says);
    if (!fits && (exact || r[i].status != 503))
      print_message("%s: wanted %s, %u said %d %s\n", name, status, i / 3, r[i].status, r[i].body);
    check_row(name, fits || (!exact && r[i].status == 503));
  }
}

static const char k_body[] = "{\"id\":\"" JOB_ID "\"}"; /* a repeated submission, whatever else it holds */

/* A cancellation at `at`, with a query and a repeated submission to the other two controllers at the
 * same moment. Returns the state that was acknowledged. */
static const char *cancel_and_ask_at(const completion_row *row, double at, unsigned node) {
  char name[120];
  start_one_job(row);
  sim_run_until(at);
  world_cancel(JOB_ID, (int)node, 0);
  world_reply asked, again;
  world_send(&asked, (node + 1) % WORLD_NODES, "GET", "/api/jobs/" JOB_ID, "");
  world_send(&again, (node + 2) % WORLD_NODES, "POST", "/api/jobs", k_body);
  double patience = at + 20;
  while (!world_seen_terminal_state(JOB_ID) && sim_now() < patience) sim_run_until(sim_now() + 0.002);
  const char *told = world_seen_terminal_state(JOB_ID);
  g_snprintf(name, sizeof name, "%s, asked %+.3f s after the end, told %s", row->name, at - world_completed_at(JOB_ID),
             told ? told : "nothing");
  check_row(name, told);
  check_row(name, committed(told)); /* by the moment of the reply */
  check_all_replies(name, told, k_body, row->slow_s <= 0);
  for (unsigned k = 0; k < 2; k++) {
    const world_reply *r = k ? &again : &asked;
    bool says_final = strstr(r->body, "\"status\":\"done\"") || strstr(r->body, "\"status\":\"cancelled\"");
    char says[40];
    g_snprintf(says, sizeof says, "\"status\":\"%s\"", told);
    check_row(name, r->came && (r->status == 200 || (r->status == 503 && row->slow_s > 0)));
    check_row(name, !says_final || strstr(r->body, says));
  }
  sim_run_until(sim_now() + 30); /* it has been archived meanwhile */
  check_row(name, committed(told));
  check_all_replies(name, told, k_body, row->slow_s <= 0);
  check_row(name, world_tasks_of(JOB_ID) == 0);
  if (world_current_result().broken) fail_msg("%s: %s", name, world_current_result().first);
  return told;
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
  /* After the last task's end; after its record is written, as measured without. */
  static const double after_end[] = {-0.4, -0.05, 0, 0.02, 0.1, 0.25};
  static const double after_write[] = {-0.05, -0.01, -0.004, -0.001, 0.002, 0.02};
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    start_one_job(&rows[i]);
    double patience = sim_now() + 40;
    while (world_completed_at(JOB_ID) <= 0 && sim_now() < patience) sim_run_until(sim_now() + 0.01);
    double end = world_completed_at(JOB_ID);
    check_row(rows[i].name, end > 0);
    while (!committed("done") && sim_now() < end + 20) sim_run_until(sim_now() + 0.001);
    double write = sim_now();
    check_row(rows[i].name, write < end + 3);
    unsigned done = 0, cancelled = 0;
    for (size_t k = 0; k < G_N_ELEMENTS(after_end) + G_N_ELEMENTS(after_write); k++) {
      double at = k < G_N_ELEMENTS(after_end) ? end + after_end[k] : write + after_write[k - G_N_ELEMENTS(after_end)];
      const char *told = cancel_and_ask_at(&rows[i], at, (unsigned)(k + i) % WORLD_NODES);
      if (strcmp(told, "done") == 0) {
        done++;
      } else {
        cancelled++;
      }
    }
    print_message("%s: written %.3f s after the end; %u done, %u cancelled\n", rows[i].name, write - end, done,
                  cancelled);
    check_row(rows[i].name, done > 0 && cancelled > 0); /* or the requests missed the completion */
  }
}

/* ---- invalid and repeated requests ---- */

/* A valid one of every field; a case replaces one, or takes it out. */
static const struct {
  const char *field, *valid;
  bool may_be_null;
  const char *wrong[8];
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

/* The job's body with one field's value replaced; NULL: without the field. */
static char *body_with(const char *id, const char *field, const char *value) {
  GString *s = g_string_new("{");
  for (size_t i = 0; i < G_N_ELEMENTS(k_fields); i++) {
    bool it = field && strcmp(k_fields[i].field, field) == 0;
    if (it && !value) continue;
    char quoted[40];
    g_snprintf(quoted, sizeof quoted, "\"%s\"", id);
    const char *valid = k_fields[i].valid ? k_fields[i].valid : quoted;
    g_string_append_printf(s, "%s\"%s\":%s", s->len > 1 ? "," : "", k_fields[i].field, it ? value : valid);
  }
  return g_string_free(g_string_append_c(s, '}'), FALSE);
}

static void check_reply(const char *name, const world_reply *r, bool fits, double within_s) {
  if (!fits || r->took > within_s) print_message("%s: %d %s after %.3f s\n", name, r->status, r->body, r->took);
  check_row(name, fits);
  check_row(name, r->took <= within_s);
  /* A refusal says when to retry. */
  check_row(name, (r->status != 503 && r->status != 429) || r->retry_after > 0);
}

/* A submission with that field missing, null or of another type; `value` NULL: missing. Returns whether
 * the reply was 400. */
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

/* Each field missing, null and of other types. Returns the replies of 400; with
 * `unavailable_allowed` the controller may not know enough yet and answer 503. */
static unsigned check_malformed(const char *when, const char *id, unsigned node, bool unavailable_allowed,
                                double within_s) {
  unsigned refused = 0;
  for (size_t i = 0; i < G_N_ELEMENTS(k_fields); i++) {
    for (int k = -2; k < (int)G_N_ELEMENTS(k_fields[i].wrong); k++) {
      const char *value = k == -2 ? NULL : k == -1 ? "null" : k_fields[i].wrong[k];
      if (k >= 0 && !value) break;
      if (k < 0 && k_fields[i].may_be_null) continue; /* valid: checked elsewhere */
      refused += check_malformed_field(when, id, node, i, value, unavailable_allowed, within_s);
    }
  }
  static const char *const bodies[] = {"", "hello", "[]", "null", "1", "\"job-000412\"", "{", "{}", "{}x", "\xff{}"};
  for (size_t i = 0; i < G_N_ELEMENTS(bodies); i++) {
    world_reply r = world_request(node, "POST", "/api/jobs", bodies[i]);
    check_reply(when, &r, r.status == 400 || (unavailable_allowed && r.status == 503), within_s);
    refused += r.status == 400;
  }
  return refused;
}

typedef struct infeasible_case {
  const char *name, *field, *value, *says;
} infeasible_case;

/* A new job is refused with 422; for a known one the reply is its state. */
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
  char says[60], path[64], name[160], *huge = g_strnfill(200, 'x');
  g_snprintf(says, sizeof says, "\"id\":\"%s\",\"status\":\"%s\"", id, status);
  GPtrArray *bodies = g_ptr_array_new_with_free_func(g_free);
  g_ptr_array_add(bodies, g_strdup_printf("{\"id\":\"%s\"}", id));
  g_ptr_array_add(bodies, body_with(id, NULL, NULL));
  g_ptr_array_add(bodies, body_with(id, "runs", "99"));
  for (size_t i = 0; i < G_N_ELEMENTS(k_infeasible); i++)
    g_ptr_array_add(bodies, body_with(id, k_infeasible[i].field, k_infeasible[i].value));
  for (size_t i = 1; i < G_N_ELEMENTS(k_fields); i++) {
    g_ptr_array_add(bodies, body_with(id, k_fields[i].field, NULL));
    g_ptr_array_add(bodies, body_with(id, k_fields[i].field, k_fields[i].wrong[0]));
  }
  /* Valid, but larger than a value of the key-value store. */
  GString *types = g_string_new("[\"g4\"");
  for (unsigned i = 0; i < 60; i++) g_string_append_printf(types, ",\"%s%u\"", huge, i);
  g_string_append_c(types, ']');
  g_ptr_array_add(bodies, body_with(id, "builds", types->str));
  g_string_free(types, TRUE);
  for (guint i = 0; i < bodies->len; i++) {
    g_snprintf(name, sizeof name, "%s: repeat of a job that is %s: %.60s", when, status, (char *)bodies->pdata[i]);
    world_reply r = world_request(i % WORLD_NODES, "POST", "/api/jobs", bodies->pdata[i]);
    check_reply(name, &r, (r.status == 200 && strstr(r.body, says)) || (unavailable_allowed && r.status == 503),
                within_s);
    sim_run_until(sim_now() + (unavailable_allowed ? NEXT_REQUEST_S : ARCHIVE_LOOKUP_S));
  }
  g_ptr_array_free(bodies, TRUE);
  g_free(huge);
  if (strcmp(status, "done") != 0 && strcmp(status, "cancelled") != 0) return;
  g_snprintf(path, sizeof path, "/api/jobs/%s/withdraw", id);
  for (unsigned n = 0; n < WORLD_NODES; n++) {
    world_reply r = world_request(n, "POST", path, "");
    check_reply(when, &r, (r.status == 200 && strstr(r.body, says)) || (unavailable_allowed && r.status == 503),
                within_s);
  }
}

static void check_infeasible(const char *when, unsigned node, bool unavailable_allowed, double within_s) {
  for (size_t i = 0; i < G_N_ELEMENTS(k_infeasible); i++) {
    char *body = body_with("job-700000", k_infeasible[i].field, k_infeasible[i].value), name[160];
    g_snprintf(name, sizeof name, "%s: %s", when, k_infeasible[i].name);
    world_reply r = world_request(node, "POST", "/api/jobs", body);
    check_reply(name, &r,
                (r.status == 422 && strstr(r.body, k_infeasible[i].says)) || (unavailable_allowed && r.status == 503),
                within_s);
    g_free(body);
    sim_run_until(sim_now() + (unavailable_allowed ? NEXT_REQUEST_S : ARCHIVE_LOOKUP_S));
  }
}

/* No refused submission left a job. */
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
    assert_true(check_malformed("calm", "job-600000", n, false, IMMEDIATE_S) > 100);
    check_infeasible("calm", n, false, IMMEDIATE_S);
  }
  check_known_jobs("calm", false, IMMEDIATE_S);
  check_refused_are_unknown("calm");
  /* Fields that may be null may be absent. */
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
  sim_run_until(sim_now() + 40); /* archived by now */
  assert_true(kv_has_key("fc1over/job-000001"));
  check_known_jobs("later", false, IMMEDIATE_S);
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
      {"an array's task within", "sweep", 50, 30, 3, 201},
      {"an array's task above in cpus", "sweep", 1, 30.5, 1, 422},
      {"an array's task above in gpus", "sweep", 1, 1, 3.5, 422},
      {"a gang within", "gang", 3, 10, 1, 201},
      {"a gang above in cpus", "gang", 3, 10.5, 1, 422},
      {"a gang above in gpus", "gang", 4, 1, 1, 422},
      {"a service within", "service", 3, 10, 1, 201},
      {"a service above in cpus", "service", 31, 1, 0, 422},
      {"a service above in gpus", "service", 2, 1, 2, 422},
      {"without gpus", "service", 30, 1, 0, 201},
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
      bool known = n > 0 && rows[i].status == 201;
      check_reply(rows[i].name, &r, r.status == (known ? 200 : rows[i].status), IMMEDIATE_S);
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
    double back_s, wait_s;
  } rows[] = {
      {"one, at once", 1, 0.05, 0.06},
      {"one, a moment later", 1, 0.05, 0.5},
      {"one, seconds later", 1, 2, 3},
      {"all, at once", WORLD_NODES, 0.05, 0.06},
      {"all, a moment later", WORLD_NODES, 0.05, 0.4},
      {"all, seconds later", WORLD_NODES, 2, 2.3},
      {"all, well later", WORLD_NODES, 2, 6},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    world_set_up(23 + (uint32_t)i, 0);
    start_three_jobs();
    for (unsigned n = 0; n < rows[i].crashed; n++) world_crash(n, rows[i].back_s);
    sim_run_until(sim_now() + rows[i].wait_s);
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

/* Without the key-value store no controller can know that a job is unknown: it answers 503 at once,
 * neither 400 nor 422, to whatever names a job. */
static void invalid_requests_in_a_kv_store_outage(void **state) {
  (void)state;
  world_set_up(31, 0);
  start_three_jobs();
  double began = sim_now();
  world_kv_down(60);
  world_reply first = world_request(0, "POST", "/api/jobs", "{\"id\":\"job-000002\"}");
  check_reply("not noticed yet", &first, first.status == 503, 2.1);
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
      {"a field missing", "{\"id\":\"job-600000\"}", 503},
      {"a field missing, of a job that runs", "{\"id\":\"job-000002\"}", 503},
      {"no id", "{\"squad\":\"c\"}", 400},
      {"an id of no such form", "{\"id\":\"x\"}", 400},
      {"not JSON", "hello", 400},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    world_reply r = world_request((unsigned)i % WORLD_NODES, "POST", "/api/jobs", rows[i].body);
    check_reply(rows[i].name, &r, r.status == rows[i].status, IMMEDIATE_S);
  }
  unsigned n = check_malformed("in an outage", "job-600000", 1, true, IMMEDIATE_S);
  print_message("in an outage %u were told 400\n", n);
  check_known_jobs("in an outage", true, IMMEDIATE_S);
  world_reply over = world_request(2, "POST", "/api/jobs/job-000001/withdraw", "");
  check_reply("a done job is called off", &over, over.status == 200 && strstr(over.body, "done"), IMMEDIATE_S);
  sim_run_until(began + 75);
  assert_true(check_malformed("after it", "job-600000", 1, false, IMMEDIATE_S) > 100);
  check_infeasible("after it", 1, false, IMMEDIATE_S);
  check_known_jobs("after it", false, IMMEDIATE_S);
  check_refused_are_unknown("after it");
  if (world_current_result().broken) fail_msg("%s", world_current_result().first);
}

/* Another controller that has not learned of the job yet must not call it unknown, malformed or
 * infeasible. */
static void requests_about_jobs_just_accepted(void **state) {
  (void)state;
  world_set_up(51, 0);
  world_start_nodes();
  sim_run_until(sim_now() + 6);
  world_kv_slow(1e6, 0.5);
  unsigned known = 0;
  for (unsigned i = 0; i < 12; i++) {
    char id[32], path[64], says[60];
    g_snprintf(id, sizeof id, "job-%06u", i);
    g_snprintf(path, sizeof path, "/api/jobs/%s", id);
    g_snprintf(says, sizeof says, "\"id\":\"%s\"", id);
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
        bool fits = (r[k].status == 200 && strstr(r[k].body, says)) || r[k].status == 503;
        if (!fits) print_message("%s, question %u: %d %s\n", id, k % 5, r[k].status, r[k].body);
        check_row(id, fits);
        known += r[k].status == 200;
      }
    }
    for (unsigned k = 0; k < 4; k++) g_free(bodies[k]);
  }
  print_message("of 120 answers %u knew it\n", known);
  assert_true(known > 60); /* refusing all would prove nothing */
}

static void invalid_requests_before_machine_types_are_known(void **state) {
  (void)state;
  world_set_up(41, 0);
  world_cloud_down(true);
  world_start_nodes();
  sim_run_until(sim_now() + 6);
  for (unsigned n = 0; n < WORLD_NODES; n++) {
    for (size_t i = 0; i <= G_N_ELEMENTS(k_infeasible); i++) {
      bool last = i == G_N_ELEMENTS(k_infeasible); /* a feasible one */
      char *body = last ? body_with("job-700000", NULL, NULL)
                        : body_with("job-700000", k_infeasible[i].field, k_infeasible[i].value);
      world_reply r = world_request(n, "POST", "/api/jobs", body);
      check_reply(last ? "a good one" : k_infeasible[i].name, &r, r.status == 503, IMMEDIATE_S);
      g_free(body);
    }
    assert_true(check_malformed("types unknown", "job-600000", n, false, IMMEDIATE_S) > 100);
    assert_int_equal(world_get_status(n, "/ready"), 503);
  }
  check_refused_are_unknown("types unknown");
  world_cloud_down(false);
  sim_run_until(sim_now() + 6);
  check_infeasible("types known", 0, false, IMMEDIATE_S);
  char *body = body_with("job-700000", NULL, NULL);
  world_reply r = world_request(0, "POST", "/api/jobs", body);
  check_reply("types known", &r, r.status == 201, IMMEDIATE_S);
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
