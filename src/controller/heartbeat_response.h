/* A received heartbeat, and the HTTP response to it. */
#ifndef FC_CONTROLLER_HEARTBEAT_RESPONSE_H
#define FC_CONTROLLER_HEARTBEAT_RESPONSE_H

#include <glib.h>
#include <stdint.h>

#include "protocol/worker_api.h"

/* A heartbeat and the number of the connection that it came on; 0: not known. */
typedef struct fc_received_heartbeat {
  fc_heartbeat heartbeat;
  uint64_t connection;
} fc_received_heartbeat;

/* Where the response is written. */
typedef struct fc_heartbeat_response {
  int *status;
  GString *body; /* empty at first */
} fc_heartbeat_response;

/* Responds with status 200, which renews the worker's lease, and the commands (fc_command); NULL: none. */
void fc_heartbeat_response_accept(const fc_heartbeat_response *response, uint64_t fencing_token,
                                  const GArray *commands);
/* Redirects the worker to the controller of that name. */
void fc_heartbeat_response_redirect(const fc_heartbeat_response *response, const char *controller);
/* Refuses the heartbeat, so that the worker tries the next controller. */
void fc_heartbeat_response_refuse(const fc_heartbeat_response *response);
/* Reports that the heartbeat is malformed. */
void fc_heartbeat_response_malformed(const fc_heartbeat_response *response);

#endif
