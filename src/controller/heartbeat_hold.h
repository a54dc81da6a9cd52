/* Holds the answer to a heartbeat of a machine without active tasks, or where a task has just ended, until there is a
 * command for it, or for as long as that delays nothing. So a start decided meanwhile reaches the worker at once,
 * though only answers to heartbeats carry starts. A worker with changes to report sends no heartbeat sooner than
 * FC_HEARTBEAT_SPACING_S after the last one; an empty one has nothing to report before its next heartbeat is due. It
 * waits FC_WORKER_REQUEST_TIMEOUT_S for an answer, and its lease runs from when it sent the heartbeat, however late the
 * answer is. Source: PROTOCOL, "Workers -> controller nodes". */
#ifndef FC_CONTROLLER_HEARTBEAT_HOLD_H
#define FC_CONTROLLER_HEARTBEAT_HOLD_H

#include "bookkeeping/cluster.h"

/* Holds the answer to a heartbeat of a machine of this shard that has been applied; returns at once if there is a
 * start or a stop for it, none is likely, or too many answers are held. Returns the machine, looked up anew. NULL:
 * meanwhile the machine was removed, got another owner, or sent another heartbeat, or its worker was restarted or began
 * a new epoch; the heartbeat is to be refused then. May suspend the calling routine. */
fc_machine *fc_heartbeat_hold(fc_cluster *cluster, fc_machine *machine);
/* Ends the hold of an answer if there is a start or a stop for the machine, or it has another owner by now. Returns
 * false if no answer is held, or it is held on. */
bool fc_heartbeat_hold_release(const fc_cluster *cluster, fc_machine *machine);
/* Has a held answer given up, as another heartbeat of the machine has arrived. */
void fc_heartbeat_hold_replace(fc_machine *machine);

#endif
