#include "protocol/cloud_api.h"

#include <jansson.h>
#include <string.h>

#include "protocol/json.h"
#include "protocol/json_call.h"
#include "protocol/unreadable_responses.h"

#define REPLY_MAX_BYTES ((size_t)1024 * 1024)
#define NAME_LENGTH_MAX 63u
#define ENDPOINT_LENGTH_MAX (FC_ENDPOINT_SIZE - 1u)
#define AMOUNT_MAX 1e9

/* Paths, parameters, fields and values of the cloud's API. */
#define TYPES_PATH "/flavors"
#define MACHINES_PATH "/hosts"
#define RELEASE_PATH MACHINES_PATH "/release"
#define QUERY_FROM "from="
#define QUERY_PAGE "page="
#define TEXT_NO_CAPACITY "no capacity"

#define FIELD_TYPES "builds"
#define FIELD_NAME "name"
#define FIELD_CPUS "cpus"
#define FIELD_GPUS "gpus"
#define FIELD_MEMORY "memGb"
#define FIELD_CACHE "cacheGb"
#define FIELD_FETCH_RATE "pullGbPerS"
#define FIELD_PRICE "price"
#define FIELD_SPOT_PRICE "marketPrice"
#define FIELD_BOOT_TIME "bootS"
#define FIELD_ZONES "grounds"

#define FIELD_MACHINES "paddocks"
#define FIELD_RENTAL "hire"
#define FIELD_TYPE "build"
#define FIELD_ZONE "ground"
#define FIELD_SPOT "loaners"
#define FIELD_COUNT "count"
#define FIELD_MORE "more"
#define FIELD_ID "id"
#define FIELD_ENDPOINT "endpoint"
#define FIELD_STATUS "status"
#define FIELD_AGE "ageS"
#define STATUS_UP "running"
#define STATUS_FAILED "failed"

struct fc_cloud {
  fc_http_client *http;
};

fc_cloud *fc_cloud_new(const fc_endpoint *at) {
  fc_cloud *cloud = g_new0(fc_cloud, 1);
  cloud->http = fc_http_client_new(at, REPLY_MAX_BYTES);
  return cloud;
}

void fc_cloud_free(fc_cloud *cloud) {
  if (!cloud) return;
  fc_http_client_free(cloud->http);
  g_free(cloud);
}

static fc_cloud_result result_of_reply(const fc_json_reply *reply) {
  switch (reply->status) {
    case 0:
      return reply->unsent ? FC_CLOUD_DOWN : FC_CLOUD_UNKNOWN;
    case 200:
      return reply->object ? FC_CLOUD_OK : FC_CLOUD_UNKNOWN;
    case 429:
      return FC_CLOUD_BUSY;
    case 503:
      return strstr(reply->text->str, TEXT_NO_CAPACITY) ? FC_CLOUD_NO_CAPACITY : FC_CLOUD_DOWN;
    default:
      return reply->status >= 500 ? FC_CLOUD_UNKNOWN : FC_CLOUD_REFUSED;
  }
}

/* Makes the call. On FC_CLOUD_OK *response is a reference to the body, owned by the caller; else NULL. */
static fc_cloud_result call_cloud(fc_cloud *cloud, const char *method, const char *path, json_t *body, double deadline,
                                  json_t **response) {
  fc_json_reply reply = fc_json_call(cloud->http, method, path, body, deadline);
  fc_cloud_result result = result_of_reply(&reply);
  if (reply.status == 200 && !reply.object)
    fc_unreadable_response_note(FC_RESPONDER_CLOUD, path, reply.text->len, &reply.error);
  *response = result == FC_CLOUD_OK ? json_incref(reply.object) : NULL;
  fc_json_reply_clear(&reply);
  return result;
}

/* Decodes the array `field` of a response; returns `malformed` if there is no such array. Malformed elements are
 * skipped, and noted like a missing array. */
static fc_cloud_result read_list(const json_t *response, const char *path, const char *field, fc_json_decoder decode,
                                 fc_cloud_result malformed, GPtrArray *out) {
  fc_reader reader;
  fc_reader_init(&reader, response);
  const json_t *list = fc_read_array(&reader, field);
  if (list && fc_json_decode_list(list, decode, out) > 0) fc_reader_fail(&reader, field, FC_FIELD_ELEMENT_MALFORMED);
  fc_message_error error;
  if (!fc_message_check(&reader, &error))
    fc_unreadable_response_note(FC_RESPONDER_CLOUD, path, fc_json_encoded_bytes(response), &error);
  return list ? FC_CLOUD_OK : malformed;
}

/* ---- machine types ---- */

void fc_machine_type_free(gpointer data) {
  fc_machine_type *type = data;
  if (!type) return;
  g_free(type->name);
  g_strfreev(type->zones);
  g_free(type);
}

static bool is_valid_name(const char *text) {
  return text && *text && strlen(text) <= NAME_LENGTH_MAX;
}

static char **read_zones(fc_reader *reader) {
  const json_t *zones = fc_read_array(reader, FIELD_ZONES);
  size_t count = json_array_size(zones);
  char **names = g_new0(char *, count + 1);
  for (size_t i = 0; i < count; i++) {
    const char *name = fc_json_string(json_array_get(zones, i));
    if (!is_valid_name(name)) {
      fc_reader_fail(reader, FIELD_ZONES, FC_FIELD_NOT_NAME);
      break;
    }
    names[i] = g_strdup(name);
  }
  return names;
}

static void *decode_type(const json_t *element) {
  fc_reader reader;
  fc_reader_init(&reader, element);
  fc_machine_type *type = g_new0(fc_machine_type, 1);
  type->name = g_strdup(fc_read_string(&reader, FIELD_NAME, NAME_LENGTH_MAX));
  type->cpus = fc_read_amount(&reader, FIELD_CPUS, 0, AMOUNT_MAX);
  type->gpus = fc_read_amount_or(&reader, FIELD_GPUS, 0, AMOUNT_MAX, 0);
  type->memory_gb = fc_read_amount(&reader, FIELD_MEMORY, 0, AMOUNT_MAX);
  type->cache_gb = fc_read_amount_or(&reader, FIELD_CACHE, 0, AMOUNT_MAX, 0);
  type->fetch_gb_per_s = fc_read_amount_or(&reader, FIELD_FETCH_RATE, 0, AMOUNT_MAX, 0);
  type->price = fc_read_amount_or(&reader, FIELD_PRICE, 0, AMOUNT_MAX, 0);
  type->spot_price = fc_read_amount_or(&reader, FIELD_SPOT_PRICE, 0, AMOUNT_MAX, type->price);
  type->boot_s = fc_read_amount_or(&reader, FIELD_BOOT_TIME, 0, AMOUNT_MAX, 0);
  type->zones = read_zones(&reader);
  if (fc_reader_ok(&reader)) return type;
  fc_machine_type_free(type);
  return NULL;
}

fc_cloud_result fc_cloud_types(fc_cloud *cloud, double deadline, GPtrArray *out) {
  json_auto_t *response = NULL;
  fc_cloud_result result = call_cloud(cloud, "GET", TYPES_PATH, NULL, deadline, &response);
  if (result != FC_CLOUD_OK) return result;
  return read_list(response, TYPES_PATH, FIELD_TYPES, decode_type, FC_CLOUD_REFUSED, out);
}

/* ---- machines ---- */

static void *decode_id(const json_t *element) {
  const char *id = fc_json_string(element);
  return is_valid_name(id) ? g_strdup(id) : NULL;
}

fc_cloud_result fc_cloud_rent(fc_cloud *cloud, const char *rental, const char *type, const char *zone, bool spot,
                              unsigned count, double deadline, GPtrArray *out) {
  json_t *body = json_pack("{ss ss ss sb si}", FIELD_RENTAL, rental, FIELD_TYPE, type, FIELD_ZONE, zone, FIELD_SPOT,
                           (int)spot, FIELD_COUNT, (int)count);
  json_auto_t *response = NULL;
  fc_cloud_result result = call_cloud(cloud, "POST", MACHINES_PATH, body, deadline, &response);
  if (result != FC_CLOUD_OK) return result;
  /* Without a list of ids it is unknown which machines were rented. */
  return read_list(response, MACHINES_PATH, FIELD_MACHINES, decode_id, FC_CLOUD_UNKNOWN, out);
}

fc_cloud_result fc_cloud_release(fc_cloud *cloud, const char *const *ids, size_t count, double deadline) {
  json_t *list = json_array();
  for (size_t i = 0; i < count; i++) json_array_append_new(list, json_string(ids[i]));
  json_t *body = json_pack("{so}", FIELD_MACHINES, list);
  json_auto_t *response = NULL;
  return call_cloud(cloud, "POST", RELEASE_PATH, body, deadline, &response);
}

void fc_listed_machine_free(gpointer data) {
  fc_listed_machine *machine = data;
  if (!machine) return;
  g_free(machine->id);
  g_free(machine->endpoint);
  g_free(machine->type);
  g_free(machine->zone);
  g_free(machine);
}

static fc_machine_status status_from_text(const char *text) {
  if (strcmp(text, STATUS_UP) == 0) return FC_MACHINE_UP;
  if (strcmp(text, STATUS_FAILED) == 0) return FC_MACHINE_FAILED;
  return FC_MACHINE_BOOTING;
}

static void *decode_machine(const json_t *element) {
  fc_reader reader;
  fc_reader_init(&reader, element);
  const char *id = fc_read_string(&reader, FIELD_ID, NAME_LENGTH_MAX);
  const char *endpoint = fc_read_string_or_null(&reader, FIELD_ENDPOINT, ENDPOINT_LENGTH_MAX);
  const char *type = fc_read_string(&reader, FIELD_TYPE, NAME_LENGTH_MAX);
  const char *zone = fc_read_string(&reader, FIELD_ZONE, NAME_LENGTH_MAX);
  const char *status = fc_read_string(&reader, FIELD_STATUS, NAME_LENGTH_MAX);
  if (!fc_reader_ok(&reader)) return NULL;
  fc_listed_machine *machine = g_new0(fc_listed_machine, 1);
  machine->spot = fc_read_bool_or(&reader, FIELD_SPOT, false);
  machine->age_s = fc_read_amount_or(&reader, FIELD_AGE, 0, AMOUNT_MAX, 0);
  machine->id = g_strdup(id);
  machine->endpoint = g_strdup(endpoint);
  machine->type = g_strdup(type);
  machine->zone = g_strdup(zone);
  machine->status = status_from_text(status);
  return machine;
}

fc_cloud_result fc_cloud_list(fc_cloud *cloud, const char *after, unsigned limit, double deadline, GPtrArray *out,
                              bool *more) {
  g_autoptr(GString) path = g_string_new(MACHINES_PATH "?");
  if (after) g_string_append_printf(path, QUERY_FROM "%s&", after);
  g_string_append_printf(path, QUERY_PAGE "%u", limit);
  json_auto_t *response = NULL;
  *more = false;
  fc_cloud_result result = call_cloud(cloud, "GET", path->str, NULL, deadline, &response);
  if (result != FC_CLOUD_OK) return result;
  *more = json_is_true(json_object_get(response, FIELD_MORE));
  return read_list(response, path->str, FIELD_MACHINES, decode_machine, FC_CLOUD_REFUSED, out);
}
