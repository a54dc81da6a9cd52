/* What of job dependencies needs the key-value store: the jobs that a submission depends on, the
 * states of archived ones, and the records of jobs that are cancelled with others. */
#ifndef FC_CONTROLLER_DEPENDENCY_RESOLVER_H
#define FC_CONTROLLER_DEPENDENCY_RESOLVER_H

#include "controller/archive_lookup.h"
#include "controller/kv_watch.h"

typedef enum {
  FC_DEPENDENCIES_ADMITTED,    /* the job may be accepted */
  FC_DEPENDENCIES_CANCELLED,   /* one of them is: the job is cancelled from the start */
  FC_DEPENDENCIES_REFUSED,     /* one was never accepted, or is a service */
  FC_DEPENDENCIES_UNAVAILABLE, /* that can't be said now */
} fc_dependency_verdict;

typedef struct fc_dependency_resolver fc_dependency_resolver;

/* The arguments have to outlive it, and it lives as long as its routine. */
fc_dependency_resolver *fc_dependency_resolver_new(fc_cluster *cluster, fc_kv_watch *watch, fc_group_commit *commit,
                                                   const fc_leadership *leadership, fc_archive_lookup *archive,
                                                   fc_wakeups *wakeups, fc_metrics *metrics);
/* Starts its routine, which looks up dependencies that the cluster state does not hold, and records
 * cancellations; false: out of memory. */
bool fc_dependency_resolver_start(fc_dependency_resolver *resolver);

/* Judges the jobs that a submission depends on, a NULL-terminated list or NULL. *open: those that
 * are not done yet, which the caller frees with g_strfreev(); NULL: none, or the job does not depend
 * on them any more. May suspend the calling routine, until the deadline at the most. */
fc_dependency_verdict fc_dependency_resolver_admit(fc_dependency_resolver *resolver, char *const *ids, double deadline,
                                                   char ***open);

/* Looks up the dependencies of a job that are not known. False: it is still not known whether the
 * job is cancelled with one. May suspend the calling routine; the job may have left the cluster
 * state meanwhile. */
bool fc_dependency_resolver_resolve(fc_dependency_resolver *resolver, const char *id, double deadline);

#endif
