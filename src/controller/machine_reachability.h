/* Which members reach a machine. Any member may renew a worker's lease by answering its heartbeat, and
 * may probe a machine directly; the owner learns of both from the acknowledgements of peers. */
#ifndef FC_CONTROLLER_MACHINE_REACHABILITY_H
#define FC_CONTROLLER_MACHINE_REACHABILITY_H

#include <stdbool.h>
#include <stddef.h>

#include "bookkeeping/cluster.h"
#include "controller/leadership.h"
#include "protocol/peer_frame.h"

/* Records that another member has renewed the lease of a machine's worker. `now`: monotonic time. */
void fc_reachability_note_renewal(fc_cluster *cluster, const fc_frame_lease_renewal *renewal, double now);
/* Updates `unidirectional_since` of the machine by whether a heartbeat that came on this connection shows that its
 * worker has received this member's last response. */
void fc_reachability_update_unidirectional(const fc_cluster *cluster, fc_machine *machine, uint64_t connection);
/* Records that a peer (by its index in the settings) has probed a machine directly. `sent_at`: monotonic time at which
 * the view was sent whose acknowledgement reports the probe. */
void fc_reachability_note_probe(fc_cluster *cluster, size_t peer, const fc_frame_probe *probe, double sent_at,
                                double now);
/* Returns whether another member's incarnation ended so recently that a worker whose lease it renewed
 * last may not have contacted other members yet. The period is well above the duration of a lease. */
bool fc_reachability_peer_left_recently(const fc_leadership *leadership, const fc_settings *settings, double now);
/* Returns whether every member has probed the machine without a response, recently and since the last time that an
 * incarnation of another member ended. */
bool fc_reachability_all_probes_failed(const fc_cluster *cluster, const fc_leadership *leadership,
                                       const fc_machine *machine);

#endif
