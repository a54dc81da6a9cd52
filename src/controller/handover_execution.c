#include "controller/handover_execution.h"

#include "bookkeeping/record_writes.h"
#include "controller/decided_write.h"

struct fc_handover_execution {
  fc_cluster *cluster;
  fc_group_commit *commit;
  fc_kv_watch *watch;
  fc_wakeups *wakeups;
  fc_metrics *metrics;
};

/* The handover of one job's slices. */
typedef struct job_handover {
  fc_handover_execution *execution;
  char id[FC_JOB_ID_SIZE];
  uint64_t version;                       /* of the job's record, on which the write is conditional */
  uint64_t term_version, term_number;     /* of the current term; the write is conditional on the version too */
  unsigned slices;                        /* one bit per slice */
  unsigned partly_known;                  /* one bit per slice, as in fc_handover */
  unsigned machine_owners[FC_SLICES_MAX]; /* as in fc_handover */
  char to[FC_SLICES_MAX][FC_NAME_SIZE];   /* name of the new owner by slice */
} job_handover;

fc_handover_execution *fc_handover_execution_new(fc_cluster *cluster, fc_group_commit *commit, fc_kv_watch *watch,
                                                 fc_wakeups *wakeups, fc_metrics *metrics) {
  fc_handover_execution *execution = g_new(fc_handover_execution, 1);
  *execution = (fc_handover_execution){
      .cluster = cluster, .commit = commit, .watch = watch, .wakeups = wakeups, .metrics = metrics};
  return execution;
}

static fc_write *make_write(const fc_cluster *cluster, const void *arg) {
  const job_handover *handover = arg;
  const fc_job *job = fc_cluster_find_job(cluster, handover->id);
  if (!job || job->record.version != handover->version) return NULL;
  char *handed_to[FC_SLICES_MAX];
  fc_job_origin origin = job->record.origin;
  origin.handed_over |= handover->slices;
  origin.partly_known = (origin.partly_known & ~handover->slices) | handover->partly_known;
  for (unsigned i = 0; i < FC_SLICES_MAX; i++) {
    handed_to[i] = job->record.handed_to[i];
    if (!(handover->slices >> i & 1)) continue;
    handed_to[i] = (char *)handover->to[i];
    origin.last_handover[i].term = handover->term_number;
    origin.last_handover[i].members = handover->machine_owners[i];
  }
  fc_write *write = fc_job_record_write(cluster, job, job->phase, job->completion.bitmap, handed_to, &origin);
  if (write) fc_write_compare(write, FC_KEY_TERM, handover->term_version);
  return write;
}

/* Routine that hands over the slices of one job. */
static void run(void *arg) {
  job_handover *handover = arg;
  fc_handover_execution *execution = handover->execution;
  fc_decided_write(execution->cluster, execution->commit, execution->watch, make_write, handover);
  fc_job *job = fc_cluster_find_job(execution->cluster, handover->id);
  if (job) job->slices.handover_pending = 0;
  fc_wakeups_raise(execution->wakeups, FC_WAKEUP_SCHEDULE);
  g_free(handover);
}

static void add_slice(job_handover *handover, const fc_term *term, const fc_handover *planned) {
  unsigned slice = planned->slice;
  handover->slices |= 1u << slice;
  handover->partly_known |= (unsigned)planned->partly_known << slice;
  handover->machine_owners[slice] = planned->machine_owners;
  g_strlcpy(handover->to[slice], term->members[planned->to].name, sizeof handover->to[slice]);
  g_debug("hand over job=%s slice=%u to=%s", handover->id, slice, handover->to[slice]);
}

/* Collects all slices of the job in the plan from entry `first` on, to be handed over in one write. */
static job_handover *collect_slices(fc_handover_execution *execution, const fc_job *job, const GArray *plan,
                                    guint first) {
  const fc_membership *membership = &execution->cluster->membership;
  job_handover *handover = g_new0(job_handover, 1);
  handover->execution = execution;
  handover->version = job->record.version;
  handover->term_version = membership->term_version;
  handover->term_number = membership->term.number;
  g_strlcpy(handover->id, job->spec.id, sizeof handover->id);
  for (guint i = first; i < plan->len; i++) {
    const fc_handover *planned = &g_array_index(plan, fc_handover, i);
    if (planned->job == job) add_slice(handover, &membership->term, planned);
  }
  return handover;
}

void fc_handover_execution_begin(fc_handover_execution *execution, const GArray *plan) {
  for (guint i = 0; i < plan->len; i++) {
    fc_job *job = g_array_index(plan, fc_handover, i).job;
    if (job->slices.handover_pending) continue; /* begun with its first slice in the plan */
    job_handover *handover = collect_slices(execution, job, plan, i);
    execution->metrics->counters.handed_over++;
    job->slices.handover_pending = handover->slices;
    job->slices.handover_at = fc_now();
    job->slices.handover_count++;
    if (!fc_routine_spawn(run, handover)) {
      job->slices.handover_pending = 0;
      g_free(handover);
    }
  }
}
