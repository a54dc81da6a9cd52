/* Membership: our lease, our place in the term, and who has to leave it. */
#include <string.h>

#include "controller/controller.h"

static double jitter(double s) {
  return s * g_random_double_range(0.5, 1.0);
}

static bool open_lease(fc_controller *c) {
  double sent = fc_now();
  if (fc_state_lease_open(c->state, c->authority.lease_s, sent + 1.0, &c->lease) != FC_STATE_OK) return false;
  fc_authority_renewed(&c->authority, sent);
  return true;
}

/* Draws this life's number: the revision of our member key. */
static bool draw_boot(fc_controller *c) {
  char *key = g_strconcat(FC_PREFIX_MEMBER, c->settings->name, NULL);
  const fc_member_key *known = g_hash_table_lookup(c->table->members, c->settings->name);
  fc_txn *t = fc_txn_new();
  /* Conditional: a late copy of an earlier attempt must not replace this one. */
  fc_txn_if(t, key, known ? known->version : 0);
  fc_txn_put_leased(t, key, fc_member_key_encode(), c->lease);
  uint64_t revision = 0;
  fc_state_result r = fc_state_commit(c->state, t, fc_now() + 1.0, &revision, NULL);
  fc_txn_free(t);
  g_free(key);
  if (r == FC_STATE_OK) {
    c->boot = revision;
    return fc_wait_revision(c, revision, fc_now() + 2.0);
  }
  (void)fc_wait_fresh(c, fc_now() + 2.0);
  return false;
}

/* Commits `next` in place of the present term. */
static fc_state_result commit_term(fc_controller *c, const fc_term *next, const char *gone_member) {
  fc_txn *t = fc_txn_new();
  fc_txn_if(t, FC_KEY_TERM, c->table->term_version);
  char *key = NULL;
  if (gone_member) {
    /* Its lease must have ended at the very moment it is excluded. */
    key = g_strconcat(FC_PREFIX_MEMBER, gone_member, NULL);
    fc_txn_if(t, key, 0);
  }
  char *own = g_strconcat(FC_PREFIX_MEMBER, c->settings->name, NULL);
  fc_txn_if(t, own, c->boot);
  fc_txn_put(t, FC_KEY_TERM, fc_term_encode(next));
  uint64_t revision = 0;
  c->term_unknown = true;
  fc_state_result r = fc_state_commit(c->state, t, fc_now() + 1.0, &revision, NULL);
  fc_txn_free(t);
  g_free(key);
  g_free(own);
  if (r != FC_STATE_UNKNOWN) c->term_unknown = false;
  if (r == FC_STATE_OK) {
    (void)fc_wait_revision(c, revision, fc_now() + 2.0);
  } else {
    (void)fc_wait_fresh(c, fc_now() + 2.0);
  }
  return r;
}

static int by_name(const void *a, const void *b) {
  return strcmp(((const fc_member *)a)->name, ((const fc_member *)b)->name);
}

static bool in_term(const fc_controller *c) {
  const fc_table *t = c->table;
  return t->self >= 0 && t->term.members[t->self].boot == c->boot;
}

/* Every start enters by a new term: commands of an earlier life may still be
 * under way with the old token. */
static bool enter(fc_controller *c) {
  fc_term next = c->table->term;
  next.number++;
  if (!c->table->term_version) next.seed = g_random_int();
  int at = fc_term_find(&next, c->settings->name);
  if (at < 0) {
    if (next.count == FC_MEMBERS_MAX) return false;
    at = (int)next.count++;
    next.names_since = next.number;
    g_strlcpy(next.members[at].name, c->settings->name, sizeof next.members[at].name);
  }
  next.members[at].boot = c->boot;
  qsort(next.members, next.count, sizeof next.members[0], by_name);
  (void)commit_term(c, &next, NULL);
  if (!in_term(c)) return false;
  c->entered_at = fc_now();
  return true;
}

static bool lease_ended(const fc_controller *c, const char *name) {
  return g_hash_table_lookup(c->table->members, name) == NULL;
}

/* Excludes the first member whose lease has ended, once nothing forbids it. */
static void exclude(fc_controller *c, GHashTable *gone_since) {
  const fc_term *term = &c->table->term;
  double now = fc_now();
  if (now < c->entered_at + fc_authority_entry_wait(&c->authority)) return;
  unsigned rank = 0; /* live members before us: they go first */
  for (int i = 0; i < c->table->self; i++) rank += !lease_ended(c, term->members[i].name);
  for (size_t i = 0; i < term->count; i++) {
    const char *name = term->members[i].name;
    if ((int)i == c->table->self) continue;
    if (!lease_ended(c, name)) {
      g_hash_table_remove(gone_since, name);
      continue;
    }
    double *since = g_hash_table_lookup(gone_since, name);
    if (!since) {
      since = g_new(double, 1);
      *since = now;
      g_hash_table_insert(gone_since, g_strdup(name), since);
    }
    /* A short absence must not shuffle the parts. */
    if (now < *since + c->authority.lease_s * 0.15 * (1 + rank)) continue;
    double promised = 0;
    for (size_t k = 0; k < c->settings->peer_count; k++)
      if (strcmp(c->settings->peers[k].name, name) == 0) promised = c->peers[k].promised_until;
    if (now < promised) continue;
    char gone[64];
    g_strlcpy(gone, name, sizeof gone);
    fc_term next = *term;
    memmove(&next.members[i], &next.members[i + 1], (next.count - i - 1) * sizeof next.members[0]);
    next.count--;
    next.number++;
    next.names_since = next.number;
    fc_state_result r = commit_term(c, &next, gone);
    g_info("excluded member=%s result=%d", gone, r);
    return;
  }
}

static void stay(fc_controller *c) {
  GHashTable *gone_since = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  double renewed = fc_now();
  while (!fc_routine_cancelled()) {
    if (fc_routine_sleep(c->authority.lease_s * 0.04) == FC_WAKE_CANCELLED) break;
    if (!in_term(c)) {
      g_warning("we are no longer in the term");
      break;
    }
    double now = fc_now();
    if (now >= renewed + c->authority.lease_s * 0.25) {
      fc_state_result r = fc_state_lease_renew(c->state, c->lease, now + 1.0);
      if (r == FC_STATE_OK) {
        fc_authority_renewed(&c->authority, now);
        renewed = now;
      } else if (r == FC_STATE_GONE) {
        g_warning("our lease has ended");
        break;
      } else {
        (void)fc_routine_sleep(jitter(0.3));
      }
    }
    if (fc_may_act(c) && fc_state_reachable(c)) exclude(c, gone_since);
  }
  g_hash_table_destroy(gone_since);
}

void fc_member_main(void *arg) {
  fc_controller *c = arg;
  fc_metrics_duty(&c->metrics, FC_DUTY_MEMBERSHIP);
  while (!fc_routine_cancelled()) {
    fc_authority_lost(&c->authority);
    c->boot = 0;
    c->lease = 0;
    if (!fc_wait_fresh(c, fc_now() + 1.0)) continue;
    if (!open_lease(c)) {
      (void)fc_routine_sleep(jitter(0.3));
      continue;
    }
    while (!c->boot && fc_now() < c->authority.lease_until && !fc_routine_cancelled()) {
      if (!draw_boot(c)) (void)fc_routine_sleep(jitter(0.1));
    }
    if (!c->boot) continue;
    while (!in_term(c) && fc_now() < c->authority.lease_until && !fc_routine_cancelled()) {
      if (!enter(c)) (void)fc_routine_sleep(jitter(0.1));
    }
    if (in_term(c)) stay(c);
  }
}
