#include "controller/archiver.h"

#include "bookkeeping/dependencies.h"

#define PAUSE_ROUNDS 2.5     /* between two passes, in intervals of scheduling rounds */
#define WRITE_RATE_SHARE 0.5 /* the most that archiving uses of this member's write rate */
#define WRITES_PER_JOB 2     /* one key is deleted, another written */

struct fc_archiver {
  fc_cluster *cluster;
  fc_kv_watch *watch;
  fc_group_commit *commit;
  const fc_leadership *leadership;
  fc_metrics *metrics;
};

fc_archiver *fc_archiver_new(fc_cluster *cluster, fc_kv_watch *watch, fc_group_commit *commit,
                             const fc_leadership *leadership, fc_metrics *metrics) {
  fc_archiver *archiver = g_new(fc_archiver, 1);
  *archiver =
      (fc_archiver){.cluster = cluster, .watch = watch, .commit = commit, .leadership = leadership, .metrics = metrics};
  return archiver;
}

/* Writes the marker that there may be archived jobs. Returns whether the marker is known to exist. */
static bool write_marker(fc_archiver *archiver) {
  const fc_settings *settings = archiver->cluster->settings;
  fc_write *write = fc_write_new();
  fc_write_compare(write, FC_KEY_ARCHIVE, 0);
  fc_write_put(write, FC_KEY_ARCHIVE, fc_marker_encode());
  uint64_t revision = 0;
  fc_kv_result result = fc_group_commit_write(archiver->commit, write, FC_WRITE_PRIORITY_MAINTENANCE,
                                              fc_now() + settings->lease_s, &revision);
  double deadline = fc_now() + settings->heartbeat_s;
  if (result == FC_KV_OK) return fc_kv_watch_wait_revision(archiver->watch, revision, deadline);
  (void)fc_kv_watch_wait_fresh(archiver->watch, deadline);
  return archiver->cluster->archive_in_use;
}

/* Moves the job to its archive key in one transaction. */
static void archive_job(fc_archiver *archiver, const char *id) {
  const fc_job *job = fc_cluster_find_job(archiver->cluster, id);
  if (!job || job->phase == FC_PHASE_ACCEPTED || !fc_leadership_held(archiver->leadership)) return;
  char *from = g_strconcat(FC_PREFIX_JOB, id, NULL), *to = g_strconcat(FC_PREFIX_ARCHIVED, id, NULL);
  fc_archived_job archived = {.done = job->phase == FC_PHASE_DONE, .tasks_done = job->completion.count};
  fc_write *write = fc_write_new();
  fc_write_compare(write, from, job->record.version);
  fc_write_compare(write, to, 0);
  fc_write_put(write, to, fc_archived_job_encode(&archived));
  fc_write_delete(write, from);
  g_free(from);
  g_free(to);
  (void)fc_group_commit_write(archiver->commit, write, FC_WRITE_PRIORITY_MAINTENANCE,
                              fc_now() + archiver->cluster->settings->lease_s, NULL);
}

/* Whether this controller may archive the job: the job ended before `before`, nothing needs its record
 * any more, and this controller owns its first slice. */
static bool is_archivable(const fc_cluster *cluster, const fc_job *job, double before) {
  if (!job->lifecycle.ended_at || job->lifecycle.ended_at > before || job->placements->len > 0) return false;
  /* Dependent jobs read the end of the job from its record. */
  if (fc_dependencies_has_dependents(cluster, job->spec.id)) return false;
  return fc_job_slice_owner(job, 0) == cluster->membership.self;
}

/* Ids of at most `max` jobs to archive. The caller frees the array, which owns them. */
static GPtrArray *collect_jobs(const fc_archiver *archiver, guint max) {
  const fc_cluster *cluster = archiver->cluster;
  GPtrArray *ids = g_ptr_array_new_with_free_func(g_free);
  double before = fc_now() - cluster->settings->operator_settings.over_keep_s;
  fc_job_iter job_iter = fc_cluster_jobs(cluster);
  for (const fc_job *job; ids->len < max && (job = fc_job_iter_next(&job_iter));)
    if (is_archivable(cluster, job, before)) g_ptr_array_add(ids, g_strdup(job->spec.id));
  return ids;
}

/* Limited by the write rate and not by the size of a transaction: where transactions hold few changes,
 * jobs were added faster than they were archived. */
static guint jobs_per_pass(const fc_archiver *archiver, double pause_s) {
  double writes = fc_group_commit_rate(archiver->commit) * pause_s * WRITE_RATE_SHARE;
  return (guint)MAX(1, writes / WRITES_PER_JOB);
}

static void run_pass(fc_archiver *archiver, double pause_s) {
  GPtrArray *ids = collect_jobs(archiver, jobs_per_pass(archiver, pause_s));
  bool may_archive = ids->len > 0 && (archiver->cluster->archive_in_use || write_marker(archiver));
  /* Other writes take precedence. */
  for (guint i = 0; may_archive && i < ids->len && fc_group_commit_backlog(archiver->commit) == 0; i++)
    archive_job(archiver, ids->pdata[i]);
  g_ptr_array_free(ids, TRUE);
}

static void run(void *arg) {
  fc_archiver *archiver = arg;
  fc_metrics_enter_duty(archiver->metrics, FC_DUTY_COMMITS);
  double pause_s = archiver->cluster->settings->operator_settings.round_s * PAUSE_ROUNDS;
  while (!fc_routine_cancelled()) {
    if (fc_routine_sleep(pause_s) == FC_WAKE_CANCELLED) break;
    if (fc_leadership_held(archiver->leadership) && fc_cluster_store_reachable(archiver->cluster, fc_now()))
      run_pass(archiver, pause_s);
  }
}

bool fc_archiver_start(fc_archiver *archiver) {
  return fc_routine_spawn(run, archiver) != NULL;
}
