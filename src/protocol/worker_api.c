#include "protocol/worker_api.h"

#include <stdlib.h>
#include <string.h>

#include "protocol/job.h"
#include "protocol/json.h"
#include "transport/http.h"

#define COUNT_MOST ((uint64_t)INT64_MAX)
#define TASKS_PER_MACHINE_MOST 4096u

static const char *const k_states[] = {"pulling", "waiting", "running", "saving", "exited"};
static const char *const k_causes[] = {"",      "done",    "stopped", "mates_gone", "incomplete",
                                       "error", "no_room", "busy",    "unknown"};
static const char *const k_ops[] = {"start", "halt", "clear"};

static int index_of(const char *text, const char *const *names, int count) {
  for (int i = 0; i < count; i++)
    if (strcmp(text, names[i]) == 0) return i;
  return -1;
}

static void copy_string(fc_reader *reader, const char *field, char *out, size_t size) {
  const char *text = fc_read_string(reader, field, size - 1);
  if (text) g_strlcpy(out, text, size);
}

/* "job-000412/3" */
static bool split_task(const char *text, fc_task_status *task) {
  const char *slash = strchr(text, '/');
  if (!slash || (size_t)(slash - text) >= sizeof task->job) return false;
  memcpy(task->job, text, (size_t)(slash - text));
  task->job[slash - text] = '\0';
  if (!fc_job_id_valid(task->job) || !g_ascii_isdigit(slash[1])) return false;
  char *end = NULL;
  unsigned long index = strtoul(slash + 1, &end, 10);
  if (*end || index >= FC_TASKS_MAX) return false;
  task->index = (uint32_t)index;
  return true;
}

static bool parse_task(fc_reader *top, const json_t *v, fc_task_status *task) {
  fc_reader reader;
  fc_reader_init(&reader, v);
  const char *name = fc_read_string(&reader, "run", 64);
  task->attempt = fc_read_count(&reader, "kickoff", 0, COUNT_MOST);
  const char *state = fc_read_string(&reader, "status", 32);
  const char *cause = fc_read_string_or_null(&reader, "cause", 32);
  task->saved = fc_read_bool_or(&reader, "saved", false);
  if (fc_reader_ok(&reader) && !split_task(name, task)) fc_reader_fail(&reader, "run", "not a task");
  if (fc_reader_ok(&reader)) {
    int s = index_of(state, k_states, G_N_ELEMENTS(k_states));
    if (s < 0) fc_reader_fail(&reader, "status", "unknown value");
    task->state = (fc_task_state)(s < 0 ? 0 : s);
    /* An exit for a reason we do not know of is still an exit. */
    int c = cause ? index_of(cause, k_causes, G_N_ELEMENTS(k_causes)) : 0;
    task->cause = (fc_exit_cause)(c < 0 ? FC_CAUSE_ERROR : c);
  }
  if (fc_reader_ok(&reader)) return true;
  g_snprintf(top->error, sizeof top->error, "runs.%s", reader.error);
  return false;
}

bool fc_heartbeat_parse(const char *text, size_t len, fc_heartbeat *out, char *error, size_t error_size) {
  memset(out, 0, sizeof *out);
  json_t *v = fc_json_parse(text, len);
  fc_reader reader;
  fc_reader_init(&reader, v);
  copy_string(&reader, "paddock", out->machine, sizeof out->machine);
  copy_string(&reader, "endpoint", out->endpoint, sizeof out->endpoint);
  copy_string(&reader, "build", out->type, sizeof out->type);
  copy_string(&reader, "ground", out->zone, sizeof out->zone);
  out->spot = fc_read_bool_or(&reader, "loaners", false);
  out->epoch = fc_read_count(&reader, "stint", 0, COUNT_MOST);
  out->sequence = fc_read_count(&reader, "tally", 0, COUNT_MOST);
  out->fencing_token = fc_read_count(&reader, "captaincy", 0, COUNT_MOST);
  out->spot_notice_s = fc_read_amount_or(&reader, "recallS", 0, 1e9, -1);
  const json_t *tasks = fc_read_array(&reader, "runs");
  if (tasks && json_array_size(tasks) > TASKS_PER_MACHINE_MOST) fc_reader_fail(&reader, "runs", "too many");
  if (fc_reader_ok(&reader) && json_array_size(tasks) > 0) {
    out->tasks = g_new0(fc_task_status, json_array_size(tasks));
    for (size_t i = 0; i < json_array_size(tasks); i++) {
      if (!parse_task(&reader, json_array_get(tasks, i), &out->tasks[i])) break;
      out->task_count++;
    }
  }
  json_decref(v);
  if (fc_reader_ok(&reader)) return true;
  g_strlcpy(error, reader.error, error_size);
  fc_heartbeat_clear(out);
  return false;
}

void fc_heartbeat_clear(fc_heartbeat *heartbeat) {
  g_free(heartbeat->tasks);
  memset(heartbeat, 0, sizeof *heartbeat);
}

static void append_commands(GString *out, const fc_command *commands, size_t count) {
  g_string_append(out, "\"calls\":[");
  for (size_t i = 0; i < count; i++) {
    const fc_command *command = &commands[i];
    g_string_append_printf(out, "%s{\"call\":\"%s\",\"run\":\"%s/%u\",\"kickoff\":%" G_GUINT64_FORMAT, i ? "," : "",
                           k_ops[command->op], command->job, command->index, (guint64)command->attempt);
    if (command->op == FC_COMMAND_STOP) {
      char num[G_ASCII_DTOSTR_BUF_SIZE];
      g_string_append_printf(out, ",\"leewayS\":%s", g_ascii_formatd(num, sizeof num, "%.3f", command->grace_s));
    }
    g_string_append_c(out, '}');
  }
  g_string_append(out, "]}");
}

void fc_heartbeat_answer(GString *out, uint64_t token, const fc_command *commands, size_t count) {
  g_string_append_printf(out, "{\"captaincy\":%" G_GUINT64_FORMAT ",", (guint64)token);
  append_commands(out, commands, count);
}

void fc_worker_commands_body(GString *out, uint64_t token, uint64_t session, const fc_command *commands, size_t count) {
  g_string_append_printf(out, "{\"captaincy\":%" G_GUINT64_FORMAT ",\"stint\":%" G_GUINT64_FORMAT ",", (guint64)token,
                         (guint64)session);
  append_commands(out, commands, count);
}

void fc_worker_redirect(GString *out, const char *controller) {
  json_t *v = json_object();
  if (controller) json_object_set_new(v, "coach", json_string(controller));
  fc_json_append(out, v);
}

fc_worker_call_result fc_worker_call(const fc_endpoint *at, uint64_t token, uint64_t session,
                                     const fc_command *commands, size_t count, double deadline, fc_heartbeat *report) {
  GString *body = g_string_new(NULL);
  fc_worker_commands_body(body, token, session, commands, count);
  fc_http_client *http = fc_http_client_new(at, FC_HTTP_BODY_MAX);
  fc_http_reply reply;
  char error[200];
  fc_worker_call_result result = FC_WORKER_CALL_UNKNOWN;
  if (!fc_http_call(http, "POST", "/orders", body->str, body->len, deadline, &reply)) {
    if (reply.unsent) result = FC_WORKER_CALL_UNSENT;
  } else if ((reply.status == 200 || reply.status == 409) &&
             fc_heartbeat_parse(reply.body->str, reply.body->len, report, error, sizeof error)) {
    result = reply.status == 200 ? FC_WORKER_CALL_DONE : FC_WORKER_CALL_REFUSED;
  }
  fc_http_reply_clear(&reply);
  fc_http_client_free(http);
  g_string_free(body, TRUE);
  return result;
}
