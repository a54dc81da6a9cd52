/* HTTP/1.1 with bounded bodies: a server that calls a handler for each request, in the connection's
 * routine, and a client that reuses connections. Durations are in seconds, deadlines are times of
 * the monotonic clock (fc_now()). */
#ifndef FC_TRANSPORT_HTTP_H
#define FC_TRANSPORT_HTTP_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

#include "transport/conn.h"

/* The largest body of a request that the server accepts. */
#define FC_HTTP_BODY_MAX_BYTES ((size_t)64 * 1024)

/* A request to the server; valid only while the handler runs. */
typedef struct fc_http_request {
  const char *method;
  const char *path;  /* without the query, never NULL */
  const char *query; /* after the "?"; "" when there is none */
  const char *body;  /* followed by a NUL that body_len does not count */
  size_t body_len;
  uint64_t connection;        /* fc_conn_number(); 0: unknown. The next request of a connection is read only
                                 after the response to the last one was sent */
  bool near_connection_limit; /* fc_conn_near_limit(): the handler should close connections that it can spare */
} fc_http_request;

typedef struct fc_http_response {
  int status;
  GString *body;            /* empty at first; owned by the server */
  int retry_after_s;        /* Retry-After; 0: no header */
  const char *content_type; /* NULL: application/json */
  const char *allow;        /* Allow: the method to use, with status 405; NULL: no header */
  bool close;               /* close the connection after this response */
  bool reserve;             /* never close the connection in favor of a new one: fc_conn_reserve() */
} fc_http_response;

/* Answers a request by filling in the response, which has status 500 and an empty body at first. */
typedef void (*fc_http_handler)(const fc_http_request *req, fc_http_response *res, void *arg);

typedef struct fc_http_server_options {
  size_t max_connections;   /* open at a time; not used by fc_http_serve_conn() */
  double idle_timeout_s;    /* a connection without a request is closed after this time */
  double request_timeout_s; /* limit for receiving a request after its first bytes, and for sending its response */
} fc_http_server_options;

/* Serves requests until the process ends. False when the address cannot be listened on. */
bool fc_http_serve(const fc_endpoint *at, const fc_http_server_options *opt, fc_http_handler handler, void *arg);

/* Serves a connection of another listener; `first` holds the bytes that were already read from it. Returns
 * when the connection is to be closed, which is left to the caller. May suspend the calling routine. */
void fc_http_serve_conn(fc_conn *conn, const char *first, size_t first_len, const fc_http_server_options *opt,
                        fc_http_handler handler, void *arg);

typedef struct fc_http_client fc_http_client;

typedef struct fc_http_reply {
  int status;     /* 0: no complete response; unless `unsent`, the request may have been executed */
  bool unsent;    /* there was no connection, so the request was not executed */
  bool too_large; /* the response was larger than the client reads */
  GString *body;  /* not NULL until fc_http_reply_clear() */
  int retry_after_s;
} fc_http_reply;

/* Creates a client of one server, which reads responses with bodies of up to `max_body_bytes`. The
 * caller frees it. */
fc_http_client *fc_http_client_new(const fc_endpoint *to, size_t max_body_bytes);
void fc_http_client_free(fc_http_client *client);
/* Sends a request and waits for its response until the deadline; a NULL body: none. True when a
 * complete response was received, whatever its status. In any case the caller frees the reply with
 * fc_http_reply_clear(). May suspend the calling routine. */
bool fc_http_call(fc_http_client *client, const char *method, const char *path, const char *body, size_t body_len,
                  double deadline, fc_http_reply *reply);
void fc_http_reply_clear(fc_http_reply *reply);

#endif
