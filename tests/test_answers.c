/* Replies of whole controllers to users, and failover of rentals and gangs; over the simulated
 * transport, so that response times can be measured. */
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
    const char *says;
  } rows[] = {
      {"a new job", "POST", "/api/jobs", k_job, 0, 201, "pending"},
      {"the same to another controller", "POST", "/api/jobs", k_job, 1, 200, "\"id\":\"job-000001\""},
      {"known, with another body", "POST", "/api/jobs", JOB("job-000001", "none", "99"), 2, 200, "job-000001"},
      {"known, malformed otherwise", "POST", "/api/jobs", "{\"id\":\"job-000001\"}", 2, 200, "job-000001"},
      {"unknown team", "POST", "/api/jobs", JOB("job-000002", "none", "1"), 0, 422, "team"},
      {"fits no machine", "POST", "/api/jobs", JOB("job-000003", "red", "5"), 0, 422, "machine"},
      {"malformed", "POST", "/api/jobs", "{\"id\":\"job-000004\"}", 0, 400, "squad"},
      {"not JSON", "POST", "/api/jobs", "hello", 0, 400, "JSON"},
      {"nobody's job", "GET", "/api/jobs/job-999999", "", 1, 404, ""},
      {"refused jobs are nobody's", "GET", "/api/jobs/job-000002", "", 1, 404, ""},
      {"asked at once elsewhere", "GET", "/api/jobs/job-000001", "", 2, 200, "\"done\":"},
      {"no such path", "GET", "/api/job", "", 0, 404, ""},
      {"wrong method", "PUT", "/api/jobs", "", 0, 405, ""},
      {"cancelled", "POST", "/api/jobs/job-000001/withdraw", "", 1, 200, "cancelled"},
      {"cancelled again", "POST", "/api/jobs/job-000001/withdraw", "", 2, 200, "cancelled"},
      {"stays cancelled", "GET", "/api/jobs/job-000001", "", 0, 200, "cancelled"},
      {"submitted again after the end", "POST", "/api/jobs", k_job, 0, 200, "cancelled"},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    world_reply r = world_request(rows[i].node, rows[i].method, rows[i].path, rows[i].body);
    if (r.status != rows[i].status) print_message("row '%s': %d %s\n", rows[i].name, r.status, r.body);
    check_row(rows[i].name, r.status == rows[i].status && strstr(r.body, rows[i].says));
    check_row(rows[i].name, r.took < 1);
  }
}

/* Without the key-value store final states are still reported, anything uncertain is refused, and no
 * request waits until the user gives up. */
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
      {"a final state, from any that knows it", "GET", "/api/jobs/job-000001", "", 200},
      {"one that may have changed", "GET", "/api/jobs/job-000002", "", 503},
      {"one that may exist by now", "GET", "/api/jobs/job-000003", "", 503},
      {"a new job", "POST", "/api/jobs", JOB("job-000003", "red", "1"), 503},
      {"a cancellation", "POST", "/api/jobs/job-000002/withdraw", "", 503},
      {"health: nobody reaches the key-value store", "GET", "/ready", "", 200},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    world_reply r = world_request(1, rows[i].method, rows[i].path, rows[i].body);
    if (r.status != rows[i].status) print_message("row '%s': %d %s\n", rows[i].name, r.status, r.body);
    check_row(rows[i].name, r.status == rows[i].status);
    check_row(rows[i].name, r.took < 0.1); /* what is hopeless is refused at once */
  }
}

/* Transactions without a response, or with a late one, do not block others. */
static void submissions_beside_lost_transactions(void **state) {
  (void)state;
  static const struct {
    const char *name;
    double share;  /* of the transactions without a response */
    unsigned soon; /* of twenty accepted within half a second */
  } rows[] = {{"none is lost", 0, 20}, {"one in four", 0.25, 12}, {"one in two", 0.5, 6}};
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    world_set_up(30, 0);
    world_start_nodes();
    sim_run_until(sim_now() + 10);
    world_late_writes(rows[i].share);
    double from = sim_now();
    scene_submit(&(scene_jobs){
        .count = 20, .kind = "sweep", .priority = "standard", .tasks = 1, .gpus = 1, .run_s = 5, .every_s = 0.4});
    sim_run_until(sim_now() + 90);
    world_result r = world_current_result();
    unsigned soon = 0;
    for (unsigned k = 0; k < 20; k++) {
      const char *id = world_id(k);
      soon += world_seen_accepted_at(id) < from + k * 0.4 + 0.5;
    }
    print_message("%s: %u of 20 at once\n", rows[i].name, soon);
    if (r.broken) fail_msg("%s: %s", rows[i].name, r.first);
    check_row(rows[i].name, soon >= rows[i].soon);
    check_row(rows[i].name, r.accepted == 20 && r.finished == 20);
  }
}

/* The users of many archived jobs all poll, every eight seconds: nearly every query is answered at the
 * first try. */
static void polling_of_many_archived_jobs(void **state) {
  (void)state;
  enum { JOBS = 120, EVERY_S = 8, ROUNDS = 6 };
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
  sim_run_until(sim_now() + EVERY_S * ROUNDS);
  world_result r = world_current_result();
  unsigned asked = r.status_requests - before.status_requests, put_off = r.status_refusals - before.status_refusals;
  print_message("%u questions about archived jobs, %u put off\n", asked, put_off);
  assert_true(asked > JOBS * ROUNDS * 3 / 4);
  assert_true(put_off * 20 < asked);
  if (r.broken) fail_msg("%s", r.first);
}

/* An archived job leaves every controller's memory, and its state is still reported, also after all
 * of them restarted. */
static void replies_about_archived_jobs(void **state) {
  (void)state;
  world_set_up(5, 0);
  world_start_nodes();
  sim_run_until(sim_now() + 5);
  assert_int_equal(world_request(0, "POST", "/api/jobs", k_job).status, 201);
  assert_int_equal(world_request(0, "POST", "/api/jobs/job-000001/withdraw", "").status, 200);
  sim_run_until(sim_now() + 60);
  world_reply held = world_request_to(WORLD_KV_IP, "GET", "/keys?prefix=fc1/job/&page=10", "");
  assert_non_null(strstr(held.body, "\"rows\":[]"));
  assert_int_equal(world_request_to(WORLD_KV_IP, "GET", "/keys/fc1over/job-000001", "").status, 200);
  for (unsigned n = 0; n < WORLD_NODES; n++) world_crash(n, 1);
  sim_run_until(sim_now() + 12);
  static const struct {
    const char *name, *method, *path, *body;
    int status;
    const char *says;
  } rows[] = {
      {"asked about", "GET", "/api/jobs/job-000001", "", 200, "cancelled"},
      {"submitted again", "POST", "/api/jobs", k_job, 200, "cancelled"},
      {"submitted again, for an unknown team", "POST", "/api/jobs", JOB("job-000001", "none", "1"), 200, "cancelled"},
      {"submitted again, malformed", "POST", "/api/jobs", "{\"id\":\"job-000001\"}", 200, "cancelled"},
      {"cancelled again", "POST", "/api/jobs/job-000001/withdraw", "", 200, "cancelled"},
      {"one that never was", "GET", "/api/jobs/job-000009", "", 404, ""},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    world_reply r = world_request(i % WORLD_NODES, rows[i].method, rows[i].path, rows[i].body);
    if (r.status != rows[i].status) print_message("row '%s': %d %s\n", rows[i].name, r.status, r.body);
    check_row(rows[i].name, r.status == rows[i].status && strstr(r.body, rows[i].says));
    sim_run_until(sim_now() + 1);
  }
  /* Many queries about unknown jobs: each is answered at once. */
  for (unsigned i = 0; i < 60; i++) {
    char path[64];
    g_snprintf(path, sizeof path, "/api/jobs/job-%06u", 900000 + i);
    world_reply r = world_request(0, "GET", path, "");
    assert_true(r.status == 404 || r.status == 503);
    assert_true(r.took < 0.5);
  }
}

/* A rental intent of a dead controller is repeated under the same name, so that its machines are
 * found and not rented twice. */
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
  world_reply left = world_request_to(WORLD_KV_IP, "GET", "/keys?prefix=fc1/hire/&page=10", "");
  assert_non_null(strstr(left.body, "\"rows\":[]"));
  world_reply known = world_request_to(WORLD_KV_IP, "GET", "/keys?prefix=fc1/machine/&page=10", "");
  assert_non_null(strstr(known.body, "fc1/machine/vm-000000"));
  assert_non_null(strstr(known.body, "fc1/machine/vm-000001"));
}

/* A machine with a spot notice holds one task of a gang: all its tasks are stopped together, none
 * fails because its peers are gone. */
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
  double patience = sim_now() + 60;
  while (sim_now() < patience && !strstr(world_request(1, "GET", "/api/jobs/job-000007", "").body, "\"running\":2"))
    sim_run_until(sim_now() + 1);
  assert_true(sim_now() < patience);
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
