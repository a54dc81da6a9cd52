/* One HTTP call with JSON both ways, for the outside services. */
#ifndef FC_PROTOCOL_JSON_CALL_H
#define FC_PROTOCOL_JSON_CALL_H

#include <jansson.h>
#include <stdbool.h>

#include "transport/http.h"

typedef struct fc_json_reply {
  int status;     /* 0: no answer; it may or may not be carried out */
  bool too_large; /* the answer was, and was not read */
  bool unsent;    /* no connection: certainly not carried out */
  json_t *object; /* the body when it is an object ({} when empty), else NULL */
  GString *text;  /* the body as it came */
} fc_json_reply;

/* Takes the reference to `body` (NULL: none). */
fc_json_reply fc_json_call(fc_http_client *http, const char *method, const char *path, json_t *body, double deadline);
void fc_json_reply_clear(fc_json_reply *reply);

#endif
