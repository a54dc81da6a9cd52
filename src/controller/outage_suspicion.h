/* Suspicion of a network outage. When most machines are silent at the same time, the network is the
 * likely cause: most of this member's machines or of the whole fleet suggest this member's own
 * connection, most of one zone's machines the connection of the zone. If the machines of a zone were
 * returned at once, their capacity would be missing after the outage until new ones have started up. */
#ifndef FC_CONTROLLER_OUTAGE_SUSPICION_H
#define FC_CONTROLLER_OUTAGE_SUSPICION_H

#include <stdbool.h>

#include "bookkeeping/cluster.h"
#include "controller/peers.h"

typedef struct fc_outage_suspicion {
  bool everywhere;              /* this member's own connection may be cut */
  bool zones[FC_ZONES_MAX + 1]; /* by fc_machine.zone: the connection of the zone may be cut */
} fc_outage_suspicion;

/* Derives the suspicion at monotonic time `now` from the state of all machines. */
fc_outage_suspicion fc_outage_suspicion_assess(const fc_cluster *cluster, fc_peers *peers, double now);
/* Returns whether a suspected outage may explain the silence of the machine. */
bool fc_outage_suspicion_covers(const fc_outage_suspicion *suspicion, const fc_machine *machine);

#endif
