#include "controller/view_sender.h"

#include <math.h>
#include <string.h>

#include "controller/frame_reader.h"
#include "controller/machine_reachability.h"

/* All in heartbeat intervals. */
#define EXCHANGE_TIMEOUT_HEARTBEATS 1.0
#define CONNECT_TIMEOUT_HEARTBEATS 0.5
#define IDLE_SPACING_HEARTBEATS 0.5 /* between two exchanges when nothing changes */
#define RECONNECT_HEARTBEATS 0.2

struct fc_view_sender {
  fc_cluster *cluster;
  fc_leadership *leadership;
  fc_peers *peers;
  fc_peer_views *views;
  fc_cancellations *cancellations;
  fc_wakeups *wakeups;
  fc_metrics *metrics;
};

/* One peer's. */
typedef struct peer_link {
  fc_view_sender *sender;
  size_t peer;            /* by the order of the settings */
  fc_frame_reader reader; /* its connection is NULL while there is none */
  uint64_t sequence;      /* of the last view */
} peer_link;

/* What was true when a view was sent. */
typedef struct sent_view {
  double sent_at;
  uint64_t term, incarnation;
  uint64_t view_number;
} sent_view;

fc_view_sender *fc_view_sender_new(fc_cluster *cluster, fc_leadership *leadership, fc_peers *peers,
                                   fc_peer_views *views, fc_cancellations *cancellations, fc_wakeups *wakeups,
                                   fc_metrics *metrics) {
  fc_view_sender *sender = g_new(fc_view_sender, 1);
  *sender = (fc_view_sender){.cluster = cluster,
                             .leadership = leadership,
                             .peers = peers,
                             .views = views,
                             .cancellations = cancellations,
                             .wakeups = wakeups,
                             .metrics = metrics};
  return sender;
}

static double heartbeats(const fc_view_sender *sender, double count) {
  return sender->cluster->settings->heartbeat_s * count;
}

/* What the peer knows; it counts whatever term or incarnation the peer is in. */
static void apply_peer_state(peer_link *to, const fc_ack *ack, const sent_view *sent) {
  fc_view_sender *sender = to->sender;
  fc_peer *peer = fc_peers_at(sender->peers, to->peer);
  double now = fc_now();
  peer->heard_at = now;
  peer->kv_read_at = now - ack->kv_read_age_ms / FC_MS_PER_S;
  fc_cancellations_learned_from_peer(sender->cancellations, ack->cancellations, ack->cancellation_count);
  peer->revision = ack->revision;
  fc_cancellations_trim(sender->cancellations, fc_peers_common_revision(sender->peers));
  /* A peer that has reported all it knows has, for us, learned of no cancellation since our own last
   * read: we know them too, and stop what is cancelled. */
  double quiet_since = ack->cancellations_complete ? -INFINITY : now - ack->no_cancellation_ms / FC_MS_PER_S;
  fc_leadership_no_cancellation(sender->leadership, to->peer, sent->sent_at, quiet_since);
}

/* Are we in the term, and the incarnation, that the view was sent in? */
static bool still_current(const fc_view_sender *sender, const sent_view *sent) {
  return sender->cluster->membership.term.number == sent->term &&
         fc_leadership_incarnation(sender->leadership) == sent->incarnation;
}

/* Is the acknowledgement of the present term, by an incarnation that is in it? */
static bool within_term(const fc_view_sender *sender, const fc_ack *ack, const sent_view *sent) {
  const fc_term *term = &sender->cluster->membership.term;
  int member = fc_term_find(term, ack->sender);
  return member >= 0 && still_current(sender, sent) && ack->term == sent->term &&
         term->members[member].incarnation == ack->incarnation;
}

static void apply_acknowledged(peer_link *to, const fc_ack *ack, const sent_view *sent) {
  fc_view_sender *sender = to->sender;
  fc_peer_acknowledged *acknowledged = &fc_peers_at(sender->peers, to->peer)->acknowledged;
  double now = fc_now();
  acknowledged->renewals_known_until = sent->sent_at;
  acknowledged->sequence = ack->applied ? ack->sequence : 0;
  if (ack->applied) {
    acknowledged->view_number = sent->view_number;
    acknowledged->revision = ack->revision;
  }
  for (size_t i = 0; i < ack->renewal_count; i++) fc_reachability_note_renewal(sender->cluster, &ack->renewals[i], now);
  for (size_t i = 0; i < ack->probe_count; i++)
    fc_reachability_note_probe(sender->cluster, to->peer, &ack->probes[i], sent->sent_at, now);
}

/* False: it does not answer this view; the link is to be closed. */
static bool apply_ack(peer_link *to, const fc_ack *ack, const sent_view *sent) {
  fc_view_sender *sender = to->sender;
  fc_peer *peer = fc_peers_at(sender->peers, to->peer);
  bool matches = ack->sequence == to->sequence && strcmp(ack->sender, peer->settings->name) == 0;
  if (matches) {
    apply_peer_state(to, ack, sent);
    /* Whatever incarnation or term the peer is in: it answers for what it grants us. */
    if (ack->grant_ms > 0 && still_current(sender, sent))
      fc_leadership_granted(sender->leadership, to->peer, sent->sent_at, ack->grant_ms / FC_MS_PER_S);
  }
  if (matches && within_term(sender, ack, sent)) {
    apply_acknowledged(to, ack, sent);
  } else {
    peer->acknowledged.sequence = 0;
  }
  return matches;
}

static bool receive_ack(peer_link *to, double deadline, fc_ack *ack) {
  fc_frame frame = fc_frame_reader_next(&to->reader, deadline);
  bool ok = frame.body && frame.type == FC_FRAME_ACK && fc_ack_decode(frame.body, frame.length, ack);
  g_free(frame.body);
  return ok;
}

/* Sends one view and waits for its acknowledgement. False: the link is to be closed. */
static bool exchange(peer_link *to) {
  fc_view_sender *sender = to->sender;
  fc_peer *peer = fc_peers_at(sender->peers, to->peer);
  GByteArray *out = g_byte_array_new();
  fc_peer_views_encode(sender->views, peer, ++to->sequence, out);
  const sent_view sent = {.sent_at = fc_now(),
                          .term = sender->cluster->membership.term.number,
                          .incarnation = fc_leadership_incarnation(sender->leadership),
                          .view_number = sender->cluster->view_number};
  double deadline = sent.sent_at + heartbeats(sender, EXCHANGE_TIMEOUT_HEARTBEATS);
  bool ok = fc_conn_write(to->reader.conn, out->data, out->len, deadline);
  g_byte_array_free(out, TRUE);
  fc_ack ack = {0};
  if (!ok || !receive_ack(to, deadline, &ack)) {
    peer->acknowledged.sequence = 0; /* the peer may hold that view or not */
    return false;
  }
  ok = apply_ack(to, &ack, &sent);
  fc_ack_clear(&ack);
  return ok;
}

static void connect_link(peer_link *to, double deadline) {
  const fc_peer *peer = fc_peers_at(to->sender->peers, to->peer);
  to->reader = (fc_frame_reader){.conn = fc_conn_connect(&peer->settings->peer_at, deadline)};
}

/* The routine of one link. */
static void run_link(void *arg) {
  peer_link *to = arg;
  fc_view_sender *sender = to->sender;
  const fc_settings *settings = sender->cluster->settings;
  fc_metrics_enter_duty(sender->metrics, FC_DUTY_VIEWS_SENT);
  while (!fc_routine_cancelled()) {
    double began_at = fc_now();
    uint64_t wakeups = fc_wakeups_count(sender->wakeups, FC_WAKEUP_REPLICATE);
    sender->metrics->counters.exchanges++;
    if (!to->reader.conn) connect_link(to, began_at + heartbeats(sender, CONNECT_TIMEOUT_HEARTBEATS));
    if (to->reader.conn && !exchange(to)) {
      fc_conn_close(to->reader.conn);
      to->reader.conn = NULL;
    }
    bool connected = to->reader.conn != NULL;
    double earliest = began_at + fc_peer_view_min_interval_s(settings, fc_loop_lag());
    double latest = began_at + heartbeats(sender, connected ? IDLE_SPACING_HEARTBEATS : RECONNECT_HEARTBEATS);
    if (!connected || wakeups == fc_wakeups_count(sender->wakeups, FC_WAKEUP_REPLICATE))
      (void)fc_wakeups_wait(sender->wakeups, FC_WAKEUP_REPLICATE, latest);
    double now = fc_now();
    if (now < earliest) (void)fc_routine_sleep(earliest - now);
  }
  fc_conn_close(to->reader.conn);
  g_free(to);
}

bool fc_view_sender_start(fc_view_sender *sender) {
  for (size_t i = 0; i < fc_peers_count(sender->peers); i++) {
    peer_link *to = g_new0(peer_link, 1);
    to->sender = sender;
    to->peer = i;
    if (!fc_routine_spawn(run_link, to)) return false;
  }
  return true;
}
