/* The peer link: each controller sends its view of its own machines to every
 * other and is answered with an acknowledgement that may carry a promise. */
#include <math.h>
#include <string.h>

#include "bookkeeping/cluster_machines.h"
#include "controller/controller.h"
#include "protocol/routes.h"
#include "transport/http.h"

typedef struct link_arg {
  fc_controller *c;
  fc_peer *peer;
} link_arg;

/* What has been read beyond the frame that was asked for: head and body of most frames
 * come in one system call. */
typedef struct link_buffer {
  fc_conn *conn;
  size_t from, to;
  uint8_t bytes[2048];
} link_buffer;

static size_t take_buffered(link_buffer *b, uint8_t *out, size_t n) {
  n = MIN(n, b->to - b->from);
  memcpy(out, b->bytes + b->from, n);
  b->from += n;
  return n;
}

static bool read_exact(link_buffer *b, uint8_t *out, size_t n, double deadline) {
  size_t had = take_buffered(b, out, n);
  while (had < n) {
    /* What is left of a large frame goes where it belongs; the rest through the buffer. */
    bool direct = n - had >= sizeof b->bytes;
    ssize_t got = direct ? fc_conn_read(b->conn, out + had, n - had, deadline)
                         : fc_conn_read(b->conn, b->bytes, sizeof b->bytes, deadline);
    if (got <= 0) return false;
    if (direct) {
      had += (size_t)got;
      continue;
    }
    b->from = 0;
    b->to = (size_t)got;
    had += take_buffered(b, out + had, n - had);
  }
  return true;
}

/* Reads one frame; the body is the caller's. */
static uint8_t *read_frame(link_buffer *b, double deadline, uint8_t head[FC_FRAME_HEAD], fc_frame_type *type,
                           uint32_t *len) {
  memset(head, 0, FC_FRAME_HEAD);
  if (!read_exact(b, head, FC_FRAME_HEAD, deadline) || !fc_frame_head(head, type, len)) return NULL;
  uint8_t *body = g_malloc(*len + 1);
  if (read_exact(b, body, *len, deadline)) return body;
  g_free(body);
  return NULL;
}

fc_peer *fc_peer_of(fc_controller *controller, int member) {
  if (member < 0 || member >= (int)controller->cluster->membership.term.count) return NULL;
  for (size_t k = 0; k < controller->settings->peer_count; k++)
    if (strcmp(controller->settings->peers[k].name, controller->cluster->membership.term.members[member].name) == 0)
      return &controller->peers[k];
  return NULL;
}

bool fc_member_fit(fc_controller *controller, int member) {
  if (member == controller->cluster->membership.self) return true;
  const fc_peer *peer = fc_peer_of(controller, member);
  if (!peer) return false;
  double now = fc_now(), most = controller->settings->heartbeat_s * 2;
  return now - peer->heard_at < most && now - peer->kv_read_at < most;
}

/* What an acknowledgement of the present term, by a life that is in it, to a
 * view sent at `sent` tells us. */
static void take_ack(fc_controller *controller, fc_peer *peer, const fc_ack *ack, double sent, uint64_t view) {
  double now = fc_now();
  peer->renewals_known_until = sent;
  peer->acked_sequence = ack->applied ? ack->sequence : 0;
  if (ack->applied) {
    peer->acked_view = view;
    peer->acked_revision = ack->revision;
  }
  for (size_t i = 0; i < ack->renewal_count; i++) fc_workers_kept(controller, &ack->renewals[i], now);
  size_t k = (size_t)(peer - controller->peers);
  for (size_t i = 0; i < ack->probe_count; i++) fc_workers_asked(controller, k, &ack->probes[i], sent, now);
}

/* Facts, whatever term or life the sender is in. */
static void take_cancels(fc_controller *controller, const fc_frame_cancellation *cancels, size_t count) {
  for (size_t i = 0; i < count; i++)
    fc_cancel_learned(controller, cancels[i].job, cancels[i].revision, fc_now() - cancels[i].age_ms / 1000.0);
}

/* A peer has told us what it has read; what all have read need not be passed on. */
static void note_revision(fc_controller *controller, fc_peer *peer, uint64_t revision) {
  peer->revision = revision;
  uint64_t all = controller->revision;
  for (size_t k = 0; k < controller->settings->peer_count; k++) all = MIN(all, controller->peers[k].revision);
  fc_cancellation_log_trim(controller->cancels, all);
}

static bool exchange(fc_controller *controller, fc_peer *peer, link_buffer *link, uint64_t seq) {
  GByteArray *out = g_byte_array_new();
  fc_view_make(controller, peer, seq, out);
  double sent = fc_now(), deadline = sent + controller->settings->heartbeat_s;
  uint64_t term = controller->cluster->membership.term.number, boot = controller->incarnation,
           view = controller->cluster->view_number;
  size_t k = (size_t)(peer - controller->peers);
  bool ok = fc_conn_write(link->conn, out->data, out->len, deadline);
  g_byte_array_free(out, TRUE);
  if (!ok) goto lost;
  fc_frame_type type;
  uint32_t len;
  uint8_t head[FC_FRAME_HEAD];
  uint8_t *body = read_frame(link, deadline, head, &type, &len);
  fc_ack ack = {0};
  ok = body && type == FC_FRAME_ACK && fc_ack_decode(body, len, &ack);
  g_free(body);
  if (!ok) goto lost;
  ok = ack.sequence == seq && strcmp(ack.sender, peer->settings->name) == 0;
  const fc_term *now_term = &controller->cluster->membership.term;
  int at = ok ? fc_term_find(now_term, ack.sender) : -1;
  if (ok) {
    double now = fc_now();
    peer->heard_at = now;
    peer->kv_read_at = now - ack.kv_read_age_ms / 1000.0;
    take_cancels(controller, ack.cancellations, ack.cancellation_count);
    note_revision(controller, peer, ack.revision);
    /* One that has told us all it knows has, for us, learned of nothing since our own
     * last read: we know it too, and halt what is cancelled. */
    fc_leader_lease_no_cancellation(&controller->authority, k, sent,
                                    ack.cancellations_complete ? -INFINITY : now - ack.no_cancellation_ms / 1000.0);
    /* Whatever life or term it is in: it answers for what it promises us. */
    if (ack.grant_ms > 0 && now_term->number == term && controller->incarnation == boot)
      fc_leader_lease_granted(&controller->authority, now_term, controller->peer_of,
                              controller->cluster->membership.self, k, now, sent, ack.grant_ms / 1000.0);
  }
  /* It counts only within the term, and between the lives, it was asked for. */
  if (at >= 0 && now_term->number == term && controller->incarnation == boot && ack.term == term &&
      now_term->members[at].incarnation == ack.incarnation) {
    take_ack(controller, peer, &ack, sent, view);
  } else {
    peer->acked_sequence = 0;
  }
  fc_ack_clear(&ack);
  return ok;
lost:
  peer->acked_sequence = 0; /* it may hold that view or not */
  return false;
}

void fc_views_soon(fc_controller *controller) {
  controller->view_events++;
  fc_cond_broadcast(&controller->view_now);
}

static void link_main(void *arg) {
  link_arg *l = arg;
  fc_controller *controller = l->c;
  fc_metrics_duty(&controller->metrics, FC_DUTY_VIEWS_SENT);
  uint64_t seq = 0;
  link_buffer *in = g_new0(link_buffer, 1); /* its connection is NULL while there is none */
  while (!fc_routine_cancelled()) {
    double began = fc_now();
    uint64_t events = controller->view_events;
    controller->counts.exchanges++;
    if (!in->conn)
      *in = (link_buffer){
          .conn = fc_conn_connect(&l->peer->settings->peer_at, began + controller->settings->heartbeat_s * 0.5)};
    if (in->conn && !exchange(controller, l->peer, in, ++seq)) {
      fc_conn_close(in->conn);
      in->conn = NULL;
    }
    double least = began + fc_view_spacing(controller->settings, fc_loop_lag());
    if (events == controller->view_events || !in->conn)
      (void)fc_cond_wait(&controller->view_now, began + controller->settings->heartbeat_s * (in->conn ? 0.5 : 0.2));
    double now = fc_now();
    if (now < least) (void)fc_routine_sleep(least - now);
  }
  fc_conn_close(in->conn);
  g_free(in);
  g_free(l);
}

/* The rates of the state service are one for all members: each takes its part by
 * what waits where, as far as they have told each other. Should the parts add up
 * to too much for a moment, the service refuses and the write is sent again. */
static void take_backlog(fc_controller *controller, const fc_view *view) {
  double now = fc_now(), mine = 1 + fc_group_commit_backlog(controller->commit), all = mine;
  for (size_t k = 0; k < controller->settings->peer_count; k++) {
    fc_peer *peer = &controller->peers[k];
    if (strcmp(peer->settings->name, view->sender) == 0) {
      peer->backlog = view->backlog;
      peer->backlog_at = now;
    }
    /* One that has not told us lately may be cut off from us alone. */
    all += 1 + (now < peer->backlog_at + controller->settings->heartbeat_s ? peer->backlog : 0);
  }
  fc_group_commit_set_share(controller->commit, mine / all, 1.0 / (double)(controller->settings->peer_count + 1));
}

static uint32_t give_promise(fc_controller *controller, const fc_view *view) {
  const fc_cluster *cluster = controller->cluster;
  /* A term transaction of unknown outcome may exclude it at any time. */
  if (controller->term_unknown) return 0;
  double promise = controller->authority.lease_s;
  bool entered = controller->incarnation && cluster->membership.self >= 0 &&
                 cluster->membership.term.members[cluster->membership.self].incarnation == controller->incarnation;
  /* Before we have entered we can exclude nobody; our entry keeps everybody, and
   * then we wait longer than this promise (fc_leader_lease_entry_wait). */
  if (!entered) return (uint32_t)(promise * 1000);
  int sender = fc_term_find(&cluster->membership.term, view->sender);
  if (sender < 0 || view->incarnation != cluster->membership.term.members[sender].incarnation) return 0;
  fc_peer *peer = fc_peer_of(controller, sender);
  if (!peer) return 0;
  peer->grant_given_until = MAX(peer->grant_given_until, fc_now() + promise * (1 + FC_CLOCK_DRIFT));
  return (uint32_t)(promise * 1000);
}

/* What we know of other members' machines: whose reports we have answered, and which we have
 * asked directly, within two leases. */
static void fill_machines(const fc_controller *controller, fc_ack *ack) {
  const fc_cluster *cluster = controller->cluster;
  double now = fc_now(), since = now - 2 * controller->settings->lease_s;
  GArray *kept = g_array_new(FALSE, TRUE, sizeof(fc_frame_lease_renewal));
  GArray *asked = g_array_new(FALSE, TRUE, sizeof(fc_frame_probe));
  fc_machine_iter machine_iter = fc_cluster_machines(cluster);
  for (const fc_machine *machine; (machine = fc_machine_iter_next(&machine_iter));) {
    if (fc_machine_owned_by_self(cluster, machine)) continue;
    if (machine->lease.answered_at && machine->lease.answered_at >= since) {
      fc_frame_lease_renewal k = {.age_ms = (uint32_t)((now - machine->lease.answered_at) * 1000),
                                  .bidirectional = !machine->reachability.unidirectional_since,
                                  .epoch = machine->agent.epoch,
                                  .sequence = machine->agent.sequence};
      g_strlcpy(k.machine, machine->id, sizeof k.machine);
      g_array_append_val(kept, k);
    }
    if (machine->probe.sent_at && machine->probe.sent_at >= since) {
      fc_frame_probe a = {.age_ms = (uint32_t)ceil((now - machine->probe.sent_at) * 1000),
                          .answered = machine->probe.answered};
      g_strlcpy(a.machine, machine->id, sizeof a.machine);
      g_array_append_val(asked, a);
    }
  }
  ack->renewal_count = kept->len;
  ack->renewals = (fc_frame_lease_renewal *)g_array_free(kept, FALSE);
  ack->probe_count = asked->len;
  ack->probes = (fc_frame_probe *)g_array_free(asked, FALSE);
}

/* Operators read the metrics at the peer address, which users can't reach. */
static void serve_operator(const fc_http_request *req, fc_http_response *res, void *arg) {
  char id[FC_ROUTE_ID_MAX];
  const char *allow;
  if (fc_route_of(req->method, req->path, id, &allow) == FC_ROUTE_METRICS) {
    res->status = 200;
    res->content_type = "text/plain";
    fc_metrics_write(arg, res->body);
  } else {
    res->status = 404;
    fc_error_answer(res->body, "no such path");
  }
}

/* Serves an HTTP connection to the peer address, whose first bytes were read as a frame's head. */
static void serve_http(fc_controller *controller, link_buffer *in, const uint8_t *head) {
  fc_http_server_options opt = {.idle_s = controller->settings->lease_s,
                                .request_s = controller->settings->heartbeat_s};
  uint8_t first[FC_FRAME_HEAD + sizeof in->bytes];
  memcpy(first, head, FC_FRAME_HEAD);
  size_t more = take_buffered(in, first + FC_FRAME_HEAD, sizeof in->bytes);
  fc_http_serve_conn(in->conn, (const char *)first, FC_FRAME_HEAD + more, &opt, serve_operator, controller);
}

/* Encodes the acknowledgement of a complete view. */
static GByteArray *acknowledge(fc_controller *controller, const fc_view *view, fc_view_fate fate) {
  const fc_cancellation *untold;
  size_t untold_count;
  /* Before we have read everything, an incarnation of ours before this may have confirmed what
   * we don't know. */
  bool told_all =
      fc_cancellation_log_since(controller->cancels, view->revision, &untold, &untold_count) && controller->loaded;
  fc_ack ack = {.incarnation = controller->incarnation,
                .term = controller->cluster->membership.term.number,
                .sequence = view->sequence,
                .applied = fate == FC_VIEW_TAKEN,
                .grant_ms = give_promise(controller, view),
                .no_cancellation_ms = (uint32_t)(MIN(fc_now() - controller->cancel_at, 1e6) * 1000),
                .kv_read_age_ms = (uint32_t)(MIN(fc_now() - controller->kv_read_at, 1e6) * 1000),
                .revision = controller->revision,
                .cancellations_complete = told_all,
                .cancellations = fc_cancellations_to_frame(untold, untold_count, fc_now()),
                .cancellation_count = untold_count};
  fill_machines(controller, &ack);
  g_strlcpy(ack.sender, controller->settings->name, sizeof ack.sender);
  GByteArray *out = g_byte_array_new();
  fc_ack_encode(out, &ack);
  fc_ack_clear(&ack);
  return out;
}

/* Takes a view in, and acknowledges it with its last piece. False if the connection is to be
 * closed. The view is cleared in any case. */
static bool serve_view(fc_controller *controller, fc_conn *conn, fc_view *view) {
  fc_view_fate fate = fc_view_take(controller, view);
  take_cancels(controller, view->cancellations, view->cancellation_count);
  if (fate == FC_VIEW_BROKEN)
    g_warning("view out of order from=%s seq=%" G_GUINT64_FORMAT " piece=%u", view->sender, (guint64)view->sequence,
              view->piece);
  if (fate == FC_VIEW_BROKEN || !view->last) {
    fc_view_clear(view);
    return fate != FC_VIEW_BROKEN;
  }
  controller->counts.views++;
  take_backlog(controller, view);
  GByteArray *out = acknowledge(controller, view, fate);
  fc_view_clear(view);
  bool ok = fc_conn_write(conn, out->data, out->len, fc_now() + controller->settings->heartbeat_s);
  g_byte_array_free(out, TRUE);
  return ok;
}

/* Serves a connection to the peer address: a peer's views, or an operator's HTTP. */
static void serve_peer(fc_conn *conn, void *arg) {
  fc_controller *controller = arg;
  fc_metrics_duty(&controller->metrics, FC_DUTY_VIEWS_TAKEN);
  link_buffer in = {.conn = conn};
  for (;;) {
    fc_frame_type type;
    uint32_t len;
    uint8_t head[FC_FRAME_HEAD];
    uint8_t *body = read_frame(&in, fc_now() + controller->settings->lease_s, head, &type, &len);
    if (!body && fc_frame_is_http(head)) {
      serve_http(controller, &in, head);
      return;
    }
    fc_view view;
    bool ok = body && type == FC_FRAME_VIEW && fc_view_decode(body, len, &view);
    g_free(body);
    if (!ok) return; /* wrong length, version or kind: the connection is closed */
    if (!serve_view(controller, conn, &view)) return;
  }
}

bool fc_peers_start(fc_controller *controller) {
  if (!fc_listen(&controller->settings->peer_at, controller->settings->peer_count * 8 + 8, serve_peer, controller))
    return false;
  for (size_t i = 0; i < controller->settings->peer_count; i++) {
    link_arg *l = g_new0(link_arg, 1);
    l->c = controller;
    l->peer = &controller->peers[i];
    l->peer->settings = &controller->settings->peers[i];
    if (!fc_routine_spawn(link_main, l)) return false;
  }
  return true;
}
