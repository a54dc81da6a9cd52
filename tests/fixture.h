/* Builders for a small cluster state in tests: machine types, machines, jobs and placements. */
#ifndef FC_TESTS_FIXTURE_H
#define FC_TESTS_FIXTURE_H

#include "check.h"

#include <math.h>

#include "bookkeeping/cluster.h"
#include "bookkeeping/cluster_machines.h"
#include "bookkeeping/job_records.h"
#include "bookkeeping/shard_ownership.h"
#include "scheduler/team_quota.h"

static inline fc_settings fixture_settings(void) {
  fc_settings settings = {.name = "paddock-0", .zone = "a", .zone_count = 2, .team_count = 2};
  fc_operator_defaults(&settings.operator_settings);
  settings.zones[0] = "a";
  settings.zones[1] = "b";
  settings.teams[0] = (fc_team_settings){.name = "red", .gpus = 8};
  settings.teams[1] = (fc_team_settings){.name = "blue", .gpus = 8, .gpus_max = 16};
  settings.heartbeat_s = 2;
  settings.lease_s = 14;
  settings.cancel_s = 34;
  settings.gang_peer_s = 5;
  settings.gang_wait_s = 40;
  settings.cpu = 0.08;
  settings.kv_value_kb = 8;
  return settings;
}

static inline fc_cluster *fixture_cluster(const fc_settings *settings) {
  fc_cluster *cluster = fc_cluster_new(settings);
  fc_machine_type *machine_type = g_new0(fc_machine_type, 1);
  *machine_type = (fc_machine_type){.name = g_strdup("g4"),
                                    .cpus = 40,
                                    .gpus = 4,
                                    .memory_gb = 400,
                                    .price = 10,
                                    .spot_price = 3,
                                    .boot_s = 60,
                                    .fetch_gb_per_s = 0.5};
  machine_type->zones = g_strsplit("a b", " ", -1);
  g_ptr_array_add(cluster->machine_types, machine_type);
  fc_term term = {.number = 1, .seed = 1, .members = {{"paddock-0", 1}}, .count = 1};
  fc_cluster_apply_term(cluster, &term, 1, false, 0);
  cluster->reconciliation.complete_in_term = 1;
  return cluster;
}

static inline fc_machine *fixture_machine(fc_cluster *cluster, const char *id, const char *zone, bool spot) {
  fc_machine *machine = fc_cluster_ensure_machine(cluster, id, 0);
  g_strlcpy(machine->record.type, "g4", sizeof machine->record.type);
  g_strlcpy(machine->record.zone, zone, sizeof machine->record.zone);
  g_strlcpy(machine->record.owner, "paddock-0", sizeof machine->record.owner);
  machine->record.spot = spot;
  machine->record_version = 2;
  machine->endpoint_recorded = true;
  fc_cluster_resolve_type_and_zone(cluster, machine);
  fc_cluster_assign_machine(cluster, machine, 0);
  machine->reconciled_term = cluster->membership.term.number;
  machine->worker.reported = machine->worker.epoch_shown = true;
  return machine;
}

/* Recomputes the owners of all slices, after a test has replaced the term. */
static inline void fixture_assign_slices(fc_cluster *cluster) {
  fc_job_iter job_iter = fc_cluster_jobs(cluster);
  for (fc_job *job; (job = fc_job_iter_next(&job_iter));) fc_cluster_assign_slices(cluster, job);
}

/* Term 1 with `count` members. */
static inline fc_term fixture_term(size_t count) {
  fc_term term = {.number = 1, .seed = 42, .count = count};
  for (size_t i = 0; i < count; i++) {
    g_snprintf(term.members[i].name, sizeof term.members[i].name, "paddock-%zu", i);
    term.members[i].incarnation = 10 + i;
  }
  return term;
}

/* Applies term 1 with two members, of which this controller is the first. */
static inline void fixture_two_members(fc_cluster *cluster) {
  fc_term term = {.number = 1, .seed = 1, .members = {{"paddock-0", 1}, {"paddock-1", 1}}, .count = 2};
  cluster->membership.term = term;
  fixture_assign_slices(cluster);
}

/* Adds a job with one slice, read as a change. `extra`: further fields of the submission, separated
 * by commas; they replace the defaults of samePlace and scatter. */
static inline fc_job *fixture_job(fc_cluster *cluster, const char *id, const char *kind, const char *priority,
                                  const char *team, unsigned tasks, double gpus, const char *extra) {
  char *text = g_strdup_printf(
      "{\"id\":\"%s\",\"squad\":\"c\",\"club\":\"%s\",\"play\":\"%s\",\"rank\":\"%s\",\"runs\":%u,\"cpus\":%f,"
      "\"gpus\":%f,\"memGb\":10,\"kit\":\"img\",\"pullGb\":1,\"builds\":null,\"ground\":null%s%s,\"loaners\":true,"
      "\"expectS\":10,\"markS\":0,\"stowS\":0,\"whistleS\":null}",
      id, team, kind, priority, tasks, gpus, gpus, strstr(extra, "samePlace") ? "" : ",\"samePlace\":false",
      strstr(extra, "scatter") ? "" : ",\"scatter\":false");
  GString *full = g_string_new(text);
  if (*extra) {
    g_string_truncate(full, full->len - 1);
    g_string_append_printf(full, ",%s}", extra);
  }
  fc_job_record record = {.phase = FC_PHASE_ACCEPTED, .done = "", .slices = 1};
  fc_message_error error;
  assert_true(fc_job_spec_parse(full->str, full->len, &record.spec, &error));
  fc_job *job = fc_cluster_apply_job(cluster, id, &record, 5, true, 0);
  fc_job_spec_clear(&record.spec);
  g_string_free(full, TRUE);
  g_free(text);
  return job;
}

/* Adds a running task, started at second 10. */
static inline fc_placement *fixture_run_task(fc_cluster *cluster, fc_machine *machine, const fc_job *job,
                                             uint32_t index, uint64_t attempt) {
  fc_placement *placement = fc_cluster_add_placement(cluster, machine, job->spec.id, index, attempt, 10);
  placement->status.state = FC_TASK_RUNNING;
  return placement;
}

static inline fc_team_allowance fixture_unlimited_allowance(void) {
  fc_team_allowance allowance;
  for (int i = 0; i < FC_TEAMS_MAX; i++) allowance.cpus[i] = allowance.gpus[i] = INFINITY;
  return allowance;
}

#endif
