#include "protocol/settings.h"

#include <glib.h>
#include <stdarg.h>
#include <string.h>

#include "protocol/json.h"

/* Memory for libraries, stacks and an empty cluster state; with less, the process would be killed at startup. */
#define MEMORY_MIN_MB 6
/* The links to the peers, the member's lease and reads of changes alone take half of this. */
#define CPU_MIN_CORES 0.002
/* Below these limits fc_settings_warning() warns: twice the needs with some hundred machines. */
#define MEMORY_WARNING_MB 20
#define CPU_WARNING_CORES 0.015
#define FD_WARNING 256
/* Releasing a machine and archiving a job each change two keys in one transaction. */
/* The peers' listener accepts up to eight connections for each peer, and calls to peers may use an
 * eighth of all descriptors. */
#define FD_PER_CONTROLLER_MIN 16
/* The key-value store takes 64 KiB in a transaction, with the value's key and the conditions. */
#define TXN_VALUE_MAX_BYTES ((size_t)56 * FC_BYTES_PER_KB)

/* A worker that misses one response gets the next only several heartbeat intervals later. */
#define HEARTBEATS_PER_LEASE_MIN 3
#define NAME_LENGTH_MAX 64u
#define TEXT_LENGTH_MAX 256u
#define ENDPOINT_LENGTH_MAX 32u
#define AMOUNT_MAX 1e9

/* Fields that occur in several objects of the file. */
#define FIELD_HOST_NAME "host_name"
#define FIELD_DOMAIN "domain"
#define FIELD_MEMBERS "members"
#define FIELD_ZONES "zones"
#define FIELD_TEAMS "teams"
#define FIELD_STATE "state"

/* Receives one line about the first error. */
typedef struct error_buffer {
  char *text;
  size_t size;
} error_buffer;

/* Writes the line, and returns false for the caller to pass on. */
G_GNUC_PRINTF(2, 3)
static bool report_error(const error_buffer *error_out, const char *format, ...) {
  va_list arguments;
  va_start(arguments, format);
  g_vsnprintf(error_out->text, error_out->size, format, arguments);
  va_end(arguments);
  return false;
}

/* Whether the reader has no error; else writes the error, after the path of the reader's object. */
static bool check_reader(const error_buffer *error_out, const char *path, const fc_reader *reader) {
  if (fc_reader_ok(reader)) return true;
  char description[FC_READER_DESCRIPTION_SIZE];
  fc_reader_describe(reader, description, sizeof description);
  return report_error(error_out, "%s%s", path, description);
}

/* Checks the reader of an element of an array. */
static bool check_element(const error_buffer *error_out, const char *array, size_t index, const fc_reader *reader) {
  g_autofree char *path = g_strdup_printf("%s[%zu].", array, index);
  return check_reader(error_out, path, reader);
}

/* ---- names and addresses ---- */

static void read_endpoint(fc_reader *reader, const char *field, fc_endpoint *out) {
  const char *text = fc_read_string(reader, field, ENDPOINT_LENGTH_MAX);
  if (text && !fc_endpoint_parse(text, out)) fc_reader_fail(reader, field, FC_FIELD_NOT_ENDPOINT);
}

static void read_name(fc_reader *reader, const char *field, char **out) {
  const char *text = fc_read_string(reader, field, NAME_LENGTH_MAX);
  /* Names become parts of keys in the key-value store, which hold no spaces and use slashes as separators. */
  if (text && strpbrk(text, " /")) fc_reader_fail(reader, field, FC_FIELD_NAME_WITH_SEPARATOR);
  if (fc_reader_ok(reader)) *out = g_strdup(text);
}

static bool read_own_member(fc_reader *root, fc_settings *settings, const error_buffer *error_out) {
  read_name(root, FIELD_HOST_NAME, &settings->name);
  read_name(root, FIELD_DOMAIN, &settings->zone);
  read_endpoint(root, "client_listen", &settings->client_at);
  read_endpoint(root, "peer_listen", &settings->peer_at);
  return check_reader(error_out, "", root);
}

static bool read_peer(const json_t *element, size_t index, fc_settings *settings, const error_buffer *error_out) {
  fc_reader reader;
  fc_reader_init(&reader, element);
  fc_peer_settings *peer = &settings->peers[index];
  read_name(&reader, FIELD_HOST_NAME, &peer->name);
  read_name(&reader, FIELD_DOMAIN, &peer->zone);
  read_endpoint(&reader, "endpoint", &peer->peer_at);
  if (!check_element(error_out, FIELD_MEMBERS, index, &reader)) return false;
  if (strcmp(peer->name, settings->name) == 0)
    return report_error(error_out, FIELD_MEMBERS "[%zu]." FIELD_HOST_NAME ": same as the name of this controller",
                        index);
  return true;
}

static bool read_peers(fc_reader *root, fc_settings *settings, const error_buffer *error_out) {
  const json_t *list = fc_read_array(root, FIELD_MEMBERS);
  size_t count = json_array_size(list);
  if (count >= FC_MEMBERS_MAX) fc_reader_fail(root, FIELD_MEMBERS, FC_FIELD_TOO_MANY);
  if (!check_reader(error_out, "", root)) return false;
  while (settings->peer_count < count) {
    size_t index = settings->peer_count;
    if (!read_peer(json_array_get(list, index), index, settings, error_out)) return false;
    settings->peer_count++;
  }
  return true;
}

static bool read_services(const json_t *outside, fc_settings *settings, const error_buffer *error_out) {
  fc_reader reader;
  fc_reader_init(&reader, outside);
  read_endpoint(&reader, "cloud", &settings->cloud_at);
  read_endpoint(&reader, FIELD_STATE, &settings->kv_at);
  return check_reader(error_out, "outside.", &reader);
}

/* ---- zones, teams and objectives ---- */

static bool read_zones(fc_reader *params, fc_settings *settings, const error_buffer *error_out) {
  const json_t *list = fc_read_array(params, FIELD_ZONES);
  size_t count = json_array_size(list);
  if (count == 0 || count > FC_ZONES_MAX) fc_reader_fail(params, FIELD_ZONES, FC_FIELD_NONE_OR_TOO_MANY);
  for (size_t i = 0; i < count && fc_reader_ok(params); i++) {
    const char *name = fc_json_string(json_array_get(list, i));
    if (name && *name && strlen(name) <= NAME_LENGTH_MAX) {
      settings->zones[settings->zone_count++] = g_strdup(name);
    } else {
      fc_reader_fail(params, FIELD_ZONES, FC_FIELD_ELEMENT_NOT_NAME);
    }
  }
  return check_reader(error_out, "settings.", params);
}

static bool read_teams(fc_reader *params, fc_settings *settings, const error_buffer *error_out) {
  const json_t *list = fc_read_array(params, FIELD_TEAMS);
  size_t count = json_array_size(list);
  if (count > FC_TEAMS_MAX) fc_reader_fail(params, FIELD_TEAMS, FC_FIELD_TOO_MANY);
  if (!check_reader(error_out, "settings.", params)) return false;
  for (size_t i = 0; i < count; i++) {
    fc_reader reader;
    fc_reader_init(&reader, json_array_get(list, i));
    fc_team_settings *team = &settings->teams[i];
    team->name = g_strdup(fc_read_string(&reader, "name", TEXT_LENGTH_MAX));
    team->cpus = fc_read_amount_or(&reader, "cpus", 0, AMOUNT_MAX, 0);
    team->gpus = fc_read_amount_or(&reader, "gpus", 0, AMOUNT_MAX, 0);
    team->cpus_max = fc_read_amount_or(&reader, "cpus_max", 0, AMOUNT_MAX, 0);
    team->gpus_max = fc_read_amount_or(&reader, "gpus_max", 0, AMOUNT_MAX, 0);
    if (!check_element(error_out, "settings." FIELD_TEAMS, i, &reader)) return false;
    settings->team_count++;
  }
  return true;
}

static bool read_objectives(const json_t *params, fc_settings *settings, const error_buffer *error_out) {
  const json_t *list = json_object_get(params, "objectives");
  if (!list || json_is_null(list)) return true;
  if (!json_is_array(list) || json_array_size(list) > FC_OBJECTIVES_MAX)
    return report_error(error_out, "settings.objectives: not an array, or too long");
  for (size_t i = 0; i < json_array_size(list); i++) {
    fc_reader reader;
    fc_reader_init(&reader, json_array_get(list, i));
    fc_objective *objective = &settings->objectives[i];
    const char *kind = fc_read_string(&reader, "kind", NAME_LENGTH_MAX);
    const char *class_name = fc_read_string_or_null(&reader, "class", TEXT_LENGTH_MAX);
    objective->within_s = fc_read_amount_or(&reader, "within_s", 0, AMOUNT_MAX, 0);
    objective->share = fc_read_amount_or(&reader, "share", 0, 1, 0);
    if (!check_element(error_out, "settings.objectives", i, &reader)) return false;
    objective->kind = g_strdup(kind);
    objective->class_name = g_strdup(class_name);
    settings->objective_count++;
  }
  return true;
}

/* ---- limits of the key-value store ---- */

/* The current limits, or the next ones. */
typedef struct kv_limits {
  double rps, write_rps, value_kb, txn_ops;
} kv_limits;

typedef struct kv_limit_field {
  const char *name;
  size_t offset; /* in kv_limits */
  double min, max;
} kv_limit_field;

static const kv_limit_field k_kv_limit_fields[] = {
    {"rps", offsetof(kv_limits, rps), 0.1, 1e6},
    {"write_rps", offsetof(kv_limits, write_rps), 0.1, 1e6},
    {"value_kb", offsetof(kv_limits, value_kb), FC_KV_VALUE_KB_MIN, 1024},
    {"txn_ops", offsetof(kv_limits, txn_ops), FC_KV_TXN_OPS_MIN, 1e4},
};

static double *limit_at(kv_limits *limits, const kv_limit_field *field) {
  return (double *)(void *)((char *)limits + field->offset);
}

static bool read_current_limits(const json_t *state, kv_limits *out, const error_buffer *error_out) {
  fc_reader reader;
  fc_reader_init(&reader, state);
  for (size_t i = 0; i < G_N_ELEMENTS(k_kv_limit_fields); i++) {
    const kv_limit_field *field = &k_kv_limit_fields[i];
    *limit_at(out, field) = fc_read_amount(&reader, field->name, field->min, field->max);
  }
  return check_reader(error_out, "settings.state.", &reader);
}

/* Limits that `state.next` lacks keep their value in `next`. */
static bool read_next_limits(const json_t *state, kv_limits *next, const error_buffer *error_out) {
  const json_t *object = json_object_get(state, "next");
  if (!object || json_is_null(object)) return true;
  fc_reader reader;
  fc_reader_init(&reader, object);
  if (!check_reader(error_out, "settings.state.next: ", &reader)) return false;
  for (size_t i = 0; i < G_N_ELEMENTS(k_kv_limit_fields); i++) {
    const kv_limit_field *field = &k_kv_limit_fields[i];
    double *limit = limit_at(next, field);
    *limit = fc_read_amount_or(&reader, field->name, field->min, field->max, *limit);
  }
  return check_reader(error_out, "settings.state.next.", &reader);
}

static bool read_kv_limits(const json_t *params, fc_settings *settings, const error_buffer *error_out) {
  const json_t *state = json_object_get(params, FIELD_STATE);
  kv_limits current;
  if (!read_current_limits(state, &current, error_out)) return false;
  kv_limits next = current;
  if (!read_next_limits(state, &next, error_out)) return false;
  settings->kv_rps = MIN(current.rps, next.rps);
  settings->kv_value_kb = MIN(current.value_kb, next.value_kb);
  settings->kv_txn_ops = (unsigned)MIN(current.txn_ops, next.txn_ops);
  settings->kv_write_rps = current.write_rps;
  settings->kv_next_write_rps = MIN(current.write_rps, next.write_rps);
  return true;
}

/* ---- groups of numbers ---- */

typedef struct number_field {
  const char *name;
  double *out;
  double min, max;
} number_field;

/* Reads the numbers of one group, such as "settings.workers". */
static bool read_group(const json_t *params, const char *group, const number_field *fields, size_t count,
                       const error_buffer *error_out) {
  fc_reader reader;
  fc_reader_init(&reader, json_object_get(params, group));
  for (size_t i = 0; i < count; i++)
    *fields[i].out = fc_read_amount(&reader, fields[i].name, fields[i].min, fields[i].max);
  g_autofree char *path = g_strdup_printf("settings.%s.", group);
  return check_reader(error_out, path, &reader);
}

/* Checks the constraints between several settings that the service needs to meet its guarantees. */
static bool check_constraints(const fc_settings *settings, const error_buffer *error_out) {
  if (settings->fd_limit < FD_PER_CONTROLLER_MIN * (settings->peer_count + 1))
    return report_error(error_out, "settings.limits.fd_limit: too few for the links to %zu other controllers",
                        settings->peer_count);
  if (settings->lease_s < HEARTBEATS_PER_LEASE_MIN * settings->heartbeat_s)
    return report_error(error_out, "settings.workers.lease_s: shorter than three times report_s");
  /* A controller that may have missed a cancellation has to stop answering workers a whole worker
   * lease before cancel_s has passed (docs/design.md, "Cancellations"). */
  if (settings->cancel_s < settings->lease_s + HEARTBEATS_PER_LEASE_MIN * settings->heartbeat_s)
    return report_error(error_out, "settings.workers.cancel_s: shorter than lease_s plus three times report_s");
  return true;
}

static bool read_numbers(const json_t *params, fc_settings *settings, const error_buffer *error_out) {
  double fd_limit = 0;
  const number_field workers[] = {{"report_s", &settings->heartbeat_s, 0.01, 3600},
                                  {"lease_s", &settings->lease_s, 0.1, 36000},
                                  {"gang_wait_s", &settings->gang_wait_s, 0.1, 36000},
                                  {"gang_peer_s", &settings->gang_peer_s, 0.1, 36000},
                                  {"cancel_s", &settings->cancel_s, 0.1, 36000}};
  const number_field cloud[] = {{"rps", &settings->cloud_rps, 0.01, 1e6},
                                {"list_lag_s", &settings->cloud_list_lag_s, 0, 3600}};
  const number_field limits[] = {{"cpu", &settings->cpu, CPU_MIN_CORES, 1e4},
                                 {"memory_mb", &settings->memory_mb, MEMORY_MIN_MB, 1e7},
                                 {"fd_limit", &fd_limit, 32, 1e6}};
  if (!read_group(params, "workers", workers, G_N_ELEMENTS(workers), error_out)) return false;
  if (!read_kv_limits(params, settings, error_out)) return false;
  if (!read_group(params, "cloud", cloud, G_N_ELEMENTS(cloud), error_out)) return false;
  if (!read_group(params, "limits", limits, G_N_ELEMENTS(limits), error_out)) return false;
  settings->fd_limit = (unsigned)fd_limit;
  return check_constraints(settings, error_out);
}

/* ---- the whole file ---- */

static bool read_settings(const json_t *value, fc_settings *settings, const error_buffer *error_out) {
  fc_reader root;
  fc_reader_init(&root, value);
  if (!read_own_member(&root, settings, error_out)) return false;
  if (!read_peers(&root, settings, error_out)) return false;
  const json_t *outside = fc_read_object(&root, "outside");
  const json_t *params = fc_read_object(&root, "settings");
  if (!check_reader(error_out, "", &root)) return false;
  if (!read_services(outside, settings, error_out)) return false;
  fc_reader params_reader;
  fc_reader_init(&params_reader, params);
  if (!read_zones(&params_reader, settings, error_out)) return false;
  if (!read_teams(&params_reader, settings, error_out)) return false;
  if (!read_objectives(params, settings, error_out)) return false;
  return read_numbers(params, settings, error_out);
}

bool fc_settings_load(const char *path, fc_settings *out, char *error, size_t error_size) {
  const error_buffer error_out = {.text = error, .size = error_size};
  memset(out, 0, sizeof *out);
  fc_operator_defaults(&out->operator_settings);
  g_autofree gchar *text = NULL;
  gsize length = 0;
  g_autoptr(GError) file_error = NULL;
  if (!g_file_get_contents(path, &text, &length, &file_error))
    return report_error(&error_out, "%s", file_error->message);
  size_t error_at;
  json_auto_t *value = fc_json_parse(text, length, &error_at);
  if (!value) return report_error(&error_out, "%s: not JSON at byte %zu", path, error_at);
  return read_settings(value, out, &error_out);
}

const char *fc_settings_warning(const fc_settings *settings) {
  if (settings->memory_mb < MEMORY_WARNING_MB) return "settings.limits.memory_mb: little room for a larger fleet";
  if (settings->cpu < CPU_WARNING_CORES) return "settings.limits.cpu: little room for a larger fleet";
  if (settings->fd_limit < FD_WARNING) return "settings.limits.fd_limit: little room for workers and users";
  return NULL;
}

void fc_operator_defaults(fc_operator_settings *out) {
  *out = (fc_operator_settings){
      .round_s = 2.0,
      .handover_wait_s = 1.0,
      .split_limit = 8,
      .member_lease_share = 0.5,
      .idle_keep_share = 0.5,
      .over_keep_s = 1800.0,
      .warm_deviations = 2.5,
      .rent = true,
  };
}

size_t fc_settings_value_max_bytes(const fc_settings *settings) {
  size_t value_bytes = (size_t)(settings->kv_value_kb * FC_BYTES_PER_KB);
  return MIN(value_bytes, TXN_VALUE_MAX_BYTES);
}

int fc_settings_team_index(const fc_settings *settings, const char *name) {
  for (size_t i = 0; i < settings->team_count; i++)
    if (strcmp(settings->teams[i].name, name) == 0) return (int)i;
  return -1;
}

unsigned fc_settings_zone_index(const fc_settings *settings, const char *name) {
  for (unsigned zone = 0; zone < settings->zone_count; zone++)
    if (strcmp(settings->zones[zone], name) == 0) return zone;
  return FC_ZONES_MAX;
}
