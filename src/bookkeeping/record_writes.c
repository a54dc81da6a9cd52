#include "bookkeeping/record_writes.h"

#include <string.h>

#include "bookkeeping/dependencies.h"

static size_t encoded_bytes(const json_t *value) {
  return json_dumpb(value, NULL, 0, JSON_COMPACT);
}

static bool fits_in_value(const fc_cluster *cluster, const json_t *value) {
  return encoded_bytes(value) <= fc_settings_value_max_bytes(cluster->settings);
}

/* The encoded record, a new reference. NULL: it exceeds the value size. */
static json_t *encode_job_record(const fc_cluster *cluster, const fc_job *job, fc_job_phase phase,
                                 const uint8_t *completed, char *const *handed_to, const fc_job_origin *origin) {
  char *ranges = fc_ranges_encode(completed, job->spec.tasks);
  fc_job_record record = {
      .spec = job->spec, .origin = *origin, .phase = phase, .done = ranges, .slices = job->slices.count};
  memcpy(record.handed_to, handed_to, sizeof record.handed_to);
  record.parts = job->record.description;
  /* Dependencies that have been met stay met. */
  record.awaiting = !fc_job_dependencies_met(job);
  json_t *value = fc_job_record_encode(&record);
  if (!fits_in_value(cluster, value) && phase != FC_PHASE_ACCEPTED) {
    /* The record was stored under a larger limit. No task of the job will be placed again. */
    json_decref(value);
    record.spec.types = NULL;
    value = fc_job_record_encode(&record);
  }
  g_free(ranges);
  if (fits_in_value(cluster, value)) return value;
  json_decref(value);
  return NULL;
}

fc_write *fc_job_record_write(const fc_cluster *cluster, const fc_job *job, fc_job_phase phase,
                              const uint8_t *completed, char *const *handed_to, const fc_job_origin *origin) {
  json_t *value = encode_job_record(cluster, job, phase, completed, handed_to, origin);
  if (!value) {
    g_warning("job record too large job=%s phase=%s limit=%zu", job->spec.id, fc_job_phase_name(phase),
              fc_settings_value_max_bytes(cluster->settings));
    return NULL;
  }
  char *key = g_strconcat(FC_PREFIX_JOB, job->spec.id, NULL);
  fc_write *write = fc_write_new();
  fc_write_compare(write, key, job->record.version);
  fc_write_put(write, key, value);
  g_free(key);
  return write;
}

/* Sets `completed` to the recorded completions and the ended tasks numbered below `end`. */
static void merge_completions(const fc_job *job, const uint8_t *ended, uint32_t end, uint8_t *completed) {
  memcpy(completed, job->completion.bitmap, fc_task_bitmap_bytes(job->spec.tasks));
  for (uint32_t i = 0; i < end; i++)
    if (fc_task_bitmap_has(ended, i)) fc_task_bitmap_set(completed, i);
}

static bool record_fits(const fc_cluster *cluster, const fc_job *job, const uint8_t *completed) {
  json_t *value =
      encode_job_record(cluster, job, FC_PHASE_ACCEPTED, completed, job->record.handed_to, &job->record.origin);
  bool fits = value != NULL;
  json_decref(value);
  return fits;
}

bool fc_job_record_fit_completions(const fc_cluster *cluster, const fc_job *job, const uint8_t *ended,
                                   uint8_t *completed) {
  /* Records the lowest task numbers that fit: tasks start in order, so completions eventually fill
   * the gaps, and each filled gap shortens the encoded ranges. */
  uint32_t low = 0, high = job->spec.tasks;
  while (low < high) {
    uint32_t middle = high - (high - low) / 2;
    merge_completions(job, ended, middle, completed);
    if (record_fits(cluster, job, completed)) {
      low = middle;
    } else {
      high = middle - 1;
    }
  }
  merge_completions(job, ended, low, completed);
  return memcmp(completed, job->completion.bitmap, fc_task_bitmap_bytes(job->spec.tasks)) != 0;
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
