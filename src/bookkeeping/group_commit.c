#include "bookkeeping/group_commit.h"

#include <string.h>

#include "bookkeeping/write_rate.h"
#include "protocol/records.h"
#include "protocol/settings.h"
#include "transport/routine.h"

/* The protocol limits the body of a transaction to 64 KiB; the rest is for the envelope. */
#define MAX_TXN_BODY_BYTES ((size_t)60 * 1024)

/* The maximum number of transactions without a response. */
#define MAX_TXNS_IN_FLIGHT 4u

/* The fraction of the response timeout after which a transaction no longer delays the next. */
#define PROMPT_RESPONSE_FRACTION 0.15

/* The pause after a refusal or a lost connection is random, so that the controllers don't retry
 * simultaneously. */
#define MIN_RETRY_PAUSE_S 0.1
#define MAX_RETRY_PAUSE_S 0.4

/* The longest single wait on the condition variable. */
#define MAX_COND_WAIT_S 1.0

/* The number of changes that is tried after a refusal is the refused number divided by this. */
#define REFUSED_CHANGES_DIVISOR 2

/* Shorter waits count as none: they are below the resolution of a timer, and the loop around the
 * sleep would spin. */
#define MIN_SLEEP_S 1e-6

/* A request from its submission until its outcome is known. */
typedef struct queued_write {
  fc_write *write;
  double deadline;
  fc_routine *waiter; /* NULL: its routine was cancelled */
  bool isolated;      /* refused together with others: it gets a transaction of its own */
  bool in_flight;     /* in a transaction's batch, not in a queue */
  bool resolved;      /* result and revision are set */
  fc_kv_result result;
  uint64_t revision;
} queued_write;

typedef struct transaction {
  fc_group_commit *commit;
  GPtrArray *batch; /* queued_write */
  fc_txn *txn;
} transaction;

struct fc_group_commit {
  fc_kv *kv;
  unsigned max_txn_ops;
  fc_value_limit *value_limit;
  double response_timeout_s;
  fc_write_rate rate;
  GQueue queues[FC_WRITE_PRIORITIES]; /* queued_write */
  double rate_limited_writes;         /* changes in the transaction that waits for the rate limits */
  fc_cond changed;                    /* a request was queued, or a transaction has ended */
  GPtrArray *in_flight;               /* being sent, or waiting for the rate limits */
  fc_group_commit_counts counts;
};

fc_group_commit *fc_group_commit_new(fc_kv *kv, const fc_group_commit_limits *limits) {
  fc_group_commit *commit = g_new0(fc_group_commit, 1);
  commit->kv = kv;
  /* At the minimum rate, a transaction larger than one second's worth would never be sent. */
  unsigned min_burst = limits->min_writes_per_s < 1 ? 1 : (unsigned)limits->min_writes_per_s;
  commit->max_txn_ops = MIN(limits->txn_ops, min_burst);
  commit->value_limit = limits->value_limit;
  commit->response_timeout_s = limits->response_timeout_s;
  fc_write_rate_init(&commit->rate, limits->writes_per_s, limits->min_writes_per_s, limits->requests_per_s, fc_now());
  commit->in_flight = g_ptr_array_new();
  for (int i = 0; i < FC_WRITE_PRIORITIES; i++) g_queue_init(&commit->queues[i]);
  return commit;
}

double fc_group_commit_rate(const fc_group_commit *commit) {
  return fc_write_rate_per_s(&commit->rate);
}

void fc_group_commit_set_share(fc_group_commit *commit, double share, double even) {
  fc_write_rate_set_share(&commit->rate, share, even, fc_now());
}

bool fc_group_commit_take_spare_request(fc_group_commit *commit) {
  return fc_write_rate_take_spare_request(&commit->rate, fc_now());
}

unsigned fc_group_commit_max_writes(const fc_group_commit *commit) {
  return commit->max_txn_ops;
}

unsigned fc_group_commit_backlog(const fc_group_commit *commit) {
  unsigned changes = 0;
  for (guint i = 0; i < commit->in_flight->len; i++) {
    const transaction *sent = commit->in_flight->pdata[i];
    changes += (unsigned)fc_txn_write_count(sent->txn);
  }
  for (int i = 0; i < FC_WRITE_PRIORITIES; i++) {
    for (const GList *link = commit->queues[i].head; link; link = link->next) {
      const queued_write *queued = link->data;
      changes += fc_write_change_count(queued->write);
    }
  }
  return changes;
}

static void resolve(queued_write *queued, fc_kv_result result, uint64_t revision) {
  queued->resolved = true;
  queued->in_flight = false;
  queued->result = result;
  queued->revision = revision;
  if (queued->waiter) fc_routine_wake(queued->waiter);
}

static bool clashes_with_batch(const queued_write *queued, const GPtrArray *batch) {
  for (guint i = 0; i < batch->len; i++) {
    const queued_write *other = batch->pdata[i];
    if (fc_write_clashes(other->write, queued->write)) return true;
  }
  return false;
}

/* A request that clashes with a transaction in flight must wait for its outcome. */
static bool clashes_in_flight(const fc_group_commit *commit, const queued_write *queued) {
  for (guint i = 0; i < commit->in_flight->len; i++) {
    const transaction *sent = commit->in_flight->pdata[i];
    if (clashes_with_batch(queued, sent->batch)) return true;
  }
  return false;
}

/* The next transaction while it is being assembled. */
typedef struct batch_builder {
  GPtrArray *batch; /* queued_write */
  unsigned changes;
  size_t body_bytes;
  bool full; /* no further request may be added */
} batch_builder;

/* The first request is added whatever its size. */
static bool can_add(const fc_group_commit *commit, const batch_builder *builder, const queued_write *queued) {
  if (clashes_in_flight(commit, queued)) return false;
  if (builder->batch->len == 0) return true;
  if (queued->isolated) return false;
  if (builder->changes + fc_write_change_count(queued->write) > commit->max_txn_ops) return false;
  if (builder->body_bytes + fc_write_body_bytes(queued->write) > MAX_TXN_BODY_BYTES) return false;
  return !clashes_with_batch(queued, builder->batch);
}

static void add_to_batch(const fc_group_commit *commit, batch_builder *builder, queued_write *queued) {
  builder->changes += fc_write_change_count(queued->write);
  builder->body_bytes += fc_write_body_bytes(queued->write);
  builder->full = queued->isolated || builder->changes >= commit->max_txn_ops;
  queued->in_flight = true;
  g_ptr_array_add(builder->batch, queued);
}

/* Moves requests from a queue to the batch, and fails those past their deadline. */
static void collect_from_queue(const fc_group_commit *commit, GQueue *queue, double now, batch_builder *builder) {
  for (GList *link = queue->head; link && !builder->full;) {
    queued_write *queued = link->data;
    GList *next = link->next;
    if (now >= queued->deadline) {
      g_queue_delete_link(queue, link);
      resolve(queued, FC_KV_DOWN, 0);
    } else if (can_add(commit, builder, queued)) {
      g_queue_delete_link(queue, link);
      add_to_batch(commit, builder, queued);
    }
    link = next;
  }
}

/* Takes the requests of the next transaction from the queues, by priority. The caller frees the
 * array, which may be empty. */
static GPtrArray *collect_batch(fc_group_commit *commit) {
  batch_builder builder = {.batch = g_ptr_array_new()};
  double now = fc_now();
  for (int i = 0; i < FC_WRITE_PRIORITIES && !builder.full; i++)
    collect_from_queue(commit, &commit->queues[i], now, &builder);
  return builder.batch;
}

static fc_txn *build_txn(const GPtrArray *batch) {
  fc_txn *txn = fc_txn_new();
  GHashTable *compared = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  for (guint i = 0; i < batch->len; i++) {
    const queued_write *queued = batch->pdata[i];
    fc_write_add_to_txn(queued->write, txn, compared);
  }
  g_hash_table_destroy(compared);
  return txn;
}

/* Takes ownership of the batch and registers the transaction as in flight. */
static transaction *transaction_new(fc_group_commit *commit, GPtrArray *batch) {
  transaction *created = g_new(transaction, 1);
  *created = (transaction){.commit = commit, .batch = batch, .txn = build_txn(batch)};
  g_ptr_array_add(commit->in_flight, created);
  return created;
}

static void transaction_free(transaction *ended) {
  g_ptr_array_free(ended->batch, TRUE);
  fc_txn_free(ended->txn);
  g_free(ended);
}

const char *const fc_write_kind_names[FC_WRITE_KINDS] = {"job", "machine", "hire", "quota", "other"};

static fc_write_kind kind_of_key(const char *key) {
  if (g_str_has_prefix(key, FC_PREFIX_JOB)) return FC_WRITE_KIND_JOB;
  if (g_str_has_prefix(key, FC_PREFIX_MACHINE)) return FC_WRITE_KIND_MACHINE;
  if (g_str_has_prefix(key, FC_PREFIX_RENTAL)) return FC_WRITE_KIND_RENTAL;
  return strcmp(key, FC_KEY_QUOTA) == 0 ? FC_WRITE_KIND_QUOTA : FC_WRITE_KIND_OTHER;
}

static void count_transaction(fc_group_commit *commit, const GPtrArray *batch) {
  commit->counts.transactions++;
  for (guint i = 0; i < batch->len; i++) {
    const queued_write *queued = batch->pdata[i];
    for (unsigned j = 0; j < fc_write_change_count(queued->write); j++)
      commit->counts.writes[kind_of_key(fc_write_changed_key(queued->write, j))]++;
  }
}

/* Queues the request again, at the head of the highest priority, as it has waited the longest. */
static void requeue(fc_group_commit *commit, queued_write *queued) {
  queued->in_flight = false;
  g_queue_push_head(&commit->queues[FC_WRITE_PRIORITY_HEARTBEAT], queued);
}

/* Resolves the requests whose own conditions failed; returns false if there are none. */
static bool resolve_conflicts(const GPtrArray *batch, const GPtrArray *failed_keys) {
  bool found = false;
  for (guint i = 0; i < batch->len; i++) {
    queued_write *queued = batch->pdata[i];
    if (!queued->in_flight || !fc_write_compares_any(queued->write, failed_keys)) continue;
    found = true;
    resolve(queued, FC_KV_CONFLICT, 0);
  }
  return found;
}

/* Lowers the limit that the refused request may have exceeded: of its changes if it has several, else of
 * its value. */
static void lower_limits(fc_group_commit *commit, const fc_write *refused) {
  unsigned changes = fc_write_change_count(refused);
  if (changes == 1) fc_value_limit_refused(commit->value_limit, fc_write_largest_value_bytes(refused));
  if (changes <= FC_KV_TXN_OPS_MIN || changes > commit->max_txn_ops) return;
  commit->max_txn_ops = MAX(changes / REFUSED_CHANGES_DIVISOR, FC_KV_TXN_OPS_MIN);
  g_warning("transaction refused changes=%u, limit lowered to=%u", changes, commit->max_txn_ops);
}

/* Learns about the store's limits from a transaction's outcome. Which of several requests was refused is
 * not known. */
static void update_limits(fc_group_commit *commit, const GPtrArray *batch, fc_kv_result result) {
  for (guint i = 0; i < batch->len; i++) {
    const queued_write *queued = batch->pdata[i];
    if (result == FC_KV_OK) fc_value_limit_stored(commit->value_limit, fc_write_largest_value_bytes(queued->write));
    if (result == FC_KV_REFUSED && batch->len == 1) lower_limits(commit, queued->write);
  }
}

/* Resolves the requests of a transaction with its outcome. Those that were not executed through no
 * fault of their own are queued again in their original order. */
static void resolve_batch(fc_group_commit *commit, GPtrArray *batch, fc_kv_result result, uint64_t revision,
                          const GPtrArray *failed_keys) {
  bool conflicts_found = result == FC_KV_CONFLICT && resolve_conflicts(batch, failed_keys);
  /* The store does not report which request it refused: each is retried in its own transaction. */
  bool isolate = result == FC_KV_REFUSED && batch->len > 1;
  bool retry = conflicts_found || isolate || result == FC_KV_BUSY || result == FC_KV_DOWN;
  for (guint i = batch->len; i-- > 0;) {
    queued_write *queued = batch->pdata[i];
    if (queued->resolved) continue;
    if (retry) {
      queued->isolated |= isolate;
      requeue(commit, queued);
    } else {
      resolve(queued, result, revision);
    }
  }
}

/* Routine that sends one transaction and frees it after its outcome. */
static void send_transaction(void *arg) {
  transaction *sent = arg;
  fc_group_commit *commit = sent->commit;
  GPtrArray *failed_keys = g_ptr_array_new_with_free_func(g_free);
  uint64_t revision = 0;
  double deadline = fc_now() + commit->response_timeout_s;
  fc_kv_result result = fc_kv_commit(commit->kv, sent->txn, deadline, &revision, failed_keys);
  if (result == FC_KV_BUSY) fc_write_rate_back_off(&commit->rate, fc_now());
  if (result == FC_KV_BUSY || result == FC_KV_DOWN)
    fc_write_rate_pause(&commit->rate, fc_now() + g_random_double_range(MIN_RETRY_PAUSE_S, MAX_RETRY_PAUSE_S));
  g_ptr_array_remove_fast(commit->in_flight, sent);
  update_limits(commit, sent->batch, result);
  resolve_batch(commit, sent->batch, result, revision, failed_keys);
  g_ptr_array_free(failed_keys, TRUE);
  transaction_free(sent);
  fc_cond_broadcast(&commit->changed);
}

static void wait_for_rate(fc_group_commit *commit, double writes) {
  fc_write_rate_recover(&commit->rate, fc_now());
  for (;;) {
    double wait_s = fc_write_rate_wait(&commit->rate, writes, fc_now());
    if (wait_s < MIN_SLEEP_S) break;
    if (fc_routine_sleep(wait_s) == FC_WAKE_CANCELLED) break;
  }
  fc_write_rate_take(&commit->rate, writes, fc_now());
}

/* While responses are prompt, transactions are sent one at a time: requests that arrive meanwhile
 * share the next one. A transaction without a prompt response no longer delays requests for other
 * keys; as every request is conditional, no order among them is needed. When every transaction was
 * waited for until its timeout and half of them got no response, half of the submissions were late. */
static void send_and_wait(fc_group_commit *commit, transaction *sent) {
  double prompt_until = fc_now() + commit->response_timeout_s * PROMPT_RESPONSE_FRACTION;
  if (!fc_routine_spawn(send_transaction, sent)) {
    send_transaction(sent);
    return;
  }
  while (g_ptr_array_find(commit->in_flight, sent, NULL) &&
         fc_cond_wait(&commit->changed, prompt_until) == FC_WAKE_OK) {
  }
  while (commit->in_flight->len >= MAX_TXNS_IN_FLIGHT &&
         fc_cond_wait(&commit->changed, fc_now() + MAX_COND_WAIT_S) != FC_WAKE_CANCELLED) {
  }
}

static void send_batch(fc_group_commit *commit, GPtrArray *batch) {
  transaction *next = transaction_new(commit, batch);
  double began_at = fc_now();
  commit->rate_limited_writes = MIN((double)fc_txn_write_count(next->txn), fc_write_rate_burst(&commit->rate));
  wait_for_rate(commit, commit->rate_limited_writes);
  commit->rate_limited_writes = 0;
  count_transaction(commit, batch);
  commit->counts.waited_s += fc_now() - began_at;
  send_and_wait(commit, next);
}

void fc_group_commit_run(void *arg) {
  fc_group_commit *commit = arg;
  while (!fc_routine_cancelled()) {
    GPtrArray *batch = collect_batch(commit);
    if (batch->len > 0) {
      send_batch(commit, batch);
    } else {
      g_ptr_array_free(batch, TRUE);
      fc_cond_wait(&commit->changed, fc_now() + MAX_COND_WAIT_S);
    }
  }
}

/* Suspends the calling routine until the request is resolved. Returns false if the routine was
 * cancelled while the request was in flight. */
static bool wait_until_resolved(fc_group_commit *commit, queued_write *queued) {
  while (!queued->resolved) {
    /* The deadline bounds only the time in the queue: the caller needs the outcome of a request in
     * flight. */
    fc_wake wake = fc_routine_park(queued->in_flight ? fc_now() + commit->response_timeout_s : queued->deadline);
    if (queued->resolved || wake == FC_WAKE_OK) continue;
    if (!queued->in_flight) {
      for (int i = 0; i < FC_WRITE_PRIORITIES; i++) g_queue_remove(&commit->queues[i], queued);
      resolve(queued, FC_KV_DOWN, 0);
    } else if (wake == FC_WAKE_CANCELLED) {
      return false;
    }
  }
  return true;
}

fc_kv_result fc_group_commit_write(fc_group_commit *commit, fc_write *write, fc_write_priority priority,
                                   double deadline, uint64_t *revision) {
  size_t value_bytes = fc_write_largest_value_bytes(write);
  if (value_bytes > fc_value_limit_bytes(commit->value_limit)) {
    g_warning("value too large key=%s bytes=%zu", fc_write_changed_key(write, 0), value_bytes);
    fc_write_free(write);
    return FC_KV_REFUSED;
  }
  queued_write *queued = g_new(queued_write, 1);
  *queued = (queued_write){.write = write, .deadline = deadline, .waiter = fc_routine_self()};
  g_queue_push_tail(&commit->queues[priority], queued);
  fc_cond_broadcast(&commit->changed);
  if (!wait_until_resolved(commit, queued)) {
    queued->waiter = NULL; /* the batch still refers to it; freed only with the process */
    return FC_KV_UNKNOWN;
  }
  fc_kv_result result = queued->result;
  if (revision) *revision = queued->revision;
  fc_write_free(queued->write);
  g_free(queued);
  return result;
}

/* Estimates from the tokens currently left, and includes the transaction that waits for the rate
 * limits. An estimate that counted a spent burst as available and ignored that transaction accepted
 * submissions that waited twice as long as estimated and were refused in the end. */
bool fc_group_commit_accepts(fc_group_commit *commit, fc_write_priority priority, double wait_s) {
  double writes_ahead = commit->rate_limited_writes;
  for (int i = 0; i <= (int)priority; i++) writes_ahead += g_queue_get_length(&commit->queues[i]);
  return fc_write_rate_wait_for_writes(&commit->rate, writes_ahead + 1, fc_now()) <= wait_s;
}

fc_group_commit_counts fc_group_commit_stats(const fc_group_commit *commit) {
  return commit->counts;
}
