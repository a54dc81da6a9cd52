/* The version before job dependencies (the old or former version) and this one side by side, and on each
 * other's data. For controllers of the old version the simulated key-value store adapts records to that version's
 * formats (sim/kv_store.c, sim/kv_commits.c). */
#include "check.h"

#include "scene.h"
#include "sim/requests.h"

#define IMMEDIATE_S 0.3

static void start_mixed_fleet(uint32_t seed, const bool *is_new) {
  const scene_setup setup = {.seed = seed, .capacity = 5, .keep_idle = true, .images_cached = true, .machines = {5, 5}};
  scene_prepare(&setup);
  world_kv_announce_limits(2, 4, 15);
  world_former_version();
  scene_start(&setup);
  sim_run_until(sim_now() + 10);
  for (unsigned n = 0; n < WORLD_NODES; n++)
    if (is_new[n]) world_upgrade(n, 0.3);
  sim_run_until(sim_now() + 15);
  for (unsigned n = 0; n < WORLD_NODES; n++) assert_int_equal(world_is_former(n), !is_new[n]);
}

typedef struct mix_row {
  const char *name;
  bool is_new[WORLD_NODES];
  enum {
    NONE,
    KV_DOWN,
    FIRST_CRASHES,
    SECOND_CRASHES,
    KV_REFUSES_FIRST,
    FIRST_PARTITIONED,
    CANCELLED,
    LATE_WRITES
  } fault;
} mix_row;

static const mix_row k_mixes[] = {
    {"one new controller", {false, false, true}, NONE},
    {"two new controllers", {true, false, true}, NONE},
    {"the first controller is new", {true, false, false}, NONE},
    {"one new, the key-value store is down", {false, true, false}, KV_DOWN},
    {"two new, the key-value store is down", {true, true, false}, KV_DOWN},
    {"one new, an old one crashes", {false, true, false}, FIRST_CRASHES},
    {"one new, it crashes", {true, false, false}, FIRST_CRASHES},
    {"two new, the old one crashes", {true, false, true}, SECOND_CRASHES},
    {"two new, one of them crashes", {true, true, false}, SECOND_CRASHES},
    {"the key-value store refuses an old one", {false, true, true}, KV_REFUSES_FIRST},
    {"the key-value store refuses a new one", {true, false, false}, KV_REFUSES_FIRST},
    {"an old one reaches only its workers and users", {false, true, true}, FIRST_PARTITIONED},
    {"a new one reaches only its workers and users", {true, false, false}, FIRST_PARTITIONED},
    {"jobs are cancelled, the key-value store refuses an old one", {false, true, true}, CANCELLED},
    {"jobs are cancelled, the key-value store refuses a new one", {true, false, false}, CANCELLED},
    {"writes are applied late", {true, false, true}, LATE_WRITES},
};

enum { SERVICES = 3 }; /* few enough to leave two machines of one zone for the gang */

/* Services, an array of several slices, a gang that fits in no single shard, and a team at its limit. */
static void submit_jobs(void) {
  for (unsigned k = 1; k <= SERVICES; k++) world_submit(world_id(k), "service", "prod", 2, 1, 1e6, 0);
  world_submit(world_id(10), "sweep", "standard", 12, 0.5, 10, 1);
  world_submit(world_id(11), "gang", "high", 2, 4, 8, 2);
  for (unsigned k = 12; k <= 14; k++)
    world_submit_job(
        &(world_job){.id = world_id(k), .kind = "sweep", .team = "blue", .tasks = 8, .gpus = 1, .run_s = 8});
}

static void apply_fault(const mix_row *row) {
  if (row->fault == KV_DOWN) world_kv_down(22);
  if (row->fault == FIRST_CRASHES) world_crash(0, 4);
  if (row->fault == SECOND_CRASHES) world_crash(1, 4);
  if (row->fault == KV_REFUSES_FIRST || row->fault == CANCELLED) world_kv_refuse_node(0, 20);
  if (row->fault == FIRST_PARTITIONED) world_partition_node(0, 12);
  if (row->fault == LATE_WRITES) world_late_writes(0.3);
  if (row->fault != CANCELLED) return;
  sim_run_until(sim_now() + 0.5);
  for (unsigned k = 1; k <= 2; k++) world_cancel(world_id(k), 1, 0);
}

/* Handovers, machine transfers, limits and cancellations work across versions, and an outage or a lost controller
 * has no worse effect than with a single version. */
static void mixed_versions_serve(void **state) {
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS(k_mixes); i++) {
    const mix_row *row = &k_mixes[i];
    start_mixed_fleet(10 + (uint32_t)i, row->is_new);
    submit_jobs();
    sim_run_until(sim_now() + 6);
    apply_fault(row);
    sim_run_until(sim_now() + 8);
    if (row->fault == CANCELLED)
      for (unsigned k = 1; k <= 2; k++) check_row(row->name, world_tasks_of(world_id(k)) == 0);
    sim_run_until(sim_now() + 82);
    world_result r = world_current_result();
    unsigned moved = 0;
    for (unsigned n = 0; n < WORLD_NODES; n++)
      moved += (unsigned)(world_counters(n).handed_over + world_counters(n).machines_transferred);
    print_message("%s: %u done, %u cancelled, %u handed over or transferred, %u tasks ended with a lease\n", row->name,
                  r.finished, r.cancelled, moved, r.lease_kills);
    if (r.broken) fail_msg("%s: %s", row->name, r.first);
    check_row(row->name, r.finished == 5 && r.lease_kills == 0);
    check_row(row->name, r.cancelled == (row->fault == CANCELLED ? 2 : 0));
    check_row(row->name, world_running_tasks() == (SERVICES - r.cancelled) * 2);
  }
}

static char *submission_with_dependency(const char *id, const char *dependency) {
  return g_strdup_printf(
      "{\"id\":\"%s\",\"squad\":\"c\",\"club\":\"red\",\"play\":\"sweep\",\"rank\":\"high\",\"runs\":1,\"cpus\":1,"
      "\"gpus\":0,\"memGb\":1,\"kit\":\"i\",\"pullGb\":1,\"samePlace\":false,\"scatter\":false,\"loaners\":true,"
      "\"expectS\":10,\"markS\":0,\"stowS\":0,\"awaits\":[\"%s\"]}",
      id, dependency);
}

/* While a controller of the old version runs, jobs with pending dependencies, whose records it can't read, are
 * refused. Jobs whose dependencies are all done are ordinary jobs. */
static void dependencies_beside_the_old_version(void **state) {
  (void)state;
  static const bool mix[WORLD_NODES] = {true, true, false};
  start_mixed_fleet(40, mix);
  world_submit(world_id(1), "sweep", "standard", 1, 1, 1e6, 0);
  world_submit(world_id(2), "sweep", "standard", 1, 1, 1, 0);
  sim_run_until(sim_now() + 6);
  char *pending = submission_with_dependency("job-000003", world_id(1));
  char *met = submission_with_dependency("job-000004", world_id(2));
  world_reply r = world_request(0, "POST", "/api/jobs", pending);
  assert_true(r.status == 503 && r.retry_after > 0 && r.took < IMMEDIATE_S);
  assert_int_equal(world_request(1, "POST", "/api/jobs", met).status, 201);
  world_upgrade(2, 0.3);
  sim_run_until(sim_now() + 4);
  assert_int_equal(world_request(0, "POST", "/api/jobs", pending).status, 201);
  for (unsigned n = 0; n < WORLD_NODES; n++) assert_int_equal(world_get_status(n, "/api/jobs/job-000003"), 200);
  g_free(pending);
  g_free(met);
  if (world_current_result().broken) fail_msg("%s", world_current_result().first);
}

/* A controller that is rolled back starts no job with pending dependencies; those jobs are done after it is
 * upgraded again. */
static void rollback_of_one_controller(void **state) {
  (void)state;
  static const bool all_new[WORLD_NODES] = {true, true, true};
  for (unsigned node = 0; node < WORLD_NODES; node++) {
    start_mixed_fleet(50 + node, all_new);
    world_submit(world_id(1), "sweep", "standard", 2, 1, 20, 0);
    for (unsigned k = 2; k <= 9; k++)
      world_submit_job(&(world_job){.id = world_id(k),
                                    .kind = "sweep",
                                    .tasks = 2,
                                    .gpus = 0.5,
                                    .run_s = 5,
                                    .in_s = 1,
                                    .dependencies = {world_id(k < 6 ? 1 : k - 4)}});
    sim_run_until(sim_now() + 6);
    world_set_users_node((int)((node + 1) % WORLD_NODES)); /* the old version doesn't know the jobs with dependencies */
    world_downgrade(node, 0.5);
    sim_run_until(sim_now() + 30);
    if (world_current_result().broken) fail_msg("controller %u rolled back: %s", node, world_current_result().first);
    world_upgrade(node, 0.5);
    sim_run_until(sim_now() + 60);
    for (unsigned k = 1; k <= 9; k++)
      assert_true(world_seen_terminal_state(world_id(k)) &&
                  strcmp(world_seen_terminal_state(world_id(k)), "done") == 0);
    if (world_current_result().broken) fail_msg("controller %u rolled back: %s", node, world_current_result().first);
  }
}

/* Failure guarded against: the old version counts terms by one, and workers that had seen a raised fencing token
 * refused every controller from its first term on, until their leases had expired. */
static void rollback_after_raised_tokens(void **state) {
  (void)state;
  static const bool all_new[WORLD_NODES] = {true, true, true};
  for (unsigned node = 0; node < WORLD_NODES; node++) {
    start_mixed_fleet(70 + node, all_new);
    for (unsigned k = 1; k <= 6; k++) world_submit(world_id(k), "service", "prod", 2, 1, 1e6, 0);
    sim_run_until(sim_now() + 15);
    assert_int_equal(world_running_tasks(), 12);
    /* The other controllers renew the workers' leases, and know of a cancellation. */
    world_cancel(world_id(6), -1, 0);
    world_cut_node_workers((node + 1) % WORLD_NODES, 10, SIM_HELD);
    sim_run_until(sim_now() + 12);
    unsigned raised = world_raised_tokens();
    unsigned terms = world_terms_written(), lease_kills = world_current_result().lease_kills;
    world_downgrade(node, 0.5);
    sim_run_until(sim_now() + 40);
    print_message("controller %u rolled back: %u workers with raised tokens, %u terms written, %u ended by a lease\n",
                  node, raised, world_terms_written() - terms, world_current_result().lease_kills - lease_kills);
    if (world_current_result().broken) fail_msg("controller %u rolled back: %s", node, world_current_result().first);
    assert_true(raised > 0);
    assert_int_equal(world_current_result().lease_kills, lease_kills);
    assert_int_equal(world_running_tasks(), 10);
  }
}

/* Transactions of old controllers are applied minutes after the last of these controllers has ended. */
static void delayed_transactions_of_the_old_version(void **state) {
  (void)state;
  static const bool none_new[WORLD_NODES] = {false, false, false};
  for (uint32_t seed = 0; seed < 6; seed++) {
    start_mixed_fleet(70 + seed, none_new);
    world_late_writes_delay(30, 200);
    world_late_writes(0.25);
    for (unsigned k = 1; k <= 30; k++) world_submit(world_id(k), "sweep", "standard", 4, 0.5, 4, 0.4 * k);
    sim_run_until(sim_now() + 10);
    for (unsigned n = 0; n < WORLD_NODES; n++) {
      world_upgrade(n, 1);
      sim_run_until(sim_now() + 4);
    }
    world_late_writes(0);
    world_kv_limit(2, 4, 15);
    /* Dependencies on unfinished jobs, and on jobs of the delayed transactions. */
    for (unsigned k = 31; k <= 50; k++)
      world_submit_job(&(world_job){.id = world_id(k),
                                    .kind = "sweep",
                                    .tasks = 2,
                                    .gpus = 0.5,
                                    .run_s = 4,
                                    .in_s = 5,
                                    .cancel_in_s = k % 5 == 0 ? 1 : 0,
                                    .dependencies = {world_id(k - 20), world_id(k - 30)}});
    sim_run_until(sim_now() + 260);
    world_result r = world_current_result();
    print_message("seed %u: %u done, %u cancelled of %u\n", seed, r.finished, r.cancelled, r.submitted);
    if (r.broken) fail_msg("seed %u: %s", seed, r.first);
    assert_int_equal(r.finished + r.cancelled, 50);
    world_check_released();
  }
}

static char *submission_with_many_types(const char *id, unsigned tasks) {
  GString *types = g_string_new("\"g4\"");
  for (unsigned k = 0; k < 60; k++) g_string_append_printf(types, ",\"a-type-with-a-long-name-%036u\"", k);
  char *body = g_strdup_printf(
      "{\"id\":\"%s\",\"squad\":\"c\",\"club\":\"red\",\"play\":\"sweep\",\"rank\":\"high\",\"runs\":%u,\"cpus\":1,"
      "\"gpus\":1,\"memGb\":1,\"kit\":\"i\",\"pullGb\":1,\"builds\":[%s],\"samePlace\":false,\"scatter\":false,"
      "\"loaners\":true,\"expectS\":10,\"markS\":0,\"stowS\":0}",
      id, tasks, types->str);
  g_string_free(types, TRUE);
  return body;
}

/* Whether all controllers report that status. */
static bool job_is(const char *id, const char *status) {
  char path[64], expected[40];
  g_snprintf(path, sizeof path, "/api/jobs/%s", id);
  g_snprintf(expected, sizeof expected, "\"status\":\"%s\"", status);
  for (unsigned n = 0; n < WORLD_NODES; n++)
    if (!strstr(world_request(n, "GET", path, "").body, expected)) return false;
  return true;
}

/* Records stored when values could be larger are read, and their jobs end. No write exceeds the new limit: the
 * simulated key-value store would report it as a broken rule. */
static void records_larger_than_the_new_limits(void **state) {
  (void)state;
  static const bool none_new[WORLD_NODES] = {false, false, false};
  static const char *const ids[] = {"job-000001", "job-000002", "job-000003"};
  static const double run_s[] = {40, 1e6, 12};
  start_mixed_fleet(90, none_new);
  for (unsigned k = 0; k < 3; k++) {
    world_add_job(ids[k], "sweep", 4, 1, run_s[k]);
    char *body = submission_with_many_types(ids[k], 4);
    assert_int_equal(world_request(k, "POST", "/api/jobs", body).status, 201);
    g_free(body);
  }
  sim_run_until(sim_now() + 5);
  for (unsigned n = 0; n < WORLD_NODES; n++) world_upgrade(n, 0.5);
  sim_run_until(sim_now() + 5);
  world_kv_limit(2, 4, 15);
  assert_int_equal(world_request(0, "POST", "/api/jobs/job-000002/withdraw", "").status, 200);
  sim_run_until(sim_now() + 70);
  assert_true(job_is(ids[0], "done") && job_is(ids[1], "cancelled") && job_is(ids[2], "done"));
  assert_int_equal(world_tasks_of(ids[1]), 0);
  /* A new job of the same size is accepted too: its description is stored in parts. */
  world_add_job("job-000004", "sweep", 4, 1, 5);
  char *body = submission_with_many_types("job-000004", 4);
  assert_int_equal(world_request(1, "POST", "/api/jobs", body).status, 201);
  g_free(body);
  sim_run_until(sim_now() + 25);
  assert_true(job_is("job-000004", "done"));
  if (world_current_result().broken) fail_msg("%s", world_current_result().first);
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(mixed_versions_serve),
      cmocka_unit_test(dependencies_beside_the_old_version),
      cmocka_unit_test(rollback_of_one_controller),
      cmocka_unit_test(rollback_after_raised_tokens),
      cmocka_unit_test(delayed_transactions_of_the_old_version),
      cmocka_unit_test(records_larger_than_the_new_limits),
  };
  return cmocka_run_group_tests(tests, NULL, NULL);
}
