#include "scheduler/minimum_request.h"

#include <math.h>

fc_job_spec fc_minimum_request_none(void) {
  return (fc_job_spec){.cpus = INFINITY, .gpus = INFINITY, .memory_gb = INFINITY};
}

void fc_minimum_request_add(fc_job_spec *minimum, double cpus, double gpus, double memory_gb) {
  minimum->cpus = MIN(minimum->cpus, cpus);
  minimum->gpus = MIN(minimum->gpus, gpus);
  minimum->memory_gb = MIN(minimum->memory_gb, memory_gb);
}

fc_job_spec fc_minimum_request_of(const GPtrArray *jobs) {
  fc_job_spec minimum = fc_minimum_request_none();
  for (guint i = 0; i < jobs->len; i++) {
    const fc_job_spec *spec = &((const fc_job *)jobs->pdata[i])->spec;
    fc_minimum_request_add(&minimum, spec->cpus, spec->gpus, spec->memory_gb);
  }
  return minimum;
}
