/* The order in which a worker sent its heartbeats. It holds across owners and terms, because a delayed
 * copy of a heartbeat may arrive minutes late, also at a member that has just become the owner of the
 * machine. */
#ifndef FC_CONTROLLER_HEARTBEAT_ORDER_H
#define FC_CONTROLLER_HEARTBEAT_ORDER_H

#include <stdbool.h>

#include "bookkeeping/machine_state.h"
#include "protocol/worker_api.h"

/* Returns whether the heartbeat was sent after every message received from the machine so far. */
bool fc_heartbeat_order_is_newer(const fc_machine *machine, const fc_heartbeat *heartbeat);

#endif
