/* Expiry of worker leases; no network. */
#include "worker_bench.h"

#include "controller/machine_reachability.h"

/* A lease has expired when nobody has answered for so long; but an epoch that began since then has
 * its own. */
static void lease_expiry(void **state) {
  (void)state;
  static const struct {
    const char *name;
    double answered_s, epoch_s; /* ago */
    unsigned renewed_sequence;  /* of a heartbeat that a peer has answered; ours came with 9; 0: none */
    double renewed_s;           /* ago */
    bool alone;                 /* in the term; the other may have entered since our last read */
    double read_s;              /* ago */
    bool expired;
  } rows[] = {
      {"answered lately", 5, 100, 0, 0, false, 0, false},
      {"not for a lease", 20, 100, 0, 0, false, 0, true},
      {"not for a lease, in a new epoch", 20, 5, 0, 0, false, 0, false},
      {"a peer has renewed it", 20, 100, 10, 5, false, 0, false},
      {"a peer has renewed it, in an incarnation that counts anew", 20, 100, 1, 5, false, 0, false},
      {"a copy that came to a peer long ago", 20, 100, 1, 20, false, 0, true},
      {"alone, having read of nobody who entered", 20, 100, 0, 0, true, 0, true},
      {"alone, and somebody may have entered", 20, 100, 0, 0, true, 10, false},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    worker_bench *bench = worker_bench_new();
    fc_cluster *cluster = bench->cluster;
    fc_machine *machine = fixture_machine(cluster, "vm-1", "a", false);
    fixture_job(cluster, "job-000001", "sweep", "standard", "red", 4, 1, "");
    fc_cluster_add_placement(cluster, machine, "job-000001", 0, 1, 0)->start.sent = true;
    double now = fc_now();
    fc_peers_at(bench->peers, 0)->acknowledged.renewals_known_until = now + 100;
    machine->owned_since = now - 100;
    fc_leadership_term_applied(bench->leadership, now - 100, false);
    machine->lease.answered_at = now - rows[i].answered_s;
    machine->agent.epoch_began_at = now - rows[i].epoch_s;
    machine->agent.reported = machine->agent.epoch_shown = true;
    machine->agent.epoch = 1;
    machine->agent.sequence = 9;
    bench->cluster->sync.read_at = now - rows[i].read_s;
    if (rows[i].alone) cluster->membership.term.count = 1;
    fc_frame_lease_renewal renewal = {.machine = "vm-1", .age_ms = (uint32_t)(rows[i].renewed_s * 1000), .epoch = 1};
    renewal.sequence = rows[i].renewed_sequence;
    if (renewal.sequence) fc_reachability_note_renewal(bench->cluster, &renewal, now);
    fc_worker_leases_expire(bench->leases);
    check_row(rows[i].name, (machine->placements->len == 0) == rows[i].expired);
    worker_bench_free(bench);
  }
}

/* A machine of ours in epoch 1, whose lease nobody has renewed for longer than it lasts and that has
 * answered a direct call heard_s ago; a task runs on it. */
static fc_machine *overdue_machine(const worker_bench *bench, double heard_s) {
  fc_machine *machine = fixture_machine(bench->cluster, "vm-1", "a", false);
  fixture_job(bench->cluster, "job-000001", "sweep", "standard", "red", 4, 1, "");
  fc_placement *placement = fc_cluster_add_placement(bench->cluster, machine, "job-000001", 0, 1, 0);
  placement->start.sent = placement->status.reported = true;
  double now = fc_now();
  fc_peers_at(bench->peers, 0)->acknowledged.renewals_known_until = now + 100;
  fc_leadership_term_applied(bench->leadership, now - 100, false);
  machine->owned_since = now - 100;
  machine->lease.answered_at = now - 20;
  machine->agent.epoch_began_at = now - 100;
  machine->agent.epoch = 1;
  machine->agent.sequence = 9;
  machine->agent.fencing_token = 5;
  machine->agent.heard_at = now - heard_s;
  return machine;
}

static fc_placement *add_direct_start(const worker_bench *bench, fc_machine *machine, uint64_t epoch) {
  fc_placement *placement = fc_cluster_add_placement(bench->cluster, machine, "job-000001", 1, 2, 0);
  placement->start.sent = true;
  placement->start.direct = FC_DIRECT_START_IN_FLIGHT;
  placement->start.direct_token = 5;
  placement->start.direct_epoch = epoch;
  return placement;
}

/* An expiry ends the epoch that the worker has shown, once: neither a later round nor a new term
 * takes it for proof of anything that came after, and the epoch does not run ahead. */
static void expiry_ends_one_epoch(void **state) {
  (void)state;
  worker_bench *bench = worker_bench_new();
  fc_machine *machine = overdue_machine(bench, 3);
  fc_worker_leases_expire(bench->leases);
  assert_int_equal(machine->placements->len, 0);
  assert_int_equal(machine->agent.epoch, 2);
  assert_false(machine->agent.epoch_shown);
  (void)add_direct_start(bench, machine, 2);
  fc_worker_leases_expire(bench->leases);
  assert_int_equal(machine->placements->len, 1);
  assert_int_equal(machine->agent.epoch, 2);
  assert_int_equal(bench->metrics->counters.expired_leases, 1);
  machine->reconciled_term = 4; /* as at a new term */
  fc_worker_leases_expire(bench->leases);
  assert_int_equal(machine->reconciled_term, 5);
  assert_int_equal(machine->placements->len, 1);
  assert_int_equal(machine->agent.epoch, 2);
  worker_bench_free(bench);
}

/* A direct start is given up with the epoch that it named, and not with an earlier one: a restarted
 * worker counts anew and may still come to it. */
static void expiry_gives_up_starts_of_its_epoch(void **state) {
  (void)state;
  for (uint64_t epoch = 1; epoch <= 3; epoch++) {
    worker_bench *bench = worker_bench_new();
    fc_machine *machine = overdue_machine(bench, 3);
    (void)add_direct_start(bench, machine, epoch);
    fc_worker_leases_expire(bench->leases);
    assert_int_equal(machine->placements->len, epoch == 1 ? 0 : 1);
    worker_bench_free(bench);
  }
}

/* A start that was sent since we own the machine, and whose outcome is not known, stays with it: the
 * worker that goes on refuses it, but a restarted one would carry it out (test_restarted_workers). */
static void expiry_keeps_starts_of_unknown_outcome(void **state) {
  (void)state;
  static const struct {
    const char *name;
    fc_direct_start direct;
    bool owned_since_then; /* we own the machine since before it was placed */
    bool stopping, exited;
    bool kept, abandoned; /* afterwards */
  } rows[] = {
      {"answered", FC_DIRECT_START_NONE, true, false, false, false, false},
      {"under way", FC_DIRECT_START_IN_FLIGHT, true, false, false, true, false},
      {"unacknowledged", FC_DIRECT_START_UNACKNOWLEDGED, true, false, false, true, false},
      {"unacknowledged, not wanted any more", FC_DIRECT_START_UNACKNOWLEDGED, true, true, false, true, true},
      {"unacknowledged, the task has exited", FC_DIRECT_START_UNACKNOWLEDGED, true, false, true, false, false},
      {"unacknowledged, placed before the machine was ours", FC_DIRECT_START_UNACKNOWLEDGED, false, false, false, false,
       false},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    worker_bench *bench = worker_bench_new();
    fc_machine *machine = overdue_machine(bench, 3);
    fc_placement *placement = add_direct_start(bench, machine, 1);
    placement->created_at = machine->owned_since + (rows[i].owned_since_then ? 50 : -50);
    placement->start.direct = rows[i].direct;
    placement->stop.requested = rows[i].stopping;
    if (rows[i].exited) placement->status = (fc_placement_status){.state = FC_TASK_EXITED, .reported = true};
    fc_worker_leases_expire(bench->leases);
    check_row(rows[i].name, machine->placements->len == (rows[i].kept ? 1 : 0));
    if (rows[i].kept) {
      check_row(rows[i].name, fc_placement_copy_outstanding(placement));
      check_row(rows[i].name, !placement->start.sent && !placement->status.reported);
      check_row(rows[i].name, fc_machine_vacant(machine) == rows[i].abandoned);
    }
    worker_bench_free(bench);
  }
}

/* After an expiry a machine takes nothing until it has shown its epoch. One that was heard of lately
 * is asked for it; a question from before the expiry tells nothing of what came after. */
static void epoch_is_shown_after_an_expiry(void **state) {
  (void)state;
  static const struct {
    const char *name;
    double asked_s;           /* ago; the lease is found to have expired now */
    unsigned epoch, sequence; /* of the answer; 0: none */
    bool reachable;           /* afterwards */
    unsigned epoch_after;
    bool restarted;
  } rows[] = {
      {"no answer", 0, 0, 0, false, 2, false},
      {"asked before, answered in the epoch that has ended", 1, 1, 12, false, 2, false},
      {"asked before, answered in the next epoch", 1, 2, 12, true, 2, false},
      {"asked after, in the next epoch", -1, 2, 12, true, 2, false},
      {"asked after, in a later epoch: it was idle", -1, 4, 12, true, 4, false},
      {"asked after, restarted", -1, 1, 2, true, 1, true},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    worker_bench *bench = worker_bench_new();
    fc_machine *machine = overdue_machine(bench, 3);
    double now = fc_now();
    fc_worker_leases_expire(bench->leases);
    check_row(rows[i].name, !fc_machine_reachable(bench->cluster, machine, now));
    check_row(rows[i].name, fc_machine_probes_check(bench->probes, machine));
    fc_heartbeat answer = {.machine = "vm-1",
                           .epoch = rows[i].epoch,
                           .sequence = rows[i].sequence,
                           .fencing_token = 5,
                           .spot_notice_s = -1};
    uint64_t wakeups = fc_wakeups_count(bench->wakeups, FC_WAKEUP_SCHEDULE);
    if (rows[i].epoch) fc_worker_calls_apply_answer(bench->calls, machine, &answer, now - rows[i].asked_s);
    check_row(rows[i].name, fc_machine_reachable(bench->cluster, machine, now) == rows[i].reachable);
    bool woken = fc_wakeups_count(bench->wakeups, FC_WAKEUP_SCHEDULE) > wakeups;
    check_row(rows[i].name, woken == (rows[i].reachable && !rows[i].restarted));
    check_row(rows[i].name, machine->agent.epoch == rows[i].epoch_after);
    check_row(rows[i].name, machine->agent.restarted == rows[i].restarted);
    /* The epoch that it has shown has a lease of its own. */
    (void)add_direct_start(bench, machine, machine->agent.epoch);
    fc_worker_leases_expire(bench->leases);
    check_row(rows[i].name, machine->placements->len == 1);
    worker_bench_free(bench);
  }
}

/* Nobody asks a machine that was silent for so long that it took no tasks before the expiry. */
static void silent_machine_is_not_asked(void **state) {
  (void)state;
  worker_bench *bench = worker_bench_new();
  fc_machine *machine = overdue_machine(bench, 12);
  fc_worker_leases_expire(bench->leases);
  assert_false(machine->agent.epoch_shown);
  assert_false(fc_machine_probes_check(bench->probes, machine));
  worker_bench_free(bench);
}

/* A new owner has renewed the worker's lease for the one before it, and hears nothing itself: a late
 * heartbeat of the epoch that has ended is refused, and shows no task. */
static void expiry_at_a_new_owner(void **state) {
  (void)state;
  worker_bench *bench = worker_bench_new();
  fc_machine *machine = overdue_machine(bench, 30);
  GString *out = g_string_new(NULL);
  machine->owner = 1;
  machine->agent.epoch_shown = false;
  fc_peers_at(bench->peers, 0)->heard_at = -1e9; /* so that the worker is not sent there */
  assert_int_equal(send_heartbeat(bench, 3, 20, 5, RUNNING(0), out), 200);
  machine->owner = 0;
  fc_machine_reset_owner_state(machine, fc_now() - 100);
  machine->reconciled_term = 4;
  machine->lease.answered_at = fc_now() - 20;
  fc_worker_leases_expire(bench->leases);
  assert_int_equal(machine->reconciled_term, 5);
  assert_int_equal(machine->agent.epoch, 4);
  assert_int_equal(send_heartbeat(bench, 3, 21, 5, RUNNING(0), out), 503);
  assert_int_equal(machine->placements->len, 0);
  g_string_free(out, TRUE);
  worker_bench_free(bench);
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(lease_expiry),
      cmocka_unit_test(expiry_ends_one_epoch),
      cmocka_unit_test(expiry_gives_up_starts_of_its_epoch),
      cmocka_unit_test(expiry_keeps_starts_of_unknown_outcome),
      cmocka_unit_test(epoch_is_shown_after_an_expiry),
      cmocka_unit_test(silent_machine_is_not_asked),
      cmocka_unit_test(expiry_at_a_new_owner),
  };
  return cmocka_run_group_tests(tests, NULL, NULL);
}
