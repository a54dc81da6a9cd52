/* HTTP client with a pool of keep-alive connections to one server. */
#include <http_parser.h>
#include <stdlib.h>
#include <string.h>

#include "transport/http.h"
#include "transport/routine.h"

#define POOL_CONNECTIONS_MAX 4u
#define POOL_IDLE_S 20.0
#define POOL_FRESH_S 0.5 /* a connection idle for less is reused without checking that it is open */
#define HEADER_NAME_MAX_BYTES 1024u
#define HEADER_VALUE_MAX_BYTES 8192u
#define RETRY_AFTER_MAX_S 3600
#define REQUEST_HEAD_BYTES 256u /* estimate, to allocate the buffer once */

typedef struct pooled_conn {
  fc_conn *conn;
  double idle_since;
} pooled_conn;

struct fc_http_client {
  fc_endpoint to;
  char host[FC_ENDPOINT_SIZE];
  size_t max_body_bytes;
  pooled_conn pool[POOL_CONNECTIONS_MAX]; /* the most recently used last */
  size_t pool_count;
};

/* The part of a response that has been parsed. */
typedef struct response {
  GString *body;
  size_t max_body_bytes;
  GString *header_name, *header_value; /* of the header being parsed */
  bool in_value, complete, too_large;
  int retry_after_s;
} response;

/* Evaluates a header whose name and value are complete. */
static void end_header(response *response) {
  if (g_ascii_strcasecmp(response->header_name->str, "Retry-After") == 0) {
    long seconds = strtol(response->header_value->str, NULL, 10);
    if (seconds > 0 && seconds < RETRY_AFTER_MAX_S) response->retry_after_s = (int)seconds;
  }
  g_string_truncate(response->header_name, 0);
  g_string_truncate(response->header_value, 0);
}

static int on_header_name(http_parser *parser, const char *text, size_t length) {
  response *response = parser->data;
  if (response->in_value) {
    end_header(response);
    response->in_value = false;
  }
  if (response->header_name->len + length > HEADER_NAME_MAX_BYTES) return 1;
  g_string_append_len(response->header_name, text, (gssize)length);
  return 0;
}

static int on_header_value(http_parser *parser, const char *text, size_t length) {
  response *response = parser->data;
  response->in_value = true;
  if (response->header_value->len + length > HEADER_VALUE_MAX_BYTES) return 1;
  g_string_append_len(response->header_value, text, (gssize)length);
  return 0;
}

static int on_headers_complete(http_parser *parser) {
  end_header(parser->data);
  return 0;
}

static int on_body(http_parser *parser, const char *bytes, size_t length) {
  response *response = parser->data;
  response->too_large = response->body->len + length > response->max_body_bytes;
  if (response->too_large) return 1;
  g_string_append_len(response->body, bytes, (gssize)length);
  return 0;
}

static int on_complete(http_parser *parser) {
  response *response = parser->data;
  response->complete = true;
  http_parser_pause(parser, 1);
  return 0;
}

static const http_parser_settings k_settings = {
    .on_header_field = on_header_name,
    .on_header_value = on_header_value,
    .on_headers_complete = on_headers_complete,
    .on_body = on_body,
    .on_message_complete = on_complete,
};

fc_http_client *fc_http_client_new(const fc_endpoint *to, size_t max_body_bytes) {
  fc_http_client *client = g_new0(fc_http_client, 1);
  client->to = *to;
  client->max_body_bytes = max_body_bytes;
  const unsigned char *ip = (const unsigned char *)&to->ip;
  g_snprintf(client->host, sizeof client->host, "%u.%u.%u.%u:%u", ip[0], ip[1], ip[2], ip[3], to->port);
  return client;
}

void fc_http_client_free(fc_http_client *client) {
  if (!client) return;
  for (size_t i = 0; i < client->pool_count; i++) fc_conn_close(client->pool[i].conn);
  g_free(client);
}

/* Returns an open connection of the pool or a new one; NULL when the server cannot be reached. */
static fc_conn *acquire_conn(fc_http_client *client, double deadline) {
  double now = fc_now();
  while (client->pool_count > 0) {
    pooled_conn pooled = client->pool[--client->pool_count];
    double idle_s = now - pooled.idle_since;
    if (idle_s < POOL_IDLE_S && (idle_s < POOL_FRESH_S || !fc_conn_stale(pooled.conn))) return pooled.conn;
    fc_conn_close(pooled.conn);
  }
  return fc_conn_connect(&client->to, deadline);
}

static void release_conn(fc_http_client *client, fc_conn *conn) {
  if (client->pool_count == POOL_CONNECTIONS_MAX) {
    fc_conn_close(conn);
    return;
  }
  client->pool[client->pool_count++] = (pooled_conn){.conn = conn, .idle_since = fc_now()};
}

static GString *encode_request(const fc_http_client *client, const char *method, const char *path, const char *body,
                               size_t body_len) {
  GString *out = g_string_sized_new(REQUEST_HEAD_BYTES + body_len);
  g_string_append_printf(out, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, path, client->host);
  if (body) {
    g_string_append_printf(out, "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n", body_len);
    g_string_append_len(out, body, (gssize)body_len);
  } else {
    g_string_append(out, strcmp(method, "GET") == 0 ? "\r\n" : "Content-Length: 0\r\n\r\n");
  }
  return out;
}

/* Shared by all routines: none is suspended between filling and parsing it. */
static char g_input[16u * 1024u];

/* Reads one response; false when it is not complete at the deadline, on an error or at the end of the stream. */
static bool read_response(fc_conn *conn, http_parser *parser, double deadline) {
  const response *response = parser->data;
  while (!response->complete) {
    ssize_t received = fc_conn_read(conn, g_input, sizeof g_input, deadline);
    if (received < 0) return false;
    /* 0 bytes tell the parser that the stream has ended. */
    http_parser_execute(parser, &k_settings, g_input, (size_t)received);
    enum http_errno error = HTTP_PARSER_ERRNO(parser);
    if (error != HPE_OK && error != HPE_PAUSED) return false;
    if (received == 0) break;
  }
  return response->complete;
}

bool fc_http_call(fc_http_client *client, const char *method, const char *path, const char *body, size_t body_len,
                  double deadline, fc_http_reply *reply) {
  *reply = (fc_http_reply){.body = g_string_new(NULL)};
  fc_conn *conn = acquire_conn(client, deadline);
  if (!conn) {
    reply->unsent = true;
    return false;
  }
  g_autoptr(GString) header_name = g_string_new(NULL);
  g_autoptr(GString) header_value = g_string_new(NULL);
  response response = {.body = reply->body,
                       .max_body_bytes = client->max_body_bytes,
                       .header_name = header_name,
                       .header_value = header_value};
  http_parser parser;
  http_parser_init(&parser, HTTP_RESPONSE);
  parser.data = &response;
  g_autoptr(GString) request = encode_request(client, method, path, body, body_len);
  bool answered = fc_conn_write(conn, request->str, request->len, deadline) && read_response(conn, &parser, deadline);
  reply->too_large = response.too_large;
  bool reusable = false;
  if (answered) {
    reply->status = (int)parser.status_code;
    reply->retry_after_s = response.retry_after_s;
    http_parser_pause(&parser, 0);
    reusable = http_should_keep_alive(&parser);
  }
  if (reusable) {
    release_conn(client, conn);
  } else {
    fc_conn_close(conn);
  }
  return answered;
}

void fc_http_reply_clear(fc_http_reply *reply) {
  if (reply->body) g_string_free(reply->body, TRUE);
  reply->body = NULL;
}
