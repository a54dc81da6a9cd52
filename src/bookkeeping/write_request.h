/* A write request: changes of keys in the key-value store that are made all together or not at
 * all, on conditions (compare-and-swap). Group commit (group_commit.h) sends requests of many
 * routines in one transaction. Nothing here suspends the calling routine. */
#ifndef FC_BOOKKEEPING_WRITE_REQUEST_H
#define FC_BOOKKEEPING_WRITE_REQUEST_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "protocol/kv_store.h"

typedef struct fc_write fc_write;

/* The caller owns the request until it hands it to fc_group_commit_write(). */
fc_write *fc_write_new(void);
/* Frees a request that was not handed over. */
void fc_write_free(fc_write *write);

/* Adds the condition that the key is at `version`; 0: that it does not exist. Keys are copied. */
void fc_write_compare(fc_write *write, const char *key, uint64_t version);
/* Adds the change that the key is set to `value`, whose reference is taken over. */
void fc_write_put(fc_write *write, const char *key, json_t *value);
/* Adds the change that the key is deleted. */
void fc_write_delete(fc_write *write, const char *key);

unsigned fc_write_change_count(const fc_write *write);
/* The key of the change at `index`, owned by the request. */
const char *fc_write_changed_key(const fc_write *write, unsigned index);
/* What the request adds to the body of a transaction, in bytes, about. */
size_t fc_write_body_bytes(const fc_write *write);
/* The size of its largest encoded value, in bytes; 0: it has deletions only. */
size_t fc_write_largest_value_bytes(const fc_write *write);

/* True: the two may not share a transaction, as both change one key, or one changes a key that the
 * other has a condition on. */
bool fc_write_clashes(const fc_write *first, const fc_write *second);
/* Has the request a condition on one of `keys`, an array of strings? */
bool fc_write_compares_any(const fc_write *write, const GPtrArray *keys);

/* Adds the conditions and changes to `txn`. `compared`, a set of strings that it owns, holds the
 * conditions that the transaction has; one that it has already is not added again. */
void fc_write_add_to_txn(const fc_write *write, fc_txn *txn, GHashTable *compared);

#endif
