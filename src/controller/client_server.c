#include "controller/client_server.h"

#include "controller/http_answers.h"
#include "protocol/routes.h"

/* The part of the file descriptors for client connections; the rest is for peers, the key-value store,
 * the cloud and calls to workers. */
#define CLIENT_CONNECTIONS_MAX(fd_limit) ((fd_limit)*3 / 4)

/* An idle connection is closed after this many worker leases, but not before the minimum. */
#define IDLE_TIMEOUT_LEASES 4
#define IDLE_TIMEOUT_MIN_S 30.0

#define REQUEST_TIMEOUT_HEARTBEATS 2

#define HEARTBEAT_ACCEPTED 200

struct fc_client_server {
  fc_client_server_deps deps;
};

fc_client_server *fc_client_server_new(const fc_client_server_deps *deps) {
  fc_client_server *server = g_new(fc_client_server, 1);
  *server = (fc_client_server){.deps = *deps};
  return server;
}

static void serve_submission(const fc_client_server *server, const fc_http_request *request,
                             fc_http_response *response) {
  fc_metrics *metrics = server->deps.metrics;
  double began_at = fc_now();
  fc_metrics_enter_duty(metrics, FC_DUTY_SUBMISSIONS);
  fc_admission_submit(server->deps.admission, request, response);
  fc_metrics_observe_duration(metrics, FC_DURATION_SUBMIT, fc_now() - began_at);
}

static void serve_poll(const fc_client_server *server, const char *id, fc_http_response *response) {
  fc_metrics *metrics = server->deps.metrics;
  double began_at = fc_now();
  fc_metrics_enter_duty(metrics, FC_DUTY_QUERIES);
  fc_job_queries_poll(server->deps.queries, id, response);
  fc_metrics_observe_duration(metrics, FC_DURATION_POLL, fc_now() - began_at);
}

static void serve_readiness(const fc_client_server *server, fc_http_response *response) {
  if (!fc_readiness_is_ready(server->deps.readiness)) {
    fc_http_answer_retry(response, 503, "not ready");
    return;
  }
  response->status = 200;
  fc_ready_answer(response->body);
}

static void serve(const fc_http_request *request, fc_http_response *response, void *arg) {
  const fc_client_server *server = arg;
  fc_metrics *metrics = server->deps.metrics;
  char id[FC_ROUTE_ID_SIZE];
  const char *allow;
  metrics->counters.requests++;
  fc_route route = fc_route_of(request->method, request->path, id, &allow);
  /* Near the limit only workers may reuse their connections; users can reconnect. */
  response->close = request->near_connection_limit && route != FC_ROUTE_HEARTBEAT;
  switch (route) {
    case FC_ROUTE_HEARTBEAT:
      fc_metrics_enter_duty(metrics, FC_DUTY_HEARTBEATS);
      fc_heartbeats_answer(server->deps.heartbeats, request->body, request->body_len, request->connection,
                           &response->status, response->body);
      /* A worker that has to connect anew again and again would lose its lease. */
      response->reserve = response->status == HEARTBEAT_ACCEPTED;
      break;
    case FC_ROUTE_SUBMIT:
      serve_submission(server, request, response);
      break;
    case FC_ROUTE_POLL:
      serve_poll(server, id, response);
      break;
    case FC_ROUTE_CANCEL:
      fc_metrics_enter_duty(metrics, FC_DUTY_QUERIES);
      fc_job_queries_cancel(server->deps.queries, id, response);
      break;
    case FC_ROUTE_READY:
      serve_readiness(server, response);
      break;
    case FC_ROUTE_WRONG_METHOD:
      fc_http_answer_error(response, 405, "wrong method");
      response->allow = allow;
      break;
    case FC_ROUTE_METRICS: /* served at the peer address only */
    case FC_ROUTE_NONE:
      fc_http_answer_error(response, 404, "no such path");
      break;
  }
}

bool fc_client_server_start(fc_client_server *server) {
  const fc_settings *settings = server->deps.settings;
  fc_http_server_options options = {
      .max_connections = CLIENT_CONNECTIONS_MAX(settings->fd_limit),
      .idle_timeout_s = MAX(settings->lease_s * IDLE_TIMEOUT_LEASES, IDLE_TIMEOUT_MIN_S),
      .request_timeout_s = settings->heartbeat_s * REQUEST_TIMEOUT_HEARTBEATS,
  };
  return fc_http_serve(&settings->client_at, &options, serve, server);
}
