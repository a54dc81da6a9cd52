#include "protocol/json_call.h"

#include "protocol/json.h"

fc_json_reply fc_json_call(fc_http_client *http, const char *method, const char *path, json_t *body, double deadline) {
  GString *text = NULL;
  if (body) {
    text = g_string_new(NULL);
    fc_json_append(text, body);
  }
  fc_http_reply reply;
  bool answered = fc_http_call(http, method, path, text ? text->str : NULL, text ? text->len : 0, deadline, &reply);
  if (text) g_string_free(text, TRUE);
  fc_json_reply out = {
      .status = answered ? reply.status : 0, .unsent = reply.unsent, .too_large = reply.too_large, .text = reply.body};
  if (answered) out.object = reply.body->len ? fc_json_parse(reply.body->str, reply.body->len) : json_object();
  if (!json_is_object(out.object)) {
    json_decref(out.object);
    out.object = NULL;
  }
  return out;
}

void fc_json_reply_clear(fc_json_reply *reply) {
  json_decref(reply->object);
  if (reply->text) g_string_free(reply->text, TRUE);
  *reply = (fc_json_reply){0};
}
