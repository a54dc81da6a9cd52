/* The minimum of each resource that any of several jobs requests: a machine without room for that minimum can be
 * skipped for all of them. Only cpus, gpus and memory_gb of the spec are set. Pure functions. */
#ifndef FC_SCHEDULER_MINIMUM_REQUEST_H
#define FC_SCHEDULER_MINIMUM_REQUEST_H

#include <glib.h>

#include "bookkeeping/cluster.h"

/* The minimum over no jobs: every resource is INFINITY. */
fc_job_spec fc_minimum_request_none(void);
/* Lowers *minimum to the request where that is smaller. */
void fc_minimum_request_add(fc_job_spec *minimum, double cpus, double gpus, double memory_gb);
/* The minimum over the jobs (fc_job pointers). */
fc_job_spec fc_minimum_request_of(const GPtrArray *jobs);

#endif
