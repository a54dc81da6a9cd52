#include "controller/heartbeat_order.h"

bool fc_heartbeat_order_is_newer(const fc_machine *machine, const fc_heartbeat *heartbeat) {
  const fc_machine_agent *agent = &machine->agent;
  if (heartbeat->fencing_token < agent->fencing_token) return false; /* a worker's fencing token never decreases */
  return heartbeat->epoch > agent->epoch || (heartbeat->epoch == agent->epoch && heartbeat->sequence > agent->sequence);
}
