#include "bookkeeping/resources.h"

/* Tolerance for rounding errors in sums and differences of decimal amounts. */
#define ROUNDING_TOLERANCE 1e-6

bool fc_resources_fit(const fc_resources *resources, const fc_job_spec *spec) {
  return resources->cpus + ROUNDING_TOLERANCE >= spec->cpus && resources->gpus + ROUNDING_TOLERANCE >= spec->gpus &&
         resources->memory_gb + ROUNDING_TOLERANCE >= spec->memory_gb;
}

void fc_resources_subtract(fc_resources *resources, const fc_job_spec *spec) {
  resources->cpus -= spec->cpus;
  resources->gpus -= spec->gpus;
  resources->memory_gb -= spec->memory_gb;
}

void fc_resources_add(fc_resources *resources, const fc_job_spec *spec) {
  resources->cpus += spec->cpus;
  resources->gpus += spec->gpus;
  resources->memory_gb += spec->memory_gb;
}
