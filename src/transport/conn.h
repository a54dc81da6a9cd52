/* TCP connections whose reads and writes wait inside the calling routine. */
#ifndef FC_TRANSPORT_CONN_H
#define FC_TRANSPORT_CONN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

typedef struct fc_conn fc_conn;

typedef struct fc_endpoint {
  uint32_t ip; /* network order */
  uint16_t port;
} fc_endpoint;

/* Of a buffer for an endpoint's text, with the closing NUL. */
#define FC_ENDPOINT_SIZE 32

/* "10.0.0.1:8080"; false when it is anything else. */
bool fc_endpoint_parse(const char *text, fc_endpoint *out);

fc_conn *fc_conn_connect(const fc_endpoint *to, double deadline);
/* Bytes read, 0 at the end of the stream, -1 on error, deadline or cancel. */
ssize_t fc_conn_read(fc_conn *conn, void *buf, size_t size, double deadline);
bool fc_conn_write(fc_conn *conn, const void *buf, size_t size, double deadline);
/* True when the other side has closed an idle connection, or sent unasked. */
bool fc_conn_stale(fc_conn *conn);
/* A number of its own. */
uint64_t fc_conn_number(const fc_conn *conn);
/* Does its listener have little room left for new connections? */
bool fc_conn_crowded(const fc_conn *conn);
void fc_conn_close(fc_conn *conn);

/* Accepts until the process ends; each connection gets a routine of its own.
 * At most `most` connections of this listener are open; `on_conn` owns none of
 * the connection: it is closed when the function returns. */
typedef void (*fc_conn_fn)(fc_conn *c, void *arg);
bool fc_listen(const fc_endpoint *at, size_t most, fc_conn_fn on_conn, void *arg);

#endif
