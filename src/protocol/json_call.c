#include "protocol/json_call.h"

#include "protocol/json.h"

/* The JSON object in a response's body, an empty object if the body is empty; NULL: not an object. */
static json_t *parse_object(const GString *body) {
  if (body->len == 0) return json_object();
  json_t *value = fc_json_parse(body->str, body->len);
  if (json_is_object(value)) return value;
  json_decref(value);
  return NULL;
}

fc_json_reply fc_json_call(fc_http_client *http, const char *method, const char *path, json_t *body, double deadline) {
  g_autoptr(GString) text = NULL;
  if (body) {
    text = g_string_new(NULL);
    fc_json_append(text, body);
  }
  fc_http_reply http_reply;
  bool answered =
      fc_http_call(http, method, path, text ? text->str : NULL, text ? text->len : 0, deadline, &http_reply);
  return (fc_json_reply){
      .status = answered ? http_reply.status : 0,
      .unsent = http_reply.unsent,
      .too_large = http_reply.too_large,
      .object = answered ? parse_object(http_reply.body) : NULL,
      .text = http_reply.body,
  };
}

void fc_json_reply_clear(fc_json_reply *reply) {
  json_decref(reply->object);
  if (reply->text) g_string_free(reply->text, TRUE);
  *reply = (fc_json_reply){0};
}
