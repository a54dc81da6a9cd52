/* Scale-in: which machines are no longer worth their price. Pure functions over the cluster state. */
#ifndef FC_SCHEDULER_SCALE_IN_H
#define FC_SCHEDULER_SCALE_IN_H

#include <glib.h>

#include "bookkeeping/cluster.h"

/* A set of the machines (fc_machine pointers, the cluster's) that neither the queue nor the room
 * reserved for arrivals needs. The caller destroys it. */
GHashTable *fc_scale_in_surplus(const fc_cluster *cluster, double now);
/* Has the machine been idle for so long that renting another later is cheaper than keeping it? */
bool fc_machine_idle_too_long(const fc_cluster *cluster, const fc_machine *machine, double now);

#endif
