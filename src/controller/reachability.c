/* Which members reach a machine, and when its worker's lease has certainly expired. Any
 * member may answer a worker's report; the owner learns of it from acknowledgements. */
#include <math.h>
#include <string.h>

#include "controller/controller.h"

/* Has the incarnation of another member ended so lately that a worker it answered last may
 * not have come to others yet? Their leases are over well before that. */
bool fc_workers_may_be_kept(const fc_controller *c, double now) {
  return c->ended_at > 0 && now < c->ended_at + c->settings->lease_s * 2;
}

void fc_workers_kept(fc_controller *c, const fc_frame_kept *k, double now) {
  fc_machine *m = fc_table_machine(c->table, k->machine);
  if (!m) return;
  double at = now - k->age_ms / 1000.0;
  /* One that counts from below what has come to us is a late copy, or the machine was
   * started anew and is kept alive in its new life. The copy may cost a lease of
   * waiting; taking the new life for a copy started its tasks twice, for a direct
   * start that was held back reached it (fault test, seed 158). */
  bool old = k->session < m->session || (k->session == m->session && k->seq < m->seq);
  m->kept_at = MAX(m->kept_at, at);
  /* Peers repeat what they answered for two leases. What a machine has told us directly
   * since then settles it: asked again at every acknowledgement, machines that had come
   * back from another member cost more than all reports. */
  double latest = at + k->age_ms / 1000.0 * 2 * FC_DRIFT;
  if (old && m->owner == c->table->self && latest >= m->proved_at) m->probe = true;
  if (old) return;
  if (k->hears) m->kept_hears_at = MAX(m->kept_hears_at, at);
  if (!k->hears && at > m->kept_hears_at && m->kept_deaf_at <= m->kept_hears_at) m->kept_deaf_at = at;
}

void fc_workers_asked(fc_controller *c, size_t peer, const fc_frame_asked *a, double sent, double now) {
  fc_machine *m = fc_table_machine(c->table, a->machine);
  if (!m) return;
  /* The age was taken between `sent` and now. In doubt the machine counts as reached: the
   * latest time for an answer, the earliest for none. */
  if (a->answered) m->reached_at = MAX(m->reached_at, now - a->age_ms / 1000.0);
  if (!a->answered) m->unanswered_at[peer] = MAX(m->unanswered_at[peer], sent - a->age_ms / 1000.0);
}

bool fc_workers_unreachable(const fc_controller *c, const fc_machine *m) {
  /* A question of long ago shows nothing of now. */
  double from = MAX(c->ended_at, fc_now() - fc_machine_quiet_s(c->settings));
  if (m->asked_answered || m->asked_at <= from || m->reached_at > c->ended_at) return false;
  for (int i = 0; i < (int)c->table->term.count; i++) {
    if (i == c->table->self) continue;
    int k = c->peer_of[i];
    if (k < 0 || m->unanswered_at[k] <= from) return false;
  }
  return true;
}

typedef struct question {
  fc_controller *c;
  char id[64]; /* of the machine */
} question;

static void ask_main(void *arg) {
  question a = *(question *)arg;
  g_free(arg);
  fc_controller *c = a.c;
  const fc_machine *known = fc_table_machine(c->table, a.id);
  fc_endpoint at;
  if (known && fc_endpoint_parse(known->rec.endpoint, &at)) {
    double asked = fc_now();
    fc_worker_report r;
    fc_order_result result =
        fc_worker_order(&at, c->table->term.number, known->session, NULL, 0, asked + c->settings->report_s * 0.75, &r);
    bool answered = fc_order_answered(result);
    fc_machine *m = fc_table_machine(c->table, a.id);
    if (m) {
      /* Another may have taken its address since; then that one has answered. */
      m->asked_answered = answered && strcmp(r.machine, m->id) == 0;
      m->asked_at = asked;
    }
    if (answered) fc_worker_report_clear(&r);
  }
  fc_machine *m = fc_table_machine(c->table, a.id);
  if (m) m->asking = false;
  c->pushing--;
}

void fc_workers_ask(fc_controller *c, fc_machine *m) {
  const fc_table *t = c->table;
  const fc_settings *s = c->settings;
  double now = fc_now();
  if (m->asking || m->owner < 0 || !m->announced || !m->rec.endpoint[0] || !fc_workers_may_be_kept(c, now)) return;
  /* Its owner is out of touch with it, or should have settled it by now. */
  bool doubtful = m->settled_term == t->term.number ? m->remote_mute : now > c->term_since + s->report_s * 1.5;
  if (!doubtful || now < m->asked_at + s->report_s || !fc_may_act(c)) return;
  /* Our own machines come first: of the sockets for calls these take a quarter at most. */
  if (c->pushing >= MAX(s->fd_limit / 32, 1)) return;
  question *a = g_new0(question, 1);
  a->c = c;
  g_strlcpy(a->id, m->id, sizeof a->id);
  m->asking = true;
  c->pushing++;
  if (!fc_routine_spawn(ask_main, a)) {
    m->asking = false;
    c->pushing--;
    g_free(a);
  }
}

/* When the worker has certainly given up its tasks, if nobody we have not heard of has
 * answered it. Any member may answer its reports, so each has to have told us until when
 * it did not; what dead lives answered, they did before we learned of the term. */
static double lease_over_at(const fc_controller *c, const fc_machine *m) {
  double last = MAX(MAX(m->answered_at, m->kept_at), MAX(m->owned_since, c->term_since));
  /* A new session has its full time from its own beginning, though nobody has
   * answered it yet: what was started on it by direct commands alone was once
   * taken for gone, and started elsewhere (fault test, seed 43). */
  last = MAX(last, m->session_from);
  return last + c->settings->lease_s * (1 + 2 * FC_DRIFT) + c->settings->report_s * 0.25;
}

/* Has everybody who might have answered its worker told us until then that it didn't? */
static bool others_covered(fc_controller *c, double over) {
  for (int i = 0; i < (int)c->table->term.count; i++) {
    if (i == c->table->self) continue;
    const fc_peer *peer = fc_peer_of(c, i);
    if (!peer || peer->covered_at < over) return false;
  }
  /* One that was no member may have entered since we last read of it, and keep the
   * worker alive: alone in a term, and cut off from the state service, we started its
   * tasks again (fault test, seed 353). */
  return c->table->term.count >= c->settings->peer_count + 1 || c->fresh_sent >= over;
}

/* The worker has given up its tasks and is in a later session, or will be when it goes
 * on. A report of the one before may still come, newer than any we have heard: tasks
 * that had been started elsewhere were once said to run here as well (scene
 * reports_of_a_lease_that_is_over). */
static void end_session(fc_machine *m) {
  if (!m->reported) return; /* it may have been in any */
  m->session++;
  m->seq = 0;
}

void fc_workers_expire(fc_controller *c) {
  fc_table *t = c->table;
  double now = fc_now();
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, t->machines);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    fc_machine *m = value;
    if (m->owner != t->self || !m->version) continue;
    double over = lease_over_at(c, m);
    if (now < over || !others_covered(c, over)) continue;
    if (m->placements->len > 0 || m->settled_term != t->term.number) {
      if (m->announced) g_info("lease over machine=%s tasks=%u", m->id, m->placements->len);
      fc_machine_clear(t, m);
      end_session(m);
      m->settled_term = t->term.number;
      if (fc_table_check_settled(t)) fc_round_soon(c);
    }
  }
}
