/* The state service's calls, typed. Every call waits in its routine. */
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
  FC_KV_GONE,     /* no such key or lease, or the history is too old */
  FC_KV_BUSY,     /* 429: not executed */
  FC_KV_DOWN,     /* 503 or no connection: not executed */
  FC_KV_UNKNOWN,  /* no answer: executed, not executed, or executed later */
  FC_KV_REFUSED,  /* malformed, or an answer that makes no sense */
} fc_kv_result;

/* value NULL: the key was removed. Freed with fc_kv_change_free. */
typedef struct fc_kv_change {
  char *key;
  json_t *value;
  uint64_t version;
} fc_kv_change;
void fc_kv_change_free(gpointer change);

typedef struct fc_txn fc_txn;
fc_txn *fc_txn_new(void);
void fc_txn_free(fc_txn *txn);
void fc_txn_compare(fc_txn *txn, const char *key, uint64_t version); /* 0: does not exist */
void fc_txn_put(fc_txn *txn, const char *key, json_t *value);        /* takes the reference */
void fc_txn_put_leased(fc_txn *txn, const char *key, json_t *value, uint64_t lease);
void fc_txn_delete(fc_txn *txn, const char *key);
size_t fc_txn_writes(const fc_txn *txn);

fc_kv *fc_kv_new(const fc_endpoint *at);
void fc_kv_free(fc_kv *kv);
/* On OK *revision is the revision of the change; on CONFLICT `failed` (may be
 * NULL) receives the keys whose conditions failed, owned by the array. */
fc_kv_result fc_kv_commit(fc_kv *kv, const fc_txn *txn, double deadline, uint64_t *revision, GPtrArray *failed);
/* One key's value, the reference the caller's; GONE: there is none. */
fc_kv_result fc_kv_get(fc_kv *kv, const char *key, double deadline, json_t **value);
/* One page in key order, after `after` (NULL: from the start). */
fc_kv_result fc_kv_list(fc_kv *kv, const char *prefix, const char *after, unsigned limit, double deadline,
                        GPtrArray *out, bool *more, uint64_t *revision);
/* All changes after `from`, oldest first. Waits up to wait_s for the first. */
fc_kv_result fc_kv_changes(fc_kv *kv, const char *prefix, uint64_t from, double wait_s, double deadline, GPtrArray *out,
                           uint64_t *revision);
fc_kv_result fc_kv_lease_open(fc_kv *kv, double ttl_s, double deadline, uint64_t *lease);
fc_kv_result fc_kv_lease_renew(fc_kv *kv, uint64_t lease, double deadline);

#endif
