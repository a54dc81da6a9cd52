/* Which kinds of machine (type, zone, spot or on-demand) the cloud has refused lately for lack of
 * capacity: they are not asked for again for a while. */
#ifndef FC_CONTROLLER_CAPACITY_REFUSALS_H
#define FC_CONTROLLER_CAPACITY_REFUSALS_H

#include <stdbool.h>

#include "bookkeeping/cluster.h"

typedef struct fc_capacity_refusals fc_capacity_refusals;

/* The cluster state has to outlive it; it lives as long as the process. */
fc_capacity_refusals *fc_capacity_refusals_new(const fc_cluster *cluster);

/* The kind has been refused; it counts so until that steady time. `type`: by name. */
void fc_capacity_refusals_note(fc_capacity_refusals *refusals, const char *type, const char *zone, bool spot,
                               double until);
/* Does the kind count as refused now? An fc_capacity_refused_fn: `type` is an index into the machine
 * types, `refusals` an fc_capacity_refusals. */
bool fc_capacity_refusals_active(int type, const char *zone, bool spot, void *refusals);

#endif
