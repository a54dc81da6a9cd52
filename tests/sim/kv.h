/* The simulated key-value store, which stands in for the consensus-backed one: declarations that
 * its kv_*.c files share. "Former" is the controller version that world_former_version() starts. */
#ifndef FC_TESTS_SIM_KV_H
#define FC_TESTS_SIM_KV_H

#include "stand_ins.h"

/* ---- kv_store.c: keys, revisions and leases ---- */

typedef struct kv_entry {
  json_t *value;
  uint64_t version; /* revision of the last write */
  uint64_t lease;   /* the key is removed when it ends; 0: none */
} kv_entry;

void kv_store_init(void);
uint64_t kv_revision(void);
/* The entry is owned by the store; NULL when the key does not exist. */
const kv_entry *kv_lookup(const char *key);
/* Calls fn(key, kv_entry, data) in key order until it returns TRUE. */
void kv_each(GTraverseFunc fn, gpointer data);
/* Increments the revision, to which the following calls of kv_put() belong. */
void kv_next_revision(void);
/* Writes a key, taking a reference to the value; a NULL value removes the key. */
void kv_put(const char *key, json_t *value, uint64_t lease);
/* Changes after that revision of keys with the prefix, newest first. The caller owns the result. */
json_t *kv_changes_after(const char *prefix, uint64_t revision, bool reader_is_former);
/* The value as a controller of that version reads it. The caller owns the result. */
json_t *kv_value_as_read(json_t *value, bool reader_is_former);

/* Returns the id of the new lease. */
uint64_t kv_lease_grant(double ttl_s);
bool kv_lease_exists(uint64_t lease);
/* False when the lease does not exist. */
bool kv_lease_renew(uint64_t lease);
/* Restarts the TTL of every lease. */
void kv_leases_renew_all(void);
/* Removes expired leases and their keys. */
void kv_leases_expire(void);

/* ---- kv_limits.c ---- */

void kv_limits_init(void);
/* Reports a broken rule if a transaction exceeds the limits that are announced for later. */
void kv_check_announced_limits(const sim_request *request, const json_t *conditions, const json_t *changes);
/* Whether a transaction exceeds the present size limits. */
bool kv_too_large(const sim_request *request, const json_t *conditions, const json_t *changes);
/* Takes that many changes from the write rate limit; false, taking none, when it is exceeded. */
bool kv_acquire_write_rate(size_t changes);

/* ---- kv_commits.c ---- */

/* Applies a transaction and answers the request. sender_is_former: the sender ran the former
 * version when it sent the request. */
void kv_commit(const sim_request *request, bool sender_is_former);

/* ---- kv_watches.c ---- */

void kv_watches_init(void);
void kv_watch_open(const sim_request *request, bool sender_is_former);
/* Answers watches that have changes or have expired. */
void kv_watches_answer(void);
/* To be called with the body of each applied transaction: starts the stall that
 * world_kv_stall_watches() has requested for it. */
void kv_watches_on_commit(const char *body);

/* ---- kv_faults.c ---- */

void kv_faults_init(void);
bool kv_is_down(void);
/* Draws the delay in seconds before the request is executed; 0: none. */
double kv_request_delay(const sim_request *request);

/* ---- kv_server.c ---- */

/* Answers with the message and releases it. */
void kv_answer(struct sim_exchange *exchange, int status, json_t *message);
/* The value of a query parameter, to be freed with g_free(); NULL when it is absent. */
char *kv_query_value(const char *path, const char *name);

#endif
