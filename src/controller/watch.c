/* Keeps the table equal to the state service: one read of everything, then
 * reads of changes, each of which also proves freshness for whoever waits. */
#include <malloc.h>
#include <string.h>

#include "controller/controller.h"
#include "coordination/deal.h"

#define PAGE_MOST 1000u    /* rows that the state service gives at once */
#define PAGE_LEAST 100u    /* every page costs its way there and back */
#define ROW_COST_S 10e-6   /* of a core, to parse one; 13e-6 measured for rows of 310 bytes */
#define PAGE_PARSED_S 0.05 /* reports wait no longer than this for a page */

unsigned fc_watch_page_rows(const fc_settings *s) {
  return (unsigned)CLAMP(PAGE_PARSED_S * s->cpu / ROW_COST_S, PAGE_LEAST, PAGE_MOST);
}

/* Is the life of a member of the old term no longer in the new one? Ours does not count. */
static bool life_ended(const fc_table *t, const fc_term *next) {
  for (int i = 0; i < (int)t->term.count; i++) {
    const fc_member *m = &t->term.members[i];
    int at = fc_term_find(next, m->name);
    if (i != t->self && (at < 0 || next->members[at].boot != m->boot)) return true;
  }
  return false;
}

static void apply_term(fc_controller *c, const fc_change *ch) {
  fc_term term;
  if (!ch->value || !fc_term_decode(ch->value, &term)) {
    g_critical("term unreadable version=%" G_GUINT64_FORMAT, (guint64)ch->version);
    return;
  }
  if (term.number <= c->table->term.number && c->table->term_version) return;
  int before = c->table->self;
  bool continuous = before >= 0 && c->boot && c->table->term.members[before].boot == c->boot;
  int now_at = fc_term_find(&term, c->settings->name);
  continuous = continuous && now_at >= 0 && term.members[now_at].boot == c->boot;
  c->term_since = fc_now();
  if (c->table->term_version && life_ended(c->table, &term)) c->ended_at = c->term_since;
  for (size_t k = 0; k < c->settings->peer_count; k++) {
    c->peers[k].covered_at = 0;
    c->peers[k].acked_view = c->peers[k].acked_revision = c->peers[k].acked_seq = 0;
  }
  fc_table_set_term(c->table, &term, ch->version, continuous, c->term_since);
  /* Another life under our name is nobody's part any more. */
  if (now_at >= 0 && term.members[now_at].boot != c->boot) c->table->self = -1;
  c->term_unknown = false; /* it was conditional on the version that is now past */
  fc_authority_new_term(&c->authority);
  for (int i = 0; i < (int)term.count; i++) {
    const fc_peer *p = fc_peer_of(c, i);
    c->peer_of[i] = p ? (int)(p - c->peers) : -1;
  }
  g_info("term number=%" G_GUINT64_FORMAT " members=%zu self=%d continuous=%d", (guint64)term.number, term.count,
         c->table->self, continuous);
  fc_views_soon(c);
}

/* Fills in the description of a record that has it in parts. False: not all of them are there. */
static bool join_description(fc_controller *c, const char *id, fc_job_record *r) {
  /* What is known of the job stays: parts never change. */
  if (fc_table_job(c->table, id)) return true;
  char *text = fc_parts_join(c->table->parts, id, &r->parts);
  bool ok = text && fc_job_description_read(text, &r->spec);
  if (text && !ok) g_critical("description unreadable job=%s", id);
  g_free(text);
  if (ok) fc_parts_drop_texts(c->table->parts, id, r->parts.digest);
  return ok;
}

static void apply_job(fc_controller *c, const char *id, const fc_change *ch, bool ordered);

static void apply_part(fc_controller *c, const char *key, const fc_change *ch) {
  char job[32], digest[FC_JOB_DIGEST_SIZE];
  unsigned number;
  const char *text = ch->value ? fc_job_part_decode(ch->value) : NULL;
  if (!fc_job_part_key_parse(key, job, digest, &number) || (ch->value && !text)) {
    g_critical("part unreadable key=%s", ch->key);
    return;
  }
  fc_parts_put(c->table->parts, job, digest, number, text, ch->version, fc_now());
  const fc_unread_job *u = g_hash_table_lookup(c->table->unread, job);
  if (!u || !text) return;
  const fc_change again = {.key = ch->key, .value = json_incref(u->value), .version = u->version};
  apply_job(c, job, &again, u->ordered);
  json_decref(again.value);
}

static void apply_job(fc_controller *c, const char *id, const fc_change *ch, bool ordered) {
  if (!ch->value) {
    /* It was over and has been archived; only ever then (archive.c). */
    fc_job *over = fc_table_job(c->table, id);
    if (over && over->version < ch->version) fc_table_remove_job(c->table, over);
    g_hash_table_remove(c->table->unread, id);
    return;
  }
  fc_job_record r;
  if (!fc_job_record_decode(ch->value, &r)) {
    g_critical("job record unreadable key=%s", ch->key);
    return;
  }
  if (r.parts.count > 0 && !join_description(c, id, &r)) {
    fc_unread_job *u = g_new(fc_unread_job, 1);
    *u = (fc_unread_job){json_incref(ch->value), ch->version, ordered};
    g_hash_table_replace(c->table->unread, g_strdup(id), u);
    fc_job_record_clear(&r);
    return;
  }
  g_hash_table_remove(c->table->unread, id);
  /* Whoever confirmed it did so after the last read that did not show it. */
  if (r.phase == FC_PHASE_CANCELLED) fc_cancel_learned(c, id, ch->version, ordered ? c->fresh_sent : fc_now());
  bool fresh = ordered && c->table->term_version && ch->version > c->table->term_version;
  fc_job *j = fc_table_put_job(c->table, id, &r, ch->version, fresh, fc_now());
  fc_job_record_clear(&r);
  if (j) fc_round_soon(c);
}

void fc_cancel_learned(fc_controller *c, const char *job, uint64_t revision, double from) {
  double now = fc_now();
  /* Also when it is too old for the list: what is passed over here is never halted. */
  if (revision > c->revision) fc_table_cancel(c->table, job, revision, from, now);
  if (!fc_cancels_note(c->cancels, job, revision, from)) return;
  c->cancel_at = now;
  fc_round_soon(c);
  fc_views_soon(c);
}

static void apply_machine(fc_controller *c, const char *id, const fc_change *ch, bool ordered) {
  fc_table *t = c->table;
  fc_machine *m = fc_table_machine(t, id);
  if (!ch->value) {
    if (m && m->version && m->version < ch->version) fc_table_remove_machine(t, m);
    return;
  }
  fc_machine_record rec;
  if (!fc_machine_record_decode(ch->value, &rec)) {
    g_critical("machine record unreadable key=%s", ch->key);
    return;
  }
  m = fc_table_machine_add(t, id, fc_now());
  if (m->version >= ch->version) return;
  bool announced = rec.endpoint[0] != '\0';
  /* An address learned from the worker itself is kept. */
  if (!announced) g_strlcpy(rec.endpoint, m->rec.endpoint, sizeof rec.endpoint);
  m->rec = rec;
  m->version = ch->version;
  fc_machine_locate(t, m);
  fc_table_derive_owner(t, m, fc_now());
  /* Announced within this term: it has never held anything, for anybody. */
  if (announced && !m->announced && ordered && t->term_version && ch->version > t->term_version)
    m->settled_term = t->term.number;
  m->announced = announced;
}

static void apply(fc_controller *c, const fc_change *ch, bool ordered) {
  fc_table *t = c->table;
  const char *key = ch->key;
  if (strcmp(key, FC_KEY_TERM) == 0) {
    apply_term(c, ch);
  } else if (strcmp(key, FC_KEY_QUOTA) == 0) {
    if (ch->value && ch->version > t->quota_version) {
      fc_quota_record q;
      if (!fc_quota_record_decode(ch->value, c->settings, &q)) {
        memset(&q, 0, sizeof q); /* nothing is anybody's share */
        g_critical("quota record unreadable");
      }
      fc_table_put_quota(t, &q, ch->version);
    }
  } else if (strcmp(key, FC_KEY_ARCHIVE) == 0) {
    t->archive = ch->value != NULL;
  } else if (strcmp(key, FC_KEY_RETURNED) == 0) {
    t->returned_version = MAX(t->returned_version, ch->version);
  } else if (g_str_has_prefix(key, FC_PREFIX_PART)) {
    apply_part(c, key + strlen(FC_PREFIX_PART), ch);
  } else if (g_str_has_prefix(key, FC_PREFIX_JOB)) {
    apply_job(c, key + strlen(FC_PREFIX_JOB), ch, ordered);
  } else if (g_str_has_prefix(key, FC_PREFIX_MACHINE)) {
    apply_machine(c, key + strlen(FC_PREFIX_MACHINE), ch, ordered);
  } else if (g_str_has_prefix(key, FC_PREFIX_MEMBER)) {
    const char *name = key + strlen(FC_PREFIX_MEMBER);
    if (ch->value) {
      fc_member_key *k = g_new(fc_member_key, 1);
      *k = (fc_member_key){ch->version, fc_member_key_format(ch->value)};
      g_hash_table_replace(t->members, g_strdup(name), k);
    } else {
      g_hash_table_remove(t->members, name);
    }
  } else if (g_str_has_prefix(key, FC_PREFIX_RENTAL)) {
    const char *name = key + strlen(FC_PREFIX_RENTAL);
    fc_rental_record h;
    if (ch->value && fc_rental_record_decode(ch->value, &h)) {
      fc_rental_record *copy = g_new(fc_rental_record, 1);
      *copy = h;
      copy->version = ch->version;
      g_hash_table_replace(t->rentals, g_strdup(name), copy);
    } else {
      g_hash_table_remove(t->rentals, name);
    }
  }
}

/* What is in the table but no longer in the state service is gone. */
static void drop_missing(fc_controller *c, GHashTable *present, uint64_t revision) {
  fc_table *t = c->table;
  GPtrArray *gone = g_ptr_array_new();
  GHashTableIter it;
  gpointer key, value;
  g_hash_table_iter_init(&it, t->machines);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    fc_machine *m = value;
    char *k = g_strconcat(FC_PREFIX_MACHINE, m->id, NULL);
    if (m->version && m->version <= revision && !g_hash_table_contains(present, k)) g_ptr_array_add(gone, m);
    g_free(k);
  }
  for (guint i = 0; i < gone->len; i++) fc_table_remove_machine(t, gone->pdata[i]);
  g_ptr_array_set_size(gone, 0);
  g_hash_table_iter_init(&it, t->jobs);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    fc_job *j = value;
    char *k = g_strconcat(FC_PREFIX_JOB, j->spec.id, NULL);
    if (j->version <= revision && !g_hash_table_contains(present, k)) g_ptr_array_add(gone, j);
    g_free(k);
  }
  for (guint i = 0; i < gone->len; i++) fc_table_remove_job(t, gone->pdata[i]);
  fc_parts_keep(t->parts, present, revision);
  g_hash_table_iter_init(&it, t->unread);
  while (g_hash_table_iter_next(&it, &key, &value)) {
    char *k = g_strconcat(FC_PREFIX_JOB, (const char *)key, NULL);
    if (((const fc_unread_job *)value)->version <= revision && !g_hash_table_contains(present, k))
      g_hash_table_iter_remove(&it);
    g_free(k);
  }
  g_ptr_array_free(gone, TRUE);
  g_hash_table_iter_init(&it, t->members);
  while (g_hash_table_iter_next(&it, &key, NULL)) {
    char *k = g_strconcat(FC_PREFIX_MEMBER, (const char *)key, NULL);
    if (!g_hash_table_contains(present, k)) g_hash_table_iter_remove(&it);
    g_free(k);
  }
  g_hash_table_iter_init(&it, t->rentals);
  while (g_hash_table_iter_next(&it, &key, NULL)) {
    char *k = g_strconcat(FC_PREFIX_RENTAL, (const char *)key, NULL);
    if (!g_hash_table_contains(present, k)) g_hash_table_iter_remove(&it);
    g_free(k);
  }
}

/* Reads everything. Pages may change while being read: the changes since the
 * first page are read again afterwards, and versions tell which is newer. */
static bool load(fc_controller *c) {
  GHashTable *present = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  char *after = NULL;
  bool more = true, ok = true;
  uint64_t first = 0;
  GPtrArray *all = g_ptr_array_new_with_free_func(fc_change_free);
  while (more && ok) {
    GPtrArray *page = g_ptr_array_new();
    uint64_t revision = 0;
    fc_state_result r = fc_state_list(c->state, FC_PREFIX, after, fc_watch_page_rows(c->settings), fc_now() + 2.0, page,
                                      &more, &revision);
    ok = r == FC_STATE_OK && (!more || page->len > 0);
    if (ok && !after) first = revision;
    for (guint i = 0; i < page->len; i++) {
      fc_change *ch = page->pdata[i];
      g_hash_table_add(present, g_strdup(ch->key));
      g_free(after);
      after = g_strdup(ch->key);
      g_ptr_array_add(all, ch);
    }
    g_ptr_array_free(page, TRUE);
    if (more && ok) (void)fc_routine_sleep(0.03);
  }
  if (ok) {
    for (guint i = 0; i < all->len; i++) apply(c, all->pdata[i], false);
    drop_missing(c, present, first);
    c->revision = first;
    fc_table_caught_up(c->table, first);
    c->loaded = true;
    g_info("loaded keys=%u revision=%" G_GUINT64_FORMAT, all->len, (guint64)first);
  }
  g_ptr_array_free(all, TRUE);
  g_free(after);
  g_hash_table_destroy(present);
  /* What everything took while it was read is several times what the table keeps of it. */
  if (ok) (void)malloc_trim(0);
  return ok;
}

/* Reads the changes since what we hold, waiting up to `hold` for the first. */
static fc_state_result read_changes(fc_controller *c, double hold) {
  c->counts.reads++;
  double sent = fc_now();
  uint64_t revision = 0;
  GPtrArray *changes = g_ptr_array_new_with_free_func(fc_change_free);
  fc_state_result r = fc_state_changes(c->state, FC_PREFIX, c->revision, hold, sent + hold + 1.0, changes, &revision);
  if (!c->loaded) {
    r = FC_STATE_UNKNOWN; /* everything is being read anew */
  } else if (r == FC_STATE_OK) {
    /* The other reader may have been faster: what it brought is passed over, so
     * that changes are applied once and in order. */
    for (guint i = 0; i < changes->len; i++) {
      const fc_change *ch = changes->pdata[i];
      if (ch->version > c->revision) apply(c, ch, true);
    }
    c->revision = MAX(c->revision, revision);
    fc_table_caught_up(c->table, c->revision);
    if (sent > c->fresh_sent) c->fresh_sent = sent;
    fc_authority_fresh(&c->authority, sent);
    fc_cond_broadcast(&c->changed);
  } else if (r == FC_STATE_GONE) {
    c->loaded = false;
  }
  g_ptr_array_free(changes, TRUE);
  return r;
}

/* Two fifths of our share of the request rate go into reads of changes. */
static double read_spacing(const fc_controller *c) {
  return (double)(c->settings->peer_count + 1) / (c->settings->state_rps * 0.4);
}

/* One long read after the other: tells of changes as they happen. */
void fc_watch_main(void *arg) {
  fc_controller *c = arg;
  double backoff = 0;
  while (!fc_routine_cancelled()) {
    if (!c->loaded) {
      fc_metrics_duty(&c->metrics, FC_DUTY_LOAD);
      if (!load(c)) {
        (void)fc_routine_sleep(g_random_double_range(0.2, 0.5));
        continue;
      }
    }
    fc_metrics_duty(&c->metrics, FC_DUTY_WATCH);
    double began = fc_now();
    fc_state_result r = read_changes(c, c->settings->report_s * 0.5);
    backoff = r == FC_STATE_OK || r == FC_STATE_GONE ? 0 : backoff > 0 ? MIN(backoff * 2, 1.0) : 0.1;
    double pause = backoff > 0 ? backoff * g_random_double_range(0.5, 1.0) : began + 2 * read_spacing(c) - fc_now();
    if (pause > 0 && fc_routine_sleep(pause) == FC_WAKE_CANCELLED) break;
  }
}

/* The read index: one short read serves every routine that waits at that
 * moment for proof that the table is current. */
void fc_read_index_main(void *arg) {
  fc_controller *c = arg;
  fc_metrics_duty(&c->metrics, FC_DUTY_WATCH);
  while (!fc_routine_cancelled()) {
    if (c->readers == 0 || !c->loaded) {
      (void)fc_cond_wait(&c->read_now, fc_now() + 1.0);
      continue;
    }
    double began = fc_now();
    fc_state_result r = read_changes(c, 0);
    double pause = r == FC_STATE_OK ? began + 2 * read_spacing(c) - fc_now() : g_random_double_range(0.1, 0.4);
    if (pause > 0 && fc_routine_sleep(pause) == FC_WAKE_CANCELLED) break;
  }
}

bool fc_wait_fresh(fc_controller *c, double deadline) {
  double asked = fc_now();
  c->readers++;
  fc_cond_broadcast(&c->read_now);
  bool ok = true;
  while (c->fresh_sent < asked || !c->loaded) {
    if (fc_cond_wait(&c->changed, deadline) != FC_WAKE_OK) {
      ok = false;
      break;
    }
  }
  c->readers--;
  return ok;
}

bool fc_wait_revision(fc_controller *c, uint64_t revision, double deadline) {
  c->readers++;
  fc_cond_broadcast(&c->read_now);
  bool ok = true;
  while (c->revision < revision || !c->loaded) {
    if (fc_cond_wait(&c->changed, deadline) != FC_WAKE_OK) {
      ok = false;
      break;
    }
  }
  c->readers--;
  return ok;
}

bool fc_state_reachable(const fc_controller *c) {
  /* Where nothing changes, a read takes half a report interval and counts from when
   * it was sent: just before the next one ends, the last is a whole interval old.
   * With that as the bound a quiet service called itself cut off for a moment each
   * second, and refused submissions (scene users_get_of_jobs_put_away). */
  return c->loaded && fc_now() - c->fresh_sent < c->settings->report_s * 1.5;
}

bool fc_may_act(const fc_controller *c) {
  const fc_table *t = c->table;
  if (!c->loaded || t->self < 0 || !c->boot || t->term.members[t->self].boot != c->boot) return false;
  return fc_now() < fc_authority_until(&c->authority, &t->term, c->peer_of, t->self);
}

void fc_commit_duty(void *arg) {
  fc_controller *c = arg;
  fc_metrics_duty(&c->metrics, FC_DUTY_COMMITS);
  fc_commit_main(c->commit);
}
