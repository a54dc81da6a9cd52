/* Plans the next record of quota shares: the first of a term, and then changes of our own share.
 * Functions over the cluster state, which they leave as it is. */
#ifndef FC_CONTROLLER_QUOTA_PLAN_H
#define FC_CONTROLLER_QUOTA_PLAN_H

#include <stdbool.h>

#include "bookkeeping/cluster.h"
#include "controller/quota_tally.h"

/* Sets *quota to the shares of the term before, for the present term. False: its members were
 * others, and the limits have to be divided anew. */
bool fc_quota_plan_carry_over(const fc_cluster *cluster, fc_quota_record *quota);
/* Divides the limits by what is used and asked for. `quota` has to be zeroed. False: more is in use,
 * by the tally, than some limit allows; the shares of it and of all later limits are left 0. */
bool fc_quota_plan_divide(const fc_cluster *cluster, const fc_quota_tally *tally, fc_quota_record *quota);
/* Moves our shares in *quota, a copy of the present record, towards what our shard needs. Returns
 * whether any changed. */
bool fc_quota_plan_adjust(const fc_cluster *cluster, const fc_quota_tally *tally, fc_quota_record *quota);

#endif
