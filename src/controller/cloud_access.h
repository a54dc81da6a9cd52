/* Access to the cloud: the client, and a limiter for this member's share of the cloud's request rate. Each request
 * needs a successful acquire first. */
#ifndef FC_CONTROLLER_CLOUD_ACCESS_H
#define FC_CONTROLLER_CLOUD_ACCESS_H

#include <stdbool.h>

#include "bookkeeping/cluster.h"
#include "controller/leadership.h"
#include "protocol/cloud_api.h"

typedef struct fc_cloud_access fc_cloud_access;

/* The arguments must outlive the result, which is never freed. */
fc_cloud_access *fc_cloud_access_new(const fc_cluster *cluster, const fc_leadership *leadership);

/* The client; owned by `access`. */
fc_cloud *fc_cloud_access_client(const fc_cloud_access *access);

/* Waits until one request may be sent. May suspend the calling routine. Returns false if the routine was cancelled. */
bool fc_cloud_access_acquire(fc_cloud_access *access);
/* The same for a request that only the leader of this shard may send. Returns false if the routine was cancelled, or
 * the leadership is not held after the wait. */
bool fc_cloud_access_acquire_as_leader(fc_cloud_access *access);

#endif
