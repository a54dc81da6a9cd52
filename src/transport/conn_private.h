/* What connections and listeners share. Only for src/transport. */
#ifndef FC_TRANSPORT_CONN_PRIVATE_H
#define FC_TRANSPORT_CONN_PRIVATE_H

#include <glib.h>

#include "transport/conn.h"
#include "transport/routine.h"

typedef struct fc_listener fc_listener;

struct fc_conn {
  fc_listener *accepted_by; /* NULL: made by fc_conn_connect() */
  uint64_t number;
  int fd;
  ev_io io;
  int wanted_events; /* EV_READ or EV_WRITE, as the waiter needs */
  bool just_written; /* the other side has hardly had the time to respond */
  fc_routine *waiter;
  bool is_reserved;    /* never closed in favor of a new connection */
  bool awaits_request; /* whether `awaiting_link` is in the listener's queue */
  bool is_closing;     /* in favor of a new connection */
  GList awaiting_link; /* its data is the connection */
};

/* Creates a connection of a non-blocking socket, which it owns. NULL, with the socket closed, when memory is short. */
fc_conn *fc_conn_from_socket(int fd);

#endif
