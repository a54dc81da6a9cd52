#include "bookkeeping/quota_usage.h"

#include <math.h>
#include <string.h>

#include "bookkeeping/cluster_machines.h"

int fc_quota_record_find(const fc_quota_record *quota, const char *member) {
  for (size_t i = 0; i < quota->member_count; i++)
    if (strcmp(quota->members[i], member) == 0) return (int)i;
  return -1;
}

void fc_cluster_apply_quota(fc_cluster *cluster, const fc_quota_record *quota, uint64_t version) {
  fc_quota_state *state = &cluster->quota;
  bool new_term = quota->term != state->record.term;
  state->record = *quota;
  state->version = version;
  if (!new_term) return;
  int self = quota->carried ? fc_quota_record_find(quota, cluster->settings->name) : -1;
  for (size_t team = 0; team < FC_TEAMS_MAX; team++) {
    state->carried_cpus[team] = self >= 0 ? quota->cpus[self][team] : INFINITY;
    state->carried_gpus[team] = self >= 0 ? quota->gpus[self][team] : INFINITY;
  }
}

/* Upper bound of the usage: tasks started in this term, tasks started before it, and tasks on
 * machines not yet reconciled. The last two together were within the carried-over share. */
static double max_usage(double started_in_term, double started_before, double unreconciled, double carried) {
  return started_in_term + MIN(started_before + unreconciled, MAX(started_before, carried));
}

/* Adds the machine's tasks to their teams' usage, separately for tasks started in this term and
 * before. */
static void add_usage_by_term(const fc_cluster *cluster, const fc_machine *machine, fc_resources *started_in_term,
                              fc_resources *started_before) {
  for (guint i = 0; i < machine->placements->len; i++) {
    const fc_placement *placement = machine->placements->pdata[i];
    if (!fc_placement_active(placement) || !placement->job || placement->job->team < 0) continue;
    bool this_term = fc_attempt_term(placement->attempt) == cluster->membership.term.number;
    fc_resources *usage = &(this_term ? started_in_term : started_before)[placement->job->team];
    usage->cpus += placement->job->spec.cpus;
    usage->gpus += placement->job->spec.gpus;
  }
}

void fc_cluster_max_usage(const fc_cluster *cluster, double cpus[FC_TEAMS_MAX], double gpus[FC_TEAMS_MAX]) {
  fc_resources started_in_term[FC_TEAMS_MAX] = {{0}}, started_before[FC_TEAMS_MAX] = {{0}}, unreconciled = {0, 0, 0};
  fc_machine_iter machine_iter = fc_cluster_machines(cluster);
  for (const fc_machine *machine; (machine = fc_machine_iter_next(&machine_iter));) {
    if (!fc_machine_owned_by_self(cluster, machine)) continue;
    if (machine->endpoint_recorded && !fc_machine_reconciled(cluster, machine)) {
      fc_resources capacity = fc_machine_capacity(cluster, machine);
      unreconciled.cpus += capacity.cpus;
      unreconciled.gpus += capacity.gpus;
    } else {
      add_usage_by_term(cluster, machine, started_in_term, started_before);
    }
  }
  const fc_quota_state *quota = &cluster->quota;
  for (size_t team = 0; team < cluster->settings->team_count; team++) {
    cpus[team] =
        max_usage(started_in_term[team].cpus, started_before[team].cpus, unreconciled.cpus, quota->carried_cpus[team]);
    gpus[team] =
        max_usage(started_in_term[team].gpus, started_before[team].gpus, unreconciled.gpus, quota->carried_gpus[team]);
  }
}
