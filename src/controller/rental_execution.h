/* Executes rentals. A rental is recorded in the key-value store as an intent before the request to the cloud, so that a
 * later renting member can repeat it under the same name and get the same machines. The intent is removed when the
 * machines have records. Run by the first member of the term alone. */
#ifndef FC_CONTROLLER_RENTAL_EXECUTION_H
#define FC_CONTROLLER_RENTAL_EXECUTION_H

#include <stdbool.h>

#include "bookkeeping/cluster.h"
#include "bookkeeping/group_commit.h"
#include "controller/cloud_access.h"
#include "controller/kv_watch.h"
#include "controller/leadership.h"

typedef struct fc_rental_execution fc_rental_execution;

/* The arguments must outlive the result, which is never freed. */
fc_rental_execution *fc_rental_execution_new(fc_cluster *cluster, fc_cloud_access *cloud, fc_group_commit *commit,
                                             fc_kv_watch *watch, fc_leadership *leadership);

/* Plans what to rent for queued and expected jobs, and records the intents. May suspend the calling routine. */
void fc_rental_execution_plan(fc_rental_execution *execution);
/* Carries out all recorded intents, including those left by other incarnations. An intent that fails stays recorded.
 * May suspend the calling routine. */
void fc_rental_execution_carry_out(fc_rental_execution *execution);
/* Whether no intent is recorded. */
bool fc_rental_execution_idle(const fc_rental_execution *execution);

#endif
