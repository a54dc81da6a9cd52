/* Commands that a worker is sent with the response to a heartbeat or by a direct call; no network. */
#include "worker_fixture.h"

/* A start is repeated until a heartbeat lists the task. While a copy of the start may still arrive, a heartbeat without
 * the task doesn't prove that it will not run, so its placement stays. */
static void start_is_repeated_until_listed(void **state) {
  (void)state;
  worker_fixture *fixture = worker_fixture_new();
  fc_cluster *cluster = fixture->cluster;
  fc_machine *machine = fixture_machine(cluster, "vm-1", "a", false);
  fixture_job(cluster, "job-000001", "sweep", "standard", "red", 4, 1, "");
  fc_placement *placement = fc_cluster_add_placement(cluster, machine, "job-000001", 0, 1, 0);
  GString *out = g_string_new(NULL);
  send_heartbeat(fixture, 1, 1, 5, "", out);
  assert_true(body_contains(out, "start"));
  send_heartbeat(fixture, 1, 2, 5, "", out); /* not listed: sent again */
  assert_true(body_contains(out, "start"));
  assert_int_equal(machine->placements->len, 1);
  placement->stop.requested = true; /* the next heartbeat decides whether the placement is removed */
  placement->start.direct = FC_DIRECT_START_UNACKNOWLEDGED;
  placement->start.direct_token = 5;
  placement->start.direct_epoch = 1;
  send_heartbeat(fixture, 1, 3, 5, "", out);
  assert_int_equal(machine->placements->len, 1); /* a direct copy may still arrive */
  placement->start.direct = FC_DIRECT_START_NONE;
  send_heartbeat(fixture, 1, 4, 5, "", out);
  assert_int_equal(machine->placements->len, 0);
  g_string_free(out, TRUE);
  worker_fixture_free(fixture);
}

/* A start is not sent if its job has been cancelled since the scheduling round, by a record that was read or a
 * cancellation from a peer. A member that renews the lease of a peer's machine stops its tasks for the same reasons. */
static void starts_of_cancelled_jobs(void **state) {
  (void)state;
  enum { NOT_CANCELLED, READ, BY_PEER, BY_PEER_UNKNOWN };
  static const struct {
    const char *name;
    int cancelled;
    bool owner, running;
    const char *says, *says_not;
    double grace_s; /* time for a checkpoint of a requested stop; 0: none requested */
  } rows[] = {
      {"not cancelled", NOT_CANCELLED, true, false, "\"call\":\"start\"", "halt", 0},
      {"cancelled by a record that was read", READ, true, false, "\"calls\":[]", "start", 0},
      {"cancelled by a peer's message", BY_PEER, true, false, "\"calls\":[]", "start", 0},
      {"writing a checkpoint", NOT_CANCELLED, true, true, "\"leewayS\":9", "\"leewayS\":0", 9},
      {"writing a checkpoint, then cancelled", BY_PEER, true, true, "\"leewayS\":0", "\"leewayS\":9", 9},
      {"running for another member", NOT_CANCELLED, false, true, "\"calls\":[]", "halt", 0},
      {"running for another member, cancelled by a peer's message", BY_PEER, false, true, "\"call\":\"halt\"", "start",
       0},
      {"running for another member, job cancelled and never read", BY_PEER_UNKNOWN, false, true, "\"call\":\"halt\"",
       "start", 0},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    worker_fixture *fixture = worker_fixture_new();
    fc_cluster *cluster = fixture->cluster;
    fc_machine *machine = fixture_machine(cluster, "vm-1", "a", false);
    fc_job *job = NULL;
    if (rows[i].cancelled != BY_PEER_UNKNOWN)
      job = fixture_job(cluster, "job-000001", "sweep", "standard", "red", 1, 1, "");
    fc_placement *placement =
        rows[i].owner ? fc_cluster_add_placement(cluster, machine, "job-000001", 0, 1, fc_now()) : NULL;
    if (placement && rows[i].running) placement->start.sent = placement->status.reported = true;
    if (placement && rows[i].grace_s > 0) {
      placement->stop.requested = true;
      placement->stop.grace_s = rows[i].grace_s;
    }
    if (!rows[i].owner) {
      machine->owner = 1;
      fc_peers_at(fixture->peers, 0)->heard_at = -1e9;
    }
    if (rows[i].cancelled == READ) job->phase = FC_PHASE_CANCELLED;
    if (rows[i].cancelled >= BY_PEER) fc_cluster_apply_cancellation(cluster, "job-000001", 99, fc_now(), fc_now());
    GString *out = g_string_new(NULL);
    check_row(rows[i].name, send_heartbeat(fixture, 1, 1, 5, rows[i].running ? RUNNING(0) : "", out) == 200);
    check_row(rows[i].name, body_contains(out, rows[i].says) && !body_contains(out, rows[i].says_not));
    g_string_free(out, TRUE);
    worker_fixture_free(fixture);
  }
}

/* A worker is told to forget an exited task only once its end is recorded, and never while a copy of its start may
 * still arrive, which would run it again. */
static void exited_tasks_are_forgotten(void **state) {
  (void)state;
  static const struct {
    const char *name, *tasks;
    bool done_recorded, unacknowledged, forgotten;
  } rows[] = {
      {"failed", EXITED(0, "error"), false, false, true},
      {"done and recorded", EXITED(0, "done"), true, false, true},
      {"done, not recorded", EXITED(0, "done"), false, false, false},
      {"a copy of its start may still arrive", EXITED(0, "error"), false, true, false},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    worker_fixture *fixture = worker_fixture_new();
    fc_cluster *cluster = fixture->cluster;
    fc_machine *machine = fixture_machine(cluster, "vm-1", "a", false);
    fc_job *job = fixture_job(cluster, "job-000001", "sweep", "standard", "red", 4, 1, "");
    if (rows[i].done_recorded) job->completion.bitmap[0] = 1;
    /* The end is being recorded already; the response to the heartbeat must not wait for that. */
    fc_task_completion_record(fixture->completion, "job-000001");
    fc_placement *placement = fc_cluster_add_placement(cluster, machine, "job-000001", 0, 1, 0);
    placement->start.sent = placement->status.reported = true;
    placement->start.direct = rows[i].unacknowledged ? FC_DIRECT_START_UNACKNOWLEDGED : FC_DIRECT_START_NONE;
    placement->start.direct_token = 5;
    placement->start.direct_epoch = 1;
    GString *out = g_string_new(NULL);
    machine->worker.fencing_token = 5;
    machine->worker.epoch = 1;
    check_row(rows[i].name, send_heartbeat(fixture, 1, 1, 5, rows[i].tasks, out) == 200);
    check_row(rows[i].name, body_contains(out, "clear") == rows[i].forgotten);
    g_string_free(out, TRUE);
    worker_fixture_free(fixture);
  }
}

/* A direct call carries no commands while the worker's epoch is unknown, and a placement keeps the epoch under which
 * its start was sent. */
static void calls_name_a_shown_epoch(void **state) {
  (void)state;
  for (int shown = 0; shown <= 1; shown++) {
    worker_fixture *fixture = worker_fixture_new();
    fc_machine *machine = fixture_machine(fixture->cluster, "vm-1", "a", false);
    machine->worker.epoch = 7;
    machine->worker.epoch_shown = shown;
    fixture_job(fixture->cluster, "job-000001", "sweep", "standard", "red", 4, 1, "");
    fc_placement *placement = fc_cluster_add_placement(fixture->cluster, machine, "job-000001", 0, 1, 0);
    GArray *commands = fc_worker_commands_for_call(fixture->commands, machine);
    assert_int_equal(commands->len, shown);
    assert_int_equal(placement->start.sent, shown);
    assert_int_equal(placement->start.direct_epoch, shown ? 7 : 0);
    g_array_free(commands, TRUE);
    worker_fixture_free(fixture);
  }
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(start_is_repeated_until_listed),
      cmocka_unit_test(starts_of_cancelled_jobs),
      cmocka_unit_test(exited_tasks_are_forgotten),
      cmocka_unit_test(calls_name_a_shown_epoch),
  };
  return cmocka_run_group_tests(tests, NULL, NULL);
}
