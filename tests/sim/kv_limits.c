/* Limits of the simulated key-value store: a larger value or transaction gets 400, changes
 * beyond the rate 429. */
#include "kv.h"

#define CONDITIONS_PER_CHANGE 4u
#define TRANSACTION_BYTES ((size_t)64 * 1024)
#define USUAL_VALUE_KB 8
#define USUAL_TRANSACTION_CHANGES 8

typedef struct kv_limits {
  size_t value_bytes;
  unsigned txn_ops;
  double write_rps;         /* 0: no limit */
  double level, updated_at; /* changes that may come at once, and when that was so */
} kv_limits;

static kv_limits g_limits;           /* the present ones */
static kv_limits g_announced_limits; /* what controllers that know of them already keep to */

void kv_limits_init(void) {
  world_kv_limit(USUAL_VALUE_KB, USUAL_TRANSACTION_CHANGES, 0);
  kv_set_announced_limits(USUAL_VALUE_KB, USUAL_TRANSACTION_CHANGES);
}

void kv_set_announced_limits(double value_kb, unsigned txn_ops) {
  g_announced_limits = (kv_limits){.value_bytes = (size_t)(value_kb * 1024), .txn_ops = txn_ops};
}

void world_kv_limit(double value_kb, unsigned txn_ops, double write_rps) {
  g_limits = (kv_limits){(size_t)(value_kb * 1024), txn_ops, write_rps, write_rps, sim_now()};
}

/* Why the transaction is larger than the limits, a text that is good until the next call; NULL:
 * it is not. */
static const char *why_too_large(const sim_request *request, const json_t *conditions, const json_t *changes,
                                 const kv_limits *limits) {
  static char why[200];
  if (strlen(request->body) > TRANSACTION_BYTES) return "transaction";
  if (json_array_size(changes) > limits->txn_ops) return "changes of a transaction";
  if (json_array_size(conditions) > (size_t)limits->txn_ops * CONDITIONS_PER_CHANGE)
    return "conditions of a transaction";
  json_t *item;
  size_t i;
  json_array_foreach(changes, i, item) {
    size_t size = json_dumpb(json_object_get(item, "v"), NULL, 0, JSON_COMPACT | JSON_ENCODE_ANY);
    if (size <= limits->value_bytes) continue;
    g_snprintf(why, sizeof why, "value of %s: %zu bytes", json_string_value(json_object_get(item, "set")), size);
    return why;
  }
  return NULL;
}

void kv_check_announced_limits(const sim_request *request, const json_t *conditions, const json_t *changes) {
  const char *why = why_too_large(request, conditions, changes, &g_announced_limits);
  if (why) world_rule_broken("too large for the key-value store", why);
}

bool kv_too_large(const sim_request *request, const json_t *conditions, const json_t *changes) {
  return why_too_large(request, conditions, changes, &g_limits) != NULL;
}

bool kv_within_rate(size_t changes) {
  if (g_limits.write_rps <= 0) return true;
  double grown = g_limits.level + (sim_now() - g_limits.updated_at) * g_limits.write_rps;
  g_limits.level = MIN(grown, g_limits.write_rps);
  g_limits.updated_at = sim_now();
  if (g_limits.level < (double)changes) return false;
  g_limits.level -= (double)changes;
  return true;
}
