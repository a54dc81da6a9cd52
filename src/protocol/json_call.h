/* Makes HTTP calls with JSON bodies, for the clients of the key-value store and the cloud. */
#ifndef FC_PROTOCOL_JSON_CALL_H
#define FC_PROTOCOL_JSON_CALL_H

#include <jansson.h>
#include <stdbool.h>

#include "protocol/json.h"
#include "transport/http.h"

typedef struct fc_json_reply {
  int status;             /* 0: no response; unless `unsent`, the request may have been executed */
  bool too_large;         /* the response exceeded the client's size limit */
  bool unsent;            /* no connection: the request was not executed */
  json_t *object;         /* the body when it is an object ({} when empty), else NULL */
  GString *text;          /* the body as received */
  fc_message_error error; /* of a response without an object */
} fc_json_reply;

/* Sends a request and waits for the response. Takes the reference to `body` (NULL: no body). `deadline`
 * is a time of the monotonic clock. The caller frees the reply's contents with fc_json_reply_clear().
 * May suspend the calling routine. */
fc_json_reply fc_json_call(fc_http_client *http, const char *method, const char *path, json_t *body, double deadline);
void fc_json_reply_clear(fc_json_reply *reply);

#endif
