#include "protocol/json.h"

#include <math.h>
#include <string.h>

/* jansson recurses once per level. Its own bound (2048) is more than the small
 * stack of a routine holds, so deep texts are refused before it sees them. */
#define DEPTH_MAX 24

static bool too_deep(const char *text, size_t len) {
  int depth = 0;
  bool in_string = false;
  for (size_t i = 0; i < len; i++) {
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

json_t *fc_json_parse(const char *text, size_t len) {
  if (!text || too_deep(text, len)) return NULL;
  return json_loadb(text, len, JSON_DECODE_ANY, NULL);
}

void fc_reader_init(fc_reader *reader, const json_t *object) {
  reader->object = object;
  reader->error[0] = '\0';
  if (!json_is_object(object)) g_strlcpy(reader->error, "not an object", sizeof reader->error);
}

bool fc_reader_ok(const fc_reader *reader) {
  return reader->error[0] == '\0';
}

void fc_reader_fail(fc_reader *reader, const char *field, const char *what) {
  if (fc_reader_ok(reader)) g_snprintf(reader->error, sizeof reader->error, "%s: %s", field, what);
}

/* The field's value, NULL when it is absent or null. */
static const json_t *field_of(fc_reader *reader, const char *field) {
  if (!fc_reader_ok(reader)) return NULL;
  const json_t *v = json_object_get(reader->object, field);
  return json_is_null(v) ? NULL : v;
}

static const char *check_string(fc_reader *reader, const json_t *v, const char *field, size_t most) {
  if (!json_is_string(v)) {
    fc_reader_fail(reader, field, "not a string");
    return NULL;
  }
  size_t len = json_string_length(v);
  if (len == 0 || len > most) {
    fc_reader_fail(reader, field, len == 0 ? "empty" : "too long");
    return NULL;
  }
  /* Names go into keys, logs and packed fields: control characters never do. */
  const char *s = json_string_value(v);
  for (size_t i = 0; i < len; i++) {
    if ((unsigned char)s[i] < 0x20 || s[i] == 0x7f) {
      fc_reader_fail(reader, field, "control character");
      return NULL;
    }
  }
  return s;
}

const char *fc_read_string(fc_reader *reader, const char *field, size_t most) {
  const json_t *v = field_of(reader, field);
  if (!v) {
    fc_reader_fail(reader, field, "missing");
    return NULL;
  }
  return check_string(reader, v, field, most);
}

const char *fc_read_string_or_null(fc_reader *reader, const char *field, size_t most) {
  const json_t *v = field_of(reader, field);
  return v ? check_string(reader, v, field, most) : NULL;
}

static double check_amount(fc_reader *reader, const json_t *v, const char *field, double least, double most) {
  if (!json_is_number(v)) {
    fc_reader_fail(reader, field, "not a number");
    return least;
  }
  double d = json_number_value(v);
  if (!isfinite(d) || d < least || d > most) {
    fc_reader_fail(reader, field, "out of range");
    return least;
  }
  return d;
}

double fc_read_amount(fc_reader *reader, const char *field, double least, double most) {
  const json_t *v = field_of(reader, field);
  if (!v) {
    fc_reader_fail(reader, field, "missing");
    return least;
  }
  return check_amount(reader, v, field, least, most);
}

double fc_read_amount_or(fc_reader *reader, const char *field, double least, double most, double otherwise) {
  const json_t *v = field_of(reader, field);
  return v ? check_amount(reader, v, field, least, most) : otherwise;
}

static uint64_t check_count(fc_reader *reader, const json_t *v, const char *field, uint64_t least, uint64_t most) {
  if (!json_is_integer(v)) {
    fc_reader_fail(reader, field, "not an integer");
    return least;
  }
  json_int_t i = json_integer_value(v);
  if (i < 0 || (uint64_t)i < least || (uint64_t)i > most) {
    fc_reader_fail(reader, field, "out of range");
    return least;
  }
  return (uint64_t)i;
}

uint64_t fc_read_count(fc_reader *reader, const char *field, uint64_t least, uint64_t most) {
  const json_t *v = field_of(reader, field);
  if (!v) {
    fc_reader_fail(reader, field, "missing");
    return least;
  }
  return check_count(reader, v, field, least, most);
}

uint64_t fc_read_count_or(fc_reader *reader, const char *field, uint64_t least, uint64_t most, uint64_t otherwise) {
  const json_t *v = field_of(reader, field);
  return v ? check_count(reader, v, field, least, most) : otherwise;
}

bool fc_read_bool(fc_reader *reader, const char *field) {
  const json_t *v = field_of(reader, field);
  if (!json_is_boolean(v)) {
    fc_reader_fail(reader, field, v ? "not true or false" : "missing");
    return false;
  }
  return json_is_true(v);
}

bool fc_read_bool_or(fc_reader *reader, const char *field, bool otherwise) {
  const json_t *v = field_of(reader, field);
  if (!v) return otherwise;
  if (!json_is_boolean(v)) {
    fc_reader_fail(reader, field, "not true or false");
    return otherwise;
  }
  return json_is_true(v);
}

const json_t *fc_read_array(fc_reader *reader, const char *field) {
  const json_t *v = field_of(reader, field);
  if (!json_is_array(v)) {
    fc_reader_fail(reader, field, v ? "not an array" : "missing");
    return NULL;
  }
  return v;
}

const json_t *fc_read_object(fc_reader *reader, const char *field) {
  const json_t *v = field_of(reader, field);
  if (!json_is_object(v)) {
    fc_reader_fail(reader, field, v ? "not an object" : "missing");
    return NULL;
  }
  return v;
}

static int append_chunk(const char *buffer, size_t size, void *data) {
  g_string_append_len(data, buffer, (gssize)size);
  return 0;
}

void fc_json_append(GString *out, json_t *value) {
  /* Values are built by this program; a failure here is a defect of its own. */
  if (!value || json_dump_callback(value, append_chunk, out, JSON_COMPACT | JSON_ENCODE_ANY) != 0)
    g_error("cannot encode JSON");
  json_decref(value);
}
