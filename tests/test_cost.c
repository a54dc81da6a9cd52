/* The cost of the transport in system calls, over loopback sockets. With a small share of a processor they
 * are most of what a message costs, so every additional one has to be justified. */
#include "check.h"

#include <arpa/inet.h>
#include <sys/epoll.h>
#include <sys/syscall.h>
#include <unistd.h>

#include "transport/http.h"
#include "transport/routine.h"

#define REQUESTS 100u
#define LIMIT_S 20.0

/* Replace those of the C library, so that libev's calls are counted, too. */
static unsigned g_epoll_controls, g_epoll_waits;

int epoll_ctl(int epfd, int op, int fd, struct epoll_event *event) {
  g_epoll_controls++;
  return (int)syscall(SYS_epoll_ctl, epfd, op, fd, event);
}

int epoll_wait(int epfd, struct epoll_event *events, int max_events, int timeout_ms) {
  g_epoll_waits++;
  return (int)syscall(SYS_epoll_pwait, epfd, events, max_events, timeout_ms, NULL, 0);
}

static uint16_t g_port;
static fc_usage g_server, g_client;

static void handle(const fc_http_request *req, fc_http_response *res, void *arg) {
  (void)req;
  (void)arg;
  fc_routine_account(&g_server);
  res->status = 200;
  g_string_append(res->body, "{}");
}

static int start_server(void **state) {
  (void)state;
  if (!fc_loop_init()) return -1;
  const fc_http_server_options options = {
      .max_connections = 64, .idle_timeout_s = LIMIT_S, .request_timeout_s = LIMIT_S};
  for (g_port = 28280; g_port < 28380; g_port++) {
    const fc_endpoint at = {.ip = htonl(INADDR_LOOPBACK), .port = g_port};
    if (fc_http_serve(&at, &options, handle, NULL)) return 0;
  }
  return -1;
}

typedef struct client_run {
  bool reuse;          /* one connection for all requests */
  unsigned unanswered; /* out */
} client_run;

static void call_main(void *arg) {
  client_run *run = arg;
  const fc_endpoint at = {.ip = htonl(INADDR_LOOPBACK), .port = g_port};
  fc_routine_account(&g_client);
  fc_http_client *client = fc_http_client_new(&at, 1024);
  for (unsigned i = 0; i < REQUESTS; i++) {
    fc_http_reply reply;
    if (!fc_http_call(client, "POST", "/checkin", "{}", 2, fc_now() + LIMIT_S, &reply)) run->unanswered++;
    fc_http_reply_clear(&reply);
    if (run->reuse) continue;
    fc_http_client_free(client);
    client = fc_http_client_new(&at, 1024);
  }
  fc_http_client_free(client);
  ev_break(fc_loop(), EVBREAK_ALL);
}

/* System calls per request, of the server and of the client, stay below their limits. */
static void system_calls_per_request(void **state) {
  (void)state;
  static const struct {
    const char *name;
    bool reuse;
    double server, client;  /* limit of system calls on sockets */
    double controls, waits; /* limit of epoll_ctl() and epoll_wait(), both sides together */
  } rows[] = {
      {"on a reused connection: one read, one write", true, 2.1, 2.1, 0.1, 2.2},
      {"on a new connection", false, 5, 7, 4.1, 4.2},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    client_run run = {.reuse = rows[i].reuse};
    g_server = g_client = (fc_usage){0};
    g_epoll_controls = g_epoll_waits = 0;
    assert_non_null(fc_routine_spawn(call_main, &run));
    fc_loop_run();
    const double server = (double)g_server.system_calls / REQUESTS, client = (double)g_client.system_calls / REQUESTS;
    const double controls = (double)g_epoll_controls / REQUESTS, waits = (double)g_epoll_waits / REQUESTS;
    print_message("%s: %.2f and %.2f on sockets, %.2f epoll_ctl, %.2f epoll_wait\n", rows[i].name, server, client,
                  controls, waits);
    check_row(rows[i].name, run.unanswered == 0);
    check_row(rows[i].name, server > 0 && server <= rows[i].server);
    check_row(rows[i].name, client > 0 && client <= rows[i].client);
    check_row(rows[i].name, controls <= rows[i].controls);
    check_row(rows[i].name, waits <= rows[i].waits);
  }
}

/* A chain: routines that wait for conditions and wake each other in turn. */
enum { CHAIN_LENGTH = 3, CHAINS = 50 };

static fc_cond g_links[CHAIN_LENGTH + 1];
static unsigned g_wakes;

static void link_main(void *arg) {
  const unsigned at = GPOINTER_TO_UINT(arg);
  for (unsigned i = 0; i < CHAINS; i++) {
    if (fc_cond_wait(&g_links[at], fc_now() + LIMIT_S) != FC_WAKE_OK) return;
    g_wakes++;
    fc_cond_broadcast(&g_links[at + 1]);
  }
}

static void chain_main(void *arg) {
  (void)arg;
  for (unsigned i = 0; i < CHAINS; i++) {
    fc_cond_broadcast(&g_links[0]);
    (void)fc_routine_sleep(0.002);
  }
  ev_break(fc_loop(), EVBREAK_ALL);
}

/* Routines that wake each other in turn all run before the sockets are polled again. */
static void polls_per_chain_of_wakes(void **state) {
  (void)state;
  for (unsigned at = 0; at < CHAIN_LENGTH; at++) assert_non_null(fc_routine_spawn(link_main, GUINT_TO_POINTER(at)));
  assert_non_null(fc_routine_spawn(chain_main, NULL));
  g_wakes = g_epoll_waits = 0;
  fc_loop_run();
  print_message("%u epoll_wait for %u chains of %u\n", g_epoll_waits, CHAINS, CHAIN_LENGTH);
  assert_int_equal(g_wakes, CHAINS * CHAIN_LENGTH);
  assert_true(g_epoll_waits <= CHAINS * 2);
}

typedef struct usage_run {
  fc_usage *usage;
  bool child_ran, child_inherited; /* out: the child ran, and its usage was counted with the parent's */
} usage_run;

static void child_main(void *arg) {
  usage_run *run = arg;
  run->child_ran = true;
  run->child_inherited = fc_routine_usage() == run->usage;
  ev_break(fc_loop(), EVBREAK_ALL);
}

static void parent_main(void *arg) {
  usage_run *run = arg;
  fc_routine_account(run->usage);
  for (unsigned i = 0; i < CHAINS; i++) (void)fc_routine_sleep(0.001);
  (void)fc_routine_spawn(child_main, run);
}

/* Usage is counted where the routine chooses with fc_routine_account(), and the routines that it starts inherit
 * the choice. */
static void usage_is_accounted(void **state) {
  (void)state;
  fc_usage usage = {0};
  usage_run run = {.usage = &usage};
  unsigned iterations = fc_loop_iterations();
  assert_non_null(fc_routine_spawn(parent_main, &run));
  fc_loop_run();
  assert_true(run.child_ran && run.child_inherited);
  /* The parent's first switch came before fc_routine_account(); the child's one is counted. */
  assert_int_equal(usage.switches, CHAINS + 1);
  assert_true(usage.busy_s > 0);
  assert_int_equal(usage.system_calls, 0);
  assert_true(fc_loop_iterations() - iterations >= CHAINS);
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(system_calls_per_request),
      cmocka_unit_test(polls_per_chain_of_wakes),
      cmocka_unit_test(usage_is_accounted),
  };
  return cmocka_run_group_tests(tests, start_server, NULL);
}
