/* Plans the next quota record: the first shares of a term, and later changes of this member's own shares. The functions
 * read the cluster state and don't change it. */
#ifndef FC_CONTROLLER_QUOTA_PLAN_H
#define FC_CONTROLLER_QUOTA_PLAN_H

#include <stdbool.h>

#include "bookkeeping/cluster.h"
#include "controller/quota_tally.h"

/* Sets *quota to the shares of the previous term. Returns false if its members were others, so that the limits have to
 * be divided anew. */
bool fc_quota_plan_carry_over(const fc_cluster *cluster, fc_quota_record *quota);
/* Divides the limits by use and pending demand into *quota, which has to be zeroed. Returns false if, by the tally,
 * more than some limit is in use; the shares of that limit and of all later ones are left 0. */
bool fc_quota_plan_divide(const fc_cluster *cluster, const fc_quota_tally *tally, fc_quota_record *quota);
/* Adjusts this member's shares in *quota, a copy of the current record, to the needs of its shard. Returns whether any
 * changed. */
bool fc_quota_plan_adjust(const fc_cluster *cluster, const fc_quota_tally *tally, fc_quota_record *quota);

#endif
