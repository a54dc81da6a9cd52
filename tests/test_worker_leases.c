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
    machine->agent.reported = true;
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

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(lease_expiry),
  };
  return cmocka_run_group_tests(tests, NULL, NULL);
}
