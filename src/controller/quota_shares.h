/* Quota shares: the routine that keeps this member's shares of the teams' limits recorded in the key-value store, and
 * the allowance that follows for the shard. No task of a team with a limit is started in a term before the shares of
 * that term are recorded. */
#ifndef FC_CONTROLLER_QUOTA_SHARES_H
#define FC_CONTROLLER_QUOTA_SHARES_H

#include <stdbool.h>

#include "bookkeeping/cluster.h"
#include "bookkeeping/group_commit.h"
#include "controller/kv_watch.h"
#include "controller/leadership.h"
#include "controller/metrics.h"
#include "controller/peers.h"
#include "controller/wakeups.h"
#include "scheduler/team_quota.h"

typedef struct fc_quota_shares fc_quota_shares;

/* The arguments must outlive the result, which is never freed. */
fc_quota_shares *fc_quota_shares_new(fc_cluster *cluster, fc_group_commit *commit, fc_kv_watch *watch,
                                     const fc_leadership *leadership, fc_peers *peers, fc_wakeups *wakeups,
                                     fc_metrics *metrics);
/* Starts the routine. Returns false when out of memory. */
bool fc_quota_shares_start(fc_quota_shares *shares);

/* Sets *allowance to the amounts that this shard may still start for each team now; INFINITY: no limit. */
void fc_quota_shares_allowance(const fc_quota_shares *shares, fc_team_allowance *allowance);

#endif
