/* Looks up archived jobs, which are in the key-value store but not in the cluster state. */
#ifndef FC_CONTROLLER_ARCHIVE_LOOKUP_H
#define FC_CONTROLLER_ARCHIVE_LOOKUP_H

#include "bookkeeping/cluster.h"
#include "bookkeeping/group_commit.h"
#include "protocol/kv_store.h"
#include "protocol/records.h"

typedef enum {
  FC_ARCHIVE_FOUND,
  FC_ARCHIVE_MISSING,     /* there is no archived job of that id */
  FC_ARCHIVE_UNAVAILABLE, /* unknown: the rate limit is reached, or the store did not respond */
} fc_archive_result;

typedef struct fc_archive_lookup fc_archive_lookup;

/* The arguments must outlive the result, which lives as long as the process. */
fc_archive_lookup *fc_archive_lookup_new(const fc_cluster *cluster, fc_kv *kv, fc_group_commit *commit);

/* Looks up a job that is not in the cluster state, which must have been proved current just before.
 * May suspend the calling routine, until the deadline (monotonic time) at most. */
fc_archive_result fc_archive_lookup_find(fc_archive_lookup *lookup, const char *id, double deadline,
                                         fc_archived_job *out);
/* The same for a job that others depend on. Archived jobs never change, so results are cached: a
 * submission with more such dependencies than the rate allows at once makes progress with each
 * retry. */
fc_archive_result fc_archive_lookup_find_dependency(fc_archive_lookup *lookup, const char *id, double deadline,
                                                    fc_archived_job *out);

#endif
