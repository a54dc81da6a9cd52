#include "bookkeeping/job_state.h"

#include <string.h>

void fc_job_free(gpointer freed) {
  fc_job *job = freed;
  fc_job_spec_clear(&job->spec);
  g_free(job->completion.bitmap);
  for (unsigned i = 0; i < FC_SLICES_MAX; i++) g_free(job->record.handed_to[i]);
  g_ptr_array_free(job->placements, TRUE);
  if (job->failures.machines) g_hash_table_destroy(job->failures.machines);
  if (job->dependencies.list) g_ptr_array_free(job->dependencies.list, TRUE);
  g_free(job);
}

void fc_dependency_free(gpointer freed) {
  fc_dependency *dependency = freed;
  g_ptr_array_free(dependency->dependents, TRUE);
  g_free(dependency);
}

bool fc_job_task_done(const fc_job *job, uint32_t index) {
  return fc_task_bitmap_has(job->completion.bitmap, index);
}

unsigned fc_job_slice_of(const fc_job *job, uint32_t index) {
  return (unsigned)((uint64_t)index * job->slices.count / job->spec.tasks);
}

int fc_job_slice_owner(const fc_job *job, unsigned slice) {
  return job->slices.owner[slice];
}

bool fc_job_owned_by(const fc_job *job, int member) {
  return member >= 0 && (job->slices.owner_mask >> member & 1);
}

fc_job_status fc_job_status_of(const fc_job *job, uint32_t *running) {
  *running = 0;
  for (guint i = 0; i < job->placements->len; i++) {
    const fc_placement *placement = job->placements->pdata[i];
    if (placement->status.state == FC_TASK_RUNNING || placement->status.state == FC_TASK_SAVING) ++*running;
  }
  if (job->phase == FC_PHASE_DONE) return FC_STATUS_DONE;
  if (job->phase == FC_PHASE_CANCELLED) return FC_STATUS_CANCELLED;
  return *running > 0 ? FC_STATUS_RUNNING : FC_STATUS_PENDING;
}

bool fc_job_spec_allows(const fc_job_spec *spec, const char *type, const char *zone, bool spot) {
  if (spot && !spec->spot) return false;
  if (spec->zone && strcmp(spec->zone, zone) != 0) return false;
  if (!spec->types) return true;
  for (char **allowed = spec->types; *allowed; allowed++)
    if (strcmp(*allowed, type) == 0) return true;
  return false;
}

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
  const GPtrArray *list = job->dependencies.list;
  for (guint i = 0; list && i < list->len; i++) {
    const fc_dependency *dependency = list->pdata[i];
    if (dependency->state == FC_DEPENDENCY_UNKNOWN) return dependency->id;
  }
  return NULL;
}
