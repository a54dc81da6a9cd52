/* Links with their faults, and src/transport/http.h over them: requests and replies. */
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "network.h"
#include "transport/conn.h"
#include "transport/http.h"

#define CLIENT_PORT 8080 /* of controllers; stand-ins answer on any */
#define LATE_SHARE 0.006 /* of requests */
#define SLOW_SHARE 0.016 /* of requests, the late ones included */

static GHashTable *g_stand_ins; /* ip -> stub */
static GHashTable *g_servers;   /* "ip:port" -> server */
static sim_link_fn g_link_state;
static sim_sender_tag_fn g_sender_now;
static double g_lose_request, g_lose_reply;
static double g_slow_until, g_slow_most_s;

void sim_exchanges_init(void) {
  g_stand_ins = g_hash_table_new(NULL, NULL);
  g_servers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  g_slow_until = 0;
  g_sender_now = NULL;
}

/* ---- links ---- */

void sim_set_links(sim_link_fn fn, double lose_request, double lose_reply) {
  g_link_state = fn;
  g_lose_request = lose_request;
  g_lose_reply = lose_reply;
}

void sim_set_sender_tags(sim_sender_tag_fn fn) {
  g_sender_now = fn;
}

sim_link sim_link_now(uint32_t from, uint32_t to) {
  return g_link_state ? g_link_state(from, to) : SIM_CLEAR;
}

void sim_slow_links(double until, double most_s) {
  g_slow_until = until;
  g_slow_most_s = most_s;
}

double sim_slowness(void) {
  return sim_now() < g_slow_until ? sim_draw(0, g_slow_most_s) : 0;
}

/* ---- exchanges ---- */

typedef struct sim_server {
  fc_http_handler handler;
  void *arg;
  sim_process *process;
} sim_server;

typedef struct stand_in_server {
  sim_server_fn fn;
  void *arg;
} stand_in_server;

typedef struct sim_exchange {
  uint32_t from, to;
  uint16_t port;
  uint64_t connection; /* 0: one of its own */
  char *method, *path, *body;
  unsigned sender; /* what it was as it sent the request */
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

static int g_retry_after_s; /* of the reply that a stand-in's client reads now */

int sim_retry_after(void) {
  return g_retry_after_s;
}

static void hand_over_reply(void *arg) {
  sim_exchange *exchange = arg;
  if (exchange->given_up) return;
  exchange->answered = true;
  if (exchange->waiter) {
    sim_routine_add_cost(exchange->waiter, sim_message_cost(strlen(exchange->reply)));
    fc_routine_wake(exchange->waiter);
  } else if (exchange->fn) {
    sim_reply_fn fn = exchange->fn;
    exchange->fn = NULL;
    g_retry_after_s = exchange->retry_after_s;
    fn(exchange->status, exchange->reply, exchange->fn_arg);
    g_retry_after_s = 0;
  }
}

static void deliver_reply(void *arg) {
  sim_exchange *exchange = arg;
  sim_link link = sim_link_now(exchange->to, exchange->from);
  if (link == SIM_RESET) return;
  if (link == SIM_HELD) {
    sim_after(SIM_HELD_RETRY_S, deliver_reply, exchange);
    return;
  }
  hand_over_reply(exchange);
}

unsigned sim_sender_tag(const sim_exchange *exchange) {
  return exchange->sender;
}

/* The process that runs now, if it is the one at the address; else NULL. */
static sim_process *sender_at(uint32_t ip) {
  sim_process *here = sim_process_here();
  return here && here->ip == ip ? here : NULL;
}

void sim_answer(sim_exchange *exchange, int status, const char *body) {
  if (exchange->reply) return;
  exchange->status = status;
  sim_own_work_begin();
  exchange->reply = g_strdup(body);
  sim_own_work_end();
  size_t bytes = strlen(exchange->reply) + SIM_HTTP_HEAD_BYTES;
  sim_count_message(exchange->to, exchange->from, bytes);
  sim_process *sender = sender_at(exchange->to);
  sim_charge(sender, sim_message_cost(bytes));
  if (sim_chance(g_lose_reply)) return;
  sim_after(sim_draw(0.0003, 0.004) + sim_slowness() + sim_departs_in(sender), deliver_reply, exchange);
}

static void handler_main(void *arg) {
  sim_exchange *exchange = arg;
  char *key = sim_place_key(exchange->to, exchange->port);
  sim_server *server = g_hash_table_lookup(g_servers, key);
  g_free(key);
  if (!server) return;
  char *path = g_strdup(exchange->path);
  char *query = strchr(path, '?');
  if (query) *query++ = '\0';
  fc_http_request req = {.method = exchange->method,
                         .path = path,
                         .query = query ? query : "",
                         .body = exchange->body,
                         .body_len = strlen(exchange->body),
                         .connection = exchange->connection};
  fc_http_response res = {.status = 500, .body = g_string_new(NULL)};
  server->handler(&req, &res, server->arg);
  exchange->retry_after_s = res.retry_after_s;
  sim_answer(exchange, res.status, res.body->str);
  g_string_free(res.body, TRUE);
  g_free(path);
}

static void deliver_request(void *arg) {
  sim_exchange *exchange = arg;
  sim_link link = sim_link_now(exchange->from, exchange->to);
  if (link == SIM_RESET) return;
  if (link == SIM_HELD) {
    sim_after(SIM_HELD_RETRY_S, deliver_request, exchange); /* even if the sender has given up by then */
    return;
  }
  stand_in_server *stand_in = g_hash_table_lookup(g_stand_ins, GUINT_TO_POINTER(exchange->to));
  if (stand_in) {
    sim_request request = {
        .method = exchange->method, .path = exchange->path, .body = exchange->body, .exchange = exchange};
    stand_in->fn(&request, stand_in->arg);
    return;
  }
  char *key = sim_place_key(exchange->to, exchange->port);
  sim_server *server = g_hash_table_lookup(g_servers, key);
  g_free(key);
  if (!server || !server->process->alive) return;
  size_t bytes = strlen(exchange->path) + strlen(exchange->body) + SIM_HTTP_HEAD_BYTES;
  sim_count_message(exchange->from, exchange->to, bytes);
  sim_routine_add_cost(sim_spawn_in(server->process, handler_main, exchange), sim_message_cost(bytes));
}

static sim_exchange *send_request(uint32_t from, uint32_t to, uint16_t port, const char *method, const char *path,
                                  const char *body, size_t len) {
  sim_own_work_begin();
  sim_exchange *exchange = g_new0(sim_exchange, 1);
  exchange->from = from;
  exchange->sender = g_sender_now ? g_sender_now(from) : 0;
  exchange->to = to;
  exchange->port = port;
  exchange->method = g_strdup(method);
  exchange->path = g_strdup(path);
  exchange->body = body ? g_strndup(body, len) : g_strdup("");
  sim_own_work_end();
  sim_process *sender = sender_at(from);
  if (sender) {
    size_t bytes = strlen(path) + len + SIM_HTTP_HEAD_BYTES;
    sim_count_message(from, to, bytes);
    sim_charge(sender, sim_message_cost(bytes));
  }
  if (!sim_chance(g_lose_request)) {
    /* Now and then slow, and now and then so late that the sender has given up long ago: it is
     * delivered all the same. */
    double choice = g_lose_request > 0 ? sim_draw(0, 1) : 1; /* no faults */
    double delay = choice < LATE_SHARE   ? sim_draw(1, 40)
                   : choice < SLOW_SHARE ? sim_draw(0.1, 0.5)
                                         : sim_draw(0.0003, 0.004);
    sim_after(delay + sim_slowness() + sim_departs_in(sender), deliver_request, exchange);
  }
  return exchange;
}

void sim_serve(uint32_t ip, sim_server_fn fn, void *arg) {
  stand_in_server *stand_in = g_new(stand_in_server, 1);
  *stand_in = (stand_in_server){fn, arg};
  g_hash_table_insert(g_stand_ins, GUINT_TO_POINTER(ip), stand_in);
}

static void call_timeout(void *arg) {
  sim_exchange *exchange = arg;
  if (exchange->answered || exchange->given_up) return;
  exchange->given_up = true;
  sim_reply_fn fn = exchange->fn;
  exchange->fn = NULL;
  if (fn) fn(0, "", exchange->fn_arg);
}

uint64_t sim_connection_number(void) {
  static uint64_t last;
  return ++last;
}

void sim_call_on(uint64_t connection, uint32_t from, uint32_t to, const char *path, const char *body, double timeout,
                 sim_reply_fn fn, void *arg) {
  sim_exchange *exchange = send_request(from, to, CLIENT_PORT, "POST", path, body, strlen(body));
  exchange->connection = connection;
  exchange->fn = fn;
  exchange->fn_arg = arg;
  sim_after(timeout, call_timeout, exchange);
}

void sim_call(uint32_t from, uint32_t to, const char *method, const char *path, const char *body, double timeout,
              sim_reply_fn fn, void *arg) {
  sim_exchange *exchange = send_request(from, to, CLIENT_PORT, method, path, body, body ? strlen(body) : 0);
  exchange->fn = fn;
  exchange->fn_arg = arg;
  sim_after(timeout, call_timeout, exchange);
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
  if (sim_link_now(sim_running_ip(), to) != SIM_CLEAR && sim_chance(0.5)) {
    /* No connection: certainly not delivered. */
    while (fc_routine_park(deadline) == FC_WAKE_OK) {
    }
    reply->unsent = true;
    return false;
  }
  sim_exchange *exchange = send_request(sim_running_ip(), to, client->to.port, method, path, body, body_len);
  exchange->waiter = fc_routine_self();
  while (!exchange->answered)
    if (fc_routine_park(deadline) == FC_WAKE_TIMEOUT) break;
  exchange->waiter = NULL;
  if (!exchange->answered) {
    exchange->given_up = true;
    /* Where the request was lost nothing holds the exchange any more; none is freed. */
    return false;  // NOLINT(clang-analyzer-unix.Malloc): exchanges live as long as the scene
  }
  reply->status = exchange->status;
  reply->retry_after_s = exchange->retry_after_s;
  g_string_assign(reply->body, exchange->reply);
  return true;
}

void fc_http_reply_clear(fc_http_reply *reply) {
  if (reply->body) g_string_free(reply->body, TRUE);
  reply->body = NULL;
}

bool fc_http_serve(const fc_endpoint *where, const fc_http_server_options *opt, fc_http_handler handler, void *arg) {
  (void)opt;
  sim_server *server = g_new0(sim_server, 1);
  *server = (sim_server){.handler = handler, .arg = arg, .process = sim_process_here()};
  g_hash_table_replace(g_servers, sim_place_key(ntohl(where->ip), where->port), server);
  return true;
}

void fc_http_serve_conn(fc_conn *conn, const char *first, size_t first_len, const fc_http_server_options *opt,
                        fc_http_handler handler, void *arg) {
  (void)conn, (void)first, (void)first_len, (void)opt, (void)handler, (void)arg; /* no simulated process calls it */
}
