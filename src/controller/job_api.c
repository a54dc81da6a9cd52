/* The listener for users, workers and health checks. */
#include <string.h>

#include "controller/controller.h"
#include "controller/dependency_resolver.h"
#include "controller/description_store.h"
#include "protocol/routes.h"
#include "scheduler/slice_assignment.h"
#include "transport/http.h"

static void say(fc_http_response *res, int status, const char *error) {
  res->status = status;
  fc_error_answer(res->body, error);
}

/* Refused for now: at once, and with the time to come back. */
static void later(fc_http_response *res, int status, const char *error) {
  say(res, status, error);
  res->retry_after_s = 1;
}

static void answer_job(fc_http_response *res, int status, const fc_job *job, bool counts) {
  uint32_t running;
  fc_job_status st = fc_job_status_of(job, &running);
  res->status = status;
  fc_job_answer(res->body, job->spec.id, st, job->completion.count, running, counts);
}

/* An archived job: it is over. */
static void answer_archived(fc_http_response *res, const char *id, const fc_archived_job *archived, bool counts) {
  res->status = 200;
  fc_job_answer(res->body, id, archived->done ? FC_STATUS_DONE : FC_STATUS_CANCELLED, archived->tasks_done, 0, counts);
}

/* The table has just been proved current and does not hold the job. True: it is
 * archived, or that can't be said now, and the answer is made. */
static bool answered_from_archive(fc_controller *controller, fc_http_response *res, const char *id, bool counts) {
  /* It is there, and can't be read before more of its description is. */
  if (g_hash_table_contains(controller->cluster->incomplete_jobs, id)) {
    later(res, 503, "can't be read now");
    return true;
  }
  fc_archived_job archived;
  switch (fc_archive_find(controller, id, fc_now() + controller->settings->heartbeat_s * 0.5, &archived)) {
    case FC_FOUND:
      answer_archived(res, id, &archived, counts);
      return true;
    case FC_NOT_SURE:
      later(res, 503, "can't be looked up now");
      return true;
    default:
      return false;
  }
}

static bool final(const fc_job *job) {
  return job->phase != FC_PHASE_ACCEPTED;
}

/* Why a job can never run; NULL when it can. */
static const char *impossible(const fc_controller *controller, const fc_job_spec *spec) {
  int team = fc_settings_team(controller->settings, spec->team);
  if (team < 0) return "unknown team";
  const fc_team_settings *team_settings = &controller->settings->teams[team];
  double n = spec->kind == FC_JOB_ARRAY ? 1 : spec->tasks;
  const double slack = 1e-6;
  if ((team_settings->cpus_max > 0 && spec->cpus * n > team_settings->cpus_max + slack) ||
      (team_settings->gpus_max > 0 && spec->gpus * n > team_settings->gpus_max + slack))
    return "needs more than the team's limit";
  for (guint i = 0; i < controller->cluster->machine_types->len; i++) {
    const fc_machine_type *machine_type = controller->cluster->machine_types->pdata[i];
    fc_resources room = {machine_type->cpus, machine_type->gpus, machine_type->memory_gb};
    if (!fc_resources_fit(&room, spec)) continue;
    for (char **z = machine_type->zones; *z; z++)
      if (fc_job_spec_allows(spec, machine_type->name, *z, false)) return NULL;
  }
  return "a task fits no allowed machine type";
}

/* Waits until what the table says of the job is current, and known in full: whether it is
 * cancelled with another. Where that is hopeless, nobody is kept waiting; false. */
static bool prove_current(fc_controller *controller, const char *id, double deadline) {
  return fc_cluster_store_reachable(controller->cluster, fc_now()) &&
         fc_kv_watch_wait_fresh(controller->watch, deadline) && fc_pipelines_resolve(controller, id, deadline);
}

/* A repeat of a known job is answered with its state, whatever else its body
 * says: what was accepted once never gets a 400. */
static void refuse_malformed(fc_controller *controller, const fc_http_request *req, fc_http_response *res,
                             const char *error) {
  char id[64];
  if (!fc_job_id_peek(req->body, req->body_len, id, sizeof id)) {
    say(res, 400, error);
  } else if (!prove_current(controller, id, fc_now() + controller->settings->heartbeat_s)) {
    later(res, 503, "the state service can't be reached");
  } else {
    const fc_job *job = fc_cluster_find_job(controller->cluster, id);
    if (job) {
      answer_job(res, 200, job, false);
    } else if (!answered_from_archive(controller, res, id, false)) {
      say(res, 400, error);
    }
  }
}

/* A repeat of a submission that the table knows is answered with the job's present state.
 * False: the job is not known. */
static bool answered_as_known(fc_controller *controller, fc_http_response *res, const char *id, double deadline) {
  fc_job *job = controller->cluster->sync.loaded ? fc_cluster_find_job(controller->cluster, id) : NULL;
  if (job && !final(job)) {
    /* Where that is hopeless a repeat is not held until its user gives up either. */
    if (!prove_current(controller, id, deadline)) {
      later(res, 503, "the state service can't be reached");
      return true;
    }
    job = fc_cluster_find_job(controller->cluster, id);
  }
  if (job) answer_job(res, 200, job, false);
  return job != NULL;
}

/* What was accepted once is never refused: be sure it is not known. */
static void refuse_impossible(fc_controller *controller, fc_http_response *res, const char *id, const char *why,
                              double deadline) {
  if (!prove_current(controller, id, deadline)) {
    later(res, 503, "the state service can't be reached");
    return;
  }
  fc_job *job = fc_cluster_find_job(controller->cluster, id);
  if (job) {
    answer_job(res, 200, job, false);
  } else if (!answered_from_archive(controller, res, id, false)) {
    say(res, 422, why);
  }
}

/* A submission on its way into the state service. */
typedef struct submission {
  const fc_job_spec *spec;
  char **open;        /* what it awaits and is not done yet; NULL: nothing */
  fc_job_phase phase; /* in which it is accepted */
  json_t *record;     /* the value of its record */
  fc_description_ref parts;
  uint64_t first_part; /* the version of the first of them, where there are any */
  double deadline;
} submission;

/* Are the jobs that it awaits such as may be named, and can it be stored? False: that has
 * been answered. */
static bool awaits_admitted(fc_controller *controller, fc_http_response *res, submission *s) {
  switch (fc_pipelines_admit(controller, s->spec->awaits, s->deadline, &s->open)) {
    case FC_AWAITS_CANCELLED:
      s->phase = FC_PHASE_CANCELLED;
      return true;
    case FC_AWAITS_RESOLVED:
      if (!s->open || fc_cluster_members_read_format(controller->cluster, FC_JOB_FORMAT_AWAITING)) return true;
      later(res, 503, "another controller can't read jobs that await others yet");
      return false;
    case FC_AWAITS_REFUSED:
      refuse_impossible(controller, res, s->spec->id, "awaits: a job that was never accepted, or a service",
                        s->deadline);
      return false;
    default:
      later(res, 503, "the jobs that it awaits can't be looked up now");
      return false;
  }
}

/* Can the job be accepted now? False: that has been answered. */
static bool admitted(fc_controller *controller, fc_http_response *res, const fc_job_spec *spec, double deadline) {
  if (!fc_cluster_store_reachable(controller->cluster, fc_now())) {
    later(res, 503, "the state service can't be reached");
    return false;
  }
  if (controller->cluster->machine_types->len == 0) {
    later(res, 503, "machine types are not known yet");
    return false;
  }
  const char *why = impossible(controller, spec);
  if (why) {
    refuse_impossible(controller, res, spec->id, why, deadline);
    return false;
  }
  /* What falls behind takes longer than the rate says. */
  if (!fc_group_commit_accepts(controller->commit, FC_WRITE_PRIORITY_SUBMISSION, 1.0 - fc_loop_lag())) {
    later(res, 429, "more submissions than can be written");
    return false;
  }
  return true;
}

/* The record of a new job without its description, with its slices assigned to members. */
static fc_job_record new_record(fc_controller *controller, const submission *s) {
  fc_job_record record = {
      .origin = {.term = controller->cluster->membership.term.number, .submitted_at = fc_time_of_day()},
      .phase = s->phase,
      .awaiting = s->open != NULL,
      .slices = fc_job_slices(s->spec, controller->settings->op.split_limit)};
  bool fit[FC_MEMBERS_MAX];
  for (size_t i = 0; i < controller->cluster->membership.term.count; i++)
    fit[i] = fc_peers_member_fit(controller->peers, (int)i);
  fc_assign_new_job_slices(controller->cluster, fit, s->spec, record.slices, record.handed);
  return record;
}

/* What is left of a value is for finished tasks and hand-overs. */
static bool fits_a_value(const fc_controller *controller, const json_t *record) {
  return json_dumpb(record, NULL, 0, JSON_COMPACT) <= fc_settings_value_bytes(controller->settings) / 4 * 3;
}

/* Makes the value of the record, and writes the description first where it is too long to be
 * part of it. False: that has been answered. */
static bool make_record(fc_controller *controller, fc_http_response *res, submission *s) {
  fc_job_record record = new_record(controller, s);
  record.spec = *s->spec;
  record.spec.awaits = s->open;
  s->record = fc_job_record_encode(&record);
  if (fits_a_value(controller, s->record)) return true;
  json_decref(s->record);
  s->record = NULL;
  if (!fc_cluster_members_read_format(controller->cluster, FC_JOB_FORMAT_AWAITING)) {
    later(res, 503, "another controller can't read so long a description yet");
    return false;
  }
  /* All that it names, also what is done: a repeat goes on with the same text. */
  if (fc_description_store(controller, s->spec, s->deadline, &s->parts, &s->first_part) != FC_KV_OK || !s->first_part) {
    later(res, 503, "not written yet; ask again");
    return false;
  }
  record.parts = s->parts;
  s->record = fc_job_record_encode(&record);
  return true;
}

static fc_write *submission_write(submission *s) {
  fc_write *write = fc_write_new();
  char *key = g_strconcat(FC_PREFIX_JOB, s->spec->id, NULL);
  fc_write_compare(write, key, 0);
  fc_write_put(write, key, s->record);
  s->record = NULL;
  g_free(key);
  key = g_strconcat(FC_PREFIX_ARCHIVED, s->spec->id, NULL);
  fc_write_compare(write, key, 0); /* nor was there one that is over */
  g_free(key);
  if (s->parts.count == 0) return write;
  key = fc_job_part_key(s->spec->id, s->parts.digest, 0);
  fc_write_compare(write, key, s->first_part);
  g_free(key);
  return write;
}

/* Writes the record, unless there is or was a job of this id, and answers. */
static void accept_job(fc_controller *controller, fc_http_response *res, submission *s) {
  const fc_job_spec *spec = s->spec;
  uint64_t revision = 0;
  fc_kv_result result = fc_group_commit_write(controller->commit, submission_write(s), FC_WRITE_PRIORITY_SUBMISSION,
                                              s->deadline, &revision);
  if (result == FC_KV_OK) {
    res->status = 201;
    g_debug("accepted job=%s class=%s tasks=%u slices=%u", spec->id, spec->class_name, spec->tasks,
            fc_job_slices(spec, controller->settings->op.split_limit));
    fc_job_status status = s->phase == FC_PHASE_CANCELLED ? FC_STATUS_CANCELLED : FC_STATUS_PENDING;
    fc_job_answer(res->body, spec->id, status, 0, 0, false);
    return;
  }
  if (result == FC_KV_CONFLICT && prove_current(controller, spec->id, s->deadline)) {
    fc_job *job = fc_cluster_find_job(controller->cluster, spec->id);
    if (job) answer_job(res, 200, job, false);
    if (job || answered_from_archive(controller, res, spec->id, false)) return;
  }
  later(res, 503, "not written; ask again");
}

static void submit(fc_controller *controller, const fc_http_request *req, fc_http_response *res) {
  fc_job_spec spec;
  char error[200];
  if (!fc_job_spec_parse(req->body, req->body_len, &spec, error, sizeof error)) {
    refuse_malformed(controller, req, res, error);
    return;
  }
  submission s = {.spec = &spec, .phase = FC_PHASE_ACCEPTED, .deadline = fc_now() + controller->settings->heartbeat_s};
  if (!answered_as_known(controller, res, spec.id, s.deadline) && admitted(controller, res, &spec, s.deadline) &&
      awaits_admitted(controller, res, &s) && make_record(controller, res, &s))
    accept_job(controller, res, &s);
  g_strfreev(s.open);
  fc_job_spec_clear(&spec);
}

static void poll(fc_controller *controller, const char *id, fc_http_response *res) {
  fc_job *job = controller->cluster->sync.loaded ? fc_cluster_find_job(controller->cluster, id) : NULL;
  if (job && final(job)) {
    answer_job(res, 200, job, true);
    return;
  }
  if (!fc_job_id_valid(id)) {
    say(res, 404, "no such job");
    return;
  }
  /* Anything that may change has to be proved current (read index). */
  if (!prove_current(controller, id, fc_now() + controller->settings->heartbeat_s * 0.5)) {
    later(res, 503, "the state service can't be reached");
    return;
  }
  job = fc_cluster_find_job(controller->cluster, id);
  if (job) {
    answer_job(res, 200, job, true);
  } else if (!answered_from_archive(controller, res, id, true)) {
    say(res, 404, "no such job");
  }
}

static void withdraw(fc_controller *controller, const char *id, fc_http_response *res) {
  if (!fc_job_id_valid(id)) {
    say(res, 404, "no such job");
    return;
  }
  double deadline = fc_now() + controller->settings->heartbeat_s;
  bool fresh = false;
  for (;;) {
    fc_job *job = controller->cluster->sync.loaded ? fc_cluster_find_job(controller->cluster, id) : NULL;
    if (job && final(job)) {
      answer_job(res, 200, job, false);
      return;
    }
    if (!fresh) {
      if (!fc_cluster_store_reachable(controller->cluster, fc_now()) ||
          !fc_kv_watch_wait_fresh(controller->watch, deadline))
        break;
      fresh = true;
      continue;
    }
    if (!job) {
      if (!answered_from_archive(controller, res, id, false)) say(res, 404, "no such job");
      return;
    }
    fc_write *write = fc_job_record_write(controller->cluster, job, job->record.version, FC_PHASE_CANCELLED,
                                          job->completion.bitmap, job->record.handed_to, &job->record.origin);
    if (!write) break;
    uint64_t revision = 0;
    fc_kv_result result =
        fc_group_commit_write(controller->commit, write, FC_WRITE_PRIORITY_HEARTBEAT, deadline, &revision);
    if (result == FC_KV_OK) {
      /* Before we read of it: the state service may be out of reach from here on, and
       * we would go on with the job, and start more of it, for as long. */
      fc_cancellations_learned(controller->cancellations, id, revision, fc_now());
      res->status = 200;
      fc_job_answer(res->body, id, FC_STATUS_CANCELLED, 0, 0, false);
      return;
    }
    fresh = false;
    if (result != FC_KV_CONFLICT) break;
  }
  later(res, 503, "not written; ask again");
}

/* While no controller reaches the state service, being taken out of the load
 * balancer would only add its pauses to the outage: we stay, and refuse at once
 * what we can't do. When a peer still reaches it, users are better off there. */
static bool is_ready(const fc_controller *controller) {
  if (fc_cluster_store_reachable(controller->cluster, fc_now()) && controller->cluster->machine_types->len > 0)
    return true;
  double now = fc_now();
  if (controller->cluster->sync.loaded &&
      now - controller->cluster->sync.read_at < controller->settings->heartbeat_s * 2)
    return controller->cluster->machine_types->len > 0;
  bool alone = controller->settings->peer_count > 0;
  for (size_t k = 0; k < controller->settings->peer_count; k++) {
    if (now - fc_peers_at(controller->peers, k)->kv_read_at < controller->settings->heartbeat_s * 2) return false;
    if (now - fc_peers_at(controller->peers, k)->heard_at < controller->settings->heartbeat_s * 2) alone = false;
  }
  /* Without the state service and without any other controller it is more likely
   * us than them. */
  if (alone && !fc_leadership_held(controller->leadership)) return false;
  return now > controller->started_at + controller->settings->heartbeat_s;
}

static void handle(const fc_http_request *req, fc_http_response *res, void *arg) {
  fc_controller *controller = arg;
  char id[FC_ROUTE_ID_MAX];
  const char *allow;
  double began = fc_now();
  controller->metrics->counters.requests++;
  fc_route route = fc_route_of(req->method, req->path, id, &allow);
  /* The last connections are for workers: users can come back for the next. */
  res->close = req->crowded && route != FC_ROUTE_HEARTBEAT;
  switch (route) {
    case FC_ROUTE_HEARTBEAT:
      fc_metrics_enter_duty(controller->metrics, FC_DUTY_HEARTBEATS);
      fc_heartbeats_answer(controller->heartbeats, req->body, req->body_len, req->connection, &res->status, res->body);
      break;
    case FC_ROUTE_SUBMIT:
      fc_metrics_enter_duty(controller->metrics, FC_DUTY_SUBMISSIONS);
      submit(controller, req, res);
      fc_metrics_time(controller->metrics, FC_TIME_SUBMIT, fc_now() - began);
      break;
    case FC_ROUTE_POLL:
      fc_metrics_enter_duty(controller->metrics, FC_DUTY_QUERIES);
      poll(controller, id, res);
      fc_metrics_time(controller->metrics, FC_TIME_POLL, fc_now() - began);
      break;
    case FC_ROUTE_CANCEL:
      fc_metrics_enter_duty(controller->metrics, FC_DUTY_QUERIES);
      withdraw(controller, id, res);
      break;
    case FC_ROUTE_READY:
      if (is_ready(controller)) {
        res->status = 200;
        fc_ready_answer(res->body);
      } else {
        later(res, 503, "not ready");
      }
      break;
    case FC_ROUTE_WRONG_METHOD:
      say(res, 405, "wrong method");
      res->allow = allow;
      break;
    case FC_ROUTE_METRICS: /* at the peer address only */
    case FC_ROUTE_NONE:
      say(res, 404, "no such path");
      break;
  }
}

bool fc_front_start(fc_controller *controller) {
  /* Sockets are left for peers, the state service, the cloud and commands. */
  fc_http_server_options opt = {
      .most_connections = controller->settings->fd_limit * 3 / 4,
      .idle_s = MAX(controller->settings->lease_s * 4, 30.0),
      .request_s = controller->settings->heartbeat_s * 2,
  };
  return fc_http_serve(&controller->settings->client_at, &opt, handle, controller);
}
