/* Keeps the table equal to the state service: one read of everything, then
 * reads of changes, each of which also proves freshness for whoever waits. */
#include <malloc.h>
#include <string.h>

#include "controller/controller.h"
#include "coordination/assignment.h"

#define PAGE_MOST 1000u    /* rows that the state service gives at once */
#define PAGE_LEAST 100u    /* every page costs its way there and back */
#define ROW_COST_S 10e-6   /* of a core, to parse one; 13e-6 measured for rows of 310 bytes */
#define PAGE_PARSED_S 0.05 /* reports wait no longer than this for a page */

unsigned fc_watch_page_rows(const fc_settings *settings) {
  return (unsigned)CLAMP(PAGE_PARSED_S * settings->cpu / ROW_COST_S, PAGE_LEAST, PAGE_MOST);
}

/* Is the life of a member of the old term no longer in the new one? Ours does not count. */
static bool life_ended(const fc_cluster *cluster, const fc_term *next) {
  for (int i = 0; i < (int)cluster->membership.term.count; i++) {
    const fc_member *m = &cluster->membership.term.members[i];
    int at = fc_term_find(next, m->name);
    if (i != cluster->membership.self && (at < 0 || next->members[at].incarnation != m->incarnation)) return true;
  }
  return false;
}

static void apply_term(fc_controller *controller, const fc_kv_change *change) {
  fc_term term;
  if (!change->value || !fc_term_decode(change->value, &term)) {
    g_critical("term unreadable version=%" G_GUINT64_FORMAT, (guint64)change->version);
    return;
  }
  if (term.number <= controller->table->membership.term.number && controller->table->membership.term_version) return;
  int before = controller->table->membership.self;
  bool continuous = before >= 0 && controller->incarnation &&
                    controller->table->membership.term.members[before].incarnation == controller->incarnation;
  int now_at = fc_term_find(&term, controller->settings->name);
  continuous = continuous && now_at >= 0 && term.members[now_at].incarnation == controller->incarnation;
  controller->term_since = fc_now();
  if (controller->table->membership.term_version && life_ended(controller->table, &term))
    controller->ended_at = controller->term_since;
  for (size_t k = 0; k < controller->settings->peer_count; k++) {
    controller->peers[k].renewals_known_until = 0;
    controller->peers[k].acked_view = controller->peers[k].acked_revision = controller->peers[k].acked_sequence = 0;
  }
  fc_cluster_apply_term(controller->table, &term, change->version, continuous, controller->term_since);
  /* Another life under our name is nobody's part any more. */
  if (now_at >= 0 && term.members[now_at].incarnation != controller->incarnation)
    controller->table->membership.self = -1;
  controller->term_unknown = false; /* it was conditional on the version that is now past */
  fc_leader_lease_new_term(&controller->authority);
  for (int i = 0; i < (int)term.count; i++) {
    const fc_peer *peer = fc_peer_of(controller, i);
    controller->peer_of[i] = peer ? (int)(peer - controller->peers) : -1;
  }
  g_info("term number=%" G_GUINT64_FORMAT " members=%zu self=%d continuous=%d", (guint64)term.number, term.count,
         controller->table->membership.self, continuous);
  fc_views_soon(controller);
}

/* Fills in the description of a record that has it in parts. False: not all of them are there. */
static bool join_description(fc_controller *controller, const char *id, fc_job_record *record) {
  /* What is known of the job stays: parts never change. */
  if (fc_cluster_find_job(controller->table, id)) return true;
  char *text = fc_description_parts_join(controller->table->descriptions, id, &record->parts);
  bool ok = text && fc_job_description_read(text, &record->spec);
  if (text && !ok) g_critical("description unreadable job=%s", id);
  g_free(text);
  if (ok) fc_description_parts_drop_texts(controller->table->descriptions, id, record->parts.digest);
  return ok;
}

static void apply_job(fc_controller *controller, const char *id, const fc_kv_change *change, bool ordered);

static void apply_part(fc_controller *controller, const char *key, const fc_kv_change *change) {
  char job[32], digest[FC_JOB_DIGEST_SIZE];
  unsigned number;
  const char *text = change->value ? fc_job_part_decode(change->value) : NULL;
  if (!fc_job_part_key_parse(key, job, digest, &number) || (change->value && !text)) {
    g_critical("part unreadable key=%s", change->key);
    return;
  }
  fc_description_parts_put(controller->table->descriptions, job, digest, number, text, change->version, fc_now());
  const fc_incomplete_job *incomplete = g_hash_table_lookup(controller->table->incomplete_jobs, job);
  if (!incomplete || !text) return;
  const fc_kv_change again = {
      .key = change->key, .value = json_incref(incomplete->value), .version = incomplete->version};
  apply_job(controller, job, &again, incomplete->ordered);
  json_decref(again.value);
}

static void apply_job(fc_controller *controller, const char *id, const fc_kv_change *change, bool ordered) {
  if (!change->value) {
    /* It was over and has been archived; only ever then (archive.c). */
    fc_job *over = fc_cluster_find_job(controller->table, id);
    if (over && over->record.version < change->version) fc_cluster_remove_job(controller->table, over);
    g_hash_table_remove(controller->table->incomplete_jobs, id);
    return;
  }
  fc_job_record record;
  if (!fc_job_record_decode(change->value, &record)) {
    g_critical("job record unreadable key=%s", change->key);
    return;
  }
  if (record.parts.count > 0 && !join_description(controller, id, &record)) {
    fc_incomplete_job *incomplete = g_new(fc_incomplete_job, 1);
    *incomplete = (fc_incomplete_job){json_incref(change->value), change->version, ordered};
    g_hash_table_replace(controller->table->incomplete_jobs, g_strdup(id), incomplete);
    fc_job_record_clear(&record);
    return;
  }
  g_hash_table_remove(controller->table->incomplete_jobs, id);
  /* Whoever confirmed it did so after the last read that did not show it. */
  if (record.phase == FC_PHASE_CANCELLED)
    fc_cancel_learned(controller, id, change->version, ordered ? controller->kv_read_at : fc_now());
  bool fresh = ordered && controller->table->membership.term_version &&
               change->version > controller->table->membership.term_version;
  fc_job *job = fc_cluster_apply_job(controller->table, id, &record, change->version, fresh, fc_now());
  fc_job_record_clear(&record);
  if (job) fc_round_soon(controller);
}

void fc_cancel_learned(fc_controller *controller, const char *job, uint64_t revision, double from) {
  double now = fc_now();
  /* Also when it is too old for the list: what is passed over here is never halted. */
  if (revision > controller->revision) fc_cluster_apply_cancellation(controller->table, job, revision, from, now);
  if (!fc_cancellation_log_add(controller->cancels, job, revision, from)) return;
  controller->cancel_at = now;
  fc_round_soon(controller);
  fc_views_soon(controller);
}

static void apply_machine(fc_controller *controller, const char *id, const fc_kv_change *change, bool ordered) {
  fc_cluster *cluster = controller->table;
  fc_machine *machine = fc_cluster_find_machine(cluster, id);
  if (!change->value) {
    if (machine && machine->record_version && machine->record_version < change->version)
      fc_cluster_remove_machine(cluster, machine);
    return;
  }
  fc_machine_record rec;
  if (!fc_machine_record_decode(change->value, &rec)) {
    g_critical("machine record unreadable key=%s", change->key);
    return;
  }
  machine = fc_cluster_ensure_machine(cluster, id, fc_now());
  if (machine->record_version >= change->version) return;
  bool announced = rec.endpoint[0] != '\0';
  /* An address learned from the worker itself is kept. */
  if (!announced) g_strlcpy(rec.endpoint, machine->record.endpoint, sizeof rec.endpoint);
  machine->record = rec;
  machine->record_version = change->version;
  fc_cluster_locate_machine(cluster, machine);
  fc_cluster_assign_machine(cluster, machine, fc_now());
  /* Announced within this term: it has never held anything, for anybody. */
  if (announced && !machine->announced && ordered && cluster->membership.term_version &&
      change->version > cluster->membership.term_version)
    machine->reconciled_term = cluster->membership.term.number;
  machine->announced = announced;
}

static void apply(fc_controller *controller, const fc_kv_change *change, bool ordered) {
  fc_cluster *cluster = controller->table;
  const char *key = change->key;
  if (strcmp(key, FC_KEY_TERM) == 0) {
    apply_term(controller, change);
  } else if (strcmp(key, FC_KEY_QUOTA) == 0) {
    if (change->value && change->version > cluster->quota.version) {
      fc_quota_record quota;
      if (!fc_quota_record_decode(change->value, controller->settings, &quota)) {
        memset(&quota, 0, sizeof quota); /* nothing is anybody's share */
        g_critical("quota record unreadable");
      }
      fc_cluster_apply_quota(cluster, &quota, change->version);
    }
  } else if (strcmp(key, FC_KEY_ARCHIVE) == 0) {
    cluster->archive_in_use = change->value != NULL;
  } else if (strcmp(key, FC_KEY_RETURNED) == 0) {
    cluster->returns_version = MAX(cluster->returns_version, change->version);
  } else if (g_str_has_prefix(key, FC_PREFIX_PART)) {
    apply_part(controller, key + strlen(FC_PREFIX_PART), change);
  } else if (g_str_has_prefix(key, FC_PREFIX_JOB)) {
    apply_job(controller, key + strlen(FC_PREFIX_JOB), change, ordered);
  } else if (g_str_has_prefix(key, FC_PREFIX_MACHINE)) {
    apply_machine(controller, key + strlen(FC_PREFIX_MACHINE), change, ordered);
  } else if (g_str_has_prefix(key, FC_PREFIX_MEMBER)) {
    const char *name = key + strlen(FC_PREFIX_MEMBER);
    if (change->value) {
      fc_member_key *member_key = g_new(fc_member_key, 1);
      *member_key = (fc_member_key){change->version, fc_member_key_format(change->value)};
      g_hash_table_replace(cluster->membership.keys, g_strdup(name), member_key);
    } else {
      g_hash_table_remove(cluster->membership.keys, name);
    }
  } else if (g_str_has_prefix(key, FC_PREFIX_RENTAL)) {
    const char *name = key + strlen(FC_PREFIX_RENTAL);
    fc_rental_record rental;
    if (change->value && fc_rental_record_decode(change->value, &rental)) {
      fc_rental_record *copy = g_new(fc_rental_record, 1);
      *copy = rental;
      copy->version = change->version;
      g_hash_table_replace(cluster->rentals, g_strdup(name), copy);
    } else {
      g_hash_table_remove(cluster->rentals, name);
    }
  }
}

/* What is in the table but no longer in the state service is gone. */
static void drop_missing(fc_controller *controller, GHashTable *present, uint64_t revision) {
  fc_cluster *cluster = controller->table;
  GPtrArray *gone = g_ptr_array_new();
  GHashTableIter it;
  gpointer key, value;
  g_hash_table_iter_init(&it, cluster->machines);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    fc_machine *machine = value;
    char *k = g_strconcat(FC_PREFIX_MACHINE, machine->id, NULL);
    if (machine->record_version && machine->record_version <= revision && !g_hash_table_contains(present, k))
      g_ptr_array_add(gone, machine);
    g_free(k);
  }
  for (guint i = 0; i < gone->len; i++) fc_cluster_remove_machine(cluster, gone->pdata[i]);
  g_ptr_array_set_size(gone, 0);
  g_hash_table_iter_init(&it, cluster->jobs);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    fc_job *job = value;
    char *k = g_strconcat(FC_PREFIX_JOB, job->spec.id, NULL);
    if (job->record.version <= revision && !g_hash_table_contains(present, k)) g_ptr_array_add(gone, job);
    g_free(k);
  }
  for (guint i = 0; i < gone->len; i++) fc_cluster_remove_job(cluster, gone->pdata[i]);
  fc_description_parts_retain(cluster->descriptions, present, revision);
  g_hash_table_iter_init(&it, cluster->incomplete_jobs);
  while (g_hash_table_iter_next(&it, &key, &value)) {
    char *k = g_strconcat(FC_PREFIX_JOB, (const char *)key, NULL);
    if (((const fc_incomplete_job *)value)->version <= revision && !g_hash_table_contains(present, k))
      g_hash_table_iter_remove(&it);
    g_free(k);
  }
  g_ptr_array_free(gone, TRUE);
  g_hash_table_iter_init(&it, cluster->membership.keys);
  while (g_hash_table_iter_next(&it, &key, NULL)) {
    char *k = g_strconcat(FC_PREFIX_MEMBER, (const char *)key, NULL);
    if (!g_hash_table_contains(present, k)) g_hash_table_iter_remove(&it);
    g_free(k);
  }
  g_hash_table_iter_init(&it, cluster->rentals);
  while (g_hash_table_iter_next(&it, &key, NULL)) {
    char *k = g_strconcat(FC_PREFIX_RENTAL, (const char *)key, NULL);
    if (!g_hash_table_contains(present, k)) g_hash_table_iter_remove(&it);
    g_free(k);
  }
}

/* Reads everything. Pages may change while being read: the changes since the
 * first page are read again afterwards, and versions tell which is newer. */
static bool load(fc_controller *controller) {
  GHashTable *present = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  char *after = NULL;
  bool more = true, ok = true;
  uint64_t first = 0;
  GPtrArray *all = g_ptr_array_new_with_free_func(fc_kv_change_free);
  while (more && ok) {
    GPtrArray *page = g_ptr_array_new();
    uint64_t revision = 0;
    fc_kv_result result = fc_kv_list(controller->state, FC_PREFIX, after, fc_watch_page_rows(controller->settings),
                                     fc_now() + 2.0, page, &more, &revision);
    ok = result == FC_KV_OK && (!more || page->len > 0);
    if (ok && !after) first = revision;
    for (guint i = 0; i < page->len; i++) {
      fc_kv_change *change = page->pdata[i];
      g_hash_table_add(present, g_strdup(change->key));
      g_free(after);
      after = g_strdup(change->key);
      g_ptr_array_add(all, change);
    }
    g_ptr_array_free(page, TRUE);
    if (more && ok) (void)fc_routine_sleep(0.03);
  }
  if (ok) {
    for (guint i = 0; i < all->len; i++) apply(controller, all->pdata[i], false);
    drop_missing(controller, present, first);
    controller->revision = first;
    fc_cluster_caught_up(controller->table, first);
    controller->loaded = true;
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
static fc_kv_result read_changes(fc_controller *controller, double hold) {
  controller->counts.reads++;
  double sent = fc_now();
  uint64_t revision = 0;
  GPtrArray *changes = g_ptr_array_new_with_free_func(fc_kv_change_free);
  fc_kv_result result =
      fc_kv_changes(controller->state, FC_PREFIX, controller->revision, hold, sent + hold + 1.0, changes, &revision);
  if (!controller->loaded) {
    result = FC_KV_UNKNOWN; /* everything is being read anew */
  } else if (result == FC_KV_OK) {
    /* The other reader may have been faster: what it brought is passed over, so
     * that changes are applied once and in order. */
    for (guint i = 0; i < changes->len; i++) {
      const fc_kv_change *change = changes->pdata[i];
      if (change->version > controller->revision) apply(controller, change, true);
    }
    controller->revision = MAX(controller->revision, revision);
    fc_cluster_caught_up(controller->table, controller->revision);
    if (sent > controller->kv_read_at) controller->kv_read_at = sent;
    fc_leader_lease_read_fresh(&controller->authority, sent);
    fc_cond_broadcast(&controller->changed);
  } else if (result == FC_KV_GONE) {
    controller->loaded = false;
  }
  g_ptr_array_free(changes, TRUE);
  return result;
}

/* Two fifths of our share of the request rate go into reads of changes. */
static double read_spacing(const fc_controller *controller) {
  return (double)(controller->settings->peer_count + 1) / (controller->settings->kv_rps * 0.4);
}

/* One long read after the other: tells of changes as they happen. */
void fc_watch_main(void *arg) {
  fc_controller *controller = arg;
  double backoff = 0;
  while (!fc_routine_cancelled()) {
    if (!controller->loaded) {
      fc_metrics_duty(&controller->metrics, FC_DUTY_LOAD);
      if (!load(controller)) {
        (void)fc_routine_sleep(g_random_double_range(0.2, 0.5));
        continue;
      }
    }
    fc_metrics_duty(&controller->metrics, FC_DUTY_WATCH);
    double began = fc_now();
    fc_kv_result result = read_changes(controller, controller->settings->heartbeat_s * 0.5);
    backoff = result == FC_KV_OK || result == FC_KV_GONE ? 0 : backoff > 0 ? MIN(backoff * 2, 1.0) : 0.1;
    double pause =
        backoff > 0 ? backoff * g_random_double_range(0.5, 1.0) : began + 2 * read_spacing(controller) - fc_now();
    if (pause > 0 && fc_routine_sleep(pause) == FC_WAKE_CANCELLED) break;
  }
}

/* The read index: one short read serves every routine that waits at that
 * moment for proof that the table is current. */
void fc_read_index_main(void *arg) {
  fc_controller *controller = arg;
  fc_metrics_duty(&controller->metrics, FC_DUTY_WATCH);
  while (!fc_routine_cancelled()) {
    if (controller->readers == 0 || !controller->loaded) {
      (void)fc_cond_wait(&controller->read_now, fc_now() + 1.0);
      continue;
    }
    double began = fc_now();
    fc_kv_result result = read_changes(controller, 0);
    double pause =
        result == FC_KV_OK ? began + 2 * read_spacing(controller) - fc_now() : g_random_double_range(0.1, 0.4);
    if (pause > 0 && fc_routine_sleep(pause) == FC_WAKE_CANCELLED) break;
  }
}

bool fc_wait_fresh(fc_controller *controller, double deadline) {
  double asked = fc_now();
  controller->readers++;
  fc_cond_broadcast(&controller->read_now);
  bool ok = true;
  while (controller->kv_read_at < asked || !controller->loaded) {
    if (fc_cond_wait(&controller->changed, deadline) != FC_WAKE_OK) {
      ok = false;
      break;
    }
  }
  controller->readers--;
  return ok;
}

bool fc_wait_revision(fc_controller *controller, uint64_t revision, double deadline) {
  controller->readers++;
  fc_cond_broadcast(&controller->read_now);
  bool ok = true;
  while (controller->revision < revision || !controller->loaded) {
    if (fc_cond_wait(&controller->changed, deadline) != FC_WAKE_OK) {
      ok = false;
      break;
    }
  }
  controller->readers--;
  return ok;
}

bool fc_state_reachable(const fc_controller *controller) {
  /* Where nothing changes, a read takes half a report interval and counts from when
   * it was sent: just before the next one ends, the last is a whole interval old.
   * With that as the bound a quiet service called itself cut off for a moment each
   * second, and refused submissions (scene users_get_of_jobs_put_away). */
  return controller->loaded && fc_now() - controller->kv_read_at < controller->settings->heartbeat_s * 1.5;
}

bool fc_may_act(const fc_controller *controller) {
  const fc_cluster *cluster = controller->table;
  if (!controller->loaded || cluster->membership.self < 0 || !controller->incarnation ||
      cluster->membership.term.members[cluster->membership.self].incarnation != controller->incarnation)
    return false;
  return fc_now() < fc_leader_lease_until(&controller->authority, &cluster->membership.term, controller->peer_of,
                                          cluster->membership.self);
}

void fc_commit_duty(void *arg) {
  fc_controller *controller = arg;
  fc_metrics_duty(&controller->metrics, FC_DUTY_COMMITS);
  fc_group_commit_run(controller->commit);
}
