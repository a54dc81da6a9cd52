/* Cancelled jobs whose tasks are not proved gone: the machine goes back to the cloud in
 * time. A halt may not get through, and a start that was held up in a cut is carried out
 * when the cut ends, however late, as long as token and session are the same: a task of a
 * job cancelled 43 s before began (scene commands_held_up). */
#include "controller/controller.h"

/* Kept for returning the machine: calls that fail, and the cloud's rate. */
static double reserve(const fc_settings *s) {
  return MAX(s->lease_s * 0.5, s->report_s * 3);
}

static bool may_be_there(const fc_placement *p) {
  if (p->stray != FC_STRAY_NONE) return true; /* or may yet begin */
  return p->sent && p->state != FC_TASK_EXITED;
}

/* Has the machine to go back for a cancelled task that is not proved gone? */
static bool overdue(const fc_table *t, const fc_machine *m, double now) {
  const fc_settings *s = t->settings;
  for (guint i = 0; i < m->placements->len; i++) {
    const fc_placement *p = m->placements->pdata[i];
    if (may_be_there(p) && now > fc_table_cancelled_from(t, p->job_id) + s->cancel_s - reserve(s)) return true;
  }
  return false;
}

/* What else runs there is lost, and the suspicion that it is our own network that is cut
 * does not count: the rule comes first. The record goes later, with the next returns: the
 * state service may be out of reach. */
static void give_back_overdue(fc_controller *c) {
  fc_table *t = c->table;
  double now = fc_now();
  GPtrArray *ids = g_ptr_array_new_with_free_func(g_free);
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, t->machines);
  while (g_hash_table_iter_next(&it, NULL, &value) && ids->len < FC_RELEASE_MOST) {
    fc_machine *m = value;
    if (m->owner != t->self || !m->version || m->writing || !overdue(t, m, now)) continue;
    fc_machine_begin_return(m, "overdue", ids);
  }
  if (ids->len > 0 && fc_cloud_turn(c) && fc_may_act(c) &&
      fc_cloud_release(c->cloud, (const char *const *)ids->pdata, ids->len, fc_now() + c->settings->report_s) ==
          FC_CLOUD_OK)
    fc_machines_gone(c, ids);
  g_ptr_array_free(ids, TRUE);
}

void fc_overdue_main(void *arg) {
  fc_controller *c = arg;
  fc_metrics_duty(&c->metrics, FC_DUTY_RENTAL);
  while (fc_routine_sleep(c->settings->report_s * 0.5) != FC_WAKE_CANCELLED)
    if (fc_may_act(c)) give_back_overdue(c);
}
