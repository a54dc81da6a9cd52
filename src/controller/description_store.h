/* Stores job descriptions that are too long for one value of the key-value store: in parts, written before the job's
 * record, which is conditional on them. */
#ifndef FC_CONTROLLER_DESCRIPTION_STORE_H
#define FC_CONTROLLER_DESCRIPTION_STORE_H

#include "bookkeeping/group_commit.h"
#include "controller/kv_watch.h"

typedef struct fc_description_store fc_description_store;

/* The arguments must outlive the result, which is never freed. */
fc_description_store *fc_description_store_new(fc_cluster *cluster, fc_kv_watch *watch, fc_group_commit *commit);

/* Writes the parts of the description that are not in the store yet. Sets *ref to the reference for the job's record,
 * and *first_version to the version of the first part, on which that record has to be conditional; 0: not written.
 * Parts written before the deadline (monotonic time) stay, so that a retry resumes from there. May suspend the calling
 * routine. */
fc_kv_result fc_description_store_write(fc_description_store *store, const fc_job_spec *spec, double deadline,
                                        fc_description_ref *ref, uint64_t *first_version);

#endif
