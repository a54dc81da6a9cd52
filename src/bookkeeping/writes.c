#include "bookkeeping/writes.h"

#include <string.h>

#include "bookkeeping/pipeline.h"

fc_write *fc_write_job(const fc_job *j, uint64_t version, fc_phase phase, const uint8_t *done, char *const *handed,
                       const fc_job_origin *origin) {
  char *key = g_strconcat(FC_PREFIX_JOB, j->spec.id, NULL);
  char *ranges = fc_ranges_encode(done, j->spec.tasks);
  fc_job_record r = {.spec = j->spec, .origin = *origin, .phase = phase, .done = ranges, .slices = j->slices};
  memcpy(r.handed, handed, sizeof r.handed);
  r.parts = j->parts;
  r.awaiting = !fc_job_ready(j); /* done jobs stay so */
  fc_write *w = fc_write_new();
  fc_write_if(w, key, version);
  fc_write_put(w, key, fc_job_record_encode(&r));
  g_free(ranges);
  g_free(key);
  return w;
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
