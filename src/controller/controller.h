/* One controller: builds its modules from the settings, hands each what it needs, and starts their
 * routines (docs/architecture.md). */
#ifndef FC_CONTROLLER_CONTROLLER_H
#define FC_CONTROLLER_CONTROLLER_H

#include "bookkeeping/cluster.h"
#include "controller/metrics.h"
#include "protocol/settings.h"

typedef struct fc_controller fc_controller;

/* Why a controller can't start. */
typedef enum {
  FC_CONTROLLER_OK,
  FC_CONTROLLER_CLIENT_LISTEN, /* the client address can't be listened at */
  FC_CONTROLLER_PEER_LISTEN,   /* the peer address can't */
  FC_CONTROLLER_NO_MEMORY,     /* a routine can't be started */
} fc_controller_error;

/* A line for the operator that names the setting, where it is one; a constant. */
const char *fc_controller_strerror(fc_controller_error error);

/* Starts listening and all routines; the event loop has to be initialised. The settings have to
 * outlive the controller, which lives as long as the process. After an error some of its routines
 * may run already, and the process has to end. */
fc_controller_error fc_controller_start(const fc_settings *settings, fc_controller **out);

/* For tests: what it has counted since its start, and what it knows. */
const fc_counters *fc_controller_counters(const fc_controller *controller);
const fc_cluster *fc_controller_cluster(const fc_controller *controller);

#endif
