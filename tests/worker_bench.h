/* The modules of a controller that deal with workers, built without a network. */
#ifndef FC_TESTS_WORKER_BENCH_H
#define FC_TESTS_WORKER_BENCH_H

#include "check.h"

#include "controller/heartbeats.h"
#include "controller/machine_probes.h"
#include "controller/worker_leases.h"
#include "fixture.h"
#include "transport/routine.h"

typedef struct worker_bench {
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
} worker_bench;

/* No key-value store: nothing is written, as no routine runs. */
static inline void worker_bench_build(worker_bench *bench) {
  bench->completion = fc_task_completion_new(bench->cluster, NULL, NULL, bench->metrics);
  bench->reconciler = fc_reconciler_new(bench->cluster, bench->completion, bench->wakeups, bench->metrics);
  bench->commands = fc_worker_commands_new(bench->cluster, bench->completion);
  bench->calls =
      fc_worker_calls_new(bench->cluster, bench->leadership, bench->commands, bench->reconciler, bench->metrics);
  bench->probes = fc_machine_probes_new(bench->cluster, bench->leadership, bench->calls);
  bench->registration = fc_machine_registration_new(bench->cluster, bench->leadership, NULL, NULL, bench->wakeups);
  bench->leases = fc_worker_leases_new(bench->cluster, bench->leadership, bench->peers, bench->wakeups, bench->metrics);
  bench->heartbeats = fc_heartbeats_new(bench->cluster, bench->leadership, bench->peers, bench->registration,
                                        bench->reconciler, bench->commands, bench->calls, bench->metrics);
}

/* A controller with authority, in term 5, as paddock-0 beside paddock-1. */
static inline worker_bench *worker_bench_new(void) {
  worker_bench *bench = g_new0(worker_bench, 1);
  bench->settings = fixture_settings();
  bench->settings.peer_count = 1;
  bench->settings.peers[0].name = "paddock-1";
  bench->cluster = fixture_cluster(&bench->settings);
  bench->metrics = fc_metrics_new();
  bench->wakeups = fc_wakeups_new();
  bench->leadership = fc_leadership_new(bench->cluster);
  bench->peers = fc_peers_new(bench->cluster);
  worker_bench_build(bench);
  fc_term term = {.number = 5, .seed = 1, .members = {{"paddock-0", 1}, {"paddock-1", 2}}, .count = 2};
  fc_cluster_apply_term(bench->cluster, &term, 9, false, 0);
  fc_leadership_term_applied(bench->leadership, 0, false);
  fc_leadership_set_incarnation(bench->leadership, 1);
  bench->cluster->sync.loaded = true;
  double now = fc_now();
  fc_peers_at(bench->peers, 0)->heard_at = now;
  fc_leadership_lease_renewed(bench->leadership, now);
  fc_leadership_read_fresh(bench->leadership, now);
  return bench;
}

static inline void worker_bench_free(worker_bench *bench) {
  fc_heartbeats_free(bench->heartbeats);
  fc_worker_leases_free(bench->leases);
  fc_machine_registration_free(bench->registration);
  fc_machine_probes_free(bench->probes);
  fc_worker_calls_free(bench->calls);
  fc_worker_commands_free(bench->commands);
  fc_reconciler_free(bench->reconciler);
  fc_task_completion_free(bench->completion);
  fc_peers_free(bench->peers);
  fc_leadership_free(bench->leadership);
  fc_wakeups_free(bench->wakeups);
  fc_metrics_free(bench->metrics);
  fc_cluster_free(bench->cluster);
  g_free(bench);
}

/* Sends a heartbeat of vm-1 and returns the HTTP status; the answer's body replaces *out. */
static inline int send_heartbeat(worker_bench *bench, unsigned epoch, unsigned sequence, unsigned fencing_token,
                                 const char *tasks, GString *out) {
  char *text = g_strdup_printf(
      "{\"paddock\":\"vm-1\",\"endpoint\":\"10.1.0.2:9000\",\"build\":\"g4\",\"ground\":\"a\",\"loaners\":false,"
      "\"stint\":%u,\"tally\":%u,\"captaincy\":%u,\"recallS\":null,\"runs\":[%s]}",
      epoch, sequence, fencing_token, tasks);
  int status = 0;
  g_string_truncate(out, 0);
  fc_heartbeats_answer(bench->heartbeats, text, strlen(text), bench->connection, &status, out);
  g_free(text);
  return status;
}

static inline bool says(const GString *out, const char *what) {
  return strstr(out->str, what) != NULL;
}

#define RUNNING(n) "{\"run\":\"job-000001/" #n "\",\"kickoff\":1,\"status\":\"running\"}"
#define EXITED(n, why) "{\"run\":\"job-000001/" #n "\",\"kickoff\":1,\"status\":\"exited\",\"cause\":\"" why "\"}"

#endif
