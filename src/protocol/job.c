#include "protocol/job.h"

#include <string.h>

#define NAME_LENGTH_MAX 256u
#define AMOUNT_MAX 1e9
#define ID_PREFIX "job-"
#define ID_DIGITS_MIN 6u
#define ID_DIGITS_MAX 18u
/* Bytes of the list of dependencies in a record; the body of a submission has room for fewer. */
#define DEPENDENCIES_LENGTH_MAX ((size_t)64 * 1024)

/* Fields of submissions, and of stored descriptions. */
#define FIELD_ID "id"
#define FIELD_CLASS "squad"
#define FIELD_TEAM "club"
#define FIELD_KIND "play"
#define FIELD_PRIORITY "rank"
#define FIELD_TASKS "runs"
#define FIELD_CPUS "cpus"
#define FIELD_GPUS "gpus"
#define FIELD_MEMORY "memGb"
#define FIELD_IMAGE "kit"
#define FIELD_IMAGE_SIZE "pullGb"
#define FIELD_TYPES "builds"
#define FIELD_ZONE "ground"
#define FIELD_ONE_ZONE "samePlace"
#define FIELD_SPREAD "scatter"
#define FIELD_SPOT "loaners"
#define FIELD_ESTIMATE "expectS"
#define FIELD_CHECKPOINT "markS"
#define FIELD_SAVE "stowS"
#define FIELD_DEADLINE "whistleS"
#define FIELD_DEPENDENCIES "awaits"

/* Fields of responses. */
#define FIELD_STATUS "status"
#define FIELD_DONE "done"
#define FIELD_RUNNING "running"
#define FIELD_READY "ready"
#define FIELD_ERROR "error"

static const char *const k_kinds[] = {
    [FC_JOB_ARRAY] = "sweep",
    [FC_JOB_GANG] = "gang",
    [FC_JOB_SERVICE] = "service",
};

static const char *const k_priorities[] = {
    [FC_PRIORITY_BEST_EFFORT] = "best_effort",
    [FC_PRIORITY_STANDARD] = "standard",
    [FC_PRIORITY_HIGH] = "high",
    [FC_PRIORITY_PROD] = "prod",
};

static const char *const k_statuses[] = {
    [FC_STATUS_PENDING] = "pending",
    [FC_STATUS_RUNNING] = "running",
    [FC_STATUS_DONE] = "done",
    [FC_STATUS_CANCELLED] = "cancelled",
};

bool fc_job_id_valid(const char *id) {
  if (!id || !g_str_has_prefix(id, ID_PREFIX)) return false;
  const char *number = id + strlen(ID_PREFIX);
  size_t digits = strspn(number, "0123456789");
  return digits >= ID_DIGITS_MIN && digits <= ID_DIGITS_MAX && number[digits] == '\0';
}

/* ---- dependencies ---- */

static gint compare_strings(gconstpointer left, gconstpointer right) {
  return strcmp(*(const char *const *)left, *(const char *const *)right);
}

/* Sorts the ids and removes duplicates. Takes ownership of the array and its strings; returns a
 * NULL-terminated array, or NULL for no ids. */
static char **sort_unique(GPtrArray *ids) {
  g_ptr_array_sort(ids, compare_strings);
  guint distinct = 0;
  for (guint i = 0; i < ids->len; i++) {
    if (distinct > 0 && strcmp(ids->pdata[distinct - 1], ids->pdata[i]) == 0) {
      g_free(ids->pdata[i]);
    } else {
      ids->pdata[distinct++] = ids->pdata[i];
    }
  }
  g_ptr_array_set_size(ids, (gint)distinct);
  if (distinct > 0) g_ptr_array_add(ids, NULL);
  return (char **)g_ptr_array_free(ids, distinct == 0);
}

/* Reads the dependencies of a submission, an array of ids. */
static void read_dependencies(fc_reader *reader, fc_job_spec *spec) {
  const json_t *list = json_object_get(reader->object, FIELD_DEPENDENCIES);
  if (!list || json_is_null(list) || !fc_reader_ok(reader)) return;
  if (!json_is_array(list)) {
    fc_reader_fail(reader, FIELD_DEPENDENCIES, FC_FIELD_NOT_JOB_IDS);
    return;
  }
  GPtrArray *ids = g_ptr_array_new();
  size_t i;
  json_t *element;
  json_array_foreach(list, i, element) {
    const char *id = fc_json_string(element);
    if (!fc_job_id_valid(id)) {
      fc_reader_fail(reader, FIELD_DEPENDENCIES, FC_FIELD_ELEMENT_NOT_JOB_ID);
      break;
    }
    g_ptr_array_add(ids, g_strdup(id));
  }
  spec->dependencies = sort_unique(ids);
}

char *fc_job_dependencies_text(char *const *dependencies) {
  GString *text = g_string_new(NULL);
  for (char *const *id = dependencies; *id; id++)
    g_string_append_printf(text, "%s%s", text->len ? "," : "", *id + strlen(ID_PREFIX));
  return g_string_free(text, FALSE);
}

void fc_job_dependencies_read(fc_reader *reader, const char *field, fc_job_spec *spec) {
  const char *text = fc_read_string(reader, field, DEPENDENCIES_LENGTH_MAX);
  if (!text) return;
  GPtrArray *ids = g_ptr_array_new();
  g_auto(GStrv) numbers = g_strsplit(text, ",", -1);
  for (char **number = numbers; *number; number++) {
    char *id = g_strconcat(ID_PREFIX, *number, NULL);
    if (!fc_job_id_valid(id)) fc_reader_fail(reader, field, FC_FIELD_ELEMENT_NOT_JOB_ID);
    g_ptr_array_add(ids, id);
  }
  spec->dependencies = sort_unique(ids);
}

/* ---- descriptions ---- */

static void read_types(fc_reader *reader, fc_job_spec *spec) {
  const json_t *list = json_object_get(reader->object, FIELD_TYPES);
  if (!list || json_is_null(list) || !fc_reader_ok(reader)) return;
  size_t count = json_array_size(list);
  if (!json_is_array(list) || count == 0 || count > FC_TYPES_PER_JOB) {
    fc_reader_fail(reader, FIELD_TYPES, FC_FIELD_NOT_TYPES);
    return;
  }
  spec->types = g_new0(char *, count + 1);
  for (size_t i = 0; i < count; i++) {
    const char *type = fc_json_string(json_array_get(list, i));
    if (!type || !*type || strlen(type) > NAME_LENGTH_MAX) {
      fc_reader_fail(reader, FIELD_TYPES, FC_FIELD_ELEMENT_NOT_TYPE);
      return;
    }
    spec->types[i] = g_strdup(type);
  }
}

static GRefString *intern(const char *text) {
  return text ? g_ref_string_new_intern(text) : NULL;
}

void fc_job_spec_read(fc_reader *reader, fc_job_spec *spec) {
  const char *id = fc_read_string(reader, FIELD_ID, NAME_LENGTH_MAX);
  if (id && !fc_job_id_valid(id)) fc_reader_fail(reader, FIELD_ID, FC_FIELD_NOT_JOB_ID);
  if (fc_reader_ok(reader)) spec->id = g_strdup(id);
  spec->class_name = intern(fc_read_string(reader, FIELD_CLASS, NAME_LENGTH_MAX));
  spec->team = intern(fc_read_string(reader, FIELD_TEAM, NAME_LENGTH_MAX));
  spec->kind = (fc_job_kind)fc_read_choice(reader, FIELD_KIND, k_kinds, G_N_ELEMENTS(k_kinds));
  spec->priority = (fc_priority)fc_read_choice(reader, FIELD_PRIORITY, k_priorities, G_N_ELEMENTS(k_priorities));
  spec->tasks = (uint32_t)fc_read_count(reader, FIELD_TASKS, 1, FC_TASKS_MAX);
  spec->cpus = fc_read_amount(reader, FIELD_CPUS, 0, AMOUNT_MAX);
  spec->gpus = fc_read_amount(reader, FIELD_GPUS, 0, AMOUNT_MAX);
  spec->memory_gb = fc_read_amount(reader, FIELD_MEMORY, 0, AMOUNT_MAX);
  spec->image = intern(fc_read_string(reader, FIELD_IMAGE, NAME_LENGTH_MAX));
  spec->image_gb = fc_read_amount(reader, FIELD_IMAGE_SIZE, 0, AMOUNT_MAX);
  read_types(reader, spec);
  spec->zone = intern(fc_read_string_or_null(reader, FIELD_ZONE, NAME_LENGTH_MAX));
  spec->one_zone = fc_read_bool(reader, FIELD_ONE_ZONE);
  spec->spread = fc_read_bool(reader, FIELD_SPREAD);
  spec->spot = fc_read_bool(reader, FIELD_SPOT);
  spec->estimate_s = fc_read_amount(reader, FIELD_ESTIMATE, 0, AMOUNT_MAX);
  spec->checkpoint_s = fc_read_amount(reader, FIELD_CHECKPOINT, 0, AMOUNT_MAX);
  spec->save_s = fc_read_amount(reader, FIELD_SAVE, 0, AMOUNT_MAX);
  spec->deadline_s = fc_read_amount_or(reader, FIELD_DEADLINE, 0, AMOUNT_MAX, -1);
}

static json_t *string_or_null(const char *text) {
  return text ? json_string(text) : json_null();
}

static json_t *encode_types(char *const *types) {
  if (!types) return json_null();
  json_t *list = json_array();
  for (char *const *type = types; *type; type++) json_array_append_new(list, json_string(*type));
  return list;
}

json_t *fc_job_spec_encode(const fc_job_spec *spec) {
  json_t *object = json_object();
  json_object_set_new(object, FIELD_ID, json_string(spec->id));
  json_object_set_new(object, FIELD_CLASS, json_string(spec->class_name));
  json_object_set_new(object, FIELD_TEAM, json_string(spec->team));
  json_object_set_new(object, FIELD_KIND, json_string(k_kinds[spec->kind]));
  json_object_set_new(object, FIELD_PRIORITY, json_string(k_priorities[spec->priority]));
  json_object_set_new(object, FIELD_TASKS, json_integer(spec->tasks));
  json_object_set_new(object, FIELD_CPUS, json_real(spec->cpus));
  json_object_set_new(object, FIELD_GPUS, json_real(spec->gpus));
  json_object_set_new(object, FIELD_MEMORY, json_real(spec->memory_gb));
  json_object_set_new(object, FIELD_IMAGE, json_string(spec->image));
  json_object_set_new(object, FIELD_IMAGE_SIZE, json_real(spec->image_gb));
  json_object_set_new(object, FIELD_TYPES, encode_types(spec->types));
  json_object_set_new(object, FIELD_ZONE, string_or_null(spec->zone));
  json_object_set_new(object, FIELD_ONE_ZONE, json_boolean(spec->one_zone));
  json_object_set_new(object, FIELD_SPREAD, json_boolean(spec->spread));
  json_object_set_new(object, FIELD_SPOT, json_boolean(spec->spot));
  json_object_set_new(object, FIELD_ESTIMATE, json_real(spec->estimate_s));
  json_object_set_new(object, FIELD_CHECKPOINT, json_real(spec->checkpoint_s));
  json_object_set_new(object, FIELD_SAVE, json_real(spec->save_s));
  json_object_set_new(object, FIELD_DEADLINE, spec->deadline_s < 0 ? json_null() : json_real(spec->deadline_s));
  return object;
}

bool fc_job_id_peek(const char *text, size_t length, char *id, size_t size) {
  json_auto_t *object = fc_json_parse(text, length, NULL);
  const char *found = fc_json_string(json_object_get(object, FIELD_ID));
  return fc_job_id_valid(found) && g_strlcpy(id, found, size) < size;
}

bool fc_job_spec_parse(const char *text, size_t length, fc_job_spec *out, fc_message_error *error) {
  memset(out, 0, sizeof *out);
  json_auto_t *object = fc_message_parse(text, length, error);
  if (!object) return false;
  fc_reader reader;
  fc_reader_init(&reader, object);
  fc_job_spec_read(&reader, out);
  read_dependencies(&reader, out);
  if (fc_message_check(&reader, error)) return true;
  fc_job_spec_clear(out);
  return false;
}

static void release_string(GRefString *text) {
  if (text) g_ref_string_release(text);
}

static GRefString *acquire_string(GRefString *text) {
  return text ? g_ref_string_acquire(text) : NULL;
}

fc_job_spec fc_job_spec_copy(const fc_job_spec *spec) {
  fc_job_spec copy = *spec;
  copy.id = g_strdup(spec->id);
  copy.class_name = acquire_string(spec->class_name);
  copy.team = acquire_string(spec->team);
  copy.image = acquire_string(spec->image);
  copy.zone = acquire_string(spec->zone);
  copy.types = g_strdupv(spec->types);
  copy.dependencies = g_strdupv(spec->dependencies);
  return copy;
}

void fc_job_spec_clear(fc_job_spec *spec) {
  g_free(spec->id);
  release_string(spec->class_name);
  release_string(spec->team);
  release_string(spec->image);
  release_string(spec->zone);
  g_strfreev(spec->types);
  g_strfreev(spec->dependencies);
  memset(spec, 0, sizeof *spec);
}

unsigned fc_job_slice_count(const fc_job_spec *spec, unsigned limit) {
  unsigned slices = 1;
  if (spec->kind != FC_JOB_ARRAY) return slices; /* gangs and services are never split */
  /* Nor are jobs whose tasks' zones depend on each other: the owners of two slices do not see each
   * other's concurrent placements, and would choose different zones. */
  if (spec->one_zone || spec->spread) return slices;
  while (slices * 2 <= MIN(limit, FC_SLICES_MAX) && spec->tasks / (slices * 2) >= 2) slices *= 2;
  return slices;
}

/* ---- responses ---- */

void fc_job_answer(GString *out, const char *id, fc_job_status status, uint32_t done, uint32_t running,
                   bool with_counts) {
  g_string_append_printf(out, "{\"" FIELD_ID "\":\"%s\",\"" FIELD_STATUS "\":\"%s\"", id, k_statuses[status]);
  if (with_counts) g_string_append_printf(out, ",\"" FIELD_DONE "\":%u,\"" FIELD_RUNNING "\":%u", done, running);
  g_string_append_c(out, '}');
}

void fc_ready_answer(GString *out) {
  fc_json_append(out, json_pack("{sb}", FIELD_READY, 1));
}

void fc_error_answer(GString *out, const char *text) {
  fc_json_append(out, json_pack("{ss}", FIELD_ERROR, text));
}
