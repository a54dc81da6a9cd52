/* What JSON allows may stand in an unknown member of any message without effect, and what is not JSON is refused: all
 * messages that a controller receives, and the records of the store, with random members and random damage.
 * SOUND_INPUT_SEED=N begins with that seed, SOUND_INPUT_SEEDS=M asks for M seeds. */
#include "check.h"

#include <stdlib.h>

#include "json_texts.h"
#include "protocol/cloud_api.h"
#include "protocol/job.h"
#include "protocol/job_record.h"
#include "protocol/json.h"
#include "protocol/kv_store.h"
#include "protocol/records.h"
#include "protocol/settings.h"
#include "protocol/worker_api.h"
#include "transport/http.h"

#define SEEDS 150u
#define MEMBERS_MAX_BYTES 3000u
#define MUTATIONS_PER_SEED 100u
#define MUTATED_MAX_BYTES 400u
#define LARGEST_TOKEN "18446744073709551615"

/* ---- a server that gives one response, in place of transport/http_client.c ---- */

struct fc_http_client {
  char unused;
};

static int g_reply_status;
static const GString *g_reply_body;
static GString *g_request_body; /* of the last call */

fc_http_client *fc_http_client_new(const fc_endpoint *to, size_t max_body_bytes) {
  (void)to, (void)max_body_bytes;
  return g_new0(fc_http_client, 1);
}

void fc_http_client_free(fc_http_client *client) {
  g_free(client);
}

bool fc_http_call(fc_http_client *client, const char *method, const char *path, const char *body, size_t body_len,
                  double deadline, fc_http_reply *reply) {
  (void)client, (void)method, (void)path, (void)deadline;
  g_string_truncate(g_request_body, 0);
  if (body) g_string_append_len(g_request_body, body, (gssize)body_len);
  *reply =
      (fc_http_reply){.status = g_reply_status, .body = g_string_new_len(g_reply_body->str, (gssize)g_reply_body->len)};
  return true;
}

void fc_http_reply_clear(fc_http_reply *reply) {
  if (reply->body) g_string_free(reply->body, TRUE);
  reply->body = NULL;
}

/* ---- what is read from each message, as text; NULL: it is refused ---- */

static char *read_submission(const GString *text) {
  fc_job_spec spec;
  fc_message_error error;
  if (!fc_job_spec_parse(text->str, text->len, &spec, &error)) return NULL;
  char *read = fc_job_description_text(&spec);
  fc_job_spec_clear(&spec);
  return read;
}

static char *heartbeat_text(fc_heartbeat *heartbeat) {
  GString *read = g_string_new(NULL);
  g_string_printf(read, "%s %s %s %s %d %" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT " %g",
                  heartbeat->machine, heartbeat->endpoint, heartbeat->type, heartbeat->zone, heartbeat->spot,
                  (guint64)heartbeat->epoch, (guint64)heartbeat->sequence, (guint64)heartbeat->fencing_token,
                  heartbeat->spot_notice_s);
  for (size_t i = 0; i < heartbeat->task_count; i++) {
    const fc_task_status *task = &heartbeat->tasks[i];
    g_string_append_printf(read, " %s/%u@%" G_GUINT64_FORMAT " %d %d %d", task->job, task->index,
                           (guint64)task->attempt, (int)task->state, (int)task->cause, task->saved);
  }
  fc_heartbeat_clear(heartbeat);
  return g_string_free(read, FALSE);
}

static char *read_heartbeat(const GString *text) {
  fc_heartbeat heartbeat;
  fc_message_error error;
  return fc_heartbeat_parse(text->str, text->len, &heartbeat, &error) ? heartbeat_text(&heartbeat) : NULL;
}

static char *read_call_response(const GString *text) {
  static const fc_command k_start = {.op = FC_COMMAND_START, .job = "job-000001", .attempt = 1};
  fc_endpoint at = {0};
  fc_heartbeat heartbeat;
  g_reply_status = 200;
  g_reply_body = text;
  if (fc_worker_call(&at, 1, 1, &k_start, 1, 0, &heartbeat) != FC_WORKER_CALL_DONE) return NULL;
  return heartbeat_text(&heartbeat);
}

static void append_changes(GString *read, const GPtrArray *changes) {
  for (guint i = 0; i < changes->len; i++) {
    const fc_kv_change *change = changes->pdata[i];
    /* Members of the value are read with the record that it is. */
    g_string_append_printf(read, " %s@%" G_GUINT64_FORMAT " %s", change->key, (guint64)change->version,
                           json_is_object(change->value) ? "object" : "-");
  }
}

/* Calls the store, which responds with the text. Returns what the call gave as text; NULL: it failed. */
typedef fc_kv_result (*kv_call)(fc_kv *kv, GString *read);

static char *read_from_store(const GString *text, int status, kv_call call, fc_kv_result expected) {
  fc_endpoint at = {0};
  fc_kv *kv = fc_kv_new(&at);
  g_reply_status = status;
  g_reply_body = text;
  GString *read = g_string_new(NULL);
  fc_kv_result result = call(kv, read);
  fc_kv_free(kv);
  return g_string_free(read, result != expected);
}

static fc_kv_result commit(fc_kv *kv, GString *read) {
  uint64_t revision = 0;
  fc_txn *txn = fc_txn_new();
  g_autoptr(GPtrArray) failed = g_ptr_array_new_with_free_func(g_free);
  fc_txn_delete(txn, "a");
  fc_kv_result result = fc_kv_commit(kv, txn, 0, &revision, failed);
  fc_txn_free(txn);
  g_string_append_printf(read, "%" G_GUINT64_FORMAT, (guint64)revision);
  for (guint i = 0; i < failed->len; i++) g_string_append_printf(read, " %s", (char *)failed->pdata[i]);
  return result;
}

static fc_kv_result get(fc_kv *kv, GString *read) {
  json_t *value = NULL;
  fc_kv_result result = fc_kv_get(kv, "fc1/term", 0, &value);
  g_string_append(read, json_is_object(value) ? "object" : "-");
  json_decref(value);
  return result;
}

static fc_kv_result list(fc_kv *kv, GString *read) {
  g_autoptr(GPtrArray) rows = g_ptr_array_new_with_free_func(fc_kv_change_free);
  bool more = false;
  uint64_t revision = 0;
  fc_kv_result result = fc_kv_list(kv, "fc1/", NULL, 10, 0, rows, &more, &revision);
  g_string_append_printf(read, "%" G_GUINT64_FORMAT " %d", (guint64)revision, more);
  append_changes(read, rows);
  return result;
}

static fc_kv_result changes(fc_kv *kv, GString *read) {
  g_autoptr(GPtrArray) events = g_ptr_array_new_with_free_func(fc_kv_change_free);
  uint64_t revision = 0;
  fc_kv_result result = fc_kv_changes(kv, "fc1/", 1, 0, 0, events, &revision);
  g_string_append_printf(read, "%" G_GUINT64_FORMAT, (guint64)revision);
  append_changes(read, events);
  return result;
}

static fc_kv_result open_lease(fc_kv *kv, GString *read) {
  uint64_t lease = 0;
  fc_kv_result result = fc_kv_lease_open(kv, 1, 0, &lease);
  g_string_append_printf(read, "%" G_GUINT64_FORMAT, (guint64)lease);
  return result;
}

static fc_kv_result renew_lease(fc_kv *kv, GString *read) {
  (void)read;
  return fc_kv_lease_renew(kv, 7, 0);
}

static char *read_commit(const GString *text) {
  return read_from_store(text, 200, commit, FC_KV_OK);
}

static char *read_conflict(const GString *text) {
  return read_from_store(text, 409, commit, FC_KV_CONFLICT);
}

static char *read_key(const GString *text) {
  return read_from_store(text, 200, get, FC_KV_OK);
}

static char *read_list(const GString *text) {
  return read_from_store(text, 200, list, FC_KV_OK);
}

static char *read_changes(const GString *text) {
  return read_from_store(text, 200, changes, FC_KV_OK);
}

static char *read_lease(const GString *text) {
  return read_from_store(text, 200, open_lease, FC_KV_OK);
}

static char *read_renewal(const GString *text) {
  return read_from_store(text, 200, renew_lease, FC_KV_OK);
}

typedef fc_cloud_result (*cloud_call)(fc_cloud *cloud, GString *read);

static char *read_from_cloud(const GString *text, cloud_call call) {
  fc_endpoint at = {0};
  fc_cloud *cloud = fc_cloud_new(&at);
  g_reply_status = 200;
  g_reply_body = text;
  GString *read = g_string_new(NULL);
  fc_cloud_result result = call(cloud, read);
  fc_cloud_free(cloud);
  return g_string_free(read, result != FC_CLOUD_OK);
}

static fc_cloud_result list_types(fc_cloud *cloud, GString *read) {
  g_autoptr(GPtrArray) types = g_ptr_array_new_with_free_func(fc_machine_type_free);
  fc_cloud_result result = fc_cloud_types(cloud, 0, types);
  for (guint i = 0; i < types->len; i++) {
    const fc_machine_type *type = types->pdata[i];
    g_autofree char *zones = g_strjoinv(",", type->zones);
    g_string_append_printf(read, " %s %g %g %g %g %g %g %g %g %s", type->name, type->cpus, type->gpus, type->memory_gb,
                           type->cache_gb, type->fetch_gb_per_s, type->price, type->spot_price, type->boot_s, zones);
  }
  return result;
}

static fc_cloud_result rent(fc_cloud *cloud, GString *read) {
  g_autoptr(GPtrArray) ids = g_ptr_array_new_with_free_func(g_free);
  fc_cloud_result result = fc_cloud_rent(cloud, "r-1", "g8", "a", true, 2, 0, ids);
  for (guint i = 0; i < ids->len; i++) g_string_append_printf(read, " %s", (char *)ids->pdata[i]);
  return result;
}

static fc_cloud_result list_machines(fc_cloud *cloud, GString *read) {
  g_autoptr(GPtrArray) machines = g_ptr_array_new_with_free_func(fc_listed_machine_free);
  bool more = false;
  fc_cloud_result result = fc_cloud_list(cloud, NULL, 10, 0, machines, &more);
  g_string_append_printf(read, "%d", more);
  for (guint i = 0; i < machines->len; i++) {
    const fc_listed_machine *machine = machines->pdata[i];
    g_string_append_printf(read, " %s %s %s %s %d %d %g", machine->id, machine->endpoint, machine->type, machine->zone,
                           machine->spot, (int)machine->status, machine->age_s);
  }
  return result;
}

static char *read_types(const GString *text) {
  return read_from_cloud(text, list_types);
}

static char *read_rental(const GString *text) {
  return read_from_cloud(text, rent);
}

static char *read_machines(const GString *text) {
  return read_from_cloud(text, list_machines);
}

/* The compact text of a record that was decoded and encoded again; takes the reference. */
static char *encoded_text(json_t *record) {
  GString *read = g_string_new(NULL);
  fc_json_append(read, record);
  return g_string_free(read, FALSE);
}

static char *read_term(const GString *text) {
  fc_term term;
  json_auto_t *value = fc_json_parse(text->str, text->len, NULL);
  return fc_term_decode(value, &term) ? encoded_text(fc_term_encode(&term)) : NULL;
}

static char *read_member_key(const GString *text) {
  json_auto_t *value = fc_json_parse(text->str, text->len, NULL);
  return value ? g_strdup_printf("%u %d %d %d", fc_member_key_format(value), fc_member_key_raised_tokens(value),
                                 fc_member_key_starts_in_answers(value), fc_member_key_moved_descriptions(value))
               : NULL;
}

static char *read_machine(const GString *text) {
  fc_machine_record record;
  json_auto_t *value = fc_json_parse(text->str, text->len, NULL);
  return fc_machine_record_decode(value, &record) ? encoded_text(fc_machine_record_encode(&record)) : NULL;
}

static char *read_rental_record(const GString *text) {
  fc_rental_record record;
  json_auto_t *value = fc_json_parse(text->str, text->len, NULL);
  return fc_rental_record_decode(value, &record) ? encoded_text(fc_rental_record_encode(&record)) : NULL;
}

static char *read_archived(const GString *text) {
  fc_archived_job record;
  json_auto_t *value = fc_json_parse(text->str, text->len, NULL);
  return fc_archived_job_decode(value, &record) ? encoded_text(fc_archived_job_encode(&record)) : NULL;
}

static char *read_quota(const GString *text) {
  fc_settings settings = {.teams = {{.name = "vision", .cpus_max = 8, .gpus_max = 4}}, .team_count = 1};
  fc_quota_record *quota = g_new0(fc_quota_record, 1);
  json_auto_t *value = fc_json_parse(text->str, text->len, NULL);
  char *read =
      fc_quota_record_decode(value, &settings, quota) ? encoded_text(fc_quota_record_encode(quota, &settings)) : NULL;
  g_free(quota);
  return read;
}

static char *read_job_record(const GString *text) {
  fc_job_record record;
  json_auto_t *value = fc_json_parse(text->str, text->len, NULL);
  if (!fc_job_record_decode(value, &record)) return NULL;
  char *read = encoded_text(fc_job_record_encode(&record));
  fc_job_record_clear(&record);
  return read;
}

static char *read_description(const GString *text) {
  fc_job_spec spec;
  if (!g_utf8_validate(text->str, (gssize)text->len, NULL) || !fc_job_description_read(text->str, &spec)) return NULL;
  char *read = fc_job_description_text(&spec);
  fc_job_spec_clear(&spec);
  return read;
}

static char *read_part(const GString *text) {
  json_auto_t *value = fc_json_parse(text->str, text->len, NULL);
  return g_strdup(fc_job_part_decode(value));
}

/* ---- the messages ---- */

#define SUBMISSION_FIELDS                                                                                           \
  "\"id\":\"job-000412\",\"squad\":\"train\",\"club\":\"vision\",\"play\":\"sweep\",\"rank\":\"high\",\"runs\":16," \
  "\"cpus\":8.0,\"gpus\":1.0,\"memGb\":64.0,\"kit\":\"img-07\",\"pullGb\":6.2,\"builds\":[\"g8\"],\"ground\":null," \
  "\"samePlace\":false,\"scatter\":false,\"loaners\":true,\"expectS\":240.0,\"markS\":30.0,\"stowS\":4.0,"          \
  "\"whistleS\":900.0"

#define REPORT                                                                                                      \
  "{\"paddock\":\"vm-000231\",\"endpoint\":\"10.1.0.232:9000\",\"build\":\"g8\",\"ground\":\"a\",\"loaners\":true," \
  "\"stint\":1,\"tally\":" LARGEST_TOKEN ",\"captaincy\":" LARGEST_TOKEN                                            \
  ",\"recallS\":null,\"runs\":[{\"run\":"                                                                           \
  "\"job-000412/3\",\"kickoff\":" LARGEST_TOKEN                                                                     \
  ",\"status\":\"running\"},{\"run\":\"job-000398/0\",\"kickoff\":1,"                                               \
  "\"status\":\"exited\",\"cause\":\"done\"}]}"

typedef struct message {
  const char *name, *text;
  char *(*read)(const GString *text);
} message;

static const message k_messages[] = {
    {"submission", "{" SUBMISSION_FIELDS ",\"awaits\":[\"job-000001\"]}", read_submission},
    {"report", REPORT, read_heartbeat},
    {"response of a worker", REPORT, read_call_response},
    {"commit", "{\"round\":" LARGEST_TOKEN "}", read_commit},
    {"conflict", "{\"failed\":[\"a/b\"],\"round\":431}", read_conflict},
    {"key", "{\"key\":\"fc1/term\",\"v\":{\"f\":1},\"edition\":412,\"pass\":7}", read_key},
    {"list",
     "{\"rows\":[{\"key\":\"fc1/a\",\"v\":{\"f\":1},\"edition\":" LARGEST_TOKEN "}],\"more\":true,\"round\":431}",
     read_list},
    {"changes",
     "{\"round\":433,\"events\":[{\"set\":\"fc1/9\",\"v\":{\"f\":1},\"edition\":433},{\"remove\":\"fc1/d\","
     "\"edition\":432}]}",
     read_changes},
    {"lease", "{\"pass\":" LARGEST_TOKEN "}", read_lease},
    {"renewal", "{}", read_renewal},
    {"types",
     "{\"builds\":[{\"name\":\"g8\",\"cpus\":96,\"gpus\":8,\"memGb\":768,\"cacheGb\":200,\"pullGbPerS\":1.0,\"price\":"
     "12.0,\"marketPrice\":4.5,\"bootS\":45,\"grounds\":[\"a\",\"b\"]}]}",
     read_types},
    {"rental", "{\"paddocks\":[\"vm-000231\",\"vm-000232\"]}", read_rental},
    {"machines",
     "{\"paddocks\":[{\"id\":\"vm-000231\",\"endpoint\":\"10.1.0.232:9000\",\"build\":\"g8\",\"ground\":\"a\","
     "\"loaners\":true,\"status\":\"running\",\"ageS\":61.5}],\"more\":false}",
     read_machines},
    {"term record",
     "{\"f\":1,\"term\":" LARGEST_TOKEN ",\"seed\":77,\"since\":2,\"members\":[{\"name\":\"a\",\"boot\":" LARGEST_TOKEN
     "}]}",
     read_term},
    {"member key",
     "{\"f\":1,\"jobFormat\":2,\"raisedTokens\":true,\"movedDescriptions\":true,\"startsInAnswers\":true}",
     read_member_key},
    {"machine record",
     "{\"f\":1,\"type\":\"g8\",\"zone\":\"a\",\"owner\":\"c-0\",\"at\":\"10.1.0.2:9000\",\"spot\":true}", read_machine},
    {"rental record", "{\"f\":1,\"type\":\"g8\",\"zone\":\"a\",\"owner\":\"c-0\",\"spot\":true,\"count\":3}",
     read_rental_record},
    {"archived job", "{\"f\":1,\"done\":true,\"tasks\":3}", read_archived},
    {"quota record",
     "{\"f\":1,\"term\":4096,\"carried\":false,\"shares\":{\"c-0\":{\"vision\":[4.0,2.0]},\"c-1\":{\"vision\":[4.0,2.0]"
     "}}}",
     read_quota},
    {"job record",
     "{\"f\":1,\"spec\":{" SUBMISSION_FIELDS
     "},\"phase\":\"accepted\",\"done\":\"0-3\",\"slices\":4,\"to\":{\"2\":\"c-2\"},"
     "\"term\":" LARGEST_TOKEN ",\"moved\":4,\"lastMove\":{\"2\":[" LARGEST_TOKEN ",3]}}",
     read_job_record},
    {"job record with a description in parts",
     "{\"f\":2,\"parts\":[\"0123456789abcdef0123456789abcdef\",2],\"awaiting\":false,\"phase\":\"accepted\",\"slices\":"
     "1}",
     read_job_record},
    {"description", "{\"spec\":{" SUBMISSION_FIELDS "},\"awaits\":\"000001\"}", read_description},
    {"part of a description", "{\"f\":1,\"text\":\"abc\"}", read_part},
};

/* ---- tests ---- */

static guint seeds(void) {
  const char *text = g_getenv("SOUND_INPUT_SEEDS");
  return text ? (guint)atoi(text) : SEEDS;
}

static guint first_seed(void) {
  const char *text = g_getenv("SOUND_INPUT_SEED");
  return text ? (guint)atoi(text) : 1;
}

#define PRINTED_FAILURES_MAX 10u
#define PRINTED_BYTES_MAX 400u

/* Counts the messages of which a check failed; the first ones are printed. */
typedef struct failures {
  guint messages, failed;
} failures;

static void expect(failures *failures, bool condition, const char *message, const char *what, guint seed,
                   const GString *text) {
  failures->messages++;
  if (condition) return;
  if (failures->failed++ < PRINTED_FAILURES_MAX)
    print_message("%s, seed %u, %s: %.*s\n", message, seed, what, (int)MIN(text->len, PRINTED_BYTES_MAX), text->str);
}

static void unknown_members_change_no_message(void **state) {
  (void)state;
  failures failures = {0};
  for (size_t i = 0; i < G_N_ELEMENTS(k_messages); i++) {
    const message *message = &k_messages[i];
    g_autoptr(GString) plain = g_string_new(message->text);
    g_autofree char *expected = message->read(plain);
    expect(&failures, expected, message->name, "refused without unknown members", 0, plain);
    for (guint seed = first_seed(); seed < first_seed() + seeds(); seed++) {
      g_autoptr(GRand) rand = g_rand_new_with_seed(seed);
      g_autoptr(GString) text = g_string_new(message->text);
      json_text_add_unknown_members(text, rand,
                                    seed % 20 == 0 ? FC_HTTP_BODY_MAX_BYTES - text->len : MEMBERS_MAX_BYTES);
      g_autofree char *read = message->read(text);
      expect(&failures, read && g_strcmp0(read, expected) == 0, message->name, read ? read : "refused", seed, text);
    }
  }
  print_message("%u of %u messages were read otherwise\n", failures.failed, failures.messages);
  assert_int_equal(failures.failed, 0);
}

/* Prints how many of the messages are refused for each kind of value. */
static void each_kind_of_value_is_ignored(void **state) {
  (void)state;
  static const struct {
    const char *name, *member;
  } kinds[] = {
      {"integer of 64 bits", "\"x\":18446744073709551615,"},
      {"integer beyond 64 bits", "\"x\":-99999999999999999999999,"},
      {"number beyond a double", "\"x\":1e999,"},
      {"number below a double", "\"x\":1e-999,"},
      {"NUL in a string", "\"x\":\"a\\u0000b\","},
      {"NUL in a name", "\"id\\u0000\":1,"},
      {"unpaired high surrogate", "\"x\":\"\\ud83d\","},
      {"unpaired low surrogate", "\"x\":\"\\ude00\","},
      {"unpaired surrogate in a name", "\"\\ud83d\":1,"},
      {"25 levels", "\"x\":[[[[[[[[[[[[[[[[[[[[[[[[[]]]]]]]]]]]]]]]]]]]]]]]]],"},
      {"repeated name", "\"x\":1,\"x\":2,"},
      {"other member", "\"x\":{\"größe\":[1.25,-7,null,{},\"✓\"]},"},
  };
  guint refused_at_all = 0;
  for (size_t kind = 0; kind < G_N_ELEMENTS(kinds); kind++) {
    guint refused = 0;
    for (size_t i = 0; i < G_N_ELEMENTS(k_messages); i++) {
      bool empty = strcmp(k_messages[i].text, "{}") == 0;
      g_autoptr(GString) text = g_string_new("{");
      g_string_append_len(text, kinds[kind].member, (gssize)strlen(kinds[kind].member) - empty);
      g_string_append(text, k_messages[i].text + 1);
      g_autofree char *read = k_messages[i].read(text);
      refused += read == NULL;
    }
    print_message("%s: %u of %zu messages refused\n", kinds[kind].name, refused, G_N_ELEMENTS(k_messages));
    refused_at_all += refused;
  }
  assert_int_equal(refused_at_all, 0);
}

static void damaged_messages_are_refused(void **state) {
  (void)state;
  failures failures = {0};
  for (size_t i = 0; i < G_N_ELEMENTS(k_messages); i++) {
    const message *message = &k_messages[i];
    for (guint seed = first_seed(); seed < first_seed() + seeds(); seed++) {
      g_autoptr(GRand) rand = g_rand_new_with_seed(seed);
      g_autoptr(GString) text = g_string_new(message->text);
      if (seed % 2 == 0) json_text_add_unknown_members(text, rand, MEMBERS_MAX_BYTES);
      const char *damage = json_text_damage(text, rand);
      g_autofree char *read = message->read(text);
      expect(&failures, read == NULL, message->name, damage, seed, text);
    }
  }
  print_message("%u of %u damaged messages were taken\n", failures.failed, failures.messages);
  assert_int_equal(failures.failed, 0);
}

/* Whether jansson refuses the text for a limit of its values and not for its syntax. */
static bool refused_for_a_limit(const json_error_t *error) {
  switch (json_error_code(error)) {
    case json_error_numeric_overflow:
    case json_error_stack_overflow:
    case json_error_null_byte_in_key:
      return true;
    default:
      return strstr(error->text, "invalid Unicode") != NULL; /* an unpaired surrogate */
  }
}

/* Of random changes to JSON texts, those are taken that jansson takes, or refuses for a limit of its values. */
static void mutated_texts_are_read_as_by_another_parser(void **state) {
  (void)state;
  failures failures = {0};
  guint taken = 0;
  for (guint seed = first_seed(); seed < first_seed() + seeds() * MUTATIONS_PER_SEED; seed++) {
    g_autoptr(GRand) rand = g_rand_new_with_seed(seed);
    g_autoptr(GString) text = g_string_new("{\"a\":");
    json_text_append_value(text, rand, MUTATED_MAX_BYTES);
    g_string_append_c(text, '}');
    json_text_mutate(text, rand);
    json_error_t error = {0};
    json_auto_t *expected = json_loadb(text->str, text->len, JSON_DECODE_ANY | JSON_ALLOW_NUL, &error);
    json_auto_t *read = fc_json_parse(text->str, text->len, NULL);
    bool may_be_taken = expected != NULL || refused_for_a_limit(&error);
    bool has_to_be_taken = expected != NULL && !memchr(text->str, '\0', text->len);
    expect(&failures, read ? may_be_taken : !has_to_be_taken, "mutated", read ? "taken" : "refused", seed, text);
    taken += read != NULL;
  }
  print_message("%u of %u mutated texts were taken, %u otherwise than by jansson\n", taken, failures.messages,
                failures.failed);
  assert_int_equal(failures.failed, 0);
  assert_true(taken > 0);
}

/* The deepest known fields: teams' shares in a record in a list of the store. */
static void known_fields_at_the_deepest_level_are_read(void **state) {
  (void)state;
  fc_endpoint at = {0};
  fc_kv *kv = fc_kv_new(&at);
  g_autoptr(GString) text = g_string_new(
      "{\"rows\":[{\"key\":\"fc1/quota\",\"v\":{\"f\":1,\"term\":4096,\"shares\":{\"c-0\":{\"vision\":[4,2.5]}}},"
      "\"edition\":7}],\"more\":false,\"round\":431}");
  g_reply_status = 200;
  g_reply_body = text;
  g_autoptr(GPtrArray) rows = g_ptr_array_new_with_free_func(fc_kv_change_free);
  bool more = true;
  uint64_t revision = 0;
  assert_int_equal(fc_kv_list(kv, "fc1/", NULL, 10, 0, rows, &more, &revision), FC_KV_OK);
  assert_int_equal(rows->len, 1);
  fc_settings settings = {.teams = {{.name = "vision", .cpus_max = 8, .gpus_max = 4}}, .team_count = 1};
  fc_quota_record *quota = g_new0(fc_quota_record, 1);
  assert_true(fc_quota_record_decode(((fc_kv_change *)rows->pdata[0])->value, &settings, quota));
  assert_true(quota->cpus[0][0] == 4 && quota->gpus[0][0] == 2.5);
  g_free(quota);
  fc_kv_free(kv);
}

/* The unknown member of the refused job in the records of 2026-12-05. */
static void job_with_a_large_number_in_a_label_is_accepted(void **state) {
  (void)state;
  g_autoptr(GString) text = g_string_new(
      "{\"x_labels\":{\"größe\":\"日本語 ✓\",\"n\":18446744073709551615,\"m\":-7,\"f\":1.25,\"none\":null,\"l\":[[],{},"
      "true],\"deep\":[[[[[]]]]]}," SUBMISSION_FIELDS "}");
  g_autofree char *read = read_submission(text);
  assert_non_null(read);
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(job_with_a_large_number_in_a_label_is_accepted),
      cmocka_unit_test(each_kind_of_value_is_ignored),
      cmocka_unit_test(known_fields_at_the_deepest_level_are_read),
      cmocka_unit_test(unknown_members_change_no_message),
      cmocka_unit_test(damaged_messages_are_refused),
      cmocka_unit_test(mutated_texts_are_read_as_by_another_parser),
  };
  g_request_body = g_string_new(NULL);
  int failed = cmocka_run_group_tests(tests, NULL, NULL);
  g_string_free(g_request_body, TRUE);
  return failed;
}
