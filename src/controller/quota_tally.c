#include "controller/quota_tally.h"

#include <string.h>

#include "bookkeeping/cluster_machines.h"
#include "scheduler/gang_precedence.h"
#include "scheduler/pending_tasks.h"
#include "scheduler/team_quota.h"
#include "transport/routine.h"

/* ---- usage ---- */

static void count_as_full(const fc_cluster *cluster, const fc_machine *machine, fc_quota_tally *tally) {
  fc_resources capacity = fc_machine_capacity(cluster, machine);
  for (size_t team = 0; team < cluster->settings->team_count; team++) {
    tally->cpus[machine->owner][team].used += capacity.cpus;
    tally->gpus[machine->owner][team].used += capacity.gpus;
  }
}

static void count_placements(const fc_machine *machine, fc_quota_tally *tally) {
  for (guint i = 0; i < machine->placements->len; i++) {
    const fc_placement *placement = machine->placements->pdata[i];
    const fc_job *job = placement->job;
    if (!fc_placement_active(placement) || !job || job->team < 0) continue;
    tally->cpus[machine->owner][job->team].used += job->spec.cpus;
    tally->gpus[machine->owner][job->team].used += job->spec.gpus;
  }
}

static void count_machines(const fc_cluster *cluster, bool pessimistic, fc_quota_tally *tally) {
  fc_machine_iter machine_iter = fc_cluster_machines(cluster);
  for (const fc_machine *machine; (machine = fc_machine_iter_next(&machine_iter));) {
    if (machine->owner < 0) continue;
    if (pessimistic && machine->endpoint_recorded && !fc_machine_reconciled(cluster, machine)) {
      count_as_full(cluster, machine, tally);
    } else {
      count_placements(machine, tally);
    }
  }
}

/* ---- demand ---- */

static void add_demand(fc_quota_demand *demand, double amount) {
  if (demand->least <= 0 || amount < demand->least) demand->least = amount;
  demand->wanted += amount;
}

/* All tasks of a gang start together: two gangs in shards that each hold half of the needed share would both stay
 * pending forever (fault test, seed 15). So demand is counted for one gang of a team at a time, the same one on all
 * members. */
static void add_gang(const fc_job *gang, fc_quota_tally *tally) {
  int owner = fc_job_slice_owner(gang, 0);
  if (owner < 0) return;
  double tasks = gang->spec.tasks - gang->completion.count;
  add_demand(&tally->cpus[owner][gang->team], tasks * gang->spec.cpus);
  add_demand(&tally->gpus[owner][gang->team], tasks * gang->spec.gpus);
}

static void add_pending_tasks(const fc_job *job, fc_quota_tally *tally) {
  GArray *pending = fc_job_pending_tasks(job, -1, FC_PENDING_TASKS_MAX);
  for (guint i = 0; i < pending->len; i++) {
    int owner = fc_job_slice_owner(job, fc_job_slice_of(job, g_array_index(pending, uint32_t, i)));
    if (owner < 0) continue;
    add_demand(&tally->cpus[owner][job->team], job->spec.cpus);
    add_demand(&tally->gpus[owner][job->team], job->spec.gpus);
  }
  g_array_free(pending, TRUE);
}

void fc_quota_tally_compute(const fc_cluster *cluster, bool pessimistic, fc_quota_tally *tally) {
  memset(tally, 0, sizeof *tally);
  fc_gang_order order;
  fc_gang_order_init(cluster, &order, fc_now());
  for (size_t team = 0; team < cluster->settings->team_count; team++)
    if (order.preceding[team]) add_gang(order.preceding[team], tally);
  count_machines(cluster, pessimistic, tally);
  fc_job_iter job_iter = fc_cluster_jobs(cluster);
  for (const fc_job *job; (job = fc_job_iter_next(&job_iter));) {
    if (job->team < 0 || !fc_job_runnable(job) || !fc_team_limited(&cluster->settings->teams[job->team])) continue;
    if (job->spec.kind != FC_JOB_GANG && !fc_gang_order_holds_back(&order, job)) add_pending_tasks(job, tally);
  }
}
