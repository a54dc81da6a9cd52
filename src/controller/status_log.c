#include "controller/status_log.h"

#include "bookkeeping/cluster_machines.h"
#include "bookkeeping/reconciliation_progress.h"
#include "scheduler/pending_tasks.h"

/* A machine is silent if its last message is older than this many heartbeat intervals. */
#define SILENT_HEARTBEATS 2

typedef struct job_summary {
  unsigned pending;    /* this controller's runnable jobs with tasks to place */
  unsigned unresolved; /* this controller's runnable jobs whose slices are not resolved */
} job_summary;

typedef struct machine_summary {
  unsigned owned, silent;      /* in the shard of this controller */
  unsigned raised_tokens;      /* the most that one machine of this shard has used in this term */
  unsigned unreconciled;       /* in all shards */
  const char *unreconciled_id; /* of one of them; "-" if there are none */
} machine_summary;

static job_summary summarize_jobs(const fc_cluster *cluster) {
  job_summary summary = {0};
  int self = cluster->membership.self;
  fc_job_iter job_iter = fc_cluster_jobs(cluster);
  for (const fc_job *job; (job = fc_job_iter_next(&job_iter));) {
    if (!fc_job_runnable(job) || !fc_job_owned_by(job, self)) continue;
    summary.pending += fc_job_has_pending_tasks(job, self);
    summary.unresolved += !job->slices.resolved;
  }
  return summary;
}

static machine_summary summarize_machines(const fc_cluster *cluster) {
  machine_summary summary = {.unreconciled_id = "-"};
  uint64_t term = cluster->membership.term.number;
  double silent_since = fc_now() - cluster->settings->heartbeat_s * SILENT_HEARTBEATS;
  fc_machine_iter machine_iter = fc_cluster_machines(cluster);
  for (const fc_machine *machine; (machine = fc_machine_iter_next(&machine_iter));) {
    bool owned = fc_machine_owned_by_self(cluster, machine);
    summary.owned += owned;
    if (owned)
      summary.raised_tokens = MAX(summary.raised_tokens, fc_fencing_tokens_raised(machine->worker.fencing_token, term));
    summary.silent += owned && machine->worker.heard_at < silent_since;
    if (!machine->record_version || fc_machine_reconciled(cluster, machine)) continue;
    summary.unreconciled++;
    summary.unreconciled_id = machine->id;
  }
  return summary;
}

static void log_state(const fc_metrics_sources *sources) {
  const fc_cluster *cluster = sources->cluster;
  job_summary jobs = summarize_jobs(cluster);
  machine_summary machines = summarize_machines(cluster);
  g_info("status term=%" G_GUINT64_FORMAT " self=%d may_act=%d fresh_s=%.1f latched=%d quota_term=%" G_GUINT64_FORMAT
         " waiting=%u unclear=%u machines=%u silent=%u unsettled=%u e.g. %s routines=%zu raised_tokens=%u",
         (guint64)cluster->membership.term.number, cluster->membership.self, fc_leadership_held(sources->leadership),
         fc_now() - cluster->sync.read_at, fc_cluster_fully_reconciled(cluster), (guint64)cluster->quota.record.term,
         jobs.pending, jobs.unresolved, machines.owned, machines.silent, machines.unreconciled,
         machines.unreconciled_id, fc_routine_count(), machines.raised_tokens);
}

static void log_counters(const fc_counters *counters) {
  g_info("counts rounds=%" G_GUINT64_FORMAT " reads=%" G_GUINT64_FORMAT " reports=%" G_GUINT64_FORMAT
         " requests=%" G_GUINT64_FORMAT " exchanges=%" G_GUINT64_FORMAT " views=%" G_GUINT64_FORMAT
         " pushes=%" G_GUINT64_FORMAT " placed=%" G_GUINT64_FORMAT " preempted=%" G_GUINT64_FORMAT
         " handed_over=%" G_GUINT64_FORMAT " lent=%" G_GUINT64_FORMAT,
         (guint64)counters->rounds, (guint64)counters->reads, (guint64)counters->heartbeats,
         (guint64)counters->requests, (guint64)counters->exchanges, (guint64)counters->views_received,
         (guint64)counters->worker_calls, (guint64)counters->placed, (guint64)counters->preempted,
         (guint64)counters->handed_over, (guint64)counters->machines_transferred);
}

static void log_writes(const fc_group_commit *commit) {
  fc_group_commit_counts counts = fc_group_commit_stats(commit);
  const uint64_t *writes = counts.writes;
  g_info("writes transactions=%" G_GUINT64_FORMAT " job=%" G_GUINT64_FORMAT " machine=%" G_GUINT64_FORMAT
         " hire=%" G_GUINT64_FORMAT " quota=%" G_GUINT64_FORMAT " other=%" G_GUINT64_FORMAT " waited_s=%.1f",
         (guint64)counts.transactions, (guint64)writes[FC_WRITE_KIND_JOB], (guint64)writes[FC_WRITE_KIND_MACHINE],
         (guint64)writes[FC_WRITE_KIND_RENTAL], (guint64)writes[FC_WRITE_KIND_QUOTA],
         (guint64)writes[FC_WRITE_KIND_OTHER], counts.waited_s);
}

void fc_status_log_write(const fc_metrics_sources *sources) {
  log_state(sources);
  log_counters(&sources->metrics->counters);
  log_writes(sources->commit);
  fc_metrics_log_usage(sources->metrics);
}
