#include "controller/cancellations.h"

#include "bookkeeping/job_records.h"
#include "transport/routine.h"

struct fc_cancellations {
  fc_cluster *cluster;
  fc_wakeups *wakeups;
  fc_cancellation_log *log;
  double learned_at; /* when the last one was learned of, or the time of creation */
};

fc_cancellations *fc_cancellations_new(fc_cluster *cluster, fc_wakeups *wakeups) {
  fc_cancellations *cancellations = g_new0(fc_cancellations, 1);
  cancellations->cluster = cluster;
  cancellations->wakeups = wakeups;
  cancellations->log = fc_cancellation_log_new();
  cancellations->learned_at = fc_now();
  return cancellations;
}

void fc_cancellations_free(fc_cancellations *cancellations) {
  if (!cancellations) return;
  fc_cancellation_log_free(cancellations->log);
  g_free(cancellations);
}

void fc_cancellations_learned(fc_cancellations *cancellations, const char *job, uint64_t revision, double since) {
  double now = fc_now();
  /* Also applied when it is too old for the log; otherwise the job's tasks would never be stopped. */
  if (revision > cancellations->cluster->sync.revision)
    fc_cluster_apply_cancellation(cancellations->cluster, job, revision, since, now);
  if (!fc_cancellation_log_add(cancellations->log, job, revision, since)) return;
  cancellations->learned_at = now;
  fc_wakeups_raise(cancellations->wakeups, FC_WAKEUP_SCHEDULE);
  fc_wakeups_raise(cancellations->wakeups, FC_WAKEUP_REPLICATE);
}

void fc_cancellations_learned_from_peer(fc_cancellations *cancellations, const fc_frame_cancellation *list,
                                        size_t count) {
  double now = fc_now();
  for (size_t i = 0; i < count; i++)
    fc_cancellations_learned(cancellations, list[i].job, list[i].revision, now - list[i].age_ms / FC_MS_PER_S);
}

double fc_cancellations_learned_at(const fc_cancellations *cancellations) {
  return cancellations->learned_at;
}

bool fc_cancellations_since(const fc_cancellations *cancellations, uint64_t revision, fc_frame_cancellation **list,
                            size_t *count) {
  const fc_cancellation *first;
  bool complete = fc_cancellation_log_since(cancellations->log, revision, &first, count);
  *list = fc_cancellations_to_frame(first, *count, fc_now());
  return complete;
}

void fc_cancellations_trim(fc_cancellations *cancellations, uint64_t revision) {
  fc_cancellation_log_trim(cancellations->log, revision);
}
