/* Preemption for priority and quota: which running tasks make room. */
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
    machine->agent.heard_at = 90;
    fc_job *victim =
        fixture_job(cluster, "job-000001", rows[i].victim_kind, rows[i].victim_priority, rows[i].victim_team, 4, 1, "");
    /* The first has run for the shortest time. */
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

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(victims_by_priority_and_guarantee),
  };
  return cmocka_run_group_tests(tests, NULL, NULL);
}
