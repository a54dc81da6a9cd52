/* Assignment of a new job's slices to shards. */
#include "fixture.h"

#include "scheduler/slice_assignment.h"

/* Two members, each with one machine, and jobs that may run only in zone b. */
static void slices_go_to_available_members_with_machines_in_the_zone(void **state) {
  (void)state;
  static const struct {
    const char *name;
    bool owns_0, owns_1, available_0, available_1, expect_0, expect_1;
  } rows[] = {
      {"both own machines in the zone", true, true, true, true, true, true},
      {"only the second owns one there", false, true, true, true, false, true},
      {"only the first owns one there, but is unavailable", true, false, false, true, false, true},
      {"neither owns one there", false, false, true, true, true, true},
      {"both unavailable: the assignment by the term holds", true, true, false, false, true, true},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    fc_settings settings = fixture_settings();
    fc_cluster *cluster = fixture_cluster(&settings);
    fixture_two_members(cluster);
    fixture_machine(cluster, "vm-1", rows[i].owns_0 ? "b" : "a", false)->owner = 0;
    fixture_machine(cluster, "vm-2", rows[i].owns_1 ? "b" : "a", false)->owner = 1;
    bool available[] = {rows[i].available_0, rows[i].available_1}, assigned[2] = {false, false};
    for (int k = 0; k < 40; k++) {
      char id[32], *handed_to[1] = {NULL};
      g_snprintf(id, sizeof id, "job-%06d", k);
      fc_job *job = fixture_job(cluster, id, "gang", "high", "red", 2, 1, "\"ground\":\"b\"");
      fc_assign_new_job_slices(cluster, available, &job->spec, 1, handed_to);
      g_free(job->record.handed_to[0]);
      job->record.handed_to[0] = g_strdup(handed_to[0]);
      fc_cluster_assign_slices(cluster, job);
      assigned[fc_job_slice_owner(job, 0)] = true;
    }
    check_row(rows[i].name, assigned[0] == rows[i].expect_0 && assigned[1] == rows[i].expect_1);
    fc_cluster_free(cluster);
  }
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(slices_go_to_available_members_with_machines_in_the_zone),
  };
  return cmocka_run_group_tests(tests, NULL, NULL);
}
