/* Transfers whole machines of this shard to other members, for gangs that no shard can hold: reserves and empties them,
 * then writes their records. */
#ifndef FC_CONTROLLER_TRANSFER_EXECUTION_H
#define FC_CONTROLLER_TRANSFER_EXECUTION_H

#include "bookkeeping/group_commit.h"
#include "controller/kv_watch.h"
#include "controller/worker_calls.h"
#include "scheduler/machine_transfer.h"

typedef struct fc_transfer_execution fc_transfer_execution;

/* The arguments must outlive the result, which is never freed. */
fc_transfer_execution *fc_transfer_execution_new(fc_cluster *cluster, fc_group_commit *commit, fc_kv_watch *watch,
                                                 fc_worker_calls *calls, fc_metrics *metrics);

/* Starts the transfers (fc_machine_transfer) of a plan whose machines are empty, and preempts tasks on the other
 * machines where the plan says so. Returns at once. */
void fc_transfer_execution_begin(fc_transfer_execution *execution, const GArray *plan);

#endif
