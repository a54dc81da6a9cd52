/* The largest value that the key-value store takes, as far as this controller knows: what the settings
 * say, or less once the store has refused a smaller value, as it may lower its limit without notice.
 * Sizes are those of encoded values, in bytes. Nothing here suspends the calling routine. */
#ifndef FC_BOOKKEEPING_VALUE_LIMIT_H
#define FC_BOOKKEEPING_VALUE_LIMIT_H

#include <stddef.h>

typedef struct fc_value_limit {
  size_t max_bytes;
} fc_value_limit;

/* `max_bytes`: the limit in the settings. */
void fc_value_limit_init(fc_value_limit *limit, size_t max_bytes);
size_t fc_value_limit_bytes(const fc_value_limit *limit);

/* Lowers the limit after the store has refused a value of that size for no other known reason, unless the
 * store may not refuse so small a value for its size. */
void fc_value_limit_refused(fc_value_limit *limit, size_t value_bytes);
/* Raises the limit to the size of a value that the store has taken, if it is lower. */
void fc_value_limit_stored(fc_value_limit *limit, size_t value_bytes);

#endif
