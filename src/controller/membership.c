#include "controller/membership.h"

#include <string.h>

#include "bookkeeping/cluster_machines.h"

/* Timeouts of requests to the key-value store, and of waiting until their outcome has been read. */
#define REQUEST_TIMEOUT_S 1.0
#define READ_TIMEOUT_S 2.0

/* Upper bounds of the random delay before a retry. */
#define LEASE_RETRY_S 0.3
#define JOIN_RETRY_S 0.1

/* Shares of the member lease. */
#define TICK_LEASES 0.04
#define RENEWAL_LEASES 0.25
#define ABSENCE_LEASES 0.15 /* a shorter absence does not exclude a member: its shard would be reassigned */

struct fc_membership_routine {
  fc_cluster *cluster;
  fc_kv *kv;
  fc_kv_watch *watch;
  fc_leadership *leadership;
  fc_peers *peers;
  fc_metrics *metrics;
  uint64_t lease; /* id of the lease in the store; 0: none */
};

fc_membership_routine *fc_membership_routine_new(fc_cluster *cluster, fc_kv *kv, fc_kv_watch *watch,
                                                 fc_leadership *leadership, fc_peers *peers, fc_metrics *metrics) {
  fc_membership_routine *routine = g_new0(fc_membership_routine, 1);
  routine->cluster = cluster;
  routine->kv = kv;
  routine->watch = watch;
  routine->leadership = leadership;
  routine->peers = peers;
  routine->metrics = metrics;
  return routine;
}

static void pause_before_retry(double max_s) {
  (void)fc_routine_sleep(max_s * g_random_double_range(0.5, 1.0));
}

static char *member_key(const char *name) {
  return g_strconcat(FC_PREFIX_MEMBER, name, NULL);
}

static bool open_lease(fc_membership_routine *routine) {
  double sent_at = fc_now();
  double lease_s = fc_leadership_lease_s(routine->leadership);
  if (fc_kv_lease_open(routine->kv, lease_s, sent_at + REQUEST_TIMEOUT_S, &routine->lease) != FC_KV_OK) return false;
  fc_leadership_lease_renewed(routine->leadership, sent_at);
  return true;
}

/* Assigns this incarnation its number: the revision at which the member key is written. */
static bool assign_incarnation(fc_membership_routine *routine) {
  const char *name = routine->cluster->settings->name;
  const fc_member_key *known = g_hash_table_lookup(routine->cluster->membership.keys, name);
  char *key = member_key(name);
  fc_txn *txn = fc_txn_new();
  /* Conditional, so that a delayed earlier attempt can't overwrite this one. */
  fc_txn_compare(txn, key, known ? known->version : 0);
  fc_txn_put_leased(txn, key, fc_member_key_encode(), routine->lease);
  g_free(key);
  uint64_t revision = 0;
  fc_kv_result result = fc_kv_commit(routine->kv, txn, fc_now() + REQUEST_TIMEOUT_S, &revision, NULL);
  fc_txn_free(txn);
  if (result == FC_KV_OK) {
    fc_leadership_set_incarnation(routine->leadership, revision);
    return fc_kv_watch_wait_revision(routine->watch, revision, fc_now() + READ_TIMEOUT_S);
  }
  (void)fc_kv_watch_wait_fresh(routine->watch, fc_now() + READ_TIMEOUT_S);
  return false;
}

/* Replaces the current term by `next`. `excluded`: name of the member that is excluded, whose lease must have expired
 * for the commit to succeed; NULL: none. */
static fc_kv_result commit_term(fc_membership_routine *routine, const fc_term *next, const char *excluded) {
  fc_txn *txn = fc_txn_new();
  fc_txn_compare(txn, FC_KEY_TERM, routine->cluster->membership.term_version);
  if (excluded) {
    char *key = member_key(excluded);
    fc_txn_compare(txn, key, 0);
    g_free(key);
  }
  char *own_key = member_key(routine->cluster->settings->name);
  fc_txn_compare(txn, own_key, fc_leadership_incarnation(routine->leadership));
  g_free(own_key);
  fc_txn_put(txn, FC_KEY_TERM, fc_term_encode(next));
  uint64_t revision = 0;
  fc_leadership_set_term_write_pending(routine->leadership, true);
  fc_kv_result result = fc_kv_commit(routine->kv, txn, fc_now() + REQUEST_TIMEOUT_S, &revision, NULL);
  fc_txn_free(txn);
  if (result != FC_KV_UNKNOWN) fc_leadership_set_term_write_pending(routine->leadership, false);
  fc_kv_watch_wait_outcome(routine->watch, result, revision, fc_now() + READ_TIMEOUT_S);
  return result;
}

static int compare_names(const void *left, const void *right) {
  return strcmp(((const fc_member *)left)->name, ((const fc_member *)right)->name);
}

/* Joins by committing a new term, also when the current one already lists this member: commands of
 * an earlier incarnation may still be in flight with the old fencing token. */
static bool join_term(fc_membership_routine *routine) {
  const fc_membership *membership = &routine->cluster->membership;
  const char *name = routine->cluster->settings->name;
  fc_term next = membership->term;
  next.number = fc_next_term_number(next.number);
  if (!membership->term_version) next.seed = g_random_int();
  int self = fc_term_find(&next, name);
  if (self < 0) {
    if (next.count == FC_MEMBERS_MAX) return false;
    self = (int)next.count++;
    next.names_since = next.number;
    g_strlcpy(next.members[self].name, name, sizeof next.members[self].name);
  }
  next.members[self].incarnation = fc_leadership_incarnation(routine->leadership);
  qsort(next.members, next.count, sizeof next.members[0], compare_names);
  (void)commit_term(routine, &next, NULL);
  if (!fc_leadership_in_term(routine->leadership)) return false;
  fc_leadership_joined(routine->leadership);
  return true;
}

/* ---- exclusion of members whose leases have expired ---- */

static bool lease_expired(const fc_membership_routine *routine, const char *name) {
  return g_hash_table_lookup(routine->cluster->membership.keys, name) == NULL;
}

/* Monotonic time at which the member's lease was first seen expired; inserts the current time if new. */
static double absent_since(GHashTable *absences, const char *name) {
  double *since = g_hash_table_lookup(absences, name);
  if (!since) {
    since = g_new(double, 1);
    *since = fc_now();
    g_hash_table_insert(absences, g_strdup(name), since);
  }
  return *since;
}

/* Number of live members listed before this one in the term. Each of them adds to the delay before
 * this member excludes anybody, so that members don't compete to commit the same exclusion. */
static unsigned live_members_before(const fc_membership_routine *routine) {
  const fc_membership *membership = &routine->cluster->membership;
  unsigned live = 0;
  for (int i = 0; i < membership->self; i++) live += !lease_expired(routine, membership->term.members[i].name);
  return live;
}

static bool grant_expired(fc_membership_routine *routine, const char *name) {
  const fc_peer *peer = fc_peers_find(routine->peers, name);
  return !peer || fc_now() >= peer->grant_given_until;
}

static void exclude_member(fc_membership_routine *routine, size_t index) {
  fc_term next = routine->cluster->membership.term;
  char name[sizeof next.members[0].name];
  g_strlcpy(name, next.members[index].name, sizeof name);
  memmove(&next.members[index], &next.members[index + 1], (next.count - index - 1) * sizeof next.members[0]);
  next.count--;
  next.number = fc_next_term_number(next.number);
  next.names_since = next.number;
  fc_kv_result result = commit_term(routine, &next, name);
  g_info("exclusion from the term member=%s result=%d", name, result);
}

/* Excludes the first member that has been absent for long enough and whose grant from this controller, if any, has
 * expired. */
static void exclude_expired(fc_membership_routine *routine, GHashTable *absences) {
  const fc_membership *membership = &routine->cluster->membership;
  if (!fc_leadership_may_exclude(routine->leadership)) return;
  double absence_s = fc_leadership_lease_s(routine->leadership) * ABSENCE_LEASES * (1 + live_members_before(routine));
  for (size_t i = 0; i < membership->term.count; i++) {
    const char *name = membership->term.members[i].name;
    if ((int)i == membership->self) continue;
    if (!lease_expired(routine, name)) {
      g_hash_table_remove(absences, name);
      continue;
    }
    if (fc_now() < absent_since(absences, name) + absence_s || !grant_expired(routine, name)) continue;
    exclude_member(routine, i);
    return;
  }
}

/* ---- terms without further raised fencing tokens ---- */

/* Whether a machine of this shard has used up nearly all raised tokens of the term. Without them starts are sent to it
 * with answers to heartbeats only. */
static bool tokens_nearly_used_up(const fc_cluster *cluster) {
  fc_machine_iter machine_iter = fc_cluster_machines(cluster);
  for (const fc_machine *machine; (machine = fc_machine_iter_next(&machine_iter));) {
    if (fc_machine_owned_by_self(cluster, machine) &&
        fc_fencing_token_nearly_last(machine->worker.fencing_token, cluster->membership.term.number))
      return true;
  }
  return false;
}

/* Replaces a term whose raised fencing tokens are nearly used up, or that a version without them has committed:
 * workers that have seen a raised token of the term before refuse its commands. */
static void renumber_term(fc_membership_routine *routine) {
  fc_term next = routine->cluster->membership.term;
  bool used_up = tokens_nearly_used_up(routine->cluster);
  if (fc_term_reserves_tokens(next.number) && !used_up) return;
  next.number = fc_next_term_number(next.number);
  fc_kv_result result = commit_term(routine, &next, NULL);
  g_info("term renumbered number=%" G_GUINT64_FORMAT " tokens_used_up=%d result=%d", (guint64)next.number, used_up,
         result);
}

/* ---- the routine ---- */

typedef enum { LEASE_HELD, LEASE_GONE } lease_state;

/* Renews the lease when it is due. *renewed_at: monotonic time of the last successful renewal. */
static lease_state renew_lease(fc_membership_routine *routine, double *renewed_at) {
  double now = fc_now();
  if (now < *renewed_at + fc_leadership_lease_s(routine->leadership) * RENEWAL_LEASES) return LEASE_HELD;
  fc_kv_result result = fc_kv_lease_renew(routine->kv, routine->lease, now + REQUEST_TIMEOUT_S);
  if (result == FC_KV_GONE) return LEASE_GONE;
  if (result == FC_KV_OK) {
    fc_leadership_lease_renewed(routine->leadership, now);
    *renewed_at = now;
  } else {
    pause_before_retry(LEASE_RETRY_S);
  }
  return LEASE_HELD;
}

/* Renews the lease and excludes absent members until this member loses its lease or its place in the
 * term. */
static void serve_as_member(fc_membership_routine *routine) {
  GHashTable *absences = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  double renewed_at = fc_now();
  while (!fc_routine_cancelled()) {
    if (fc_routine_sleep(fc_leadership_lease_s(routine->leadership) * TICK_LEASES) == FC_WAKE_CANCELLED) break;
    if (!fc_leadership_in_term(routine->leadership)) {
      g_warning("no longer a member of the term");
      break;
    }
    if (renew_lease(routine, &renewed_at) == LEASE_GONE) {
      g_warning("member lease expired");
      break;
    }
    if (fc_leadership_held(routine->leadership) && fc_cluster_store_reachable(routine->cluster, fc_now())) {
      renumber_term(routine);
      exclude_expired(routine, absences);
    }
  }
  g_hash_table_destroy(absences);
}

static bool lease_valid(const fc_membership_routine *routine) {
  return fc_now() < fc_leadership_lease_until(routine->leadership) && !fc_routine_cancelled();
}

static void run(void *arg) {
  fc_membership_routine *routine = arg;
  fc_leadership *leadership = routine->leadership;
  fc_metrics_enter_duty(routine->metrics, FC_DUTY_MEMBERSHIP);
  while (!fc_routine_cancelled()) {
    fc_leadership_lease_lost(leadership);
    routine->lease = 0;
    if (!fc_kv_watch_wait_fresh(routine->watch, fc_now() + REQUEST_TIMEOUT_S)) continue;
    if (!open_lease(routine)) {
      pause_before_retry(LEASE_RETRY_S);
      continue;
    }
    while (!fc_leadership_incarnation(leadership) && lease_valid(routine))
      if (!assign_incarnation(routine)) pause_before_retry(JOIN_RETRY_S);
    if (!fc_leadership_incarnation(leadership)) continue;
    while (!fc_leadership_in_term(leadership) && lease_valid(routine))
      if (!join_term(routine)) pause_before_retry(JOIN_RETRY_S);
    if (fc_leadership_in_term(leadership)) serve_as_member(routine);
  }
}

bool fc_membership_routine_start(fc_membership_routine *routine) {
  return fc_routine_spawn(run, routine) != NULL;
}
