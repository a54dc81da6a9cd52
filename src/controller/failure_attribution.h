/* Failure attribution: is the job or the machine at fault when a task fails? A machine that fails
 * tasks of several jobs is faulty and is cordoned; a job that fails on several machines is at fault
 * itself and condemns no more of them. */
#ifndef FC_CONTROLLER_FAILURE_ATTRIBUTION_H
#define FC_CONTROLLER_FAILURE_ATTRIBUTION_H

#include "bookkeeping/cluster.h"

/* A heartbeat has shown for the first time that the task has exited; its cause is in the
 * placement's status. A failed job is held back, longer each time. */
void fc_failure_attribution_note_exit(const fc_settings *settings, const fc_placement *placement);

#endif
