/* The HTTP server and client over loopback sockets: malformed, oversized and stalled requests, too many
 * connections, and responses at the client's size limit. Each test client is a child process that
 * reports by its exit code. The result depends on no duration, only on each case coming to an end. */
#include "check.h"

#include <arpa/inet.h>
#include <signal.h>
#include <stdio.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "transport/http.h"
#include "transport/routine.h"

#define MAX_CONNECTIONS 8u
#define MAX_RESERVED 7u /* of them */
#define EXIT_NO_CONNECTION 99
#define OVERSIZED_BYTES 80000u /* beyond each limit of the server; also the Content-Length below */

static uint16_t g_port;

static int connect_to_server(void) {
  int fd = socket(AF_INET, SOCK_STREAM, 0);
  struct sockaddr_in address = {
      .sin_family = AF_INET, .sin_port = htons(g_port), .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
  if (fd < 0 || connect(fd, (struct sockaddr *)&address, sizeof address) != 0) _exit(EXIT_NO_CONNECTION);
  return fd;
}

/* Sends a request and reads until the server closes the connection or the first response is complete,
 * which then ends in '}'. */
static void exchange(int fd, const char *request, size_t len, char *out, size_t size) {
  (void)signal(SIGPIPE, SIG_IGN);
  (void)!write(fd, request, len);
  size_t received = 0;
  ssize_t n;
  while (received + 1 < size && (n = read(fd, out + received, size - 1 - received)) > 0) {
    received += (size_t)n;
    if (out[received - 1] == '}') break;
  }
  out[received] = '\0';
}

/* Waits for more input. Returns whether the server closes the connection instead. */
static bool closed_by_server(int fd) {
  char byte;
  return read(fd, &byte, 1) <= 0;
}

/* Whether the response to a request starts with `status`, and the server then closes the connection if it should. */
static bool answered_with(const char *request, size_t len, const char *status, bool closes) {
  char out[2048];
  int fd = connect_to_server();
  exchange(fd, request, len, out, sizeof out);
  bool ok = g_str_has_prefix(out, status) && (!closes || closed_by_server(fd));
  close(fd);
  return ok;
}

#define ANSWERED_WITH(request, status, closes) answered_with(request, strlen(request), status, closes)

enum {
  CASE_KEEP_ALIVE,
  CASE_CLOSE,
  CASE_ABSOLUTE_FORM,
  CASE_ABSOLUTE_FORM_WITHOUT_PATH,
  CASE_NOT_HTTP,
  CASE_OVERSIZED_BODY,
  CASE_OVERSIZED_HEADER,
  CASE_OVERSIZED_URL,
  CASE_STALLED_REQUEST,
  CASE_IDLE,
  CASE_ONE_CONNECTION_TOO_MANY,
  CASE_HALF_SENT_CONNECTIONS,
  CASE_RESERVED_CONNECTIONS
};

static const char k_request[] = "GET / HTTP/1.1\r\n\r\n";
static const char k_half_sent[] = "POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\n{";

/* Closes the connection, and returns only once the server has closed it too. */
static void close_both_ends(int fd) {
  (void)shutdown(fd, SHUT_WR);
  while (!closed_by_server(fd)) continue;
  close(fd);
}

/* Whether the connection is still served. */
static bool is_served(int fd) {
  char out[2048];
  exchange(fd, k_request, strlen(k_request), out, sizeof out);
  return g_str_has_prefix(out, "HTTP/1.1 200");
}

/* As many connections as the server has room for send `path` requests, and then one more opens. Whether the server
 * closes the one with the number `closed` and serves all others. */
static bool closes_one_of_too_many(const char *path, unsigned closed) {
  int fds[MAX_CONNECTIONS + 1];
  char out[2048];
  g_autofree char *request = g_strdup_printf("GET %s HTTP/1.1\r\n\r\n", path);
  for (unsigned i = 0; i < MAX_CONNECTIONS; i++) {
    fds[i] = connect_to_server();
    exchange(fds[i], request, strlen(request), out, sizeof out);
  }
  fds[MAX_CONNECTIONS] = connect_to_server();
  bool as_expected = is_served(fds[MAX_CONNECTIONS]) && closed_by_server(fds[closed]);
  for (unsigned i = 0; i < MAX_CONNECTIONS; i++) as_expected = as_expected && (i == closed || is_served(fds[i]));
  for (unsigned i = 0; i <= MAX_CONNECTIONS; i++) close_both_ends(fds[i]);
  return as_expected;
}

/* Whether a connection is served beside as many half-sent requests as the server has room for. */
static bool serves_beside_half_sent(void) {
  int fds[MAX_CONNECTIONS];
  for (unsigned i = 0; i < MAX_CONNECTIONS; i++) {
    fds[i] = connect_to_server();
    if (!is_served(fds[i])) return false; /* it is certainly accepted now */
    (void)!write(fds[i], k_half_sent, strlen(k_half_sent));
  }
  int last = connect_to_server();
  bool served = is_served(last);
  close_both_ends(last);
  for (unsigned i = 0; i < MAX_CONNECTIONS; i++) close_both_ends(fds[i]);
  return served;
}

/* The exit code of a client: 0 when the server did as expected. */
static int run_client(int test_case) {
  char *oversized = g_strnfill(OVERSIZED_BYTES, 'a');
  char *body = g_strdup_printf("POST / HTTP/1.1\r\nContent-Length: 80000\r\n\r\n%s", oversized);
  char *header = g_strdup_printf("GET / HTTP/1.1\r\nX: %s\r\n\r\n", oversized);
  char *url = g_strdup_printf("GET /%s HTTP/1.1\r\n\r\n", oversized);
  switch (test_case) {
    case CASE_KEEP_ALIVE:
      return ANSWERED_WITH("GET / HTTP/1.1\r\n\r\n", "HTTP/1.1 200", false) ? 0 : 1;
    case CASE_CLOSE:
      return ANSWERED_WITH("GET / HTTP/1.1\r\nConnection: close\r\n\r\n", "HTTP/1.1 200", true) ? 0 : 1;
    case CASE_ABSOLUTE_FORM:
      return ANSWERED_WITH("GET HTTP://10.0.0.1:8080/found?x=/missing HTTP/1.1\r\n\r\n", "HTTP/1.1 201", false) ? 0 : 1;
    case CASE_ABSOLUTE_FORM_WITHOUT_PATH:
      return ANSWERED_WITH("GET http://10.0.0.1:8080 HTTP/1.1\r\n\r\n", "HTTP/1.1 200", false) ? 0 : 1;
    case CASE_NOT_HTTP:
      return ANSWERED_WITH("hello there\r\n\r\n", "HTTP/1.1 400", true) ? 0 : 1;
    case CASE_OVERSIZED_BODY: /* the response may be lost, as the server closes with unread input */
      return ANSWERED_WITH(body, "HTTP/1.1 400", true) || ANSWERED_WITH(body, "", true) ? 0 : 1;
    case CASE_OVERSIZED_HEADER:
      return ANSWERED_WITH(header, "HTTP/1.1 400", true) || ANSWERED_WITH(header, "", true) ? 0 : 1;
    case CASE_OVERSIZED_URL:
      return ANSWERED_WITH(url, "HTTP/1.1 400", true) || ANSWERED_WITH(url, "", true) ? 0 : 1;
    case CASE_STALLED_REQUEST: { /* the client sends a part of a request, then nothing more */
      int fd = connect_to_server();
      (void)!write(fd, "POST / HTTP/1.1\r\nContent-Le", 27);
      return closed_by_server(fd) ? 0 : 1;
    }
    case CASE_IDLE:
      return closed_by_server(connect_to_server()) ? 0 : 1;
    case CASE_ONE_CONNECTION_TOO_MANY:
      return closes_one_of_too_many("/", 0) ? 0 : 1;
    case CASE_HALF_SENT_CONNECTIONS:
      return serves_beside_half_sent() ? 0 : 1;
    default: /* CASE_RESERVED_CONNECTIONS */
      return closes_one_of_too_many("/reserved", MAX_RESERVED) ? 0 : 1;
  }
}

static void on_child(struct ev_loop *loop, ev_child *w, int events) {
  (void)w, (void)events;
  ev_break(loop, EVBREAK_ALL);
}

static uint64_t g_connection; /* number of the connection of the last request */

static void handle(const fc_http_request *req, fc_http_response *res, void *arg) {
  (void)arg;
  g_connection = req->connection;
  res->reserve = strcmp(req->path, "/reserved") == 0;
  static const char *const k_paths[] = {"/", "/reserved", "/ready", NULL};
  res->status = g_strv_contains(k_paths, req->path) ? 200 : 404;
  if (strcmp(req->path, "/found") == 0) res->status = 201;
  g_string_append(res->body, "{}");
}

static void server_handles_bad_clients(void **state) {
  (void)state;
  assert_true(fc_loop_init());
  fc_http_server_options opt = {.max_connections = MAX_CONNECTIONS, .idle_timeout_s = 0.3, .request_timeout_s = 0.2};
  bool listening = false;
  for (g_port = 28080; g_port < 28180 && !listening; g_port++) {
    fc_endpoint at = {.ip = htonl(INADDR_LOOPBACK), .port = g_port};
    listening = fc_http_serve(&at, &opt, handle, NULL);
    if (listening) break;
  }
  assert_true(listening);
  for (int test_case = 0; test_case <= CASE_RESERVED_CONNECTIONS; test_case++) {
    pid_t pid = fork();
    if (pid == 0) _exit(run_client(test_case));
    ev_child child;
    ev_child_init(&child, on_child, pid, 0);
    ev_child_start(fc_loop(), &child);
    fc_loop_run();
    ev_child_stop(fc_loop(), &child);
    if (!WIFEXITED(child.rstatus) || WEXITSTATUS(child.rstatus) != 0)
      fail_msg("case %d: the client saw unexpected behaviour", test_case);
  }
}

typedef struct size_limit_row {
  const char *name;
  size_t max_body_bytes; /* of the client; the response's body has two bytes */
  bool ok, too_large;
} size_limit_row;

static void call_main(void *arg) {
  const size_limit_row *rows = arg;
  fc_endpoint at = {.ip = htonl(INADDR_LOOPBACK), .port = g_port};
  uint64_t previous = 0; /* connection of the client before */
  for (int i = 0; i < 3; i++) {
    fc_http_client *client = fc_http_client_new(&at, rows[i].max_body_bytes);
    uint64_t first = 0; /* connection of this client's first request */
    for (int k = 0; k < 2; k++) {
      fc_http_reply reply;
      bool ok = fc_http_call(client, "GET", "/ready", NULL, 0, fc_now() + 5, &reply);
      check_row(rows[i].name, ok == rows[i].ok && reply.too_large == rows[i].too_large);
      fc_http_reply_clear(&reply);
      if (k == 0) first = g_connection;
    }
    /* Each connection has a number of its own. A client keeps using its connection only if the response fitted. */
    check_row(rows[i].name, first != previous && (g_connection == first) == rows[i].ok);
    previous = g_connection;
    fc_http_client_free(client);
  }
  ev_break(fc_loop(), EVBREAK_ALL);
}

static void client_limits_answer_size(void **state) {
  (void)state;
  static size_limit_row rows[] = {{"answer one byte over the limit", 1, false, true},
                                  {"answer at the limit", 2, true, false},
                                  {"answer one byte under the limit", 3, true, false}};
  assert_true(fc_routine_spawn(call_main, rows) != NULL);
  fc_loop_run();
}

int main(void) {
  const struct CMUnitTest tests[] = {cmocka_unit_test(server_handles_bad_clients),
                                     cmocka_unit_test(client_limits_answer_size)};
  return cmocka_run_group_tests(tests, NULL, NULL);
}
