/* HTTP/1.1 with bounded bodies: a server that calls a handler for each request, in the connection's
 * routine, and a client that reuses connections. Durations are in seconds, deadlines are times of
 * the monotonic clock. */
#ifndef FC_TRANSPORT_HTTP_H
#define FC_TRANSPORT_HTTP_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

#include "transport/conn.h"

#define FC_HTTP_BODY_MAX ((size_t)64 * 1024)

/* Valid only while the handler runs. */
typedef struct fc_http_request {
  const char *method;
  const char *path;  /* without the query, never NULL */
  const char *query; /* "" when there is none */
  const char *body;  /* ends with a NUL that is not counted */
  size_t body_len;
  uint64_t connection; /* fc_conn_number(); 0: not known. A connection's next request is read only
                          after its last answer was sent */
  bool crowded;        /* few connections are left: better to close this one */
} fc_http_request;

typedef struct fc_http_response {
  int status;
  GString *body;            /* empty at first; freed by the server */
  int retry_after_s;        /* 0: no header */
  const char *content_type; /* NULL: JSON */
  const char *allow;        /* the method to use, with 405; NULL: no header */
  bool close;               /* the connection */
} fc_http_response;

/* Answers a request by filling in the response. */
typedef void (*fc_http_handler)(const fc_http_request *req, fc_http_response *res, void *arg);

typedef struct fc_http_server_options {
  size_t most_connections;
  double idle_s;    /* until an unused connection is closed */
  double request_s; /* for a request to arrive after its first bytes, and for its answer to be sent */
} fc_http_server_options;

/* Serves until the process ends. False when the address cannot be listened on. */
bool fc_http_serve(const fc_endpoint *at, const fc_http_server_options *opt, fc_http_handler handler, void *arg);

/* Serves a connection of another listener, of which the first bytes have been read already. Returns
 * when it is to be closed, which is left to the caller. May suspend the calling routine. */
void fc_http_serve_conn(fc_conn *conn, const char *first, size_t first_len, const fc_http_server_options *opt,
                        fc_http_handler handler, void *arg);

typedef struct fc_http_client fc_http_client;

typedef struct fc_http_reply {
  int status;     /* 0: no answer; the request may or may not be executed */
  bool unsent;    /* no connection: the request is not executed */
  bool too_large; /* there was an answer, larger than the client reads */
  GString *body;  /* never NULL until it is cleared */
  int retry_after_s;
} fc_http_reply;

/* A client of one server that reads answers of up to `most_body` bytes. */
fc_http_client *fc_http_client_new(const fc_endpoint *to, size_t most_body);
void fc_http_client_free(fc_http_client *client);
/* Sends a request and waits for its answer until the deadline. True when a whole answer was received.
 * The reply is the caller's, to be freed with fc_http_reply_clear() in any case. May suspend the
 * calling routine. */
bool fc_http_call(fc_http_client *client, const char *method, const char *path, const char *body, size_t body_len,
                  double deadline, fc_http_reply *reply);
void fc_http_reply_clear(fc_http_reply *reply);

#endif
