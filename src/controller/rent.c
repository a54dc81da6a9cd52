/* The renting duty. The first member of the term rents for all parts, so that
 * requests don't race; every owner returns its own machines. */
#include <string.h>

#include "controller/controller.h"
#include "scheduler/rent.h"

typedef struct refusals {
  GHashTable *until; /* "type zone kind" -> double* */
} refusals;

static char *kind_key(const char *type, const char *zone, bool spot) {
  return g_strdup_printf("%s %s %d", type, zone, spot);
}

typedef struct refused_arg {
  const fc_table *table;
  refusals *refusals;
} refused_arg;

static bool is_refused(int type, const char *zone, bool spot, void *arg) {
  refused_arg *a = arg;
  const fc_machine_type *mt = a->table->types->pdata[type];
  char *key = kind_key(mt->name, zone, spot);
  const double *until = g_hash_table_lookup(a->refusals->until, key);
  g_free(key);
  return until && fc_now() < *until;
}

static void note_refused(refusals *r, const char *type, const char *zone, bool spot, double until) {
  double *v = g_new(double, 1);
  *v = until;
  g_hash_table_replace(r->until, kind_key(type, zone, spot), v);
}

/* Half of the cloud's rate is the renting member's, the rest the others'. */
bool fc_cloud_turn(fc_controller *c) {
  double wait, others = MAX(1.0, (double)c->settings->peer_count);
  c->cloud_budget.per_s = c->settings->cloud_rps * (c->table->self == 0 ? 0.5 : 0.5 / others);
  while ((wait = fc_budget_wait(&c->cloud_budget, 1, 0, fc_now())) > 0)
    if (fc_routine_sleep(wait) == FC_WAKE_CANCELLED) return false;
  return fc_budget_take(&c->cloud_budget, 1, 0, fc_now());
}

static void read_types(fc_controller *c) {
  GPtrArray *types = g_ptr_array_new();
  if (fc_cloud_turn(c) && fc_cloud_types(c->cloud, fc_now() + 3.0, types) == FC_CLOUD_OK && types->len > 0) {
    fc_table *t = c->table;
    /* Prices change, types don't: machines refer to them by index. */
    for (guint i = 0; i < types->len; i++) {
      fc_machine_type *mt = types->pdata[i];
      int at = fc_table_type(t, mt->name);
      if (at < 0) {
        g_ptr_array_add(t->types, mt);
      } else {
        fc_machine_type_free(t->types->pdata[at]);
        t->types->pdata[at] = mt;
      }
    }
    c->types_at = fc_now();
    GHashTableIter it;
    gpointer value;
    g_hash_table_iter_init(&it, t->machines);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
      fc_machine *m = value;
      if (m->type < 0) fc_machine_locate(t, m);
    }
    g_ptr_array_free(types, TRUE);
    return;
  }
  g_ptr_array_set_free_func(types, fc_machine_type_free);
  g_ptr_array_free(types, TRUE);
}

/* The records of machines just rented, in as many transactions as it takes. Should
 * we end in between, whoever repeats the rental gets the same names and writes those
 * that are missing. */
static bool record_rented(fc_controller *c, const char *name, const fc_rental_record *h, const GPtrArray *ids) {
  fc_table *t = c->table;
  char *intent = g_strconcat(FC_PREFIX_RENTAL, name, NULL);
  unsigned given[FC_MEMBERS_MAX] = {0};
  uint64_t revision = 0, term = t->term_version;
  bool ok = true;
  for (guint i = 0; i < ids->len && ok;) {
    fc_write *w = fc_write_new();
    fc_write_if(w, FC_KEY_TERM, term);
    /* A copy that comes late finds that there is no record of a machine also when it has
     * been returned since; the intent is gone by then, for good (scene
     * writes_about_what_is_gone: a returned machine was on record again). */
    fc_write_if(w, intent, h->version);
    unsigned n = 0;
    for (; i < ids->len && n < fc_commit_most(c->commit); i++) {
      fc_machine *m = fc_table_machine(t, ids->pdata[i]);
      if (m && m->version) continue; /* its worker was faster */
      fc_machine_record rec = {.spot = h->spot};
      g_strlcpy(rec.type, h->type, sizeof rec.type);
      g_strlcpy(rec.zone, h->zone, sizeof rec.zone);
      bool even = fc_term_find(&t->term, h->owner) < 0;
      unsigned counts[FC_MEMBERS_MAX];
      memcpy(counts, given, sizeof counts);
      const char *owner = fc_even_owner(t, ids->pdata[i], h->type, h->zone, h->spot, counts);
      int to = fc_term_find(&t->term, owner);
      if (to >= 0) given[to] += 1000;
      g_strlcpy(rec.owner, even ? owner : h->owner, sizeof rec.owner);
      char *key = g_strconcat(FC_PREFIX_MACHINE, (const char *)ids->pdata[i], NULL);
      fc_write_if(w, key, 0);
      fc_write_put(w, key, fc_machine_record_encode(&rec));
      g_free(key);
      n++;
    }
    ok = fc_commit_write(c->commit, w, FC_RANK_DECISION, fc_now() + 5.0, &revision) == FC_STATE_OK;
  }
  g_free(intent);
  /* Not all written: the intent is still there, and is repeated. */
  if (ok) return ids->len == 0 || fc_wait_revision(c, revision, fc_now() + 2.0);
  (void)fc_wait_fresh(c, fc_now() + 2.0);
  return false;
}

static bool end_rental(fc_controller *c, const char *name) {
  char *key = g_strconcat(FC_PREFIX_RENTAL, name, NULL);
  fc_write *w = fc_write_new();
  fc_write_if(w, FC_KEY_TERM, c->table->term_version);
  fc_write_delete(w, key);
  g_free(key);
  uint64_t revision = 0;
  if (fc_commit_write(c->commit, w, FC_RANK_DECISION, fc_now() + 5.0, &revision) == FC_STATE_OK)
    return fc_wait_revision(c, revision, fc_now() + 2.0);
  (void)fc_wait_fresh(c, fc_now() + 2.0);
  return false;
}

typedef struct rental {
  char *name;
  fc_rental_record record;
  GPtrArray *ids;
  bool decided;
} rental;

static void rental_free(gpointer p) {
  rental *h = p;
  g_free(h->name);
  g_ptr_array_free(h->ids, TRUE);
  g_free(h);
}

/* Asks the cloud for what one recorded intent says, ours or one left by a dead
 * controller. */
static void ask_cloud(fc_controller *c, rental *h, refusals *ref) {
  const fc_rental_record *r = &h->record;
  if (!fc_cloud_turn(c) || !fc_may_act(c)) return;
  fc_cloud_result res = fc_cloud_rent(c->cloud, h->name, r->type, r->zone, r->spot, r->count, fc_now() + 4.0, h->ids);
  g_info("hire name=%s type=%s zone=%s spot=%d count=%u result=%d got=%u", h->name, r->type, r->zone, r->spot, r->count,
         res, h->ids->len);
  if (res == FC_CLOUD_NO_CAPACITY) note_refused(ref, r->type, r->zone, r->spot, fc_now() + c->settings->lease_s);
  if (res == FC_CLOUD_OK && h->ids->len < r->count)
    note_refused(ref, r->type, r->zone, r->spot, fc_now() + c->settings->lease_s * 0.5);
  h->decided = res == FC_CLOUD_OK || res == FC_CLOUD_NO_CAPACITY || res == FC_CLOUD_REFUSED;
}

/* Carries out all recorded intents. All machines are asked for before the first is
 * recorded: they boot meanwhile, and their records take their time. */
static void carry_out_all(fc_controller *c, refusals *ref) {
  GPtrArray *rentals = g_ptr_array_new_with_free_func(rental_free);
  GHashTableIter it;
  gpointer key, value;
  g_hash_table_iter_init(&it, c->table->rentals);
  while (g_hash_table_iter_next(&it, &key, &value)) {
    rental *h = g_new0(rental, 1);
    h->name = g_strdup(key);
    h->record = *(const fc_rental_record *)value;
    h->ids = g_ptr_array_new_with_free_func(g_free);
    g_ptr_array_add(rentals, h);
  }
  for (guint i = 0; i < rentals->len; i++) ask_cloud(c, rentals->pdata[i], ref);
  for (guint i = 0; i < rentals->len; i++) {
    const rental *h = rentals->pdata[i];
    if (h->decided && fc_may_act(c)) (void)(record_rented(c, h->name, &h->record, h->ids) && end_rental(c, h->name));
  }
  g_ptr_array_free(rentals, TRUE);
}

/* Records the intent; the cloud is asked only after that is durable. */
static bool intend(fc_controller *c, const fc_want *want, unsigned count) {
  fc_table *t = c->table;
  const fc_machine_type *mt = t->types->pdata[want->type];
  fc_rental_record h = {.spot = want->spot, .count = count};
  g_strlcpy(h.type, mt->name, sizeof h.type);
  g_strlcpy(h.zone, want->zone, sizeof h.zone);
  g_strlcpy(h.owner, want->owner >= 0 ? t->term.members[want->owner].name : "*", sizeof h.owner);
  /* The life's number never comes again, so neither does the name. */
  char *name =
      g_strdup_printf("r-%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT, (guint64)c->boot, (guint64)++c->rental_counter);
  char *key = g_strconcat(FC_PREFIX_RENTAL, name, NULL);
  fc_write *w = fc_write_new();
  fc_write_if(w, FC_KEY_TERM, t->term_version);
  fc_write_if(w, key, 0);
  fc_write_put(w, key, fc_rental_record_encode(&h));
  uint64_t revision = 0;
  fc_state_result r = fc_commit_write(c->commit, w, FC_RANK_DECISION, fc_now() + c->settings->lease_s * 0.5, &revision);
  g_free(name);
  g_free(key);
  return r == FC_STATE_OK && fc_wait_revision(c, revision, fc_now() + 2.0);
}

static void rent(fc_controller *c, refusals *ref) {
  refused_arg arg = {.table = c->table, .refusals = ref};
  GArray *wants = fc_rent_wants(c->table, is_refused, &arg, fc_now());
  for (guint i = 0; i < wants->len; i++) {
    const fc_want *w = &g_array_index(wants, fc_want, i);
    if (w->owner >= (int)c->table->term.count) break;
    if (!intend(c, w, MIN(w->count, FC_RENTAL_MOST))) break;
  }
  g_array_free(wants, TRUE);
}

/* Has nobody else answered it since? Another member may reach it when we can't. */
static bool unkept(fc_controller *c, const fc_machine *m, double since) {
  if (m->kept_hears_at > since) return false;
  /* It has just come to another from us, in vain. Only its next report there shows that it
   * hears: cut off from its owner alone, a machine full of work was returned within the
   * second (scene out_of_reach). */
  if (m->kept_deaf_at > m->kept_hears_at && fc_now() < m->kept_deaf_at + c->settings->report_s * 2) return false;
  /* What the ended incarnation of another member answered last, nobody can tell us. From
   * there the worker's next report takes up to 1.25 report_s, and each member that it tries
   * in vain its patience and a second: with two of three, about its lease. A machine full of
   * work was returned as lost on that way, seconds after the member that had kept it was
   * back (scenes ten_in_two_minutes, out_of_reach). No shorter time is safe; so every member
   * asks such a machine directly, and it stays if one reaches it or has not tried. Waiting
   * for its lease instead, hung machines held a team's freed share for up to 14 s (scene
   * a_limit_and_a_cancellation). */
  if (c->ended_at > since && !fc_workers_unreachable(c, m)) return false;
  for (int i = 0; i < (int)c->table->term.count; i++) {
    if (i == c->table->self) continue;
    const fc_peer *peer = fc_peer_of(c, i);
    if (!peer || peer->covered_at < fc_now() - c->settings->report_s * 2) return false;
  }
  return true;
}

/* A direct start that was lost may arrive minutes later, and its task may not be
 * started elsewhere before that is ruled out; a gang not even when the attempt has
 * ended, for a copy of the start would begin it again. Returning the machine rules
 * it out; without that the job waited for ever (fault test, seeds 555 and 847). */
static bool holds_lost_start(const fc_machine *m, double since) {
  for (guint i = 0; i < m->placements->len; i++) {
    const fc_placement *p = m->placements->pdata[i];
    if (p->stray != FC_STRAY_LOST || p->since > since) continue;
    if (p->stopping && !p->reported) return true;
    if (p->state == FC_TASK_EXITED && p->job && p->job->spec.kind == FC_KIND_GANG && p->job->phase == FC_PHASE_ACCEPTED)
      return true;
    /* What has ended is never cleared then, and the machine never empty enough to be
     * lent, while renting counted on it (fault test, seed 450: a gang waited for ever). */
    if (p->state == FC_TASK_EXITED && fc_machine_vacant(m)) return true;
  }
  return false;
}

typedef struct mute_count {
  unsigned all, mute;
} mute_count;

static void count_mute(mute_count *n, bool mute) {
  n->all++;
  n->mute += mute;
}

static bool most(const mute_count *n) {
  return n->mute * 2 > n->all + 1;
}

/* Where machines mostly fall silent together it is the network: a controller that sees
 * it of its own, or of the whole fleet, suspects itself; of a zone, that the zone is cut
 * off. Returned, the machines of a zone would be missing for a boot after it is back. */
typedef struct suspicion {
  bool all, zone[FC_ZONES_MAX + 1];
} suspicion;

static suspicion suspect(fc_controller *c, double now) {
  const fc_table *t = c->table;
  mute_count mine = {0, 0}, fleet = {0, 0}, zones[FC_ZONES_MAX + 1] = {{0, 0}};
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, t->machines);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    const fc_machine *m = value;
    bool ours = m->owner == t->self, mute = fc_machine_mute(t, m, now);
    if (!m->version || !m->announced || m->owner < 0) continue;
    /* Of others' machines we know as much as they tell us: those of a member that is cut
     * off too once counted as well, and half a zone was returned (fleet day "zone"). */
    bool known = ours ? m->reported || mute : m->settled_term == t->term.number && fc_member_fit(c, m->owner);
    /* Nor do machines that we know nothing of yet speak for their zone: dealt anew as a
     * member in it was excluded, they left one old machine to judge it by, which went. */
    count_mute(&zones[m->zone], mute || !known);
    if (!known) continue;
    count_mute(&fleet, mute);
    if (ours) count_mute(&mine, mute);
  }
  suspicion s = {.all = most(&mine) || most(&fleet)};
  for (size_t z = 0; z <= FC_ZONES_MAX; z++) s.zone[z] = most(&zones[z]);
  return s;
}

typedef enum { STAYS, LOST, NEVER_UP, IDLE, FAULTY, BEGUN } fate;

/* Should the machine go back, and why? `surplus` is made when the first idle one asks. */
static fate fate_of(fc_controller *c, fc_machine *m, const suspicion *doubts, GHashTable **surplus, double now) {
  fc_table *t = c->table;
  double quiet = fc_machine_quiet_s(c->settings);
  double boot_s = m->type >= 0 ? ((fc_machine_type *)t->types->pdata[m->type])->boot_s : 0;
  bool settled = m->settled_term == t->term.number;
  /* After several leases it is not a cut any more, whoever's it was. */
  bool patient = doubts->all || doubts->zone[m->zone];
  double after = patient ? c->settings->lease_s * 5 : quiet;
  /* What others answer reaches us up to half a report interval later, and sent to us in
   * vain it is with nobody for a whole one more. */
  double unheard_of = quiet + c->settings->report_s;
  if (m->reported && fc_machine_out_of_touch(m, now - after) && unkept(c, m, now - unheard_of)) return LOST;
  /* One that another has answered since, or just before, was there; it gets the time that
   * it takes to come back from us and to show there that it hears. */
  bool at_once = !patient && m->kept_at <= m->owned_since - quiet;
  if (fc_machine_unheard(t, m, now) && (at_once || now > m->owned_since + after) && unkept(c, m, m->owned_since))
    return LOST;
  /* One that has an address was up: dealt anew while its zone is cut off, it says nothing
   * to its new owner, and was returned before the zone was back. */
  bool cut_off = m->announced && patient && now <= m->owned_since + after;
  if (!m->reported && !cut_off && boot_s > 0 &&
      now > MAX(m->first_seen, m->owned_since) + 3 * boot_s + c->settings->lease_s)
    return NEVER_UP;
  if (!m->faulty && holds_lost_start(m, now - c->settings->lease_s * 2)) m->faulty = m->closed = true;
  if (m->faulty && fc_machine_vacant(m) && settled) return FAULTY;
  if (settled && m->reported && fc_rent_idle(t, m, now)) {
    if (!*surplus) *surplus = fc_rent_surplus(t, now);
    if (g_hash_table_contains(*surplus, m)) return IDLE;
  }
  /* Begun and not ended: the machine may be gone and its record still there
   * (fault test, seed 183: the record stayed for good). */
  return m->releasing ? BEGUN : STAYS;
}

void fc_machines_gone(fc_controller *c, const GPtrArray *ids) {
  fc_table *t = c->table;
  for (guint i = 0; i < ids->len; i++) {
    fc_machine *m = fc_table_machine(t, ids->pdata[i]);
    if (!m || !m->version) continue;
    fc_machine_clear(t, m);
    m->settled_term = t->term.number;
  }
  (void)fc_table_check_settled(t);
  fc_round_soon(c);
}

/* Takes the records of machines that the cloud has confirmed gone out of the state
 * service, in as many transactions as it takes. */
static void forget_returned(fc_controller *c, const GPtrArray *ids) {
  fc_table *t = c->table;
  fc_machines_gone(c, ids);
  uint64_t revision = 0;
  bool ok = true;
  for (guint i = 0; i < ids->len && ok;) {
    fc_write *w = fc_write_new();
    /* Who wants to record a machine that has reported names the version of this mark. */
    fc_write_put(w, FC_KEY_RETURNED, fc_mark_encode());
    for (unsigned n = 1; i < ids->len && (n == 1 || n < fc_commit_most(c->commit)); i++) {
      const fc_machine *m = fc_table_machine(t, ids->pdata[i]);
      if (!m || !m->version) continue;
      char *key = g_strconcat(FC_PREFIX_MACHINE, m->id, NULL);
      fc_write_if(w, key, m->version);
      fc_write_delete(w, key);
      g_free(key);
      n++;
    }
    ok = fc_commit_write(c->commit, w, FC_RANK_DECISION, fc_now() + 5.0, &revision) == FC_STATE_OK;
  }
  /* What is still on record is tried again: it stays marked as being returned. */
  if (ok) {
    (void)fc_wait_revision(c, revision, fc_now() + 2.0);
  } else {
    (void)fc_wait_fresh(c, fc_now() + 2.0);
  }
}

void fc_machine_begin_return(fc_machine *m, const char *why, GPtrArray *ids) {
  if (!m->releasing) g_info("return machine=%s why=%s", m->id, why);
  m->closed = m->releasing = true;
  g_ptr_array_add(ids, g_strdup(m->id));
}

/* Returns machines: closed first, so that nothing is placed on them; gone from
 * the table only after the cloud has confirmed. */
static void give_back(fc_controller *c) {
  static const char *const why[] = {"", "lost", "never_up", "idle", "faulty", "begun"};
  fc_table *t = c->table;
  double now = fc_now();
  GPtrArray *ids = g_ptr_array_new_with_free_func(g_free);
  GHashTable *surplus = NULL;
  suspicion doubts = suspect(c, now);
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, t->machines);
  while (g_hash_table_iter_next(&it, NULL, &value) && ids->len < FC_RELEASE_MOST) {
    fc_machine *m = value;
    if (m->owner != t->self || !m->version || m->writing) continue;
    fate f = fate_of(c, m, &doubts, &surplus, now);
    if (f == STAYS) continue;
    fc_machine_begin_return(m, why[f], ids);
  }
  if (ids->len > 0 && fc_cloud_turn(c) && fc_may_act(c) &&
      fc_cloud_release(c->cloud, (const char *const *)ids->pdata, ids->len, fc_now() + 4.0) == FC_CLOUD_OK)
    forget_returned(c, ids); /* if not, they are still closed: tried again */
  if (surplus) g_hash_table_destroy(surplus);
  g_ptr_array_free(ids, TRUE);
}

/* Should a listed machine be returned that no record knows? Late copies of a
 * rental leave such machines; those that come up report and get a record, the
 * others would be paid for until somebody asks. Nothing was ever started on
 * them: that takes a record. */
static bool is_stray_machine(const fc_controller *c, const fc_listed_machine *l) {
  const fc_table *t = c->table;
  const fc_machine *m = fc_table_machine(t, l->id);
  if (m && (m->version || m->reported)) return false;
  int type = fc_table_type(t, l->type);
  double boot = type >= 0 ? ((fc_machine_type *)t->types->pdata[type])->boot_s : c->settings->lease_s;
  return l->age_s > 3 * boot + 3 * c->settings->cloud_list_lag_s + c->settings->lease_s;
}

/* Walks through the cloud's list. It is late and proves nothing by what is
 * missing; it only shows machines that we do not know. */
static void sweep(fc_controller *c) {
  char *after = NULL;
  bool more = true;
  GPtrArray *stray = g_ptr_array_new_with_free_func(g_free);
  while (more && stray->len < 20 && fc_cloud_turn(c) && fc_may_act(c)) {
    GPtrArray *page = g_ptr_array_new_with_free_func(fc_listed_machine_free);
    more = false;
    fc_cloud_result r = fc_cloud_list(c->cloud, after, 500, fc_now() + 3.0, page, &more);
    /* A rental under way may be what a machine belongs to. */
    bool sure = r == FC_CLOUD_OK && g_hash_table_size(c->table->rentals) == 0;
    for (guint i = 0; i < page->len; i++) {
      const fc_listed_machine *l = page->pdata[i];
      if (sure && is_stray_machine(c, l)) g_ptr_array_add(stray, g_strdup(l->id));
      g_free(after);
      after = g_strdup(l->id);
    }
    if (r != FC_CLOUD_OK || page->len == 0) more = false;
    g_ptr_array_free(page, TRUE);
  }
  if (stray->len > 0 && fc_cloud_turn(c) && fc_may_act(c)) {
    fc_cloud_result r = fc_cloud_release(c->cloud, (const char *const *)stray->pdata, stray->len, fc_now() + 4.0);
    g_info("return stray machines count=%u first=%s result=%d", stray->len, (char *)stray->pdata[0], r);
  }
  g_ptr_array_free(stray, TRUE);
  g_free(after);
}

/* What one member does for all. */
static void rent_round(fc_controller *c, refusals *ref, double *swept_at) {
  carry_out_all(c, ref);
  if (g_hash_table_size(c->table->rentals) == 0 && fc_may_act(c)) rent(c, ref);
  carry_out_all(c, ref);
  if (fc_now() <= *swept_at + MAX(c->settings->lease_s, c->settings->cloud_list_lag_s) * 3) return;
  *swept_at = fc_now();
  if (fc_may_act(c)) sweep(c);
}

void fc_rent_main(void *arg) {
  fc_controller *c = arg;
  fc_metrics_duty(&c->metrics, FC_DUTY_RENTAL);
  double swept_at = fc_now();
  refusals ref = {.until = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free)};
  while (!fc_routine_cancelled()) {
    /* Prices move; a late one only costs money. */
    if (c->table->types->len == 0 || fc_now() > c->types_at + c->settings->lease_s * 2) read_types(c);
    if (c->table->types->len > 0 && fc_may_act(c) && fc_state_reachable(c)) {
      if (c->table->self == 0 && c->settings->op.rent) rent_round(c, &ref, &swept_at);
      if (fc_may_act(c)) give_back(c);
    }
    (void)fc_routine_sleep(c->settings->op.round_s * (c->table->types->len ? 0.5 : 0.1));
  }
  g_hash_table_destroy(ref.until);
}
