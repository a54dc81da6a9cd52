#include "bookkeeping/write_request.h"

#include <string.h>

#include "protocol/json.h"

/* Field names and punctuation around a key and its value or version, in bytes. */
#define ENTRY_OVERHEAD_BYTES 40u

typedef struct condition {
  char *key;
  uint64_t version;
} condition;

typedef struct change {
  char *key;
  json_t *value; /* NULL: delete */
} change;

struct fc_write {
  GArray *conditions; /* condition */
  GArray *changes;    /* change */
  size_t body_bytes;
  size_t largest_value_bytes;
};

static void condition_clear(gpointer element) {
  condition *entry = element;
  g_free(entry->key);
}

static void change_clear(gpointer element) {
  change *entry = element;
  g_free(entry->key);
  json_decref(entry->value);
}

fc_write *fc_write_new(void) {
  fc_write *write = g_new0(fc_write, 1);
  write->conditions = g_array_new(FALSE, TRUE, sizeof(condition));
  write->changes = g_array_new(FALSE, TRUE, sizeof(change));
  g_array_set_clear_func(write->conditions, condition_clear);
  g_array_set_clear_func(write->changes, change_clear);
  return write;
}

void fc_write_free(fc_write *write) {
  g_array_free(write->conditions, TRUE);
  g_array_free(write->changes, TRUE);
  g_free(write);
}

void fc_write_compare(fc_write *write, const char *key, uint64_t version) {
  write->body_bytes += strlen(key) + ENTRY_OVERHEAD_BYTES;
  condition entry = {.key = g_strdup(key), .version = version};
  g_array_append_val(write->conditions, entry);
}

void fc_write_put(fc_write *write, const char *key, json_t *value) {
  size_t value_bytes = fc_json_encoded_bytes(value);
  write->body_bytes += strlen(key) + value_bytes + ENTRY_OVERHEAD_BYTES;
  write->largest_value_bytes = MAX(write->largest_value_bytes, value_bytes);
  change entry = {.key = g_strdup(key), .value = value};
  g_array_append_val(write->changes, entry);
}

void fc_write_delete(fc_write *write, const char *key) {
  write->body_bytes += strlen(key) + ENTRY_OVERHEAD_BYTES;
  change entry = {.key = g_strdup(key)};
  g_array_append_val(write->changes, entry);
}

static const condition *condition_at(const fc_write *write, guint index) {
  return &g_array_index(write->conditions, condition, index);
}

static const change *change_at(const fc_write *write, guint index) {
  return &g_array_index(write->changes, change, index);
}

unsigned fc_write_change_count(const fc_write *write) {
  return write->changes->len;
}

const char *fc_write_changed_key(const fc_write *write, unsigned index) {
  return change_at(write, index)->key;
}

const json_t *fc_write_changed_value(const fc_write *write, unsigned index) {
  return change_at(write, index)->value;
}

size_t fc_write_body_bytes(const fc_write *write) {
  return write->body_bytes;
}

size_t fc_write_largest_value_bytes(const fc_write *write) {
  return write->largest_value_bytes;
}

static bool compares_key(const fc_write *write, const char *key) {
  for (guint i = 0; i < write->conditions->len; i++)
    if (strcmp(condition_at(write, i)->key, key) == 0) return true;
  return false;
}

static bool changes_key(const fc_write *write, const char *key) {
  for (guint i = 0; i < write->changes->len; i++)
    if (strcmp(change_at(write, i)->key, key) == 0) return true;
  return false;
}

bool fc_write_clashes(const fc_write *first, const fc_write *second) {
  for (guint i = 0; i < second->changes->len; i++) {
    const char *key = change_at(second, i)->key;
    if (changes_key(first, key) || compares_key(first, key)) return true;
  }
  for (guint i = 0; i < second->conditions->len; i++)
    if (changes_key(first, condition_at(second, i)->key)) return true;
  return false;
}

bool fc_write_compares_any(const fc_write *write, const GPtrArray *keys) {
  for (guint i = 0; i < keys->len; i++)
    if (compares_key(write, keys->pdata[i])) return true;
  return false;
}

void fc_write_add_to_txn(const fc_write *write, fc_txn *txn, GHashTable *compared) {
  for (guint i = 0; i < write->conditions->len; i++) {
    const condition *entry = condition_at(write, i);
    /* Requests of one batch may expect different versions of a key. Both conditions are sent, and
     * the response of the key-value store says which one failed. */
    char *condition_text = g_strdup_printf("%s@%" G_GUINT64_FORMAT, entry->key, (guint64)entry->version);
    if (g_hash_table_add(compared, condition_text)) fc_txn_compare(txn, entry->key, entry->version);
  }
  for (guint i = 0; i < write->changes->len; i++) {
    const change *entry = change_at(write, i);
    if (entry->value) {
      fc_txn_put(txn, entry->key, json_incref(entry->value));
    } else {
      fc_txn_delete(txn, entry->key);
    }
  }
}
