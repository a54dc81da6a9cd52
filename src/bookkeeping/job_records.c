#include "bookkeeping/job_records.h"

#include <math.h>
#include <string.h>

#include "bookkeeping/dependencies.h"
#include "bookkeeping/reconciliation_progress.h"
#include "bookkeeping/shard_ownership.h"

/* Links placements that were reported before the job's record was read. */
static void link_placements(fc_cluster *cluster, fc_job *job) {
  fc_machine_iter machine_iter = fc_cluster_machines(cluster);
  for (fc_machine *machine; (machine = fc_machine_iter_next(&machine_iter));) {
    for (guint i = 0; i < machine->placements->len; i++) {
      fc_placement *placement = machine->placements->pdata[i];
      if (placement->job || strcmp(placement->job_id, job->spec.id) != 0) continue;
      placement->job = job;
      g_ptr_array_add(job->placements, placement);
    }
  }
}

/* Adds a job with the immutable fields of its record. */
static fc_job *add_job(fc_cluster *cluster, const fc_job_record *record, bool fresh, double now) {
  fc_job *job = g_new0(fc_job, 1);
  job->spec = fc_job_spec_copy(&record->spec);
  job->slices.count = record->slices;
  job->slices.resolved = fresh ? FC_ALL_SLICES : 0;
  job->completion.bitmap = g_malloc0(fc_task_bitmap_bytes(job->spec.tasks));
  job->placements = g_ptr_array_new();
  job->team = fc_settings_team_index(cluster->settings, job->spec.team);
  double submitted_at = record->origin.submitted_at;
  job->lifecycle.submitted_at = submitted_at > 0 ? MIN(now, submitted_at - cluster->clock_offset_s) : now;
  job->queue.entered_at = now;
  job->queue.priority = job->spec.priority;
  job->queue.due_at = INFINITY;
  job->queue.sequence = cluster->next_queue_sequence++;
  g_hash_table_insert(cluster->jobs, job->spec.id, job);
  return job;
}

/* A record written after all dependencies were done no longer lists them. */
static void apply_dependencies(fc_job *job, const fc_job_record *record) {
  if (record->awaiting) return;
  g_strfreev(job->spec.dependencies);
  job->spec.dependencies = NULL;
}

/* Completions read before stay: a record without room may leave some out. */
static void apply_completion(fc_job *job, const char *id, const fc_job_record *record) {
  size_t bytes = fc_task_bitmap_bytes(job->spec.tasks);
  uint8_t *listed = g_malloc0(bytes);
  if (!fc_ranges_decode(record->done, listed, job->spec.tasks)) g_warning("job %s: bad ranges", id);
  job->record.completed = fc_task_bitmap_count(listed, job->spec.tasks);
  for (size_t i = 0; i < bytes; i++) job->completion.bitmap[i] |= listed[i];
  g_free(listed);
  uint32_t known = fc_task_bitmap_count(job->completion.bitmap, job->spec.tasks);
  job->completion.count = MAX(known, record->done_count);
}

/* Updates whether this controller knows of completions that the record of the accepted job does not list. */
static void update_unlisted(const fc_cluster *cluster, const fc_job *job) {
  if (job->record.phase == FC_PHASE_ACCEPTED && job->completion.count > job->record.completed) {
    g_hash_table_add(cluster->unlisted_completions, g_strdup(job->spec.id));
  } else {
    g_hash_table_remove(cluster->unlisted_completions, job->spec.id);
  }
}

static void apply_phase(const fc_cluster *cluster, fc_job *job, const char *id, fc_job_phase phase, uint64_t version,
                        double now) {
  job->phase = phase;
  job->record.phase = phase;
  /* Cancelled by a later record that has not been read yet. */
  const fc_unread_cancellation *unread = g_hash_table_lookup(cluster->unread_cancellations, id);
  if (unread && unread->revision > version) job->phase = FC_PHASE_CANCELLED;
  if (job->phase == FC_PHASE_CANCELLED && !job->lifecycle.cancelled_since)
    job->lifecycle.cancelled_since = unread ? unread->since : now;
  if (job->phase != FC_PHASE_ACCEPTED && !job->lifecycle.ended_at) job->lifecycle.ended_at = now;
}

/* Applies the recorded handovers of slices. Returns the slices whose receiver changed, one bit for
 * each. */
static unsigned apply_handovers(fc_job *job, const fc_job_record *record) {
  unsigned handed_over = 0;
  for (unsigned i = 0; i < job->slices.count; i++) {
    if (g_strcmp0(job->record.handed_to[i], record->handed_to[i]) == 0) continue;
    handed_over |= 1u << i;
    g_free(job->record.handed_to[i]);
    job->record.handed_to[i] = g_strdup(record->handed_to[i]);
  }
  return handed_over;
}

/* A member that hands over a slice knows all of its tasks. It does so only after the receiver has
 * acknowledged a view that shows which of them are on a machine, or else the record says that some
 * are on other members' machines, which are then reconciled for the receiver one by one. A third
 * member that only reads the record has no such knowledge. One such member treated the slice as
 * resolved, received it in a later handover, and started tasks again that were running at the
 * member that had handed it over (fault test with meetings, seed 20588). */
static void resolve_handed_over_slices(const fc_cluster *cluster, fc_job *job, unsigned handed_over) {
  for (unsigned i = 0; i < job->slices.count; i++) {
    if (!(handed_over >> i & 1)) continue;
    bool received = fc_job_slice_owner(job, i) == cluster->membership.self;
    bool fully_known = !(job->record.origin.partly_known >> i & 1);
    job->slices.resolved &= ~(1u << i);
    if (received && fully_known) job->slices.resolved |= 1u << i;
  }
  /* Task lists read in this term still resolve slices. */
  fc_cluster_resolve_slices(cluster, job);
}

fc_job *fc_cluster_apply_job(fc_cluster *cluster, const char *id, const fc_job_record *record, uint64_t version,
                             bool fresh, double now) {
  fc_job *job = fc_cluster_find_job(cluster, id);
  if (job && job->record.version >= version) return job;
  bool is_new = !job;
  if (is_new) job = add_job(cluster, record, fresh, now);
  apply_dependencies(job, record);
  apply_completion(job, id, record);
  apply_phase(cluster, job, id, record->phase, version, now);
  update_unlisted(cluster, job);
  job->record.version = version;
  /* The description moves to parts if the record has no room for it any more. */
  job->record.description = record->parts;
  unsigned handed_over = apply_handovers(job, record);
  job->record.origin = record->origin;
  fc_cluster_assign_slices(cluster, job);
  if (is_new) {
    fc_cluster_resolve_slices(cluster, job);
    link_placements(cluster, job);
  } else if (handed_over) {
    resolve_handed_over_slices(cluster, job, handed_over);
  }
  fc_dependencies_apply(cluster, job, fresh, now);
  /* A job read back after a restart arrived earlier: it is not counted as an arrival. */
  if (is_new && fresh && fc_job_dependencies_met(job)) fc_arrival_stats_add(&cluster->arrivals, &job->spec, now);
  return job;
}

void fc_cluster_apply_cancellation(fc_cluster *cluster, const char *id, uint64_t revision, double since, double now) {
  fc_job *job = fc_cluster_find_job(cluster, id);
  if (job && (job->record.version >= revision || job->phase == FC_PHASE_CANCELLED)) return;
  fc_unread_cancellation *unread = g_new(fc_unread_cancellation, 1);
  *unread = (fc_unread_cancellation){.revision = revision, .since = since};
  g_hash_table_replace(cluster->unread_cancellations, g_strdup(id), unread);
  if (job) {
    job->phase = FC_PHASE_CANCELLED;
    job->lifecycle.cancelled_since = since;
    if (!job->lifecycle.ended_at) job->lifecycle.ended_at = now;
  }
  fc_dependencies_apply_state(cluster, id, FC_DEPENDENCY_CANCELLED, now);
}

void fc_cluster_prune_unread_cancellations(fc_cluster *cluster, uint64_t revision) {
  GHashTableIter iter;
  gpointer unread;
  g_hash_table_iter_init(&iter, cluster->unread_cancellations);
  while (g_hash_table_iter_next(&iter, NULL, &unread))
    if (((const fc_unread_cancellation *)unread)->revision <= revision) g_hash_table_iter_remove(&iter);
}

void fc_cluster_remove_job(fc_cluster *cluster, fc_job *job) {
  for (guint i = 0; i < job->placements->len; i++) ((fc_placement *)job->placements->pdata[i])->job = NULL;
  fc_dependencies_remove(cluster, job);
  g_hash_table_remove(cluster->unlisted_completions, job->spec.id);
  g_hash_table_remove(cluster->jobs, job->spec.id);
}
