/* Machine registration: writes the record of a machine that has none yet, which also assigns its
 * owner, and adds the machine's endpoint to a record that lacks it. */
#ifndef FC_CONTROLLER_MACHINE_REGISTRATION_H
#define FC_CONTROLLER_MACHINE_REGISTRATION_H

#include "bookkeeping/cluster.h"
#include "bookkeeping/group_commit.h"
#include "controller/kv_watch.h"
#include "controller/leadership.h"
#include "controller/wakeups.h"
#include "protocol/worker_api.h"

typedef struct fc_machine_registration fc_machine_registration;

/* The arguments must outlive the result, which the caller frees with fc_machine_registration_free()
 * after all of its routines have ended. */
fc_machine_registration *fc_machine_registration_new(fc_cluster *cluster, const fc_leadership *leadership,
                                                     fc_group_commit *commit, fc_kv_watch *watch, fc_wakeups *wakeups);
void fc_machine_registration_free(fc_machine_registration *registration);

/* Writes the record of the machine that sent the heartbeat, after the machine has confirmed by a
 * direct call that it exists. Returns whether the record is in the cluster state. May suspend the
 * calling routine. */
bool fc_machine_registration_record(fc_machine_registration *registration, const fc_heartbeat *heartbeat);
/* Starts a routine that adds the machine's endpoint to its record, unless it is there. Returns at
 * once; after a failure it may be called again. No task is started on a machine before its endpoint
 * is recorded: a member that takes over the shard can so reach every machine that may hold tasks, and
 * knows that the others hold none. */
void fc_machine_registration_record_endpoint(fc_machine_registration *registration, fc_machine *machine);

#endif
