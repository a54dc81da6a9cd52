/* Archives jobs that have long been over: what is needed to answer their users
 * goes to keys that no controller holds in memory, and none reads when it starts.
 * Otherwise memory, and the time to start, would grow with every job there ever was. */
#include "bookkeeping/dependencies.h"
#include "controller/controller.h"

#define WRITES_SHARE 0.5 /* of the write rate, at most */
#define JOB_WRITES 2     /* a job leaves one key and comes to another */

fc_lookup fc_archive_find(fc_controller *controller, const char *id, double deadline, fc_archived_job *out) {
  /* The mark was there before the first job was archived. */
  if (!controller->cluster->archive_in_use) return FC_NOT_THERE;
  /* Users of jobs that are over ask as often as others: with the fixed part of the rate alone,
   * ninety such jobs were answered too rarely (fault test with pipelines, seed 15). */
  if (!fc_token_bucket_take(&controller->lookup_budget, 1, 0, fc_now()) &&
      !fc_group_commit_take_spare_request(controller->commit))
    return FC_NOT_SURE;
  char *key = g_strconcat(FC_PREFIX_ARCHIVED, id, NULL);
  json_t *value = NULL;
  fc_kv_result result = fc_kv_get(controller->kv, key, deadline, &value);
  g_free(key);
  fc_lookup found = FC_NOT_SURE;
  if (result == FC_KV_GONE) found = FC_NOT_THERE;
  if (result == FC_KV_OK && fc_archived_job_decode(value, out)) found = FC_FOUND;
  json_decref(value);
  return found;
}

static bool set_mark(fc_controller *controller) {
  fc_write *write = fc_write_new();
  fc_write_compare(write, FC_KEY_ARCHIVE, 0);
  fc_write_put(write, FC_KEY_ARCHIVE, fc_mark_encode());
  uint64_t revision = 0;
  fc_kv_result result = fc_group_commit_write(controller->commit, write, FC_WRITE_PRIORITY_MAINTENANCE,
                                              fc_now() + controller->settings->lease_s, &revision);
  if (result == FC_KV_OK)
    return fc_kv_watch_wait_revision(controller->watch, revision, fc_now() + controller->settings->heartbeat_s);
  (void)fc_kv_watch_wait_fresh(controller->watch, fc_now() + controller->settings->heartbeat_s);
  return controller->cluster->archive_in_use;
}

/* In one transaction the job leaves the one place and is in the other. */
static void archive_job(fc_controller *controller, const char *id) {
  const fc_job *job = fc_cluster_find_job(controller->cluster, id);
  if (!job || job->phase == FC_PHASE_ACCEPTED || !fc_leadership_held(controller->leadership)) return;
  char *from = g_strconcat(FC_PREFIX_JOB, id, NULL), *to = g_strconcat(FC_PREFIX_ARCHIVED, id, NULL);
  fc_archived_job archived = {.done = job->phase == FC_PHASE_DONE, .tasks_done = job->completion.count};
  fc_write *write = fc_write_new();
  fc_write_compare(write, from, job->record.version);
  fc_write_compare(write, to, 0);
  fc_write_put(write, to, fc_archived_job_encode(&archived));
  fc_write_delete(write, from);
  g_free(from);
  g_free(to);
  (void)fc_group_commit_write(controller->commit, write, FC_WRITE_PRIORITY_MAINTENANCE,
                              fc_now() + controller->settings->lease_s, NULL);
}

/* Ours (the first slice's owner does it), long over, with nothing left of them. */
static GPtrArray *long_over(fc_controller *controller, guint most) {
  GPtrArray *ids = g_ptr_array_new_with_free_func(g_free);
  double before = fc_now() - controller->settings->op.over_keep_s;
  fc_job_iter job_iter = fc_cluster_jobs(controller->cluster);
  for (const fc_job *job; ids->len < most && (job = fc_job_iter_next(&job_iter));) {
    if (!job->lifecycle.ended_at || job->lifecycle.ended_at > before || job->placements->len > 0) continue;
    /* Those that await it read from its record that it is over. */
    if (fc_dependencies_has_dependents(controller->cluster, job->spec.id)) continue;
    if (fc_job_slice_owner(job, 0) == controller->cluster->membership.self)
      g_ptr_array_add(ids, g_strdup(job->spec.id));
  }
  return ids;
}

void fc_archive_main(void *arg) {
  fc_controller *controller = arg;
  fc_metrics_enter_duty(controller->metrics, FC_DUTY_COMMITS);
  double pause = controller->settings->op.round_s * 2.5;
  while (!fc_routine_cancelled()) {
    if (fc_routine_sleep(pause) == FC_WAKE_CANCELLED) break;
    if (!fc_leadership_held(controller->leadership) || !fc_cluster_store_reachable(controller->cluster, fc_now()))
      continue;
    /* By the rate and not by what a transaction holds: with few changes in each, jobs came
     * faster than they were archived. */
    GPtrArray *ids = long_over(
        controller, (guint)MAX(1, fc_group_commit_rate(controller->commit) * pause * WRITES_SHARE / JOB_WRITES));
    bool may = ids->len > 0 && (controller->cluster->archive_in_use || set_mark(controller));
    /* None while others wait. */
    for (guint i = 0; may && i < ids->len && fc_group_commit_backlog(controller->commit) == 0; i++)
      archive_job(controller, ids->pdata[i]);
    g_ptr_array_free(ids, TRUE);
  }
}
