#include "controller/view_receiver.h"

#include <math.h>
#include <string.h>

#include "bookkeeping/cluster_machines.h"
#include "controller/frame_reader.h"
#include "controller/http_answers.h"
#include "coordination/leader_lease.h"
#include "protocol/job.h"
#include "protocol/routes.h"
#include "transport/http.h"

/* Greater ages are sent as this. */
#define AGE_MAX_S 1e6

/* Acknowledgements list renewed leases and probed machines for this many worker leases. */
#define FOREIGN_MACHINE_LEASES 2

/* A peer's former connections may still be open beside its current one. */
#define CONNECTIONS_PER_PEER 8
#define CONNECTIONS_FOR_OPERATORS 8

struct fc_view_receiver {
  fc_view_receiver_deps deps;
  fc_metrics_sources metrics_sources;
};

fc_view_receiver *fc_view_receiver_new(const fc_view_receiver_deps *deps) {
  fc_view_receiver *receiver = g_new(fc_view_receiver, 1);
  *receiver = (fc_view_receiver){
      .deps = *deps,
      .metrics_sources = {
          .cluster = deps->cluster, .leadership = deps->leadership, .commit = deps->commit, .metrics = deps->metrics}};
  return receiver;
}

static uint32_t age_ms(double since) {
  return (uint32_t)(MIN(fc_now() - since, AGE_MAX_S) * FC_MS_PER_S);
}

/* ---- write rate ---- */

/* All members share the rate limits of the key-value store in proportion to their pending writes, as
 * far as they have reported them to each other. If the shares add up to too much for a moment, the
 * store refuses a write, and it is sent again. */
static void share_write_rate(fc_view_receiver *receiver, const fc_view *view) {
  fc_peers *peers = receiver->deps.peers;
  double now = fc_now(), own = 1 + fc_group_commit_backlog(receiver->deps.commit), all = own;
  double heartbeat_s = receiver->deps.cluster->settings->heartbeat_s;
  for (size_t i = 0; i < fc_peers_count(peers); i++) {
    fc_peer *peer = fc_peers_at(peers, i);
    if (strcmp(peer->settings->name, view->sender) == 0) {
      peer->backlog = view->backlog;
      peer->backlog_at = now;
    }
    /* A peer that has not reported lately may still be writing, and only be disconnected from this controller. */
    all += 1 + (now < peer->backlog_at + heartbeat_s ? peer->backlog : 0);
  }
  fc_group_commit_set_share(receiver->deps.commit, own / all, 1.0 / (double)(fc_peers_count(peers) + 1));
}

/* ---- acknowledgements ---- */

/* For how many seconds from now this controller commits no term that excludes the sender; 0: no grant. */
static double make_grant_s(fc_view_receiver *receiver, const fc_view *view) {
  const fc_leadership *leadership = receiver->deps.leadership;
  const fc_term *term = &receiver->deps.cluster->membership.term;
  /* A term transaction whose outcome is unknown may exclude the sender at any time. */
  if (fc_leadership_term_write_pending(leadership)) return 0;
  double duration_s = fc_leadership_lease_s(leadership);
  /* A controller outside the term can't exclude anybody: the term in which it joins keeps all members,
   * and afterwards it waits longer than this grant (fc_leader_lease_exclusion_wait_s()). */
  if (!fc_leadership_in_term(leadership)) return duration_s;
  int sender = fc_term_find(term, view->sender);
  if (sender < 0 || view->incarnation != term->members[sender].incarnation) return 0;
  fc_peer *peer = fc_peers_of_member(receiver->deps.peers, sender);
  if (!peer) return 0;
  peer->grant_given_until = MAX(peer->grant_given_until, fc_now() + duration_s * (1 + FC_CLOCK_DRIFT));
  return duration_s;
}

static void add_renewal(GArray *renewals, const fc_machine *machine, double now) {
  fc_frame_lease_renewal renewal = {.age_ms = (uint32_t)((now - machine->lease.answered_at) * FC_MS_PER_S),
                                    .bidirectional = !machine->reachability.unidirectional_since,
                                    .epoch = machine->worker.epoch,
                                    .sequence = machine->worker.sequence};
  g_strlcpy(renewal.machine, machine->id, sizeof renewal.machine);
  g_array_append_val(renewals, renewal);
}

static void add_probe(GArray *probes, const fc_machine *machine, double now) {
  fc_frame_probe probe = {.age_ms = (uint32_t)ceil((now - machine->probe.sent_at) * FC_MS_PER_S),
                          .answered = machine->probe.answered};
  g_strlcpy(probe.machine, machine->id, sizeof probe.machine);
  g_array_append_val(probes, probe);
}

/* Lists the machines of other members whose lease this controller has renewed, and those that it has probed. */
static void describe_foreign_machines(const fc_cluster *cluster, fc_ack *ack) {
  double now = fc_now(), since = now - cluster->settings->lease_s * FOREIGN_MACHINE_LEASES;
  GArray *renewals = g_array_new(FALSE, TRUE, sizeof(fc_frame_lease_renewal));
  GArray *probes = g_array_new(FALSE, TRUE, sizeof(fc_frame_probe));
  fc_machine_iter machine_iter = fc_cluster_machines(cluster);
  for (const fc_machine *machine; (machine = fc_machine_iter_next(&machine_iter));) {
    if (fc_machine_owned_by_self(cluster, machine)) continue;
    if (machine->lease.answered_at && machine->lease.answered_at >= since) add_renewal(renewals, machine, now);
    if (machine->probe.sent_at && machine->probe.sent_at >= since) add_probe(probes, machine, now);
  }
  ack->renewal_count = renewals->len;
  ack->renewals = (fc_frame_lease_renewal *)g_array_free(renewals, FALSE);
  ack->probe_count = probes->len;
  ack->probes = (fc_frame_probe *)g_array_free(probes, FALSE);
}

/* Encodes the acknowledgement of a view whose last piece has arrived. The caller frees the result. */
static GByteArray *encode_ack(fc_view_receiver *receiver, const fc_view *view, fc_view_result result) {
  const fc_cluster *cluster = receiver->deps.cluster;
  fc_ack ack = {.incarnation = fc_leadership_incarnation(receiver->deps.leadership),
                .term = cluster->membership.term.number,
                .sequence = view->sequence,
                .applied = result == FC_VIEW_APPLIED,
                .grant_ms = (uint32_t)(make_grant_s(receiver, view) * FC_MS_PER_S),
                .no_cancellation_ms = age_ms(fc_cancellations_learned_at(receiver->deps.cancellations)),
                .kv_read_age_ms = age_ms(cluster->sync.read_at),
                .revision = cluster->sync.revision};
  bool complete =
      fc_cancellations_since(receiver->deps.cancellations, view->revision, &ack.cancellations, &ack.cancellation_count);
  /* Until the store has been read completely, a former incarnation of this controller may have
   * confirmed cancellations that are unknown here. */
  ack.cancellations_complete = complete && cluster->sync.loaded;
  describe_foreign_machines(cluster, &ack);
  g_strlcpy(ack.sender, cluster->settings->name, sizeof ack.sender);
  GByteArray *out = g_byte_array_new();
  fc_ack_encode(out, &ack);
  fc_ack_clear(&ack);
  return out;
}

/* Clears the view, to free its memory while the acknowledgement is being sent. */
static bool send_ack(fc_view_receiver *receiver, fc_conn *conn, fc_view *view, fc_view_result result) {
  GByteArray *out = encode_ack(receiver, view, result);
  fc_view_clear(view);
  bool sent = fc_conn_write(conn, out->data, out->len, fc_now() + receiver->deps.cluster->settings->heartbeat_s);
  g_byte_array_free(out, TRUE);
  return sent;
}

/* ---- connections ---- */

/* Applies one piece of a view, and acknowledges the view after its last piece. False if the
 * connection must be closed. */
static bool serve_view(fc_view_receiver *receiver, fc_conn *conn, fc_view *view) {
  fc_view_result result = fc_peer_views_apply(receiver->deps.views, view);
  fc_cancellations_learned_from_peer(receiver->deps.cancellations, view->cancellations, view->cancellation_count);
  if (result == FC_VIEW_OUT_OF_ORDER) {
    g_warning("view out of order from=%s seq=%" G_GUINT64_FORMAT " piece=%u", view->sender, (guint64)view->sequence,
              view->piece);
    return false;
  }
  if (!view->last) return true;
  receiver->deps.metrics->counters.views_received++;
  share_write_rate(receiver, view);
  return send_ack(receiver, conn, view, result);
}

/* Serves the metrics at the peer address, which operators can reach and users can't. */
static void serve_operator(const fc_http_request *req, fc_http_response *res, void *arg) {
  const fc_view_receiver *receiver = arg;
  char id[FC_ROUTE_ID_SIZE];
  const char *allow;
  if (fc_route_of(req->method, req->path, id, &allow) == FC_ROUTE_METRICS) {
    res->status = 200;
    res->content_type = "text/plain";
    fc_metrics_page_append(&receiver->metrics_sources, res->body);
  } else {
    fc_http_answer_error(res, 404, "no such path");
  }
}

/* Serves HTTP on a connection whose first bytes have been read as the head of a frame. */
static void serve_http(fc_view_receiver *receiver, fc_frame_reader *reader, const uint8_t *head) {
  const fc_settings *settings = receiver->deps.cluster->settings;
  fc_http_server_options options = {.idle_timeout_s = settings->lease_s, .request_timeout_s = settings->heartbeat_s};
  uint8_t first[FC_FRAME_HEAD_BYTES + sizeof reader->bytes];
  memcpy(first, head, FC_FRAME_HEAD_BYTES);
  size_t more = fc_frame_reader_take_buffered(reader, first + FC_FRAME_HEAD_BYTES, sizeof reader->bytes);
  fc_http_serve_conn(reader->conn, (const char *)first, FC_FRAME_HEAD_BYTES + more, &options, serve_operator, receiver);
}

/* Routine of one connection, which carries a peer's views or an operator's HTTP requests. Returns when
 * the connection is lost, or on a frame of invalid length, version or type. */
static void serve_connection(fc_conn *conn, void *arg) {
  fc_view_receiver *receiver = arg;
  fc_metrics_enter_duty(receiver->deps.metrics, FC_DUTY_VIEWS_RECEIVED);
  fc_frame_reader reader = {.conn = conn};
  for (bool open = true; open;) {
    fc_frame frame = fc_frame_reader_next(&reader, fc_now() + receiver->deps.cluster->settings->lease_s);
    if (!frame.body && fc_frame_is_http(frame.head)) {
      serve_http(receiver, &reader, frame.head);
      return;
    }
    fc_view view;
    open = frame.body && frame.type == FC_FRAME_VIEW && fc_view_decode(frame.body, frame.length, &view);
    g_free(frame.body);
    if (!open) return;
    open = serve_view(receiver, conn, &view);
    fc_view_clear(&view);
  }
}

bool fc_view_receiver_start(fc_view_receiver *receiver) {
  const fc_settings *settings = receiver->deps.cluster->settings;
  size_t connections = settings->peer_count * CONNECTIONS_PER_PEER + CONNECTIONS_FOR_OPERATORS;
  return fc_listen(&settings->peer_at, connections, serve_connection, receiver);
}
