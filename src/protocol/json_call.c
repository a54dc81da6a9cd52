#include "protocol/json_call.h"

/* The JSON object in a response's body, an empty object if the body is empty; NULL: *error tells why. */
static json_t *parse_object(const GString *body, fc_message_error *error) {
  return body->len == 0 ? json_object() : fc_message_parse(body->str, body->len, error);
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
  fc_json_reply reply = {
      .status = answered ? http_reply.status : 0,
      .unsent = http_reply.unsent,
      .too_large = http_reply.too_large,
      .text = http_reply.body,
  };
  if (answered) reply.object = parse_object(http_reply.body, &reply.error);
  return reply;
}

void fc_json_reply_clear(fc_json_reply *reply) {
  json_decref(reply->object);
  if (reply->text) g_string_free(reply->text, TRUE);
  *reply = (fc_json_reply){0};
}
