#include "protocol/json_text.h"

#include <errno.h>
#include <float.h>
#include <math.h>
#include <stdbool.h>
#include <string.h>
#include <yajl/yajl_parse.h>

/* Levels of nesting that are built; known fields have at most 7. jansson frees a value by recursion, once for each
 * level, on the small stack of a routine. */
#define BUILT_LEVELS_MAX 16u
/* Bytes of a number, with the NUL, that is converted without allocation. */
#define SHORT_NUMBER_SIZE 64u

/* A string or name that can't be held as UTF-8. */
static const char k_unpaired_surrogate[] = {'\0'};

/* Builds a value from the parser's events. */
typedef struct builder {
  const char *text;
  size_t length;
  yajl_handle parser;
  size_t token_end;               /* offset of the end of the last token that is a value, a name or a bracket */
  json_t *root;                   /* owned; NULL: nothing yet */
  json_t *open[BUILT_LEVELS_MAX]; /* containers that are not complete, outermost first; borrowed */
  size_t levels;                  /* open containers, including those that are not built */
  json_t *name;                   /* of the next member, a string; owned */
} builder;

static bool is_built(const builder *builder) {
  return builder->levels <= BUILT_LEVELS_MAX;
}

/* Adds a value, whose reference it takes, to the innermost container. */
static void add_value(builder *builder, json_t *value) {
  if (builder->levels == 0) {
    builder->root = value;
    return;
  }
  json_t *container = builder->open[builder->levels - 1];
  if (json_is_array(container)) {
    (void)json_array_append_new(container, value);
    return;
  }
  (void)json_object_setn_new_nocheck(container, json_string_value(builder->name), json_string_length(builder->name),
                                     value);
}

/* To be called at the end of each event. */
static int event_done(builder *builder) {
  builder->token_end = yajl_get_bytes_consumed(builder->parser);
  return 1; /* go on */
}

static int on_null(void *context) {
  builder *builder = context;
  if (is_built(builder)) add_value(builder, json_null());
  return event_done(builder);
}

static int on_boolean(void *context, int value) {
  builder *builder = context;
  if (is_built(builder)) add_value(builder, json_boolean(value));
  return event_done(builder);
}

static bool is_count(const char *number) {
  return number[strspn(number, "0123456789")] == '\0';
}

static json_t *number_from_text(const char *text) {
  if (is_count(text)) {
    errno = 0;
    guint64 count = g_ascii_strtoull(text, NULL, 10);
    if (errno == 0) return json_integer((json_int_t)count);
  }
  if (strcmp(text, "-0") == 0) return json_integer(0);
  double value = g_ascii_strtod(text, NULL);
  return json_real(isinf(value) ? copysign(DBL_MAX, value) : value);
}

static int on_number(void *context, const char *text, size_t length) {
  builder *builder = context;
  if (is_built(builder)) {
    char small[SHORT_NUMBER_SIZE];
    g_autofree char *large = length < sizeof small ? NULL : g_strndup(text, length);
    if (!large) {
      memcpy(small, text, length);
      small[length] = '\0';
    }
    add_value(builder, number_from_text(large ? large : small));
  }
  return event_done(builder);
}

/* Decodes the string token that ends here. The parser replaces unpaired surrogates, jansson refuses them. */
static json_t *decode_token(const builder *builder) {
  size_t end = yajl_get_bytes_consumed(builder->parser);
  const char *after_last = builder->text + builder->token_end;
  const char *token = memchr(after_last, '"', end - builder->token_end);
  json_t *value =
      token ? json_loadb(token, (size_t)(builder->text + end - token), JSON_DECODE_ANY | JSON_ALLOW_NUL, NULL) : NULL;
  return value ? value : json_stringn_nocheck(k_unpaired_surrogate, sizeof k_unpaired_surrogate);
}

/* The string or name of an event. Its bytes are those of the text unless it has escapes. */
static json_t *string_of_event(const builder *builder, const unsigned char *bytes, size_t length) {
  uintptr_t at = (uintptr_t)bytes, text = (uintptr_t)builder->text;
  bool has_escapes = at < text || at >= text + builder->length;
  return has_escapes ? decode_token(builder) : json_stringn_nocheck((const char *)bytes, length);
}

static int on_string(void *context, const unsigned char *bytes, size_t length) {
  builder *builder = context;
  if (is_built(builder)) add_value(builder, string_of_event(builder, bytes, length));
  return event_done(builder);
}

static int on_name(void *context, const unsigned char *bytes, size_t length) {
  builder *builder = context;
  if (is_built(builder)) {
    json_decref(builder->name);
    builder->name = string_of_event(builder, bytes, length);
  }
  return event_done(builder);
}

static int open_container(builder *builder, json_t *(*create)(void)) {
  if (builder->levels < BUILT_LEVELS_MAX) {
    json_t *container = create();
    add_value(builder, container);
    builder->open[builder->levels] = container;
  }
  builder->levels++;
  return event_done(builder);
}

static int on_object_start(void *context) {
  return open_container(context, json_object);
}

static int on_array_start(void *context) {
  return open_container(context, json_array);
}

static int on_container_end(void *context) {
  builder *builder = context;
  builder->levels--;
  return event_done(builder);
}

static const yajl_callbacks k_events = {
    .yajl_null = on_null,
    .yajl_boolean = on_boolean,
    .yajl_number = on_number,
    .yajl_string = on_string,
    .yajl_start_map = on_object_start,
    .yajl_map_key = on_name,
    .yajl_end_map = on_container_end,
    .yajl_start_array = on_array_start,
    .yajl_end_array = on_container_end,
};

/* Whether all bytes may be in a JSON text, which the parser does not check: valid UTF-8, and no control
 * characters but those of white space. Else *error_at is the offset of the first that may not. */
static bool has_only_json_characters(const char *text, size_t length, size_t *error_at) {
  const char *end = text;
  if (!g_utf8_validate_len(text, length, &end)) {
    *error_at = (size_t)(end - text);
    return false;
  }
  for (size_t i = 0; i < length; i++) {
    unsigned char ch = (unsigned char)text[i];
    if (ch >= ' ' || ch == '\t' || ch == '\n' || ch == '\r') continue;
    *error_at = i;
    return false;
  }
  return true;
}

/* Whether only white space follows the value. The parser does not notice the beginning of a string, a number or a
 * literal there. */
static bool ends_after_value(const builder *builder, size_t *error_at) {
  if (!builder->root) return true; /* a number at the end of the text */
  size_t offset = builder->token_end;
  while (offset < builder->length && strchr(" \t\r\n", builder->text[offset])) offset++;
  if (offset == builder->length) return true;
  *error_at = offset;
  return false;
}

/* Runs the parser over the whole text. */
static bool run_parser(builder *builder, size_t *error_at) {
  builder->parser = yajl_alloc(&k_events, NULL, builder);
  yajl_config(builder->parser, yajl_dont_validate_strings, 1); /* checked already */
  bool parsed = yajl_parse(builder->parser, (const unsigned char *)builder->text, builder->length) == yajl_status_ok;
  *error_at = parsed ? builder->length : yajl_get_bytes_consumed(builder->parser);
  parsed = parsed && ends_after_value(builder, error_at) && yajl_complete_parse(builder->parser) == yajl_status_ok;
  yajl_free(builder->parser);
  json_decref(builder->name);
  return parsed;
}

json_t *fc_json_parse(const char *text, size_t length, size_t *error_at) {
  size_t offset = 0;
  builder builder = {.text = text, .length = length};
  bool parsed = text && has_only_json_characters(text, length, &offset) && run_parser(&builder, &offset);
  if (error_at) *error_at = offset;
  if (parsed) return builder.root;
  json_decref(builder.root);
  return NULL;
}
