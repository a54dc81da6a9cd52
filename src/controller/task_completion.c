#include "controller/task_completion.h"

#include <string.h>

#include "bookkeeping/cluster_machines.h"
#include "bookkeeping/record_writes.h"
#include "scheduler/pending_tasks.h"
#include "transport/routine.h"

#define WRITE_RATE_SHARE 0.25       /* of this member's write rate, for completions that no user or job waits for */
#define BATCH_WINDOW_LEASES_MAX 2.0 /* in worker leases */
#define BATCH_JITTER_MIN 0.75       /* factors on the batch window */
#define BATCH_JITTER_MAX 1.25
#define WRITE_TIMEOUT_S 10.0
#define OUTCOME_TIMEOUT_S 2.0
#define RETRY_MIN_S 0.05
#define RETRY_MAX_S 0.2

struct fc_task_completion {
  fc_cluster *cluster;
  fc_group_commit *commit;
  fc_kv_watch *watch;
  fc_metrics *metrics;
  GHashTable *recording; /* id of a job whose completions are being written -> fc_cond: another task of it has ended */
};

typedef struct recording_routine {
  fc_task_completion *completion;
  char job_id[FC_JOB_ID_SIZE];
} recording_routine;

fc_task_completion *fc_task_completion_new(fc_cluster *cluster, fc_group_commit *commit, fc_kv_watch *watch,
                                           fc_metrics *metrics) {
  fc_task_completion *completion = g_new(fc_task_completion, 1);
  *completion = (fc_task_completion){.cluster = cluster,
                                     .commit = commit,
                                     .watch = watch,
                                     .metrics = metrics,
                                     .recording = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free)};
  return completion;
}

void fc_task_completion_free(fc_task_completion *completion) {
  g_hash_table_destroy(completion->recording);
  g_free(completion);
}

static bool is_done(const fc_placement *placement) {
  return placement->status.state == FC_TASK_EXITED && placement->status.cause == FC_CAUSE_DONE;
}

/* Fills in the bitmap of the tasks that are done, recorded or not. Returns false if the record lists them all. */
static bool collect_done(const fc_job *job, uint8_t *bitmap) {
  bool unrecorded = false;
  memcpy(bitmap, job->completion.bitmap, fc_task_bitmap_bytes(job->spec.tasks));
  for (guint i = 0; i < job->placements->len; i++) {
    const fc_placement *placement = job->placements->pdata[i];
    if (!is_done(placement) || placement->index >= job->spec.tasks) continue;
    if (fc_job_task_done(job, placement->index)) continue;
    fc_task_bitmap_set(bitmap, placement->index);
    unrecorded = true;
  }
  /* A gang completes as a whole: if one task is done, all are. Waiting for each left a gang incomplete forever when a
   * machine was lost in between (fault test, seed 23), as the remaining tasks could not start as a gang again. */
  if (unrecorded && job->spec.kind == FC_JOB_GANG)
    for (uint32_t i = 0; i < job->spec.tasks; i++) fc_task_bitmap_set(bitmap, i);
  return unrecorded || job->completion.count > job->record.completed;
}

/* Whether a task in this shard still runs or is pending, so that more completions will follow. */
static bool more_expected(const fc_cluster *cluster, const fc_job *job) {
  if (job->spec.kind == FC_JOB_GANG) return false; /* its tasks complete together */
  for (guint i = 0; i < job->placements->len; i++) {
    const fc_placement *placement = job->placements->pdata[i];
    if (fc_placement_active(placement) && fc_machine_owned_by_self(cluster, placement->machine)) return true;
  }
  return fc_job_has_pending_tasks(job, cluster->membership.self);
}

/* How long completions are gathered before they are written together: a scheduling round, or longer if needed to stay
 * within their share of the write rate. Without that share, fifty running arrays used up the write rate, and
 * submissions were refused for minutes. */
static double batch_window_s(const fc_task_completion *completion) {
  const fc_settings *settings = completion->cluster->settings;
  double jobs = g_hash_table_size(completion->recording);
  double spacing_s = jobs / (fc_group_commit_rate(completion->commit) * WRITE_RATE_SHARE);
  return CLAMP(spacing_s, settings->operator_settings.round_s, settings->lease_s * BATCH_WINDOW_LEASES_MAX);
}

/* Waits for more completions of the job: an array of 150 tasks would be written 150 times otherwise. The last ones are
 * written at once, as users and dependent jobs wait for them. */
static void wait_for_batch(fc_task_completion *completion, const char *job_id) {
  const fc_cluster *cluster = completion->cluster;
  double until = fc_now() + batch_window_s(completion) * g_random_double_range(BATCH_JITTER_MIN, BATCH_JITTER_MAX);
  for (;;) {
    const fc_job *job = fc_cluster_find_job(cluster, job_id);
    if (!job || job->phase != FC_PHASE_ACCEPTED || !more_expected(cluster, job)) return;
    fc_cond *ended = g_hash_table_lookup(completion->recording, job_id);
    if (fc_cond_wait(ended, until) != FC_WAKE_OK) return;
  }
}

static fc_write *record_write(const fc_cluster *cluster, const fc_job *job, fc_job_phase phase, const uint8_t *done) {
  return fc_job_record_write(cluster, job, phase, done, job->record.handed_to, &job->record.origin);
}

/* Builds the write of the completions, and sets *count to the number of tasks that are done. Returns NULL if there are
 * no new ones, or none of them fits into the record until more tasks have ended. Tasks that are not recorded stay in
 * the lists of their workers. */
static fc_write *prepare_write(const fc_cluster *cluster, const fc_job *job, uint32_t *count) {
  size_t bytes = fc_task_bitmap_bytes(job->spec.tasks);
  uint8_t *ended = g_malloc0(bytes), *fitting = g_malloc0(bytes);
  fc_write *write = NULL;
  if (collect_done(job, ended)) {
    *count = fc_task_bitmap_count(ended, job->spec.tasks);
    if (*count == job->spec.tasks) {
      write = record_write(cluster, job, FC_PHASE_DONE, ended);
    } else if (fc_job_record_fit_completions(cluster, job, ended, fitting)) {
      write = record_write(cluster, job, FC_PHASE_ACCEPTED, fitting);
    }
  }
  g_free(ended);
  g_free(fitting);
  return write;
}

/* Writes the completions so far. Returns false if there is nothing to write. */
static bool write_completions(fc_task_completion *completion, const char *job_id) {
  const fc_job *job = fc_cluster_find_job(completion->cluster, job_id);
  if (!job || job->phase != FC_PHASE_ACCEPTED || fc_routine_cancelled()) return false;
  uint32_t count = 0;
  fc_write *write = prepare_write(completion->cluster, job, &count);
  if (!write) return false;
  uint64_t revision = 0;
  fc_kv_result result = fc_group_commit_write(completion->commit, write, FC_WRITE_PRIORITY_HEARTBEAT,
                                              fc_now() + WRITE_TIMEOUT_S, &revision);
  if (result == FC_KV_OK) {
    g_debug("recorded completions job=%s done=%u", job_id, count);
  } else {
    (void)fc_routine_sleep(g_random_double_range(RETRY_MIN_S, RETRY_MAX_S));
  }
  fc_kv_watch_wait_outcome(completion->watch, result, revision, fc_now() + OUTCOME_TIMEOUT_S);
  return true;
}

/* Marks the tasks whose ends are recorded, which their workers may now forget. */
static void mark_recorded(const fc_job *job) {
  for (guint i = 0; i < job->placements->len; i++) {
    fc_placement *placement = job->placements->pdata[i];
    if (placement->status.state == FC_TASK_EXITED &&
        (job->phase != FC_PHASE_ACCEPTED || fc_job_task_done(job, placement->index)))
      placement->end_recorded = true;
  }
}

/* Routine that records the completions of one job until none is left to be written. */
static void run_recording(void *arg) {
  const recording_routine routine = *(recording_routine *)arg;
  g_free(arg);
  fc_task_completion *completion = routine.completion;
  fc_metrics_enter_duty(completion->metrics, FC_DUTY_COMMITS);
  do {
    wait_for_batch(completion, routine.job_id);
  } while (write_completions(completion, routine.job_id));
  g_hash_table_remove(completion->recording, routine.job_id);
  const fc_job *job = fc_cluster_find_job(completion->cluster, routine.job_id);
  if (job) mark_recorded(job);
}

void fc_task_completion_record(fc_task_completion *completion, const char *job_id) {
  fc_cond *ended = g_hash_table_lookup(completion->recording, job_id);
  if (ended) {
    fc_cond_broadcast(ended);
    return;
  }
  recording_routine *routine = g_new0(recording_routine, 1);
  routine->completion = completion;
  g_strlcpy(routine->job_id, job_id, sizeof routine->job_id);
  g_hash_table_insert(completion->recording, g_strdup(job_id), g_new0(fc_cond, 1));
  if (!fc_routine_spawn(run_recording, routine)) {
    g_hash_table_remove(completion->recording, job_id);
    g_free(routine);
  }
}

void fc_task_completion_update(fc_task_completion *completion, fc_placement *placement) {
  if (placement->status.state != FC_TASK_EXITED || placement->end_recorded) return;
  const fc_cluster *cluster = completion->cluster;
  const fc_job *job = placement->job;
  bool done = is_done(placement);
  if (done && job && job->phase == FC_PHASE_ACCEPTED && !fc_job_task_done(job, placement->index)) {
    fc_task_completion_record(completion, placement->job_id);
    return;
  }
  /* A job that is missing in the cluster state has ended, if the store has been read since the placement was made. */
  if (done && !job && placement->created_at + cluster->settings->heartbeat_s >= cluster->sync.read_at) return;
  placement->end_recorded = true;
}

void fc_task_completion_record_unlisted(fc_task_completion *completion) {
  GHashTableIter iter;
  gpointer id;
  g_hash_table_iter_init(&iter, completion->cluster->unlisted_completions);
  while (g_hash_table_iter_next(&iter, &id, NULL)) fc_task_completion_record(completion, id);
}
