/* How far the machines have been reconciled in the present term, and which slices of jobs are
 * resolved by that: nothing of them can be anywhere that we do not know of. */
#ifndef FC_BOOKKEEPING_RECONCILIATION_PROGRESS_H
#define FC_BOOKKEEPING_RECONCILIATION_PROGRESS_H

#include "bookkeeping/cluster.h"

/* Notes which members' machines have all been reconciled, and resolves slices accordingly.
 * Returns whether every machine that may hold anything from before the present term has been;
 * once true it stays so within the term.
 *
 * Before that, a slice of ours is resolved once the machines of all members are reconciled that
 * may run tasks of it. In a fleet of a thousand some machine is always dying; with a wait for
 * each of them, at each change of term anew, a rolling restart started nothing old for two
 * minutes (fleet day "restart", simulated). */
bool fc_cluster_update_reconciled(fc_cluster *cluster);
/* Has that been reached in the present term? */
bool fc_cluster_fully_reconciled(const fc_cluster *cluster);
/* Have all machines of that member been reconciled in the present term? */
bool fc_cluster_member_reconciled(const fc_cluster *cluster, int member);
/* Resolves what the progress so far allows of a job that has just been read. */
void fc_cluster_resolve_slices(const fc_cluster *cluster, fc_job *job);

#endif
