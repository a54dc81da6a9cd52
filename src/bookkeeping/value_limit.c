#include "bookkeeping/value_limit.h"

#include <glib.h>

#include "protocol/settings.h"

#define MIN_BYTES ((size_t)FC_KV_VALUE_KB_MIN * FC_BYTES_PER_KB)

/* The limit that is tried after a refusal, as a fraction of the refused size. */
#define REFUSED_FRACTION 2

void fc_value_limit_init(fc_value_limit *limit, size_t max_bytes) {
  limit->max_bytes = max_bytes;
}

size_t fc_value_limit_bytes(const fc_value_limit *limit) {
  return limit->max_bytes;
}

void fc_value_limit_refused(fc_value_limit *limit, size_t value_bytes) {
  if (value_bytes <= MIN_BYTES || limit->max_bytes <= MIN_BYTES) return;
  size_t lower = MIN(limit->max_bytes, value_bytes) / REFUSED_FRACTION;
  limit->max_bytes = MAX(lower, MIN_BYTES);
  g_warning("value refused bytes=%zu, limit lowered to=%zu", value_bytes, limit->max_bytes);
}

void fc_value_limit_stored(fc_value_limit *limit, size_t value_bytes) {
  limit->max_bytes = MAX(limit->max_bytes, value_bytes);
}
