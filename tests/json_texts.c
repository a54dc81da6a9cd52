#include "json_texts.h"

#include <stdbool.h>
#include <string.h>

#define NESTED_LEVELS_MAX 5 /* of values that are drawn one in the other */
#define ELEMENTS_MAX 5
#define CHARACTERS_MAX 12
#define LONG_NUMBER_DIGITS_MAX 400
#define DEEP_SHARE 0.06
#define WIDE_SHARE 0.06
#define WHITE_SPACE_SHARE 0.15
#define MEMBERS_MAX 6

static bool chance(GRand *rand, double share) {
  return g_rand_double(rand) < share;
}

static guint below(GRand *rand, guint limit) {
  return (guint)g_rand_int_range(rand, 0, (gint32)limit);
}

static const char *pick(GRand *rand, const char *const *texts, guint count) {
  return texts[below(rand, count)];
}

static void append_white_space(GString *out, GRand *rand) {
  static const char k_white_space[] = " \t\r\n";
  while (chance(rand, WHITE_SPACE_SHARE)) g_string_append_c(out, k_white_space[below(rand, 4)]);
}

/* ---- numbers ---- */

static void append_digits(GString *out, GRand *rand, guint count) {
  g_string_append_c(out, (char)('1' + below(rand, 9)));
  for (guint i = 1; i < count; i++) g_string_append_c(out, (char)('0' + below(rand, 10)));
}

static void append_random_number(GString *out, GRand *rand) {
  if (chance(rand, 0.4)) g_string_append_c(out, '-');
  if (chance(rand, 0.2)) {
    g_string_append_c(out, '0');
  } else {
    append_digits(out, rand, 1 + below(rand, chance(rand, 0.2) ? LONG_NUMBER_DIGITS_MAX : 22));
  }
  if (chance(rand, 0.4)) {
    g_string_append_c(out, '.');
    append_digits(out, rand, 1 + below(rand, 20));
  }
  if (chance(rand, 0.4)) {
    static const char *const k_signs[] = {"e", "E", "e+", "E+", "e-", "E-"};
    g_string_append(out, pick(rand, k_signs, G_N_ELEMENTS(k_signs)));
    g_string_append_printf(out, "%u", below(rand, chance(rand, 0.5) ? 30 : 100000));
  }
}

static void append_number(GString *out, GRand *rand) {
  static const char *const k_numbers[] = {"0",
                                          "-0",
                                          "-0.0",
                                          "-7",
                                          "9007199254740993",
                                          "9223372036854775807",
                                          "9223372036854775808",
                                          "-9223372036854775809",
                                          "18446744073709551615",
                                          "18446744073709551616",
                                          "1e308",
                                          "1e309",
                                          "-1E+999",
                                          "1e-999",
                                          "0e00000000000000000001"};
  if (chance(rand, 0.5)) {
    g_string_append(out, pick(rand, k_numbers, G_N_ELEMENTS(k_numbers)));
  } else {
    append_random_number(out, rand);
  }
}

/* ---- strings ---- */

static void append_character(GString *out, GRand *rand) {
  static const char *const k_escapes[] = {"\\\"",
                                          "\\\\",
                                          "\\/",
                                          "\\b",
                                          "\\f",
                                          "\\n",
                                          "\\r",
                                          "\\t",
                                          "\\u0000",
                                          "\\u0001",
                                          "\\u001f",
                                          "\\u007f",
                                          "\\uFFFF",
                                          "\\ufdd0",
                                          "\\u00e9",
                                          "\\ud83d\\ude00",
                                          "\\uDBFF\\uDFFF",
                                          "\\ud800",
                                          "\\uDC00",
                                          "\\udc00\\ud800",
                                          "\\ud83dx",
                                          "\\ud800\\u0041",
                                          "\\uD800\\n"};
  static const char *const k_raw[] = {
      "é", "日本語", "✓", "😀", "\x7f", "\xef\xbf\xbf", "\xf4\x8f\xbf\xbf", "{", "}", "[", "]",
      ",", ":",      "'", "/", "//"};
  switch (below(rand, 4)) {
    case 0:
      g_string_append(out, pick(rand, k_escapes, G_N_ELEMENTS(k_escapes)));
      break;
    case 1:
      g_string_append(out, pick(rand, k_raw, G_N_ELEMENTS(k_raw)));
      break;
    case 2:
      g_string_append_printf(out, chance(rand, 0.5) ? "\\u%04x" : "\\u%04X", below(rand, 0x10000));
      break;
    default:
      g_string_append_c(out, (char)('a' + below(rand, 26)));
  }
}

static void append_string(GString *out, GRand *rand) {
  g_string_append_c(out, '"');
  for (guint i = below(rand, CHARACTERS_MAX); i > 0; i--) append_character(out, rand);
  g_string_append_c(out, '"');
}

/* A name that no message of the protocol has. */
static void append_unknown_name(GString *out, GRand *rand) {
  static const char *const k_names[] = {"\"\"",        "\"id\\u0000\"", "\"ID\"",      "\" id\"",   "\"\\ud83d\"",
                                        "\"\\uDC00\"", "\"x_größe\"",   "\"\\u0000\"", "\"x/\\/\"", "\"x_labels\""};
  if (chance(rand, 0.5)) {
    g_string_append(out, pick(rand, k_names, G_N_ELEMENTS(k_names)));
    return;
  }
  g_string_append(out, "\"x_");
  for (guint i = below(rand, CHARACTERS_MAX); i > 0; i--) append_character(out, rand);
  g_string_append_c(out, '"');
}

/* ---- containers ---- */

static void append_nested(GString *out, GRand *rand, guint levels);

static void append_array(GString *out, GRand *rand, guint levels) {
  g_string_append_c(out, '[');
  append_white_space(out, rand);
  guint count = below(rand, ELEMENTS_MAX);
  for (guint i = 0; i < count; i++) {
    if (i > 0) g_string_append_c(out, ',');
    append_nested(out, rand, levels);
  }
  g_string_append_c(out, ']');
}

static void append_object(GString *out, GRand *rand, guint levels) {
  g_string_append_c(out, '{');
  append_white_space(out, rand);
  guint count = below(rand, ELEMENTS_MAX);
  for (guint i = 0; i < count; i++) {
    if (i > 0) g_string_append_c(out, ',');
    append_white_space(out, rand);
    if (chance(rand, 0.3)) {
      g_string_append(out, "\"again\"");
    } else {
      append_string(out, rand);
    }
    append_white_space(out, rand);
    g_string_append_c(out, ':');
    append_nested(out, rand, levels);
  }
  g_string_append_c(out, '}');
}

static void append_scalar(GString *out, GRand *rand) {
  static const char *const k_literals[] = {"null", "true", "false"};
  switch (below(rand, 3)) {
    case 0:
      g_string_append(out, pick(rand, k_literals, G_N_ELEMENTS(k_literals)));
      break;
    case 1:
      append_number(out, rand);
      break;
    default:
      append_string(out, rand);
  }
}

/* A value with containers at most `levels` deep, with white space on both sides. */
static void append_nested(GString *out, GRand *rand, guint levels) {
  append_white_space(out, rand);
  if (levels == 0 || chance(rand, 0.6)) {
    append_scalar(out, rand);
  } else if (chance(rand, 0.5)) {
    append_array(out, rand, levels - 1);
  } else {
    append_object(out, rand, levels - 1);
  }
  append_white_space(out, rand);
}

/* As many levels as `max_bytes` hold. */
static void append_deep(GString *out, GRand *rand, size_t max_bytes) {
  bool objects = chance(rand, 0.5);
  size_t levels = max_bytes / (objects ? strlen("{\"\":}") : strlen("[]"));
  for (size_t i = 0; i < levels; i++) g_string_append(out, objects ? "{\"\":" : "[");
  g_string_append_c(out, '0');
  for (size_t i = 0; i < levels; i++) g_string_append_c(out, objects ? '}' : ']');
}

/* As many elements as `max_bytes` hold. */
static void append_wide(GString *out, GRand *rand, size_t max_bytes) {
  static const char *const k_elements[] = {"{},", "[],", "0,", "\"\","};
  const char *element = pick(rand, k_elements, G_N_ELEMENTS(k_elements));
  g_string_append_c(out, '[');
  for (size_t bytes = strlen(element); bytes < max_bytes; bytes += strlen(element)) g_string_append(out, element);
  g_string_append(out, "null]");
}

void json_text_append_value(GString *out, GRand *rand, size_t max_bytes) {
  if (chance(rand, DEEP_SHARE)) {
    append_deep(out, rand, max_bytes);
    return;
  }
  if (chance(rand, WIDE_SHARE)) {
    append_wide(out, rand, max_bytes);
    return;
  }
  g_autoptr(GString) value = g_string_new(NULL);
  append_nested(value, rand, NESTED_LEVELS_MAX);
  g_string_append(out, value->len <= max_bytes ? value->str : "null");
}

/* ---- unknown members ---- */

/* Whether the text before the position ends with `suffix`. */
static bool ends_with(const GString *text, gsize position, const char *suffix) {
  gsize length = strlen(suffix);
  return position >= length && memcmp(text->str + position - length, suffix, length) == 0;
}

/* Objects that are maps: their members' names are data, so none of them is unknown. */
static const char k_map[] = "\"shares\":{";

/* Where objects of the text other than maps begin (after the brace) or end (before it). The text has no white
 * space around its colons, and no map in a map. */
static GArray *find_object_edges(const GString *text) {
  GArray *edges = g_array_new(FALSE, FALSE, sizeof(gsize));
  bool in_string = false;
  guint level = 0, map_level = 0; /* open objects; of the map, 0: none is open */
  for (gsize i = 0; i < text->len; i++) {
    char ch = text->str[i];
    gsize edge = ch == '{' ? i + 1 : i;
    if (in_string && ch == '\\') i++;
    if (ch == '"') in_string = !in_string;
    if (in_string || (ch != '{' && ch != '}')) continue;
    if (ch == '{') level++;
    if (ch == '{' && ends_with(text, edge, k_map)) map_level = level;
    if (level != map_level) g_array_append_val(edges, edge);
    if (ch == '}' && level == map_level) map_level = 0;
    if (ch == '}') level--;
  }
  return edges;
}

static void insert_member(GString *message, gsize edge, GRand *rand, size_t max_bytes) {
  bool at_start = message->str[edge - 1] == '{';
  bool empty = at_start && message->str[edge] == '}';
  g_autoptr(GString) member = g_string_new(at_start ? "" : ",");
  append_white_space(member, rand);
  append_unknown_name(member, rand);
  append_white_space(member, rand);
  g_string_append_c(member, ':');
  json_text_append_value(member, rand, max_bytes);
  if (at_start && !empty) g_string_append_c(member, ',');
  g_string_insert_len(message, (gssize)edge, member->str, (gssize)member->len);
}

void json_text_add_unknown_members(GString *message, GRand *rand, size_t max_bytes) {
  GArray *edges = find_object_edges(message);
  gsize allowed = message->len + max_bytes;
  for (guint added = 0; added < MEMBERS_MAX && edges->len > 0 && message->len < allowed; added++) {
    /* From the last edge on, so that the positions of those before it stay as they are. */
    guint skipped = below(rand, MAX(edges->len / MEMBERS_MAX, 1) + 1);
    if (skipped >= edges->len) break;
    g_array_set_size(edges, edges->len - skipped);
    gsize edge = g_array_index(edges, gsize, edges->len - 1);
    g_array_set_size(edges, edges->len - 1);
    insert_member(message, edge, rand, (allowed - message->len) / 2);
  }
  g_array_free(edges, TRUE);
}

/* ---- damage ---- */

/* Inserts bytes that are in no JSON text, wherever they stand. */
static void insert_anywhere(GString *text, GRand *rand, const char *bytes, gssize length) {
  g_string_insert_len(text, (gssize)below(rand, (guint)text->len + 1), bytes, length);
}

static void add_first_member(GString *object, const char *member) {
  gsize brace = (gsize)(strchr(object->str, '{') - object->str);
  g_string_insert(object, (gssize)brace + 1, member);
}

static const struct {
  const char *name, *member; /* a member that is not JSON */
} k_members[] = {
    {"not a number", "\"x\":NaN,"},
    {"infinity", "\"x\":-Infinity,"},
    {"leading zero", "\"x\":01,"},
    {"plus sign", "\"x\":+1,"},
    {"no digit before the point", "\"x\":.5,"},
    {"no digit after the point", "\"x\":1.,"},
    {"no digit in the exponent", "\"x\":1e,"},
    {"hexadecimal", "\"x\":0x10,"},
    {"lone minus sign", "\"x\":-,"},
    {"single quotes", "'x':1,"},
    {"name without quotes", "x:1,"},
    {"unknown escape", "\"x\":\"\\x41\","},
    {"cut escape", "\"x\":\"\\u12\","},
    {"digit of no base", "\"x\":\"\\u12g4\","},
    {"line break in a string", "\"x\":\"a\nb\","},
    {"tabulator in a string", "\"x\":\"a\tb\","},
    {"trailing comma in an array", "\"x\":[1,],"},
    {"comma alone", ","},
    {"no colon", "\"x\" 1,"},
    {"no value", "\"x\":,"},
    {"wrong bracket", "\"x\":[1},"},
    {"comment", "/* x */"},
    {"literal in capitals", "\"x\":True,"},
    {"cut literal", "\"x\":nul,"},
};
static const struct {
  const char *name, *bytes;
  gssize length;
} k_bytes[] = {
    {"control character", "\x01", 1},
    {"NUL", "\0", 1},
    {"vertical tab", "\v", 1},
    {"form feed", "\f", 1},
    {"overlong UTF-8", "\xc0\x80", 2},
    {"UTF-8 surrogate", "\xed\xa0\x80", 3},
    {"no UTF-8", "\xff", 1},
    {"cut UTF-8", "\xe2\x9c", 2},
    {"beyond Unicode", "\xf4\x90\x80\x80", 4},
};

/* Also beginnings of tokens. */
static const char *const k_appended[] = {"{}", "x", "1", "\"", "\"a", " tru", "-", ",", "[", "}", "\n\"x\"", " 1.5e"};

const char *json_text_damage(GString *object, GRand *rand) {
  guint choice = below(rand, G_N_ELEMENTS(k_members) + G_N_ELEMENTS(k_bytes) + 4);
  if (choice < G_N_ELEMENTS(k_members)) {
    add_first_member(object, k_members[choice].member);
    return k_members[choice].name;
  }
  choice -= G_N_ELEMENTS(k_members);
  if (choice < G_N_ELEMENTS(k_bytes)) {
    insert_anywhere(object, rand, k_bytes[choice].bytes, k_bytes[choice].length);
    return k_bytes[choice].name;
  }
  switch (choice - G_N_ELEMENTS(k_bytes)) {
    case 0:
      g_string_truncate(object, 1 + below(rand, (guint)object->len - 1));
      return "cut off";
    case 1:
      g_string_prepend(object, "\xef\xbb\xbf");
      return "byte order mark";
    case 2:
      g_string_append(object, pick(rand, k_appended, G_N_ELEMENTS(k_appended)));
      return "text after the value";
    default:
      g_string_insert(object, (gssize)(strrchr(object->str, '}') - object->str), ",");
      return "trailing comma";
  }
}

/* Any byte, but mostly one that matters in JSON or in UTF-8. */
static char random_byte(GRand *rand) {
  static const char k_bytes[] = "{}[]\"\\:,0123456789.-+eEtrufalsn \t\r\n\v\x01\x7f/*'xXdDcC\x80\xbf\xc0\xed\xef\xff";
  if (chance(rand, 0.05)) return (char)below(rand, 256);
  return k_bytes[below(rand, sizeof k_bytes - 1)];
}

void json_text_mutate(GString *text, GRand *rand) {
  for (guint count = 1 + below(rand, 4); count > 0 && text->len > 1; count--) {
    gssize at = (gssize)below(rand, (guint)text->len);
    char byte = random_byte(rand);
    switch (below(rand, 4)) {
      case 0:
        text->str[at] = byte;
        break;
      case 1:
        g_string_insert_c(text, at, byte);
        break;
      case 2:
        g_string_erase(text, at, 1);
        break;
      default: {
        g_autofree char *copied = g_strndup(text->str + at, below(rand, 8));
        g_string_insert(text, (gssize)below(rand, (guint)text->len), copied);
      }
    }
  }
}
