/* Writes whose outcome must be known before the caller proceeds, such as changes of ownership. A write
 * of unknown outcome may still be executed late, so it is repeated with the same conditions until a
 * copy has been executed, or none can be any more. */
#ifndef FC_CONTROLLER_DECIDED_WRITE_H
#define FC_CONTROLLER_DECIDED_WRITE_H

#include "bookkeeping/group_commit.h"
#include "controller/kv_watch.h"

/* Builds the write from the current cluster state; NULL if there is nothing left to write. */
typedef fc_write *(*fc_make_write_fn)(const fc_cluster *cluster, const void *arg);

/* Writes what `make` builds, and returns once the cluster state shows the outcome. A write that was
 * certainly not executed is not repeated. May suspend the calling routine: pointers to jobs and
 * machines are invalid afterwards. */
void fc_decided_write(const fc_cluster *cluster, fc_group_commit *commit, fc_kv_watch *watch, fc_make_write_fn make,
                      const void *arg);

#endif
