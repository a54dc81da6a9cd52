/* Non-blocking TCP connections and listeners for routines. Connecting, reading and writing suspend only
 * the calling routine; deadlines are times of the monotonic clock (fc_now()). */
#ifndef FC_TRANSPORT_CONN_H
#define FC_TRANSPORT_CONN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

typedef struct fc_conn fc_conn;

typedef struct fc_endpoint {
  uint32_t ip;   /* IPv4, network byte order */
  uint16_t port; /* host byte order */
} fc_endpoint;

/* Size in bytes of a buffer for an endpoint as text, with the terminating NUL. */
#define FC_ENDPOINT_SIZE 32

/* Parses an IPv4 address and port such as "10.0.0.1:8080"; false when the text is malformed or NULL. */
bool fc_endpoint_parse(const char *text, fc_endpoint *out);

/* Connects to an endpoint. The caller closes the connection. NULL when it is refused, at the deadline
 * or when the routine is cancelled. May suspend the calling routine. */
fc_conn *fc_conn_connect(const fc_endpoint *to, double deadline);
/* Reads up to `size` bytes, after waiting for at least one. Returns their number; 0 at the end of the
 * stream; -1 on an error, at the deadline or when the routine is cancelled. May suspend the calling
 * routine. */
ssize_t fc_conn_read(fc_conn *conn, void *buffer, size_t size, double deadline);
/* Writes all bytes. False on an error, at the deadline or when the routine is cancelled; a part of
 * them may have been sent by then. May suspend the calling routine. */
bool fc_conn_write(fc_conn *conn, const void *buffer, size_t size, double deadline);
/* Whether an idle connection is unusable: the other side has closed it or sent data that nobody requested. */
bool fc_conn_stale(fc_conn *conn);
/* A number that is unique among all connections of this process, also closed ones. */
uint64_t fc_conn_number(const fc_conn *conn);
/* Whether the listener that accepted the connection has 80 % or more of its connections open. False
 * for a connection made by fc_conn_connect(). */
bool fc_conn_near_limit(const fc_conn *conn);
/* Between these two the connection may be closed in favor of a new one: its routine, which waits for a request, is
 * cancelled. No effect for a connection made by fc_conn_connect() or a reserved one. */
void fc_conn_await_request(fc_conn *conn);
void fc_conn_end_await(fc_conn *conn);
/* Excepts the connection from being closed in favor of a new one from now on, unless its listener has too many of
 * these. */
void fc_conn_reserve(fc_conn *conn);
/* How many connections were closed in favor of new ones since the start of the process. */
uint64_t fc_conn_closed_for_others(void);
/* Closes and frees the connection; does nothing for NULL. */
void fc_conn_close(fc_conn *conn);

/* Serves one accepted connection, in a routine of its own; the listener closes the connection when the
 * function returns. */
typedef void (*fc_conn_fn)(fc_conn *conn, void *arg);
/* Accepts connections until the process ends, at most `max_open` at a time. Beyond that the one that has waited longest
 * for a request is closed in favor of a new one; if there is none, the new one. False when the address cannot be
 * listened on. */
bool fc_listen(const fc_endpoint *at, size_t max_open, fc_conn_fn on_conn, void *arg);

#endif
