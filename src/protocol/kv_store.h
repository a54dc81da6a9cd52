/* Client of the consensus-backed key-value store: compare-and-swap transactions, reads, the change
 * feed and leases. Times are in seconds; deadlines are times of the monotonic clock. */
#ifndef FC_PROTOCOL_KV_STORE_H
#define FC_PROTOCOL_KV_STORE_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "transport/conn.h"

typedef struct fc_kv fc_kv;

typedef enum {
  FC_KV_OK,
  FC_KV_CONFLICT, /* a condition failed: nothing was changed */
  FC_KV_GONE,     /* no such key or lease, or the history no longer reaches back far enough */
  FC_KV_BUSY,     /* rate limited: not executed */
  FC_KV_DOWN,     /* unavailable or no connection: not executed */
  FC_KV_UNKNOWN,  /* no usable response: it may have been executed, or may still be */
  FC_KV_REFUSED,  /* malformed request or response */
} fc_kv_result;

/* The current state of a key, or a change of it. */
typedef struct fc_kv_change {
  char *key;
  json_t *value; /* NULL: the key was removed */
  uint64_t version;
} fc_kv_change;
/* Frees a change with its key and its reference to the value; NULL is allowed. */
void fc_kv_change_free(gpointer change);

/* A transaction: all of its writes are executed if every condition holds, else none. */
typedef struct fc_txn fc_txn;
/* Creates an empty transaction; the caller frees it with fc_txn_free(). */
fc_txn *fc_txn_new(void);
void fc_txn_free(fc_txn *txn);
/* Adds a condition: the key has this version; 0: the key does not exist. */
void fc_txn_compare(fc_txn *txn, const char *key, uint64_t version);
/* fc_txn_put() and fc_txn_put_leased() add a write that sets a key, and take the reference to `value`; a
 * leased key is removed when its lease expires. fc_txn_delete() adds a write that removes a key. */
void fc_txn_put(fc_txn *txn, const char *key, json_t *value);
void fc_txn_put_leased(fc_txn *txn, const char *key, json_t *value, uint64_t lease);
void fc_txn_delete(fc_txn *txn, const char *key);
/* The number of writes, conditions not counted. */
size_t fc_txn_write_count(const fc_txn *txn);

/* Creates a client of the store at the address `at`; the caller frees it with fc_kv_free(). */
fc_kv *fc_kv_new(const fc_endpoint *at);
void fc_kv_free(fc_kv *kv);

/* Each of the calls below, from fc_kv_commit() on, may suspend the calling routine. Results are valid
 * only on FC_KV_OK. The caller owns the elements added to lists; some may have been added before an error. */

/* Commits a transaction, which stays the caller's; *revision is the one it created. On FC_KV_CONFLICT
 * `failed` (may be NULL) receives copies of the keys whose conditions failed. */
fc_kv_result fc_kv_commit(fc_kv *kv, const fc_txn *txn, double deadline, uint64_t *revision, GPtrArray *failed);
/* Reads one key's value; the caller owns the reference. FC_KV_GONE: no such key. */
fc_kv_result fc_kv_get(fc_kv *kv, const char *key, double deadline, json_t **value);
/* Lists one page of at most `limit` keys in key order, after `after` (NULL: from the start). `out`
 * receives fc_kv_change; *more tells whether there is another page. */
fc_kv_result fc_kv_list(fc_kv *kv, const char *prefix, const char *after, unsigned limit, double deadline,
                        GPtrArray *out, bool *more, uint64_t *revision);
/* Reads all changes after the revision `from`, oldest first; waits up to `wait_s` for the first. `out`
 * receives fc_kv_change. FC_KV_GONE: the changes cannot be read, list the keys with fc_kv_list(). */
fc_kv_result fc_kv_changes(fc_kv *kv, const char *prefix, uint64_t from, double wait_s, double deadline, GPtrArray *out,
                           uint64_t *revision);
/* Creates a lease that expires `ttl_s` after its last renewal. */
fc_kv_result fc_kv_lease_open(fc_kv *kv, double ttl_s, double deadline, uint64_t *lease);
/* Renews a lease, which then lasts for its `ttl_s` again. FC_KV_GONE: it has expired. */
fc_kv_result fc_kv_lease_renew(fc_kv *kv, uint64_t lease, double deadline);

#endif
