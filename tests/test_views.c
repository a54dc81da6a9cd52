/* Views between controllers: whole, by what changed, in pieces; no network. */
#include "check.h"

#include "bookkeeping/cluster_machines.h"
#include "bookkeeping/shard_ownership.h"
#include "controller/kv_watch.h"
#include "controller/peer_view.h"
#include "fixture.h"

static const fc_term k_term = {.number = 5, .seed = 1, .members = {{"paddock-0", 1}, {"paddock-1", 2}}, .count = 2};

typedef struct side {
  fc_settings settings;
  fc_cluster *cluster;
  fc_metrics *metrics;
  fc_wakeups *wakeups;
  fc_leadership *leadership;
  fc_peers *peers;
  fc_cancellations *cancellations;
  fc_group_commit *commit;
  fc_peer_views *views;
} side;

/* One of two controllers in term 5; its only peer is the other. */
static const fc_group_commit_limits k_limits = {.txn_ops = 8,
                                                .value_bytes = 8192,
                                                .writes_per_s = 10,
                                                .min_writes_per_s = 10,
                                                .requests_per_s = 10,
                                                .response_timeout_s = 1};

static side *side_new(const char *name, const char *other, uint64_t boot) {
  side *s = g_new0(side, 1);
  s->settings = fixture_settings();
  s->settings.name = (char *)name;
  s->settings.peer_count = 1;
  s->settings.peers[0].name = (char *)other;
  s->cluster = fixture_cluster(&s->settings);
  s->metrics = fc_metrics_new();
  s->wakeups = fc_wakeups_new();
  s->leadership = fc_leadership_new(s->cluster);
  s->peers = fc_peers_new(s->cluster, s->leadership);
  s->cancellations = fc_cancellations_new(s->cluster, s->wakeups);
  s->commit = fc_group_commit_new(NULL, &k_limits);
  s->views =
      fc_peer_views_new(s->cluster, s->leadership, s->peers, s->cancellations, s->commit, s->wakeups, s->metrics);
  fc_cluster_apply_term(s->cluster, &k_term, 9, false, 0);
  fc_leadership_set_incarnation(s->leadership, boot);
  return s;
}

static void side_free(side *s) {
  fc_peer_views_free(s->views);
  g_free(s->commit);
  fc_cancellations_free(s->cancellations);
  fc_peers_free(s->peers);
  fc_leadership_free(s->leadership);
  fc_wakeups_free(s->wakeups);
  fc_metrics_free(s->metrics);
  fc_cluster_free(s->cluster);
  g_free(s);
}

static fc_peer *only_peer(side *s) {
  return fc_peers_at(s->peers, 0);
}

/* The same machines and jobs on both sides, all of paddock-0, `tasks` on each. */
static void fill(side *a, side *b, unsigned machines, unsigned tasks) {
  for (unsigned i = 0; i < machines; i++) {
    char id[32], job[32];
    g_snprintf(id, sizeof id, "vm-%06u", i);
    g_snprintf(job, sizeof job, "job-%06u", i);
    fc_machine *machine = fixture_machine(a->cluster, id, i % 2 ? "a" : "b", false);
    fc_machine *n = fixture_machine(b->cluster, id, i % 2 ? "a" : "b", false);
    n->reconciled_term = 0;
    for (unsigned k = 0; k < tasks; k++)
      fc_cluster_add_placement(a->cluster, machine, job, k, fc_attempt(5, i * tasks + k), 1)->status.state =
          FC_TASK_RUNNING;
  }
}

/* The side learns of a cancellation that it has not heard of before. */
static void learn(side *s, const char *job, uint64_t revision) {
  size_t before, after;
  fc_frame_cancellation *list;
  assert_true(fc_cancellations_since(s->cancellations, 0, &list, &before));
  g_free(list);
  fc_cancellations_learned(s->cancellations, job, revision, 0);
  assert_true(fc_cancellations_since(s->cancellations, 0, &list, &after));
  g_free(list);
  assert_int_equal(after, before + 1);
}

static GPtrArray *frames_of(side *from, uint64_t seq) {
  GByteArray *out = g_byte_array_new();
  fc_peer_views_encode(from->views, only_peer(from), seq, out);
  GPtrArray *frames = g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
  for (guint at = 0; at < out->len;) {
    fc_frame_type type;
    uint32_t len;
    assert_true(fc_frame_head(out->data + at, &type, &len));
    g_ptr_array_add(frames, g_bytes_new(out->data + at + FC_FRAME_HEAD, len));
    at += FC_FRAME_HEAD + len;
  }
  g_byte_array_free(out, TRUE);
  return frames;
}

static fc_view_result deliver(side *to, const GPtrArray *frames, guint piece) {
  gsize len;
  const uint8_t *p = g_bytes_get_data(frames->pdata[piece], &len);
  fc_view view;
  assert_true(fc_view_decode(p, len, &view));
  fc_view_result fate = fc_peer_views_apply(to->views, &view);
  fc_view_clear(&view);
  return fate;
}

/* The sender learns that the view was applied, at this state of the other's table. */
static void acked(side *from, uint64_t seq, uint64_t revision) {
  only_peer(from)->acknowledged.sequence = seq;
  only_peer(from)->acknowledged.view = from->cluster->view_number;
  only_peer(from)->acknowledged.revision = revision;
}

static unsigned held(const side *s) {
  unsigned n = 0;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, s->cluster->machines);
  while (g_hash_table_iter_next(&it, NULL, &value)) n += ((fc_machine *)value)->placements->len;
  return n;
}

/* A whole fleet at one controller, at half as many machines again as a deployment has
 * and at twice that: every machine arrives, in pieces that stay small, and afterwards
 * only what changed is told, whatever the size. */
static void a_whole_fleet_travels(void **state) {
  (void)state;
  static const unsigned sizes[] = {0, 1, 2150, 4300};
  for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
    side *a = side_new("paddock-0", "paddock-1", 1), *b = side_new("paddock-1", "paddock-0", 2);
    fill(a, b, sizes[i], 4);
    GPtrArray *whole = frames_of(a, 1);
    size_t bytes = 0;
    for (guint k = 0; k < whole->len; k++) {
      bytes += g_bytes_get_size(whole->pdata[k]);
      assert_true(g_bytes_get_size(whole->pdata[k]) < 2 * FC_PIECE_BYTES);
      assert_int_equal(deliver(b, whole, k), FC_VIEW_APPLIED);
    }
    assert_true(whole->len >= bytes / (2 * FC_PIECE_BYTES));
    assert_int_equal(held(b), sizes[i] * 4);
    assert_int_equal(only_peer(b)->received.sequence, 1);
    g_ptr_array_free(whole, TRUE);
    acked(a, 1, 100);
    uint64_t told = a->metrics->counters.machines_sent;
    assert_int_equal(told, sizes[i]);
    fc_machine *machine = fc_cluster_find_machine(a->cluster, "vm-000000");
    if (machine) ((fc_placement *)machine->placements->pdata[0])->status.state = FC_TASK_SAVING;
    GPtrArray *news = frames_of(a, 2);
    assert_int_equal(news->len, 1);
    assert_int_equal(a->metrics->counters.machines_sent - told, machine ? 1 : 0);
    assert_int_equal(deliver(b, news, 0), FC_VIEW_APPLIED);
    if (machine) {
      const fc_machine *n = fc_cluster_find_machine(b->cluster, "vm-000000");
      assert_int_equal(((fc_placement *)n->placements->pdata[0])->status.state, FC_TASK_SAVING);
    }
    g_ptr_array_free(news, TRUE);
    side_free(a);
    side_free(b);
  }
}

/* Pieces of view 2 (three of them) on top of view 1. */
static void pieces_out_of_order(void **state) {
  (void)state;
  static const struct {
    const char *name, *order;
    fc_view_result last;
    bool holds; /* the receiver holds view 2 afterwards */
  } rows[] = {
      {"in order", "012", FC_VIEW_APPLIED, true},
      {"one is lost", "02", FC_VIEW_BROKEN, false},
      {"the first is lost", "12", FC_VIEW_BROKEN, false},
      {"one comes twice", "0112", FC_VIEW_BROKEN, false},
      {"the first comes twice", "00", FC_VIEW_BROKEN, false},
      {"two change places", "021", FC_VIEW_BROKEN, false},
      {"the last does not come", "01", FC_VIEW_APPLIED, false},
      {"the whole again, later", "0120", FC_VIEW_BROKEN, true},
      {"a copy of the view before", "x", FC_VIEW_BROKEN, false},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    side *a = side_new("paddock-0", "paddock-1", 1), *b = side_new("paddock-1", "paddock-0", 2);
    fill(a, b, 1500, 4);
    GPtrArray *first = frames_of(a, 1), *second = frames_of(a, 2);
    assert_int_equal(second->len, 3);
    for (guint k = 0; k < 3; k++) assert_int_equal(deliver(b, first, k), FC_VIEW_APPLIED);
    fc_view_result fate = FC_VIEW_IGNORED;
    bool closed = false;
    for (const char *p = rows[i].order; *p && !closed; p++) {
      fate = *p == 'x' ? deliver(b, first, 0) : deliver(b, second, (guint)(*p - '0'));
      closed = fate == FC_VIEW_BROKEN;
    }
    check_row(rows[i].name, fate == rows[i].last);
    check_row(rows[i].name, (only_peer(b)->received.sequence == 2) == rows[i].holds);
    g_ptr_array_free(first, TRUE);
    g_ptr_array_free(second, TRUE);
    side_free(a);
    side_free(b);
  }
}

/* What changed counts only on the view it was made for. */
static void what_changed_needs_its_base(void **state) {
  (void)state;
  static const struct {
    const char *name;
    bool other_life, other_term, missed, knows_late;
    fc_view_result fate;
  } rows[] = {
      {"on its base", false, false, false, false, FC_VIEW_APPLIED},
      {"the sender has begun anew", true, false, false, false, FC_VIEW_IGNORED},
      {"of the term before", false, true, false, false, FC_VIEW_IGNORED},
      {"the receiver has not got the base", false, false, true, false, FC_VIEW_IGNORED},
      {"the machine was not known to be theirs", false, false, false, true, FC_VIEW_APPLIED},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    side *a = side_new("paddock-0", "paddock-1", 1), *b = side_new("paddock-1", "paddock-0", 2);
    fill(a, b, 10, 1);
    GPtrArray *first = frames_of(a, 1);
    fc_machine *known = fc_cluster_find_machine(b->cluster, "vm-000003");
    if (rows[i].knows_late) known->owner = 1;
    if (!rows[i].missed) assert_int_equal(deliver(b, first, 0), FC_VIEW_APPLIED);
    fc_machine *machine = fc_cluster_find_machine(a->cluster, "vm-000003");
    machine->record_version = 50;
    acked(a, 1, rows[i].knows_late ? 49 : 50);
    if (!rows[i].knows_late) fc_placement_remove(machine->placements->pdata[0]);
    known->owner = 0;
    GPtrArray *second = frames_of(a, 2);
    fc_term next = k_term;
    if (rows[i].other_life) next.members[0].incarnation = 7;
    if (rows[i].other_term) next.number++;
    if (rows[i].other_life || rows[i].other_term) fc_cluster_apply_term(b->cluster, &next, 10, true, 2);
    check_row(rows[i].name, deliver(b, second, 0) == rows[i].fate);
    if (rows[i].fate == FC_VIEW_APPLIED) {
      check_row(rows[i].name, known->placements->len == (rows[i].knows_late ? 1 : 0));
      check_row(rows[i].name, held(b) == (rows[i].knows_late ? 10 : 9));
    }
    g_ptr_array_free(first, TRUE);
    g_ptr_array_free(second, TRUE);
    side_free(a);
    side_free(b);
  }
}

/* As many tasks as a report may name are told; more make the machine one that
 * nothing is known of, and the rest of the view is told all the same. */
static void tasks_at_the_bound(void **state) {
  (void)state;
  static const struct {
    const char *name;
    unsigned tasks;
    bool told;
  } rows[] = {
      {"one under", FC_FRAME_TASKS_MAX - 1, true},
      {"at the bound", FC_FRAME_TASKS_MAX, true},
      {"one over", FC_FRAME_TASKS_MAX + 1, false},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    side *a = side_new("paddock-0", "paddock-1", 1), *b = side_new("paddock-1", "paddock-0", 2);
    fill(a, b, 2, 1);
    fc_machine *machine = fc_cluster_find_machine(a->cluster, "vm-000000");
    for (unsigned k = 1; k < rows[i].tasks; k++)
      fc_cluster_add_placement(a->cluster, machine, "job-000000", k, fc_attempt(5, 100 + k), 1)->status.state =
          FC_TASK_RUNNING;
    GPtrArray *frames = frames_of(a, 1);
    for (guint k = 0; k < frames->len; k++) check_row(rows[i].name, deliver(b, frames, k) == FC_VIEW_APPLIED);
    check_row(rows[i].name, held(b) == (rows[i].told ? rows[i].tasks + 1 : 1));
    check_row(rows[i].name, (fc_cluster_find_machine(b->cluster, "vm-000000")->reconciled_term == 5) == rows[i].told);
    g_ptr_array_free(frames, TRUE);
    side_free(a);
    side_free(b);
  }
}

/* A peer is told the cancellations that it has not read, once a view, whatever pieces
 * the view goes in; what it has read it is not told. */
static void cancellations_travel(void **state) {
  (void)state;
  static const struct {
    const char *name;
    uint64_t read;
    size_t told;
  } rows[] = {{"has read nothing", 0, 2}, {"has read the first", 20, 1}, {"has read both", 21, 0}};
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    side *a = side_new("paddock-0", "paddock-1", 1), *b = side_new("paddock-1", "paddock-0", 2);
    fill(a, b, 2000, 3);
    learn(a, "job-000020", 20);
    learn(a, "job-000021", 21);
    only_peer(a)->revision = rows[i].read;
    GPtrArray *frames = frames_of(a, 1);
    assert_true(frames->len > 1);
    for (guint k = 0; k < frames->len; k++) {
      gsize len;
      const uint8_t *p = g_bytes_get_data(frames->pdata[k], &len);
      fc_view view;
      assert_true(fc_view_decode(p, len, &view));
      check_row(rows[i].name, view.cancellation_count == (k == 0 ? rows[i].told : 0));
      if (view.cancellation_count)
        check_row(rows[i].name, view.cancellations[view.cancellation_count - 1].revision == 21);
      fc_view_clear(&view);
    }
    g_ptr_array_free(frames, TRUE);
    side_free(a);
    side_free(b);
  }
}

/* How often peers are told of changes follows the processor there is and how far behind we
 * are, between ten times and two and a half times in a report interval. */
static void spacing_follows_the_processor(void **state) {
  (void)state;
  static const struct {
    const char *name;
    double cpu;
    size_t peers;
    double lag_s;
    double least, most; /* of report_s */
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
    double spacing = fc_peer_view_spacing_s(&settings, rows[i].lag_s) / settings.heartbeat_s;
    check_row(rows[i].name, spacing >= rows[i].least - 1e-9 && spacing <= rows[i].most + 1e-9);
  }
}

/* A start reads in pages that the processor parses in a moment. */
static void pages_follow_the_processor(void **state) {
  (void)state;
  static const struct {
    const char *name;
    double cpu;
    unsigned rows;
  } rows[] = {
      {"a whole core", 1, 1000}, {"a twelfth of one", 0.08, 400}, {"a fortieth", 0.024, 120}, {"less", 0.005, 100}};
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    fc_settings settings = fixture_settings();
    settings.cpu = rows[i].cpu;
    check_row(rows[i].name, fc_kv_watch_page_rows(&settings) == rows[i].rows);
  }
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(a_whole_fleet_travels),       cmocka_unit_test(pieces_out_of_order),
      cmocka_unit_test(what_changed_needs_its_base), cmocka_unit_test(tasks_at_the_bound),
      cmocka_unit_test(cancellations_travel),        cmocka_unit_test(spacing_follows_the_processor),
      cmocka_unit_test(pages_follow_the_processor),
  };
  return cmocka_run_group_tests(tests, NULL, NULL);
}
