#include "bookkeeping/dependencies.h"

#include <math.h>
#include <string.h>

static fc_dependency *find_dependency(const fc_cluster *cluster, const char *id) {
  return g_hash_table_lookup(cluster->dependencies.by_id, id);
}

static bool is_final(fc_dependency_state state) {
  return state == FC_DEPENDENCY_DONE || state == FC_DEPENDENCY_CANCELLED;
}

static fc_dependency_state state_of_job(const fc_job *job) {
  if (job->phase == FC_PHASE_DONE) return FC_DEPENDENCY_DONE;
  return job->phase == FC_PHASE_CANCELLED ? FC_DEPENDENCY_CANCELLED : FC_DEPENDENCY_OPEN;
}

static fc_dependency_state state_of_id(const fc_cluster *cluster, const char *id) {
  const fc_job *job = fc_cluster_find_job(cluster, id);
  if (job) return state_of_job(job);
  return fc_cluster_is_cancelled(cluster, id) ? FC_DEPENDENCY_CANCELLED : FC_DEPENDENCY_UNKNOWN;
}

static fc_dependency *ensure_dependency(fc_cluster *cluster, const char *id) {
  fc_dependency *dependency = find_dependency(cluster, id);
  if (dependency) return dependency;
  dependency = g_new0(fc_dependency, 1);
  g_strlcpy(dependency->id, id, sizeof dependency->id);
  dependency->state = state_of_id(cluster, id);
  dependency->dependents = g_ptr_array_new();
  g_hash_table_insert(cluster->dependencies.by_id, dependency->id, dependency);
  return dependency;
}

/* ---- inherited priority and deadline ---- */

static double own_due_at(const fc_job *job) {
  return job->spec.deadline_s < 0 ? INFINITY : job->lifecycle.submitted_at + job->spec.deadline_s;
}

/* Lets the job inherit from a dependent. Returns whether the job changed. */
static bool inherit_from(fc_job *job, const fc_job *dependent) {
  if (dependent->phase != FC_PHASE_ACCEPTED) return false;
  double due_at = fc_job_latest_start(dependent);
  if (dependent->queue.priority <= job->queue.priority && due_at >= job->queue.due_at) return false;
  job->queue.priority = MAX(job->queue.priority, dependent->queue.priority);
  job->queue.due_at = MIN(job->queue.due_at, due_at);
  return true;
}

/* Recomputes what a job inherits from all its dependents. Returns whether that changed. */
static bool recompute_inherited(const fc_cluster *cluster, fc_job *job) {
  fc_priority old_priority = job->queue.priority;
  double old_due_at = job->queue.due_at;
  job->queue.priority = job->spec.priority;
  job->queue.due_at = own_due_at(job);
  const fc_dependency *self = find_dependency(cluster, job->spec.id);
  for (guint i = 0; self && i < self->dependents->len; i++) (void)inherit_from(job, self->dependents->pdata[i]);
  return job->queue.priority != old_priority || job->queue.due_at != old_due_at;
}

/* NULL: that job has ended or is unknown. */
static fc_job *find_open_job(const fc_cluster *cluster, const fc_dependency *dependency) {
  return dependency->state == FC_DEPENDENCY_OPEN ? fc_cluster_find_job(cluster, dependency->id) : NULL;
}

/* Updates what `job` inherits after `dependent`, one of its dependents, changed or was removed.
 * Returns whether the job changed. */
typedef bool (*inherit_fn)(const fc_cluster *cluster, fc_job *job, const fc_job *dependent);

static bool inherit_from_dependent(const fc_cluster *cluster, fc_job *job, const fc_job *dependent) {
  (void)cluster;
  return inherit_from(job, dependent);
}

static bool recompute_without_dependent(const fc_cluster *cluster, fc_job *job, const fc_job *dependent) {
  (void)dependent;
  return recompute_inherited(cluster, job);
}

/* Propagates a change to the jobs that `job` depends on, transitively, as long as it has an effect.
 * Iterative, as chains may be long. */
static void propagate(const fc_cluster *cluster, fc_job *job, inherit_fn inherit) {
  GQueue changed = G_QUEUE_INIT;
  g_queue_push_tail(&changed, job);
  while ((job = g_queue_pop_head(&changed))) {
    const GPtrArray *list = job->dependencies.list;
    for (guint i = 0; list && i < list->len; i++) {
      fc_job *dependency = find_open_job(cluster, list->pdata[i]);
      if (dependency && inherit(cluster, dependency, job)) g_queue_push_tail(&changed, dependency);
    }
  }
}

/* ---- readiness and cancellation ---- */

/* Queues a job whose dependencies are all done. If this was read as a change within the current
 * term, no earlier owner can have started any of its tasks. */
static void enqueue_ready_job(fc_cluster *cluster, fc_job *job, bool fresh, double now) {
  job->queue.entered_at = now;
  job->queue.sequence = cluster->next_queue_sequence++;
  if (!fresh) return;
  job->slices.resolved = FC_ALL_SLICES;
  fc_arrival_stats_add(&cluster->arrivals, &job->spec, now);
}

/* Cancels a job because of a dependency. This is as final as the record of the dependency, so it
 * applies immediately; the job's own record is written later. */
static void cancel_dependent(fc_cluster *cluster, fc_job *job, double now) {
  job->phase = FC_PHASE_CANCELLED;
  if (!job->lifecycle.cancelled_since) job->lifecycle.cancelled_since = now;
  if (!job->lifecycle.ended_at) job->lifecycle.ended_at = now;
  g_hash_table_insert(cluster->dependencies.unrecorded_cancellations, job->spec.id, job);
  propagate(cluster, job, recompute_without_dependent);
}

/* Updates the dependents of a job that has ended; those cancelled by it are added to `cancelled`. */
static void notify_dependents(fc_cluster *cluster, const fc_dependency *dependency, bool fresh, double now,
                              GQueue *cancelled) {
  for (guint i = 0; i < dependency->dependents->len; i++) {
    fc_job *job = dependency->dependents->pdata[i];
    if (dependency->state == FC_DEPENDENCY_DONE) {
      if (--job->dependencies.unmet == 0 && job->phase == FC_PHASE_ACCEPTED)
        enqueue_ready_job(cluster, job, fresh, now);
    } else if (job->phase == FC_PHASE_ACCEPTED) {
      cancel_dependent(cluster, job, now);
      g_queue_push_tail(cancelled, job);
    }
  }
}

/* The next job of the queue that others depend on; NULL: none. */
static fc_dependency *pop_dependency(const fc_cluster *cluster, GQueue *jobs) {
  const fc_job *job;
  while ((job = g_queue_pop_head(jobs))) {
    fc_dependency *dependency = find_dependency(cluster, job->spec.id);
    if (dependency) return dependency;
  }
  return NULL;
}

/* Sets a job's state and applies the consequences to all jobs that depend on it, transitively.
 * Iterative, as chains may be long. */
static void set_state(fc_cluster *cluster, const char *id, fc_dependency_state state, bool fresh, double now) {
  GQueue cancelled = G_QUEUE_INIT;
  fc_dependency *dependency = find_dependency(cluster, id);
  while (dependency) {
    if (dependency->state != state && !is_final(dependency->state)) {
      dependency->state = state;
      if (is_final(state)) notify_dependents(cluster, dependency, fresh, now, &cancelled);
    }
    dependency = pop_dependency(cluster, &cancelled);
    state = FC_DEPENDENCY_CANCELLED;
  }
}

static void link_dependencies(fc_cluster *cluster, fc_job *job, double now) {
  job->dependencies.list = g_ptr_array_new();
  bool cancelled = false;
  for (char **id = job->spec.dependencies; *id; id++) {
    fc_dependency *dependency = ensure_dependency(cluster, *id);
    g_ptr_array_add(dependency->dependents, job);
    g_ptr_array_add(job->dependencies.list, dependency);
    job->dependencies.unmet += dependency->state != FC_DEPENDENCY_DONE;
    cancelled |= dependency->state == FC_DEPENDENCY_CANCELLED;
  }
  if (cancelled && job->phase == FC_PHASE_ACCEPTED) cancel_dependent(cluster, job, now);
  propagate(cluster, job, inherit_from_dependent);
}

static void unlink_dependencies(fc_cluster *cluster, fc_job *job) {
  GPtrArray *list = job->dependencies.list;
  if (!list) return;
  for (guint i = 0; i < list->len; i++)
    (void)g_ptr_array_remove_fast(((fc_dependency *)list->pdata[i])->dependents, job);
  propagate(cluster, job, recompute_without_dependent);
  for (guint i = 0; i < list->len; i++) {
    const fc_dependency *dependency = list->pdata[i];
    if (dependency->dependents->len == 0) g_hash_table_remove(cluster->dependencies.by_id, dependency->id);
  }
  g_ptr_array_free(list, TRUE);
  job->dependencies.list = NULL;
  job->dependencies.unmet = 0;
}

static bool has_cancelled_dependency(const fc_job *job) {
  const GPtrArray *list = job->dependencies.list;
  for (guint i = 0; i < list->len; i++)
    if (((const fc_dependency *)list->pdata[i])->state == FC_DEPENDENCY_CANCELLED) return true;
  return false;
}

void fc_dependencies_apply(fc_cluster *cluster, fc_job *job, bool fresh, double now) {
  bool was_blocked = job->dependencies.unmet > 0;
  if (job->record.phase != FC_PHASE_ACCEPTED || !job->spec.dependencies) {
    /* Its own record decides: it has ended, or the record was written after all dependencies were
     * done. */
    unlink_dependencies(cluster, job);
    g_hash_table_remove(cluster->dependencies.unrecorded_cancellations, job->spec.id);
    if (was_blocked && job->phase == FC_PHASE_ACCEPTED) enqueue_ready_job(cluster, job, fresh, now);
  } else if (!job->dependencies.list) {
    link_dependencies(cluster, job, now);
  } else if (job->phase == FC_PHASE_ACCEPTED && has_cancelled_dependency(job)) {
    cancel_dependent(cluster, job, now);
  }
  (void)recompute_inherited(cluster, job);
  propagate(cluster, job, inherit_from_dependent);
  set_state(cluster, job->spec.id, state_of_job(job), fresh, now);
}

void fc_dependencies_remove(fc_cluster *cluster, fc_job *job) {
  unlink_dependencies(cluster, job);
  g_hash_table_remove(cluster->dependencies.unrecorded_cancellations, job->spec.id);
  /* A final state is retained; otherwise the job's end was missed and has to be looked up. */
  set_state(cluster, job->spec.id, FC_DEPENDENCY_UNKNOWN, false, 0);
}

void fc_dependencies_apply_state(fc_cluster *cluster, const char *id, fc_dependency_state state, double now) {
  fc_job *job = fc_cluster_find_job(cluster, id);
  if (job && state == FC_DEPENDENCY_CANCELLED) propagate(cluster, job, recompute_without_dependent);
  set_state(cluster, id, state, false, now);
}

bool fc_dependencies_has_dependents(const fc_cluster *cluster, const char *id) {
  return find_dependency(cluster, id) != NULL;
}

unsigned fc_dependencies_blocked_count(const fc_cluster *cluster) {
  unsigned blocked = 0;
  fc_job_iter job_iter = fc_cluster_jobs(cluster);
  for (const fc_job *job; (job = fc_job_iter_next(&job_iter));)
    blocked += job->phase == FC_PHASE_ACCEPTED && !fc_job_dependencies_met(job);
  return blocked;
}

GPtrArray *fc_dependencies_unknown(const fc_cluster *cluster, guint max) {
  GPtrArray *ids = g_ptr_array_new_with_free_func(g_free);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init(&iter, cluster->dependencies.by_id);
  while (ids->len < max && g_hash_table_iter_next(&iter, NULL, &value)) {
    const fc_dependency *dependency = value;
    if (dependency->state == FC_DEPENDENCY_UNKNOWN) g_ptr_array_add(ids, g_strdup(dependency->id));
  }
  return ids;
}

GPtrArray *fc_dependencies_unrecorded_cancellations(const fc_cluster *cluster, int member, guint max) {
  GPtrArray *ids = g_ptr_array_new_with_free_func(g_free);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init(&iter, cluster->dependencies.unrecorded_cancellations);
  while (ids->len < max && g_hash_table_iter_next(&iter, NULL, &value)) {
    const fc_job *job = value;
    if (fc_job_slice_owner(job, 0) == member) g_ptr_array_add(ids, g_strdup(job->spec.id));
  }
  return ids;
}
