/* Archives jobs that ended long ago: what is needed to answer their users moves to keys that no
 * controller holds in memory, and none reads when it starts. Otherwise memory, and the time to
 * start, would grow with every job there ever was. */
#ifndef FC_CONTROLLER_ARCHIVER_H
#define FC_CONTROLLER_ARCHIVER_H

#include "bookkeeping/group_commit.h"
#include "controller/kv_watch.h"

typedef struct fc_archiver fc_archiver;

/* The arguments have to outlive it, and it lives as long as its routine. */
fc_archiver *fc_archiver_new(fc_cluster *cluster, fc_kv_watch *watch, fc_group_commit *commit,
                             const fc_leadership *leadership, fc_metrics *metrics);
/* Starts its routine; false: out of memory. */
bool fc_archiver_start(fc_archiver *archiver);

#endif
