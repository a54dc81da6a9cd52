/* Answers to users that are no job's state: errors, final or to be retried. */
#ifndef FC_CONTROLLER_HTTP_ANSWERS_H
#define FC_CONTROLLER_HTTP_ANSWERS_H

#include "transport/http.h"

/* Answers with an error that a retry would get again. */
void fc_http_answer_error(fc_http_response *response, int status, const char *error);
/* Answers that the request can't be served now, at once and with the time to retry. */
void fc_http_answer_retry(fc_http_response *response, int status, const char *error);

#endif
