/* Which members reach a machine: any member may renew a worker's lease by answering its
 * heartbeat, and may probe a machine directly; its owner learns of that from acknowledgements. */
#ifndef FC_CONTROLLER_MACHINE_REACHABILITY_H
#define FC_CONTROLLER_MACHINE_REACHABILITY_H

#include <stdbool.h>
#include <stddef.h>

#include "bookkeeping/cluster.h"
#include "controller/leadership.h"
#include "protocol/peer_frame.h"

/* Another member has renewed the lease of the machine's worker. `now`: steady time. */
void fc_reachability_note_renewal(fc_cluster *cluster, const fc_frame_lease_renewal *renewal, double now);
/* A peer (by the order of the settings) has probed the machine directly. `sent_at`: when we sent
 * the view that it acknowledges. */
void fc_reachability_note_probe(fc_cluster *cluster, size_t peer, const fc_frame_probe *probe, double sent_at,
                                double now);
/* Has another member's incarnation ended so lately that a worker whose lease it renewed last may
 * not have come to others yet? The leases are over well before that. */
bool fc_reachability_peer_left_recently(const fc_leadership *leadership, const fc_settings *settings, double now);
/* Has every member probed the machine in vain, lately and since the last incarnation of a member
 * ended? */
bool fc_reachability_all_probes_failed(const fc_cluster *cluster, const fc_leadership *leadership,
                                       const fc_machine *machine);

#endif
