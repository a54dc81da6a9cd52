/* src/transport/conn.h over simulated links: byte streams between controllers. */
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "network.h"
#include "transport/conn.h"

#define CONNECT_DELAY_S 0.001

static GHashTable *g_listeners; /* "ip:port" -> sim_listener */

void sim_streams_init(void) {
  g_listeners = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

struct fc_conn {
  uint32_t local, remote; /* addresses */
  struct fc_conn *other;  /* the other end; NULL: it was closed, or the connection reset */
  GByteArray *inbox;      /* delivered, not yet read */
  GQueue in_transit;      /* sim_segment to this end */
  fc_routine *waiter;
  sim_process *process;
  bool closed;
  double last_arrival_at; /* of the segments sent from this end: later ones do not arrive before it */
  double unread_cost_s;   /* of receiving what is in the inbox, not charged yet */
};

typedef struct sim_listener {
  fc_conn_fn fn;
  void *arg;
  sim_process *process;
} sim_listener;

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

static fc_conn *conn_new(sim_process *process, uint32_t local, uint32_t remote) {
  sim_internal_alloc_begin();
  fc_conn *conn = g_new0(fc_conn, 1);
  conn->process = process;
  conn->local = local;
  conn->remote = remote;
  conn->inbox = g_byte_array_new();
  g_queue_init(&conn->in_transit);
  sim_internal_alloc_end();
  return conn;
}

typedef struct accepted_conn {
  sim_listener *listener;
  fc_conn *conn;
} accepted_conn;

static void serve_accepted(void *arg) {
  accepted_conn accepted = *(accepted_conn *)arg;
  g_free(arg);
  accepted.listener->fn(accepted.conn, accepted.listener->arg);
  fc_conn_close(accepted.conn);
}

fc_conn *fc_conn_connect(const fc_endpoint *to, double deadline) {
  uint32_t ip = ntohl(to->ip);
  char *key = sim_endpoint_key(ip, to->port);
  sim_listener *listener = g_hash_table_lookup(g_listeners, key);
  g_free(key);
  (void)fc_routine_sleep(CONNECT_DELAY_S);
  if (!listener || !listener->process->alive || sim_link_now(sim_running_ip(), ip) != SIM_CLEAR) {
    while (fc_routine_park(deadline) == FC_WAKE_OK) {
    }
    return NULL;
  }
  fc_conn *local_end = conn_new(sim_running_process(), sim_running_ip(), ip);
  fc_conn *remote_end = conn_new(listener->process, ip, sim_running_ip());
  local_end->other = remote_end;
  remote_end->other = local_end;
  accepted_conn *accepted = g_new(accepted_conn, 1);
  *accepted = (accepted_conn){listener, remote_end};
  (void)sim_spawn_in(listener->process, serve_accepted, accepted);
  return local_end;
}

typedef struct sim_segment {
  GByteArray *data;
  double arrives_at;
  bool closes; /* the stream; no data */
} sim_segment;

static void receive_segment(fc_conn *conn, const sim_segment *segment, sim_link link) {
  if (segment->closes || link == SIM_RESET) conn->other = NULL;
  if (!segment->closes && link == SIM_CLEAR) g_byte_array_append(conn->inbox, segment->data->data, segment->data->len);
  conn->unread_cost_s += sim_message_cost(segment->data->len);
  if (!conn->waiter) return;
  sim_routine_add_cost(conn->waiter, conn->unread_cost_s);
  conn->unread_cost_s = 0;
  fc_routine_wake(conn->waiter);
}

/* Delivers, in order, the segments that have arrived by now. */
static void deliver_segments(void *arg) {
  fc_conn *conn = arg;
  sim_segment *segment;
  while ((segment = g_queue_peek_head(&conn->in_transit)) && segment->arrives_at <= sim_now()) {
    sim_link link = sim_link_now(conn->remote, conn->local);
    if (link == SIM_HELD) {
      sim_after(SIM_HELD_RETRY_S, deliver_segments, conn);
      return;
    }
    (void)g_queue_pop_head(&conn->in_transit);
    if (!conn->closed && conn->process->alive) receive_segment(conn, segment, link);
    g_byte_array_free(segment->data, TRUE);
    g_free(segment);
  }
}

static void send_segment(fc_conn *from, const void *buffer, size_t size, bool closes) {
  if (!from->other) return;
  sim_internal_alloc_begin();
  sim_segment *segment = g_new0(sim_segment, 1);
  segment->closes = closes;
  segment->data = g_byte_array_new();
  g_byte_array_append(segment->data, buffer, (guint)size);
  sim_count_message(from->local, from->remote, size);
  sim_charge(from->process, sim_message_cost(size));
  double leaves = sim_now() + sim_send_delay(from->process);
  segment->arrives_at = from->last_arrival_at =
      MAX(leaves + sim_draw(0.0003, 0.003) + sim_draw_link_delay(), from->last_arrival_at);
  g_queue_push_tail(&from->other->in_transit, segment);
  sim_at(segment->arrives_at, deliver_segments, from->other);
  sim_internal_alloc_end();
}

ssize_t fc_conn_read(fc_conn *conn, void *buffer, size_t size, double deadline) {
  while (conn->inbox->len == 0) {
    if (!conn->other || !conn->other->process->alive) return conn->other ? -1 : 0;
    conn->waiter = fc_routine_self();
    fc_wake wake = fc_routine_park(deadline);
    conn->waiter = NULL;
    if (wake != FC_WAKE_OK) return -1;
  }
  sim_charge(conn->process, conn->unread_cost_s);
  conn->unread_cost_s = 0;
  size_t count = MIN(size, conn->inbox->len);
  memcpy(buffer, conn->inbox->data, count);
  g_byte_array_remove_range(conn->inbox, 0, (guint)count);
  return (ssize_t)count;
}

bool fc_conn_write(fc_conn *conn, const void *buffer, size_t size, double deadline) {
  (void)deadline;
  if (!conn->other) return false;
  send_segment(conn, buffer, size, false);
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

bool fc_listen(const fc_endpoint *at, size_t max_open, fc_conn_fn on_conn, void *arg) {
  (void)max_open;
  sim_listener *listener = g_new0(sim_listener, 1);
  *listener = (sim_listener){.fn = on_conn, .arg = arg, .process = sim_running_process()};
  g_hash_table_replace(g_listeners, sim_endpoint_key(ntohl(at->ip), at->port), listener);
  return true;
}

uint64_t fc_conn_closed_for_others(void) {
  return 0; /* simulated listeners have no limit */
}
