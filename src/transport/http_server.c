#include <http_parser.h>
#include <string.h>

#include "transport/http.h"
#include "transport/routine.h"

#define URL_MAX 2048u
#define HEAD_MAX ((size_t)16 * 1024) /* also bounds http-parser's own header count */

typedef struct server {
  fc_http_server_options opt;
  fc_http_handler handler;
  void *arg;
  const char *first; /* bytes that were read before we got the connection */
  size_t first_len;
} server;

typedef struct exchange {
  GString *url;
  GString *body;
  size_t head_bytes;
  bool begun, complete, too_large;
} exchange;

static int on_begin(http_parser *p) {
  exchange *x = p->data;
  x->begun = true;
  return 0;
}

static int on_url(http_parser *p, const char *at, size_t len) {
  exchange *x = p->data;
  if (x->url->len + len > URL_MAX) {
    x->too_large = true;
    return 1;
  }
  g_string_append_len(x->url, at, (gssize)len);
  return 0;
}

static int on_header(http_parser *p, const char *at, size_t len) {
  (void)at;
  exchange *x = p->data;
  x->head_bytes += len;
  if (x->head_bytes > HEAD_MAX) {
    x->too_large = true;
    return 1;
  }
  return 0;
}

static int on_body(http_parser *p, const char *at, size_t len) {
  exchange *x = p->data;
  if (x->body->len + len > FC_HTTP_BODY_MAX) {
    x->too_large = true;
    return 1;
  }
  g_string_append_len(x->body, at, (gssize)len);
  return 0;
}

static int on_complete(http_parser *p) {
  exchange *x = p->data;
  x->complete = true;
  /* Requests are never pipelined: stop here, so that none is parsed into this one. */
  http_parser_pause(p, 1);
  return 0;
}

static const http_parser_settings k_settings = {
    .on_message_begin = on_begin,
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

static bool send_response(fc_conn *conn, const fc_http_response *res, bool keep, double deadline) {
  GString *out = g_string_sized_new(256 + (res->body ? res->body->len : 0));
  g_string_append_printf(out, "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %zu\r\n", res->status,
                         reason_of(res->status), res->content_type ? res->content_type : "application/json",
                         res->body ? res->body->len : 0);
  if (res->retry_after_s > 0) g_string_append_printf(out, "Retry-After: %d\r\n", res->retry_after_s);
  if (res->allow) g_string_append_printf(out, "Allow: %s\r\n", res->allow);
  if (!keep) g_string_append(out, "Connection: close\r\n");
  g_string_append(out, "\r\n");
  if (res->body) g_string_append_len(out, res->body->str, (gssize)res->body->len);
  bool ok = fc_conn_write(conn, out->str, out->len, deadline);
  g_string_free(out, TRUE);
  return ok;
}

static bool send_plain(fc_conn *conn, int status, const char *what, double deadline) {
  fc_http_response res = {.status = status, .body = g_string_new(NULL)};
  g_string_append_printf(res.body, "{\"error\":\"%s\"}", what);
  bool ok = send_response(conn, &res, false, deadline);
  g_string_free(res.body, TRUE);
  return ok;
}

/* One for all: nothing waits between filling it and having parsed what is in it. On each
 * connection's stack it took a page of memory for as long as the connection is open. */
static char g_input[16u * 1024u];

/* Reads one request; false ends the connection. */
static bool read_request(server *s, fc_conn *conn, http_parser *p, exchange *x) {
  char *buf = g_input;
  double deadline = fc_now() + s->opt.idle_s;
  bool timed = false;
  while (!x->complete) {
    ssize_t n = (ssize_t)s->first_len;
    if (n > 0) {
      memcpy(buf, s->first, s->first_len);
      s->first_len = 0;
    } else {
      n = fc_conn_read(conn, buf, sizeof g_input, deadline);
    }
    if (n <= 0) return false;
    if (!timed) {
      timed = true;
      deadline = fc_now() + s->opt.request_s;
    }
    http_parser_execute(p, &k_settings, buf, (size_t)n);
    enum http_errno err = HTTP_PARSER_ERRNO(p);
    if (err != HPE_OK && err != HPE_PAUSED) {
      (void)send_plain(conn, 400, x->too_large ? "request too large" : "malformed HTTP", deadline);
      return false;
    }
  }
  return true;
}

static bool serve_one(server *s, fc_conn *conn, http_parser *p, exchange *x) {
  if (!read_request(s, conn, p, x)) return false;
  bool keep = http_should_keep_alive(p);
  http_parser_pause(p, 0);
  char *query = strchr(x->url->str, '?');
  if (query) *query++ = '\0';
  fc_http_request req = {
      .method = http_method_str((enum http_method)p->method),
      .path = x->url->str,
      .query = query ? query : "",
      .body = x->body->str,
      .body_len = x->body->len,
      .connection = fc_conn_number(conn),
      .crowded = fc_conn_crowded(conn),
  };
  fc_http_response res = {.status = 500, .body = g_string_new(NULL)};
  s->handler(&req, &res, s->arg);
  keep = keep && !res.close && !fc_routine_cancelled();
  bool ok = send_response(conn, &res, keep, fc_now() + s->opt.request_s);
  g_string_free(res.body, TRUE);
  return ok && keep;
}

static void serve(fc_conn *conn, void *arg) {
  server *s = arg;
  http_parser p;
  bool go_on = true;
  while (go_on) {
    http_parser_init(&p, HTTP_REQUEST);
    exchange x = {.url = g_string_new(NULL), .body = g_string_new(NULL)};
    p.data = &x;
    go_on = serve_one(s, conn, &p, &x);
    g_string_free(x.url, TRUE);
    g_string_free(x.body, TRUE);
  }
}

void fc_http_serve_conn(fc_conn *conn, const char *first, size_t first_len, const fc_http_server_options *opt,
                        fc_http_handler handler, void *arg) {
  server s = {.opt = *opt, .handler = handler, .arg = arg, .first = first, .first_len = first_len};
  serve(conn, &s);
}

bool fc_http_serve(const fc_endpoint *at, const fc_http_server_options *opt, fc_http_handler handler, void *arg) {
  server *s = g_new0(server, 1);
  s->opt = *opt;
  s->handler = handler;
  s->arg = arg;
  if (!fc_listen(at, opt->most_connections, serve, s)) {
    g_free(s);
    return false;
  }
  return true;
}
