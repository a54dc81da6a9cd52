/* The listener for users, workers and health checks. */
#include <string.h>

#include "controller/controller.h"
#include "controller/descriptions.h"
#include "controller/pipelines.h"
#include "protocol/routes.h"
#include "scheduler/share.h"
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

static void answer_job(fc_http_response *res, int status, const fc_job *j, bool counts) {
  uint32_t running;
  fc_job_status st = fc_job_status_of(j, &running);
  res->status = status;
  fc_job_answer(res->body, j->spec.id, st, j->done_count, running, counts);
}

/* An archived job: it is over. */
static void answer_archived(fc_http_response *res, const char *id, const fc_archived_job *o, bool counts) {
  res->status = 200;
  fc_job_answer(res->body, id, o->done ? FC_STATUS_DONE : FC_STATUS_CANCELLED, o->tasks_done, 0, counts);
}

/* The table has just been proved current and does not hold the job. True: it is
 * archived, or that can't be said now, and the answer is made. */
static bool answered_from_archive(fc_controller *c, fc_http_response *res, const char *id, bool counts) {
  /* It is there, and can't be read before more of its description is. */
  if (g_hash_table_contains(c->table->unread, id)) {
    later(res, 503, "can't be read now");
    return true;
  }
  fc_archived_job o;
  switch (fc_archive_find(c, id, fc_now() + c->settings->report_s * 0.5, &o)) {
    case FC_FOUND:
      answer_archived(res, id, &o, counts);
      return true;
    case FC_NOT_SURE:
      later(res, 503, "can't be looked up now");
      return true;
    default:
      return false;
  }
}

static bool final(const fc_job *j) {
  return j->phase != FC_PHASE_ACCEPTED;
}

/* Why a job can never run; NULL when it can. */
static const char *impossible(const fc_controller *c, const fc_job_spec *s) {
  int team = fc_settings_team(c->settings, s->team);
  if (team < 0) return "unknown team";
  const fc_team_settings *ts = &c->settings->teams[team];
  double n = s->kind == FC_KIND_ARRAY ? 1 : s->tasks;
  const double slack = 1e-6;
  if ((ts->cpus_max > 0 && s->cpus * n > ts->cpus_max + slack) ||
      (ts->gpus_max > 0 && s->gpus * n > ts->gpus_max + slack))
    return "needs more than the team's limit";
  for (guint i = 0; i < c->table->types->len; i++) {
    const fc_machine_type *mt = c->table->types->pdata[i];
    fc_room room = {mt->cpus, mt->gpus, mt->memory_gb};
    if (!fc_room_fits(&room, s)) continue;
    for (char **z = mt->zones; *z; z++)
      if (fc_job_allows(s, mt->name, *z, false)) return NULL;
  }
  return "a task fits no allowed machine type";
}

/* Waits until what the table says of the job is current, and known in full: whether it is
 * cancelled with another. Where that is hopeless, nobody is kept waiting; false. */
static bool prove_current(fc_controller *c, const char *id, double deadline) {
  return fc_state_reachable(c) && fc_wait_fresh(c, deadline) && fc_pipelines_resolve(c, id, deadline);
}

/* A repeat of a known job is answered with its state, whatever else its body
 * says: what was accepted once never gets a 400. */
static void refuse_malformed(fc_controller *c, const fc_http_request *req, fc_http_response *res, const char *error) {
  char id[64];
  if (!fc_job_id_peek(req->body, req->body_len, id, sizeof id)) {
    say(res, 400, error);
  } else if (!prove_current(c, id, fc_now() + c->settings->report_s)) {
    later(res, 503, "the state service can't be reached");
  } else {
    const fc_job *j = fc_table_job(c->table, id);
    if (j) {
      answer_job(res, 200, j, false);
    } else if (!answered_from_archive(c, res, id, false)) {
      say(res, 400, error);
    }
  }
}

/* A repeat of a submission that the table knows is answered with the job's present state.
 * False: the job is not known. */
static bool answered_as_known(fc_controller *c, fc_http_response *res, const char *id, double deadline) {
  fc_job *j = c->loaded ? fc_table_job(c->table, id) : NULL;
  if (j && !final(j)) {
    /* Where that is hopeless a repeat is not held until its user gives up either. */
    if (!prove_current(c, id, deadline)) {
      later(res, 503, "the state service can't be reached");
      return true;
    }
    j = fc_table_job(c->table, id);
  }
  if (j) answer_job(res, 200, j, false);
  return j != NULL;
}

/* What was accepted once is never refused: be sure it is not known. */
static void refuse_impossible(fc_controller *c, fc_http_response *res, const char *id, const char *why,
                              double deadline) {
  if (!prove_current(c, id, deadline)) {
    later(res, 503, "the state service can't be reached");
    return;
  }
  fc_job *j = fc_table_job(c->table, id);
  if (j) {
    answer_job(res, 200, j, false);
  } else if (!answered_from_archive(c, res, id, false)) {
    say(res, 422, why);
  }
}

/* A submission on its way into the state service. */
typedef struct submission {
  const fc_job_spec *spec;
  char **open;    /* what it awaits and is not done yet; NULL: nothing */
  fc_phase phase; /* in which it is accepted */
  json_t *record; /* the value of its record */
  fc_job_parts parts;
  uint64_t first_part; /* the version of the first of them, where there are any */
  double deadline;
} submission;

/* Are the jobs that it awaits such as may be named, and can it be stored? False: that has
 * been answered. */
static bool awaits_admitted(fc_controller *c, fc_http_response *res, submission *s) {
  switch (fc_pipelines_admit(c, s->spec->awaits, s->deadline, &s->open)) {
    case FC_AWAITS_CANCELLED:
      s->phase = FC_PHASE_CANCELLED;
      return true;
    case FC_AWAITS_RESOLVED:
      if (!s->open || fc_pipelines_supported(c)) return true;
      later(res, 503, "another controller can't read jobs that await others yet");
      return false;
    case FC_AWAITS_REFUSED:
      refuse_impossible(c, res, s->spec->id, "awaits: a job that was never accepted, or a service", s->deadline);
      return false;
    default:
      later(res, 503, "the jobs that it awaits can't be looked up now");
      return false;
  }
}

/* Can the job be accepted now? False: that has been answered. */
static bool admitted(fc_controller *c, fc_http_response *res, const fc_job_spec *spec, double deadline) {
  if (!fc_state_reachable(c)) {
    later(res, 503, "the state service can't be reached");
    return false;
  }
  if (c->table->types->len == 0) {
    later(res, 503, "machine types are not known yet");
    return false;
  }
  const char *why = impossible(c, spec);
  if (why) {
    refuse_impossible(c, res, spec->id, why, deadline);
    return false;
  }
  /* What falls behind takes longer than the rate says. */
  if (!fc_commit_accepts(c->commit, FC_RANK_SUBMISSION, 1.0 - fc_loop_lag())) {
    later(res, 429, "more submissions than can be written");
    return false;
  }
  return true;
}

/* The record of a new job without its description, with its slices assigned to members. */
static fc_job_record new_record(fc_controller *c, const submission *s) {
  fc_job_record r = {.origin = {.term = c->table->term.number, .submitted_at = fc_time_of_day()},
                     .phase = s->phase,
                     .awaiting = s->open != NULL,
                     .slices = fc_job_slices(s->spec, c->settings->op.split_limit)};
  bool fit[FC_MEMBERS_MAX];
  for (size_t i = 0; i < c->table->term.count; i++) fit[i] = fc_member_fit(c, (int)i);
  fc_share_deal(c->table, fit, s->spec, r.slices, r.handed);
  return r;
}

/* What is left of a value is for finished tasks and hand-overs. */
static bool fits_a_value(const fc_controller *c, const json_t *record) {
  return json_dumpb(record, NULL, 0, JSON_COMPACT) <= fc_settings_value_bytes(c->settings) / 4 * 3;
}

/* Makes the value of the record, and writes the description first where it is too long to be
 * part of it. False: that has been answered. */
static bool make_record(fc_controller *c, fc_http_response *res, submission *s) {
  fc_job_record r = new_record(c, s);
  r.spec = *s->spec;
  r.spec.awaits = s->open;
  s->record = fc_job_record_encode(&r);
  if (fits_a_value(c, s->record)) return true;
  json_decref(s->record);
  s->record = NULL;
  if (!fc_pipelines_supported(c)) {
    later(res, 503, "another controller can't read so long a description yet");
    return false;
  }
  /* All that it names, also what is done: a repeat goes on with the same text. */
  if (fc_description_store(c, s->spec, s->deadline, &s->parts, &s->first_part) != FC_STATE_OK || !s->first_part) {
    later(res, 503, "not written yet; ask again");
    return false;
  }
  r.parts = s->parts;
  s->record = fc_job_record_encode(&r);
  return true;
}

static fc_write *submission_write(submission *s) {
  fc_write *w = fc_write_new();
  char *key = g_strconcat(FC_PREFIX_JOB, s->spec->id, NULL);
  fc_write_if(w, key, 0);
  fc_write_put(w, key, s->record);
  s->record = NULL;
  g_free(key);
  key = g_strconcat(FC_PREFIX_ARCHIVED, s->spec->id, NULL);
  fc_write_if(w, key, 0); /* nor was there one that is over */
  g_free(key);
  if (s->parts.count == 0) return w;
  key = fc_job_part_key(s->spec->id, s->parts.digest, 0);
  fc_write_if(w, key, s->first_part);
  g_free(key);
  return w;
}

/* Writes the record, unless there is or was a job of this id, and answers. */
static void accept_job(fc_controller *c, fc_http_response *res, submission *s) {
  const fc_job_spec *spec = s->spec;
  uint64_t revision = 0;
  fc_state_result r = fc_commit_write(c->commit, submission_write(s), FC_RANK_SUBMISSION, s->deadline, &revision);
  if (r == FC_STATE_OK) {
    res->status = 201;
    g_debug("accepted job=%s class=%s tasks=%u slices=%u", spec->id, spec->class_name, spec->tasks,
            fc_job_slices(spec, c->settings->op.split_limit));
    fc_job_status status = s->phase == FC_PHASE_CANCELLED ? FC_STATUS_CANCELLED : FC_STATUS_PENDING;
    fc_job_answer(res->body, spec->id, status, 0, 0, false);
    return;
  }
  if (r == FC_STATE_CONFLICT && prove_current(c, spec->id, s->deadline)) {
    fc_job *j = fc_table_job(c->table, spec->id);
    if (j) answer_job(res, 200, j, false);
    if (j || answered_from_archive(c, res, spec->id, false)) return;
  }
  later(res, 503, "not written; ask again");
}

static void submit(fc_controller *c, const fc_http_request *req, fc_http_response *res) {
  fc_job_spec spec;
  char error[200];
  if (!fc_job_spec_parse(req->body, req->body_len, &spec, error, sizeof error)) {
    refuse_malformed(c, req, res, error);
    return;
  }
  submission s = {.spec = &spec, .phase = FC_PHASE_ACCEPTED, .deadline = fc_now() + c->settings->report_s};
  if (!answered_as_known(c, res, spec.id, s.deadline) && admitted(c, res, &spec, s.deadline) &&
      awaits_admitted(c, res, &s) && make_record(c, res, &s))
    accept_job(c, res, &s);
  g_strfreev(s.open);
  fc_job_spec_clear(&spec);
}

static void poll(fc_controller *c, const char *id, fc_http_response *res) {
  fc_job *j = c->loaded ? fc_table_job(c->table, id) : NULL;
  if (j && final(j)) {
    answer_job(res, 200, j, true);
    return;
  }
  if (!fc_job_id_valid(id)) {
    say(res, 404, "no such job");
    return;
  }
  /* Anything that may change has to be proved current (read index). */
  if (!prove_current(c, id, fc_now() + c->settings->report_s * 0.5)) {
    later(res, 503, "the state service can't be reached");
    return;
  }
  j = fc_table_job(c->table, id);
  if (j) {
    answer_job(res, 200, j, true);
  } else if (!answered_from_archive(c, res, id, true)) {
    say(res, 404, "no such job");
  }
}

static void withdraw(fc_controller *c, const char *id, fc_http_response *res) {
  if (!fc_job_id_valid(id)) {
    say(res, 404, "no such job");
    return;
  }
  double deadline = fc_now() + c->settings->report_s;
  bool fresh = false;
  for (;;) {
    fc_job *j = c->loaded ? fc_table_job(c->table, id) : NULL;
    if (j && final(j)) {
      answer_job(res, 200, j, false);
      return;
    }
    if (!fresh) {
      if (!fc_state_reachable(c) || !fc_wait_fresh(c, deadline)) break;
      fresh = true;
      continue;
    }
    if (!j) {
      if (!answered_from_archive(c, res, id, false)) say(res, 404, "no such job");
      return;
    }
    fc_write *w = fc_write_job(c->table, j, j->version, FC_PHASE_CANCELLED, j->done, j->handed, &j->origin);
    if (!w) break;
    uint64_t revision = 0;
    fc_state_result r = fc_commit_write(c->commit, w, FC_RANK_REPORT, deadline, &revision);
    if (r == FC_STATE_OK) {
      /* Before we read of it: the state service may be out of reach from here on, and
       * we would go on with the job, and start more of it, for as long. */
      fc_cancel_learned(c, id, revision, fc_now());
      res->status = 200;
      fc_job_answer(res->body, id, FC_STATUS_CANCELLED, 0, 0, false);
      return;
    }
    fresh = false;
    if (r != FC_STATE_CONFLICT) break;
  }
  later(res, 503, "not written; ask again");
}

/* While no controller reaches the state service, being taken out of the load
 * balancer would only add its pauses to the outage: we stay, and refuse at once
 * what we can't do. When a peer still reaches it, users are better off there. */
static bool is_ready(const fc_controller *c) {
  if (fc_state_reachable(c) && c->table->types->len > 0) return true;
  double now = fc_now();
  if (c->loaded && now - c->fresh_sent < c->settings->report_s * 2) return c->table->types->len > 0;
  bool alone = c->settings->peer_count > 0;
  for (size_t k = 0; k < c->settings->peer_count; k++) {
    if (now - c->peers[k].fresh_at < c->settings->report_s * 2) return false;
    if (now - c->peers[k].heard_at < c->settings->report_s * 2) alone = false;
  }
  /* Without the state service and without any other controller it is more likely
   * us than them. */
  if (alone && !fc_may_act(c)) return false;
  return now > c->started_at + c->settings->report_s;
}

static void handle(const fc_http_request *req, fc_http_response *res, void *arg) {
  fc_controller *c = arg;
  char id[FC_ROUTE_ID_MAX];
  const char *allow;
  double began = fc_now();
  c->counts.requests++;
  fc_route route = fc_route_of(req->method, req->path, id, &allow);
  /* The last connections are for workers: users can come back for the next. */
  res->close = req->crowded && route != FC_ROUTE_REPORT;
  switch (route) {
    case FC_ROUTE_REPORT:
      fc_metrics_duty(&c->metrics, FC_DUTY_REPORTS);
      fc_workers_report(c, req, &res->status, res->body);
      break;
    case FC_ROUTE_SUBMIT:
      fc_metrics_duty(&c->metrics, FC_DUTY_SUBMISSIONS);
      submit(c, req, res);
      fc_metrics_time(&c->metrics, FC_TIME_SUBMIT, fc_now() - began);
      break;
    case FC_ROUTE_POLL:
      fc_metrics_duty(&c->metrics, FC_DUTY_QUERIES);
      poll(c, id, res);
      fc_metrics_time(&c->metrics, FC_TIME_POLL, fc_now() - began);
      break;
    case FC_ROUTE_CANCEL:
      fc_metrics_duty(&c->metrics, FC_DUTY_QUERIES);
      withdraw(c, id, res);
      break;
    case FC_ROUTE_READY:
      if (is_ready(c)) {
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

bool fc_front_start(fc_controller *c) {
  /* Sockets are left for peers, the state service, the cloud and commands. */
  fc_http_server_options opt = {
      .most_connections = c->settings->fd_limit * 3 / 4,
      .idle_s = MAX(c->settings->lease_s * 4, 30.0),
      .request_s = c->settings->report_s * 2,
  };
  return fc_http_serve(&c->settings->client_at, &opt, handle, c);
}
