/* Compare-and-swap transactions of the simulated key-value store. */
#include "kv.h"

/* The former version records neither which job format it reads nor the features of later versions. */
static void remove_announcements(const json_t *changes) {
  json_t *item;
  size_t i;
  json_array_foreach(changes, i, item) {
    json_object_del(json_object_get(item, "v"), "jobFormat");
    json_object_del(json_object_get(item, "v"), "raisedTokens");
    json_object_del(json_object_get(item, "v"), "movedDescriptions");
    json_object_del(json_object_get(item, "v"), "startsInAnswers");
  }
}

/* The former version numbers a term one above the stored one. Returns false for a term that it would not
 * write: one with the same members and incarnations as the stored one. */
static bool renumber_terms(const json_t *changes) {
  json_t *item;
  size_t i;
  json_array_foreach(changes, i, item) {
    const char *key = json_string_value(json_object_get(item, "set"));
    if (!key || strcmp(key, FC_KEY_TERM) != 0) continue;
    json_t *written = json_object_get(item, "v");
    const kv_entry *stored = kv_lookup(key);
    if (stored && json_equal(json_object_get(stored->value, "members"), json_object_get(written, "members")))
      return false;
    json_int_t number = stored ? json_integer_value(json_object_get(stored->value, "term")) + 1 : 1;
    bool names_changed = json_equal(json_object_get(written, "since"), json_object_get(written, "term"));
    json_object_set_new(written, "term", json_integer(number));
    if (names_changed) json_object_set_new(written, "since", json_integer(number));
  }
  return true;
}

/* The keys whose conditions do not hold. The caller owns the result. */
static json_t *failed_conditions(const json_t *conditions) {
  json_t *failed = json_array(), *item;
  size_t i;
  json_array_foreach(conditions, i, item) {
    const char *key = json_string_value(json_object_get(item, "key"));
    const kv_entry *entry = kv_lookup(key);
    uint64_t version = entry ? entry->version : 0;
    if (version != (uint64_t)json_integer_value(json_object_get(item, "edition")))
      json_array_append_new(failed, json_string(key));
  }
  return failed;
}

static bool leases_exist(const json_t *changes) {
  json_t *item;
  size_t i;
  json_array_foreach(changes, i, item) {
    const json_t *lease = json_object_get(item, "pass");
    if (lease && !kv_lease_exists((uint64_t)json_integer_value(lease))) return false;
  }
  return true;
}

static void apply_changes(const sim_request *request, const json_t *changes) {
  json_t *item;
  size_t i;
  if (json_array_size(changes) > 0) kv_next_revision();
  json_array_foreach(changes, i, item) {
    const char *key = json_string_value(json_object_get(item, "set"));
    if (key) {
      kv_put(key, json_object_get(item, "v"), (uint64_t)json_integer_value(json_object_get(item, "pass")));
      world_key_written(request->exchange, key);
    } else {
      kv_put(json_string_value(json_object_get(item, "remove")), NULL, 0);
    }
  }
}

/* Whether a transaction exceeds the limits; if so, it has been answered with an error. */
static bool refused_by_limits(const sim_request *request, const json_t *conditions, const json_t *changes) {
  if (kv_too_large(request, conditions, changes)) {
    sim_answer(request->exchange, 400, "{}");
    return true;
  }
  if (!kv_acquire_write_rate(json_array_size(changes))) {
    g_result.over_rate++;
    sim_answer(request->exchange, 429, "{}");
    return true;
  }
  return false;
}

static void compare_and_swap(const sim_request *request, const json_t *conditions, const json_t *changes) {
  if (!leases_exist(changes)) {
    kv_answer(request->exchange, 400, json_pack("{ss}", "error", "no such lease"));
    return;
  }
  json_t *failed = failed_conditions(conditions);
  if (json_array_size(failed) > 0) {
    kv_answer(request->exchange, 409, json_pack("{so sI}", "failed", failed, "round", kv_revision()));
    return;
  }
  json_decref(failed);
  apply_changes(request, changes);
  kv_watches_on_commit(request->body);
  kv_answer(request->exchange, 200, json_pack("{sI}", "round", kv_revision()));
  kv_watches_answer();
}

void kv_commit(const sim_request *request, bool sender_is_former) {
  json_t *body = json_loads(request->body, 0, NULL);
  const json_t *changes = json_object_get(body, "then");
  const json_t *conditions = json_object_get(body, "when");
  if (sender_is_former) {
    remove_announcements(changes);
    if (!renumber_terms(changes)) {
      kv_answer(request->exchange, 409, json_pack("{s[s] sI}", "failed", FC_KEY_TERM, "round", kv_revision()));
      json_decref(body);
      return;
    }
  } else {
    kv_check_announced_limits(request, conditions, changes);
  }
  if (!refused_by_limits(request, conditions, changes)) compare_and_swap(request, conditions, changes);
  json_decref(body);
}
