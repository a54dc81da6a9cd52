/* Moves descriptions of accepted jobs out of records that have no room for handovers or completed tasks:
 * a record may have been stored under a larger limit, or by a version that reserves no room. The
 * description goes to keys of its own, as that of a new job whose description is too long. */
#ifndef FC_CONTROLLER_DESCRIPTION_RELOCATION_H
#define FC_CONTROLLER_DESCRIPTION_RELOCATION_H

#include "controller/description_store.h"
#include "controller/leadership.h"
#include "controller/metrics.h"

typedef struct fc_description_relocation fc_description_relocation;

/* The arguments must outlive the result, which lives as long as its routine. */
fc_description_relocation *fc_description_relocation_new(fc_cluster *cluster, fc_kv_watch *watch,
                                                         fc_group_commit *commit, fc_description_store *descriptions,
                                                         const fc_leadership *leadership, fc_metrics *metrics);
/* Starts its routine. False if out of memory. */
bool fc_description_relocation_start(fc_description_relocation *relocation);

#endif
