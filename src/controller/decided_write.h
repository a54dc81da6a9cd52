/* Writes whose outcome must be known before anything else happens, as for who owns what: a write
 * without an answer may be executed late, and is made again under the same conditions until one of
 * the copies has been executed, or none can be. */
#ifndef FC_CONTROLLER_DECIDED_WRITE_H
#define FC_CONTROLLER_DECIDED_WRITE_H

#include "bookkeeping/group_commit.h"
#include "controller/kv_watch.h"

/* Makes the write, from the present cluster state; NULL: there is nothing to write any more. */
typedef fc_write *(*fc_make_write_fn)(const fc_cluster *cluster, const void *arg);

/* Returns once the outcome is in the cluster state. Suspends the calling routine: jobs and machines
 * have to be looked up anew afterwards. */
void fc_decided_write(const fc_cluster *cluster, fc_group_commit *commit, fc_kv_watch *watch, fc_make_write_fn make,
                      const void *arg);

#endif
