/* Scale-out: which machines are rented for pending jobs. */
#include "fixture.h"

#include "scheduler/pending_tasks.h"
#include "scheduler/scale_out.h"

static void rentals_for_a_pending_job(void **state) {
  (void)state;
  static const struct {
    const char *name, *team, *kind;
    unsigned tasks;
    const char *extra;
    unsigned expect_spot, expect_on_demand;
  } rows[] = {
      {"a gang in one zone, the first", "red", "gang", 2, "\"ground\":\"a\",\"samePlace\":true", 1, 0},
      {"a gang in one zone, the last", "red", "gang", 2, "\"ground\":\"b\",\"samePlace\":true", 1, 0},
      {"spot instances where allowed", "red", "sweep", 8, "", 2, 0},
      {"on-demand machines where spot instances are not allowed", "red", "service", 8, "\"loaners\":false", 0, 2},
      {"not beyond the team's limit", "blue", "sweep", 100, "", 4, 0},
      {"a large array in one plan", "red", "sweep", 150, "", 38, 0},
      {"as many tasks as a plan considers", "red", "sweep", FC_PENDING_TASKS_MAX, "", FC_PENDING_TASKS_MAX / 4, 0},
      {"one task more: left to the next plan", "red", "sweep", FC_PENDING_TASKS_MAX + 1, "", FC_PENDING_TASKS_MAX / 4,
       0},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    fc_settings settings = fixture_settings();
    fc_cluster *cluster = fixture_cluster(&settings);
    fixture_job(cluster, "job-000001", rows[i].kind, "standard", rows[i].team, rows[i].tasks, 1, rows[i].extra);
    GArray *requests = fc_scale_out_plan(cluster, NULL, NULL, 1e6);
    unsigned spot = 0, on_demand = 0;
    for (guint k = 0; k < requests->len; k++) {
      const fc_rental_request *request = &g_array_index(requests, fc_rental_request, k);
      *(request->spot ? &spot : &on_demand) += request->count;
    }
    check_row(rows[i].name, spot == rows[i].expect_spot && on_demand == rows[i].expect_on_demand);
    g_array_free(requests, TRUE);
    fc_cluster_free(cluster);
  }
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(rentals_for_a_pending_job),
  };
  return cmocka_run_group_tests(tests, NULL, NULL);
}
