/* Finds how much of the pending work of teams with limits has no room on the machines of the member that owns it. */
#ifndef FC_CONTROLLER_QUOTA_ROOM_H
#define FC_CONTROLLER_QUOTA_ROOM_H

#include "bookkeeping/cluster.h"
#include "controller/quota_tally.h"

/* Sets the tally's unplaceable amounts, for teams of which one member leaves a part of its share unused while another
 * lacks some. Only for these teams are the amounts worth a pass over all machines. `now`: monotonic time. */
void fc_quota_room_find_unplaceable(const fc_cluster *cluster, const fc_quota_record *quota, fc_quota_tally *tally,
                                    double now);

#endif
