/* Readiness: should the load balancer send users to this controller? */
#ifndef FC_CONTROLLER_READINESS_H
#define FC_CONTROLLER_READINESS_H

#include <stdbool.h>

#include "bookkeeping/cluster.h"
#include "controller/leadership.h"
#include "controller/peers.h"

typedef struct fc_readiness fc_readiness;

/* The arguments have to outlive it; it lives as long as the process. */
fc_readiness *fc_readiness_new(const fc_cluster *cluster, const fc_leadership *leadership, fc_peers *peers);

/* While no controller reaches the key-value store, being taken out of the load balancer would only
 * add its pauses to the outage: we stay, and refuse at once what we can't do. When a peer still
 * reaches it, users are better off there. */
bool fc_readiness_is_ready(const fc_readiness *readiness);

#endif
