/* Reconciliation: what a task list proves before and after the machine is fenced; without a network. */
#include "scheduler/pending_tasks.h"
#include "worker_fixture.h"

/* A machine gets no command before its worker has shown the current fencing token, from which on it
 * refuses commands of earlier terms. */
static void fenced_before_commanded(void **state) {
  (void)state;
  worker_fixture *fixture = worker_fixture_new();
  fc_cluster *cluster = fixture->cluster;
  fc_machine *machine = fixture_machine(cluster, "vm-1", "a", false);
  machine->reconciled_term = 0;
  machine->worker.reported = false;
  fixture_job(cluster, "job-000001", "sweep", "standard", "red", 4, 1, "");
  fc_cluster_add_placement(cluster, machine, "job-000001", 3, 9, 0)->start.sent =
      true; /* an earlier incarnation may have sent it */
  GString *out = g_string_new(NULL);
  assert_int_equal(send_heartbeat(fixture, 1, 1, 4, RUNNING(0), out), 200);
  assert_true(body_contains(out, "\"calls\":[]"));
  assert_int_equal(machine->reconciled_term, 0);
  assert_int_equal(send_heartbeat(fixture, 1, 2, 5, RUNNING(0), out), 200);
  assert_int_equal(machine->reconciled_term, 5);
  /* The list is authoritative now: a placement that it does not name is removed. */
  assert_int_equal(machine->placements->len, 1);
  assert_int_equal(((fc_placement *)machine->placements->pdata[0])->index, 0);
  g_string_free(out, TRUE);
  worker_fixture_free(fixture);
}

static void heartbeats_in_order(void **state) {
  (void)state;
  static const struct {
    const char *name;
    unsigned epoch, sequence;
    const char *tasks;
    int status;
    unsigned left; /* placements afterwards; before: one running, listed with (2, 10) */
  } rows[] = {
      {"newer, still there", 2, 11, RUNNING(0), 200, 1},
      {"newer, gone", 2, 11, "", 200, 0},
      {"older of this epoch is not applied", 2, 9, "", 200, 1},
      {"older epoch", 1, 99, "", 503, 1},
      {"new epoch", 3, 1, "", 200, 0},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    worker_fixture *fixture = worker_fixture_new();
    fc_cluster *cluster = fixture->cluster;
    fc_machine *machine = fixture_machine(cluster, "vm-1", "a", false);
    fixture_job(cluster, "job-000001", "sweep", "standard", "red", 4, 1, "");
    GString *out = g_string_new(NULL);
    machine->worker.reported = false;
    assert_int_equal(send_heartbeat(fixture, 2, 10, 5, RUNNING(0), out), 200);
    check_row(rows[i].name,
              send_heartbeat(fixture, rows[i].epoch, rows[i].sequence, 5, rows[i].tasks, out) == rows[i].status);
    check_row(rows[i].name, machine->placements->len == rows[i].left);
    g_string_free(out, TRUE);
    worker_fixture_free(fixture);
  }
}

/* A direct start without a response may still arrive until the worker has shown a higher fencing token than the start
 * carried, or a later epoch than it named. */
static void unacknowledged_direct_starts(void **state) {
  (void)state;
  static const struct {
    const char *name;
    unsigned sent_token, sent_epoch; /* carried by the start */
    unsigned seen_token;             /* shown by the worker before */
    unsigned epoch, sequence, token; /* of its next heartbeat; the last was (1, 1) */
    bool may_arrive;
  } rows[] = {
      {"the same token again", 5, 1, 5, 1, 2, 5, true},
      {"the token that it carried, shown for the first time", 5, 1, 4, 1, 2, 5, true},
      {"a higher token", 4, 1, 4, 1, 2, 5, false},
      {"a token higher than one shown since", 3, 1, 4, 1, 2, 5, false},
      {"a later epoch", 5, 1, 5, 2, 1, 5, false},
      {"a later epoch of a restarted worker, before the one that it named", 5, 3, 5, 2, 1, 5, true},
      {"a later epoch of a restarted worker, the one that it named", 5, 2, 5, 2, 1, 5, true},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    worker_fixture *fixture = worker_fixture_new();
    fc_machine *machine = fixture_machine(fixture->cluster, "vm-1", "a", false);
    machine->worker.epoch = machine->worker.sequence = 1;
    machine->worker.fencing_token = rows[i].seen_token;
    fixture_job(fixture->cluster, "job-000001", "sweep", "standard", "red", 4, 1, "");
    /* The task was listed and has ended incomplete: the worker is to forget it, unless a start may arrive. */
    fc_placement *placement = fc_cluster_add_placement(fixture->cluster, machine, "job-000001", 0, 1, 0);
    placement->start.sent = placement->status.reported = true;
    placement->start.direct = FC_DIRECT_START_UNACKNOWLEDGED;
    placement->start.direct_token = rows[i].sent_token;
    placement->start.direct_epoch = rows[i].sent_epoch;
    GString *out = g_string_new(NULL);
    send_heartbeat(fixture, rows[i].epoch, rows[i].sequence, rows[i].token, EXITED(0, "stopped"), out);
    check_row(rows[i].name, (placement->start.direct == FC_DIRECT_START_UNACKNOWLEDGED) == rows[i].may_arrive);
    check_row(rows[i].name, body_contains(out, "clear") == !rows[i].may_arrive);
    g_string_free(out, TRUE);
    worker_fixture_free(fixture);
  }
}

/* A new epoch ends the tasks that were started in the previous one. A start that names this epoch or a
 * later one, sent before the worker was restarted, may still be executed. */
static void unlisted_starts_in_a_new_epoch(void **state) {
  (void)state;
  for (unsigned named = 1; named <= 3; named++) {
    worker_fixture *fixture = worker_fixture_new();
    fc_machine *machine = fixture_machine(fixture->cluster, "vm-1", "a", false);
    machine->worker.epoch = machine->worker.sequence = 1;
    machine->worker.fencing_token = 5;
    fixture_job(fixture->cluster, "job-000001", "sweep", "standard", "red", 4, 1, "");
    fc_placement *placement = fc_cluster_add_placement(fixture->cluster, machine, "job-000001", 0, 1, 0);
    placement->start = (fc_placement_start){
        .sent = true, .direct = FC_DIRECT_START_UNACKNOWLEDGED, .direct_token = 5, .direct_epoch = named};
    GString *out = g_string_new(NULL);
    send_heartbeat(fixture, 2, 1, 5, "", out);
    assert_int_equal(machine->placements->len, named == 1 ? 0 : 1);
    g_string_free(out, TRUE);
    worker_fixture_free(fixture);
  }
}

/* The worker does not list a task, and a direct copy of its start is outstanding. The worker refuses
 * the copy now, but would execute it after a restart. So the same attempt is started there again, and
 * nowhere else (test_restarted_workers). */
static void unlisted_start_stays_with_its_machine(void **state) {
  (void)state;
  static const struct {
    const char *name;
    unsigned epoch, token; /* of the heartbeat; the start named epoch 1 and carried token 4 */
    bool fenced;           /* the machine was reconciled in this term before */
    bool reported;         /* the task was listed before */
    bool stopping;
    bool started_again; /* by the response */
  } rows[] = {
      {"a later epoch", 2, 5, true, false, false, true},
      {"a later epoch, the task was listed before", 2, 5, true, true, false, true},
      {"a higher token", 1, 5, true, false, false, true},
      {"the first list of a term", 1, 5, false, false, false, true},
      {"a later epoch, the task is to be stopped", 2, 5, true, false, true, false},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    worker_fixture *fixture = worker_fixture_new();
    fc_machine *machine = fixture_machine(fixture->cluster, "vm-1", "a", false);
    machine->worker.epoch = machine->worker.sequence = 1;
    machine->worker.fencing_token = 4;
    machine->owned_since = fc_now() - 50;
    if (!rows[i].fenced) machine->reconciled_term = 4;
    fixture_job(fixture->cluster, "job-000001", "sweep", "standard", "red", 4, 1, "");
    fc_placement *placement = fc_cluster_add_placement(fixture->cluster, machine, "job-000001", 0, 1, fc_now() - 10);
    placement->start = (fc_placement_start){
        .sent = true, .direct = FC_DIRECT_START_UNACKNOWLEDGED, .direct_token = 4, .direct_epoch = 1};
    placement->status.reported = rows[i].reported;
    placement->stop.requested = rows[i].stopping;
    GString *out = g_string_new(NULL);
    check_row(rows[i].name, send_heartbeat(fixture, rows[i].epoch, 2, rows[i].token, "", out) == 200);
    check_row(rows[i].name, machine->placements->len == 1 && fc_placement_copy_outstanding(placement));
    check_row(rows[i].name, body_contains(out, "\"call\":\"start\"") == rows[i].started_again);
    check_row(rows[i].name, fc_machine_vacant(machine) == rows[i].stopping);
    /* The task that is started again is listed, and its end frees the machine. */
    if (rows[i].started_again) {
      (void)send_heartbeat(fixture, rows[i].epoch, 3, rows[i].token, EXITED(0, "stopped"), out);
      check_row(rows[i].name, body_contains(out, "clear"));
      (void)send_heartbeat(fixture, rows[i].epoch, 4, rows[i].token, "", out);
      check_row(rows[i].name, machine->placements->len == 0);
    }
    g_string_free(out, TRUE);
    worker_fixture_free(fixture);
  }
}

/* A list names an attempt that this controller doesn't know. On a machine reconciled before, a late copy of a command
 * has begun it: it is stopped, and forgotten under a higher token; until then its task is placed nowhere else. */
static void unexpected_tasks_are_stopped(void **state) {
  (void)state;
  static const struct {
    const char *name, *tasks;
    bool reconciled, heard; /* before the heartbeat */
    const char *command;
    unsigned unexpected;
  } rows[] = {
      {"the first list of the term", RUNNING(0), false, true, "\"calls\":[]", 0},
      {"the first list that this owner receives, maybe a copy", RUNNING(0), true, false, "\"calls\":[]", 0},
      {"running", RUNNING(0), true, true, "\"call\":\"halt\"", 1},
      {"refused", EXITED(0, "no_room"), true, true, "\"captaincy\":10240,\"calls\":[{\"call\":\"clear\"", 1},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    worker_fixture *fixture = fixture_with_raised_tokens(false);
    fc_cluster *cluster = fixture->cluster;
    fc_machine *machine = fixture_machine(cluster, "vm-1", "a", false);
    if (!rows[i].reconciled) machine->reconciled_term = 0;
    machine->worker.reported = rows[i].heard;
    fc_job *job = fixture_job(cluster, "job-000001", "sweep", "standard", "red", 1, 1, "");
    GString *out = g_string_new(NULL);
    check_row(rows[i].name, send_heartbeat(fixture, 1, 1, TERM, rows[i].tasks, out) == 200);
    check_row(rows[i].name, body_contains(out, rows[i].command));
    check_row(rows[i].name, fixture->metrics->counters.unexpected_tasks == rows[i].unexpected);
    bool exited = ((const fc_placement *)machine->placements->pdata[0])->status.state == FC_TASK_EXITED;
    check_row(rows[i].name, fc_job_has_pending_tasks_in(job, FC_ALL_SLICES) == exited);
    g_string_free(out, TRUE);
    worker_fixture_free(fixture);
  }
}

/* A list lacks a task that was listed before, as the worker was restarted. While the worker has seen no token above
 * that of the task's direct start, a copy of the start would run the task: it is not placed elsewhere before. */
static void tasks_lost_in_a_restart(void **state) {
  (void)state;
  static const struct {
    const char *name;
    uint64_t started_with, shown;
    unsigned named_epoch; /* by the start; the worker's is 1 */
    bool lost;            /* the placement is removed */
  } rows[] = {
      {"started by an answer", 0, TERM, 0, true},
      {"started directly, no token shown since the restart", TERM, 0, 1, false},
      {"started directly, the token of the start shown", TERM, TERM, 1, false},
      {"started directly, a higher token shown", TERM, RAISED, 1, true},
      {"started directly in an epoch before", TERM, TERM, 0, true},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    worker_fixture *fixture = fixture_with_raised_tokens(false);
    fc_machine *machine = fixture_machine(fixture->cluster, "vm-1", "a", false);
    machine->worker.epoch = 1;
    machine->worker.sequence = 9;
    machine->worker.fencing_token = TERM;
    fixture_job(fixture->cluster, "job-000001", "sweep", "standard", "red", 4, 1, "");
    fc_placement *placement = fc_cluster_add_placement(fixture->cluster, machine, "job-000001", 0, 1, 0);
    placement->status = (fc_placement_status){.state = FC_TASK_RUNNING, .reported = true};
    placement->start =
        (fc_placement_start){.sent = true, .direct_token = rows[i].started_with, .direct_epoch = rows[i].named_epoch};
    fc_heartbeat heartbeat = {
        .machine = "vm-1", .epoch = 1, .sequence = 2, .fencing_token = rows[i].shown, .spot_notice_s = -1};
    fc_worker_calls_apply_answer(fixture->calls, machine, &heartbeat, fc_now());
    check_row(rows[i].name, machine->worker.restarted);
    check_row(rows[i].name, machine->placements->len == (rows[i].lost ? 0 : 1));
    check_row(rows[i].name, fc_machine_fencing_token(fixture->cluster, machine) > TERM);
    worker_fixture_free(fixture);
  }
}

/* A start was sent and never listed, on a machine of which only responses to direct calls count. The outcome is decided
 * by the response to a probe that was sent when no copy of the start could be executed any more. */
static void starts_decided_by_direct_answers(void **state) {
  (void)state;
  static const struct {
    const char *name;
    unsigned sent_sequence;  /* of the heartbeat whose response carried the start; 0: none did */
    double sent_s, probed_s; /* seconds ago: that response, the probe */
    bool unacknowledged, stopping;
    bool left, sent; /* afterwards */
  } rows[] = {
      {"only direct copies, all resolved, to be stopped", 0, 0, 1, false, true, false, false},
      {"only direct copies, all resolved", 0, 0, 1, false, false, true, false},
      {"a direct copy may arrive", 0, 0, 1, true, true, true, true},
      {"probed within the worker's request timeout", 20, 5, 1.5, false, true, true, true},
      {"probed after the timeout, to be stopped", 20, 9, 1.5, false, true, false, false},
      {"probed after the timeout", 20, 9, 1.5, false, false, true, false},
      {"probed after the timeout, a direct copy may arrive", 20, 9, 1.5, true, true, true, true},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    worker_fixture *fixture = worker_fixture_new();
    fc_machine *machine = fixture_machine(fixture->cluster, "vm-1", "a", false);
    machine->worker.epoch = 1;
    machine->worker.sequence = 3;
    machine->worker.fencing_token = 5;
    fixture_job(fixture->cluster, "job-000001", "sweep", "standard", "red", 4, 1, "");
    fc_placement *placement = fc_cluster_add_placement(fixture->cluster, machine, "job-000001", 0, 1, 0);
    double now = fc_now();
    placement->start.sent = true;
    placement->start.heartbeat_sequence = rows[i].sent_sequence;
    placement->start.sent_at = now - rows[i].sent_s;
    placement->start.direct = rows[i].unacknowledged ? FC_DIRECT_START_UNACKNOWLEDGED : FC_DIRECT_START_NONE;
    placement->start.direct_token = 5;
    placement->start.direct_epoch = 1;
    placement->stop.requested = rows[i].stopping;
    fc_heartbeat heartbeat = {.machine = "vm-1", .epoch = 1, .sequence = 4, .fencing_token = 5, .spot_notice_s = -1};
    fc_worker_calls_apply_answer(fixture->calls, machine, &heartbeat, now - rows[i].probed_s);
    check_row(rows[i].name, machine->placements->len == (rows[i].left ? 1 : 0));
    if (rows[i].left) check_row(rows[i].name, placement->start.sent == rows[i].sent);
    worker_fixture_free(fixture);
  }
}

/* Views from before the machine was reconciled do not count as showing its placements. */
static void reconciled_machine_is_in_no_earlier_view(void **state) {
  (void)state;
  worker_fixture *fixture = worker_fixture_new();
  fc_cluster *cluster = fixture->cluster;
  fc_machine *machine = fixture_machine(cluster, "vm-1", "a", false);
  machine->reconciled_term = 0;
  fc_placement *placement = fc_cluster_add_placement(cluster, machine, "job-000001", 0, 1, 0);
  placement->start.sent = true;
  cluster->view_number = 7; /* views that showed the machine as not reconciled */
  GString *out = g_string_new(NULL);
  assert_int_equal(send_heartbeat(fixture, 1, 1, 5, RUNNING(0), out), 200);
  assert_int_equal(machine->reconciled_term, 5);
  assert_int_equal(placement->first_view, 8);
  g_string_free(out, TRUE);
  worker_fixture_free(fixture);
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(fenced_before_commanded),
      cmocka_unit_test(heartbeats_in_order),
      cmocka_unit_test(unacknowledged_direct_starts),
      cmocka_unit_test(unlisted_starts_in_a_new_epoch),
      cmocka_unit_test(unlisted_start_stays_with_its_machine),
      cmocka_unit_test(unexpected_tasks_are_stopped),
      cmocka_unit_test(tasks_lost_in_a_restart),
      cmocka_unit_test(starts_decided_by_direct_answers),
      cmocka_unit_test(reconciled_machine_is_in_no_earlier_view),
  };
  return cmocka_run_group_tests(tests, NULL, NULL);
}
