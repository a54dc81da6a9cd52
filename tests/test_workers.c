/* Reports, fencing, adoption and what a worker is told; no network. */
#include "check.h"

#include "bookkeeping/cluster_machines.h"
#include "bookkeeping/job_records.h"
#include "bookkeeping/shard_ownership.h"
#include "controller/heartbeats.h"
#include "controller/machine_probes.h"
#include "controller/machine_reachability.h"
#include "controller/worker_leases.h"
#include "scheduler/free_capacity.h"
#include "transport/routine.h"
#include "world.h"

typedef struct bench {
  fc_settings settings;
  fc_cluster *cluster;
  fc_metrics *metrics;
  fc_wakeups *wakeups;
  fc_leadership *leadership;
  fc_peers *peers;
  fc_task_completion *completion;
  fc_reconciler *reconciler;
  fc_worker_commands *commands;
  fc_worker_calls *calls;
  fc_machine_probes *probes;
  fc_machine_registration *registration;
  fc_worker_leases *leases;
  fc_heartbeats *heartbeats;
  uint64_t connection; /* that heartbeats come on */
} bench;

/* No key-value store: nothing is written, as no routine runs. */
static void build_modules(bench *b) {
  b->completion = fc_task_completion_new(b->cluster, NULL, NULL, b->metrics);
  b->reconciler = fc_reconciler_new(b->cluster, b->completion, b->wakeups, b->metrics);
  b->commands = fc_worker_commands_new(b->cluster, b->completion);
  b->calls = fc_worker_calls_new(b->cluster, b->leadership, b->commands, b->reconciler, b->metrics);
  b->probes = fc_machine_probes_new(b->cluster, b->leadership, b->calls);
  b->registration = fc_machine_registration_new(b->cluster, b->leadership, NULL, NULL, b->wakeups);
  b->leases = fc_worker_leases_new(b->cluster, b->leadership, b->peers, b->wakeups);
  b->heartbeats = fc_heartbeats_new(b->cluster, b->leadership, b->peers, b->registration, b->reconciler, b->commands,
                                    b->calls, b->metrics);
}

/* A controller with authority, in term 5, as paddock-0 beside paddock-1. */
static bench *bench_new(void) {
  bench *b = g_new0(bench, 1);
  b->settings = world_settings();
  b->settings.peer_count = 1;
  b->settings.peers[0].name = "paddock-1";
  b->cluster = world_table(&b->settings);
  b->metrics = fc_metrics_new();
  b->wakeups = fc_wakeups_new();
  b->leadership = fc_leadership_new(b->cluster);
  b->peers = fc_peers_new(b->cluster, b->leadership);
  build_modules(b);
  fc_term term = {.number = 5, .seed = 1, .members = {{"paddock-0", 1}, {"paddock-1", 2}}, .count = 2};
  fc_cluster_apply_term(b->cluster, &term, 9, false, 0);
  fc_leadership_term_applied(b->leadership, 0, false);
  fc_leadership_set_incarnation(b->leadership, 1);
  b->cluster->sync.loaded = true;
  double now = fc_now();
  fc_peers_at(b->peers, 0)->heard_at = now;
  fc_leadership_lease_renewed(b->leadership, now);
  fc_leadership_read_fresh(b->leadership, now);
  return b;
}

static void bench_free(bench *b) {
  fc_heartbeats_free(b->heartbeats);
  fc_worker_leases_free(b->leases);
  fc_machine_registration_free(b->registration);
  fc_machine_probes_free(b->probes);
  fc_worker_calls_free(b->calls);
  fc_worker_commands_free(b->commands);
  fc_reconciler_free(b->reconciler);
  fc_task_completion_free(b->completion);
  fc_peers_free(b->peers);
  fc_leadership_free(b->leadership);
  fc_wakeups_free(b->wakeups);
  fc_metrics_free(b->metrics);
  fc_cluster_free(b->cluster);
  g_free(b);
}

static int report(bench *b, unsigned session, unsigned seq, unsigned token, const char *runs, GString *out) {
  char *text = g_strdup_printf(
      "{\"paddock\":\"vm-1\",\"endpoint\":\"10.1.0.2:9000\",\"build\":\"g4\",\"ground\":\"a\",\"loaners\":false,"
      "\"stint\":%u,\"tally\":%u,\"captaincy\":%u,\"recallS\":null,\"runs\":[%s]}",
      session, seq, token, runs);
  int status = 0;
  g_string_truncate(out, 0);
  fc_heartbeats_answer(b->heartbeats, text, strlen(text), b->connection, &status, out);
  g_free(text);
  return status;
}

static bool says(const GString *out, const char *what) {
  return strstr(out->str, what) != NULL;
}

#define RUNNING(n) "{\"run\":\"job-000001/" #n "\",\"kickoff\":1,\"status\":\"running\"}"
#define EXITED(n, why) "{\"run\":\"job-000001/" #n "\",\"kickoff\":1,\"status\":\"exited\",\"cause\":\"" why "\"}"

static void who_is_answered(void **state) {
  (void)state;
  static const struct {
    const char *name;
    int owner;
    bool lease, owner_heard;
    unsigned token;
    int status;
    const char *text;
  } rows[] = {
      {"ours", 0, true, true, 5, 200, "\"captaincy\":5"},
      {"ours, but we may not act", 0, false, true, 5, 503, ""},
      {"a token above our term", 0, true, true, 6, 503, ""},
      {"theirs, and they are there", 1, true, true, 5, 421, "\"coach\":\"paddock-1\""},
      {"theirs, and we don't hear of them: kept", 1, true, false, 5, 200, "\"calls\":[]"},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    bench *b = bench_new();
    fc_machine *machine = world_machine(b->cluster, "vm-1", "a", false);
    machine->owner = rows[i].owner;
    machine->agent.reported = false;
    if (!rows[i].lease) fc_leadership_lease_lost(b->leadership);
    if (!rows[i].owner_heard) fc_peers_at(b->peers, 0)->heard_at = -1e9;
    GString *out = g_string_new(NULL);
    check_row(rows[i].name, report(b, 1, 1, rows[i].token, "", out) == rows[i].status);
    check_row(rows[i].name, says(out, rows[i].text));
    /* Who keeps a machine of another remembers it: its owner must be told. */
    check_row(rows[i].name, (machine->lease.answered_at > 0) == (rows[i].status == 200));
    g_string_free(out, TRUE);
    bench_free(b);
  }
}

static void a_worker_that_comes_back_from_its_owner_is_kept(void **state) {
  (void)state;
  bench *b = bench_new();
  world_machine(b->cluster, "vm-1", "a", false)->owner = 1;
  GString *out = g_string_new(NULL);
  assert_int_equal(report(b, 1, 1, 5, "", out), 421);
  assert_int_equal(report(b, 1, 2, 5, "", out), 200);
  g_string_free(out, TRUE);
  bench_free(b);
}

/* No command before the worker has shown that it refuses older ones. */
static void fenced_before_commanded(void **state) {
  (void)state;
  bench *b = bench_new();
  fc_cluster *cluster = b->cluster;
  fc_machine *machine = world_machine(cluster, "vm-1", "a", false);
  machine->reconciled_term = 0;
  machine->agent.reported = false;
  world_job(cluster, "job-000001", "sweep", "standard", "red", 4, 1, "");
  fc_cluster_add_placement(cluster, machine, "job-000001", 3, 9, 0)->start.sent =
      true; /* what an earlier life may have sent */
  GString *out = g_string_new(NULL);
  assert_int_equal(report(b, 1, 1, 4, RUNNING(0), out), 200);
  assert_true(says(out, "\"calls\":[]"));
  assert_int_equal(machine->reconciled_term, 0);
  assert_int_equal(report(b, 1, 2, 5, RUNNING(0), out), 200);
  assert_int_equal(machine->reconciled_term, 5);
  /* The list is now all there is: what was only thought to be there is gone. */
  assert_int_equal(machine->placements->len, 1);
  assert_int_equal(((fc_placement *)machine->placements->pdata[0])->index, 0);
  g_string_free(out, TRUE);
  bench_free(b);
}

static void reports_in_order(void **state) {
  (void)state;
  static const struct {
    const char *name;
    unsigned session, seq;
    const char *runs;
    int status;
    unsigned left; /* placements afterwards; before: one running, told of with (2, 10) */
  } rows[] = {
      {"newer, still there", 2, 11, RUNNING(0), 200, 1},
      {"newer, gone", 2, 11, "", 200, 0},
      {"older of this session is not adopted", 2, 9, "", 200, 1},
      {"older session", 1, 99, "", 503, 1},
      {"new session", 3, 1, "", 200, 0},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    bench *b = bench_new();
    fc_cluster *cluster = b->cluster;
    fc_machine *machine = world_machine(cluster, "vm-1", "a", false);
    world_job(cluster, "job-000001", "sweep", "standard", "red", 4, 1, "");
    GString *out = g_string_new(NULL);
    machine->agent.reported = false;
    assert_int_equal(report(b, 2, 10, 5, RUNNING(0), out), 200);
    check_row(rows[i].name, report(b, rows[i].session, rows[i].seq, 5, rows[i].runs, out) == rows[i].status);
    check_row(rows[i].name, machine->placements->len == rows[i].left);
    g_string_free(out, TRUE);
    bench_free(b);
  }
}

/* A start is repeated until it is seen; a task missing from a report proves
 * nothing while the start may still arrive. */
static void starts(void **state) {
  (void)state;
  bench *b = bench_new();
  fc_cluster *cluster = b->cluster;
  fc_machine *machine = world_machine(cluster, "vm-1", "a", false);
  world_job(cluster, "job-000001", "sweep", "standard", "red", 4, 1, "");
  fc_placement *placement = fc_cluster_add_placement(cluster, machine, "job-000001", 0, 1, 0);
  GString *out = g_string_new(NULL);
  report(b, 1, 1, 5, "", out);
  assert_true(says(out, "start"));
  report(b, 1, 2, 5, "", out); /* not carried out: sent again */
  assert_true(says(out, "start"));
  assert_int_equal(machine->placements->len, 1);
  placement->stop.requested = true; /* not wanted any more: the next report decides */
  placement->start.direct = FC_DIRECT_START_UNACKNOWLEDGED;
  placement->start.direct_token = 5;
  report(b, 1, 3, 5, "", out);
  assert_int_equal(machine->placements->len, 1); /* a direct copy may still arrive */
  placement->start.direct = FC_DIRECT_START_NONE;
  report(b, 1, 4, 5, "", out);
  assert_int_equal(machine->placements->len, 0);
  g_string_free(out, TRUE);
  bench_free(b);
}

/* A lost direct start may arrive until the worker has shown a token above the one that it
 * carried, or is in a later session. */
static void lost_starts(void **state) {
  (void)state;
  static const struct {
    const char *name;
    unsigned sent_token;          /* that the start carried */
    unsigned seen_token;          /* that the worker had shown before */
    unsigned session, seq, token; /* of its next report; the last was (1, 1) */
    bool may_arrive;
  } rows[] = {
      {"the same token again", 5, 5, 1, 2, 5, true},
      {"the token that it carried, shown for the first time", 5, 4, 1, 2, 5, true},
      {"a higher token", 4, 4, 1, 2, 5, false},
      {"a token higher than one shown since", 3, 4, 1, 2, 5, false},
      {"a later session", 5, 5, 2, 1, 5, false},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    bench *b = bench_new();
    fc_machine *machine = world_machine(b->cluster, "vm-1", "a", false);
    machine->agent.epoch = machine->agent.sequence = 1;
    machine->agent.fencing_token = rows[i].seen_token;
    world_job(b->cluster, "job-000001", "sweep", "standard", "red", 4, 1, "");
    /* It has been seen and has ended without its work: to be cleared, or not yet. */
    fc_placement *placement = fc_cluster_add_placement(b->cluster, machine, "job-000001", 0, 1, 0);
    placement->start.sent = placement->status.reported = true;
    placement->start.direct = FC_DIRECT_START_UNACKNOWLEDGED;
    placement->start.direct_token = rows[i].sent_token;
    GString *out = g_string_new(NULL);
    report(b, rows[i].session, rows[i].seq, rows[i].token, EXITED(0, "stopped"), out);
    check_row(rows[i].name, (placement->start.direct == FC_DIRECT_START_UNACKNOWLEDGED) == rows[i].may_arrive);
    check_row(rows[i].name, says(out, "clear") == !rows[i].may_arrive);
    g_string_free(out, TRUE);
    bench_free(b);
  }
}

/* A start that was sent and never seen, on a machine whose direct answers alone count: the
 * answer to a question decides that was sent once no copy of the start can be carried out. */
static void starts_decided_by_direct_answers(void **state) {
  (void)state;
  static const struct {
    const char *name;
    unsigned sent_seq;      /* of the report whose answer carried the start; 0: none did */
    double sent_s, asked_s; /* ago: that answer, the question */
    bool stray, stopping;
    bool left, sent; /* afterwards */
  } rows[] = {
      {"only direct copies, all decided, not wanted any more", 0, 0, 1, false, true, false, false},
      {"only direct copies, all decided, wanted", 0, 0, 1, false, false, true, false},
      {"a direct copy may arrive", 0, 0, 1, true, true, true, true},
      {"asked while the worker may take the answer", 20, 5, 1.5, false, true, true, true},
      {"asked once it would drop it", 20, 9, 1.5, false, true, false, false},
      {"asked once it would drop it, wanted", 20, 9, 1.5, false, false, true, false},
      {"asked once it would drop it, a direct copy may arrive", 20, 9, 1.5, true, true, true, true},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    bench *b = bench_new();
    fc_machine *machine = world_machine(b->cluster, "vm-1", "a", false);
    machine->agent.epoch = 1;
    machine->agent.sequence = 3;
    machine->agent.fencing_token = 5;
    world_job(b->cluster, "job-000001", "sweep", "standard", "red", 4, 1, "");
    fc_placement *placement = fc_cluster_add_placement(b->cluster, machine, "job-000001", 0, 1, 0);
    double now = fc_now();
    placement->start.sent = true;
    placement->start.heartbeat_sequence = rows[i].sent_seq;
    placement->start.sent_at = now - rows[i].sent_s;
    placement->start.direct = rows[i].stray ? FC_DIRECT_START_UNACKNOWLEDGED : FC_DIRECT_START_NONE;
    placement->start.direct_token = 5;
    placement->stop.requested = rows[i].stopping;
    fc_heartbeat heartbeat = {.machine = "vm-1", .epoch = 1, .sequence = 4, .fencing_token = 5, .spot_notice_s = -1};
    fc_worker_calls_apply_answer(b->calls, machine, &heartbeat, now - rows[i].asked_s);
    check_row(rows[i].name, machine->placements->len == (rows[i].left ? 1 : 0));
    if (rows[i].left) check_row(rows[i].name, placement->start.sent == rows[i].sent);
    bench_free(b);
  }
}

/* An exited task is cleared only when its end is recorded, and never while a
 * copy of its start may arrive: that would run it again. */
/* A start is judged when it is sent, not when it was decided: its job may be cancelled
 * meanwhile, by a record that was read or by what a peer has told; and what a member keeps
 * alive for another is halted by the same word. */
static void starts_of_cancelled_jobs(void **state) {
  (void)state;
  enum { NOT, READ, TOLD, TOLD_UNKNOWN };
  static const struct {
    const char *name;
    int cancelled;
    bool owner, running;
    const char *says, *says_not;
    double stopping; /* with so much time to save */
  } rows[] = {
      {"not cancelled", NOT, true, false, "\"call\":\"start\"", "halt", 0},
      {"cancelled, as it was read", READ, true, false, "\"calls\":[]", "start", 0},
      {"cancelled, as a peer told", TOLD, true, false, "\"calls\":[]", "start", 0},
      {"saving", NOT, true, true, "\"leewayS\":9", "\"leewayS\":0", 9},
      {"saving, then cancelled", TOLD, true, true, "\"leewayS\":0", "\"leewayS\":9", 9},
      {"running for another member", NOT, false, true, "\"calls\":[]", "halt", 0},
      {"running for another, cancelled as a peer told", TOLD, false, true, "\"call\":\"halt\"", "start", 0},
      {"running for another, a job never read", TOLD_UNKNOWN, false, true, "\"call\":\"halt\"", "start", 0},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    bench *b = bench_new();
    fc_cluster *cluster = b->cluster;
    fc_machine *machine = world_machine(cluster, "vm-1", "a", false);
    fc_job *job = NULL;
    if (rows[i].cancelled != TOLD_UNKNOWN) job = world_job(cluster, "job-000001", "sweep", "standard", "red", 1, 1, "");
    fc_placement *placement =
        rows[i].owner ? fc_cluster_add_placement(cluster, machine, "job-000001", 0, 1, fc_now()) : NULL;
    if (placement && rows[i].running) placement->start.sent = placement->status.reported = true;
    if (placement && rows[i].stopping > 0) {
      placement->stop.requested = true;
      placement->stop.grace_s = rows[i].stopping;
    }
    if (!rows[i].owner) {
      machine->owner = 1;
      fc_peers_at(b->peers, 0)->heard_at = -1e9;
    }
    if (rows[i].cancelled == READ) job->phase = FC_PHASE_CANCELLED;
    if (rows[i].cancelled >= TOLD) fc_cluster_apply_cancellation(cluster, "job-000001", 99, fc_now(), fc_now());
    GString *out = g_string_new(NULL);
    check_row(rows[i].name, report(b, 1, 1, 5, rows[i].running ? RUNNING(0) : "", out) == 200);
    check_row(rows[i].name, says(out, rows[i].says) && !says(out, rows[i].says_not));
    g_string_free(out, TRUE);
    bench_free(b);
  }
}

static void clearing(void **state) {
  (void)state;
  static const struct {
    const char *name, *runs;
    bool done_recorded, stray, cleared;
  } rows[] = {
      {"failed", EXITED(0, "error"), false, false, true},
      {"done and recorded", EXITED(0, "done"), true, false, true},
      {"done, not recorded", EXITED(0, "done"), false, false, false},
      {"a copy of its start under way", EXITED(0, "error"), false, true, false},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    bench *b = bench_new();
    fc_cluster *cluster = b->cluster;
    fc_machine *machine = world_machine(cluster, "vm-1", "a", false);
    fc_job *job = world_job(cluster, "job-000001", "sweep", "standard", "red", 4, 1, "");
    if (rows[i].done_recorded) job->completion.bitmap[0] = 1;
    /* Somebody is at the writing already: the report itself must not wait. */
    fc_task_completion_record(b->completion, "job-000001");
    fc_placement *placement = fc_cluster_add_placement(cluster, machine, "job-000001", 0, 1, 0);
    placement->start.sent = placement->status.reported = true;
    placement->start.direct = rows[i].stray ? FC_DIRECT_START_UNACKNOWLEDGED : FC_DIRECT_START_NONE;
    placement->start.direct_token = 5;
    GString *out = g_string_new(NULL);
    machine->agent.fencing_token = 5;
    machine->agent.epoch = 1;
    check_row(rows[i].name, report(b, 1, 1, 5, rows[i].runs, out) == 200);
    check_row(rows[i].name, says(out, "clear") == rows[i].cleared);
    g_string_free(out, TRUE);
    bench_free(b);
  }
}

/* A copy of a report may come at any later time, also to a member that has just
 * become the owner: it changes nothing, and nothing counts as told by it. */
static void late_copies(void **state) {
  (void)state;
  static const struct {
    const char *name;
    unsigned session, seq, token;
    int status;
  } rows[] = {
      {"of this session", 2, 9, 5, 200},
      {"of this session, before this term", 2, 9, 4, 200},
      {"newer by count, but from before the token was seen", 2, 99, 4, 200},
      {"of an earlier session", 1, 99, 5, 503},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    bench *b = bench_new();
    fc_cluster *cluster = b->cluster;
    fc_machine *machine = world_machine(cluster, "vm-1", "a", false);
    world_job(cluster, "job-000001", "sweep", "standard", "red", 4, 1, "");
    GString *out = g_string_new(NULL);
    assert_int_equal(report(b, 2, 10, 5, RUNNING(0), out), 200);
    fc_placement *placement = fc_cluster_add_placement(cluster, machine, "job-000001", 1, 2, 0);
    double answered = machine->lease.answered_at = machine->agent.heard_at = machine->agent.heard_at - 3;
    check_row(rows[i].name, report(b, rows[i].session, rows[i].seq, rows[i].token, RUNNING(3), out) == rows[i].status);
    check_row(rows[i].name, !says(out, "start") && !placement->start.sent);
    check_row(rows[i].name, machine->placements->len == 2 && machine->agent.sequence == 10);
    check_row(rows[i].name, machine->lease.answered_at == answered); /* the lease's end is where it was */
    check_row(rows[i].name, machine->probe.wanted);                  /* the machine itself is asked */
    g_string_free(out, TRUE);
    bench_free(b);
  }
}

/* Ownership moves and memory stays: the new owner is not taken in by a copy. */
static void late_copy_after_the_machine_moved(void **state) {
  (void)state;
  bench *b = bench_new();
  fc_cluster *cluster = b->cluster;
  fc_machine *machine = world_machine(cluster, "vm-1", "a", false);
  machine->owner = 1;
  fc_peers_at(b->peers, 0)->heard_at = -1e9; /* we keep it for its owner */
  GString *out = g_string_new(NULL);
  assert_int_equal(report(b, 1, 20, 5, "", out), 200);
  double answered = machine->lease.answered_at;
  assert_int_equal(report(b, 1, 19, 5, "", out), 503); /* nobody waits for this answer */
  assert_true(machine->lease.answered_at == answered);
  fc_cluster_assign_machine(cluster, machine, 1);
  assert_int_equal(machine->owner, 0);
  (void)report(b, 1, 18, 5, RUNNING(0), out);
  assert_int_equal(machine->placements->len, 0);
  assert_true(!fc_machine_reconciled(cluster, machine));
  g_string_free(out, TRUE);
  bench_free(b);
}

/* Reports that arrive show that a worker can send. Whether it hears is shown by
 * how soon it is here again. */
static void deaf_machines(void **state) {
  (void)state;
  static const struct {
    const char *name;
    double since_answer, deaf_for; /* before the report; < 0: not in doubt */
    uint64_t before, now;          /* the connections of our last answer and of the report */
    double report_s;
    bool in_doubt, usable;
  } rows[] = {
      {"here again in time", 2, -1, 1, 2, 2, false, true},
      {"here again in time after a doubt", 2, 9, 1, 2, 2, false, true},
      {"after its patience", 5, -1, 1, 2, 2, true, true}, /* one answer may be lost */
      {"after its patience once more", 5, 6, 1, 2, 2, true, false},
      {"reports are far apart, on another connection", 6, -1, 1, 2, 6, true, true},
      {"reports are far apart, on the same connection", 6, 9, 7, 7, 6, false, true},
      {"on the same connection after very long", 13, -1, 7, 7, 6, true, true},
      {"on a connection that is not known", 6, -1, 0, 0, 6, true, true},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    bench *b = bench_new();
    fc_cluster *cluster = b->cluster;
    fc_machine *machine = world_machine(cluster, "vm-1", "a", false);
    machine->lease.answered_at = fc_now() - rows[i].since_answer;
    machine->lease.connection = rows[i].before;
    b->connection = rows[i].now;
    b->settings.heartbeat_s = rows[i].report_s;
    if (rows[i].deaf_for >= 0) machine->reachability.unidirectional_since = fc_now() - rows[i].deaf_for;
    GString *out = g_string_new(NULL);
    assert_int_equal(report(b, 1, 1, 5, "", out), 200);
    double now = machine->agent.heard_at;
    check_row(rows[i].name, (machine->reachability.unidirectional_since != 0) == rows[i].in_doubt);
    check_row(rows[i].name, fc_machine_usable(cluster, machine, now) == rows[i].usable);
    /* In doubt it is asked directly, and an answer clears it (fc_machine_probes_check). */
    check_row(rows[i].name, fc_machine_probes_check(b->probes, machine) == !rows[i].usable);
    g_string_free(out, TRUE);
    bench_free(b);
  }
}

/* Started anew under the same session number: a copy from its earlier life counts
 * higher than all it says itself, and must not hide what runs there. */
static void machine_started_anew(void **state) {
  (void)state;
  bench *b = bench_new();
  fc_cluster *cluster = b->cluster;
  fc_machine *machine = world_machine(cluster, "vm-1", "a", false);
  world_job(cluster, "job-000001", "sweep", "standard", "red", 4, 1, "");
  machine->agent.restarted = true;
  machine->agent.epoch = 1;
  machine->agent.sequence = 3;
  machine->agent.fencing_token = 5;
  fc_placement *placement = fc_cluster_add_placement(cluster, machine, "job-000001", 0, 1, 0);
  placement->start.sent = placement->status.reported = true;
  GString *out = g_string_new(NULL);
  assert_int_equal(report(b, 1, 90, 5, "", out), 200);
  assert_int_equal(machine->placements->len, 1);
  assert_int_equal(machine->agent.sequence, 3);
  assert_true(machine->probe.wanted);
  g_string_free(out, TRUE);
  bench_free(b);
}

/* A lease is over when nobody has answered for so long; but a session that began
 * since then has its own. */
static void lease_over(void **state) {
  (void)state;
  static const struct {
    const char *name;
    double answered, session; /* ago */
    unsigned kept_seq;        /* of a report that another member has answered; ours came with 9; 0: none */
    double kept;              /* ago */
    bool alone;               /* in the term; the other may have entered since our last read */
    double read;              /* ago */
    bool over;
  } rows[] = {
      {"answered lately", 5, 100, 0, 0, false, 0, false},
      {"not for a lease", 20, 100, 0, 0, false, 0, true},
      {"not for a lease, in a new session", 20, 5, 0, 0, false, 0, false},
      {"another has kept it", 20, 100, 10, 5, false, 0, false},
      {"another has kept it, in a life that counts anew", 20, 100, 1, 5, false, 0, false},
      {"a copy that came to another long ago", 20, 100, 1, 20, false, 0, true},
      {"alone, having read of nobody who entered", 20, 100, 0, 0, true, 0, true},
      {"alone, and somebody may have entered", 20, 100, 0, 0, true, 10, false},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    bench *b = bench_new();
    fc_cluster *cluster = b->cluster;
    fc_machine *machine = world_machine(cluster, "vm-1", "a", false);
    world_job(cluster, "job-000001", "sweep", "standard", "red", 4, 1, "");
    fc_cluster_add_placement(cluster, machine, "job-000001", 0, 1, 0)->start.sent = true;
    double now = fc_now();
    fc_peers_at(b->peers, 0)->acknowledged.renewals_known_until = now + 100;
    machine->owned_since = now - 100;
    fc_leadership_term_applied(b->leadership, now - 100, false);
    machine->lease.answered_at = now - rows[i].answered;
    machine->agent.epoch_began_at = now - rows[i].session;
    machine->agent.reported = true;
    machine->agent.epoch = 1;
    machine->agent.sequence = 9;
    b->cluster->sync.read_at = now - rows[i].read;
    if (rows[i].alone) cluster->membership.term.count = 1;
    fc_frame_lease_renewal k = {.machine = "vm-1", .age_ms = (uint32_t)(rows[i].kept * 1000), .epoch = 1};
    k.sequence = rows[i].kept_seq;
    if (k.sequence) fc_reachability_note_renewal(b->cluster, &k, now);
    fc_worker_leases_expire(b->leases);
    check_row(rows[i].name, (machine->placements->len == 0) == rows[i].over);
    bench_free(b);
  }
}

/* A report that another member answered, older than what has come to us, may be of a
 * machine that was started anew: it is asked, unless it has been since. */
static void asked_about_what_others_answered(void **state) {
  (void)state;
  static const struct {
    const char *name;
    unsigned session, seq; /* of that report; ours came with (2, 9) */
    double answered_s;     /* ago, by the other member */
    double asked_s;        /* ago; 0: never */
    int owner;
    bool asks;
  } rows[] = {
      {"newer than ours", 2, 10, 5, 0, 0, false},
      {"older, never asked", 2, 8, 5, 0, 0, true},
      {"of an earlier session", 1, 50, 5, 0, 0, true},
      {"older, asked before it was answered", 2, 8, 5, 6, 0, true},
      {"older, asked since", 2, 8, 5, 4, 0, false},
      {"older, asked since, but within what clocks may be off", 2, 8, 20, 19.97, 0, true},
      {"older, the machine is another member's", 2, 8, 5, 0, 1, false},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    bench *b = bench_new();
    fc_machine *machine = world_machine(b->cluster, "vm-1", "a", false);
    machine->owner = rows[i].owner;
    machine->agent.reported = true;
    machine->agent.epoch = 2;
    machine->agent.sequence = 9;
    double now = fc_now();
    machine->probe.confirmed_at = rows[i].asked_s > 0 ? now - rows[i].asked_s : 0;
    fc_frame_lease_renewal k = {.machine = "vm-1", .epoch = rows[i].session, .sequence = rows[i].seq};
    k.age_ms = (uint32_t)(rows[i].answered_s * 1000);
    fc_reachability_note_renewal(b->cluster, &k, now);
    check_row(rows[i].name, machine->probe.wanted == rows[i].asks);
    bench_free(b);
  }
}

/* What was placed before the machine is settled is in no view that anybody has taken. */
static void settled_is_news(void **state) {
  (void)state;
  bench *b = bench_new();
  fc_cluster *cluster = b->cluster;
  fc_machine *machine = world_machine(cluster, "vm-1", "a", false);
  machine->reconciled_term = 0;
  fc_placement *placement = fc_cluster_add_placement(cluster, machine, "job-000001", 0, 1, 0);
  placement->start.sent = true;
  cluster->view_number = 7; /* views that showed the machine as not settled */
  GString *out = g_string_new(NULL);
  assert_int_equal(report(b, 1, 1, 5, RUNNING(0), out), 200);
  assert_int_equal(machine->reconciled_term, 5);
  assert_int_equal(placement->first_view, 8);
  g_string_free(out, TRUE);
  bench_free(b);
}

/* Direct calls leave sockets for the rest, and fences leave some for commands. */
static void calls_take_their_share(void **state) {
  (void)state;
  static const struct {
    const char *name;
    unsigned limit, under_way;
    bool settled, probe, may;
  } rows[] = {
      {"the last for a command", 800, 99, true, false, true},
      {"none left", 800, 100, true, false, false},
      {"one over", 800, 101, true, false, false},
      {"the last for a fence", 800, 49, false, false, true},
      {"fences have theirs", 800, 50, false, false, false},
      {"and so have questions", 800, 50, true, true, false},
      {"few sockets in all", 8, 1, true, false, true},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    bench *b = bench_new();
    fc_machine *machine = world_machine(b->cluster, "vm-1", "a", false);
    if (!rows[i].settled) machine->reconciled_term = 0;
    machine->probe.wanted = rows[i].probe;
    b->settings.fd_limit = rows[i].limit;
    for (unsigned n = 0; n < rows[i].under_way; n++) fc_worker_calls_begin(b->calls);
    check_row(rows[i].name, fc_worker_calls_available(b->calls, machine) == rows[i].may);
    bench_free(b);
  }
}

/* A member's incarnation has ended: the machine counts as unreachable once we and every
 * other member have asked it since, not long ago, and nobody was answered. */
static void asked_by_all_in_vain(void **state) {
  (void)state;
  static const struct {
    const char *name;
    double ended, ours; /* ago; 0: never */
    bool answered;
    double theirs; /* the age of their question as its answer to our view tells it, -1: none */
    bool reached;
    double view; /* ago: when we sent that view */
    bool unreachable;
    double again; /* ago: they asked once more, in vain; 0: no */
  } rows[] = {
      {"both in vain", 5, 2, false, 1.5, false, 0.5, true, 0},
      {"they have not asked", 5, 2, false, -1, false, 0.5, false, 0},
      {"they have reached it", 5, 2, false, 1.5, true, 0.5, false, 0},
      {"they have reached it, and not a moment later", 5, 2, false, 1.5, true, 0.5, false, 0.5},
      {"they reached it before the end", 5, 2, false, 6, true, 0.5, true, 1},
      {"they reached it before the end, and nobody since", 5, 2, false, 6, true, 0.5, false, 0},
      {"they asked before the end", 5, 2, false, 5.5, false, 0.1, false, 0},
      {"or may have: the view was sent long before", 5, 2, false, 4.5, false, 1, false, 0},
      {"we have not asked", 5, 0, false, 1.5, false, 0.5, false, 0},
      {"we asked before the end", 5, 6, false, 1.5, false, 0.5, false, 0},
      {"we were answered", 5, 2, true, 1.5, false, 0.5, false, 0},
      {"asked long ago", 60, 30, false, 29, false, 0.5, false, 0},
      {"theirs is long ago", 60, 2, false, 29, false, 0.5, false, 0},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    bench *b = bench_new();
    fc_machine *machine = world_machine(b->cluster, "vm-1", "a", false);
    double now = fc_now();
    fc_leadership_term_applied(b->leadership, now - rows[i].ended, true);
    machine->probe.sent_at = rows[i].ours > 0 ? now - rows[i].ours : 0;
    machine->probe.answered = rows[i].answered;
    fc_frame_probe a = {.machine = "vm-1", .age_ms = (uint32_t)(rows[i].theirs * 1000), .answered = rows[i].reached};
    if (rows[i].theirs >= 0) fc_reachability_note_probe(b->cluster, 0, &a, now - rows[i].view, now);
    a.age_ms = (uint32_t)(rows[i].again * 1000);
    a.answered = false;
    if (rows[i].again > 0) fc_reachability_note_probe(b->cluster, 0, &a, now, now);
    check_row(rows[i].name, fc_reachability_probed_in_vain(b->cluster, b->leadership, machine) == rows[i].unreachable);
    bench_free(b);
  }
}

/* Which machines of others are asked directly. */
static void asked_for_their_owner(void **state) {
  (void)state;
  static const struct {
    const char *name;
    int owner;
    double ended; /* ago */
    bool settled, mute, announced;
    double term, asked; /* ago */
    unsigned under_way;
    bool asks;
  } rows[] = {
      {"its owner is out of touch with it", 1, 5, true, true, true, 5, 10, 0, true},
      {"in touch with it", 1, 5, true, false, true, 5, 10, 0, false},
      {"its owner should have settled it", 1, 5, false, false, true, 5, 10, 0, true},
      {"and has not had the time", 1, 2, false, false, true, 2, 10, 0, false},
      {"nobody's", -1, 5, false, false, true, 5, 10, 0, false},
      {"asked already", 1, 5, true, true, true, 5, 1, 0, false},
      {"never up", 1, 5, true, true, false, 5, 10, 0, false},
      {"nobody has ended for long", 1, 100, true, true, true, 5, 10, 0, false},
      {"the last socket for it", 1, 5, true, true, true, 5, 10, 24, true},
      {"no socket left for it", 1, 5, true, true, true, 5, 10, 25, false},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    bench *b = bench_new();
    fc_machine *machine = world_machine(b->cluster, "vm-1", "a", false);
    double now = fc_now();
    b->settings.fd_limit = 800;
    for (unsigned n = 0; n < rows[i].under_way; n++) fc_worker_calls_begin(b->calls);
    fc_leadership_term_applied(b->leadership, now - rows[i].ended, true);
    fc_leadership_term_applied(b->leadership, now - rows[i].term, false);
    machine->owner = rows[i].owner;
    machine->announced = rows[i].announced;
    machine->reachability.owner_suspects = rows[i].mute;
    machine->probe.sent_at = now - rows[i].asked;
    machine->reconciled_term = rows[i].settled ? 5 : 0;
    g_strlcpy(machine->record.endpoint, "10.1.0.2:9000", sizeof machine->record.endpoint);
    fc_machine_probes_assist_owner(b->probes, machine);
    check_row(rows[i].name, machine->probe.in_flight == rows[i].asks);
    check_row(rows[i].name, fc_worker_calls_in_flight(b->calls) == rows[i].under_way + rows[i].asks);
    bench_free(b);
  }
}

/* A report that does not fit the machine's record: refused at once, nothing placed. */
static void contradicting_report(void **state) {
  (void)state;
  bench *b = bench_new();
  fc_machine *machine = world_machine(b->cluster, "vm-1", "b", false); /* it will say zone a */
  GString *out = g_string_new(NULL);
  assert_int_equal(report(b, 1, 1, 5, "", out), 503);
  assert_int_equal(machine->agent.sequence, 0);
  g_string_free(out, TRUE);
  bench_free(b);
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(who_is_answered),
      cmocka_unit_test(a_worker_that_comes_back_from_its_owner_is_kept),
      cmocka_unit_test(fenced_before_commanded),
      cmocka_unit_test(reports_in_order),
      cmocka_unit_test(starts),
      cmocka_unit_test(starts_of_cancelled_jobs),
      cmocka_unit_test(clearing),
      cmocka_unit_test(late_copies),
      cmocka_unit_test(late_copy_after_the_machine_moved),
      cmocka_unit_test(deaf_machines),
      cmocka_unit_test(machine_started_anew),
      cmocka_unit_test(starts_decided_by_direct_answers),
      cmocka_unit_test(lost_starts),
      cmocka_unit_test(lease_over),
      cmocka_unit_test(asked_about_what_others_answered),
      cmocka_unit_test(settled_is_news),
      cmocka_unit_test(calls_take_their_share),
      cmocka_unit_test(asked_by_all_in_vain),
      cmocka_unit_test(asked_for_their_owner),
      cmocka_unit_test(contradicting_report),
  };
  return cmocka_run_group_tests(tests, NULL, NULL);
}
