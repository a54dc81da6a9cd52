#include "protocol/state_api.h"

#include <string.h>

#include "protocol/json.h"
#include "protocol/json_call.h"

#define COUNT_MOST ((uint64_t)INT64_MAX)
#define REPLY_MOST ((size_t)8 * 1024 * 1024)

struct fc_state {
  fc_http_client *http;
  bool too_large; /* the answer of the call that has just returned */
};

struct fc_txn {
  json_t *conditions;
  json_t *writes;
};

void fc_change_free(gpointer p) {
  fc_change *c = p;
  if (!c) return;
  g_free(c->key);
  json_decref(c->value);
  g_free(c);
}

fc_txn *fc_txn_new(void) {
  fc_txn *t = g_new0(fc_txn, 1);
  t->conditions = json_array();
  t->writes = json_array();
  return t;
}

void fc_txn_free(fc_txn *t) {
  if (!t) return;
  json_decref(t->conditions);
  json_decref(t->writes);
  g_free(t);
}

void fc_txn_if(fc_txn *t, const char *key, uint64_t version) {
  json_array_append_new(t->conditions, json_pack("{ss sI}", "key", key, "edition", (json_int_t)version));
}

void fc_txn_put(fc_txn *t, const char *key, json_t *value) {
  json_array_append_new(t->writes, json_pack("{ss so}", "set", key, "v", value));
}

void fc_txn_put_leased(fc_txn *t, const char *key, json_t *value, uint64_t lease) {
  json_array_append_new(t->writes, json_pack("{ss so sI}", "set", key, "v", value, "pass", (json_int_t)lease));
}

void fc_txn_delete(fc_txn *t, const char *key) {
  json_array_append_new(t->writes, json_pack("{ss}", "remove", key));
}

size_t fc_txn_writes(const fc_txn *t) {
  return json_array_size(t->writes);
}

fc_state *fc_state_new(const fc_endpoint *at) {
  fc_state *s = g_new0(fc_state, 1);
  s->http = fc_http_client_new(at, REPLY_MOST);
  return s;
}

void fc_state_free(fc_state *s) {
  if (!s) return;
  fc_http_client_free(s->http);
  g_free(s);
}

/* Makes the call; on OK or CONFLICT *out holds the parsed answer. */
static fc_state_result call(fc_state *s, const char *method, const char *path, json_t *body, double deadline,
                            json_t **out) {
  fc_json_reply r = fc_json_call(s->http, method, path, body, deadline);
  fc_state_result result = FC_STATE_REFUSED;
  *out = NULL;
  s->too_large = r.too_large;
  if (r.status == 0) {
    result = r.unsent ? FC_STATE_DOWN : FC_STATE_UNKNOWN;
  } else if (r.status == 200 || r.status == 409) {
    /* An answer we cannot read says nothing about what was done. */
    result = !r.object ? FC_STATE_UNKNOWN : r.status == 200 ? FC_STATE_OK : FC_STATE_CONFLICT;
    *out = json_incref(r.object);
  } else if (r.status == 404 || r.status == 410) {
    result = FC_STATE_GONE;
  } else if (r.status == 429) {
    result = FC_STATE_BUSY;
  } else if (r.status == 503) {
    result = FC_STATE_DOWN;
  } else if (r.status >= 500) {
    result = FC_STATE_UNKNOWN;
  }
  fc_json_reply_clear(&r);
  return result;
}

static bool read_revision(const json_t *v, uint64_t *revision) {
  fc_reader r;
  fc_reader_init(&r, v);
  *revision = fc_read_count(&r, "round", 0, COUNT_MOST);
  return fc_reader_ok(&r);
}

fc_state_result fc_state_commit(fc_state *s, const fc_txn *t, double deadline, uint64_t *revision, GPtrArray *failed) {
  json_t *body = json_pack("{sO sO}", "when", t->conditions, "then", t->writes);
  json_t *v = NULL;
  fc_state_result result = call(s, "POST", "/commit", body, deadline, &v);
  if (result == FC_STATE_OK && !read_revision(v, revision)) result = FC_STATE_UNKNOWN;
  if (result == FC_STATE_CONFLICT && failed) {
    size_t i;
    json_t *key;
    json_array_foreach(json_object_get(v, "failed"), i, key) {
      if (json_is_string(key)) g_ptr_array_add(failed, g_strdup(json_string_value(key)));
    }
  }
  json_decref(v);
  return result;
}

static bool read_row(const json_t *v, const char *key_field, fc_change *out) {
  fc_reader r;
  fc_reader_init(&r, v);
  const char *key = fc_read_string(&r, key_field, 200);
  out->version = fc_read_count(&r, "edition", 0, COUNT_MOST);
  if (!fc_reader_ok(&r)) return false;
  out->key = g_strdup(key);
  out->value = json_incref(json_object_get(v, "v"));
  return true;
}

fc_state_result fc_state_get(fc_state *s, const char *key, double deadline, json_t **value) {
  char *path = g_strconcat("/keys/", key, NULL);
  json_t *v = NULL;
  fc_state_result result = call(s, "GET", path, NULL, deadline, &v);
  g_free(path);
  fc_change row = {0};
  if (result == FC_STATE_OK && (!read_row(v, "key", &row) || strcmp(row.key, key) != 0 || !row.value))
    result = FC_STATE_UNKNOWN;
  *value = result == FC_STATE_OK ? json_incref(row.value) : NULL;
  g_free(row.key);
  json_decref(row.value);
  json_decref(v);
  return result;
}

fc_state_result fc_state_list(fc_state *s, const char *prefix, const char *after, unsigned limit, double deadline,
                              GPtrArray *out, bool *more, uint64_t *revision) {
  GString *path = g_string_new("/keys?prefix=");
  g_string_append(path, prefix);
  if (after) g_string_append_printf(path, "&from=%s", after);
  g_string_append_printf(path, "&page=%u", limit);
  json_t *v = NULL;
  fc_state_result result = call(s, "GET", path->str, NULL, deadline, &v);
  g_string_free(path, TRUE);
  if (result != FC_STATE_OK) goto out;
  if (!read_revision(v, revision) || !json_is_array(json_object_get(v, "rows"))) {
    result = FC_STATE_REFUSED;
    goto out;
  }
  *more = json_is_true(json_object_get(v, "more"));
  size_t i;
  json_t *row;
  json_array_foreach(json_object_get(v, "rows"), i, row) {
    fc_change *c = g_new0(fc_change, 1);
    if (read_row(row, "key", c)) {
      g_ptr_array_add(out, c);
    } else {
      fc_change_free(c);
      result = FC_STATE_REFUSED;
    }
  }
out:
  json_decref(v);
  return result;
}

static gint by_version(gconstpointer a, gconstpointer b) {
  const fc_change *x = *(const fc_change *const *)a, *y = *(const fc_change *const *)b;
  return x->version < y->version ? -1 : x->version > y->version;
}

fc_state_result fc_state_changes(fc_state *s, const char *prefix, uint64_t from, double wait_s, double deadline,
                                 GPtrArray *out, uint64_t *revision) {
  char *path = g_strdup_printf("/changes?prefix=%s&from=%" G_GUINT64_FORMAT "&holdMs=%d", prefix, (guint64)from,
                               (int)(wait_s * 1000));
  json_t *v = NULL;
  fc_state_result result = call(s, "GET", path, NULL, deadline, &v);
  g_free(path);
  /* Changes come in one answer, however many there are: after a long stand-still they
   * may be too many for it, now and at every try. Pages have a bound. */
  if (s->too_large) {
    g_info("more changes than an answer may hold from=%" G_GUINT64_FORMAT, (guint64)from);
    result = FC_STATE_GONE;
  }
  if (result != FC_STATE_OK) goto out;
  if (!read_revision(v, revision) || !json_is_array(json_object_get(v, "events"))) {
    result = FC_STATE_REFUSED;
    goto out;
  }
  size_t i;
  json_t *event;
  json_array_foreach(json_object_get(v, "events"), i, event) {
    fc_change *c = g_new0(fc_change, 1);
    bool removed = json_object_get(event, "remove") != NULL;
    if (!read_row(event, removed ? "remove" : "set", c)) {
      fc_change_free(c);
      result = FC_STATE_REFUSED;
      goto out;
    }
    if (removed) {
      json_decref(c->value);
      c->value = NULL;
    }
    g_ptr_array_add(out, c);
  }
  /* The protocol gives no order; what is derived from records at the version
   * of the term record needs the oldest first. */
  g_ptr_array_sort(out, by_version);
out:
  json_decref(v);
  return result;
}

fc_state_result fc_state_lease_open(fc_state *s, double ttl_s, double deadline, uint64_t *lease) {
  json_t *v = NULL;
  fc_state_result result = call(s, "POST", "/holds", json_pack("{si}", "lifeMs", (int)(ttl_s * 1000)), deadline, &v);
  if (result == FC_STATE_OK) {
    fc_reader r;
    fc_reader_init(&r, v);
    *lease = fc_read_count(&r, "pass", 0, COUNT_MOST);
    if (!fc_reader_ok(&r)) result = FC_STATE_REFUSED;
  }
  json_decref(v);
  return result;
}

static fc_state_result lease_call(fc_state *s, const char *method, const char *suffix, uint64_t lease,
                                  double deadline) {
  char *path = g_strdup_printf("/holds/%" G_GUINT64_FORMAT "%s", (guint64)lease, suffix);
  json_t *v = NULL;
  fc_state_result result = call(s, method, path, NULL, deadline, &v);
  json_decref(v);
  g_free(path);
  return result;
}

fc_state_result fc_state_lease_renew(fc_state *s, uint64_t lease, double deadline) {
  return lease_call(s, "POST", "/extend", lease, deadline);
}
