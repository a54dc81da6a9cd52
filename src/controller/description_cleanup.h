/* Garbage collection of stored job descriptions that no record refers to, because the job has been archived or was
 * never accepted. */
#ifndef FC_CONTROLLER_DESCRIPTION_CLEANUP_H
#define FC_CONTROLLER_DESCRIPTION_CLEANUP_H

#include "bookkeeping/group_commit.h"
#include "controller/kv_watch.h"

typedef struct fc_description_cleanup fc_description_cleanup;

/* The arguments must outlive the result, which is never freed. */
fc_description_cleanup *fc_description_cleanup_new(fc_cluster *cluster, fc_kv_watch *watch, fc_group_commit *commit,
                                                   const fc_leadership *leadership, fc_metrics *metrics);
/* Starts the routine. Returns false when out of memory. */
bool fc_description_cleanup_start(fc_description_cleanup *cleanup);

#endif
