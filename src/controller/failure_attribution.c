#include "controller/failure_attribution.h"

#include "transport/routine.h"

#define FAILED_MACHINES_MAX 3u /* a job that has failed on more machines is at fault itself */
#define FAULTY_FAILED_JOBS 2u  /* a machine on which this many jobs have failed is faulty */

/* The delay before a failed job is placed again doubles with each failure in a row, up to a bound. */
#define BACKOFF_HEARTBEATS 0.25
#define BACKOFF_DOUBLINGS_MAX 6u

static double backoff_s(const fc_settings *settings, unsigned failures) {
  return settings->heartbeat_s * (double)(1u << MIN(failures, BACKOFF_DOUBLINGS_MAX)) * BACKOFF_HEARTBEATS;
}

static void record_failure(const fc_settings *settings, fc_job *job, fc_machine *machine) {
  if (!job) return;
  if (!job->failures.machines) job->failures.machines = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  bool first_here = g_hash_table_add(job->failures.machines, g_strdup(machine->id));
  job->failures.count++;
  job->queue.blocked_until = fc_now() + backoff_s(settings, job->failures.count);
  if (g_hash_table_size(job->failures.machines) > FAILED_MACHINES_MAX) {
    /* It failed everywhere, so no machine is to be avoided for it any more. */
    g_hash_table_remove_all(job->failures.machines);
    return;
  }
  if (!first_here) return;
  machine->health.failed_jobs++;
  if (machine->health.failed_jobs >= FAULTY_FAILED_JOBS && !machine->health.faulty) {
    machine->health.faulty = true;
    fc_machine_cordon(machine);
    g_info("faulty machine=%s", machine->id);
  }
}

void fc_failure_attribution_note_exit(const fc_settings *settings, const fc_placement *placement) {
  fc_job *job = placement->job;
  fc_machine *machine = placement->machine;
  if (placement->status.cause == FC_CAUSE_ERROR) {
    record_failure(settings, job, machine);
  } else if (placement->status.cause == FC_CAUSE_DONE) {
    if (machine->health.failed_jobs > 0) machine->health.failed_jobs--;
    if (job) job->failures.count = 0;
  }
  g_debug("exit task=%s/%u attempt=%" G_GUINT64_FORMAT " machine=%s cause=%d", placement->job_id, placement->index,
          (guint64)placement->attempt, machine->id, placement->status.cause);
}
