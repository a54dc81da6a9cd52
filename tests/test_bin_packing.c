/* Bin packing: the machines on which pending tasks start, and those on which they must not. */
#include "fixture.h"

#include "bookkeeping/cluster_machines.h"
#include "scheduler/bin_packing.h"

/* Counts the decisions for this job, machine and zone (NULL: any). */
static unsigned count_decisions(const GArray *plan, const char *job, const char *machine, const char *zone) {
  unsigned count = 0;
  for (guint i = 0; i < plan->len; i++) {
    const fc_placement_decision *decision = &g_array_index(plan, fc_placement_decision, i);
    count += (!job || strcmp(decision->job->spec.id, job) == 0) &&
             (!machine || strcmp(decision->machine->id, machine) == 0) &&
             (!zone || strcmp(decision->machine->record.zone, zone) == 0);
  }
  return count;
}

static GArray *place_round(fc_cluster *cluster) {
  fc_team_allowance allowance = fixture_unlimited_allowance();
  return fc_bin_packing_plan(cluster, &allowance, 1);
}

static void highest_priority_then_least_used_guarantee(void **state) {
  (void)state;
  fc_settings settings = fixture_settings();
  fc_cluster *cluster = fixture_cluster(&settings);
  fixture_machine(cluster, "vm-1", "a", false);
  fixture_job(cluster, "job-000001", "sweep", "standard", "red", 4, 1, "");
  fixture_job(cluster, "job-000002", "sweep", "standard", "blue", 4, 1, "");
  fixture_job(cluster, "job-000003", "service", "prod", "red", 1, 1, "");
  GArray *plan = place_round(cluster);
  assert_int_equal(plan->len, 4);
  assert_string_equal(g_array_index(plan, fc_placement_decision, 0).job->spec.id, "job-000003");
  /* The service is the red team's first task, so the blue team gets two of the three remaining GPUs. */
  assert_int_equal(count_decisions(plan, "job-000002", NULL, NULL), 2);
  assert_int_equal(count_decisions(plan, "job-000001", NULL, NULL), 1);
  g_array_free(plan, TRUE);
  fc_cluster_free(cluster);
}

static void machine_with_the_image_then_with_most_room(void **state) {
  (void)state;
  fc_settings settings = fixture_settings();
  fc_cluster *cluster = fixture_cluster(&settings);
  fc_machine *with_image = fixture_machine(cluster, "vm-1", "a", false);
  fixture_machine(cluster, "vm-2", "a", false);
  fc_job *running = fixture_job(cluster, "job-000001", "service", "prod", "red", 1, 2, "");
  fc_placement *placement = fc_cluster_add_placement(cluster, with_image, running->spec.id, 0, 1, 0);
  placement->status.state = FC_TASK_RUNNING;
  GRefString *image = g_ref_string_new_intern("img");
  fc_machine_touch_image(with_image, image);
  fixture_job(cluster, "job-000002", "sweep", "standard", "red", 1, 1, "");
  GArray *plan = place_round(cluster);
  assert_int_equal(count_decisions(plan, "job-000002", "vm-1", NULL), 1); /* less room, but it has the image */
  g_array_free(plan, TRUE);
  g_ptr_array_set_size(with_image->images, 0);
  plan = place_round(cluster);
  assert_int_equal(count_decisions(plan, "job-000002", "vm-2", NULL), 1);
  g_array_free(plan, TRUE);
  g_ref_string_release(image);
  fc_cluster_free(cluster);
}

static void zones_and_types_a_job_may_use(void **state) {
  (void)state;
  static const struct {
    const char *name, *kind;
    unsigned tasks;
    double gpus;
    const char *extra;
    unsigned expect_a, expect_b; /* tasks placed in each zone */
  } rows[] = {
      {"spread over zones", "service", 2, 1, "\"scatter\":true", 1, 1},
      {"three tasks spread over zones", "service", 3, 1, "\"scatter\":true", 2, 1},
      {"one zone allowed", "sweep", 2, 1, "\"ground\":\"b\"", 0, 2},
      {"unknown zone", "sweep", 2, 1, "\"ground\":\"c\"", 0, 0},
      {"other type", "sweep", 2, 1, "\"builds\":[\"x\"]", 0, 0},
      {"gang in one zone fits", "gang", 2, 4, "\"samePlace\":true", 2, 0},
      {"gang too large for a zone", "gang", 3, 4, "\"samePlace\":true", 0, 0},
      {"gang over zones", "gang", 3, 4, "", 2, 1},
      {"gang too large for all zones", "gang", 4, 4, "", 0, 0},
      {"too large for a machine", "sweep", 1, 5, "", 0, 0},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    fc_settings settings = fixture_settings();
    fc_cluster *cluster = fixture_cluster(&settings);
    fixture_machine(cluster, "vm-1", "a", false);
    fixture_machine(cluster, "vm-2", "a", false);
    fixture_machine(cluster, "vm-3", "b", false);
    fixture_job(cluster, "job-000001", rows[i].kind, "standard", "red", rows[i].tasks, rows[i].gpus, rows[i].extra);
    GArray *plan = place_round(cluster);
    check_row(rows[i].name, count_decisions(plan, NULL, NULL, "a") == rows[i].expect_a);
    check_row(rows[i].name, count_decisions(plan, NULL, NULL, "b") == rows[i].expect_b);
    g_array_free(plan, TRUE);
    fc_cluster_free(cluster);
  }
}

enum {
  CORDONED,
  UNRECONCILED,
  OTHER_OWNER,
  SILENT,
  SPOT_NOTICE,
  ENDPOINT_UNRECORDED,
  UNRESOLVED,
  OVER_LIMIT,
  SPOT,
  RUNNING,
  CANCELLED,
  NONE
};
static const struct {
  const char *name;
  int obstacle;
} k_obstacles[] = {
    {"cordoned machine", CORDONED},
    {"machine not reconciled in this term", UNRECONCILED},
    {"machine of another shard", OTHER_OWNER},
    {"machine without a heartbeat for half a lease", SILENT},
    {"machine with a spot notice", SPOT_NOTICE},
    {"machine whose endpoint is not recorded", ENDPOINT_UNRECORDED},
    {"job whose tasks may be running unknown to this member", UNRESOLVED},
    {"team without allowance", OVER_LIMIT},
    {"spot machine not allowed", SPOT},
    {"task that is on a machine", RUNNING},
    {"cancelled job", CANCELLED},
    {"no obstacle: the task is placed", NONE},
};

/* No task starts where it could run twice, be lost or exceed a quota. Each row is one such case. */
static void obstacles_to_placement(void **state) {
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS(k_obstacles); i++) {
    fc_settings settings = fixture_settings();
    fc_cluster *cluster = fixture_cluster(&settings);
    fc_machine *machine = fixture_machine(cluster, "vm-1", "a", k_obstacles[i].obstacle == SPOT);
    fc_job *job = fixture_job(cluster, "job-000001", "sweep", "standard", "red", 1, 1,
                              k_obstacles[i].obstacle == SPOT ? "\"loaners\":false" : "");
    fc_team_allowance allowance = fixture_unlimited_allowance();
    double now = 1;
    switch (k_obstacles[i].obstacle) {
      case CORDONED:
        fc_machine_cordon(machine);
        break;
      case UNRECONCILED:
        machine->reconciled_term = 0;
        break;
      case OTHER_OWNER:
        machine->owner = -1;
        break;
      case SILENT:
        now = 8;
        break;
      case SPOT_NOTICE:
        machine->drain.spot_notice_until = 100;
        break;
      case ENDPOINT_UNRECORDED:
        machine->endpoint_recorded = false;
        break;
      case UNRESOLVED:
        job->slices.resolved = 0;
        break;
      case OVER_LIMIT:
        allowance.gpus[0] = 0.5;
        break;
      case RUNNING:
        fc_cluster_add_placement(cluster, machine, job->spec.id, 0, 1, 0)->status.state = FC_TASK_FETCHING;
        break;
      case CANCELLED:
        job->phase = FC_PHASE_CANCELLED;
        break;
      default:
        break;
    }
    GArray *plan = fc_bin_packing_plan(cluster, &allowance, now);
    check_row(k_obstacles[i].name, (plan->len == 1) == (k_obstacles[i].obstacle == NONE));
    g_array_free(plan, TRUE);
    fc_cluster_free(cluster);
  }
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(highest_priority_then_least_used_guarantee),
      cmocka_unit_test(machine_with_the_image_then_with_most_room),
      cmocka_unit_test(zones_and_types_a_job_may_use),
      cmocka_unit_test(obstacles_to_placement),
  };
  return cmocka_run_group_tests(tests, NULL, NULL);
}
