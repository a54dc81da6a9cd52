/* The peer link: each controller sends its view of its own machines to every
 * other and is answered with an acknowledgement that may carry a promise. */
#include <math.h>
#include <string.h>

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

fc_peer *fc_peer_of(fc_controller *c, int member) {
  if (member < 0 || member >= (int)c->table->term.count) return NULL;
  for (size_t k = 0; k < c->settings->peer_count; k++)
    if (strcmp(c->settings->peers[k].name, c->table->term.members[member].name) == 0) return &c->peers[k];
  return NULL;
}

bool fc_member_fit(fc_controller *c, int member) {
  if (member == c->table->self) return true;
  const fc_peer *p = fc_peer_of(c, member);
  if (!p) return false;
  double now = fc_now(), most = c->settings->report_s * 2;
  return now - p->heard_at < most && now - p->fresh_at < most;
}

/* What an acknowledgement of the present term, by a life that is in it, to a
 * view sent at `sent` tells us. */
static void take_ack(fc_controller *c, fc_peer *peer, const fc_ack *ack, double sent, uint64_t view) {
  double now = fc_now();
  peer->covered_at = sent;
  peer->acked_seq = ack->applied ? ack->seq : 0;
  if (ack->applied) {
    peer->acked_view = view;
    peer->acked_revision = ack->revision;
  }
  for (size_t i = 0; i < ack->kept_count; i++) fc_workers_kept(c, &ack->kept[i], now);
  size_t k = (size_t)(peer - c->peers);
  for (size_t i = 0; i < ack->asked_count; i++) fc_workers_asked(c, k, &ack->asked[i], sent, now);
}

/* Facts, whatever term or life the sender is in. */
static void take_cancels(fc_controller *c, const fc_frame_cancel *cancels, size_t count) {
  for (size_t i = 0; i < count; i++)
    fc_cancel_learned(c, cancels[i].job, cancels[i].revision, fc_now() - cancels[i].age_ms / 1000.0);
}

/* A peer has told us what it has read; what all have read need not be passed on. */
static void note_revision(fc_controller *c, fc_peer *peer, uint64_t revision) {
  peer->revision = revision;
  uint64_t all = c->revision;
  for (size_t k = 0; k < c->settings->peer_count; k++) all = MIN(all, c->peers[k].revision);
  fc_cancels_read(c->cancels, all);
}

static bool exchange(fc_controller *c, fc_peer *peer, link_buffer *link, uint64_t seq) {
  GByteArray *out = g_byte_array_new();
  fc_view_make(c, peer, seq, out);
  double sent = fc_now(), deadline = sent + c->settings->report_s;
  uint64_t term = c->table->term.number, boot = c->boot, view = c->table->view;
  size_t k = (size_t)(peer - c->peers);
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
  ok = ack.seq == seq && strcmp(ack.sender, peer->settings->name) == 0;
  const fc_term *now_term = &c->table->term;
  int at = ok ? fc_term_find(now_term, ack.sender) : -1;
  if (ok) {
    double now = fc_now();
    peer->heard_at = now;
    peer->fresh_at = now - ack.fresh_ms / 1000.0;
    take_cancels(c, ack.cancels, ack.cancel_count);
    note_revision(c, peer, ack.revision);
    /* One that has told us all it knows has, for us, learned of nothing since our own
     * last read: we know it too, and halt what is cancelled. */
    fc_authority_quiet(&c->authority, k, sent, ack.told_all ? -INFINITY : now - ack.quiet_ms / 1000.0);
    /* Whatever life or term it is in: it answers for what it promises us. */
    if (ack.promise_ms > 0 && now_term->number == term && c->boot == boot)
      fc_authority_promised(&c->authority, now_term, c->peer_of, c->table->self, k, now, sent, ack.promise_ms / 1000.0);
  }
  /* It counts only within the term, and between the lives, it was asked for. */
  if (at >= 0 && now_term->number == term && c->boot == boot && ack.term == term &&
      now_term->members[at].boot == ack.boot) {
    take_ack(c, peer, &ack, sent, view);
  } else {
    peer->acked_seq = 0;
  }
  fc_ack_clear(&ack);
  return ok;
lost:
  peer->acked_seq = 0; /* it may hold that view or not */
  return false;
}

void fc_views_soon(fc_controller *c) {
  c->view_events++;
  fc_cond_broadcast(&c->view_now);
}

static void link_main(void *arg) {
  link_arg *l = arg;
  fc_controller *c = l->c;
  fc_metrics_duty(&c->metrics, FC_DUTY_VIEWS_SENT);
  uint64_t seq = 0;
  link_buffer *in = g_new0(link_buffer, 1); /* its connection is NULL while there is none */
  while (!fc_routine_cancelled()) {
    double began = fc_now();
    uint64_t events = c->view_events;
    c->counts.exchanges++;
    if (!in->conn)
      *in = (link_buffer){.conn = fc_conn_connect(&l->peer->settings->peer_at, began + c->settings->report_s * 0.5)};
    if (in->conn && !exchange(c, l->peer, in, ++seq)) {
      fc_conn_close(in->conn);
      in->conn = NULL;
    }
    double least = began + fc_view_spacing(c->settings, fc_loop_lag());
    if (events == c->view_events || !in->conn)
      (void)fc_cond_wait(&c->view_now, began + c->settings->report_s * (in->conn ? 0.5 : 0.2));
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
static void take_backlog(fc_controller *c, const fc_view *v) {
  double now = fc_now(), mine = 1 + fc_commit_backlog(c->commit), all = mine;
  for (size_t k = 0; k < c->settings->peer_count; k++) {
    fc_peer *p = &c->peers[k];
    if (strcmp(p->settings->name, v->sender) == 0) {
      p->backlog = v->backlog;
      p->backlog_at = now;
    }
    /* One that has not told us lately may be cut off from us alone. */
    all += 1 + (now < p->backlog_at + c->settings->report_s ? p->backlog : 0);
  }
  fc_commit_share(c->commit, mine / all, 1.0 / (double)(c->settings->peer_count + 1));
}

static uint32_t give_promise(fc_controller *c, const fc_view *v) {
  const fc_table *t = c->table;
  /* A term transaction of unknown outcome may exclude it at any time. */
  if (c->term_unknown) return 0;
  double promise = c->authority.lease_s;
  bool entered = c->boot && t->self >= 0 && t->term.members[t->self].boot == c->boot;
  /* Before we have entered we can exclude nobody; our entry keeps everybody, and
   * then we wait longer than this promise (fc_authority_entry_wait). */
  if (!entered) return (uint32_t)(promise * 1000);
  int sender = fc_term_find(&t->term, v->sender);
  if (sender < 0 || v->boot != t->term.members[sender].boot) return 0;
  fc_peer *p = fc_peer_of(c, sender);
  if (!p) return 0;
  p->promised_until = MAX(p->promised_until, fc_now() + promise * (1 + FC_DRIFT));
  return (uint32_t)(promise * 1000);
}

/* What we know of other members' machines: whose reports we have answered, and which we have
 * asked directly, within two leases. */
static void fill_machines(const fc_controller *c, fc_ack *ack) {
  const fc_table *t = c->table;
  double now = fc_now(), since = now - 2 * c->settings->lease_s;
  GArray *kept = g_array_new(FALSE, TRUE, sizeof(fc_frame_kept));
  GArray *asked = g_array_new(FALSE, TRUE, sizeof(fc_frame_asked));
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, t->machines);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    const fc_machine *m = value;
    if (m->owner == t->self) continue;
    if (m->answered_at && m->answered_at >= since) {
      fc_frame_kept k = {.age_ms = (uint32_t)((now - m->answered_at) * 1000),
                         .hears = !m->deaf_since,
                         .session = m->session,
                         .seq = m->seq};
      g_strlcpy(k.machine, m->id, sizeof k.machine);
      g_array_append_val(kept, k);
    }
    if (m->asked_at && m->asked_at >= since) {
      fc_frame_asked a = {.age_ms = (uint32_t)ceil((now - m->asked_at) * 1000), .answered = m->asked_answered};
      g_strlcpy(a.machine, m->id, sizeof a.machine);
      g_array_append_val(asked, a);
    }
  }
  ack->kept_count = kept->len;
  ack->kept = (fc_frame_kept *)g_array_free(kept, FALSE);
  ack->asked_count = asked->len;
  ack->asked = (fc_frame_asked *)g_array_free(asked, FALSE);
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
static void serve_http(fc_controller *c, link_buffer *in, const uint8_t *head) {
  fc_http_server_options opt = {.idle_s = c->settings->lease_s, .request_s = c->settings->report_s};
  uint8_t first[FC_FRAME_HEAD + sizeof in->bytes];
  memcpy(first, head, FC_FRAME_HEAD);
  size_t more = take_buffered(in, first + FC_FRAME_HEAD, sizeof in->bytes);
  fc_http_serve_conn(in->conn, (const char *)first, FC_FRAME_HEAD + more, &opt, serve_operator, c);
}

/* Encodes the acknowledgement of a complete view. */
static GByteArray *acknowledge(fc_controller *c, const fc_view *v, fc_view_fate fate) {
  const fc_cancel *untold;
  size_t untold_count;
  /* Before we have read everything, an incarnation of ours before this may have confirmed what
   * we don't know. */
  bool told_all = fc_cancels_since(c->cancels, v->revision, &untold, &untold_count) && c->loaded;
  fc_ack ack = {.boot = c->boot,
                .term = c->table->term.number,
                .seq = v->seq,
                .applied = fate == FC_VIEW_TAKEN,
                .promise_ms = give_promise(c, v),
                .quiet_ms = (uint32_t)(MIN(fc_now() - c->cancel_at, 1e6) * 1000),
                .fresh_ms = (uint32_t)(MIN(fc_now() - c->fresh_sent, 1e6) * 1000),
                .revision = c->revision,
                .told_all = told_all,
                .cancels = fc_cancels_frame(untold, untold_count, fc_now()),
                .cancel_count = untold_count};
  fill_machines(c, &ack);
  g_strlcpy(ack.sender, c->settings->name, sizeof ack.sender);
  GByteArray *out = g_byte_array_new();
  fc_ack_encode(out, &ack);
  fc_ack_clear(&ack);
  return out;
}

/* Takes a view in, and acknowledges it with its last piece. False if the connection is to be
 * closed. The view is cleared in any case. */
static bool serve_view(fc_controller *c, fc_conn *conn, fc_view *v) {
  fc_view_fate fate = fc_view_take(c, v);
  take_cancels(c, v->cancels, v->cancel_count);
  if (fate == FC_VIEW_BROKEN)
    g_warning("view out of order from=%s seq=%" G_GUINT64_FORMAT " piece=%u", v->sender, (guint64)v->seq, v->piece);
  if (fate == FC_VIEW_BROKEN || !v->last) {
    fc_view_clear(v);
    return fate != FC_VIEW_BROKEN;
  }
  c->counts.views++;
  take_backlog(c, v);
  GByteArray *out = acknowledge(c, v, fate);
  fc_view_clear(v);
  bool ok = fc_conn_write(conn, out->data, out->len, fc_now() + c->settings->report_s);
  g_byte_array_free(out, TRUE);
  return ok;
}

/* Serves a connection to the peer address: a peer's views, or an operator's HTTP. */
static void serve_peer(fc_conn *conn, void *arg) {
  fc_controller *c = arg;
  fc_metrics_duty(&c->metrics, FC_DUTY_VIEWS_TAKEN);
  link_buffer in = {.conn = conn};
  for (;;) {
    fc_frame_type type;
    uint32_t len;
    uint8_t head[FC_FRAME_HEAD];
    uint8_t *body = read_frame(&in, fc_now() + c->settings->lease_s, head, &type, &len);
    if (!body && fc_frame_is_http(head)) {
      serve_http(c, &in, head);
      return;
    }
    fc_view v;
    bool ok = body && type == FC_FRAME_VIEW && fc_view_decode(body, len, &v);
    g_free(body);
    if (!ok) return; /* wrong length, version or kind: the connection is closed */
    if (!serve_view(c, conn, &v)) return;
  }
}

bool fc_peers_start(fc_controller *c) {
  if (!fc_listen(&c->settings->peer_at, c->settings->peer_count * 8 + 8, serve_peer, c)) return false;
  for (size_t i = 0; i < c->settings->peer_count; i++) {
    link_arg *l = g_new0(link_arg, 1);
    l->c = c;
    l->peer = &c->peers[i];
    l->peer->settings = &c->settings->peers[i];
    if (!fc_routine_spawn(link_main, l)) return false;
  }
  return true;
}
