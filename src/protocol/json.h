/* Reads JSON of unknown origin: bounded depth, typed fields, typed errors that name the field. */
#ifndef FC_PROTOCOL_JSON_H
#define FC_PROTOCOL_JSON_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

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
  FC_FIELD_NOT_TRANSFER,
  FC_FIELD_NOT_DESCRIPTION,
  FC_FIELD_NOT_DESCRIPTION_REF,
} fc_field_error;

/* The text of an error, for users and logs; a constant. */
const char *fc_field_strerror(fc_field_error error);

/* NULL unless the text is one JSON value nested no deeper than allowed; the reference is the
 * caller's. */
json_t *fc_json_parse(const char *text, size_t length);

/* Reads the fields of one object. It keeps the first error: later reads return the least valid
 * value, or NULL, and change nothing. */
typedef struct fc_reader {
  const json_t *object; /* borrowed */
  const char *outer;    /* the array field whose element holds the faulty field; NULL: none */
  const char *field;    /* the faulty field, a constant; NULL: the object itself */
  fc_field_error error;
} fc_reader;

/* `object` has to outlive the reader and all strings read with it. An error when it is NULL or
 * no object. */
void fc_reader_init(fc_reader *reader, const json_t *object);
bool fc_reader_ok(const fc_reader *reader);
/* Records an error of a field unless there is one already. */
void fc_reader_fail(fc_reader *reader, const char *field, fc_field_error error);
/* Records the error of `inner`, which read an element of the array `field`. */
void fc_reader_fail_element(fc_reader *reader, const char *field, const fc_reader *inner);
/* Enough for every description. */
#define FC_READER_DESCRIPTION_SIZE 160
/* Writes the error as "outer.field: text"; only after an error. */
void fc_reader_describe(const fc_reader *reader, char *out, size_t size);

/* Each reads one field. A field that is absent or null is an error for the plain functions, and
 * gives NULL or `otherwise` with the others. Bounds are inclusive; strings are borrowed from the
 * object, not empty, at most `most` bytes long and free of control characters. */
const char *fc_read_string(fc_reader *reader, const char *field, size_t most);
const char *fc_read_string_or_null(fc_reader *reader, const char *field, size_t most);
/* Copies a string that has to fit into `out` with its NUL; `out` is unchanged after an error. */
void fc_read_string_into(fc_reader *reader, const char *field, char *out, size_t size);
double fc_read_amount(fc_reader *reader, const char *field, double least, double most);
double fc_read_amount_or(fc_reader *reader, const char *field, double least, double most, double otherwise);
uint64_t fc_read_count(fc_reader *reader, const char *field, uint64_t least, uint64_t most);
uint64_t fc_read_count_or(fc_reader *reader, const char *field, uint64_t least, uint64_t most, uint64_t otherwise);
bool fc_read_bool(fc_reader *reader, const char *field);
bool fc_read_bool_or(fc_reader *reader, const char *field, bool otherwise);
const json_t *fc_read_array(fc_reader *reader, const char *field);
const json_t *fc_read_object(fc_reader *reader, const char *field);
/* The index of the text in `names`; -1: it is none of them. */
int fc_name_index(const char *const *names, size_t count, const char *text);
/* The index of the field's value in `names`; 0, and an error, when it is none of them. */
int fc_read_choice(fc_reader *reader, const char *field, const char *const *names, int count);

/* The largest count that fits a JSON integer. */
#define FC_COUNT_MAX ((uint64_t)INT64_MAX)

/* Makes a value of its own from one element; NULL: malformed. */
typedef void *(*fc_json_decoder)(const json_t *element);
/* Appends the decoded elements of an array to `out`, which owns them, and skips malformed ones.
 * Returns how many it skipped. NULL is read as an empty array. */
size_t fc_json_decode_list(const json_t *array, fc_json_decoder decode, GPtrArray *out);

/* Appends the compact text of `value` to `out` and drops the reference. */
void fc_json_append(GString *out, json_t *value);

#endif
