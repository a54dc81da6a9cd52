#include "scheduler/handover_planning.h"

#include <string.h>

#include "bookkeeping/cluster_machines.h"
#include "scheduler/free_capacity.h"
#include "scheduler/job_order.h"
#include "scheduler/minimum_request.h"
#include "scheduler/pending_tasks.h"
#include "scheduler/shard_room.h"
#include "scheduler/team_quota.h"

/* The pause between handovers of a job grows by one round with each handover, up to this many additional rounds. */
#define HANDOVER_BACKOFF_MAX_ROUNDS 7u

/* Removes machines without room for `minimum`: with a long queue nearly all are full, and need not be examined
 * again. Returns whether other members own any of the remaining ones. */
static bool keep_fitting(const fc_cluster *cluster, GArray *capacity, const fc_job_spec *minimum) {
  fc_free_capacity_keep_fitting(capacity, minimum);
  for (guint i = 0; i < capacity->len; i++)
    if (g_array_index(capacity, fc_free_capacity, i).machine->owner != cluster->membership.self) return true;
  return false;
}

/* Jobs with a pending task in any shard. */
static GPtrArray *pending_jobs(const fc_cluster *cluster) {
  GPtrArray *jobs = fc_cluster_open_jobs(cluster);
  guint retained = 0;
  for (guint i = 0; i < jobs->len; i++)
    if (fc_job_has_pending_tasks(jobs->pdata[i], -1)) jobs->pdata[retained++] = jobs->pdata[i];
  g_ptr_array_set_size(jobs, (gint)retained);
  return jobs;
}

static void count_pending_by_slice(const fc_job *job, unsigned pending[FC_SLICES_MAX]) {
  memset(pending, 0, FC_SLICES_MAX * sizeof pending[0]);
  GArray *tasks = fc_job_pending_tasks(job, -1, FC_PENDING_TASKS_MAX);
  for (guint i = 0; i < tasks->len; i++) pending[fc_job_slice_of(job, g_array_index(tasks, uint32_t, i))]++;
  g_array_free(tasks, TRUE);
}

typedef enum {
  KNOWLEDGE_INCOMPLETE,
  KNOWLEDGE_ONCE_RECONCILED, /* complete once all machines are reconciled in this term */
  KNOWLEDGE_COMPLETE,
} slice_knowledge;

/* How much `peer` knows of the slice's tasks that may be on machines; it must not start any of them twice.
 *
 * After a change of term, tasks of a job may be on machines of other members. When this alone prevented a handover,
 * a replica that was lost or never started stayed pending despite free room for as long as the other replica ran
 * (scene ten_leader_changes_in_two_minutes). Tasks on a machine of the peer are known from the peer's own views.
 * Tasks that were started before this term on a third member's machine reach the peer before that machine counts as
 * reconciled for it; only a task that was started there in this term could become known too late. */
static slice_knowledge peer_knowledge(const fc_cluster *cluster, const fc_peer_progress *peers, const fc_job *job,
                                      unsigned slice, int peer) {
  slice_knowledge knowledge = KNOWLEDGE_COMPLETE;
  for (guint i = 0; i < job->placements->len; i++) {
    const fc_placement *placement = job->placements->pdata[i];
    const fc_machine *machine = placement->machine;
    if (placement->index >= job->spec.tasks || fc_job_slice_of(job, placement->index) != slice) continue;
    if (job->spec.kind == FC_JOB_GANG) return KNOWLEDGE_INCOMPLETE;
    /* This holds for this member's own machines too: the peer disregards the tasks that a view shows on a machine not
     * reconciled in this term, even if it acknowledged them in an earlier term. Without this check, a slice was handed
     * over and its tasks were started a second time (fault test with meetings, seed 566). */
    if (!fc_machine_reconciled(cluster, machine)) return KNOWLEDGE_INCOMPLETE;
    if (fc_machine_owned_by_self(cluster, machine)) {
      if (peers->acked_view[peer] < placement->first_view || peers->acked_revision[peer] < machine->record_version)
        return KNOWLEDGE_INCOMPLETE;
      continue;
    }
    if (machine->owner == peer) continue;
    if (fc_attempt_term(placement->attempt) >= cluster->membership.term.number) return KNOWLEDGE_INCOMPLETE;
    knowledge = KNOWLEDGE_ONCE_RECONCILED;
  }
  return knowledge;
}

/* The members (a bit each) on whose machines tasks of the slice are. */
static unsigned machine_owners_of_slice(const fc_job *job, unsigned slice) {
  unsigned owners = 0;
  for (guint i = 0; i < job->placements->len; i++) {
    const fc_placement *placement = job->placements->pdata[i];
    if (placement->index >= job->spec.tasks || fc_job_slice_of(job, placement->index) != slice ||
        placement->machine->owner < 0)
      continue;
    owners |= 1u << placement->machine->owner;
  }
  return owners;
}

typedef struct queued_job {
  fc_job *job;
  unsigned pending[FC_SLICES_MAX]; /* tasks, by slice */
  unsigned staying;                /* this shard's slices (a bit each) that are not to be handed over */
} queued_job;

/* How many of the pending tasks the limit of the job's team allows. */
static unsigned tasks_within_limit(const fc_cluster *cluster, const fc_team_usage *usage, const fc_job *job,
                                   unsigned pending) {
  if (job->team < 0) return pending;
  const fc_team_settings *team_settings = &cluster->settings->teams[job->team];
  unsigned count = 0;
  while (count < pending && fc_team_limit_allows(team_settings, usage->cpus[job->team] + (count + 1) * job->spec.cpus,
                                                 usage->gpus[job->team] + (count + 1) * job->spec.gpus))
    count++;
  return count;
}

/* Packs each slice of the job into the room of its own shard. */
static void pack_in_own_shards(const fc_shard_room *room, fc_team_usage *usage, queued_job *queued) {
  const fc_cluster *cluster = room->cluster;
  fc_job *job = queued->job;
  for (unsigned slice = 0; slice < job->slices.count; slice++) {
    int owner = fc_job_slice_owner(job, slice);
    if (owner < 0) continue;
    /* Tasks that their team's limit holds back claim no room: while they did, jobs of full shards stayed pending for
     * minutes although that room was free (days with meetings, seed 6038). */
    unsigned allowed = tasks_within_limit(cluster, usage, job, queued->pending[slice]);
    unsigned packed = fc_shard_room_count(room, job, owner, allowed, true);
    if (job->team >= 0) {
      usage->cpus[job->team] += packed * job->spec.cpus;
      usage->gpus[job->team] += packed * job->spec.gpus;
    }
    /* A slice at the limit could start nothing in another shard either. */
    bool at_limit = allowed == 0 && queued->pending[slice] > 0;
    if (owner == cluster->membership.self && (packed > 0 || at_limit)) queued->staying |= 1u << slice;
  }
}

/* Returns the queue (an array of queued_job) after each shard has packed its own slices; the caller frees it. */
static GArray *pack_own_queues(const fc_shard_room *room, const GPtrArray *jobs) {
  GArray *queue = g_array_sized_new(FALSE, TRUE, sizeof(queued_job), jobs->len);
  fc_team_usage usage = fc_cluster_team_usage(room->cluster);
  for (guint i = 0; i < jobs->len; i++) {
    queued_job queued = {.job = jobs->pdata[i]};
    count_pending_by_slice(queued.job, queued.pending);
    pack_in_own_shards(room, &usage, &queued);
    g_array_append_val(queue, queued);
  }
  return queue;
}

/* The member whose shard has room for most of the slice's pending tasks, for all of them if the job is a gang;
 * -1: no member that may receive the slice has room. */
static int best_peer(const fc_shard_room *room, const fc_peer_progress *peers, const fc_job *job, unsigned slice,
                     unsigned pending) {
  const fc_cluster *cluster = room->cluster;
  int best = -1;
  unsigned most = 0;
  for (int member = 0; member < (int)cluster->membership.term.count; member++) {
    if (member == cluster->membership.self || !peers->available[member]) continue;
    if (peer_knowledge(cluster, peers, job, slice, member) == KNOWLEDGE_INCOMPLETE) continue;
    unsigned count = fc_shard_room_count(room, job, member, pending, false);
    if (job->spec.kind == FC_JOB_GANG && count < pending) continue;
    if (count <= most) continue;
    most = count;
    best = member;
  }
  return best;
}

/* Plans handovers of the job's slices that belong to this shard, are resolved and fit only in another shard. */
static void hand_over_slices(const fc_shard_room *room, const fc_peer_progress *peers, const queued_job *queued,
                             GArray *handovers) {
  const fc_cluster *cluster = room->cluster;
  fc_job *job = queued->job;
  for (unsigned slice = 0; slice < job->slices.count; slice++) {
    unsigned pending = queued->pending[slice];
    if (fc_job_slice_owner(job, slice) != cluster->membership.self || !(job->slices.resolved >> slice & 1)) continue;
    if (pending == 0 || (queued->staying >> slice & 1)) continue;
    int peer = best_peer(room, peers, job, slice, pending);
    if (peer < 0) continue;
    (void)fc_shard_room_count(room, job, peer, pending, true);
    fc_handover handover = {
        .job = job, .slice = slice, .to = peer, .machine_owners = machine_owners_of_slice(job, slice) | 1u << peer};
    handover.partly_known = peer_knowledge(cluster, peers, job, slice, peer) != KNOWLEDGE_COMPLETE;
    g_array_append_val(handovers, handover);
  }
}

/* Returns whether the job has been pending long enough, and its last handover is long enough ago. */
static bool handover_allowed(const fc_cluster *cluster, const fc_job *job, double now) {
  /* The pause grows because a job would be handed over again and again while all shards are full. */
  double pause =
      cluster->settings->operator_settings.round_s * (1 + MIN(job->slices.handover_count, HANDOVER_BACKOFF_MAX_ROUNDS));
  if (now < job->queue.entered_at + cluster->settings->operator_settings.handover_wait_s ||
      now < job->slices.handover_at + pause)
    return false;
  return !job->slices.handover_pending && now >= job->queue.blocked_until;
}

GArray *fc_handovers_plan(const fc_cluster *cluster, const fc_peer_progress *peers, double now) {
  GArray *handovers = g_array_new(FALSE, TRUE, sizeof(fc_handover));
  if (cluster->membership.self < 0 || cluster->membership.term.count < 2) return handovers;
  GArray *capacity = fc_free_capacity_gather(cluster, fc_machine_usable_by_owner, now);
  fc_free_capacity_sort(capacity);
  const fc_shard_room room = {.cluster = cluster, .capacity = capacity};
  GPtrArray *jobs = pending_jobs(cluster);
  const fc_job_spec minimum = fc_minimum_request_of(jobs);
  GArray *queue = keep_fitting(cluster, capacity, &minimum) ? pack_own_queues(&room, jobs) : NULL;
  for (guint i = 0; queue && i < queue->len && keep_fitting(cluster, capacity, &minimum); i++) {
    const queued_job *queued = &g_array_index(queue, queued_job, i);
    if (handover_allowed(cluster, queued->job, now)) hand_over_slices(&room, peers, queued, handovers);
  }
  if (queue) g_array_free(queue, TRUE);
  g_ptr_array_free(jobs, TRUE);
  g_array_free(capacity, TRUE);
  return handovers;
}
