/* Which part of the pending work of teams with limits has no room where it is pending. */
#ifndef FC_CONTROLLER_QUOTA_ROOM_H
#define FC_CONTROLLER_QUOTA_ROOM_H

#include "bookkeeping/cluster.h"
#include "controller/quota_tally.h"

/* Sets the tally's unplaceable amounts, for teams of whose limit the quota record leaves a part
 * unused at one member while another lacks some; only there it makes a difference, and a look at all
 * machines is worth it. `now`: steady time. */
void fc_quota_room_find(const fc_cluster *cluster, const fc_quota_record *quota, fc_quota_tally *tally, double now);

#endif
