/* Parses JSON texts into values of jansson, and writes them. Nothing here suspends the calling routine.
 *
 * Every text that RFC 8259 allows is taken, whatever its numbers, strings and nesting: receivers ignore unknown
 * fields, so a value that no known field may have must not make its message malformed. In a parsed value
 * - an integer from 0 to 2^64 - 1 is a json_integer() whose bits are those of a uint64_t;
 * - every other number is a json_real(); one beyond the range of a double is +-DBL_MAX;
 * - a string with an unpaired surrogate holds a NUL instead of its text, so that no reader of a field takes it;
 * - what is nested more deeply than known fields are is left out. */
#ifndef FC_PROTOCOL_JSON_TEXT_H
#define FC_PROTOCOL_JSON_TEXT_H

#include <glib.h>
#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

/* Parses one JSON value; the caller owns the reference. NULL: `text` is NULL or not JSON; then *error_at, unless
 * `error_at` is NULL, is the offset in bytes at which that was noticed. */
json_t *fc_json_parse(const char *text, size_t length, size_t *error_at);

/* The value of a json_integer(); 0 for any other value. */
static inline uint64_t fc_json_count_value(const json_t *integer) {
  return (uint64_t)json_integer_value(integer);
}

/* The number of bytes of `value` as compact JSON text. */
size_t fc_json_encoded_bytes(const json_t *value);
/* Appends `value` as compact JSON text to `out`, and takes its reference. Integers are written as unsigned. */
void fc_json_append(GString *out, json_t *value);

#endif
