#include "controller/archiver.h"

#include "bookkeeping/dependencies.h"

#define PAUSE_ROUNDS 2.5     /* between two passes, in scheduling rounds */
#define WRITE_RATE_SHARE 0.5 /* at most, of our write rate */
#define WRITES_PER_JOB 2     /* a job leaves one key and moves to another */

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

/* Writes the mark that says that jobs may have been archived. Returns whether it is there. */
static bool write_mark(fc_archiver *archiver) {
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

/* In one transaction the job leaves the one key and is at the other. */
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

/* Has it ended before then, with nothing left that needs it? */
static bool may_be_archived(const fc_cluster *cluster, const fc_job *job, double before) {
  if (!job->lifecycle.ended_at || job->lifecycle.ended_at > before || job->placements->len > 0) return false;
  /* Its dependents read from its record that it has ended. */
  if (fc_dependencies_has_dependents(cluster, job->spec.id)) return false;
  return fc_job_slice_owner(job, 0) == cluster->membership.self;
}

/* Ids of jobs to archive, `max` at the most; the array owns them. The owner of the first slice
 * archives a job. */
static GPtrArray *collect_jobs(const fc_archiver *archiver, guint max) {
  const fc_cluster *cluster = archiver->cluster;
  GPtrArray *ids = g_ptr_array_new_with_free_func(g_free);
  double before = fc_now() - cluster->settings->operator_settings.over_keep_s;
  fc_job_iter job_iter = fc_cluster_jobs(cluster);
  for (const fc_job *job; ids->len < max && (job = fc_job_iter_next(&job_iter));)
    if (may_be_archived(cluster, job, before)) g_ptr_array_add(ids, g_strdup(job->spec.id));
  return ids;
}

/* As many as the write rate allows, and not as a transaction holds: with few changes in each, jobs
 * came faster than they were archived. */
static guint jobs_per_pass(const fc_archiver *archiver, double pause_s) {
  double writes = fc_group_commit_rate(archiver->commit) * pause_s * WRITE_RATE_SHARE;
  return (guint)MAX(1, writes / WRITES_PER_JOB);
}

static void run_pass(fc_archiver *archiver, double pause_s) {
  GPtrArray *ids = collect_jobs(archiver, jobs_per_pass(archiver, pause_s));
  bool marked = ids->len > 0 && (archiver->cluster->archive_in_use || write_mark(archiver));
  /* None while other writes are pending. */
  for (guint i = 0; marked && i < ids->len && fc_group_commit_backlog(archiver->commit) == 0; i++)
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
