#include "protocol/worker_api.h"

#include <stdlib.h>
#include <string.h>

#include "protocol/json.h"
#include "protocol/unreadable_responses.h"
#include "transport/http.h"

#define AMOUNT_MAX 1e9
#define TASK_NAME_LENGTH_MAX 64u
#define WORD_LENGTH_MAX 32u

/* Paths, fields and values of the workers' API. */
#define CALL_PATH "/orders"

#define FIELD_MACHINE "paddock"
#define FIELD_ENDPOINT "endpoint"
#define FIELD_TYPE "build"
#define FIELD_ZONE "ground"
#define FIELD_SPOT "loaners"
#define FIELD_EPOCH "stint"
#define FIELD_SEQUENCE "tally"
#define FIELD_FENCING_TOKEN "captaincy"
#define FIELD_SPOT_NOTICE "recallS"
#define FIELD_TASKS "runs"

#define FIELD_TASK "run"
#define FIELD_ATTEMPT "kickoff"
#define FIELD_STATE "status"
#define FIELD_CAUSE "cause"
#define FIELD_SAVED "saved"

#define FIELD_COMMANDS "calls"
#define FIELD_COMMAND "call"
#define FIELD_GRACE "leewayS"
#define FIELD_CONTROLLER "coach"

static const char *const k_states[] = {
    [FC_TASK_FETCHING] = "pulling", [FC_TASK_WAITING] = "waiting", [FC_TASK_RUNNING] = "running",
    [FC_TASK_SAVING] = "saving",    [FC_TASK_EXITED] = "exited",
};

static const char *const k_causes[] = {
    [FC_CAUSE_NONE] = "",
    [FC_CAUSE_DONE] = "done",
    [FC_CAUSE_STOPPED] = "stopped",
    [FC_CAUSE_PEERS_GONE] = "mates_gone",
    [FC_CAUSE_INCOMPLETE] = "incomplete",
    [FC_CAUSE_ERROR] = "error",
    [FC_CAUSE_NO_ROOM] = "no_room",
    [FC_CAUSE_BUSY] = "busy",
    [FC_CAUSE_UNKNOWN] = "unknown",
};

static const char *const k_commands[] = {
    [FC_COMMAND_START] = "start",
    [FC_COMMAND_STOP] = "halt",
    [FC_COMMAND_FORGET] = "clear",
};

/* ---- heartbeats ---- */

/* Parses "job-000412/3" into the task's job and index. */
static bool parse_task_name(const char *text, fc_task_status *task) {
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

static void read_state(fc_reader *reader, const char *text, fc_task_status *task) {
  int state = fc_name_index(k_states, G_N_ELEMENTS(k_states), text);
  if (state >= 0)
    task->state = (fc_task_state)state;
  else
    fc_reader_fail(reader, FIELD_STATE, FC_FIELD_UNKNOWN_VALUE);
}

static fc_exit_cause cause_from_text(const char *text) {
  if (!text) return FC_CAUSE_NONE;
  int cause = fc_name_index(k_causes, G_N_ELEMENTS(k_causes), text);
  /* A cause that only newer versions know still means that the task has exited. */
  return cause >= 0 ? (fc_exit_cause)cause : FC_CAUSE_ERROR;
}

static bool read_task(fc_reader *heartbeat, const json_t *element, fc_task_status *task) {
  fc_reader reader;
  fc_reader_init(&reader, element);
  const char *name = fc_read_string(&reader, FIELD_TASK, TASK_NAME_LENGTH_MAX);
  task->attempt = fc_read_count(&reader, FIELD_ATTEMPT, 0, FC_COUNT_MAX);
  const char *state = fc_read_string(&reader, FIELD_STATE, WORD_LENGTH_MAX);
  const char *cause = fc_read_string_or_null(&reader, FIELD_CAUSE, WORD_LENGTH_MAX);
  task->saved = fc_read_bool_or(&reader, FIELD_SAVED, false);
  if (fc_reader_ok(&reader) && !parse_task_name(name, task)) fc_reader_fail(&reader, FIELD_TASK, FC_FIELD_NOT_TASK);
  if (fc_reader_ok(&reader)) {
    read_state(&reader, state, task);
    task->cause = cause_from_text(cause);
  }
  if (fc_reader_ok(&reader)) return true;
  fc_reader_fail_element(heartbeat, FIELD_TASKS, &reader);
  return false;
}

static void read_tasks(fc_reader *reader, fc_heartbeat *out) {
  const json_t *tasks = fc_read_array(reader, FIELD_TASKS);
  size_t count = json_array_size(tasks);
  if (count > FC_HEARTBEAT_TASKS_MAX) fc_reader_fail(reader, FIELD_TASKS, FC_FIELD_TOO_MANY);
  if (!fc_reader_ok(reader) || count == 0) return;
  out->tasks = g_new0(fc_task_status, count);
  while (out->task_count < count) {
    if (!read_task(reader, json_array_get(tasks, out->task_count), &out->tasks[out->task_count])) return;
    out->task_count++;
  }
}

bool fc_heartbeat_parse(const char *text, size_t length, fc_heartbeat *out, fc_message_error *error) {
  memset(out, 0, sizeof *out);
  json_auto_t *object = fc_message_parse(text, length, error);
  if (!object) return false;
  fc_reader reader;
  fc_reader_init(&reader, object);
  fc_read_string_into(&reader, FIELD_MACHINE, out->machine, sizeof out->machine);
  fc_read_string_into(&reader, FIELD_ENDPOINT, out->endpoint, sizeof out->endpoint);
  fc_read_string_into(&reader, FIELD_TYPE, out->type, sizeof out->type);
  fc_read_string_into(&reader, FIELD_ZONE, out->zone, sizeof out->zone);
  out->spot = fc_read_bool_or(&reader, FIELD_SPOT, false);
  out->epoch = fc_read_count(&reader, FIELD_EPOCH, 0, FC_COUNT_MAX);
  out->sequence = fc_read_count(&reader, FIELD_SEQUENCE, 0, FC_COUNT_MAX);
  out->fencing_token = fc_read_count(&reader, FIELD_FENCING_TOKEN, 0, FC_COUNT_MAX);
  out->spot_notice_s = fc_read_amount_or(&reader, FIELD_SPOT_NOTICE, 0, AMOUNT_MAX, -1);
  read_tasks(&reader, out);
  if (fc_message_check(&reader, error)) return true;
  fc_heartbeat_clear(out);
  return false;
}

void fc_heartbeat_clear(fc_heartbeat *heartbeat) {
  g_free(heartbeat->tasks);
  memset(heartbeat, 0, sizeof *heartbeat);
}

/* ---- responses and direct calls ---- */

static void append_number_field(GString *out, const char *field, uint64_t number) {
  g_string_append_printf(out, "\"%s\":%" G_GUINT64_FORMAT, field, (guint64)number);
}

static void append_command(GString *out, const fc_command *command) {
  g_string_append_printf(out, "{\"" FIELD_COMMAND "\":\"%s\",\"" FIELD_TASK "\":\"%s/%u\",", k_commands[command->op],
                         command->job, command->index);
  append_number_field(out, FIELD_ATTEMPT, command->attempt);
  if (command->op == FC_COMMAND_STOP) {
    char seconds[G_ASCII_DTOSTR_BUF_SIZE];
    g_ascii_formatd(seconds, sizeof seconds, "%.3f", command->grace_s);
    g_string_append_printf(out, ",\"" FIELD_GRACE "\":%s", seconds);
  }
  g_string_append_c(out, '}');
}

static void append_commands(GString *out, const fc_command *commands, size_t count) {
  g_string_append(out, "\"" FIELD_COMMANDS "\":[");
  for (size_t i = 0; i < count; i++) {
    if (i > 0) g_string_append_c(out, ',');
    append_command(out, &commands[i]);
  }
  g_string_append_c(out, ']');
}

void fc_heartbeat_answer(GString *out, uint64_t fencing_token, const fc_command *commands, size_t count) {
  g_string_append_c(out, '{');
  append_number_field(out, FIELD_FENCING_TOKEN, fencing_token);
  g_string_append_c(out, ',');
  append_commands(out, commands, count);
  g_string_append_c(out, '}');
}

static void append_call_body(GString *out, uint64_t fencing_token, uint64_t epoch, const fc_command *commands,
                             size_t count) {
  g_string_append_c(out, '{');
  append_number_field(out, FIELD_FENCING_TOKEN, fencing_token);
  g_string_append_c(out, ',');
  append_number_field(out, FIELD_EPOCH, epoch);
  g_string_append_c(out, ',');
  append_commands(out, commands, count);
  g_string_append_c(out, '}');
}

void fc_worker_redirect_answer(GString *out, const char *controller) {
  json_t *body = json_object();
  if (controller) json_object_set_new(body, FIELD_CONTROLLER, json_string(controller));
  fc_json_append(out, body);
}

static fc_worker_call_result result_of_response(const fc_http_reply *reply, fc_heartbeat *heartbeat) {
  if (reply->status != 200 && reply->status != 409) return FC_WORKER_CALL_UNKNOWN;
  fc_message_error error;
  if (!fc_heartbeat_parse(reply->body->str, reply->body->len, heartbeat, &error)) {
    fc_unreadable_response_note(FC_RESPONDER_WORKER, CALL_PATH, reply->body->len, &error);
    return FC_WORKER_CALL_UNKNOWN;
  }
  return reply->status == 200 ? FC_WORKER_CALL_DONE : FC_WORKER_CALL_REFUSED;
}

fc_worker_call_result fc_worker_call(const fc_endpoint *at, uint64_t fencing_token, uint64_t epoch,
                                     const fc_command *commands, size_t count, double deadline,
                                     fc_heartbeat *heartbeat) {
  g_autoptr(GString) body = g_string_new(NULL);
  append_call_body(body, fencing_token, epoch, commands, count);
  fc_http_client *http = fc_http_client_new(at, FC_HTTP_BODY_MAX_BYTES);
  fc_http_reply reply;
  bool answered = fc_http_call(http, "POST", CALL_PATH, body->str, body->len, deadline, &reply);
  fc_worker_call_result result = reply.unsent ? FC_WORKER_CALL_UNSENT : FC_WORKER_CALL_UNKNOWN;
  if (answered) result = result_of_response(&reply, heartbeat);
  fc_http_reply_clear(&reply);
  fc_http_client_free(http);
  return result;
}
