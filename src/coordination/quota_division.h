/* Divides the limits of teams into one quota share for each shard. The sum of the shares never exceeds the limit, in
 * whatever order messages arrive. Pure arithmetic on amounts of one resource (CPUs or GPUs). */
#ifndef FC_COORDINATION_QUOTA_DIVISION_H
#define FC_COORDINATION_QUOTA_DIVISION_H

#include <stdbool.h>
#include <stddef.h>

/* One team's usage of and demand for one resource in one shard. */
typedef struct fc_quota_demand {
  double used;   /* amount used by tasks that may be running on the shard's machines */
  double wanted; /* additional amount that its pending tasks request */
  double least;  /* smallest amount with which a pending task can start; 0: not known */
} fc_quota_demand;

/* The sums over all other shards. `shortfall` is the part of what they use and could place now that their shares do not
 * cover. */
typedef struct fc_quota_others {
  double assigned, shortfall;
  size_t count;
} fc_quota_others;

/* Makes the first division in a term. Each shard's share is what it uses, plus a part of the rest of `limit` in
 * proportion to its pending demand; what remains then is divided evenly. `demands` and `shares` have `count` entries.
 * Returns false when the usage alone exceeds the limit, which is possible because tasks that may be running count as
 * used; the shares must then not be used, since they could not be changed safely later. */
bool fc_quota_divide(double limit, const fc_quota_demand *demands, size_t count, double *shares);

/* Returns the share that a shard should request now; `own_share` is its present one. The result is never below the
 * shard's usage and never above what the limit leaves. Every change is a write that delays other writes, so changes
 * are few and large: a shard that needs more takes at least an even part of the unassigned quota, and it gives back
 * only when others lack more than is unassigned, and then at least half of what it can spare. A remainder that is too
 * small to start any pending task is released whenever others lack quota. */
double fc_quota_adjust(double limit, const fc_quota_others *others, double own_share, const fc_quota_demand *own);
/* The same when the shard's machines have no room now for `unplaceable` of the pending demand: it can spare the
 * share held for that part, and takes for it only unassigned quota that no other shard lacks. */
double fc_quota_adjust_by_room(double limit, const fc_quota_others *others, double own_share,
                               const fc_quota_demand *own, double unplaceable);

#endif
