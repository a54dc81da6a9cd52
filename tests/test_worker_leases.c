/* Expiry of worker leases; without a network. */
#include "worker_fixture.h"

#include "controller/machine_reachability.h"

/* A lease has expired when no member has answered the worker for its duration; an epoch that began in
 * the meantime has a lease of its own. */
static void lease_expiry(void **state) {
  (void)state;
  static const struct {
    const char *name;
    double answered_s, epoch_s; /* seconds since this member's last response, and since the epoch began */
    unsigned renewed_sequence;  /* of a heartbeat that a peer has answered; the last one received here had 9; 0: none */
    double renewed_s;           /* seconds since that response */
    bool alone;                 /* sole member of the term; the peer may have joined since the last read */
    double read_s;              /* seconds since the last read of the store */
    bool expired;
  } rows[] = {
      {"answered recently", 5, 100, 0, 0, false, 0, false},
      {"not answered for a lease", 20, 100, 0, 0, false, 0, true},
      {"not answered for a lease, in a new epoch", 20, 5, 0, 0, false, 0, false},
      {"a peer has renewed it", 20, 100, 10, 5, false, 0, false},
      {"a peer has renewed it for a restarted worker", 20, 100, 1, 5, false, 0, false},
      {"a peer answered a copy long ago", 20, 100, 1, 20, false, 0, true},
      {"alone, and the last read shows nobody who joined", 20, 100, 0, 0, true, 0, true},
      {"alone, and the peer may have joined", 20, 100, 0, 0, true, 10, false},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    worker_fixture *fixture = worker_fixture_new();
    fc_cluster *cluster = fixture->cluster;
    fc_machine *machine = fixture_machine(cluster, "vm-1", "a", false);
    fixture_job(cluster, "job-000001", "sweep", "standard", "red", 4, 1, "");
    fc_cluster_add_placement(cluster, machine, "job-000001", 0, 1, 0)->start.sent = true;
    double now = fc_now();
    fc_peers_at(fixture->peers, 0)->acknowledged.renewals_known_until = now + 100;
    machine->owned_since = now - 100;
    fc_leadership_term_applied(fixture->leadership, now - 100, false);
    machine->lease.answered_at = now - rows[i].answered_s;
    machine->worker.epoch_began_at = now - rows[i].epoch_s;
    machine->worker.reported = machine->worker.epoch_shown = true;
    machine->worker.epoch = 1;
    machine->worker.sequence = 9;
    fixture->cluster->sync.read_at = now - rows[i].read_s;
    if (rows[i].alone) cluster->membership.term.count = 1;
    fc_frame_lease_renewal renewal = {.machine = "vm-1", .age_ms = (uint32_t)(rows[i].renewed_s * 1000), .epoch = 1};
    renewal.sequence = rows[i].renewed_sequence;
    if (renewal.sequence) fc_reachability_note_renewal(fixture->cluster, &renewal, now);
    fc_worker_leases_expire(fixture->leases);
    check_row(rows[i].name, (machine->placements->len == 0) == rows[i].expired);
    worker_fixture_free(fixture);
  }
}

/* An owned machine in epoch 1 with one running task. Its worker's lease has not been renewed for longer
 * than its duration; its last message came heard_s seconds ago. */
static fc_machine *machine_with_expired_lease(const worker_fixture *fixture, double heard_s) {
  fc_machine *machine = fixture_machine(fixture->cluster, "vm-1", "a", false);
  fixture_job(fixture->cluster, "job-000001", "sweep", "standard", "red", 4, 1, "");
  fc_placement *placement = fc_cluster_add_placement(fixture->cluster, machine, "job-000001", 0, 1, 0);
  placement->start.sent = placement->status.reported = true;
  double now = fc_now();
  fc_peers_at(fixture->peers, 0)->acknowledged.renewals_known_until = now + 100;
  fc_leadership_term_applied(fixture->leadership, now - 100, false);
  machine->owned_since = now - 100;
  machine->lease.answered_at = now - 20;
  machine->worker.epoch_began_at = now - 100;
  machine->worker.epoch = 1;
  machine->worker.sequence = 9;
  machine->worker.fencing_token = 5;
  machine->worker.heard_at = now - heard_s;
  return machine;
}

static fc_placement *add_direct_start(const worker_fixture *fixture, fc_machine *machine, uint64_t epoch) {
  fc_placement *placement = fc_cluster_add_placement(fixture->cluster, machine, "job-000001", 1, 2, 0);
  placement->start.sent = true;
  placement->start.direct = FC_DIRECT_START_IN_FLIGHT;
  placement->start.direct_token = 5;
  placement->start.direct_epoch = epoch;
  return placement;
}

/* An expiry ends the epoch that the worker has shown, once. Neither a later check nor a new term counts
 * it as proof about later starts, and the epoch does not get ahead of the worker's own. */
static void expiry_ends_one_epoch(void **state) {
  (void)state;
  worker_fixture *fixture = worker_fixture_new();
  fc_machine *machine = machine_with_expired_lease(fixture, 3);
  fc_worker_leases_expire(fixture->leases);
  assert_int_equal(machine->placements->len, 0);
  assert_int_equal(machine->worker.epoch, 2);
  assert_false(machine->worker.epoch_shown);
  (void)add_direct_start(fixture, machine, 2);
  fc_worker_leases_expire(fixture->leases);
  assert_int_equal(machine->placements->len, 1);
  assert_int_equal(machine->worker.epoch, 2);
  assert_int_equal(fixture->metrics->counters.expired_leases, 1);
  machine->reconciled_term = 4; /* as after a change of term */
  fc_worker_leases_expire(fixture->leases);
  assert_int_equal(machine->reconciled_term, 5);
  assert_int_equal(machine->placements->len, 1);
  assert_int_equal(machine->worker.epoch, 2);
  worker_fixture_free(fixture);
}

/* An expiry ends a direct start with the epoch that it names, not with an earlier one: a restarted
 * worker counts its epochs from the beginning and may still reach the named one. */
static void expiry_ends_starts_of_its_epoch(void **state) {
  (void)state;
  for (uint64_t epoch = 1; epoch <= 3; epoch++) {
    worker_fixture *fixture = worker_fixture_new();
    fc_machine *machine = machine_with_expired_lease(fixture, 3);
    (void)add_direct_start(fixture, machine, epoch);
    fc_worker_leases_expire(fixture->leases);
    assert_int_equal(machine->placements->len, epoch == 1 ? 0 : 1);
    worker_fixture_free(fixture);
  }
}

/* A start of unknown outcome that was sent since this member became the machine's owner stays on the machine: a worker
 * that keeps running refuses it, but a restarted one would execute it (test_restarted_workers). */
static void expiry_keeps_starts_of_unknown_outcome(void **state) {
  (void)state;
  static const struct {
    const char *name;
    fc_direct_start direct;
    bool owned_since_then; /* the task was placed after this member became the owner */
    bool stopping, exited;
    bool kept, abandoned; /* afterwards */
  } rows[] = {
      {"answered", FC_DIRECT_START_NONE, true, false, false, false, false},
      {"in flight", FC_DIRECT_START_IN_FLIGHT, true, false, false, true, false},
      {"unacknowledged", FC_DIRECT_START_UNACKNOWLEDGED, true, false, false, true, false},
      {"unacknowledged, to be stopped", FC_DIRECT_START_UNACKNOWLEDGED, true, true, false, true, true},
      {"unacknowledged, the task has exited", FC_DIRECT_START_UNACKNOWLEDGED, true, false, true, false, false},
      {"unacknowledged, placed before this member became the owner", FC_DIRECT_START_UNACKNOWLEDGED, false, false,
       false, false, false},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    worker_fixture *fixture = worker_fixture_new();
    fc_machine *machine = machine_with_expired_lease(fixture, 3);
    fc_placement *placement = add_direct_start(fixture, machine, 1);
    placement->created_at = machine->owned_since + (rows[i].owned_since_then ? 50 : -50);
    placement->start.direct = rows[i].direct;
    placement->stop.requested = rows[i].stopping;
    if (rows[i].exited) placement->status = (fc_placement_status){.state = FC_TASK_EXITED, .reported = true};
    fc_worker_leases_expire(fixture->leases);
    check_row(rows[i].name, machine->placements->len == (rows[i].kept ? 1 : 0));
    if (rows[i].kept) {
      check_row(rows[i].name, fc_placement_copy_outstanding(placement));
      check_row(rows[i].name, !placement->start.sent && !placement->status.reported);
      check_row(rows[i].name, fc_machine_vacant(machine) == rows[i].abandoned);
    }
    worker_fixture_free(fixture);
  }
}

/* After an expiry a machine takes no tasks until its worker has shown its epoch. A worker that was heard
 * from recently is probed for it; a probe sent before the expiry says nothing about the time after. */
static void epoch_is_shown_after_an_expiry(void **state) {
  (void)state;
  static const struct {
    const char *name;
    double probed_s;          /* seconds since the probe; the lease is found to have expired now */
    unsigned epoch, sequence; /* of the response; 0: none */
    bool reachable;           /* afterwards, once a heartbeat has been answered too */
    unsigned epoch_after;
    bool restarted;
  } rows[] = {
      {"no response", 0, 0, 0, false, 2, false},
      {"probed before, answered in the ended epoch", 1, 1, 12, false, 2, false},
      {"probed before, answered in the next epoch", 1, 2, 12, true, 2, false},
      {"probed after, in the next epoch", -1, 2, 12, true, 2, false},
      {"probed after, in a later epoch: it was idle", -1, 4, 12, true, 4, false},
      {"probed after, restarted", -1, 1, 2, true, 1, true},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    worker_fixture *fixture = worker_fixture_new();
    fc_machine *machine = machine_with_expired_lease(fixture, 3);
    double now = fc_now();
    fc_worker_leases_expire(fixture->leases);
    check_row(rows[i].name, !fc_machine_reachable(fixture->cluster, machine, now));
    check_row(rows[i].name, fc_machine_probes_check(fixture->probes, machine));
    fc_heartbeat answer = {.machine = "vm-1",
                           .epoch = rows[i].epoch,
                           .sequence = rows[i].sequence,
                           .fencing_token = 5,
                           .spot_notice_s = -1};
    uint64_t wakeups = fc_wakeups_count(fixture->wakeups, FC_WAKEUP_SCHEDULE);
    if (rows[i].epoch) fc_worker_calls_apply_answer(fixture->calls, machine, &answer, now - rows[i].probed_s);
    /* An answer to a direct call alone does not show that a start would arrive. */
    check_row(rows[i].name, !fc_machine_reachable(fixture->cluster, machine, now));
    double answered_at = machine->lease.answered_at;
    machine->lease.answered_at = now;
    check_row(rows[i].name, fc_machine_reachable(fixture->cluster, machine, now) == rows[i].reachable);
    machine->lease.answered_at = answered_at;
    bool woken = fc_wakeups_count(fixture->wakeups, FC_WAKEUP_SCHEDULE) > wakeups;
    check_row(rows[i].name, woken == (rows[i].reachable && !rows[i].restarted));
    check_row(rows[i].name, machine->worker.epoch == rows[i].epoch_after);
    check_row(rows[i].name, machine->worker.restarted == rows[i].restarted);
    /* The epoch that the worker has shown has a lease of its own. */
    (void)add_direct_start(fixture, machine, machine->worker.epoch);
    fc_worker_leases_expire(fixture->leases);
    check_row(rows[i].name, machine->placements->len == 1);
    worker_fixture_free(fixture);
  }
}

/* A machine that was silent for so long that it took no tasks even before the expiry is not probed. */
static void silent_machine_is_not_probed(void **state) {
  (void)state;
  worker_fixture *fixture = worker_fixture_new();
  fc_machine *machine = machine_with_expired_lease(fixture, 12);
  fc_worker_leases_expire(fixture->leases);
  assert_false(machine->worker.epoch_shown);
  assert_false(fc_machine_probes_check(fixture->probes, machine));
  worker_fixture_free(fixture);
}

/* A new owner that renewed the worker's lease for the previous owner, and has received nothing since,
 * finds the lease expired: a delayed heartbeat of the ended epoch is refused, and adds no task. */
static void expiry_at_a_new_owner(void **state) {
  (void)state;
  worker_fixture *fixture = worker_fixture_new();
  fc_machine *machine = machine_with_expired_lease(fixture, 30);
  GString *out = g_string_new(NULL);
  machine->owner = 1;
  machine->worker.epoch_shown = false;
  fc_peers_at(fixture->peers, 0)->heard_at = -1e9; /* silent, so that the worker is not redirected to it */
  assert_int_equal(send_heartbeat(fixture, 3, 20, 5, RUNNING(0), out), 200);
  machine->owner = 0;
  fc_machine_reset_owner_state(machine, fc_now() - 100);
  machine->reconciled_term = 4;
  machine->lease.answered_at = fc_now() - 20;
  fc_worker_leases_expire(fixture->leases);
  assert_int_equal(machine->reconciled_term, 5);
  assert_int_equal(machine->worker.epoch, 4);
  assert_int_equal(send_heartbeat(fixture, 3, 21, 5, RUNNING(0), out), 503);
  assert_int_equal(machine->placements->len, 0);
  g_string_free(out, TRUE);
  worker_fixture_free(fixture);
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(lease_expiry),
      cmocka_unit_test(expiry_ends_one_epoch),
      cmocka_unit_test(expiry_ends_starts_of_its_epoch),
      cmocka_unit_test(expiry_keeps_starts_of_unknown_outcome),
      cmocka_unit_test(epoch_is_shown_after_an_expiry),
      cmocka_unit_test(silent_machine_is_not_probed),
      cmocka_unit_test(expiry_at_a_new_owner),
  };
  return cmocka_run_group_tests(tests, NULL, NULL);
}
