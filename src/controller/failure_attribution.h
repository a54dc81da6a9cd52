/* Failure attribution: determines whether the job or the machine is at fault when a task fails. A machine on which
 * tasks of several jobs fail is faulty and is cordoned; a job that fails on several machines is at fault itself, and
 * its further failures don't count against machines. */
#ifndef FC_CONTROLLER_FAILURE_ATTRIBUTION_H
#define FC_CONTROLLER_FAILURE_ATTRIBUTION_H

#include "bookkeeping/cluster.h"

/* To be called when a heartbeat shows for the first time that the task has exited, with the cause in the placement's
 * status. A failed job is placed again after a delay that grows with each failure. */
void fc_failure_attribution_note_exit(const fc_settings *settings, const fc_placement *placement);

#endif
