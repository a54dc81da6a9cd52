/* Watches the key-value store: loads a snapshot into the cluster state and then applies changes. Every
 * read of changes also proves to waiting routines that the cluster state is current. */
#ifndef FC_CONTROLLER_KV_WATCH_H
#define FC_CONTROLLER_KV_WATCH_H

#include <stdbool.h>
#include <stdint.h>

#include "controller/metrics.h"
#include "controller/record_applier.h"
#include "protocol/kv_store.h"

typedef struct fc_kv_watch fc_kv_watch;

/* The arguments must outlive the result, which lives as long as its routines. */
fc_kv_watch *fc_kv_watch_new(fc_cluster *cluster, fc_kv *kv, fc_record_applier *applier, fc_leadership *leadership,
                             fc_wakeups *wakeups, fc_metrics *metrics);
/* Starts its routines. False if out of memory. */
bool fc_kv_watch_start(fc_kv_watch *watch);

/* The wait functions may suspend the calling routine: pointers to jobs and machines are invalid
 * afterwards. Deadlines are monotonic times. False at the deadline, or when the routine is
 * cancelled. */

/* Waits until everything committed before this call has been applied. */
bool fc_kv_watch_wait_fresh(fc_kv_watch *watch, double deadline);
/* Waits until the revision has been applied. */
bool fc_kv_watch_wait_revision(fc_kv_watch *watch, uint64_t revision, double deadline);
/* Waits until the cluster state shows the outcome of a write: up to `revision` if the result is OK,
 * otherwise up to a fresh read. */
void fc_kv_watch_wait_outcome(fc_kv_watch *watch, fc_kv_result result, uint64_t revision, double deadline);

/* The number of rows per page of the snapshot: as many as can be parsed within the CPU limit without
 * delaying other routines. */
unsigned fc_kv_watch_page_rows(const fc_settings *settings);

#endif
