#include "controller/descriptions.h"

#include <string.h>

#include "coordination/deal.h"

/* Bytes of parts in one transaction: half of what its body may have. */
#define WRITE_BYTES_MOST ((size_t)32 * 1024)

/* Users repeat a submission for up to a minute, and its parts are of use as long. */
#define KEEP_S 120.0

/* The next transaction with parts that are not there; NULL: all are. */
static fc_write *next_parts(const fc_controller *c, const char *job, const GPtrArray *texts,
                            const fc_job_parts *parts) {
  fc_write *w = NULL;
  unsigned n = 0;
  size_t bytes = 0;
  for (guint i = 0; i < texts->len && n < fc_commit_most(c->commit) && bytes < WRITE_BYTES_MOST; i++) {
    if (fc_parts_version(c->table->parts, job, parts->digest, i)) continue;
    char *key = fc_job_part_key(job, parts->digest, i);
    if (!w) w = fc_write_new();
    fc_write_if(w, key, 0);
    fc_write_put(w, key, fc_job_part_encode(texts->pdata[i]));
    g_free(key);
    bytes += strlen(texts->pdata[i]);
    n++;
  }
  return w;
}

fc_state_result fc_description_store(fc_controller *c, const fc_job_spec *spec, double deadline, fc_job_parts *parts,
                                     uint64_t *first) {
  char *text = fc_job_description_text(spec);
  GPtrArray *texts = fc_job_description_cut(text, fc_settings_value_bytes(c->settings), parts);
  fc_state_result r = FC_STATE_OK;
  fc_write *w;
  while (r == FC_STATE_OK && (w = next_parts(c, spec->id, texts, parts))) {
    uint64_t revision = 0;
    r = fc_commit_write(c->commit, w, FC_RANK_SUBMISSION, deadline, &revision);
    if (r == FC_STATE_OK && !fc_wait_revision(c, revision, deadline)) r = FC_STATE_UNKNOWN;
    /* Another controller writes the same ones, or one of ours was carried out late. */
    if (r == FC_STATE_CONFLICT && fc_wait_fresh(c, deadline)) r = FC_STATE_OK;
  }
  *first = fc_parts_version(c->table->parts, spec->id, parts->digest, 0);
  g_ptr_array_free(texts, TRUE);
  g_free(text);
  return r;
}

/* ---- removal ---- */

typedef struct leftover {
  char job[32];
  char digest[FC_JOB_DIGEST_SIZE];
  unsigned count;
} leftover;

typedef struct search {
  const fc_controller *c;
  GArray *found; /* leftover */
  double before;
} search;

static bool needed(const fc_table *t, const fc_parts_entry *e) {
  const fc_job *j = fc_table_job(t, e->job);
  if (j) return j->parts.count > 0 && strcmp(j->parts.digest, e->digest) == 0;
  return g_hash_table_contains(t->unread, e->job);
}

static void find_leftover(const fc_parts_entry *e, void *arg) {
  search *s = arg;
  const fc_table *t = s->c->table;
  if (e->first_seen > s->before || needed(t, e) || fc_deal_key(&t->term, e->job) != t->self) return;
  leftover l = {.count = e->count};
  g_strlcpy(l.job, e->job, sizeof l.job);
  g_strlcpy(l.digest, e->digest, sizeof l.digest);
  g_array_append_val(s->found, l);
}

/* Removes the parts from `from` on, up to so many; how many there were. */
static unsigned add_removals(const fc_controller *c, const leftover *l, unsigned from, unsigned most, fc_write *w) {
  unsigned n = 0;
  for (unsigned i = from; i < l->count && n < most; i++) {
    uint64_t version = fc_parts_version(c->table->parts, l->job, l->digest, i);
    if (!version) continue;
    char *key = fc_job_part_key(l->job, l->digest, i);
    fc_write_if(w, key, version);
    fc_write_delete(w, key);
    g_free(key);
    n++;
  }
  return n;
}

/* The first part goes first and alone: a record is conditional on it, so that none can be
 * written any more when others go. False: not now. */
static bool remove_some(fc_controller *c, const leftover *l, unsigned from, unsigned most) {
  fc_write *w = fc_write_new();
  char *record = g_strconcat(FC_PREFIX_JOB, l->job, NULL);
  const fc_job *j = fc_table_job(c->table, l->job);
  fc_write_if(w, record, j ? j->version : 0);
  g_free(record);
  if (add_removals(c, l, from, most, w) == 0) {
    fc_write_free(w);
    return false;
  }
  uint64_t revision = 0;
  return fc_commit_write(c->commit, w, FC_RANK_UPKEEP, fc_now() + c->settings->lease_s, &revision) == FC_STATE_OK &&
         fc_wait_revision(c, revision, fc_now() + c->settings->report_s);
}

static void remove_all(fc_controller *c, const leftover *l) {
  bool gone = !fc_parts_version(c->table->parts, l->job, l->digest, 0) || remove_some(c, l, 0, 1);
  while (gone && fc_may_act(c)) gone = remove_some(c, l, 1, fc_commit_most(c->commit));
}

void fc_descriptions_main(void *arg) {
  fc_controller *c = arg;
  fc_metrics_duty(&c->metrics, FC_DUTY_COMMITS);
  while (fc_routine_sleep(c->settings->op.round_s * 2.5) != FC_WAKE_CANCELLED) {
    if (!fc_may_act(c) || !fc_state_reachable(c) || fc_commit_backlog(c->commit) > 0) continue;
    search s = {.c = c, .found = g_array_new(FALSE, FALSE, sizeof(leftover)), .before = fc_now() - KEEP_S};
    fc_parts_each(c->table->parts, find_leftover, &s);
    for (guint i = 0; i < s.found->len; i++) remove_all(c, &g_array_index(s.found, leftover, i));
    g_array_free(s.found, TRUE);
  }
}
