/* Suspicion of a network outage. Where most machines become silent together it is the network: a
 * controller that sees it of its own machines, or of the whole fleet, suspects its own connection;
 * of those of one zone, the zone's. Returned at once, the machines of a zone would be missing for
 * as long as new ones take to start up after it is back. */
#ifndef FC_CONTROLLER_OUTAGE_SUSPICION_H
#define FC_CONTROLLER_OUTAGE_SUSPICION_H

#include <stdbool.h>

#include "bookkeeping/cluster.h"
#include "controller/peers.h"

typedef struct fc_outage_suspicion {
  bool everywhere;              /* our own connection may be cut */
  bool zones[FC_ZONES_MAX + 1]; /* by fc_machine.zone: the zone's may be */
} fc_outage_suspicion;

/* What is suspected at `now` (steady time), by the state of all machines. */
fc_outage_suspicion fc_outage_suspicion_assess(const fc_cluster *cluster, fc_peers *peers, double now);
/* May an outage be why the machine is silent? */
bool fc_outage_suspicion_covers(const fc_outage_suspicion *suspicion, const fc_machine *machine);

#endif
