#include "protocol/kv_store.h"

#include <string.h>

#include "protocol/json.h"
#include "protocol/json_call.h"
#include "protocol/unreadable_responses.h"

#define REPLY_MAX_BYTES ((size_t)8 * 1024 * 1024)
#define KEY_LENGTH_MAX 200u

/* Paths, parameters and fields of the store's API. */
#define COMMIT_PATH "/commit"
#define KEYS_PATH "/keys"
#define CHANGES_PATH "/changes"
#define LEASES_PATH "/holds"
#define RENEW_SUFFIX "/extend"

#define QUERY_PREFIX "prefix="
#define QUERY_FROM "from="
#define QUERY_PAGE "page="
#define QUERY_WAIT_MS "holdMs="

#define FIELD_KEY "key"
#define FIELD_VALUE "v"
#define FIELD_VERSION "edition"
#define FIELD_REVISION "round"
#define FIELD_LEASE "pass"
#define FIELD_LEASE_TTL_MS "lifeMs"

#define FIELD_CONDITIONS "when"
#define FIELD_WRITES "then"
#define FIELD_PUT "set"
#define FIELD_DELETE "remove"
#define FIELD_FAILED_KEYS "failed"
#define FIELD_ROWS "rows"
#define FIELD_MORE "more"
#define FIELD_EVENTS "events"

struct fc_kv {
  fc_http_client *http;
  bool too_large;     /* the response to the last call exceeded REPLY_MAX_BYTES */
  size_t reply_bytes; /* of that response's body */
};

struct fc_txn {
  json_t *conditions;
  json_t *writes;
};

void fc_kv_change_free(gpointer data) {
  fc_kv_change *change = data;
  if (!change) return;
  g_free(change->key);
  json_decref(change->value);
  g_free(change);
}

fc_txn *fc_txn_new(void) {
  fc_txn *txn = g_new0(fc_txn, 1);
  txn->conditions = json_array();
  txn->writes = json_array();
  return txn;
}

void fc_txn_free(fc_txn *txn) {
  if (!txn) return;
  json_decref(txn->conditions);
  json_decref(txn->writes);
  g_free(txn);
}

void fc_txn_compare(fc_txn *txn, const char *key, uint64_t version) {
  json_array_append_new(txn->conditions, json_pack("{ss sI}", FIELD_KEY, key, FIELD_VERSION, (json_int_t)version));
}

void fc_txn_put(fc_txn *txn, const char *key, json_t *value) {
  json_array_append_new(txn->writes, json_pack("{ss so}", FIELD_PUT, key, FIELD_VALUE, value));
}

void fc_txn_put_leased(fc_txn *txn, const char *key, json_t *value, uint64_t lease) {
  json_array_append_new(txn->writes,
                        json_pack("{ss so sI}", FIELD_PUT, key, FIELD_VALUE, value, FIELD_LEASE, (json_int_t)lease));
}

void fc_txn_delete(fc_txn *txn, const char *key) {
  json_array_append_new(txn->writes, json_pack("{ss}", FIELD_DELETE, key));
}

size_t fc_txn_write_count(const fc_txn *txn) {
  return json_array_size(txn->writes);
}

fc_kv *fc_kv_new(const fc_endpoint *at) {
  fc_kv *kv = g_new0(fc_kv, 1);
  kv->http = fc_http_client_new(at, REPLY_MAX_BYTES);
  return kv;
}

void fc_kv_free(fc_kv *kv) {
  if (!kv) return;
  fc_http_client_free(kv->http);
  g_free(kv);
}

static fc_kv_result result_of_reply(const fc_json_reply *reply) {
  /* A response that is not an object does not tell what was executed. */
  bool readable = reply->object != NULL;
  switch (reply->status) {
    case 0:
      return reply->unsent ? FC_KV_DOWN : FC_KV_UNKNOWN;
    case 200:
      return readable ? FC_KV_OK : FC_KV_UNKNOWN;
    case 409:
      return readable ? FC_KV_CONFLICT : FC_KV_UNKNOWN;
    case 404:
    case 410:
      return FC_KV_GONE;
    case 429:
      return FC_KV_BUSY;
    case 503:
      return FC_KV_DOWN;
    default:
      return reply->status >= 500 ? FC_KV_UNKNOWN : FC_KV_REFUSED;
  }
}

/* Makes the call. On FC_KV_OK and FC_KV_CONFLICT *response is a reference to the body, owned by the
 * caller; else NULL. */
static fc_kv_result call_store(fc_kv *kv, const char *method, const char *path, json_t *body, double deadline,
                               json_t **response) {
  fc_json_reply reply = fc_json_call(kv->http, method, path, body, deadline);
  fc_kv_result result = result_of_reply(&reply);
  kv->too_large = reply.too_large;
  kv->reply_bytes = reply.text->len;
  if ((reply.status == 200 || reply.status == 409) && !reply.object)
    fc_unreadable_response_note(FC_RESPONDER_STORE, path, reply.text->len, &reply.error);
  *response = result == FC_KV_OK || result == FC_KV_CONFLICT ? json_incref(reply.object) : NULL;
  fc_json_reply_clear(&reply);
  return result;
}

/* Whether the reader of the last response has recorded no error; else notes it. */
static bool check_response(const fc_kv *kv, const char *path, const fc_reader *reader) {
  fc_message_error error;
  if (fc_message_check(reader, &error)) return true;
  fc_unreadable_response_note(FC_RESPONDER_STORE, path, kv->reply_bytes, &error);
  return false;
}

/* Reads a required number of the last response; false if it is missing or malformed. */
static bool read_number(const fc_kv *kv, const char *path, const json_t *response, const char *field,
                        uint64_t *number) {
  fc_reader reader;
  fc_reader_init(&reader, response);
  *number = fc_read_count(&reader, field, 0, FC_COUNT_MAX);
  return check_response(kv, path, &reader);
}

/* Reads the revision and the array `field` of the last response, whose elements it decodes into `out`. */
static fc_kv_result read_changes(const fc_kv *kv, const char *path, const json_t *response, const char *field,
                                 fc_json_decoder decode, GPtrArray *out, uint64_t *revision) {
  fc_reader reader;
  fc_reader_init(&reader, response);
  *revision = fc_read_count(&reader, FIELD_REVISION, 0, FC_COUNT_MAX);
  const json_t *elements = fc_read_array(&reader, field);
  if (elements && fc_json_decode_list(elements, decode, out) > 0)
    fc_reader_fail(&reader, field, FC_FIELD_ELEMENT_MALFORMED);
  return check_response(kv, path, &reader) ? FC_KV_OK : FC_KV_REFUSED;
}

static void *decode_key(const json_t *element) {
  return g_strdup(fc_json_string(element));
}

fc_kv_result fc_kv_commit(fc_kv *kv, const fc_txn *txn, double deadline, uint64_t *revision, GPtrArray *failed) {
  json_t *body = json_pack("{sO sO}", FIELD_CONDITIONS, txn->conditions, FIELD_WRITES, txn->writes);
  json_auto_t *response = NULL;
  fc_kv_result result = call_store(kv, "POST", COMMIT_PATH, body, deadline, &response);
  if (result == FC_KV_OK && !read_number(kv, COMMIT_PATH, response, FIELD_REVISION, revision)) result = FC_KV_UNKNOWN;
  if (result == FC_KV_CONFLICT && failed)
    (void)fc_json_decode_list(json_object_get(response, FIELD_FAILED_KEYS), decode_key, failed);
  return result;
}

static fc_kv_change *decode_change(const json_t *element, const char *key_field) {
  fc_reader reader;
  fc_reader_init(&reader, element);
  const char *key = fc_read_string(&reader, key_field, KEY_LENGTH_MAX);
  uint64_t version = fc_read_count(&reader, FIELD_VERSION, 0, FC_COUNT_MAX);
  if (!fc_reader_ok(&reader)) return NULL;
  fc_kv_change *change = g_new0(fc_kv_change, 1);
  change->key = g_strdup(key);
  change->value = json_incref(json_object_get(element, FIELD_VALUE));
  change->version = version;
  return change;
}

static void *decode_row(const json_t *element) {
  return decode_change(element, FIELD_KEY);
}

static void *decode_event(const json_t *element) {
  bool removed = json_is_string(json_object_get(element, FIELD_DELETE));
  fc_kv_change *change = decode_change(element, removed ? FIELD_DELETE : FIELD_PUT);
  if (change && removed) {
    json_decref(change->value);
    change->value = NULL;
  }
  return change;
}

fc_kv_result fc_kv_get(fc_kv *kv, const char *key, double deadline, json_t **value) {
  g_autofree char *path = g_strconcat(KEYS_PATH "/", key, NULL);
  json_auto_t *response = NULL;
  *value = NULL;
  fc_kv_result result = call_store(kv, "GET", path, NULL, deadline, &response);
  if (result != FC_KV_OK) return result;
  fc_kv_change *row = decode_row(response);
  if (row && strcmp(row->key, key) == 0) *value = json_incref(row->value);
  fc_kv_change_free(row);
  return *value ? FC_KV_OK : FC_KV_UNKNOWN;
}

fc_kv_result fc_kv_list(fc_kv *kv, const char *prefix, const char *after, unsigned limit, double deadline,
                        GPtrArray *out, bool *more, uint64_t *revision) {
  g_autoptr(GString) path = g_string_new(KEYS_PATH "?" QUERY_PREFIX);
  g_string_append(path, prefix);
  if (after) g_string_append_printf(path, "&" QUERY_FROM "%s", after);
  g_string_append_printf(path, "&" QUERY_PAGE "%u", limit);
  json_auto_t *response = NULL;
  fc_kv_result result = call_store(kv, "GET", path->str, NULL, deadline, &response);
  if (result != FC_KV_OK) return result;
  *more = json_is_true(json_object_get(response, FIELD_MORE));
  return read_changes(kv, path->str, response, FIELD_ROWS, decode_row, out, revision);
}

static gint compare_versions(gconstpointer left, gconstpointer right) {
  uint64_t left_version = (*(const fc_kv_change *const *)left)->version;
  uint64_t right_version = (*(const fc_kv_change *const *)right)->version;
  return left_version < right_version ? -1 : left_version > right_version;
}

fc_kv_result fc_kv_changes(fc_kv *kv, const char *prefix, uint64_t from, double wait_s, double deadline, GPtrArray *out,
                           uint64_t *revision) {
  g_autofree char *path =
      g_strdup_printf(CHANGES_PATH "?" QUERY_PREFIX "%s&" QUERY_FROM "%" G_GUINT64_FORMAT "&" QUERY_WAIT_MS "%d",
                      prefix, (guint64)from, (int)(wait_s * 1000));
  json_auto_t *response = NULL;
  fc_kv_result result = call_store(kv, "GET", path, NULL, deadline, &response);
  /* All changes come in one response. After a long interruption they may exceed its size limit, and so
   * would every retry, while pages of the list stay below it. */
  if (kv->too_large) {
    g_info("change feed answer too large, listing the keys instead from=%" G_GUINT64_FORMAT, (guint64)from);
    return FC_KV_GONE;
  }
  if (result != FC_KV_OK) return result;
  result = read_changes(kv, path, response, FIELD_EVENTS, decode_event, out, revision);
  if (result != FC_KV_OK) return result;
  /* The store's API specifies no order. Changes have to be applied oldest first: a new term derives
   * state from the records as of its version. */
  g_ptr_array_sort(out, compare_versions);
  return FC_KV_OK;
}

fc_kv_result fc_kv_lease_open(fc_kv *kv, double ttl_s, double deadline, uint64_t *lease) {
  json_auto_t *response = NULL;
  json_t *body = json_pack("{si}", FIELD_LEASE_TTL_MS, (int)(ttl_s * 1000));
  fc_kv_result result = call_store(kv, "POST", LEASES_PATH, body, deadline, &response);
  if (result == FC_KV_OK && !read_number(kv, LEASES_PATH, response, FIELD_LEASE, lease)) return FC_KV_REFUSED;
  return result;
}

fc_kv_result fc_kv_lease_renew(fc_kv *kv, uint64_t lease, double deadline) {
  g_autofree char *path = g_strdup_printf(LEASES_PATH "/%" G_GUINT64_FORMAT RENEW_SUFFIX, (guint64)lease);
  json_auto_t *response = NULL;
  return call_store(kv, "POST", path, NULL, deadline, &response);
}
