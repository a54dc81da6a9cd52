/* TCP connections and listeners. Reads and writes wait inside the calling routine, with deadlines of
 * the monotonic clock. */
#ifndef FC_TRANSPORT_CONN_H
#define FC_TRANSPORT_CONN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

typedef struct fc_conn fc_conn;

typedef struct fc_endpoint {
  uint32_t ip; /* IPv4, network byte order */
  uint16_t port;
} fc_endpoint;

/* Of a buffer for an endpoint's text, with the closing NUL. */
#define FC_ENDPOINT_SIZE 32

/* Reads a text such as "10.0.0.1:8080"; false when it is malformed or NULL. */
bool fc_endpoint_parse(const char *text, fc_endpoint *out);

/* The connection is the caller's to close; NULL when it is refused, at the deadline or when the
 * routine is cancelled. May suspend the calling routine. */
fc_conn *fc_conn_connect(const fc_endpoint *to, double deadline);
/* The number of bytes read; 0 at the end of the stream; -1 on an error, at the deadline or when the
 * routine is cancelled. May suspend the calling routine. */
ssize_t fc_conn_read(fc_conn *conn, void *buffer, size_t size, double deadline);
/* Writes all bytes. False on an error, at the deadline or when the routine is cancelled; some may
 * be sent then. May suspend the calling routine. */
bool fc_conn_write(fc_conn *conn, const void *buffer, size_t size, double deadline);
/* Whether an idle connection is unusable: the other side has closed it or sent something unasked. */
bool fc_conn_stale(fc_conn *conn);
/* A number that no other connection of this process has. */
uint64_t fc_conn_number(const fc_conn *conn);
/* Whether the listener that accepted it has little room left for new connections. */
bool fc_conn_crowded(const fc_conn *conn);
/* Closes and frees the connection; NULL: nothing. */
void fc_conn_close(fc_conn *conn);

/* Serves one connection, in a routine of its own; it is closed when the function returns. */
typedef void (*fc_conn_fn)(fc_conn *conn, void *arg);
/* Accepts connections until the process ends, at most `most` open at a time. False when the address
 * cannot be listened on. */
bool fc_listen(const fc_endpoint *at, size_t most, fc_conn_fn on_conn, void *arg);

#endif
