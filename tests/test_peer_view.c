/* Tests of views between controllers: complete ones, changes, pieces, and the interval between them. */
#include "fixture.h"

#include "bookkeeping/cluster_machines.h"
#include "bookkeeping/shard_ownership.h"
#include "controller/peer_view.h"

static const fc_term k_term = {.number = 5, .seed = 1, .members = {{"paddock-0", 1}, {"paddock-1", 2}}, .count = 2};

typedef struct view_controller {
  fc_settings settings;
  fc_cluster *cluster;
  fc_metrics *metrics;
  fc_wakeups *wakeups;
  fc_leadership *leadership;
  fc_peers *peers;
  fc_cancellations *cancellations;
  fc_group_commit *commit;
  fc_peer_views *views;
} view_controller;

static const fc_group_commit_limits k_limits = {
    .txn_ops = 8, .writes_per_s = 10, .min_writes_per_s = 10, .requests_per_s = 10, .response_timeout_s = 1};

/* One of two controllers in term 5; its only peer is the other. The caller frees it. */
static view_controller *controller_new(const char *name, const char *other, uint64_t incarnation) {
  view_controller *controller = g_new0(view_controller, 1);
  controller->settings = fixture_settings();
  controller->settings.name = (char *)name;
  controller->settings.peer_count = 1;
  controller->settings.peers[0].name = (char *)other;
  controller->cluster = fixture_cluster(&controller->settings);
  controller->metrics = fc_metrics_new();
  controller->wakeups = fc_wakeups_new();
  controller->leadership = fc_leadership_new(controller->cluster);
  controller->peers = fc_peers_new(controller->cluster);
  controller->cancellations = fc_cancellations_new(controller->cluster, controller->wakeups);
  fc_group_commit_limits limits = k_limits;
  limits.value_limit = &controller->cluster->value_limit;
  controller->commit = fc_group_commit_new(NULL, &limits);
  controller->views =
      fc_peer_views_new(controller->cluster, controller->leadership, controller->peers, controller->cancellations,
                        controller->commit, controller->wakeups, controller->metrics);
  fc_cluster_apply_term(controller->cluster, &k_term, 9, false, 0);
  fc_leadership_set_incarnation(controller->leadership, incarnation);
  return controller;
}

static void controller_free(view_controller *controller) {
  fc_peer_views_free(controller->views);
  g_free(controller->commit);
  fc_cancellations_free(controller->cancellations);
  fc_peers_free(controller->peers);
  fc_leadership_free(controller->leadership);
  fc_wakeups_free(controller->wakeups);
  fc_metrics_free(controller->metrics);
  fc_cluster_free(controller->cluster);
  g_free(controller);
}

static fc_peer *only_peer(view_controller *controller) {
  return fc_peers_at(controller->peers, 0);
}

/* Adds the same machines to both controllers, all owned by the sender. Only the sender has the `tasks`
 * tasks on each. */
static void add_machines(view_controller *sender, view_controller *receiver, unsigned machines, unsigned tasks) {
  for (unsigned i = 0; i < machines; i++) {
    char id[32], job[32];
    g_snprintf(id, sizeof id, "vm-%06u", i);
    g_snprintf(job, sizeof job, "job-%06u", i);
    fc_machine *machine = fixture_machine(sender->cluster, id, i % 2 ? "a" : "b", false);
    fc_machine *copy = fixture_machine(receiver->cluster, id, i % 2 ? "a" : "b", false);
    copy->reconciled_term = 0;
    for (unsigned k = 0; k < tasks; k++)
      fc_cluster_add_placement(sender->cluster, machine, job, k, fc_attempt(5, i * tasks + k), 1)->status.state =
          FC_TASK_RUNNING;
  }
}

/* Adds a cancellation, and checks that it was new to the controller. */
static void learn_cancellation(view_controller *controller, const char *job, uint64_t revision) {
  size_t before, after;
  fc_frame_cancellation *list;
  assert_true(fc_cancellations_since(controller->cancellations, 0, &list, &before));
  g_free(list);
  fc_cancellations_learned(controller->cancellations, job, revision, 0);
  assert_true(fc_cancellations_since(controller->cancellations, 0, &list, &after));
  g_free(list);
  assert_int_equal(after, before + 1);
}

/* The bodies of the frames of the next view, which the caller frees. */
static GPtrArray *encode_view(view_controller *from, uint64_t sequence) {
  GByteArray *out = g_byte_array_new();
  fc_peer_views_encode(from->views, only_peer(from), sequence, out);
  GPtrArray *frames = g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
  for (guint at = 0; at < out->len;) {
    fc_frame_type type;
    uint32_t len;
    assert_true(fc_frame_head_decode(out->data + at, &type, &len));
    g_ptr_array_add(frames, g_bytes_new(out->data + at + FC_FRAME_HEAD_BYTES, len));
    at += FC_FRAME_HEAD_BYTES + len;
  }
  g_byte_array_free(out, TRUE);
  return frames;
}

static fc_view_result deliver(view_controller *to, const GPtrArray *frames, guint piece) {
  gsize len;
  const uint8_t *bytes = g_bytes_get_data(frames->pdata[piece], &len);
  fc_view view;
  assert_true(fc_view_decode(bytes, len, &view));
  fc_view_result result = fc_peer_views_apply(to->views, &view);
  fc_view_clear(&view);
  return result;
}

/* Records at the sender that the peer acknowledged the view, having read the store up to the revision. */
static void acknowledge(view_controller *from, uint64_t sequence, uint64_t revision) {
  only_peer(from)->acknowledged.sequence = sequence;
  only_peer(from)->acknowledged.view_number = from->cluster->view_number;
  only_peer(from)->acknowledged.revision = revision;
}

static unsigned count_placements(const view_controller *controller) {
  unsigned count = 0;
  fc_machine_iter machine_iter = fc_cluster_machines(controller->cluster);
  for (const fc_machine *machine; (machine = fc_machine_iter_next(&machine_iter));) count += machine->placements->len;
  return count;
}

/* Every machine of a controller arrives, in pieces of bounded size, and the next view contains only
 * changes. The sizes go up to three times the machines of a deployment. */
static void whole_fleet_is_replicated(void **state) {
  (void)state;
  static const unsigned sizes[] = {0, 1, 2150, 4300};
  for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
    view_controller *sender = controller_new("paddock-0", "paddock-1", 1);
    view_controller *receiver = controller_new("paddock-1", "paddock-0", 2);
    add_machines(sender, receiver, sizes[i], 4);
    GPtrArray *whole = encode_view(sender, 1);
    size_t bytes = 0;
    for (guint k = 0; k < whole->len; k++) {
      bytes += g_bytes_get_size(whole->pdata[k]);
      assert_true(g_bytes_get_size(whole->pdata[k]) < 2 * FC_PIECE_BYTES);
      assert_int_equal(deliver(receiver, whole, k), FC_VIEW_APPLIED);
    }
    assert_true(whole->len >= bytes / (2 * FC_PIECE_BYTES));
    assert_int_equal(count_placements(receiver), sizes[i] * 4);
    assert_int_equal(only_peer(receiver)->received.sequence, 1);
    g_ptr_array_free(whole, TRUE);
    acknowledge(sender, 1, 100);
    uint64_t sent = sender->metrics->counters.machines_sent;
    assert_int_equal(sent, sizes[i]);
    fc_machine *machine = fc_cluster_find_machine(sender->cluster, "vm-000000");
    if (machine) ((fc_placement *)machine->placements->pdata[0])->status.state = FC_TASK_SAVING;
    GPtrArray *changes = encode_view(sender, 2);
    assert_int_equal(changes->len, 1);
    assert_int_equal(sender->metrics->counters.machines_sent - sent, machine ? 1 : 0);
    assert_int_equal(deliver(receiver, changes, 0), FC_VIEW_APPLIED);
    if (machine) {
      const fc_machine *copy = fc_cluster_find_machine(receiver->cluster, "vm-000000");
      assert_int_equal(((fc_placement *)copy->placements->pdata[0])->status.state, FC_TASK_SAVING);
    }
    g_ptr_array_free(changes, TRUE);
    controller_free(sender);
    controller_free(receiver);
  }
}

/* The three pieces of view 2 arrive in various orders after view 1 has been applied. */
static void pieces_lost_repeated_or_reordered(void **state) {
  (void)state;
  static const struct {
    const char *name, *order;
    fc_view_result last;
    bool applied; /* view 2 as a whole */
  } rows[] = {
      {"in order", "012", FC_VIEW_APPLIED, true},
      {"one is lost", "02", FC_VIEW_OUT_OF_ORDER, false},
      {"the first is lost", "12", FC_VIEW_OUT_OF_ORDER, false},
      {"one is repeated", "0112", FC_VIEW_OUT_OF_ORDER, false},
      {"the first is repeated", "00", FC_VIEW_OUT_OF_ORDER, false},
      {"two are reordered", "021", FC_VIEW_OUT_OF_ORDER, false},
      {"the last is lost", "01", FC_VIEW_APPLIED, false},
      {"all, then the first again", "0120", FC_VIEW_OUT_OF_ORDER, true},
      {"a piece of the previous view", "x", FC_VIEW_OUT_OF_ORDER, false},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    view_controller *sender = controller_new("paddock-0", "paddock-1", 1);
    view_controller *receiver = controller_new("paddock-1", "paddock-0", 2);
    add_machines(sender, receiver, 1500, 4);
    GPtrArray *first = encode_view(sender, 1), *second = encode_view(sender, 2);
    assert_int_equal(second->len, 3);
    for (guint k = 0; k < 3; k++) assert_int_equal(deliver(receiver, first, k), FC_VIEW_APPLIED);
    fc_view_result result = FC_VIEW_IGNORED;
    bool closed = false;
    for (const char *piece = rows[i].order; *piece && !closed; piece++) {
      result = *piece == 'x' ? deliver(receiver, first, 0) : deliver(receiver, second, (guint)(*piece - '0'));
      closed = result == FC_VIEW_OUT_OF_ORDER;
    }
    check_row(rows[i].name, result == rows[i].last);
    check_row(rows[i].name, (only_peer(receiver)->received.sequence == 2) == rows[i].applied);
    g_ptr_array_free(first, TRUE);
    g_ptr_array_free(second, TRUE);
    controller_free(sender);
    controller_free(receiver);
  }
}

/* Changes apply only to the view that they were computed against. */
static void changes_apply_to_their_base_only(void **state) {
  (void)state;
  static const struct {
    const char *name;
    bool other_incarnation, other_term, base_lost, owner_unknown;
    fc_view_result result;
  } rows[] = {
      {"on its base", false, false, false, false, FC_VIEW_APPLIED},
      {"the sender has a new incarnation", true, false, false, false, FC_VIEW_IGNORED},
      {"of an earlier term", false, true, false, false, FC_VIEW_IGNORED},
      {"the receiver lacks the base", false, false, true, false, FC_VIEW_IGNORED},
      {"the receiver did not know the machine's owner", false, false, false, true, FC_VIEW_APPLIED},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    view_controller *sender = controller_new("paddock-0", "paddock-1", 1);
    view_controller *receiver = controller_new("paddock-1", "paddock-0", 2);
    add_machines(sender, receiver, 10, 1);
    GPtrArray *first = encode_view(sender, 1);
    fc_machine *known = fc_cluster_find_machine(receiver->cluster, "vm-000003");
    if (rows[i].owner_unknown) known->owner = 1;
    if (!rows[i].base_lost) assert_int_equal(deliver(receiver, first, 0), FC_VIEW_APPLIED);
    fc_machine *machine = fc_cluster_find_machine(sender->cluster, "vm-000003");
    machine->record_version = 50;
    acknowledge(sender, 1, rows[i].owner_unknown ? 49 : 50);
    if (!rows[i].owner_unknown) fc_placement_remove(machine->placements->pdata[0]);
    known->owner = 0;
    GPtrArray *second = encode_view(sender, 2);
    fc_term next = k_term;
    if (rows[i].other_incarnation) next.members[0].incarnation = 7;
    if (rows[i].other_term) next.number++;
    if (rows[i].other_incarnation || rows[i].other_term) fc_cluster_apply_term(receiver->cluster, &next, 10, true, 2);
    check_row(rows[i].name, deliver(receiver, second, 0) == rows[i].result);
    if (rows[i].result == FC_VIEW_APPLIED) {
      check_row(rows[i].name, known->placements->len == (rows[i].owner_unknown ? 1 : 0));
      check_row(rows[i].name, count_placements(receiver) == (rows[i].owner_unknown ? 10 : 9));
    }
    g_ptr_array_free(first, TRUE);
    g_ptr_array_free(second, TRUE);
    controller_free(sender);
    controller_free(receiver);
  }
}

/* A machine with more tasks than a heartbeat may list is sent as not reconciled and without tasks,
 * which does not affect the rest of the view. */
static void tasks_of_a_machine_at_the_limit(void **state) {
  (void)state;
  static const struct {
    const char *name;
    unsigned tasks;
    bool sent;
  } rows[] = {
      {"one under", FC_FRAME_TASKS_MAX - 1, true},
      {"at the limit", FC_FRAME_TASKS_MAX, true},
      {"one over", FC_FRAME_TASKS_MAX + 1, false},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    view_controller *sender = controller_new("paddock-0", "paddock-1", 1);
    view_controller *receiver = controller_new("paddock-1", "paddock-0", 2);
    add_machines(sender, receiver, 2, 1);
    fc_machine *machine = fc_cluster_find_machine(sender->cluster, "vm-000000");
    for (unsigned k = 1; k < rows[i].tasks; k++)
      fc_cluster_add_placement(sender->cluster, machine, "job-000000", k, fc_attempt(5, 100 + k), 1)->status.state =
          FC_TASK_RUNNING;
    GPtrArray *frames = encode_view(sender, 1);
    for (guint k = 0; k < frames->len; k++) check_row(rows[i].name, deliver(receiver, frames, k) == FC_VIEW_APPLIED);
    check_row(rows[i].name, count_placements(receiver) == (rows[i].sent ? rows[i].tasks + 1 : 1));
    check_row(rows[i].name,
              (fc_cluster_find_machine(receiver->cluster, "vm-000000")->reconciled_term == 5) == rows[i].sent);
    g_ptr_array_free(frames, TRUE);
    controller_free(sender);
    controller_free(receiver);
  }
}

/* The first piece of a view carries the cancellations that the peer has not read. */
static void cancellations_not_read_by_the_peer(void **state) {
  (void)state;
  static const struct {
    const char *name;
    uint64_t read;
    size_t sent;
  } rows[] = {{"has read nothing", 0, 2}, {"has read the first", 20, 1}, {"has read both", 21, 0}};
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    view_controller *sender = controller_new("paddock-0", "paddock-1", 1);
    view_controller *receiver = controller_new("paddock-1", "paddock-0", 2);
    add_machines(sender, receiver, 2000, 3);
    learn_cancellation(sender, "job-000020", 20);
    learn_cancellation(sender, "job-000021", 21);
    only_peer(sender)->revision = rows[i].read;
    GPtrArray *frames = encode_view(sender, 1);
    assert_true(frames->len > 1);
    for (guint k = 0; k < frames->len; k++) {
      gsize len;
      const uint8_t *bytes = g_bytes_get_data(frames->pdata[k], &len);
      fc_view view;
      assert_true(fc_view_decode(bytes, len, &view));
      check_row(rows[i].name, view.cancellation_count == (k == 0 ? rows[i].sent : 0));
      if (view.cancellation_count)
        check_row(rows[i].name, view.cancellations[view.cancellation_count - 1].revision == 21);
      fc_view_clear(&view);
    }
    g_ptr_array_free(frames, TRUE);
    controller_free(sender);
    controller_free(receiver);
  }
}

/* Views are sent between two and a half and ten times per heartbeat interval: less often with a lower
 * CPU limit, more peers or a longer lag of the event loop. */
static void min_interval_depends_on_cpu_limit(void **state) {
  (void)state;
  static const struct {
    const char *name;
    double cpu;
    size_t peers;
    double lag_s;
    double least, most; /* in heartbeat intervals */
  } rows[] = {
      {"a whole core", 1, 2, 0, 0.1, 0.1},
      {"a twelfth of one", 0.08, 2, 0, 0.1, 0.1},
      {"a fortieth", 0.024, 2, 0, 0.12, 0.2},
      {"a fortieth, more peers", 0.024, 4, 0, 0.2, 0.4},
      {"a hundredth", 0.01, 2, 0, 0.4, 0.4},
      {"a whole core, a little behind", 1, 2, 0.01, 0.1, 0.1},
      {"a whole core, behind", 1, 2, 0.1, 0.19, 0.21},
      {"a whole core, far behind", 1, 2, 5, 0.4, 0.4},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    fc_settings settings = fixture_settings();
    settings.cpu = rows[i].cpu;
    settings.peer_count = rows[i].peers;
    double interval = fc_peer_view_min_interval_s(&settings, rows[i].lag_s) / settings.heartbeat_s;
    check_row(rows[i].name, interval >= rows[i].least - 1e-9 && interval <= rows[i].most + 1e-9);
  }
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(whole_fleet_is_replicated),          cmocka_unit_test(pieces_lost_repeated_or_reordered),
      cmocka_unit_test(changes_apply_to_their_base_only),   cmocka_unit_test(tasks_of_a_machine_at_the_limit),
      cmocka_unit_test(cancellations_not_read_by_the_peer), cmocka_unit_test(min_interval_depends_on_cpu_limit),
  };
  return cmocka_run_group_tests(tests, NULL, NULL);
}
