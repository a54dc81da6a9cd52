/* Applies records read from the key-value store to the cluster state: the term, members, jobs and
 * their descriptions, machines, rentals and the quota. */
#ifndef FC_CONTROLLER_RECORD_APPLIER_H
#define FC_CONTROLLER_RECORD_APPLIER_H

#include <glib.h>
#include <stdbool.h>

#include "bookkeeping/cluster.h"
#include "controller/cancellations.h"
#include "controller/leadership.h"
#include "controller/peers.h"
#include "controller/wakeups.h"
#include "protocol/kv_store.h"

typedef struct fc_record_applier fc_record_applier;

/* The arguments must outlive the result, which lives as long as the process. */
fc_record_applier *fc_record_applier_new(fc_cluster *cluster, fc_leadership *leadership, fc_peers *peers,
                                         fc_cancellations *cancellations, fc_wakeups *wakeups);

/* Applies the value or the deletion of one key if it is newer than the known one. `read_as_change`: it was
 * read as a change, in the order of revisions, and not as part of a snapshot. A malformed record is
 * logged and skipped. */
void fc_record_applier_apply(fc_record_applier *applier, const fc_kv_change *change, bool read_as_change);
/* After a snapshot as of the revision: removes the jobs, descriptions, machines, members' keys and
 * rentals whose key is not in `present`, a set of strings. Jobs, descriptions and machines newer than
 * the revision stay. */
void fc_record_applier_retain(fc_record_applier *applier, GHashTable *present, uint64_t revision);

#endif
