/* Division of the teams' limits into one quota share for each shard. The sum of the shares never
 * passes the limit, in whatever order messages arrive. Pure arithmetic on amounts of one resource
 * (CPUs or GPUs). */
#ifndef FC_COORDINATION_QUOTA_DIVISION_H
#define FC_COORDINATION_QUOTA_DIVISION_H

#include <stdbool.h>
#include <stddef.h>

/* What one team uses and asks for of one resource in one shard. */
typedef struct fc_quota_demand {
  double used;   /* what may be running on the shard's machines */
  double wanted; /* what its pending tasks ask for besides */
  double least;  /* the smallest amount with which one of those can start; 0: not known */
} fc_quota_demand;

/* The sums over all other shards. What they lack is what they use and could place beyond their
 * shares. */
typedef struct fc_quota_others {
  double assigned, lacking;
  size_t count;
} fc_quota_others;

/* The first division in a term: each shard's share is what it uses; the rest of `limit` is divided
 * in proportion to the pending demand, and what is left over evenly. `demands` and `shares` have
 * `count` entries.
 * False when the use alone passes the limit, which is possible because tasks that may be running
 * count as used; the shares are then unusable, since they could not be changed safely later. */
bool fc_quota_divide(double limit, const fc_quota_demand *demands, size_t count, double *shares);

/* The share that a shard should request now; `own_share` is its present one. Never below what it
 * uses, never above what the limit leaves. Every change is a write that delays other writes. So a
 * shard that needs more also takes an even part of what is unassigned. It gives back only when
 * others lack more than is unassigned: then at least half of what it can spare, or all that is too
 * little to start any pending task. */
double fc_quota_adjust(double limit, const fc_quota_others *others, double own_share, const fc_quota_demand *own);
/* The same where `unplaceable` of what the shard's pending tasks want finds no room on its machines
 * now: it can spare that for others, and takes it only while no other lacks any. */
double fc_quota_adjust_by_room(double limit, const fc_quota_others *others, double own_share,
                               const fc_quota_demand *own, double unplaceable);

#endif
