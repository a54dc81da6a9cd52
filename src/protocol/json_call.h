/* One HTTP call with JSON both ways, for the key-value store and the cloud. */
#ifndef FC_PROTOCOL_JSON_CALL_H
#define FC_PROTOCOL_JSON_CALL_H

#include <jansson.h>
#include <stdbool.h>

#include "transport/http.h"

typedef struct fc_json_reply {
  int status;     /* 0: no answer; the request may or may not be executed */
  bool too_large; /* there was an answer, too large to be read */
  bool unsent;    /* no connection: the request is not executed */
  json_t *object; /* the body when it is an object ({} when empty), else NULL */
  GString *text;  /* the body as received */
} fc_json_reply;

/* Takes the reference to `body` (NULL: none). `deadline` is a time of the monotonic clock. The reply
 * is the caller's, to be freed with fc_json_reply_clear(). May suspend the calling routine. */
fc_json_reply fc_json_call(fc_http_client *http, const char *method, const char *path, json_t *body, double deadline);
void fc_json_reply_clear(fc_json_reply *reply);

#endif
