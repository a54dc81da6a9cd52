#include "controller/admission.h"

#include "bookkeeping/cluster_machines.h"
#include "bookkeeping/record_room.h"
#include "controller/http_answers.h"
#include "protocol/json.h"
#include "scheduler/slice_assignment.h"

#define ROUNDING 1e-6 /* tolerance for rounding errors when amounts of CPUs or GPUs are compared */

/* A submission is refused when the write queue would delay it by more than this. */
#define QUEUE_TIME_MAX_S 1.0

struct fc_admission {
  fc_cluster *cluster;
  fc_group_commit *commit;
  fc_peers *peers;
  fc_job_lookup *lookup;
  fc_dependency_resolver *resolver;
  fc_description_store *descriptions;
  fc_metrics *metrics;
};

/* A submission that is being checked and stored. */
typedef struct submission {
  const fc_job_spec *spec;
  double deadline;          /* monotonic time */
  char **open;              /* dependencies that are not done yet, NULL-terminated; NULL: none */
  fc_job_phase phase;       /* initial phase of the job */
  json_t *record;           /* encoded job record */
  fc_description_ref parts; /* of its description, if that is stored separately from the record */
  uint64_t first_part;      /* version of part 0, on which the write of the record is conditional */
} submission;

fc_admission *fc_admission_new(fc_cluster *cluster, fc_group_commit *commit, fc_peers *peers, fc_job_lookup *lookup,
                               fc_dependency_resolver *resolver, fc_description_store *descriptions,
                               fc_metrics *metrics) {
  fc_admission *admission = g_new(fc_admission, 1);
  *admission = (fc_admission){.cluster = cluster,
                              .commit = commit,
                              .peers = peers,
                              .lookup = lookup,
                              .resolver = resolver,
                              .descriptions = descriptions,
                              .metrics = metrics};
  return admission;
}

/* ---- refusals ---- */

static void refuse_malformed(fc_admission *admission, const fc_http_request *request, fc_http_response *response,
                             const fc_message_error *error) {
  char id[FC_JOB_ID_SIZE];
  bool has_id = fc_job_id_peek(request->body, request->body_len, id, sizeof id);
  admission->metrics->counters.refused[FC_MESSAGE_SUBMISSION][error->fault]++;
  g_info("refused submission job=%s length=%zu offset=%zu reason=%s", has_id ? id : "-", request->body_len,
         error->offset, error->text);
  if (!has_id) {
    fc_http_answer_error(response, 400, error->text);
    return;
  }
  double deadline = fc_now() + admission->cluster->settings->heartbeat_s;
  fc_job_lookup_refuse_unless_known(admission->lookup, response, id, false, 400, error->text, deadline);
}

/* Whether the team's limit admits the job: one task of an array, all tasks of any other job. */
static bool limit_allows(const fc_team_settings *team, const fc_job_spec *spec) {
  double tasks = spec->kind == FC_JOB_ARRAY ? 1 : spec->tasks;
  bool cpus = team->cpus_max <= 0 || spec->cpus * tasks <= team->cpus_max + ROUNDING;
  bool gpus = team->gpus_max <= 0 || spec->gpus * tasks <= team->gpus_max + ROUNDING;
  return cpus && gpus;
}

static bool fits_machine_type(const fc_machine_type *type, const fc_job_spec *spec) {
  const fc_resources capacity = fc_machine_type_capacity(type);
  if (!fc_resources_fit(&capacity, spec)) return false;
  for (char **zone = type->zones; *zone; zone++)
    if (fc_job_spec_allows(spec, type->name, *zone, false)) return true;
  return false;
}

/* Returns why the job can never run; NULL if it can. */
static const char *never_runs_because(const fc_cluster *cluster, const fc_job_spec *spec) {
  int team = fc_settings_team_index(cluster->settings, spec->team);
  if (team < 0) return "unknown team";
  if (!limit_allows(&cluster->settings->teams[team], spec)) return "needs more than the team's limit";
  for (guint i = 0; i < cluster->machine_types->len; i++)
    if (fits_machine_type(cluster->machine_types->pdata[i], spec)) return NULL;
  return "a task fits no allowed machine type";
}

/* ---- checks; each returns false after it has sent the response ---- */

/* Checks the cluster state, the job's requirements and the write queue. */
static bool check_acceptable(fc_admission *admission, fc_http_response *response, const submission *submitted) {
  const fc_cluster *cluster = admission->cluster;
  if (!fc_cluster_store_reachable(cluster, fc_now())) {
    fc_http_answer_retry(response, 503, "the state service can't be reached");
    return false;
  }
  if (cluster->machine_types->len == 0) {
    fc_http_answer_retry(response, 503, "machine types are not known yet");
    return false;
  }
  const char *error = never_runs_because(cluster, submitted->spec);
  if (error) {
    fc_job_lookup_refuse_unless_known(admission->lookup, response, submitted->spec->id, false, 422, error,
                                      submitted->deadline);
    return false;
  }
  /* A lagging event loop adds to the delay that the write rate predicts. */
  if (!fc_group_commit_accepts(admission->commit, FC_WRITE_PRIORITY_SUBMISSION, QUEUE_TIME_MAX_S - fc_loop_lag())) {
    fc_http_answer_retry(response, 429, "more submissions than can be written");
    return false;
  }
  return true;
}

/* Checks the dependencies, and that every member can read a record with open ones. */
static bool check_dependencies(fc_admission *admission, fc_http_response *response, submission *submitted) {
  switch (fc_dependency_resolver_admit(admission->resolver, submitted->spec->dependencies, submitted->deadline,
                                       &submitted->open)) {
    case FC_DEPENDENCIES_CANCELLED:
      submitted->phase = FC_PHASE_CANCELLED;
      return true;
    case FC_DEPENDENCIES_ADMITTED:
      if (!submitted->open || fc_cluster_members_read_format(admission->cluster, FC_JOB_FORMAT_AWAITING)) return true;
      fc_http_answer_retry(response, 503, "another controller can't read jobs that await others yet");
      return false;
    case FC_DEPENDENCIES_REFUSED:
      fc_job_lookup_refuse_unless_known(admission->lookup, response, submitted->spec->id, false, 422,
                                        "awaits: a job that was never accepted, or a service", submitted->deadline);
      return false;
    default:
      fc_http_answer_retry(response, 503, "the jobs that it awaits can't be looked up now");
      return false;
  }
}

/* ---- storing ---- */

/* Builds the record of a new job with its slices assigned to members. It borrows from the submission, and has no slices
 * if there is no room for later handovers. */
static fc_job_record new_record(fc_admission *admission, const submission *submitted) {
  const fc_cluster *cluster = admission->cluster;
  const fc_term *term = &cluster->membership.term;
  fc_job_record record = {
      .spec = *submitted->spec,
      .parts = submitted->parts,
      .origin = {.term = term->number, .submitted_at = fc_time_of_day()},
      .phase = submitted->phase,
      .awaiting = submitted->open != NULL,
      .slices = fc_job_slice_count(submitted->spec, cluster->settings->operator_settings.split_limit)};
  record.spec.dependencies = submitted->open;
  record.slices = fc_job_record_slices_with_room(cluster, &record);
  bool healthy[FC_MEMBERS_MAX];
  for (size_t member = 0; member < term->count; member++)
    healthy[member] = fc_peers_member_healthy(admission->peers, (int)member);
  fc_assign_new_job_slices(cluster, healthy, submitted->spec, record.slices, record.handed_to);
  return record;
}

/* Whether the description may stand in the record. A quarter of the value is reserved for completed tasks and
 * handovers, which are added later. */
static bool fits_a_value(const fc_admission *admission, const fc_job_record *record, const json_t *encoded) {
  size_t max_bytes = fc_value_limit_bytes(&admission->cluster->value_limit) / 4 * 3;
  return record->slices > 0 && fc_json_encoded_bytes(encoded) <= max_bytes;
}

/* Encodes the record; a description that is too long for it is written separately first. Returns false after it has
 * sent an error response. */
static bool make_record(fc_admission *admission, fc_http_response *response, submission *submitted) {
  fc_job_record record = new_record(admission, submitted);
  submitted->record = fc_job_record_encode(&record);
  if (fits_a_value(admission, &record, submitted->record)) return true;
  json_decref(submitted->record);
  submitted->record = NULL;
  if (!fc_cluster_members_read_format(admission->cluster, FC_JOB_FORMAT_AWAITING)) {
    fc_http_answer_retry(response, 503, "another controller can't read so long a description yet");
    return false;
  }
  /* The description names all dependencies, also those that are done, so that a retry produces the same text and
   * resumes where this attempt stopped. */
  fc_kv_result result = fc_description_store_write(admission->descriptions, submitted->spec, submitted->deadline,
                                                   &submitted->parts, &submitted->first_part);
  if (result != FC_KV_OK || !submitted->first_part) {
    fc_http_answer_retry(response, 503, "not written yet; ask again");
    return false;
  }
  record = new_record(admission, submitted);
  submitted->record = fc_job_record_encode(&record);
  return true;
}

/* Writes the record on condition that no job of this id exists, archived or not. */
static fc_write *record_write(submission *submitted) {
  fc_write *write = fc_write_new();
  char *key = g_strconcat(FC_PREFIX_JOB, submitted->spec->id, NULL);
  fc_write_compare(write, key, 0);
  fc_write_put(write, key, submitted->record);
  submitted->record = NULL;
  g_free(key);
  key = g_strconcat(FC_PREFIX_ARCHIVED, submitted->spec->id, NULL);
  fc_write_compare(write, key, 0);
  g_free(key);
  if (submitted->parts.count == 0) return write;
  key = fc_job_part_key(submitted->spec->id, submitted->parts.digest, 0);
  fc_write_compare(write, key, submitted->first_part);
  g_free(key);
  return write;
}

static void answer_accepted(const fc_admission *admission, fc_http_response *response, const submission *submitted) {
  const fc_job_spec *spec = submitted->spec;
  response->status = 201;
  g_debug("accepted job=%s class=%s tasks=%u slices=%u", spec->id, spec->class_name, spec->tasks,
          fc_job_slice_count(spec, admission->cluster->settings->operator_settings.split_limit));
  fc_job_status status = submitted->phase == FC_PHASE_CANCELLED ? FC_STATUS_CANCELLED : FC_STATUS_PENDING;
  fc_job_answer(response->body, spec->id, status, 0, 0, false);
}

/* Writes the record and sends the response. */
static void store_job(fc_admission *admission, fc_http_response *response, submission *submitted) {
  const char *id = submitted->spec->id;
  uint64_t revision = 0;
  fc_kv_result result = fc_group_commit_write(admission->commit, record_write(submitted), FC_WRITE_PRIORITY_SUBMISSION,
                                              submitted->deadline, &revision);
  if (result == FC_KV_OK) {
    answer_accepted(admission, response, submitted);
    return;
  }
  if (result == FC_KV_CONFLICT && fc_job_lookup_wait_current(admission->lookup, id, submitted->deadline) &&
      fc_job_lookup_answer_if_known(admission->lookup, response, id, false))
    return;
  fc_http_answer_retry(response, 503, "not written; ask again");
}

/* If the job is in the cluster state the submission is a retry: answers it with the job's current state. Returns false
 * if the job is not known. */
static bool answered_as_known(fc_admission *admission, fc_http_response *response, const submission *submitted) {
  const char *id = submitted->spec->id;
  const fc_job *job = fc_job_lookup_known(admission->lookup, id);
  if (job && !fc_job_has_ended(job)) {
    /* Fails at once while the store is unreachable, instead of holding the request until the client times out. */
    if (!fc_job_lookup_wait_current(admission->lookup, id, submitted->deadline)) {
      fc_http_answer_retry(response, 503, "the state service can't be reached");
      return true;
    }
    job = fc_cluster_find_job(admission->cluster, id);
  }
  if (job) fc_job_lookup_answer(response, 200, job, false);
  return job != NULL;
}

void fc_admission_submit(fc_admission *admission, const fc_http_request *request, fc_http_response *response) {
  fc_job_spec spec;
  fc_message_error error;
  if (!fc_job_spec_parse(request->body, request->body_len, &spec, &error)) {
    refuse_malformed(admission, request, response, &error);
    return;
  }
  submission submitted = {
      .spec = &spec, .phase = FC_PHASE_ACCEPTED, .deadline = fc_now() + admission->cluster->settings->heartbeat_s};
  if (!answered_as_known(admission, response, &submitted) && check_acceptable(admission, response, &submitted) &&
      check_dependencies(admission, response, &submitted) && make_record(admission, response, &submitted))
    store_job(admission, response, &submitted);
  g_strfreev(submitted.open);
  fc_job_spec_clear(&spec);
}
