#include "controller/job_lookup.h"

#include "controller/http_answers.h"

#define ARCHIVE_TIMEOUT_HEARTBEATS 0.5

struct fc_job_lookup {
  const fc_cluster *cluster;
  fc_kv_watch *watch;
  fc_dependency_resolver *resolver;
  fc_archive_lookup *archive;
};

fc_job_lookup *fc_job_lookup_new(const fc_cluster *cluster, fc_kv_watch *watch, fc_dependency_resolver *resolver,
                                 fc_archive_lookup *archive) {
  fc_job_lookup *lookup = g_new(fc_job_lookup, 1);
  *lookup = (fc_job_lookup){.cluster = cluster, .watch = watch, .resolver = resolver, .archive = archive};
  return lookup;
}

bool fc_job_has_ended(const fc_job *job) {
  return job->phase != FC_PHASE_ACCEPTED;
}

const fc_job *fc_job_lookup_known(const fc_job_lookup *lookup, const char *id) {
  return lookup->cluster->sync.loaded ? fc_cluster_find_job(lookup->cluster, id) : NULL;
}

bool fc_job_lookup_wait_current(fc_job_lookup *lookup, const char *id, double deadline) {
  return fc_cluster_store_reachable(lookup->cluster, fc_now()) && fc_kv_watch_wait_fresh(lookup->watch, deadline) &&
         fc_dependency_resolver_resolve(lookup->resolver, id, deadline);
}

void fc_job_lookup_answer(fc_http_response *response, int status, const fc_job *job, bool with_counts) {
  uint32_t running;
  fc_job_status job_status = fc_job_status_of(job, &running);
  response->status = status;
  fc_job_answer(response->body, job->spec.id, job_status, job->completion.count, running, with_counts);
}

static void answer_archived(fc_http_response *response, const char *id, const fc_archived_job *archived,
                            bool with_counts) {
  fc_job_status job_status = archived->done ? FC_STATUS_DONE : FC_STATUS_CANCELLED;
  response->status = 200;
  fc_job_answer(response->body, id, job_status, archived->tasks_done, 0, with_counts);
}

static bool answer_if_archived(fc_job_lookup *lookup, fc_http_response *response, const char *id, bool with_counts) {
  /* The job exists, but its record can't be applied before the rest of its description has been read. */
  if (g_hash_table_contains(lookup->cluster->incomplete_jobs, id)) {
    fc_http_answer_retry(response, 503, "can't be read now");
    return true;
  }
  double deadline = fc_now() + lookup->cluster->settings->heartbeat_s * ARCHIVE_TIMEOUT_HEARTBEATS;
  fc_archived_job archived;
  switch (fc_archive_lookup_find(lookup->archive, id, deadline, &archived)) {
    case FC_ARCHIVE_FOUND:
      answer_archived(response, id, &archived, with_counts);
      return true;
    case FC_ARCHIVE_UNAVAILABLE:
      fc_http_answer_retry(response, 503, "can't be looked up now");
      return true;
    default:
      return false;
  }
}

bool fc_job_lookup_answer_if_known(fc_job_lookup *lookup, fc_http_response *response, const char *id,
                                   bool with_counts) {
  const fc_job *job = fc_cluster_find_job(lookup->cluster, id);
  if (!job) return answer_if_archived(lookup, response, id, with_counts);
  fc_job_lookup_answer(response, 200, job, with_counts);
  return true;
}

void fc_job_lookup_refuse_unless_known(fc_job_lookup *lookup, fc_http_response *response, const char *id,
                                       bool with_counts, int status, const char *error, double deadline) {
  if (!fc_job_lookup_wait_current(lookup, id, deadline)) {
    fc_http_answer_retry(response, 503, "the state service can't be reached");
  } else if (!fc_job_lookup_answer_if_known(lookup, response, id, with_counts)) {
    fc_http_answer_error(response, status, error);
  }
}
