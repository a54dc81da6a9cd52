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

static uint64_t answered_token(const GString *out) {
  uint64_t token = 0;
  assert_int_equal(sscanf(out->str, "{\"captaincy\":%" G_GUINT64_FORMAT, &token), 1);
  return token;
}

/* A worker is told to forget an exited task only once its end is recorded, and together with a token above that of its
 * direct start, a copy of which would run the task again. */
static void exited_tasks_are_forgotten(void **state) {
  (void)state;
  static const struct {
    const char *name, *tasks;
    bool done_recorded, earlier_member;
    fc_direct_start direct;
    uint64_t started_with, shown; /* fencing tokens; started_with 0: started by an answer */
    bool forgotten;
    uint64_t answered;
  } rows[] = {
      {"failed", EXITED(0, "error"), false, false, FC_DIRECT_START_NONE, 0, TERM, true, TERM},
      {"done and recorded", EXITED(0, "done"), true, false, FC_DIRECT_START_NONE, 0, TERM, true, TERM},
      {"done, not recorded", EXITED(0, "done"), false, false, FC_DIRECT_START_NONE, 0, TERM, false, TERM},
      {"started directly", EXITED(0, "error"), false, false, FC_DIRECT_START_NONE, TERM, TERM, true, RAISED},
      {"started directly, refused", EXITED(0, "no_room"), false, false, FC_DIRECT_START_NONE, TERM, TERM, true, RAISED},
      {"started directly, done and recorded", EXITED(0, "done"), true, false, FC_DIRECT_START_NONE, TERM, TERM, true,
       RAISED},
      {"started directly, done, not recorded", EXITED(0, "done"), false, false, FC_DIRECT_START_NONE, TERM, TERM, false,
       TERM},
      {"started directly, a higher token shown since", EXITED(0, "error"), false, false, FC_DIRECT_START_NONE, TERM,
       RAISED, true, RAISED},
      {"started directly with a raised token", EXITED(0, "error"), false, false, FC_DIRECT_START_NONE, RAISED, RAISED,
       true, RAISED + 1},
      {"started directly in an earlier term", EXITED(0, "error"), false, false, FC_DIRECT_START_NONE, TERM / 2, TERM,
       true, TERM},
      {"started directly, no higher token left", EXITED(0, "error"), false, false, FC_DIRECT_START_NONE, LAST_TOKEN,
       LAST_TOKEN, false, LAST_TOKEN},
      {"started directly, beside an earlier version", EXITED(0, "error"), false, true, FC_DIRECT_START_NONE, TERM, TERM,
       false, TERM},
      {"the start has no answer", EXITED(0, "error"), false, false, FC_DIRECT_START_UNACKNOWLEDGED, TERM, TERM, false,
       RAISED},
      {"the start is in flight", EXITED(0, "error"), false, false, FC_DIRECT_START_IN_FLIGHT, TERM, TERM, false, TERM},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    worker_fixture *fixture = fixture_with_raised_tokens(rows[i].earlier_member);
    fc_cluster *cluster = fixture->cluster;
    fc_machine *machine = fixture_machine(cluster, "vm-1", "a", false);
    fc_job *job = fixture_job(cluster, "job-000001", "sweep", "standard", "red", 4, 1, "");
    if (rows[i].done_recorded) job->completion.bitmap[0] = 1;
    /* The end is being recorded already; the response to the heartbeat must not wait for that. */
    fc_task_completion_record(fixture->completion, "job-000001");
    fc_placement *placement = fc_cluster_add_placement(cluster, machine, "job-000001", 0, 1, 0);
    placement->status.reported = true;
    placement->start = (fc_placement_start){
        .sent = true, .direct = rows[i].direct, .direct_token = rows[i].started_with, .direct_epoch = 1};
    GString *out = g_string_new(NULL);
    machine->worker.epoch = 1;
    check_row(rows[i].name, send_heartbeat(fixture, 1, 1, (unsigned)rows[i].shown, rows[i].tasks, out) == 200);
    check_row(rows[i].name, body_contains(out, "clear") == rows[i].forgotten);
    check_row(rows[i].name, answered_token(out) == rows[i].answered);
    g_string_free(out, TRUE);
    worker_fixture_free(fixture);
  }
}

/* A direct call, which raises no token, has a worker forget a task only if its token is above that of the start. */
static void calls_forget_tasks_under_a_higher_token(void **state) {
  (void)state;
  static const struct {
    const char *name;
    uint64_t started_with, called_with;
    bool forgotten;
  } rows[] = {
      {"started by an answer", 0, TERM, true},
      {"started directly with the same token", TERM, TERM, false},
      {"started directly with a lower token", TERM, RAISED, true},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    worker_fixture *fixture = fixture_with_raised_tokens(false);
    fc_machine *machine = fixture_machine(fixture->cluster, "vm-1", "a", false);
    fixture_job(fixture->cluster, "job-000001", "sweep", "standard", "red", 4, 1, "");
    fc_placement *placement = fc_cluster_add_placement(fixture->cluster, machine, "job-000001", 0, 1, 0);
    placement->status = (fc_placement_status){.state = FC_TASK_EXITED, .cause = FC_CAUSE_ERROR, .reported = true};
    placement->start = (fc_placement_start){.sent = true, .direct_token = rows[i].started_with, .direct_epoch = 1};
    GArray *commands = fc_worker_commands_for_call(fixture->commands, machine, rows[i].called_with);
    check_row(rows[i].name, commands->len == (rows[i].forgotten ? 1 : 0));
    g_array_free(commands, TRUE);
    worker_fixture_free(fixture);
  }
}

/* A direct call carries no commands while the worker's epoch is unknown. */
static void calls_name_a_shown_epoch(void **state) {
  (void)state;
  for (int shown = 0; shown <= 1; shown++) {
    worker_fixture *fixture = fixture_with_raised_tokens(false);
    fc_machine *machine = fixture_machine(fixture->cluster, "vm-1", "a", false);
    machine->worker.epoch = 7;
    machine->worker.epoch_shown = shown;
    fixture_job(fixture->cluster, "job-000001", "sweep", "standard", "red", 4, 1, "");
    fc_placement *placement = fc_cluster_add_placement(fixture->cluster, machine, "job-000001", 0, 1, 0);
    placement->start.sent = placement->status.reported = placement->stop.requested = true;
    GArray *commands = fc_worker_commands_for_call(fixture->commands, machine, TERM);
    assert_int_equal(commands->len, shown);
    g_array_free(commands, TRUE);
    worker_fixture_free(fixture);
  }
}

/* Failure guarded against: an answer renewed the lease of a worker, and with it the validity of a direct start that was
 * still in flight (review case 1). */
static void answers_revoke_direct_starts(void **state) {
  (void)state;
  static const struct {
    const char *name;
    fc_direct_start direct;
    uint64_t shown, started_with;
    bool cancelled, earlier_member;
    uint64_t answered;
    bool lost; /* listed before, but not by this heartbeat */
  } rows[] = {
      {"lost by a restarted worker", FC_DIRECT_START_NONE, TERM, TERM, false, false, RAISED, true},
      {"no direct start", FC_DIRECT_START_NONE, TERM, 0, false, false, TERM, false},
      {"in flight", FC_DIRECT_START_IN_FLIGHT, TERM, TERM, false, false, TERM, false},
      {"in flight, the job is cancelled", FC_DIRECT_START_IN_FLIGHT, TERM, TERM, true, false, RAISED, false},
      {"unacknowledged", FC_DIRECT_START_UNACKNOWLEDGED, TERM, TERM, false, false, RAISED, false},
      {"unacknowledged, the job is cancelled", FC_DIRECT_START_UNACKNOWLEDGED, TERM, TERM, true, false, RAISED, false},
      {"unacknowledged, with a raised token", FC_DIRECT_START_UNACKNOWLEDGED, RAISED, RAISED, true, false, RAISED + 1,
       false},
      {"unacknowledged, before the worker showed the raised token", FC_DIRECT_START_UNACKNOWLEDGED, RAISED, TERM, true,
       false, RAISED, false},
      {"unacknowledged, sent in an earlier term", FC_DIRECT_START_UNACKNOWLEDGED, 4096, 4096, true, false, TERM, false},
      {"unacknowledged, beside an earlier version", FC_DIRECT_START_UNACKNOWLEDGED, TERM, TERM, true, true, TERM,
       false},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    worker_fixture *fixture = fixture_with_raised_tokens(rows[i].earlier_member);
    fc_cluster *cluster = fixture->cluster;
    fc_machine *machine = fixture_machine(cluster, "vm-1", "a", false);
    fc_job *job = fixture_job(cluster, "job-000001", "sweep", "standard", "red", 4, 1, "");
    fc_placement *placement = fc_cluster_add_placement(cluster, machine, "job-000001", 0, 1, fc_now());
    placement->status.reported = rows[i].lost;
    if (rows[i].lost) machine->worker.epoch = 1;
    placement->start = (fc_placement_start){
        .sent = true, .direct = rows[i].direct, .direct_token = rows[i].started_with, .direct_epoch = 1};
    if (rows[i].cancelled) job->phase = FC_PHASE_CANCELLED;
    GString *out = g_string_new(NULL);
    check_row(rows[i].name, send_heartbeat(fixture, 1, 1, (unsigned)rows[i].shown, "", out) == 200);
    check_row(rows[i].name, answered_token(out) == rows[i].answered);
    g_string_free(out, TRUE);
    worker_fixture_free(fixture);
  }
}

/* The same by a member that doesn't own the machine and knows nothing of its owner's starts: it raises the token as
 * long as a job may have been cancelled whose start is in flight. */
static void answers_for_the_owner_revoke_its_starts(void **state) {
  (void)state;
  static const struct {
    const char *name;
    uint64_t shown;
    bool deadline_over; /* of the last cancellation that was learned of */
    bool earlier_member;
    uint64_t answered;      /* 0: the heartbeat is refused */
    bool starts_in_answers; /* the owner sends no start by a direct call, so none is in flight */
  } rows[] = {
      {"a cancellation just now, no direct starts", TERM, false, false, TERM, true},
      {"no token of the term shown yet", 4096, false, false, RAISED, false},
      {"a cancellation just now", TERM, false, false, RAISED, false},
      {"raised before", RAISED + 7, false, false, RAISED + 8, false},
      {"no higher one left", LAST_TOKEN, false, false, LAST_TOKEN, false},
      {"a cancellation whose deadline is over", TERM, true, false, TERM, false},
      {"raised before, no cancellation since", RAISED + 7, true, false, RAISED + 7, false},
      {"beside an earlier version", TERM, false, true, TERM, false},
      {"a newer term", LAST_TOKEN + 1, false, false, 0, false},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    worker_fixture *fixture = fixture_with_raised_tokens(rows[i].earlier_member);
    fc_machine *machine = fixture_machine(fixture->cluster, "vm-1", "a", false);
    machine->owner = 1;
    fc_peers_at(fixture->peers, 0)->heard_at = -1e9;
    if (rows[i].deadline_over) fixture->settings.cancel_s = 0;
    fc_member_key *owner = g_hash_table_lookup(fixture->cluster->membership.keys, "paddock-1");
    owner->version = 2; /* of the incarnation in the term */
    owner->starts_in_answers = rows[i].starts_in_answers;
    GString *out = g_string_new(NULL);
    int status = send_heartbeat(fixture, 1, 1, (unsigned)rows[i].shown, "", out);
    check_row(rows[i].name, status == (rows[i].answered ? 200 : 503));
    if (rows[i].answered) check_row(rows[i].name, answered_token(out) == rows[i].answered);
    g_string_free(out, TRUE);
    worker_fixture_free(fixture);
  }
}

/* Failure guarded against: a start that was sent by a direct call and held up ran a task on a restarted machine, while
 * it ran on another (review case 4). A direct call carries stops and commands to forget tasks, and never a start. */
static void direct_calls_carry_no_starts(void **state) {
  (void)state;
  static const struct {
    const char *name;
    uint64_t shown;
    bool earlier_member, restarted;
  } rows[] = {
      {"no token shown yet", 0, false, false},  {"the term's token", TERM, false, false},
      {"a raised token", RAISED, false, false}, {"the last token", LAST_TOKEN, false, false},
      {"a restarted worker", 0, false, true},   {"beside an earlier version", TERM, true, false},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    worker_fixture *fixture = fixture_with_raised_tokens(rows[i].earlier_member);
    fc_machine *machine = fixture_machine(fixture->cluster, "vm-1", "a", false);
    machine->worker.fencing_token = rows[i].shown;
    machine->worker.restarted = rows[i].restarted;
    fixture_job(fixture->cluster, "job-000001", "sweep", "standard", "red", 4, 1, "");
    fc_placement *waiting = fc_cluster_add_placement(fixture->cluster, machine, "job-000001", 0, 1, 0);
    fc_placement *stopping = fc_cluster_add_placement(fixture->cluster, machine, "job-000001", 1, 2, 0);
    stopping->start.sent = stopping->stop.requested = true;
    GArray *commands =
        fc_worker_commands_for_call(fixture->commands, machine, fc_machine_fencing_token(fixture->cluster, machine));
    check_row(rows[i].name, commands->len == 1);
    check_row(rows[i].name, g_array_index(commands, fc_command, 0).op == FC_COMMAND_STOP);
    check_row(rows[i].name, !waiting->start.sent);
    g_array_free(commands, TRUE);
    worker_fixture_free(fixture);
  }
}

/* A heartbeat is solicited if a start waits for an answer that may carry it, and the worker reports a raised token at
 * once. */
static void heartbeats_are_solicited(void **state) {
  (void)state;
  enum { WAITS, SENT, LISTED, STOPPED, NONE };
  static const struct {
    const char *name;
    int start;
    uint64_t shown;
    double raised_leases; /* since the last raised token */
    bool earlier_member, epoch_unknown, held;
    bool solicited;
  } rows[] = {
      {"a start waits", WAITS, TERM, 1, false, false, false, true},
      {"a start waits, no token shown yet", WAITS, 0, 1, false, false, false, true},
      {"a start waits, a raised token shown", WAITS, RAISED, 1, false, false, false, true},
      {"a raised token half a lease ago", WAITS, RAISED, 0.51, false, false, false, true},
      {"a raised token just before", WAITS, RAISED, 0.49, false, false, false, false},
      {"no higher token left", WAITS, LAST_TOKEN, 1, false, false, false, false},
      {"beside an earlier version", WAITS, TERM, 1, true, false, false, false},
      {"the epoch is unknown", WAITS, TERM, 1, false, true, false, false},
      {"an answer is held, which will carry the start", WAITS, TERM, 1, false, false, true, false},
      {"the start was sent", SENT, TERM, 1, false, false, false, false},
      {"the task is listed", LISTED, TERM, 1, false, false, false, false},
      {"the task is to be stopped", STOPPED, TERM, 1, false, false, false, false},
      {"no task", NONE, TERM, 1, false, false, false, false},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    worker_fixture *fixture = fixture_with_raised_tokens(rows[i].earlier_member);
    fc_machine *machine = fixture_machine(fixture->cluster, "vm-1", "a", false);
    double now = fc_now();
    machine->worker.fencing_token = rows[i].shown;
    machine->worker.epoch_shown = !rows[i].epoch_unknown;
    machine->worker.token_raised_at = now - rows[i].raised_leases * fixture->settings.lease_s;
    if (rows[i].held) machine->held_heartbeat = (fc_routine *)fixture;
    fixture_job(fixture->cluster, "job-000001", "sweep", "standard", "red", 4, 1, "");
    if (rows[i].start != NONE) {
      fc_placement *placement = fc_cluster_add_placement(fixture->cluster, machine, "job-000001", 0, 1, 0);
      placement->start.sent = rows[i].start == SENT;
      placement->status.reported = rows[i].start == LISTED;
      placement->stop.requested = rows[i].start == STOPPED;
    }
    check_row(rows[i].name, fc_worker_commands_solicit_heartbeat(fixture->cluster, machine, now) == rows[i].solicited);
    worker_fixture_free(fixture);
  }
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(start_is_repeated_until_listed),
      cmocka_unit_test(starts_of_cancelled_jobs),
      cmocka_unit_test(exited_tasks_are_forgotten),
      cmocka_unit_test(calls_forget_tasks_under_a_higher_token),
      cmocka_unit_test(calls_name_a_shown_epoch),
      cmocka_unit_test(answers_revoke_direct_starts),
      cmocka_unit_test(answers_for_the_owner_revoke_its_starts),
      cmocka_unit_test(direct_calls_carry_no_starts),
      cmocka_unit_test(heartbeats_are_solicited),
  };
  return cmocka_run_group_tests(tests, NULL, NULL);
}
