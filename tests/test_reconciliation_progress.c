/* Which machines are reconciled, and which slices resolved, in a new term. */
#include "fixture.h"

#include "bookkeeping/cluster_machines.h"
#include "bookkeeping/reconciliation_progress.h"

/* Reconciliation of the previous term remains valid only where nothing can have changed unseen in
 * between. */
static void reconciliation_across_term_change(void **state) {
  (void)state;
  static const struct {
    const char *name;
    uint64_t previous, number; /* of the terms (coordination/fencing_token.h) */
    bool continuous, owner_recorded, reconciled, resolved;
  } rows[] = {
      {"a member of both terms", 1, 2, true, true, true, true},
      {"a new incarnation", 1, 2, false, true, false, false},
      {"a term in between was missed", 1, 3, true, true, true, false},
      {"assigned to this member by the term, not by its record", 1, 2, true, false, false, true},
      {"a member of both terms, in steps", 4096, 8192, true, true, true, true},
      {"a term in between was missed, in steps", 4096, 12288, true, true, true, false},
      {"a term of an earlier version", 4096, 4097, true, true, true, true},
      {"the term after that, which may not be the next", 4097, 12288, true, true, true, false},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    fc_settings settings = fixture_settings();
    fc_cluster *cluster = fixture_cluster(&settings);
    cluster->membership.term.number = rows[i].previous;
    fc_machine *machine = fixture_machine(cluster, "vm-1", "a", false);
    fc_job *job = fixture_job(cluster, "job-000001", "sweep", "standard", "red", 1, 1, "");
    if (!rows[i].owner_recorded) g_strlcpy(machine->record.owner, "paddock-9", sizeof machine->record.owner);
    fc_term next = cluster->membership.term;
    next.number = rows[i].number;
    fc_cluster_apply_term(cluster, &next, 9, rows[i].continuous, 1);
    check_row(rows[i].name, (machine->reconciled_term == next.number) == rows[i].reconciled);
    check_row(rows[i].name, (job->slices.resolved & 1) == rows[i].resolved);
    /* Once all machines are reconciled no task can be running unseen. */
    check_row(rows[i].name, fc_cluster_update_reconciled(cluster) == rows[i].reconciled);
    machine->reconciled_term = next.number;
    check_row(rows[i].name, fc_cluster_update_reconciled(cluster) && job->slices.resolved);
    fc_cluster_free(cluster);
  }
}

/* Machines whose endpoint is not recorded don't count (day hunt-879d-7): while the fleet kept
 * renting machines, reconciliation never completed and no task started. */
static void reconciliation_completes(void **state) {
  (void)state;
  static const struct {
    const char *name;
    bool endpoint_recorded;
    uint64_t reconciled_term;
    bool complete;
  } rows[] = {
      {"reconciled", true, 1, true},
      {"not reconciled", true, 0, false},
      {"reconciled in another term", true, 7, false},
      {"its endpoint is not recorded: nothing was ever started on it", false, 0, true},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    fc_settings settings = fixture_settings();
    fc_cluster *cluster = fixture_cluster(&settings);
    cluster->reconciliation.complete_in_term = 0;
    fc_machine *machine = fixture_machine(cluster, "vm-1", "a", false);
    machine->endpoint_recorded = rows[i].endpoint_recorded;
    machine->reconciled_term = rows[i].reconciled_term;
    check_row(rows[i].name, fc_cluster_update_reconciled(cluster) == rows[i].complete);
    fc_cluster_free(cluster);
  }
}

typedef struct resolution_row {
  const char *name;
  bool own_reconciled, peer_reconciled;
  uint64_t accepted, names_since; /* terms; the current one is 10 */
  unsigned handed_over;
  bool other_owner, resolved;
  uint64_t handed_over_in; /* the term of the first slice's last handover */
  unsigned machine_owners; /* one bit for each member: its machines may hold tasks of the slice since that handover */
} resolution_row;

static const resolution_row k_resolutions[] = {
    {"all machines are reconciled", true, true, 0, 10, 1, true, true, 0, 0},
    {"this member's machines are reconciled", true, false, 5, 5, 0, false, true, 0, 0},
    {"this member's are reconciled, but the job's term is unknown", true, false, 0, 1, 0, false, false, 0, 0},
    {"this member's are not reconciled", false, true, 5, 5, 0, false, false, 0, 0},
    {"the member names have changed since", true, false, 5, 6, 0, false, false, 0, 0},
    {"the slice has been handed over", true, false, 5, 5, 1, false, false, 0, 0},
    {"another slice has been handed over", true, false, 5, 5, 2, false, true, 0, 0},
    {"it belongs to another shard", true, false, 5, 5, 0, true, false, 0, 0},
    {"handed over to this member, with no task elsewhere", true, false, 5, 5, 1, false, true, 7, 1},
    {"handed over to this member, with tasks on the peer's machines", true, false, 5, 5, 1, false, false, 7, 3},
    {"the peer's are reconciled, and its tasks are on this member's too", false, true, 5, 5, 1, false, false, 7, 3},
    {"the peer's are reconciled, and its tasks are on those alone", false, true, 5, 5, 1, false, true, 7, 2},
    {"handed over since the member names changed", true, false, 3, 6, 1, false, true, 6, 1},
    {"handed over before the member names changed", true, false, 3, 6, 1, false, false, 5, 1},
    {"handed over, and the job's term is unknown", true, false, 0, 6, 1, false, true, 7, 1},
    {"handed over, and owned by another shard", true, false, 5, 5, 1, true, false, 7, 1},
    {"never handed over: recorded owners don't count", true, false, 5, 6, 0, false, false, 7, 1},
};

/* Rereading the same record after missed changes resolves its slice as before. */
static void check_reread_job(fc_cluster *cluster, const fc_job *job, const resolution_row *row) {
  fc_job_record record = {.phase = FC_PHASE_ACCEPTED, .done = (char *)"", .slices = 1, .origin = job->record.origin};
  fc_message_error error;
  static const char text[] =
      "{\"id\":\"job-000002\",\"squad\":\"c\",\"club\":\"red\",\"play\":\"sweep\",\"rank\":\"high\",\"runs\":1,"
      "\"cpus\":1,\"gpus\":1,\"memGb\":1,\"kit\":\"img\",\"pullGb\":1,\"builds\":null,\"ground\":null,"
      "\"samePlace\":false,\"scatter\":false,\"loaners\":true,\"expectS\":1,\"markS\":0,\"stowS\":0,\"whistleS\":"
      "null}";
  assert_true(fc_job_spec_parse(text, strlen(text), &record.spec, &error));
  record.handed_to[0] = job->record.handed_to[0];
  check_row(row->name,
            (fc_cluster_apply_job(cluster, "job-000002", &record, 8, false, 6)->slices.resolved & 1) == row->resolved);
  fc_job_spec_clear(&record.spec);
}

/* Slices that were always in this shard, or were handed over to it with known tasks, are resolved
 * as soon as the machines that may hold their tasks are reconciled. */
static void slices_resolved_before_all_machines_are_reconciled(void **state) {
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS(k_resolutions); i++) {
    const resolution_row *row = &k_resolutions[i];
    fc_settings settings = fixture_settings();
    fc_cluster *cluster = fixture_cluster(&settings);
    fc_machine *own_machine = fixture_machine(cluster, "vm-1", "a", false);
    fc_machine *peer_machine = fixture_machine(cluster, "vm-2", "a", false);
    fc_job *job = fixture_job(cluster, "job-000001", "sweep", "standard", "red", 4, 1, "");
    job->record.origin = (fc_job_origin){.term = row->accepted,
                                         .handed_over = row->handed_over,
                                         .last_handover = {{row->handed_over_in, row->machine_owners}}};
    job->record.handed_to[0] = g_strdup(row->other_owner ? "paddock-1" : "paddock-0");
    g_strlcpy(peer_machine->record.owner, "paddock-1", sizeof peer_machine->record.owner);
    fc_term term = {
        .number = 10, .names_since = row->names_since, .members = {{"paddock-0", 3}, {"paddock-1", 4}}, .count = 2};
    fc_cluster_apply_term(cluster, &term, 20, false, 5);
    assert_int_equal(job->slices.resolved & 1, 0);
    if (row->own_reconciled) own_machine->reconciled_term = 10;
    if (row->peer_reconciled) peer_machine->reconciled_term = 10;
    check_row(row->name, fc_cluster_update_reconciled(cluster) == (row->own_reconciled && row->peer_reconciled));
    check_row(row->name, (job->slices.resolved & 1) == row->resolved);
    check_reread_job(cluster, job, row);
    fc_cluster_free(cluster);
  }
}

/* Applies the job's record with its slice handed over to `to`. */
static void apply_handover(fc_cluster *cluster, const fc_job *job, const char *to, unsigned machine_owners,
                           bool partly_known) {
  fc_job_record record = {.phase = FC_PHASE_ACCEPTED,
                          .done = (char *)"",
                          .slices = 1,
                          .handed_to = {(char *)to},
                          .origin = {.term = 5,
                                     .handed_over = 1,
                                     .partly_known = partly_known,
                                     .last_handover = {{cluster->membership.term.number, machine_owners}}}};
  record.spec = fc_job_spec_copy(&job->spec);
  (void)fc_cluster_apply_job(cluster, job->spec.id, &record, job->record.version + 1, true, 6);
  fc_job_spec_clear(&record.spec);
}

/* The sender's knowledge of a slice counts only for the receiver: a third member that reads the
 * record of the handover has not acknowledged any view. */
static void handovers_resolve_for_their_receiver(void **state) {
  (void)state;
  static const struct {
    const char *name;
    const char *first, *then; /* the receivers; NULL: no second handover */
    bool partly_known;        /* of the last handover */
    bool reconciled;          /* all machines are reconciled before */
    bool resolved;
  } rows[] = {
      {"to this member, fully known", "paddock-0", NULL, false, false, true},
      {"to this member, partly known", "paddock-0", NULL, true, false, false},
      {"to this member, partly known, all machines reconciled", "paddock-0", NULL, true, true, true},
      {"between others", "paddock-1", NULL, false, false, false},
      {"between others, then to this member, fully known", "paddock-1", "paddock-0", false, false, true},
      {"between others, then to this member, partly known", "paddock-1", "paddock-0", true, false, false},
      {"to this member, and then to another", "paddock-0", "paddock-1", false, false, false},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    fc_settings settings = fixture_settings();
    fc_cluster *cluster = fixture_cluster(&settings);
    fc_machine *peer_machine = fixture_machine(cluster, "vm-2", "a", false);
    g_strlcpy(peer_machine->record.owner, "paddock-2", sizeof peer_machine->record.owner);
    fc_job *job = fixture_job(cluster, "job-000001", "sweep", "standard", "red", 4, 1, "");
    job->record.handed_to[0] = g_strdup("paddock-2");
    fc_term term = {
        .number = 10, .names_since = 5, .members = {{"paddock-0", 3}, {"paddock-1", 4}, {"paddock-2", 5}}, .count = 3};
    fc_cluster_apply_term(cluster, &term, 20, false, 5);
    if (rows[i].reconciled) peer_machine->reconciled_term = 10;
    (void)fc_cluster_update_reconciled(cluster);
    const unsigned machine_owners = 1u << 0 | 1u << 2; /* this member's, and the first owner's */
    apply_handover(cluster, job, rows[i].first, machine_owners, rows[i].partly_known && !rows[i].then);
    if (rows[i].then) apply_handover(cluster, job, rows[i].then, machine_owners, rows[i].partly_known);
    check_row(rows[i].name, (job->slices.resolved & 1) == rows[i].resolved);
    fc_cluster_free(cluster);
  }
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(reconciliation_across_term_change),
      cmocka_unit_test(reconciliation_completes),
      cmocka_unit_test(slices_resolved_before_all_machines_are_reconciled),
      cmocka_unit_test(handovers_resolve_for_their_receiver),
  };
  return cmocka_run_group_tests(tests, NULL, NULL);
}
