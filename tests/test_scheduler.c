/* Placing and renting over small tables. */
#include "check.h"

#include <math.h>

#include "bookkeeping/cluster_machines.h"
#include "bookkeeping/job_records.h"
#include "bookkeeping/reconciliation_progress.h"
#include "bookkeeping/shard_ownership.h"
#include "scheduler/bin_packing.h"
#include "scheduler/gang_precedence.h"
#include "scheduler/handover_planning.h"
#include "scheduler/limit_preemption.h"
#include "scheduler/machine_transfer.h"
#include "scheduler/pending_tasks.h"
#include "scheduler/preemption.h"
#include "scheduler/scale_out.h"
#include "scheduler/slice_assignment.h"
#include "world.h"

static fc_allowance unlimited(void) {
  fc_allowance a;
  for (int i = 0; i < FC_TEAMS_MAX; i++) a.cpus[i] = a.gpus[i] = INFINITY;
  return a;
}

static unsigned planned(const GArray *plan, const char *job, const char *machine, const char *zone) {
  unsigned n = 0;
  for (guint i = 0; i < plan->len; i++) {
    const fc_decision *decision = &g_array_index(plan, fc_decision, i);
    n += (!job || strcmp(decision->job->spec.id, job) == 0) &&
         (!machine || strcmp(decision->machine->id, machine) == 0) &&
         (!zone || strcmp(decision->machine->record.zone, zone) == 0);
  }
  return n;
}

static GArray *round_of(fc_cluster *cluster) {
  fc_allowance a = unlimited();
  return fc_place_round(cluster, &a, 1);
}

static void rank_then_lowest_share(void **state) {
  (void)state;
  fc_settings settings = world_settings();
  fc_cluster *cluster = world_table(&settings);
  world_machine(cluster, "vm-1", "a", false);
  world_job(cluster, "job-000001", "sweep", "standard", "red", 4, 1, "");
  world_job(cluster, "job-000002", "sweep", "standard", "blue", 4, 1, "");
  world_job(cluster, "job-000003", "service", "prod", "red", 1, 1, "");
  GArray *plan = round_of(cluster);
  assert_int_equal(plan->len, 4);
  assert_string_equal(g_array_index(plan, fc_decision, 0).job->spec.id, "job-000003");
  /* red already uses one, so blue gets two of the three left */
  assert_int_equal(planned(plan, "job-000002", NULL, NULL), 2);
  assert_int_equal(planned(plan, "job-000001", NULL, NULL), 1);
  g_array_free(plan, TRUE);
  fc_cluster_free(cluster);
}

static void image_first_then_roomiest(void **state) {
  (void)state;
  fc_settings settings = world_settings();
  fc_cluster *cluster = world_table(&settings);
  fc_machine *holder = world_machine(cluster, "vm-1", "a", false);
  world_machine(cluster, "vm-2", "a", false);
  fc_job *other = world_job(cluster, "job-000001", "service", "prod", "red", 1, 2, "");
  fc_placement *placement = fc_cluster_add_placement(cluster, holder, other->spec.id, 0, 1, 0);
  placement->status.state = FC_TASK_RUNNING;
  GRefString *image = g_ref_string_new_intern("img");
  fc_machine_touch_image(holder, image);
  world_job(cluster, "job-000002", "sweep", "standard", "red", 1, 1, "");
  GArray *plan = round_of(cluster);
  assert_int_equal(planned(plan, "job-000002", "vm-1", NULL), 1); /* fuller, but it has the image */
  g_array_free(plan, TRUE);
  g_ptr_array_set_size(holder->images, 0);
  plan = round_of(cluster);
  assert_int_equal(planned(plan, "job-000002", "vm-2", NULL), 1);
  g_array_free(plan, TRUE);
  g_ref_string_release(image);
  fc_cluster_free(cluster);
}

static void zones_types_kinds(void **state) {
  (void)state;
  static const struct {
    const char *name, *kind;
    unsigned tasks;
    double gpus;
    const char *extra;
    unsigned expect_a, expect_b; /* tasks placed in each zone */
  } rows[] = {
      {"spread over zones", "service", 2, 1, "\"scatter\":true", 1, 1},
      {"spread of three", "service", 3, 1, "\"scatter\":true", 2, 1},
      {"only zone", "sweep", 2, 1, "\"ground\":\"b\"", 0, 2},
      {"unknown zone", "sweep", 2, 1, "\"ground\":\"c\"", 0, 0},
      {"other type", "sweep", 2, 1, "\"builds\":[\"x\"]", 0, 0},
      {"gang in one zone fits", "gang", 2, 4, "\"samePlace\":true", 2, 0},
      {"gang too large for a zone", "gang", 3, 4, "\"samePlace\":true", 0, 0},
      {"gang over zones", "gang", 3, 4, "", 2, 1},
      {"gang all or none", "gang", 4, 4, "", 0, 0},
      {"too large for a machine", "sweep", 1, 5, "", 0, 0},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    fc_settings settings = world_settings();
    fc_cluster *cluster = world_table(&settings);
    world_machine(cluster, "vm-1", "a", false);
    world_machine(cluster, "vm-2", "a", false);
    world_machine(cluster, "vm-3", "b", false);
    world_job(cluster, "job-000001", rows[i].kind, "standard", "red", rows[i].tasks, rows[i].gpus, rows[i].extra);
    GArray *plan = round_of(cluster);
    check_row(rows[i].name, planned(plan, NULL, NULL, "a") == rows[i].expect_a);
    check_row(rows[i].name, planned(plan, NULL, NULL, "b") == rows[i].expect_b);
    g_array_free(plan, TRUE);
    fc_cluster_free(cluster);
  }
}

enum { CLOSED, UNSETTLED, NOT_OURS, SILENT, NOTICE, UNRECORDED, UNCLEAR, OVER_LIMIT, SPOT, RUNNING, CANCELLED, NONE };
static const struct {
  const char *name;
  int what;
} k_never_placed[] = {
    {"machine to be returned", CLOSED},
    {"machine not fenced in this term", UNSETTLED},
    {"another controller's machine", NOT_OURS},
    {"machine silent for half a lease", SILENT},
    {"machine about to be taken", NOTICE},
    {"machine whose address is not recorded", UNRECORDED},
    {"job that may run somewhere", UNCLEAR},
    {"team at its share", OVER_LIMIT},
    {"spot machine not allowed", SPOT},
    {"task that is on a machine", RUNNING},
    {"cancelled job", CANCELLED},
    {"control: it is placed", NONE},
};

/* Nothing starts where the rules could break: see each row. */
static void never_placed(void **state) {
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS(k_never_placed); i++) {
    fc_settings settings = world_settings();
    fc_cluster *cluster = world_table(&settings);
    fc_machine *machine = world_machine(cluster, "vm-1", "a", k_never_placed[i].what == SPOT);
    fc_job *job = world_job(cluster, "job-000001", "sweep", "standard", "red", 1, 1,
                            k_never_placed[i].what == SPOT ? "\"loaners\":false" : "");
    fc_allowance a = unlimited();
    double now = 1;
    switch (k_never_placed[i].what) {
      case CLOSED:
        fc_machine_cordon(machine);
        break;
      case UNSETTLED:
        machine->reconciled_term = 0;
        break;
      case NOT_OURS:
        machine->owner = -1;
        break;
      case SILENT:
        now = 8;
        break;
      case NOTICE:
        machine->drain.spot_notice_until = 100;
        break;
      case UNRECORDED:
        machine->announced = false;
        break;
      case UNCLEAR:
        job->slices.resolved = 0;
        break;
      case OVER_LIMIT:
        a.gpus[0] = 0.5;
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
    GArray *plan = fc_place_round(cluster, &a, now);
    check_row(k_never_placed[i].name, (plan->len == 1) == (k_never_placed[i].what == NONE));
    g_array_free(plan, TRUE);
    fc_cluster_free(cluster);
  }
}

static void renting(void **state) {
  (void)state;
  static const struct {
    const char *name, *team, *kind;
    unsigned tasks;
    const char *extra;
    unsigned expect_spot, expect_ordinary;
  } rows[] = {
      {"a gang bound to the first zone, all its tasks in one", "red", "gang", 2, "\"ground\":\"a\",\"samePlace\":true",
       1, 0},
      {"a gang bound to the last", "red", "gang", 2, "\"ground\":\"b\",\"samePlace\":true", 1, 0},
      {"cheap where allowed", "red", "sweep", 8, "", 2, 0},
      {"ordinary where not", "red", "service", 8, "\"loaners\":false", 0, 2},
      {"not beyond the limit", "blue", "sweep", 100, "", 4, 0},
      {"a large array at once", "red", "sweep", 150, "", 38, 0},
      {"the bound", "red", "sweep", FC_PENDING_TASKS_MAX, "", FC_PENDING_TASKS_MAX / 4, 0},
      {"one over it: the rest follows", "red", "sweep", FC_PENDING_TASKS_MAX + 1, "", FC_PENDING_TASKS_MAX / 4, 0},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    fc_settings settings = world_settings();
    fc_cluster *cluster = world_table(&settings);
    world_job(cluster, "job-000001", rows[i].kind, "standard", rows[i].team, rows[i].tasks, 1, rows[i].extra);
    GArray *wants = fc_scale_out_plan(cluster, NULL, NULL, 1e6);
    unsigned spot = 0, ordinary = 0;
    for (guint k = 0; k < wants->len; k++) {
      const fc_rental_request *request = &g_array_index(wants, fc_rental_request, k);
      *(request->spot ? &spot : &ordinary) += request->count;
    }
    check_row(rows[i].name, spot == rows[i].expect_spot && ordinary == rows[i].expect_ordinary);
    g_array_free(wants, TRUE);
    fc_cluster_free(cluster);
  }
}

/* What a new term does to what we know: see docs/design.md, "Settled". */
static void a_new_term(void **state) {
  (void)state;
  static const struct {
    const char *name;
    uint64_t number;
    bool continuous, recorded_ours, machine_settled, job_clear;
  } rows[] = {
      {"lived through it", 2, true, true, true, true},
      {"a new life knows nothing", 2, false, true, false, false},
      {"missed a term between", 3, true, true, true, false},
      {"the owner was only dealt", 2, true, false, false, true},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    fc_settings settings = world_settings();
    fc_cluster *cluster = world_table(&settings);
    fc_machine *machine = world_machine(cluster, "vm-1", "a", false);
    fc_job *job = world_job(cluster, "job-000001", "sweep", "standard", "red", 1, 1, "");
    if (!rows[i].recorded_ours) g_strlcpy(machine->record.owner, "paddock-9", sizeof machine->record.owner);
    fc_term next = cluster->membership.term;
    next.number = rows[i].number;
    fc_cluster_apply_term(cluster, &next, 9, rows[i].continuous, 1);
    check_row(rows[i].name, (machine->reconciled_term == next.number) == rows[i].machine_settled);
    check_row(rows[i].name, (job->slices.resolved & 1) == rows[i].job_clear);
    /* Everything settled: nothing can be anywhere that we do not know of. */
    check_row(rows[i].name, fc_cluster_update_reconciled(cluster) == rows[i].machine_settled);
    machine->reconciled_term = next.number;
    check_row(rows[i].name, fc_cluster_update_reconciled(cluster) && job->slices.resolved);
    fc_cluster_free(cluster);
  }
}

/* hunt-879d-7: a fleet that kept renting never settled, and nothing started. */
static void what_has_to_be_settled(void **state) {
  (void)state;
  static const struct {
    const char *name;
    bool announced;
    uint64_t settled;
    bool latches;
  } rows[] = {
      {"settled", true, 1, true},
      {"not settled", true, 0, false},
      {"settled in another term", true, 7, false},
      {"its address not recorded: nothing was ever started on it", false, 0, true},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    fc_settings settings = world_settings();
    fc_cluster *cluster = world_table(&settings);
    cluster->reconciliation.complete_in_term = 0;
    fc_machine *machine = world_machine(cluster, "vm-1", "a", false);
    machine->announced = rows[i].announced;
    machine->reconciled_term = rows[i].settled;
    check_row(rows[i].name, fc_cluster_update_reconciled(cluster) == rows[i].latches);
    fc_cluster_free(cluster);
  }
}

/* Who may be stopped for whom; the machine is full with four tasks. */
static void preemption(void **state) {
  (void)state;
  static const struct {
    const char *name, *victim_kind, *victim_rank, *victim_team;
    double blue_guarantee;
    const char *kind, *rank;
    unsigned expect;
  } rows[] = {
      {"higher rank", "sweep", "standard", "red", 8, "service", "prod", 1},
      {"same rank, owner within its guarantee", "sweep", "standard", "red", 8, "sweep", "standard", 0},
      {"same rank, owner over its guarantee", "sweep", "standard", "blue", 2, "sweep", "standard", 1},
      {"same rank, a service over its guarantee", "service", "standard", "blue", 2, "sweep", "standard", 0},
      {"lower rank never", "sweep", "high", "blue", 2, "sweep", "standard", 0},
      {"part of a gang", "gang", "standard", "red", 8, "service", "prod", 0},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    fc_settings settings = world_settings();
    settings.teams[1].gpus = rows[i].blue_guarantee;
    fc_cluster *cluster = world_table(&settings);
    fc_machine *machine = world_machine(cluster, "vm-1", "a", false);
    machine->agent.heard_at = 90;
    fc_job *old =
        world_job(cluster, "job-000001", rows[i].victim_kind, rows[i].victim_rank, rows[i].victim_team, 4, 1, "");
    for (uint32_t k = 0; k < 4; k++) {
      fc_placement *placement = fc_cluster_add_placement(cluster, machine, old->spec.id, k, 1, 10);
      placement->status.state = FC_TASK_RUNNING;
      placement->status.running_since = 50 - k; /* the first has run the shortest */
    }
    world_job(cluster, "job-000002", rows[i].kind, rows[i].rank, "red", 1, 1, "");
    fc_allowance a = unlimited();
    GPtrArray *stops = fc_preempt_round(cluster, &a, 90);
    check_row(rows[i].name, stops->len == rows[i].expect);
    if (stops->len) check_row(rows[i].name, ((fc_placement *)stops->pdata[0])->index == 0);
    g_ptr_array_free(stops, TRUE);
    /* What is being stopped already makes room enough. */
    stops = fc_preempt_round(cluster, &a, 90);
    check_row(rows[i].name, stops->len == 0);
    g_ptr_array_free(stops, TRUE);
    fc_cluster_free(cluster);
  }
}

/* Two members; we are the first. Two machines, one ours and one theirs or both
 * ours; a gang of two whole machines that belongs to either. */
static void lending_to_gangs(void **state) {
  (void)state;
  static const struct {
    const char *name;
    bool gang_ours, second_ours;
    const char *kind, *rank; /* of what runs on our machine; NULL: nothing */
    unsigned loans;
    bool clear;
  } rows[] = {
      {"ours is idle, theirs is the gang", false, false, NULL, NULL, 1, false},
      {"their machine is theirs to lend", true, false, NULL, NULL, 0, false},
      {"we hold both and the gang", true, true, NULL, NULL, 0, false},
      {"both ours go to them", false, true, NULL, NULL, 2, false},
      {"an array of lower rank is cleared away", false, false, "sweep", "standard", 1, true},
      {"an array of the same rank is not", false, false, "sweep", "high", 0, false},
      {"a service is not", false, false, "service", "prod", 0, false},
      {"a gang is not", false, false, "gang", "standard", 0, false},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    fc_settings settings = world_settings();
    fc_cluster *cluster = world_table(&settings);
    fc_term term = {.number = 1, .seed = 1, .members = {{"paddock-0", 1}, {"paddock-1", 1}}, .count = 2};
    cluster->membership.term = term;
    world_deal(cluster);
    fc_machine *machine = world_machine(cluster, "vm-1", "a", false);
    fc_machine *n = world_machine(cluster, "vm-2", "a", false);
    machine->agent.heard_at = n->agent.heard_at = 90;
    if (!rows[i].second_ours) n->owner = 1;
    if (rows[i].kind) {
      fc_job *old = world_job(cluster, "job-000001", rows[i].kind, rows[i].rank, "red", 1, 1, "");
      fc_cluster_add_placement(cluster, machine, old->spec.id, 0, 1, 10)->status.state = FC_TASK_RUNNING;
    }
    fc_job *gang = world_job(cluster, "job-000002", "gang", "high", "red", 2, 4, "\"samePlace\":true");
    gang->record.handed_to[0] = g_strdup(rows[i].gang_ours ? "paddock-0" : "paddock-1");
    fc_cluster_assign_slices(cluster, gang);
    fc_peer_progress told = {.available = {true, true}};
    GArray *loans = fc_plan_machine_transfers(cluster, &told, 90);
    check_row(rows[i].name, loans->len == rows[i].loans);
    if (loans->len) check_row(rows[i].name, g_array_index(loans, fc_machine_transfer, 0).preempt == rows[i].clear);
    g_array_free(loans, TRUE);
    fc_cluster_free(cluster);
  }
}

/* What is clear before every machine is settled: what was always ours, once ours are. */
static void clear_at_home(void **state) {
  (void)state;
  static const struct {
    const char *name;
    bool ours_settled, theirs_settled;
    uint64_t accepted, names_since; /* terms; this is the tenth */
    unsigned moved;
    bool other_owner, clear;
    uint64_t moved_in; /* the first slice's last hand-over: its term, where it may be since */
    unsigned homes;
  } rows[] = {
      {"all are settled", true, true, 0, 10, 1, true, true, 0, 0},
      {"ours are", true, false, 5, 5, 0, false, true, 0, 0},
      {"ours are, but the job's term is not known", true, false, 0, 1, 0, false, false, 0, 0},
      {"ours are not", false, true, 5, 5, 0, false, false, 0, 0},
      {"a member has come or gone since", true, false, 5, 6, 0, false, false, 0, 0},
      {"the slice has been handed over", true, false, 5, 5, 1, false, false, 0, 0},
      {"another slice has been", true, false, 5, 5, 2, false, true, 0, 0},
      {"it is not ours", true, false, 5, 5, 0, true, false, 0, 0},
      {"handed over to us, with nothing elsewhere", true, false, 5, 5, 1, false, true, 7, 1},
      {"handed over to us, and on theirs", true, false, 5, 5, 1, false, false, 7, 3},
      {"theirs are settled, and it is on ours too", false, true, 5, 5, 1, false, false, 7, 3},
      {"theirs are settled, and it is on theirs alone", false, true, 5, 5, 1, false, true, 7, 2},
      {"handed over since a member has come or gone", true, false, 3, 6, 1, false, true, 6, 1},
      {"handed over before that", true, false, 3, 6, 1, false, false, 5, 1},
      {"handed over, and the job's term is not known", true, false, 0, 6, 1, false, true, 7, 1},
      {"handed over, and not ours any more", true, false, 5, 5, 1, true, false, 7, 1},
      {"never handed over: the rest says nothing", true, false, 5, 6, 0, false, false, 7, 1},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    fc_settings settings = world_settings();
    fc_cluster *cluster = world_table(&settings);
    fc_machine *machine = world_machine(cluster, "vm-1", "a", false), *n = world_machine(cluster, "vm-2", "a", false);
    fc_job *job = world_job(cluster, "job-000001", "sweep", "standard", "red", 4, 1, "");
    job->record.origin = (fc_job_origin){
        .term = rows[i].accepted, .moved = rows[i].moved, .last_move = {{rows[i].moved_in, rows[i].homes}}};
    job->record.handed_to[0] = g_strdup(rows[i].other_owner ? "paddock-1" : "paddock-0");
    g_strlcpy(n->record.owner, "paddock-1", sizeof n->record.owner);
    fc_term term = {
        .number = 10, .names_since = rows[i].names_since, .members = {{"paddock-0", 3}, {"paddock-1", 4}}, .count = 2};
    fc_cluster_apply_term(cluster, &term, 20, false, 5);
    assert_int_equal(job->slices.resolved & 1, 0);
    if (rows[i].ours_settled) machine->reconciled_term = 10;
    if (rows[i].theirs_settled) n->reconciled_term = 10;
    check_row(rows[i].name, fc_cluster_update_reconciled(cluster) == (rows[i].ours_settled && rows[i].theirs_settled));
    check_row(rows[i].name, (job->slices.resolved & 1) == rows[i].clear);
    /* Read anew, after a gap in the changes, it is as clear as before. */
    fc_job_record record = {.phase = FC_PHASE_ACCEPTED, .done = (char *)"", .slices = 1, .origin = job->record.origin};
    char error[200];
    static const char text[] =
        "{\"id\":\"job-000002\",\"squad\":\"c\",\"club\":\"red\",\"play\":\"sweep\",\"rank\":\"high\",\"runs\":1,"
        "\"cpus\":1,\"gpus\":1,\"memGb\":1,\"kit\":\"img\",\"pullGb\":1,\"builds\":null,\"ground\":null,"
        "\"samePlace\":false,\"scatter\":false,\"loaners\":true,\"expectS\":1,\"markS\":0,\"stowS\":0,\"whistleS\":"
        "null}";
    assert_true(fc_job_spec_parse(text, strlen(text), &record.spec, error, sizeof error));
    record.handed[0] = job->record.handed_to[0];
    check_row(rows[i].name, (fc_cluster_apply_job(cluster, "job-000002", &record, 8, false, 6)->slices.resolved & 1) ==
                                rows[i].clear);
    fc_job_spec_clear(&record.spec);
    fc_cluster_free(cluster);
  }
}

/* A slice goes to a part with room only when that part has been told of
 * everything of it that may be on a machine. */
static void handing_over(void **state) {
  (void)state;
  static const struct {
    const char *name;
    bool running, told, room_here, clear;
    unsigned expect;
    bool away;
    enum { NOT_THERE, THERE, THERE_UNSETTLED } theirs; /* a task on the other one's machine */
    bool ours_unsettled;                               /* our machine isn't settled in this term */
  } rows[] = {
      {"nothing runs yet", false, false, false, true, 1, false, NOT_THERE, false},
      {"room here", false, false, true, true, 0, false, NOT_THERE, false},
      {"a task runs, not told", true, false, false, true, 0, false, NOT_THERE, false},
      {"a task runs, told", true, true, false, true, 1, false, NOT_THERE, false},
      {"something may run elsewhere", false, false, false, false, 0, false, NOT_THERE, false},
      {"a task runs there", false, false, false, true, 1, false, THERE, false},
      {"a task ran there when it was last heard of", false, false, false, true, 0, false, THERE_UNSETTLED, false},
      {"one here and one there, told", true, true, false, true, 1, false, THERE, false},
      {"one here and one there, not told", true, false, false, true, 0, false, THERE, false},
      {"the other one is away", false, false, false, true, 0, true, NOT_THERE, false},
      {"a task runs, told in an earlier term", true, true, false, true, 0, false, NOT_THERE, true},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    fc_settings settings = world_settings();
    fc_cluster *cluster = world_table(&settings);
    fc_term term = {.number = 1, .seed = 1, .members = {{"paddock-0", 1}, {"paddock-1", 1}}, .count = 2};
    cluster->membership.term = term;
    world_deal(cluster);
    fc_machine *machine = world_machine(cluster, "vm-1", "a", false);
    fc_machine *n = world_machine(cluster, "vm-2", "a", false);
    machine->agent.heard_at = 90;
    n->owner = 1;
    fc_job *full = world_job(cluster, "job-000001", "service", "prod", "red", 1, 3, "");
    fc_cluster_add_placement(cluster, machine, full->spec.id, 0, 1, 10)->status.state = FC_TASK_RUNNING;
    fc_job *job = world_job(cluster, "job-000002", "sweep", "standard", "red", 3, 1, "");
    job->record.handed_to[0] = g_strdup("paddock-0");
    fc_cluster_assign_slices(cluster, job);
    job->slices.resolved = rows[i].clear ? 1 : 0;
    if (!rows[i].room_here || rows[i].running)
      fc_cluster_add_placement(cluster, machine, job->spec.id, 0, 2, 10)->status.state = FC_TASK_RUNNING;
    if (!rows[i].running && !rows[i].room_here) {
      /* full with something else instead */
      fc_placement_remove(fc_machine_find_placement(machine, job->spec.id, 0, 2));
      fc_cluster_add_placement(cluster, machine, full->spec.id, 9, 3, 10)->status.state = FC_TASK_RUNNING;
      full->spec.gpus = 2;
    }
    if (rows[i].theirs) fc_cluster_add_placement(cluster, n, job->spec.id, 1, 4, 10)->status.state = FC_TASK_RUNNING;
    if (rows[i].theirs == THERE_UNSETTLED) n->reconciled_term = 0;
    if (rows[i].ours_unsettled) machine->reconciled_term = 0;
    fc_peer_progress told = {.available = {true, !rows[i].away}};
    if (rows[i].told) {
      told.acked_view[1] = 100;
      told.acked_revision[1] = 100;
    }
    GArray *plan = fc_plan_handovers(cluster, &told, 90);
    check_row(rows[i].name, plan->len == rows[i].expect);
    if (plan->len) {
      const fc_handover *handover = &g_array_index(plan, fc_handover, 0);
      check_row(rows[i].name, handover->to == 1 && handover->machine_owners == (rows[i].running ? 3 : 2));
    }
    g_array_free(plan, TRUE);
    fc_cluster_free(cluster);
  }
}

/* Ours is full, the other's machine is free, and jobs of a limited team wait there. */
static void a_limit_claims_no_room(void **state) {
  (void)state;
  static const struct {
    const char *name;
    double used; /* of the limit of 16 */
    unsigned expect;
  } rows[] = {
      {"they can start, and go first", 4, 0}, {"at the limit", 16, 1}, {"below it, by less than a task", 15.5, 1}};
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    fc_settings settings = world_settings();
    fc_cluster *cluster = world_table(&settings);
    fc_term term = {.number = 1, .seed = 1, .members = {{"paddock-0", 1}, {"paddock-1", 1}}, .count = 2};
    cluster->membership.term = term;
    world_deal(cluster);
    fc_machine *machine = world_machine(cluster, "vm-1", "a", false), *n = world_machine(cluster, "vm-2", "a", false),
               *o = world_machine(cluster, "vm-3", "a", false);
    machine->agent.heard_at = 90;
    n->owner = o->owner = 1;
    fc_job *full = world_job(cluster, "job-000001", "service", "prod", "red", 1, 4, "");
    fc_cluster_add_placement(cluster, machine, full->spec.id, 0, 1, 10)->status.state = FC_TASK_RUNNING;
    fc_job *use = world_job(cluster, "job-000002", "service", "prod", "blue", 1, 4, "");
    fc_cluster_add_placement(cluster, o, use->spec.id, 0, 1, 10)->status.state = FC_TASK_RUNNING;
    use->spec.gpus = rows[i].used;
    fc_job *theirs = world_job(cluster, "job-000003", "sweep", "high", "blue", 8, 1, "");
    theirs->record.handed_to[0] = g_strdup("paddock-1");
    fc_job *ours = world_job(cluster, "job-000004", "sweep", "standard", "red", 2, 1, "");
    ours->record.handed_to[0] = g_strdup("paddock-0");
    world_deal(cluster);
    ours->slices.resolved = 1;
    fc_peer_progress told = {.available = {true, true}};
    GArray *plan = fc_plan_handovers(cluster, &told, 90);
    check_row(rows[i].name, plan->len == rows[i].expect);
    if (plan->len) check_row(rows[i].name, g_array_index(plan, fc_handover, 0).job == ours);
    g_array_free(plan, TRUE);
    fc_cluster_free(cluster);
  }
}

static const struct {
  const char *name;
  int mate_on; /* member */
  uint64_t started_in;
  bool settled;
  unsigned expect;
  bool unseen, mate_gang;
} k_mates[] = {
    {"on the receiver's machine", 1, 4, true, 1, false, false},
    {"started there in this term", 1, 5, true, 1, false, false},
    {"on the receiver's machine, not settled", 1, 4, false, 0, false, false},
    {"on a third's machine", 2, 4, true, 1, true, false},
    {"started there in this term, which may be news", 2, 5, true, 0, false, false},
    {"on a third's machine, not settled", 2, 4, false, 0, false, false},
    {"a gang is never torn apart", 1, 4, true, 0, false, true},
};

/* After a change of term a mate may be on a machine of another member. The slice goes
 * to one who knows of it, or will once all is settled, and is clear there only then. */
static void handing_over_with_a_mate_elsewhere(void **state) {
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS(k_mates); i++) {
    fc_settings settings = world_settings();
    fc_cluster *cluster = world_table(&settings);
    cluster->membership.term = (fc_term){
        .number = 5, .seed = 1, .members = {{"paddock-0", 1}, {"paddock-1", 1}, {"paddock-2", 1}}, .count = 3};
    fc_machine *m = world_machine(cluster, "vm-1", "a", false), *n = world_machine(cluster, "vm-2", "a", false);
    fc_machine *o = world_machine(cluster, "vm-3", "a", false);
    m->agent.heard_at = 90;
    n->owner = 1;
    o->owner = 2;
    fc_job *full = world_job(cluster, "job-000001", "service", "prod", "red", 2, 4, "");
    fc_cluster_add_placement(cluster, m, full->spec.id, 0, 1, 10)->status.state = FC_TASK_RUNNING;
    fc_job *job =
        world_job(cluster, "job-000002", k_mates[i].mate_gang ? "gang" : "service", "standard", "red", 2, 1, "");
    job->record.handed_to[0] = g_strdup("paddock-0");
    fc_cluster_assign_slices(cluster, job);
    job->slices.resolved = 1;
    fc_machine *machine = k_mates[i].mate_on == 1 ? n : o;
    fc_cluster_add_placement(cluster, machine, job->spec.id, 0, fc_attempt(k_mates[i].started_in, 1), 10)
        ->status.state = FC_TASK_RUNNING;
    if (k_mates[i].mate_on == 2) o->drain.owner_cordoned = true; /* no room but at the other */
    if (!k_mates[i].settled) machine->reconciled_term = 4;
    fc_machine *spare = world_machine(cluster, "vm-4", "a", false); /* room at the receiver in any case */
    spare->owner = 1;
    fc_peer_progress told = {.available = {true, true, true}};
    GArray *plan = fc_plan_handovers(cluster, &told, 90);
    check_row(k_mates[i].name, plan->len == k_mates[i].expect);
    if (plan->len) {
      check_row(k_mates[i].name, g_array_index(plan, fc_handover, 0).to == 1);
      check_row(k_mates[i].name, g_array_index(plan, fc_handover, 0).unseen == k_mates[i].unseen);
    }
    g_array_free(plan, TRUE);
    /* What whoever gets it makes of it, by its record, before and after all is settled. */
    cluster->membership.self = 1;
    cluster->membership.term_version = 1;
    o->reconciled_term = 4;
    job->slices.resolved = 0;
    fc_job_record record = {.spec = job->spec,
                            .origin = {.moved = 1, .unseen = k_mates[i].unseen},
                            .phase = FC_PHASE_ACCEPTED,
                            .done = (char *)"",
                            .slices = 1};
    record.handed[0] = (char *)"paddock-1";
    (void)fc_cluster_apply_job(cluster, "job-000002", &record, 30, true, 91);
    check_row(k_mates[i].name, (job->slices.resolved & 1) == !k_mates[i].unseen);
    n->reconciled_term = o->reconciled_term = 5;
    check_row(k_mates[i].name, fc_cluster_update_reconciled(cluster) && (job->slices.resolved & 1));
    fc_cluster_free(cluster);
  }
}

/* Two members; the job may run in zone b only. Which of them may get it? */
static void dealing_new_jobs(void **state) {
  (void)state;
  static const struct {
    const char *name;
    bool holds_0, holds_1, fit_0, fit_1, may_0, may_1;
  } rows[] = {
      {"both hold its zone", true, true, true, true, true, true},
      {"only the second holds it", false, true, true, true, false, true},
      {"only the first, which is away", true, false, false, true, false, true},
      {"nobody holds any yet", false, false, true, true, true, true},
      {"both away: as dealt", true, true, false, false, true, true},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    fc_settings settings = world_settings();
    fc_cluster *cluster = world_table(&settings);
    fc_term term = {.number = 1, .seed = 1, .members = {{"paddock-0", 1}, {"paddock-1", 1}}, .count = 2};
    cluster->membership.term = term;
    world_deal(cluster);
    world_machine(cluster, "vm-1", rows[i].holds_0 ? "b" : "a", false)->owner = 0;
    world_machine(cluster, "vm-2", rows[i].holds_1 ? "b" : "a", false)->owner = 1;
    bool fit[] = {rows[i].fit_0, rows[i].fit_1}, got[2] = {false, false};
    for (int k = 0; k < 40; k++) {
      char id[32], *handed[1] = {NULL};
      g_snprintf(id, sizeof id, "job-%06d", k);
      fc_job *job = world_job(cluster, id, "gang", "high", "red", 2, 1, "\"ground\":\"b\"");
      fc_assign_new_job_slices(cluster, fit, &job->spec, 1, handed);
      g_free(job->record.handed_to[0]);
      job->record.handed_to[0] = g_strdup(handed[0]);
      fc_cluster_assign_slices(cluster, job);
      got[fc_job_slice_owner(job, 0)] = true;
    }
    check_row(rows[i].name, got[0] == rows[i].may_0 && got[1] == rows[i].may_1);
    fc_cluster_free(cluster);
  }
}

/* One gang of a team at a time gets what is left of its limit (16 GPUs). */
static void gangs_take_turns(void **state) {
  (void)state;
  static const struct {
    const char *name;
    unsigned services, arrays; /* the team's tasks that run */
    const char *turn;
  } rows[] = {
      {"the first by name", 0, 0, "job-000001"},
      {"arrays of lower rank can be stopped", 0, 12, "job-000001"},
      {"beside services only the smaller one fits", 6, 0, "job-000002"},
      {"none fits", 14, 0, ""},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    fc_settings settings = world_settings();
    fc_cluster *cluster = world_table(&settings);
    fc_machine *machine = world_machine(cluster, "vm-1", "a", false);
    fc_job *big = world_job(cluster, "job-000001", "gang", "high", "blue", 3, 4, "");
    fc_job *small = world_job(cluster, "job-000002", "gang", "high", "blue", 2, 4, "");
    fc_job *service = world_job(cluster, "job-000003", "service", "prod", "blue", 20, 1, "");
    fc_job *array = world_job(cluster, "job-000004", "sweep", "standard", "blue", 20, 1, "");
    fc_job *other = world_job(cluster, "job-000005", "sweep", "standard", "red", 2, 1, "");
    fc_job *equal = world_job(cluster, "job-000006", "sweep", "high", "blue", 2, 1, "");
    fc_job *higher = world_job(cluster, "job-000007", "sweep", "prod", "blue", 2, 1, "");
    for (unsigned k = 0; k < rows[i].services; k++)
      fc_cluster_add_placement(cluster, machine, service->spec.id, k, 1, 0);
    for (unsigned k = 0; k < rows[i].arrays; k++) fc_cluster_add_placement(cluster, machine, array->spec.id, k, 1, 0);
    const fc_job *turns[FC_TEAMS_MAX];
    fc_gang_precedence(cluster, turns);
    const fc_job *turn = turns[1];
    check_row(rows[i].name, strcmp(turn ? turn->spec.id : "", rows[i].turn) == 0);
    assert_null(turns[0]); /* a team without a limit: no turns */
    if (!turn) {
      fc_cluster_free(cluster);
      continue;
    }
    /* The others of the team leave the limit to it; not its services, and not
     * other teams' work. */
    check_row(rows[i].name, fc_gang_precedes(cluster, turn, turn == big ? small : big, 10));
    check_row(rows[i].name, fc_gang_precedes(cluster, turn, array, 10) && fc_gang_precedes(cluster, turn, equal, 10));
    check_row(rows[i].name, !fc_gang_precedes(cluster, turn, higher, 10));
    check_row(rows[i].name,
              !fc_gang_precedes(cluster, turn, service, 10) && !fc_gang_precedes(cluster, turn, other, 10));
    /* Just as many arrays are stopped for it as it takes, and not at once. */
    GPtrArray *stops = g_ptr_array_new();
    fc_preempt_for_limit(cluster, stops, 1);
    check_row(rows[i].name, stops->len == 0);
    fc_preempt_for_limit(cluster, stops, 30);
    check_row(rows[i].name, stops->len == (rows[i].arrays ? 8 : 0)); /* 12 + 12 - 16 */
    g_ptr_array_free(stops, TRUE);
    fc_cluster_free(cluster);
  }
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(rank_then_lowest_share),
      cmocka_unit_test(image_first_then_roomiest),
      cmocka_unit_test(zones_types_kinds),
      cmocka_unit_test(never_placed),
      cmocka_unit_test(renting),
      cmocka_unit_test(a_new_term),
      cmocka_unit_test(what_has_to_be_settled),
      cmocka_unit_test(preemption),
      cmocka_unit_test(lending_to_gangs),
      cmocka_unit_test(dealing_new_jobs),
      cmocka_unit_test(clear_at_home),
      cmocka_unit_test(handing_over),
      cmocka_unit_test(a_limit_claims_no_room),
      cmocka_unit_test(handing_over_with_a_mate_elsewhere),
      cmocka_unit_test(gangs_take_turns),
  };
  return cmocka_run_group_tests(tests, NULL, NULL);
}
