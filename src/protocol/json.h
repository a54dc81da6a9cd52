/* Reading JSON of unknown origin: bounded depth, typed fields, named errors. */
#ifndef FC_PROTOCOL_JSON_H
#define FC_PROTOCOL_JSON_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/* NULL unless the text is one JSON value nested no deeper than we allow. */
json_t *fc_json_parse(const char *text, size_t len);

/* A reader collects the first error; later calls change nothing. */
typedef struct fc_reader {
  const json_t *object;
  char error[160]; /* "" while all is well; names the field */
} fc_reader;

void fc_reader_init(fc_reader *reader, const json_t *object);
bool fc_reader_ok(const fc_reader *reader);
void fc_reader_fail(fc_reader *reader, const char *field, const char *what);
const char *fc_read_string(fc_reader *reader, const char *field, size_t most);
const char *fc_read_string_or_null(fc_reader *reader, const char *field, size_t most);
double fc_read_amount(fc_reader *reader, const char *field, double least, double most);
double fc_read_amount_or(fc_reader *reader, const char *field, double least, double most, double otherwise);
uint64_t fc_read_count(fc_reader *reader, const char *field, uint64_t least, uint64_t most);
uint64_t fc_read_count_or(fc_reader *reader, const char *field, uint64_t least, uint64_t most, uint64_t otherwise);
bool fc_read_bool(fc_reader *reader, const char *field);
bool fc_read_bool_or(fc_reader *reader, const char *field, bool otherwise);
const json_t *fc_read_array(fc_reader *reader, const char *field);
const json_t *fc_read_object(fc_reader *reader, const char *field);

/* Appends the compact text of `value` to `out` and drops the reference. */
void fc_json_append(GString *out, json_t *value);

#endif
