/* The HTTP server: one request after the other on each connection. */
#include <http_parser.h>
#include <string.h>

#include "transport/http.h"
#include "transport/routine.h"

#define URL_LENGTH_MAX 2048u
#define HEADERS_LENGTH_MAX ((size_t)16 * 1024) /* also bounds http-parser's own header count */
#define RESPONSE_HEAD_SIZE 256u

typedef struct server {
  fc_http_server_options opt;
  fc_http_handler handler;
  void *arg;
  const char *first; /* bytes that were read before the connection was handed to this server */
  size_t first_len;
} server;

/* What the parser has found of a request. */
typedef struct incoming {
  GString *url;
  GString *body;
  size_t headers_length;
  bool complete, too_large;
} incoming;

/* Appends bytes up to a bound; the result is the parser's: not 0 ends it. */
static int append_bounded(incoming *incoming, GString *out, const char *bytes, size_t length, size_t most) {
  incoming->too_large = out->len + length > most;
  if (incoming->too_large) return 1;
  g_string_append_len(out, bytes, (gssize)length);
  return 0;
}

static int on_url(http_parser *parser, const char *text, size_t length) {
  incoming *incoming = parser->data;
  return append_bounded(incoming, incoming->url, text, length, URL_LENGTH_MAX);
}

static int on_header(http_parser *parser, const char *text, size_t length) {
  (void)text;
  incoming *incoming = parser->data;
  incoming->headers_length += length;
  incoming->too_large = incoming->headers_length > HEADERS_LENGTH_MAX;
  return incoming->too_large ? 1 : 0;
}

static int on_body(http_parser *parser, const char *bytes, size_t length) {
  incoming *incoming = parser->data;
  return append_bounded(incoming, incoming->body, bytes, length, FC_HTTP_BODY_MAX);
}

static int on_complete(http_parser *parser) {
  incoming *incoming = parser->data;
  incoming->complete = true;
  /* Requests are never pipelined: the parser stops here, so that no other is parsed into this one. */
  http_parser_pause(parser, 1);
  return 0;
}

static const http_parser_settings k_settings = {
    .on_url = on_url,
    .on_header_field = on_header,
    .on_header_value = on_header,
    .on_body = on_body,
    .on_message_complete = on_complete,
};

static const char *reason_of(int status) {
  switch (status) {
#define REASON(num, name, string) \
  case num:                       \
    return #string;
    HTTP_STATUS_MAP(REASON)
#undef REASON
    default:
      return "Unknown";
  }
}

static bool send_response(fc_conn *conn, const fc_http_response *res, bool keep_alive, double deadline) {
  g_autoptr(GString) out = g_string_sized_new(RESPONSE_HEAD_SIZE + res->body->len);
  g_string_append_printf(out, "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %zu\r\n", res->status,
                         reason_of(res->status), res->content_type ? res->content_type : "application/json",
                         res->body->len);
  if (res->retry_after_s > 0) g_string_append_printf(out, "Retry-After: %d\r\n", res->retry_after_s);
  if (res->allow) g_string_append_printf(out, "Allow: %s\r\n", res->allow);
  if (!keep_alive) g_string_append(out, "Connection: close\r\n");
  g_string_append(out, "\r\n");
  g_string_append_len(out, res->body->str, (gssize)res->body->len);
  return fc_conn_write(conn, out->str, out->len, deadline);
}

/* Answers a request that cannot be parsed; the connection is closed after it. */
static void send_bad_request(fc_conn *conn, const char *reason, double deadline) {
  g_autoptr(GString) body = g_string_new(NULL);
  g_string_append_printf(body, "{\"error\":\"%s\"}", reason);
  const fc_http_response res = {.status = HTTP_STATUS_BAD_REQUEST, .body = body};
  (void)send_response(conn, &res, false, deadline);
}

/* Shared by all routines: none is suspended between filling it and parsing what is in it. On each
 * connection's stack it would use a page of memory for as long as the connection is open. */
static char g_input[16u * 1024u];

/* Fills g_input with the bytes that were read before, or else from the connection. */
static ssize_t read_input(server *server, fc_conn *conn, double deadline) {
  size_t length = server->first_len;
  if (length == 0) return fc_conn_read(conn, g_input, sizeof g_input, deadline);
  memcpy(g_input, server->first, length);
  server->first_len = 0;
  return (ssize_t)length;
}

/* Reads one request; false: the connection is to be closed. */
static bool read_request(server *server, fc_conn *conn, http_parser *parser) {
  const incoming *incoming = parser->data;
  double deadline = fc_now() + server->opt.idle_s;
  bool arriving = false;
  while (!incoming->complete) {
    ssize_t received = read_input(server, conn, deadline);
    if (received <= 0) return false;
    if (!arriving) {
      arriving = true;
      deadline = fc_now() + server->opt.request_s;
    }
    http_parser_execute(parser, &k_settings, g_input, (size_t)received);
    enum http_errno error = HTTP_PARSER_ERRNO(parser);
    if (error != HPE_OK && error != HPE_PAUSED) {
      send_bad_request(conn, incoming->too_large ? "request too large" : "malformed HTTP", deadline);
      return false;
    }
  }
  return true;
}

/* Calls the handler and sends its answer; false: the connection is to be closed. */
static bool answer_request(const server *server, fc_conn *conn, const http_parser *parser, bool keep_alive) {
  const incoming *incoming = parser->data;
  char *query = strchr(incoming->url->str, '?');
  if (query) *query++ = '\0';
  const fc_http_request req = {
      .method = http_method_str((enum http_method)parser->method),
      .path = incoming->url->str,
      .query = query ? query : "",
      .body = incoming->body->str,
      .body_len = incoming->body->len,
      .connection = fc_conn_number(conn),
      .crowded = fc_conn_crowded(conn),
  };
  g_autoptr(GString) body = g_string_new(NULL);
  fc_http_response res = {.status = HTTP_STATUS_INTERNAL_SERVER_ERROR, .body = body};
  server->handler(&req, &res, server->arg);
  keep_alive = keep_alive && !res.close && !fc_routine_cancelled();
  return send_response(conn, &res, keep_alive, fc_now() + server->opt.request_s) && keep_alive;
}

/* Serves one request; false: the connection is to be closed. */
static bool serve_request(server *server, fc_conn *conn) {
  g_autoptr(GString) url = g_string_new(NULL);
  g_autoptr(GString) body = g_string_new(NULL);
  incoming incoming = {.url = url, .body = body};
  http_parser parser;
  http_parser_init(&parser, HTTP_REQUEST);
  parser.data = &incoming;
  if (!read_request(server, conn, &parser)) return false;
  bool keep_alive = http_should_keep_alive(&parser);
  return answer_request(server, conn, &parser, keep_alive);
}

static void serve_conn(fc_conn *conn, void *arg) {
  bool keep_alive = true;
  while (keep_alive) keep_alive = serve_request(arg, conn);
}

void fc_http_serve_conn(fc_conn *conn, const char *first, size_t first_len, const fc_http_server_options *opt,
                        fc_http_handler handler, void *arg) {
  server server = {.opt = *opt, .handler = handler, .arg = arg, .first = first, .first_len = first_len};
  serve_conn(conn, &server);
}

bool fc_http_serve(const fc_endpoint *at, const fc_http_server_options *opt, fc_http_handler handler, void *arg) {
  server *server = g_new0(struct server, 1);
  server->opt = *opt;
  server->handler = handler;
  server->arg = arg;
  if (fc_listen(at, opt->most_connections, serve_conn, server)) return true;
  g_free(server);
  return false;
}
