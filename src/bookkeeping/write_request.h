/* A write request: changes of keys in the key-value store that are made atomically, on conditions
 * (compare-and-swap). Group commit (group_commit.h) sends requests of many routines in one
 * transaction. Nothing here suspends the calling routine. */
#ifndef FC_BOOKKEEPING_WRITE_REQUEST_H
#define FC_BOOKKEEPING_WRITE_REQUEST_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "protocol/kv_store.h"

typedef struct fc_write fc_write;

/* The caller owns the request until it passes it to fc_group_commit_write(). */
fc_write *fc_write_new(void);
/* Frees a request that was not passed to group commit. */
void fc_write_free(fc_write *write);

/* Adds the condition that the key is at `version`; 0: that it does not exist. The key is copied. */
void fc_write_compare(fc_write *write, const char *key, uint64_t version);
/* Sets the key to `value`, taking over the caller's reference. */
void fc_write_put(fc_write *write, const char *key, json_t *value);
/* Deletes the key. */
void fc_write_delete(fc_write *write, const char *key);

unsigned fc_write_change_count(const fc_write *write);
/* The key of the change at `index`, owned by the request. */
const char *fc_write_changed_key(const fc_write *write, unsigned index);
/* The value that the change at `index` sets, owned by the request; NULL: it deletes the key. */
const json_t *fc_write_changed_value(const fc_write *write, unsigned index);
/* Approximate size of the request in the body of a transaction, in bytes. */
size_t fc_write_body_bytes(const fc_write *write);
/* The size of its largest encoded value, in bytes; 0: the request only deletes keys. */
size_t fc_write_largest_value_bytes(const fc_write *write);

/* Whether the two must not share a transaction: both change the same key, or one changes a key that
 * the other has a condition on. */
bool fc_write_clashes(const fc_write *first, const fc_write *second);
/* Whether the request has a condition on one of `keys`, an array of strings. */
bool fc_write_compares_any(const fc_write *write, const GPtrArray *keys);

/* Adds the conditions and changes to `txn`. `compared`, a set of strings that it owns, holds the
 * conditions already in the transaction, which are not added again. */
void fc_write_add_to_txn(const fc_write *write, fc_txn *txn, GHashTable *compared);

#endif
