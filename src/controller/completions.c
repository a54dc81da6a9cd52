/* Completed tasks: written to the job's record, batched, before they are cleared from
 * their machines. */
#include <string.h>

#include "controller/controller.h"
#include "scheduler/place.h"

typedef struct record_arg {
  fc_controller *c;
  char id[32];
} record_arg;

/* The finished tasks of a job that its record does not show yet. */
static bool unrecorded(const fc_job *j, uint8_t *bits) {
  bool any = false;
  memcpy(bits, j->done, (j->spec.tasks + 7) / 8);
  for (guint i = 0; i < j->placements->len; i++) {
    const fc_placement *p = j->placements->pdata[i];
    if (p->state != FC_TASK_EXITED || p->cause != FC_CAUSE_DONE || p->index >= j->spec.tasks) continue;
    if (fc_job_task_done(j, p->index)) continue;
    bits[p->index / 8] |= (uint8_t)(1u << (p->index % 8));
    any = true;
  }
  /* A gang completes together: if one task is done, all are. Waiting for each
   * task's own report left a gang open for ever when a machine was lost between
   * (fault test, seed 23): the rest could not start as a gang again. */
  if (any && j->spec.kind == FC_KIND_GANG)
    for (uint32_t i = 0; i < j->spec.tasks; i++) bits[i / 8] |= (uint8_t)(1u << (i % 8));
  return any;
}

/* Is anything of our slices still to come? */
static bool more_to_come(const fc_controller *c, const fc_job *j) {
  if (j->spec.kind == FC_KIND_GANG) return false; /* its tasks complete together */
  for (guint i = 0; i < j->placements->len; i++) {
    const fc_placement *p = j->placements->pdata[i];
    if (fc_placement_live(p) && p->machine->owner == c->table->self) return true;
  }
  return fc_job_waits(j, c->table->self);
}

#define ENDS_SHARE 0.25   /* of our write rate, for ends that nobody waits for */
#define GATHER_LEASES 2.0 /* they are gathered for no longer than so many worker leases */

/* How long ends are gathered before they are written: for a round, or as long as it takes to
 * keep to their part of the write rate. With fifty arrays that ran they took all of it, and
 * users' submissions were refused for minutes. */
static double gather_time(const fc_controller *c) {
  double jobs = g_hash_table_size(c->recording);
  double spacing = jobs / (fc_commit_rate(c->commit) * ENDS_SHARE);
  return CLAMP(spacing, c->settings->op.round_s, c->settings->lease_s * GATHER_LEASES);
}

/* Waits for more ends of the job: an array of 150 would be written 150 times. The last ones
 * are written at once: somebody waits to be told, and jobs that await this one to be started. */
static void gather_ends(fc_controller *c, const char *id) {
  double until = fc_now() + gather_time(c) * g_random_double_range(0.75, 1.25);
  for (;;) {
    const fc_job *j = fc_table_job(c->table, id);
    if (!j || j->phase != FC_PHASE_ACCEPTED || !more_to_come(c, j)) return;
    fc_cond *ended = g_hash_table_lookup(c->recording, id);
    if (fc_cond_wait(ended, until) != FC_WAKE_OK) return;
  }
}

/* The write of what has ended; NULL: nothing has, or nothing of it has room in the record
 * before more has ended. Tasks that are not recorded stay on their machines. */
static fc_write *ends_write(const fc_controller *c, const fc_job *j, uint32_t *count) {
  size_t bytes = (j->spec.tasks + 7) / 8;
  uint8_t *ended = g_malloc0(bytes), *done = g_malloc0(bytes);
  fc_write *w = NULL;
  if (unrecorded(j, ended)) {
    for (uint32_t i = 0; i < j->spec.tasks; i++) *count += ended[i / 8] >> (i % 8) & 1;
    fc_phase phase = *count == j->spec.tasks ? FC_PHASE_DONE : FC_PHASE_ACCEPTED;
    w = fc_write_job(c->table, j, j->version, phase, ended, j->handed, &j->origin);
    if (!w && phase == FC_PHASE_ACCEPTED && fc_write_job_fit(c->table, j, ended, done))
      w = fc_write_job(c->table, j, j->version, phase, done, j->handed, &j->origin);
  }
  g_free(ended);
  g_free(done);
  return w;
}

static void record_main(void *arg) {
  record_arg a = *(record_arg *)arg;
  g_free(arg);
  fc_controller *c = a.c;
  fc_metrics_duty(&c->metrics, FC_DUTY_COMMITS);
  for (;;) {
    gather_ends(c, a.id);
    fc_job *j = fc_table_job(c->table, a.id);
    if (!j || j->phase != FC_PHASE_ACCEPTED || fc_routine_cancelled()) break;
    uint32_t count = 0;
    fc_write *w = ends_write(c, j, &count);
    if (!w) break;
    uint64_t revision = 0;
    fc_state_result res = fc_commit_write(c->commit, w, FC_RANK_REPORT, fc_now() + 10.0, &revision);
    if (res == FC_STATE_OK) {
      g_debug("recorded job=%s done=%u", a.id, count);
      (void)fc_wait_revision(c, revision, fc_now() + 2.0);
    } else {
      (void)fc_routine_sleep(g_random_double_range(0.05, 0.2));
      (void)fc_wait_fresh(c, fc_now() + 2.0);
    }
  }
  g_hash_table_remove(c->recording, a.id);
  /* What is recorded now can be cleared from its machine. */
  fc_job *j = fc_table_job(c->table, a.id);
  for (guint i = 0; j && i < j->placements->len; i++) {
    fc_placement *p = j->placements->pdata[i];
    if (p->state == FC_TASK_EXITED && (j->phase != FC_PHASE_ACCEPTED || fc_job_task_done(j, p->index)))
      p->recorded = true;
  }
}

void fc_workers_record(fc_controller *c, const char *job_id) {
  fc_cond *ended = g_hash_table_lookup(c->recording, job_id);
  if (ended) {
    fc_cond_broadcast(ended);
    return;
  }
  record_arg *a = g_new0(record_arg, 1);
  a->c = c;
  g_strlcpy(a->id, job_id, sizeof a->id);
  g_hash_table_insert(c->recording, g_strdup(job_id), g_new0(fc_cond, 1));
  if (!fc_routine_spawn(record_main, a)) {
    g_hash_table_remove(c->recording, job_id);
    g_free(a);
  }
}
