#include "protocol/job.h"

#include <stdlib.h>
#include <string.h>

#include "protocol/json.h"

#define NAME_MOST 256u
#define AMOUNT_MOST 1e9
#define TIME_OF_DAY_MOST 1e11
#define ID_PREFIX "job-"
/* Of a list of awaited jobs in a record: more than a submission has room for. */
#define AWAITS_TEXT_MOST ((size_t)64 * 1024)

static const char *const k_kinds[] = {"sweep", "gang", "service"};
static const char *const k_ranks[] = {"best_effort", "standard", "high", "prod"};
static const char *const k_phases[] = {"accepted", "cancelled", "done"};
static const char *const k_statuses[] = {"pending", "running", "done", "cancelled"};

bool fc_job_id_valid(const char *id) {
  if (!id || !g_str_has_prefix(id, ID_PREFIX)) return false;
  const char *number = id + strlen(ID_PREFIX);
  size_t digits = strspn(number, "0123456789");
  return digits >= 6 && digits <= 18 && number[digits] == '\0';
}

static int name_index(fc_reader *r, const char *field, const char *const *names, int count) {
  const char *text = fc_read_string(r, field, NAME_MOST);
  if (!text) return 0;
  for (int i = 0; i < count; i++)
    if (strcmp(text, names[i]) == 0) return i;
  fc_reader_fail(r, field, "unknown value");
  return 0;
}

static void read_types(fc_reader *r, fc_job_spec *s) {
  const json_t *v = json_object_get(r->object, "builds");
  if (!v || json_is_null(v) || !fc_reader_ok(r)) return;
  size_t n = json_array_size(v);
  if (!json_is_array(v) || n == 0 || n > FC_TYPES_PER_JOB) {
    fc_reader_fail(r, "builds", "not a short array of types");
    return;
  }
  s->types = g_new0(char *, n + 1);
  for (size_t i = 0; i < n; i++) {
    const char *t = json_string_value(json_array_get(v, i));
    if (!t || !*t || strlen(t) > NAME_MOST) {
      fc_reader_fail(r, "builds", "holds something that is not a type");
      return;
    }
    s->types[i] = g_strdup(t);
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
static void read_awaits(fc_reader *r, fc_job_spec *s) {
  const json_t *v = json_object_get(r->object, "awaits");
  if (!v || json_is_null(v) || !fc_reader_ok(r)) return;
  if (!json_is_array(v)) {
    fc_reader_fail(r, "awaits", "not an array of job ids");
    return;
  }
  GPtrArray *ids = g_ptr_array_new();
  size_t i;
  json_t *id;
  json_array_foreach(v, i, id) {
    if (!fc_job_id_valid(json_string_value(id))) {
      fc_reader_fail(r, "awaits", "holds something that is not a job id");
      break;
    }
    g_ptr_array_add(ids, g_strdup(json_string_value(id)));
  }
  s->awaits = ids_once(ids);
}

/* "000398,000405": the ids without what all have in common. */
static json_t *awaits_encode(char *const *awaits) {
  GString *text = g_string_new(NULL);
  for (char *const *id = awaits; *id; id++)
    g_string_append_printf(text, "%s%s", text->len ? "," : "", *id + strlen(ID_PREFIX));
  json_t *v = json_string(text->str);
  g_string_free(text, TRUE);
  return v;
}

/* The awaited jobs of a record. */
static void decode_awaits(fc_reader *r, fc_job_spec *s) {
  const char *text = fc_read_string(r, "awaits", AWAITS_TEXT_MOST);
  if (!text) return;
  GPtrArray *ids = g_ptr_array_new();
  char **numbers = g_strsplit(text, ",", -1);
  for (char **number = numbers; *number; number++) {
    char *id = g_strconcat(ID_PREFIX, *number, NULL);
    if (!fc_job_id_valid(id)) fc_reader_fail(r, "awaits", "holds something that is not a job");
    g_ptr_array_add(ids, id);
  }
  g_strfreev(numbers);
  s->awaits = ids_once(ids);
}

static GRefString *intern(const char *text) {
  return text ? g_ref_string_new_intern(text) : NULL;
}

static void spec_read(fc_reader *r, fc_job_spec *s) {
  const char *id = fc_read_string(r, "id", NAME_MOST);
  if (id && !fc_job_id_valid(id)) fc_reader_fail(r, "id", "not of the form job-000412");
  if (fc_reader_ok(r)) s->id = g_strdup(id);
  s->class_name = intern(fc_read_string(r, "squad", NAME_MOST));
  s->team = intern(fc_read_string(r, "club", NAME_MOST));
  s->kind = (fc_job_kind)name_index(r, "play", k_kinds, G_N_ELEMENTS(k_kinds));
  s->rank = (fc_rank)name_index(r, "rank", k_ranks, G_N_ELEMENTS(k_ranks));
  s->tasks = (uint32_t)fc_read_count(r, "runs", 1, FC_TASKS_MAX);
  s->cpus = fc_read_amount(r, "cpus", 0, AMOUNT_MOST);
  s->gpus = fc_read_amount(r, "gpus", 0, AMOUNT_MOST);
  s->memory_gb = fc_read_amount(r, "memGb", 0, AMOUNT_MOST);
  s->image = intern(fc_read_string(r, "kit", NAME_MOST));
  s->image_gb = fc_read_amount(r, "pullGb", 0, AMOUNT_MOST);
  read_types(r, s);
  s->zone = intern(fc_read_string_or_null(r, "ground", NAME_MOST));
  s->one_zone = fc_read_bool(r, "samePlace");
  s->spread = fc_read_bool(r, "scatter");
  s->spot = fc_read_bool(r, "loaners");
  s->estimate_s = fc_read_amount(r, "expectS", 0, AMOUNT_MOST);
  s->checkpoint_s = fc_read_amount(r, "markS", 0, AMOUNT_MOST);
  s->save_s = fc_read_amount(r, "stowS", 0, AMOUNT_MOST);
  s->deadline_s = fc_read_amount_or(r, "whistleS", 0, AMOUNT_MOST, -1);
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
  fc_reader r;
  fc_reader_init(&r, v);
  if (!fc_reader_ok(&r)) g_strlcpy(r.error, "body: not an object", sizeof r.error);
  spec_read(&r, out);
  read_awaits(&r, out);
  json_decref(v);
  if (fc_reader_ok(&r)) return true;
  g_strlcpy(error, r.error, error_size);
  fc_job_spec_clear(out);
  return false;
}

static void release(GRefString *s) {
  if (s) g_ref_string_release(s);
}

void fc_job_spec_clear(fc_job_spec *s) {
  g_free(s->id);
  release(s->class_name);
  release(s->team);
  release(s->image);
  release(s->zone);
  g_strfreev(s->types);
  g_strfreev(s->awaits);
  memset(s, 0, sizeof *s);
}

static json_t *spec_encode(const fc_job_spec *s) {
  json_t *types = NULL;
  if (s->types) {
    types = json_array();
    for (char **t = s->types; *t; t++) json_array_append_new(types, json_string(*t));
  }
  return json_pack("{ss ss ss ss ss si sf sf sf ss sf so? ss? sb sb sb sf sf sf so?}", "id", s->id, "squad",
                   s->class_name, "club", s->team, "play", k_kinds[s->kind], "rank", k_ranks[s->rank], "runs",
                   (int)s->tasks, "cpus", s->cpus, "gpus", s->gpus, "memGb", s->memory_gb, "kit", s->image, "pullGb",
                   s->image_gb, "builds", types, "ground", s->zone, "samePlace", (int)s->one_zone, "scatter",
                   (int)s->spread, "loaners", (int)s->spot, "expectS", s->estimate_s, "markS", s->checkpoint_s, "stowS",
                   s->save_s, "whistleS", s->deadline_s < 0 ? NULL : json_real(s->deadline_s));
}

unsigned fc_job_slices(const fc_job_spec *spec, unsigned limit) {
  unsigned slices = 1;
  if (spec->kind != FC_KIND_ARRAY) return slices; /* gangs and services are never split */
  /* Nor is what is judged by where the rest of it is: the owners of two slices can't see
   * what the other places at the same moment, and put them in different zones. */
  if (spec->one_zone || spec->spread) return slices;
  while (slices * 2 <= MIN(limit, FC_SLICES_MAX) && spec->tasks / (slices * 2) >= 2) slices *= 2;
  return slices;
}

/* {"3":[term,members]}; NULL: there is nothing to say. */
static json_t *last_moves_encode(const fc_job_origin *origin, unsigned slices) {
  json_t *v = NULL;
  for (unsigned i = 0; i < slices; i++) {
    if (!(origin->moved >> i & 1) || !origin->last_move[i].term) continue;
    if (!v) v = json_object();
    char slice[16];
    g_snprintf(slice, sizeof slice, "%u", i);
    json_object_set_new(
        v, slice, json_pack("[II]", (json_int_t)origin->last_move[i].term, (json_int_t)origin->last_move[i].members));
  }
  return v;
}

static void read_last_moves(fc_reader *r, fc_job_record *out) {
  const json_t *moves = json_object_get(r->object, "lastMove");
  const char *slice;
  json_t *pair;
  json_object_foreach((json_t *)moves, slice, pair) {
    unsigned long i = strtoul(slice, NULL, 10);
    json_int_t term = json_integer_value(json_array_get(pair, 0));
    json_int_t members = json_integer_value(json_array_get(pair, 1));
    if (i >= out->slices || term <= 0 || members <= 0 || members > UINT32_MAX) {
      fc_reader_fail(r, "lastMove", "not a hand-over of a slice of the job");
      return;
    }
    out->origin.last_move[i].term = (uint64_t)term;
    out->origin.last_move[i].members = (unsigned)members;
  }
}

json_t *fc_job_record_encode(const fc_job_spec *spec, fc_phase phase, const char *done, unsigned slices,
                             char *const *handed, const fc_job_origin *origin) {
  json_t *to = NULL;
  for (unsigned i = 0; handed && i < slices; i++) {
    if (!handed[i]) continue;
    if (!to) to = json_object();
    char slice[16];
    g_snprintf(slice, sizeof slice, "%u", i);
    json_object_set_new(to, slice, json_string(handed[i]));
  }
  bool awaiting = spec->awaits && phase == FC_PHASE_ACCEPTED;
  int format = awaiting ? FC_JOB_FORMAT_AWAITING : FC_JOB_FORMAT_PLAIN;
  json_t *v = json_pack("{si so ss ss* si so*}", "f", format, "spec", spec_encode(spec), "phase", k_phases[phase],
                        "done", done && *done ? done : NULL, "slices", (int)slices, "to", to);
  if (awaiting) json_object_set_new(v, "awaits", awaits_encode(spec->awaits));
  if (awaiting && origin && origin->submitted_at > 0)
    json_object_set_new(v, "submitted", json_real(origin->submitted_at));
  if (origin && origin->term) json_object_set_new(v, "term", json_integer((json_int_t)origin->term));
  if (origin && origin->moved) json_object_set_new(v, "moved", json_integer((json_int_t)origin->moved));
  json_t *moves = origin ? last_moves_encode(origin, slices) : NULL;
  if (moves) json_object_set_new(v, "lastMove", moves);
  if (origin && origin->unseen) json_object_set_new(v, "unseen", json_integer((json_int_t)origin->unseen));
  return v;
}

static void read_handed(fc_reader *r, fc_job_record *out) {
  const json_t *to = json_object_get(r->object, "to");
  const char *slice;
  json_t *name;
  json_object_foreach((json_t *)to, slice, name) {
    unsigned long i = strtoul(slice, NULL, 10);
    if (i >= out->slices || !json_is_string(name)) {
      fc_reader_fail(r, "to", "not a slice of the job");
      return;
    }
    g_free(out->handed[i]);
    out->handed[i] = g_strdup(json_string_value(name));
  }
}

bool fc_job_record_decode(const json_t *v, fc_job_record *out) {
  memset(out, 0, sizeof *out);
  fc_reader r;
  fc_reader_init(&r, v);
  uint64_t format = fc_read_count(&r, "f", FC_JOB_FORMAT_PLAIN, FC_JOB_FORMAT_AWAITING);
  if (!fc_reader_ok(&r)) return false;
  out->phase = (fc_phase)name_index(&r, "phase", k_phases, G_N_ELEMENTS(k_phases));
  const char *done = fc_read_string_or_null(&r, "done", (size_t)FC_TASKS_MAX * 8);
  out->slices = (unsigned)fc_read_count_or(&r, "slices", 1, FC_SLICES_MAX, 1);
  out->origin.term = fc_read_count_or(&r, "term", 0, (uint64_t)INT64_MAX, 0);
  out->origin.moved = (unsigned)fc_read_count_or(&r, "moved", 0, UINT32_MAX, 0);
  out->origin.unseen = (unsigned)fc_read_count_or(&r, "unseen", 0, UINT32_MAX, 0);
  if (fc_reader_ok(&r)) read_handed(&r, out);
  if (fc_reader_ok(&r)) read_last_moves(&r, out);
  const json_t *spec = fc_read_object(&r, "spec");
  fc_reader sr;
  fc_reader_init(&sr, spec);
  if (fc_reader_ok(&r)) spec_read(&sr, &out->spec);
  if (format == FC_JOB_FORMAT_AWAITING) {
    out->origin.submitted_at = fc_read_amount_or(&r, "submitted", 0, TIME_OF_DAY_MOST, 0);
    decode_awaits(&r, &out->spec);
  }
  if (!fc_reader_ok(&r) || !fc_reader_ok(&sr)) {
    fc_job_record_clear(out);
    return false;
  }
  out->done = g_strdup(done ? done : "");
  return true;
}

void fc_job_record_clear(fc_job_record *r) {
  fc_job_spec_clear(&r->spec);
  g_free(r->done);
  for (unsigned i = 0; i < FC_SLICES_MAX; i++) g_free(r->handed[i]);
  memset(r, 0, sizeof *r);
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

char *fc_ranges_encode(const uint8_t *bits, uint32_t tasks) {
  GString *out = g_string_new(NULL);
  for (uint32_t i = 0; i < tasks; i++) {
    if (!(bits[i / 8] & (1u << (i % 8)))) continue;
    uint32_t last = i;
    while (last + 1 < tasks && (bits[(last + 1) / 8] & (1u << ((last + 1) % 8)))) last++;
    if (out->len) g_string_append_c(out, ',');
    g_string_append_printf(out, "%u", i);
    if (last > i) g_string_append_printf(out, "-%u", last);
    i = last;
  }
  return g_string_free(out, FALSE);
}

static bool read_number(const char **p, uint32_t *out) {
  if (!g_ascii_isdigit(**p)) return false;
  char *end = NULL;
  unsigned long v = strtoul(*p, &end, 10);
  if (v > FC_TASKS_MAX) return false;
  *p = end;
  *out = (uint32_t)v;
  return true;
}

bool fc_ranges_decode(const char *text, uint8_t *bits, uint32_t tasks) {
  const char *p = text;
  while (*p) {
    uint32_t first = 0, last = 0;
    if (!read_number(&p, &first)) return false;
    last = first;
    if (*p == '-') {
      p++;
      if (!read_number(&p, &last)) return false;
    }
    if (last < first || last >= tasks) return false;
    for (uint32_t i = first; i <= last; i++) bits[i / 8] |= (uint8_t)(1u << (i % 8));
    if (*p == ',') {
      p++;
      if (!*p) return false;
    } else if (*p) {
      return false;
    }
  }
  return true;
}
