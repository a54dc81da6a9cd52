/* Amounts of a machine's resources, and how a task's demand compares with them. */
#ifndef FC_BOOKKEEPING_RESOURCES_H
#define FC_BOOKKEEPING_RESOURCES_H

#include <stdbool.h>

#include "protocol/job.h"

typedef struct fc_resources {
  double cpus, gpus, memory_gb;
} fc_resources;

/* Does one task of the job fit? Rounding of sums is allowed for. */
bool fc_resources_fit(const fc_resources *resources, const fc_job_spec *spec);
/* Takes away, or gives back, what one task of the job uses. */
void fc_resources_subtract(fc_resources *resources, const fc_job_spec *spec);
void fc_resources_add(fc_resources *resources, const fc_job_spec *spec);

#endif
