/* Looks up jobs that have been archived: they are in the key-value store, and no longer in the
 * cluster state. */
#ifndef FC_CONTROLLER_ARCHIVE_LOOKUP_H
#define FC_CONTROLLER_ARCHIVE_LOOKUP_H

#include "bookkeeping/cluster.h"
#include "bookkeeping/group_commit.h"
#include "protocol/kv_store.h"
#include "protocol/records.h"

typedef enum {
  FC_ARCHIVE_FOUND,
  FC_ARCHIVE_MISSING,     /* the job is not archived */
  FC_ARCHIVE_UNAVAILABLE, /* that can't be said now */
} fc_archive_result;

typedef struct fc_archive_lookup fc_archive_lookup;

/* The arguments have to outlive it; it lives as long as the process. */
fc_archive_lookup *fc_archive_lookup_new(const fc_cluster *cluster, fc_kv *kv, fc_group_commit *commit);

/* Looks for a job that the cluster state, just proved current, does not hold. May suspend the
 * calling routine, until the deadline (steady time) at the most. */
fc_archive_result fc_archive_lookup_find(fc_archive_lookup *lookup, const char *id, double deadline,
                                         fc_archived_job *out);
/* The same for a job that others depend on. What was found stays so for good, and is remembered for
 * a while: a submission that names more such jobs than may be looked up at once gets on with each
 * retry. */
fc_archive_result fc_archive_lookup_find_dependency(fc_archive_lookup *lookup, const char *id, double deadline,
                                                    fc_archived_job *out);

#endif
