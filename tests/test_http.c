/* The real transport on loopback: clients that misbehave. The client is a child
 * process; what it sees is its exit code. Nothing depends on how long things
 * take, only on that they end. */
#include "check.h"

#include <arpa/inet.h>
#include <signal.h>
#include <stdio.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "transport/http.h"
#include "transport/routine.h"

#define MOST 8u

static uint16_t g_port;

static int dial(void) {
  int fd = socket(AF_INET, SOCK_STREAM, 0);
  struct sockaddr_in sa = {.sin_family = AF_INET, .sin_port = htons(g_port), .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
  if (fd < 0 || connect(fd, (struct sockaddr *)&sa, sizeof sa) != 0) _exit(99);
  return fd;
}

/* Reads until the server closes, or the first answer is whole (ends in '}'). */
static void talk(int fd, const char *text, size_t len, char *out, size_t size) {
  (void)signal(SIGPIPE, SIG_IGN);
  (void)!write(fd, text, len);
  size_t got = 0;
  ssize_t n;
  while (got + 1 < size && (n = read(fd, out + got, size - 1 - got)) > 0) {
    got += (size_t)n;
    if (out[got - 1] == '}') break;
  }
  out[got] = '\0';
}

static bool ends(int fd) {
  char c;
  return read(fd, &c, 1) <= 0;
}

static bool answers(const char *text, size_t len, const char *status, bool closed) {
  char out[2048];
  int fd = dial();
  talk(fd, text, len, out, sizeof out);
  bool ok = g_str_has_prefix(out, status) && (!closed || ends(fd));
  close(fd);
  return ok;
}

#define IS(text, status, closed) answers(text, strlen(text), status, closed)

static int client(int scene) {
  char *huge = g_strnfill(80000, 'a');
  char *large = g_strdup_printf("POST / HTTP/1.1\r\nContent-Length: 80000\r\n\r\n%s", huge);
  char *head = g_strdup_printf("GET / HTTP/1.1\r\nX: %s\r\n\r\n", huge);
  char *path = g_strdup_printf("GET /%s HTTP/1.1\r\n\r\n", huge);
  switch (scene) {
    case 0:
      return IS("GET / HTTP/1.1\r\n\r\n", "HTTP/1.1 200", false) ? 0 : 1;
    case 1:
      return IS("GET / HTTP/1.1\r\nConnection: close\r\n\r\n", "HTTP/1.1 200", true) ? 0 : 1;
    case 2:
      return IS("hello there\r\n\r\n", "HTTP/1.1 400", true) ? 0 : 1;
    case 3:
      return IS(large, "HTTP/1.1 400", true) || IS(large, "", true) ? 0 : 1;
    case 4:
      return IS(head, "HTTP/1.1 400", true) || IS(head, "", true) ? 0 : 1;
    case 5:
      return IS(path, "HTTP/1.1 400", true) || IS(path, "", true) ? 0 : 1;
    case 6: { /* half a request, and then nothing */
      int fd = dial();
      (void)!write(fd, "POST / HTTP/1.1\r\nContent-Le", 27);
      return ends(fd) ? 0 : 1;
    }
    case 7:
      return ends(dial()) ? 0 : 1; /* idle */
    default: {                     /* more connections than there are: the last is closed, none is lost after */
      int fds[MOST + 1];
      for (unsigned i = 0; i <= MOST; i++) fds[i] = dial();
      bool closed = ends(fds[MOST]);
      for (unsigned i = 0; i <= MOST; i++) close(fds[i]);
      return closed ? 0 : 1;
    }
  }
}

static void on_child(struct ev_loop *loop, ev_child *w, int events) {
  (void)w, (void)events;
  ev_break(loop, EVBREAK_ALL);
}

static uint64_t g_connection; /* that the last request came on */

static void handle(const fc_http_request *req, fc_http_response *res, void *arg) {
  (void)arg;
  g_connection = req->connection;
  res->status = 200;
  g_string_append(res->body, "{}");
}

static void clients(void **state) {
  (void)state;
  assert_true(fc_loop_init());
  fc_http_server_options opt = {.max_connections = MOST, .idle_timeout_s = 0.3, .request_timeout_s = 0.2};
  bool listening = false;
  for (g_port = 28080; g_port < 28180 && !listening; g_port++) {
    fc_endpoint at = {.ip = htonl(INADDR_LOOPBACK), .port = g_port};
    listening = fc_http_serve(&at, &opt, handle, NULL);
    if (listening) break;
  }
  assert_true(listening);
  for (int scene = 0; scene <= 8; scene++) {
    pid_t pid = fork();
    if (pid == 0) _exit(client(scene));
    ev_child child;
    ev_child_init(&child, on_child, pid, 0);
    ev_child_start(fc_loop(), &child);
    fc_loop_run();
    ev_child_stop(fc_loop(), &child);
    if (!WIFEXITED(child.rstatus) || WEXITSTATUS(child.rstatus) != 0) fail_msg("scene %d: not as it should be", scene);
  }
}

typedef struct bounded {
  const char *name;
  size_t max_body_bytes; /* the answer has two bytes */
  bool ok, too_large;
} bounded;

static void call_main(void *arg) {
  const bounded *rows = arg;
  fc_endpoint at = {.ip = htonl(INADDR_LOOPBACK), .port = g_port};
  uint64_t before = 0;
  for (int i = 0; i < 3; i++) {
    fc_http_client *client = fc_http_client_new(&at, rows[i].max_body_bytes);
    uint64_t first = 0;
    for (int k = 0; k < 2; k++) {
      fc_http_reply reply;
      bool ok = fc_http_call(client, "GET", "/ready", NULL, 0, fc_now() + 5, &reply);
      check_row(rows[i].name, ok == rows[i].ok && reply.too_large == rows[i].too_large);
      fc_http_reply_clear(&reply);
      if (k == 0) first = g_connection;
    }
    /* Requests on one connection name it, those on another another. */
    check_row(rows[i].name, first != before && (g_connection == first) == rows[i].ok);
    before = g_connection;
    fc_http_client_free(client);
  }
  ev_break(fc_loop(), EVBREAK_ALL);
}

static void answers_at_their_bound(void **state) {
  (void)state;
  static bounded rows[] = {
      {"one over", 1, false, true}, {"at the bound", 2, true, false}, {"one under", 3, true, false}};
  assert_true(fc_routine_spawn(call_main, rows) != NULL);
  fc_loop_run();
}

int main(void) {
  const struct CMUnitTest tests[] = {cmocka_unit_test(clients), cmocka_unit_test(answers_at_their_bound)};
  return cmocka_run_group_tests(tests, NULL, NULL);
}
