/* Replies of whole controllers to users, with their response times; also a rental intent after a
 * failover, and a gang on a machine with a spot notice. */
#include "check.h"

#include <stdlib.h>

#include "scene.h"
#include "sim/requests.h"

#define JOB(id, team, gpus)                                                  \
  "{\"id\":\"" id "\",\"squad\":\"c\",\"club\":\"" team                      \
  "\",\"play\":\"sweep\",\"rank\":\"standard\",\"runs\":2,"                  \
  "\"cpus\":1,\"gpus\":" gpus                                                \
  ",\"memGb\":1,\"kit\":\"i\",\"pullGb\":1,\"builds\":null,\"ground\":null," \
  "\"samePlace\":false,\"scatter\":false,\"loaners\":true,\"expectS\":1,\"markS\":0,\"stowS\":0,\"whistleS\":null}"

static const char k_job[] = JOB("job-000001", "red", "1");

static void replies_to_users(void **state) {
  (void)state;
  world_set_up(1, 0);
  world_start_nodes();
  sim_run_until(sim_now() + 5);
  static const struct {
    const char *name, *method, *path, *body;
    int node, status;
    const char *body_contains;
  } rows[] = {
      {"a new job", "POST", "/api/jobs", k_job, 0, 201, "pending"},
      {"the same job, on another controller", "POST", "/api/jobs", k_job, 1, 200, "\"id\":\"job-000001\""},
      {"known id, with another body", "POST", "/api/jobs", JOB("job-000001", "none", "99"), 2, 200, "job-000001"},
      {"known id, otherwise malformed", "POST", "/api/jobs", "{\"id\":\"job-000001\"}", 2, 200, "job-000001"},
      {"unknown team", "POST", "/api/jobs", JOB("job-000002", "none", "1"), 0, 422, "team"},
      {"fits no machine", "POST", "/api/jobs", JOB("job-000003", "red", "5"), 0, 422, "machine"},
      {"malformed", "POST", "/api/jobs", "{\"id\":\"job-000004\"}", 0, 400, "squad"},
      {"not JSON", "POST", "/api/jobs", "hello", 0, 400, "JSON"},
      {"unknown job", "GET", "/api/jobs/job-999999", "", 1, 404, ""},
      {"a refused job is unknown", "GET", "/api/jobs/job-000002", "", 1, 404, ""},
      {"queried at once, on another controller", "GET", "/api/jobs/job-000001", "", 2, 200, "\"done\":"},
      {"no such path", "GET", "/api/job", "", 0, 404, ""},
      {"wrong method", "PUT", "/api/jobs", "", 0, 405, ""},
      {"cancelled", "POST", "/api/jobs/job-000001/withdraw", "", 1, 200, "cancelled"},
      {"cancelled again", "POST", "/api/jobs/job-000001/withdraw", "", 2, 200, "cancelled"},
      {"stays cancelled", "GET", "/api/jobs/job-000001", "", 0, 200, "cancelled"},
      {"submitted again after it ended", "POST", "/api/jobs", k_job, 0, 200, "cancelled"},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    world_reply r = world_request(rows[i].node, rows[i].method, rows[i].path, rows[i].body);
    if (r.status != rows[i].status) print_message("row '%s': %d %s\n", rows[i].name, r.status, r.body);
    check_row(rows[i].name, r.status == rows[i].status && strstr(r.body, rows[i].body_contains));
    check_row(rows[i].name, r.took < 1);
  }
}

/* While the key-value store is down, terminal states are still reported, anything uncertain is refused,
 * and no request waits until the user's timeout. */
static void replies_in_a_kv_store_outage(void **state) {
  (void)state;
  world_set_up(2, 0);
  world_start_nodes();
  sim_run_until(sim_now() + 5);
  assert_int_equal(world_request(0, "POST", "/api/jobs", k_job).status, 201);
  assert_int_equal(world_request(0, "POST", "/api/jobs/job-000001/withdraw", "").status, 200);
  assert_int_equal(world_request(0, "POST", "/api/jobs", JOB("job-000002", "red", "1")).status, 201);
  assert_int_equal(world_request(1, "GET", "/api/jobs/job-000002", "").status, 200);
  assert_int_equal(world_request(1, "GET", "/api/jobs/job-000001", "").status, 200);
  kv_set_down(true);
  sim_run_until(sim_now() + 6);
  static const struct {
    const char *name, *method, *path, *body;
    int status;
  } rows[] = {
      {"terminal state, on a controller that knows it", "GET", "/api/jobs/job-000001", "", 200},
      {"state that may have changed", "GET", "/api/jobs/job-000002", "", 503},
      {"job that may have been submitted since", "GET", "/api/jobs/job-000003", "", 503},
      {"new job", "POST", "/api/jobs", JOB("job-000003", "red", "1"), 503},
      {"cancellation", "POST", "/api/jobs/job-000002/withdraw", "", 503},
      {"health check while no controller reaches the key-value store", "GET", "/ready", "", 200},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    world_reply r = world_request(1, rows[i].method, rows[i].path, rows[i].body);
    if (r.status != rows[i].status) print_message("row '%s': %d %s\n", rows[i].name, r.status, r.body);
    check_row(rows[i].name, r.status == rows[i].status);
    check_row(rows[i].name, r.took < 0.1); /* a request that can't succeed is refused at once */
  }
}

/* Transactions that get no response or are applied late don't delay others. */
static void submissions_beside_lost_transactions(void **state) {
  (void)state;
  static const struct {
    const char *name;
    double lost_share;             /* of the transactions: no response, applied late */
    unsigned min_accepted_in_time; /* of twenty submissions, within half a second */
  } rows[] = {{"none lost", 0, 20}, {"one in four lost", 0.25, 12}, {"one in two lost", 0.5, 6}};
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    world_set_up(30, 0);
    world_start_nodes();
    sim_run_until(sim_now() + 10);
    world_late_writes(rows[i].lost_share);
    double from = sim_now();
    scene_submit(&(scene_jobs){
        .count = 20, .kind = "sweep", .priority = "standard", .tasks = 1, .gpus = 1, .run_s = 5, .every_s = 0.4});
    sim_run_until(sim_now() + 90);
    world_result r = world_current_result();
    unsigned accepted_in_time = 0;
    for (unsigned k = 0; k < 20; k++) {
      const char *id = world_id(k);
      accepted_in_time += world_seen_accepted_at(id) < from + k * 0.4 + 0.5;
    }
    print_message("%s: %u of 20 accepted within 0.5 s\n", rows[i].name, accepted_in_time);
    if (r.broken) fail_msg("%s: %s", rows[i].name, r.first);
    check_row(rows[i].name, accepted_in_time >= rows[i].min_accepted_in_time);
    check_row(rows[i].name, r.accepted == 20 && r.finished == 20);
  }
}

/* The users of many archived jobs poll them every eight seconds: over 95% of the queries are not refused with
 * 503. */
static void polling_of_many_archived_jobs(void **state) {
  (void)state;
  enum { JOBS = 120, POLL_INTERVAL_S = 8, POLLS = 6 };
  scene_begin(&(scene_setup){.seed = 6, .capacity = 8, .keep_idle = true, .images_cached = true, .machines = {8}});
  scene_submit(&(scene_jobs){.count = JOBS,
                             .kind = "sweep",
                             .priority = "standard",
                             .tasks = 1,
                             .gpus = 0.25,
                             .run_s = 1,
                             .in_s = 5,
                             .every_s = 0.1});
  sim_run_until(sim_now() + 120);
  world_result before = world_current_result();
  assert_int_equal(before.finished, JOBS);
  assert_true(kv_has_key("fc1over/job-000000") && kv_has_key("fc1over/job-000119"));
  sim_run_until(sim_now() + POLL_INTERVAL_S * POLLS);
  world_result r = world_current_result();
  unsigned queries = r.status_requests - before.status_requests, refused = r.status_refusals - before.status_refusals;
  print_message("%u queries about archived jobs, %u refused with 503\n", queries, refused);
  assert_true(queries > JOBS * POLLS * 3 / 4);
  assert_true(refused * 20 < queries);
  if (r.broken) fail_msg("%s", r.first);
}

/* An archived job is removed from the controllers' memory; its state is still reported, also after all
 * controllers have restarted. */
static void replies_about_archived_jobs(void **state) {
  (void)state;
  world_set_up(5, 0);
  world_start_nodes();
  sim_run_until(sim_now() + 5);
  assert_int_equal(world_request(0, "POST", "/api/jobs", k_job).status, 201);
  assert_int_equal(world_request(0, "POST", "/api/jobs/job-000001/withdraw", "").status, 200);
  sim_run_until(sim_now() + 60);
  world_reply unarchived = world_request_to(WORLD_KV_IP, "GET", "/keys?prefix=fc1/job/&page=10", "");
  assert_non_null(strstr(unarchived.body, "\"rows\":[]"));
  assert_int_equal(world_request_to(WORLD_KV_IP, "GET", "/keys/fc1over/job-000001", "").status, 200);
  for (unsigned n = 0; n < WORLD_NODES; n++) world_crash(n, 1);
  sim_run_until(sim_now() + 12);
  static const struct {
    const char *name, *method, *path, *body;
    int status;
    const char *body_contains;
  } rows[] = {
      {"queried", "GET", "/api/jobs/job-000001", "", 200, "cancelled"},
      {"submitted again", "POST", "/api/jobs", k_job, 200, "cancelled"},
      {"submitted again, for an unknown team", "POST", "/api/jobs", JOB("job-000001", "none", "1"), 200, "cancelled"},
      {"submitted again, malformed", "POST", "/api/jobs", "{\"id\":\"job-000001\"}", 200, "cancelled"},
      {"cancelled again", "POST", "/api/jobs/job-000001/withdraw", "", 200, "cancelled"},
      {"a job that never existed", "GET", "/api/jobs/job-000009", "", 404, ""},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    world_reply r = world_request(i % WORLD_NODES, rows[i].method, rows[i].path, rows[i].body);
    if (r.status != rows[i].status) print_message("row '%s': %d %s\n", rows[i].name, r.status, r.body);
    check_row(rows[i].name, r.status == rows[i].status && strstr(r.body, rows[i].body_contains));
    sim_run_until(sim_now() + 1);
  }
  /* Each of many queries about unknown jobs is answered at once. */
  for (unsigned i = 0; i < 60; i++) {
    char path[64];
    g_snprintf(path, sizeof path, "/api/jobs/job-%06u", 900000 + i);
    world_reply r = world_request(0, "GET", path, "");
    assert_true(r.status == 404 || r.status == 503);
    assert_true(r.took < 0.5);
  }
}

/* A rental intent of a controller that has ended is executed again under the same name, so that its
 * machines are found and not rented twice. */
static void rental_intent_after_failover(void **state) {
  (void)state;
  world_set_up(3, 0);
  const char *hire = "{\"hire\":\"r-9-1\",\"build\":\"g4\",\"ground\":\"a\",\"loaners\":false,\"count\":2}";
  assert_int_equal(world_request_to(WORLD_CLOUD_IP, "POST", "/hosts", hire).status, 200);
  assert_int_equal(world_machine_count(), 2);
  const char *intent =
      "{\"when\":[],\"then\":[{\"set\":\"fc1/hire/r-9-1\",\"v\":{\"f\":1,\"type\":\"g4\",\"zone\":\"a\","
      "\"owner\":\"*\",\"spot\":false,\"count\":2}}]}";
  assert_int_equal(world_request_to(WORLD_KV_IP, "POST", "/commit", intent).status, 200);
  world_start_nodes();
  sim_run_until(sim_now() + 12);
  assert_int_equal(world_machine_count(), 2);
  world_reply intents = world_request_to(WORLD_KV_IP, "GET", "/keys?prefix=fc1/hire/&page=10", "");
  assert_non_null(strstr(intents.body, "\"rows\":[]"));
  world_reply machines = world_request_to(WORLD_KV_IP, "GET", "/keys?prefix=fc1/machine/&page=10", "");
  assert_non_null(strstr(machines.body, "fc1/machine/vm-000000"));
  assert_non_null(strstr(machines.body, "fc1/machine/vm-000001"));
}

/* A machine with a spot notice runs one task of a gang: all tasks of the gang are stopped together, and
 * none fails because its peers are gone. */
static void gang_drained_on_a_spot_notice(void **state) {
  (void)state;
  world_set_up(4, 0);
  world_start_nodes();
  sim_run_until(sim_now() + 3);
  world_add_job("job-000007", "gang", 2, 4, 60);
  const char *gang =
      "{\"id\":\"job-000007\",\"squad\":\"c\",\"club\":\"red\",\"play\":\"gang\",\"rank\":\"high\",\"runs\":2,"
      "\"cpus\":4,\"gpus\":4,\"memGb\":1,\"kit\":\"i\",\"pullGb\":1,\"builds\":null,\"ground\":null,"
      "\"samePlace\":false,\"scatter\":false,\"loaners\":true,\"expectS\":60,\"markS\":10,\"stowS\":2,\"whistleS\":"
      "null}";
  assert_int_equal(world_request(0, "POST", "/api/jobs", gang).status, 201);
  double deadline = sim_now() + 60;
  while (sim_now() < deadline && !strstr(world_request(1, "GET", "/api/jobs/job-000007", "").body, "\"running\":2"))
    sim_run_until(sim_now() + 1);
  assert_true(sim_now() < deadline);
  assert_true(world_preempt_any_spot(20));
  sim_run_until(sim_now() + 15);
  assert_int_equal(world_exited_tasks("stopped"), 2);
  assert_int_equal(world_exited_tasks("mates_gone"), 0);
}

int main(void) {
  const struct CMUnitTest tests[] = {cmocka_unit_test(replies_to_users),
                                     cmocka_unit_test(replies_in_a_kv_store_outage),
                                     cmocka_unit_test(submissions_beside_lost_transactions),
                                     cmocka_unit_test(replies_about_archived_jobs),
                                     cmocka_unit_test(polling_of_many_archived_jobs),
                                     cmocka_unit_test(rental_intent_after_failover),
                                     cmocka_unit_test(gang_drained_on_a_spot_notice)};
  return cmocka_run_group_tests(tests, NULL, NULL);
}
