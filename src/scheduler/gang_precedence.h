/* Precedence of a gang under its team's limit. Two gangs that each gather half of the limit would
 * both be pending forever, and so would one whose team's limit is used up task by task (fault
 * test, seed 249): one gang of the team at a time gathers, and arrays of its priority or lower start
 * nothing until its owner's share of the limit holds all of it, and then nothing out of that. Pure
 * functions over the cluster state. */
#ifndef FC_SCHEDULER_GANG_PRECEDENCE_H
#define FC_SCHEDULER_GANG_PRECEDENCE_H

#include "bookkeeping/cluster.h"

/* Is the job a gang that may start, and is nothing of it anywhere? */
bool fc_gang_pending(const fc_job *job);
/* May the job's tasks be preempted for a gang of the priority: is it an array of lower priority? */
bool fc_job_preemptible_for_gang(const fc_job *job, fc_priority gang_priority);
/* Sets for each team of the settings the gang that has precedence, of those pending in any shard:
 * the first, in an order that is the same on every member, that fits the limit beside what can't be
 * preempted for it. NULL: none, or the team has no limit. */
void fc_gang_precedence(const fc_cluster *cluster, const fc_job *preceding[FC_TEAMS_MAX]);
/* Must the job leave its team's limit to that gang (NULL: no gang)? */
bool fc_gang_precedes(const fc_cluster *cluster, const fc_job *gang, const fc_job *job, double now);

/* The preceding gangs of all teams, as one plan sees them. */
typedef struct fc_gang_order {
  const fc_cluster *cluster;
  double now;
  const fc_job *preceding[FC_TEAMS_MAX]; /* NULL: none */
  bool share_held[FC_TEAMS_MAX];         /* its owner's share of the limit holds all of it */
} fc_gang_order;

/* `now`: steady time. Valid while the cluster state does not change. */
void fc_gang_order_take(const fc_cluster *cluster, fc_gang_order *order, double now);
/* Must nothing of the job be started now, to leave its team's limit to a gang? The job's team is in
 * the settings. */
bool fc_gang_order_holds_back(const fc_gang_order *order, const fc_job *job);
/* What of our allowance the job has to leave to a gang of ours that precedes it; nothing: none does. */
fc_resources fc_gang_order_reserved(const fc_gang_order *order, const fc_job *job);

#endif
