#include "controller/pipelines.h"

#include <string.h>

#include "bookkeeping/pipeline.h"
#include "bookkeeping/writes.h"

/* What one awaited job means for a submission that names it. */
typedef enum { OPEN, DONE, CANCELLED, REFUSED, ABSENT, NOT_SURE } awaited_verdict;

static awaited_verdict in_table(const fc_controller *c, const char *id) {
  const fc_job *j = fc_table_job(c->table, id);
  if (!j) return ABSENT;
  if (j->spec.kind == FC_KIND_SERVICE) return REFUSED;
  if (j->phase == FC_PHASE_ACCEPTED) return OPEN;
  return j->phase == FC_PHASE_DONE ? DONE : CANCELLED;
}

#define FOUND_MOST 1024u /* remembered; all are forgotten when there are more */

/* Finds an awaited job in the archive. What was found once stays so for good, and is kept for
 * a while: a submission that names more of them than may be looked up at once gets on with
 * each repeat. */
static fc_lookup find_archived(fc_controller *c, const char *id, double deadline, fc_archived_job *out) {
  const fc_archived_job *known = g_hash_table_lookup(c->archived, id);
  if (known) {
    *out = *known;
    return FC_FOUND;
  }
  fc_lookup found = fc_archive_find(c, id, deadline, out);
  if (found != FC_FOUND) return found;
  if (g_hash_table_size(c->archived) >= FOUND_MOST) g_hash_table_remove_all(c->archived);
  fc_archived_job *copy = g_new(fc_archived_job, 1);
  *copy = *out;
  g_hash_table_replace(c->archived, g_strdup(id), copy);
  return FC_FOUND;
}

static awaited_verdict in_archive(fc_controller *c, const char *id, double deadline) {
  fc_archived_job o;
  switch (find_archived(c, id, deadline, &o)) {
    case FC_FOUND:
      return o.done ? DONE : CANCELLED;
    case FC_NOT_THERE:
      /* It may have been archived between the two looks. */
      return in_table(c, id) == ABSENT ? REFUSED : NOT_SURE;
    default:
      return NOT_SURE;
  }
}

/* `fresh`: the table was proved current since the submission came. */
static awaited_verdict look_at(fc_controller *c, const char *id, double deadline, bool *fresh) {
  awaited_verdict verdict = c->loaded ? in_table(c, id) : ABSENT;
  if (verdict == ABSENT && !*fresh) {
    if (!fc_wait_fresh(c, deadline)) return NOT_SURE;
    *fresh = true;
    verdict = in_table(c, id);
  }
  return verdict == ABSENT ? in_archive(c, id, deadline) : verdict;
}

/* Looks at each; those that are not done yet are added to `open`. */
static fc_awaits_verdict look_at_all(fc_controller *c, char *const *awaits, double deadline, GPtrArray *open) {
  fc_awaits_verdict verdict = FC_AWAITS_RESOLVED;
  bool fresh = false;
  for (char *const *id = awaits; *id; id++) {
    switch (look_at(c, *id, deadline, &fresh)) {
      case OPEN:
        g_ptr_array_add(open, g_strdup(*id));
        break;
      case DONE:
        break;
      case CANCELLED:
        verdict = FC_AWAITS_CANCELLED;
        break;
      case REFUSED:
        return FC_AWAITS_REFUSED;
      default:
        return FC_AWAITS_NOT_SURE;
    }
  }
  return verdict;
}

fc_awaits_verdict fc_pipelines_admit(fc_controller *c, char *const *awaits, double deadline, char ***open) {
  *open = NULL;
  if (!awaits) return FC_AWAITS_RESOLVED;
  GPtrArray *ids = g_ptr_array_new_with_free_func(g_free);
  fc_awaits_verdict verdict = look_at_all(c, awaits, deadline, ids);
  if (verdict == FC_AWAITS_RESOLVED && ids->len > 0) {
    g_ptr_array_add(ids, NULL);
    *open = (char **)g_ptr_array_steal(ids, NULL);
  }
  g_ptr_array_free(ids, TRUE);
  return verdict;
}

bool fc_pipelines_supported(const fc_controller *c) {
  const fc_term *term = &c->table->term;
  for (size_t i = 0; i < term->count; i++) {
    const fc_member_key *key = g_hash_table_lookup(c->table->members, term->members[i].name);
    if (key && key->job_format < FC_JOB_FORMAT_AWAITING) return false;
  }
  return true;
}

/* False: the state service can't say now. */
static bool look_up(fc_controller *c, const char *id, double deadline) {
  fc_archived_job o;
  if (find_archived(c, id, deadline, &o) != FC_FOUND) return false;
  fc_pipeline_learned(c->table, id, o.done ? FC_AWAITED_DONE : FC_AWAITED_CANCELLED, fc_now());
  fc_round_soon(c);
  return true;
}

bool fc_pipelines_resolve(fc_controller *c, const char *id, double deadline) {
  for (;;) {
    const fc_job *j = fc_table_job(c->table, id);
    const char *unknown = j && j->phase == FC_PHASE_ACCEPTED ? fc_job_unknown_awaited(j) : NULL;
    if (!unknown) return true;
    char *awaited = g_strdup(unknown);
    bool known = look_up(c, awaited, deadline);
    g_free(awaited);
    if (!known) return false;
  }
}

/* The job's own record comes to say what follows from another's. */
static void record_cancel(fc_controller *c, const char *id) {
  const fc_job *j = fc_table_job(c->table, id);
  if (!j || j->recorded_phase != FC_PHASE_ACCEPTED || j->phase != FC_PHASE_CANCELLED || !fc_may_act(c)) return;
  fc_write *w = fc_write_job(c->table, j, j->version, FC_PHASE_CANCELLED, j->done, j->handed, &j->origin);
  if (!w) return;
  uint64_t revision = 0;
  double now = fc_now();
  if (fc_commit_write(c->commit, w, FC_RANK_UPKEEP, now + c->settings->lease_s, &revision) == FC_STATE_OK)
    (void)fc_wait_revision(c, revision, fc_now() + c->settings->report_s);
}

static void each_id(fc_controller *c, GPtrArray *ids, void (*fn)(fc_controller *c, const char *id)) {
  for (guint i = 0; i < ids->len; i++) fn(c, ids->pdata[i]);
  g_ptr_array_free(ids, TRUE);
}

static void look_up_soon(fc_controller *c, const char *id) {
  (void)look_up(c, id, fc_now() + c->settings->report_s * 0.5);
}

#define AT_ONCE_MOST 16u /* of either kind, before the other has its turn */

void fc_pipelines_main(void *arg) {
  fc_controller *c = arg;
  fc_metrics_duty(&c->metrics, FC_DUTY_COMMITS);
  while (fc_routine_sleep(c->settings->report_s * 0.25) != FC_WAKE_CANCELLED) {
    if (!c->loaded || !fc_state_reachable(c)) continue;
    each_id(c, fc_pipeline_unknown(c->table, AT_ONCE_MOST), look_up_soon);
    if (c->table->self >= 0) each_id(c, fc_pipeline_unrecorded(c->table, c->table->self, AT_ONCE_MOST), record_cancel);
  }
}
