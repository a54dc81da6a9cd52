/* src/transport/conn.h over simulated links: streams between controllers. */
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "network.h"
#include "transport/conn.h"

static GHashTable *g_listeners; /* "ip:port" -> listener */

void sim_streams_init(void) {
  g_listeners = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

struct fc_conn {
  uint32_t local, remote;
  struct fc_conn *other; /* NULL: closed or reset there */
  GByteArray *inbox;
  GQueue arriving;
  fc_routine *waiter;
  sim_process *process;
  bool closed;
  double clear_at; /* what is sent later arrives later */
  double unpaid_s; /* for what has come and nobody has read yet */
};

typedef struct listener {
  fc_conn_fn fn;
  void *arg;
  sim_process *process;
} listener;

bool fc_endpoint_parse(const char *text, fc_endpoint *out) {
  const char *colon = strrchr(text, ':');
  if (!colon) return false;
  char *host = g_strndup(text, (gsize)(colon - text));
  struct in_addr ip;
  bool ok = inet_pton(AF_INET, host, &ip) == 1;
  g_free(host);
  out->ip = ip.s_addr;
  out->port = (uint16_t)atoi(colon + 1);
  return ok;
}

static fc_conn *conn_new(sim_process *p, uint32_t local, uint32_t remote) {
  sim_own_work_begin();
  fc_conn *conn = g_new0(fc_conn, 1);
  conn->process = p;
  conn->local = local;
  conn->remote = remote;
  conn->inbox = g_byte_array_new();
  g_queue_init(&conn->arriving);
  sim_own_work_end();
  return conn;
}

typedef struct accepted {
  listener *l;
  fc_conn *conn;
} accepted;

static void accepted_main(void *arg) {
  accepted a = *(accepted *)arg;
  g_free(arg);
  a.l->fn(a.conn, a.l->arg);
  fc_conn_close(a.conn);
}

fc_conn *fc_conn_connect(const fc_endpoint *to, double deadline) {
  uint32_t ip = ntohl(to->ip);
  char *key = sim_place_key(ip, to->port);
  listener *l = g_hash_table_lookup(g_listeners, key);
  g_free(key);
  (void)fc_routine_sleep(0.001);
  if (!l || !l->process->alive || sim_link_now(sim_here(), ip) != SIM_CLEAR) {
    while (fc_routine_park(deadline) == FC_WAKE_OK) {
    }
    return NULL;
  }
  fc_conn *mine = conn_new(sim_process_here(), sim_here(), ip);
  fc_conn *theirs = conn_new(l->process, ip, sim_here());
  mine->other = theirs;
  theirs->other = mine;
  accepted *a = g_new(accepted, 1);
  *a = (accepted){l, theirs};
  (void)sim_spawn_in(l->process, accepted_main, a);
  return mine;
}

typedef struct segment {
  GByteArray *data;
  double when;
  bool end;
} segment;

/* Delivers in order what may arrive by now. */
static void deliver(fc_conn *conn, const segment *s, sim_link l) {
  if (s->end || l == SIM_RESET) conn->other = NULL;
  if (!s->end && l == SIM_CLEAR) g_byte_array_append(conn->inbox, s->data->data, s->data->len);
  conn->unpaid_s += sim_message_cost(s->data->len);
  if (!conn->waiter) return;
  sim_routine_owes(conn->waiter, conn->unpaid_s);
  conn->unpaid_s = 0;
  fc_routine_wake(conn->waiter);
}

static void pump(void *arg) {
  fc_conn *conn = arg;
  segment *s;
  while ((s = g_queue_peek_head(&conn->arriving)) && s->when <= sim_now()) {
    sim_link l = sim_link_now(conn->remote, conn->local);
    if (l == SIM_HELD) {
      sim_after(0.25, pump, conn);
      return;
    }
    (void)g_queue_pop_head(&conn->arriving);
    if (!conn->closed && conn->process->alive) deliver(conn, s, l);
    g_byte_array_free(s->data, TRUE);
    g_free(s);
  }
}

static void send_segment(fc_conn *from, const void *buf, size_t n, bool end) {
  if (!from->other) return;
  sim_own_work_begin();
  segment *s = g_new0(segment, 1);
  s->end = end;
  s->data = g_byte_array_new();
  g_byte_array_append(s->data, buf, (guint)n);
  sim_count_message(from->local, from->remote, n);
  sim_charge(from->process, sim_message_cost(n));
  double leaves = sim_now() + sim_departs_in(from->process);
  s->when = from->clear_at = MAX(leaves + sim_draw(0.0003, 0.003) + sim_slowness(), from->clear_at);
  g_queue_push_tail(&from->other->arriving, s);
  sim_at(s->when, pump, from->other);
  sim_own_work_end();
}

ssize_t fc_conn_read(fc_conn *conn, void *buf, size_t size, double deadline) {
  while (conn->inbox->len == 0) {
    if (!conn->other || !conn->other->process->alive) return conn->other ? -1 : 0;
    conn->waiter = fc_routine_self();
    fc_wake w = fc_routine_park(deadline);
    conn->waiter = NULL;
    if (w != FC_WAKE_OK) return -1;
  }
  sim_charge(conn->process, conn->unpaid_s);
  conn->unpaid_s = 0;
  size_t n = MIN(size, conn->inbox->len);
  memcpy(buf, conn->inbox->data, n);
  g_byte_array_remove_range(conn->inbox, 0, (guint)n);
  return (ssize_t)n;
}

bool fc_conn_write(fc_conn *conn, const void *buf, size_t size, double deadline) {
  (void)deadline;
  if (!conn->other) return false;
  send_segment(conn, buf, size, false);
  return true;
}

bool fc_conn_stale(fc_conn *conn) {
  return !conn->other;
}

void fc_conn_close(fc_conn *conn) {
  if (!conn || conn->closed) return;
  send_segment(conn, "", 0, true);
  conn->closed = true;
}

bool fc_listen(const fc_endpoint *where, size_t most, fc_conn_fn on_conn, void *arg) {
  (void)most;
  listener *l = g_new0(listener, 1);
  *l = (listener){.fn = on_conn, .arg = arg, .process = sim_process_here()};
  g_hash_table_replace(g_listeners, sim_place_key(ntohl(where->ip), where->port), l);
  return true;
}
