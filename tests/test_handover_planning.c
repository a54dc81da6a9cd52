/* Handovers of slices to shards with room: which member receives a slice, and when none may. */
#include "fixture.h"

#include "bookkeeping/reconciliation_progress.h"
#include "scheduler/handover_planning.h"

typedef struct handover_row {
  const char *name;
  bool running, acknowledged, room_here, resolved;
  unsigned expect;
  bool unavailable;
  enum { NONE_ON_PEER, ON_PEER, ON_PEER_UNRECONCILED } on_peer; /* state of a task on the peer's machine */
  bool unreconciled; /* this member's machine is not reconciled in this term */
} handover_row;

static const handover_row k_handovers[] = {
    {"nothing runs yet", false, false, false, true, 1, false, NONE_ON_PEER, false},
    {"room here", false, false, true, true, 0, false, NONE_ON_PEER, false},
    {"a task runs, its start not acknowledged", true, false, false, true, 0, false, NONE_ON_PEER, false},
    {"a task runs, its start acknowledged", true, true, false, true, 1, false, NONE_ON_PEER, false},
    {"tasks may be running unknown to this member", false, false, false, false, 0, false, NONE_ON_PEER, false},
    {"a task runs on the peer's machine", false, false, false, true, 1, false, ON_PEER, false},
    {"a task runs on the peer's unreconciled machine", false, false, false, true, 0, false, ON_PEER_UNRECONCILED,
     false},
    {"one here and one on the peer's machine, acknowledged", true, true, false, true, 1, false, ON_PEER, false},
    {"one here and one on the peer's machine, not acknowledged", true, false, false, true, 0, false, ON_PEER, false},
    {"the peer is unavailable", false, false, false, true, 0, true, NONE_ON_PEER, false},
    {"a task runs, its start acknowledged in an earlier term", true, true, false, true, 0, false, NONE_ON_PEER, true},
};

/* A slice is handed over to a shard with room only after the shard's owner has acknowledged all tasks of the slice that
 * may be on a machine: otherwise it would start them a second time. */
static void handover_after_acknowledged_starts(void **state) {
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS(k_handovers); i++) {
    const handover_row *row = &k_handovers[i];
    fc_settings settings = fixture_settings();
    fc_cluster *cluster = fixture_cluster(&settings);
    fixture_two_members(cluster);
    fc_machine *machine = fixture_machine(cluster, "vm-1", "a", false);
    fc_machine *peer_machine = fixture_machine(cluster, "vm-2", "a", false);
    machine->worker.heard_at = machine->lease.answered_at = 90;
    peer_machine->owner = 1;
    fc_job *full = fixture_job(cluster, "job-000001", "service", "prod", "red", 1, 3, "");
    fixture_run_task(cluster, machine, full, 0, 1);
    fc_job *job = fixture_job(cluster, "job-000002", "sweep", "standard", "red", 3, 1, "");
    job->record.handed_to[0] = g_strdup("paddock-0");
    fc_cluster_assign_slices(cluster, job);
    job->slices.resolved = row->resolved ? 1 : 0;
    if (!row->room_here || row->running) fixture_run_task(cluster, machine, job, 0, 2);
    if (!row->running && !row->room_here) {
      /* This member's machine is full with tasks of the other job instead. */
      fc_placement_remove(fc_machine_find_placement(machine, job->spec.id, 0, 2));
      fixture_run_task(cluster, machine, full, 9, 3);
      full->spec.gpus = 2;
    }
    if (row->on_peer) fixture_run_task(cluster, peer_machine, job, 1, 4);
    if (row->on_peer == ON_PEER_UNRECONCILED) peer_machine->reconciled_term = 0;
    if (row->unreconciled) machine->reconciled_term = 0;
    fc_peer_progress progress = {.available = {true, !row->unavailable}};
    if (row->acknowledged) {
      progress.acked_view[1] = 100;
      progress.acked_revision[1] = 100;
    }
    GArray *plan = fc_handovers_plan(cluster, &progress, 90);
    check_row(row->name, plan->len == row->expect);
    if (plan->len) {
      const fc_handover *handover = &g_array_index(plan, fc_handover, 0);
      check_row(row->name, handover->to == 1 && handover->machine_owners == (row->running ? 3 : 2));
    }
    g_array_free(plan, TRUE);
    fc_cluster_free(cluster);
  }
}

/* This member's machine is full, one of the peer's is free, and a job of a team with a limit is pending at the
 * peer. */
static void room_not_claimed_by_jobs_at_their_limit(void **state) {
  (void)state;
  static const struct {
    const char *name;
    double used_gpus; /* of the limit of 16 */
    unsigned expect;
  } rows[] = {{"the peer's jobs can start, and go first", 4, 0},
              {"at the limit", 16, 1},
              {"below it, by less than a task", 15.5, 1}};
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    fc_settings settings = fixture_settings();
    fc_cluster *cluster = fixture_cluster(&settings);
    fixture_two_members(cluster);
    fc_machine *machine = fixture_machine(cluster, "vm-1", "a", false);
    fc_machine *free_machine = fixture_machine(cluster, "vm-2", "a", false);
    fc_machine *used_machine = fixture_machine(cluster, "vm-3", "a", false);
    machine->worker.heard_at = machine->lease.answered_at = 90;
    free_machine->owner = used_machine->owner = 1;
    fc_job *full = fixture_job(cluster, "job-000001", "service", "prod", "red", 1, 4, "");
    fixture_run_task(cluster, machine, full, 0, 1);
    fc_job *limited = fixture_job(cluster, "job-000002", "service", "prod", "blue", 1, 4, "");
    fixture_run_task(cluster, used_machine, limited, 0, 1);
    limited->spec.gpus = rows[i].used_gpus;
    fc_job *peer_job = fixture_job(cluster, "job-000003", "sweep", "high", "blue", 8, 1, "");
    peer_job->record.handed_to[0] = g_strdup("paddock-1");
    fc_job *own_job = fixture_job(cluster, "job-000004", "sweep", "standard", "red", 2, 1, "");
    own_job->record.handed_to[0] = g_strdup("paddock-0");
    fixture_assign_slices(cluster);
    own_job->slices.resolved = 1;
    fc_peer_progress progress = {.available = {true, true}};
    GArray *plan = fc_handovers_plan(cluster, &progress, 90);
    check_row(rows[i].name, plan->len == rows[i].expect);
    if (plan->len) check_row(rows[i].name, g_array_index(plan, fc_handover, 0).job == own_job);
    g_array_free(plan, TRUE);
    fc_cluster_free(cluster);
  }
}

typedef struct running_task_row {
  const char *name;
  int owner;           /* member that owns the machine on which the first task runs */
  uint64_t started_in; /* term */
  bool reconciled;
  unsigned expect;
  bool partly_known, gang;
} running_task_row;

static const running_task_row k_running_tasks[] = {
    {"on the receiver's machine", 1, 4, true, 1, false, false},
    {"started there in this term", 1, 5, true, 1, false, false},
    {"on the receiver's machine, not reconciled", 1, 4, false, 0, false, false},
    {"on a third member's machine", 2, 4, true, 1, true, false},
    {"started there in this term, perhaps unknown to the receiver", 2, 5, true, 0, false, false},
    {"on a third member's machine, not reconciled", 2, 4, false, 0, false, false},
    {"a gang is never split", 1, 4, true, 0, false, true},
};

/* Checks when the slice is resolved at the receiver after it read the record of the handover: at once if it knows all
 * tasks of the slice, otherwise once all machines are reconciled. */
static void check_resolution_at_receiver(fc_cluster *cluster, fc_job *job, const running_task_row *row) {
  fc_machine *receiver_machine = fc_cluster_find_machine(cluster, "vm-2"),
             *third_machine = fc_cluster_find_machine(cluster, "vm-3");
  cluster->membership.self = 1;
  cluster->membership.term_version = 1;
  third_machine->reconciled_term = 4;
  job->slices.resolved = 0;
  fc_job_record record = {.spec = job->spec,
                          .origin = {.handed_over = 1, .partly_known = row->partly_known},
                          .phase = FC_PHASE_ACCEPTED,
                          .done = (char *)"",
                          .slices = 1};
  record.handed_to[0] = (char *)"paddock-1";
  (void)fc_cluster_apply_job(cluster, "job-000002", &record, 30, true, 91);
  check_row(row->name, (job->slices.resolved & 1) == !row->partly_known);
  receiver_machine->reconciled_term = third_machine->reconciled_term = 5;
  check_row(row->name, fc_cluster_update_reconciled(cluster) && (job->slices.resolved & 1));
}

/* After a change of term, a task of the slice may be on a machine of another member. The slice is handed over only to a
 * member that knows of that task, or will know once all machines are reconciled; only then is the slice resolved
 * there. */
static void handover_with_a_running_task(void **state) {
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS(k_running_tasks); i++) {
    fc_settings settings = fixture_settings();
    fc_cluster *cluster = fixture_cluster(&settings);
    cluster->membership.term = (fc_term){
        .number = 5, .seed = 1, .members = {{"paddock-0", 1}, {"paddock-1", 1}, {"paddock-2", 1}}, .count = 3};
    fc_machine *own = fixture_machine(cluster, "vm-1", "a", false);
    fc_machine *receiver_machine = fixture_machine(cluster, "vm-2", "a", false);
    fc_machine *third_machine = fixture_machine(cluster, "vm-3", "a", false);
    own->worker.heard_at = own->lease.answered_at = 90;
    receiver_machine->owner = 1;
    third_machine->owner = 2;
    fc_job *full = fixture_job(cluster, "job-000001", "service", "prod", "red", 2, 4, "");
    fixture_run_task(cluster, own, full, 0, 1);
    fc_job *job =
        fixture_job(cluster, "job-000002", k_running_tasks[i].gang ? "gang" : "service", "standard", "red", 2, 1, "");
    job->record.handed_to[0] = g_strdup("paddock-0");
    fc_cluster_assign_slices(cluster, job);
    job->slices.resolved = 1;
    fc_machine *machine = k_running_tasks[i].owner == 1 ? receiver_machine : third_machine;
    fixture_run_task(cluster, machine, job, 0, fc_attempt(k_running_tasks[i].started_in, 1));
    if (k_running_tasks[i].owner == 2) third_machine->drain.owner_cordoned = true; /* only the receiver has room */
    if (!k_running_tasks[i].reconciled) machine->reconciled_term = 4;
    fc_machine *spare = fixture_machine(cluster, "vm-4", "a", false); /* the receiver has room in any case */
    spare->owner = 1;
    fc_peer_progress progress = {.available = {true, true, true}};
    GArray *plan = fc_handovers_plan(cluster, &progress, 90);
    check_row(k_running_tasks[i].name, plan->len == k_running_tasks[i].expect);
    if (plan->len) {
      check_row(k_running_tasks[i].name, g_array_index(plan, fc_handover, 0).to == 1);
      check_row(k_running_tasks[i].name,
                g_array_index(plan, fc_handover, 0).partly_known == k_running_tasks[i].partly_known);
    }
    g_array_free(plan, TRUE);
    check_resolution_at_receiver(cluster, job, &k_running_tasks[i]);
    fc_cluster_free(cluster);
  }
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(handover_after_acknowledged_starts),
      cmocka_unit_test(room_not_claimed_by_jobs_at_their_limit),
      cmocka_unit_test(handover_with_a_running_task),
  };
  return cmocka_run_group_tests(tests, NULL, NULL);
}
