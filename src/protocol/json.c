#include "protocol/json.h"

#include <math.h>
#include <string.h>

/* Levels of nesting. jansson recurses once for each level, and its own bound (2048) would overflow
 * the small stack of a routine, so texts nested deeper than this are refused before parsing. */
#define DEPTH_MAX 24
#define CHOICE_LENGTH_MAX 256u

static const char *const k_field_errors[] = {
    [FC_FIELD_OK] = "",
    [FC_FIELD_MISSING] = "missing",
    [FC_FIELD_NOT_OBJECT] = "not an object",
    [FC_FIELD_NOT_ARRAY] = "not an array",
    [FC_FIELD_NOT_STRING] = "not a string",
    [FC_FIELD_NOT_NUMBER] = "not a number",
    [FC_FIELD_NOT_INTEGER] = "not an integer",
    [FC_FIELD_NOT_BOOL] = "not true or false",
    [FC_FIELD_EMPTY] = "empty",
    [FC_FIELD_TOO_LONG] = "too long",
    [FC_FIELD_CONTROL_CHARACTER] = "control character",
    [FC_FIELD_OUT_OF_RANGE] = "out of range",
    [FC_FIELD_UNKNOWN_VALUE] = "unknown value",
    [FC_FIELD_TOO_MANY] = "too many",
    [FC_FIELD_NONE_OR_TOO_MANY] = "none, or too many",
    [FC_FIELD_NOT_NAME] = "not a name",
    [FC_FIELD_ELEMENT_NOT_NAME] = "holds something that is not a name",
    [FC_FIELD_NAME_WITH_SEPARATOR] = "holds a space or a slash",
    [FC_FIELD_NOT_ENDPOINT] = "not an address like 10.0.0.1:8080",
    [FC_FIELD_NOT_TASK] = "not a task",
    [FC_FIELD_NOT_JOB_ID] = "not of the form job-000412",
    [FC_FIELD_NOT_JOB_IDS] = "not an array of job ids",
    [FC_FIELD_ELEMENT_NOT_JOB_ID] = "holds something that is not a job id",
    [FC_FIELD_NOT_TYPES] = "not a short array of types",
    [FC_FIELD_ELEMENT_NOT_TYPE] = "holds something that is not a type",
    [FC_FIELD_NOT_SLICE] = "not a slice of the job",
    [FC_FIELD_NOT_HANDOVER] = "not a transfer of a slice of the job",
    [FC_FIELD_NOT_DESCRIPTION] = "not a description",
    [FC_FIELD_NOT_DESCRIPTION_REF] = "not a digest and a number of parts",
};

const char *fc_field_strerror(fc_field_error error) {
  return k_field_errors[error];
}

static bool nested_too_deeply(const char *text, size_t length) {
  int depth = 0;
  bool in_string = false;
  for (size_t i = 0; i < length; i++) {
    char ch = text[i];
    if (in_string) {
      if (ch == '\\') {
        i++;
      } else if (ch == '"') {
        in_string = false;
      }
    } else if (ch == '"') {
      in_string = true;
    } else if (ch == '[' || ch == '{') {
      if (++depth > DEPTH_MAX) return true;
    } else if (ch == ']' || ch == '}') {
      depth--;
    }
  }
  return false;
}

json_t *fc_json_parse(const char *text, size_t length) {
  if (!text || nested_too_deeply(text, length)) return NULL;
  return json_loadb(text, length, JSON_DECODE_ANY, NULL);
}

void fc_reader_init(fc_reader *reader, const json_t *object) {
  *reader = (fc_reader){.object = object};
  if (!json_is_object(object)) reader->error = FC_FIELD_NOT_OBJECT;
}

bool fc_reader_ok(const fc_reader *reader) {
  return reader->error == FC_FIELD_OK;
}

void fc_reader_fail(fc_reader *reader, const char *field, fc_field_error error) {
  if (!fc_reader_ok(reader)) return;
  reader->field = field;
  reader->error = error;
}

void fc_reader_fail_element(fc_reader *reader, const char *field, const fc_reader *inner) {
  if (!fc_reader_ok(reader)) return;
  reader->array_field = field;
  reader->field = inner->field;
  reader->error = inner->error;
}

void fc_reader_describe(const fc_reader *reader, char *out, size_t size) {
  g_snprintf(out, size, "%s%s%s%s%s", reader->array_field ? reader->array_field : "", reader->array_field ? "." : "",
             reader->field ? reader->field : "", reader->field ? ": " : "", fc_field_strerror(reader->error));
}

/* The field's value; NULL if it is absent or null, or after an error. */
static const json_t *optional_field(fc_reader *reader, const char *field) {
  if (!fc_reader_ok(reader)) return NULL;
  const json_t *value = json_object_get(reader->object, field);
  return json_is_null(value) ? NULL : value;
}

/* The field's value; records an error if it is absent or null. */
static const json_t *required_field(fc_reader *reader, const char *field) {
  const json_t *value = optional_field(reader, field);
  if (!value) fc_reader_fail(reader, field, FC_FIELD_MISSING);
  return value;
}

static const char *check_string(fc_reader *reader, const json_t *value, const char *field, size_t max) {
  if (!json_is_string(value)) {
    fc_reader_fail(reader, field, FC_FIELD_NOT_STRING);
    return NULL;
  }
  size_t length = json_string_length(value);
  if (length == 0 || length > max) {
    fc_reader_fail(reader, field, length == 0 ? FC_FIELD_EMPTY : FC_FIELD_TOO_LONG);
    return NULL;
  }
  /* Strings become parts of keys, log lines and text fields of peer frames, none of which may contain
   * control characters. */
  const char *text = json_string_value(value);
  for (size_t i = 0; i < length; i++) {
    if (g_ascii_iscntrl(text[i])) {
      fc_reader_fail(reader, field, FC_FIELD_CONTROL_CHARACTER);
      return NULL;
    }
  }
  return text;
}

const char *fc_read_string(fc_reader *reader, const char *field, size_t max) {
  const json_t *value = required_field(reader, field);
  return value ? check_string(reader, value, field, max) : NULL;
}

const char *fc_read_string_or_null(fc_reader *reader, const char *field, size_t max) {
  const json_t *value = optional_field(reader, field);
  return value ? check_string(reader, value, field, max) : NULL;
}

void fc_read_string_into(fc_reader *reader, const char *field, char *out, size_t size) {
  const char *text = fc_read_string(reader, field, size - 1);
  if (text) g_strlcpy(out, text, size);
}

static double check_amount(fc_reader *reader, const json_t *value, const char *field, double min, double max) {
  if (!json_is_number(value)) {
    fc_reader_fail(reader, field, FC_FIELD_NOT_NUMBER);
    return min;
  }
  double amount = json_number_value(value);
  if (!isfinite(amount) || amount < min || amount > max) {
    fc_reader_fail(reader, field, FC_FIELD_OUT_OF_RANGE);
    return min;
  }
  return amount;
}

double fc_read_amount(fc_reader *reader, const char *field, double min, double max) {
  const json_t *value = required_field(reader, field);
  return value ? check_amount(reader, value, field, min, max) : min;
}

double fc_read_amount_or(fc_reader *reader, const char *field, double min, double max, double fallback) {
  const json_t *value = optional_field(reader, field);
  return value ? check_amount(reader, value, field, min, max) : fallback;
}

static uint64_t check_count(fc_reader *reader, const json_t *value, const char *field, uint64_t min, uint64_t max) {
  if (!json_is_integer(value)) {
    fc_reader_fail(reader, field, FC_FIELD_NOT_INTEGER);
    return min;
  }
  json_int_t count = json_integer_value(value);
  if (count < 0 || (uint64_t)count < min || (uint64_t)count > max) {
    fc_reader_fail(reader, field, FC_FIELD_OUT_OF_RANGE);
    return min;
  }
  return (uint64_t)count;
}

uint64_t fc_read_count(fc_reader *reader, const char *field, uint64_t min, uint64_t max) {
  const json_t *value = required_field(reader, field);
  return value ? check_count(reader, value, field, min, max) : min;
}

uint64_t fc_read_count_or(fc_reader *reader, const char *field, uint64_t min, uint64_t max, uint64_t fallback) {
  const json_t *value = optional_field(reader, field);
  return value ? check_count(reader, value, field, min, max) : fallback;
}

static bool check_bool(fc_reader *reader, const json_t *value, const char *field, bool fallback) {
  if (json_is_boolean(value)) return json_is_true(value);
  fc_reader_fail(reader, field, FC_FIELD_NOT_BOOL);
  return fallback;
}

bool fc_read_bool(fc_reader *reader, const char *field) {
  const json_t *value = required_field(reader, field);
  return value ? check_bool(reader, value, field, false) : false;
}

bool fc_read_bool_or(fc_reader *reader, const char *field, bool fallback) {
  const json_t *value = optional_field(reader, field);
  return value ? check_bool(reader, value, field, fallback) : fallback;
}

const json_t *fc_read_array(fc_reader *reader, const char *field) {
  const json_t *value = required_field(reader, field);
  if (!value || json_is_array(value)) return value;
  fc_reader_fail(reader, field, FC_FIELD_NOT_ARRAY);
  return NULL;
}

const json_t *fc_read_object(fc_reader *reader, const char *field) {
  const json_t *value = required_field(reader, field);
  if (!value || json_is_object(value)) return value;
  fc_reader_fail(reader, field, FC_FIELD_NOT_OBJECT);
  return NULL;
}

int fc_name_index(const char *const *names, size_t count, const char *text) {
  for (size_t i = 0; i < count; i++)
    if (strcmp(text, names[i]) == 0) return (int)i;
  return -1;
}

int fc_read_choice(fc_reader *reader, const char *field, const char *const *names, int count) {
  const char *text = fc_read_string(reader, field, CHOICE_LENGTH_MAX);
  if (!text) return 0;
  int choice = fc_name_index(names, (size_t)count, text);
  if (choice >= 0) return choice;
  fc_reader_fail(reader, field, FC_FIELD_UNKNOWN_VALUE);
  return 0;
}

size_t fc_json_decode_list(const json_t *array, fc_json_decoder decode, GPtrArray *out) {
  size_t skipped = 0;
  size_t i;
  json_t *element;
  json_array_foreach(array, i, element) {
    void *decoded = decode(element);
    if (decoded) {
      g_ptr_array_add(out, decoded);
    } else {
      skipped++;
    }
  }
  return skipped;
}

static int append_chunk(const char *chunk, size_t size, void *out) {
  g_string_append_len(out, chunk, (gssize)size);
  return 0;
}

size_t fc_json_encoded_bytes(const json_t *value) {
  return json_dumpb(value, NULL, 0, JSON_COMPACT);
}

void fc_json_append(GString *out, json_t *value) {
  /* All values are built by this program, so a failure here is a bug in it. */
  if (!value || json_dump_callback(value, append_chunk, out, JSON_COMPACT | JSON_ENCODE_ANY) != 0)
    g_error("cannot encode JSON");
  json_decref(value);
}
