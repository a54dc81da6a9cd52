/* Progress of machine reconciliation in the current term, and the slices of jobs that it resolves:
 * no task of a resolved slice can be anywhere unknown to this controller. */
#ifndef FC_BOOKKEEPING_RECONCILIATION_PROGRESS_H
#define FC_BOOKKEEPING_RECONCILIATION_PROGRESS_H

#include "bookkeeping/cluster.h"

/* Updates which members have all their machines reconciled, and resolves slices accordingly.
 * Returns whether every machine that may hold tasks from before the current term has been
 * reconciled; once true, this holds for the rest of the term.
 *
 * Before that, a slice of this shard is resolved as soon as all members that may run its tasks
 * have their machines reconciled. Among a thousand machines one is always failing: when each of
 * them was waited for at every change of term, no task of a job accepted earlier was started for two
 * minutes of a rolling restart (fleet day "restart", simulated). */
bool fc_cluster_update_reconciled(fc_cluster *cluster);
/* Whether all machines have been reconciled in the current term. */
bool fc_cluster_fully_reconciled(const fc_cluster *cluster);
/* Whether all machines of the member have been reconciled in the current term. */
bool fc_cluster_member_reconciled(const fc_cluster *cluster, int member);
/* Resolves the slices of a job that was just read, as far as the current progress allows. */
void fc_cluster_resolve_slices(const fc_cluster *cluster, fc_job *job);

#endif
