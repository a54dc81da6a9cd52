/* The least of each resource that any of several jobs asks for: a machine without room for that
 * need not be looked at for any of them. Only cpus, gpus and memory_gb of the spec are set. Pure
 * functions. */
#ifndef FC_SCHEDULER_LEAST_RESOURCES_H
#define FC_SCHEDULER_LEAST_RESOURCES_H

#include <glib.h>

#include "bookkeeping/cluster.h"

/* Of no jobs: infinite. */
fc_job_spec fc_least_resources_none(void);
/* Takes in one more request. */
void fc_least_resources_add(fc_job_spec *least, double cpus, double gpus, double memory_gb);
/* Of the jobs (fc_job pointers). */
fc_job_spec fc_least_resources_of(const GPtrArray *jobs);

#endif
