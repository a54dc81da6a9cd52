/* Jobs that await others, over a table without a network: which are ready, which are
 * cancelled with another, what they inherit, and what keeping that costs. */
#include "fixture.h"

#include <math.h>

#include "bookkeeping/dependencies.h"
#include "bookkeeping/description_parts.h"
#include "bookkeeping/job_records.h"
#include "protocol/json.h"
#include "scheduler/bin_packing.h"
#include "scheduler/job_order.h"

/* ---- what is parsed and stored ---- */

static char *submission(const char *awaits) {
  return g_strdup_printf(
      "{\"id\":\"job-000412\",\"squad\":\"c\",\"club\":\"red\",\"play\":\"sweep\",\"rank\":\"high\",\"runs\":2,"
      "\"cpus\":1,\"gpus\":1,\"memGb\":1,\"kit\":\"i\",\"pullGb\":1,\"samePlace\":false,\"scatter\":false,"
      "\"loaners\":true,\"expectS\":10,\"markS\":0,\"stowS\":0%s%s}",
      *awaits ? ",\"awaits\":" : "", awaits);
}

static void awaited_ids(void **state) {
  (void)state;
  static const struct {
    const char *name, *awaits;
    const char *ids;   /* as they are kept; NULL: refused */
    const char *error; /* how it begins; NULL: with the field's name */
  } rows[] = {
      {"no such field", "", "", NULL},
      {"null", "null", "", NULL},
      {"an empty list", "[]", "", NULL},
      {"one", "[\"job-000398\"]", "job-000398", NULL},
      {"two", "[\"job-000405\",\"job-000398\"]", "job-000398 job-000405", NULL},
      {"repeated", "[\"job-000398\",\"job-000398\",\"job-000398\"]", "job-000398", NULL},
      {"of other lengths", "[\"job-0000398\",\"job-000398\"]", "job-0000398 job-000398", NULL},
      {"the job itself is a job like others here", "[\"job-000412\"]", "job-000412", NULL},
      {"not a list", "\"job-000398\"", NULL, NULL},
      {"an object", "{\"job-000398\":1}", NULL, NULL},
      {"a number", "7", NULL, NULL},
      {"false", "false", NULL, NULL},
      {"a number in the list", "[\"job-000398\",398]", NULL, NULL},
      {"null in the list", "[null]", NULL, NULL},
      {"a list in the list", "[[\"job-000398\"]]", NULL, NULL},
      {"another form", "[\"job-398\"]", NULL, NULL},
      {"empty", "[\"\"]", NULL, NULL},
      {"a task", "[\"job-000398/1\"]", NULL, NULL},
      {"with a NUL", "[\"job-000398\\u0000\"]", NULL, "body: not JSON"},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    char *text = submission(rows[i].awaits);
    fc_job_spec spec;
    char error[200] = "";
    bool ok = fc_job_spec_parse(text, strlen(text), &spec, error, sizeof error);
    check_row(rows[i].name, ok == (rows[i].ids != NULL));
    if (ok) {
      char *ids = spec.awaits ? g_strjoinv(" ", spec.awaits) : g_strdup("");
      check_row(rows[i].name, strcmp(ids, rows[i].ids) == 0);
      check_row(rows[i].name, (spec.awaits == NULL) == (*rows[i].ids == '\0'));
      g_free(ids);
      fc_job_spec_clear(&spec);
    } else {
      check_row(rows[i].name, g_str_has_prefix(error, rows[i].error ? rows[i].error : "awaits"));
    }
    g_free(text);
  }
}

/* Only what still awaits others is marked with the format that older versions can't read. */
static void records(void **state) {
  (void)state;
  static const struct {
    const char *name, *awaits;
    fc_job_phase phase;
    int format;
  } rows[] = {
      {"awaits nobody", "[]", FC_PHASE_ACCEPTED, FC_JOB_FORMAT_PLAIN},
      {"awaits two", "[\"job-000398\",\"job-0000405\"]", FC_PHASE_ACCEPTED, FC_JOB_FORMAT_AWAITING},
      {"cancelled meanwhile", "[\"job-000398\"]", FC_PHASE_CANCELLED, FC_JOB_FORMAT_PLAIN},
      {"done", "[\"job-000398\"]", FC_PHASE_DONE, FC_JOB_FORMAT_PLAIN},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    char *text = submission(rows[i].awaits);
    fc_job_spec spec;
    char error[200];
    assert_true(fc_job_spec_parse(text, strlen(text), &spec, error, sizeof error));
    const fc_job_origin origin = {.term = 3, .submitted_at = 1.8e9 + 0.5};
    json_t *v = fc_job_record_encode(&(fc_job_record){
        .spec = spec, .origin = origin, .phase = rows[i].phase, .slices = 1, .awaiting = spec.awaits != NULL});
    check_row(rows[i].name, json_integer_value(json_object_get(v, "f")) == rows[i].format);
    bool awaiting = rows[i].format == FC_JOB_FORMAT_AWAITING;
    fc_job_record record;
    check_row(rows[i].name, fc_job_record_decode(v, &record));
    check_row(rows[i].name, record.phase == rows[i].phase && (record.spec.awaits != NULL) == awaiting);
    if (awaiting) {
      check_row(rows[i].name, strcmp(record.spec.awaits[0], "job-0000405") == 0);
      check_row(rows[i].name, strcmp(record.spec.awaits[1], "job-000398") == 0 && !record.spec.awaits[2]);
      check_row(rows[i].name, record.origin.submitted_at == origin.submitted_at);
    }
    fc_job_record_clear(&record);
    json_decref(v);
    fc_job_spec_clear(&spec);
    g_free(text);
  }
}

static void damaged_records(void **state) {
  (void)state;
  static const char *const bad[] = {"null", "\"\"", "7", "[\"000398\"]", "\"398\"", "\"000398,\"", "\"000398,x\""};
  char *text = submission("[\"job-000398\"]");
  fc_job_spec spec;
  char error[200];
  assert_true(fc_job_spec_parse(text, strlen(text), &spec, error, sizeof error));
  for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
    json_t *v =
        fc_job_record_encode(&(fc_job_record){.spec = spec, .phase = FC_PHASE_ACCEPTED, .slices = 1, .awaiting = true});
    json_object_set_new(v, "awaits", fc_json_parse(bad[i], strlen(bad[i])));
    fc_job_record record;
    check_row(bad[i], !fc_job_record_decode(v, &record));
    json_decref(v);
  }
  fc_job_spec_clear(&spec);
  g_free(text);
}

/* A member that says nothing of formats reads plain records alone. */
static void members_say_what_they_read(void **state) {
  (void)state;
  static const struct {
    const char *key;
    unsigned format;
  } rows[] = {{"{\"f\":1}", FC_JOB_FORMAT_PLAIN},
              {"{\"f\":1,\"jobFormat\":2}", 2},
              {"{\"f\":1,\"jobFormat\":3}", 3},
              {"{\"f\":1,\"jobFormat\":\"2\"}", FC_JOB_FORMAT_PLAIN}};
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    json_t *v = fc_json_parse(rows[i].key, strlen(rows[i].key));
    check_row(rows[i].key, fc_member_key_format(v) == rows[i].format);
    json_decref(v);
  }
  json_t *ours = fc_member_key_encode();
  assert_int_equal(fc_member_key_format(ours), FC_JOB_FORMAT_AWAITING);
  json_decref(ours);
}

/* ---- descriptions too long for one value ---- */

static char *long_list(unsigned ids) {
  GString *s = g_string_new("[");
  for (unsigned k = 0; k < ids; k++) g_string_append_printf(s, "%s\"job-%06u\"", k ? "," : "", 100000 + k);
  g_string_append_c(s, ']');
  return g_string_free(s, FALSE);
}

/* Cut at any size, no value is larger than it may be, and the whole is what it was. */
static void descriptions_in_parts(void **state) {
  (void)state;
  static const unsigned ids[] = {0, 1, 70, 4900};
  static const size_t sizes[] = {64, 1024, 2048, 8192, 1 << 20};
  for (size_t i = 0; i < G_N_ELEMENTS(ids); i++) {
    char *list = long_list(ids[i]), *text = submission(list), error[200];
    fc_job_spec spec, again;
    assert_true(fc_job_spec_parse(text, strlen(text), &spec, error, sizeof error));
    char *description = fc_job_description_text(&spec);
    for (size_t k = 0; k < G_N_ELEMENTS(sizes); k++) {
      fc_description_ref parts;
      GPtrArray *pieces = fc_job_description_cut(description, sizes[k], &parts);
      GString *whole = g_string_new(NULL);
      assert_int_equal(parts.count, pieces->len);
      for (guint n = 0; n < pieces->len; n++) {
        json_t *v = fc_job_part_encode(pieces->pdata[n]);
        assert_true(json_dumpb(v, NULL, 0, JSON_COMPACT) <= sizes[k]);
        g_string_append(whole, fc_job_part_decode(v));
        json_decref(v);
      }
      assert_string_equal(whole->str, description);
      g_string_free(whole, TRUE);
      g_ptr_array_free(pieces, TRUE);
    }
    assert_true(fc_job_description_read(description, &again));
    assert_int_equal(again.awaits ? g_strv_length(again.awaits) : 0, ids[i]);
    assert_true(again.tasks == spec.tasks && again.deadline_s == spec.deadline_s);
    fc_job_spec_clear(&again);
    description[strlen(description) / 2] = '\0'; /* a part is missing */
    assert_false(fc_job_description_read(description, &again));
    fc_job_spec_clear(&spec);
    g_free(description);
    g_free(text);
    g_free(list);
  }
}

static void keys_of_parts(void **state) {
  (void)state;
#define DIGEST "0123456789abcdef0123456789abcdef"
  static const struct {
    const char *key;
    bool good;
  } rows[] = {
      {"job-000001/" DIGEST "/0", true},
      {"job-000001/" DIGEST "/1023", true},
      {"job-000001/" DIGEST "/1024", false},
      {"job-000001/" DIGEST "/", false},
      {"job-000001/" DIGEST "/-1", false},
      {"job-000001/" DIGEST "/1x", false},
      {"job-1/" DIGEST "/0", false},
      {"job-000001/" DIGEST "0/0", false},
      {"job-000001/0", false},
      {"job-000001/" DIGEST "/0/0", false},
      {"", false},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    char job[32], digest[FC_JOB_DIGEST_SIZE];
    unsigned number = 0;
    check_row(rows[i].key, fc_job_part_key_parse(rows[i].key, job, digest, &number) == rows[i].good);
  }
  char *key = fc_job_part_key("job-000001", DIGEST, 7);
  assert_string_equal(key, "fc1/part/job-000001/" DIGEST "/7");
  g_free(key);
}

/* Parts come in any order, some go, some are of another text of the same job. */
static void parts_that_are_there(void **state) {
  (void)state;
  fc_description_parts *descriptions = fc_description_parts_new();
  const fc_description_ref of = {.digest = DIGEST, .count = 3};
  fc_description_parts_put(descriptions, "job-000001", DIGEST, 2, "c", 12, 5);
  fc_description_parts_put(descriptions, "job-000001", DIGEST, 0, "a", 10, 6);
  fc_description_parts_put(descriptions, "job-000001", "another", 1, "x", 11, 6);
  assert_null(fc_description_parts_join(descriptions, "job-000001", &of));
  fc_description_parts_put(descriptions, "job-000001", DIGEST, 1, "b", 11, 7);
  fc_description_parts_put(descriptions, "job-000001", DIGEST, 1, "old", 9, 7); /* read late */
  char *whole = fc_description_parts_join(descriptions, "job-000001", &of);
  assert_string_equal(whole, "abc");
  g_free(whole);
  assert_int_equal(fc_description_parts_version(descriptions, "job-000001", DIGEST, 2), 12);
  assert_int_equal(fc_description_parts_version(descriptions, "job-000001", DIGEST, 3), 0);
  fc_description_parts_drop_texts(descriptions, "job-000001", DIGEST);
  assert_null(fc_description_parts_join(descriptions, "job-000001", &of));
  assert_int_equal(fc_description_parts_version(descriptions, "job-000001", DIGEST, 0), 10);
  fc_description_parts_put(descriptions, "job-000001", DIGEST, 0, NULL, 20, 8);
  assert_int_equal(fc_description_parts_version(descriptions, "job-000001", DIGEST, 0), 0);
  /* Everything is read anew: what is not there any more is gone, what is newer stays. */
  GHashTable *present = g_hash_table_new(g_str_hash, g_str_equal);
  g_hash_table_add(present, "fc1/part/job-000001/" DIGEST "/1");
  fc_description_parts_put(descriptions, "job-000001", DIGEST, 5, "f", 31, 8);
  fc_description_parts_retain(descriptions, present, 30);
  assert_int_equal(fc_description_parts_version(descriptions, "job-000001", DIGEST, 1), 11);
  assert_int_equal(fc_description_parts_version(descriptions, "job-000001", DIGEST, 2), 0);
  assert_int_equal(fc_description_parts_version(descriptions, "job-000001", DIGEST, 5), 31);
  assert_int_equal(fc_description_parts_version(descriptions, "job-000001", "another", 1), 0);
  g_hash_table_destroy(present);
  fc_description_parts_free(descriptions);
}

/* A record whose description is elsewhere, and ones that say so in a wrong way. */
static void records_with_parts(void **state) {
  (void)state;
  fc_job_record record = {.phase = FC_PHASE_ACCEPTED, .slices = 4, .awaiting = true, .done = (char *)"0-1"};
  record.parts = (fc_description_ref){.digest = DIGEST, .count = 3};
  record.origin = (fc_job_origin){.term = 6, .submitted_at = 1.8e9};
  json_t *v = fc_job_record_encode(&record);
  assert_int_equal(json_integer_value(json_object_get(v, "f")), FC_JOB_FORMAT_AWAITING);
  fc_job_record again;
  assert_true(fc_job_record_decode(v, &again));
  assert_true(again.parts.count == 3 && strcmp(again.parts.digest, DIGEST) == 0 && again.awaiting);
  assert_true(again.slices == 4 && again.origin.term == 6 && again.origin.submitted_at == 1.8e9 && !again.spec.id);
  fc_job_record_clear(&again);
  static const char *const bad[] = {"7",
                                    "[]",
                                    "[\"" DIGEST "\"]",
                                    "[\"" DIGEST "\",0]",
                                    "[\"" DIGEST "\",-1]",
                                    "[\"" DIGEST "\",1025]",
                                    "[\"0123\",1]",
                                    "[3,\"" DIGEST "\"]"};
  for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
    json_object_set_new(v, "parts", fc_json_parse(bad[i], strlen(bad[i])));
    check_row(bad[i], !fc_job_record_decode(v, &again));
  }
  json_decref(v);
}

/* ---- a table with jobs that await each other ---- */

typedef struct scene {
  fc_settings settings;
  fc_cluster *table;
  uint64_t version;
} scene;

static scene *scene_new(void) {
  scene *s = g_new0(scene, 1);
  s->settings = fixture_settings();
  s->table = fixture_cluster(&s->settings);
  s->version = 10;
  return s;
}

static void scene_free(scene *s) {
  fc_cluster_free(s->table);
  g_free(s);
}

static const char *id_of(unsigned k) {
  static char ids[4][32];
  static unsigned next;
  char *id = ids[next++ % 4];
  g_snprintf(id, sizeof ids[0], "job-%06u", k);
  return id;
}

typedef struct stage {
  unsigned job;
  fc_priority rank;
  double estimate_s, deadline_s; /* 0: no deadline */
  unsigned awaits[4];            /* 0: no more */
} stage;

/* The record of the job as it is read, in one phase or another. */
static fc_job *put_at(scene *s, const stage *st, fc_job_phase phase, bool fresh, double now) {
  char *awaits[5] = {NULL};
  for (unsigned i = 0; i < 4 && st->awaits[i]; i++) awaits[i] = g_strdup(id_of(st->awaits[i]));
  fc_job_record record = {.phase = phase, .done = "", .slices = 1};
  record.awaiting = st->awaits[0] && phase == FC_PHASE_ACCEPTED;
  record.spec = (fc_job_spec){.id = (char *)id_of(st->job),
                              .class_name = g_ref_string_new_intern("c"),
                              .team = g_ref_string_new_intern("red"),
                              .image = g_ref_string_new_intern("i"),
                              .priority = st->rank,
                              .tasks = 1,
                              .cpus = 1,
                              .estimate_s = st->estimate_s,
                              .deadline_s = st->deadline_s > 0 ? st->deadline_s : -1,
                              .awaits = record.awaiting ? awaits : NULL};
  fc_job *job = fc_cluster_apply_job(s->table, record.spec.id, &record, ++s->version, fresh, now);
  g_ref_string_release(record.spec.class_name);
  g_ref_string_release(record.spec.team);
  g_ref_string_release(record.spec.image);
  for (char **id = awaits; *id; id++) g_free(*id);
  return job;
}

static fc_job *put(scene *s, const stage *st, fc_job_phase phase) {
  return put_at(s, st, phase, true, 0);
}

static const fc_job *job(const scene *s, unsigned k) {
  return fc_cluster_find_job(s->table, id_of(k));
}

/* 1 <- 2, 3 <- 4; 4 -> 5; 6 alone. */
static const stage k_diamond[] = {
    {1, FC_PRIORITY_BEST_EFFORT, 10, 0, {0}}, {2, FC_PRIORITY_BEST_EFFORT, 20, 0, {1}},
    {3, FC_PRIORITY_STANDARD, 30, 0, {1}},    {4, FC_PRIORITY_STANDARD, 5, 0, {2, 3}},
    {5, FC_PRIORITY_HIGH, 10, 200, {4}},      {6, FC_PRIORITY_STANDARD, 10, 0, {0}},
};
enum { DIAMOND = G_N_ELEMENTS(k_diamond) };

/* In whatever order the records come, what follows from them is the same. */
static void any_order_of_records(void **state) {
  (void)state;
  static const unsigned orders[][DIAMOND] = {
      {0, 1, 2, 3, 4, 5}, {5, 4, 3, 2, 1, 0}, {3, 0, 5, 1, 4, 2}, {4, 1, 2, 0, 3, 5}};
  for (size_t o = 0; o < G_N_ELEMENTS(orders); o++) {
    scene *s = scene_new();
    for (unsigned i = 0; i < DIAMOND; i++) put_at(s, &k_diamond[orders[o][i]], FC_PHASE_ACCEPTED, false, 0);
    for (unsigned k = 1; k <= 6; k++) assert_int_equal(fc_job_runnable(job(s, k)), k == 1 || k == 6);
    /* Ranks and latest starts: 5 by 190, 4 by 185 as it takes 5, 2 by 165, 3 by 155, 1 by 145. */
    static const double latest[] = {0, 145, 165, 155, 185, 190};
    for (unsigned k = 1; k <= 5; k++) {
      assert_int_equal(job(s, k)->queue.priority, FC_PRIORITY_HIGH);
      assert_true(fabs(fc_job_latest_start(job(s, k)) - latest[k]) < 1e-9);
    }
    assert_true(job(s, 6)->queue.priority == FC_PRIORITY_STANDARD && isinf(fc_job_latest_start(job(s, 6))));
    scene_free(s);
  }
}

typedef struct readiness_row {
  const char *name;
  unsigned over[6]; /* jobs in the order in which they end; 0: no more */
  fc_job_phase as;  /* of the last of them; the others are done */
  unsigned ready;   /* a bit a job: accepted and ready */
  unsigned cancelled;
} readiness_row;

#define BIT(k) (1u << (k))

static const readiness_row k_readiness[] = {
    {"nothing is over", {0}, FC_PHASE_DONE, BIT(1) | BIT(6), 0},
    {"the first is done", {1}, FC_PHASE_DONE, BIT(2) | BIT(3) | BIT(6), 0},
    {"one of two", {1, 2}, FC_PHASE_DONE, BIT(3) | BIT(6), 0},
    {"both", {1, 2, 3}, FC_PHASE_DONE, BIT(4) | BIT(6), 0},
    {"all before the last", {1, 3, 2, 4}, FC_PHASE_DONE, BIT(5) | BIT(6), 0},
    {"another's end changes nothing", {6}, FC_PHASE_DONE, BIT(1), 0},
    {"the first is cancelled", {1}, FC_PHASE_CANCELLED, BIT(6), BIT(1) | BIT(2) | BIT(3) | BIT(4) | BIT(5)},
    {"one of two is cancelled", {1, 2}, FC_PHASE_CANCELLED, BIT(3) | BIT(6), BIT(2) | BIT(4) | BIT(5)},
    {"the other is cancelled", {1, 2, 3}, FC_PHASE_CANCELLED, BIT(6), BIT(3) | BIT(4) | BIT(5)},
    {"the last is cancelled", {5}, FC_PHASE_CANCELLED, BIT(1) | BIT(6), BIT(5)},
    {"one that nobody awaits", {6}, FC_PHASE_CANCELLED, BIT(1), BIT(6)},
};

static void check_readiness(const scene *s, const readiness_row *row) {
  for (unsigned k = 1; k <= DIAMOND; k++) {
    const fc_job *j = job(s, k);
    check_row(row->name, fc_job_runnable(j) == (row->ready >> k & 1));
    check_row(row->name, (j->phase == FC_PHASE_CANCELLED) == (row->cancelled >> k & 1));
    uint32_t running;
    if (!fc_job_dependencies_met(j) && !(row->cancelled >> k & 1))
      check_row(row->name, fc_job_status_of(j, &running) == FC_STATUS_PENDING);
  }
}

static void ready_or_cancelled(void **state) {
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS(k_readiness); i++) {
    const readiness_row *row = &k_readiness[i];
    scene *s = scene_new();
    for (unsigned k = 0; k < DIAMOND; k++) put(s, &k_diamond[k], FC_PHASE_ACCEPTED);
    for (unsigned n = 0; n < 6 && row->over[n]; n++) {
      bool last = n == 5 || !row->over[n + 1];
      put(s, &k_diamond[row->over[n] - 1], last ? row->as : FC_PHASE_DONE);
    }
    check_readiness(s, row);
    /* And once more from what is stored, read anew in one go, in both orders. */
    for (int backwards = 0; backwards < 2; backwards++) {
      scene *again = scene_new();
      for (unsigned n = 0; n < DIAMOND; n++) {
        unsigned k = backwards ? DIAMOND - 1 - n : n;
        put_at(again, &k_diamond[k], job(s, k + 1)->record.phase, false, 0);
      }
      check_readiness(again, row);
      scene_free(again);
    }
    scene_free(s);
  }
}

/* What is only told by a peer counts as much as what is read; so does what the archive says. */
static void learned_elsewhere(void **state) {
  (void)state;
  enum { TOLD, ARCHIVED_CANCELLED, ARCHIVED_DONE, REMOVED };
  static const struct {
    const char *name;
    bool known; /* the first job's record has been read */
    int how;
    bool ready, cancelled;
  } rows[] = {
      {"a peer tells of a cancellation", true, TOLD, false, true},
      {"of a job that is not known yet", false, TOLD, false, true},
      {"archived as cancelled", false, ARCHIVED_CANCELLED, false, true},
      {"archived as done", false, ARCHIVED_DONE, true, false},
      {"gone without its end having been seen", true, REMOVED, false, false},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    scene *s = scene_new();
    if (rows[i].known) put(s, &k_diamond[0], FC_PHASE_ACCEPTED);
    put(s, &k_diamond[1], FC_PHASE_ACCEPTED);
    check_row(rows[i].name, !fc_job_dependencies_met(job(s, 2)));
    check_row(rows[i].name, (fc_job_unknown_dependency(job(s, 2)) == NULL) == rows[i].known);
    if (rows[i].how == TOLD) fc_cluster_apply_cancellation(s->table, id_of(1), 1000, 3, 4);
    if (rows[i].how == ARCHIVED_CANCELLED) fc_dependencies_learn(s->table, id_of(1), FC_DEPENDENCY_CANCELLED, 4);
    if (rows[i].how == ARCHIVED_DONE) fc_dependencies_learn(s->table, id_of(1), FC_DEPENDENCY_DONE, 4);
    if (rows[i].how == REMOVED) fc_cluster_remove_job(s->table, fc_cluster_find_job(s->table, id_of(1)));
    const fc_job *j = job(s, 2);
    check_row(rows[i].name, fc_job_runnable(j) == rows[i].ready);
    check_row(rows[i].name, (j->phase == FC_PHASE_CANCELLED) == rows[i].cancelled);
    GPtrArray *unknown = fc_dependencies_unknown(s->table, 9);
    check_row(rows[i].name, unknown->len == (rows[i].how == REMOVED));
    g_ptr_array_free(unknown, TRUE);
    scene_free(s);
  }
}

/* A job that is cancelled with another stays so whatever older records of it are still read,
 * and is listed for its owner until its own record says so. */
static void cancelled_with_another(void **state) {
  (void)state;
  scene *s = scene_new();
  for (unsigned k = 0; k < 3; k++) put(s, &k_diamond[k], FC_PHASE_ACCEPTED);
  put(s, &k_diamond[0], FC_PHASE_CANCELLED);
  put(s, &k_diamond[1], FC_PHASE_ACCEPTED); /* written by one who did not know yet */
  assert_int_equal(job(s, 2)->phase, FC_PHASE_CANCELLED);
  assert_int_equal(job(s, 2)->record.phase, FC_PHASE_ACCEPTED);
  GPtrArray *ids = fc_dependencies_unrecorded(s->table, s->table->membership.self, 9);
  assert_int_equal(ids->len, 2);
  g_ptr_array_free(ids, TRUE);
  assert_true(fc_dependencies_has_dependents(s->table, id_of(1))); /* not to be archived yet */
  put(s, &k_diamond[1], FC_PHASE_CANCELLED);
  put(s, &k_diamond[2], FC_PHASE_CANCELLED);
  ids = fc_dependencies_unrecorded(s->table, s->table->membership.self, 9);
  assert_int_equal(ids->len, 0);
  g_ptr_array_free(ids, TRUE);
  assert_false(fc_dependencies_has_dependents(s->table, id_of(1)));
  /* One that names it now is cancelled from the start. */
  static const stage late = {9, FC_PRIORITY_HIGH, 1, 0, {1}};
  put(s, &late, FC_PHASE_ACCEPTED);
  assert_int_equal(job(s, 9)->phase, FC_PHASE_CANCELLED);
  scene_free(s);
}

/* What a job inherits ends with those from whom it inherits. */
static void inherited_and_lost(void **state) {
  (void)state;
  scene *s = scene_new();
  for (unsigned k = 0; k < 4; k++) put(s, &k_diamond[k], FC_PHASE_ACCEPTED);
  assert_true(job(s, 1)->queue.priority == FC_PRIORITY_STANDARD && isinf(job(s, 1)->queue.due_at));
  put(s, &k_diamond[4], FC_PHASE_ACCEPTED); /* the last is submitted late */
  assert_true(job(s, 1)->queue.priority == FC_PRIORITY_HIGH && job(s, 1)->queue.due_at == 155);
  assert_true(job(s, 2)->queue.priority == FC_PRIORITY_HIGH && job(s, 2)->queue.due_at == 185);
  static const stage sooner = {7, FC_PRIORITY_BEST_EFFORT, 10, 60, {2}};
  put(s, &sooner, FC_PHASE_ACCEPTED);
  assert_true(job(s, 2)->queue.due_at == 50 && job(s, 1)->queue.due_at == 30 && job(s, 3)->queue.due_at == 185);
  static const stage higher = {8, FC_PRIORITY_PROD, 10, 400, {2}};
  put(s, &higher, FC_PHASE_ACCEPTED);
  assert_true(job(s, 2)->queue.priority == FC_PRIORITY_PROD && job(s, 2)->queue.due_at == 50);
  put(s, &higher, FC_PHASE_CANCELLED);
  assert_true(job(s, 2)->queue.priority == FC_PRIORITY_HIGH && job(s, 2)->queue.due_at == 50);
  put(s, &sooner, FC_PHASE_CANCELLED);
  assert_true(job(s, 2)->queue.due_at == 185 && job(s, 1)->queue.due_at == 155);
  put(s, &k_diamond[4], FC_PHASE_CANCELLED);
  assert_true(job(s, 1)->queue.priority == FC_PRIORITY_STANDARD && isinf(job(s, 1)->queue.due_at));
  assert_true(job(s, 2)->queue.priority == FC_PRIORITY_STANDARD && job(s, 3)->queue.priority == FC_PRIORITY_STANDARD);
  fc_cluster_apply_cancellation(s->table, id_of(4), 1000, 0, 0); /* told by a peer */
  assert_int_equal(job(s, 2)->queue.priority, FC_PRIORITY_BEST_EFFORT);
  assert_int_equal(job(s, 3)->queue.priority, FC_PRIORITY_STANDARD);
  scene_free(s);
}

/* The waits of a job begin when it becomes ready; what it takes is expected from then on. */
static void waits_begin_when_ready(void **state) {
  (void)state;
  scene *s = scene_new();
  put_at(s, &k_diamond[0], FC_PHASE_ACCEPTED, true, 1);
  put_at(s, &k_diamond[1], FC_PHASE_ACCEPTED, true, 2);
  const fc_arrival_class *job_class = g_hash_table_lookup(s->table->arrivals.classes, "c");
  assert_true(job_class->weight == 1);
  put_at(s, &k_diamond[0], FC_PHASE_DONE, true, 50);
  assert_true(job(s, 2)->queue.entered_at == 50 && job(s, 2)->lifecycle.submitted_at == 2);
  assert_true(job_class->weight > 1);
  assert_int_equal(job(s, 2)->slices.resolved, ~0u);
  scene_free(s);
  /* Seen ready by one who reads everything anew, it may have been started before. */
  s = scene_new();
  s->table->reconciliation.complete_in_term = 0;
  put_at(s, &k_diamond[1], FC_PHASE_ACCEPTED, false, 2);
  put_at(s, &k_diamond[0], FC_PHASE_DONE, false, 2);
  assert_true(fc_job_dependencies_met(job(s, 2)));
  assert_int_equal(job(s, 2)->slices.resolved, 0);
  scene_free(s);
}

/* Its record is written without what it awaited once that is done. */
static void written_when_ready(void **state) {
  (void)state;
  scene *s = scene_new();
  put(s, &k_diamond[0], FC_PHASE_ACCEPTED);
  put(s, &k_diamond[1], FC_PHASE_ACCEPTED);
  static const stage plain = {2, FC_PRIORITY_BEST_EFFORT, 20, 0, {0}};
  put_at(s, &plain, FC_PHASE_ACCEPTED, true, 7); /* its owner knew before us */
  assert_true(fc_job_dependencies_met(job(s, 2)) && job(s, 2)->queue.entered_at == 7);
  assert_null(job(s, 2)->spec.awaits);
  assert_false(fc_dependencies_has_dependents(s->table, id_of(1)));
  scene_free(s);
}

/* What waits for others is no candidate, whatever it is asked for. */
static void not_placed_before(void **state) {
  (void)state;
  scene *s = scene_new();
  fixture_machine(s->table, "vm-1", "a", false);
  for (unsigned k = 0; k < DIAMOND; k++) put(s, &k_diamond[k], FC_PHASE_ACCEPTED);
  fc_allowance allow;
  for (size_t k = 0; k < FC_TEAMS_MAX; k++) allow.cpus[k] = allow.gpus[k] = INFINITY;
  GArray *plan = fc_place_round(s->table, &allow, 1);
  assert_int_equal(plan->len, 2);
  /* 1 has the rank of the last of its pipeline. */
  assert_string_equal(g_array_index(plan, fc_decision, 0).job->spec.id, "job-000001");
  assert_string_equal(g_array_index(plan, fc_decision, 1).job->spec.id, "job-000006");
  g_array_free(plan, TRUE);
  GPtrArray *open = fc_cluster_open_jobs(s->table);
  assert_int_equal(open->len, 2);
  g_ptr_array_free(open, TRUE);
  scene_free(s);
}

typedef struct order_row {
  const char *name;
  stage a, b;
  double a_at, b_at; /* submitted */
  bool a_first;
} order_row;

/* Jobs of one rank go by when they have to start. */
static void order_of_jobs(void **state) {
  (void)state;
  static const order_row rows[] = {
      {"by rank", {1, FC_PRIORITY_STANDARD, 9, 10, {0}}, {2, FC_PRIORITY_HIGH, 9, 0, {0}}, 0, 5, false},
      {"first come", {1, FC_PRIORITY_HIGH, 9, 0, {0}}, {2, FC_PRIORITY_HIGH, 9, 0, {0}}, 0, 5, true},
      {"the sooner deadline", {1, FC_PRIORITY_HIGH, 9, 90, {0}}, {2, FC_PRIORITY_HIGH, 9, 50, {0}}, 0, 5, false},
      {"the longer one of equal deadlines",
       {1, FC_PRIORITY_HIGH, 9, 90, {0}},
       {2, FC_PRIORITY_HIGH, 30, 90, {0}},
       0,
       0,
       false},
      {"a deadline far away waits for what has none",
       {1, FC_PRIORITY_HIGH, 9, 90, {0}},
       {2, FC_PRIORITY_HIGH, 9, 0, {0}},
       0,
       5,
       false},
      {"one that is close does not", {1, FC_PRIORITY_HIGH, 9, 12, {0}}, {2, FC_PRIORITY_HIGH, 9, 0, {0}}, 0, 5, true},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    scene *s = scene_new();
    const fc_job *a = put_at(s, &rows[i].a, FC_PHASE_ACCEPTED, true, rows[i].a_at);
    const fc_job *b = put_at(s, &rows[i].b, FC_PHASE_ACCEPTED, true, rows[i].b_at);
    check_row(rows[i].name, (fc_job_compare_priority(&a, &b) < 0) == rows[i].a_first);
    check_row(rows[i].name, (fc_job_compare_priority(&b, &a) > 0) == rows[i].a_first);
    scene_free(s);
  }
}

/* ---- large ones ---- */

enum { LONG = 5000 };

/* A chain of thousands is cancelled, or read anew, without a deep stack, and each job that is
 * done makes one other ready. */
static void a_long_chain(void **state) {
  (void)state;
  scene *s = scene_new();
  for (unsigned k = 1; k <= LONG; k++) {
    const stage st = {k, k == LONG ? FC_PRIORITY_PROD : FC_PRIORITY_STANDARD, 1, k == LONG ? 2.0 * LONG : 0, {k - 1}};
    put(s, &st, FC_PHASE_ACCEPTED);
  }
  assert_true(job(s, 1)->queue.priority == FC_PRIORITY_PROD && job(s, 1)->queue.due_at == 2.0 * LONG - (LONG - 1));
  const stage first = {1, FC_PRIORITY_STANDARD, 1, 0, {0}};
  put(s, &first, FC_PHASE_CANCELLED);
  for (unsigned k = 1; k <= LONG; k++) assert_int_equal(job(s, k)->phase, FC_PHASE_CANCELLED);
  scene_free(s);
}

/* Many jobs await one, and one awaits them all through its list in part. */
static void a_wide_fan(void **state) {
  (void)state;
  scene *s = scene_new();
  const stage first = {1, FC_PRIORITY_STANDARD, 1, 0, {0}};
  put(s, &first, FC_PHASE_ACCEPTED);
  for (unsigned k = 2; k <= LONG; k++) {
    const stage st = {k, FC_PRIORITY_HIGH, 1, 1000.0 - k * 0.1, {1}};
    put(s, &st, FC_PHASE_ACCEPTED);
  }
  assert_true(job(s, 1)->queue.priority == FC_PRIORITY_HIGH);
  assert_true(fabs(job(s, 1)->queue.due_at - (1000.0 - LONG * 0.1 - 1)) < 1e-6);
  put(s, &first, FC_PHASE_DONE);
  for (unsigned k = 2; k <= LONG; k++) assert_true(fc_job_runnable(job(s, k)));
  scene_free(s);
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(awaited_ids),
      cmocka_unit_test(records),
      cmocka_unit_test(damaged_records),
      cmocka_unit_test(members_say_what_they_read),
      cmocka_unit_test(descriptions_in_parts),
      cmocka_unit_test(keys_of_parts),
      cmocka_unit_test(parts_that_are_there),
      cmocka_unit_test(records_with_parts),
      cmocka_unit_test(any_order_of_records),
      cmocka_unit_test(ready_or_cancelled),
      cmocka_unit_test(learned_elsewhere),
      cmocka_unit_test(cancelled_with_another),
      cmocka_unit_test(inherited_and_lost),
      cmocka_unit_test(waits_begin_when_ready),
      cmocka_unit_test(written_when_ready),
      cmocka_unit_test(not_placed_before),
      cmocka_unit_test(order_of_jobs),
      cmocka_unit_test(a_long_chain),
      cmocka_unit_test(a_wide_fan),
  };
  return cmocka_run_group_tests(tests, NULL, NULL);
}
