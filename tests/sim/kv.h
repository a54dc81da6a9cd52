/* The stand-in for the consensus-backed key-value store: what its files need of each other. */
#ifndef FC_TESTS_SIM_KV_H
#define FC_TESTS_SIM_KV_H

#include "stand_ins.h"

/* ---- kv_store.c: keys, revisions and leases ---- */

typedef struct kv_entry {
  json_t *value;
  uint64_t version; /* the revision that wrote it */
  uint64_t lease;   /* that it ends with; 0: none */
} kv_entry;

void kv_store_init(void);
uint64_t kv_revision(void);
/* NULL: there is no such key. The store's. */
const kv_entry *kv_lookup(const char *key);
/* Calls fn(key, kv_entry, data) in the order of keys until it returns TRUE. */
void kv_each(GTraverseFunc fn, gpointer data);
/* What is put from here on belongs to one more revision. */
void kv_next_revision(void);
/* Writes a key; value NULL: removes it. Holds a reference of its own. */
void kv_put(const char *key, json_t *value, uint64_t lease);
/* Changes of keys with the prefix after that revision, newest first. The caller's to drop. */
json_t *kv_changes_after(const char *prefix, uint64_t revision, bool by_former);
/* The value as a controller of that version reads it; the caller's to drop. */
json_t *kv_value_as_read(json_t *value, bool by_former);

uint64_t kv_lease_grant(double ttl_s);
bool kv_lease_exists(uint64_t lease);
/* False: there is no such lease. */
bool kv_lease_renew(uint64_t lease);
/* Every lease has its full time again. */
void kv_leases_renew_all(void);
/* Removes leases that have expired, with their keys. */
void kv_leases_expire(void);

/* ---- kv_limits.c ---- */

void kv_limits_init(void);
/* Breaks a rule if a transaction is larger than the limits that are announced for later. */
void kv_check_announced_limits(const sim_request *request, const json_t *conditions, const json_t *changes);
/* Is it larger than the present limits? */
bool kv_too_large(const sim_request *request, const json_t *conditions, const json_t *changes);
/* Takes the changes from the rate; false: they are beyond it. */
bool kv_within_rate(size_t changes);

/* ---- kv_commits.c ---- */

/* Applies a transaction and answers it. former: whoever sent it was of that version then. */
void kv_commit(const sim_request *request, bool former);

/* ---- kv_watches.c ---- */

void kv_watches_init(void);
void kv_watch_open(const sim_request *request, bool former);
/* Answers watches that have changes or have expired. */
void kv_watches_answer(void);
/* Answers of watches stop if that is asked for of a write with this body. */
void kv_watches_note_write(const char *body);

/* ---- kv_faults.c ---- */

void kv_faults_init(void);
bool kv_is_down(void);
/* How much later the request is carried out; 0: at once. */
double kv_delay_of(const sim_request *request);

/* ---- kv_server.c ---- */

/* Answers with the message, which is dropped. */
void kv_answer(struct sim_exchange *exchange, int status, json_t *message);
/* A parameter of the path's query; NULL: there is none. The caller frees it by g_free(). */
char *kv_query_value(const char *path, const char *name);

#endif
