#include "bookkeeping/group_commit.h"

#include <math.h>
#include <string.h>

#include "bookkeeping/token_bucket.h"
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
  fc_kv_result result;
  uint64_t revision;
};

/* The protocol's bound for the body of a transaction, less what holds it together. */
#define TXN_BYTES_MOST ((size_t)60 * 1024)
/* Field names and punctuation around a key and its value or version. */
#define PIECE_OVERHEAD 40u

/* Transactions without an answer yet, at most; others pass them by meanwhile. */
#define UNDER_WAY_MOST 4u

typedef struct transaction {
  fc_group_commit *commit;
  GPtrArray *batch; /* fc_write */
  fc_txn *txn;
} transaction;

/* The write rate after one more refusal, and the time in which it rises to e times as much
 * when there are none: a service that keeps to a lower rate is asked for more than that
 * every thirteen seconds. */
#define RATE_AFTER_REFUSAL 0.8
#define RATE_RISES_S 60.0

struct fc_group_commit {
  fc_kv *state;
  unsigned txn_ops;
  size_t value_bytes;
  fc_token_bucket writes, requests;
  double even_writes, even_requests; /* per second, when all ask for as much */
  double share;                      /* of even_writes: more where others ask for less */
  double slowdown, slowdown_min;     /* of the write rate: as refusals allow, and at least */
  double slowdown_at;                /* when `slowed` was last adjusted */
  double response_timeout_s;
  GQueue queue[FC_WRITE_PRIORITIES];
  double gathered;      /* writes of the transaction that waits for the rate */
  fc_cond work;         /* there is something to send, or one is settled */
  GPtrArray *under_way; /* transaction: being sent, or waiting for the rates */
  double pause_until;   /* the state service refuses */
  fc_group_commit_counts counts;
};

static void piece_clear(gpointer p) {
  piece *x = p;
  g_free(x->key);
  json_decref(x->value);
}

fc_write *fc_write_new(void) {
  fc_write *write = g_new0(fc_write, 1);
  write->conditions = g_array_new(FALSE, TRUE, sizeof(piece));
  write->writes = g_array_new(FALSE, TRUE, sizeof(piece));
  g_array_set_clear_func(write->conditions, piece_clear);
  g_array_set_clear_func(write->writes, piece_clear);
  return write;
}

void fc_write_free(fc_write *write) {
  g_array_free(write->conditions, TRUE);
  g_array_free(write->writes, TRUE);
  g_free(write);
}

void fc_write_compare(fc_write *write, const char *key, uint64_t version) {
  write->bytes += strlen(key) + PIECE_OVERHEAD;
  piece p = {.key = g_strdup(key), .version = version};
  g_array_append_val(write->conditions, p);
}

void fc_write_put(fc_write *write, const char *key, json_t *value) {
  size_t size = json_dumpb(value, NULL, 0, JSON_COMPACT);
  write->bytes += strlen(key) + size + PIECE_OVERHEAD;
  write->largest_value = MAX(write->largest_value, size);
  piece p = {.key = g_strdup(key), .value = value};
  g_array_append_val(write->writes, p);
}

void fc_write_delete(fc_write *write, const char *key) {
  write->bytes += strlen(key) + PIECE_OVERHEAD;
  piece p = {.key = g_strdup(key)};
  g_array_append_val(write->writes, p);
}

fc_group_commit *fc_group_commit_new(fc_kv *state, const fc_group_commit_limits *limits) {
  fc_group_commit *commit = g_new0(fc_group_commit, 1);
  commit->state = state;
  /* A transaction larger than a second's worth would never get through. */
  unsigned burst = limits->min_writes_per_s < 1 ? 1 : (unsigned)limits->min_writes_per_s;
  commit->txn_ops = MIN(limits->txn_ops, burst);
  commit->value_bytes = limits->value_bytes;
  double now = fc_now();
  fc_token_bucket_init(&commit->writes, limits->writes_per_s, MAX(1, floor(limits->writes_per_s)), now);
  fc_token_bucket_init(&commit->requests, limits->requests_per_s, MAX(1, limits->requests_per_s), now);
  commit->even_writes = limits->writes_per_s;
  commit->even_requests = limits->requests_per_s;
  commit->share = commit->slowdown = 1;
  commit->slowdown_min = MIN(1, limits->min_writes_per_s / limits->writes_per_s);
  commit->slowdown_at = now;
  commit->response_timeout_s = limits->response_timeout_s;
  commit->under_way = g_ptr_array_new();
  for (int r = 0; r < FC_WRITE_PRIORITIES; r++) g_queue_init(&commit->queue[r]);
  return commit;
}

double fc_group_commit_rate(const fc_group_commit *commit) {
  return commit->even_writes * commit->share * commit->slowdown;
}

/* The burst is one second's worth of the service's own, present rate. */
static void set_write_rate(fc_group_commit *commit, double now) {
  fc_token_bucket_set_rate(&commit->writes, fc_group_commit_rate(commit), now);
  commit->writes.burst = MAX(1, floor(commit->even_writes * commit->slowdown));
}

/* Without refusals the rate rises, little by little: it may have been chance, or the other
 * members' share. */
static void let_rate_rise(fc_group_commit *commit, double now) {
  if (commit->slowdown >= 1) return;
  commit->slowdown = MIN(1, commit->slowdown * exp((now - commit->slowdown_at) / RATE_RISES_S));
  commit->slowdown_at = now;
  set_write_rate(commit, now);
}

/* The service has refused a transaction for its rate. */
static void slow_down(fc_group_commit *commit, double now) {
  if (commit->slowdown_min >= 1) return; /* no lower rate was announced */
  /* One step below: what the members take together may be more than their parts for a while. */
  commit->slowdown = MAX(commit->slowdown_min * RATE_AFTER_REFUSAL, commit->slowdown * RATE_AFTER_REFUSAL);
  commit->slowdown_at = now;
  set_write_rate(commit, now);
}

void fc_group_commit_set_share(fc_group_commit *commit, double share, double even) {
  double now = fc_now();
  commit->share = share / even;
  set_write_rate(commit, now);
  /* Of requests a member needs some to read and to renew its lease as well. */
  fc_token_bucket_set_rate(&commit->requests, commit->even_requests * MAX(1, MIN(share / even, 1.5)), now);
}

bool fc_group_commit_take_spare_request(fc_group_commit *commit) {
  return fc_token_bucket_take(&commit->requests, 1, commit->requests.burst / 2, fc_now());
}

unsigned fc_group_commit_max_writes(const fc_group_commit *commit) {
  return commit->txn_ops;
}

unsigned fc_group_commit_backlog(const fc_group_commit *commit) {
  unsigned n = 0;
  for (guint i = 0; i < commit->under_way->len; i++)
    n += (unsigned)fc_txn_writes(((const transaction *)commit->under_way->pdata[i])->txn);
  for (int r = 0; r < FC_WRITE_PRIORITIES; r++)
    for (const GList *l = commit->queue[r].head; l; l = l->next) n += ((const fc_write *)l->data)->writes->len;
  return n;
}

static void decide(fc_write *write, fc_kv_result result, uint64_t revision) {
  write->decided = true;
  write->in_flight = false;
  write->result = result;
  write->revision = revision;
  if (write->waiter) fc_routine_wake(write->waiter);
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
    const fc_write *write = batch->pdata[b];
    for (guint i = 0; i < w->writes->len; i++) {
      const char *key = g_array_index(w->writes, piece, i).key;
      if (touches(write->writes, key) || touches(write->conditions, key)) return true;
    }
    for (guint i = 0; i < w->conditions->len; i++)
      if (touches(write->writes, g_array_index(w->conditions, piece, i).key)) return true;
  }
  return false;
}

/* What touches the same keys as a transaction under way has to wait for its outcome. */
static bool must_wait(const fc_group_commit *commit, const fc_write *write) {
  for (guint i = 0; i < commit->under_way->len; i++)
    if (clashes(((const transaction *)commit->under_way->pdata[i])->batch, write)) return true;
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
static bool may_join(const fc_group_commit *commit, const gathering *g, const fc_write *write) {
  if (must_wait(commit, write)) return false;
  if (g->batch->len == 0) return true;
  if (write->alone || g->ops + write->writes->len > commit->txn_ops || g->bytes + write->bytes > TXN_BYTES_MOST)
    return false;
  return !clashes(g->batch, write);
}

static void join(const fc_group_commit *commit, gathering *g, fc_write *write) {
  g->ops += write->writes->len;
  g->bytes += write->bytes;
  g->closed = write->alone || g->ops >= commit->txn_ops;
  write->in_flight = true;
  g_ptr_array_add(g->batch, write);
}

/* Moves the writes of a queue that may join into the batch, and gives up those that are past
 * their deadline. */
static void gather_from(fc_group_commit *commit, GQueue *queue, double now, gathering *g) {
  for (GList *l = queue->head; l && !g->closed;) {
    fc_write *write = l->data;
    GList *next = l->next;
    if (now >= write->deadline) {
      g_queue_delete_link(queue, l);
      decide(write, FC_KV_DOWN, 0);
    } else if (may_join(commit, g, write)) {
      g_queue_delete_link(queue, l);
      join(commit, g, write);
    }
    l = next;
  }
}

/* Takes the writes of the next transaction from the queues, by rank. */
static GPtrArray *gather(fc_group_commit *commit) {
  gathering g = {.batch = g_ptr_array_new()};
  double now = fc_now();
  for (int rank = 0; rank < FC_WRITE_PRIORITIES && !g.closed; rank++)
    gather_from(commit, &commit->queue[rank], now, &g);
  return g.batch;
}

static fc_txn *build(const GPtrArray *batch) {
  fc_txn *txn = fc_txn_new();
  GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
  for (guint b = 0; b < batch->len; b++) {
    const fc_write *write = batch->pdata[b];
    for (guint i = 0; i < write->conditions->len; i++) {
      const piece *p = &g_array_index(write->conditions, piece, i);
      /* Writes of one batch that disagree about a version: let the state
       * service say which is wrong, by asking for both. */
      char *mark = g_strdup_printf("%s@%" G_GUINT64_FORMAT, p->key, (guint64)p->version);
      if (g_hash_table_contains(seen, mark)) {
        g_free(mark);
        continue;
      }
      g_hash_table_add(seen, mark);
      fc_txn_compare(txn, p->key, p->version);
    }
    for (guint i = 0; i < write->writes->len; i++) {
      const piece *p = &g_array_index(write->writes, piece, i);
      if (p->value) {
        fc_txn_put(txn, p->key, json_incref(p->value));
      } else {
        fc_txn_delete(txn, p->key);
      }
    }
  }
  GHashTableIter it;
  gpointer key;
  g_hash_table_iter_init(&it, seen);
  while (g_hash_table_iter_next(&it, &key, NULL)) g_free(key);
  g_hash_table_destroy(seen);
  return txn;
}

const char *const fc_write_kind_names[FC_WRITE_KINDS] = {"job", "machine", "hire", "quota", "other"};

static fc_write_kind kind_of(const char *key) {
  if (g_str_has_prefix(key, FC_PREFIX_JOB)) return FC_WRITE_KIND_JOB;
  if (g_str_has_prefix(key, FC_PREFIX_MACHINE)) return FC_WRITE_KIND_MACHINE;
  if (g_str_has_prefix(key, FC_PREFIX_RENTAL)) return FC_WRITE_KIND_RENTAL;
  return strcmp(key, FC_KEY_QUOTA) == 0 ? FC_WRITE_KIND_QUOTA : FC_WRITE_KIND_OTHER;
}

static void count_kinds(fc_group_commit *commit, const GPtrArray *batch) {
  for (guint b = 0; b < batch->len; b++) {
    const fc_write *write = batch->pdata[b];
    for (guint i = 0; i < write->writes->len; i++)
      commit->counts.writes[kind_of(g_array_index(write->writes, piece, i).key)]++;
  }
}

static void requeue(fc_group_commit *commit, fc_write *write) {
  write->in_flight = false;
  /* Ahead of its rank: it has waited longest. The rank is kept in the queue it
   * came from, which is the one its deadline routine looks through. */
  g_queue_push_head(&commit->queue[FC_WRITE_PRIORITY_HEARTBEAT], write);
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
    fc_write *write = batch->pdata[b];
    if (!write->in_flight || !touches_any(write->conditions, failed)) continue;
    blamed = true;
    decide(write, FC_KV_CONFLICT, 0);
  }
  return blamed;
}

/* Passes the outcome of a transaction on to its writes. Those that came to nothing for no
 * fault of theirs are queued again. */
static void settle(fc_group_commit *commit, GPtrArray *batch, fc_kv_result result, uint64_t revision,
                   const GPtrArray *failed) {
  bool blamed = result == FC_KV_CONFLICT && decide_blamed(batch, failed);
  /* Refused for one of them, which is not said: each by itself is another transaction. */
  bool apart = result == FC_KV_REFUSED && batch->len > 1;
  bool again = blamed || apart || result == FC_KV_BUSY || result == FC_KV_DOWN;
  for (guint b = batch->len; b-- > 0;) {
    fc_write *write = batch->pdata[b];
    if (write->decided) continue;
    if (again) {
      write->alone |= apart;
      requeue(commit, write);
    } else {
      decide(write, result, revision);
    }
  }
}

static void send_main(void *arg) {
  transaction *t = arg;
  fc_group_commit *commit = t->commit;
  GPtrArray *failed = g_ptr_array_new_with_free_func(g_free);
  uint64_t revision = 0;
  fc_kv_result result = fc_kv_commit(commit->state, t->txn, fc_now() + commit->response_timeout_s, &revision, failed);
  if (result == FC_KV_BUSY) slow_down(commit, fc_now());
  /* Jitter, or all controllers come back at the same moment. */
  if (result == FC_KV_BUSY || result == FC_KV_DOWN) commit->pause_until = fc_now() + g_random_double_range(0.1, 0.4);
  g_ptr_array_remove_fast(commit->under_way, t);
  settle(commit, t->batch, result, revision, failed);
  g_ptr_array_free(failed, TRUE);
  g_ptr_array_free(t->batch, TRUE);
  fc_txn_free(t->txn);
  g_free(t);
  fc_cond_broadcast(&commit->work);
}

static void wait_for_rates(fc_group_commit *commit, double writes) {
  let_rate_rise(commit, fc_now());
  for (;;) {
    double now = fc_now();
    double wait =
        MAX(fc_token_bucket_wait(&commit->writes, writes, 0, now), fc_token_bucket_wait(&commit->requests, 1, 0, now));
    wait = MAX(wait, commit->pause_until - now);
    if (wait < 1e-6) break; /* shorter than a sleep can be: it would be waited for ever */
    if (fc_routine_sleep(wait) == FC_WAKE_CANCELLED) break;
  }
  (void)fc_token_bucket_take(&commit->writes, writes, 0, fc_now());
  (void)fc_token_bucket_take(&commit->requests, 1, 0, fc_now());
}

/* One after the other, as long as they are answered soon: what comes meanwhile goes
 * together in the next. One that gets no answer is passed by, by others that touch other
 * keys; every write is conditional, so no order between them is needed. It held
 * everything up before until it was given up: with half of them unanswered half of the
 * submissions were late. */
static void send_and_wait(fc_group_commit *commit, transaction *t) {
  double patience = fc_now() + commit->response_timeout_s * 0.15;
  if (!fc_routine_spawn(send_main, t)) {
    send_main(t);
    return;
  }
  while (g_ptr_array_find(commit->under_way, t, NULL) && fc_cond_wait(&commit->work, patience) == FC_WAKE_OK) {
  }
  while (commit->under_way->len >= UNDER_WAY_MOST && fc_cond_wait(&commit->work, fc_now() + 1.0) != FC_WAKE_CANCELLED) {
  }
}

void fc_group_commit_run(void *arg) {
  fc_group_commit *commit = arg;
  while (!fc_routine_cancelled()) {
    GPtrArray *batch = gather(commit);
    if (batch->len == 0) {
      g_ptr_array_free(batch, TRUE);
      fc_cond_wait(&commit->work, fc_now() + 1.0);
      continue;
    }
    transaction *t = g_new(transaction, 1);
    *t = (transaction){.commit = commit, .batch = batch, .txn = build(batch)};
    g_ptr_array_add(commit->under_way, t);
    double began = fc_now();
    commit->gathered = MIN((double)fc_txn_writes(t->txn), commit->writes.burst);
    wait_for_rates(commit, commit->gathered);
    commit->gathered = 0;
    commit->counts.transactions++;
    count_kinds(commit, batch);
    commit->counts.waited_s += fc_now() - began;
    send_and_wait(commit, t);
  }
}

fc_kv_result fc_group_commit_write(fc_group_commit *commit, fc_write *write, fc_write_priority rank, double deadline,
                                   uint64_t *revision) {
  if (write->largest_value > commit->value_bytes) {
    g_warning("value too large key=%s bytes=%zu", g_array_index(write->writes, piece, 0).key, write->largest_value);
    fc_write_free(write);
    return FC_KV_REFUSED;
  }
  write->deadline = deadline;
  write->waiter = fc_routine_self();
  g_queue_push_tail(&commit->queue[rank], write);
  fc_cond_broadcast(&commit->work);
  while (!write->decided) {
    /* A write in flight is waited for: its outcome is what the caller needs. */
    fc_wake wake = fc_routine_park(write->in_flight ? fc_now() + commit->response_timeout_s : deadline);
    if (write->decided || wake == FC_WAKE_OK) continue;
    if (!write->in_flight) {
      for (int r = 0; r < FC_WRITE_PRIORITIES; r++) g_queue_remove(&commit->queue[r], write);
      decide(write, FC_KV_DOWN, 0);
    } else if (wake == FC_WAKE_CANCELLED) {
      write->waiter = NULL;
      return FC_KV_UNKNOWN; /* the batch still holds it; it is freed with the process */
    }
  }
  fc_kv_result result = write->result;
  if (revision) *revision = write->revision;
  fc_write_free(write);
  return result;
}

/* By what is left of the rate now: the burst counted as there although it had been spent,
 * and those gathered for the next transaction did not count, so that submissions waited for
 * twice as long as said here and were refused in the end. */
bool fc_group_commit_accepts(fc_group_commit *commit, fc_write_priority rank, double wait_s) {
  double ahead = commit->gathered;
  for (int r = 0; r <= (int)rank; r++) ahead += g_queue_get_length(&commit->queue[r]);
  return fc_token_bucket_wait(&commit->writes, ahead + 1, 0, fc_now()) <= wait_s;
}

fc_group_commit_counts fc_group_commit_stats(const fc_group_commit *commit) {
  return commit->counts;
}
