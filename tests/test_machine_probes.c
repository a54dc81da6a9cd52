/* When machines are called directly, and what probes show; without a network. */
#include "worker_fixture.h"

#include "controller/machine_reachability.h"

/* Direct calls leave sockets for other purposes, and fencing calls leave some for commands. */
static void calls_leave_sockets_free(void **state) {
  (void)state;
  static const struct {
    const char *name;
    unsigned limit, in_flight;
    bool reconciled, probe, available;
  } rows[] = {
      {"the last for a command", 800, 99, true, false, true},
      {"none left", 800, 100, true, false, false},
      {"one over", 800, 101, true, false, false},
      {"the last for a fencing call", 800, 49, false, false, true},
      {"none left for fencing calls", 800, 50, false, false, false},
      {"none left for probes", 800, 50, true, true, false},
      {"few sockets in total", 8, 1, true, false, true},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    worker_fixture *fixture = worker_fixture_new();
    fc_machine *machine = fixture_machine(fixture->cluster, "vm-1", "a", false);
    if (!rows[i].reconciled) machine->reconciled_term = 0;
    machine->probe.wanted = rows[i].probe;
    fixture->settings.fd_limit = rows[i].limit;
    for (unsigned j = 0; j < rows[i].in_flight; j++) fc_worker_calls_begin(fixture->calls);
    check_row(rows[i].name, fc_worker_calls_socket_available(fixture->calls, machine) == rows[i].available);
    worker_fixture_free(fixture);
  }
}

/* A heartbeat that a peer answered and that is older than the last one received here may come from a
 * restarted worker: the machine is probed, unless it has been probed since. */
static void probe_after_a_renewal_by_a_peer(void **state) {
  (void)state;
  static const struct {
    const char *name;
    unsigned epoch, sequence; /* of that heartbeat; the last one received here had (2, 9) */
    double answered_s;        /* seconds since the peer answered it */
    double probed_s;          /* seconds since the last probe; 0: never */
    int owner;
    bool probes;
  } rows[] = {
      {"newer than the last one received here", 2, 10, 5, 0, 0, false},
      {"older, never probed", 2, 8, 5, 0, 0, true},
      {"of an earlier epoch", 1, 50, 5, 0, 0, true},
      {"older, probed before it was answered", 2, 8, 5, 6, 0, true},
      {"older, probed since", 2, 8, 5, 4, 0, false},
      {"older, probed since, but within the clock drift", 2, 8, 20, 19.97, 0, true},
      {"older, the machine is another member's", 2, 8, 5, 0, 1, false},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    worker_fixture *fixture = worker_fixture_new();
    fc_machine *machine = fixture_machine(fixture->cluster, "vm-1", "a", false);
    machine->owner = rows[i].owner;
    machine->worker.reported = machine->worker.epoch_shown = true;
    machine->worker.epoch = 2;
    machine->worker.sequence = 9;
    double now = fc_now();
    machine->probe.confirmed_at = rows[i].probed_s > 0 ? now - rows[i].probed_s : 0;
    fc_frame_lease_renewal renewal = {.machine = "vm-1", .epoch = rows[i].epoch, .sequence = rows[i].sequence};
    renewal.age_ms = (uint32_t)(rows[i].answered_s * 1000);
    fc_reachability_note_renewal(fixture->cluster, &renewal, now);
    check_row(rows[i].name, machine->probe.wanted == rows[i].probes);
    worker_fixture_free(fixture);
  }
}

/* After a member's incarnation has ended, the machine counts as unreachable once this and every other member have
 * probed it since, recently, and none got a response. */
static void probed_by_all_in_vain(void **state) {
  (void)state;
  static const struct {
    const char *name;
    double ended, own_probe; /* seconds since the incarnation ended, and since this member's probe; 0: never */
    bool answered;
    double peer_probe; /* age in seconds of the peer's probe, as it acknowledges this member's view; -1: none */
    bool reached;
    double view; /* seconds since this member sent that view */
    bool unreachable;
    double again; /* seconds since the peer's next probe, without a response; 0: none */
  } rows[] = {
      {"no response to either", 5, 2, false, 1.5, false, 0.5, true, 0},
      {"the peer has not probed", 5, 2, false, -1, false, 0.5, false, 0},
      {"the peer has reached it", 5, 2, false, 1.5, true, 0.5, false, 0},
      {"the peer has reached it, but not again", 5, 2, false, 1.5, true, 0.5, false, 0.5},
      {"the peer reached it before the end, but not again since", 5, 2, false, 6, true, 0.5, true, 1},
      {"the peer reached it before the end, and has not probed since", 5, 2, false, 6, true, 0.5, false, 0},
      {"the peer probed before the end", 5, 2, false, 5.5, false, 0.1, false, 0},
      {"the peer may have probed before the end: the view was sent long ago", 5, 2, false, 4.5, false, 1, false, 0},
      {"this member has not probed", 5, 0, false, 1.5, false, 0.5, false, 0},
      {"this member probed before the end", 5, 6, false, 1.5, false, 0.5, false, 0},
      {"this member was answered", 5, 2, true, 1.5, false, 0.5, false, 0},
      {"probed long ago", 60, 30, false, 29, false, 0.5, false, 0},
      {"the peer probed long ago", 60, 2, false, 29, false, 0.5, false, 0},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    worker_fixture *fixture = worker_fixture_new();
    fc_machine *machine = fixture_machine(fixture->cluster, "vm-1", "a", false);
    double now = fc_now();
    fc_leadership_term_applied(fixture->leadership, now - rows[i].ended, true);
    machine->probe.sent_at = rows[i].own_probe > 0 ? now - rows[i].own_probe : 0;
    machine->probe.answered = rows[i].answered;
    fc_frame_probe probe = {
        .machine = "vm-1", .age_ms = (uint32_t)(rows[i].peer_probe * 1000), .answered = rows[i].reached};
    if (rows[i].peer_probe >= 0) fc_reachability_note_probe(fixture->cluster, 0, &probe, now - rows[i].view, now);
    probe.age_ms = (uint32_t)(rows[i].again * 1000);
    probe.answered = false;
    if (rows[i].again > 0) fc_reachability_note_probe(fixture->cluster, 0, &probe, now, now);
    check_row(rows[i].name,
              fc_reachability_all_probes_failed(fixture->cluster, fixture->leadership, machine) == rows[i].unreachable);
    worker_fixture_free(fixture);
  }
}

/* Machines of other members are probed to assist an owner that suspects them or is late in reconciling them. */
static void probes_that_assist_an_owner(void **state) {
  (void)state;
  static const struct {
    const char *name;
    int owner;
    double ended; /* seconds since another member's incarnation ended */
    bool reconciled, owner_suspects, endpoint_recorded;
    double term, probed; /* seconds since the term was applied, and since the last probe */
    unsigned in_flight;
    bool probes;
  } rows[] = {
      {"its owner suspects it", 1, 5, true, true, true, 5, 10, 0, true},
      {"its owner does not suspect it", 1, 5, true, false, true, 5, 10, 0, false},
      {"its owner should have reconciled it", 1, 5, false, false, true, 5, 10, 0, true},
      {"its owner still has time to reconcile it", 1, 2, false, false, true, 2, 10, 0, false},
      {"without an owner", -1, 5, false, false, true, 5, 10, 0, false},
      {"probed recently", 1, 5, true, true, true, 5, 1, 0, false},
      {"its endpoint is not recorded", 1, 5, true, true, false, 5, 10, 0, false},
      {"no incarnation has ended recently", 1, 100, true, true, true, 5, 10, 0, false},
      {"the last socket for probes", 1, 5, true, true, true, 5, 10, 24, true},
      {"no socket left for probes", 1, 5, true, true, true, 5, 10, 25, false},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    worker_fixture *fixture = worker_fixture_new();
    fc_machine *machine = fixture_machine(fixture->cluster, "vm-1", "a", false);
    double now = fc_now();
    fixture->settings.fd_limit = 800;
    for (unsigned j = 0; j < rows[i].in_flight; j++) fc_worker_calls_begin(fixture->calls);
    fc_leadership_term_applied(fixture->leadership, now - rows[i].ended, true);
    fc_leadership_term_applied(fixture->leadership, now - rows[i].term, false);
    machine->owner = rows[i].owner;
    machine->endpoint_recorded = rows[i].endpoint_recorded;
    machine->reachability.owner_suspects = rows[i].owner_suspects;
    machine->probe.sent_at = now - rows[i].probed;
    machine->reconciled_term = rows[i].reconciled ? 5 : 0;
    g_strlcpy(machine->record.endpoint, "10.1.0.2:9000", sizeof machine->record.endpoint);
    fc_machine_probes_assist_owner(fixture->probes, machine);
    check_row(rows[i].name, machine->probe.in_flight == rows[i].probes);
    check_row(rows[i].name, fc_worker_calls_in_flight(fixture->calls) == rows[i].in_flight + rows[i].probes);
    worker_fixture_free(fixture);
  }
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(calls_leave_sockets_free),
      cmocka_unit_test(probe_after_a_renewal_by_a_peer),
      cmocka_unit_test(probed_by_all_in_vain),
      cmocka_unit_test(probes_that_assist_an_owner),
  };
  return cmocka_run_group_tests(tests, NULL, NULL);
}
