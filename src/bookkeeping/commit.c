#include "bookkeeping/commit.h"

#include <math.h>
#include <string.h>

#include "bookkeeping/budget.h"
#include "protocol/records.h"
#include "transport/routine.h"

typedef struct piece {
  char *key;
  uint64_t version; /* conditions */
  json_t *value;    /* writes; NULL: delete */
} piece;

struct fc_write {
  GArray *conditions, *writes; /* piece */
  size_t bytes;                /* that it adds to the body of a transaction, about */
  size_t largest_value;        /* bytes */
  bool alone;                  /* it was refused together with others: it goes by itself */
  double deadline;
  fc_routine *waiter;
  bool decided, in_flight;
  fc_state_result result;
  uint64_t revision;
};

/* The protocol's bound for the body of a transaction, less what holds it together. */
#define TXN_BYTES_MOST ((size_t)60 * 1024)
/* Field names and punctuation around a key and its value or version. */
#define PIECE_OVERHEAD 40u

/* Transactions without an answer yet, at most; others pass them by meanwhile. */
#define UNDER_WAY_MOST 4u

typedef struct transaction {
  fc_commit *commit;
  GPtrArray *batch; /* fc_write */
  fc_txn *txn;
} transaction;

/* The write rate after one more refusal, and the time in which it rises to e times as much
 * when there are none: a service that keeps to a lower rate is asked for more than that
 * every thirteen seconds. */
#define RATE_AFTER_REFUSAL 0.8
#define RATE_RISES_S 60.0

struct fc_commit {
  fc_state *state;
  unsigned txn_ops;
  size_t value_bytes;
  fc_budget writes, requests;
  double even_writes, even_requests; /* per second, when all ask for as much */
  double share;                      /* of even_writes: more where others ask for less */
  double slowed, slowest;            /* of the write rate: as refusals allow, and at least */
  double slowed_at;                  /* when `slowed` was last adjusted */
  double answer_s;
  GQueue queue[FC_RANKS];
  double gathered;      /* writes of the transaction that waits for the rate */
  fc_cond work;         /* there is something to send, or one is settled */
  GPtrArray *under_way; /* transaction: being sent, or waiting for the rates */
  double pause_until;   /* the state service refuses */
  fc_commit_counts counts;
};

static void piece_clear(gpointer p) {
  piece *x = p;
  g_free(x->key);
  json_decref(x->value);
}

fc_write *fc_write_new(void) {
  fc_write *w = g_new0(fc_write, 1);
  w->conditions = g_array_new(FALSE, TRUE, sizeof(piece));
  w->writes = g_array_new(FALSE, TRUE, sizeof(piece));
  g_array_set_clear_func(w->conditions, piece_clear);
  g_array_set_clear_func(w->writes, piece_clear);
  return w;
}

void fc_write_free(fc_write *w) {
  g_array_free(w->conditions, TRUE);
  g_array_free(w->writes, TRUE);
  g_free(w);
}

void fc_write_if(fc_write *w, const char *key, uint64_t version) {
  w->bytes += strlen(key) + PIECE_OVERHEAD;
  piece p = {.key = g_strdup(key), .version = version};
  g_array_append_val(w->conditions, p);
}

void fc_write_put(fc_write *w, const char *key, json_t *value) {
  size_t size = json_dumpb(value, NULL, 0, JSON_COMPACT);
  w->bytes += strlen(key) + size + PIECE_OVERHEAD;
  w->largest_value = MAX(w->largest_value, size);
  piece p = {.key = g_strdup(key), .value = value};
  g_array_append_val(w->writes, p);
}

void fc_write_delete(fc_write *w, const char *key) {
  w->bytes += strlen(key) + PIECE_OVERHEAD;
  piece p = {.key = g_strdup(key)};
  g_array_append_val(w->writes, p);
}

fc_commit *fc_commit_new(fc_state *state, const fc_commit_limits *limits) {
  fc_commit *c = g_new0(fc_commit, 1);
  c->state = state;
  /* A transaction larger than a second's worth would never get through. */
  unsigned burst = limits->lowest_writes_per_s < 1 ? 1 : (unsigned)limits->lowest_writes_per_s;
  c->txn_ops = MIN(limits->txn_ops, burst);
  c->value_bytes = limits->value_bytes;
  double now = fc_now();
  fc_budget_init(&c->writes, limits->writes_per_s, MAX(1, floor(limits->writes_per_s)), now);
  fc_budget_init(&c->requests, limits->requests_per_s, MAX(1, limits->requests_per_s), now);
  c->even_writes = limits->writes_per_s;
  c->even_requests = limits->requests_per_s;
  c->share = c->slowed = 1;
  c->slowest = MIN(1, limits->lowest_writes_per_s / limits->writes_per_s);
  c->slowed_at = now;
  c->answer_s = limits->answer_s;
  c->under_way = g_ptr_array_new();
  for (int r = 0; r < FC_RANKS; r++) g_queue_init(&c->queue[r]);
  return c;
}

double fc_commit_rate(const fc_commit *c) {
  return c->even_writes * c->share * c->slowed;
}

/* The burst is one second's worth of the service's own, present rate. */
static void set_write_rate(fc_commit *c, double now) {
  fc_budget_rate(&c->writes, fc_commit_rate(c), now);
  c->writes.burst = MAX(1, floor(c->even_writes * c->slowed));
}

/* Without refusals the rate rises, little by little: it may have been chance, or the other
 * members' share. */
static void let_rate_rise(fc_commit *c, double now) {
  if (c->slowed >= 1) return;
  c->slowed = MIN(1, c->slowed * exp((now - c->slowed_at) / RATE_RISES_S));
  c->slowed_at = now;
  set_write_rate(c, now);
}

/* The service has refused a transaction for its rate. */
static void slow_down(fc_commit *c, double now) {
  if (c->slowest >= 1) return; /* no lower rate was announced */
  /* One step below: what the members take together may be more than their parts for a while. */
  c->slowed = MAX(c->slowest * RATE_AFTER_REFUSAL, c->slowed * RATE_AFTER_REFUSAL);
  c->slowed_at = now;
  set_write_rate(c, now);
}

void fc_commit_share(fc_commit *c, double share, double even) {
  double now = fc_now();
  c->share = share / even;
  set_write_rate(c, now);
  /* Of requests a member needs some to read and to renew its lease as well. */
  fc_budget_rate(&c->requests, c->even_requests * MAX(1, MIN(share / even, 1.5)), now);
}

bool fc_commit_spare_request(fc_commit *c) {
  return fc_budget_take(&c->requests, 1, c->requests.burst / 2, fc_now());
}

unsigned fc_commit_most(const fc_commit *c) {
  return c->txn_ops;
}

unsigned fc_commit_backlog(const fc_commit *c) {
  unsigned n = 0;
  for (guint i = 0; i < c->under_way->len; i++)
    n += (unsigned)fc_txn_writes(((const transaction *)c->under_way->pdata[i])->txn);
  for (int r = 0; r < FC_RANKS; r++)
    for (const GList *l = c->queue[r].head; l; l = l->next) n += ((const fc_write *)l->data)->writes->len;
  return n;
}

static void decide(fc_write *w, fc_state_result result, uint64_t revision) {
  w->decided = true;
  w->in_flight = false;
  w->result = result;
  w->revision = revision;
  if (w->waiter) fc_routine_wake(w->waiter);
}

static bool touches(const GArray *pieces, const char *key) {
  for (guint i = 0; i < pieces->len; i++)
    if (strcmp(g_array_index(pieces, piece, i).key, key) == 0) return true;
  return false;
}

/* Two writes of one key can't share a transaction, nor can a write share one
 * with a condition on what it changes. */
static bool clashes(const GPtrArray *batch, const fc_write *w) {
  for (guint b = 0; b < batch->len; b++) {
    const fc_write *o = batch->pdata[b];
    for (guint i = 0; i < w->writes->len; i++) {
      const char *key = g_array_index(w->writes, piece, i).key;
      if (touches(o->writes, key) || touches(o->conditions, key)) return true;
    }
    for (guint i = 0; i < w->conditions->len; i++)
      if (touches(o->writes, g_array_index(w->conditions, piece, i).key)) return true;
  }
  return false;
}

/* What touches the same keys as a transaction under way has to wait for its outcome. */
static bool must_wait(const fc_commit *c, const fc_write *w) {
  for (guint i = 0; i < c->under_way->len; i++)
    if (clashes(((const transaction *)c->under_way->pdata[i])->batch, w)) return true;
  return false;
}

/* The writes that go out together. */
typedef struct gathering {
  GPtrArray *batch; /* fc_write */
  unsigned ops;
  size_t bytes;
  bool closed; /* nothing may join */
} gathering;

/* May the write join what has been gathered so far? A first one always may. */
static bool may_join(const fc_commit *c, const gathering *g, const fc_write *w) {
  if (must_wait(c, w)) return false;
  if (g->batch->len == 0) return true;
  if (w->alone || g->ops + w->writes->len > c->txn_ops || g->bytes + w->bytes > TXN_BYTES_MOST) return false;
  return !clashes(g->batch, w);
}

static void join(const fc_commit *c, gathering *g, fc_write *w) {
  g->ops += w->writes->len;
  g->bytes += w->bytes;
  g->closed = w->alone || g->ops >= c->txn_ops;
  w->in_flight = true;
  g_ptr_array_add(g->batch, w);
}

/* Moves the writes of a queue that may join into the batch, and gives up those that are past
 * their deadline. */
static void gather_from(fc_commit *c, GQueue *queue, double now, gathering *g) {
  for (GList *l = queue->head; l && !g->closed;) {
    fc_write *w = l->data;
    GList *next = l->next;
    if (now >= w->deadline) {
      g_queue_delete_link(queue, l);
      decide(w, FC_STATE_DOWN, 0);
    } else if (may_join(c, g, w)) {
      g_queue_delete_link(queue, l);
      join(c, g, w);
    }
    l = next;
  }
}

/* Takes the writes of the next transaction from the queues, by rank. */
static GPtrArray *gather(fc_commit *c) {
  gathering g = {.batch = g_ptr_array_new()};
  double now = fc_now();
  for (int rank = 0; rank < FC_RANKS && !g.closed; rank++) gather_from(c, &c->queue[rank], now, &g);
  return g.batch;
}

static fc_txn *build(const GPtrArray *batch) {
  fc_txn *t = fc_txn_new();
  GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
  for (guint b = 0; b < batch->len; b++) {
    const fc_write *w = batch->pdata[b];
    for (guint i = 0; i < w->conditions->len; i++) {
      const piece *p = &g_array_index(w->conditions, piece, i);
      /* Writes of one batch that disagree about a version: let the state
       * service say which is wrong, by asking for both. */
      char *mark = g_strdup_printf("%s@%" G_GUINT64_FORMAT, p->key, (guint64)p->version);
      if (g_hash_table_contains(seen, mark)) {
        g_free(mark);
        continue;
      }
      g_hash_table_add(seen, mark);
      fc_txn_if(t, p->key, p->version);
    }
    for (guint i = 0; i < w->writes->len; i++) {
      const piece *p = &g_array_index(w->writes, piece, i);
      if (p->value) {
        fc_txn_put(t, p->key, json_incref(p->value));
      } else {
        fc_txn_delete(t, p->key);
      }
    }
  }
  GHashTableIter it;
  gpointer key;
  g_hash_table_iter_init(&it, seen);
  while (g_hash_table_iter_next(&it, &key, NULL)) g_free(key);
  g_hash_table_destroy(seen);
  return t;
}

const char *const fc_write_kind_names[FC_WRITE_KINDS] = {"job", "machine", "hire", "quota", "other"};

static fc_write_kind kind_of(const char *key) {
  if (g_str_has_prefix(key, FC_PREFIX_JOB)) return FC_KIND_JOBS;
  if (g_str_has_prefix(key, FC_PREFIX_MACHINE)) return FC_KIND_MACHINES;
  if (g_str_has_prefix(key, FC_PREFIX_RENTAL)) return FC_KIND_RENTALS;
  return strcmp(key, FC_KEY_QUOTA) == 0 ? FC_KIND_SHARES : FC_KIND_OTHERS;
}

static void count_kinds(fc_commit *c, const GPtrArray *batch) {
  for (guint b = 0; b < batch->len; b++) {
    const fc_write *w = batch->pdata[b];
    for (guint i = 0; i < w->writes->len; i++) c->counts.writes[kind_of(g_array_index(w->writes, piece, i).key)]++;
  }
}

static void requeue(fc_commit *c, fc_write *w) {
  w->in_flight = false;
  /* Ahead of its rank: it has waited longest. The rank is kept in the queue it
   * came from, which is the one its deadline routine looks through. */
  g_queue_push_head(&c->queue[FC_RANK_REPORT], w);
}

static bool touches_any(const GArray *pieces, const GPtrArray *keys) {
  for (guint k = 0; k < keys->len; k++)
    if (touches(pieces, keys->pdata[k])) return true;
  return false;
}

/* Decides the writes whose own conditions failed; false if there are none. */
static bool decide_blamed(const GPtrArray *batch, const GPtrArray *failed) {
  bool blamed = false;
  for (guint b = 0; b < batch->len; b++) {
    fc_write *w = batch->pdata[b];
    if (!w->in_flight || !touches_any(w->conditions, failed)) continue;
    blamed = true;
    decide(w, FC_STATE_CONFLICT, 0);
  }
  return blamed;
}

/* Passes the outcome of a transaction on to its writes. Those that came to nothing for no
 * fault of theirs are queued again. */
static void settle(fc_commit *c, GPtrArray *batch, fc_state_result result, uint64_t revision, const GPtrArray *failed) {
  bool blamed = result == FC_STATE_CONFLICT && decide_blamed(batch, failed);
  /* Refused for one of them, which is not said: each by itself is another transaction. */
  bool apart = result == FC_STATE_REFUSED && batch->len > 1;
  bool again = blamed || apart || result == FC_STATE_BUSY || result == FC_STATE_DOWN;
  for (guint b = batch->len; b-- > 0;) {
    fc_write *w = batch->pdata[b];
    if (w->decided) continue;
    if (again) {
      w->alone |= apart;
      requeue(c, w);
    } else {
      decide(w, result, revision);
    }
  }
}

static void send_main(void *arg) {
  transaction *t = arg;
  fc_commit *c = t->commit;
  GPtrArray *failed = g_ptr_array_new_with_free_func(g_free);
  uint64_t revision = 0;
  fc_state_result result = fc_state_commit(c->state, t->txn, fc_now() + c->answer_s, &revision, failed);
  if (result == FC_STATE_BUSY) slow_down(c, fc_now());
  /* Jitter, or all controllers come back at the same moment. */
  if (result == FC_STATE_BUSY || result == FC_STATE_DOWN) c->pause_until = fc_now() + g_random_double_range(0.1, 0.4);
  g_ptr_array_remove_fast(c->under_way, t);
  settle(c, t->batch, result, revision, failed);
  g_ptr_array_free(failed, TRUE);
  g_ptr_array_free(t->batch, TRUE);
  fc_txn_free(t->txn);
  g_free(t);
  fc_cond_broadcast(&c->work);
}

static void wait_for_rates(fc_commit *c, double writes) {
  let_rate_rise(c, fc_now());
  for (;;) {
    double now = fc_now();
    double wait = MAX(fc_budget_wait(&c->writes, writes, 0, now), fc_budget_wait(&c->requests, 1, 0, now));
    wait = MAX(wait, c->pause_until - now);
    if (wait < 1e-6) break; /* shorter than a sleep can be: it would be waited for ever */
    if (fc_routine_sleep(wait) == FC_WAKE_CANCELLED) break;
  }
  (void)fc_budget_take(&c->writes, writes, 0, fc_now());
  (void)fc_budget_take(&c->requests, 1, 0, fc_now());
}

/* One after the other, as long as they are answered soon: what comes meanwhile goes
 * together in the next. One that gets no answer is passed by, by others that touch other
 * keys; every write is conditional, so no order between them is needed. It held
 * everything up before until it was given up: with half of them unanswered half of the
 * submissions were late. */
static void send_and_wait(fc_commit *c, transaction *t) {
  double patience = fc_now() + c->answer_s * 0.15;
  if (!fc_routine_spawn(send_main, t)) {
    send_main(t);
    return;
  }
  while (g_ptr_array_find(c->under_way, t, NULL) && fc_cond_wait(&c->work, patience) == FC_WAKE_OK) {
  }
  while (c->under_way->len >= UNDER_WAY_MOST && fc_cond_wait(&c->work, fc_now() + 1.0) != FC_WAKE_CANCELLED) {
  }
}

void fc_commit_main(void *arg) {
  fc_commit *c = arg;
  while (!fc_routine_cancelled()) {
    GPtrArray *batch = gather(c);
    if (batch->len == 0) {
      g_ptr_array_free(batch, TRUE);
      fc_cond_wait(&c->work, fc_now() + 1.0);
      continue;
    }
    transaction *t = g_new(transaction, 1);
    *t = (transaction){.commit = c, .batch = batch, .txn = build(batch)};
    g_ptr_array_add(c->under_way, t);
    double began = fc_now();
    c->gathered = MIN((double)fc_txn_writes(t->txn), c->writes.burst);
    wait_for_rates(c, c->gathered);
    c->gathered = 0;
    c->counts.transactions++;
    count_kinds(c, batch);
    c->counts.waited_s += fc_now() - began;
    send_and_wait(c, t);
  }
}

fc_state_result fc_commit_write(fc_commit *c, fc_write *w, fc_write_rank rank, double deadline, uint64_t *revision) {
  if (w->largest_value > c->value_bytes) {
    g_warning("value too large key=%s bytes=%zu", g_array_index(w->writes, piece, 0).key, w->largest_value);
    fc_write_free(w);
    return FC_STATE_REFUSED;
  }
  w->deadline = deadline;
  w->waiter = fc_routine_self();
  g_queue_push_tail(&c->queue[rank], w);
  fc_cond_broadcast(&c->work);
  while (!w->decided) {
    /* A write in flight is waited for: its outcome is what the caller needs. */
    fc_wake wake = fc_routine_park(w->in_flight ? fc_now() + c->answer_s : deadline);
    if (w->decided || wake == FC_WAKE_OK) continue;
    if (!w->in_flight) {
      for (int r = 0; r < FC_RANKS; r++) g_queue_remove(&c->queue[r], w);
      decide(w, FC_STATE_DOWN, 0);
    } else if (wake == FC_WAKE_CANCELLED) {
      w->waiter = NULL;
      return FC_STATE_UNKNOWN; /* the batch still holds it; it is freed with the process */
    }
  }
  fc_state_result result = w->result;
  if (revision) *revision = w->revision;
  fc_write_free(w);
  return result;
}

/* By what is left of the rate now: the burst counted as there although it had been spent,
 * and those gathered for the next transaction did not count, so that submissions waited for
 * twice as long as said here and were refused in the end. */
bool fc_commit_accepts(fc_commit *c, fc_write_rank rank, double wait_s) {
  double ahead = c->gathered;
  for (int r = 0; r <= (int)rank; r++) ahead += g_queue_get_length(&c->queue[r]);
  return fc_budget_wait(&c->writes, ahead + 1, 0, fc_now()) <= wait_s;
}

fc_commit_counts fc_commit_count(const fc_commit *c) {
  return c->counts;
}
