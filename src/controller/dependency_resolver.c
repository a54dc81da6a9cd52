#include "controller/dependency_resolver.h"

#include "bookkeeping/dependencies.h"
#include "bookkeeping/record_writes.h"

#define PAUSE_HEARTBEATS 0.25 /* between two passes */
#define LOOKUP_TIMEOUT_HEARTBEATS 0.5
#define PASS_MAX 16u /* look-ups in one pass, and cancellations likewise */

struct fc_dependency_resolver {
  fc_cluster *cluster;
  fc_kv_watch *watch;
  fc_group_commit *commit;
  const fc_leadership *leadership;
  fc_archive_lookup *archive;
  fc_wakeups *wakeups;
  fc_metrics *metrics;
};

fc_dependency_resolver *fc_dependency_resolver_new(fc_cluster *cluster, fc_kv_watch *watch, fc_group_commit *commit,
                                                   const fc_leadership *leadership, fc_archive_lookup *archive,
                                                   fc_wakeups *wakeups, fc_metrics *metrics) {
  fc_dependency_resolver *resolver = g_new(fc_dependency_resolver, 1);
  *resolver = (fc_dependency_resolver){.cluster = cluster,
                                       .watch = watch,
                                       .commit = commit,
                                       .leadership = leadership,
                                       .archive = archive,
                                       .wakeups = wakeups,
                                       .metrics = metrics};
  return resolver;
}

/* ---- admission ---- */

/* State of one dependency, as it matters for the admission of a job. */
typedef enum {
  DEPENDENCY_OPEN,
  DEPENDENCY_DONE,
  DEPENDENCY_CANCELLED,
  DEPENDENCY_REFUSED,     /* never accepted, or a service */
  DEPENDENCY_ABSENT,      /* not in the cluster state */
  DEPENDENCY_UNAVAILABLE, /* can't be determined now */
} dependency_status;

static dependency_status status_in_cluster(const fc_cluster *cluster, const char *id) {
  const fc_job *job = fc_cluster_find_job(cluster, id);
  if (!job) return DEPENDENCY_ABSENT;
  if (job->spec.kind == FC_JOB_SERVICE) return DEPENDENCY_REFUSED;
  if (job->phase == FC_PHASE_ACCEPTED) return DEPENDENCY_OPEN;
  return job->phase == FC_PHASE_DONE ? DEPENDENCY_DONE : DEPENDENCY_CANCELLED;
}

static dependency_status status_in_archive(fc_dependency_resolver *resolver, const char *id, double deadline) {
  fc_archived_job archived;
  switch (fc_archive_lookup_find_dependency(resolver->archive, id, deadline, &archived)) {
    case FC_ARCHIVE_FOUND:
      return archived.done ? DEPENDENCY_DONE : DEPENDENCY_CANCELLED;
    case FC_ARCHIVE_MISSING:
      /* It may have been archived between the two look-ups. */
      return status_in_cluster(resolver->cluster, id) == DEPENDENCY_ABSENT ? DEPENDENCY_REFUSED
                                                                           : DEPENDENCY_UNAVAILABLE;
    default:
      return DEPENDENCY_UNAVAILABLE;
  }
}

/* *fresh: whether a read that began after the submission arrived has been applied; updated here. */
static dependency_status look_up_status(fc_dependency_resolver *resolver, const char *id, double deadline,
                                        bool *fresh) {
  const fc_cluster *cluster = resolver->cluster;
  dependency_status status = cluster->sync.loaded ? status_in_cluster(cluster, id) : DEPENDENCY_ABSENT;
  if (status == DEPENDENCY_ABSENT && !*fresh) {
    if (!fc_kv_watch_wait_fresh(resolver->watch, deadline)) return DEPENDENCY_UNAVAILABLE;
    *fresh = true;
    status = status_in_cluster(cluster, id);
  }
  return status == DEPENDENCY_ABSENT ? status_in_archive(resolver, id, deadline) : status;
}

/* Checks all dependencies, and adds the ids of those that are not done yet to `open`. */
static fc_dependency_admission check_all(fc_dependency_resolver *resolver, char *const *ids, double deadline,
                                         GPtrArray *open) {
  fc_dependency_admission admission = FC_DEPENDENCIES_ADMITTED;
  bool fresh = false;
  for (char *const *id = ids; *id; id++) {
    switch (look_up_status(resolver, *id, deadline, &fresh)) {
      case DEPENDENCY_OPEN:
        g_ptr_array_add(open, g_strdup(*id));
        break;
      case DEPENDENCY_DONE:
        break;
      case DEPENDENCY_CANCELLED:
        admission = FC_DEPENDENCIES_CANCELLED;
        break;
      case DEPENDENCY_REFUSED:
        return FC_DEPENDENCIES_REFUSED;
      default:
        return FC_DEPENDENCIES_UNAVAILABLE;
    }
  }
  return admission;
}

fc_dependency_admission fc_dependency_resolver_admit(fc_dependency_resolver *resolver, char *const *ids,
                                                     double deadline, char ***open) {
  *open = NULL;
  if (!ids) return FC_DEPENDENCIES_ADMITTED;
  GPtrArray *open_ids = g_ptr_array_new_with_free_func(g_free);
  fc_dependency_admission admission = check_all(resolver, ids, deadline, open_ids);
  if (admission == FC_DEPENDENCIES_ADMITTED && open_ids->len > 0) {
    g_ptr_array_add(open_ids, NULL);
    *open = (char **)g_ptr_array_steal(open_ids, NULL);
  }
  g_ptr_array_free(open_ids, TRUE);
  return admission;
}

/* ---- resolving ---- */

/* Looks the dependency up in the archive. Returns false if it was not found there, or the archive can't be read. */
static bool learn_archived(fc_dependency_resolver *resolver, const char *id, double deadline) {
  fc_archived_job archived;
  if (fc_archive_lookup_find_dependency(resolver->archive, id, deadline, &archived) != FC_ARCHIVE_FOUND) return false;
  fc_dependency_state state = archived.done ? FC_DEPENDENCY_DONE : FC_DEPENDENCY_CANCELLED;
  fc_dependencies_apply_state(resolver->cluster, id, state, fc_now());
  fc_wakeups_raise(resolver->wakeups, FC_WAKEUP_SCHEDULE);
  return true;
}

bool fc_dependency_resolver_resolve(fc_dependency_resolver *resolver, const char *id, double deadline) {
  for (;;) {
    const fc_job *job = fc_cluster_find_job(resolver->cluster, id);
    const char *unknown = job && job->phase == FC_PHASE_ACCEPTED ? fc_job_unknown_dependency(job) : NULL;
    if (!unknown) return true;
    char *dependency = g_strdup(unknown); /* the job, which owns the string, may be freed during the look-up */
    bool known = learn_archived(resolver, dependency, deadline);
    g_free(dependency);
    if (!known) return false;
  }
}

/* ---- the routine ---- */

/* Writes to the job's own record that it is cancelled, which so far only follows from a dependency's record. */
static void record_cancellation(fc_dependency_resolver *resolver, const char *id) {
  const fc_job *job = fc_cluster_find_job(resolver->cluster, id);
  if (!job || job->record.phase != FC_PHASE_ACCEPTED || job->phase != FC_PHASE_CANCELLED) return;
  if (!fc_leadership_held(resolver->leadership)) return;
  fc_write *write = fc_job_record_write(resolver->cluster, job, FC_PHASE_CANCELLED, job->completion.bitmap,
                                        job->record.handed_to, &job->record.origin);
  if (!write) return;
  const fc_settings *settings = resolver->cluster->settings;
  uint64_t revision = 0;
  if (fc_group_commit_write(resolver->commit, write, FC_WRITE_PRIORITY_MAINTENANCE, fc_now() + settings->lease_s,
                            &revision) == FC_KV_OK)
    (void)fc_kv_watch_wait_revision(resolver->watch, revision, fc_now() + settings->heartbeat_s);
}

static void look_up_unknown(fc_dependency_resolver *resolver) {
  GPtrArray *ids = fc_dependencies_unknown(resolver->cluster, PASS_MAX);
  double timeout_s = resolver->cluster->settings->heartbeat_s * LOOKUP_TIMEOUT_HEARTBEATS;
  for (guint i = 0; i < ids->len; i++) (void)learn_archived(resolver, ids->pdata[i], fc_now() + timeout_s);
  g_ptr_array_free(ids, TRUE);
}

static void record_cancellations(fc_dependency_resolver *resolver) {
  int self = resolver->cluster->membership.self;
  if (self < 0) return;
  GPtrArray *ids = fc_dependencies_unrecorded_cancellations(resolver->cluster, self, PASS_MAX);
  for (guint i = 0; i < ids->len; i++) record_cancellation(resolver, ids->pdata[i]);
  g_ptr_array_free(ids, TRUE);
}

static void run(void *arg) {
  fc_dependency_resolver *resolver = arg;
  fc_metrics_enter_duty(resolver->metrics, FC_DUTY_COMMITS);
  double pause_s = resolver->cluster->settings->heartbeat_s * PAUSE_HEARTBEATS;
  while (fc_routine_sleep(pause_s) != FC_WAKE_CANCELLED) {
    if (!fc_cluster_store_reachable(resolver->cluster, fc_now())) continue;
    look_up_unknown(resolver);
    record_cancellations(resolver);
  }
}

bool fc_dependency_resolver_start(fc_dependency_resolver *resolver) {
  return fc_routine_spawn(run, resolver) != NULL;
}
