/* Keeps the shares of the teams' limits in the state service. Nothing of a team
 * with a limit is started in a term before that term's shares are recorded. */
#include <math.h>
#include <string.h>

#include "bookkeeping/pipeline.h"
#include "controller/controller.h"
#include "controller/duties.h"
#include "coordination/quota.h"
#include "scheduler/place.h"
#include "scheduler/share.h"

static bool limited(const fc_team_settings *ts) {
  return ts->cpus_max > 0 || ts->gpus_max > 0;
}

/* What every member uses and what its queue asks for besides, in one pass. */
typedef struct tally {
  fc_demand cpus[FC_MEMBERS_MAX][FC_TEAMS_MAX], gpus[FC_MEMBERS_MAX][FC_TEAMS_MAX];
} tally;

static void want(fc_demand *d, double amount) {
  if (d->least <= 0 || amount < d->least) d->least = amount;
  d->wanted += amount;
}

/* Gangs start all at once: two parts that each hold half of what one needs would
 * both wait for ever (fault test, seed 15). So it is asked for one gang of a team
 * at a time, the same on all members. */
static void want_gang(const fc_job *j, tally *out) {
  int owner = fc_job_owner(j, 0);
  if (owner < 0) return;
  double n = j->spec.tasks - j->done_count;
  want(&out->cpus[owner][j->team], n * j->spec.cpus);
  want(&out->gpus[owner][j->team], n * j->spec.gpus);
}

/* Counts as full of every team's tasks. */
static void use_all_of(const fc_table *t, const fc_machine *m, tally *out) {
  fc_room whole = fc_machine_whole(t, m);
  for (size_t k = 0; k < t->settings->team_count; k++) {
    out->cpus[m->owner][k].used += whole.cpus;
    out->gpus[m->owner][k].used += whole.gpus;
  }
}

static void use_placements_of(const fc_machine *m, tally *out) {
  for (guint i = 0; i < m->placements->len; i++) {
    const fc_placement *p = m->placements->pdata[i];
    if (!fc_placement_live(p) || !p->job || p->job->team < 0) continue;
    out->cpus[m->owner][p->job->team].used += p->job->spec.cpus;
    out->gpus[m->owner][p->job->team].used += p->job->spec.gpus;
  }
}

static void want_missing_of(const fc_job *j, tally *out) {
  GArray *missing = fc_job_missing(j, -1, FC_MISSING_MOST);
  for (guint i = 0; i < missing->len; i++) {
    int owner = fc_job_owner(j, fc_job_slice_of(j, g_array_index(missing, uint32_t, i)));
    if (owner < 0) continue;
    want(&out->cpus[owner][j->team], j->spec.cpus);
    want(&out->gpus[owner][j->team], j->spec.gpus);
  }
  g_array_free(missing, TRUE);
}

/* `pessimistic`: a machine that is not settled may be full of any team's tasks. */
static void take_tally(const fc_table *t, bool pessimistic, tally *out) {
  memset(out, 0, sizeof *out);
  GHashTableIter it;
  gpointer value;
  const fc_job *turn[FC_TEAMS_MAX];
  fc_gang_turns(t, turn);
  for (size_t k = 0; k < t->settings->team_count; k++)
    if (turn[k]) want_gang(turn[k], out);
  double now = fc_now();
  g_hash_table_iter_init(&it, t->machines);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    const fc_machine *m = value;
    if (m->owner < 0) continue;
    if (pessimistic && m->announced && m->settled_term != t->term.number) {
      use_all_of(t, m, out);
    } else {
      use_placements_of(m, out);
    }
  }
  g_hash_table_iter_init(&it, t->jobs);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    const fc_job *j = value;
    if (j->team < 0 || !fc_job_runnable(j) || !limited(&t->settings->teams[j->team])) continue;
    if (j->spec.kind == FC_KIND_GANG || fc_gang_before(t, turn[j->team], j, now)) continue;
    want_missing_of(j, out);
  }
}

void fc_quota_allowance(const fc_controller *c, fc_allowance *out) {
  const fc_table *t = c->table;
  bool valid = t->quota_version && t->quota.term == t->term.number;
  int at = valid ? fc_quota_member(&t->quota, c->settings->name) : -1;
  double cpus[FC_TEAMS_MAX], gpus[FC_TEAMS_MAX];
  fc_table_usage(t, cpus, gpus);
  for (size_t k = 0; k < c->settings->team_count; k++) {
    const fc_team_settings *ts = &c->settings->teams[k];
    out->cpus[k] = out->gpus[k] = INFINITY;
    if (!limited(ts)) continue;
    /* While a lower share of ours is being written, only that one counts. */
    double share_cpus = at >= 0 ? MIN(t->quota.cpus[at][k], c->share_cap_cpus[k]) : 0;
    double share_gpus = at >= 0 ? MIN(t->quota.gpus[at][k], c->share_cap_gpus[k]) : 0;
    if (ts->cpus_max > 0) out->cpus[k] = share_cpus - cpus[k];
    if (ts->gpus_max > 0) out->gpus[k] = share_gpus - gpus[k];
  }
}

/* The first division of this term, from lists that can only have shrunk since:
 * nobody starts anything of these teams before this record. */
static bool divide(const fc_controller *c, const tally *now, fc_quota_record *q) {
  const fc_table *t = c->table;
  q->term = t->term.number;
  q->member_count = t->term.count;
  fc_demand cpus[FC_MEMBERS_MAX], gpus[FC_MEMBERS_MAX];
  double shares[FC_MEMBERS_MAX];
  for (size_t i = 0; i < t->term.count; i++) g_strlcpy(q->members[i], t->term.members[i].name, sizeof q->members[i]);
  for (size_t k = 0; k < c->settings->team_count; k++) {
    const fc_team_settings *ts = &c->settings->teams[k];
    if (!limited(ts)) continue;
    for (size_t i = 0; i < t->term.count; i++) {
      cpus[i] = now->cpus[i][k];
      gpus[i] = now->gpus[i][k];
    }
    if (!fc_quota_divide(ts->cpus_max, cpus, t->term.count, shares) && ts->cpus_max > 0) return false;
    for (size_t i = 0; i < t->term.count; i++) q->cpus[i][k] = shares[i];
    if (!fc_quota_divide(ts->gpus_max, gpus, t->term.count, shares) && ts->gpus_max > 0) return false;
    for (size_t i = 0; i < t->term.count; i++) q->gpus[i][k] = shares[i];
  }
  return true;
}

/* The shares of the term before hold on where its members are the same: every
 * machine is still owned by the same name, and what runs on a name's machines,
 * known or not, is within its share. Nobody needs to be waited for: dividing anew
 * takes a list from every machine, and a cut between zones held up all teams with
 * limits for as long as it lasted. */
static bool carry_over(const fc_table *t, fc_quota_record *q) {
  if (!t->quota_version || t->quota.member_count != t->term.count) return false;
  for (size_t i = 0; i < t->term.count; i++)
    if (fc_quota_member(&t->quota, t->term.members[i].name) < 0) return false;
  *q = t->quota;
  q->term = t->term.number;
  q->carried = true;
  return true;
}

/* A share is lowered only below what may be in use at most (`most`): lowered by
 * what was known, it freed room for others that a silent machine still used (fault
 * test, seed 642). Where what is feared has no better bound than whole machines,
 * the share is raised only by what is known (`now`). */
static double adjusted(double limit, const fc_quota_others *others, double share, const fc_demand *now,
                       const fc_demand *most, bool bounded) {
  double to = fc_quota_adjust(limit, others, share, most);
  if (to <= share || bounded) return to;
  return MAX(share, fc_quota_adjust(limit, others, share, now));
}

/* A member with machines that are not settled may be using all of its share. */
static void add_other(fc_quota_others *o, double share, const fc_demand *d, bool in_doubt) {
  double used = in_doubt ? MAX(d->used, share) : d->used;
  o->assigned += share;
  o->lacking += MAX(0, used + d->wanted - share);
  o->count++;
}

static bool changes(double *share, double to) {
  if (fabs(to - *share) <= 1e-6) return false;
  *share = to;
  return true;
}

/* Members that own a machine which is not settled, as far as we know. */
static void find_doubts(const fc_table *t, bool *in_doubt) {
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, t->machines);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    const fc_machine *m = value;
    if (m->owner >= 0 && m->announced && m->settled_term != t->term.number) in_doubt[m->owner] = true;
  }
}

/* Moves our shares towards what we need; true when something would change. */
static bool adjust(fc_controller *c, const tally *now, fc_quota_record *q) {
  const fc_table *t = c->table;
  int at = fc_quota_member(q, c->settings->name);
  if (at < 0) return false;
  bool changed = false, in_doubt[FC_MEMBERS_MAX] = {false};
  find_doubts(t, in_doubt);
  double most_cpus[FC_TEAMS_MAX], most_gpus[FC_TEAMS_MAX];
  fc_table_usage(t, most_cpus, most_gpus);
  for (size_t k = 0; k < c->settings->team_count; k++) {
    const fc_team_settings *ts = &c->settings->teams[k];
    fc_quota_others cpus = {0}, gpus = {0};
    for (size_t i = 0; i < q->member_count; i++) {
      int m = fc_term_find(&t->term, q->members[i]);
      if ((int)i == at || m < 0) continue;
      add_other(&cpus, q->cpus[i][k], &now->cpus[m][k], in_doubt[m]);
      add_other(&gpus, q->gpus[i][k], &now->gpus[m][k], in_doubt[m]);
    }
    const fc_demand *cn = &now->cpus[t->self][k], *gn = &now->gpus[t->self][k];
    fc_demand cm = *cn, gm = *gn;
    cm.used = most_cpus[k];
    gm.used = most_gpus[k];
    bool bounded = isfinite(t->carried_gpus[k]);
    if (ts->cpus_max > 0)
      changed |= changes(&q->cpus[at][k], adjusted(ts->cpus_max, &cpus, q->cpus[at][k], cn, &cm, bounded));
    if (ts->gpus_max > 0)
      changed |= changes(&q->gpus[at][k], adjusted(ts->gpus_max, &gpus, q->gpus[at][k], gn, &gm, bounded));
  }
  return changed;
}

static void lift_caps(fc_controller *c) {
  c->share_capped = false;
  for (size_t k = 0; k < c->settings->team_count; k++) c->share_cap_cpus[k] = c->share_cap_gpus[k] = INFINITY;
}

/* Any write that is undecided may be the one that counts: the lowest caps us. */
static void lower_caps(fc_controller *c, const fc_quota_record *q) {
  int at = fc_quota_member(q, c->settings->name);
  c->share_capped = true;
  for (size_t k = 0; at >= 0 && k < c->settings->team_count; k++) {
    c->share_cap_cpus[k] = MIN(c->share_cap_cpus[k], q->cpus[at][k]);
    c->share_cap_gpus[k] = MIN(c->share_cap_gpus[k], q->gpus[at][k]);
  }
}

static void write_quota(fc_controller *c, const fc_quota_record *q) {
  fc_write *w = fc_write_new();
  fc_write_if(w, FC_KEY_QUOTA, c->table->quota_version);
  fc_write_if(w, FC_KEY_TERM, c->table->term_version);
  fc_write_put(w, FC_KEY_QUOTA, fc_quota_record_encode(q, c->settings));
  uint64_t revision = 0;
  c->share_cap_version = c->table->quota_version;
  fc_state_result r = fc_commit_write(c->commit, w, FC_RANK_DECISION, fc_now() + 2.0, &revision);
  if (r == FC_STATE_OK) {
    (void)fc_wait_revision(c, revision, fc_now() + 2.0);
  } else {
    (void)fc_wait_fresh(c, fc_now() + 2.0);
  }
  if (r != FC_STATE_OK && r != FC_STATE_UNKNOWN) lift_caps(c);
  fc_round_soon(c);
}

/* Has every other member's present life acknowledged this term? */
static bool all_acked(fc_controller *c) {
  for (int i = 0; i < (int)c->table->term.count; i++) {
    const fc_peer *p = fc_peer_of(c, i);
    if (i != c->table->self && (!p || p->covered_at < c->term_since)) return false;
  }
  return true;
}

static bool any_limited(const fc_settings *s) {
  for (size_t k = 0; k < s->team_count; k++)
    if (limited(&s->teams[k])) return true;
  return false;
}

/* The first shares of the term; false: not yet, or not by us. */
static bool first_shares(fc_controller *c, tally *now_used, fc_quota_record *q, double now) {
  fc_table *t = c->table;
  /* Everybody could write it; the first in the term does at once. */
  if (now < c->term_since + c->settings->op.round_s * 0.5 * t->self) return false;
  /* A hung machine of a dead owner would hold everybody up for a lease: after
   * a while it counts as full instead. Whatever is settled by then can only
   * have shrunk since; members we have not heard from are waited for. */
  bool settled = fc_table_check_settled(t);
  if (carry_over(t, q)) return true;
  if (!settled && (now < c->term_since + c->settings->report_s * 1.5 || !all_acked(c))) return false;
  take_tally(t, !settled, now_used);
  return divide(c, now_used, q) || settled;
}

/* The shares with ours as it should be now; false: nothing is to be written. */
static bool adjusted_shares(fc_controller *c, tally *now_used, fc_quota_record *q) {
  *q = c->table->quota;
  take_tally(c->table, false, now_used);
  /* Where nothing is to change, the record is written as it is, or a write of
   * unknown outcome would keep its caps up for good (fault test, seed 510: a
   * gang waited for ever beside its share). */
  return adjust(c, now_used, q) || c->share_capped;
}

void fc_quota_main(void *arg) {
  fc_controller *c = arg;
  fc_metrics_duty(&c->metrics, FC_DUTY_MEMBERSHIP);
  lift_caps(c);
  if (!any_limited(c->settings)) return;
  double adjusted_at = 0;
  fc_quota_record *q = g_new0(fc_quota_record, 1);
  tally *now_used = g_new0(tally, 1);
  while (!fc_routine_cancelled()) {
    (void)fc_routine_sleep(c->settings->op.round_s * 0.1);
    const fc_table *t = c->table;
    /* A write of unknown outcome can be applied until the record has moved past
     * the version it was conditional on; so long the caps stay. */
    if (t->quota_version != c->share_cap_version) lift_caps(c);
    if (!fc_may_act(c) || !fc_state_reachable(c)) continue;
    double now = fc_now();
    memset(q, 0, sizeof *q);
    if (t->quota.term != t->term.number) {
      if (!first_shares(c, now_used, q, now)) continue;
    } else {
      if (now < adjusted_at + c->settings->op.round_s * 0.25) continue;
      adjusted_at = now;
      if (!adjusted_shares(c, now_used, q)) continue;
    }
    lower_caps(c, q);
    write_quota(c, q);
  }
  g_free(now_used);
  g_free(q);
}
