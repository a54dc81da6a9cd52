#include "controller/quota_plan.h"

#include <math.h>

#include "bookkeeping/cluster_machines.h"
#include "bookkeeping/quota_usage.h"
#include "scheduler/team_quota.h"

#define MIN_CHANGE 1e-6 /* smaller differences of shares are rounding errors */

/* ---- the first shares of a term ---- */

/* The shares of the previous term stay valid if the members are the same: every machine is still owned under the same
 * name, and the tasks on the machines of a name, known or not, are within its share. This avoids a new division, which
 * needs a task list from every machine: a partition between zones blocked all teams with limits for as long as it
 * lasted. */
bool fc_quota_plan_carry_over(const fc_cluster *cluster, fc_quota_record *quota) {
  const fc_term *term = &cluster->membership.term;
  const fc_quota_record *before = &cluster->quota.record;
  if (!cluster->quota.version || before->member_count != term->count) return false;
  for (size_t member = 0; member < term->count; member++)
    if (fc_quota_record_find(before, term->members[member].name) < 0) return false;
  *quota = *before;
  quota->term = term->number;
  quota->carried = true;
  return true;
}

/* Divides one limit of one team. Returns false if more than the limit may be in use. */
static bool divide_limit(double limit, size_t team, const fc_quota_demand (*demand)[FC_TEAMS_MAX], size_t members,
                         double (*shares)[FC_TEAMS_MAX]) {
  fc_quota_demand team_demand[FC_MEMBERS_MAX] = {{0}};
  double team_shares[FC_MEMBERS_MAX] = {0};
  for (size_t member = 0; member < members; member++) team_demand[member] = demand[member][team];
  if (!fc_quota_divide(limit, team_demand, members, team_shares) && limit > 0) return false;
  for (size_t member = 0; member < members; member++) shares[member][team] = team_shares[member];
  return true;
}

/* The task lists behind the tally can only have shrunk since they were reported: no member starts tasks of teams with
 * limits before this record is written. */
bool fc_quota_plan_divide(const fc_cluster *cluster, const fc_quota_tally *tally, fc_quota_record *quota) {
  const fc_settings *settings = cluster->settings;
  const fc_term *term = &cluster->membership.term;
  quota->term = term->number;
  quota->member_count = term->count;
  for (size_t member = 0; member < term->count; member++)
    g_strlcpy(quota->members[member], term->members[member].name, sizeof quota->members[member]);
  for (size_t team = 0; team < settings->team_count; team++) {
    const fc_team_settings *team_settings = &settings->teams[team];
    if (!fc_team_limited(team_settings)) continue;
    if (!divide_limit(team_settings->cpus_max, team, tally->cpus, term->count, quota->cpus)) return false;
    if (!divide_limit(team_settings->gpus_max, team, tally->gpus, term->count, quota->gpus)) return false;
  }
  return true;
}

/* ---- changes of this member's own shares ---- */

/* One limit of one team, and the inputs for this member's share of it. */
typedef struct limit_state {
  double limit; /* 0: none */
  fc_quota_others others;
  const fc_quota_demand *known; /* of this member, counting the tasks known to run */
  double unplaceable;           /* part of the wanted amount */
  double max_used;              /* upper bound of the use on this shard's machines */
  bool bounded;                 /* max_used is capped by a share carried over, instead of counting whole machines */
} limit_state;

/* Returns the share to request. It is lowered no further than the worst-case use: lowered to the known use, it freed
 * quota for other members that an unresponsive machine was still using (fault test, seed 642). Where the worst case
 * counts whole machines, the share is raised only by the known use. */
static double target_share(const limit_state *state, double share) {
  fc_quota_demand worst_case = *state->known;
  worst_case.used = state->max_used;
  double target = fc_quota_adjust_by_room(state->limit, &state->others, share, &worst_case, state->unplaceable);
  if (target <= share || state->bounded) return target;
  return MAX(share, fc_quota_adjust_by_room(state->limit, &state->others, share, state->known, state->unplaceable));
}

/* Moves *share to its target. Returns whether it changed. */
static bool adjust_share(const limit_state *state, double *share) {
  if (state->limit <= 0) return false;
  double target = target_share(state, *share);
  if (fabs(target - *share) <= MIN_CHANGE) return false;
  *share = target;
  return true;
}

/* A member with machines that are not reconciled may be using its whole share. */
static void add_other(fc_quota_others *others, double share, const fc_quota_demand *demand, double unplaceable,
                      bool unreconciled) {
  double used = unreconciled ? MAX(demand->used, share) : demand->used;
  others->assigned += share;
  others->shortfall += MAX(0, used + demand->wanted - unplaceable - share);
  others->count++;
}

/* Marks the members that own a machine not known to be reconciled. */
static void find_unreconciled(const fc_cluster *cluster, bool unreconciled[FC_MEMBERS_MAX]) {
  fc_machine_iter machine_iter = fc_cluster_machines(cluster);
  for (const fc_machine *machine; (machine = fc_machine_iter_next(&machine_iter));) {
    if (machine->owner >= 0 && machine->endpoint_recorded && !fc_machine_reconciled(cluster, machine))
      unreconciled[machine->owner] = true;
  }
}

/* Sums up the other members' shares and shortfalls for both limits of one team. `own`: index of this member in the
 * record. */
static void sum_others(const fc_cluster *cluster, const fc_quota_tally *tally, const fc_quota_record *quota, int own,
                       size_t team, const bool *unreconciled, fc_quota_others *cpus, fc_quota_others *gpus) {
  for (size_t i = 0; i < quota->member_count; i++) {
    int member = fc_term_find(&cluster->membership.term, quota->members[i]);
    if ((int)i == own || member < 0) continue;
    add_other(cpus, quota->cpus[i][team], &tally->cpus[member][team], tally->unplaceable_cpus[member][team],
              unreconciled[member]);
    add_other(gpus, quota->gpus[i][team], &tally->gpus[member][team], tally->unplaceable_gpus[member][team],
              unreconciled[member]);
  }
}

bool fc_quota_plan_adjust(const fc_cluster *cluster, const fc_quota_tally *tally, fc_quota_record *quota) {
  const fc_settings *settings = cluster->settings;
  int own = fc_quota_record_find(quota, settings->name);
  if (own < 0) return false;
  bool changed = false, unreconciled[FC_MEMBERS_MAX] = {false};
  find_unreconciled(cluster, unreconciled);
  double max_cpus[FC_TEAMS_MAX], max_gpus[FC_TEAMS_MAX];
  fc_cluster_max_usage(cluster, max_cpus, max_gpus);
  for (size_t team = 0; team < settings->team_count; team++) {
    bool bounded = isfinite(cluster->quota.carried_gpus[team]);
    limit_state cpus = {.limit = settings->teams[team].cpus_max,
                        .known = &tally->cpus[cluster->membership.self][team],
                        .unplaceable = tally->unplaceable_cpus[cluster->membership.self][team],
                        .max_used = max_cpus[team],
                        .bounded = bounded};
    limit_state gpus = {.limit = settings->teams[team].gpus_max,
                        .known = &tally->gpus[cluster->membership.self][team],
                        .unplaceable = tally->unplaceable_gpus[cluster->membership.self][team],
                        .max_used = max_gpus[team],
                        .bounded = bounded};
    sum_others(cluster, tally, quota, own, team, unreconciled, &cpus.others, &gpus.others);
    changed |= adjust_share(&cpus, &quota->cpus[own][team]);
    changed |= adjust_share(&gpus, &quota->gpus[own][team]);
  }
  return changed;
}
