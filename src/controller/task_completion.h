/* Task completion: records which tasks of a job are done, in batches. A task stays in its worker's list until its end
 * is recorded. */
#ifndef FC_CONTROLLER_TASK_COMPLETION_H
#define FC_CONTROLLER_TASK_COMPLETION_H

#include "bookkeeping/cluster.h"
#include "bookkeeping/group_commit.h"
#include "controller/kv_watch.h"
#include "controller/metrics.h"

typedef struct fc_task_completion fc_task_completion;

/* The arguments must outlive the result, which the caller frees with fc_task_completion_free() after all of its
 * routines have ended. */
fc_task_completion *fc_task_completion_new(fc_cluster *cluster, fc_group_commit *commit, fc_kv_watch *watch,
                                           fc_metrics *metrics);
void fc_task_completion_free(fc_task_completion *completion);

/* To be called when tasks of the job have ended: starts a routine that records them, or notifies the running one.
 * Returns at once. */
void fc_task_completion_record(fc_task_completion *completion, const char *job_id);
/* Records the completions that records without room have left out, once there is room: other controllers may have
 * restarted since and know only what the records list. Returns at once. */
void fc_task_completion_record_unlisted(fc_task_completion *completion);
/* If the task has exited: marks the placement as one whose end is recorded or needs no record, or has the end recorded.
 * Returns at once. */
void fc_task_completion_update(fc_task_completion *completion, fc_placement *placement);

#endif
