/* The stored quota shares, and this shard's usage of each team's limit. */
#ifndef FC_BOOKKEEPING_QUOTA_USAGE_H
#define FC_BOOKKEEPING_QUOTA_USAGE_H

#include "bookkeeping/cluster.h"

/* Index of the member in the record; -1: it has no share. */
int fc_quota_record_find(const fc_quota_record *quota, const char *member);
/* Applies the shares as stored. */
void fc_cluster_apply_quota(fc_cluster *cluster, const fc_quota_record *quota, uint64_t version);
/* Upper bound of what the tasks on this shard's machines use of each team's limit: machines that
 * are not reconciled count as full, up to the share that was carried over. */
void fc_cluster_max_usage(const fc_cluster *cluster, double cpus[FC_TEAMS_MAX], double gpus[FC_TEAMS_MAX]);

#endif
