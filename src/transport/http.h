/* HTTP/1.1 with bounded bodies: a server that hands each request to a handler
 * in the connection's own routine, and a client with kept connections. */
#ifndef FC_TRANSPORT_HTTP_H
#define FC_TRANSPORT_HTTP_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

#include "transport/conn.h"

#define FC_HTTP_BODY_MAX ((size_t)64 * 1024)

typedef struct fc_http_request {
  const char *method;
  const char *path;  /* without the query, never NULL */
  const char *query; /* "" when there is none */
  const char *body;  /* ends with a NUL that is not counted */
  size_t body_len;
  uint64_t connection; /* its number: never that of another. No request comes on one before the
                          answer to the last has been read there; 0: not known */
  bool crowded;        /* few connections are left: better to close this one */
} fc_http_request;

typedef struct fc_http_response {
  int status;
  GString *body;     /* JSON unless content_type says otherwise */
  int retry_after_s; /* 0: no header */
  const char *content_type;
  const char *allow; /* with 405 */
  bool close;
} fc_http_response;

typedef void (*fc_http_handler)(const fc_http_request *req, fc_http_response *res, void *arg);

typedef struct fc_http_server_options {
  size_t most_connections;
  double idle_s;    /* how long a connection may lie unused */
  double request_s; /* how long one request may take to arrive */
} fc_http_server_options;

bool fc_http_serve(const fc_endpoint *at, const fc_http_server_options *opt, fc_http_handler handler, void *arg);

/* Serves one connection of another listener, of which the first bytes have been
 * read already; returns when it is to be closed. */
void fc_http_serve_conn(fc_conn *conn, const char *first, size_t first_len, const fc_http_server_options *opt,
                        fc_http_handler handler, void *arg);

typedef struct fc_http_client fc_http_client;

typedef struct fc_http_reply {
  int status;     /* 0: no answer; the request may or may not have been carried out */
  bool unsent;    /* no connection: the request was certainly not carried out */
  bool too_large; /* there was an answer, larger than may be read */
  GString *body;
  int retry_after_s;
} fc_http_reply;

fc_http_client *fc_http_client_new(const fc_endpoint *to, size_t most_body);
void fc_http_client_free(fc_http_client *client);
/* Waits for the answer until the deadline. The reply's body is freed by
 * fc_http_reply_clear(). Returns true when a whole answer came. */
bool fc_http_call(fc_http_client *client, const char *method, const char *path, const char *body, size_t body_len,
                  double deadline, fc_http_reply *reply);
void fc_http_reply_clear(fc_http_reply *reply);

#endif
