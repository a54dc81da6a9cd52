#include "protocol/kv_store.h"

#include <string.h>

#include "protocol/json.h"
#include "protocol/json_call.h"

#define COUNT_MOST ((uint64_t)INT64_MAX)
#define REPLY_MOST ((size_t)8 * 1024 * 1024)

struct fc_kv {
  fc_http_client *http;
  bool too_large; /* the answer of the call that has just returned */
};

struct fc_txn {
  json_t *conditions;
  json_t *writes;
};

void fc_kv_change_free(gpointer p) {
  fc_kv_change *change = p;
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
  json_array_append_new(txn->conditions, json_pack("{ss sI}", "key", key, "edition", (json_int_t)version));
}

void fc_txn_put(fc_txn *txn, const char *key, json_t *value) {
  json_array_append_new(txn->writes, json_pack("{ss so}", "set", key, "v", value));
}

void fc_txn_put_leased(fc_txn *txn, const char *key, json_t *value, uint64_t lease) {
  json_array_append_new(txn->writes, json_pack("{ss so sI}", "set", key, "v", value, "pass", (json_int_t)lease));
}

void fc_txn_delete(fc_txn *txn, const char *key) {
  json_array_append_new(txn->writes, json_pack("{ss}", "remove", key));
}

size_t fc_txn_writes(const fc_txn *txn) {
  return json_array_size(txn->writes);
}

fc_kv *fc_kv_new(const fc_endpoint *at) {
  fc_kv *kv = g_new0(fc_kv, 1);
  kv->http = fc_http_client_new(at, REPLY_MOST);
  return kv;
}

void fc_kv_free(fc_kv *kv) {
  if (!kv) return;
  fc_http_client_free(kv->http);
  g_free(kv);
}

/* Makes the call; on OK or CONFLICT *out holds the parsed answer. */
static fc_kv_result call(fc_kv *kv, const char *method, const char *path, json_t *body, double deadline, json_t **out) {
  fc_json_reply reply = fc_json_call(kv->http, method, path, body, deadline);
  fc_kv_result result = FC_KV_REFUSED;
  *out = NULL;
  kv->too_large = reply.too_large;
  if (reply.status == 0) {
    result = reply.unsent ? FC_KV_DOWN : FC_KV_UNKNOWN;
  } else if (reply.status == 200 || reply.status == 409) {
    /* An answer we cannot read says nothing about what was done. */
    result = !reply.object ? FC_KV_UNKNOWN : reply.status == 200 ? FC_KV_OK : FC_KV_CONFLICT;
    *out = json_incref(reply.object);
  } else if (reply.status == 404 || reply.status == 410) {
    result = FC_KV_GONE;
  } else if (reply.status == 429) {
    result = FC_KV_BUSY;
  } else if (reply.status == 503) {
    result = FC_KV_DOWN;
  } else if (reply.status >= 500) {
    result = FC_KV_UNKNOWN;
  }
  fc_json_reply_clear(&reply);
  return result;
}

static bool read_revision(const json_t *v, uint64_t *revision) {
  fc_reader reader;
  fc_reader_init(&reader, v);
  *revision = fc_read_count(&reader, "round", 0, COUNT_MOST);
  return fc_reader_ok(&reader);
}

fc_kv_result fc_kv_commit(fc_kv *kv, const fc_txn *txn, double deadline, uint64_t *revision, GPtrArray *failed) {
  json_t *body = json_pack("{sO sO}", "when", txn->conditions, "then", txn->writes);
  json_t *v = NULL;
  fc_kv_result result = call(kv, "POST", "/commit", body, deadline, &v);
  if (result == FC_KV_OK && !read_revision(v, revision)) result = FC_KV_UNKNOWN;
  if (result == FC_KV_CONFLICT && failed) {
    size_t i;
    json_t *key;
    json_array_foreach(json_object_get(v, "failed"), i, key) {
      if (json_is_string(key)) g_ptr_array_add(failed, g_strdup(json_string_value(key)));
    }
  }
  json_decref(v);
  return result;
}

static bool read_row(const json_t *v, const char *key_field, fc_kv_change *out) {
  fc_reader reader;
  fc_reader_init(&reader, v);
  const char *key = fc_read_string(&reader, key_field, 200);
  out->version = fc_read_count(&reader, "edition", 0, COUNT_MOST);
  if (!fc_reader_ok(&reader)) return false;
  out->key = g_strdup(key);
  out->value = json_incref(json_object_get(v, "v"));
  return true;
}

fc_kv_result fc_kv_get(fc_kv *kv, const char *key, double deadline, json_t **value) {
  char *path = g_strconcat("/keys/", key, NULL);
  json_t *v = NULL;
  fc_kv_result result = call(kv, "GET", path, NULL, deadline, &v);
  g_free(path);
  fc_kv_change row = {0};
  if (result == FC_KV_OK && (!read_row(v, "key", &row) || strcmp(row.key, key) != 0 || !row.value))
    result = FC_KV_UNKNOWN;
  *value = result == FC_KV_OK ? json_incref(row.value) : NULL;
  g_free(row.key);
  json_decref(row.value);
  json_decref(v);
  return result;
}

fc_kv_result fc_kv_list(fc_kv *kv, const char *prefix, const char *after, unsigned limit, double deadline,
                        GPtrArray *out, bool *more, uint64_t *revision) {
  GString *path = g_string_new("/keys?prefix=");
  g_string_append(path, prefix);
  if (after) g_string_append_printf(path, "&from=%s", after);
  g_string_append_printf(path, "&page=%u", limit);
  json_t *v = NULL;
  fc_kv_result result = call(kv, "GET", path->str, NULL, deadline, &v);
  g_string_free(path, TRUE);
  if (result != FC_KV_OK) goto out;
  if (!read_revision(v, revision) || !json_is_array(json_object_get(v, "rows"))) {
    result = FC_KV_REFUSED;
    goto out;
  }
  *more = json_is_true(json_object_get(v, "more"));
  size_t i;
  json_t *row;
  json_array_foreach(json_object_get(v, "rows"), i, row) {
    fc_kv_change *change = g_new0(fc_kv_change, 1);
    if (read_row(row, "key", change)) {
      g_ptr_array_add(out, change);
    } else {
      fc_kv_change_free(change);
      result = FC_KV_REFUSED;
    }
  }
out:
  json_decref(v);
  return result;
}

static gint by_version(gconstpointer a, gconstpointer b) {
  const fc_kv_change *x = *(const fc_kv_change *const *)a, *y = *(const fc_kv_change *const *)b;
  return x->version < y->version ? -1 : x->version > y->version;
}

fc_kv_result fc_kv_changes(fc_kv *kv, const char *prefix, uint64_t from, double wait_s, double deadline, GPtrArray *out,
                           uint64_t *revision) {
  char *path = g_strdup_printf("/changes?prefix=%s&from=%" G_GUINT64_FORMAT "&holdMs=%d", prefix, (guint64)from,
                               (int)(wait_s * 1000));
  json_t *v = NULL;
  fc_kv_result result = call(kv, "GET", path, NULL, deadline, &v);
  g_free(path);
  /* Changes come in one answer, however many there are: after a long stand-still they
   * may be too many for it, now and at every try. Pages have a bound. */
  if (kv->too_large) {
    g_info("more changes than an answer may hold from=%" G_GUINT64_FORMAT, (guint64)from);
    result = FC_KV_GONE;
  }
  if (result != FC_KV_OK) goto out;
  if (!read_revision(v, revision) || !json_is_array(json_object_get(v, "events"))) {
    result = FC_KV_REFUSED;
    goto out;
  }
  size_t i;
  json_t *event;
  json_array_foreach(json_object_get(v, "events"), i, event) {
    fc_kv_change *change = g_new0(fc_kv_change, 1);
    bool removed = json_object_get(event, "remove") != NULL;
    if (!read_row(event, removed ? "remove" : "set", change)) {
      fc_kv_change_free(change);
      result = FC_KV_REFUSED;
      goto out;
    }
    if (removed) {
      json_decref(change->value);
      change->value = NULL;
    }
    g_ptr_array_add(out, change);
  }
  /* The protocol gives no order; what is derived from records at the version
   * of the term record needs the oldest first. */
  g_ptr_array_sort(out, by_version);
out:
  json_decref(v);
  return result;
}

fc_kv_result fc_kv_lease_open(fc_kv *kv, double ttl_s, double deadline, uint64_t *lease) {
  json_t *v = NULL;
  fc_kv_result result = call(kv, "POST", "/holds", json_pack("{si}", "lifeMs", (int)(ttl_s * 1000)), deadline, &v);
  if (result == FC_KV_OK) {
    fc_reader reader;
    fc_reader_init(&reader, v);
    *lease = fc_read_count(&reader, "pass", 0, COUNT_MOST);
    if (!fc_reader_ok(&reader)) result = FC_KV_REFUSED;
  }
  json_decref(v);
  return result;
}

static fc_kv_result lease_call(fc_kv *kv, const char *method, const char *suffix, uint64_t lease, double deadline) {
  char *path = g_strdup_printf("/holds/%" G_GUINT64_FORMAT "%s", (guint64)lease, suffix);
  json_t *v = NULL;
  fc_kv_result result = call(kv, method, path, NULL, deadline, &v);
  json_decref(v);
  g_free(path);
  return result;
}

fc_kv_result fc_kv_lease_renew(fc_kv *kv, uint64_t lease, double deadline) {
  return lease_call(kv, "POST", "/extend", lease, deadline);
}
