#include "protocol/settings.h"

#include <errno.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "protocol/json.h"

/* Libraries, stacks and an empty table; with less the process would be killed as it starts. */
#define MEMORY_LEAST_MB 6
/* Links to the peers, the own lease and reads of changes alone take half of this. */
#define CPU_LEAST 0.002
/* With less a warning is given: measured needs of some hundred machines, twice. */
#define MEMORY_ROOMY_MB 20
#define CPU_ROOMY 0.015
#define FD_ROOMY 256
/* Returns of machines and archived jobs change two keys at once. */
#define TXN_OPS_LEAST 2
#define NAME_MAX_BYTES 64u
#define AMOUNT_MAX 1e9

static void copy_error(fc_reader *reader, const char *prefix, char *error, size_t size) {
  g_snprintf(error, size, "%s%s", prefix, reader->error);
}

static bool read_endpoint(fc_reader *reader, const char *field, fc_endpoint *out) {
  const char *text = fc_read_string(reader, field, 32);
  if (text && !fc_endpoint_parse(text, out)) fc_reader_fail(reader, field, "not an address like 10.0.0.1:8080");
  return fc_reader_ok(reader);
}

static bool read_name(fc_reader *reader, const char *field, char **out) {
  const char *text = fc_read_string(reader, field, NAME_MAX_BYTES);
  /* Names become parts of keys in the state service, which hold no spaces. */
  if (text && strpbrk(text, " /")) fc_reader_fail(reader, field, "holds a space or a slash");
  if (fc_reader_ok(reader)) *out = g_strdup(text);
  return fc_reader_ok(reader);
}

static bool read_peers(fc_reader *top, fc_settings *settings, char *error, size_t size) {
  const json_t *list = fc_read_array(top, "members");
  if (!list) return false;
  if (json_array_size(list) >= FC_MEMBERS_MAX) fc_reader_fail(top, "members", "too many");
  if (!fc_reader_ok(top)) return false;
  for (size_t i = 0; i < json_array_size(list); i++) {
    fc_reader reader;
    fc_reader_init(&reader, json_array_get(list, i));
    fc_peer_settings *peer = &settings->peers[i];
    if (!read_name(&reader, "host_name", &peer->name) || !read_name(&reader, "domain", &peer->zone) ||
        !read_endpoint(&reader, "endpoint", &peer->peer_at)) {
      g_snprintf(error, size, "members[%zu].%s", i, reader.error);
      return false;
    }
    if (strcmp(peer->name, settings->name) == 0) {
      g_snprintf(error, size, "members[%zu].host_name: same as our own", i);
      return false;
    }
    settings->peer_count++;
  }
  return true;
}

static bool read_teams(fc_reader *top, fc_settings *settings, char *error, size_t size) {
  const json_t *list = fc_read_array(top, "teams");
  if (!list) return false;
  if (json_array_size(list) > FC_TEAMS_MAX) fc_reader_fail(top, "teams", "too many");
  if (!fc_reader_ok(top)) return false;
  for (size_t i = 0; i < json_array_size(list); i++) {
    fc_reader reader;
    fc_reader_init(&reader, json_array_get(list, i));
    fc_team_settings *team_settings = &settings->teams[i];
    team_settings->name = g_strdup(fc_read_string(&reader, "name", 256));
    team_settings->cpus = fc_read_amount_or(&reader, "cpus", 0, AMOUNT_MAX, 0);
    team_settings->gpus = fc_read_amount_or(&reader, "gpus", 0, AMOUNT_MAX, 0);
    team_settings->cpus_max = fc_read_amount_or(&reader, "cpus_max", 0, AMOUNT_MAX, 0);
    team_settings->gpus_max = fc_read_amount_or(&reader, "gpus_max", 0, AMOUNT_MAX, 0);
    if (!fc_reader_ok(&reader)) {
      g_snprintf(error, size, "settings.teams[%zu].%s", i, reader.error);
      return false;
    }
    settings->team_count++;
  }
  return true;
}

static bool read_objectives(const json_t *params, fc_settings *settings, char *error, size_t size) {
  const json_t *list = json_object_get(params, "objectives");
  if (!list || json_is_null(list)) return true;
  if (!json_is_array(list) || json_array_size(list) > FC_OBJECTIVES_MAX) {
    g_snprintf(error, size, "settings.objectives: not a short array");
    return false;
  }
  for (size_t i = 0; i < json_array_size(list); i++) {
    fc_reader reader;
    fc_reader_init(&reader, json_array_get(list, i));
    fc_objective *o = &settings->objectives[i];
    const char *kind = fc_read_string(&reader, "kind", NAME_MAX_BYTES);
    const char *class_name = fc_read_string_or_null(&reader, "class", 256);
    o->within_s = fc_read_amount_or(&reader, "within_s", 0, AMOUNT_MAX, 0);
    o->share = fc_read_amount_or(&reader, "share", 0, 1, 0);
    if (!fc_reader_ok(&reader)) {
      g_snprintf(error, size, "settings.objectives[%zu].%s", i, reader.error);
      return false;
    }
    o->kind = g_strdup(kind);
    o->class_name = g_strdup(class_name);
    settings->objective_count++;
  }
  return true;
}

static bool read_zones(fc_reader *top, fc_settings *settings) {
  const json_t *list = fc_read_array(top, "zones");
  if (!list) return false;
  if (json_array_size(list) == 0 || json_array_size(list) > FC_ZONES_MAX) {
    fc_reader_fail(top, "zones", "none, or too many");
    return false;
  }
  for (size_t i = 0; i < json_array_size(list); i++) {
    const char *z = json_string_value(json_array_get(list, i));
    if (!z || !*z || strlen(z) > NAME_MAX_BYTES) {
      fc_reader_fail(top, "zones", "holds something that is not a name");
      return false;
    }
    settings->zones[settings->zone_count++] = g_strdup(z);
  }
  return true;
}

/* Reads the numbers of one group, e.g. "settings.workers". */
typedef struct number {
  const char *field;
  double *out;
  double least, most;
} number;

static bool read_group(const json_t *params, const char *group, const number *n, size_t count, char *error,
                       size_t size) {
  fc_reader reader;
  fc_reader_init(&reader, json_object_get(params, group));
  for (size_t i = 0; i < count; i++) *n[i].out = fc_read_amount(&reader, n[i].field, n[i].least, n[i].most);
  if (fc_reader_ok(&reader)) return true;
  g_snprintf(error, size, "settings.%s.%s", group, reader.error);
  return false;
}

/* The limits of the state service, as they are or as they will be. */
typedef struct state_limits {
  double rps, write_rps, value_kb, txn_ops;
} state_limits;

typedef struct state_field {
  const char *name;
  size_t offset; /* in state_limits */
  double least, most;
} state_field;

static const state_field k_state_fields[] = {
    {"rps", offsetof(state_limits, rps), 0.1, 1e6},
    {"write_rps", offsetof(state_limits, write_rps), 0.1, 1e6},
    {"value_kb", offsetof(state_limits, value_kb), 1, 1024},
    {"txn_ops", offsetof(state_limits, txn_ops), TXN_OPS_LEAST, 1e4},
};

static double *state_limit(state_limits *limits, const state_field *field) {
  return (double *)(void *)((char *)limits + field->offset);
}

static bool read_state_limits(const json_t *state, state_limits *out, char *error, size_t size) {
  fc_reader reader;
  fc_reader_init(&reader, state);
  for (size_t i = 0; i < G_N_ELEMENTS(k_state_fields); i++) {
    const state_field *f = &k_state_fields[i];
    *state_limit(out, f) = fc_read_amount(&reader, f->name, f->least, f->most);
  }
  if (fc_reader_ok(&reader)) return true;
  copy_error(&reader, "settings.state.", error, size);
  return false;
}

/* What is missing in `state.next` stays as it is. */
static bool read_next_limits(const json_t *state, state_limits *next, char *error, size_t size) {
  const json_t *v = json_object_get(state, "next");
  if (!v || json_is_null(v)) return true;
  fc_reader reader;
  fc_reader_init(&reader, v);
  if (!fc_reader_ok(&reader)) {
    g_snprintf(error, size, "settings.state.next: %s", reader.error);
    return false;
  }
  for (size_t i = 0; i < G_N_ELEMENTS(k_state_fields); i++) {
    const state_field *f = &k_state_fields[i];
    double *limit = state_limit(next, f);
    *limit = fc_read_amount_or(&reader, f->name, f->least, f->most, *limit);
  }
  if (fc_reader_ok(&reader)) return true;
  copy_error(&reader, "settings.state.next.", error, size);
  return false;
}

static bool read_state(const json_t *params, fc_settings *settings, char *error, size_t size) {
  const json_t *state = json_object_get(params, "state");
  state_limits now;
  if (!read_state_limits(state, &now, error, size)) return false;
  state_limits next = now;
  if (!read_next_limits(state, &next, error, size)) return false;
  settings->state_rps = MIN(now.rps, next.rps);
  settings->state_value_kb = MIN(now.value_kb, next.value_kb);
  settings->state_txn_ops = (unsigned)MIN(now.txn_ops, next.txn_ops);
  settings->state_write_rps = now.write_rps;
  settings->state_next_write_rps = MIN(now.write_rps, next.write_rps);
  return true;
}

static bool read_numbers(const json_t *params, fc_settings *settings, char *error, size_t size) {
  double fd_limit = 0;
  const number workers[] = {{"report_s", &settings->heartbeat_s, 0.01, 3600},
                            {"lease_s", &settings->lease_s, 0.1, 36000},
                            {"gang_wait_s", &settings->gang_wait_s, 0.1, 36000},
                            {"gang_peer_s", &settings->gang_peer_s, 0.1, 36000},
                            {"cancel_s", &settings->cancel_s, 0.1, 36000}};
  const number cloud[] = {{"rps", &settings->cloud_rps, 0.01, 1e6},
                          {"list_lag_s", &settings->cloud_list_lag_s, 0, 3600}};
  const number limits[] = {{"cpu", &settings->cpu, CPU_LEAST, 1e4},
                           {"memory_mb", &settings->memory_mb, MEMORY_LEAST_MB, 1e7},
                           {"fd_limit", &fd_limit, 32, 1e6}};
  if (!read_group(params, "workers", workers, G_N_ELEMENTS(workers), error, size) ||
      !read_state(params, settings, error, size) ||
      !read_group(params, "cloud", cloud, G_N_ELEMENTS(cloud), error, size) ||
      !read_group(params, "limits", limits, G_N_ELEMENTS(limits), error, size))
    return false;
  settings->fd_limit = (unsigned)fd_limit;
  /* The peers' listener may take eight for each peer, calls an eighth of all. */
  if (settings->fd_limit < 16 * (settings->peer_count + 1)) {
    g_snprintf(error, size, "settings.limits.fd_limit: too few for the links to %zu other controllers",
               settings->peer_count);
    return false;
  }
  /* One lost answer costs a worker several report intervals. */
  if (settings->lease_s < 3 * settings->heartbeat_s) {
    g_snprintf(error, size, "settings.workers.lease_s: shorter than three times report_s");
    return false;
  }
  /* A controller that may have missed a cancellation has to stop answering a
   * whole worker lease before cancel_s is up (docs/design.md, "Cancellations"). */
  if (settings->cancel_s < settings->lease_s + 3 * settings->heartbeat_s) {
    g_snprintf(error, size, "settings.workers.cancel_s: not beyond lease_s by three times report_s");
    return false;
  }
  return true;
}

static bool settings_from_json(const json_t *root, fc_settings *settings, char *error, size_t size) {
  fc_reader r;
  fc_reader_init(&r, root);
  if (!read_name(&r, "host_name", &settings->name) || !read_name(&r, "domain", &settings->zone) ||
      !read_endpoint(&r, "client_listen", &settings->client_at) ||
      !read_endpoint(&r, "peer_listen", &settings->peer_at)) {
    copy_error(&r, "", error, size);
    return false;
  }
  error[0] = '\0';
  if (!read_peers(&r, settings, error, size)) {
    if (!error[0]) copy_error(&r, "", error, size);
    return false;
  }
  const json_t *outside = fc_read_object(&r, "outside");
  const json_t *params = fc_read_object(&r, "settings");
  if (!fc_reader_ok(&r)) {
    copy_error(&r, "", error, size);
    return false;
  }
  fc_reader reader;
  fc_reader_init(&reader, outside);
  if (!read_endpoint(&reader, "cloud", &settings->cloud_at) || !read_endpoint(&reader, "state", &settings->state_at)) {
    copy_error(&reader, "outside.", error, size);
    return false;
  }
  fc_reader p;
  fc_reader_init(&p, params);
  if (!read_zones(&p, settings) || !read_teams(&p, settings, error, size)) {
    if (!error[0]) copy_error(&p, "settings.", error, size);
    return false;
  }
  return read_objectives(params, settings, error, size) && read_numbers(params, settings, error, size);
}

bool fc_settings_load(const char *path, fc_settings *out, char *error, size_t error_size) {
  memset(out, 0, sizeof *out);
  fc_operator_defaults(&out->op);
  gchar *text = NULL;
  gsize len = 0;
  GError *err = NULL;
  if (!g_file_get_contents(path, &text, &len, &err)) {
    g_snprintf(error, error_size, "%s", err->message);
    g_error_free(err);
    return false;
  }
  json_t *root = fc_json_parse(text, len);
  g_free(text);
  if (!root) {
    g_snprintf(error, error_size, "%s: not JSON", path);
    return false;
  }
  bool ok = settings_from_json(root, out, error, error_size);
  json_decref(root);
  return ok;
}

const char *fc_settings_warning(const fc_settings *settings) {
  if (settings->memory_mb < MEMORY_ROOMY_MB) return "settings.limits.memory_mb: little room for a larger fleet";
  if (settings->cpu < CPU_ROOMY) return "settings.limits.cpu: little room for a larger fleet";
  if (settings->fd_limit < FD_ROOMY) return "settings.limits.fd_limit: little room for workers and users";
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

size_t fc_settings_value_bytes(const fc_settings *settings) {
  return (size_t)(settings->state_value_kb * 1024);
}

int fc_settings_team(const fc_settings *settings, const char *name) {
  for (size_t i = 0; i < settings->team_count; i++)
    if (strcmp(settings->teams[i].name, name) == 0) return (int)i;
  return -1;
}

unsigned fc_settings_zone(const fc_settings *settings, const char *name) {
  for (unsigned z = 0; z < settings->zone_count; z++)
    if (strcmp(settings->zones[z], name) == 0) return z;
  return FC_ZONES_MAX;
}
