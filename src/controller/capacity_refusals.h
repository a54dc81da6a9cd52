/* Remembers which kinds of machine (type, zone, spot or on-demand) the cloud has recently refused for lack of capacity,
 * so that they are not requested again for a while. */
#ifndef FC_CONTROLLER_CAPACITY_REFUSALS_H
#define FC_CONTROLLER_CAPACITY_REFUSALS_H

#include <stdbool.h>

#include "bookkeeping/cluster.h"

typedef struct fc_capacity_refusals fc_capacity_refusals;

/* `cluster` must outlive the result, which is never freed. */
fc_capacity_refusals *fc_capacity_refusals_new(const fc_cluster *cluster);

/* Records that the kind was refused; the refusal is valid until the monotonic time `until`. `type`: name of the machine
 * type. */
void fc_capacity_refusals_note(fc_capacity_refusals *refusals, const char *type, const char *zone, bool spot,
                               double until);
/* Whether a refusal of the kind is still valid. An fc_capacity_refused_fn: `type` is an index into the machine types,
 * `refusals` an fc_capacity_refusals. */
bool fc_capacity_refusals_active(int type, const char *zone, bool spot, void *refusals);

#endif
