#include "bookkeeping/dependencies.h"

#include <math.h>
#include <string.h>

bool fc_job_dependencies_met(const fc_job *job) {
  return job->dependencies.unmet == 0;
}

bool fc_job_runnable(const fc_job *job) {
  return job->phase == FC_PHASE_ACCEPTED && fc_job_dependencies_met(job);
}

double fc_job_latest_start(const fc_job *job) {
  return job->queue.due_at - job->spec.estimate_s;
}

const char *fc_job_unknown_dependency(const fc_job *job) {
  for (guint i = 0; job->dependencies.list && i < job->dependencies.list->len; i++) {
    const fc_dependency *dependency = job->dependencies.list->pdata[i];
    if (dependency->state == FC_DEPENDENCY_UNKNOWN) return dependency->id;
  }
  return NULL;
}

static fc_dependency *awaited_of(const fc_cluster *cluster, const char *id) {
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

static fc_dependency *awaited_get(fc_cluster *cluster, const char *id) {
  fc_dependency *dependency = awaited_of(cluster, id);
  if (dependency) return dependency;
  dependency = g_new0(fc_dependency, 1);
  g_strlcpy(dependency->id, id, sizeof dependency->id);
  dependency->state = state_of_id(cluster, id);
  dependency->dependents = g_ptr_array_new();
  g_hash_table_insert(cluster->dependencies.by_id, dependency->id, dependency);
  return dependency;
}

/* ---- priority and deadline ---- */

static double own_due(const fc_job *job) {
  return job->spec.deadline_s < 0 ? INFINITY : job->lifecycle.submitted_at + job->spec.deadline_s;
}

/* Takes over what the dependent asks of the job. True: it asks for more than was known. */
static bool raise_to(fc_job *job, const fc_job *dependent) {
  if (dependent->phase != FC_PHASE_ACCEPTED) return false;
  double due = fc_job_latest_start(dependent);
  if (dependent->queue.priority <= job->queue.priority && due >= job->queue.due_at) return false;
  job->queue.priority = MAX(job->queue.priority, dependent->queue.priority);
  job->queue.due_at = MIN(job->queue.due_at, due);
  return true;
}

/* Works out anew what a job inherits from all its dependents. True: it has changed. */
static bool inherit_anew(const fc_cluster *cluster, fc_job *job) {
  fc_priority rank = job->queue.priority;
  double due = job->queue.due_at;
  job->queue.priority = job->spec.priority;
  job->queue.due_at = own_due(job);
  const fc_dependency *dependency = awaited_of(cluster, job->spec.id);
  for (guint i = 0; dependency && i < dependency->dependents->len; i++)
    (void)raise_to(job, dependency->dependents->pdata[i]);
  return job->queue.priority != rank || job->queue.due_at != due;
}

/* The open job that a dependent awaits; NULL: it is over, or not in the table. */
static fc_job *open_job(const fc_cluster *cluster, const fc_dependency *dependency) {
  return dependency->state == FC_DEPENDENCY_OPEN ? fc_cluster_find_job(cluster, dependency->id) : NULL;
}

/* Passes the job's rank and deadline on to those before it, level by level, as far as they
 * change anything. */
static void raise_before(const fc_cluster *cluster, fc_job *job) {
  GQueue raised = G_QUEUE_INIT;
  g_queue_push_tail(&raised, job);
  while ((job = g_queue_pop_head(&raised))) {
    for (guint i = 0; job->dependencies.list && i < job->dependencies.list->len; i++) {
      fc_job *before = open_job(cluster, job->dependencies.list->pdata[i]);
      if (before && raise_to(before, job)) g_queue_push_tail(&raised, before);
    }
  }
}

/* The job asks for nothing any more: those before it may have inherited from it. */
static void lower_before(const fc_cluster *cluster, fc_job *job) {
  GQueue lowered = G_QUEUE_INIT;
  g_queue_push_tail(&lowered, job);
  while ((job = g_queue_pop_head(&lowered))) {
    for (guint i = 0; job->dependencies.list && i < job->dependencies.list->len; i++) {
      fc_job *before = open_job(cluster, job->dependencies.list->pdata[i]);
      if (before && inherit_anew(cluster, before)) g_queue_push_tail(&lowered, before);
    }
  }
}

/* ---- readiness and cancellation ---- */

/* Everything that the job awaited is done. Its waits begin now, and where that was seen as a
 * change inside the present term no earlier owner can have started anything of it. */
static void become_ready(fc_cluster *cluster, fc_job *job, bool fresh, double now) {
  job->queue.entered_at = now;
  job->queue.sequence = cluster->next_queue_sequence++;
  if (!fresh) return;
  job->slices.resolved = ~0u;
  fc_arrival_stats_add(&cluster->arrivals, &job->spec, now);
}

/* The job is cancelled with one that it needs. That is as final as the other's record, so it
 * counts from here on; the job's own record follows. */
static void cancel_with(fc_cluster *cluster, fc_job *job, double now) {
  job->phase = FC_PHASE_CANCELLED;
  if (!job->lifecycle.cancelled_since) job->lifecycle.cancelled_since = now;
  if (!job->lifecycle.ended_at) job->lifecycle.ended_at = now;
  g_hash_table_insert(cluster->dependencies.unrecorded_cancellations, job->spec.id, job);
  lower_before(cluster, job);
}

/* Tells the dependents of an awaited job that it is over; those that are cancelled by it are
 * added to `cancelled`. */
static void tell_dependents(fc_cluster *cluster, const fc_dependency *dependency, bool fresh, double now,
                            GQueue *cancelled) {
  for (guint i = 0; i < dependency->dependents->len; i++) {
    fc_job *job = dependency->dependents->pdata[i];
    if (dependency->state == FC_DEPENDENCY_DONE) {
      if (--job->dependencies.unmet == 0 && job->phase == FC_PHASE_ACCEPTED) become_ready(cluster, job, fresh, now);
    } else if (job->phase == FC_PHASE_ACCEPTED) {
      cancel_with(cluster, job, now);
      g_queue_push_tail(cancelled, job);
    }
  }
}

/* An awaited job's state as it is known now, and what follows from it for all that need it,
 * directly or through others. */
static void note_state(fc_cluster *cluster, const char *id, fc_dependency_state state, bool fresh, double now) {
  GQueue cancelled = G_QUEUE_INIT;
  fc_dependency *dependency = awaited_of(cluster, id);
  while (dependency) {
    if (dependency->state != state && !is_final(dependency->state)) {
      dependency->state = state;
      if (is_final(state)) tell_dependents(cluster, dependency, fresh, now, &cancelled);
    }
    /* Chains may be long: no recursion. */
    const fc_job *next = g_queue_pop_head(&cancelled);
    for (dependency = NULL; next && !(dependency = awaited_of(cluster, next->spec.id));
         next = g_queue_pop_head(&cancelled)) {
    }
    state = FC_DEPENDENCY_CANCELLED;
  }
}

static void link_awaited(fc_cluster *cluster, fc_job *job, double now) {
  job->dependencies.list = g_ptr_array_new();
  bool cancelled = false;
  for (char **id = job->spec.awaits; *id; id++) {
    fc_dependency *dependency = awaited_get(cluster, *id);
    g_ptr_array_add(dependency->dependents, job);
    g_ptr_array_add(job->dependencies.list, dependency);
    job->dependencies.unmet += dependency->state != FC_DEPENDENCY_DONE;
    cancelled |= dependency->state == FC_DEPENDENCY_CANCELLED;
  }
  if (cancelled && job->phase == FC_PHASE_ACCEPTED) cancel_with(cluster, job, now);
  raise_before(cluster, job);
}

static void unlink_awaited(fc_cluster *cluster, fc_job *job) {
  GPtrArray *awaits = job->dependencies.list;
  if (!awaits) return;
  for (guint i = 0; i < awaits->len; i++)
    (void)g_ptr_array_remove_fast(((fc_dependency *)awaits->pdata[i])->dependents, job);
  lower_before(cluster, job);
  for (guint i = 0; i < awaits->len; i++) {
    const fc_dependency *dependency = awaits->pdata[i];
    if (dependency->dependents->len == 0) g_hash_table_remove(cluster->dependencies.by_id, dependency->id);
  }
  g_ptr_array_free(awaits, TRUE);
  job->dependencies.list = NULL;
  job->dependencies.unmet = 0;
}

/* Does one of the jobs that it awaits stand as cancelled? */
static bool awaits_cancelled(const fc_job *job) {
  for (guint i = 0; i < job->dependencies.list->len; i++)
    if (((const fc_dependency *)job->dependencies.list->pdata[i])->state == FC_DEPENDENCY_CANCELLED) return true;
  return false;
}

void fc_dependencies_apply(fc_cluster *cluster, fc_job *job, bool fresh, double now) {
  bool waited = job->dependencies.unmet > 0;
  if (job->record.phase != FC_PHASE_ACCEPTED || !job->spec.awaits) {
    /* Its own record decides: it is over, or was written when all before it were done. */
    unlink_awaited(cluster, job);
    g_hash_table_remove(cluster->dependencies.unrecorded_cancellations, job->spec.id);
    if (waited && job->phase == FC_PHASE_ACCEPTED) become_ready(cluster, job, fresh, now);
  } else if (!job->dependencies.list) {
    link_awaited(cluster, job, now);
  } else if (job->phase == FC_PHASE_ACCEPTED && awaits_cancelled(job)) {
    cancel_with(cluster, job, now);
  }
  (void)inherit_anew(cluster, job);
  raise_before(cluster, job);
  note_state(cluster, job->spec.id, state_of_job(job), fresh, now);
}

void fc_dependencies_remove(fc_cluster *cluster, fc_job *job) {
  unlink_awaited(cluster, job);
  g_hash_table_remove(cluster->dependencies.unrecorded_cancellations, job->spec.id);
  /* A final state stays known; otherwise its end was missed, and is looked up. */
  note_state(cluster, job->spec.id, FC_DEPENDENCY_UNKNOWN, false, 0);
}

void fc_dependencies_learn(fc_cluster *cluster, const char *id, fc_dependency_state state, double now) {
  fc_job *job = fc_cluster_find_job(cluster, id);
  if (job && state == FC_DEPENDENCY_CANCELLED) lower_before(cluster, job);
  note_state(cluster, id, state, false, now);
}

bool fc_dependencies_has_dependents(const fc_cluster *cluster, const char *id) {
  return awaited_of(cluster, id) != NULL;
}

unsigned fc_dependencies_blocked_count(const fc_cluster *cluster) {
  unsigned n = 0;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, cluster->jobs);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    const fc_job *job = value;
    n += job->phase == FC_PHASE_ACCEPTED && !fc_job_dependencies_met(job);
  }
  return n;
}

GPtrArray *fc_dependencies_unknown(const fc_cluster *cluster, guint most) {
  GPtrArray *ids = g_ptr_array_new_with_free_func(g_free);
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, cluster->dependencies.by_id);
  while (ids->len < most && g_hash_table_iter_next(&it, NULL, &value)) {
    const fc_dependency *dependency = value;
    if (dependency->state == FC_DEPENDENCY_UNKNOWN) g_ptr_array_add(ids, g_strdup(dependency->id));
  }
  return ids;
}

GPtrArray *fc_dependencies_unrecorded(const fc_cluster *cluster, int member, guint most) {
  GPtrArray *ids = g_ptr_array_new_with_free_func(g_free);
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, cluster->dependencies.unrecorded_cancellations);
  while (ids->len < most && g_hash_table_iter_next(&it, NULL, &value)) {
    const fc_job *job = value;
    if (fc_job_slice_owner(job, 0) == member) g_ptr_array_add(ids, g_strdup(job->spec.id));
  }
  return ids;
}
