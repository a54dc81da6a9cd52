/* Membership: our lease, our place in the term, and who has to leave it. */
#include <string.h>

#include "controller/controller.h"

static double jitter(double s) {
  return s * g_random_double_range(0.5, 1.0);
}

static bool open_lease(fc_controller *controller) {
  double sent = fc_now();
  if (fc_kv_lease_open(controller->kv, controller->authority.lease_s, sent + 1.0, &controller->lease) != FC_KV_OK)
    return false;
  fc_leader_lease_renewed(&controller->authority, sent);
  return true;
}

/* Draws this life's number: the revision of our member key. */
static bool draw_boot(fc_controller *controller) {
  char *key = g_strconcat(FC_PREFIX_MEMBER, controller->settings->name, NULL);
  const fc_member_key *known = g_hash_table_lookup(controller->cluster->membership.keys, controller->settings->name);
  fc_txn *txn = fc_txn_new();
  /* Conditional: a late copy of an earlier attempt must not replace this one. */
  fc_txn_compare(txn, key, known ? known->version : 0);
  fc_txn_put_leased(txn, key, fc_member_key_encode(), controller->lease);
  uint64_t revision = 0;
  fc_kv_result result = fc_kv_commit(controller->kv, txn, fc_now() + 1.0, &revision, NULL);
  fc_txn_free(txn);
  g_free(key);
  if (result == FC_KV_OK) {
    controller->incarnation = revision;
    return fc_wait_revision(controller, revision, fc_now() + 2.0);
  }
  (void)fc_wait_fresh(controller, fc_now() + 2.0);
  return false;
}

/* Commits `next` in place of the present term. */
static fc_kv_result commit_term(fc_controller *controller, const fc_term *next, const char *gone_member) {
  fc_txn *txn = fc_txn_new();
  fc_txn_compare(txn, FC_KEY_TERM, controller->cluster->membership.term_version);
  char *key = NULL;
  if (gone_member) {
    /* Its lease must have ended at the very moment it is excluded. */
    key = g_strconcat(FC_PREFIX_MEMBER, gone_member, NULL);
    fc_txn_compare(txn, key, 0);
  }
  char *own = g_strconcat(FC_PREFIX_MEMBER, controller->settings->name, NULL);
  fc_txn_compare(txn, own, controller->incarnation);
  fc_txn_put(txn, FC_KEY_TERM, fc_term_encode(next));
  uint64_t revision = 0;
  controller->term_unknown = true;
  fc_kv_result result = fc_kv_commit(controller->kv, txn, fc_now() + 1.0, &revision, NULL);
  fc_txn_free(txn);
  g_free(key);
  g_free(own);
  if (result != FC_KV_UNKNOWN) controller->term_unknown = false;
  if (result == FC_KV_OK) {
    (void)fc_wait_revision(controller, revision, fc_now() + 2.0);
  } else {
    (void)fc_wait_fresh(controller, fc_now() + 2.0);
  }
  return result;
}

static int by_name(const void *a, const void *b) {
  return strcmp(((const fc_member *)a)->name, ((const fc_member *)b)->name);
}

static bool in_term(const fc_controller *controller) {
  const fc_cluster *cluster = controller->cluster;
  return cluster->membership.self >= 0 &&
         cluster->membership.term.members[cluster->membership.self].incarnation == controller->incarnation;
}

/* Every start enters by a new term: commands of an earlier life may still be
 * under way with the old token. */
static bool enter(fc_controller *controller) {
  fc_term next = controller->cluster->membership.term;
  next.number++;
  if (!controller->cluster->membership.term_version) next.seed = g_random_int();
  int at = fc_term_find(&next, controller->settings->name);
  if (at < 0) {
    if (next.count == FC_MEMBERS_MAX) return false;
    at = (int)next.count++;
    next.names_since = next.number;
    g_strlcpy(next.members[at].name, controller->settings->name, sizeof next.members[at].name);
  }
  next.members[at].incarnation = controller->incarnation;
  qsort(next.members, next.count, sizeof next.members[0], by_name);
  (void)commit_term(controller, &next, NULL);
  if (!in_term(controller)) return false;
  controller->entered_at = fc_now();
  return true;
}

static bool lease_ended(const fc_controller *controller, const char *name) {
  return g_hash_table_lookup(controller->cluster->membership.keys, name) == NULL;
}

/* Excludes the first member whose lease has ended, once nothing forbids it. */
static void exclude(fc_controller *controller, GHashTable *gone_since) {
  const fc_term *term = &controller->cluster->membership.term;
  double now = fc_now();
  if (now < controller->entered_at + fc_leader_lease_entry_wait(&controller->authority)) return;
  unsigned rank = 0; /* live members before us: they go first */
  for (int i = 0; i < controller->cluster->membership.self; i++)
    rank += !lease_ended(controller, term->members[i].name);
  for (size_t i = 0; i < term->count; i++) {
    const char *name = term->members[i].name;
    if ((int)i == controller->cluster->membership.self) continue;
    if (!lease_ended(controller, name)) {
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
    if (now < *since + controller->authority.lease_s * 0.15 * (1 + rank)) continue;
    double promised = 0;
    for (size_t k = 0; k < controller->settings->peer_count; k++)
      if (strcmp(controller->settings->peers[k].name, name) == 0) promised = controller->peers[k].grant_given_until;
    if (now < promised) continue;
    char gone[64];
    g_strlcpy(gone, name, sizeof gone);
    fc_term next = *term;
    memmove(&next.members[i], &next.members[i + 1], (next.count - i - 1) * sizeof next.members[0]);
    next.count--;
    next.number++;
    next.names_since = next.number;
    fc_kv_result result = commit_term(controller, &next, gone);
    g_info("excluded member=%s result=%d", gone, result);
    return;
  }
}

static void stay(fc_controller *controller) {
  GHashTable *gone_since = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  double renewed = fc_now();
  while (!fc_routine_cancelled()) {
    if (fc_routine_sleep(controller->authority.lease_s * 0.04) == FC_WAKE_CANCELLED) break;
    if (!in_term(controller)) {
      g_warning("we are no longer in the term");
      break;
    }
    double now = fc_now();
    if (now >= renewed + controller->authority.lease_s * 0.25) {
      fc_kv_result result = fc_kv_lease_renew(controller->kv, controller->lease, now + 1.0);
      if (result == FC_KV_OK) {
        fc_leader_lease_renewed(&controller->authority, now);
        renewed = now;
      } else if (result == FC_KV_GONE) {
        g_warning("our lease has ended");
        break;
      } else {
        (void)fc_routine_sleep(jitter(0.3));
      }
    }
    if (fc_may_act(controller) && fc_state_reachable(controller)) exclude(controller, gone_since);
  }
  g_hash_table_destroy(gone_since);
}

void fc_member_main(void *arg) {
  fc_controller *controller = arg;
  fc_metrics_duty(&controller->metrics, FC_DUTY_MEMBERSHIP);
  while (!fc_routine_cancelled()) {
    fc_leader_lease_lost(&controller->authority);
    controller->incarnation = 0;
    controller->lease = 0;
    if (!fc_wait_fresh(controller, fc_now() + 1.0)) continue;
    if (!open_lease(controller)) {
      (void)fc_routine_sleep(jitter(0.3));
      continue;
    }
    while (!controller->incarnation && fc_now() < controller->authority.lease_until && !fc_routine_cancelled()) {
      if (!draw_boot(controller)) (void)fc_routine_sleep(jitter(0.1));
    }
    if (!controller->incarnation) continue;
    while (!in_term(controller) && fc_now() < controller->authority.lease_until && !fc_routine_cancelled()) {
      if (!enter(controller)) (void)fc_routine_sleep(jitter(0.1));
    }
    if (in_term(controller)) stay(controller);
  }
}
