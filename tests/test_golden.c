/* Compares the bytes of requests, responses and stored records with fixtures/golden.txt: what users,
 * workers, the cloud and the key-value store see must not change when names inside the program change. */
#include "golden.h"

#include <arpa/inet.h>

#include "protocol/cloud_api.h"
#include "protocol/job_record.h"
#include "protocol/kv_store.h"
#include "protocol/records.h"
#include "protocol/worker_api.h"
#include "scene.h"
#include "sim/requests.h"
#include "sim/world.h"
#include "transport/routine.h"

#define JOB(id, team, gpus, more)                                           \
  "{\"id\":\"" id "\",\"squad\":\"c\",\"club\":\"" team                     \
  "\",\"play\":\"sweep\",\"rank\":\"standard\",\"runs\":2,\"cpus\":1,"      \
  "\"gpus\":" gpus                                                          \
  ",\"memGb\":1,\"kit\":\"i\",\"pullGb\":0,\"samePlace\":false,"            \
  "\"scatter\":false,\"loaners\":true,\"expectS\":1,\"markS\":0,\"stowS\":" \
  "0" more "}"

typedef struct exchange {
  const char *name;
  unsigned node;
  const char *method, *path, *body;
} exchange;

static void check_reply(const char *name, const world_reply *reply) {
  char *bytes = reply->retry_after
                    ? g_strdup_printf("%d Retry-After: %d %s", reply->status, reply->retry_after, reply->body)
                    : g_strdup_printf("%d %s", reply->status, reply->body);
  golden_check(name, bytes);
  g_free(bytes);
}

/* Sends the requests of all rows and compares the responses. */
static void check_exchanges(const exchange *rows, size_t count) {
  for (size_t i = 0; i < count; i++) {
    world_reply reply = world_request(rows[i].node, rows[i].method, rows[i].path, rows[i].body);
    check_reply(rows[i].name, &reply);
  }
}

/* Three controllers that hold their leases, and two machines. */
static void start_scene(void) {
  scene_begin(&(scene_setup){.seed = 1, .capacity = 4, .keep_idle = true, .images_cached = true, .machines = {2, 0}});
  sim_run_until(sim_now() + 10);
}

/* Repeats a GET request until the response contains `text`. */
static void wait_for_answer(const char *path, const char *text) {
  double deadline = sim_now() + 60;
  while (!strstr(world_request(0, "GET", path, "").body, text)) {
    if (sim_now() > deadline) fail_msg("%s: no answer contained %s", path, text);
    sim_run_until(sim_now() + 0.25);
  }
}

static void answers_to_users(void **state) {
  (void)state;
  static const exchange before[] = {
      {"user: new", 0, "POST", "/api/jobs", JOB("job-000001", "red", "1", "")},
      {"user: pending", 1, "GET", "/api/jobs/job-000001", ""},
      {"user: repeated", 2, "POST", "/api/jobs", JOB("job-000001", "red", "1", "")},
      {"user: unknown team", 0, "POST", "/api/jobs", JOB("job-000002", "none", "1", "")},
      {"user: above the limit", 0, "POST", "/api/jobs", JOB("job-000002", "blue", "500", "")},
      {"user: fits no machine", 0, "POST", "/api/jobs", JOB("job-000002", "red", "5", "")},
      {"user: awaits nobody's job", 0, "POST", "/api/jobs",
       JOB("job-000002", "red", "1", ",\"awaits\":[\"job-000999\"]")},
      {"user: field missing", 0, "POST", "/api/jobs", "{\"id\":\"job-000002\"}"},
      {"user: field invalid", 0, "POST", "/api/jobs", JOB("job-000002", "red", "true", "")},
      {"user: bad id", 0, "POST", "/api/jobs", JOB("x", "red", "1", "")},
      {"user: awaits invalid", 0, "POST", "/api/jobs", JOB("job-000002", "red", "1", ",\"awaits\":[1]")},
      {"user: not an object", 0, "POST", "/api/jobs", "[]"},
      {"user: not JSON", 0, "POST", "/api/jobs", "hello"},
      {"user: nobody's job", 1, "GET", "/api/jobs/job-000999", ""},
      {"user: no job's id", 1, "GET", "/api/jobs/x", ""},
      {"user: nobody's job withdrawn", 1, "POST", "/api/jobs/job-000999/withdraw", ""},
      {"user: no such path", 0, "GET", "/api/job", ""},
      {"user: wrong method", 0, "PUT", "/api/jobs", ""},
      {"user: ready", 0, "GET", "/ready", ""},
  };
  static const exchange after[] = {
      {"user: done", 1, "GET", "/api/jobs/job-000001", ""},
      {"user: done, repeated", 1, "POST", "/api/jobs", JOB("job-000001", "red", "1", "")},
      {"user: done, withdrawn", 2, "POST", "/api/jobs/job-000001/withdraw", ""},
      {"user: another new", 0, "POST", "/api/jobs", JOB("job-000003", "red", "1", "")},
      {"user: withdrawn", 0, "POST", "/api/jobs/job-000003/withdraw", ""},
      {"user: withdrawn again", 1, "POST", "/api/jobs/job-000003/withdraw", ""},
      {"user: cancelled", 2, "GET", "/api/jobs/job-000003", ""},
      {"user: awaits a cancelled job", 0, "POST", "/api/jobs",
       JOB("job-000004", "red", "1", ",\"awaits\":[\"job-000003\"]")},
  };
  start_scene();
  world_add_job("job-000001", "sweep", 2, 1, 8);
  check_exchanges(before, G_N_ELEMENTS(before));
  wait_for_answer("/api/jobs/job-000001", "\"running\":2");
  check_exchanges(&(exchange){"user: running", 0, "GET", "/api/jobs/job-000001", ""}, 1);
  wait_for_answer("/api/jobs/job-000001", "\"done\":2");
  check_exchanges(after, G_N_ELEMENTS(after));
}

static void refusals_in_an_outage(void **state) {
  (void)state;
  static const exchange rows[] = {
      {"user: outage, new", 0, "POST", "/api/jobs", JOB("job-000002", "red", "1", "")},
      {"user: outage, repeated", 0, "POST", "/api/jobs", JOB("job-000001", "red", "1", "")},
      {"user: outage, asked", 0, "GET", "/api/jobs/job-000001", ""},
      {"user: outage, withdrawn", 0, "POST", "/api/jobs/job-000001/withdraw", ""},
  };
  start_scene();
  assert_int_equal(world_request(0, "POST", "/api/jobs", JOB("job-000001", "red", "4", "")).status, 201);
  sim_run_until(sim_now() + 2);
  kv_set_down(true);
  sim_run_until(sim_now() + 6);
  check_exchanges(rows, G_N_ELEMENTS(rows));
}

static void refusals_before_types_are_known(void **state) {
  (void)state;
  static const exchange rows[] = {
      {"user: no types, new", 0, "POST", "/api/jobs", JOB("job-000002", "red", "1", "")},
      {"user: not ready", 0, "GET", "/ready", ""},
  };
  world_set_up(1, 0);
  world_cloud_down(true);
  world_start_nodes();
  sim_run_until(sim_now() + 6);
  check_exchanges(rows, G_N_ELEMENTS(rows));
}

static void refusal_of_too_many(void **state) {
  (void)state;
  enum { SUBMISSIONS = 400 };
  static world_reply replies[SUBMISSIONS];
  start_scene();
  for (unsigned i = 0; i < SUBMISSIONS; i++) {
    char **parts = g_strsplit(JOB("job-ID", "red", "1", ""), "ID", 2);
    char *id = g_strdup_printf("%06u", i + 1), *body = g_strjoinv(id, parts);
    world_send(&replies[i], 0, "POST", "/api/jobs", body);
    g_free(body);
    g_free(id);
    g_strfreev(parts);
  }
  sim_run_until(sim_now() + 10);
  unsigned i = 0;
  while (i < SUBMISSIONS && replies[i].status != 429) i++;
  assert_true(i < SUBMISSIONS);
  check_reply("user: too many", &replies[i]);
}

#define CHECKIN(machine, captaincy)                             \
  "{\"paddock\":\"" machine                                     \
  "\",\"endpoint\":\"10.1.0.1:9000\",\"build\":\"g4\","         \
  "\"ground\":\"a\",\"loaners\":false,\"stint\":1,\"tally\":1," \
  "\"captaincy\":" captaincy ",\"recallS\":null,\"runs\":[]}"

static void answers_to_reports(void **state) {
  (void)state;
  static const exchange rows[] = {
      {"worker: malformed", 0, "POST", "/checkin", "{}"},
      {"worker: not JSON", 0, "POST", "/checkin", "hello"},
      {"worker: higher token", 0, "POST", "/checkin", CHECKIN("vm-000000", "1000000")},
      {"worker: unknown machine", 0, "POST", "/checkin", CHECKIN("vm-999999", "0")},
      {"worker: wrong method", 0, "GET", "/checkin", ""},
  };
  start_scene();
  check_exchanges(rows, G_N_ELEMENTS(rows));
  /* The owner of the machine answers its heartbeat; the other two controllers redirect it to the owner. */
  world_reply answered = {0}, redirected = {0};
  for (unsigned n = 0; n < WORLD_NODES; n++) {
    world_reply reply = world_request(n, "POST", "/checkin", CHECKIN("vm-000000", "0"));
    if (reply.status == 200) answered = reply;
    if (reply.status == 421) redirected = reply;
  }
  check_reply("worker: answered", &answered);
  check_reply("worker: redirected", &redirected);
}

static const fc_command k_commands[] = {
    {.op = FC_COMMAND_START, .job = "job-000412", .index = 4, .attempt = 2},
    {.op = FC_COMMAND_STOP, .job = "job-000377", .index = 1, .attempt = 1, .grace_s = 10.5},
    {.op = FC_COMMAND_FORGET, .job = "job-000398", .index = 0, .attempt = 1},
};

static void bodies_for_workers(void **state) {
  (void)state;
  GString *out = g_string_new(NULL);
  fc_heartbeat_answer(out, 41, k_commands, G_N_ELEMENTS(k_commands));
  golden_check("worker: commands", out->str);
  g_string_truncate(out, 0);
  fc_worker_redirect_answer(out, NULL);
  golden_check("worker: redirected to nobody", out->str);
  g_string_free(out, TRUE);
}

/* Compares the JSON text of a stored value; takes over the caller's reference to it. */
static void check_stored(const char *name, json_t *value) {
  GString *out = g_string_new(NULL);
  fc_json_append(out, value);
  golden_check(name, out->str);
  g_string_free(out, TRUE);
}

/* What test_compat.c does not cover: the keys, and records that are newer than its fixtures. */
static void stored_records(void **state) {
  (void)state;
  static const char submission[] = JOB("job-000007", "red", "1", ",\"awaits\":[\"job-000398\",\"job-000405\"]");
  golden_check("stored: keys", FC_KEY_TERM " " FC_KEY_QUOTA " " FC_PREFIX_JOB " " FC_PREFIX_MACHINE " " FC_PREFIX_MEMBER
                                           " " FC_PREFIX_RENTAL " " FC_PREFIX_PART " " FC_KEY_ARCHIVE
                                           " " FC_KEY_RETURNED " " FC_PREFIX_ARCHIVED);
  check_stored("stored: member", fc_member_key_encode());
  fc_job_record record = {.origin = {.submitted_at = 1700000000.5, .term = 3}, .slices = 1, .awaiting = true};
  fc_message_error error;
  assert_true(fc_job_spec_parse(submission, strlen(submission), &record.spec, &error));
  check_stored("stored: awaiting job", fc_job_record_encode(&record));
  char *text = fc_job_description_text(&record.spec);
  golden_check("stored: description", text);
  GPtrArray *parts = fc_job_description_split(text, 200, &record.parts);
  check_stored("stored: job in parts", fc_job_record_encode(&record));
  char *key = fc_job_part_key(record.spec.id, record.parts.digest, 1);
  golden_check("stored: key of a part", key);
  check_stored("stored: part", fc_job_part_encode(parts->pdata[1]));
  g_free(key);
  g_ptr_array_free(parts, TRUE);
  g_free(text);
  fc_job_spec_clear(&record.spec);
}

/* The requests that a server receives: each is compared with the line recorded as g_request_name. */
#define SERVER_IP IP(10, 9, 0, 1)
#define CALLER_IP IP(10, 9, 0, 2)

static const char *g_request_name;

static void check_request(const sim_request *request, void *arg) {
  (void)arg;
  char *bytes = g_strdup_printf("%s %s %s", request->method, request->path, request->body);
  golden_check(g_request_name, bytes);
  g_free(bytes);
  sim_answer(request->exchange, 503, "{}");
}

/* Makes a call whose request has to be as recorded under `name`. */
#define CHECK_REQUEST(name, call) (g_request_name = (name), (void)(call))

static void call_cloud(fc_cloud *cloud, double until) {
  static const char *const ids[] = {"vm-000231", "vm-000232"};
  GPtrArray *out = g_ptr_array_new();
  bool more;
  CHECK_REQUEST("cloud: types", fc_cloud_types(cloud, until, out));
  CHECK_REQUEST("cloud: rent", fc_cloud_rent(cloud, "r-17", "g8", "a", true, 12, until, out));
  CHECK_REQUEST("cloud: rent ordinary", fc_cloud_rent(cloud, "r-18", "g8", "b", false, 1, until, out));
  CHECK_REQUEST("cloud: release", fc_cloud_release(cloud, ids, G_N_ELEMENTS(ids), until));
  CHECK_REQUEST("cloud: first page", fc_cloud_list(cloud, NULL, 500, until, out, &more));
  CHECK_REQUEST("cloud: next page", fc_cloud_list(cloud, "vm-000230", 500, until, out, &more));
  g_ptr_array_free(out, TRUE);
}

static void call_kv_store(fc_kv *kv, double until) {
  GPtrArray *out = g_ptr_array_new();
  bool more;
  uint64_t number;
  json_t *value;
  fc_txn *txn = fc_txn_new();
  CHECK_REQUEST("state: empty commit", fc_kv_commit(kv, txn, until, &number, NULL));
  fc_txn_compare(txn, "a/b", 0);
  fc_txn_compare(txn, "c/d", 412);
  fc_txn_put(txn, "a/b", json_pack("{si}", "f", 1));
  fc_txn_put_leased(txn, "a/c", json_pack("{si}", "f", 1), 7);
  fc_txn_delete(txn, "c/d");
  CHECK_REQUEST("state: commit", fc_kv_commit(kv, txn, until, &number, NULL));
  fc_txn_free(txn);
  CHECK_REQUEST("state: key", fc_kv_get(kv, "a/b", until, &value));
  CHECK_REQUEST("state: first page", fc_kv_list(kv, "c/", NULL, 200, until, out, &more, &number));
  CHECK_REQUEST("state: next page", fc_kv_list(kv, "c/", "c/7", 200, until, out, &more, &number));
  CHECK_REQUEST("state: changes", fc_kv_changes(kv, "c/", 431, 10, until, out, &number));
  CHECK_REQUEST("state: lease", fc_kv_lease_open(kv, 5, until, &number));
  CHECK_REQUEST("state: renewal", fc_kv_lease_renew(kv, 7, until));
  g_ptr_array_free(out, TRUE);
}

static void caller_main(void *arg) {
  const fc_endpoint at = {.ip = htonl(SERVER_IP), .port = 9000};
  double until = fc_now() + 20;
  fc_cloud *cloud = fc_cloud_new(&at);
  call_cloud(cloud, until);
  fc_cloud_free(cloud);
  fc_kv *kv = fc_kv_new(&at);
  call_kv_store(kv, until);
  fc_kv_free(kv);
  fc_heartbeat report;
  CHECK_REQUEST("worker: orders", fc_worker_call(&at, 41, 3, k_commands, G_N_ELEMENTS(k_commands), until, &report));
  CHECK_REQUEST("worker: asked", fc_worker_call(&at, 41, 3, NULL, 0, until, &report));
  *(bool *)arg = true;
}

static void caller_start(void *arg) {
  assert_true(fc_routine_spawn(caller_main, arg) != NULL);
}

static void requests_to_others(void **state) {
  (void)state;
  bool finished = false;
  sim_init(1);
  sim_set_links(NULL, 0, 0);
  sim_serve(SERVER_IP, check_request, NULL);
  sim_process_start(CALLER_IP, caller_start, &finished);
  sim_run_until(sim_now() + 20);
  assert_true(finished);
}

static void all_as_recorded(void **state) {
  (void)state;
  static const char *const groups[] = {"user: ", "worker: ", "cloud: ", "state: ", "stored: ", NULL};
  golden_finish(groups);
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(answers_to_users),
      cmocka_unit_test(refusals_in_an_outage),
      cmocka_unit_test(refusals_before_types_are_known),
      cmocka_unit_test(refusal_of_too_many),
      cmocka_unit_test(answers_to_reports),
      cmocka_unit_test(bodies_for_workers),
      cmocka_unit_test(stored_records),
      cmocka_unit_test(requests_to_others),
      cmocka_unit_test(all_as_recorded),
  };
  return cmocka_run_group_tests(tests, NULL, NULL);
}
