#include "bookkeeping/writes.h"

#include <string.h>

#include "bookkeeping/pipeline.h"

static bool fits(const fc_table *t, const json_t *value) {
  return json_dumpb(value, NULL, 0, JSON_COMPACT) <= fc_settings_value_bytes(t->settings);
}

/* The record's value; NULL: it does not fit. */
static json_t *job_value(const fc_table *t, const fc_job *j, fc_phase phase, const uint8_t *done, char *const *handed,
                         const fc_job_origin *origin) {
  char *ranges = fc_ranges_encode(done, j->spec.tasks);
  fc_job_record r = {.spec = j->spec, .origin = *origin, .phase = phase, .done = ranges, .slices = j->slices};
  memcpy(r.handed, handed, sizeof r.handed);
  r.parts = j->parts;
  r.awaiting = !fc_job_ready(j); /* done jobs stay so */
  json_t *v = fc_job_record_encode(&r);
  if (!fits(t, v) && phase != FC_PHASE_ACCEPTED) {
    /* It was stored when values could be larger. Nothing of it will be placed any more. */
    json_decref(v);
    r.spec.types = NULL;
    v = fc_job_record_encode(&r);
  }
  g_free(ranges);
  if (fits(t, v)) return v;
  json_decref(v);
  return NULL;
}

fc_write *fc_write_job(const fc_table *t, const fc_job *j, uint64_t version, fc_phase phase, const uint8_t *done,
                       char *const *handed, const fc_job_origin *origin) {
  json_t *v = job_value(t, j, phase, done, handed, origin);
  if (!v) return NULL;
  char *key = g_strconcat(FC_PREFIX_JOB, j->spec.id, NULL);
  fc_write *w = fc_write_new();
  fc_write_if(w, key, version);
  fc_write_put(w, key, v);
  g_free(key);
  return w;
}

/* Those of the tasks that are numbered below `end`, on top of what is recorded. */
static void add_ended(const fc_job *j, const uint8_t *ended, uint32_t end, uint8_t *done) {
  memcpy(done, j->done, (j->spec.tasks + 7) / 8);
  for (uint32_t i = 0; i < end; i++) done[i / 8] |= (uint8_t)(ended[i / 8] & (1u << (i % 8)));
}

bool fc_write_job_fit(const fc_table *t, const fc_job *j, const uint8_t *ended, uint8_t *done) {
  /* The lowest numbers, as far as they fit: tasks start in order, so that their ends close
   * gaps sooner or later, and a gap that is closed makes the record shorter. */
  uint32_t low = 0, high = j->spec.tasks;
  while (low < high) {
    uint32_t middle = high - (high - low) / 2;
    add_ended(j, ended, middle, done);
    json_t *v = job_value(t, j, FC_PHASE_ACCEPTED, done, j->handed, &j->origin);
    if (v) {
      low = middle;
    } else {
      high = middle - 1;
    }
    json_decref(v);
  }
  add_ended(j, ended, low, done);
  return memcmp(done, j->done, (j->spec.tasks + 7) / 8) != 0;
}

fc_write *fc_write_machine(const char *id, uint64_t version, uint64_t term_version, const fc_machine_record *rec) {
  char *key = g_strconcat(FC_PREFIX_MACHINE, id, NULL);
  fc_write *w = fc_write_new();
  fc_write_if(w, key, version);
  fc_write_if(w, FC_KEY_TERM, term_version);
  fc_write_put(w, key, fc_machine_record_encode(rec));
  g_free(key);
  return w;
}
