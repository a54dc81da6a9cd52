#include "bookkeeping/record_writes.h"

#include <string.h>

#include "bookkeeping/dependencies.h"
#include "bookkeeping/record_room.h"

/* The job's record without its completed tasks; borrows from the job and the arguments. */
static fc_job_record record_of(const fc_job *job, fc_job_phase phase, char *const *handed_to,
                               const fc_job_origin *origin) {
  fc_job_record record = {.spec = job->spec,
                          .origin = *origin,
                          .phase = phase,
                          .slices = job->slices.count,
                          .parts = job->record.description,
                          /* Dependencies that have been met stay met. */
                          .awaiting = !fc_job_dependencies_met(job)};
  memcpy(record.handed_to, handed_to, sizeof record.handed_to);
  return record;
}

/* Replaces the record that was read; takes over the reference. */
static fc_write *record_write(const fc_job *job, json_t *value) {
  char *key = g_strconcat(FC_PREFIX_JOB, job->spec.id, NULL);
  fc_write *write = fc_write_new();
  fc_write_compare(write, key, job->record.version);
  fc_write_put(write, key, value);
  g_free(key);
  return write;
}

/* Adds the job to those whose descriptions are to be moved out of their records. */
static void note_oversized(const fc_cluster *cluster, const fc_job *job) {
  if (!g_hash_table_add(cluster->oversized_jobs, g_strdup(job->spec.id))) return;
  g_warning("job record too large job=%s limit=%zu", job->spec.id, fc_value_limit_bytes(&cluster->value_limit));
}

fc_write *fc_job_record_write(const fc_cluster *cluster, const fc_job *job, fc_job_phase phase,
                              const uint8_t *completed, char *const *handed_to, const fc_job_origin *origin) {
  size_t max_bytes = fc_value_limit_bytes(&cluster->value_limit);
  const fc_job_record record = record_of(job, phase, handed_to, origin);
  json_t *value = fc_job_record_encode_within(&record, completed, max_bytes);
  if (!value) note_oversized(cluster, job);
  return value ? record_write(job, value) : NULL;
}

fc_write *fc_job_description_move_write(const fc_cluster *cluster, const fc_job *job, const fc_description_ref *parts,
                                        uint64_t first_part) {
  fc_job_record record = record_of(job, FC_PHASE_ACCEPTED, job->record.handed_to, &job->record.origin);
  record.parts = *parts;
  json_t *value =
      fc_job_record_encode_within(&record, job->completion.bitmap, fc_value_limit_bytes(&cluster->value_limit));
  if (!value) return NULL;
  fc_write *write = record_write(job, value);
  char *key = fc_job_part_key(job->spec.id, parts->digest, 0);
  fc_write_compare(write, key, first_part);
  g_free(key);
  return write;
}

/* ---- completed tasks that fit ---- */

/* Sets `completed` to the recorded completions and the ended tasks numbered below `end`. */
static void merge_completions(const fc_job *job, const uint8_t *ended, uint32_t end, uint8_t *completed) {
  memcpy(completed, job->completion.bitmap, fc_task_bitmap_bytes(job->spec.tasks));
  for (uint32_t i = 0; i < end; i++)
    if (fc_task_bitmap_has(ended, i)) fc_task_bitmap_set(completed, i);
}

static bool ranges_fit(const fc_job *job, const uint8_t *completed, size_t room) {
  char *ranges = fc_ranges_encode(completed, job->spec.tasks);
  bool fit = strlen(ranges) <= room;
  g_free(ranges);
  return fit;
}

/* Adds the ended tasks with the lowest numbers: tasks start in order, so completions eventually fill the
 * gaps, and each filled gap shortens the encoded ranges. */
static void add_lowest(const fc_job *job, const uint8_t *ended, size_t room, uint8_t *completed) {
  uint32_t low = 0, high = job->spec.tasks;
  while (low < high) {
    uint32_t middle = high - (high - low) / 2;
    merge_completions(job, ended, middle, completed);
    if (ranges_fit(job, completed, room)) {
      low = middle;
    } else {
      high = middle - 1;
    }
  }
  merge_completions(job, ended, low, completed);
}

bool fc_job_record_fit_completions(const fc_cluster *cluster, const fc_job *job, const uint8_t *ended,
                                   uint8_t *completed) {
  const fc_job_record record = record_of(job, FC_PHASE_ACCEPTED, job->record.handed_to, &job->record.origin);
  size_t room = fc_job_record_completions_room(cluster, &record);
  if (room == 0) note_oversized(cluster, job);
  merge_completions(job, ended, job->spec.tasks, completed);
  if (!ranges_fit(job, completed, room)) {
    if (ranges_fit(job, job->completion.bitmap, room)) {
      add_lowest(job, ended, room, completed);
    } else {
      fc_task_bitmap_retain_longest(completed, job->spec.tasks, room);
    }
  }
  return fc_task_bitmap_count(completed, job->spec.tasks) > job->record.completed;
}

fc_write *fc_machine_record_write(const char *machine, uint64_t version, uint64_t term_version,
                                  const fc_machine_record *record) {
  char *key = g_strconcat(FC_PREFIX_MACHINE, machine, NULL);
  fc_write *write = fc_write_new();
  fc_write_compare(write, key, version);
  fc_write_compare(write, FC_KEY_TERM, term_version);
  fc_write_put(write, key, fc_machine_record_encode(record));
  g_free(key);
  return write;
}
