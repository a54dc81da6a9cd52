/* Archives jobs that ended long ago: what is needed to answer queries moves to keys that controllers
 * neither load at start nor hold in memory. Otherwise memory use and startup time would grow with
 * every job ever submitted. */
#ifndef FC_CONTROLLER_ARCHIVER_H
#define FC_CONTROLLER_ARCHIVER_H

#include "bookkeeping/group_commit.h"
#include "controller/kv_watch.h"

typedef struct fc_archiver fc_archiver;

/* The arguments must outlive the result, which lives as long as its routine. */
fc_archiver *fc_archiver_new(fc_cluster *cluster, fc_kv_watch *watch, fc_group_commit *commit,
                             const fc_leadership *leadership, fc_metrics *metrics);
/* Starts its routine. False if out of memory. */
bool fc_archiver_start(fc_archiver *archiver);

#endif
