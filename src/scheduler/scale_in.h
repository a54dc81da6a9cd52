/* Scale-in: finds machines that are no longer worth their price. Pure functions over the cluster state. */
#ifndef FC_SCHEDULER_SCALE_IN_H
#define FC_SCHEDULER_SCALE_IN_H

#include <glib.h>

#include "bookkeeping/cluster.h"

/* Returns the set of machines (fc_machine pointers, owned by the cluster) that neither the queue nor the headroom for
 * expected arrivals needs. The caller destroys the set. */
GHashTable *fc_scale_in_surplus(const fc_cluster *cluster, double now);
/* Returns whether the machine has been idle for so long that renting another one later is cheaper than keeping it. */
bool fc_machine_idle_too_long(const fc_cluster *cluster, const fc_machine *machine, double now);

#endif
