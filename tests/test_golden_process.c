/* Compares complete messages and log lines of the program, run as a process of its own and queried over
 * sockets, with fixtures/golden.txt. A thread with fixed responses stands in for the key-value store
 * and the cloud. */
#include "golden.h"

#include <arpa/inet.h>
#include <poll.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define TIMEOUT_S 20
#define MESSAGE_MAX_BYTES 65536u
#define CHANGES_DELAY_US 20000 /* of the empty response to a long poll; much less than the poll allows */

/* ---- the key-value store and the cloud ---- */

#define SPEC(id)                                                                                           \
  "{\"id\":\"" id                                                                                          \
  "\",\"squad\":\"c\",\"club\":\"t\",\"play\":\"sweep\",\"rank\":\"standard\",\"runs\":2,\"cpus\":1.0,"    \
  "\"gpus\":1.0,\"memGb\":1.0,\"kit\":\"i\",\"pullGb\":0.0,\"builds\":null,\"ground\":null,\"samePlace\":" \
  "false,\"scatter\":false,\"loaners\":true,\"expectS\":1.0,\"markS\":0.0,\"stowS\":0.0,\"whistleS\":null}"
#define JOB_ROW(id, phase, done)                                                                      \
  "{\"key\":\"fc1/job/" id "\",\"edition\":4,\"v\":{\"f\":1,\"spec\":" SPEC(id) ",\"phase\":\"" phase \
                                                                                "\",\"done\":\"" done \
                                                                                "\",\"slices\":1,\"term\":1}}"

static const struct {
  const char *request_prefix, *body;
} k_responses[] = {
    {"GET /flavors",
     "{\"builds\":[{\"name\":\"g4\",\"cpus\":40,\"gpus\":4,\"memGb\":400,\"cacheGb\":100,\"pullGbPerS\":1,"
     "\"price\":10,\"marketPrice\":3,\"bootS\":10,\"grounds\":[\"z1\"]}]}"},
    {"GET /keys?prefix=fc1/&",
     "{\"rows\":[" JOB_ROW("job-000001", "done", "0-1") "," JOB_ROW("job-000002", "cancelled", "0") "," JOB_ROW(
         "job-000003", "accepted",
         "x") ",{\"key\":\"fc1/job/job-000004\",\"edition\":4,\"v\":{\"f\":1}},"
              "{\"key\":\"fc1/term\",\"edition\":5,\"v\":{\"f\":1,\"term\":1,\"seed\":7,\"since\":1,"
              "\"members\":[{\"name\":\"n0\",\"boot\":1}]}}],\"more\":false,\"round\":5}"},
    {"POST /holds ", "{\"pass\":7}"},
    {"POST /commit", "{\"round\":6}"},
    {"GET /changes?", "{\"round\":5,\"events\":[]}"},
};

static char *g_first_requests[G_N_ELEMENTS(k_responses)]; /* the first one that matched the row; NULL: none yet */
static GMutex g_first_requests_lock;

static void answer_request(int fd, const char *request) {
  for (size_t i = 0; i < G_N_ELEMENTS(k_responses); i++) {
    if (!g_str_has_prefix(request, k_responses[i].request_prefix)) continue;
    g_mutex_lock(&g_first_requests_lock);
    if (!g_first_requests[i]) g_first_requests[i] = g_strdup(request);
    g_mutex_unlock(&g_first_requests_lock);
    if (g_str_has_prefix(request, "GET /changes?")) g_usleep(CHANGES_DELAY_US);
    char *text = g_strdup_printf("HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s", strlen(k_responses[i].body),
                                 k_responses[i].body);
    (void)!write(fd, text, strlen(text));
    g_free(text);
    return;
  }
  static const char not_found[] = "HTTP/1.1 404 Not Found\r\nContent-Length: 11\r\n\r\n{\"round\":5}";
  (void)!write(fd, not_found, sizeof not_found - 1);
}

/* Answers requests until the process ends. Relies on requests being small and arriving in one piece. */
static void *serve(void *arg) {
  struct pollfd fds[64] = {{.fd = *(int *)arg, .events = POLLIN}};
  nfds_t count = 1;
  char *request = g_malloc(MESSAGE_MAX_BYTES);
  while (poll(fds, count, -1) >= 0) {
    for (nfds_t i = count; i-- > 1;) {
      if (!fds[i].revents) continue;
      ssize_t n = read(fds[i].fd, request, MESSAGE_MAX_BYTES - 1);
      if (n > 0) {
        request[n] = '\0';
        answer_request(fds[i].fd, request);
      } else {
        close(fds[i].fd);
        fds[i] = fds[--count];
      }
    }
    if (fds[0].revents && count < G_N_ELEMENTS(fds))
      fds[count++] = (struct pollfd){.fd = accept(fds[0].fd, NULL, NULL), .events = POLLIN};
  }
  g_free(request);
  return NULL;
}

/* ---- the program ---- */

static uint16_t g_service_port, g_client_port, g_peer_port;
static int g_reserved[2]; /* sockets bound to the client and the peer port */
static pid_t g_program;
static char *g_directory, *g_settings_path, *g_log_path;

/* Binds a socket to a free port on loopback. */
static int bind_free_port(uint16_t *port) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;
  struct sockaddr_in sa = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
  socklen_t len = sizeof sa;
  assert_true(fd >= 0 && setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) == 0);
  assert_int_equal(bind(fd, (struct sockaddr *)&sa, sizeof sa), 0);
  assert_int_equal(getsockname(fd, (struct sockaddr *)&sa, &len), 0);
  *port = ntohs(sa.sin_port);
  return fd;
}

/* Sends a request to the program. Returns the bytes of its response, "" for none; the caller frees them. */
static char *request_answer(uint16_t port, const char *request) {
  int fd = socket(AF_INET, SOCK_STREAM, 0);
  struct sockaddr_in sa = {.sin_family = AF_INET, .sin_port = htons(port), .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
  struct timeval timeout = {.tv_sec = TIMEOUT_S};
  assert_int_equal(setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout), 0);
  GString *out = g_string_new(NULL);
  if (connect(fd, (struct sockaddr *)&sa, sizeof sa) == 0 && write(fd, request, strlen(request)) > 0) {
    char buffer[4096];
    ssize_t n;
    size_t response_length = SIZE_MAX; /* not known yet */
    while (out->len < response_length && (n = read(fd, buffer, sizeof buffer)) > 0) {
      g_string_append_len(out, buffer, n);
      const char *length = strstr(out->str, "Content-Length: "), *body = strstr(out->str, "\r\n\r\n");
      if (length && body)
        response_length = (size_t)(body + 4 - out->str) + strtoul(length + strlen("Content-Length: "), NULL, 10);
    }
  }
  close(fd);
  return g_string_free(out, FALSE);
}

static void check_answer(const char *name, uint16_t port, const char *request) {
  char *bytes = request_answer(port, request);
  golden_check(name, bytes);
  g_free(bytes);
}

static void write_settings(const char *path) {
  char *text = g_strdup_printf(
      "{\"host_name\":\"n0\",\"domain\":\"z1\",\"client_listen\":\"127.0.0.1:%u\",\"peer_listen\":\"127.0.0.1:%u\","
      "\"members\":[],\"outside\":{\"cloud\":\"127.0.0.1:%u\",\"state\":\"127.0.0.1:%u\"},\"settings\":{\"nodes\":1,"
      "\"zones\":[\"z1\"],\"teams\":[{\"name\":\"t\",\"cpus\":0.0,\"cpus_max\":0.0,\"gpus\":1.0,\"gpus_max\":8.0}],"
      "\"objectives\":[],\"workers\":{\"report_s\":2.0,\"lease_s\":14.0,\"gang_wait_s\":45.0,\"gang_peer_s\":5.0,"
      "\"cancel_s\":34.0},\"state\":{\"rps\":120.0,\"write_rps\":20.0,\"value_kb\":8.0,\"txn_ops\":8},"
      "\"cloud\":{\"rps\":3.0,\"list_lag_s\":10.0},\"limits\":{\"cpu\":0.08,\"memory_mb\":56.0,\"fd_limit\":900},"
      "\"clock_error_ms\":250.0}}",
      g_client_port, g_peer_port, g_service_port, g_service_port);
  assert_true(g_file_set_contents(path, text, -1, NULL));
  g_free(text);
}

static int start_program(void **state) {
  (void)state;
  static int service_socket;
  service_socket = bind_free_port(&g_service_port);
  assert_int_equal(listen(service_socket, 64), 0);
  /* These sockets stay bound, so that the system gives the program's ports to no other connection. The
   * program can listen on them all the same, as it sets SO_REUSEADDR, too. */
  g_reserved[0] = bind_free_port(&g_client_port);
  g_reserved[1] = bind_free_port(&g_peer_port);
  g_thread_unref(g_thread_new("services", serve, &service_socket));
  g_directory = g_dir_make_tmp("golden-XXXXXX", NULL);
  assert_non_null(g_directory);
  g_settings_path = g_build_filename(g_directory, "settings.json", NULL);
  g_log_path = g_build_filename(g_directory, "log", NULL);
  write_settings(g_settings_path);
  g_program = fork();
  if (g_program == 0) {
    if (!freopen(g_log_path, "w", stderr)) _exit(98);
    g_setenv("LOG_LEVEL", "debug", TRUE);
    execl(PROGRAM, PROGRAM, "--config", g_settings_path, (char *)NULL);
    _exit(99);
  }
  assert_true(g_program > 0);
  return 0;
}

static int stop_program(void **state) {
  (void)state;
  kill(g_program, SIGKILL);
  waitpid(g_program, NULL, 0);
  (void)close(g_reserved[0]);
  (void)close(g_reserved[1]);
  (void)unlink(g_log_path);
  (void)unlink(g_settings_path);
  (void)rmdir(g_directory);
  return 0;
}

/* ---- the program's responses, requests and log lines ---- */

/* Repeats the request until it is answered with 200. */
static void wait_for_ok(const char *request) {
  bool ok = false;
  for (unsigned tenths = 0; !ok && tenths < TIMEOUT_S * 10; tenths++) {
    char *bytes = request_answer(g_client_port, request);
    ok = g_str_has_prefix(bytes, "HTTP/1.1 200 ");
    g_free(bytes);
    if (!ok) g_usleep(100000);
  }
  assert_true(ok);
}

static void answers(void **state) {
  (void)state;
  static const struct {
    const char *name, *line, *body; /* line: NULL for a path that the peer port does not serve */
  } rows[] = {
      {"program: ready", "GET /ready", ""},
      {"program: new", "POST /api/jobs", SPEC("job-000009")},
      {"program: done", "GET /api/jobs/job-000001", ""},
      {"program: cancelled", "GET /api/jobs/job-000002", ""},
      {"program: done, repeated", "POST /api/jobs", SPEC("job-000001")},
      {"program: cancelled, withdrawn", "POST /api/jobs/job-000002/withdraw", ""},
      {"program: impossible id", "GET /api/jobs/x", ""},
      {"program: malformed", "POST /api/jobs", "{}"},
      {"program: wrong method", "PUT /api/jobs", ""},
      {"program: malformed report", "POST /checkin", "{}"},
      {"program: operator's wrong path", NULL, ""},
  };
  wait_for_ok("GET /ready HTTP/1.1\r\n\r\n");
  wait_for_ok("GET /api/jobs/job-000001 HTTP/1.1\r\n\r\n");
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    char *request = g_strdup_printf("%s HTTP/1.1\r\nContent-Length: %zu\r\n\r\n%s",
                                    rows[i].line ? rows[i].line : "GET /", strlen(rows[i].body), rows[i].body);
    check_answer(rows[i].name, rows[i].line ? g_client_port : g_peer_port, request);
    g_free(request);
  }
  check_answer("program: closing", g_client_port, "GET /api/jobs/job-000001 HTTP/1.1\r\nConnection: close\r\n\r\n");
  check_answer("program: not HTTP", g_client_port, "hello there\r\n\r\n");
}

/* The text with `replacement` for each match of `pattern`; the caller frees it. */
static char *replace_matches(const char *text, const char *pattern, const char *replacement) {
  GRegex *regex = g_regex_new(pattern, G_REGEX_MULTILINE, 0, NULL);
  assert_non_null(regex);
  char *out = g_regex_replace_literal(regex, text, -1, 0, replacement, 0, NULL);
  g_regex_unref(regex);
  return out;
}

/* The metrics page without the values. */
static void metrics(void **state) {
  (void)state;
  char *page = request_answer(g_peer_port, "GET /metrics HTTP/1.1\r\n\r\n");
  char *names = replace_matches(page, " [-+0-9.einaf]+$", "");
  golden_check("program: metrics", names);
  g_free(names);
  g_free(page);
}

/* The first request that matched row `i` of k_responses, NULL for none yet; the caller frees it. */
static char *first_request(size_t i) {
  g_mutex_lock(&g_first_requests_lock);
  char *copy = g_strdup(g_first_requests[i]);
  g_mutex_unlock(&g_first_requests_lock);
  return copy;
}

static void requests(void **state) {
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS(k_responses); i++) {
    if (g_str_has_prefix(k_responses[i].request_prefix, "POST /commit")) continue; /* contains random numbers */
    char *bytes = NULL;
    for (unsigned tenths = 0; !bytes && tenths < TIMEOUT_S * 10; tenths++) {
      bytes = first_request(i);
      if (!bytes) g_usleep(100000);
    }
    char *no_port = replace_matches(bytes ? bytes : "", "127\\.0\\.0\\.1:[0-9]+", "HOST"), *name = NULL;
    name = g_strconcat("program: asks ", k_responses[i].request_prefix, NULL);
    golden_check(g_strchomp(name), no_port);
    g_free(name);
    g_free(no_port);
    g_free(bytes);
  }
}

/* The first line of each log level without its time. */
static void log_lines(void **state) {
  (void)state;
  static const char *const levels[] = {"error ", "warning ", "info ", "debug "};
  char *text = NULL;
  assert_true(g_file_get_contents(g_log_path, &text, NULL, NULL));
  char **lines = g_strsplit(text, "\n", -1);
  for (size_t i = 0; i < G_N_ELEMENTS(levels); i++) {
    char **line = lines;
    while (*line && !g_str_has_prefix(*line, levels[i])) line++;
    char *no_time = replace_matches(*line ? *line : "", "^([a-z]+) [0-9]+\\.[0-9]{3} ", "TIME ");
    char *name = g_strconcat("program: log ", levels[i], NULL), *whole = g_strconcat(levels[i], no_time, NULL);
    golden_check(g_strchomp(name), whole);
    g_free(whole);
    g_free(name);
    g_free(no_time);
  }
  g_strfreev(lines);
  g_free(text);
}

static void all_as_recorded(void **state) {
  (void)state;
  static const char *const groups[] = {"program: ", NULL};
  golden_finish(groups);
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(answers),   cmocka_unit_test(metrics),         cmocka_unit_test(requests),
      cmocka_unit_test(log_lines), cmocka_unit_test(all_as_recorded),
  };
  return cmocka_run_group_tests(tests, start_program, stop_program);
}
