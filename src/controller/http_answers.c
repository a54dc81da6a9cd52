#include "controller/http_answers.h"

#include "protocol/job.h"

#define RETRY_AFTER_S 1

void fc_http_answer_error(fc_http_response *response, int status, const char *error) {
  response->status = status;
  fc_error_answer(response->body, error);
}

void fc_http_answer_retry(fc_http_response *response, int status, const char *error) {
  fc_http_answer_error(response, status, error);
  response->retry_after_s = RETRY_AFTER_S;
}
