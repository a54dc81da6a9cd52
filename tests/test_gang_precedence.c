/* Precedence of one gang at a time under its team's limit, and preemption for it. */
#include "fixture.h"

#include "scheduler/gang_precedence.h"
#include "scheduler/limit_preemption.h"

/* Two gangs of a team with a limit of 16 GPUs, and other jobs of it and of another team. */
static void one_gang_of_a_team_precedes(void **state) {
  (void)state;
  static const struct {
    const char *name;
    unsigned services, arrays; /* running tasks of the team */
    const char *preceding;
  } rows[] = {
      {"the first by name", 0, 0, "job-000001"},
      {"arrays of lower priority can be preempted", 0, 12, "job-000001"},
      {"with the services, only the smaller gang fits", 6, 0, "job-000002"},
      {"none fits", 14, 0, ""},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    fc_settings settings = fixture_settings();
    fc_cluster *cluster = fixture_cluster(&settings);
    fc_machine *machine = fixture_machine(cluster, "vm-1", "a", false);
    fc_job *big = fixture_job(cluster, "job-000001", "gang", "high", "blue", 3, 4, "");
    fc_job *small = fixture_job(cluster, "job-000002", "gang", "high", "blue", 2, 4, "");
    fc_job *service = fixture_job(cluster, "job-000003", "service", "prod", "blue", 20, 1, "");
    fc_job *array = fixture_job(cluster, "job-000004", "sweep", "standard", "blue", 20, 1, "");
    fc_job *other = fixture_job(cluster, "job-000005", "sweep", "standard", "red", 2, 1, "");
    fc_job *equal = fixture_job(cluster, "job-000006", "sweep", "high", "blue", 2, 1, "");
    fc_job *higher = fixture_job(cluster, "job-000007", "sweep", "prod", "blue", 2, 1, "");
    for (unsigned k = 0; k < rows[i].services; k++)
      fc_cluster_add_placement(cluster, machine, service->spec.id, k, 1, 0);
    for (unsigned k = 0; k < rows[i].arrays; k++) fc_cluster_add_placement(cluster, machine, array->spec.id, k, 1, 0);
    const fc_job *by_team[FC_TEAMS_MAX];
    fc_gang_precedence_find(cluster, by_team);
    const fc_job *preceding = by_team[1];
    check_row(rows[i].name, strcmp(preceding ? preceding->spec.id : "", rows[i].preceding) == 0);
    assert_null(by_team[0]); /* a team without a limit */
    if (!preceding) {
      fc_cluster_free(cluster);
      continue;
    }
    /* The team's other gang and arrays leave the limit to it; services, jobs of higher priority and
     * other teams' jobs do not. */
    check_row(rows[i].name, fc_gang_precedes(cluster, preceding, preceding == big ? small : big, 10));
    check_row(rows[i].name,
              fc_gang_precedes(cluster, preceding, array, 10) && fc_gang_precedes(cluster, preceding, equal, 10));
    check_row(rows[i].name, !fc_gang_precedes(cluster, preceding, higher, 10));
    check_row(rows[i].name,
              !fc_gang_precedes(cluster, preceding, service, 10) && !fc_gang_precedes(cluster, preceding, other, 10));
    /* Once the gang has been pending for a while, as many tasks of the array are preempted as it needs. */
    GPtrArray *stops = g_ptr_array_new();
    fc_limit_preemption_plan(cluster, stops, 1);
    check_row(rows[i].name, stops->len == 0);
    fc_limit_preemption_plan(cluster, stops, 30);
    check_row(rows[i].name, stops->len == (rows[i].arrays ? 8 : 0)); /* 12 + 12 - 16 */
    g_ptr_array_free(stops, TRUE);
    fc_cluster_free(cluster);
  }
}

/* While a gang is pending, arrays of its team start tasks once the share of the gang's owner covers all of it: within
 * other members' shares, and within what the gang leaves of its owner's share. */
static void arrays_start_once_the_share_covers_the_gang(void **state) {
  (void)state;
  static const struct {
    const char *name;
    bool own_gang;
    double share;     /* of the gang's owner; the gang needs 12 GPUs */
    unsigned running; /* tasks of blue with a GPU each on a machine of that owner */
    bool held_back;
    double reserved; /* of this member's allowance */
  } rows[] = {
      {"the share covers it", false, 12, 0, false, 0},
      {"the share is too small", false, 11, 0, true, 0},
      {"the share is in use", false, 13, 2, true, 0},
      {"the share covers it and what runs", false, 14, 2, false, 0},
      {"the gang is this member's", true, 14, 2, false, 12},
      {"the gang is this member's, whose share is too small", true, 11, 0, true, 12},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    fc_settings settings = fixture_settings();
    fc_cluster *cluster = fixture_cluster(&settings);
    fixture_two_members(cluster);
    fc_machine *machine = fixture_machine(cluster, "vm-1", "a", false);
    machine->owner = rows[i].own_gang ? 0 : 1;
    fc_job *gang = fixture_job(cluster, "job-000001", "gang", "high", "blue", 12, 1, "");
    gang->record.handed_to[0] = g_strdup(rows[i].own_gang ? "paddock-0" : "paddock-1");
    fc_job *array = fixture_job(cluster, "job-000002", "sweep", "standard", "blue", 4, 1, "");
    fc_job *service = fixture_job(cluster, "job-000003", "service", "prod", "blue", 20, 1, "");
    fc_job *other_gang = fixture_job(cluster, "job-000004", "gang", "standard", "blue", 2, 1, "");
    fixture_assign_slices(cluster);
    for (unsigned k = 0; k < rows[i].running; k++) fixture_run_task(cluster, machine, service, k, 1);
    fc_quota_record *quota = &cluster->quota.record;
    *quota = (fc_quota_record){.term = cluster->membership.term.number, .member_count = 2};
    for (size_t k = 0; k < 2; k++)
      g_strlcpy(quota->members[k], cluster->membership.term.members[k].name, sizeof quota->members[k]);
    quota->gpus[machine->owner][1] = rows[i].share;
    fc_gang_order order;
    fc_gang_order_init(cluster, &order, 10);
    check_row(rows[i].name, order.preceding[1] == gang);
    check_row(rows[i].name, fc_gang_order_holds_back(&order, array) == rows[i].held_back);
    check_row(rows[i].name, fc_gang_order_reserved(&order, array).gpus == rows[i].reserved);
    check_row(rows[i].name, !fc_gang_order_holds_back(&order, service));
    check_row(rows[i].name, fc_gang_order_reserved(&order, service).gpus == 0);
    check_row(rows[i].name, fc_gang_order_holds_back(&order, other_gang));
    check_row(rows[i].name, !fc_gang_order_holds_back(&order, gang));
    fc_cluster_free(cluster);
  }
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(one_gang_of_a_team_precedes),
      cmocka_unit_test(arrays_start_once_the_share_covers_the_gang),
  };
  return cmocka_run_group_tests(tests, NULL, NULL);
}
