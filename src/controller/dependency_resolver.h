/* Work on job dependencies that needs the key-value store: checks the dependencies of a submitted job, looks up
 * archived ones, and records the cancellation of jobs whose dependency was cancelled. */
#ifndef FC_CONTROLLER_DEPENDENCY_RESOLVER_H
#define FC_CONTROLLER_DEPENDENCY_RESOLVER_H

#include "controller/archive_lookup.h"
#include "controller/kv_watch.h"

typedef enum {
  FC_DEPENDENCIES_ADMITTED,    /* the job may be accepted */
  FC_DEPENDENCIES_CANCELLED,   /* one of them is cancelled, so the job is stored as cancelled */
  FC_DEPENDENCIES_REFUSED,     /* one was never accepted, or is a service */
  FC_DEPENDENCIES_UNAVAILABLE, /* can't be determined now */
} fc_dependency_admission;

typedef struct fc_dependency_resolver fc_dependency_resolver;

/* The arguments must outlive the result, which is never freed. */
fc_dependency_resolver *fc_dependency_resolver_new(fc_cluster *cluster, fc_kv_watch *watch, fc_group_commit *commit,
                                                   const fc_leadership *leadership, fc_archive_lookup *archive,
                                                   fc_wakeups *wakeups, fc_metrics *metrics);
/* Starts the routine, which looks up dependencies that are not in the cluster state, and records cancellations. Returns
 * false when out of memory. */
bool fc_dependency_resolver_start(fc_dependency_resolver *resolver);

/* Checks the jobs that a submission depends on, a NULL-terminated list of ids or NULL. *open is set to those that are
 * not done yet, which the caller frees with g_strfreev(); to NULL if there are none, or the job is not admitted. May
 * suspend the calling routine, until the deadline (monotonic time) at the latest. */
fc_dependency_admission fc_dependency_resolver_admit(fc_dependency_resolver *resolver, char *const *ids,
                                                     double deadline, char ***open);

/* Looks up the dependencies of a job whose state is unknown. Returns false if it is still unknown whether the job is
 * cancelled because of one. May suspend the calling routine; the job may have left the cluster state meanwhile. */
bool fc_dependency_resolver_resolve(fc_dependency_resolver *resolver, const char *id, double deadline);

#endif
