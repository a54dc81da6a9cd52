/* The round: every two seconds, and at once when a job or room arrives. */
#include <string.h>

#include "bookkeeping/pipeline.h"
#include "controller/controller.h"
#include "controller/duties.h"
#include "scheduler/place.h"
#include "scheduler/preempt.h"

static uint64_t next_attempt(fc_controller *c) {
  return fc_attempt(c->table->term.number, ++c->attempt_counter);
}

/* Tasks that must not run any more. */
static void stop_unwanted(fc_controller *c, fc_machine *m, bool *work) {
  for (guint i = 0; i < m->placements->len; i++) {
    fc_placement *p = m->placements->pdata[i];
    if (p->state == FC_TASK_EXITED || (p->stopping && p->grace_s <= 0)) continue;
    const fc_job *j = p->job;
    /* A gang that lost a task before it started waits for nothing. */
    bool orphan = j && j->spec.kind == FC_KIND_GANG && p->state == FC_TASK_WAITING &&
                  j->placements->len < j->spec.tasks - j->done_count;
    if (!orphan && !fc_workers_unwanted(c, p)) continue;
    p->stopping = true;
    p->grace_s = 0;
    *work = true;
  }
}

/* The orderly stop of a gang: all tasks are told at once, directly, or one told
 * alone would lose the others' work. Where some are on another member's machines
 * (after a change of term) it is left to run to its end. */
static void stop_gang(fc_controller *c, const fc_job *j) {
  fc_table *t = c->table;
  for (guint i = 0; i < j->placements->len; i++) {
    const fc_placement *p = j->placements->pdata[i];
    if (p->machine->owner != t->self || p->machine->settled_term != t->term.number || p->machine->ordering) return;
  }
  for (guint i = 0; i < j->placements->len; i++) {
    fc_placement *p = j->placements->pdata[i];
    if (!fc_placement_live(p) || p->stopping) continue;
    fc_workers_stop(c, p);
    fc_workers_push(c, p->machine);
  }
  g_debug("stop gang job=%s", j->spec.id);
}

/* A machine that is about to be taken, or to be returned as faulty, is drained:
 * what can save does so, and goes on elsewhere. */
static void drain(fc_controller *c, fc_machine *m, bool *work) {
  if (!m->notice_until && !m->faulty) return;
  for (guint i = 0; i < m->placements->len; i++) {
    fc_placement *p = m->placements->pdata[i];
    if (p->state == FC_TASK_EXITED || p->stopping || !p->job) continue;
    const fc_job_spec *s = &p->job->spec;
    /* What never saves may still end in time; moving it only loses its work. */
    if (s->checkpoint_s <= 0 && s->kind != FC_KIND_SERVICE && p->state == FC_TASK_RUNNING) continue;
    if (s->kind == FC_KIND_GANG) {
      stop_gang(c, p->job);
      continue;
    }
    fc_workers_stop(c, p);
    *work = true;
  }
}

/* Starts that have not been sent, and stops that the answer to a report would have
 * carried by now: a machine that reaches nobody hears of them directly or never. */
static bool owes_commands(const fc_controller *c, const fc_machine *m, double now) {
  bool quiet = now > m->heard_at + c->settings->report_s * 1.25;
  for (guint i = 0; i < m->placements->len; i++) {
    const fc_placement *p = m->placements->pdata[i];
    if (!p->reported && !p->sent && !p->stopping) return true;
    if (quiet && p->stopping && p->sent && fc_placement_live(p)) return true;
  }
  return false;
}

static void send_stops(fc_controller *c, GPtrArray *stops, GPtrArray *push) {
  for (guint i = 0; i < stops->len; i++) {
    fc_placement *p = stops->pdata[i];
    fc_workers_stop(c, p);
    c->counts.preempted++;
    g_debug("preempt task=%s/%u machine=%s", p->job_id, p->index, p->machine->id);
    if (!g_ptr_array_find(push, p->machine, NULL)) g_ptr_array_add(push, p->machine);
  }
  g_ptr_array_free(stops, TRUE);
}

static void place(fc_controller *c, GPtrArray *push) {
  GPtrArray *stops = g_ptr_array_new();
  fc_table *t = c->table;
  double now = fc_now();
  fc_allowance allow;
  fc_quota_allowance(c, &allow);
  GArray *plan = fc_place_round(t, &allow, now);
  fc_image_search *search = fc_image_search_new(t, now);
  const fc_job *gang = NULL;
  uint64_t attempt = 0;
  for (guint i = 0; i < plan->len; i++) {
    const fc_decision *d = &g_array_index(plan, fc_decision, i);
    if (fc_preempt_for_image(search, d, stops)) continue;
    bool same_gang = d->job->spec.kind == FC_KIND_GANG && d->job == gang;
    if (!same_gang) attempt = next_attempt(c);
    gang = d->job;
    (void)fc_table_place(t, d->machine, d->job->spec.id, d->index, attempt, now);
    fc_machine_used_image(d->machine, d->job->spec.image);
    c->counts.placed++; /* decisions left out of this round are none */
    g_debug("place task=%s/%u attempt=%" G_GUINT64_FORMAT " machine=%s", d->job->spec.id, d->index, (guint64)attempt,
            d->machine->id);
  }
  if (plan->len > 0) fc_views_soon(c);
  fc_image_search_free(search);
  g_array_free(plan, TRUE);
  send_stops(c, stops, push);
}

static void preempt(fc_controller *c, GPtrArray *push) {
  fc_allowance allow;
  fc_quota_allowance(c, &allow);
  GPtrArray *stops = fc_preempt_round(c->table, &allow, fc_now());
  fc_preempt_for_limit(c->table, stops, fc_now());
  send_stops(c, stops, push);
}

/* A task of ours, or a gang anywhere, that has found no place? */
static bool anything_waits(const fc_table *t) {
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, t->jobs);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    const fc_job *j = value;
    if (!fc_job_runnable(j)) continue;
    if (j->spec.kind == FC_KIND_GANG && j->placements->len == 0) return true;
    if (fc_job_owned(j, t->self) && fc_job_waits(j, t->self)) return true;
  }
  return false;
}

static void tick(fc_controller *c) {
  fc_table *t = c->table;
  c->counts.rounds++;
  fc_workers_expire(c);
  (void)fc_table_check_settled(t);
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, t->machines);
  GPtrArray *push = g_ptr_array_new();
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    fc_machine *m = value;
    if (m->owner != t->self) fc_workers_ask(c, m);
    if (m->owner != t->self || !m->version) continue;
    bool settled = m->settled_term == t->term.number;
    bool work = !settled || fc_workers_doubt(c, m);
    /* Before it is settled it is sent nothing but the question what it holds. Marked to
     * be stopped by then, a task was never told so, where the machine did not report. */
    if (settled) stop_unwanted(c, m, &work);
    drain(c, m, &work);
    if (work) g_ptr_array_add(push, m);
  }
  place(c, push);
  /* With a long queue the dear part of a round is to look for other places; it
   * need not follow every event. */
  double now = fc_now();
  bool due = now >= c->looked_at + c->settings->op.round_s * 0.25;
  if (due) c->waiting = anything_waits(t);
  if (due && c->waiting) {
    c->looked_at = now;
    preempt(c, push);
    if (fc_state_reachable(c)) fc_share_round(c);
  }
  g_hash_table_iter_init(&it, t->machines);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    fc_machine *m = value;
    if (m->owner == t->self && m->settled_term == t->term.number && owes_commands(c, m, now) &&
        !g_ptr_array_find(push, m, NULL))
      g_ptr_array_add(push, m);
  }
  for (guint i = 0; i < push->len; i++) fc_workers_push(c, push->pdata[i]);
  g_ptr_array_free(push, TRUE);
}

/* One line about everything, once a worker lease. */
static void log_status(fc_controller *c) {
  const fc_table *t = c->table;
  unsigned waiting = 0, unclear = 0, mine = 0, unsettled = 0, silent = 0;
  const char *unsettled_id = "-";
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, t->jobs);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    const fc_job *j = value;
    if (!fc_job_runnable(j) || !fc_job_owned(j, t->self)) continue;
    GArray *missing = fc_job_missing(j, t->self, 1);
    waiting += missing->len;
    unclear += !j->clear;
    g_array_free(missing, TRUE);
  }
  g_hash_table_iter_init(&it, t->machines);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    const fc_machine *m = value;
    mine += m->owner == t->self;
    silent += m->owner == t->self && fc_now() > m->heard_at + c->settings->report_s * 2;
    if (!m->version || m->settled_term == t->term.number) continue;
    unsettled++;
    unsettled_id = m->id;
  }
  g_info("status term=%" G_GUINT64_FORMAT " self=%d may_act=%d fresh_s=%.1f latched=%d quota_term=%" G_GUINT64_FORMAT
         " waiting=%u unclear=%u machines=%u silent=%u unsettled=%u e.g. %s routines=%zu",
         (guint64)t->term.number, t->self, fc_may_act(c), fc_now() - c->fresh_sent, t->settled_latch == t->term.number,
         (guint64)t->quota.term, waiting, unclear, mine, silent, unsettled, unsettled_id, fc_routine_count());
  const fc_counts *n = &c->counts;
  g_info("counts rounds=%" G_GUINT64_FORMAT " reads=%" G_GUINT64_FORMAT " reports=%" G_GUINT64_FORMAT
         " requests=%" G_GUINT64_FORMAT " exchanges=%" G_GUINT64_FORMAT " views=%" G_GUINT64_FORMAT
         " pushes=%" G_GUINT64_FORMAT " placed=%" G_GUINT64_FORMAT " preempted=%" G_GUINT64_FORMAT
         " handed_over=%" G_GUINT64_FORMAT " lent=%" G_GUINT64_FORMAT,
         (guint64)n->rounds, (guint64)n->reads, (guint64)n->reports, (guint64)n->requests, (guint64)n->exchanges,
         (guint64)n->views, (guint64)n->pushes, (guint64)n->placed, (guint64)n->preempted, (guint64)n->handed_over,
         (guint64)n->lent);
  fc_commit_counts w = fc_commit_count(c->commit);
  g_info("writes transactions=%" G_GUINT64_FORMAT " job=%" G_GUINT64_FORMAT " machine=%" G_GUINT64_FORMAT
         " hire=%" G_GUINT64_FORMAT " quota=%" G_GUINT64_FORMAT " other=%" G_GUINT64_FORMAT " waited_s=%.1f",
         (guint64)w.transactions, (guint64)w.writes[FC_KIND_JOBS], (guint64)w.writes[FC_KIND_MACHINES],
         (guint64)w.writes[FC_KIND_RENTALS], (guint64)w.writes[FC_KIND_SHARES], (guint64)w.writes[FC_KIND_OTHERS],
         w.waited_s);
  fc_metrics_log_usage(&c->metrics);
}

void fc_round_soon(fc_controller *c) {
  c->round_events++;
  fc_cond_broadcast(&c->round_now);
}

void fc_round_main(void *arg) {
  fc_controller *c = arg;
  fc_metrics_duty(&c->metrics, FC_DUTY_ROUNDS);
  double logged_at = fc_now();
  /* Between rounds that events ask for, so that a burst is placed together. */
  double least = c->settings->op.round_s * 0.05;
  while (!fc_routine_cancelled()) {
    double began = fc_now();
    uint64_t events = c->round_events;
    if (fc_may_act(c)) tick(c);
    double took = fc_now() - began;
    fc_metrics_time(&c->metrics, FC_TIME_ROUND, took);
    if (fc_now() > logged_at + c->settings->lease_s) {
      log_status(c);
      logged_at = fc_now();
    }
    /* Rounds leave most of the processor to reports, which come before decisions. */
    (void)fc_routine_sleep(MAX(least, took * 4));
    if (events == c->round_events) (void)fc_cond_wait(&c->round_now, began + c->settings->op.round_s);
  }
}
