/* HTTP server: serves the requests of a connection one after the other; no pipelining. */
#include <http_parser.h>
#include <string.h>

#include "transport/http.h"
#include "transport/routine.h"

#define URL_MAX_BYTES 2048u
/* Names and values of all headers; also bounds the header bytes that http-parser counts. */
#define HEADERS_MAX_BYTES ((size_t)16 * 1024)
#define RESPONSE_HEAD_BYTES 256u /* estimate, to allocate the buffer once */

typedef struct server {
  fc_http_server_options opt;
  fc_http_handler handler;
  void *arg;
  const char *first; /* bytes that were read before this server took over the connection */
  size_t first_len;
} server;

/* The part of a request that has been parsed. */
typedef struct parsed_request {
  GString *url;
  GString *body;
  size_t headers_bytes;
  bool complete, too_large;
} parsed_request;

/* Appends bytes unless `out` would exceed `max_bytes`. Returns a result for http-parser: other than 0 is an
 * error, which ends parsing. */
static int append_bounded(parsed_request *parsed, GString *out, const char *bytes, size_t length, size_t max_bytes) {
  parsed->too_large = out->len + length > max_bytes;
  if (parsed->too_large) return 1;
  g_string_append_len(out, bytes, (gssize)length);
  return 0;
}

static int on_url(http_parser *parser, const char *text, size_t length) {
  parsed_request *parsed = parser->data;
  return append_bounded(parsed, parsed->url, text, length, URL_MAX_BYTES);
}

static int on_header(http_parser *parser, const char *text, size_t length) {
  (void)text;
  parsed_request *parsed = parser->data;
  parsed->headers_bytes += length;
  parsed->too_large = parsed->headers_bytes > HEADERS_MAX_BYTES;
  return parsed->too_large ? 1 : 0;
}

static int on_body(http_parser *parser, const char *bytes, size_t length) {
  parsed_request *parsed = parser->data;
  return append_bounded(parsed, parsed->body, bytes, length, FC_HTTP_BODY_MAX_BYTES);
}

static int on_complete(http_parser *parser) {
  parsed_request *parsed = parser->data;
  parsed->complete = true;
  /* The parser stops here, so that bytes after this request are not parsed into it. Clients do not
   * pipeline requests. */
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
  g_autoptr(GString) out = g_string_sized_new(RESPONSE_HEAD_BYTES + res->body->len);
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

/* Answers a request that cannot be parsed; the caller closes the connection. */
static void send_bad_request(fc_conn *conn, const char *reason, double deadline) {
  g_autoptr(GString) body = g_string_new(NULL);
  g_string_append_printf(body, "{\"error\":\"%s\"}", reason);
  const fc_http_response res = {.status = HTTP_STATUS_BAD_REQUEST, .body = body};
  (void)send_response(conn, &res, false, deadline);
}

/* Shared by all routines: none is suspended between filling and parsing it. On the stacks of the
 * routines it would take at least a page of memory for each open connection. */
static char g_input[16u * 1024u];

/* Fills g_input with the bytes that were read before the server took over, or else from the connection.
 * Returns as fc_conn_read() does. */
static ssize_t read_input(server *server, fc_conn *conn, double deadline) {
  size_t length = server->first_len;
  if (length == 0) return fc_conn_read(conn, g_input, sizeof g_input, deadline);
  memcpy(g_input, server->first, length);
  server->first_len = 0;
  return (ssize_t)length;
}

/* Whether the parser has ended with an error. */
static bool has_failed(const http_parser *parser) {
  enum http_errno error = HTTP_PARSER_ERRNO(parser);
  return error != HPE_OK && error != HPE_PAUSED;
}

/* Reads until the request is complete or the parser has failed; false: the connection is to be closed. */
static bool receive_request(server *server, fc_conn *conn, http_parser *parser) {
  const parsed_request *parsed = parser->data;
  double deadline = fc_now() + server->opt.idle_timeout_s;
  bool started = false; /* its first bytes are here */
  while (!parsed->complete && !has_failed(parser)) {
    ssize_t received = read_input(server, conn, deadline);
    if (received <= 0) return false;
    if (!started) {
      started = true;
      deadline = fc_now() + server->opt.request_timeout_s;
    }
    http_parser_execute(parser, &k_settings, g_input, (size_t)received);
  }
  return true;
}

/* Reads one request; false: the connection is to be closed. */
static bool read_request(server *server, fc_conn *conn, http_parser *parser) {
  const parsed_request *parsed = parser->data;
  fc_conn_await_request(conn);
  bool received = receive_request(server, conn, parser);
  fc_conn_end_await(conn);
  if (received && has_failed(parser)) {
    send_bad_request(conn, parsed->too_large ? "request too large" : "malformed HTTP",
                     fc_now() + server->opt.request_timeout_s);
    return false;
  }
  return received;
}

/* The path and query of a request target, which may be in the absolute form "http://host/path?query". */
static const char *path_of_target(const char *target) {
  static const char k_scheme[] = "http://";
  if (g_ascii_strncasecmp(target, k_scheme, strlen(k_scheme)) != 0) return target;
  const char *authority = target + strlen(k_scheme);
  const char *path = authority + strcspn(authority, "/?");
  return *path == '/' ? path : "/";
}

/* Calls the handler and sends its response; false: the connection is to be closed. */
static bool answer_request(const server *server, fc_conn *conn, const http_parser *parser, bool keep_alive) {
  const parsed_request *parsed = parser->data;
  char *query = strchr(parsed->url->str, '?');
  if (query) *query++ = '\0';
  const fc_http_request req = {
      .method = http_method_str((enum http_method)parser->method),
      .path = path_of_target(parsed->url->str),
      .query = query ? query : "",
      .body = parsed->body->str,
      .body_len = parsed->body->len,
      .connection = fc_conn_number(conn),
      .near_connection_limit = fc_conn_near_limit(conn),
  };
  g_autoptr(GString) body = g_string_new(NULL);
  fc_http_response res = {.status = HTTP_STATUS_INTERNAL_SERVER_ERROR, .body = body};
  server->handler(&req, &res, server->arg);
  if (res.reserve) fc_conn_reserve(conn);
  keep_alive = keep_alive && !res.close && !fc_routine_cancelled();
  return send_response(conn, &res, keep_alive, fc_now() + server->opt.request_timeout_s) && keep_alive;
}

/* Serves one request; false: the connection is to be closed. */
static bool serve_request(server *server, fc_conn *conn) {
  g_autoptr(GString) url = g_string_new(NULL);
  g_autoptr(GString) body = g_string_new(NULL);
  parsed_request parsed = {.url = url, .body = body};
  http_parser parser;
  http_parser_init(&parser, HTTP_REQUEST);
  parser.data = &parsed;
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
  if (fc_listen(at, opt->max_connections, serve_conn, server)) return true;
  g_free(server);
  return false;
}
