/* How much of the pending work counts as having no room when the shares of a team's limit are adjusted. */
#include "fixture.h"

#include "controller/quota_room.h"

#define NOW 100.0
#define MACHINE_GPUS 4

/* Both members have one machine, in zone a. This member's pending work is an array of team blue with eight tasks of one
 * GPU each. */
typedef struct room_row {
  const char *name;
  const char *priority;      /* of the array of team blue, whose limit is 16 GPUs */
  const char *extra;         /* further fields of its submission */
  const char *busy_kind;     /* of a job of team red that fills this member's machine; NULL: none */
  const char *busy_priority; /* of that job */
  double shares[2];          /* this member's, the peer's */
  double unplaceable;        /* expected, in GPUs */
} room_row;

static fc_quota_record shares_of(const fc_cluster *cluster, const double shares[2]) {
  fc_quota_record quota = {.term = cluster->membership.term.number, .member_count = 2};
  for (size_t member = 0; member < 2; member++) {
    g_strlcpy(quota.members[member], cluster->membership.term.members[member].name, sizeof quota.members[member]);
    quota.gpus[member][1] = shares[member];
  }
  return quota;
}

static double unplaceable_gpus(const room_row *row) {
  fc_settings settings = fixture_settings();
  fc_cluster *cluster = fixture_cluster(&settings);
  fixture_two_members(cluster);
  fc_machine *machine = fixture_machine(cluster, "vm-1", "a", false);
  machine->worker.heard_at = machine->lease.answered_at = NOW - 1;
  fixture_machine(cluster, "vm-2", "a", false)->owner = 1;
  if (row->busy_kind) {
    fc_job *busy = fixture_job(cluster, "job-000001", row->busy_kind, row->busy_priority, "red", MACHINE_GPUS, 1, "");
    for (uint32_t task = 0; task < MACHINE_GPUS; task++) fixture_run_task(cluster, machine, busy, task, 1);
  }
  fc_job *array = fixture_job(cluster, "job-000002", "sweep", row->priority, "blue", 8, 1, row->extra);
  array->record.handed_to[0] = g_strdup("paddock-0");
  /* The peer lacks some of the limit for an array of its own. */
  fc_job *other = fixture_job(cluster, "job-000003", "sweep", "standard", "blue", 20, 1, "");
  other->record.handed_to[0] = g_strdup("paddock-1");
  fixture_assign_slices(cluster);
  const fc_quota_record quota = shares_of(cluster, row->shares);
  fc_quota_tally *tally = g_new0(fc_quota_tally, 1);
  fc_quota_tally_compute(cluster, false, tally);
  fc_quota_room_find_unplaceable(cluster, &quota, tally, NOW);
  double gpus = tally->unplaceable_gpus[0][1];
  g_free(tally);
  fc_cluster_free(cluster);
  return gpus;
}

static void pending_work_without_room(void **state) {
  (void)state;
  static const char *const zone_b = "\"ground\":\"b\"";
  const room_row rows[] = {
      {"half of it has room", "standard", "", NULL, NULL, {12, 4}, 4},
      {"the machine is full", "standard", "", "sweep", "standard", {12, 4}, 8},
      {"full of tasks that may be preempted", "high", "", "sweep", "standard", {12, 4}, 4},
      {"full of a gang, which is not preempted for a single task", "high", "", "gang", "standard", {12, 4}, 8},
      {"in a zone without a machine of this member", "standard", zone_b, NULL, NULL, {12, 4}, 8},
      {"the peer holds the whole limit, unused", "standard", zone_b, NULL, NULL, {0, 16}, 8},
      {"no share is unused, so nothing is computed", "standard", zone_b, NULL, NULL, {0, 0}, 0},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    double gpus = unplaceable_gpus(&rows[i]);
    if (gpus != rows[i].unplaceable) print_message("%s: %.1f\n", rows[i].name, gpus);
    check_row(rows[i].name, gpus == rows[i].unplaceable);
  }
}

int main(void) {
  const struct CMUnitTest tests[] = {cmocka_unit_test(pending_work_without_room)};
  return cmocka_run_group_tests(tests, NULL, NULL);
}
