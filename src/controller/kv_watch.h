/* The watch of the key-value store: keeps the cluster state equal to the store by one read of
 * everything and then reads of changes, each of which also proves the state current to whoever
 * waits for that. */
#ifndef FC_CONTROLLER_KV_WATCH_H
#define FC_CONTROLLER_KV_WATCH_H

#include <stdbool.h>
#include <stdint.h>

#include "controller/metrics.h"
#include "controller/record_applier.h"
#include "protocol/kv_store.h"

typedef struct fc_kv_watch fc_kv_watch;

/* The arguments have to outlive it, and it lives as long as its routines. */
fc_kv_watch *fc_kv_watch_new(fc_cluster *cluster, fc_kv *kv, fc_record_applier *applier, fc_leadership *leadership,
                             fc_wakeups *wakeups, fc_metrics *metrics);
/* Starts its routines; false: out of memory. */
bool fc_kv_watch_start(fc_kv_watch *watch);

/* These suspend the calling routine: jobs and machines have to be looked up anew afterwards.
 * Deadlines are steady times; false: the deadline has come, or the routine was cancelled. */

/* Waits until everything that was committed before this call has been applied. */
bool fc_kv_watch_wait_fresh(fc_kv_watch *watch, double deadline);
/* Waits until the given revision has been applied. */
bool fc_kv_watch_wait_revision(fc_kv_watch *watch, uint64_t revision, double deadline);
/* Waits until the outcome of a write, executed at the revision or not, is in the cluster state. */
void fc_kv_watch_wait_outcome(fc_kv_watch *watch, fc_kv_result result, uint64_t revision, double deadline);

/* How many rows a read of everything asks for at once: as many as the processor parses in a
 * moment. */
unsigned fc_kv_watch_page_rows(const fc_settings *settings);

#endif
