/* Precedence of a gang under its team's limit. Two gangs that each acquire half of the limit would both be
 * pending forever, and so would a gang whose team's limit is used up task by task (fault test, seed 249).
 * Therefore one gang of a team at a time acquires quota. Arrays of its priority or lower start nothing until the
 * quota share of the gang's owner covers the whole gang, and after that use nothing of what the gang needs.
 * Pure functions over the cluster state. */
#ifndef FC_SCHEDULER_GANG_PRECEDENCE_H
#define FC_SCHEDULER_GANG_PRECEDENCE_H

#include "bookkeeping/cluster.h"

/* Returns whether the job is a runnable gang with tasks left and without any placement. */
bool fc_gang_pending(const fc_job *job);
/* Returns whether the job's tasks may be preempted for a gang of the priority: only arrays of lower priority. */
bool fc_job_preemptible_for_gang(const fc_job *job, fc_priority gang_priority);
/* Sets for each team of the settings the gang that has precedence among the gangs pending in any shard: the first
 * that fits the limit in addition to the usage that can't be preempted for it. The order is the same on every
 * member. NULL: there is none, or the team has no limit. */
void fc_gang_precedence_find(const fc_cluster *cluster, const fc_job *preceding[FC_TEAMS_MAX]);
/* Returns whether the job has to leave its team's limit to the gang (NULL: no gang). `now`: monotonic time. */
bool fc_gang_precedes(const fc_cluster *cluster, const fc_job *gang, const fc_job *job, double now);

/* The preceding gangs of all teams, computed once for a plan. */
typedef struct fc_gang_order {
  const fc_cluster *cluster;
  double now;
  const fc_job *preceding[FC_TEAMS_MAX]; /* NULL: none */
  bool share_covers[FC_TEAMS_MAX];       /* the quota share of its owner covers all of it */
} fc_gang_order;

/* Computes the order for the present cluster state: valid until that changes. `now`: monotonic time. */
void fc_gang_order_init(const fc_cluster *cluster, fc_gang_order *order, double now);
/* Returns whether no task of the job may start now, because its team's limit is left to a gang. The job's team
 * must be in the settings. */
bool fc_gang_order_holds_back(const fc_gang_order *order, const fc_job *job);
/* The part of this shard's allowance that the job has to leave to a preceding gang of this shard; zero when no
 * such gang precedes it. */
fc_resources fc_gang_order_reserved(const fc_gang_order *order, const fc_job *job);

#endif
