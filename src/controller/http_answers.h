/* Error responses to HTTP requests, final or with a time to retry. */
#ifndef FC_CONTROLLER_HTTP_ANSWERS_H
#define FC_CONTROLLER_HTTP_ANSWERS_H

#include "transport/http.h"

/* Responds with an error that a retry would not avoid. */
void fc_http_answer_error(fc_http_response *response, int status, const char *error);
/* Responds that the request can't be served now, with a Retry-After header. */
void fc_http_answer_retry(fc_http_response *response, int status, const char *error);

#endif
