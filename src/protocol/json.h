/* Reads and validates the fields of parsed JSON: typed fields, errors that name the field. Nothing here
 * suspends the calling routine. */
#ifndef FC_PROTOCOL_JSON_H
#define FC_PROTOCOL_JSON_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "protocol/json_text.h"

/* What is wrong with a field. */
typedef enum {
  FC_FIELD_OK,
  FC_FIELD_MISSING,
  FC_FIELD_NOT_OBJECT,
  FC_FIELD_NOT_ARRAY,
  FC_FIELD_NOT_STRING,
  FC_FIELD_NOT_NUMBER,
  FC_FIELD_NOT_INTEGER,
  FC_FIELD_NOT_BOOL,
  FC_FIELD_EMPTY,
  FC_FIELD_TOO_LONG,
  FC_FIELD_CONTROL_CHARACTER,
  FC_FIELD_OUT_OF_RANGE,
  FC_FIELD_UNKNOWN_VALUE,
  FC_FIELD_TOO_MANY,
  FC_FIELD_NONE_OR_TOO_MANY,
  FC_FIELD_NOT_NAME,
  FC_FIELD_ELEMENT_NOT_NAME,
  FC_FIELD_NAME_WITH_SEPARATOR,
  FC_FIELD_NOT_ENDPOINT,
  FC_FIELD_NOT_TASK,
  FC_FIELD_NOT_JOB_ID,
  FC_FIELD_NOT_JOB_IDS,
  FC_FIELD_ELEMENT_NOT_JOB_ID,
  FC_FIELD_NOT_TYPES,
  FC_FIELD_ELEMENT_NOT_TYPE,
  FC_FIELD_NOT_SLICE,
  FC_FIELD_NOT_HANDOVER,
  FC_FIELD_NOT_DESCRIPTION,
  FC_FIELD_NOT_DESCRIPTION_REF,
  FC_FIELD_ELEMENT_MALFORMED,
} fc_field_error;

/* The text of an error, for users and logs; a constant. */
const char *fc_field_strerror(fc_field_error error);

/* The text of a string; NULL: not a string, or it holds a NUL. */
const char *fc_json_string(const json_t *value);
/* The value of a number; NAN: not a number. */
double fc_json_amount(const json_t *value);

/* Reads the fields of one object. The first error is kept: later reads return the smallest valid
 * value, NULL or their `fallback`, and leave the error as it is. */
typedef struct fc_reader {
  const json_t *object;    /* borrowed */
  const char *array_field; /* the array whose element has the faulty field; NULL: not in an array */
  const char *field;       /* the faulty field, a constant; NULL: the object itself */
  fc_field_error error;
} fc_reader;

/* `object` has to outlive the reader and all strings read with it. Records an error when it is NULL
 * or not an object. */
void fc_reader_init(fc_reader *reader, const json_t *object);
/* Whether no error has been recorded. */
bool fc_reader_ok(const fc_reader *reader);
/* Records an error in a field, unless there is an earlier error. */
void fc_reader_fail(fc_reader *reader, const char *field, fc_field_error error);
/* Records the error of `inner`, the reader of an element of the array `field`. */
void fc_reader_fail_element(fc_reader *reader, const char *field, const fc_reader *inner);
/* Buffer size in bytes that holds every description, including the NUL. */
#define FC_READER_DESCRIPTION_SIZE 160
/* Writes the error as "array_field.field: text". Call it only after an error. */
void fc_reader_describe(const fc_reader *reader, char *out, size_t size);

/* What is wrong with a whole message. */
typedef enum { FC_MESSAGE_NOT_JSON, FC_MESSAGE_NOT_OBJECT, FC_MESSAGE_BAD_FIELD, FC_MESSAGE_FAULTS } fc_message_fault;

/* Why a message can't be read. */
typedef struct fc_message_error {
  fc_message_fault fault;
  size_t offset;                         /* FC_MESSAGE_NOT_JSON: in bytes, where it was noticed; else 0 */
  char text[FC_READER_DESCRIPTION_SIZE]; /* for users and logs: the field, and what is wrong with it */
} fc_message_error;

/* Parses the text of a message, an object; the caller owns the reference. NULL: *error tells why. */
json_t *fc_message_parse(const char *text, size_t length, fc_message_error *error);
/* Whether the reader of a message has recorded no error; else fills in *error. */
bool fc_message_check(const fc_reader *reader, fc_message_error *error);

/* Each fc_read_...() below reads one field. If the field is absent or null, the functions named
 * ..._or and ..._or_null return `fallback` or NULL, and the others record an error. Bounds are
 * inclusive. A count may be written as any number with an integral value, with a fraction or an exponent up to
 * 2^53. Strings are borrowed from the object; they must not be empty, longer than `max` bytes, or
 * contain control characters. */
const char *fc_read_string(fc_reader *reader, const char *field, size_t max);
const char *fc_read_string_or_null(fc_reader *reader, const char *field, size_t max);
/* Copies a string, which has to fit into `out` with its NUL. `out` is unchanged after an error. */
void fc_read_string_into(fc_reader *reader, const char *field, char *out, size_t size);
double fc_read_amount(fc_reader *reader, const char *field, double min, double max);
double fc_read_amount_or(fc_reader *reader, const char *field, double min, double max, double fallback);
uint64_t fc_read_count(fc_reader *reader, const char *field, uint64_t min, uint64_t max);
uint64_t fc_read_count_or(fc_reader *reader, const char *field, uint64_t min, uint64_t max, uint64_t fallback);
bool fc_read_bool(fc_reader *reader, const char *field);
bool fc_read_bool_or(fc_reader *reader, const char *field, bool fallback);
const json_t *fc_read_array(fc_reader *reader, const char *field);
const json_t *fc_read_object(fc_reader *reader, const char *field);
/* The index of the text in `names`; -1: not found. */
int fc_name_index(const char *const *names, size_t count, const char *text);
/* The index of the field's value in `names`; records an error and returns 0 if it is none of them. */
int fc_read_choice(fc_reader *reader, const char *field, const char *const *names, int count);

/* The largest count, version, token or attempt. */
#define FC_COUNT_MAX UINT64_MAX

/* Decodes one element into a newly allocated value; NULL: malformed. */
typedef void *(*fc_json_decoder)(const json_t *element);
/* Appends the decoded elements of an array to `out`, which owns them. Returns the number of malformed
 * elements, which are skipped. NULL is read as an empty array. */
size_t fc_json_decode_list(const json_t *array, fc_json_decoder decode, GPtrArray *out);

#endif
