/* Test fixture: the modules of a controller that handle workers, without a network. */
#ifndef FC_TESTS_WORKER_FIXTURE_H
#define FC_TESTS_WORKER_FIXTURE_H

#include "check.h"

#include "controller/heartbeats.h"
#include "controller/machine_probes.h"
#include "controller/worker_leases.h"
#include "fixture.h"
#include "transport/routine.h"

typedef struct worker_fixture {
  fc_settings settings;
  fc_cluster *cluster;
  fc_metrics *metrics;
  fc_wakeups *wakeups;
  fc_leadership *leadership;
  fc_cancellations *cancellations;
  fc_peers *peers;
  fc_task_completion *completion;
  fc_reconciler *reconciler;
  fc_worker_commands *commands;
  fc_worker_calls *calls;
  fc_machine_probes *probes;
  fc_machine_registration *registration;
  fc_worker_leases *leases;
  fc_lease_renewals *renewals;
  fc_heartbeats *heartbeats;
  uint64_t connection; /* number of the connection that heartbeats come on */
} worker_fixture;

/* Creates the modules under test. They get no key-value store, and need none: no routine runs, so
 * nothing is written. */
static inline void worker_fixture_build(worker_fixture *fixture) {
  fixture->completion = fc_task_completion_new(fixture->cluster, NULL, NULL, fixture->metrics);
  fixture->reconciler = fc_reconciler_new(fixture->cluster, fixture->completion, fixture->wakeups, fixture->metrics);
  fixture->commands = fc_worker_commands_new(fixture->cluster, fixture->completion);
  fixture->calls = fc_worker_calls_new(fixture->cluster, fixture->leadership, fixture->commands, fixture->reconciler,
                                       fixture->metrics);
  fixture->probes = fc_machine_probes_new(fixture->cluster, fixture->leadership, fixture->calls);
  fixture->registration =
      fc_machine_registration_new(fixture->cluster, fixture->leadership, NULL, NULL, fixture->wakeups);
  fixture->leases =
      fc_worker_leases_new(fixture->cluster, fixture->leadership, fixture->peers, fixture->wakeups, fixture->metrics);
  fixture->renewals =
      fc_lease_renewals_new(fixture->cluster, fixture->leadership, fixture->cancellations, fixture->peers);
  fixture->heartbeats = fc_heartbeats_new(&(fc_heartbeats_deps){.cluster = fixture->cluster,
                                                                .leadership = fixture->leadership,
                                                                .renewals = fixture->renewals,
                                                                .registration = fixture->registration,
                                                                .reconciler = fixture->reconciler,
                                                                .commands = fixture->commands,
                                                                .calls = fixture->calls,
                                                                .metrics = fixture->metrics});
}

/* A controller that holds leadership as paddock-0 in term 5, beside paddock-1. Freed with
 * worker_fixture_free(). */
static inline worker_fixture *worker_fixture_new(void) {
  worker_fixture *fixture = g_new0(worker_fixture, 1);
  fixture->settings = fixture_settings();
  fixture->settings.peer_count = 1;
  fixture->settings.peers[0].name = "paddock-1";
  fixture->cluster = fixture_cluster(&fixture->settings);
  fixture->metrics = fc_metrics_new();
  fixture->wakeups = fc_wakeups_new();
  fixture->leadership = fc_leadership_new(fixture->cluster);
  fixture->cancellations = fc_cancellations_new(fixture->cluster, fixture->wakeups);
  fixture->peers = fc_peers_new(fixture->cluster);
  worker_fixture_build(fixture);
  fc_term term = {.number = 5, .seed = 1, .members = {{"paddock-0", 1}, {"paddock-1", 2}}, .count = 2};
  fc_cluster_apply_term(fixture->cluster, &term, 9, false, 0);
  fc_leadership_term_applied(fixture->leadership, 0, false);
  fc_leadership_set_incarnation(fixture->leadership, 1);
  fixture->cluster->sync.loaded = true;
  double now = fc_now();
  fc_peers_at(fixture->peers, 0)->heard_at = now;
  fc_leadership_lease_renewed(fixture->leadership, now);
  fc_leadership_read_fresh(fixture->leadership, now);
  return fixture;
}

static inline void worker_fixture_free(worker_fixture *fixture) {
  fc_heartbeats_free(fixture->heartbeats);
  fc_lease_renewals_free(fixture->renewals);
  fc_worker_leases_free(fixture->leases);
  fc_machine_registration_free(fixture->registration);
  fc_machine_probes_free(fixture->probes);
  fc_worker_calls_free(fixture->calls);
  fc_worker_commands_free(fixture->commands);
  fc_reconciler_free(fixture->reconciler);
  fc_task_completion_free(fixture->completion);
  fc_peers_free(fixture->peers);
  fc_cancellations_free(fixture->cancellations);
  fc_leadership_free(fixture->leadership);
  fc_wakeups_free(fixture->wakeups);
  fc_metrics_free(fixture->metrics);
  fc_cluster_free(fixture->cluster);
  g_free(fixture);
}

/* Fencing tokens of a term (coordination/fencing_token.h): its number, the first raised token and the last. */
enum { TERM = 8192, RAISED = 10240, LAST_TOKEN = 12287 };

/* The fixture in a term that reserves raised fencing tokens. */
static inline worker_fixture *fixture_with_raised_tokens(bool earlier_member) {
  worker_fixture *fixture = worker_fixture_new();
  fc_term term = {.number = TERM, .seed = 1, .members = {{"paddock-0", 1}, {"paddock-1", 2}}, .count = 2};
  fc_cluster_apply_term(fixture->cluster, &term, 10, true, 0);
  fc_leadership_term_applied(fixture->leadership, 0, false);
  fc_member_key *key = g_new0(fc_member_key, 1);
  key->raised_tokens = !earlier_member;
  g_hash_table_replace(fixture->cluster->membership.keys, g_strdup("paddock-1"), key);
  return fixture;
}

/* Handles a heartbeat of vm-1 whose task list is `tasks`. Returns the HTTP status; the body of the
 * response replaces the content of *out. */
static inline int send_heartbeat(worker_fixture *fixture, unsigned epoch, unsigned sequence, unsigned fencing_token,
                                 const char *tasks, GString *out) {
  char *text = g_strdup_printf(
      "{\"paddock\":\"vm-1\",\"endpoint\":\"10.1.0.2:9000\",\"build\":\"g4\",\"ground\":\"a\",\"loaners\":false,"
      "\"stint\":%u,\"tally\":%u,\"captaincy\":%u,\"recallS\":null,\"runs\":[%s]}",
      epoch, sequence, fencing_token, tasks);
  int status = 0;
  g_string_truncate(out, 0);
  fc_heartbeats_answer(fixture->heartbeats, text, strlen(text), fixture->connection, &status, out);
  g_free(text);
  return status;
}

static inline bool body_contains(const GString *out, const char *text) {
  return strstr(out->str, text) != NULL;
}

/* Entries of a task list: task n of job-000001. */
#define RUNNING(n) "{\"run\":\"job-000001/" #n "\",\"kickoff\":1,\"status\":\"running\"}"
#define EXITED(n, why) "{\"run\":\"job-000001/" #n "\",\"kickoff\":1,\"status\":\"exited\",\"cause\":\"" why "\"}"

#endif
