/* Workers: their reports, the commands they are owed, fencing and adoption. */
#include <math.h>
#include <string.h>

#include "bookkeeping/pipeline.h"
#include "controller/controller.h"
#include "coordination/deal.h"
#include "scheduler/place.h"

#define FAILS_BY_JOB 3u     /* machines that one job may fail on before it is to blame */
#define FAILS_BY_MACHINE 2u /* jobs that fail on a machine before it is */

/* Whose fault is it? A machine that fails tasks of several jobs is faulty; a job
 * that fails on several machines is at fault itself and condemns no more. */
static void note_failure(fc_controller *c, fc_job *j, fc_machine *m) {
  if (!j) return;
  if (!j->failed_on) j->failed_on = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  bool first_here = g_hash_table_add(j->failed_on, g_strdup(m->id));
  /* Where it failed everywhere it may try everywhere again, ever more slowly. */
  j->failures++;
  j->blocked_until = fc_now() + c->settings->report_s * (double)(1u << MIN(j->failures, 6u)) * 0.25;
  if (g_hash_table_size(j->failed_on) > FAILS_BY_JOB) {
    g_hash_table_remove_all(j->failed_on);
    return;
  }
  if (first_here && ++m->errors >= FAILS_BY_MACHINE && !m->faulty) {
    m->faulty = m->closed = true;
    g_info("faulty machine=%s", m->id);
  }
}

static void note_exit(fc_controller *c, fc_placement *p) {
  fc_job *j = p->job;
  fc_machine *m = p->machine;
  if (p->cause == FC_CAUSE_ERROR) {
    note_failure(c, j, m);
  } else if (p->cause == FC_CAUSE_DONE) {
    if (m->errors > 0) m->errors--;
    if (j) j->failures = 0;
  }
  g_debug("exit task=%s/%u attempt=%" G_GUINT64_FORMAT " machine=%s cause=%d", p->job_id, p->index, (guint64)p->attempt,
          m->id, p->cause);
  fc_round_soon(c);
}

/* A finished task's end has to be in the state service before it is cleared. */
static void update_recorded(fc_controller *c, fc_placement *p) {
  if (p->state != FC_TASK_EXITED || p->recorded) return;
  const fc_job *j = p->job;
  bool done = p->cause == FC_CAUSE_DONE;
  if (done && j && j->phase == FC_PHASE_ACCEPTED && !fc_job_task_done(j, p->index)) {
    fc_workers_record(c, p->job_id);
    return;
  }
  /* With no such job any more it was over long ago, if all has been read since. */
  if (done && !j && p->since + c->settings->report_s >= c->fresh_sent) return;
  p->recorded = true;
}

static void update_placement(fc_controller *c, fc_placement *p, const fc_task_report *r, double now) {
  bool exited = p->state != FC_TASK_EXITED && r->state == FC_TASK_EXITED;
  p->reported = p->sent = true;
  if (r->state == FC_TASK_RUNNING && !p->running_since) {
    p->running_since = now;
    fc_metrics_time(&c->metrics, FC_TIME_START, now - p->since);
    g_debug("running task=%s/%u machine=%s", p->job_id, p->index, p->machine->id);
  }
  if (r->state == FC_TASK_RUNNING && p->job) fc_machine_used_image(p->machine, p->job->spec.image);
  if (p->state != r->state || p->cause != r->cause) fc_views_soon(c);
  p->state = r->state;
  p->cause = r->cause;
  if (exited) note_exit(c, p);
  update_recorded(c, p);
}

/* What a message from the worker says of the machine itself. */
static void adopt_state(fc_machine *m, const fc_worker_report *r, bool new_session, double now) {
  /* Commands with a token below the worker's, or to an earlier session, are refused: a lost
   * start can't arrive any more once the worker has shown a higher token than it carried. That
   * of the machine's last report is not the measure: a controller that keeps a machine through
   * a change of term sends its first start before the worker has shown the new token, and the
   * next report, which does, was taken for proof; the copy came after the task had been
   * cleared, and ran (fault test, seed 1106). */
  for (guint i = 0; i < m->placements->len; i++) {
    fc_placement *p = m->placements->pdata[i];
    if (new_session || r->token > p->stray_token) p->stray = FC_STRAY_NONE;
  }
  if (!m->reported || r->session != m->session || !m->seq) m->session_from = now;
  m->session = r->session;
  m->seq = r->seq;
  m->seen_token = r->token;
  m->reported = true;
  m->heard_at = now;
  if (r->notice_s >= 0 && !m->notice_until) m->notice_until = now + r->notice_s;
  if (r->endpoint[0]) g_strlcpy(m->rec.endpoint, r->endpoint, sizeof m->rec.endpoint);
}

/* How a worker's list was come by. */
typedef struct list_origin {
  double asked_at;  /* by a direct call that was sent then; 0: by a report */
  bool settles;     /* it is the first that is fenced in this term */
  bool new_session; /* the worker has given up everything since the last */
} list_origin;

/* Is a task that the list does not name certainly gone from the machine? */
static bool is_gone(fc_placement *p, const fc_worker_report *r, const list_origin *from) {
  if (from->settles) return true; /* fenced: what it does not list can't start any more */
  if (!p->sent) return false;     /* only planned so far */
  if (from->new_session || p->reported) return true;
  /* Sent, never seen, and no direct copy of the start is still on its way. The report after
   * the answer that carried it decides; so does the answer to a question that was sent when
   * the worker would have dropped that answer. A machine started anew is believed by its
   * direct answers alone: such a start was never decided there, used its team's limit, and a
   * gang waited behind it for ever (fault test with meetings, seed 241). A start that was not
   * carried out is sent again, or dropped when it is not wanted any more. */
  if (p->stray) return false;
  if (from->asked_at <= 0 && r->seq <= p->sent_seq) return false;
  if (from->asked_at > 0 && p->sent_seq && from->asked_at < p->sent_at + FC_WORKER_PATIENCE_S * (1 + 2 * FC_DRIFT))
    return false;
  if (!p->stopping) p->sent = false;
  return p->stopping;
}

/* The worker's list replaces what we thought is on the machine. */
static void adopt_tasks(fc_controller *c, fc_machine *m, const fc_worker_report *r, const list_origin *from,
                        double now) {
  fc_table *t = c->table;
  for (guint i = 0; i < m->placements->len; i++) ((fc_placement *)m->placements->pdata[i])->listed = false;
  for (size_t i = 0; i < r->task_count; i++) {
    const fc_task_report *tr = &r->tasks[i];
    fc_placement *p = fc_machine_find(m, tr->job, tr->index, tr->attempt);
    if (!p) p = fc_table_place(t, m, tr->job, tr->index, tr->attempt, now);
    update_placement(c, p, tr, now);
    p->listed = true;
  }
  for (guint i = m->placements->len; i-- > 0;) {
    fc_placement *p = m->placements->pdata[i];
    if (p->listed || !is_gone(p, r, from)) continue;
    fc_table_unplace(t, p);
    fc_round_soon(c);
    fc_views_soon(c);
  }
}

/* From here on nothing can start on the machine but what we send in this term. */
static void settle(fc_controller *c, fc_machine *m) {
  fc_table *t = c->table;
  m->settled_term = t->term.number;
  /* No view so far has shown the machine as settled, and only that is taken: a slice
   * was handed over to one who had acknowledged a view without it, and started there
   * again (fault test, seed 285). */
  for (guint i = 0; i < m->placements->len; i++) ((fc_placement *)m->placements->pdata[i])->told = t->view + 1;
  fc_views_soon(c);
  g_debug("settled machine=%s term=%" G_GUINT64_FORMAT " tasks=%u", m->id, (guint64)t->term.number, m->placements->len);
  (void)fc_table_check_settled(t);
  fc_round_soon(c);
}

/* Takes the worker's list for what is on the machine. `asked_at`: it answers a direct call
 * that was sent then; 0: it came as a report. */
static void adopt(fc_controller *c, fc_machine *m, const fc_worker_report *r, double asked_at) {
  const fc_table *t = c->table;
  double now = fc_now();
  const list_origin from = {
      .asked_at = asked_at,
      .settles = m->settled_term != t->term.number && r->token == t->term.number,
      .new_session = m->reported && r->session > m->session,
  };
  adopt_state(m, r, from.new_session, now);
  if (asked_at > 0 || from.settles) m->deaf_since = 0;            /* it answers us, or has this term's token */
  if (from.settles) m->reborn = false;                            /* its earlier incarnation never had this token */
  if (m->settled_term != t->term.number && !from.settles) return; /* not fenced: proves nothing yet */
  adopt_tasks(c, m, r, &from, now);
  if (from.settles) settle(c, m);
  if (!fc_machine_vacant(m)) {
    m->idle_since = 0;
  } else if (!m->idle_since) {
    m->idle_since = now;
  }
}

/* The order holds over owners and terms: a copy of a report may come minutes
 * late, also to a member that has just taken the machine over. */
static bool is_newer(const fc_machine *m, const fc_worker_report *r) {
  if (r->token < m->seen_token) return false; /* a worker's tokens only rise */
  return r->session > m->session || (r->session == m->session && r->seq > m->seq);
}

bool fc_workers_unwanted(const fc_controller *c, const fc_placement *p) {
  const fc_job *j = p->job;
  if (j) return !fc_job_runnable(j) || fc_job_task_done(j, p->index);
  return p->since + c->settings->report_s < c->fresh_sent || fc_table_is_cancelled(c->table, p->job_id);
}

/* Decides whether an exited task is to be forgotten by the worker, and fills in the command. */
static bool forget_command(fc_controller *c, fc_placement *p, fc_command *cmd) {
  update_recorded(c, p);
  /* After a forget command, a late copy of the start would run it again. */
  if (!p->recorded || p->stray) return false;
  cmd->op = FC_COMMAND_FORGET;
  return true;
}

/* Fills in the stop command of a task that is stopping. One whose start was never sent
 * needs none: its placement is removed from the table. */
static bool stop_command(fc_controller *c, fc_placement *p, fc_command *cmd) {
  if (!p->sent) {
    fc_table_unplace(c->table, p);
    return false;
  }
  /* Sent but not seen: the worker ignores a stop of what it has not got. */
  cmd->op = FC_COMMAND_STOP;
  /* What is being saved when its job is cancelled is ended at once by a second halt. */
  cmd->grace_s = fc_workers_unwanted(c, p) ? 0 : p->grace_s;
  return true;
}

/* Fills in the start command of a task that no report has named yet, and marks it as sent:
 * directly under `token`, or with the answer to report `seq`. */
static bool start_command(fc_placement *p, uint64_t token, bool direct, uint64_t seq, fc_command *cmd) {
  /* One direct copy is enough to keep track of; the rest goes with reports. */
  if (direct && p->stray != FC_STRAY_NONE) return false;
  cmd->op = FC_COMMAND_START;
  p->sent = true;
  if (direct) {
    p->stray = FC_STRAY_FLYING;
    p->stray_token = token;
  } else {
    p->sent_seq = seq;
    p->sent_at = fc_now();
  }
  return true;
}

/* Fills in the command that a placement is owed; false if there is none. The placement may
 * be removed from the table meanwhile. */
static bool command_for(fc_controller *c, fc_placement *p, bool direct, uint64_t seq, fc_command *cmd) {
  *cmd = (fc_command){.job = p->job_id, .index = p->index, .attempt = p->attempt};
  /* Judged here, right before it is sent: the round may be a while back, and its job
   * cancelled since. */
  if (p->state != FC_TASK_EXITED && !p->reported && !p->stopping && fc_workers_unwanted(c, p)) {
    p->stopping = true;
    p->grace_s = 0;
  }
  if (p->state == FC_TASK_EXITED) return forget_command(c, p, cmd);
  if (p->stopping) return stop_command(c, p, cmd);
  return !p->reported && start_command(p, c->table->term.number, direct, seq, cmd);
}

/* Lists the commands owed to a settled machine, for a direct call or for the answer to
 * report `seq`. Starts are marked as sent. */
static GArray *commands_for(fc_controller *c, fc_machine *m, bool direct, uint64_t seq) {
  GArray *out = g_array_new(FALSE, TRUE, sizeof(fc_command));
  for (guint i = m->placements->len; i-- > 0;) {
    fc_command cmd;
    if (command_for(c, m->placements->pdata[i], direct, seq, &cmd)) g_array_append_val(out, cmd);
  }
  return out;
}

/* A worker without an answer for FC_WORKER_PATIENCE_S reports to the next member, and
 * no request comes on a connection before the last answer was read there. So one that
 * is here again sooner than that, or on the same connection, has heard our last
 * answer; that its reports arrive shows nothing (a machine may be deaf). Where reports
 * are further apart than that patience, time alone never shows it, and every machine was
 * asked directly between any two of its reports. */
static void note_hearing(const fc_controller *c, fc_machine *m, uint64_t connection) {
  double now = fc_now(), gap = now - m->answered_at;
  bool soon = gap < FC_WORKER_PATIENCE_S, same = connection && connection == m->answered_on;
  if (m->answered_at && (soon || same) && gap < c->settings->report_s * 2) {
    m->deaf_since = 0;
  } else if (!m->deaf_since) {
    m->deaf_since = now;
  }
}

/* Asks a machine directly whether it hears: one whose reports come without a
 * sign that it has heard us, one that others keep, or one that may have been started anew. */
bool fc_workers_doubt(const fc_controller *c, fc_machine *m) {
  if (!m->reported || m->settled_term != c->table->term.number) return false;
  double now = fc_now();
  if (m->deaf_since && now > m->deaf_since + c->settings->lease_s * 0.2) m->probe = true;
  /* Another keeps it and sends it to us once we are in touch with it again. */
  if (m->kept_hears_at > now - c->settings->report_s * 2 && fc_machine_mute(c->table, m, now)) m->probe = true;
  /* A member that has ended may have kept it: is it there? */
  if (fc_workers_may_be_kept(c, now) && fc_machine_mute(c->table, m, now)) m->probe = true;
  return m->probe;
}

/* A machine nobody has recorded yet goes to the member with the fewest of its
 * type and zone; nothing is started on it before that is in the state service. */
const char *fc_even_owner(const fc_table *t, const char *id, const char *type, const char *zone, bool spot,
                          unsigned *count) {
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, t->machines);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    const fc_machine *m = value;
    if (m->owner < 0 || strcmp(m->rec.type, type) != 0) continue;
    /* Even for each kind first, over all kinds next. */
    count[m->owner] += strcmp(m->rec.zone, zone) == 0 && m->rec.spot == spot ? 1000 : 1;
  }
  int best = fc_deal_key(&t->term, id);
  for (size_t i = 0; i < t->term.count; i++)
    if (count[i] < count[best]) best = (int)i;
  count[best] += 1000;
  return t->term.members[best].name;
}

typedef struct announce_arg {
  fc_controller *c;
  char id[64];
} announce_arg;

/* Adds the machine's address to its record. Only then is anything started on
 * it: a taker-over can reach every machine that may hold something, and knows
 * that the others hold nothing. */
static void announce_main(void *arg) {
  announce_arg a = *(announce_arg *)arg;
  g_free(arg);
  fc_controller *c = a.c;
  fc_machine *m = fc_table_machine(c->table, a.id);
  if (!m) return;
  fc_write *w = fc_write_machine(a.id, m->version, c->table->term_version, &m->rec);
  uint64_t revision = 0;
  if (fc_commit_write(c->commit, w, FC_RANK_REPORT, fc_now() + c->settings->report_s, &revision) == FC_STATE_OK)
    (void)fc_wait_revision(c, revision, fc_now() + c->settings->report_s);
  m = fc_table_machine(c->table, a.id);
  if (m) m->announcing = false;
  fc_round_soon(c);
}

static void announce(fc_controller *c, fc_machine *m) {
  if (m->announced || m->announcing || m->writing || !m->rec.endpoint[0]) return;
  announce_arg *a = g_new0(announce_arg, 1);
  a->c = c;
  g_strlcpy(a->id, m->id, sizeof a->id);
  m->announcing = true;
  if (!fc_routine_spawn(announce_main, a)) {
    m->announcing = false;
    g_free(a);
  }
}

/* Is there really such a machine? A report without a record may be a late rental,
 * or a late copy from a machine that was returned: only the machine itself can
 * tell. Without this a returned machine came back into the table. */
static bool is_there(fc_controller *c, const fc_worker_report *r) {
  fc_endpoint at;
  fc_worker_report now;
  if (!fc_endpoint_parse(r->endpoint, &at)) return false;
  fc_order_result res =
      fc_worker_order(&at, c->table->term.number, r->session, NULL, 0, fc_now() + c->settings->report_s * 0.5, &now);
  if (!fc_order_answered(res)) return false;
  bool same = strcmp(now.machine, r->machine) == 0;
  fc_worker_report_clear(&now);
  return same;
}

static bool known_place(const fc_controller *c, const fc_worker_report *r) {
  int type = fc_table_type(c->table, r->type);
  if (type < 0) return false;
  const fc_machine_type *mt = c->table->types->pdata[type];
  return g_strv_contains((const gchar *const *)mt->zones, r->zone);
}

static bool record_machine(fc_controller *c, const fc_worker_report *r) {
  fc_table *t = c->table;
  /* Of a type or zone that nobody knows: never used; the sweep returns it. */
  if (!known_place(c, r) || !is_there(c, r) || !fc_may_act(c)) return false;
  fc_machine *m = fc_table_machine_add(t, r->machine, fc_now());
  if (m->writing) return false;
  m->writing = true;
  fc_machine_record rec = {.spot = r->spot};
  g_strlcpy(rec.endpoint, r->endpoint, sizeof rec.endpoint);
  g_strlcpy(rec.type, r->type, sizeof rec.type);
  g_strlcpy(rec.zone, r->zone, sizeof rec.zone);
  /* Those on their way count too: a fleet that reports at once, all for the first time,
   * went by hundreds to whoever had the fewest a moment ago. */
  unsigned count[FC_MEMBERS_MAX];
  for (size_t i = 0; i < FC_MEMBERS_MAX; i++) count[i] = c->giving[i] * 1000;
  g_strlcpy(rec.owner, fc_even_owner(t, r->machine, r->type, r->zone, r->spot, count), sizeof rec.owner);
  int to = fc_term_find(&t->term, rec.owner);
  if (to >= 0) c->giving[to]++;
  fc_write *w = fc_write_machine(r->machine, 0, t->term_version, &rec);
  /* Carried out late, it must not bring back the record of a machine that has been
   * recorded, used and returned since. */
  fc_write_if(w, FC_KEY_RETURNED, t->returned_version);
  uint64_t revision = 0;
  fc_state_result res = fc_commit_write(c->commit, w, FC_RANK_REPORT, fc_now() + 2.0, &revision);
  if (to >= 0) c->giving[to]--;
  /* The table may have changed meanwhile: look the machine up again. */
  m = fc_table_machine(t, r->machine);
  if (m) m->writing = false;
  if (res == FC_STATE_OK) return fc_wait_revision(c, revision, fc_now() + 1.5);
  (void)fc_wait_fresh(c, fc_now() + 1.0);
  m = fc_table_machine(t, r->machine);
  return m && m->version;
}

static void refuse(int *status, GString *out) {
  *status = 503;
  g_string_truncate(out, 0);
  fc_error_answer(out, "not entitled now");
}

/* Should the worker be sent to its owner? Not when we do not hear of the owner,
 * and not when the worker has just come back from there in vain. */
static bool owner_reachable(fc_controller *c, const fc_machine *m, const fc_worker_report *r) {
  double now = fc_now();
  const fc_peer *owner = fc_peer_of(c, m->owner);
  if (!owner || now > owner->heard_at + c->settings->report_s * 1.5) return false;
  if (r->task_count > 0) {
    /* An owner that has not settled it yet, or not heard of it lately, asks it directly all
     * the time, and shows it when it gets through. Until then another try there only takes
     * from its lease, and from the time after which its owner takes it for lost; with a
     * third member gone it took more than there was (scene out_of_reach). Where the owner
     * never gets through though reports do, it is sent there in the end. */
    bool settled = m->settled_term == c->table->term.number;
    if (!settled && now < c->term_since + c->settings->lease_s * 0.6) return false;
    if (m->remote_mute && now < m->remote_mute_at + c->settings->lease_s * 3) return false;
    if ((!settled || m->remote_mute) && now > m->answered_at + c->settings->report_s * 2) return false;
  }
  return now > m->redirected_at + c->settings->lease_s * 0.6;
}

/* Any member with authority may keep a worker's lease alive and stop what must not
 * run; starting and clearing are the owner's alone. */
static void keep(fc_controller *c, fc_machine *m, const fc_worker_report *r, uint64_t connection, GString *out) {
  note_hearing(c, m, connection);
  m->session = r->session;
  m->seq = r->seq;
  GArray *commands = g_array_new(FALSE, TRUE, sizeof(fc_command));
  for (size_t i = 0; i < r->task_count; i++) {
    const fc_task_report *tr = &r->tasks[i];
    if (tr->state == FC_TASK_EXITED || !fc_table_is_cancelled(c->table, tr->job)) continue;
    fc_command cmd = {.op = FC_COMMAND_STOP, .job = tr->job, .index = tr->index, .attempt = tr->attempt};
    g_array_append_val(commands, cmd);
  }
  m->answered_at = fc_now();
  m->answered_on = connection;
  g_debug("keep machine=%s owner=%d", m->id, m->owner);
  fc_worker_answer(out, c->table->term.number, (const fc_command *)commands->data, commands->len);
  g_array_free(commands, TRUE);
}

/* Does the report name the machine that the record describes? */
static bool agrees(fc_machine *m, const fc_worker_report *r) {
  if (strcmp(m->rec.type, r->type) == 0 && strcmp(m->rec.zone, r->zone) == 0 && m->rec.spot == r->spot) return true;
  if (!m->odd) g_warning("report contradicts the record machine=%s type=%s zone=%s", m->id, r->type, r->zone);
  m->odd = true;
  return false;
}

/* Finds the machine that a report is from, recording it first if nobody has. NULL if this
 * member may not answer for it now. */
static fc_machine *machine_of_report(fc_controller *c, const fc_worker_report *r) {
  fc_table *t = c->table;
  if (!fc_may_act(c)) return NULL;
  fc_machine *m = fc_table_machine(t, r->machine);
  if ((!m || !m->version) && (!record_machine(c, r) || !fc_may_act(c))) return NULL;
  m = fc_table_machine(t, r->machine);
  /* A fencing token above ours: somebody is entitled that we have not heard of. A 200
   * would be dropped and hold the worker here while its lease runs out. */
  if (!m || !m->version || r->token > t->term.number) return NULL;
  if (m->writing) return NULL; /* it may belong to another already */
  return agrees(m, r) ? m : NULL;
}

/* Answers the report of another member's machine: the worker is sent to its owner, or its
 * lease is kept alive here. False if the report is to be refused. */
static bool answer_for_owner(fc_controller *c, fc_machine *m, const fc_worker_report *r, uint64_t connection,
                             int *status, GString *out) {
  if (owner_reachable(c, m, r)) {
    /* It may show on its way that it has heard us; that it doesn't would show nothing. */
    if (is_newer(m, r) && fc_now() < m->answered_at + FC_WORKER_PATIENCE_S) note_hearing(c, m, connection);
    m->redirected_at = fc_now();
    *status = 421;
    fc_worker_redirect(out, c->table->term.members[m->owner].name);
    return true;
  }
  if (!is_newer(m, r)) return false; /* a copy: no sign of life, and nobody waits for the answer */
  keep(c, m, r, connection, out);
  *status = 200;
  return true;
}

/* Asks the worker directly what its machine holds. */
static void probe(fc_controller *c, fc_machine *m) {
  m->probe = true;
  fc_workers_push(c, m);
}

/* Takes in the report of a machine of ours. False if the report is to be refused. */
static bool take_report(fc_controller *c, fc_machine *m, const fc_worker_report *r, uint64_t connection) {
  if (m->reborn && m->settled_term == c->table->term.number) {
    /* A late report of its earlier incarnation would look newer than its own: only its
     * answers to direct commands tell what it holds (fault test, seed 38). */
    note_hearing(c, m, connection);
    m->answered_at = fc_now();
    probe(c, m);
    return true;
  }
  if (is_newer(m, r)) {
    note_hearing(c, m, connection);
    adopt(c, m, r, 0);
    m->answered_at = fc_now();
    return true;
  }
  /* A direct command's answer has overtaken it, or it is a late copy, or the
   * machine was started anew and counts from the beginning: ask it. */
  probe(c, m);
  if (r->session != m->session) return false; /* from an incarnation that is over */
  /* Answered without commands: a copy's answer reaches nobody, and a start
   * would count as sent. The lease runs from when the report was sent, which
   * is before what we heard last: a copy does not push its end back. */
  m->answered_at = MAX(m->answered_at, m->heard_at);
  return true;
}

/* Answers the report of a machine of ours, with the commands it is owed once it is settled.
 * False if the report is to be refused. */
static bool answer_as_owner(fc_controller *c, fc_machine *m, const fc_worker_report *r, uint64_t connection,
                            int *status, GString *out) {
  const fc_table *t = c->table;
  bool commands_too = is_newer(m, r) || m->reborn; /* as it was before the report is taken in */
  if (!take_report(c, m, r, connection)) return false;
  announce(c, m);
  m->answered_on = connection;
  *status = 200;
  if (!commands_too || m->settled_term != t->term.number) {
    fc_worker_answer(out, t->term.number, NULL, 0);
    return true;
  }
  GArray *commands = commands_for(c, m, false, r->seq);
  fc_worker_answer(out, t->term.number, (const fc_command *)commands->data, commands->len);
  g_array_free(commands, TRUE);
  return true;
}

/* Answers a well-formed report; false if it is to be refused. */
static bool answer_report(fc_controller *c, const fc_worker_report *r, uint64_t connection, int *status, GString *out) {
  fc_machine *m = machine_of_report(c, r);
  if (!m) return false;
  if (m->owner != c->table->self) return answer_for_owner(c, m, r, connection, status, out);
  return answer_as_owner(c, m, r, connection, status, out);
}

void fc_workers_report(fc_controller *c, const fc_http_request *req, int *status, GString *out) {
  fc_worker_report r;
  char error[200];
  if (!fc_worker_report_parse(req->body, req->body_len, &r, error, sizeof error)) {
    *status = 400;
    fc_error_answer(out, "malformed report");
    g_info("malformed report: %s", error);
    return;
  }
  c->counts.reports++;
  if (!answer_report(c, &r, req->connection, status, out)) refuse(status, out);
  fc_worker_report_clear(&r);
}

typedef struct push_arg {
  fc_controller *c;
  char id[64];
} push_arg;

/* What became of the starts that this push carried. */
static void decide_strays(fc_machine *m, fc_order_result result) {
  for (guint i = 0; i < m->placements->len; i++) {
    fc_placement *p = m->placements->pdata[i];
    if (p->stray != FC_STRAY_FLYING) continue;
    /* Without an answer the start may still arrive, minutes late. */
    p->stray = result == FC_ORDER_UNKNOWN ? FC_STRAY_LOST : FC_STRAY_NONE;
    if (result != FC_ORDER_DONE && result != FC_ORDER_UNKNOWN && !p->reported) p->sent = p->sent_seq != 0;
  }
}

/* What the machine's earlier incarnation held is gone; only a direct start that may
 * still arrive, and would be carried out, stays. */
static void forget_incarnation(fc_machine *m, const fc_worker_report *r) {
  for (guint i = 0; i < m->placements->len; i++) {
    fc_placement *p = m->placements->pdata[i];
    if (p->sent) p->reported = p->stray == FC_STRAY_NONE; /* reported, and now not listed: gone */
  }
  m->session = r->session;
  m->seq = r->seq - 1;
  m->seen_token = r->token;
  m->reborn = true;
  m->session_from = fc_now();
}

/* What a direct call was made for. */
typedef struct direct_call {
  uint64_t term;         /* its fencing token */
  bool fencing, probing; /* the machine was not settled in the term; it was to be asked */
  double asked_at;
} direct_call;

/* Notes how a direct call to the machine ended. */
static void note_call_end(fc_machine *m, const direct_call *call, fc_order_result result) {
  decide_strays(m, result);
  if (!call->fencing && !call->probing) return;
  m->asked_at = call->asked_at;
  m->asked_answered = fc_order_answered(result);
}

void fc_workers_called(fc_controller *c, fc_machine *m, const fc_worker_report *r, double asked_at) {
  /* Every word of a worker is newer than what we had heard when we asked; if
   * not, it was started anew and counts from the beginning. */
  if (!is_newer(m, r) && asked_at > m->heard_at) {
    if (!m->reborn) g_info("started anew machine=%s tasks=%u", m->id, m->placements->len);
    forget_incarnation(m, r);
  }
  if (!is_newer(m, r)) return;
  adopt(c, m, r, asked_at);
  m->proved_at = asked_at;
}

/* Takes in the report with which a worker answered a direct call. True if the machine is to
 * be fenced with what it has told. */
static bool take_call_answer(fc_controller *c, fc_machine *m, const direct_call *call, fc_order_result result,
                             const fc_worker_report *r) {
  const fc_table *t = c->table;
  if (t->term.number != call->term || m->owner != t->self || strcmp(r->machine, m->id) != 0) return false;
  fc_workers_called(c, m, r, call->asked_at);
  /* A new session, or the first word from this machine: fence with it. */
  return call->fencing && result == FC_ORDER_REFUSED && r->token <= call->term && m->settled_term != call->term;
}

/* Calls the machine's worker once: fences it, asks it, or sends the commands it is owed; none
 * of these to do, no call. True if another call is to fence it with what it has told. */
static bool call_worker(fc_controller *c, const char *id, uint64_t term) {
  fc_table *t = c->table;
  fc_machine *m = fc_table_machine(t, id);
  fc_endpoint at;
  if (!m || m->owner != t->self || t->term.number != term || !fc_may_act(c)) return false;
  if (!fc_endpoint_parse(m->rec.endpoint, &at)) return false;
  const direct_call call = {
      .term = term, .fencing = m->settled_term != term, .probing = m->probe, .asked_at = fc_now()};
  m->probe = false;
  GArray *commands = call.fencing ? g_array_new(FALSE, TRUE, sizeof(fc_command)) : commands_for(c, m, true, 0);
  fc_order_result result = FC_ORDER_UNSENT;
  fc_worker_report r;
  if (call.fencing || call.probing || commands->len > 0)
    result = fc_worker_order(&at, term, m->session, (const fc_command *)commands->data, commands->len,
                             fc_now() + c->settings->report_s * 0.75, &r);
  g_array_free(commands, TRUE);
  c->counts.pushes += result != FC_ORDER_UNSENT;
  m = fc_table_machine(t, id); /* it may be gone by now */
  if (m) note_call_end(m, &call, result);
  if (!fc_order_answered(result)) return false;
  bool again = m && take_call_answer(c, m, &call, result, &r);
  fc_worker_report_clear(&r);
  return again;
}

/* The routine of a direct call: a second one fences with what the first has told. */
static void push_main(void *arg) {
  push_arg a = *(push_arg *)arg;
  g_free(arg);
  fc_controller *c = a.c;
  fc_metrics_duty(&c->metrics, FC_DUTY_COMMANDS);
  uint64_t term = c->table->term.number;
  for (int calls = 0; calls < 2; calls++)
    if (!call_worker(c, a.id, term)) break;
  fc_machine *m = fc_table_machine(c->table, a.id);
  if (m) m->ordering = false;
  c->pushing--;
}

/* Direct calls take a socket each, and those to machines that say nothing keep it for
 * as long as a call may take: after a takeover in a fleet of thousands they would take
 * all there are, those to the state service too. Fences and questions get half of the
 * eighth kept for calls, so that starts and stops always find some; what finds none is
 * called in a later round. */
bool fc_workers_may_push(const fc_controller *c, const fc_machine *m) {
  unsigned most = MAX(c->settings->fd_limit / 8, 2);
  return c->pushing < (m->settled_term == c->table->term.number && !m->probe ? most : most / 2);
}

void fc_workers_push(fc_controller *c, fc_machine *m) {
  if (m->ordering || m->owner != c->table->self || !m->rec.endpoint[0] || !fc_workers_may_push(c, m)) return;
  push_arg *a = g_new0(push_arg, 1);
  a->c = c;
  g_strlcpy(a->id, m->id, sizeof a->id);
  m->ordering = true;
  c->pushing++;
  if (!fc_routine_spawn(push_main, a)) {
    m->ordering = false;
    c->pushing--;
    g_free(a);
  }
}

void fc_workers_stop(const fc_controller *c, fc_placement *p) {
  p->stopping = true;
  p->grace_s = p->job->spec.save_s * 1.2 + c->settings->report_s * 0.25;
}
