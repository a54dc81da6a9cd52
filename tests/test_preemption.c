/* Preemption for priority and quota: the running tasks that are stopped to make room. */
#include "fixture.h"

#include "scheduler/preemption.h"

/* One machine, full with the four tasks of the victim; a job of the red team needs a quarter of it. */
static void victims_by_priority_and_guarantee(void **state) {
  (void)state;
  static const struct {
    const char *name, *victim_kind, *victim_priority, *victim_team;
    double blue_guarantee;
    const char *kind, *priority;
    unsigned expect;
  } rows[] = {
      {"higher priority", "sweep", "standard", "red", 8, "service", "prod", 1},
      {"same priority, victim within its guarantee", "sweep", "standard", "red", 8, "sweep", "standard", 0},
      {"same priority, victim over its guarantee", "sweep", "standard", "blue", 2, "sweep", "standard", 1},
      {"same priority, victim a service over its guarantee", "service", "standard", "blue", 2, "sweep", "standard", 0},
      {"lower priority", "sweep", "high", "blue", 2, "sweep", "standard", 0},
      {"a task of a gang", "gang", "standard", "red", 8, "service", "prod", 0},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    fc_settings settings = fixture_settings();
    settings.teams[1].gpus = rows[i].blue_guarantee;
    fc_cluster *cluster = fixture_cluster(&settings);
    fc_machine *machine = fixture_machine(cluster, "vm-1", "a", false);
    machine->worker.heard_at = machine->lease.answered_at = 90;
    fc_job *victim =
        fixture_job(cluster, "job-000001", rows[i].victim_kind, rows[i].victim_priority, rows[i].victim_team, 4, 1, "");
    /* The first task has run for the shortest time, so that preempting it costs least. */
    for (uint32_t k = 0; k < 4; k++) fixture_run_task(cluster, machine, victim, k, 1)->status.running_since = 50 - k;
    fixture_job(cluster, "job-000002", rows[i].kind, rows[i].priority, "red", 1, 1, "");
    fc_team_allowance allowance = fixture_unlimited_allowance();
    GPtrArray *stops = fc_preemption_plan(cluster, &allowance, 90);
    check_row(rows[i].name, stops->len == rows[i].expect);
    if (stops->len) check_row(rows[i].name, ((fc_placement *)stops->pdata[0])->index == 0);
    g_ptr_array_free(stops, TRUE);
    /* Tasks already being stopped count as room. */
    stops = fc_preemption_plan(cluster, &allowance, 90);
    check_row(rows[i].name, stops->len == 0);
    g_ptr_array_free(stops, TRUE);
    fc_cluster_free(cluster);
  }
}

/* No task is preempted for a job that may not be placed: the victims would be placed there again. */
static void no_victims_for_a_job_that_may_not_be_placed(void **state) {
  (void)state;
  static const struct {
    const char *name;
    unsigned gang_tasks; /* of a pending gang of blue, one GPU each; blue's limit is 16; 0: no gang */
    double share;        /* this shard's share of blue's limit */
    double reserved_s;   /* time until the reservation for a gang ends; 0: none was made */
    unsigned expect;
  } rows[] = {
      {"no gang precedes it", 0, 16, 0, 1},
      {"the share does not cover the gang", 12, 8, 0, 0},
      {"the share covers the gang, and nothing is left", 12, 12, 0, 0},
      {"the share covers the gang, and some is left", 12, 13, 0, 1},
      {"the machine is reserved for a gang", 0, 16, 4, 0},
      {"the machine was reserved for a gang", 0, 16, -1, 1},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    fc_settings settings = fixture_settings();
    fc_cluster *cluster = fixture_cluster(&settings);
    fc_machine *machine = fixture_machine(cluster, "vm-1", "a", false);
    machine->worker.heard_at = machine->lease.answered_at = 90;
    fc_job *victim = fixture_job(cluster, "job-000001", "sweep", "standard", "red", 4, 1, "");
    for (uint32_t k = 0; k < 4; k++) fixture_run_task(cluster, machine, victim, k, 1);
    fixture_job(cluster, "job-000002", "sweep", "high", "blue", 1, 1, "");
    if (rows[i].gang_tasks) fixture_job(cluster, "job-000003", "gang", "high", "blue", rows[i].gang_tasks, 1, "");
    if (rows[i].reserved_s) {
      g_strlcpy(machine->reservation.gang, "job-000009", sizeof machine->reservation.gang);
      machine->reservation.until = 90 + rows[i].reserved_s;
    }
    fc_quota_record *quota = &cluster->quota.record;
    *quota = (fc_quota_record){.term = cluster->membership.term.number, .member_count = 1, .members = {"paddock-0"}};
    quota->gpus[0][1] = rows[i].share;
    fc_team_allowance allowance = fixture_unlimited_allowance();
    allowance.gpus[1] = rows[i].share;
    GPtrArray *stops = fc_preemption_plan(cluster, &allowance, 90);
    check_row(rows[i].name, stops->len == rows[i].expect);
    g_ptr_array_free(stops, TRUE);
    fc_cluster_free(cluster);
  }
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(victims_by_priority_and_guarantee),
      cmocka_unit_test(no_victims_for_a_job_that_may_not_be_placed),
  };
  return cmocka_run_group_tests(tests, NULL, NULL);
}
