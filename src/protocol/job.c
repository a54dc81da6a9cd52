#include "protocol/job.h"

#include <string.h>

#include "protocol/json.h"

#define NAME_MOST 256u
#define AMOUNT_MOST 1e9
#define ID_PREFIX "job-"
/* Of a list of awaited jobs in a record: more than a submission has room for. */
#define AWAITS_TEXT_MOST ((size_t)64 * 1024)

static const char *const k_kinds[] = {"sweep", "gang", "service"};
static const char *const k_ranks[] = {"best_effort", "standard", "high", "prod"};
static const char *const k_statuses[] = {"pending", "running", "done", "cancelled"};

bool fc_job_id_valid(const char *id) {
  if (!id || !g_str_has_prefix(id, ID_PREFIX)) return false;
  const char *number = id + strlen(ID_PREFIX);
  size_t digits = strspn(number, "0123456789");
  return digits >= 6 && digits <= 18 && number[digits] == '\0';
}

int fc_read_choice(fc_reader *reader, const char *field, const char *const *names, int count) {
  const char *text = fc_read_string(reader, field, NAME_MOST);
  if (!text) return 0;
  for (int i = 0; i < count; i++)
    if (strcmp(text, names[i]) == 0) return i;
  fc_reader_fail(reader, field, "unknown value");
  return 0;
}

static void read_types(fc_reader *reader, fc_job_spec *spec) {
  const json_t *v = json_object_get(reader->object, "builds");
  if (!v || json_is_null(v) || !fc_reader_ok(reader)) return;
  size_t n = json_array_size(v);
  if (!json_is_array(v) || n == 0 || n > FC_TYPES_PER_JOB) {
    fc_reader_fail(reader, "builds", "not a short array of types");
    return;
  }
  spec->types = g_new0(char *, n + 1);
  for (size_t i = 0; i < n; i++) {
    const char *t = json_string_value(json_array_get(v, i));
    if (!t || !*t || strlen(t) > NAME_MOST) {
      fc_reader_fail(reader, "builds", "holds something that is not a type");
      return;
    }
    spec->types[i] = g_strdup(t);
  }
}

static gint by_text(gconstpointer a, gconstpointer b) {
  return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* Sorts the ids and drops repeats; NULL: there are none. Takes the array. */
static char **ids_once(GPtrArray *ids) {
  g_ptr_array_sort(ids, by_text);
  guint kept = 0;
  for (guint i = 0; i < ids->len; i++) {
    if (kept > 0 && strcmp(ids->pdata[kept - 1], ids->pdata[i]) == 0) {
      g_free(ids->pdata[i]);
    } else {
      ids->pdata[kept++] = ids->pdata[i];
    }
  }
  g_ptr_array_set_size(ids, (gint)kept);
  if (kept > 0) g_ptr_array_add(ids, NULL);
  return (char **)g_ptr_array_free(ids, kept == 0);
}

/* The awaited jobs of a submission. */
static void read_awaits(fc_reader *reader, fc_job_spec *spec) {
  const json_t *v = json_object_get(reader->object, "awaits");
  if (!v || json_is_null(v) || !fc_reader_ok(reader)) return;
  if (!json_is_array(v)) {
    fc_reader_fail(reader, "awaits", "not an array of job ids");
    return;
  }
  GPtrArray *ids = g_ptr_array_new();
  size_t i;
  json_t *id;
  json_array_foreach(v, i, id) {
    if (!fc_job_id_valid(json_string_value(id))) {
      fc_reader_fail(reader, "awaits", "holds something that is not a job id");
      break;
    }
    g_ptr_array_add(ids, g_strdup(json_string_value(id)));
  }
  spec->awaits = ids_once(ids);
}

char *fc_job_dependencies_text(char *const *awaits) {
  GString *text = g_string_new(NULL);
  for (char *const *id = awaits; *id; id++)
    g_string_append_printf(text, "%s%s", text->len ? "," : "", *id + strlen(ID_PREFIX));
  return g_string_free(text, FALSE);
}

void fc_job_dependencies_read(fc_reader *reader, const char *field, fc_job_spec *spec) {
  const char *text = fc_read_string(reader, field, AWAITS_TEXT_MOST);
  if (!text) return;
  GPtrArray *ids = g_ptr_array_new();
  char **numbers = g_strsplit(text, ",", -1);
  for (char **number = numbers; *number; number++) {
    char *id = g_strconcat(ID_PREFIX, *number, NULL);
    if (!fc_job_id_valid(id)) fc_reader_fail(reader, field, "holds something that is not a job");
    g_ptr_array_add(ids, id);
  }
  g_strfreev(numbers);
  spec->awaits = ids_once(ids);
}

static GRefString *intern(const char *text) {
  return text ? g_ref_string_new_intern(text) : NULL;
}

void fc_job_spec_read(fc_reader *reader, fc_job_spec *spec) {
  const char *id = fc_read_string(reader, "id", NAME_MOST);
  if (id && !fc_job_id_valid(id)) fc_reader_fail(reader, "id", "not of the form job-000412");
  if (fc_reader_ok(reader)) spec->id = g_strdup(id);
  spec->class_name = intern(fc_read_string(reader, "squad", NAME_MOST));
  spec->team = intern(fc_read_string(reader, "club", NAME_MOST));
  spec->kind = (fc_job_kind)fc_read_choice(reader, "play", k_kinds, G_N_ELEMENTS(k_kinds));
  spec->priority = (fc_priority)fc_read_choice(reader, "rank", k_ranks, G_N_ELEMENTS(k_ranks));
  spec->tasks = (uint32_t)fc_read_count(reader, "runs", 1, FC_TASKS_MAX);
  spec->cpus = fc_read_amount(reader, "cpus", 0, AMOUNT_MOST);
  spec->gpus = fc_read_amount(reader, "gpus", 0, AMOUNT_MOST);
  spec->memory_gb = fc_read_amount(reader, "memGb", 0, AMOUNT_MOST);
  spec->image = intern(fc_read_string(reader, "kit", NAME_MOST));
  spec->image_gb = fc_read_amount(reader, "pullGb", 0, AMOUNT_MOST);
  read_types(reader, spec);
  spec->zone = intern(fc_read_string_or_null(reader, "ground", NAME_MOST));
  spec->one_zone = fc_read_bool(reader, "samePlace");
  spec->spread = fc_read_bool(reader, "scatter");
  spec->spot = fc_read_bool(reader, "loaners");
  spec->estimate_s = fc_read_amount(reader, "expectS", 0, AMOUNT_MOST);
  spec->checkpoint_s = fc_read_amount(reader, "markS", 0, AMOUNT_MOST);
  spec->save_s = fc_read_amount(reader, "stowS", 0, AMOUNT_MOST);
  spec->deadline_s = fc_read_amount_or(reader, "whistleS", 0, AMOUNT_MOST, -1);
}

bool fc_job_id_peek(const char *text, size_t len, char *id, size_t size) {
  json_t *v = fc_json_parse(text, len);
  const char *found = json_string_value(json_object_get(v, "id"));
  bool ok = fc_job_id_valid(found) && g_strlcpy(id, found, size) < size;
  json_decref(v);
  return ok;
}

bool fc_job_spec_parse(const char *text, size_t len, fc_job_spec *out, char *error, size_t error_size) {
  memset(out, 0, sizeof *out);
  json_t *v = fc_json_parse(text, len);
  if (!v) {
    g_strlcpy(error, "body: not JSON", error_size);
    return false;
  }
  fc_reader reader;
  fc_reader_init(&reader, v);
  if (!fc_reader_ok(&reader)) g_strlcpy(reader.error, "body: not an object", sizeof reader.error);
  fc_job_spec_read(&reader, out);
  read_awaits(&reader, out);
  json_decref(v);
  if (fc_reader_ok(&reader)) return true;
  g_strlcpy(error, reader.error, error_size);
  fc_job_spec_clear(out);
  return false;
}

static void release(GRefString *s) {
  if (s) g_ref_string_release(s);
}

static GRefString *acquire(GRefString *s) {
  return s ? g_ref_string_acquire(s) : NULL;
}

fc_job_spec fc_job_spec_copy(const fc_job_spec *spec) {
  fc_job_spec copy = *spec;
  copy.id = g_strdup(spec->id);
  copy.class_name = acquire(spec->class_name);
  copy.team = acquire(spec->team);
  copy.image = acquire(spec->image);
  copy.zone = acquire(spec->zone);
  copy.types = g_strdupv(spec->types);
  copy.awaits = g_strdupv(spec->awaits);
  return copy;
}

void fc_job_spec_clear(fc_job_spec *spec) {
  g_free(spec->id);
  release(spec->class_name);
  release(spec->team);
  release(spec->image);
  release(spec->zone);
  g_strfreev(spec->types);
  g_strfreev(spec->awaits);
  memset(spec, 0, sizeof *spec);
}

json_t *fc_job_spec_encode(const fc_job_spec *spec) {
  json_t *types = NULL;
  if (spec->types) {
    types = json_array();
    for (char **t = spec->types; *t; t++) json_array_append_new(types, json_string(*t));
  }
  return json_pack("{ss ss ss ss ss si sf sf sf ss sf so? ss? sb sb sb sf sf sf so?}", "id", spec->id, "squad",
                   spec->class_name, "club", spec->team, "play", k_kinds[spec->kind], "rank", k_ranks[spec->priority],
                   "runs", (int)spec->tasks, "cpus", spec->cpus, "gpus", spec->gpus, "memGb", spec->memory_gb, "kit",
                   spec->image, "pullGb", spec->image_gb, "builds", types, "ground", spec->zone, "samePlace",
                   (int)spec->one_zone, "scatter", (int)spec->spread, "loaners", (int)spec->spot, "expectS",
                   spec->estimate_s, "markS", spec->checkpoint_s, "stowS", spec->save_s, "whistleS",
                   spec->deadline_s < 0 ? NULL : json_real(spec->deadline_s));
}

unsigned fc_job_slices(const fc_job_spec *spec, unsigned limit) {
  unsigned slices = 1;
  if (spec->kind != FC_JOB_ARRAY) return slices; /* gangs and services are never split */
  /* Nor is what is judged by where the rest of it is: the owners of two slices can't see
   * what the other places at the same moment, and put them in different zones. */
  if (spec->one_zone || spec->spread) return slices;
  while (slices * 2 <= MIN(limit, FC_SLICES_MAX) && spec->tasks / (slices * 2) >= 2) slices *= 2;
  return slices;
}

void fc_job_answer(GString *out, const char *id, fc_job_status status, uint32_t done, uint32_t running,
                   bool with_counts) {
  g_string_append_printf(out, "{\"id\":\"%s\",\"status\":\"%s\"", id, k_statuses[status]);
  if (with_counts) g_string_append_printf(out, ",\"done\":%u,\"running\":%u", done, running);
  g_string_append_c(out, '}');
}

void fc_ready_answer(GString *out) {
  fc_json_append(out, json_pack("{sb}", "ready", 1));
}

void fc_error_answer(GString *out, const char *what) {
  fc_json_append(out, json_pack("{ss}", "error", what));
}
