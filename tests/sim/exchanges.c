/* Simulated links with their faults, and src/transport/http.h over them: requests and responses. */
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "network.h"
#include "transport/conn.h"
#include "transport/http.h"

#define CLIENT_PORT 8080 /* of controllers; stand-ins answer on any port */
/* Shares of requests that are delayed, while links lose some. */
#define VERY_LATE_SHARE 0.006
#define LATE_SHARE 0.016 /* the very late ones included */

static GHashTable *g_stand_in_servers; /* address -> stand_in_server */
static GHashTable *g_servers;          /* "ip:port" -> sim_server */
static sim_link_fn g_link_fn;
static sim_sender_tag_fn g_sender_tag_fn;
static sim_body_fn g_stand_in_body_fn;
static double g_request_loss, g_reply_loss;
static double g_slow_until, g_slow_max_s;

void sim_exchanges_init(void) {
  g_stand_in_servers = g_hash_table_new(NULL, NULL);
  g_servers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  g_slow_until = 0;
  g_sender_tag_fn = NULL;
  g_stand_in_body_fn = NULL;
}

/* ---- links ---- */

void sim_set_links(sim_link_fn fn, double request_loss, double reply_loss) {
  g_link_fn = fn;
  g_request_loss = request_loss;
  g_reply_loss = reply_loss;
}

void sim_set_sender_tags(sim_sender_tag_fn fn) {
  g_sender_tag_fn = fn;
}

sim_link sim_link_now(uint32_t from, uint32_t to) {
  return g_link_fn ? g_link_fn(from, to) : SIM_CLEAR;
}

void sim_slow_links(double until, double max_s) {
  g_slow_until = until;
  g_slow_max_s = max_s;
}

double sim_draw_link_delay(void) {
  return sim_now() < g_slow_until ? sim_draw(0, g_slow_max_s) : 0;
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
  uint32_t from, to; /* links_sender() relies on `from` being first */
  uint16_t port;
  uint64_t connection; /* 0: one of its own */
  char *method, *path, *body;
  unsigned sender_tag; /* of the sender, when it sent the request */
  bool answered, timed_out;
  int status;
  char *reply;
  int retry_after_s;
  fc_routine *waiter;    /* the routine of a controller's call; NULL: none */
  sim_reply_fn reply_fn; /* of a stand-in's call; NULL: none */
  void *reply_arg;
} sim_exchange;

char *sim_endpoint_key(uint32_t ip, uint16_t port) {
  return g_strdup_printf("%u:%u", ip, port);
}

static int g_retry_after_s; /* of the response that a stand-in handles now */

int sim_retry_after(void) {
  return g_retry_after_s;
}

static void complete_exchange(void *arg) {
  sim_exchange *exchange = arg;
  if (exchange->timed_out) return;
  exchange->answered = true;
  if (exchange->waiter) {
    sim_routine_add_cost(exchange->waiter, sim_message_cost(strlen(exchange->reply)));
    fc_routine_wake(exchange->waiter);
  } else if (exchange->reply_fn) {
    sim_reply_fn fn = exchange->reply_fn;
    exchange->reply_fn = NULL;
    g_retry_after_s = exchange->retry_after_s;
    fn(exchange->status, exchange->reply, exchange->reply_arg);
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
  complete_exchange(exchange);
}

void sim_set_stand_in_bodies(sim_body_fn fn) {
  g_stand_in_body_fn = fn;
}

/* The body as a stand-in sends it, newly allocated. */
static char *stand_in_body(const char *body) {
  return g_stand_in_body_fn && body ? g_stand_in_body_fn(body) : g_strdup(body);
}

static bool is_stand_in(uint32_t ip) {
  return g_hash_table_contains(g_stand_in_servers, GUINT_TO_POINTER(ip));
}

unsigned sim_sender_tag(const sim_exchange *exchange) {
  return exchange->sender_tag;
}

/* The process that runs now, if it is the one at the address; else NULL. */
static sim_process *running_process_if_at(uint32_t ip) {
  sim_process *here = sim_running_process();
  return here && here->ip == ip ? here : NULL;
}

void sim_answer(sim_exchange *exchange, int status, const char *body) {
  if (exchange->reply) return;
  exchange->status = status;
  sim_internal_alloc_begin();
  exchange->reply = is_stand_in(exchange->to) ? stand_in_body(body) : g_strdup(body);
  sim_internal_alloc_end();
  size_t bytes = strlen(exchange->reply) + SIM_HTTP_HEAD_BYTES;
  sim_count_message(exchange->to, exchange->from, bytes);
  sim_process *sender = running_process_if_at(exchange->to);
  sim_charge(sender, sim_message_cost(bytes));
  if (sim_chance(g_reply_loss)) return;
  sim_after(sim_draw(0.0003, 0.004) + sim_draw_link_delay() + sim_send_delay(sender), deliver_reply, exchange);
}

static void run_handler(void *arg) {
  sim_exchange *exchange = arg;
  char *key = sim_endpoint_key(exchange->to, exchange->port);
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
    sim_after(SIM_HELD_RETRY_S, deliver_request, exchange); /* even if the sender has timed out by then */
    return;
  }
  stand_in_server *stand_in = g_hash_table_lookup(g_stand_in_servers, GUINT_TO_POINTER(exchange->to));
  if (stand_in) {
    sim_request request = {
        .method = exchange->method, .path = exchange->path, .body = exchange->body, .exchange = exchange};
    stand_in->fn(&request, stand_in->arg);
    return;
  }
  char *key = sim_endpoint_key(exchange->to, exchange->port);
  sim_server *server = g_hash_table_lookup(g_servers, key);
  g_free(key);
  if (!server || !server->process->alive) return;
  size_t bytes = strlen(exchange->path) + strlen(exchange->body) + SIM_HTTP_HEAD_BYTES;
  sim_count_message(exchange->from, exchange->to, bytes);
  sim_routine_add_cost(sim_spawn_in(server->process, run_handler, exchange), sim_message_cost(bytes));
}

static sim_exchange *send_request(uint32_t from, uint32_t to, uint16_t port, const char *method, const char *path,
                                  const char *body, size_t len) {
  sim_internal_alloc_begin();
  sim_exchange *exchange = g_new0(sim_exchange, 1);
  exchange->from = from;
  exchange->sender_tag = g_sender_tag_fn ? g_sender_tag_fn(from) : 0;
  exchange->to = to;
  exchange->port = port;
  exchange->method = g_strdup(method);
  exchange->path = g_strdup(path);
  exchange->body = body ? g_strndup(body, len) : g_strdup("");
  sim_internal_alloc_end();
  sim_process *sender = running_process_if_at(from);
  if (sender) {
    size_t bytes = strlen(path) + len + SIM_HTTP_HEAD_BYTES;
    sim_count_message(from, to, bytes);
    sim_charge(sender, sim_message_cost(bytes));
  }
  if (!sim_chance(g_request_loss)) {
    /* Some requests are late, and some so late that the sender has timed out by then; these are
     * delivered all the same. */
    double choice = g_request_loss > 0 ? sim_draw(0, 1) : 1; /* without loss none is late */
    double delay = choice < VERY_LATE_SHARE ? sim_draw(1, 40)
                   : choice < LATE_SHARE    ? sim_draw(0.1, 0.5)
                                            : sim_draw(0.0003, 0.004);
    sim_after(delay + sim_draw_link_delay() + sim_send_delay(sender), deliver_request, exchange);
  }
  return exchange;
}

void sim_serve(uint32_t ip, sim_server_fn fn, void *arg) {
  stand_in_server *stand_in = g_new(stand_in_server, 1);
  *stand_in = (stand_in_server){fn, arg};
  g_hash_table_insert(g_stand_in_servers, GUINT_TO_POINTER(ip), stand_in);
}

static void call_timeout(void *arg) {
  sim_exchange *exchange = arg;
  if (exchange->answered || exchange->timed_out) return;
  exchange->timed_out = true;
  sim_reply_fn fn = exchange->reply_fn;
  exchange->reply_fn = NULL;
  if (fn) fn(0, "", exchange->reply_arg);
}

uint64_t sim_connection_number(void) {
  static uint64_t last_number;
  return ++last_number;
}

void sim_call_on(uint64_t connection, uint32_t from, uint32_t to, const char *path, const char *body, double timeout,
                 sim_reply_fn fn, void *arg) {
  g_autofree char *sent = stand_in_body(body);
  sim_exchange *exchange = send_request(from, to, CLIENT_PORT, "POST", path, sent, strlen(sent));
  exchange->connection = connection;
  exchange->reply_fn = fn;
  exchange->reply_arg = arg;
  sim_after(timeout, call_timeout, exchange);
}

void sim_call(uint32_t from, uint32_t to, const char *method, const char *path, const char *body, double timeout,
              sim_reply_fn fn, void *arg) {
  g_autofree char *sent = stand_in_body(body);
  sim_exchange *exchange = send_request(from, to, CLIENT_PORT, method, path, sent, sent ? strlen(sent) : 0);
  exchange->reply_fn = fn;
  exchange->reply_arg = arg;
  sim_after(timeout, call_timeout, exchange);
}

/* ---- http.h ---- */

struct fc_http_client {
  fc_endpoint to;
};

fc_http_client *fc_http_client_new(const fc_endpoint *to, size_t max_body_bytes) {
  (void)max_body_bytes;
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
    /* The connection cannot be set up, so the request is certainly not delivered. */
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
    exchange->timed_out = true;
    /* No exchange is freed, as its messages may still be in transit. A lost request leaves no reference to
     * its exchange, which the analyzer reports as a leak. */
    return false;  // NOLINT(clang-analyzer-unix.Malloc): exchanges live until the test ends
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

bool fc_http_serve(const fc_endpoint *at, const fc_http_server_options *opt, fc_http_handler handler, void *arg) {
  (void)opt;
  sim_server *server = g_new0(sim_server, 1);
  *server = (sim_server){.handler = handler, .arg = arg, .process = sim_running_process()};
  g_hash_table_replace(g_servers, sim_endpoint_key(ntohl(at->ip), at->port), server);
  return true;
}

void fc_http_serve_conn(fc_conn *conn, const char *first, size_t first_len, const fc_http_server_options *opt,
                        fc_http_handler handler, void *arg) {
  (void)conn, (void)first, (void)first_len, (void)opt, (void)handler, (void)arg; /* no simulated process calls it */
}
