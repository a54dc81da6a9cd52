#include "transport/conn.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "transport/conn_private.h"

bool fc_endpoint_parse(const char *text, fc_endpoint *out) {
  const char *colon = text ? strrchr(text, ':') : NULL;
  char host[INET_ADDRSTRLEN] = {0};
  if (!colon || colon == text || (size_t)(colon - text) >= sizeof host) return false;
  memcpy(host, text, (size_t)(colon - text));
  struct in_addr ip;
  if (inet_pton(AF_INET, host, &ip) != 1) return false;
  char *end = NULL;
  errno = 0;
  long port = strtol(colon + 1, &end, 10);
  if (errno || end == colon + 1 || *end || port < 1 || port > UINT16_MAX) return false;
  out->ip = ip.s_addr;
  out->port = (uint16_t)port;
  return true;
}

/* Accounts one system call to the calling routine; passes its result on. */
static ssize_t count_system_call(ssize_t result) {
  fc_routine_usage()->system_calls++;
  return result;
}

static void on_io(struct ev_loop *loop, ev_io *watcher, int events) {
  fc_conn *conn = watcher->data;
  if (conn->waiter && (events & (conn->wanted_events | EV_ERROR))) {
    fc_routine *routine = conn->waiter;
    conn->waiter = NULL;
    fc_routine_wake(routine);
    return; /* the watcher stays active: most often the next wait is for the same event */
  }
  /* The watcher is level-triggered: while no routine reads, the event would fire in every iteration. */
  ev_io_stop(loop, watcher);
}

fc_conn *fc_conn_from_socket(int fd) {
  fc_conn *conn = calloc(1, sizeof *conn);
  if (!conn) {
    close(fd);
    return NULL;
  }
  static uint64_t last_number;
  conn->number = ++last_number;
  conn->fd = fd;
  int on = 1;
  /* A failure is ignored: without the option, messages are only slower. */
  (void)count_system_call(setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on));
  ev_io_init(&conn->io, on_io, fd, EV_READ);
  conn->io.data = conn;
  return conn;
}

/* Waits until the socket is ready for `events`. False at the deadline or when the routine is cancelled. */
static bool conn_wait(fc_conn *conn, int events, double deadline) {
  conn->wanted_events = events;
  conn->waiter = fc_routine_self();
  if ((conn->io.events & (EV_READ | EV_WRITE)) != events) {
    ev_io_stop(fc_loop(), &conn->io);
    /* Not ev_io_set(): it makes libev treat the descriptor as a new one and register it again, which
     * costs two epoll_ctl() calls at every wait, the first of which fails. */
    ev_io_modify(&conn->io, events);
  }
  ev_io_start(fc_loop(), &conn->io); /* no effect if it is active already */
  fc_wake wake = fc_routine_park(deadline);
  conn->waiter = NULL;
  return wake == FC_WAKE_OK;
}

static struct sockaddr_in socket_address(const fc_endpoint *endpoint) {
  return (struct sockaddr_in){
      .sin_family = AF_INET, .sin_port = htons(endpoint->port), .sin_addr.s_addr = endpoint->ip};
}

/* Whether a connect() in progress has succeeded. */
static bool connected(int fd) {
  int error = 0;
  socklen_t size = sizeof error;
  return getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
}

fc_conn *fc_conn_connect(const fc_endpoint *to, double deadline) {
  int fd = (int)count_system_call(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (fd < 0) return NULL;
  fc_conn *conn = fc_conn_from_socket(fd);
  if (!conn) return NULL;
  struct sockaddr_in address = socket_address(to);
  if (count_system_call(connect(fd, (struct sockaddr *)&address, sizeof address)) == 0) return conn;
  if (errno == EINPROGRESS && conn_wait(conn, EV_WRITE, deadline) && connected(fd)) return conn;
  fc_conn_close(conn);
  return NULL;
}

static bool would_block(void) {
  return errno == EAGAIN || errno == EWOULDBLOCK;
}

ssize_t fc_conn_read(fc_conn *conn, void *buffer, size_t size, double deadline) {
  for (;;) {
    /* Saves a recv() per message that would fail with EAGAIN; system calls are slow on the hosts that
     * this runs on. */
    if (conn->just_written) {
      conn->just_written = false;
      if (!conn_wait(conn, EV_READ, deadline)) return -1;
    }
    ssize_t received = count_system_call(recv(conn->fd, buffer, size, 0));
    if (received >= 0) {
      fc_routine_usage()->bytes_in += (uint64_t)received;
      return received;
    }
    if (errno == EINTR) continue;
    if (!would_block() || !conn_wait(conn, EV_READ, deadline)) return -1;
  }
}

bool fc_conn_write(fc_conn *conn, const void *buffer, size_t size, double deadline) {
  const char *next = buffer;
  while (size > 0) {
    ssize_t sent = count_system_call(send(conn->fd, next, size, MSG_NOSIGNAL));
    if (sent > 0) {
      fc_routine_usage()->bytes_out += (uint64_t)sent;
      next += sent;
      size -= (size_t)sent;
      continue;
    }
    if (sent < 0 && errno == EINTR) continue;
    if (sent < 0 && !would_block()) return false;
    if (!conn_wait(conn, EV_WRITE, deadline)) return false;
  }
  conn->just_written = true;
  return true;
}

bool fc_conn_stale(fc_conn *conn) {
  char byte;
  ssize_t received = count_system_call(recv(conn->fd, &byte, 1, MSG_PEEK));
  return received >= 0 || !would_block();
}

void fc_conn_close(fc_conn *conn) {
  if (!conn) return;
  ev_io_stop(fc_loop(), &conn->io);
  (void)count_system_call(close(conn->fd));
  free(conn);
}

uint64_t fc_conn_number(const fc_conn *conn) {
  return conn->number;
}
