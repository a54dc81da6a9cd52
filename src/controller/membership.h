/* Membership: opens and renews this controller's lease in the key-value store, joins the term, and
 * excludes members whose leases have expired (failover). */
#ifndef FC_CONTROLLER_MEMBERSHIP_H
#define FC_CONTROLLER_MEMBERSHIP_H

#include "controller/kv_watch.h"

typedef struct fc_membership_routine fc_membership_routine;

/* The arguments must outlive the result, which is never freed: its routine runs as long as the
 * process. */
fc_membership_routine *fc_membership_routine_new(fc_cluster *cluster, fc_kv *kv, fc_kv_watch *watch,
                                                 fc_leadership *leadership, fc_peers *peers, fc_metrics *metrics);
/* Starts the membership routine. Returns false when out of memory. */
bool fc_membership_routine_start(fc_membership_routine *routine);

#endif
