#include "controller/view_sender.h"

#include <math.h>
#include <string.h>

#include "controller/frame_reader.h"
#include "controller/machine_reachability.h"

#define EXCHANGE_TIMEOUT_HEARTBEATS 1.0
#define CONNECT_TIMEOUT_HEARTBEATS 0.5
#define IDLE_INTERVAL_HEARTBEATS 0.5 /* between two exchanges while nothing changes */
#define RECONNECT_INTERVAL_HEARTBEATS 0.2

struct fc_view_sender {
  fc_cluster *cluster;
  fc_leadership *leadership;
  fc_peers *peers;
  fc_peer_views *views;
  fc_cancellations *cancellations;
  fc_wakeups *wakeups;
  fc_metrics *metrics;
};

/* The link to one peer. */
typedef struct peer_link {
  fc_view_sender *sender;
  size_t peer;            /* position in the settings */
  fc_frame_reader reader; /* its connection is NULL while the link is down */
  uint64_t sequence;      /* of the last view sent */
} peer_link;

/* The state in which a view was sent. */
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

/* The duration of `count` heartbeat intervals, in seconds. */
static double heartbeats_s(const fc_view_sender *sender, double count) {
  return sender->cluster->settings->heartbeat_s * count;
}

/* Applies what the peer reports of its own state, which is valid in any term or incarnation. */
static void apply_peer_state(peer_link *link, const fc_ack *ack, const sent_view *sent) {
  fc_view_sender *sender = link->sender;
  fc_peer *peer = fc_peers_at(sender->peers, link->peer);
  double now = fc_now();
  peer->heard_at = now;
  peer->kv_read_at = now - ack->kv_read_age_ms / FC_MS_PER_S;
  fc_cancellations_learned_from_peer(sender->cancellations, ack->cancellations, ack->cancellation_count);
  peer->revision = ack->revision;
  fc_cancellations_trim(sender->cancellations, fc_peers_common_revision(sender->peers));
  /* If the list is complete, this controller now knows every cancellation that the peer knows, and
   * stops the tasks concerned: there is none that only the peer has learned of. */
  double quiet_since = ack->cancellations_complete ? -INFINITY : now - ack->no_cancellation_ms / FC_MS_PER_S;
  fc_leadership_no_cancellation(sender->leadership, link->peer, sent->sent_at, quiet_since);
}

/* Whether this controller still is in the term and incarnation that the view was sent in. */
static bool still_current(const fc_view_sender *sender, const sent_view *sent) {
  return sender->cluster->membership.term.number == sent->term &&
         fc_leadership_incarnation(sender->leadership) == sent->incarnation;
}

/* Whether the acknowledgement was sent in the current term, by an incarnation that is a member of it. */
static bool within_term(const fc_view_sender *sender, const fc_ack *ack, const sent_view *sent) {
  const fc_term *term = &sender->cluster->membership.term;
  int member = fc_term_find(term, ack->sender);
  return member >= 0 && still_current(sender, sent) && ack->term == sent->term &&
         term->members[member].incarnation == ack->incarnation;
}

/* Applies what the peer, as a member of the current term, has acknowledged, and what it reports of the
 * machines of this controller. */
static void apply_acknowledged(peer_link *link, const fc_ack *ack, const sent_view *sent) {
  fc_view_sender *sender = link->sender;
  fc_peer_acknowledged *acknowledged = &fc_peers_at(sender->peers, link->peer)->acknowledged;
  double now = fc_now();
  acknowledged->renewals_known_until = sent->sent_at;
  acknowledged->sequence = ack->applied ? ack->sequence : 0;
  if (ack->applied) {
    acknowledged->view_number = sent->view_number;
    acknowledged->revision = ack->revision;
  }
  for (size_t i = 0; i < ack->renewal_count; i++) fc_reachability_note_renewal(sender->cluster, &ack->renewals[i], now);
  for (size_t i = 0; i < ack->probe_count; i++)
    fc_reachability_note_probe(sender->cluster, link->peer, &ack->probes[i], sent->sent_at, now);
}

/* False if it does not acknowledge this view; the link must be closed then. */
static bool apply_ack(peer_link *link, const fc_ack *ack, const sent_view *sent) {
  fc_view_sender *sender = link->sender;
  fc_peer *peer = fc_peers_at(sender->peers, link->peer);
  bool matches = ack->sequence == link->sequence && strcmp(ack->sender, peer->settings->name) == 0;
  if (matches) {
    apply_peer_state(link, ack, sent);
    /* A grant binds the peer in whatever incarnation or term it is. */
    if (ack->grant_ms > 0 && still_current(sender, sent))
      fc_leadership_granted(sender->leadership, link->peer, sent->sent_at, ack->grant_ms / FC_MS_PER_S);
  }
  if (matches && within_term(sender, ack, sent)) {
    apply_acknowledged(link, ack, sent);
  } else {
    peer->acknowledged.sequence = 0;
  }
  return matches;
}

/* On success the caller clears `ack` with fc_ack_clear(). */
static bool receive_ack(peer_link *link, double deadline, fc_ack *ack) {
  fc_frame frame = fc_frame_reader_next(&link->reader, deadline);
  bool ok = frame.body && frame.type == FC_FRAME_ACK && fc_ack_decode(frame.body, frame.length, ack);
  g_free(frame.body);
  return ok;
}

/* Sends one view and waits for its acknowledgement. False if the link must be closed. */
static bool exchange(peer_link *link) {
  fc_view_sender *sender = link->sender;
  fc_peer *peer = fc_peers_at(sender->peers, link->peer);
  GByteArray *out = g_byte_array_new();
  fc_peer_views_encode(sender->views, peer, ++link->sequence, out);
  const sent_view sent = {.sent_at = fc_now(),
                          .term = sender->cluster->membership.term.number,
                          .incarnation = fc_leadership_incarnation(sender->leadership),
                          .view_number = sender->cluster->view_number};
  double deadline = sent.sent_at + heartbeats_s(sender, EXCHANGE_TIMEOUT_HEARTBEATS);
  bool ok = fc_conn_write(link->reader.conn, out->data, out->len, deadline);
  g_byte_array_free(out, TRUE);
  fc_ack ack = {0};
  if (!ok || !receive_ack(link, deadline, &ack)) {
    peer->acknowledged.sequence = 0; /* the peer may or may not have applied the view */
    return false;
  }
  ok = apply_ack(link, &ack, &sent);
  fc_ack_clear(&ack);
  return ok;
}

static void connect_link(peer_link *link, double deadline) {
  const fc_peer *peer = fc_peers_at(link->sender->peers, link->peer);
  link->reader = (fc_frame_reader){.conn = fc_conn_connect(&peer->settings->peer_at, deadline)};
}

/* Routine of one link: connects, and exchanges views when something has changed or at idle intervals. */
static void run_link(void *arg) {
  peer_link *link = arg;
  fc_view_sender *sender = link->sender;
  const fc_settings *settings = sender->cluster->settings;
  fc_metrics_enter_duty(sender->metrics, FC_DUTY_VIEWS_SENT);
  while (!fc_routine_cancelled()) {
    double began_at = fc_now();
    uint64_t wakeups = fc_wakeups_count(sender->wakeups, FC_WAKEUP_REPLICATE);
    sender->metrics->counters.exchanges++;
    if (!link->reader.conn) connect_link(link, began_at + heartbeats_s(sender, CONNECT_TIMEOUT_HEARTBEATS));
    if (link->reader.conn && !exchange(link)) {
      fc_conn_close(link->reader.conn);
      link->reader.conn = NULL;
    }
    bool connected = link->reader.conn != NULL;
    double earliest = began_at + fc_peer_view_min_interval_s(settings, fc_loop_lag());
    double latest =
        began_at + heartbeats_s(sender, connected ? IDLE_INTERVAL_HEARTBEATS : RECONNECT_INTERVAL_HEARTBEATS);
    if (!connected || wakeups == fc_wakeups_count(sender->wakeups, FC_WAKEUP_REPLICATE))
      (void)fc_wakeups_wait(sender->wakeups, FC_WAKEUP_REPLICATE, latest);
    double now = fc_now();
    if (now < earliest) (void)fc_routine_sleep(earliest - now);
  }
  fc_conn_close(link->reader.conn);
  g_free(link);
}

bool fc_view_sender_start(fc_view_sender *sender) {
  for (size_t i = 0; i < fc_peers_count(sender->peers); i++) {
    peer_link *link = g_new0(peer_link, 1);
    link->sender = sender;
    link->peer = i;
    if (!fc_routine_spawn(run_link, link)) return false;
  }
  return true;
}
