/* What of pipelines takes the state service: the jobs that a submission names, jobs that are
 * awaited but archived, and the records of jobs cancelled with others. */
#ifndef FC_CONTROLLER_DEPENDENCY_RESOLVER_H
#define FC_CONTROLLER_DEPENDENCY_RESOLVER_H

#include "controller/controller.h"

typedef enum {
  FC_AWAITS_RESOLVED,  /* the job may be accepted */
  FC_AWAITS_CANCELLED, /* one of them is: the job is cancelled from the start */
  FC_AWAITS_REFUSED,   /* one was never accepted, or is a service */
  FC_AWAITS_NOT_SURE,  /* can't be said now */
} fc_awaits_verdict;

/* Looks at the jobs that a submission awaits. Waits for reads of the state service up to the
 * deadline. *open: those that are not done yet, the caller's to free; NULL: none, or the job
 * is not to wait for them. */
fc_awaits_verdict fc_pipelines_admit(fc_controller *controller, char *const *awaits, double deadline, char ***open);

/* Looks up what the job awaits and is not known. False: it is still not known whether the job
 * is cancelled with another. The job may have left the table meanwhile. */
bool fc_pipelines_resolve(fc_controller *controller, const char *id, double deadline);

/* The duty: looks up awaited jobs that the table does not hold, and records cancellations. */
void fc_pipelines_main(void *controller);

#endif
