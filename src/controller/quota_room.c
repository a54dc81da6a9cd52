#include "controller/quota_room.h"

#include "bookkeeping/quota_usage.h"
#include "bookkeeping/reconciliation_progress.h"
#include "scheduler/free_capacity.h"
#include "scheduler/gang_precedence.h"
#include "scheduler/job_order.h"
#include "scheduler/minimum_request.h"
#include "scheduler/pending_tasks.h"
#include "scheduler/shard_room.h"
#include "scheduler/victim_selection.h"

#define MIN_AMOUNT 1e-6 /* smaller amounts are rounding errors */

/* ---- teams with an unused share while another member lacks some ---- */

static bool limit_contended(const fc_cluster *cluster, const fc_quota_record *quota, double limit, size_t team,
                            const fc_quota_demand (*demands)[FC_TEAMS_MAX], const double (*shares)[FC_TEAMS_MAX]) {
  double unassigned = limit, shortfall = 0;
  bool unused = false;
  for (size_t i = 0; i < quota->member_count; i++) {
    double share = shares[i][team];
    unassigned -= share;
    int member = fc_term_find(&cluster->membership.term, quota->members[i]);
    if (member < 0) continue;
    const fc_quota_demand *demand = &demands[member][team];
    shortfall += MAX(0, demand->used + demand->wanted - share);
    unused |= demand->wanted > 0 && demand->used + MIN_AMOUNT < share;
  }
  return limit > 0 && unused && shortfall > unassigned + MIN_AMOUNT;
}

static bool team_contended(const fc_cluster *cluster, const fc_quota_record *quota, const fc_quota_tally *tally,
                           size_t team) {
  const fc_team_settings *settings = &cluster->settings->teams[team];
  return limit_contended(cluster, quota, settings->cpus_max, team, tally->cpus, quota->cpus) ||
         limit_contended(cluster, quota, settings->gpus_max, team, tally->gpus, quota->gpus);
}

/* ---- pending work without room ---- */

/* A job that has just been submitted may find room soon: if it counted, shares would move at each submission. */
static bool entered_recently(const fc_gang_order *order, const fc_job *job) {
  return order->now < job->queue.entered_at + order->cluster->settings->operator_settings.handover_wait_s;
}

/* The team's pending jobs that a larger share would let start, in queue order; without gangs. */
static GPtrArray *pending_jobs_of(const fc_gang_order *order, size_t team) {
  GPtrArray *jobs = fc_cluster_open_jobs(order->cluster);
  guint retained = 0;
  for (guint i = 0; i < jobs->len; i++) {
    const fc_job *job = jobs->pdata[i];
    if (job->team != (int)team || job->spec.kind == FC_JOB_GANG || entered_recently(order, job)) continue;
    if (!fc_gang_order_holds_back(order, job) && fc_job_has_pending_tasks(job, -1))
      jobs->pdata[retained++] = jobs->pdata[i];
  }
  g_ptr_array_set_size(jobs, (gint)retained);
  return jobs;
}

/* Drops machines that can't hold even the smallest request of the jobs after preempting everything that the first job,
 * which has the highest priority, may preempt. */
static void drop_machines_without_room(const fc_shard_room *room, const GPtrArray *jobs) {
  const fc_job_spec minimum = fc_minimum_request_of(jobs);
  guint retained = 0;
  for (guint i = 0; i < room->capacity->len; i++) {
    const fc_free_capacity entry = g_array_index(room->capacity, fc_free_capacity, i);
    fc_resources most = fc_victims_room(room->cluster, room->usage, &entry, jobs->pdata[0]);
    if (fc_resources_fit(&most, &minimum)) g_array_index(room->capacity, fc_free_capacity, retained++) = entry;
  }
  g_array_set_size(room->capacity, retained);
}

static void count_by_member(const fc_job *job, unsigned pending[FC_MEMBERS_MAX]) {
  memset(pending, 0, FC_MEMBERS_MAX * sizeof pending[0]);
  GArray *tasks = fc_job_pending_tasks(job, -1, FC_PENDING_TASKS_MAX);
  for (guint i = 0; i < tasks->len; i++) {
    int owner = fc_job_slice_owner(job, fc_job_slice_of(job, g_array_index(tasks, uint32_t, i)));
    if (owner >= 0) pending[owner]++;
  }
  g_array_free(tasks, TRUE);
}

/* Skips members whose machines are not reconciled, as what they hold is unknown: otherwise, after each change of term,
 * the last member to reconcile would be left without a share. */
static void add_unplaceable(const fc_shard_room *room, const fc_job *job, fc_quota_tally *tally) {
  unsigned pending[FC_MEMBERS_MAX];
  count_by_member(job, pending);
  for (int member = 0; member < (int)room->cluster->membership.term.count; member++) {
    if (pending[member] == 0 || !fc_cluster_member_reconciled(room->cluster, member)) continue;
    unsigned without_room = pending[member] - fc_shard_room_count(room, job, member, pending[member], true);
    tally->unplaceable_cpus[member][job->team] += without_room * job->spec.cpus;
    tally->unplaceable_gpus[member][job->team] += without_room * job->spec.gpus;
  }
}

static void find_unplaceable_of(const fc_gang_order *order, size_t team, fc_quota_tally *tally) {
  const fc_cluster *cluster = order->cluster;
  GPtrArray *jobs = pending_jobs_of(order, team);
  if (jobs->len > 0) {
    const fc_team_usage usage = fc_cluster_team_usage(cluster);
    GArray *capacity = fc_free_capacity_gather(cluster, fc_machine_usable_by_owner, order->now);
    const fc_shard_room room = {.cluster = cluster, .capacity = capacity, .usage = &usage};
    drop_machines_without_room(&room, jobs);
    fc_free_capacity_sort(capacity);
    for (guint i = 0; i < jobs->len; i++) add_unplaceable(&room, jobs->pdata[i], tally);
    g_array_free(capacity, TRUE);
  }
  g_ptr_array_free(jobs, TRUE);
}

void fc_quota_room_find_unplaceable(const fc_cluster *cluster, const fc_quota_record *quota, fc_quota_tally *tally,
                                    double now) {
  fc_gang_order order;
  bool order_taken = false;
  for (size_t team = 0; team < cluster->settings->team_count; team++) {
    if (!fc_team_limited(&cluster->settings->teams[team]) || !team_contended(cluster, quota, tally, team)) continue;
    if (!order_taken) fc_gang_order_init(cluster, &order, now);
    order_taken = true;
    find_unplaceable_of(&order, team, tally);
  }
}
