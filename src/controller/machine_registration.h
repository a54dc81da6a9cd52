/* Machine registration: writes the record of a machine that has none yet, which also gives it an
 * owner, and adds the address of a machine to its record. */
#ifndef FC_CONTROLLER_MACHINE_REGISTRATION_H
#define FC_CONTROLLER_MACHINE_REGISTRATION_H

#include "bookkeeping/cluster.h"
#include "bookkeeping/group_commit.h"
#include "controller/kv_watch.h"
#include "controller/leadership.h"
#include "controller/wakeups.h"
#include "protocol/worker_api.h"

typedef struct fc_machine_registration fc_machine_registration;

/* The arguments have to outlive it. The caller frees it with fc_machine_registration_free(), when
 * none of its routines runs any more. */
fc_machine_registration *fc_machine_registration_new(fc_cluster *cluster, const fc_leadership *leadership,
                                                     fc_group_commit *commit, fc_kv_watch *watch, fc_wakeups *wakeups);
void fc_machine_registration_free(fc_machine_registration *registration);

/* Writes the record of the machine that has sent the heartbeat, once the machine itself has
 * confirmed that it exists. True: the record is in the cluster state. May suspend the calling
 * routine. */
bool fc_machine_registration_record(fc_machine_registration *registration, const fc_heartbeat *heartbeat);
/* Has a routine add the machine's address to its record, unless it is there. Returns at once.
 * Nothing is started on a machine before that: whoever takes over its shard can reach every machine
 * that may hold something, and knows that the others hold nothing. */
void fc_machine_registration_record_endpoint(fc_machine_registration *registration, fc_machine *machine);

#endif
