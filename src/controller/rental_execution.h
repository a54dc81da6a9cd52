/* Executes rentals: a rental is recorded in the key-value store as an intent before the cloud is
 * asked, so that any later renting member repeats it under the same name and gets the same
 * machines; it ends when the machines have records. Run by the first member of the term alone. */
#ifndef FC_CONTROLLER_RENTAL_EXECUTION_H
#define FC_CONTROLLER_RENTAL_EXECUTION_H

#include <stdbool.h>

#include "bookkeeping/cluster.h"
#include "bookkeeping/group_commit.h"
#include "controller/cloud_access.h"
#include "controller/kv_watch.h"
#include "controller/leadership.h"

typedef struct fc_rental_execution fc_rental_execution;

/* The arguments have to outlive it; it lives as long as the process. */
fc_rental_execution *fc_rental_execution_new(fc_cluster *cluster, fc_cloud_access *cloud, fc_group_commit *commit,
                                             fc_kv_watch *watch, fc_leadership *leadership);

/* Records the intents to rent what the queue and expected arrivals need. May suspend the calling
 * routine. */
void fc_rental_execution_plan(fc_rental_execution *execution);
/* Carries out all recorded intents, ours and those that other incarnations left. What fails stays
 * recorded. May suspend the calling routine. */
void fc_rental_execution_carry_out(fc_rental_execution *execution);
/* Is no intent recorded? */
bool fc_rental_execution_idle(const fc_rental_execution *execution);

#endif
