#include <http_parser.h>
#include <stdlib.h>
#include <string.h>

#include "transport/http.h"
#include "transport/routine.h"

#define POOL_MAX 4u
#define POOL_IDLE_S 20.0
#define POOL_TRUSTED_S 0.5 /* so shortly after an answer it is taken to be open */

typedef struct pooled {
  fc_conn *conn;
  double since;
} pooled;

struct fc_http_client {
  fc_endpoint to;
  char host[32];
  size_t most_body;
  pooled pool[POOL_MAX];
  size_t pool_count;
};

typedef struct answer {
  GString *body;
  size_t most_body;
  GString *field;
  GString *value;
  bool in_value, complete, too_large;
  int retry_after_s;
} answer;

static void end_header(answer *a) {
  if (a->field->len && g_ascii_strcasecmp(a->field->str, "Retry-After") == 0) {
    long v = strtol(a->value->str, NULL, 10);
    if (v > 0 && v < 3600) a->retry_after_s = (int)v;
  }
  g_string_truncate(a->field, 0);
  g_string_truncate(a->value, 0);
}

static int on_field(http_parser *p, const char *at, size_t len) {
  answer *a = p->data;
  if (a->in_value) {
    end_header(a);
    a->in_value = false;
  }
  if (a->field->len + len > 1024) return 1;
  g_string_append_len(a->field, at, (gssize)len);
  return 0;
}

static int on_value(http_parser *p, const char *at, size_t len) {
  answer *a = p->data;
  a->in_value = true;
  if (a->value->len + len > 8192) return 1;
  g_string_append_len(a->value, at, (gssize)len);
  return 0;
}

static int on_headers(http_parser *p) {
  end_header(p->data);
  return 0;
}

static int on_body(http_parser *p, const char *at, size_t len) {
  answer *a = p->data;
  a->too_large = a->body->len + len > a->most_body;
  if (a->too_large) return 1;
  g_string_append_len(a->body, at, (gssize)len);
  return 0;
}

static int on_complete(http_parser *p) {
  answer *a = p->data;
  a->complete = true;
  http_parser_pause(p, 1);
  return 0;
}

static const http_parser_settings k_settings = {
    .on_header_field = on_field,
    .on_header_value = on_value,
    .on_headers_complete = on_headers,
    .on_body = on_body,
    .on_message_complete = on_complete,
};

fc_http_client *fc_http_client_new(const fc_endpoint *to, size_t most_body) {
  fc_http_client *client = g_new0(fc_http_client, 1);
  client->to = *to;
  client->most_body = most_body;
  const unsigned char *ip = (const unsigned char *)&to->ip;
  g_snprintf(client->host, sizeof client->host, "%u.%u.%u.%u:%u", ip[0], ip[1], ip[2], ip[3], to->port);
  return client;
}

void fc_http_client_free(fc_http_client *client) {
  if (!client) return;
  for (size_t i = 0; i < client->pool_count; i++) fc_conn_close(client->pool[i].conn);
  g_free(client);
}

static fc_conn *take_conn(fc_http_client *client, double deadline) {
  double now = fc_now();
  while (client->pool_count > 0) {
    pooled p = client->pool[--client->pool_count];
    double idle = now - p.since;
    if (idle < POOL_IDLE_S && (idle < POOL_TRUSTED_S || !fc_conn_stale(p.conn))) return p.conn;
    fc_conn_close(p.conn);
  }
  return fc_conn_connect(&client->to, deadline);
}

static void give_conn(fc_http_client *client, fc_conn *conn) {
  if (client->pool_count == POOL_MAX) {
    fc_conn_close(conn);
    return;
  }
  client->pool[client->pool_count++] = (pooled){.conn = conn, .since = fc_now()};
}

/* One for all: nothing waits between filling it and having parsed what is in it. */
static char g_input[16u * 1024u];

/* Reads one whole answer into `a`; true when it is complete. */
static bool read_answer(fc_conn *conn, http_parser *p, answer *a, double deadline) {
  while (!a->complete) {
    ssize_t n = fc_conn_read(conn, g_input, sizeof g_input, deadline);
    if (n < 0) return false;
    http_parser_execute(p, &k_settings, g_input, (size_t)n); /* n == 0 tells the parser of the end */
    enum http_errno err = HTTP_PARSER_ERRNO(p);
    if (err != HPE_OK && err != HPE_PAUSED) return false;
    if (n == 0) break;
  }
  return a->complete;
}

bool fc_http_call(fc_http_client *client, const char *method, const char *path, const char *body, size_t body_len,
                  double deadline, fc_http_reply *reply) {
  *reply = (fc_http_reply){.body = g_string_new(NULL)};
  fc_conn *conn = take_conn(client, deadline);
  if (!conn) {
    reply->unsent = true;
    return false;
  }
  answer a = {
      .body = reply->body, .most_body = client->most_body, .field = g_string_new(NULL), .value = g_string_new(NULL)};
  GString *out = g_string_sized_new(256 + body_len);
  g_string_append_printf(out, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, path, client->host);
  if (body) {
    g_string_append_printf(out, "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n", body_len);
    g_string_append_len(out, body, (gssize)body_len);
  } else {
    g_string_append(out, strcmp(method, "GET") == 0 ? "\r\n" : "Content-Length: 0\r\n\r\n");
  }
  http_parser p;
  http_parser_init(&p, HTTP_RESPONSE);
  p.data = &a;
  bool ok = fc_conn_write(conn, out->str, out->len, deadline) && read_answer(conn, &p, &a, deadline);
  reply->too_large = a.too_large;
  bool keep = false;
  if (ok) {
    reply->status = (int)p.status_code;
    reply->retry_after_s = a.retry_after_s;
    http_parser_pause(&p, 0);
    keep = http_should_keep_alive(&p);
  }
  if (keep) {
    give_conn(client, conn);
  } else {
    fc_conn_close(conn);
  }
  g_string_free(out, TRUE);
  g_string_free(a.field, TRUE);
  g_string_free(a.value, TRUE);
  return ok;
}

void fc_http_reply_clear(fc_http_reply *reply) {
  if (reply->body) g_string_free(reply->body, TRUE);
  reply->body = NULL;
}
