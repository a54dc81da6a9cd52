/* A controller: builds its modules from the settings, connects them, and starts their routines
 * (docs/architecture.md). */
#ifndef FC_CONTROLLER_CONTROLLER_H
#define FC_CONTROLLER_CONTROLLER_H

#include "bookkeeping/cluster.h"
#include "controller/metrics.h"
#include "protocol/settings.h"

typedef struct fc_controller fc_controller;

/* Why a controller failed to start. */
typedef enum {
  FC_CONTROLLER_OK,
  FC_CONTROLLER_CLIENT_LISTEN, /* can't listen on the client address */
  FC_CONTROLLER_PEER_LISTEN,   /* can't listen on the peer address */
  FC_CONTROLLER_NO_MEMORY,     /* can't start a routine */
} fc_controller_error;

/* A message for the operator, which names the setting concerned if there is one; a constant string. */
const char *fc_controller_strerror(fc_controller_error error);

/* Builds the controller, listens, and starts all routines; the event loop must be initialised. The
 * settings must outlive the controller, which lives as long as the process. After an error some
 * routines may be running already, and the process must exit. */
fc_controller_error fc_controller_start(const fc_settings *settings, fc_controller **out);

/* For tests: its counters since the start, and its cluster state. Owned by the controller. */
const fc_counters *fc_controller_counters(const fc_controller *controller);
const fc_cluster *fc_controller_cluster(const fc_controller *controller);

#endif
