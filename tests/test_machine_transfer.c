/* Transfers of whole machines to the shard of a gang that no single shard has room for. */
#include "fixture.h"

#include "scheduler/machine_transfer.h"

/* Two members, of which this one is the first, and two machines: the first is this member's, the second this member's
 * or the peer's. A gang that needs both machines belongs to either member. */
static void transfers_to_a_pending_gang(void **state) {
  (void)state;
  static const struct {
    const char *name;
    bool own_gang, own_second;
    const char *kind, *priority; /* of the task that runs on the first machine; NULL: none */
    unsigned transfers;
    bool preempt;
  } rows[] = {
      {"this member's machine is idle, the gang is the peer's", false, false, NULL, NULL, 1, false},
      {"the idle machine is the peer's to transfer", true, false, NULL, NULL, 0, false},
      {"both machines and the gang are this member's", true, true, NULL, NULL, 0, false},
      {"both machines are this member's, the gang is the peer's", false, true, NULL, NULL, 2, false},
      {"an array of lower priority is preempted", false, false, "sweep", "standard", 1, true},
      {"an array of the same priority is not preempted", false, false, "sweep", "high", 0, false},
      {"a service is not preempted", false, false, "service", "prod", 0, false},
      {"a gang is not preempted", false, false, "gang", "standard", 0, false},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    fc_settings settings = fixture_settings();
    fc_cluster *cluster = fixture_cluster(&settings);
    fixture_two_members(cluster);
    fc_machine *machine = fixture_machine(cluster, "vm-1", "a", false);
    fc_machine *second = fixture_machine(cluster, "vm-2", "a", false);
    machine->worker.heard_at = second->worker.heard_at = 90;
    machine->lease.answered_at = second->lease.answered_at = 90;
    if (!rows[i].own_second) second->owner = 1;
    if (rows[i].kind) {
      fc_job *running = fixture_job(cluster, "job-000001", rows[i].kind, rows[i].priority, "red", 1, 1, "");
      fixture_run_task(cluster, machine, running, 0, 1);
    }
    fc_job *gang = fixture_job(cluster, "job-000002", "gang", "high", "red", 2, 4, "\"samePlace\":true");
    gang->record.handed_to[0] = g_strdup(rows[i].own_gang ? "paddock-0" : "paddock-1");
    fc_cluster_assign_slices(cluster, gang);
    fc_peer_progress progress = {.available = {true, true}};
    GArray *transfers = fc_machine_transfers_plan(cluster, &progress, 90);
    check_row(rows[i].name, transfers->len == rows[i].transfers);
    if (transfers->len)
      check_row(rows[i].name, g_array_index(transfers, fc_machine_transfer, 0).preempt == rows[i].preempt);
    g_array_free(transfers, TRUE);
    fc_cluster_free(cluster);
  }
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(transfers_to_a_pending_gang),
  };
  return cmocka_run_group_tests(tests, NULL, NULL);
}
