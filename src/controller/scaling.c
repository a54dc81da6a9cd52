/* The renting duty. The first member of the term rents for all parts, so that
 * requests don't race; every owner returns its own machines. */
#include <string.h>

#include "bookkeeping/cluster_machines.h"
#include "bookkeeping/reconciliation_progress.h"
#include "bookkeeping/shard_ownership.h"
#include "controller/controller.h"
#include "controller/machine_reachability.h"
#include "scheduler/scale_in.h"
#include "scheduler/scale_out.h"

typedef struct refusals {
  GHashTable *until; /* "type zone kind" -> double* */
} refusals;

static char *kind_key(const char *type, const char *zone, bool spot) {
  return g_strdup_printf("%s %s %d", type, zone, spot);
}

typedef struct refused_arg {
  const fc_cluster *table;
  refusals *refusals;
} refused_arg;

static bool is_refused(int type, const char *zone, bool spot, void *arg) {
  refused_arg *a = arg;
  const fc_machine_type *machine_type = a->table->machine_types->pdata[type];
  char *key = kind_key(machine_type->name, zone, spot);
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
bool fc_cloud_turn(fc_controller *controller) {
  double wait, others = MAX(1.0, (double)controller->settings->peer_count);
  controller->cloud_budget.per_s =
      controller->settings->cloud_rps * (controller->cluster->membership.self == 0 ? 0.5 : 0.5 / others);
  while ((wait = fc_token_bucket_wait(&controller->cloud_budget, 1, 0, fc_now())) > 0)
    if (fc_routine_sleep(wait) == FC_WAKE_CANCELLED) return false;
  return fc_token_bucket_take(&controller->cloud_budget, 1, 0, fc_now());
}

static void read_types(fc_controller *controller) {
  GPtrArray *types = g_ptr_array_new();
  if (fc_cloud_turn(controller) && fc_cloud_types(controller->cloud, fc_now() + 3.0, types) == FC_CLOUD_OK &&
      types->len > 0) {
    fc_cluster *cluster = controller->cluster;
    /* Prices change, types don't: machines refer to them by index. */
    for (guint i = 0; i < types->len; i++) {
      fc_machine_type *machine_type = types->pdata[i];
      int at = fc_cluster_find_machine_type(cluster, machine_type->name);
      if (at < 0) {
        g_ptr_array_add(cluster->machine_types, machine_type);
      } else {
        fc_machine_type_free(cluster->machine_types->pdata[at]);
        cluster->machine_types->pdata[at] = machine_type;
      }
    }
    controller->types_at = fc_now();
    fc_machine_iter machine_iter = fc_cluster_machines(cluster);
    for (fc_machine *machine; (machine = fc_machine_iter_next(&machine_iter));) {
      if (machine->type < 0) fc_cluster_locate_machine(cluster, machine);
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
static bool record_rented(fc_controller *controller, const char *name, const fc_rental_record *rental,
                          const GPtrArray *ids) {
  fc_cluster *cluster = controller->cluster;
  char *intent = g_strconcat(FC_PREFIX_RENTAL, name, NULL);
  unsigned given[FC_MEMBERS_MAX] = {0};
  uint64_t revision = 0, term = cluster->membership.term_version;
  bool ok = true;
  for (guint i = 0; i < ids->len && ok;) {
    fc_write *write = fc_write_new();
    fc_write_compare(write, FC_KEY_TERM, term);
    /* A copy that comes late finds that there is no record of a machine also when it has
     * been returned since; the intent is gone by then, for good (scene
     * writes_about_what_is_gone: a returned machine was on record again). */
    fc_write_compare(write, intent, rental->version);
    unsigned n = 0;
    for (; i < ids->len && n < fc_group_commit_max_writes(controller->commit); i++) {
      fc_machine *machine = fc_cluster_find_machine(cluster, ids->pdata[i]);
      if (machine && machine->record_version) continue; /* its worker was faster */
      fc_machine_record rec = {.spot = rental->spot};
      g_strlcpy(rec.type, rental->type, sizeof rec.type);
      g_strlcpy(rec.zone, rental->zone, sizeof rec.zone);
      bool even = fc_term_find(&cluster->membership.term, rental->owner) < 0;
      unsigned counts[FC_MEMBERS_MAX];
      memcpy(counts, given, sizeof counts);
      const char *owner =
          fc_cluster_balanced_owner(cluster, ids->pdata[i], rental->type, rental->zone, rental->spot, counts);
      int to = fc_term_find(&cluster->membership.term, owner);
      if (to >= 0) given[to] += 1000;
      g_strlcpy(rec.owner, even ? owner : rental->owner, sizeof rec.owner);
      char *key = g_strconcat(FC_PREFIX_MACHINE, (const char *)ids->pdata[i], NULL);
      fc_write_compare(write, key, 0);
      fc_write_put(write, key, fc_machine_record_encode(&rec));
      g_free(key);
      n++;
    }
    ok = fc_group_commit_write(controller->commit, write, FC_WRITE_PRIORITY_DECISION, fc_now() + 5.0, &revision) ==
         FC_KV_OK;
  }
  g_free(intent);
  /* Not all written: the intent is still there, and is repeated. */
  if (ok) return ids->len == 0 || fc_kv_watch_wait_revision(controller->watch, revision, fc_now() + 2.0);
  (void)fc_kv_watch_wait_fresh(controller->watch, fc_now() + 2.0);
  return false;
}

static bool end_rental(fc_controller *controller, const char *name) {
  char *key = g_strconcat(FC_PREFIX_RENTAL, name, NULL);
  fc_write *write = fc_write_new();
  fc_write_compare(write, FC_KEY_TERM, controller->cluster->membership.term_version);
  fc_write_delete(write, key);
  g_free(key);
  uint64_t revision = 0;
  if (fc_group_commit_write(controller->commit, write, FC_WRITE_PRIORITY_DECISION, fc_now() + 5.0, &revision) ==
      FC_KV_OK)
    return fc_kv_watch_wait_revision(controller->watch, revision, fc_now() + 2.0);
  (void)fc_kv_watch_wait_fresh(controller->watch, fc_now() + 2.0);
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
static void ask_cloud(fc_controller *controller, rental *h, refusals *ref) {
  const fc_rental_record *rental = &h->record;
  if (!fc_cloud_turn(controller) || !fc_leadership_held(controller->leadership)) return;
  fc_cloud_result res = fc_cloud_rent(controller->cloud, h->name, rental->type, rental->zone, rental->spot,
                                      rental->count, fc_now() + 4.0, h->ids);
  g_info("hire name=%s type=%s zone=%s spot=%d count=%u result=%d got=%u", h->name, rental->type, rental->zone,
         rental->spot, rental->count, res, h->ids->len);
  if (res == FC_CLOUD_NO_CAPACITY)
    note_refused(ref, rental->type, rental->zone, rental->spot, fc_now() + controller->settings->lease_s);
  if (res == FC_CLOUD_OK && h->ids->len < rental->count)
    note_refused(ref, rental->type, rental->zone, rental->spot, fc_now() + controller->settings->lease_s * 0.5);
  h->decided = res == FC_CLOUD_OK || res == FC_CLOUD_NO_CAPACITY || res == FC_CLOUD_REFUSED;
}

/* Carries out all recorded intents. All machines are asked for before the first is
 * recorded: they boot meanwhile, and their records take their time. */
static void carry_out_all(fc_controller *controller, refusals *ref) {
  GPtrArray *rentals = g_ptr_array_new_with_free_func(rental_free);
  GHashTableIter it;
  gpointer key, value;
  g_hash_table_iter_init(&it, controller->cluster->rentals);
  while (g_hash_table_iter_next(&it, &key, &value)) {
    rental *h = g_new0(rental, 1);
    h->name = g_strdup(key);
    h->record = *(const fc_rental_record *)value;
    h->ids = g_ptr_array_new_with_free_func(g_free);
    g_ptr_array_add(rentals, h);
  }
  for (guint i = 0; i < rentals->len; i++) ask_cloud(controller, rentals->pdata[i], ref);
  for (guint i = 0; i < rentals->len; i++) {
    const rental *h = rentals->pdata[i];
    if (h->decided && fc_leadership_held(controller->leadership))
      (void)(record_rented(controller, h->name, &h->record, h->ids) && end_rental(controller, h->name));
  }
  g_ptr_array_free(rentals, TRUE);
}

/* Records the intent; the cloud is asked only after that is durable. */
static bool intend(fc_controller *controller, const fc_rental_request *want, unsigned count) {
  fc_cluster *cluster = controller->cluster;
  const fc_machine_type *machine_type = cluster->machine_types->pdata[want->type];
  fc_rental_record rental = {.spot = want->spot, .count = count};
  g_strlcpy(rental.type, machine_type->name, sizeof rental.type);
  g_strlcpy(rental.zone, want->zone, sizeof rental.zone);
  g_strlcpy(rental.owner, want->owner >= 0 ? cluster->membership.term.members[want->owner].name : "*",
            sizeof rental.owner);
  /* The life's number never comes again, so neither does the name. */
  char *name = g_strdup_printf("r-%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT,
                               (guint64)fc_leadership_incarnation(controller->leadership),
                               (guint64)++controller->rental_counter);
  char *key = g_strconcat(FC_PREFIX_RENTAL, name, NULL);
  fc_write *write = fc_write_new();
  fc_write_compare(write, FC_KEY_TERM, cluster->membership.term_version);
  fc_write_compare(write, key, 0);
  fc_write_put(write, key, fc_rental_record_encode(&rental));
  uint64_t revision = 0;
  fc_kv_result result = fc_group_commit_write(controller->commit, write, FC_WRITE_PRIORITY_DECISION,
                                              fc_now() + controller->settings->lease_s * 0.5, &revision);
  g_free(name);
  g_free(key);
  return result == FC_KV_OK && fc_kv_watch_wait_revision(controller->watch, revision, fc_now() + 2.0);
}

static void rent(fc_controller *controller, refusals *ref) {
  refused_arg arg = {.table = controller->cluster, .refusals = ref};
  GArray *wants = fc_scale_out_plan(controller->cluster, is_refused, &arg, fc_now());
  for (guint i = 0; i < wants->len; i++) {
    const fc_rental_request *request = &g_array_index(wants, fc_rental_request, i);
    if (request->owner >= (int)controller->cluster->membership.term.count) break;
    if (!intend(controller, request, MIN(request->count, FC_RENTAL_MAX))) break;
  }
  g_array_free(wants, TRUE);
}

/* Has nobody else answered it since? Another member may reach it when we can't. */
static bool unkept(fc_controller *controller, const fc_machine *machine, double since) {
  if (machine->reachability.peer_bidirectional_at > since) return false;
  /* It has just come to another from us, in vain. Only its next report there shows that it
   * hears: cut off from its owner alone, a machine full of work was returned within the
   * second (scene out_of_reach). */
  if (machine->reachability.peer_unidirectional_at > machine->reachability.peer_bidirectional_at &&
      fc_now() < machine->reachability.peer_unidirectional_at + controller->settings->heartbeat_s * 2)
    return false;
  /* What the ended incarnation of another member answered last, nobody can tell us. From
   * there the worker's next report takes up to 1.25 report_s, and each member that it tries
   * in vain its patience and a second: with two of three, about its lease. A machine full of
   * work was returned as lost on that way, seconds after the member that had kept it was
   * back (scenes ten_in_two_minutes, out_of_reach). No shorter time is safe; so every member
   * asks such a machine directly, and it stays if one reaches it or has not tried. Waiting
   * for its lease instead, hung machines held a team's freed share for up to 14 s (scene
   * a_limit_and_a_cancellation). */
  if (fc_leadership_peer_left_at(controller->leadership) > since &&
      !fc_reachability_probed_in_vain(controller->cluster, controller->leadership, machine))
    return false;
  for (int i = 0; i < (int)controller->cluster->membership.term.count; i++) {
    if (i == controller->cluster->membership.self) continue;
    const fc_peer *peer = fc_peers_of_member(controller->peers, i);
    if (!peer || peer->acknowledged.renewals_known_until < fc_now() - controller->settings->heartbeat_s * 2)
      return false;
  }
  return true;
}

/* A direct start that was lost may arrive minutes later, and its task may not be
 * started elsewhere before that is ruled out; a gang not even when the attempt has
 * ended, for a copy of the start would begin it again. Returning the machine rules
 * it out; without that the job waited for ever (fault test, seeds 555 and 847). */
static bool holds_lost_start(const fc_machine *machine, double since) {
  for (guint i = 0; i < machine->placements->len; i++) {
    const fc_placement *placement = machine->placements->pdata[i];
    if (placement->start.direct != FC_DIRECT_START_UNACKNOWLEDGED || placement->created_at > since) continue;
    if (placement->stop.requested && !placement->status.reported) return true;
    if (placement->status.state == FC_TASK_EXITED && placement->job && placement->job->spec.kind == FC_JOB_GANG &&
        placement->job->phase == FC_PHASE_ACCEPTED)
      return true;
    /* What has ended is never cleared then, and the machine never empty enough to be
     * lent, while renting counted on it (fault test, seed 450: a gang waited for ever). */
    if (placement->status.state == FC_TASK_EXITED && fc_machine_vacant(machine)) return true;
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

static suspicion suspect(fc_controller *controller, double now) {
  const fc_cluster *cluster = controller->cluster;
  mute_count mine = {0, 0}, fleet = {0, 0}, zones[FC_ZONES_MAX + 1] = {{0, 0}};
  fc_machine_iter machine_iter = fc_cluster_machines(cluster);
  for (const fc_machine *machine; (machine = fc_machine_iter_next(&machine_iter));) {
    bool ours = fc_machine_owned_by_self(cluster, machine), mute = fc_machine_suspect(cluster, machine, now);
    if (!machine->record_version || !machine->announced || machine->owner < 0) continue;
    /* Of others' machines we know as much as they tell us: those of a member that is cut
     * off too once counted as well, and half a zone was returned (fleet day "zone"). */
    bool known =
        ours ? machine->agent.reported || mute
             : fc_machine_reconciled(cluster, machine) && fc_peers_member_fit(controller->peers, machine->owner);
    /* Nor do machines that we know nothing of yet speak for their zone: dealt anew as a
     * member in it was excluded, they left one old machine to judge it by, which went. */
    count_mute(&zones[machine->zone], mute || !known);
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
static fate fate_of(fc_controller *controller, fc_machine *machine, const suspicion *doubts, GHashTable **surplus,
                    double now) {
  fc_cluster *cluster = controller->cluster;
  double quiet = fc_machine_silence_timeout_s(controller->settings);
  double boot_s = machine->type >= 0 ? ((fc_machine_type *)cluster->machine_types->pdata[machine->type])->boot_s : 0;
  bool settled = fc_machine_reconciled(cluster, machine);
  /* After several leases it is not a cut any more, whoever's it was. */
  bool patient = doubts->all || doubts->zone[machine->zone];
  double after = patient ? controller->settings->lease_s * 5 : quiet;
  /* What others answer reaches us up to half a report interval later, and sent to us in
   * vain it is with nobody for a whole one more. */
  double unheard_of = quiet + controller->settings->heartbeat_s;
  if (machine->agent.reported && fc_machine_unreachable_since(machine, now - after) &&
      unkept(controller, machine, now - unheard_of))
    return LOST;
  /* One that another has answered since, or just before, was there; it gets the time that
   * it takes to come back from us and to show there that it hears. */
  bool at_once = !patient && machine->lease.peer_renewed_at <= machine->owned_since - quiet;
  if (fc_machine_never_heard(cluster, machine, now) && (at_once || now > machine->owned_since + after) &&
      unkept(controller, machine, machine->owned_since))
    return LOST;
  /* One that has an address was up: dealt anew while its zone is cut off, it says nothing
   * to its new owner, and was returned before the zone was back. */
  bool cut_off = machine->announced && patient && now <= machine->owned_since + after;
  if (!machine->agent.reported && !cut_off && boot_s > 0 &&
      now > MAX(machine->first_seen, machine->owned_since) + 3 * boot_s + controller->settings->lease_s)
    return NEVER_UP;
  if (!machine->health.faulty && holds_lost_start(machine, now - controller->settings->lease_s * 2)) {
    machine->health.faulty = true;
    fc_machine_cordon(machine);
  }
  if (machine->health.faulty && fc_machine_vacant(machine) && settled) return FAULTY;
  if (settled && machine->agent.reported && fc_machine_idle_too_long(cluster, machine, now)) {
    if (!*surplus) *surplus = fc_scale_in_surplus(cluster, now);
    if (g_hash_table_contains(*surplus, machine)) return IDLE;
  }
  /* Begun and not ended: the machine may be gone and its record still there
   * (fault test, seed 183: the record stayed for good). */
  return fc_machine_returning(machine) ? BEGUN : STAYS;
}

void fc_machines_gone(fc_controller *controller, const GPtrArray *ids) {
  fc_cluster *cluster = controller->cluster;
  for (guint i = 0; i < ids->len; i++) {
    fc_machine *machine = fc_cluster_find_machine(cluster, ids->pdata[i]);
    if (!machine || !machine->record_version) continue;
    fc_machine_remove_placements(machine);
    machine->reconciled_term = cluster->membership.term.number;
  }
  (void)fc_cluster_update_reconciled(cluster);
  fc_wakeups_raise(controller->wakeups, FC_WAKEUP_SCHEDULE);
}

/* Takes the records of machines that the cloud has confirmed gone out of the state
 * service, in as many transactions as it takes. */
static void forget_returned(fc_controller *controller, const GPtrArray *ids) {
  fc_cluster *cluster = controller->cluster;
  fc_machines_gone(controller, ids);
  uint64_t revision = 0;
  bool ok = true;
  for (guint i = 0; i < ids->len && ok;) {
    fc_write *write = fc_write_new();
    /* Who wants to record a machine that has reported names the version of this mark. */
    fc_write_put(write, FC_KEY_RETURNED, fc_mark_encode());
    for (unsigned n = 1; i < ids->len && (n == 1 || n < fc_group_commit_max_writes(controller->commit)); i++) {
      const fc_machine *machine = fc_cluster_find_machine(cluster, ids->pdata[i]);
      if (!machine || !machine->record_version) continue;
      char *key = g_strconcat(FC_PREFIX_MACHINE, machine->id, NULL);
      fc_write_compare(write, key, machine->record_version);
      fc_write_delete(write, key);
      g_free(key);
      n++;
    }
    ok = fc_group_commit_write(controller->commit, write, FC_WRITE_PRIORITY_DECISION, fc_now() + 5.0, &revision) ==
         FC_KV_OK;
  }
  /* What is still on record is tried again: it stays marked as being returned. */
  if (ok) {
    (void)fc_kv_watch_wait_revision(controller->watch, revision, fc_now() + 2.0);
  } else {
    (void)fc_kv_watch_wait_fresh(controller->watch, fc_now() + 2.0);
  }
}

void fc_machine_begin_return(fc_machine *machine, const char *why, GPtrArray *ids) {
  if (!fc_machine_returning(machine)) g_info("return machine=%s why=%s", machine->id, why);
  machine->drain.state = FC_DRAIN_RETURNING;
  g_ptr_array_add(ids, g_strdup(machine->id));
}

/* Returns machines: closed first, so that nothing is placed on them; gone from
 * the table only after the cloud has confirmed. */
static void give_back(fc_controller *controller) {
  static const char *const why[] = {"", "lost", "never_up", "idle", "faulty", "begun"};
  fc_cluster *cluster = controller->cluster;
  double now = fc_now();
  GPtrArray *ids = g_ptr_array_new_with_free_func(g_free);
  GHashTable *surplus = NULL;
  suspicion doubts = suspect(controller, now);
  fc_machine_iter machine_iter = fc_cluster_machines(cluster);
  for (fc_machine *machine; ids->len < FC_RELEASE_MAX && (machine = fc_machine_iter_next(&machine_iter));) {
    if (!fc_machine_owned_by_self(cluster, machine) || !machine->record_version || machine->record_write_pending)
      continue;
    fate f = fate_of(controller, machine, &doubts, &surplus, now);
    if (f == STAYS) continue;
    fc_machine_begin_return(machine, why[f], ids);
  }
  if (ids->len > 0 && fc_cloud_turn(controller) && fc_leadership_held(controller->leadership) &&
      fc_cloud_release(controller->cloud, (const char *const *)ids->pdata, ids->len, fc_now() + 4.0) == FC_CLOUD_OK)
    forget_returned(controller, ids); /* if not, they are still closed: tried again */
  if (surplus) g_hash_table_destroy(surplus);
  g_ptr_array_free(ids, TRUE);
}

/* Should a listed machine be returned that no record knows? Late copies of a
 * rental leave such machines; those that come up report and get a record, the
 * others would be paid for until somebody asks. Nothing was ever started on
 * them: that takes a record. */
static bool is_stray_machine(const fc_controller *controller, const fc_listed_machine *listed) {
  const fc_cluster *cluster = controller->cluster;
  const fc_machine *machine = fc_cluster_find_machine(cluster, listed->id);
  if (machine && (machine->record_version || machine->agent.reported)) return false;
  int type = fc_cluster_find_machine_type(cluster, listed->type);
  double boot =
      type >= 0 ? ((fc_machine_type *)cluster->machine_types->pdata[type])->boot_s : controller->settings->lease_s;
  return listed->age_s > 3 * boot + 3 * controller->settings->cloud_list_lag_s + controller->settings->lease_s;
}

/* Walks through the cloud's list. It is late and proves nothing by what is
 * missing; it only shows machines that we do not know. */
static void sweep(fc_controller *controller) {
  char *after = NULL;
  bool more = true;
  GPtrArray *stray = g_ptr_array_new_with_free_func(g_free);
  while (more && stray->len < 20 && fc_cloud_turn(controller) && fc_leadership_held(controller->leadership)) {
    GPtrArray *page = g_ptr_array_new_with_free_func(fc_listed_machine_free);
    more = false;
    fc_cloud_result result = fc_cloud_list(controller->cloud, after, 500, fc_now() + 3.0, page, &more);
    /* A rental under way may be what a machine belongs to. */
    bool sure = result == FC_CLOUD_OK && g_hash_table_size(controller->cluster->rentals) == 0;
    for (guint i = 0; i < page->len; i++) {
      const fc_listed_machine *listed = page->pdata[i];
      if (sure && is_stray_machine(controller, listed)) g_ptr_array_add(stray, g_strdup(listed->id));
      g_free(after);
      after = g_strdup(listed->id);
    }
    if (result != FC_CLOUD_OK || page->len == 0) more = false;
    g_ptr_array_free(page, TRUE);
  }
  if (stray->len > 0 && fc_cloud_turn(controller) && fc_leadership_held(controller->leadership)) {
    fc_cloud_result result =
        fc_cloud_release(controller->cloud, (const char *const *)stray->pdata, stray->len, fc_now() + 4.0);
    g_info("return stray machines count=%u first=%s result=%d", stray->len, (char *)stray->pdata[0], result);
  }
  g_ptr_array_free(stray, TRUE);
  g_free(after);
}

/* What one member does for all. */
static void rent_round(fc_controller *controller, refusals *ref, double *swept_at) {
  carry_out_all(controller, ref);
  if (g_hash_table_size(controller->cluster->rentals) == 0 && fc_leadership_held(controller->leadership))
    rent(controller, ref);
  carry_out_all(controller, ref);
  if (fc_now() <= *swept_at + MAX(controller->settings->lease_s, controller->settings->cloud_list_lag_s) * 3) return;
  *swept_at = fc_now();
  if (fc_leadership_held(controller->leadership)) sweep(controller);
}

void fc_rent_main(void *arg) {
  fc_controller *controller = arg;
  fc_metrics_enter_duty(controller->metrics, FC_DUTY_RENTAL);
  double swept_at = fc_now();
  refusals ref = {.until = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free)};
  while (!fc_routine_cancelled()) {
    /* Prices move; a late one only costs money. */
    if (controller->cluster->machine_types->len == 0 ||
        fc_now() > controller->types_at + controller->settings->lease_s * 2)
      read_types(controller);
    if (controller->cluster->machine_types->len > 0 && fc_leadership_held(controller->leadership) &&
        fc_cluster_store_reachable(controller->cluster, fc_now())) {
      if (controller->cluster->membership.self == 0 && controller->settings->op.rent)
        rent_round(controller, &ref, &swept_at);
      if (fc_leadership_held(controller->leadership)) give_back(controller);
    }
    (void)fc_routine_sleep(controller->settings->op.round_s * (controller->cluster->machine_types->len ? 0.5 : 0.1));
  }
  g_hash_table_destroy(ref.until);
}
