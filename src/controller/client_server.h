/* HTTP server at the client address, for users, workers and health checks: routes each request to the
 * module that handles it. */
#ifndef FC_CONTROLLER_CLIENT_SERVER_H
#define FC_CONTROLLER_CLIENT_SERVER_H

#include "controller/admission.h"
#include "controller/heartbeats.h"
#include "controller/job_queries.h"
#include "controller/readiness.h"

typedef struct fc_client_server fc_client_server;

/* Modules that it uses; all must outlive it. */
typedef struct fc_client_server_deps {
  const fc_settings *settings;
  fc_admission *admission;
  fc_job_queries *queries;
  fc_readiness *readiness;
  fc_heartbeats *heartbeats;
  fc_metrics *metrics;
} fc_client_server_deps;

/* `deps` is copied. The result lives as long as its routines. */
fc_client_server *fc_client_server_new(const fc_client_server_deps *deps);
/* Listens on the client address of the settings. False if that fails. */
bool fc_client_server_start(fc_client_server *server);

#endif
