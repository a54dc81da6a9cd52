#include "protocol/json.h"

#include <math.h>
#include <string.h>

#define CHOICE_LENGTH_MAX 256u
/* Up to here each integer is a double of its own. */
#define EXACT_REAL_MAX 9007199254740992.0

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
    [FC_FIELD_CONTROL_CHARACTER] = "control character or unpaired surrogate",
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
    [FC_FIELD_ELEMENT_MALFORMED] = "holds something malformed",
};

const char *fc_field_strerror(fc_field_error error) {
  return k_field_errors[error];
}

const char *fc_json_string(const json_t *value) {
  const char *text = json_string_value(value);
  return text && strlen(text) == json_string_length(value) ? text : NULL;
}

double fc_json_amount(const json_t *value) {
  if (json_is_integer(value)) return (double)fc_json_count_value(value);
  return json_is_real(value) ? json_real_value(value) : NAN;
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

json_t *fc_message_parse(const char *text, size_t length, fc_message_error *error) {
  size_t error_at;
  json_t *value = fc_json_parse(text, length, &error_at);
  if (json_is_object(value)) return value;
  if (value) {
    *error = (fc_message_error){.fault = FC_MESSAGE_NOT_OBJECT, .text = "body: not an object"};
  } else {
    *error = (fc_message_error){.fault = FC_MESSAGE_NOT_JSON, .offset = error_at, .text = "body: not JSON"};
  }
  json_decref(value);
  return NULL;
}

bool fc_message_check(const fc_reader *reader, fc_message_error *error) {
  if (fc_reader_ok(reader)) return true;
  *error = (fc_message_error){.fault = FC_MESSAGE_BAD_FIELD};
  fc_reader_describe(reader, error->text, sizeof error->text);
  return false;
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
  double amount = fc_json_amount(value);
  if (amount < min || amount > max) {
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

/* Converts a number to a count. JSON does not distinguish 3 from 3.0. */
static fc_field_error count_from_number(const json_t *value, uint64_t *count) {
  if (json_is_integer(value)) {
    *count = fc_json_count_value(value);
    return FC_FIELD_OK;
  }
  if (!json_is_real(value)) return FC_FIELD_NOT_INTEGER;
  double number = json_real_value(value);
  if (number != floor(number)) return FC_FIELD_NOT_INTEGER;
  if (number < 0 || number > EXACT_REAL_MAX) return FC_FIELD_OUT_OF_RANGE;
  *count = (uint64_t)number;
  return FC_FIELD_OK;
}

static uint64_t check_count(fc_reader *reader, const json_t *value, const char *field, uint64_t min, uint64_t max) {
  uint64_t count = 0;
  fc_field_error error = count_from_number(value, &count);
  if (error == FC_FIELD_OK && (count < min || count > max)) error = FC_FIELD_OUT_OF_RANGE;
  if (error == FC_FIELD_OK) return count;
  fc_reader_fail(reader, field, error);
  return min;
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
