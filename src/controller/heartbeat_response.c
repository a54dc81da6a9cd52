#include "controller/heartbeat_response.h"

#include "protocol/job.h"

enum { STATUS_OK = 200, STATUS_BAD_REQUEST = 400, STATUS_MISDIRECTED = 421, STATUS_UNAVAILABLE = 503 };

void fc_heartbeat_response_accept(const fc_heartbeat_response *response, uint64_t fencing_token,
                                  const GArray *commands) {
  *response->status = STATUS_OK;
  fc_heartbeat_answer(response->body, fencing_token, commands ? (const fc_command *)commands->data : NULL,
                      commands ? commands->len : 0);
}

void fc_heartbeat_response_redirect(const fc_heartbeat_response *response, const char *controller) {
  *response->status = STATUS_MISDIRECTED;
  fc_worker_redirect_answer(response->body, controller);
}

void fc_heartbeat_response_refuse(const fc_heartbeat_response *response) {
  *response->status = STATUS_UNAVAILABLE;
  g_string_truncate(response->body, 0);
  fc_error_answer(response->body, "not entitled now");
}

void fc_heartbeat_response_malformed(const fc_heartbeat_response *response) {
  *response->status = STATUS_BAD_REQUEST;
  fc_error_answer(response->body, "malformed report");
}
