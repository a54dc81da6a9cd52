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
  fc_cloud *cloud = g_new0(fc_cloud, 1);
  cloud->http = fc_http_client_new(at, REPLY_MOST);
  return cloud;
}

void fc_cloud_free(fc_cloud *cloud) {
  if (!cloud) return;
  fc_http_client_free(cloud->http);
  g_free(cloud);
}

static fc_cloud_result call(fc_cloud *cloud, const char *method, const char *path, json_t *body, double deadline,
                            json_t **out) {
  fc_json_reply reply = fc_json_call(cloud->http, method, path, body, deadline);
  fc_cloud_result result = FC_CLOUD_REFUSED;
  *out = NULL;
  if (reply.status == 0) {
    result = reply.unsent ? FC_CLOUD_DOWN : FC_CLOUD_UNKNOWN;
  } else if (reply.status == 200) {
    result = reply.object ? FC_CLOUD_OK : FC_CLOUD_UNKNOWN;
    *out = json_incref(reply.object);
  } else if (reply.status == 429) {
    result = FC_CLOUD_BUSY;
  } else if (reply.status == 503) {
    result = strstr(reply.text->str, "no capacity") ? FC_CLOUD_NO_CAPACITY : FC_CLOUD_DOWN;
  } else if (reply.status >= 500) {
    result = FC_CLOUD_UNKNOWN;
  }
  fc_json_reply_clear(&reply);
  return result;
}

void fc_machine_type_free(gpointer p) {
  fc_machine_type *machine_type = p;
  if (!machine_type) return;
  g_free(machine_type->name);
  g_strfreev(machine_type->zones);
  g_free(machine_type);
}

static fc_machine_type *read_type(const json_t *v) {
  fc_reader reader;
  fc_reader_init(&reader, v);
  fc_machine_type *machine_type = g_new0(fc_machine_type, 1);
  machine_type->name = g_strdup(fc_read_string(&reader, "name", NAME_MOST));
  machine_type->cpus = fc_read_amount(&reader, "cpus", 0, AMOUNT_MOST);
  machine_type->gpus = fc_read_amount_or(&reader, "gpus", 0, AMOUNT_MOST, 0);
  machine_type->memory_gb = fc_read_amount(&reader, "memGb", 0, AMOUNT_MOST);
  machine_type->cache_gb = fc_read_amount_or(&reader, "cacheGb", 0, AMOUNT_MOST, 0);
  machine_type->fetch_gb_per_s = fc_read_amount_or(&reader, "pullGbPerS", 0, AMOUNT_MOST, 0);
  machine_type->price = fc_read_amount_or(&reader, "price", 0, AMOUNT_MOST, 0);
  machine_type->spot_price = fc_read_amount_or(&reader, "marketPrice", 0, AMOUNT_MOST, machine_type->price);
  machine_type->boot_s = fc_read_amount_or(&reader, "bootS", 0, AMOUNT_MOST, 0);
  const json_t *zones = fc_read_array(&reader, "grounds");
  size_t n = json_array_size(zones);
  machine_type->zones = g_new0(char *, n + 1);
  for (size_t i = 0; i < n && fc_reader_ok(&reader); i++) {
    const char *z = json_string_value(json_array_get(zones, i));
    if (!z || !*z || strlen(z) > NAME_MOST) fc_reader_fail(&reader, "grounds", "not a name");
    machine_type->zones[i] = g_strdup(z ? z : "");
  }
  if (fc_reader_ok(&reader)) return machine_type;
  fc_machine_type_free(machine_type);
  return NULL;
}

fc_cloud_result fc_cloud_types(fc_cloud *cloud, double deadline, GPtrArray *out) {
  json_t *v = NULL;
  fc_cloud_result result = call(cloud, "GET", "/flavors", NULL, deadline, &v);
  const json_t *list = json_object_get(v, "builds");
  if (result == FC_CLOUD_OK && !json_is_array(list)) result = FC_CLOUD_REFUSED;
  size_t i;
  json_t *row;
  json_array_foreach(list, i, row) {
    fc_machine_type *machine_type = read_type(row);
    if (machine_type) g_ptr_array_add(out, machine_type);
  }
  json_decref(v);
  return result;
}

fc_cloud_result fc_cloud_rent(fc_cloud *cloud, const char *rental, const char *type, const char *zone, bool spot,
                              unsigned count, double deadline, GPtrArray *out) {
  json_t *body = json_pack("{ss ss ss sb si}", "hire", rental, "build", type, "ground", zone, "loaners", (int)spot,
                           "count", (int)count);
  json_t *v = NULL;
  fc_cloud_result result = call(cloud, "POST", "/hosts", body, deadline, &v);
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

fc_cloud_result fc_cloud_release(fc_cloud *cloud, const char *const *ids, size_t count, double deadline) {
  json_t *list = json_array();
  for (size_t i = 0; i < count; i++) json_array_append_new(list, json_string(ids[i]));
  json_t *v = NULL;
  fc_cloud_result result = call(cloud, "POST", "/hosts/release", json_pack("{so}", "paddocks", list), deadline, &v);
  json_decref(v);
  return result;
}

void fc_listed_machine_free(gpointer p) {
  fc_listed_machine *listed = p;
  if (!listed) return;
  g_free(listed->id);
  g_free(listed->endpoint);
  g_free(listed->type);
  g_free(listed->zone);
  g_free(listed);
}

static fc_listed_machine *read_listed(const json_t *v) {
  fc_reader reader;
  fc_reader_init(&reader, v);
  const char *id = fc_read_string(&reader, "id", NAME_MOST);
  const char *endpoint = fc_read_string_or_null(&reader, "endpoint", 31);
  const char *type = fc_read_string(&reader, "build", NAME_MOST);
  const char *zone = fc_read_string(&reader, "ground", NAME_MOST);
  const char *status = fc_read_string(&reader, "status", NAME_MOST);
  if (!fc_reader_ok(&reader)) return NULL;
  fc_listed_machine *listed = g_new0(fc_listed_machine, 1);
  listed->spot = fc_read_bool_or(&reader, "loaners", false);
  listed->age_s = fc_read_amount_or(&reader, "ageS", 0, AMOUNT_MOST, 0);
  listed->id = g_strdup(id);
  listed->endpoint = g_strdup(endpoint);
  listed->type = g_strdup(type);
  listed->zone = g_strdup(zone);
  listed->status = strcmp(status, "running") == 0  ? FC_MACHINE_UP
                   : strcmp(status, "failed") == 0 ? FC_MACHINE_FAILED
                                                   : FC_MACHINE_BOOTING;
  return listed;
}

fc_cloud_result fc_cloud_list(fc_cloud *cloud, const char *after, unsigned limit, double deadline, GPtrArray *out,
                              bool *more) {
  char *path =
      after ? g_strdup_printf("/hosts?from=%s&page=%u", after, limit) : g_strdup_printf("/hosts?page=%u", limit);
  json_t *v = NULL;
  fc_cloud_result result = call(cloud, "GET", path, NULL, deadline, &v);
  g_free(path);
  const json_t *list = json_object_get(v, "paddocks");
  if (result == FC_CLOUD_OK && !json_is_array(list)) result = FC_CLOUD_REFUSED;
  *more = json_is_true(json_object_get(v, "more"));
  size_t i;
  json_t *row;
  json_array_foreach(list, i, row) {
    fc_listed_machine *listed = read_listed(row);
    if (listed) g_ptr_array_add(out, listed);
  }
  json_decref(v);
  return result;
}
