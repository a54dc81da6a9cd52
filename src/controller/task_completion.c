/* Completed tasks: written to the job's record, batched, before they are cleared from
 * their machines. */
#include <string.h>

#include "bookkeeping/cluster_machines.h"
#include "controller/controller.h"
#include "scheduler/pending_tasks.h"

typedef struct record_arg {
  fc_controller *c;
  char id[32];
} record_arg;

/* The finished tasks of a job that its record does not show yet. */
static bool unrecorded(const fc_job *job, uint8_t *bits) {
  bool any = false;
  memcpy(bits, job->completion.bitmap, (job->spec.tasks + 7) / 8);
  for (guint i = 0; i < job->placements->len; i++) {
    const fc_placement *placement = job->placements->pdata[i];
    if (placement->status.state != FC_TASK_EXITED || placement->status.cause != FC_CAUSE_DONE ||
        placement->index >= job->spec.tasks)
      continue;
    if (fc_job_task_done(job, placement->index)) continue;
    bits[placement->index / 8] |= (uint8_t)(1u << (placement->index % 8));
    any = true;
  }
  /* A gang completes together: if one task is done, all are. Waiting for each
   * task's own report left a gang open for ever when a machine was lost between
   * (fault test, seed 23): the rest could not start as a gang again. */
  if (any && job->spec.kind == FC_JOB_GANG)
    for (uint32_t i = 0; i < job->spec.tasks; i++) bits[i / 8] |= (uint8_t)(1u << (i % 8));
  return any;
}

/* Is anything of our slices still to come? */
static bool more_to_come(const fc_controller *controller, const fc_job *job) {
  if (job->spec.kind == FC_JOB_GANG) return false; /* its tasks complete together */
  for (guint i = 0; i < job->placements->len; i++) {
    const fc_placement *placement = job->placements->pdata[i];
    if (fc_placement_active(placement) && fc_machine_owned_by_self(controller->cluster, placement->machine))
      return true;
  }
  return fc_job_has_pending_tasks(job, controller->cluster->membership.self);
}

#define ENDS_SHARE 0.25   /* of our write rate, for ends that nobody waits for */
#define GATHER_LEASES 2.0 /* they are gathered for no longer than so many worker leases */

/* How long ends are gathered before they are written: for a round, or as long as it takes to
 * keep to their part of the write rate. With fifty arrays that ran they took all of it, and
 * users' submissions were refused for minutes. */
static double gather_time(const fc_controller *controller) {
  double jobs = g_hash_table_size(controller->recording);
  double spacing = jobs / (fc_group_commit_rate(controller->commit) * ENDS_SHARE);
  return CLAMP(spacing, controller->settings->op.round_s, controller->settings->lease_s * GATHER_LEASES);
}

/* Waits for more ends of the job: an array of 150 would be written 150 times. The last ones
 * are written at once: somebody waits to be told, and jobs that await this one to be started. */
static void gather_ends(fc_controller *controller, const char *id) {
  double until = fc_now() + gather_time(controller) * g_random_double_range(0.75, 1.25);
  for (;;) {
    const fc_job *job = fc_cluster_find_job(controller->cluster, id);
    if (!job || job->phase != FC_PHASE_ACCEPTED || !more_to_come(controller, job)) return;
    fc_cond *ended = g_hash_table_lookup(controller->recording, id);
    if (fc_cond_wait(ended, until) != FC_WAKE_OK) return;
  }
}

/* The write of what has ended; NULL: nothing has, or nothing of it has room in the record
 * before more has ended. Tasks that are not recorded stay on their machines. */
static fc_write *ends_write(const fc_controller *controller, const fc_job *job, uint32_t *count) {
  size_t bytes = (job->spec.tasks + 7) / 8;
  uint8_t *ended = g_malloc0(bytes), *done = g_malloc0(bytes);
  fc_write *write = NULL;
  if (unrecorded(job, ended)) {
    for (uint32_t i = 0; i < job->spec.tasks; i++) *count += ended[i / 8] >> (i % 8) & 1;
    fc_job_phase phase = *count == job->spec.tasks ? FC_PHASE_DONE : FC_PHASE_ACCEPTED;
    write = fc_job_record_write(controller->cluster, job, job->record.version, phase, ended, job->record.handed_to,
                                &job->record.origin);
    if (!write && phase == FC_PHASE_ACCEPTED && fc_job_record_fit_completions(controller->cluster, job, ended, done))
      write = fc_job_record_write(controller->cluster, job, job->record.version, phase, done, job->record.handed_to,
                                  &job->record.origin);
  }
  g_free(ended);
  g_free(done);
  return write;
}

static void record_main(void *arg) {
  record_arg a = *(record_arg *)arg;
  g_free(arg);
  fc_controller *controller = a.c;
  fc_metrics_enter_duty(controller->metrics, FC_DUTY_COMMITS);
  for (;;) {
    gather_ends(controller, a.id);
    fc_job *job = fc_cluster_find_job(controller->cluster, a.id);
    if (!job || job->phase != FC_PHASE_ACCEPTED || fc_routine_cancelled()) break;
    uint32_t count = 0;
    fc_write *write = ends_write(controller, job, &count);
    if (!write) break;
    uint64_t revision = 0;
    fc_kv_result res =
        fc_group_commit_write(controller->commit, write, FC_WRITE_PRIORITY_HEARTBEAT, fc_now() + 10.0, &revision);
    if (res == FC_KV_OK) {
      g_debug("recorded job=%s done=%u", a.id, count);
      (void)fc_kv_watch_wait_revision(controller->watch, revision, fc_now() + 2.0);
    } else {
      (void)fc_routine_sleep(g_random_double_range(0.05, 0.2));
      (void)fc_kv_watch_wait_fresh(controller->watch, fc_now() + 2.0);
    }
  }
  g_hash_table_remove(controller->recording, a.id);
  /* What is recorded now can be cleared from its machine. */
  fc_job *job = fc_cluster_find_job(controller->cluster, a.id);
  for (guint i = 0; job && i < job->placements->len; i++) {
    fc_placement *placement = job->placements->pdata[i];
    if (placement->status.state == FC_TASK_EXITED &&
        (job->phase != FC_PHASE_ACCEPTED || fc_job_task_done(job, placement->index)))
      placement->end_recorded = true;
  }
}

void fc_workers_record(fc_controller *controller, const char *job_id) {
  fc_cond *ended = g_hash_table_lookup(controller->recording, job_id);
  if (ended) {
    fc_cond_broadcast(ended);
    return;
  }
  record_arg *a = g_new0(record_arg, 1);
  a->c = controller;
  g_strlcpy(a->id, job_id, sizeof a->id);
  g_hash_table_insert(controller->recording, g_strdup(job_id), g_new0(fc_cond, 1));
  if (!fc_routine_spawn(record_main, a)) {
    g_hash_table_remove(controller->recording, job_id);
    g_free(a);
  }
}
