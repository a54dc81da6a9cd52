#include "protocol/cloud_api.h"

#include <jansson.h>
#include <string.h>

#include "protocol/json.h"
#include "protocol/json_call.h"

#define REPLY_MOST ((size_t)1024 * 1024)
#define NAME_MOST 63u
#define AMOUNT_MOST 1e9

struct fc_cloud {
  fc_http_client *http;
};

fc_cloud *fc_cloud_new(const fc_endpoint *at) {
  fc_cloud *c = g_new0(fc_cloud, 1);
  c->http = fc_http_client_new(at, REPLY_MOST);
  return c;
}

void fc_cloud_free(fc_cloud *c) {
  if (!c) return;
  fc_http_client_free(c->http);
  g_free(c);
}

static fc_cloud_result call(fc_cloud *c, const char *method, const char *path, json_t *body, double deadline,
                            json_t **out) {
  fc_json_reply r = fc_json_call(c->http, method, path, body, deadline);
  fc_cloud_result result = FC_CLOUD_REFUSED;
  *out = NULL;
  if (r.status == 0) {
    result = r.unsent ? FC_CLOUD_DOWN : FC_CLOUD_UNKNOWN;
  } else if (r.status == 200) {
    result = r.object ? FC_CLOUD_OK : FC_CLOUD_UNKNOWN;
    *out = json_incref(r.object);
  } else if (r.status == 429) {
    result = FC_CLOUD_BUSY;
  } else if (r.status == 503) {
    result = strstr(r.text->str, "no capacity") ? FC_CLOUD_NO_CAPACITY : FC_CLOUD_DOWN;
  } else if (r.status >= 500) {
    result = FC_CLOUD_UNKNOWN;
  }
  fc_json_reply_clear(&r);
  return result;
}

void fc_machine_type_free(gpointer p) {
  fc_machine_type *t = p;
  if (!t) return;
  g_free(t->name);
  g_strfreev(t->zones);
  g_free(t);
}

static fc_machine_type *read_type(const json_t *v) {
  fc_reader r;
  fc_reader_init(&r, v);
  fc_machine_type *t = g_new0(fc_machine_type, 1);
  t->name = g_strdup(fc_read_string(&r, "name", NAME_MOST));
  t->cpus = fc_read_amount(&r, "cpus", 0, AMOUNT_MOST);
  t->gpus = fc_read_amount_or(&r, "gpus", 0, AMOUNT_MOST, 0);
  t->memory_gb = fc_read_amount(&r, "memGb", 0, AMOUNT_MOST);
  t->cache_gb = fc_read_amount_or(&r, "cacheGb", 0, AMOUNT_MOST, 0);
  t->fetch_gb_per_s = fc_read_amount_or(&r, "pullGbPerS", 0, AMOUNT_MOST, 0);
  t->price = fc_read_amount_or(&r, "price", 0, AMOUNT_MOST, 0);
  t->spot_price = fc_read_amount_or(&r, "marketPrice", 0, AMOUNT_MOST, t->price);
  t->boot_s = fc_read_amount_or(&r, "bootS", 0, AMOUNT_MOST, 0);
  const json_t *zones = fc_read_array(&r, "grounds");
  size_t n = json_array_size(zones);
  t->zones = g_new0(char *, n + 1);
  for (size_t i = 0; i < n && fc_reader_ok(&r); i++) {
    const char *z = json_string_value(json_array_get(zones, i));
    if (!z || !*z || strlen(z) > NAME_MOST) fc_reader_fail(&r, "grounds", "not a name");
    t->zones[i] = g_strdup(z ? z : "");
  }
  if (fc_reader_ok(&r)) return t;
  fc_machine_type_free(t);
  return NULL;
}

fc_cloud_result fc_cloud_types(fc_cloud *c, double deadline, GPtrArray *out) {
  json_t *v = NULL;
  fc_cloud_result result = call(c, "GET", "/flavors", NULL, deadline, &v);
  const json_t *list = json_object_get(v, "builds");
  if (result == FC_CLOUD_OK && !json_is_array(list)) result = FC_CLOUD_REFUSED;
  size_t i;
  json_t *row;
  json_array_foreach(list, i, row) {
    fc_machine_type *t = read_type(row);
    if (t) g_ptr_array_add(out, t);
  }
  json_decref(v);
  return result;
}

fc_cloud_result fc_cloud_rent(fc_cloud *c, const char *rental, const char *type, const char *zone, bool spot,
                              unsigned count, double deadline, GPtrArray *out) {
  json_t *body = json_pack("{ss ss ss sb si}", "hire", rental, "build", type, "ground", zone, "loaners", (int)spot,
                           "count", (int)count);
  json_t *v = NULL;
  fc_cloud_result result = call(c, "POST", "/hosts", body, deadline, &v);
  const json_t *list = json_object_get(v, "paddocks");
  if (result == FC_CLOUD_OK && !json_is_array(list)) result = FC_CLOUD_UNKNOWN;
  size_t i;
  json_t *row;
  json_array_foreach(list, i, row) {
    const char *id = json_string_value(row);
    if (id && *id && strlen(id) <= NAME_MOST) g_ptr_array_add(out, g_strdup(id));
  }
  json_decref(v);
  return result;
}

fc_cloud_result fc_cloud_release(fc_cloud *c, const char *const *ids, size_t count, double deadline) {
  json_t *list = json_array();
  for (size_t i = 0; i < count; i++) json_array_append_new(list, json_string(ids[i]));
  json_t *v = NULL;
  fc_cloud_result result = call(c, "POST", "/hosts/release", json_pack("{so}", "paddocks", list), deadline, &v);
  json_decref(v);
  return result;
}

void fc_listed_machine_free(gpointer p) {
  fc_listed_machine *m = p;
  if (!m) return;
  g_free(m->id);
  g_free(m->endpoint);
  g_free(m->type);
  g_free(m->zone);
  g_free(m);
}

static fc_listed_machine *read_listed(const json_t *v) {
  fc_reader r;
  fc_reader_init(&r, v);
  const char *id = fc_read_string(&r, "id", NAME_MOST);
  const char *endpoint = fc_read_string_or_null(&r, "endpoint", 31);
  const char *type = fc_read_string(&r, "build", NAME_MOST);
  const char *zone = fc_read_string(&r, "ground", NAME_MOST);
  const char *status = fc_read_string(&r, "status", NAME_MOST);
  if (!fc_reader_ok(&r)) return NULL;
  fc_listed_machine *m = g_new0(fc_listed_machine, 1);
  m->spot = fc_read_bool_or(&r, "loaners", false);
  m->age_s = fc_read_amount_or(&r, "ageS", 0, AMOUNT_MOST, 0);
  m->id = g_strdup(id);
  m->endpoint = g_strdup(endpoint);
  m->type = g_strdup(type);
  m->zone = g_strdup(zone);
  m->status = strcmp(status, "running") == 0  ? FC_MACHINE_UP
              : strcmp(status, "failed") == 0 ? FC_MACHINE_FAILED
                                              : FC_MACHINE_BOOTING;
  return m;
}

fc_cloud_result fc_cloud_list(fc_cloud *c, const char *after, unsigned limit, double deadline, GPtrArray *out,
                              bool *more) {
  char *path =
      after ? g_strdup_printf("/hosts?from=%s&page=%u", after, limit) : g_strdup_printf("/hosts?page=%u", limit);
  json_t *v = NULL;
  fc_cloud_result result = call(c, "GET", path, NULL, deadline, &v);
  g_free(path);
  const json_t *list = json_object_get(v, "paddocks");
  if (result == FC_CLOUD_OK && !json_is_array(list)) result = FC_CLOUD_REFUSED;
  *more = json_is_true(json_object_get(v, "more"));
  size_t i;
  json_t *row;
  json_array_foreach(list, i, row) {
    fc_listed_machine *m = read_listed(row);
    if (m) g_ptr_array_add(out, m);
  }
  json_decref(v);
  return result;
}
