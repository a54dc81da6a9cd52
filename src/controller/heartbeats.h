/* Heartbeats: accepts and answers what workers send at regular intervals. The owner of the machine
 * answers with commands. Another member sends the worker to the owner or, where that can't be
 * reached, renews the worker's lease and stops what must not run. */
#ifndef FC_CONTROLLER_HEARTBEATS_H
#define FC_CONTROLLER_HEARTBEATS_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "controller/leadership.h"
#include "controller/machine_registration.h"
#include "controller/metrics.h"
#include "controller/peers.h"
#include "controller/reconciler.h"
#include "controller/worker_calls.h"
#include "controller/worker_commands.h"

typedef struct fc_heartbeats fc_heartbeats;

/* The arguments have to outlive it. The caller frees it with fc_heartbeats_free(). */
fc_heartbeats *fc_heartbeats_new(fc_cluster *cluster, const fc_leadership *leadership, fc_peers *peers,
                                 fc_machine_registration *registration, fc_reconciler *reconciler,
                                 fc_worker_commands *commands, fc_worker_calls *calls, fc_metrics *metrics);
void fc_heartbeats_free(fc_heartbeats *heartbeats);

/* Answers the body of a heartbeat that has come on that connection (0: not known): sets the HTTP
 * status and appends the body of the answer to *out. May suspend the calling routine. */
void fc_heartbeats_answer(fc_heartbeats *heartbeats, const char *body, size_t length, uint64_t connection, int *status,
                          GString *out);

#endif
