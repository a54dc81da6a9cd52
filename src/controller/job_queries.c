#include "controller/job_queries.h"

#include "bookkeeping/record_writes.h"
#include "controller/http_answers.h"

#define POLL_TIMEOUT_HEARTBEATS 0.5

struct fc_job_queries {
  fc_cluster *cluster;
  fc_kv_watch *watch;
  fc_group_commit *commit;
  fc_cancellations *cancellations;
  fc_job_lookup *lookup;
};

fc_job_queries *fc_job_queries_new(fc_cluster *cluster, fc_kv_watch *watch, fc_group_commit *commit,
                                   fc_cancellations *cancellations, fc_job_lookup *lookup) {
  fc_job_queries *queries = g_new(fc_job_queries, 1);
  *queries = (fc_job_queries){
      .cluster = cluster, .watch = watch, .commit = commit, .cancellations = cancellations, .lookup = lookup};
  return queries;
}

void fc_job_queries_poll(fc_job_queries *queries, const char *id, fc_http_response *response) {
  const fc_job *job = fc_job_lookup_known(queries->lookup, id);
  if (job && fc_job_has_ended(job)) {
    fc_job_lookup_answer(response, 200, job, true);
    return;
  }
  if (!fc_job_id_valid(id)) {
    fc_http_answer_error(response, 404, "no such job");
    return;
  }
  /* A state that may still change has to be current. */
  double deadline = fc_now() + queries->cluster->settings->heartbeat_s * POLL_TIMEOUT_HEARTBEATS;
  fc_job_lookup_refuse_unless_known(queries->lookup, response, id, true, 404, "no such job", deadline);
}

typedef enum {
  CANCEL_ANSWERED,
  CANCEL_REPEAT, /* the job's record has changed meanwhile, or has to be smaller */
  CANCEL_FAILED,
} cancel_result;

/* Writes the cancellation of a job in the cluster state. */
static cancel_result write_cancellation(fc_job_queries *queries, const fc_job *job, double deadline,
                                        fc_http_response *response) {
  char *id = g_strdup(job->spec.id); /* the job may be freed during the write */
  cancel_result outcome = CANCEL_FAILED;
  fc_write *write = fc_job_record_write(queries->cluster, job, FC_PHASE_CANCELLED, job->completion.bitmap,
                                        job->record.handed_to, &job->record.origin);
  if (!write) goto out;
  size_t max_bytes = fc_value_limit_bytes(&queries->cluster->value_limit);
  uint64_t revision = 0;
  fc_kv_result result = fc_group_commit_write(queries->commit, write, FC_WRITE_PRIORITY_HEARTBEAT, deadline, &revision);
  bool limit_lowered = fc_value_limit_bytes(&queries->cluster->value_limit) < max_bytes;
  if (result == FC_KV_CONFLICT || (result == FC_KV_REFUSED && limit_lowered)) outcome = CANCEL_REPEAT;
  if (result != FC_KV_OK) goto out;
  /* Takes effect without waiting until the watch reads the record: if the key-value store became unreachable now, more
   * tasks of the job would be started until it is back. */
  fc_cancellations_learned(queries->cancellations, id, revision, fc_now());
  response->status = 200;
  fc_job_answer(response->body, id, FC_STATUS_CANCELLED, 0, 0, false);
  outcome = CANCEL_ANSWERED;
out:
  g_free(id);
  return outcome;
}

/* Makes one attempt, after a fresh read. */
static cancel_result try_cancel(fc_job_queries *queries, const char *id, double deadline, fc_http_response *response) {
  const fc_job *job = fc_job_lookup_known(queries->lookup, id);
  bool ended = job && fc_job_has_ended(job);
  if (!ended) {
    if (!fc_cluster_store_reachable(queries->cluster, fc_now()) || !fc_kv_watch_wait_fresh(queries->watch, deadline))
      return CANCEL_FAILED;
    job = fc_job_lookup_known(queries->lookup, id);
    ended = job && fc_job_has_ended(job);
  }
  if (ended) {
    fc_job_lookup_answer(response, 200, job, false);
    return CANCEL_ANSWERED;
  }
  if (job) return write_cancellation(queries, job, deadline, response);
  if (!fc_job_lookup_answer_if_known(queries->lookup, response, id, false))
    fc_http_answer_error(response, 404, "no such job");
  return CANCEL_ANSWERED;
}

void fc_job_queries_cancel(fc_job_queries *queries, const char *id, fc_http_response *response) {
  if (!fc_job_id_valid(id)) {
    fc_http_answer_error(response, 404, "no such job");
    return;
  }
  double deadline = fc_now() + queries->cluster->settings->heartbeat_s;
  cancel_result result;
  while ((result = try_cancel(queries, id, deadline, response)) == CANCEL_REPEAT) {
  }
  if (result == CANCEL_FAILED) fc_http_answer_retry(response, 503, "not written; ask again");
}
