/* What the transport costs, counted in system calls on loopback. On a small share of a
 * processor they are most of what a message costs, so each is asked for. */
#include "check.h"

#include <arpa/inet.h>
#include <sys/epoll.h>
#include <sys/syscall.h>
#include <unistd.h>

#include "transport/http.h"
#include "transport/routine.h"

#define CALLS 100u
#define LIMIT_S 20.0

/* These stand in for the C library's, so that libev's calls are counted too. */
static unsigned g_epoll_controls, g_epoll_waits;

int epoll_ctl(int epfd, int op, int fd, struct epoll_event *event) {
  g_epoll_controls++;
  return (int)syscall(SYS_epoll_ctl, epfd, op, fd, event);
}

int epoll_wait(int epfd, struct epoll_event *events, int most, int timeout_ms) {
  g_epoll_waits++;
  return (int)syscall(SYS_epoll_pwait, epfd, events, most, timeout_ms, NULL, 0);
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

static int listen_somewhere(void **state) {
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

typedef struct calls {
  bool keep;           /* one connection for all of them */
  unsigned unanswered; /* out */
} calls;

static void call_main(void *arg) {
  calls *c = arg;
  const fc_endpoint at = {.ip = htonl(INADDR_LOOPBACK), .port = g_port};
  fc_routine_account(&g_client);
  fc_http_client *client = fc_http_client_new(&at, 1024);
  for (unsigned i = 0; i < CALLS; i++) {
    fc_http_reply reply;
    if (!fc_http_call(client, "POST", "/checkin", "{}", 2, fc_now() + LIMIT_S, &reply)) c->unanswered++;
    fc_http_reply_clear(&reply);
    if (c->keep) continue;
    fc_http_client_free(client);
    client = fc_http_client_new(&at, 1024);
  }
  fc_http_client_free(client);
  ev_break(fc_loop(), EVBREAK_ALL);
}

/* System calls for each request, on the side that answers and on the one that asks. */
static void system_calls_for_a_request(void **state) {
  (void)state;
  static const struct {
    const char *name;
    bool keep;
    double server, client;  /* on sockets */
    double controls, waits; /* of epoll, both sides together */
  } rows[] = {
      {"on a kept connection: one to read, one to write", true, 2.1, 2.1, 0.1, 2.2},
      {"on a connection of its own", false, 5, 7, 4.1, 4.2},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    calls c = {.keep = rows[i].keep};
    g_server = g_client = (fc_usage){0};
    g_epoll_controls = g_epoll_waits = 0;
    assert_non_null(fc_routine_spawn(call_main, &c));
    fc_loop_run();
    const double server = (double)g_server.system_calls / CALLS, client = (double)g_client.system_calls / CALLS;
    const double controls = (double)g_epoll_controls / CALLS, waits = (double)g_epoll_waits / CALLS;
    print_message("%s: %.2f and %.2f on sockets, %.2f epoll_ctl, %.2f epoll_wait\n", rows[i].name, server, client,
                  controls, waits);
    check_row(rows[i].name, c.unanswered == 0);
    check_row(rows[i].name, server > 0 && server <= rows[i].server);
    check_row(rows[i].name, client > 0 && client <= rows[i].client);
    check_row(rows[i].name, controls <= rows[i].controls);
    check_row(rows[i].name, waits <= rows[i].waits);
  }
}

enum { LINKS = 3, CHAINS = 50 };

static fc_cond g_links[LINKS + 1];
static unsigned g_arrived;

static void link_main(void *arg) {
  const unsigned at = GPOINTER_TO_UINT(arg);
  for (unsigned i = 0; i < CHAINS; i++) {
    if (fc_cond_wait(&g_links[at], fc_now() + LIMIT_S) != FC_WAKE_OK) return;
    g_arrived++;
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

/* A routine that wakes another that wakes another: they run without a look at the
 * sockets between them. */
static void turns_for_a_chain_of_wakes(void **state) {
  (void)state;
  for (unsigned at = 0; at < LINKS; at++) assert_non_null(fc_routine_spawn(link_main, GUINT_TO_POINTER(at)));
  assert_non_null(fc_routine_spawn(chain_main, NULL));
  g_arrived = g_epoll_waits = 0;
  fc_loop_run();
  print_message("%u epoll_wait for %u chains of %u\n", g_epoll_waits, CHAINS, LINKS);
  assert_int_equal(g_arrived, CHAINS * LINKS);
  assert_true(g_epoll_waits <= CHAINS * 2);
}

typedef struct duty {
  fc_usage *usage;
  bool child, parent; /* out: it ran, and with the parent's account */
} duty;

static void child_main(void *arg) {
  duty *d = arg;
  d->child = true;
  d->parent = fc_routine_usage() == d->usage;
  ev_break(fc_loop(), EVBREAK_ALL);
}

static void duty_main(void *arg) {
  duty *d = arg;
  fc_routine_account(d->usage);
  for (unsigned i = 0; i < CHAINS; i++) (void)fc_routine_sleep(0.001);
  (void)fc_routine_spawn(child_main, d);
}

/* Use is counted where the routine says, and what it starts begins there. */
static void use_is_counted_by_duty(void **state) {
  (void)state;
  fc_usage usage = {0};
  duty d = {.usage = &usage};
  unsigned turns = fc_loop_iterations();
  assert_non_null(fc_routine_spawn(duty_main, &d));
  fc_loop_run();
  assert_true(d.child && d.parent);
  /* Its first switch came before it had named the duty; the child's counts, too. */
  assert_int_equal(usage.switches, CHAINS + 1);
  assert_true(usage.busy_s > 0);
  assert_int_equal(usage.system_calls, 0);
  assert_true(fc_loop_iterations() - turns >= CHAINS);
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(system_calls_for_a_request),
      cmocka_unit_test(turns_for_a_chain_of_wakes),
      cmocka_unit_test(use_is_counted_by_duty),
  };
  return cmocka_run_group_tests(tests, listen_somewhere, NULL);
}
