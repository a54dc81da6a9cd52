/* Keeps the shares of the teams' limits in the state service. Nothing of a team
 * with a limit is started in a term before that term's shares are recorded. */
#include <math.h>
#include <string.h>

#include "bookkeeping/cluster_machines.h"
#include "bookkeeping/dependencies.h"
#include "bookkeeping/quota_usage.h"
#include "bookkeeping/reconciliation_progress.h"
#include "controller/controller.h"
#include "controller/duties.h"
#include "coordination/quota_division.h"
#include "scheduler/gang_precedence.h"
#include "scheduler/pending_tasks.h"
#include "scheduler/team_quota.h"

static bool limited(const fc_team_settings *team_settings) {
  return team_settings->cpus_max > 0 || team_settings->gpus_max > 0;
}

/* What every member uses and what its queue asks for besides, in one pass. */
typedef struct tally {
  fc_quota_demand cpus[FC_MEMBERS_MAX][FC_TEAMS_MAX], gpus[FC_MEMBERS_MAX][FC_TEAMS_MAX];
} tally;

static void want(fc_quota_demand *demand, double amount) {
  if (demand->least <= 0 || amount < demand->least) demand->least = amount;
  demand->wanted += amount;
}

/* Gangs start all at once: two parts that each hold half of what one needs would
 * both wait for ever (fault test, seed 15). So it is asked for one gang of a team
 * at a time, the same on all members. */
static void want_gang(const fc_job *job, tally *out) {
  int owner = fc_job_slice_owner(job, 0);
  if (owner < 0) return;
  double n = job->spec.tasks - job->completion.count;
  want(&out->cpus[owner][job->team], n * job->spec.cpus);
  want(&out->gpus[owner][job->team], n * job->spec.gpus);
}

/* Counts as full of every team's tasks. */
static void use_all_of(const fc_cluster *cluster, const fc_machine *machine, tally *out) {
  fc_resources whole = fc_machine_capacity(cluster, machine);
  for (size_t k = 0; k < cluster->settings->team_count; k++) {
    out->cpus[machine->owner][k].used += whole.cpus;
    out->gpus[machine->owner][k].used += whole.gpus;
  }
}

static void use_placements_of(const fc_machine *machine, tally *out) {
  for (guint i = 0; i < machine->placements->len; i++) {
    const fc_placement *placement = machine->placements->pdata[i];
    if (!fc_placement_active(placement) || !placement->job || placement->job->team < 0) continue;
    out->cpus[machine->owner][placement->job->team].used += placement->job->spec.cpus;
    out->gpus[machine->owner][placement->job->team].used += placement->job->spec.gpus;
  }
}

static void want_missing_of(const fc_job *job, tally *out) {
  GArray *missing = fc_job_pending_tasks(job, -1, FC_PENDING_TASKS_MAX);
  for (guint i = 0; i < missing->len; i++) {
    int owner = fc_job_slice_owner(job, fc_job_slice_of(job, g_array_index(missing, uint32_t, i)));
    if (owner < 0) continue;
    want(&out->cpus[owner][job->team], job->spec.cpus);
    want(&out->gpus[owner][job->team], job->spec.gpus);
  }
  g_array_free(missing, TRUE);
}

/* `pessimistic`: a machine that is not settled may be full of any team's tasks. */
static void take_tally(const fc_cluster *cluster, bool pessimistic, tally *out) {
  memset(out, 0, sizeof *out);
  const fc_job *turn[FC_TEAMS_MAX];
  fc_gang_precedence(cluster, turn);
  for (size_t k = 0; k < cluster->settings->team_count; k++)
    if (turn[k]) want_gang(turn[k], out);
  double now = fc_now();
  fc_machine_iter machine_iter = fc_cluster_machines(cluster);
  for (const fc_machine *machine; (machine = fc_machine_iter_next(&machine_iter));) {
    if (machine->owner < 0) continue;
    if (pessimistic && machine->announced && !fc_machine_reconciled(cluster, machine)) {
      use_all_of(cluster, machine, out);
    } else {
      use_placements_of(machine, out);
    }
  }
  fc_job_iter job_iter = fc_cluster_jobs(cluster);
  for (const fc_job *job; (job = fc_job_iter_next(&job_iter));) {
    if (job->team < 0 || !fc_job_runnable(job) || !limited(&cluster->settings->teams[job->team])) continue;
    if (job->spec.kind == FC_JOB_GANG || fc_gang_precedes(cluster, turn[job->team], job, now)) continue;
    want_missing_of(job, out);
  }
}

void fc_quota_allowance(const fc_controller *controller, fc_allowance *out) {
  const fc_cluster *cluster = controller->cluster;
  bool valid = cluster->quota.version && cluster->quota.record.term == cluster->membership.term.number;
  int at = valid ? fc_quota_record_find(&cluster->quota.record, controller->settings->name) : -1;
  double cpus[FC_TEAMS_MAX], gpus[FC_TEAMS_MAX];
  fc_cluster_max_usage(cluster, cpus, gpus);
  for (size_t k = 0; k < controller->settings->team_count; k++) {
    const fc_team_settings *team_settings = &controller->settings->teams[k];
    out->cpus[k] = out->gpus[k] = INFINITY;
    if (!limited(team_settings)) continue;
    /* While a lower share of ours is being written, only that one counts. */
    double share_cpus = at >= 0 ? MIN(cluster->quota.record.cpus[at][k], controller->share_cap_cpus[k]) : 0;
    double share_gpus = at >= 0 ? MIN(cluster->quota.record.gpus[at][k], controller->share_cap_gpus[k]) : 0;
    if (team_settings->cpus_max > 0) out->cpus[k] = share_cpus - cpus[k];
    if (team_settings->gpus_max > 0) out->gpus[k] = share_gpus - gpus[k];
  }
}

/* The first division of this term, from lists that can only have shrunk since:
 * nobody starts anything of these teams before this record. */
static bool divide(const fc_controller *controller, const tally *now, fc_quota_record *quota) {
  const fc_cluster *cluster = controller->cluster;
  quota->term = cluster->membership.term.number;
  quota->member_count = cluster->membership.term.count;
  fc_quota_demand cpus[FC_MEMBERS_MAX], gpus[FC_MEMBERS_MAX];
  double shares[FC_MEMBERS_MAX];
  for (size_t i = 0; i < cluster->membership.term.count; i++)
    g_strlcpy(quota->members[i], cluster->membership.term.members[i].name, sizeof quota->members[i]);
  for (size_t k = 0; k < controller->settings->team_count; k++) {
    const fc_team_settings *team_settings = &controller->settings->teams[k];
    if (!limited(team_settings)) continue;
    for (size_t i = 0; i < cluster->membership.term.count; i++) {
      cpus[i] = now->cpus[i][k];
      gpus[i] = now->gpus[i][k];
    }
    if (!fc_quota_divide(team_settings->cpus_max, cpus, cluster->membership.term.count, shares) &&
        team_settings->cpus_max > 0)
      return false;
    for (size_t i = 0; i < cluster->membership.term.count; i++) quota->cpus[i][k] = shares[i];
    if (!fc_quota_divide(team_settings->gpus_max, gpus, cluster->membership.term.count, shares) &&
        team_settings->gpus_max > 0)
      return false;
    for (size_t i = 0; i < cluster->membership.term.count; i++) quota->gpus[i][k] = shares[i];
  }
  return true;
}

/* The shares of the term before hold on where its members are the same: every
 * machine is still owned by the same name, and what runs on a name's machines,
 * known or not, is within its share. Nobody needs to be waited for: dividing anew
 * takes a list from every machine, and a cut between zones held up all teams with
 * limits for as long as it lasted. */
static bool carry_over(const fc_cluster *cluster, fc_quota_record *quota) {
  if (!cluster->quota.version || cluster->quota.record.member_count != cluster->membership.term.count) return false;
  for (size_t i = 0; i < cluster->membership.term.count; i++)
    if (fc_quota_record_find(&cluster->quota.record, cluster->membership.term.members[i].name) < 0) return false;
  *quota = cluster->quota.record;
  quota->term = cluster->membership.term.number;
  quota->carried = true;
  return true;
}

/* A share is lowered only below what may be in use at most (`most`): lowered by
 * what was known, it freed room for others that a silent machine still used (fault
 * test, seed 642). Where what is feared has no better bound than whole machines,
 * the share is raised only by what is known (`now`). */
static double adjusted(double limit, const fc_quota_others *others, double share, const fc_quota_demand *now,
                       const fc_quota_demand *most, bool bounded) {
  double to = fc_quota_adjust(limit, others, share, most);
  if (to <= share || bounded) return to;
  return MAX(share, fc_quota_adjust(limit, others, share, now));
}

/* A member with machines that are not settled may be using all of its share. */
static void add_other(fc_quota_others *others, double share, const fc_quota_demand *demand, bool in_doubt) {
  double used = in_doubt ? MAX(demand->used, share) : demand->used;
  others->assigned += share;
  others->lacking += MAX(0, used + demand->wanted - share);
  others->count++;
}

static bool changes(double *share, double to) {
  if (fabs(to - *share) <= 1e-6) return false;
  *share = to;
  return true;
}

/* Members that own a machine which is not settled, as far as we know. */
static void find_doubts(const fc_cluster *cluster, bool *in_doubt) {
  fc_machine_iter machine_iter = fc_cluster_machines(cluster);
  for (const fc_machine *machine; (machine = fc_machine_iter_next(&machine_iter));) {
    if (machine->owner >= 0 && machine->announced && !fc_machine_reconciled(cluster, machine))
      in_doubt[machine->owner] = true;
  }
}

/* Moves our shares towards what we need; true when something would change. */
static bool adjust(fc_controller *controller, const tally *now, fc_quota_record *quota) {
  const fc_cluster *cluster = controller->cluster;
  int at = fc_quota_record_find(quota, controller->settings->name);
  if (at < 0) return false;
  bool changed = false, in_doubt[FC_MEMBERS_MAX] = {false};
  find_doubts(cluster, in_doubt);
  double most_cpus[FC_TEAMS_MAX], most_gpus[FC_TEAMS_MAX];
  fc_cluster_max_usage(cluster, most_cpus, most_gpus);
  for (size_t k = 0; k < controller->settings->team_count; k++) {
    const fc_team_settings *team_settings = &controller->settings->teams[k];
    fc_quota_others cpus = {0}, gpus = {0};
    for (size_t i = 0; i < quota->member_count; i++) {
      int m = fc_term_find(&cluster->membership.term, quota->members[i]);
      if ((int)i == at || m < 0) continue;
      add_other(&cpus, quota->cpus[i][k], &now->cpus[m][k], in_doubt[m]);
      add_other(&gpus, quota->gpus[i][k], &now->gpus[m][k], in_doubt[m]);
    }
    const fc_quota_demand *demand = &now->cpus[cluster->membership.self][k],
                          *gn = &now->gpus[cluster->membership.self][k];
    fc_quota_demand cm = *demand, gm = *gn;
    cm.used = most_cpus[k];
    gm.used = most_gpus[k];
    bool bounded = isfinite(cluster->quota.carried_gpus[k]);
    if (team_settings->cpus_max > 0)
      changed |= changes(&quota->cpus[at][k],
                         adjusted(team_settings->cpus_max, &cpus, quota->cpus[at][k], demand, &cm, bounded));
    if (team_settings->gpus_max > 0)
      changed |=
          changes(&quota->gpus[at][k], adjusted(team_settings->gpus_max, &gpus, quota->gpus[at][k], gn, &gm, bounded));
  }
  return changed;
}

static void lift_caps(fc_controller *controller) {
  controller->share_capped = false;
  for (size_t k = 0; k < controller->settings->team_count; k++)
    controller->share_cap_cpus[k] = controller->share_cap_gpus[k] = INFINITY;
}

/* Any write that is undecided may be the one that counts: the lowest caps us. */
static void lower_caps(fc_controller *controller, const fc_quota_record *quota) {
  int at = fc_quota_record_find(quota, controller->settings->name);
  controller->share_capped = true;
  for (size_t k = 0; at >= 0 && k < controller->settings->team_count; k++) {
    controller->share_cap_cpus[k] = MIN(controller->share_cap_cpus[k], quota->cpus[at][k]);
    controller->share_cap_gpus[k] = MIN(controller->share_cap_gpus[k], quota->gpus[at][k]);
  }
}

static void write_quota(fc_controller *controller, const fc_quota_record *quota) {
  fc_write *write = fc_write_new();
  fc_write_compare(write, FC_KEY_QUOTA, controller->cluster->quota.version);
  fc_write_compare(write, FC_KEY_TERM, controller->cluster->membership.term_version);
  fc_write_put(write, FC_KEY_QUOTA, fc_quota_record_encode(quota, controller->settings));
  uint64_t revision = 0;
  controller->share_cap_version = controller->cluster->quota.version;
  fc_kv_result result =
      fc_group_commit_write(controller->commit, write, FC_WRITE_PRIORITY_DECISION, fc_now() + 2.0, &revision);
  if (result == FC_KV_OK) {
    (void)fc_kv_watch_wait_revision(controller->watch, revision, fc_now() + 2.0);
  } else {
    (void)fc_kv_watch_wait_fresh(controller->watch, fc_now() + 2.0);
  }
  if (result != FC_KV_OK && result != FC_KV_UNKNOWN) lift_caps(controller);
  fc_wakeups_raise(controller->wakeups, FC_WAKEUP_SCHEDULE);
}

/* Has every other member's present life acknowledged this term? */
static bool all_acked(fc_controller *controller) {
  for (int i = 0; i < (int)controller->cluster->membership.term.count; i++) {
    const fc_peer *peer = fc_peers_of_member(controller->peers, i);
    if (i != controller->cluster->membership.self &&
        (!peer || peer->acknowledged.renewals_known_until < fc_leadership_term_since(controller->leadership)))
      return false;
  }
  return true;
}

static bool any_limited(const fc_settings *settings) {
  for (size_t k = 0; k < settings->team_count; k++)
    if (limited(&settings->teams[k])) return true;
  return false;
}

/* The first shares of the term; false: not yet, or not by us. */
static bool first_shares(fc_controller *controller, tally *now_used, fc_quota_record *quota, double now) {
  fc_cluster *cluster = controller->cluster;
  /* Everybody could write it; the first in the term does at once. */
  if (now < fc_leadership_term_since(controller->leadership) +
                controller->settings->op.round_s * 0.5 * cluster->membership.self)
    return false;
  /* A hung machine of a dead owner would hold everybody up for a lease: after
   * a while it counts as full instead. Whatever is settled by then can only
   * have shrunk since; members we have not heard from are waited for. */
  bool settled = fc_cluster_update_reconciled(cluster);
  if (carry_over(cluster, quota)) return true;
  if (!settled && (now < fc_leadership_term_since(controller->leadership) + controller->settings->heartbeat_s * 1.5 ||
                   !all_acked(controller)))
    return false;
  take_tally(cluster, !settled, now_used);
  return divide(controller, now_used, quota) || settled;
}

/* The shares with ours as it should be now; false: nothing is to be written. */
static bool adjusted_shares(fc_controller *controller, tally *now_used, fc_quota_record *quota) {
  *quota = controller->cluster->quota.record;
  take_tally(controller->cluster, false, now_used);
  /* Where nothing is to change, the record is written as it is, or a write of
   * unknown outcome would keep its caps up for good (fault test, seed 510: a
   * gang waited for ever beside its share). */
  return adjust(controller, now_used, quota) || controller->share_capped;
}

void fc_quota_main(void *arg) {
  fc_controller *controller = arg;
  fc_metrics_enter_duty(controller->metrics, FC_DUTY_MEMBERSHIP);
  lift_caps(controller);
  if (!any_limited(controller->settings)) return;
  double adjusted_at = 0;
  fc_quota_record *quota = g_new0(fc_quota_record, 1);
  tally *now_used = g_new0(tally, 1);
  while (!fc_routine_cancelled()) {
    (void)fc_routine_sleep(controller->settings->op.round_s * 0.1);
    const fc_cluster *cluster = controller->cluster;
    /* A write of unknown outcome can be applied until the record has moved past
     * the version it was conditional on; so long the caps stay. */
    if (cluster->quota.version != controller->share_cap_version) lift_caps(controller);
    if (!fc_leadership_held(controller->leadership) || !fc_cluster_store_reachable(controller->cluster, fc_now()))
      continue;
    double now = fc_now();
    memset(quota, 0, sizeof *quota);
    if (cluster->quota.record.term != cluster->membership.term.number) {
      if (!first_shares(controller, now_used, quota, now)) continue;
    } else {
      if (now < adjusted_at + controller->settings->op.round_s * 0.25) continue;
      adjusted_at = now;
      if (!adjusted_shares(controller, now_used, quota)) continue;
    }
    lower_caps(controller, quota);
    write_quota(controller, quota);
  }
  g_free(now_used);
  g_free(quota);
}
