/* Listeners: accept connections up to a limit. Beyond it the connection that has waited longest for a complete request
 * is closed in favor of the new one, so that connections that are idle, half-sent or slow keep no other client out. */
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "transport/conn_private.h"

#define LISTEN_BACKLOG 256
/* Connections accepted before other events are handled. */
#define ACCEPTS_PER_EVENT_MAX 32
/* Of the connections; the others are left to clients that may be closed for each other. */
#define RESERVED_SHARE_MAX 0.875
/* Connections looked at to find one to close. */
#define CANDIDATES_MAX 64

struct fc_listener {
  ev_io io;
  fc_conn_fn on_conn;
  void *arg;
  size_t open_count, max_open; /* connections */
  size_t reserved_count;
  size_t closing_count; /* of the open ones, those that are closed in favor of new ones */
  GQueue awaiting;      /* fc_conn: those that wait for a request and may be closed, the longest first */
};

static uint64_t g_closed_for_others;

uint64_t fc_conn_closed_for_others(void) {
  return g_closed_for_others;
}

/* ---- connections that wait for a request ---- */

void fc_conn_await_request(fc_conn *conn) {
  if (!conn->accepted_by || conn->is_reserved || conn->awaits_request) return;
  conn->awaits_request = true;
  conn->awaiting_link = (GList){.data = conn};
  g_queue_push_tail_link(&conn->accepted_by->awaiting, &conn->awaiting_link);
}

void fc_conn_end_await(fc_conn *conn) {
  if (!conn->awaits_request) return;
  conn->awaits_request = false;
  g_queue_unlink(&conn->accepted_by->awaiting, &conn->awaiting_link);
}

void fc_conn_reserve(fc_conn *conn) {
  fc_listener *listener = conn->accepted_by;
  if (!listener || conn->is_reserved) return;
  if ((double)listener->reserved_count + 1 > (double)listener->max_open * RESERVED_SHARE_MAX) return;
  conn->is_reserved = true;
  listener->reserved_count++;
  fc_conn_end_await(conn);
}

bool fc_conn_near_limit(const fc_conn *conn) {
  const fc_listener *listener = conn->accepted_by;
  return listener && listener->open_count * 5 >= listener->max_open * 4;
}

static bool has_room(const fc_listener *listener) {
  return listener->open_count - listener->closing_count < listener->max_open;
}

/* The connection that has waited longest for a request and has nothing to read now; NULL: none of those that have
 * waited longest. */
static fc_conn *find_idle(const fc_listener *listener) {
  const GList *link = listener->awaiting.head;
  for (int i = 0; link && i < CANDIDATES_MAX; i++, link = link->next) {
    fc_conn *conn = link->data;
    if (conn->waiter) return conn;
  }
  return NULL;
}

/* Has a connection closed that waits for a request. Returns whether there is one. */
static bool make_room(fc_listener *listener) {
  fc_conn *conn = find_idle(listener);
  if (!conn) return false;
  fc_conn_end_await(conn);
  conn->is_closing = true;
  listener->closing_count++;
  g_closed_for_others++;
  fc_routine_cancel(conn->waiter); /* it closes the connection before the next events are handled */
  return true;
}

/* ---- accepting ---- */

/* Argument of the routine that serves an accepted connection. */
typedef struct serve_args {
  fc_listener *listener;
  fc_conn *conn;
} serve_args;

static void serve_accepted(void *arg) {
  serve_args args = *(serve_args *)arg;
  free(arg);
  fc_listener *listener = args.listener;
  listener->on_conn(args.conn, listener->arg);
  fc_conn_end_await(args.conn);
  if (args.conn->is_closing) listener->closing_count--;
  if (args.conn->is_reserved) listener->reserved_count--;
  fc_conn_close(args.conn);
  listener->open_count--;
}

/* Starts a routine that serves the connection; false when memory is short. */
static bool spawn_server(fc_listener *listener, fc_conn *conn) {
  serve_args *args = malloc(sizeof *args);
  if (!args) return false;
  *args = (serve_args){.listener = listener, .conn = conn};
  if (fc_routine_spawn(serve_accepted, args)) return true;
  free(args);
  return false;
}

static void serve_socket(fc_listener *listener, int fd) {
  fc_conn *conn = fc_conn_from_socket(fd);
  if (!conn) return;
  conn->accepted_by = listener;
  if (spawn_server(listener, conn)) {
    listener->open_count++;
  } else {
    fc_conn_close(conn);
  }
}

static void on_accept(struct ev_loop *loop, ev_io *watcher, int events) {
  (void)loop;
  (void)events;
  fc_listener *listener = watcher->data;
  for (int i = 0; i < ACCEPTS_PER_EVENT_MAX; i++) {
    int fd = accept4(watcher->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) return;
    /* Without room it is closed at once: the remaining file descriptors are needed for workers, peers and the
     * key-value store. */
    if (has_room(listener) || make_room(listener)) {
      serve_socket(listener, fd);
    } else {
      close(fd);
    }
  }
}

/* Returns a listening socket; -1 on failure. */
static int open_listener(const fc_endpoint *at) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return -1;
  int on = 1;
  struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons(at->port), .sin_addr.s_addr = at->ip};
  if (setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0) goto fail;
  if (bind(fd, (struct sockaddr *)&address, sizeof address) != 0) goto fail;
  if (listen(fd, LISTEN_BACKLOG) != 0) goto fail;
  return fd;
fail:
  close(fd);
  return -1;
}

bool fc_listen(const fc_endpoint *at, size_t max_open, fc_conn_fn on_conn, void *arg) {
  int fd = open_listener(at);
  if (fd < 0) return false;
  fc_listener *listener = calloc(1, sizeof *listener);
  if (!listener) {
    close(fd);
    return false;
  }
  listener->on_conn = on_conn;
  listener->arg = arg;
  listener->max_open = max_open;
  ev_io_init(&listener->io, on_accept, fd, EV_READ);
  listener->io.data = listener;
  ev_io_start(fc_loop(), &listener->io);
  return true;
}
