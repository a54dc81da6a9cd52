/* Task completion: writes to a job's record which of its tasks are done, several ends at once. A
 * task stays in its worker's list until its end is recorded. */
#ifndef FC_CONTROLLER_TASK_COMPLETION_H
#define FC_CONTROLLER_TASK_COMPLETION_H

#include "bookkeeping/cluster.h"
#include "bookkeeping/group_commit.h"
#include "controller/kv_watch.h"
#include "controller/metrics.h"

typedef struct fc_task_completion fc_task_completion;

/* The arguments have to outlive it. The caller frees it with fc_task_completion_free(), when none
 * of its routines runs any more. */
fc_task_completion *fc_task_completion_new(fc_cluster *cluster, fc_group_commit *commit, fc_kv_watch *watch,
                                           fc_metrics *metrics);
void fc_task_completion_free(fc_task_completion *completion);

/* Tasks of the job have ended: has a routine write that. Returns at once. */
void fc_task_completion_record(fc_task_completion *completion, const char *job_id);
/* Marks the placement, if its task has exited, as one whose end is recorded or needs no record;
 * else has it recorded. Returns at once. */
void fc_task_completion_update(fc_task_completion *completion, fc_placement *placement);

#endif
