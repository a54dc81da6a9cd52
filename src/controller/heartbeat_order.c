#include "controller/heartbeat_order.h"

bool fc_heartbeat_order_is_newer(const fc_machine *machine, const fc_heartbeat *heartbeat) {
  const fc_machine_worker *worker = &machine->worker;
  if (heartbeat->fencing_token < worker->fencing_token) return false; /* a worker's fencing token never decreases */
  return heartbeat->epoch > worker->epoch ||
         (heartbeat->epoch == worker->epoch && heartbeat->sequence > worker->sequence);
}
