/* Moves descriptions of accepted jobs out of records that have no room for handovers or completed tasks:
 * a record may have been stored under a larger limit, or by a version that reserves no room. The
 * description goes to keys of its own, as that of a new job whose description is too long. */
#ifndef FC_CONTROLLER_DESCRIPTION_RELOCATION_H
#define FC_CONTROLLER_DESCRIPTION_RELOCATION_H

#include "controller/description_store.h"
#include "controller/leadership.h"
#include "controller/metrics.h"

typedef struct fc_description_relocation fc_description_relocation;

/* The arguments must outlive the result, which is never freed. */
fc_description_relocation *fc_description_relocation_new(fc_cluster *cluster, fc_kv_watch *watch,
                                                         fc_group_commit *commit, fc_description_store *descriptions,
                                                         const fc_leadership *leadership, fc_metrics *metrics);
/* Starts a routine that moves the descriptions of the cluster's oversized jobs, if there are any and none runs yet.
 * Returns at once. */
void fc_description_relocation_begin(fc_description_relocation *relocation);

#endif
