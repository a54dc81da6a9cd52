/* Readiness probe: whether the load balancer should route users to this controller. */
#ifndef FC_CONTROLLER_READINESS_H
#define FC_CONTROLLER_READINESS_H

#include <stdbool.h>

#include "bookkeeping/cluster.h"
#include "controller/leadership.h"
#include "controller/peers.h"

typedef struct fc_readiness fc_readiness;

/* The arguments must outlive the result, which lives as long as the process. */
fc_readiness *fc_readiness_new(const fc_cluster *cluster, const fc_leadership *leadership, fc_peers *peers);

/* Ready while this controller reaches the key-value store and knows the machine types. While no
 * controller reaches the store, this one stays ready and refuses at once what it can't serve: leaving
 * the load balancer would only prolong the outage by the balancer's delays. Not ready if a peer still
 * reaches the store and can serve users instead, or if this controller reaches no peer either and has
 * lost its leadership. */
bool fc_readiness_is_ready(const fc_readiness *readiness);

#endif
