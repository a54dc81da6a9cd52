/* Archives jobs that have long been over: what is needed to answer their users
 * goes to keys that no controller holds in memory, and none reads when it starts.
 * Otherwise memory, and the time to start, would grow with every job there ever was. */
#include "bookkeeping/pipeline.h"
#include "controller/controller.h"

#define WRITES_SHARE 0.5 /* of the write rate, at most */
#define JOB_WRITES 2     /* a job leaves one key and comes to another */

fc_lookup fc_archive_find(fc_controller *c, const char *id, double deadline, fc_archived_job *out) {
  /* The mark was there before the first job was archived. */
  if (!c->table->archive) return FC_NOT_THERE;
  /* Users of jobs that are over ask as often as others: with the fixed part of the rate alone,
   * ninety such jobs were answered too rarely (fault test with pipelines, seed 15). */
  if (!fc_budget_take(&c->lookup_budget, 1, 0, fc_now()) && !fc_commit_spare_request(c->commit)) return FC_NOT_SURE;
  char *key = g_strconcat(FC_PREFIX_ARCHIVED, id, NULL);
  json_t *value = NULL;
  fc_state_result r = fc_state_get(c->state, key, deadline, &value);
  g_free(key);
  fc_lookup found = FC_NOT_SURE;
  if (r == FC_STATE_GONE) found = FC_NOT_THERE;
  if (r == FC_STATE_OK && fc_archived_job_decode(value, out)) found = FC_FOUND;
  json_decref(value);
  return found;
}

static bool set_mark(fc_controller *c) {
  fc_write *w = fc_write_new();
  fc_write_if(w, FC_KEY_ARCHIVE, 0);
  fc_write_put(w, FC_KEY_ARCHIVE, fc_mark_encode());
  uint64_t revision = 0;
  fc_state_result r = fc_commit_write(c->commit, w, FC_RANK_UPKEEP, fc_now() + c->settings->lease_s, &revision);
  if (r == FC_STATE_OK) return fc_wait_revision(c, revision, fc_now() + c->settings->report_s);
  (void)fc_wait_fresh(c, fc_now() + c->settings->report_s);
  return c->table->archive;
}

/* In one transaction the job leaves the one place and is in the other. */
static void archive_job(fc_controller *c, const char *id) {
  const fc_job *j = fc_table_job(c->table, id);
  if (!j || j->phase == FC_PHASE_ACCEPTED || !fc_may_act(c)) return;
  char *from = g_strconcat(FC_PREFIX_JOB, id, NULL), *to = g_strconcat(FC_PREFIX_ARCHIVED, id, NULL);
  fc_archived_job o = {.done = j->phase == FC_PHASE_DONE, .tasks_done = j->done_count};
  fc_write *w = fc_write_new();
  fc_write_if(w, from, j->version);
  fc_write_if(w, to, 0);
  fc_write_put(w, to, fc_archived_job_encode(&o));
  fc_write_delete(w, from);
  g_free(from);
  g_free(to);
  (void)fc_commit_write(c->commit, w, FC_RANK_UPKEEP, fc_now() + c->settings->lease_s, NULL);
}

/* Ours (the first slice's owner does it), long over, with nothing left of them. */
static GPtrArray *long_over(fc_controller *c, guint most) {
  GPtrArray *ids = g_ptr_array_new_with_free_func(g_free);
  double before = fc_now() - c->settings->op.over_keep_s;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, c->table->jobs);
  while (g_hash_table_iter_next(&it, NULL, &value) && ids->len < most) {
    const fc_job *j = value;
    if (!j->over_at || j->over_at > before || j->placements->len > 0) continue;
    /* Those that await it read from its record that it is over. */
    if (fc_pipeline_awaited(c->table, j->spec.id)) continue;
    if (fc_job_owner(j, 0) == c->table->self) g_ptr_array_add(ids, g_strdup(j->spec.id));
  }
  return ids;
}

void fc_archive_main(void *arg) {
  fc_controller *c = arg;
  fc_metrics_duty(&c->metrics, FC_DUTY_COMMITS);
  double pause = c->settings->op.round_s * 2.5;
  while (!fc_routine_cancelled()) {
    if (fc_routine_sleep(pause) == FC_WAKE_CANCELLED) break;
    if (!fc_may_act(c) || !fc_state_reachable(c)) continue;
    /* By the rate and not by what a transaction holds: with few changes in each, jobs came
     * faster than they were archived. */
    GPtrArray *ids = long_over(c, (guint)MAX(1, fc_commit_rate(c->commit) * pause * WRITES_SHARE / JOB_WRITES));
    bool may = ids->len > 0 && (c->table->archive || set_mark(c));
    /* None while others wait. */
    for (guint i = 0; may && i < ids->len && fc_commit_backlog(c->commit) == 0; i++) archive_job(c, ids->pdata[i]);
    g_ptr_array_free(ids, TRUE);
  }
}
