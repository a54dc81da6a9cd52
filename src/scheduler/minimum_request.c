#include "scheduler/minimum_request.h"

#include <math.h>

fc_job_spec fc_minimum_request_none(void) {
  return (fc_job_spec){.cpus = INFINITY, .gpus = INFINITY, .memory_gb = INFINITY};
}

void fc_minimum_request_add(fc_job_spec *least, double cpus, double gpus, double memory_gb) {
  least->cpus = MIN(least->cpus, cpus);
  least->gpus = MIN(least->gpus, gpus);
  least->memory_gb = MIN(least->memory_gb, memory_gb);
}

fc_job_spec fc_minimum_request_of(const GPtrArray *jobs) {
  fc_job_spec least = fc_minimum_request_none();
  for (guint i = 0; i < jobs->len; i++) {
    const fc_job_spec *spec = &((const fc_job *)jobs->pdata[i])->spec;
    fc_minimum_request_add(&least, spec->cpus, spec->gpus, spec->memory_gb);
  }
  return least;
}
