/* Limits of the simulated key-value store: a value or transaction that is too large is answered with
 * 400, changes that exceed the write rate with 429. */
#include "kv.h"

#define MAX_CONDITIONS_PER_CHANGE 4u
#define TRANSACTION_MAX_BYTES ((size_t)64 * 1024)
#define DEFAULT_VALUE_KB 8
#define DEFAULT_TRANSACTION_CHANGES 8

typedef struct kv_limits {
  size_t value_bytes;
  unsigned txn_ops;
  double write_rps;          /* 0: no limit; the token bucket below holds at most the changes of one second */
  double tokens, updated_at; /* changes allowed at once, as of updated_at */
} kv_limits;

static kv_limits g_limits;           /* enforced now */
static kv_limits g_announced_limits; /* announced for later; controllers that know them already comply */

void kv_limits_init(void) {
  world_kv_limit(DEFAULT_VALUE_KB, DEFAULT_TRANSACTION_CHANGES, 0);
  kv_set_announced_limits(DEFAULT_VALUE_KB, DEFAULT_TRANSACTION_CHANGES);
}

void kv_set_announced_limits(double value_kb, unsigned txn_ops) {
  g_announced_limits = (kv_limits){.value_bytes = (size_t)(value_kb * 1024), .txn_ops = txn_ops};
}

void world_kv_limit(double value_kb, unsigned txn_ops, double write_rps) {
  g_limits = (kv_limits){(size_t)(value_kb * 1024), txn_ops, write_rps, write_rps, sim_now()};
}

/* Names the limit that the transaction exceeds, in a text valid until the next call; NULL: none. */
static const char *exceeded_limit(const sim_request *request, const json_t *conditions, const json_t *changes,
                                  const kv_limits *limits) {
  static char text[200];
  if (strlen(request->body) > TRANSACTION_MAX_BYTES) return "transaction";
  if (json_array_size(changes) > limits->txn_ops) return "changes of a transaction";
  if (json_array_size(conditions) > (size_t)limits->txn_ops * MAX_CONDITIONS_PER_CHANGE)
    return "conditions of a transaction";
  json_t *item;
  size_t i;
  json_array_foreach(changes, i, item) {
    size_t size = json_dumpb(json_object_get(item, "v"), NULL, 0, JSON_COMPACT | JSON_ENCODE_ANY);
    if (size <= limits->value_bytes) continue;
    g_snprintf(text, sizeof text, "value of %s: %zu bytes", json_string_value(json_object_get(item, "set")), size);
    return text;
  }
  return NULL;
}

void kv_check_announced_limits(const sim_request *request, const json_t *conditions, const json_t *changes) {
  const char *exceeded = exceeded_limit(request, conditions, changes, &g_announced_limits);
  if (exceeded) world_rule_broken("too large for the key-value store", exceeded);
}

bool kv_too_large(const sim_request *request, const json_t *conditions, const json_t *changes) {
  return exceeded_limit(request, conditions, changes, &g_limits) != NULL;
}

bool kv_acquire_write_rate(size_t changes) {
  if (g_limits.write_rps <= 0) return true;
  double refilled = g_limits.tokens + (sim_now() - g_limits.updated_at) * g_limits.write_rps;
  g_limits.tokens = MIN(refilled, g_limits.write_rps);
  g_limits.updated_at = sim_now();
  if (g_limits.tokens < (double)changes) return false;
  g_limits.tokens -= (double)changes;
  return true;
}
