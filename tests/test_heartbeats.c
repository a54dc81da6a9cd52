/* Heartbeats: which member answers them, how they are ordered, and what they show about the
 * connection; without a network. */
#include "worker_fixture.h"

#include "scheduler/free_capacity.h"

static void answer_depends_on_owner_and_lease(void **state) {
  (void)state;
  static const struct {
    const char *name;
    int owner;
    bool lease, owner_recent; /* this member's lease is valid; the peer was heard from recently */
    unsigned fencing_token;
    int status;
    const char *text;
  } rows[] = {
      {"own machine", 0, true, true, 5, 200, "\"captaincy\":5"},
      {"own machine, without leadership", 0, false, true, 5, 503, ""},
      {"a fencing token above the term known here", 0, true, true, 6, 503, ""},
      {"machine of a reachable peer: redirected", 1, true, true, 5, 421, "\"coach\":\"paddock-1\""},
      {"machine of a silent peer: lease renewed here", 1, true, false, 5, 200, "\"calls\":[]"},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    worker_fixture *fixture = worker_fixture_new();
    fc_machine *machine = fixture_machine(fixture->cluster, "vm-1", "a", false);
    machine->owner = rows[i].owner;
    machine->worker.reported = false;
    if (!rows[i].lease) fc_leadership_lease_lost(fixture->leadership);
    if (!rows[i].owner_recent) fc_peers_at(fixture->peers, 0)->heard_at = -1e9;
    GString *out = g_string_new(NULL);
    check_row(rows[i].name, send_heartbeat(fixture, 1, 1, rows[i].fencing_token, "", out) == rows[i].status);
    check_row(rows[i].name, body_contains(out, rows[i].text));
    /* A renewal for a peer's machine is recorded, so that the owner can be informed. */
    check_row(rows[i].name, (machine->lease.answered_at > 0) == (rows[i].status == 200));
    g_string_free(out, TRUE);
    worker_fixture_free(fixture);
  }
}

/* A worker that returns right after it was redirected could not reach its owner. */
static void worker_back_from_its_owner_is_answered(void **state) {
  (void)state;
  worker_fixture *fixture = worker_fixture_new();
  fixture_machine(fixture->cluster, "vm-1", "a", false)->owner = 1;
  GString *out = g_string_new(NULL);
  assert_int_equal(send_heartbeat(fixture, 1, 1, 5, "", out), 421);
  assert_int_equal(send_heartbeat(fixture, 1, 2, 5, "", out), 200);
  g_string_free(out, TRUE);
  worker_fixture_free(fixture);
}

/* A copy of a heartbeat may arrive at any later time, also at a member that has just become the owner. It changes
 * nothing, and no command counts as sent with the response. */
static void delayed_copies(void **state) {
  (void)state;
  static const struct {
    const char *name;
    unsigned epoch, sequence, fencing_token;
    int status;
  } rows[] = {
      {"of this epoch", 2, 9, 5, 200},
      {"of this epoch, before this term", 2, 9, 4, 200},
      {"newer by count, but from before the fencing token was shown", 2, 99, 4, 200},
      {"of an earlier epoch", 1, 99, 5, 503},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    worker_fixture *fixture = worker_fixture_new();
    fc_cluster *cluster = fixture->cluster;
    fc_machine *machine = fixture_machine(cluster, "vm-1", "a", false);
    fixture_job(cluster, "job-000001", "sweep", "standard", "red", 4, 1, "");
    GString *out = g_string_new(NULL);
    assert_int_equal(send_heartbeat(fixture, 2, 10, 5, RUNNING(0), out), 200);
    fc_placement *placement = fc_cluster_add_placement(cluster, machine, "job-000001", 1, 2, 0);
    double answered = machine->lease.answered_at = machine->worker.heard_at = machine->worker.heard_at - 3;
    check_row(rows[i].name, send_heartbeat(fixture, rows[i].epoch, rows[i].sequence, rows[i].fencing_token, RUNNING(3),
                                           out) == rows[i].status);
    check_row(rows[i].name, !body_contains(out, "start") && !placement->start.sent);
    check_row(rows[i].name, machine->placements->len == 2 && machine->worker.sequence == 10);
    check_row(rows[i].name, machine->lease.answered_at == answered); /* the lease is not extended */
    check_row(rows[i].name, machine->probe.wanted);                  /* the machine itself is probed */
    g_string_free(out, TRUE);
    worker_fixture_free(fixture);
  }
}

/* A member that becomes the owner keeps the order of heartbeats that it knew as a peer, so that it does
 * not apply a copy. */
static void delayed_copy_after_a_change_of_owner(void **state) {
  (void)state;
  worker_fixture *fixture = worker_fixture_new();
  fc_cluster *cluster = fixture->cluster;
  fc_machine *machine = fixture_machine(cluster, "vm-1", "a", false);
  machine->owner = 1;
  fc_peers_at(fixture->peers, 0)->heard_at = -1e9; /* so that this member renews the lease for it */
  GString *out = g_string_new(NULL);
  assert_int_equal(send_heartbeat(fixture, 1, 20, 5, "", out), 200);
  double answered = machine->lease.answered_at;
  assert_int_equal(send_heartbeat(fixture, 1, 19, 5, "", out), 503); /* nobody waits for this response */
  assert_true(machine->lease.answered_at == answered);
  fc_cluster_assign_machine(cluster, machine, 1);
  assert_int_equal(machine->owner, 0);
  (void)send_heartbeat(fixture, 1, 18, 5, RUNNING(0), out);
  assert_int_equal(machine->placements->len, 0);
  assert_true(!fc_machine_reconciled(cluster, machine));
  g_string_free(out, TRUE);
  worker_fixture_free(fixture);
}

/* The arrival of a heartbeat proves only that the worker can send. Whether it receives this member's responses is
 * derived from the time and the connection of its next heartbeat. */
static void unidirectional_connections(void **state) {
  (void)state;
  static const struct {
    const char *name;
    double since_response, unidirectional_s; /* seconds before the heartbeat; < 0: not unidirectional until then */
    uint64_t before, now;                    /* the connections of the last response and of the heartbeat */
    double heartbeat_s;
    bool unidirectional, usable;
  } rows[] = {
      {"within the timeout", 2, -1, 1, 2, 2, false, true},
      {"within the timeout, after a late one", 2, 9, 1, 2, 2, false, true},
      {"after the timeout", 5, -1, 1, 2, 2, true, true}, /* one response may be lost */
      {"after the timeout again", 5, 6, 1, 2, 2, true, false},
      {"heartbeats are far apart, on another connection", 6, -1, 1, 2, 6, true, true},
      {"heartbeats are far apart, on the same connection", 6, 9, 7, 7, 6, false, true},
      {"on the same connection, after too long", 13, -1, 7, 7, 6, true, true},
      {"on an unknown connection", 6, -1, 0, 0, 6, true, true},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    worker_fixture *fixture = worker_fixture_new();
    fc_cluster *cluster = fixture->cluster;
    fc_machine *machine = fixture_machine(cluster, "vm-1", "a", false);
    machine->lease.answered_at = fc_now() - rows[i].since_response;
    machine->lease.connection = rows[i].before;
    fixture->connection = rows[i].now;
    fixture->settings.heartbeat_s = rows[i].heartbeat_s;
    if (rows[i].unidirectional_s >= 0) machine->reachability.unidirectional_since = fc_now() - rows[i].unidirectional_s;
    GString *out = g_string_new(NULL);
    assert_int_equal(send_heartbeat(fixture, 1, 1, 5, "", out), 200);
    double now = machine->worker.heard_at;
    check_row(rows[i].name, (machine->reachability.unidirectional_since != 0) == rows[i].unidirectional);
    check_row(rows[i].name, fc_machine_usable(cluster, machine, now) == rows[i].usable);
    /* A worker that may not receive responses is probed, and is usable again once it answers. */
    check_row(rows[i].name, fc_machine_probes_check(fixture->probes, machine) == !rows[i].usable);
    g_string_free(out, TRUE);
    worker_fixture_free(fixture);
  }
}

/* The worker was restarted in the same epoch. A copy of a heartbeat from before the restart has a
 * higher sequence than all that it sends now, and must not replace the tasks that run there. */
static void restarted_worker(void **state) {
  (void)state;
  worker_fixture *fixture = worker_fixture_new();
  fc_cluster *cluster = fixture->cluster;
  fc_machine *machine = fixture_machine(cluster, "vm-1", "a", false);
  fixture_job(cluster, "job-000001", "sweep", "standard", "red", 4, 1, "");
  machine->worker.restarted = true;
  machine->worker.epoch = 1;
  machine->worker.sequence = 3;
  machine->worker.fencing_token = 5;
  fc_placement *placement = fc_cluster_add_placement(cluster, machine, "job-000001", 0, 1, 0);
  placement->start.sent = placement->status.reported = true;
  GString *out = g_string_new(NULL);
  assert_int_equal(send_heartbeat(fixture, 1, 90, 5, "", out), 200);
  assert_int_equal(machine->placements->len, 1);
  assert_int_equal(machine->worker.sequence, 3);
  assert_true(machine->probe.wanted);
  g_string_free(out, TRUE);
  worker_fixture_free(fixture);
}

/* A heartbeat that does not match the machine's record is refused, and nothing of it is applied. */
static void heartbeat_that_does_not_match_the_record(void **state) {
  (void)state;
  worker_fixture *fixture = worker_fixture_new();
  fc_machine *machine = fixture_machine(fixture->cluster, "vm-1", "b", false); /* its heartbeat will name zone a */
  GString *out = g_string_new(NULL);
  assert_int_equal(send_heartbeat(fixture, 1, 1, 5, "", out), 503);
  assert_int_equal(machine->worker.sequence, 0);
  g_string_free(out, TRUE);
  worker_fixture_free(fixture);
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(answer_depends_on_owner_and_lease),
      cmocka_unit_test(worker_back_from_its_owner_is_answered),
      cmocka_unit_test(delayed_copies),
      cmocka_unit_test(delayed_copy_after_a_change_of_owner),
      cmocka_unit_test(unidirectional_connections),
      cmocka_unit_test(restarted_worker),
      cmocka_unit_test(heartbeat_that_does_not_match_the_record),
  };
  return cmocka_run_group_tests(tests, NULL, NULL);
}
