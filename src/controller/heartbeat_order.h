/* The order of what a worker sends: which of two messages it sent later. It holds across owners
 * and terms, as a copy of a heartbeat may come minutes late, also to a member that has just become
 * the owner of the machine. */
#ifndef FC_CONTROLLER_HEARTBEAT_ORDER_H
#define FC_CONTROLLER_HEARTBEAT_ORDER_H

#include <stdbool.h>

#include "bookkeeping/machine_state.h"
#include "protocol/worker_api.h"

/* Was the heartbeat sent after everything that has come from the machine so far? */
bool fc_heartbeat_order_is_newer(const fc_machine *machine, const fc_heartbeat *heartbeat);

#endif
