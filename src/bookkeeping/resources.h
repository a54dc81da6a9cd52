/* Amounts of a machine's resources, and their comparison with the demand of a task. */
#ifndef FC_BOOKKEEPING_RESOURCES_H
#define FC_BOOKKEEPING_RESOURCES_H

#include <stdbool.h>

#include "protocol/job.h"

typedef struct fc_resources {
  double cpus, gpus, memory_gb;
} fc_resources;

/* Whether one task of the job fits; tolerates rounding errors in sums. */
bool fc_resources_fit(const fc_resources *resources, const fc_job_spec *spec);
/* Subtracts, or adds back, what one task of the job uses. */
void fc_resources_subtract(fc_resources *resources, const fc_job_spec *spec);
void fc_resources_add(fc_resources *resources, const fc_job_spec *spec);

#endif
