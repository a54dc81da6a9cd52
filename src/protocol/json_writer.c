/* Writes the JSON texts of json_text.h. */
#include <yajl/yajl_gen.h>

#include "protocol/json_text.h"

#define NUMBER_TEXT_SIZE 64u

static void encode(yajl_gen generator, const json_t *value);

static void encode_object(yajl_gen generator, const json_t *object) {
  const char *name;
  size_t name_length;
  json_t *value;
  (void)yajl_gen_map_open(generator);
  json_object_keylen_foreach((json_t *)object, name, name_length, value) {
    (void)yajl_gen_string(generator, (const unsigned char *)name, name_length);
    encode(generator, value);
  }
  (void)yajl_gen_map_close(generator);
}

static void encode_array(yajl_gen generator, const json_t *array) {
  size_t i;
  json_t *value;
  (void)yajl_gen_array_open(generator);
  json_array_foreach(array, i, value) encode(generator, value);
  (void)yajl_gen_array_close(generator);
}

static void encode_number(yajl_gen generator, const json_t *number) {
  char text[NUMBER_TEXT_SIZE];
  size_t length = json_is_integer(number) ? (size_t)g_snprintf(text, sizeof text, "%" G_GUINT64_FORMAT,
                                                               (guint64)fc_json_count_value(number))
                                          : json_dumpb(number, text, sizeof text, JSON_ENCODE_ANY);
  (void)yajl_gen_number(generator, text, length);
}

/* Values are built by this program and have few levels. */
static void encode(yajl_gen generator, const json_t *value) {
  switch (json_typeof(value)) {
    case JSON_OBJECT:
      encode_object(generator, value);
      break;
    case JSON_ARRAY:
      encode_array(generator, value);
      break;
    case JSON_STRING:
      (void)yajl_gen_string(generator, (const unsigned char *)json_string_value(value), json_string_length(value));
      break;
    case JSON_INTEGER:
    case JSON_REAL:
      encode_number(generator, value);
      break;
    case JSON_TRUE:
    case JSON_FALSE:
      (void)yajl_gen_bool(generator, json_is_true(value));
      break;
    case JSON_NULL:
      (void)yajl_gen_null(generator);
      break;
  }
}

/* Calls `print` with the parts of the text of `value`. */
static void print_value(const json_t *value, yajl_print_t print, void *context) {
  /* All values are built by this program, so a failure here is a bug in it. */
  if (!value) g_error("cannot encode JSON");
  yajl_gen generator = yajl_gen_alloc(NULL);
  yajl_gen_config(generator, yajl_gen_print_callback, print, context);
  encode(generator, value);
  yajl_gen_free(generator);
}

static void count_part(void *context, const char *part, size_t length) {
  (void)part;
  *(size_t *)context += length;
}

static void append_part(void *context, const char *part, size_t length) {
  g_string_append_len(context, part, (gssize)length);
}

size_t fc_json_encoded_bytes(const json_t *value) {
  size_t bytes = 0;
  print_value(value, count_part, &bytes);
  return bytes;
}

void fc_json_append(GString *out, json_t *value) {
  print_value(value, append_part, out);
  json_decref(value);
}
