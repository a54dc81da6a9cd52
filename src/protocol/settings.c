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

static void copy_error(fc_reader *r, const char *prefix, char *error, size_t size) {
  g_snprintf(error, size, "%s%s", prefix, r->error);
}

static bool read_endpoint(fc_reader *r, const char *field, fc_endpoint *out) {
  const char *text = fc_read_string(r, field, 32);
  if (text && !fc_endpoint_parse(text, out)) fc_reader_fail(r, field, "not an address like 10.0.0.1:8080");
  return fc_reader_ok(r);
}

static bool read_name(fc_reader *r, const char *field, char **out) {
  const char *text = fc_read_string(r, field, NAME_MAX_BYTES);
  /* Names become parts of keys in the state service, which hold no spaces. */
  if (text && strpbrk(text, " /")) fc_reader_fail(r, field, "holds a space or a slash");
  if (fc_reader_ok(r)) *out = g_strdup(text);
  return fc_reader_ok(r);
}

static bool read_peers(fc_reader *top, fc_settings *s, char *error, size_t size) {
  const json_t *list = fc_read_array(top, "members");
  if (!list) return false;
  if (json_array_size(list) >= FC_MEMBERS_MAX) fc_reader_fail(top, "members", "too many");
  if (!fc_reader_ok(top)) return false;
  for (size_t i = 0; i < json_array_size(list); i++) {
    fc_reader r;
    fc_reader_init(&r, json_array_get(list, i));
    fc_peer_settings *p = &s->peers[i];
    if (!read_name(&r, "host_name", &p->name) || !read_name(&r, "domain", &p->zone) ||
        !read_endpoint(&r, "endpoint", &p->peer_at)) {
      g_snprintf(error, size, "members[%zu].%s", i, r.error);
      return false;
    }
    if (strcmp(p->name, s->name) == 0) {
      g_snprintf(error, size, "members[%zu].host_name: same as our own", i);
      return false;
    }
    s->peer_count++;
  }
  return true;
}

static bool read_teams(fc_reader *top, fc_settings *s, char *error, size_t size) {
  const json_t *list = fc_read_array(top, "teams");
  if (!list) return false;
  if (json_array_size(list) > FC_TEAMS_MAX) fc_reader_fail(top, "teams", "too many");
  if (!fc_reader_ok(top)) return false;
  for (size_t i = 0; i < json_array_size(list); i++) {
    fc_reader r;
    fc_reader_init(&r, json_array_get(list, i));
    fc_team_settings *t = &s->teams[i];
    t->name = g_strdup(fc_read_string(&r, "name", 256));
    t->cpus = fc_read_amount_or(&r, "cpus", 0, AMOUNT_MAX, 0);
    t->gpus = fc_read_amount_or(&r, "gpus", 0, AMOUNT_MAX, 0);
    t->cpus_max = fc_read_amount_or(&r, "cpus_max", 0, AMOUNT_MAX, 0);
    t->gpus_max = fc_read_amount_or(&r, "gpus_max", 0, AMOUNT_MAX, 0);
    if (!fc_reader_ok(&r)) {
      g_snprintf(error, size, "settings.teams[%zu].%s", i, r.error);
      return false;
    }
    s->team_count++;
  }
  return true;
}

static bool read_objectives(const json_t *params, fc_settings *s, char *error, size_t size) {
  const json_t *list = json_object_get(params, "objectives");
  if (!list || json_is_null(list)) return true;
  if (!json_is_array(list) || json_array_size(list) > FC_OBJECTIVES_MAX) {
    g_snprintf(error, size, "settings.objectives: not a short array");
    return false;
  }
  for (size_t i = 0; i < json_array_size(list); i++) {
    fc_reader r;
    fc_reader_init(&r, json_array_get(list, i));
    fc_objective *o = &s->objectives[i];
    const char *kind = fc_read_string(&r, "kind", NAME_MAX_BYTES);
    const char *class_name = fc_read_string_or_null(&r, "class", 256);
    o->within_s = fc_read_amount_or(&r, "within_s", 0, AMOUNT_MAX, 0);
    o->share = fc_read_amount_or(&r, "share", 0, 1, 0);
    if (!fc_reader_ok(&r)) {
      g_snprintf(error, size, "settings.objectives[%zu].%s", i, r.error);
      return false;
    }
    o->kind = g_strdup(kind);
    o->class_name = g_strdup(class_name);
    s->objective_count++;
  }
  return true;
}

static bool read_zones(fc_reader *top, fc_settings *s) {
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
    s->zones[s->zone_count++] = g_strdup(z);
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
  fc_reader r;
  fc_reader_init(&r, json_object_get(params, group));
  for (size_t i = 0; i < count; i++) *n[i].out = fc_read_amount(&r, n[i].field, n[i].least, n[i].most);
  if (fc_reader_ok(&r)) return true;
  g_snprintf(error, size, "settings.%s.%s", group, r.error);
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
  fc_reader r;
  fc_reader_init(&r, state);
  for (size_t i = 0; i < G_N_ELEMENTS(k_state_fields); i++) {
    const state_field *f = &k_state_fields[i];
    *state_limit(out, f) = fc_read_amount(&r, f->name, f->least, f->most);
  }
  if (fc_reader_ok(&r)) return true;
  copy_error(&r, "settings.state.", error, size);
  return false;
}

/* What is missing in `state.next` stays as it is. */
static bool read_next_limits(const json_t *state, state_limits *next, char *error, size_t size) {
  const json_t *v = json_object_get(state, "next");
  if (!v || json_is_null(v)) return true;
  fc_reader r;
  fc_reader_init(&r, v);
  if (!fc_reader_ok(&r)) {
    g_snprintf(error, size, "settings.state.next: %s", r.error);
    return false;
  }
  for (size_t i = 0; i < G_N_ELEMENTS(k_state_fields); i++) {
    const state_field *f = &k_state_fields[i];
    double *limit = state_limit(next, f);
    *limit = fc_read_amount_or(&r, f->name, f->least, f->most, *limit);
  }
  if (fc_reader_ok(&r)) return true;
  copy_error(&r, "settings.state.next.", error, size);
  return false;
}

static bool read_state(const json_t *params, fc_settings *s, char *error, size_t size) {
  const json_t *state = json_object_get(params, "state");
  state_limits now;
  if (!read_state_limits(state, &now, error, size)) return false;
  state_limits next = now;
  if (!read_next_limits(state, &next, error, size)) return false;
  s->state_rps = MIN(now.rps, next.rps);
  s->state_value_kb = MIN(now.value_kb, next.value_kb);
  s->state_txn_ops = (unsigned)MIN(now.txn_ops, next.txn_ops);
  s->state_write_rps = now.write_rps;
  s->state_next_write_rps = MIN(now.write_rps, next.write_rps);
  return true;
}

static bool read_numbers(const json_t *params, fc_settings *s, char *error, size_t size) {
  double fd_limit = 0;
  const number workers[] = {{"report_s", &s->report_s, 0.01, 3600},
                            {"lease_s", &s->lease_s, 0.1, 36000},
                            {"gang_wait_s", &s->gang_wait_s, 0.1, 36000},
                            {"gang_peer_s", &s->gang_peer_s, 0.1, 36000},
                            {"cancel_s", &s->cancel_s, 0.1, 36000}};
  const number cloud[] = {{"rps", &s->cloud_rps, 0.01, 1e6}, {"list_lag_s", &s->cloud_list_lag_s, 0, 3600}};
  const number limits[] = {{"cpu", &s->cpu, CPU_LEAST, 1e4},
                           {"memory_mb", &s->memory_mb, MEMORY_LEAST_MB, 1e7},
                           {"fd_limit", &fd_limit, 32, 1e6}};
  if (!read_group(params, "workers", workers, G_N_ELEMENTS(workers), error, size) ||
      !read_state(params, s, error, size) || !read_group(params, "cloud", cloud, G_N_ELEMENTS(cloud), error, size) ||
      !read_group(params, "limits", limits, G_N_ELEMENTS(limits), error, size))
    return false;
  s->fd_limit = (unsigned)fd_limit;
  /* The peers' listener may take eight for each peer, calls an eighth of all. */
  if (s->fd_limit < 16 * (s->peer_count + 1)) {
    g_snprintf(error, size, "settings.limits.fd_limit: too few for the links to %zu other controllers", s->peer_count);
    return false;
  }
  /* One lost answer costs a worker several report intervals. */
  if (s->lease_s < 3 * s->report_s) {
    g_snprintf(error, size, "settings.workers.lease_s: shorter than three times report_s");
    return false;
  }
  /* A controller that may have missed a cancellation has to stop answering a
   * whole worker lease before cancel_s is up (docs/design.md, "Cancellations"). */
  if (s->cancel_s < s->lease_s + 3 * s->report_s) {
    g_snprintf(error, size, "settings.workers.cancel_s: not beyond lease_s by three times report_s");
    return false;
  }
  return true;
}

static bool settings_from_json(const json_t *root, fc_settings *s, char *error, size_t size) {
  fc_reader r;
  fc_reader_init(&r, root);
  if (!read_name(&r, "host_name", &s->name) || !read_name(&r, "domain", &s->zone) ||
      !read_endpoint(&r, "client_listen", &s->client_at) || !read_endpoint(&r, "peer_listen", &s->peer_at)) {
    copy_error(&r, "", error, size);
    return false;
  }
  error[0] = '\0';
  if (!read_peers(&r, s, error, size)) {
    if (!error[0]) copy_error(&r, "", error, size);
    return false;
  }
  const json_t *outside = fc_read_object(&r, "outside");
  const json_t *params = fc_read_object(&r, "settings");
  if (!fc_reader_ok(&r)) {
    copy_error(&r, "", error, size);
    return false;
  }
  fc_reader o;
  fc_reader_init(&o, outside);
  if (!read_endpoint(&o, "cloud", &s->cloud_at) || !read_endpoint(&o, "state", &s->state_at)) {
    copy_error(&o, "outside.", error, size);
    return false;
  }
  fc_reader p;
  fc_reader_init(&p, params);
  if (!read_zones(&p, s) || !read_teams(&p, s, error, size)) {
    if (!error[0]) copy_error(&p, "settings.", error, size);
    return false;
  }
  return read_objectives(params, s, error, size) && read_numbers(params, s, error, size);
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

const char *fc_settings_tight(const fc_settings *s) {
  if (s->memory_mb < MEMORY_ROOMY_MB) return "settings.limits.memory_mb: little room for a larger fleet";
  if (s->cpu < CPU_ROOMY) return "settings.limits.cpu: little room for a larger fleet";
  if (s->fd_limit < FD_ROOMY) return "settings.limits.fd_limit: little room for workers and users";
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

size_t fc_settings_value_bytes(const fc_settings *s) {
  return (size_t)(s->state_value_kb * 1024);
}

int fc_settings_team(const fc_settings *s, const char *name) {
  for (size_t i = 0; i < s->team_count; i++)
    if (strcmp(s->teams[i].name, name) == 0) return (int)i;
  return -1;
}

unsigned fc_settings_zone(const fc_settings *s, const char *name) {
  for (unsigned z = 0; z < s->zone_count; z++)
    if (strcmp(s->zones[z], name) == 0) return z;
  return FC_ZONES_MAX;
}
