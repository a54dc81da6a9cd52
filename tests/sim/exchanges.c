/* Links with their faults, and src/transport/http.h over them: one request and its answer. */
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "network.h"
#include "transport/conn.h"
#include "transport/http.h"

static GHashTable *g_stubs;   /* ip -> stub */
static GHashTable *g_servers; /* "ip:port" -> server */
static sim_link_fn g_links;
static double g_lose_request, g_lose_reply;
static double g_slow_until, g_slow_most;

void sim_exchanges_init(void) {
  g_stubs = g_hash_table_new(NULL, NULL);
  g_servers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  g_slow_until = 0;
}

/* ---- links ---- */

void sim_set_links(sim_link_fn fn, double lose_request, double lose_reply) {
  g_links = fn;
  g_lose_request = lose_request;
  g_lose_reply = lose_reply;
}

sim_link sim_link_now(uint32_t from, uint32_t to) {
  return g_links ? g_links(from, to) : SIM_CLEAR;
}

void sim_slow_links(double until, double most_s) {
  g_slow_until = until;
  g_slow_most = most_s;
}

double sim_slowness(void) {
  return sim_now() < g_slow_until ? sim_draw(0, g_slow_most) : 0;
}

/* ---- exchanges ---- */

typedef struct server {
  fc_http_handler handler;
  void *arg;
  sim_process *process;
} server;

typedef struct stub {
  sim_server_fn fn;
  void *arg;
} stub;

typedef struct sim_exchange {
  uint32_t from, to;
  uint16_t port;
  uint64_t connection; /* 0: one of its own */
  char *method, *path, *body;
  bool answered, given_up;
  int status;
  char *reply;
  int retry_after_s;
  fc_routine *waiter; /* a controller's call */
  sim_reply_fn fn;    /* a stand-in's call */
  void *fn_arg;
} sim_exchange;

char *sim_place_key(uint32_t ip, uint16_t port) {
  return g_strdup_printf("%u:%u", ip, port);
}

static int g_retry_after_s; /* of the reply that is being handed over */

int sim_retry_after(void) {
  return g_retry_after_s;
}

static void deliver_reply(void *arg) {
  sim_exchange *x = arg;
  if (x->given_up) return;
  x->answered = true;
  if (x->waiter) {
    sim_routine_owes(x->waiter, sim_message_cost(strlen(x->reply)));
    fc_routine_wake(x->waiter);
  } else if (x->fn) {
    sim_reply_fn fn = x->fn;
    x->fn = NULL;
    g_retry_after_s = x->retry_after_s;
    fn(x->status, x->reply, x->fn_arg);
    g_retry_after_s = 0;
  }
}

static void reply_when_clear(void *arg) {
  sim_exchange *x = arg;
  sim_link l = sim_link_now(x->to, x->from);
  if (l == SIM_RESET) return;
  if (l == SIM_HELD) {
    sim_after(0.25, reply_when_clear, x);
    return;
  }
  deliver_reply(x);
}

/* The process that runs now, if it is the one at the address; else NULL. */
static sim_process *sender_at(uint32_t ip) {
  sim_process *here = sim_process_here();
  return here && here->ip == ip ? here : NULL;
}

void sim_answer(sim_exchange *x, int status, const char *body) {
  if (x->reply) return;
  x->status = status;
  sim_own_work_begin();
  x->reply = g_strdup(body);
  sim_own_work_end();
  size_t bytes = strlen(x->reply) + SIM_HTTP_HEAD_BYTES;
  sim_count_message(x->to, x->from, bytes);
  sim_process *sender = sender_at(x->to);
  sim_charge(sender, sim_message_cost(bytes));
  if (sim_chance(g_lose_reply)) return;
  sim_after(sim_draw(0.0003, 0.004) + sim_slowness() + sim_departs_in(sender), reply_when_clear, x);
}

static void handler_main(void *arg) {
  sim_exchange *x = arg;
  char *key = sim_place_key(x->to, x->port);
  server *s = g_hash_table_lookup(g_servers, key);
  g_free(key);
  if (!s) return;
  char *path = g_strdup(x->path);
  char *query = strchr(path, '?');
  if (query) *query++ = '\0';
  fc_http_request req = {.method = x->method,
                         .path = path,
                         .query = query ? query : "",
                         .body = x->body,
                         .body_len = strlen(x->body),
                         .connection = x->connection};
  fc_http_response res = {.status = 500, .body = g_string_new(NULL)};
  s->handler(&req, &res, s->arg);
  x->retry_after_s = res.retry_after_s;
  sim_answer(x, res.status, res.body->str);
  g_string_free(res.body, TRUE);
  g_free(path);
}

static void deliver_request(void *arg) {
  sim_exchange *x = arg;
  sim_link l = sim_link_now(x->from, x->to);
  if (l == SIM_RESET) return;
  if (l == SIM_HELD) {
    sim_after(0.25, deliver_request, x); /* delivered late, even when given up */
    return;
  }
  stub *st = g_hash_table_lookup(g_stubs, GUINT_TO_POINTER(x->to));
  if (st) {
    sim_request r = {.method = x->method, .path = x->path, .body = x->body, .exchange = x};
    st->fn(&r, st->arg);
    return;
  }
  char *key = sim_place_key(x->to, x->port);
  server *s = g_hash_table_lookup(g_servers, key);
  g_free(key);
  if (!s || !s->process->alive) return;
  size_t bytes = strlen(x->path) + strlen(x->body) + SIM_HTTP_HEAD_BYTES;
  sim_count_message(x->from, x->to, bytes);
  sim_routine_owes(sim_spawn_in(s->process, handler_main, x), sim_message_cost(bytes));
}

static sim_exchange *send_request(uint32_t from, uint32_t to, uint16_t port, const char *method, const char *path,
                                  const char *body, size_t len) {
  sim_own_work_begin();
  sim_exchange *x = g_new0(sim_exchange, 1);
  x->from = from;
  x->to = to;
  x->port = port;
  x->method = g_strdup(method);
  x->path = g_strdup(path);
  x->body = body ? g_strndup(body, len) : g_strdup("");
  sim_own_work_end();
  sim_process *sender = sender_at(from);
  if (sender) {
    size_t bytes = strlen(path) + len + SIM_HTTP_HEAD_BYTES;
    sim_count_message(from, to, bytes);
    sim_charge(sender, sim_message_cost(bytes));
  }
  if (!sim_chance(g_lose_request)) {
    /* Now and then slow, and now and then so late that the sender has given up
     * long ago: it is carried out all the same. */
    double k = g_lose_request > 0 ? sim_draw(0, 1) : 1; /* a good network */
    double delay = k < 0.006 ? sim_draw(1, 40) : k < 0.016 ? sim_draw(0.1, 0.5) : sim_draw(0.0003, 0.004);
    sim_after(delay + sim_slowness() + sim_departs_in(sender), deliver_request, x);
  }
  return x;
}

void sim_serve(uint32_t ip, sim_server_fn fn, void *arg) {
  stub *s = g_new(stub, 1);
  *s = (stub){fn, arg};
  g_hash_table_insert(g_stubs, GUINT_TO_POINTER(ip), s);
}

static void call_timeout(void *arg) {
  sim_exchange *x = arg;
  if (x->answered || x->given_up) return;
  x->given_up = true;
  sim_reply_fn fn = x->fn;
  x->fn = NULL;
  if (fn) fn(0, "", x->fn_arg);
}

uint64_t sim_connection(void) {
  static uint64_t last;
  return ++last;
}

void sim_call_on(uint64_t connection, uint32_t from, uint32_t to, const char *path, const char *body, double timeout,
                 sim_reply_fn fn, void *arg) {
  sim_exchange *x = send_request(from, to, 8080, "POST", path, body, strlen(body));
  x->connection = connection;
  x->fn = fn;
  x->fn_arg = arg;
  sim_after(timeout, call_timeout, x);
}

void sim_call(uint32_t from, uint32_t to, const char *method, const char *path, const char *body, double timeout,
              sim_reply_fn fn, void *arg) {
  sim_exchange *x = send_request(from, to, 8080, method, path, body, body ? strlen(body) : 0);
  x->fn = fn;
  x->fn_arg = arg;
  sim_after(timeout, call_timeout, x);
}

/* ---- http.h ---- */

struct fc_http_client {
  fc_endpoint to;
};

fc_http_client *fc_http_client_new(const fc_endpoint *to, size_t most_body) {
  (void)most_body;
  fc_http_client *client = g_new0(fc_http_client, 1);
  client->to = *to;
  return client;
}

void fc_http_client_free(fc_http_client *client) {
  g_free(client);
}

bool fc_http_call(fc_http_client *client, const char *method, const char *path, const char *body, size_t body_len,
                  double deadline, fc_http_reply *reply) {
  *reply = (fc_http_reply){.body = g_string_new(NULL)};
  uint32_t to = ntohl(client->to.ip);
  if (sim_link_now(sim_here(), to) != SIM_CLEAR && sim_chance(0.5)) {
    /* No connection: certainly not carried out. */
    while (fc_routine_park(deadline) == FC_WAKE_OK) {
    }
    reply->unsent = true;
    return false;
  }
  sim_exchange *x = send_request(sim_here(), to, client->to.port, method, path, body, body_len);
  x->waiter = fc_routine_self();
  while (!x->answered)
    if (fc_routine_park(deadline) == FC_WAKE_TIMEOUT) break;
  x->waiter = NULL;
  if (!x->answered) {
    x->given_up = true;
    /* Where the request was lost nothing holds the exchange any more; none is freed. */
    return false;  // NOLINT(clang-analyzer-unix.Malloc): exchanges live as long as the scene
  }
  reply->status = x->status;
  reply->retry_after_s = x->retry_after_s;
  g_string_assign(reply->body, x->reply);
  return true;
}

void fc_http_reply_clear(fc_http_reply *reply) {
  if (reply->body) g_string_free(reply->body, TRUE);
  reply->body = NULL;
}

bool fc_http_serve(const fc_endpoint *where, const fc_http_server_options *opt, fc_http_handler handler, void *arg) {
  (void)opt;
  server *s = g_new0(server, 1);
  *s = (server){.handler = handler, .arg = arg, .process = sim_process_here()};
  g_hash_table_replace(g_servers, sim_place_key(ntohl(where->ip), where->port), s);
  return true;
}

void fc_http_serve_conn(fc_conn *conn, const char *first, size_t first_len, const fc_http_server_options *opt,
                        fc_http_handler handler, void *arg) {
  (void)conn, (void)first, (void)first_len, (void)opt, (void)handler, (void)arg; /* nobody asks here */
}
