/* Heartbeats of other members' machines. The worker is redirected to the machine's owner or, where the
 * owner is out of touch with it, its lease is renewed on the owner's behalf, as any member that holds
 * leadership may. */
#ifndef FC_CONTROLLER_LEASE_RENEWALS_H
#define FC_CONTROLLER_LEASE_RENEWALS_H

#include <stdbool.h>

#include "bookkeeping/cluster.h"
#include "controller/cancellations.h"
#include "controller/heartbeat_response.h"
#include "controller/leadership.h"
#include "controller/peers.h"

typedef struct fc_lease_renewals fc_lease_renewals;

/* The arguments must outlive the result, which the caller frees with fc_lease_renewals_free(). */
fc_lease_renewals *fc_lease_renewals_new(const fc_cluster *cluster, const fc_leadership *leadership,
                                         const fc_cancellations *cancellations, fc_peers *peers);
void fc_lease_renewals_free(fc_lease_renewals *renewals);

/* Answers the heartbeat of a machine that another member owns, while this member holds leadership.
 * Returns false, without a response, if the heartbeat is to be refused. */
bool fc_lease_renewals_answer(const fc_lease_renewals *renewals, fc_machine *machine,
                              const fc_received_heartbeat *received, const fc_heartbeat_response *response);

#endif
