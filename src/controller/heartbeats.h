/* Heartbeats: accepts and answers the reports that workers send at regular intervals. The owner of the
 * machine answers with commands. Another member redirects the worker to the owner or, when the owner
 * can't be reached, renews the worker's lease and stops tasks of cancelled jobs. */
#ifndef FC_CONTROLLER_HEARTBEATS_H
#define FC_CONTROLLER_HEARTBEATS_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "controller/leadership.h"
#include "controller/lease_renewals.h"
#include "controller/machine_registration.h"
#include "controller/metrics.h"
#include "controller/reconciler.h"
#include "controller/worker_calls.h"
#include "controller/worker_commands.h"

typedef struct fc_heartbeats fc_heartbeats;

/* The modules that the handling of heartbeats uses. */
typedef struct fc_heartbeats_deps {
  fc_cluster *cluster;
  const fc_leadership *leadership;
  const fc_lease_renewals *renewals;
  fc_machine_registration *registration;
  fc_reconciler *reconciler;
  fc_worker_commands *commands;
  fc_worker_calls *calls;
  fc_metrics *metrics;
} fc_heartbeats_deps;

/* The modules in `deps` must outlive the result, which the caller frees with fc_heartbeats_free(). */
fc_heartbeats *fc_heartbeats_new(const fc_heartbeats_deps *deps);
void fc_heartbeats_free(fc_heartbeats *heartbeats);

/* Handles a heartbeat request. `body`: its body of `length` bytes; `connection`: the number of the
 * connection that it came on, 0 if not known. Sets *status to the HTTP status and appends the body
 * of the response to *out. May suspend the calling routine. */
void fc_heartbeats_answer(fc_heartbeats *heartbeats, const char *body, size_t length, uint64_t connection, int *status,
                          GString *out);

#endif
