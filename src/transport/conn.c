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

#include "transport/routine.h"

typedef struct listener listener;

struct fc_conn {
  const listener *from; /* NULL: we connected */
  uint64_t number;
  int fd;
  ev_io io;
  int wanted;      /* events the routine waits for */
  bool wait_first; /* we have just written: an answer can't be there yet */
  fc_routine *waiter;
};

bool fc_endpoint_parse(const char *text, fc_endpoint *out) {
  const char *colon = text ? strrchr(text, ':') : NULL;
  if (!colon || colon - text > 15 || colon == text) return false;
  char host[16] = {0};
  memcpy(host, text, (size_t)(colon - text));
  struct in_addr ip;
  if (inet_pton(AF_INET, host, &ip) != 1) return false;
  char *end = NULL;
  errno = 0;
  long port = strtol(colon + 1, &end, 10);
  if (errno || end == colon + 1 || *end || port < 1 || port > 65535) return false;
  out->ip = ip.s_addr;
  out->port = (uint16_t)port;
  return true;
}

/* One more system call by the running routine; what it returned is passed on. */
static ssize_t count_call(ssize_t result) {
  fc_routine_usage()->system_calls++;
  return result;
}

static void on_io(struct ev_loop *loop, ev_io *w, int events) {
  fc_conn *conn = w->data;
  if (conn->waiter && (events & (conn->wanted | EV_ERROR))) {
    fc_routine *routine = conn->waiter;
    conn->waiter = NULL;
    fc_routine_wake(routine);
    return; /* it stays armed: for most messages the next wait is for the same event */
  }
  /* Level-triggered: without a routine to read it, the event would fire for ever. */
  ev_io_stop(loop, w);
}

static fc_conn *conn_new(int fd) {
  fc_conn *conn = calloc(1, sizeof *conn);
  if (!conn) {
    close(fd);
    return NULL;
  }
  static uint64_t last_number;
  conn->number = ++last_number;
  conn->fd = fd;
  int one = 1;
  /* Best effort: without it messages are only slower. */
  (void)count_call(setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one));
  ev_io_init(&conn->io, on_io, fd, EV_READ);
  conn->io.data = conn;
  return conn;
}

static fc_wake conn_wait(fc_conn *conn, int events, double deadline) {
  conn->wanted = events;
  conn->waiter = fc_routine_self();
  if ((conn->io.events & (EV_READ | EV_WRITE)) != events) {
    ev_io_stop(fc_loop(), &conn->io);
    /* Not ev_io_set(): after it libev takes the descriptor for a new one, and tells the
     * kernel of it with a call that fails and one that does not, at every wait. */
    ev_io_modify(&conn->io, events);
  }
  ev_io_start(fc_loop(), &conn->io); /* nothing when it is active */
  fc_wake w = fc_routine_park(deadline);
  conn->waiter = NULL;
  return w;
}

fc_conn *fc_conn_connect(const fc_endpoint *to, double deadline) {
  int fd = (int)count_call(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (fd < 0) return NULL;
  fc_conn *conn = conn_new(fd);
  if (!conn) return NULL;
  struct sockaddr_in sa = {.sin_family = AF_INET, .sin_port = htons(to->port)};
  sa.sin_addr.s_addr = to->ip;
  if (count_call(connect(fd, (struct sockaddr *)&sa, sizeof sa)) == 0) return conn;
  if (errno != EINPROGRESS) goto fail;
  if (conn_wait(conn, EV_WRITE, deadline) != FC_WAKE_OK) goto fail;
  int err = 0;
  socklen_t len = sizeof err;
  if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &err, &len) != 0 || err != 0) goto fail;
  return conn;
fail:
  fc_conn_close(conn);
  return NULL;
}

ssize_t fc_conn_read(fc_conn *conn, void *buf, size_t size, double deadline) {
  for (;;) {
    /* Saves a system call for each message; each is dear where we run. */
    if (conn->wait_first) {
      conn->wait_first = false;
      if (conn_wait(conn, EV_READ, deadline) != FC_WAKE_OK) return -1;
    }
    ssize_t n = count_call(recv(conn->fd, buf, size, 0));
    if (n >= 0) {
      fc_routine_usage()->bytes_in += (uint64_t)n;
      return n;
    }
    if (errno == EINTR) continue;
    if (errno != EAGAIN && errno != EWOULDBLOCK) return -1;
    if (conn_wait(conn, EV_READ, deadline) != FC_WAKE_OK) return -1;
  }
}

bool fc_conn_write(fc_conn *conn, const void *buf, size_t size, double deadline) {
  const char *p = buf;
  while (size > 0) {
    ssize_t n = count_call(send(conn->fd, p, size, MSG_NOSIGNAL));
    if (n > 0) {
      fc_routine_usage()->bytes_out += (uint64_t)n;
      p += n;
      size -= (size_t)n;
      continue;
    }
    if (n < 0 && errno == EINTR) continue;
    if (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK) return false;
    if (conn_wait(conn, EV_WRITE, deadline) != FC_WAKE_OK) return false;
  }
  conn->wait_first = true;
  return true;
}

bool fc_conn_stale(fc_conn *conn) {
  char byte;
  ssize_t n = count_call(recv(conn->fd, &byte, 1, MSG_PEEK));
  return !(n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
}

void fc_conn_close(fc_conn *conn) {
  if (!conn) return;
  ev_io_stop(fc_loop(), &conn->io);
  (void)count_call(close(conn->fd));
  free(conn);
}

uint64_t fc_conn_number(const fc_conn *conn) {
  return conn->number;
}

struct listener {
  ev_io io;
  fc_conn_fn on_conn;
  void *arg;
  size_t open, most;
};

bool fc_conn_crowded(const fc_conn *conn) {
  return conn->from && conn->from->open * 5 >= conn->from->most * 4;
}

typedef struct accepted {
  listener *listener;
  fc_conn *conn;
} accepted;

static void accepted_main(void *arg) {
  accepted a = *(accepted *)arg;
  free(arg);
  a.listener->on_conn(a.conn, a.listener->arg);
  fc_conn_close(a.conn);
  a.listener->open--;
}

static void on_accept(struct ev_loop *loop, ev_io *w, int events) {
  (void)loop;
  (void)events;
  listener *l = w->data;
  for (;;) {
    int fd = accept4(w->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) return;
    /* Past the bound the connection is closed at once: the sockets left over
     * are needed for workers, peers and the state service. */
    if (l->open >= l->most) {
      close(fd);
      continue;
    }
    fc_conn *conn = conn_new(fd);
    accepted *a = conn ? malloc(sizeof *a) : NULL;
    if (!a) {
      if (conn) fc_conn_close(conn);
      continue;
    }
    a->listener = l;
    a->conn = conn;
    conn->from = l;
    l->open++;
    if (!fc_routine_spawn(accepted_main, a)) {
      l->open--;
      fc_conn_close(conn);
      free(a);
    }
  }
}

bool fc_listen(const fc_endpoint *at, size_t most, fc_conn_fn on_conn, void *arg) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return false;
  int one = 1;
  struct sockaddr_in sa = {.sin_family = AF_INET, .sin_port = htons(at->port)};
  sa.sin_addr.s_addr = at->ip;
  if (setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one) != 0 ||
      bind(fd, (struct sockaddr *)&sa, sizeof sa) != 0 || listen(fd, 256) != 0) {
    close(fd);
    return false;
  }
  listener *l = calloc(1, sizeof *l);
  if (!l) {
    close(fd);
    return false;
  }
  l->on_conn = on_conn;
  l->arg = arg;
  l->most = most;
  ev_io_init(&l->io, on_accept, fd, EV_READ);
  l->io.data = l;
  ev_io_start(fc_loop(), &l->io);
  return true;
}
