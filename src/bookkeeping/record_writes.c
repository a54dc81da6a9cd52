#include "bookkeeping/record_writes.h"

#include <string.h>

#include "bookkeeping/dependencies.h"

static bool fits(const fc_cluster *cluster, const json_t *value) {
  return json_dumpb(value, NULL, 0, JSON_COMPACT) <= fc_settings_value_bytes(cluster->settings);
}

/* The record's value; NULL: it does not fit. */
static json_t *job_value(const fc_cluster *cluster, const fc_job *job, fc_job_phase phase, const uint8_t *done,
                         char *const *handed, const fc_job_origin *origin) {
  char *ranges = fc_ranges_encode(done, job->spec.tasks);
  fc_job_record record = {
      .spec = job->spec, .origin = *origin, .phase = phase, .done = ranges, .slices = job->slices.count};
  memcpy(record.handed, handed, sizeof record.handed);
  record.parts = job->record.description;
  record.awaiting = !fc_job_dependencies_met(job); /* done jobs stay so */
  json_t *v = fc_job_record_encode(&record);
  if (!fits(cluster, v) && phase != FC_PHASE_ACCEPTED) {
    /* It was stored when values could be larger. Nothing of it will be placed any more. */
    json_decref(v);
    record.spec.types = NULL;
    v = fc_job_record_encode(&record);
  }
  g_free(ranges);
  if (fits(cluster, v)) return v;
  json_decref(v);
  return NULL;
}

fc_write *fc_job_record_write(const fc_cluster *cluster, const fc_job *job, uint64_t version, fc_job_phase phase,
                              const uint8_t *done, char *const *handed, const fc_job_origin *origin) {
  json_t *v = job_value(cluster, job, phase, done, handed, origin);
  if (!v) return NULL;
  char *key = g_strconcat(FC_PREFIX_JOB, job->spec.id, NULL);
  fc_write *write = fc_write_new();
  fc_write_compare(write, key, version);
  fc_write_put(write, key, v);
  g_free(key);
  return write;
}

/* Those of the tasks that are numbered below `end`, on top of what is recorded. */
static void add_ended(const fc_job *job, const uint8_t *ended, uint32_t end, uint8_t *done) {
  memcpy(done, job->completion.bitmap, (job->spec.tasks + 7) / 8);
  for (uint32_t i = 0; i < end; i++) done[i / 8] |= (uint8_t)(ended[i / 8] & (1u << (i % 8)));
}

bool fc_job_record_fit_completions(const fc_cluster *cluster, const fc_job *job, const uint8_t *ended, uint8_t *done) {
  /* The lowest numbers, as far as they fit: tasks start in order, so that their ends close
   * gaps sooner or later, and a gap that is closed makes the record shorter. */
  uint32_t low = 0, high = job->spec.tasks;
  while (low < high) {
    uint32_t middle = high - (high - low) / 2;
    add_ended(job, ended, middle, done);
    json_t *v = job_value(cluster, job, FC_PHASE_ACCEPTED, done, job->record.handed_to, &job->record.origin);
    if (v) {
      low = middle;
    } else {
      high = middle - 1;
    }
    json_decref(v);
  }
  add_ended(job, ended, low, done);
  return memcmp(done, job->completion.bitmap, (job->spec.tasks + 7) / 8) != 0;
}

fc_write *fc_machine_record_write(const char *id, uint64_t version, uint64_t term_version,
                                  const fc_machine_record *rec) {
  char *key = g_strconcat(FC_PREFIX_MACHINE, id, NULL);
  fc_write *write = fc_write_new();
  fc_write_compare(write, key, version);
  fc_write_compare(write, FC_KEY_TERM, term_version);
  fc_write_put(write, key, fc_machine_record_encode(rec));
  g_free(key);
  return write;
}
