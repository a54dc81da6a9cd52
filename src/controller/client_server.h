/* The server at the address for users, workers and health checks: hands each request to the module
 * that serves it. */
#ifndef FC_CONTROLLER_CLIENT_SERVER_H
#define FC_CONTROLLER_CLIENT_SERVER_H

#include "controller/admission.h"
#include "controller/heartbeats.h"
#include "controller/job_queries.h"
#include "controller/readiness.h"

typedef struct fc_client_server fc_client_server;

/* What it works with; everything has to outlive it. */
typedef struct fc_client_server_deps {
  const fc_settings *settings;
  fc_admission *admission;
  fc_job_queries *queries;
  fc_readiness *readiness;
  fc_heartbeats *heartbeats;
  fc_metrics *metrics;
} fc_client_server_deps;

/* Lives as long as its routines. */
fc_client_server *fc_client_server_new(const fc_client_server_deps *deps);
/* Listens at the settings' client address; false: it can't. */
bool fc_client_server_start(fc_client_server *server);

#endif
