#include "controller/dependency_resolver.h"

#include <string.h>

#include "bookkeeping/dependencies.h"
#include "bookkeeping/record_writes.h"

/* What one awaited job means for a submission that names it. */
typedef enum { OPEN, DONE, CANCELLED, REFUSED, ABSENT, NOT_SURE } awaited_verdict;

static awaited_verdict in_table(const fc_controller *controller, const char *id) {
  const fc_job *job = fc_cluster_find_job(controller->cluster, id);
  if (!job) return ABSENT;
  if (job->spec.kind == FC_JOB_SERVICE) return REFUSED;
  if (job->phase == FC_PHASE_ACCEPTED) return OPEN;
  return job->phase == FC_PHASE_DONE ? DONE : CANCELLED;
}

#define FOUND_MOST 1024u /* remembered; all are forgotten when there are more */

/* Finds an awaited job in the archive. What was found once stays so for good, and is kept for
 * a while: a submission that names more of them than may be looked up at once gets on with
 * each repeat. */
static fc_lookup find_archived(fc_controller *controller, const char *id, double deadline, fc_archived_job *out) {
  const fc_archived_job *known = g_hash_table_lookup(controller->archived, id);
  if (known) {
    *out = *known;
    return FC_FOUND;
  }
  fc_lookup found = fc_archive_find(controller, id, deadline, out);
  if (found != FC_FOUND) return found;
  if (g_hash_table_size(controller->archived) >= FOUND_MOST) g_hash_table_remove_all(controller->archived);
  fc_archived_job *copy = g_new(fc_archived_job, 1);
  *copy = *out;
  g_hash_table_replace(controller->archived, g_strdup(id), copy);
  return FC_FOUND;
}

static awaited_verdict in_archive(fc_controller *controller, const char *id, double deadline) {
  fc_archived_job archived;
  switch (find_archived(controller, id, deadline, &archived)) {
    case FC_FOUND:
      return archived.done ? DONE : CANCELLED;
    case FC_NOT_THERE:
      /* It may have been archived between the two looks. */
      return in_table(controller, id) == ABSENT ? REFUSED : NOT_SURE;
    default:
      return NOT_SURE;
  }
}

/* `fresh`: the table was proved current since the submission came. */
static awaited_verdict look_at(fc_controller *controller, const char *id, double deadline, bool *fresh) {
  awaited_verdict verdict = controller->cluster->sync.loaded ? in_table(controller, id) : ABSENT;
  if (verdict == ABSENT && !*fresh) {
    if (!fc_kv_watch_wait_fresh(controller->watch, deadline)) return NOT_SURE;
    *fresh = true;
    verdict = in_table(controller, id);
  }
  return verdict == ABSENT ? in_archive(controller, id, deadline) : verdict;
}

/* Looks at each; those that are not done yet are added to `open`. */
static fc_awaits_verdict look_at_all(fc_controller *controller, char *const *awaits, double deadline, GPtrArray *open) {
  fc_awaits_verdict verdict = FC_AWAITS_RESOLVED;
  bool fresh = false;
  for (char *const *id = awaits; *id; id++) {
    switch (look_at(controller, *id, deadline, &fresh)) {
      case OPEN:
        g_ptr_array_add(open, g_strdup(*id));
        break;
      case DONE:
        break;
      case CANCELLED:
        verdict = FC_AWAITS_CANCELLED;
        break;
      case REFUSED:
        return FC_AWAITS_REFUSED;
      default:
        return FC_AWAITS_NOT_SURE;
    }
  }
  return verdict;
}

fc_awaits_verdict fc_pipelines_admit(fc_controller *controller, char *const *awaits, double deadline, char ***open) {
  *open = NULL;
  if (!awaits) return FC_AWAITS_RESOLVED;
  GPtrArray *ids = g_ptr_array_new_with_free_func(g_free);
  fc_awaits_verdict verdict = look_at_all(controller, awaits, deadline, ids);
  if (verdict == FC_AWAITS_RESOLVED && ids->len > 0) {
    g_ptr_array_add(ids, NULL);
    *open = (char **)g_ptr_array_steal(ids, NULL);
  }
  g_ptr_array_free(ids, TRUE);
  return verdict;
}

/* False: the state service can't say now. */
static bool look_up(fc_controller *controller, const char *id, double deadline) {
  fc_archived_job archived;
  if (find_archived(controller, id, deadline, &archived) != FC_FOUND) return false;
  fc_dependencies_learn(controller->cluster, id, archived.done ? FC_DEPENDENCY_DONE : FC_DEPENDENCY_CANCELLED,
                        fc_now());
  fc_wakeups_raise(controller->wakeups, FC_WAKEUP_SCHEDULE);
  return true;
}

bool fc_pipelines_resolve(fc_controller *controller, const char *id, double deadline) {
  for (;;) {
    const fc_job *job = fc_cluster_find_job(controller->cluster, id);
    const char *unknown = job && job->phase == FC_PHASE_ACCEPTED ? fc_job_unknown_dependency(job) : NULL;
    if (!unknown) return true;
    char *awaited = g_strdup(unknown);
    bool known = look_up(controller, awaited, deadline);
    g_free(awaited);
    if (!known) return false;
  }
}

/* The job's own record comes to say what follows from another's. */
static void record_cancel(fc_controller *controller, const char *id) {
  const fc_job *job = fc_cluster_find_job(controller->cluster, id);
  if (!job || job->record.phase != FC_PHASE_ACCEPTED || job->phase != FC_PHASE_CANCELLED ||
      !fc_leadership_held(controller->leadership))
    return;
  fc_write *write = fc_job_record_write(controller->cluster, job, job->record.version, FC_PHASE_CANCELLED,
                                        job->completion.bitmap, job->record.handed_to, &job->record.origin);
  if (!write) return;
  uint64_t revision = 0;
  double now = fc_now();
  if (fc_group_commit_write(controller->commit, write, FC_WRITE_PRIORITY_MAINTENANCE,
                            now + controller->settings->lease_s, &revision) == FC_KV_OK)
    (void)fc_kv_watch_wait_revision(controller->watch, revision, fc_now() + controller->settings->heartbeat_s);
}

static void each_id(fc_controller *controller, GPtrArray *ids, void (*fn)(fc_controller *controller, const char *id)) {
  for (guint i = 0; i < ids->len; i++) fn(controller, ids->pdata[i]);
  g_ptr_array_free(ids, TRUE);
}

static void look_up_soon(fc_controller *controller, const char *id) {
  (void)look_up(controller, id, fc_now() + controller->settings->heartbeat_s * 0.5);
}

#define AT_ONCE_MOST 16u /* of either kind, before the other has its turn */

void fc_pipelines_main(void *arg) {
  fc_controller *controller = arg;
  fc_metrics_enter_duty(controller->metrics, FC_DUTY_COMMITS);
  while (fc_routine_sleep(controller->settings->heartbeat_s * 0.25) != FC_WAKE_CANCELLED) {
    if (!controller->cluster->sync.loaded || !fc_cluster_store_reachable(controller->cluster, fc_now())) continue;
    each_id(controller, fc_dependencies_unknown(controller->cluster, AT_ONCE_MOST), look_up_soon);
    if (controller->cluster->membership.self >= 0)
      each_id(controller,
              fc_dependencies_unrecorded(controller->cluster, controller->cluster->membership.self, AT_ONCE_MOST),
              record_cancel);
  }
}
